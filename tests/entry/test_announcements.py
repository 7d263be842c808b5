"""Tests of what servers say of themselves: their end, and pauses they ask for."""

import math

import testtools

from almondtide.entry.codec import (
    EndAnnouncement,
    decode_message,
    encode_end_announcement,
)
from almondtide.entry.dispatch import MAX_PAUSE_S
from almondtide.entry.feed import LEAVING_MARGIN_S
from almondtide.entry.upstreams import REMOVED_RETENTION_S, Failure, UpstreamTable
from almondtide.errors import DocumentError
from almondtide.platform.headers import decode_reply
from tests.entry.support import make_reply, make_route, make_server
from tests.entry.test_dispatch import _Fleet, _part, _run_calls
from tests.support import run

ONE_SERVICE = make_route(weighted_services=(("a", 1),), objective_s=0.5)
DRAIN_S = 3.0


def _table(**fields):
    table = UpstreamTable("lautoka")
    table.apply(make_server("i-1", **fields))
    return table


class EndTest(testtools.TestCase):
    """Guards against requests to a server after the end that it announced."""

    def test_the_earlier_end_holds(self):
        upstream = _table().get("i-1")
        self.assertEqual(math.inf, upstream.serves_until)
        upstream.announce_end(5.0)
        upstream.announce_end(9.0)
        upstream.listed_until = 7.0
        self.assertEqual(5.0, upstream.serves_until)
        upstream.listed_until = 3.0
        self.assertEqual(3.0, upstream.serves_until)

    def test_no_entry_in_the_store_takes_it_back(self):
        table = _table()
        table.get("i-1").announce_end(5.0)
        table.apply(make_server("i-1", cold=True))
        self.assertFalse(table.get("i-1").accepts_requests(5.0))

    def test_an_entry_that_lapses_and_comes_back_does_not_take_it_back(self):
        table = _table()
        table.get("i-1").announce_end(5.0)
        table.retire("i-1", 0.0, 2.0)
        self.assertIsNone(table.get("i-1"))
        table.apply(make_server("i-1"))
        self.assertEqual(5.0, table.get("i-1").serves_until)

    def test_a_new_start_of_the_server_takes_it_back(self):
        table = _table()
        table.get("i-1").announce_end(5.0)
        table.apply(make_server("i-1", born_ms=7))
        self.assertTrue(table.get("i-1").accepts_requests(6.0))

    def test_a_new_start_after_a_lapse_takes_it_back(self):
        table = _table()
        table.get("i-1").announce_end(5.0)
        table.retire("i-1", 0.0, 2.0)
        table.apply(make_server("i-1", born_ms=7))
        self.assertTrue(table.get("i-1").accepts_requests(6.0))

    def test_removed_servers_are_forgotten_after_a_while(self):
        table = _table()
        table.get("i-1").announce_end(5.0)
        table.retire("i-1", 0.0, 2.0)
        table.remove_expired(2.0 + REMOVED_RETENTION_S + 0.1)
        table.apply(make_server("i-1"))
        self.assertEqual(math.inf, table.get("i-1").serves_until)

    def test_a_leaving_server_is_used_only_if_the_others_are_worse(self):
        table = _table()
        table.apply(make_server("i-2", domain="nadi"))
        table.get("i-1").announce_end(5.0)
        self.assertEqual("i-2", table.choose("a", 1.0).server.id)
        self.assertEqual("i-1", table.choose("a", 1.0, {"i-2"}).server.id)
        self.assertIsNone(table.choose("a", 5.0, {"i-2"}))

    def test_a_reply_announces_the_end(self):
        fleet, _ = _run_calls(
            lambda exchange: (0.001, make_reply(is_leaving=True)),
            ONE_SERVICE,
            services=("a",),
        )
        exchange = fleet.pool.sent[0]
        left_s = exchange.upstream.serves_until - fleet.dispatcher.now()
        self.assertTrue(left_s <= DRAIN_S - LEAVING_MARGIN_S, left_s)
        self.assertTrue(left_s > DRAIN_S - LEAVING_MARGIN_S - 1.0, left_s)
        self.assertEqual(1, fleet.dispatcher.counts["ends_announced"])

    def test_a_reply_of_another_server_announces_nothing(self):
        reply = make_reply(status=421, server_id="i-other", is_leaving=True)
        fleet, _ = _run_calls(
            lambda exchange: (0.001, reply), ONE_SERVICE, services=("a",)
        )
        self.assertEqual(0, fleet.dispatcher.counts["ends_announced"])

    def test_the_other_active_entries_are_told(self):
        told = []

        async def report(server, serves_s):
            told.append((server.id, serves_s))

        async def scenario():
            fleet = _Fleet(
                lambda exchange: (0.001, make_reply(is_leaving=True)), ("a",), servers=1
            )
            fleet.dispatcher.set_end_reporter(report)
            await fleet.timers.start()
            for _ in range(3):
                await fleet.run(ONE_SERVICE)

        run(scenario)
        [(id, serves_s)] = told
        self.assertEqual("i-a00", id)
        self.assertAlmostEqual(DRAIN_S - LEAVING_MARGIN_S, serves_s, places=2)

    def test_a_peer_announces_the_end_of_one_incarnation(self):
        table = _table(born_ms=7)
        for born_ms, until in ((6, math.inf), (7, 5.0)):
            announcement = EndAnnouncement("i-1", born_ms, 4.0)
            message = decode_message(encode_end_announcement(announcement), 0.0)
            table.announce_end(
                message.server_id, message.born_ms, 1.0 + message.serves_s
            )
            self.assertEqual(until, table.get("i-1").serves_until)
        table.announce_end("i-none", 7, 5.0)

    def test_invalid_announcements_are_refused(self):
        for server_id, serves_s in (("", 1.0), ("i-1", -1.0), ("i-1", 1e9)):
            raw = encode_end_announcement(EndAnnouncement(server_id, 1, serves_s))
            with testtools.ExpectedException(DocumentError):
                decode_message(raw, 0.0)

    def test_refusals_and_errors_announce_it_too(self):
        for fields in ({"status": 503, "is_not_run": True}, {"status": 500}):
            reply = make_reply(is_leaving=True, **fields)
            fleet, _ = _run_calls(
                lambda exchange, reply=reply: (0.001, reply),
                ONE_SERVICE,
                services=("a",),
            )
            self.assertTrue(fleet.dispatcher.counts["ends_announced"] > 0)


