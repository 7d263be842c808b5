"""Tests of all orders of a few events around a change of the configuration."""

import testtools

from bench.orders import play_order, search


class OrdersTest(testtools.TestCase):
    """Guards against orders of events in which a version is late, or missed."""

    def _assert_holds(self, *orders):
        found = {
            "; ".join(order.names): order.found
            for order in map(play_order, orders)
            if order.found
        }
        self.assertEqual({}, found)

    def test_a_change_alone_is_in_force_at_once(self):
        self._assert_holds(
            [("change", None)],
            *([("change in a call", entry)] for entry in range(3)),
        )

    def test_a_change_beside_two_faults_is_in_force_in_time(self):
        self._assert_holds(
            [("cut", 2), ("lost answer", 2), ("change", None)],
            [("cut", 1), ("change", None), ("lost answer", 1)],
            [("end", 0), ("refusal", 1), ("change", None)],
            [("pause", 0), ("lost answer", 1), ("change", None)],
            [("lost history", None), ("change", None), ("lost updates", 2)],
        )

    def test_all_orders_of_two_events(self):
        found, states = search(2)
        self.assertEqual([], [("; ".join(o.names), o.found) for o in found])
        self.assertGreater(states, 100)
