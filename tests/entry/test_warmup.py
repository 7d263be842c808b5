"""Tests of the rate that cold servers get from all entries together."""

import math

import orjson
import testtools

from almondtide.entry.boottime import boottime_now
from almondtide.entry.daemon import EntryDaemon
from almondtide.entry.members import Member, MemberState
from almondtide.entry.policy.rate_limits import (
    ENTITLED_S,
    WRITE_WITHIN_S,
    RateLimit,
    RateShares,
    WarmupBounds,
    service_key,
)
from almondtide.entry.upstreams import Failure, UpstreamTable
from almondtide.model.published import Configuration, ServiceInfo
from almondtide.platform.settings import decode_settings
from bench.replay import COLD_NOTICE_S, LoadReplay
from standins.entry_model import (
    WARMUP_OVERSHOOT,
    WARMUP_SLACK,
    most_in_a_second,
    simulate_entries,
)
from tests.entry.support import make_reply, make_route, make_server, settings_document
from tests.entry.test_dispatch import _Fleet, _run_calls
from tests.support import MemoryLog, run

WARMUP_S = 30.0
RATES = (1.0, 4.0, 12.0, 40.0)
ONE_SERVICE = make_route(weighted_services=(("a", 1),), objective_s=0.5)


def _info(rate):
    return ServiceInfo("a", "/", 100, WARMUP_S, rate)


def _table(rate=4.0, **fields):
    """Return the table of a single entry with a cold server and a warm one."""
    table = UpstreamTable("lautoka")
    table.warmup_bounds.configure(WARMUP_OVERSHOOT, WARMUP_SLACK, [_info(rate)])
    local = _member("local")
    table.rate_shares.note_active([local], 0.0, math.inf, 6, False)
    fields = {"cold": True, **fields}
    table.apply(make_server("i-1", **fields), now=0.0)
    table.apply(make_server("i-2", domain="nadi"), now=0.0)
    return table


def _member(name, domain="lautoka"):
    return Member(name, 1, "10.0.0.1", domain, MemberState.READY, 1.0, True, 0.0)


# Name -> (seconds, arguments of ``simulate_entries``).
SCENARIOS = {
    "all entries want all": (12.0, {}),
    "idle entries want all at once": (24.0, {"wants": lambda _, now: now % 8.0 > 7.0}),
    "the demand moves": (20.0, {"wants": lambda number, now: number == int(now) % 6}),
    "an entry is cut off": (
        30.0,
        {"hears": lambda a, b, now: now < 2.0 or 0 not in (a, b)},
    ),
    "an entry hears all and is not heard": (
        12.0,
        {
            "hears": lambda a, b, now: now < 6.0 or b != 0,
            "wants": lambda number, now: number == 0 or now > 6.0,
        },
    ),
    "a failure domain is cut off": (
        30.0,
        {"hears": lambda a, b, now: now < 2.0 or (a % 3 == 0) == (b % 3 == 0)},
    ),
    "no heartbeat arrives": (15.0, {"count": 6, "hears": lambda a, b, now: now < 0.0}),
    "frozen for 0.6 s": (6.0, {"runs": lambda n, now: n != 0 or not 2 < now < 2.6}),
    "frozen for 4 s": (9.0, {"runs": lambda n, now: n != 0 or not 2 < now < 6}),
    "frozen for 28 s": (33.0, {"runs": lambda n, now: n != 0 or not 2 < now < 30}),
    "entries have just started": (10.0, {"starts": {0: 3.0, 4: 3.5}}),
    "an entry starts cut off": (
        30.0,
        {"starts": {0: 3.0}, "hears": lambda a, b, now: 0 not in (a, b)},
    ),
    "standbys take over": (10.0, {"runs": lambda number, now: number > 2 or now < 3}),
}


class WorstCaseTest(testtools.TestCase):
    """Guards against parts of all entries that exceed the bound in any second.

    Six entries are active and three are standbys. Each sends as often as it may.
    """

    def test_the_bound_holds_in_every_second(self):
        for name, (seconds, options) in SCENARIOS.items():
            for rate in RATES:
                times = simulate_entries(rate, seconds, **options)
                most = most_in_a_second(times)
                allowed = WARMUP_OVERSHOOT * rate + WARMUP_SLACK
                self.assertTrue(0 < most <= allowed, (name, rate, most, allowed))

    def test_the_rate_is_used(self):
        for rate in RATES:
            count = len(simulate_entries(rate, 12.0))
            self.assertTrue(count >= 0.8 * 12.0 * rate - 6, (rate, count))


