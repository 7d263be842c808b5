"""Tests of the rates that servers announce for all entries together."""

import math

import cbor2
import testtools

from almondtide.entry.codec import (
    Heartbeat,
    LimitEnd,
    decode_message,
    encode_heartbeat,
    encode_limit_end,
)
from almondtide.entry.members import Member, MemberState
from almondtide.entry.policy.rate_limits import (
    BURST_S,
    MAX_UNCONFIRMED_S,
    MIN_RATE_PER_S,
    REPORT_LIFETIME_S,
    DemandMeter,
    RateLimit,
    RateShares,
    service_key,
    share_of_rate,
)
from almondtide.entry.upstreams import UpstreamTable
from almondtide.errors import DocumentError
from bench.replay import LoadReplay
from tests.entry.support import make_reply, make_route, make_server
from tests.entry.test_dispatch import _Fleet, _run_calls
from tests.support import run

# A limited server may get this many times its rate in any window, and some requests
# more (rule LIMIT of the platform), from some time after it first named the rate.
WINDOW_S = 4.0
OVERSHOOT = 1.5
EXTRA_REQUESTS = 5
NOTICE_S = 4.0
ONE_SERVICE = make_route(weighted_services=(("a", 1),), objective_s=0.5)


def _run_limited(calls=6, **fields):
    """Run calls to one server whose replies have ``fields``; return the fleet."""
    fleet, _ = _run_calls(
        lambda exchange: (0.001, make_reply(**fields)),
        ONE_SERVICE,
        calls=calls,
        services=("a",),
    )
    return fleet


class LimitLogTest(testtools.TestCase):
    """Guards against requests to a limited server that no log accounts for."""

    def test_requests_to_a_limited_server_are_logged_by_kind(self):
        fleet = _run_limited(rate_limit=500.0)
        fleet.dispatcher.log_limited_sends()
        events = [
            fields
            for name, fields in fleet.dispatcher._log.events
            if name == "limited_sends"
        ]
        self.assertTrue(events)
        self.assertEqual({500.0}, {event["rate"] for event in events})
        self.assertTrue(sum(event["first"] for event in events) > 0)
        self.assertEqual(0, sum(event["retry"] for event in events))

    def test_the_begin_and_the_end_of_a_limit_are_logged_once(self):
        fleet = _run_limited(rate_limit=500.0)
        begun = [
            fields["rate"]
            for name, fields in fleet.dispatcher._log.events
            if name == "server_limited"
        ]
        self.assertEqual(
            len({e.upstream.server.id for e in fleet.pool.sent}), len(begun)
        )
        self.assertEqual(len(begun), fleet.dispatcher.counts["rate_limits"])

    def test_a_rate_that_cannot_be_read_is_counted_and_changes_nothing(self):
        fleet = _run_limited(has_invalid_rate_limit=True)
        self.assertEqual(6, fleet.dispatcher.counts["rate_limits_invalid"])
        self.assertTrue(all(upstream.rate_limit is None for upstream in fleet.table))


class ShareTest(testtools.TestCase):
    """Guards against parts of a rate that add up to more than the rate."""

    def _shares(self, rate, demands, key="i-1"):
        return [share_of_rate(rate, key, name, demands) for name in demands]

    def test_parts_follow_the_demand_and_add_up(self):
        shares = self._shares(12.0, {"a": 10.0, "b": 20.0, "c": 0.0})
        self.assertEqual([4.0, 8.0, 0.0], shares)

    def test_a_low_rate_goes_to_few_entries(self):
        demands = {f"front-{number}": 5.0 + number / 10 for number in range(10)}
        for rate in (0.3, 1.0, 2.4):
            shares = self._shares(rate, demands)
            self.assertAlmostEqual(max(MIN_RATE_PER_S, rate), sum(shares))
            self.assertEqual(max(1, int(rate / 0.5)), sum(s > 0 for s in shares))

    def test_standbys_with_little_demand_do_not_hold_a_low_rate(self):
        demands = {f"standby-{number}": 0.1 for number in range(185)}
        demands.update({"front-1": 8.0, "front-2": 6.0})
        for key in ("i-1", "i-2", "i-3"):
            self.assertTrue(share_of_rate(0.5, key, "standby-0", demands) == 0.0)
            shares = self._shares(0.5, demands, key)
            self.assertAlmostEqual(0.5, sum(shares))

    def test_a_rate_of_zero_leaves_one_probe(self):
        demands = {"a": 5.0, "b": 5.0}
        self.assertAlmostEqual(MIN_RATE_PER_S, sum(self._shares(0.0, demands)))
        self.assertEqual(1, sum(share > 0 for share in self._shares(0.0, demands)))

    def test_a_huge_rate(self):
        self.assertEqual(5e11, share_of_rate(1e12, "i-1", "a", {"a": 1.0, "b": 1.0}))


