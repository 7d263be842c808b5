"""Tests of the expected latency of routes and their hedge delay."""

import testtools

from almondtide.entry.policy.route_latency import (
    MAX_HEDGE_DELAY_MEDIANS,
    MIN_HEDGE_DELAY_S,
    RouteLatency,
)


def _make_route_latency(latencies_s):
    route_latency = RouteLatency(0.15)
    for latency_s in latencies_s:
        route_latency.add(latency_s)
    return route_latency


class ChangedObjectiveTest(testtools.TestCase):
    """Guards against the objective of the version in which a route was first called."""

    def test_a_route_without_samples(self):
        latency = RouteLatency(0.15)
        latency.set_objective(1.5)
        fresh = RouteLatency(1.5)
        for name in ("objective_s", "expected_s", "hedge_delay_s", "objective_ratio"):
            self.assertEqual(getattr(fresh, name), getattr(latency, name), name)

    def test_what_was_learned_stays(self):
        latency = _make_route_latency([0.02] * 96)
        before = latency.expected_s, latency.hedge_delay_s
        latency.set_objective(0.04)
        self.assertEqual(before, (latency.expected_s, latency.hedge_delay_s))
        self.assertAlmostEqual(2.0, latency.objective_ratio)


class RouteLatencyTest(testtools.TestCase):
    """Guards against hedges that are sent too late to help, or needlessly."""

    def test_before_samples_the_delay_follows_the_objective(self):
        latency = RouteLatency(0.15)
        self.assertTrue(0.0 < latency.expected_s < latency.hedge_delay_s < 0.15)

    def test_delay_is_a_quantile_of_ordinary_latencies(self):
        latency = _make_route_latency([0.020 + 0.0001 * number for number in range(96)])
        self.assertTrue(0.027 < latency.hedge_delay_s < 0.030)

    def test_slow_servers_do_not_raise_the_delay_to_their_own_latency(self):
        # When a sixth of the servers is ten times slower, the quantile alone is their
        # latency, and hardly any query is hedged.
        latency = _make_route_latency(
            [0.3 if number % 6 == 0 else 0.03 for number in range(96)]
        )
        self.assertAlmostEqual(MAX_HEDGE_DELAY_MEDIANS * 0.03, latency.hedge_delay_s)

    def test_delay_has_a_lower_bound(self):
        self.assertEqual(
            MIN_HEDGE_DELAY_S, _make_route_latency([0.0001] * 96).hedge_delay_s
        )
