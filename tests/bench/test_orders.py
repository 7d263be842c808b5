"""Tests of all orders of a few events around a change of the configuration."""

from unittest import mock

import testtools

from almondtide.entry import reader
from almondtide.entry.freshness import Freshness
from almondtide.entry.gossip import Gossip
from almondtide.entry.transit_delay import TransitDelays
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

    def test_no_age_counts_from_the_end_of_a_link_that_held_its_statement(self):
        self._assert_holds(
            [("held datagrams", 2), ("server change in a call", 1)],
            [("time", None), ("held datagrams", 2), ("server change in a call", 1)],
        )

    def test_changes_that_wait_for_calls_of_two_entries_are_not_one_state(self):
        orders = ([("change in a call", 1)], [("change in a call", 2)])
        states = {play_order(order).state for order in orders}
        self.assertEqual(2, len(states))

    def test_all_orders_of_two_events(self):
        found, states = search(2)
        self.assertEqual([], [("; ".join(o.names), o.found) for o in found])
        self.assertGreater(states, 100)


class EarlierFaultsTest(testtools.TestCase):
    """Guards against a search that would not find faults of this kind any more."""

    def _assert_found(self, claim, *orders):
        found = [text for order in orders for text in play_order(order).found]
        self.assertIn(claim, " ".join(found))

    def test_a_cursor_that_passes_a_change_between_two_calls_is_found(self):
        with mock.patch.object(reader, "min", max, create=True):
            self._assert_found(
                "cursor of entry 0 claims op/config",
                [("change in a call", 0), ("start", 0)],
            )

    def test_an_age_that_counts_from_the_handling_of_a_message_is_found(self):
        receive = Gossip.receive_datagram

        async def receive_without_wait(gossip, raw, host, arrived_after):
            await receive(gossip, raw, host, gossip._now())

        def note_any(freshness, reader_id, number, began_at):
            freshness.note_copy(began_at)

        with (
            mock.patch.object(Gossip, "receive_datagram", receive_without_wait),
            mock.patch.object(Freshness, "note_read", note_any),
            # It would take the wait for time that a link held the datagram.
            mock.patch.object(TransitDelays, "note", lambda *_: 0.0),
        ):
            self._assert_found(
                "fresh_at of entry 1 claims servers/i-q",
                [("pause", 1), ("server change in a call", 0)],
            )
