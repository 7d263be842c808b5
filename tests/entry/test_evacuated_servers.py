"""Tests of servers in evacuated failure domains: choice and dispatch."""

import time

import curio
import testtools

from almondtide.entry.policy.choice import LEAVING_COST
from almondtide.entry.upstreams import UpstreamTable
from almondtide.errors import ResultCode
from tests.entry.support import make_route, make_server
from tests.entry.test_dispatch import _Fleet, _part
from tests.support import run


class TableTest(testtools.TestCase):
    """Guards against requests to servers of an evacuated domain."""

    def setUp(self):
        super().setUp()
        self.table = UpstreamTable("lautoka")
        for id, domain in (("i-1", "lautoka"), ("i-2", "nadi")):
            self.table.apply(make_server(id, domain=domain))

    def test_last_resort_then_forbidden_until_withdrawn(self):
        table = self.table
        evacuated = table.get("i-2")
        before = evacuated.cost(0.0, "lautoka")
        table.set_evacuated("nadi", 4.4)
        self.assertEqual(before + LEAVING_COST, evacuated.cost(0.0, "lautoka"))
        self.assertIs(evacuated, table.choose("a", 4.3, ["i-1"]))
        self.assertIsNone(table.choose("a", 4.4, ["i-1"]))
        self.assertFalse(evacuated.accepts_requests(4.4))
        self.assertEqual([table.get("i-1")], table.probe_candidates(5, 4.4, _Random))
        table.clear_evacuated("nadi", 9.0)
        self.assertIs(evacuated, table.choose("a", 9.0, ["i-1"]))
        self.assertEqual(9.0, table.evacuation_ended_at("nadi"))
        self.assertIsNone(table.evacuation_ended_at("lautoka"))

    def test_servers_that_register_later_are_evacuated_too(self):
        self.table.set_evacuated("nadi", 0.0)
        self.table.apply(make_server("i-3", "b", domain="nadi"))
        self.assertEqual([], self.table.usable_upstreams("b", 1.0))
        self.assertTrue(self.table.is_service_evacuated("b", 1.0))
        self.assertFalse(self.table.is_service_evacuated("a", 1.0))

    def test_no_room_after_a_pause_that_outlasts_the_use(self):
        self.table.get("i-2").pause(6.0)
        self.table.set_evacuated("nadi", 4.4)
        self.assertIsNone(self.table.next_room_at("a", 1.0, ["i-1"]))


class _Random:
    shuffle = staticmethod(lambda items: None)
    choice = staticmethod(lambda items: items[0])


class DispatchTest(testtools.TestCase):
    """Guards against calls that are held, or said not to have run when they have."""

    def _run_scenario(self, scenario, behave, services=("a", "b")):
        async def run_scenario():
            fleet = _Fleet(behave, services, servers=1)
            await fleet.timers.start()
            await scenario(fleet)

        run(run_scenario)

    def test_a_service_without_a_server_is_refused_at_once(self):
        async def scenario(fleet):
            fleet.table.set_evacuated("lautoka", 0.0)
            route = make_route(weighted_services=(("a", 1),))
            call, answer, took_s = await fleet.run(route, services=("a",))
            self.assertEqual((503, ResultCode.NO_SERVER), (answer.status, answer.code))
            self.assertIn(b"retry-after", {name.lower() for name, _ in answer.headers})
            self.assertTrue(took_s < 0.1, took_s)
            self.assertFalse(call.may_have_run)

        self._run_scenario(scenario, lambda exchange: (0.01, _part(exchange)))

    def test_a_query_over_shards_is_answered_without_these_parts(self):
        async def scenario(fleet):
            fleet.table.apply(make_server("i-8", "b", "suva"))
            fleet.table.remove("i-b10")
            fleet.table.set_evacuated("suva", 0.0)
            route = make_route(shards=("a", "b"), min_coverage=0.5)
            call, answer, took_s = await fleet.run(route)
            self.assertEqual(200, answer.status)
            self.assertEqual(1, call.answered_count)
            self.assertTrue(took_s < 0.1, took_s)

        self._run_scenario(scenario, lambda exchange: (0.01, _part(exchange)))

    def test_calls_that_wait_for_room_end_at_once(self):
        # The only server is busy for longer than the callers wait.
        async def scenario(fleet):
            route = make_route(
                weighted_services=(("a", 1),), is_idempotent=False, objective_s=9.0
            )
            tasks = [
                await curio.spawn(fleet.run, route, 0.8, ("a",)) for _ in range(14)
            ]
            await curio.sleep(0.05)
            written = len(fleet.pool.sent)
            fleet.table.set_evacuated("lautoka", time.monotonic())
            await fleet.dispatcher.fail_evacuated()
            await curio.sleep(0.1)
            ended = [task for task in tasks if task.terminated]
            self.assertEqual(14 - written, len(ended))
            self.assertTrue(0 < written < 14, written)
            for task in ended:
                call, answer, _ = await task.join()
                self.assertEqual(503, answer.status)
                self.assertFalse(call.may_have_run)
            for task in tasks:
                await task.cancel()

        self._run_scenario(scenario, lambda exchange: None)

    def test_an_exchange_that_is_not_written_yet_goes_elsewhere(self):
        async def scenario(fleet):
            fleet.table.apply(make_server("i-9", "a", "nadi"))
            server_ids = []

            def behave(exchange):
                server_ids.append(exchange.upstream.server.id)
                # The domain is evacuated while the connection is opened.
                fleet.table.set_evacuated("lautoka", time.monotonic())
                return 0.01, _part(exchange)

            fleet.pool.behave = behave
            route = make_route(weighted_services=(("a", 1),))
            _, answer, _ = await fleet.run(route, services=("a",))
            self.assertEqual(200, answer.status)
            self.assertEqual(["i-a00", "i-9"], server_ids)

        self._run_scenario(scenario, None)
