"""Tests of the dispatcher against simulated servers in memory."""

import math
import time

import curio
import orjson
import testtools

from almondtide.entry.calls import BranchState
from almondtide.entry.crash_detector import CRASH_LIMIT, CrashDetector
from almondtide.entry.dispatch import Dispatcher
from almondtide.entry.upstreams import Failure, UpstreamTable
from almondtide.errors import ResultCode
from almondtide.platform.settings import decode_settings
from almondtide.timers import Timers
from standins.virtual_time import VirtualClock, run_in_virtual_time
from tests.entry.support import (
    make_call,
    make_reply,
    make_route,
    make_server,
    settings_document,
)
from tests.support import MemoryLog, run

SHARDS = ("a", "b", "c", "d", "e", "f", "g", "h", "j", "k")
DOMAINS = ("lautoka", "nadi", "suva")


class _SystemClock:
    @staticmethod
    def monotonic():
        return time.monotonic()


CONNECTING = "connecting"


class MemoryPool:
    """A connection pool with servers that are simulated by ``behave(exchange)``.

    It returns (seconds, reply or ``Failure``), None if the server never answers, or
    ``CONNECTING`` if the connection is never established.
    """

    def __init__(self, behave):
        self.behave = behave
        self.sent = []
        self.closed = []
        self.checked = []
        # Ids of servers that accept no connections.
        self.ended = set()
        self.buffered_bytes = 0
        self.bound_bytes = math.inf

    def reserve(self, size):
        if self.buffered_bytes + size > self.bound_bytes:
            return False
        self.buffered_bytes += size
        return True

    def release(self, size):
        self.buffered_bytes -= size

    async def send(self, exchange):
        self.sent.append(exchange)
        exchange.connection = exchange
        outcome = self.behave(exchange)
        await curio.spawn(self._serve, exchange, outcome, daemon=True)

    async def _serve(self, exchange, outcome):
        if outcome == CONNECTING:
            return
        unsent = (Failure.NOT_SENT, Failure.NO_LISTENER)
        if outcome is not None and outcome[1] in unsent:
            await curio.sleep(outcome[0])
            await exchange.on_failure(outcome[1], "refused", None)
            return
        if not exchange.is_wanted():
            await exchange.on_skipped()
            return
        exchange.on_write()
        if outcome is None:
            return
        await curio.sleep(outcome[0])
        if isinstance(outcome[1], Failure):
            await exchange.on_failure(outcome[1], "broken", None)
        else:
            await exchange.on_reply(outcome[1])

    async def connect(self, check):
        self.checked.append(check.upstream.server.id)
        if check.upstream.server.id in self.ended:
            await check.on_failure(Failure.NO_LISTENER, "connect", None)
        else:
            await check.on_skipped()

    async def close(self, exchange):
        self.closed.append(exchange)

    def count(self, service):
        return sum(1 for exchange in self.sent if exchange.branch.service == service)


class _Fleet:
    """A dispatcher with its simulated servers."""

    def __init__(self, behave, services=SHARDS, servers=3, clock=_SystemClock):
        self.clock = clock
        self.table = UpstreamTable("lautoka")
        for index, service in enumerate(services):
            for number in range(servers):
                id = f"i-{service}{index}{number}"
                self.table.apply(make_server(id, service, DOMAINS[number % 3]))
        self.pool = MemoryPool(behave)
        settings = decode_settings(orjson.dumps(settings_document()))
        self.crash_detector = CrashDetector(clock.monotonic, MemoryLog())
        self.dispatcher = Dispatcher(
            self.table,
            self.pool,
            settings,
            self.crash_detector,
            clock.monotonic,
            MemoryLog(),
        )
        self.losses = []
        self.dispatcher.set_loss_reporter(self._take_losses)
        self.timers = Timers(clock, self.dispatcher.on_timer, MemoryLog())
        self.dispatcher.set_timers(self.timers)

    async def _take_losses(self, losses):
        self.losses.extend(losses)

    async def run(self, route, allowed_s=0.8, services=None):
        call = make_call(route, allowed_s, self.clock.monotonic(), services)
        answer = await self.dispatcher.run(call)
        return call, answer, self.clock.monotonic() - call.arrived_at