class PauseTest(testtools.TestCase):
    """Guards against requests that a server doesn't want, and against lost servers."""

    def test_a_paused_server_gets_nothing(self):
        table = _table()
        upstream = table.get("i-1")
        upstream.pause(4.0)
        upstream.pause(2.0)
        self.assertIsNone(table.choose("a", 3.9))
        self.assertEqual(4.0, table.next_room_at("a", 3.0))
        self.assertEqual(0, table.throughput("a", 3.9, 0.03))
        self.assertIsNotNone(table.choose("a", 4.0))

    def test_success_of_another_exchange_does_not_end_a_pause(self):
        table = _table()
        upstream = table.get("i-1")
        for exchange in ("x", "y"):
            upstream.start(exchange, 0.0, 0.03)
        upstream.fail("x", Failure.NOT_RUN, 0.01)
        upstream.pause(4.0)
        upstream.succeed("y", 0.02)
        self.assertIsNone(table.choose("a", 3.9))

    def test_a_server_that_leaves_before_its_pause_ends_has_no_room(self):
        table = _table()
        table.get("i-1").pause(4.0)
        table.get("i-1").announce_end(3.0)
        self.assertIsNone(table.next_room_at("a", 1.0))

    def test_a_pause_outlasts_a_lapse_of_the_entry(self):
        table = _table()
        table.get("i-1").pause(4.0)
        table.retire("i-1", 0.0, 1.0)
        table.apply(make_server("i-1"))
        self.assertIsNone(table.choose("a", 3.9))

    def test_a_pause_outlasts_the_memory_of_removed_servers(self):
        table = _table()
        until = 3 * REMOVED_RETENTION_S
        table.get("i-1").pause(until)
        table.retire("i-1", 0.0, 1.0)
        table.remove_expired(until - 1.0)
        table.apply(make_server("i-1"))
        self.assertIsNone(table.choose("a", until - 0.5))

    def _pause_left_s(self, pause_s):
        """Return the pause in force after servers asked for ``pause_s``."""
        reply = make_reply(status=503, is_not_run=True, pause_s=pause_s)
        fleet, _ = _run_calls(
            lambda exchange: (0.001, reply), ONE_SERVICE, services=("a",)
        )
        upstream = fleet.pool.sent[0].upstream
        return upstream.paused_until - fleet.dispatcher.now()

    def test_a_pause_is_bounded(self):
        left_s = self._pause_left_s(1e11)
        self.assertTrue(left_s <= MAX_PAUSE_S, left_s)

    def test_a_pause_longer_than_all_timeouts_is_kept(self):
        # The server would get a request each time a shorter bound ends.
        for pause_s in (30.0, 600.0):
            left_s = self._pause_left_s(pause_s)
            self.assertTrue(pause_s - 2.0 < left_s <= pause_s, left_s)

    def test_all_servers_pause_beyond_the_objective(self):
        reply = make_reply(status=503, is_not_run=True, pause_s=2.0)
        fleet, results = _run_calls(
            lambda exchange: (0.001, reply), ONE_SERVICE, calls=5, services=("a",)
        )
        self.assertEqual(3, len(fleet.pool.sent))
        for _, answer, _ in results:
            self.assertEqual(503, answer.status)
        _, answer, duration_s = results[-1]
        headers = dict(answer.headers)
        self.assertTrue(1.5 < float(headers[b"retry-after"]) < 3.0, headers)
        self.assertTrue(duration_s < 0.1, duration_s)

    def test_times_that_cannot_be_read_are_counted(self):
        headers = [(b"not-run", b"1"), (b"retry-after", b"Fri, 04 Dec 2026")]
        reply = decode_reply(503, headers, b"")
        fleet, _ = _run_calls(
            lambda exchange: (0.001, reply), ONE_SERVICE, services=("a",)
        )
        self.assertTrue(fleet.dispatcher.counts["pauses_invalid"] > 0)
        self.assertEqual(0, fleet.dispatcher.counts["pauses"])


