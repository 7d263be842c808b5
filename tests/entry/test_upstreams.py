"""Tests of the health of servers and of the choice among them."""

import testtools

from almondtide.entry.policy.health import (
    ESTIMATE_DECAY_S,
    MIN_EJECTION_S,
    MIN_FULL_BACKOFF_S,
)
from almondtide.entry.run_time import TICK_S
from almondtide.entry.upstream import CONNECT_BACKOFF_S, LOST_AFTER_S
from almondtide.entry.upstreams import MAX_DEPTH_PER_SLOT, Failure, UpstreamTable
from tests.entry.support import make_server

EXPECTED_S = 0.03


def _table(*servers):
    table = UpstreamTable("lautoka")
    for server in servers:
        table.apply(server)
    return table


def _three():
    return _table(
        make_server("i-1"),
        make_server("i-2", domain="nadi"),
        make_server("i-3", domain="suva"),
    )


def _serve(upstream, count, now, latency_s=EXPECTED_S):
    """Let an upstream answer ``count`` exchanges in sequence; return the end."""
    for number in range(count):
        exchange = object()
        start = now + number * latency_s
        upstream.start(exchange, start, EXPECTED_S)
        upstream.succeed(exchange, start + latency_s)
    return now + count * latency_s


class ChoiceTest(testtools.TestCase):
    """Guards against load on servers that are in other domains, full or slow."""

    def test_same_failure_domain_first(self):
        self.assertEqual("i-1", _three().choose("a", 0.0).server.id)

    def test_other_domains_when_the_server_of_the_same_domain_is_busy(self):
        table = _three()
        for number in range(6):
            upstream = table.choose("a", 0.0)
            upstream.start(number, 0.0, EXPECTED_S)
        counts = {upstream.server.id: upstream.in_flight for upstream in table}
        self.assertEqual(4, counts["i-1"])
        self.assertEqual(2, counts["i-2"] + counts["i-3"])

    def test_no_server_gets_more_than_its_depth(self):
        table = _three()
        placed = 0
        while (upstream := table.choose("a", 0.0, objective_ratio=20.0)) is not None:
            upstream.start(placed, 0.0, EXPECTED_S)
            placed += 1
        self.assertEqual(3 * 3 * MAX_DEPTH_PER_SLOT, placed)
        self.assertEqual(0.0, table.next_room_at("a", 0.0))

    def test_entries_share_the_depth_of_a_server(self):
        table = _three()
        table.entry_count = 6
        self.assertEqual(2, table.max_in_flight(3, objective_ratio=8.0))
        self.assertEqual(1, table.max_in_flight(3, objective_ratio=1.0))
        table.entry_count = 1
        self.assertEqual(3, table.max_in_flight(3, objective_ratio=1.0))

    def test_entries_share_the_connections_of_a_server(self):
        table = _three()
        table.entry_count = 6
        table.connection_limits = {"a": 66}
        upstream = table.get("i-1")
        upstream.connection_count = 7
        self.assertTrue(table.may_connect(upstream, 0.0))
        upstream.connection_count = 8
        self.assertFalse(table.may_connect(upstream, 0.0))
        self.assertNotEqual("i-1", table.choose("a", 0.0).server.id)
        upstream.idle_connection_count = 1
        self.assertTrue(table.may_connect(upstream, 0.0))

    def test_no_connection_is_opened_after_a_reset(self):
        table = _three()
        upstream = table.get("i-1")
        upstream.note_connection_reset(1.0)
        self.assertNotEqual("i-1", table.choose("a", 1.1).server.id)
        self.assertEqual("i-1", table.choose("a", 1.0 + CONNECT_BACKOFF_S).server.id)
        upstream.idle_connection_count = 1
        self.assertEqual("i-1", table.choose("a", 1.1).server.id)

    def test_slow_server_is_avoided_and_tried_again_later(self):
        table = _three()
        slow = table.get("i-1")
        now = _serve(slow, 3, 0.0, latency_s=8 * EXPECTED_S)
        self.assertNotEqual("i-1", table.choose("a", now).server.id)
        later = now + ESTIMATE_DECAY_S
        self.assertEqual("i-1", table.choose("a", later).server.id)

    def test_excluded_and_leaving_servers_are_not_chosen(self):
        table = _three()
        table.apply(make_server("i-2", domain="nadi", leaving=True))
        self.assertEqual("i-3", table.choose("a", 0.0, {"i-1"}).server.id)
        self.assertIsNone(table.choose("a", 0.0, {"i-1", "i-3"}))
        self.assertIsNone(table.choose("none", 0.0))

    def test_cold_server_is_avoided(self):
        table = _table(make_server("i-1", cold=True), make_server("i-2"))
        self.assertEqual("i-2", table.choose("a", 0.0).server.id)


