"""Tests of the estimates of a server and of its probation after it was slow or lost."""

import testtools

from almondtide.entry.policy.health import (
    ESTIMATE_DECAY_S,
    MAX_COPY_INTERVAL_S,
    MAX_LATENCY_RATIO,
    MIN_COPY_INTERVAL_S,
    MIN_EJECTION_S,
    PROBATION_SAMPLES,
    ServerHealth,
)

SLOW = 2.0 * MAX_LATENCY_RATIO


def _slow_server(now=0.0, pace=1.0):
    health = ServerHealth()
    for _ in range(PROBATION_SAMPLES):
        health.note_latency(SLOW, pace, now)
    return health


class ProbationTest(testtools.TestCase):
    """Guards against callers who find out that a server is still slow or lost."""

    def test_only_slow_replies_in_a_row_lead_to_probation(self):
        health = ServerHealth()
        for _ in range(5):
            health.note_latency(SLOW, 1.0, 0.0)
            self.assertFalse(health.is_on_probation(0.0))
            health.note_latency(1.0, 1.0, 0.0)
        self.assertTrue(_slow_server().is_on_probation(0.0))

    def test_a_server_that_reports_to_be_slow_is_on_probation(self):
        # The pace that it reports counts for less than a second. Slow servers were
        # tried again by each entry as soon as their last report was outdated.
        health = _slow_server(pace=SLOW)
        self.assertTrue(health.slowness(0.0) <= 1.0)
        self.assertTrue(health.is_on_probation(1.0))

    def test_one_quick_reply_ends_it(self):
        health = _slow_server()
        health.note_latency(1.0, 1.0, 0.5)
        self.assertFalse(health.is_on_probation(0.5))

    def test_copies_become_rarer_while_the_server_stays_slow(self):
        health, now, waits = ServerHealth(), 0.0, []
        for _ in range(6):
            health.note_latency(SLOW, 1.0, now)
            before = now
            while not health.is_copy_due(now) and now < before + 1.0:
                now += 0.01
            waits.append(round(now - before, 1))
            health.note_copy(now)
        self.assertEqual(2 * MIN_COPY_INTERVAL_S, waits[1])
        self.assertEqual(
            [0.4, MAX_COPY_INTERVAL_S, MAX_COPY_INTERVAL_S, MAX_COPY_INTERVAL_S],
            waits[2:],
        )

    def test_a_lost_server_gets_a_copy_after_its_ejection(self):
        health = ServerHealth()
        health.note_broken(True, 0.0)
        self.assertTrue(health.is_on_probation(0.0))
        self.assertFalse(health.is_copy_due(MIN_EJECTION_S - 0.01))
        self.assertTrue(health.is_copy_due(MIN_EJECTION_S))
        health.note_reply()
        self.assertFalse(health.is_on_probation(MIN_EJECTION_S))

    def test_probation_ends_by_itself_where_no_copies_are_made(self):
        # Routes whose requests run once make none; the server would never be used.
        lost = ServerHealth()
        lost.note_broken(True, 0.0)
        for health in (_slow_server(), lost):
            self.assertTrue(health.is_on_probation(ESTIMATE_DECAY_S - 0.01))
            self.assertFalse(health.is_on_probation(ESTIMATE_DECAY_S + MIN_EJECTION_S))