class WarmupShareTest(testtools.TestCase):
    """Guards against an entry that takes more than its part of a rate."""

    def _shares(self, names=("a", "b", "c", "d"), at=0.0):
        shares = RateShares("a")
        members = [_member(name, f"zone-{name}") for name in names]
        shares.note_active(members, at, math.inf, 6, True)
        return shares

    def _share(self, shares, rate=8.0, now=0.0):
        limit = RateLimit(rate, now)
        limit.set_share(2.0, now - 10.0)
        return shares.warmup_share(make_server("i-1"), limit, 10, now)

    def test_parts_are_equal_until_all_have_reported(self):
        shares = self._shares()
        key = service_key("a")
        shares.count("a", 0.0)
        for name in "bc":
            shares.note_report(name, {key: 9.0}, 0.0)
        self.assertEqual(2.0, self._share(shares))
        shares.note_report("d", {key: 9.0}, 0.0)
        self.assertTrue(self._share(shares) < 0.5)
        # The reports are too old.
        self.assertEqual(2.0, self._share(shares, now=1.5))

    def test_an_entry_of_an_earlier_build_keeps_its_part(self):
        # Such an entry reports no demand; beside others the own part is limited.
        for reporting, expected in (("bc", 2.0), ("bcd", 3.0)):
            shares = self._shares()
            for name in reporting:
                shares.note_report(name, {service_key("a"): 0.01}, 0.1)
            for number in range(100):
                shares.count("a", number / 1e3)
            self.assertEqual(expected, self._share(shares, now=0.1))

    def test_an_entry_that_hears_nobody_keeps_counting_the_others(self):
        shares = self._shares()
        for now in (1.0, 30.0, 300.0):
            shares.note_active([_member("a", "zone-a")], now, math.inf, 6, True)
            self.assertTrue(self._share(shares, now=now) <= 2.0)

    def test_an_entry_that_was_replaced_loses_its_part(self):
        shares = RateShares("a")
        shares.note_active([_member("a"), _member("b", "nadi")], 0.0, 1e3, 6, True)
        for now, expected in (
            (1.0, ["a", "b", "c"]),
            (ENTITLED_S - 0.5, ["a", "b", "c"]),
            (ENTITLED_S + 0.5, ["a", "c"]),
        ):
            members = [_member("a"), _member("c", "nadi")]
            shares.note_active(members, now, 1e3, 6, True)
            self.assertEqual(expected, sorted(shares.entitled_names(now)))

    def test_a_standby_gets_none(self):
        shares = RateShares("s")
        shares.note_active([_member("a"), _member("b")], 0.0, math.inf, 6, True)
        self.assertEqual(0.0, self._share(shares))

    def test_without_settings_no_server_is_bounded(self):
        bounds = WarmupBounds()
        for overshoot, slack in ((None, 5), (1.5, None)):
            bounds.configure(overshoot, slack, [_info(4.0)])
            self.assertEqual({}, bounds.services)
        bounds.configure(1.5, 5, [_info(None)])
        self.assertEqual({}, bounds.services)