def _part(exchange):
    return make_reply(exchange.branch.service.encode() * 16, server_stamp=b"s")


def _run_calls(behave, route, calls=1, services=SHARDS, prepare=None, **options):
    """Run calls in sequence in virtual time; return the fleet and their results.

    ``prepare``, an async function, gets the fleet before the first call.

    The bounds of some tests are a few milliseconds above the time that is due, which a
    test process that waits for a core does not keep.
    """
    clock = VirtualClock()

    async def scenario():
        fleet = _Fleet(behave, services, clock=clock)
        await fleet.timers.start()
        if prepare is not None:
            await prepare(fleet)
        results = [await fleet.run(route, **options) for _ in range(calls)]
        await curio.sleep(0.01)
        return fleet, results

    return run_in_virtual_time(scenario, clock=clock)


class CrashTest(testtools.TestCase):
    """Guards against resent requests that crash one server after the other."""

    def _behave(self, exchange):
        # A server ends while it runs its first request; then nothing listens there.
        ended = self.fleet.pool.ended
        if exchange.upstream.server.id in ended:
            return (0.0, Failure.NO_LISTENER)
        ended.add(exchange.upstream.server.id)
        return (0.001, Failure.BROKEN)

    def test_the_request_is_refused_after_some_losses(self):
        route = make_route(objective_s=0.5, max_servers=2)

        async def scenario():
            fleet = self.fleet = _Fleet(self._behave, ("a",), servers=8)
            await fleet.timers.start()
            answers = [(await fleet.run(route))[1] for _ in range(12)]
            return fleet, answers

        fleet, answers = run(scenario)
        codes = [answer.code for answer in answers]
        self.assertIn(ResultCode.QUARANTINED, codes)
        self.assertEqual(codes[-1], ResultCode.QUARANTINED)
        self.assertEqual(503, answers[-1].status)
        self.assertTrue(len(fleet.pool.ended) <= CRASH_LIMIT + 1, fleet.pool.ended)
        self.assertTrue(fleet.losses)

    def test_a_suspect_is_not_hedged(self):
        route = make_route(shards=("a",), min_coverage=1.0, objective_s=0.1)

        async def scenario():
            fleet = _Fleet(lambda exchange: None, ("a",), servers=4)
            await fleet.timers.start()
            call = make_call(route, 0.8, time.monotonic(), ("a",))
            fleet.crash_detector.on_connection_broken(call, "i-x")
            fleet.crash_detector.on_server_ended("i-x")
            await fleet.run(route, 0.3)
            return fleet

        self.assertEqual(1, run(scenario).pool.count("a"))


