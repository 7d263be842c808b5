"""Tests of the expected times of routes and their hedge delay."""

import testtools

from almondtide.entry.pacing import HEDGE_FLOOR_S, HEDGE_MEDIANS, RoutePace


def _pace(latencies):
    pace = RoutePace(0.15)
    for latency in latencies:
        pace.add(latency)
    return pace


class RoutePaceTest(testtools.TestCase):
    """Guards against hedges that come too late to help, or without need."""

    def test_before_samples_the_delay_follows_the_objective(self):
        pace = RoutePace(0.15)
        self.assertTrue(0.0 < pace.expected_s < pace.hedge_s < 0.15)

    def test_delay_is_a_quantile_of_ordinary_latencies(self):
        pace = _pace([0.020 + 0.0001 * number for number in range(96)])
        self.assertTrue(0.027 < pace.hedge_s < 0.030)

    def test_slow_servers_do_not_raise_the_delay_to_their_own_latency(self):
        # A sixth of the servers became ten times slower on a recorded day; the
        # quantile followed them and hardly any query was hedged.
        pace = _pace([0.3 if number % 6 == 0 else 0.03 for number in range(96)])
        self.assertAlmostEqual(HEDGE_MEDIANS * 0.03, pace.hedge_s)

    def test_delay_has_a_floor(self):
        self.assertEqual(HEDGE_FLOOR_S, _pace([0.0001] * 96).hedge_s)