class ColdServerTest(testtools.TestCase):
    """Guards against a server that counts as cold too late, too long or not at all."""

    def test_nothing_is_saved_when_it_begins(self):
        table = _table()
        self.assertEqual("i-2", table.choose("a", 0.0).server.id)
        self.assertIsNone(table.choose("a", 0.0, {"i-2"}))
        self.assertAlmostEqual(0.25, table.next_room_at("a", 0.0, {"i-2"}))
        self.assertEqual("i-1", table.choose("a", 0.26, {"i-2"}).server.id)

    def test_it_is_cold_as_long_as_the_store_says_so(self):
        table = _table()
        self.assertIsNotNone(table.get("i-1").update_warmup(WARMUP_S - 1.0))
        # The store went silent after it had said so for the last time.
        self.assertIsNone(table.get("i-1").update_warmup(WARMUP_S + 1.0))
        table.warmup_bounds.confirmed_at = 10.0
        self.assertIsNotNone(table.get("i-1").update_warmup(WARMUP_S + 1.0))
        table.apply(make_server("i-1"), now=12.0)
        self.assertIsNone(table.get("i-1").update_warmup(12.0))
        table.apply(make_server("i-1", cold=True), now=90.0)
        self.assertIsNotNone(table.get("i-1").update_warmup(90.0))

    def test_it_belongs_to_one_incarnation(self):
        table = _table()
        table.choose("a", 0.0)
        limit = table.get("i-1").warmup_limit
        table.retire("i-1", 0.0, 0.1)
        table.apply(make_server("i-1", cold=True), now=0.2)
        self.assertIs(limit, table.get("i-1").warmup_limit)
        table.apply(make_server("i-1", cold=True, born_ms=7), now=5.0)
        self.assertIsNone(table.choose("a", 5.0, {"i-2"}))

    def test_a_changed_configuration_holds_at_once(self):
        table = _table(rate=4.0)
        table.choose("a", 0.0)
        table.warmup_bounds.configure(WARMUP_OVERSHOOT, WARMUP_SLACK, [_info(2.0)])
        table.choose("a", 0.0)
        self.assertEqual(2.0, table.get("i-1").warmup_limit.share)
        table.warmup_bounds.configure(WARMUP_OVERSHOOT, WARMUP_SLACK, [_info(None)])
        self.assertEqual("i-1", table.choose("a", 0.0, {"i-2"}).server.id)

    def test_the_lower_of_two_rates_applies(self):
        table = _table(rate=4.0)
        for announced, expected_s in ((1.0, 1.0), (50.0, 0.25)):
            table.note_rate_limit(table.get("i-1"), announced, 0.0)
            room_at = table.next_room_at("a", 0.0, {"i-2"})
            self.assertAlmostEqual(expected_s, room_at)
            table.note_rate_limit(table.get("i-1"), None, 0.0)

    def test_one_that_is_back_after_refused_connections_is_cold(self):
        table = _table(cold=False)
        upstream = table.get("i-1")
        upstream.note_connected(1.0)
        self.assertIsNone(upstream.update_warmup(1.0))
        upstream.fail(object(), Failure.NO_LISTENER, 2.0)
        upstream.note_connected(3.0)
        self.assertIsNotNone(upstream.update_warmup(3.0))
        self.assertIsNone(upstream.update_warmup(3.0 + WARMUP_S))
        upstream.assume_cold(50.0)
        table.apply(make_server("i-1", slots=4), now=5.0)
        self.assertIsNone(upstream.update_warmup(5.0))

    def test_without_a_bound_all_is_as_before(self):
        table = _table(rate=None)
        upstream = table.get("i-1")
        upstream.assume_cold(50.0)
        self.assertEqual("i-1", table.choose("a", 0.0, {"i-2"}).server.id)
        self.assertIsNone(upstream.warmup_limit)
        self.assertAlmostEqual(6 / 0.03, table.throughput("a", 0.0, 0.03))

    def test_throughput_and_heartbeats_have_the_service(self):
        table = _table()
        self.assertAlmostEqual(3 / 0.03 + 4.0, table.throughput("a", 0.0, 0.03))
        table.refresh_limited_services(0.0)
        self.assertIn(service_key("a"), table.rate_shares.local_demands(0.0))

    def test_a_request_is_counted_when_it_is_written(self):
        table = _table(cold=False)
        upstream = table.get("i-1")
        self.assertTrue(table.may_write(upstream, None, 0.0, 1.0))
        table.apply(make_server("i-1", cold=True), now=1.0)
        # Assigned before it turned cold.
        self.assertFalse(table.may_write(upstream, None, 0.9, 1.0))
        self.assertTrue(table.may_write(upstream, None, 0.9, 1.3))
        self.assertFalse(table.may_write(upstream, None, 0.9, 1.3))
        # Assigned while it was cold, and held up.
        limit = upstream.warmup_limit
        self.assertTrue(table.may_write(upstream, limit, 1.3, 1.3))
        late = 1.3 + WRITE_WITHIN_S + 0.01
        self.assertTrue(table.may_write(upstream, limit, 1.3, late))
        self.assertFalse(table.may_write(upstream, limit, 1.3, late))


class ColdDispatchTest(testtools.TestCase):
    """Guards against requests to a cold server that nothing counted."""

    def test_one_that_turned_cold_before_the_write_goes_elsewhere(self):
        async def scenario():
            def behave(exchange):
                server = exchange.upstream.server
                if len(fleet.pool.sent) == 1:
                    cold = make_server(server.id, "a", server.domain, cold=True)
                    fleet.table.apply(cold)
                return 0.001, make_reply()

            fleet = _Fleet(behave, services=("a",))
            fleet.table.warmup_bounds.configure(
                WARMUP_OVERSHOOT, WARMUP_SLACK, [_info(1.0)]
            )
            await fleet.timers.start()
            await fleet.run(ONE_SERVICE, services=("a",))
            return fleet

        fleet = run(scenario)
        first, second = fleet.pool.sent
        self.assertEqual((False, True), (first.is_written, second.is_written))
        self.assertNotEqual(first.upstream, second.upstream)
        self.assertEqual(1, fleet.dispatcher.counts["warmup_diverted"])

    def test_sends_are_logged_by_kind(self):
        fleet, _ = _run_calls(
            lambda exchange: (0.001, make_reply()), ONE_SERVICE, services=("a",)
        )
        upstream = next(iter(fleet.table))
        fleet.table.warmup_bounds.configure(
            WARMUP_OVERSHOOT, WARMUP_SLACK, [_info(4.0)]
        )
        upstream.assume_cold(math.inf)
        upstream.update_warmup(0.0).count_send("hedge")
        fleet.dispatcher.log_limited_sends()
        name, fields = fleet.dispatcher._log.events[-1]
        self.assertEqual("warmup_sends", name)
        self.assertEqual(
            (4.0, 0, 1), (fields["rate"], fields["first"], fields["hedge"])
        )