class MergedTest(testtools.TestCase):
    """Guards against merged answers that are late or lack parts without need."""

    route = make_route(shards=SHARDS, min_coverage=0.75, objective_s=0.15)

    def test_all_parts(self):
        # The hedge delay is long, so that a pause of this process causes no hedge.
        route = make_route(shards=SHARDS, min_coverage=0.75, objective_s=1.0)
        fleet, [(_call, answer, _)] = _run_calls(lambda e: (0.005, _part(e)), route)
        self.assertEqual((200, ResultCode.OK), (answer.status, answer.code))
        self.assertEqual(b"k" * 16 + b"j" * 16 + b"h" * 16, answer.body)
        self.assertEqual(10, len(fleet.pool.sent))

    def test_a_silent_server_is_hedged(self):
        def behave(exchange):
            if exchange.upstream.server.id == "i-a00":
                return None
            return (0.005, _part(exchange))

        fleet, [(_call, answer, took_s)] = _run_calls(behave, self.route)
        self.assertEqual(ResultCode.OK, answer.code)
        self.assertEqual(2, fleet.pool.count("a"))
        self.assertTrue(took_s < 0.12, took_s)

    def test_a_leaving_server_is_used_where_the_others_are_lost(self):
        def behave(exchange):
            return (0.005, _part(exchange)) if exchange.upstream.is_leaving else None

        async def scenario():
            fleet = _Fleet(behave, ("a",))
            now = time.monotonic()
            fleet.table.retire("i-a00", now + 5.0, now)
            for id in ("i-a01", "i-a02"):
                fleet.table.get(id).fail("x", Failure.NOT_SENT, now)
            await fleet.timers.start()
            return await fleet.run(make_route(shards=("a",), min_coverage=1.0))

        _, answer, _ = run(scenario)
        self.assertEqual(ResultCode.OK, answer.code)

    def test_connections_that_do_not_open_do_not_count_as_runs(self):
        # The route allows two servers to run a request. Two servers that drop the
        # first packet of a connection run nothing.
        def behave(exchange):
            if exchange.upstream.server.id in ("i-a00", "i-a01"):
                return CONNECTING
            return (0.005, _part(exchange))

        fleet, [(_call, answer, took_s)] = _run_calls(behave, self.route)
        self.assertEqual(ResultCode.OK, answer.code)
        self.assertEqual(3, fleet.pool.count("a"))
        self.assertTrue(took_s < 0.15, took_s)

    def test_a_silent_shard_is_missing_in_an_answer_within_the_objective(self):
        _fleet, [(_call, answer, took_s)] = _run_calls(
            lambda e: None if e.branch.service == "a" else (0.005, _part(e)),
            self.route,
        )
        self.assertEqual((200, ResultCode.PARTIAL), (answer.status, answer.code))
        self.assertIn((b"Missing-Parts", b"1"), answer.headers)
        self.assertTrue(took_s < 0.15, took_s)

    def test_a_lost_shard_is_not_waited_for(self):
        def behave(exchange):
            if exchange.branch.service == "a":
                return (0.0, Failure.NOT_SENT)
            return (0.005, _part(exchange))

        fleet, results = _run_calls(behave, self.route, calls=4)
        self.assertTrue(all(took_s < 0.05 for _, _, took_s in results[1:]), results)
        # After the first failures the lost servers only get a few probes.
        self.assertTrue(fleet.pool.count("a") <= 6, fleet.pool.count("a"))

    def test_parts_that_a_call_can_spare_are_copied_to_servers_on_probation(self):
        # Without copies each entry finds out by a caller's request whether a server
        # that was slow or lost has recovered.
        on_probation = set()

        async def prepare(fleet):
            for upstream in fleet.table:
                if upstream.server.id.endswith("1"):
                    upstream.health.eject(fleet.clock.monotonic())
                    on_probation.add(upstream.server.id)
            await curio.sleep(1.0)

        def behave(exchange):
            if exchange.upstream.server.id in on_probation:
                return None
            return (0.005, _part(exchange))

        fleet, [(call, answer, took_s)] = _run_calls(
            behave, self.route, prepare=prepare
        )
        copies = [e for e in fleet.pool.sent if e.kind == "copy"]
        spare_count = len(call.branches) - call.needed_count
        self.assertEqual(spare_count, len(copies))
        self.assertTrue({e.upstream.server.id for e in copies} <= on_probation)
        self.assertEqual(200, answer.status)
        self.assertEqual(len(call.branches), call.answered_count)
        self.assertTrue(took_s < 0.02, took_s)

    def test_requests_that_may_reach_one_server_only_are_not_copied(self):
        # The copy could be written first, and the caller would depend on it.
        async def prepare(fleet):
            for upstream in fleet.table:
                if upstream.server.id.endswith("1"):
                    upstream.health.eject(fleet.clock.monotonic())
            await curio.sleep(1.0)

        for options in ({"is_idempotent": False}, {"max_servers": 1}):
            fleet, _ = _run_calls(
                lambda e: (0.005, _part(e)),
                make_route(**options),
                services=("a",),
                prepare=prepare,
            )
            self.assertEqual(["first"], [e.kind for e in fleet.pool.sent], options)

    def test_servers_that_all_seem_lost_are_tried_at_once(self):
        # Requests waited for the end of the ejections, and missed their objective,
        # while one of the servers was back.
        async def prepare(fleet):
            for upstream in fleet.table:
                if upstream.server.service == "a":
                    upstream.health.eject(fleet.clock.monotonic())

        _, [(call, _, took_s)] = _run_calls(
            lambda e: (0.005, _part(e)), self.route, prepare=prepare
        )
        self.assertEqual(len(call.branches), call.answered_count)
        self.assertTrue(took_s < 0.02, took_s)

    def test_the_call_ends_as_soon_as_too_few_parts_can_arrive(self):
        def behave(exchange):
            if exchange.branch.service in "abc":
                return (0.0, Failure.NOT_SENT)
            return (0.02, _part(exchange))

        _fleet, [(_call, answer, took_s)] = _run_calls(behave, self.route)
        self.assertTrue(answer.status in (502, 503))
        self.assertTrue(took_s < 0.1, took_s)

    def test_calls_on_services_without_servers_are_refused_immediately(self):
        fleet, [(_call, answer, _took_s)] = _run_calls(
            lambda e: (0.005, _part(e)), self.route, services=SHARDS[:6]
        )
        self.assertEqual(503, answer.status)
        self.assertEqual([], fleet.pool.sent)
        self.assertIn(b"retry-after", dict(answer.headers))

    def test_recovery_of_shards_that_were_all_lost_is_detected(self):
        async def scenario():
            fleet = _Fleet(lambda e: (0.0, Failure.NOT_SENT))
            await fleet.timers.start()
            for _ in range(5):
                await fleet.run(self.route)
            fleet.pool.behave = lambda e: (0.002, _part(e))
            statuses = []
            for _ in range(60):
                await curio.sleep(0.05)
                _, answer, _ = await fleet.run(self.route)
                statuses.append((answer.status, answer.code))
            return statuses

        statuses = run(scenario)
        self.assertIn((200, ResultCode.OK), statuses[:30])
        self.assertEqual([(200, ResultCode.OK)] * 10, statuses[-10:])

    def test_an_error_response_is_not_merged(self):
        def behave(exchange):
            if exchange.upstream.server.id == "i-a00":
                return (0.002, make_reply(b"z" * 16, status=500))
            return (0.005, _part(exchange))

        _fleet, [(_call, answer, _)] = _run_calls(behave, self.route)
        self.assertEqual(ResultCode.OK, answer.code)
        self.assertNotIn(b"z", answer.body)

    def test_late_answer_is_sent_as_soon_as_enough_parts_have_arrived(self):
        def behave(exchange):
            return (0.2 if exchange.branch.service in "abc" else 0.005, _part(exchange))

        route = make_route(shards=SHARDS, min_coverage=0.95, objective_s=0.1)
        _fleet, [(_call, answer, took_s)] = _run_calls(behave, route)
        self.assertEqual(200, answer.status)
        self.assertTrue(0.19 < took_s < 0.3, took_s)

    def test_expiry_gives_a_final_answer(self):
        fleet, [(_call, answer, took_s)] = _run_calls(
            lambda e: None, self.route, allowed_s=0.2
        )
        self.assertEqual(504, answer.status)
        self.assertTrue(0.19 < took_s < 0.3, took_s)
        # All exchanges of a call that has expired are closed.
        self.assertEqual(len(fleet.pool.sent), len(fleet.pool.closed))

    def test_hedges_stay_within_the_budget(self):
        fleet, _ = _run_calls(
            lambda e: None if e.kind == "first" else (0.001, _part(e)),
            make_route(shards=("a",), min_coverage=1.0, objective_s=0.02),
            calls=60,
            services=("a",),
        )
        extra = fleet.pool.count("a") - 60
        self.assertTrue(0 < extra <= 0.2 * 60 + 116, extra)


