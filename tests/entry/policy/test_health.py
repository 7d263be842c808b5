"""Tests of the estimates of a server and of the suspicion that it is slow or lost."""

import testtools

from almondtide.entry.policy.health import (
    ESTIMATE_DECAY_S,
    MAX_LATENCY_RATIO,
    MAX_TRIAL_S,
    MIN_EJECTION_S,
    MIN_TRIAL_S,
    SUSPECT_SAMPLES,
    ServerHealth,
)

SLOW = 2.0 * MAX_LATENCY_RATIO


def _suspect(now=0.0, pace=1.0):
    health = ServerHealth()
    for _ in range(SUSPECT_SAMPLES):
        health.note_latency(SLOW, pace, now)
    return health


class SuspicionTest(testtools.TestCase):
    """Guards against callers who find out that a server is still slow or lost."""

    def test_only_slow_replies_in_a_row_make_a_suspect(self):
        health = ServerHealth()
        for _ in range(5):
            health.note_latency(SLOW, 1.0, 0.0)
            self.assertFalse(health.is_suspect(0.0))
            health.note_latency(1.0, 1.0, 0.0)
        self.assertTrue(_suspect().is_suspect(0.0))

    def test_a_server_that_reports_to_be_slow_is_a_suspect(self):
        # The pace that it reports counts for less than a second. Slow servers were
        # tried again by each entry as soon as their last report was outdated.
        health = _suspect(pace=SLOW)
        self.assertTrue(health.slowness(0.0) <= 1.0)
        self.assertTrue(health.is_suspect(1.0))

    def test_one_quick_reply_ends_the_suspicion(self):
        health = _suspect()
        health.note_latency(1.0, 1.0, 0.5)
        self.assertFalse(health.is_suspect(0.5))

    def test_copies_become_rarer_while_the_server_stays_slow(self):
        health, now, waits = ServerHealth(), 0.0, []
        for _ in range(6):
            health.note_latency(SLOW, 1.0, now)
            before = now
            while not health.is_trial_due(now) and now < before + 1.0:
                now += 0.01
            waits.append(round(now - before, 1))
            health.note_trial(now)
        self.assertEqual(2 * MIN_TRIAL_S, waits[1])
        self.assertEqual([0.4, MAX_TRIAL_S, MAX_TRIAL_S, MAX_TRIAL_S], waits[2:])

    def test_a_lost_server_gets_a_copy_after_its_ejection(self):
        health = ServerHealth()
        health.note_broken(True, 0.0)
        self.assertTrue(health.is_suspect(0.0))
        self.assertFalse(health.is_trial_due(MIN_EJECTION_S - 0.01))
        self.assertTrue(health.is_trial_due(MIN_EJECTION_S))
        health.note_reply()
        self.assertFalse(health.is_suspect(MIN_EJECTION_S))

    def test_suspicion_ends_by_itself_where_no_copies_are_made(self):
        # Routes whose requests run once make none; the server would never be used.
        lost = ServerHealth()
        lost.note_broken(True, 0.0)
        for health in (_suspect(), lost):
            self.assertTrue(health.is_suspect(ESTIMATE_DECAY_S - 0.01))
            self.assertFalse(health.is_suspect(ESTIMATE_DECAY_S + MIN_EJECTION_S))