class DaemonTest(testtools.TestCase):
    """Guards against bounds of the settings and the configuration that do not hold."""

    def test_the_bounds_follow_the_configuration_and_the_settings(self):
        document = settings_document()
        plain = decode_settings(orjson.dumps(document))
        document["bounds"].update(warmup_overshoot=1.5, warmup_slack=5)
        bounded = decode_settings(orjson.dumps(document))
        daemon = EntryDaemon(bounded, MemoryLog(), None, lambda: plain)
        daemon.replica.configuration = Configuration(1, [], [_info(4.0)])
        run(daemon._on_changes, [], True, "test")
        self.assertEqual(["a"], list(daemon.table.warmup_bounds.services))
        now = boottime_now()
        daemon.table.apply(make_server("i-1", cold=True), now=now)
        daemon._update_role(now)
        self.assertEqual(6, daemon.table.rate_shares.least_entitled)
        daemon.table.refresh_limited_services(now)
        daemon._log_cold_servers()
        daemon._reload("signal")
        self.assertEqual({}, daemon.table.warmup_bounds.services)
        daemon.table.refresh_limited_services(now)
        daemon._log_cold_servers()
        events = [n for n in daemon.log.names() if n in ("server_cold", "server_warm")]
        self.assertEqual(["server_cold", "server_warm"], events)


class FleetWarmupTest(testtools.TestCase):
    """The load: servers turn cold under full load, with hedges, retries and queues.

    Guards against a total over all entries that exceeds the bound.
    """

    def _replay(self, seed, rate, share=1.0, per_s=90, entries=6, **options):
        route = make_route(weighted_services=(("a", 1),), objective_s=0.3, timeout_s=2)
        replay = LoadReplay(seed, entries, **options)
        replay.add_service("a", work_s=0.06, slots=3, pause_s=0.15, pause_every_s=2.0)
        replay.add_fault("cold", ["a"], 3.0, 8.0, share=share, x=rate)
        replay.add_fault("shed", ["a"], 0.0, 14.0, x=0.1)
        return replay, replay.run([(route, per_s, 14.0, 2.0)])

    def _assert_bound(self, replay, rate):
        cold = [s for s in replay.servers.values() if s.faults[0].kind == "cold"]
        self.assertTrue(cold)
        for server in cold:
            fault = server.faults[0]
            # What was on its way when the last entry heard of it arrives as well.
            start = fault.start + COLD_NOTICE_S * len(replay.entries) + 0.01
            arrivals = [at for at in server.arrivals if start <= at < fault.end]
            most = most_in_a_second(arrivals)
            self.assertTrue(
                most <= WARMUP_OVERSHOOT * rate + WARMUP_SLACK, (rate, most)
            )

    def test_the_bound_holds_while_all_servers_are_cold(self):
        for seed, rate in enumerate(RATES):
            replay, _ = self._replay(seed, rate)
            self._assert_bound(replay, rate)

    def test_the_bound_holds_with_standbys_and_one_warm_server(self):
        for seed, rate in enumerate(RATES):
            replay, results = self._replay(seed, rate, 0.67, 30, standby_count=6)
            self._assert_bound(replay, rate)
            self.assertTrue(any(result.is_in_time for result in results))

    def test_what_cannot_be_served_is_refused_at_once(self):
        replay, results = self._replay(5, 4.0)
        fault = next(iter(replay.servers.values())).faults[0]
        refused = [
            result.refused_s
            for result in results
            if result.refused_s is not None
            and fault.start + 0.5 <= result.sent_at < fault.end
        ]
        self.assertTrue(len(refused) > 100, len(refused))
        self.assertTrue(max(refused) <= 0.25 * 0.3, max(refused))

    def test_the_rate_is_used(self):
        replay, _ = self._replay(6, 12.0)
        for server in replay.servers.values():
            fault = server.faults[0]
            count = sum(fault.start + 1.0 <= at < fault.end for at in server.arrivals)
            self.assertTrue(count >= 0.6 * 12.0 * 7.0, count)