class AtMostOnceTest(testtools.TestCase):
    """Guards against requests that run twice, and false statements of "not run"."""

    route = make_route(is_idempotent=False, max_servers=3, objective_s=0.1)

    def _one(self, behave, **options):
        return _run_calls(behave, self.route, services=("a",), **options)

    def test_no_second_server_after_the_request_was_written(self):
        for outcome in ((0.002, Failure.BROKEN), None):
            fleet, [(_call, answer, _)] = self._one(
                lambda e, outcome=outcome: outcome, allowed_s=0.3
            )
            self.assertEqual(1, len(fleet.pool.sent))
            self.assertIn(answer.status, (502, 504))

    def test_another_server_after_the_request_was_not_sent(self):
        def behave(exchange):
            if exchange.kind == "first":
                return (0.002, Failure.NOT_SENT)
            return (0.002, make_reply(b"ok"))

        fleet, [(_call, answer, _)] = self._one(behave)
        self.assertEqual((200, 2), (answer.status, len(fleet.pool.sent)))

    def test_another_server_after_a_statement_of_not_run(self):
        for fields in (
            {"is_not_run": True, "status": 503},
            {"server_id": "i-other", "status": 421},
        ):

            def behave(exchange, fields=fields):
                if exchange.kind == "first":
                    return (0.002, make_reply(**fields))
                return (0.002, make_reply(b"ok"))

            fleet, [(_call, answer, _)] = self._one(behave)
            self.assertEqual((200, 2), (answer.status, len(fleet.pool.sent)))

    def test_refusal_by_all_servers_means_not_run(self):
        _fleet, [(call, answer, _)] = self._one(
            lambda e: (0.002, make_reply(is_not_run=True, status=503)), allowed_s=0.2
        )
        self.assertEqual(503, answer.status)
        self.assertFalse(call.may_have_run)

    def test_error_response_of_the_server_is_passed_on(self):
        fleet, [(_call, answer, _)] = self._one(
            lambda e: (0.002, make_reply(b"bad", status=500))
        )
        self.assertEqual(
            (500, b"bad", 1), (answer.status, answer.body, len(fleet.pool.sent))
        )

    def test_slow_request_is_never_hedged(self):
        fleet, [(_call, answer, _)] = self._one(lambda e: (0.3, make_reply(b"ok")))
        self.assertEqual((200, 1), (answer.status, len(fleet.pool.sent)))