class PauseTest(testtools.TestCase):
    """Guards against taking a paused server, silent for 150 to 200 ms, for lost."""

    def test_silent_server_is_avoided_while_it_is_silent(self):
        table = _three()
        paused = table.get("i-1")
        now = _serve(paused, 5, 0.0)
        paused.start("x", now, EXPECTED_S)
        self.assertEqual("i-1", table.choose("a", now + 0.05).server.id)
        self.assertNotEqual("i-1", table.choose("a", now + 0.09).server.id)
        paused.succeed("x", now + 0.18)
        # One long exchange must not exclude a server that answers again.
        self.assertEqual("i-1", table.choose("a", now + 0.18).server.id)

    def test_server_that_replies_to_other_exchanges_is_not_silent(self):
        table = _three()
        busy = table.get("i-1")
        busy.start("slow query", 0.0, EXPECTED_S)
        for number in range(4):
            busy.start(number, 0.05 * number, EXPECTED_S)
            busy.succeed(number, 0.05 * number + 0.02)
        self.assertEqual(0.0, busy.silent_s(0.2))

    def test_paused_servers_are_not_lost(self):
        table = _three()
        for upstream in table:
            upstream.start("x", 0.0, EXPECTED_S)
        self.assertFalse(table.is_service_lost("a", 0.2))


class LostServiceTest(testtools.TestCase):
    """Guards against missing the loss or recovery of all servers of a shard."""

    def test_refused_connections_eject_and_one_probe_at_a_time_is_sent(self):
        table = _three()
        for upstream in table:
            upstream.start("x", 0.0, EXPECTED_S)
            upstream.fail("x", Failure.NOT_SENT, 0.001)
        self.assertTrue(table.is_service_lost("a", 0.01))
        self.assertIsNone(table.choose("a", 0.01))
        later = 0.001 + MIN_EJECTION_S + 0.001
        probe = table.choose("a", later)
        probe.start("probe", later, EXPECTED_S)
        others = [table.choose("a", later, {probe.server.id}) for _ in range(2)]
        self.assertNotIn(probe, others)
        probe.succeed("probe", later + 0.03)
        self.assertFalse(table.is_service_lost("a", later + 0.03))
        self.assertIs(probe, table.choose("a", later + 0.03))

    def test_ejection_time_doubles_up_to_its_maximum(self):
        upstream = _table(make_server("i-1")).get("i-1")
        now = 0.0
        waits = []
        for _ in range(5):
            upstream.start("x", now, EXPECTED_S)
            upstream.fail("x", Failure.NOT_SENT, now)
            waits.append(round(upstream.ejected_until - now, 3))
            now = upstream.ejected_until
        self.assertEqual([0.25, 0.5, 0.5, 0.5, 0.5], waits)

    def test_long_silence_counts_as_loss(self):
        table = _three()
        for upstream in table:
            upstream.start("x", 0.0, EXPECTED_S)
        self.assertTrue(table.is_service_lost("a", LOST_AFTER_S + 0.01))
        for upstream in table:
            upstream.abandon("x", LOST_AFTER_S + 0.01)
        # The servers stay lost after the silent exchanges were given up.
        self.assertTrue(table.is_service_lost("a", LOST_AFTER_S + 0.02))

    def test_a_pause_of_this_process_is_no_silence_of_its_servers(self):
        # Replies wait unread meanwhile; new requests are placed before they are read.
        table = _three()
        table.run_time.tick(0.0)
        for upstream in table:
            upstream.start("x", 0.0, EXPECTED_S)
            upstream.start("y", 0.0, EXPECTED_S)
        self.assertFalse(table.is_service_lost("a", 3.0))
        for upstream in table:
            upstream.abandon("x", 3.0)
        self.assertFalse(table.is_service_lost("a", 3.0))
        # They count as lost if they are silent for long enough afterwards.
        now = 3.0
        while now < 3.0 + LOST_AFTER_S:
            table.run_time.tick(now)
            now += TICK_S
        self.assertTrue(table.is_service_lost("a", now))

    def test_exchange_that_was_given_up_early_ejects_no_server(self):
        upstream = _table(make_server("i-1")).get("i-1")
        upstream.start("x", 0.0, EXPECTED_S)
        upstream.abandon("x", 0.05)
        self.assertFalse(upstream.is_lost(0.06))

    def test_a_service_without_servers_is_lost(self):
        self.assertTrue(_three().is_service_lost("none", 0.0))


class OverloadTest(testtools.TestCase):
    """Guards against requests to servers that shed while others do not."""

    def test_full_server_is_not_used_again_immediately(self):
        table = _three()
        full = table.get("i-1")
        full.start("x", 0.0, EXPECTED_S)
        full.fail("x", Failure.NOT_RUN, 0.001)
        self.assertNotEqual(
            "i-1", table.choose("a", 0.001 + MIN_FULL_BACKOFF_S / 2).server.id
        )

    def test_work_goes_to_the_server_that_does_not_shed(self):
        table = _three()
        now = 0.0
        for number in range(60):
            upstream = table.choose("a", now)
            if upstream is not None:
                upstream.start(number, now, EXPECTED_S)
                if upstream.server.id == "i-3":
                    upstream.succeed(number, now + EXPECTED_S)
                else:
                    upstream.fail(number, Failure.NOT_RUN, now + 0.002)
            now += 0.04
        last = [table.choose("a", now + 0.04 * step).server.id for step in range(5)]
        self.assertEqual(["i-3"] * 5, last)

    def test_failing_server_is_preferred_to_none(self):
        table = _table(make_server("i-1"))
        upstream = table.get("i-1")
        for number in range(10):
            upstream.start(number, 0.0, EXPECTED_S)
            upstream.fail(number, Failure.ERROR, 0.0)
        self.assertIs(upstream, table.choose("a", 0.0))


