"""Tests of the latency window and the hedge policies."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.configuration import parse_configuration
from almondtide.hedging import MIN_HEDGE_DELAY_S, LatencyWindow, hedge_policies
from tests.documents import make_document


class LatencyWindowTest(testtools.TestCase):
    """Guards against hedge delays that follow outdated latencies."""

    def test_old_samples_are_dropped(self):
        window = LatencyWindow(max_samples=10)
        for _ in range(10):
            window.add(5.0)
        for _ in range(10):
            window.add(0.1)
        self.assertEqual(0.1, window.quantile(0.99))

    @given(st.lists(st.floats(0, 10), min_size=1, max_size=60))
    def test_quantile_is_a_sample_of_the_window(self, samples):
        window = LatencyWindow(max_samples=20)
        for sample in samples:
            window.add(sample)
        newest = sorted(samples[-20:])
        index = min(len(newest) - 1, int(0.9 * len(newest)))
        self.assertEqual(newest[index], window.quantile(0.9))


class HedgePolicyTest(testtools.TestCase):
    """Guards against hedges before the latency of the service is known."""

    def setUp(self):
        super().setUp()
        self.cfg = parse_configuration(make_document())

    def test_no_hedge_without_samples(self):
        policy = hedge_policies.get("quantile")
        self.assertIsNone(policy(LatencyWindow(), self.cfg, "advisory-0"))

    def test_delay_is_the_quantile_with_a_minimum(self):
        policy = hedge_policies.get("quantile")
        window = LatencyWindow()
        for number in range(100):
            window.add(number / 1000.0)
        self.assertEqual(0.095, policy(window, self.cfg, "advisory-0"))
        fast = LatencyWindow()
        for _ in range(100):
            fast.add(0.0001)
        self.assertEqual(MIN_HEDGE_DELAY_S, policy(fast, self.cfg, "advisory-0"))

    def test_off_policy_never_hedges(self):
        self.assertIsNone(hedge_policies.get("off")(LatencyWindow(), self.cfg, "x"))