class HeadersTest(testtools.TestCase):
    """Guards against announcements that are overlooked or read from other replies."""

    def test_announced_end(self):
        for value, is_leaving in ((b"1", True), (b" 1", True), (b"0", False)):
            reply = decode_reply(200, [(b"server-leaving", value)], b"")
            self.assertEqual(is_leaving, reply.is_leaving)
        self.assertFalse(decode_reply(200, [], b"").is_leaving)

    def test_pause(self):
        for value, pause_s in ((b"2", 2.0), (b"0.25", 0.25), (b"-1", None)):
            reply = decode_reply(503, [(b"retry-after", value)], b"")
            self.assertEqual(pause_s, reply.pause_s)
            self.assertEqual(pause_s is None, reply.has_invalid_pause)
        for value in (b"", b"nan", b"inf", b"1e999", b"soon"):
            reply = decode_reply(503, [(b"retry-after", value)], b"")
            self.assertIsNone(reply.pause_s)
            self.assertTrue(reply.has_invalid_pause)

    def test_only_a_503_asks_for_a_pause(self):
        for status in (200, 429, 500):
            reply = decode_reply(status, [(b"retry-after", b"2")], b"")
            self.assertIsNone(reply.pause_s)


class SkippedTest(testtools.TestCase):
    """Guards against requests that are written after the server began to pause."""

    def test_a_request_that_waits_for_its_connection_goes_elsewhere(self):
        paused = []

        def behave(exchange):
            if not paused:
                # The server asks for a pause while this connection is opened.
                paused.append(exchange.upstream)
                exchange.upstream.pause(math.inf)
            return (0.001, _part(exchange))

        fleet, [(_, answer, _)] = _run_calls(behave, ONE_SERVICE, services=("a",))
        self.assertEqual(200, answer.status)
        written = [exchange for exchange in fleet.pool.sent if exchange.is_written]
        self.assertEqual(1, len(written))
        self.assertIsNot(paused[0], written[0].upstream)
        self.assertEqual(0, fleet.dispatcher.counts["retries"])

    def test_only_an_extra_send_that_was_spent_is_refunded(self):
        async def scenario():
            fleet = _Fleet(behave, ("a",))
            await fleet.timers.start()
            budget = fleet.dispatcher.retry_budget("a")
            budget.try_spend(fleet.dispatcher.now())
            answer = (await fleet.run(ONE_SERVICE))[1]
            return answer.status, budget.spent_count

        def behave(exchange):
            # The first server has no listener, so that its retry is no extra send.
            if len(exchange.branch.sends) == 1:
                return (0.0, Failure.NO_LISTENER)
            if len(exchange.branch.sends) == 2:
                exchange.upstream.pause(math.inf)
            return (0.001, _part(exchange))

        self.assertEqual((200, 1), run(scenario))