class AbandonTest(testtools.TestCase):
    """Guards against exchanges that go on after their caller disconnected."""

    def test_all_exchanges_are_closed(self):
        async def scenario():
            fleet = _Fleet(lambda e: None)
            await fleet.timers.start()
            call = make_call(MergedTest.route, 0.8, time.monotonic())
            task = await curio.spawn(fleet.dispatcher.run, call)
            await curio.sleep(0.01)
            await fleet.dispatcher.abandon(call)
            await task.join()
            return fleet, call

        fleet, call = run(scenario)
        self.assertEqual(10, len(fleet.pool.closed))
        self.assertEqual([], [b for b in call.branches if b.open_exchanges])
        self.assertTrue(
            all(branch.state is not BranchState.OPEN for branch in call.branches)
        )


class ChangedRouteTest(testtools.TestCase):
    """Guards against decisions by an earlier version of the configuration."""

    def test_the_objective_is_that_of_the_route_of_the_call(self):
        fleet = _Fleet(lambda exchange: None, services=("a",))
        for objective_s in (0.1, 1.0, 0.1):
            route = make_route(objective_s=objective_s)
            latency = fleet.dispatcher.route_latency(route)
            self.assertEqual(objective_s, latency.objective_s)

    def test_the_budget_is_that_of_the_settings_after_a_reload(self):
        fleet = _Fleet(lambda exchange: None, services=("a",))
        first = fleet.dispatcher.retry_budget("a").slack
        bounds = {**settings_document()["bounds"], "budget_slack": first / 2}
        document = orjson.dumps(settings_document(bounds=bounds))
        fleet.dispatcher.settings = decode_settings(document)
        self.assertEqual(first / 2, fleet.dispatcher.retry_budget("a").slack)
