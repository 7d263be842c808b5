"""Tests of the delay of datagrams beyond the usual one."""

import testtools

from almondtide.entry.transit_delay import SPAN_S, TransitDelays


class TransitDelaysTest(testtools.TestCase):
    """Guards against old reads that count as recent, as a link held their statement."""

    def setUp(self):
        super().setUp()
        self.delays = TransitDelays()

    def _note(self, sent_at, arrived_at, now=None, incarnation=1):
        return self.delays.note(
            "10.1.0.1",
            incarnation,
            sent_at,
            arrived_at,
            arrived_at if now is None else now,
        )

    def test_the_time_for_which_a_link_held_a_datagram(self):
        self._note(100.0, 7.003)
        self.assertAlmostEqual(1.997, self._note(101.0, 10.0), places=6)
        self.assertAlmostEqual(1.997, self.delays.latest_s("10.1.0.1"), places=6)
        self.assertEqual(0.0, self.delays.latest_s("10.1.0.2"))

    def test_a_new_process_has_a_clock_of_its_own(self):
        self._note(100.0, 7.0)
        self.assertEqual(0.0, self._note(3.0, 9.0, incarnation=2))

    def test_a_pause_of_the_receiver_sets_no_usual_delay(self):
        self._note(100.0, 7.0)
        # It was handled 2 s after the time at which it can have arrived first.
        self._note(102.0, 8.0, now=10.0)
        self.assertEqual(0.0, self._note(103.0, 10.0))

    def test_clocks_that_drift_apart_hold_nothing(self):
        for step in range(100):
            delay_s = self._note(step * SPAN_S, step * SPAN_S * 1.0001)
        self.assertLess(delay_s, 0.01)
