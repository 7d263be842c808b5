"""Tests of the admission of calls, replaying overload and losses."""

import testtools

from almondtide.entry.admission import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    RETRY_AFTER_JITTER,
    ServiceState,
    decide_admission,
    retry_after_s,
)

OPEN, FULL = ServiceState.OPEN, ServiceState.FULL
LOST, EMPTY = ServiceState.LOST, ServiceState.EMPTY
PROBE = ServiceState.PROBE


class DecideTest(testtools.TestCase):
    """Guards against calls that are held though they cannot be answered."""

    def test_calm(self):
        self.assertTrue(decide_admission([OPEN] * 10, 9).is_admitted)

    def test_a_lost_shard_is_borne_up_to_the_coverage(self):
        self.assertTrue(decide_admission([LOST] + [OPEN] * 9, 9).is_admitted)
        self.assertFalse(decide_admission([LOST, EMPTY] + [OPEN] * 8, 9).is_admitted)
        self.assertTrue(decide_admission([LOST, EMPTY] + [OPEN] * 8, 8).is_admitted)

    def test_shards_that_are_due_for_a_probe_let_the_call_in(self):
        # Calls that were refused for lost shards probed none of them, so that an
        # entry refused for ever (soak, seeds 1, 12, 100 and 102).
        self.assertTrue(decide_admission([PROBE] * 3 + [OPEN] * 7, 9).is_admitted)
        self.assertFalse(
            decide_admission([PROBE, LOST, LOST] + [OPEN] * 7, 9).is_admitted
        )

    def test_a_full_shard_is_left_out_or_refuses_the_call(self):
        self.assertTrue(decide_admission([FULL] + [OPEN] * 9, 9).is_admitted)
        decision = decide_admission([FULL, LOST] + [OPEN] * 8, 9)
        self.assertFalse(decision.is_admitted)
        self.assertIn("full: 8 of 10, 9 needed", decision.reason)

    def test_the_reason_names_some_of_the_services(self):
        states = [FULL, LOST, OPEN] + [FULL] * 7
        reason = decide_admission(states, 9).describe(list("abcdefghij"))
        start = "full: 1 of 10, 9 needed; a full, b lost, d full"
        self.assertTrue(reason.startswith(start), reason)
        self.assertTrue(reason.endswith("3 more"), reason)

    def test_one_service(self):
        self.assertTrue(decide_admission([OPEN], 1).is_admitted)
        # The only jitter of a lost service is a request that tries it.
        self.assertTrue(decide_admission([LOST], 1).is_admitted)
        self.assertFalse(decide_admission([FULL], 1).is_admitted)
        self.assertIn("no servers", decide_admission([EMPTY], 1).reason)


class RetryAfterTest(testtools.TestCase):
    """Guards against callers that return together, at once or too late."""

    def test_follows_the_queue(self):
        self.assertEqual(MIN_RETRY_AFTER_S, retry_after_s(0, 3, 0.03, 0.0))
        self.assertAlmostEqual(0.2, retry_after_s(20, 3, 0.03, 0.0))
        self.assertEqual(MAX_RETRY_AFTER_S, retry_after_s(5000, 3, 0.03, 0.0))

    def test_is_spread(self):
        times = [retry_after_s(20, 3, 0.03, number / 10) for number in range(11)]
        self.assertEqual(11, len(set(times)))
        self.assertAlmostEqual((1 + RETRY_AFTER_JITTER) * times[0], times[-1])

    def test_service_without_slots(self):
        self.assertTrue(retry_after_s(5, 0, 0.03, 0.5) > 0)
