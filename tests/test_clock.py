"""Tests of the clocks."""

import testtools

from almondtide.clock import HybridLogicalClock, MemoryClock, PauseDetector


class HybridLogicalClockTest(testtools.TestCase):
    """Guards the order of the timeline when wall clocks differ."""

    def test_effect_sorts_after_its_cause(self):
        ahead = HybridLogicalClock(MemoryClock(2000.0))
        behind = HybridLogicalClock(MemoryClock(1000.0))
        cause = ahead.now()
        behind.observe(cause)
        self.assertTrue(behind.now() > cause)

    def test_timestamps_are_unique(self):
        clock = HybridLogicalClock(MemoryClock())
        stamps = [clock.now() for _ in range(100)]
        self.assertEqual(sorted(set(stamps)), stamps)


class PauseDetectorTest(testtools.TestCase):
    """Guards against a paused process that continues with outdated state."""

    def test_gap_is_a_pause(self):
        clock = MemoryClock()
        detector = PauseDetector(clock, 0.2)
        clock.advance(0.25)
        self.assertEqual(0.0, detector.tick())
        clock.advance(5.2)
        self.assertAlmostEqual(5.0, detector.tick())
        clock.advance(0.2)
        self.assertEqual(0.0, detector.tick())