class DemandTest(testtools.TestCase):
    """Guards against entries that take the demand of others for nothing."""

    def test_the_demand_follows_the_requests(self):
        meter = DemandMeter(0.0)
        for number in range(100):
            meter.count(number * 0.1)
        self.assertAlmostEqual(10.0, meter.per_s(9.9), delta=1.0)
        self.assertTrue(meter.per_s(20.0) < 0.2)

    def test_an_active_member_that_has_not_reported_counts_like_this_one(self):
        shares = RateShares("front-1")
        shares.active_names = ("front-1", "front-2", "front-3")
        shares.note_report("front-3", {service_key("a"): 4.0}, 0.0)
        for _ in range(4):
            shares.count("a", 0.0)
        demands = shares.demands("a", 0.0)
        self.assertEqual(demands["front-1"], demands["front-2"])
        self.assertEqual(4.0, demands["front-3"])

    def test_the_demand_of_a_member_outlasts_its_loss(self):
        shares = RateShares("front-1")
        shares.note_report("front-2", {service_key("a"): 4.0}, 0.0)
        self.assertIn("front-2", shares.demands("a", REPORT_LIFETIME_S))
        self.assertNotIn("front-2", shares.demands("a", REPORT_LIFETIME_S + 0.1))
        shares.remove_expired(REPORT_LIFETIME_S + 0.1, set())
        self.assertEqual({}, shares._reports)

    def test_heartbeats_carry_the_demands(self):
        sender = Member("f", 1, "10.0.0.1", "z", MemberState.READY, 1.0, True, 5.0)
        demands = {service_key("a"): 4.0, service_key("b"): 70_000.0}
        raw = encode_heartbeat(
            Heartbeat(sender, 7, 1, 0.0, [], False, demands=demands), 5.0
        )
        decoded = decode_message(raw, 5.0).demands
        self.assertEqual(4.0, decoded[service_key("a")])
        self.assertEqual(6553.5, decoded[service_key("b")])
        message = cbor2.loads(raw)
        self.assertEqual({}, decode_message(cbor2.dumps(message[:10]), 5.0).demands)
        for invalid in (b"12345", 7, None, "text"):
            message[10] = invalid
            with testtools.ExpectedException(DocumentError):
                decode_message(cbor2.dumps(message), 5.0)


class LimitTest(testtools.TestCase):
    """Guards against requests that come sooner than the rate allows."""

    def _sent(self, limit, seconds, step_s=0.01):
        """Send as often as the limit allows; return the number of requests."""
        sent = 0
        for tick in range(int(seconds / step_s)):
            now = tick * step_s
            while limit.next_send_at(now) <= now:
                limit.take(now)
                sent += 1
        return sent

    def test_requests_are_spaced_by_the_share(self):
        limit = RateLimit(100.0, 0.0)
        limit.set_share(5.0, 0.0)
        self.assertAlmostEqual(0.2, limit.next_send_at(0.0))
        self.assertTrue(45 <= self._sent(limit, 10.0) <= 50)

    def test_little_is_saved_while_nothing_is_sent(self):
        limit = RateLimit(100.0, 0.0)
        limit.set_share(50.0, 0.0)
        limit.set_share(50.0, 60.0)
        burst = 0
        while limit.next_send_at(60.0) <= 60.0:
            limit.take(60.0)
            burst += 1
        self.assertEqual(int(50.0 * BURST_S), burst)

    def test_a_request_that_was_not_sent_is_given_back(self):
        limit = RateLimit(100.0, 0.0)
        limit.set_share(5.0, 0.0)
        limit.next_send_at(0.2)
        limit.take(0.2)
        limit.refund()
        self.assertEqual(0.2, limit.next_send_at(0.2))

    def test_an_entry_without_a_part_asks_rarely_whether_it_is_over(self):
        limit = RateLimit(1.0, 0.0)
        limit.set_share(0.0, 0.0)
        self.assertEqual(math.inf, limit.next_send_at(MAX_UNCONFIRMED_S - 0.1))
        self.assertEqual(MAX_UNCONFIRMED_S, limit.next_send_at(MAX_UNCONFIRMED_S))
        limit.take(MAX_UNCONFIRMED_S)
        self.assertEqual(math.inf, limit.next_send_at(MAX_UNCONFIRMED_S + 0.1))