class IncarnationTest(testtools.TestCase):
    """Guards against estimates of one server that are used for another."""

    def test_new_incarnation_starts_without_history(self):
        table = _table(make_server("i-1", born_ms=1))
        old = table.get("i-1")
        old.fail("x", Failure.NOT_SENT, 0.0)
        self.assertIs(old, table.apply(make_server("i-1", born_ms=2)))
        self.assertTrue(old.is_removed)
        self.assertEqual(0.0, table.get("i-1").ejected_until)

    def test_update_keeps_the_history(self):
        table = _table(make_server("i-1", cold=True))
        known = table.get("i-1")
        self.assertIsNone(table.apply(make_server("i-1")))
        self.assertIs(known, table.get("i-1"))
        self.assertFalse(known.server.cold)

    def test_server_at_the_address_of_another_is_not_used(self):
        table = _three()
        wrong = table.get("i-1")
        wrong.start("x", 0.0, EXPECTED_S)
        wrong.fail("x", Failure.MISDIRECTED, 0.001)
        self.assertNotIn(wrong, table.usable_upstreams("a", 0.001))

    def test_removed_server(self):
        table = _three()
        self.assertIsNotNone(table.remove("i-1"))
        self.assertIsNone(table.remove("i-1"))
        self.assertEqual(2, len(table.usable_upstreams("a", 0.0)))


class LeavingTest(testtools.TestCase):
    """Guards against unused leaving servers while the others are lost or full."""

    def test_a_leaving_server_is_used_where_the_others_are_lost(self):
        table = _table(make_server("i-1"), make_server("i-2"))
        table.apply(make_server("i-2", leaving=True), serves_until=3.0)
        self.assertEqual("i-1", table.choose("a", 1.0).server.id)
        table.get("i-1").fail("x", Failure.NOT_SENT, 1.0)
        self.assertEqual("i-2", table.choose("a", 1.0).server.id)
        self.assertFalse(table.is_service_lost("a", 1.0))

    def test_a_leaving_server_is_used_where_the_others_are_full(self):
        table = _table(make_server("i-1"), make_server("i-2"))
        table.retire("i-2", 3.0, 0.0)
        for number in range(20):
            if table.choose("a", 1.0).server.id == "i-2":
                break
            table.get("i-1").start(number, 1.0, EXPECTED_S)
        self.assertEqual("i-2", table.choose("a", 1.0).server.id)

    def test_a_leaving_server_is_not_used_without_need(self):
        table = _table(make_server("i-1"), make_server("i-2"), make_server("i-3"))
        table.retire("i-2", 3.0, 0.0)
        for number in range(2):
            for id in ("i-1", "i-3"):
                table.get(id).start((id, number), 1.0, EXPECTED_S)
            self.assertNotEqual("i-2", table.choose("a", 1.0).server.id)

    def test_a_leaving_server_is_not_used_once_it_may_have_ended(self):
        table = _table(make_server("i-1"))
        table.retire("i-1", 3.0, 0.0)
        self.assertEqual("i-1", table.choose("a", 2.9).server.id)
        self.assertIsNone(table.choose("a", 3.0))
        self.assertEqual([], table.usable_upstreams("a", 3.0))

    def test_expired_servers_are_removed_and_returned(self):
        table = _table(make_server("i-1"), make_server("i-2"))
        table.retire("i-1", 3.0, 0.0)
        self.assertEqual([], table.remove_expired(2.9))
        (upstream,) = table.remove_expired(3.0)
        self.assertEqual("i-1", upstream.server.id)
        self.assertTrue(upstream.is_removed)
        self.assertEqual(["i-2"], [item.server.id for item in table])

    def test_a_gone_server_without_a_time_is_removed_immediately(self):
        table = _table(make_server("i-1"))
        self.assertIsNotNone(table.retire("i-1", 0.0, 1.0))
        self.assertIsNone(table.choose("a", 1.0))

    def test_a_later_time_does_not_extend_the_use_of_a_leaving_server(self):
        table = _table(make_server("i-1"))
        table.apply(make_server("i-1", leaving=True), serves_until=3.0)
        table.retire("i-1", 5.0, 2.0)
        self.assertIsNone(table.choose("a", 3.0))

    def test_a_server_that_is_listed_again_is_used_as_before(self):
        table = _table(make_server("i-1"))
        table.retire("i-1", 3.0, 0.0)
        table.apply(make_server("i-1"))
        self.assertEqual([], table.remove_expired(9.0))
        self.assertEqual("i-1", table.choose("a", 9.0).server.id)
