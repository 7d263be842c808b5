"""Tests of admission and of the reported load."""

import testtools

from almondtide.admission import (
    LoadEstimate,
    LoadTable,
    refusal_retry_ms,
    refusal_share,
)
from almondtide.clock import MemoryClock


class AdmitTest(testtools.TestCase):
    """Guards against admission of work that would miss its deadline."""

    def test_work_that_fits_is_admitted(self):
        self.assertIsNone(refusal_retry_ms(LoadEstimate(0.1, 0.05), 0.39))

    def test_idle_service_is_used_however_slow_it_was(self):
        """Refusing it would keep its old measurements for ever."""
        self.assertIsNone(refusal_retry_ms(LoadEstimate(0.0, 5.0), 0.39))

    def test_refusal_returns_a_retry_delay(self):
        retry_after_ms = refusal_retry_ms(LoadEstimate(1.0, 0.05), 0.39)
        self.assertTrue(500 < retry_after_ms < 1000, retry_after_ms)


class RefusalShareTest(testtools.TestCase):
    """Guards against coordinators that refuse everything and then nothing."""

    def share(self, wait_s):
        return refusal_share(LoadEstimate(wait_s, 0.09), 0.39)

    def test_short_queue_admits_everything(self):
        self.assertEqual(0.0, self.share(0.05))

    def test_long_queue_refuses_everything(self):
        self.assertEqual(1.0, self.share(0.2))

    def test_share_grows_with_the_wait(self):
        shares = [self.share(step / 1000.0) for step in range(60, 180, 10)]
        self.assertEqual(sorted(shares), shares)
        self.assertTrue(0.4 < self.share(0.12) < 0.6)

    def test_work_that_must_wait_is_refused_without_slack(self):
        self.assertEqual(1.0, refusal_share(LoadEstimate(0.01, 0.5), 0.39))

    def test_idle_service_gets_queries_however_slow_it_was(self):
        """Refusing it would keep its old measurements for ever."""
        self.assertEqual(0.0, refusal_share(LoadEstimate(0.0, 0.5), 0.39))


class LoadTableTest(testtools.TestCase):
    """Guards against a service that stays refused for lack of newer reports."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryClock()
        self.loads = LoadTable(self.clock)

    def wait_s(self, workload="advisory", service="advisory-0"):
        return self.loads.estimate(workload, service).wait_s

    def test_estimated_wait_shrinks_with_time(self):
        self.loads.record("advisory", "advisory-0", LoadEstimate(0.5, 0.1))
        self.clock.advance(0.2)
        self.assertAlmostEqual(0.3, self.wait_s())
        self.clock.advance(1.0)
        self.assertEqual(0.0, self.wait_s())

    def test_unknown_service_is_not_refused(self):
        self.assertEqual(0.0, self.wait_s(service="advisory-9"))

    def test_estimates_are_separate_for_each_workload(self):
        self.loads.record("advisory", "advisory-0", LoadEstimate(0.5, 0.1))
        self.assertEqual(0.0, self.wait_s(workload="billing"))

    def test_busiest_returns_the_longest_estimate(self):
        self.loads.record("advisory", "advisory-0", LoadEstimate(0.1, 0.1))
        self.loads.record("advisory", "advisory-1", LoadEstimate(0.3, 0.1))
        busiest = self.loads.busiest("advisory", ["advisory-0", "advisory-1"])
        self.assertEqual(0.3, busiest.wait_s)