class LimitedServerTest(testtools.TestCase):
    """Guards against a limit that outlasts its server, or is lost with its entry."""

    def _table(self, rate=4.0, **fields):
        table = UpstreamTable("lautoka")
        table.apply(make_server("i-1", **fields))
        table.apply(make_server("i-2", domain="nadi"))
        table.note_rate_limit(table.get("i-1"), rate, 0.0)
        return table

    def test_the_others_are_chosen_while_the_rate_leaves_no_room(self):
        table = self._table()
        self.assertEqual("i-2", table.choose("a", 0.1).server.id)
        self.assertIsNone(table.choose("a", 0.1, {"i-2"}))
        self.assertAlmostEqual(0.25, table.next_room_at("a", 0.1, {"i-2"}))
        self.assertEqual("i-1", table.choose("a", 0.3, {"i-2"}).server.id)
        self.assertIsNone(table.choose("a", 0.3, {"i-2"}, spares_limited=True))

    def test_a_reply_without_a_rate_ends_it(self):
        table = self._table()
        self.assertTrue(table.note_rate_limit(table.get("i-1"), None, 0.1))
        self.assertEqual("i-1", table.choose("a", 0.1).server.id)
        table.refresh_limited_services(0.1)
        self.assertEqual(set(), table.limited_services)

    def test_a_changed_rate_holds_at_once(self):
        table = self._table(rate=1000.0)
        table.choose("a", 0.1)
        table.note_rate_limit(table.get("i-1"), 2.0, 0.1)
        table.choose("a", 0.1)
        self.assertEqual(2.0, table.get("i-1").rate_limit.share)

    def test_it_ends_with_the_incarnation(self):
        table = self._table()
        table.apply(make_server("i-1", born_ms=7))
        self.assertIsNone(table.get("i-1").rate_limit)

    def test_it_outlasts_a_lapse_of_the_entry_in_the_store(self):
        table = self._table()
        table.retire("i-1", 0.0, 0.1)
        table.apply(make_server("i-1"))
        self.assertEqual(4.0, table.get("i-1").rate_limit.rate)

    def test_a_peer_sees_that_it_is_over(self):
        table = self._table(rate=0.3)
        self.assertFalse(table.end_rate_limit("i-1", 7, 1.0))
        self.assertFalse(table.end_rate_limit("i-9", 0, 1.0))
        self.assertTrue(table.end_rate_limit("i-1", 0, 1.0))
        self.assertEqual("i-1", table.choose("a", 1.0).server.id)
        self.assertFalse(table.end_rate_limit("i-1", 0, 1.1))

    def test_what_the_server_itself_said_later_holds(self):
        table = self._table(rate=0.3)
        table.note_rate_limit(table.get("i-1"), 0.3, 1.0)
        self.assertFalse(table.end_rate_limit("i-1", 0, 0.9))
        self.assertIsNotNone(table.get("i-1").rate_limit)

    def test_the_end_of_a_limit_travels(self):
        raw = encode_limit_end(LimitEnd("i-1", 7))
        end = decode_message(raw, 5.0)
        self.assertEqual(("i-1", 7), (end.server_id, end.born_ms))
        message = cbor2.loads(raw)
        for index, invalid in ((2, ""), (2, 7), (3, -1), (3, None)):
            broken = list(message)
            broken[index] = invalid
            with testtools.ExpectedException(DocumentError):
                decode_message(cbor2.dumps(broken), 5.0)
        with testtools.ExpectedException(DocumentError):
            decode_message(cbor2.dumps(message[:3]), 5.0)

    def test_an_entry_that_sees_the_end_reports_it_once(self):
        reported = []

        async def report(server):
            reported.append(server.id)

        rates = [500.0] * 3 + [None] * 9

        def behave(exchange):
            return (0.001, make_reply(rate_limit=rates.pop(0)))

        async def scenario():
            fleet = _Fleet(behave, services=("a",), servers=1)
            fleet.dispatcher.set_limit_end_reporter(report)
            await fleet.timers.start()
            for _ in range(6):
                await fleet.run(ONE_SERVICE, services=("a",))
            return fleet

        run(scenario)
        self.assertEqual(1, len(reported), reported)

    def test_throughput_counts_the_part_of_the_rate(self):
        table = self._table(rate=4.0)
        expected = 3 / 0.03 + 4.0
        self.assertAlmostEqual(expected, table.throughput("a", 0.1, 0.03))


