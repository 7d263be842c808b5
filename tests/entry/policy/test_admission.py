"""Tests of the admission of calls under overload and with lost services."""

import math

import testtools

from almondtide.entry.policy.admission import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    RETRY_AFTER_JITTER,
    ServiceState,
    decide_admission,
    not_ready_retry_s,
    retry_after_s,
)

OPEN, FULL = ServiceState.OPEN, ServiceState.FULL
LOST, EMPTY = ServiceState.LOST, ServiceState.EMPTY
PROBE = ServiceState.PROBE


class DecideTest(testtools.TestCase):
    """Guards against admitting calls that cannot be answered."""

    def test_all_services_open(self):
        self.assertTrue(decide_admission([OPEN] * 10, 9).is_admitted)

    def test_lost_shards_are_tolerated_down_to_the_needed_coverage(self):
        self.assertTrue(decide_admission([LOST] + [OPEN] * 9, 9).is_admitted)
        self.assertFalse(decide_admission([LOST, EMPTY] + [OPEN] * 8, 9).is_admitted)
        self.assertTrue(decide_admission([LOST, EMPTY] + [OPEN] * 8, 8).is_admitted)

    def test_shards_that_are_due_for_a_probe_count_as_usable(self):
        # Refused calls probe no shard. An entry whose shards were all lost refused
        # calls for ever (soak seeds 1, 12, 100 and 102).
        self.assertTrue(decide_admission([PROBE] * 3 + [OPEN] * 7, 9).is_admitted)
        self.assertFalse(
            decide_admission([PROBE, LOST, LOST] + [OPEN] * 7, 9).is_admitted
        )

    def test_a_full_shard_is_skipped_or_the_call_is_refused(self):
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
        # Only a request can detect that a lost service is back.
        self.assertTrue(decide_admission([LOST], 1).is_admitted)
        self.assertFalse(decide_admission([FULL], 1).is_admitted)
        self.assertIn("no servers", decide_admission([EMPTY], 1).reason)


class NotReadyTest(testtools.TestCase):
    """Guards against callers that come back before the store does, or much later."""

    def test_callers_wait_for_about_as_long_as_the_entry_has(self):
        for waited_s, least_s in ((0.0, 0.1), (0.5, 0.5), (30.0, 1.0)):
            for jitter in (0.0, 0.5, 1.0):
                time_s = not_ready_retry_s(waited_s, jitter)
                self.assertTrue(least_s <= time_s <= 1.5 * least_s, (waited_s, jitter))


class RetryAfterTest(testtools.TestCase):
    """Guards against callers that retry together, immediately or too late."""

    def test_grows_with_the_queue(self):
        self.assertEqual(MIN_RETRY_AFTER_S, retry_after_s(0.0, 0.0))
        self.assertAlmostEqual(0.2, retry_after_s(20 * 0.03 / 3, 0.0))
        self.assertEqual(MAX_RETRY_AFTER_S, retry_after_s(math.inf, 0.0))

    def test_jitter_spreads_the_times(self):
        times = [retry_after_s(20 * 0.03 / 3, number / 10) for number in range(11)]
        self.assertEqual(11, len(set(times)))
        self.assertAlmostEqual((1 + RETRY_AFTER_JITTER) * times[0], times[-1])

    def test_service_without_slots(self):
        self.assertTrue(retry_after_s(0.0, 0.5) > 0)