def _most_in_window(server, start, end):
    """Return the most requests that a server got in a window between two times."""
    arrivals = [at for at in server.arrivals if start <= at < end]
    return max(
        (sum(at <= other < at + WINDOW_S for other in arrivals) for at in arrivals),
        default=0,
    )


class FleetLimitTest(testtools.TestCase):
    """The load: servers limit their rate while several entries send to them.

    Guards against a total over all entries that is beyond the announced rate.
    """

    def _assert_kept(self, replay, rate, after_s=NOTICE_S):
        allowed = OVERSHOOT * rate * WINDOW_S + EXTRA_REQUESTS
        limited = [server for server in replay.servers.values() if server.faults]
        self.assertTrue(limited)
        for server in limited:
            most = _most_in_window(
                server, server.faults[0].start + after_s, server.faults[0].end
            )
            self.assertTrue(most <= allowed, (rate, most, allowed))

    def _replay(self, seed, entries, rate, share=1.0, per_s=60, **options):
        route = make_route(weighted_services=(("a", 1),), objective_s=0.5, timeout_s=4)
        replay = LoadReplay(seed, entries, **options)
        replay.add_service("a", work_s=0.03)
        replay.add_fault("limited", ["a"], 2.0, 12.0, share=share, x=rate)
        return replay, replay.run([(route, per_s, 16.0, 4.0)])

    def test_limited_servers_get_no_more_than_they_announce(self):
        for seed, rate in ((1, 15.0), (2, 6.0), (3, 1.5), (4, 0.4), (5, 0.0)):
            replay, _ = self._replay(seed, 6, rate)
            self._assert_kept(replay, rate)

    def test_the_rate_is_used(self):
        replay, _ = self._replay(6, 6, 8.0)
        for server in replay.servers.values():
            fault = server.faults[0]
            span = (fault.start + NOTICE_S, fault.end - 1.0)
            count = sum(span[0] <= at < span[1] for at in server.arrivals)
            self.assertTrue(count >= 0.75 * 8.0 * (span[1] - span[0]), count)

    def test_one_limited_server_costs_its_callers_nothing(self):
        replay, results = self._replay(7, 6, 5.0, share=0.34)
        self._assert_kept(replay, 5.0)
        in_time = sum(result.is_in_time for result in results) / len(results)
        self.assertTrue(in_time >= 0.99, in_time)

    def test_what_cannot_be_served_is_refused_at_once(self):
        _, results = self._replay(8, 6, 6.0)
        refused = [r.refused_s for r in results if r.refused_s is not None]
        self.assertTrue(len(refused) > 50, len(refused))
        # Objective 0.5 s: nobody waits for a quarter of it only to be refused.
        self.assertTrue(max(refused) <= 0.125, max(refused))

    def test_standbys_that_get_some_requests(self):
        replay, _ = self._replay(9, 3, 6.0, standby_count=20)
        self._assert_kept(replay, 6.0)

    def test_all_is_as_before_when_the_limit_ends(self):
        replay, results = self._replay(10, 6, 6.0)
        end = next(iter(replay.servers.values())).faults[0].end
        # Callers that were refused before the end return within this time.
        after = [result for result in results if result.sent_at >= end + 1.0]
        self.assertTrue(after)
        in_time = sum(result.is_in_time for result in after) / len(after)
        self.assertTrue(in_time >= 0.99, in_time)

    def test_queries_over_many_shards_are_refused_together(self):
        shards = tuple(f"shard-{number}" for number in range(10))
        route = make_route(
            shards=shards, min_coverage=0.9, objective_s=0.3, timeout_s=2.0
        )
        replay = LoadReplay(11, 6)
        for shard in shards:
            replay.add_service(shard, work_s=0.02)
        replay.add_fault("limited", shards[:3], 2.0, 10.0, x=8.0)
        results = replay.run([(route, 60, 12.0, 2.0)])
        self._assert_kept(replay, 8.0)
        span = (2.0 + NOTICE_S, 11.0)
        start = min(result.sent_at for result in results)
        served = [
            result.is_served
            for result in results
            if span[0] <= result.sent_at - start < span[1]
        ]
        # Three servers of 8 a second carry 24 of 60 queries a second.
        self.assertTrue(sum(served) / len(served) >= 0.3, sum(served) / len(served))
