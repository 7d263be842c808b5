"""Tests of the owner of a service."""

import curio
import testtools

from almondtide.clock import SystemClock
from almondtide.errors import ResultCode
from almondtide.logs import Log
from almondtide.owner import ServiceOwner
from almondtide.subrequests import SubRequest
from standins.virtual_time import VirtualClock, run_in_virtual_time
from tests.fakes import (
    ScriptedServer,
    ScriptedUpstreams,
    make_configuration,
    make_metrics,
)

RANGES = [[0, 100]]


class OwnerTestCase(testtools.TestCase):
    """Runs scenarios with an owner of three scripted servers with one slot each."""

    defaults = {"slots": 1, "hedge_quantile": 0.9, "hedge_budget": 1.0}

    def make_clock(self):
        return SystemClock()

    def run_main(self, main):
        return curio.run(main)

    def run_scenario(self, scenario, servers=3, **defaults):
        self.clock = self.make_clock()

        async def main():
            self.servers = [ScriptedServer(0.005) for _ in range(servers)]
            upstreams = ScriptedUpstreams(self.servers)
            self.owner = ServiceOwner(
                "advisory-0",
                make_configuration(defaults={**self.defaults, **defaults}),
                upstreams,
                self.clock,
                Log(),
                make_metrics(),
            )
            self.members = upstreams.members()
            await self.owner.start()
            await self.owner.update(self.members, True)
            await curio.sleep(0.02)
            try:
                return await scenario()
            finally:
                await self.owner.stop()

        return self.run_main(main)

    def sub(self, number=0, deadline_s=1.0, **values):
        deadline = self.clock.monotonic() + deadline_s
        values = {"version": 1, "epoch": 1, "ranges": RANGES, **values}
        return SubRequest(f"q{number}", "advisory", "advisory-0", deadline, **values)

    async def submit(self, sub):
        """Submit and return the queue that receives the result."""
        results = curio.Queue()
        await self.owner.submit(sub, results.put)
        return results

    async def result(self, sub):
        results = await self.submit(sub)
        async with curio.timeout_after(3):
            return await results.get()

    def ran(self):
        return [request for server in self.servers for request in server.ran]


class DispatchTest(OwnerTestCase):
    """Guards against too many requests on a server and lost or double results."""

    def test_slots_are_never_exceeded(self):
        async def scenario():
            queues = [await self.submit(self.sub(n)) for n in range(30)]
            return [(await queue.get()).code for queue in queues]

        codes = self.run_scenario(scenario, slots=2)
        self.assertEqual([ResultCode.OK] * 30, codes)
        self.assertTrue(all(server.max_concurrent <= 2 for server in self.servers))

    def test_draining_server_gets_nothing(self):
        async def scenario():
            self.members[0].is_leaving = True
            await self.owner.update(self.members, True)
            return [(await self.result(self.sub(n))).code for n in range(6)]

        self.assertEqual([ResultCode.OK] * 6, self.run_scenario(scenario))
        self.assertEqual([], self.servers[0].ran)

    def test_server_that_reports_draining_gets_no_more_work(self):
        async def scenario():
            self.servers[0].is_draining = True
            for number in range(12):
                await self.result(self.sub(number))

        self.run_scenario(scenario)
        self.assertTrue(len(self.servers[0].ran) <= 1, self.servers[0].ran)

    def test_server_without_the_snapshot_is_skipped(self):
        async def scenario():
            for server in self.servers[:2]:
                server.versions = [1, 2]
            self.servers[2].versions = [1]
            self.servers[2].service_s = 0.0
            for number in range(3):
                # Lets the owner learn the versions of all servers.
                await self.result(self.sub(number))
            await curio.sleep(1.1)
            results = [await self.result(self.sub(10 + n, version=2)) for n in range(6)]
            return {result.server for result in results}

        self.assertEqual({"s0", "s1"}, self.run_scenario(scenario))

    def test_standby_starts_with_one_slot_for_each_server(self):
        async def scenario():
            await self.owner.update(self.members, False)
            for server in self.servers:
                server.service_s = 0.3
            for number in range(12):
                await self.submit(self.sub(number))
            await curio.sleep(0.1)

        self.run_scenario(scenario, slots=3)
        self.assertEqual(1, max(server.max_concurrent for server in self.servers))

    def test_standby_takes_all_slots_while_nothing_is_shed(self):
        async def scenario():
            await self.owner.update(self.members, False)
            queues = [await self.submit(self.sub(n, 20.0)) for n in range(60)]
            return [(await queue.get()).code for queue in queues]

        codes = self.run_scenario(scenario, slots=3)
        self.assertEqual([ResultCode.OK] * 60, codes)
        self.assertEqual([3, 3, 3], [server.max_concurrent for server in self.servers])

    def test_standby_reduces_its_slots_when_servers_shed(self):
        async def scenario():
            await self.owner.update(self.members, False)
            queues = [await self.submit(self.sub(n, 20.0)) for n in range(60)]
            for queue in queues:
                await queue.get()
            for server in self.servers:
                server.code = ResultCode.UPSTREAM_SHED
                server.not_run = True
            for number in range(9):
                await self.submit(self.sub(100 + number))
            await curio.sleep(0.1)
            return [server.usable_slots() for server in self.owner.servers]

        self.assertEqual([1, 1, 1], self.run_scenario(scenario, slots=3))


class RefusalTest(OwnerTestCase):
    """Guards "not run": refused work is never sent to a server."""

    def test_expired_work_is_refused(self):
        async def scenario():
            return await self.result(self.sub(deadline_s=-0.1))

        result = self.run_scenario(scenario)
        self.assertEqual(ResultCode.DEADLINE_EXCEEDED, result.code)
        self.assertTrue(result.not_run)
        self.assertEqual([], self.ran())

    def test_no_reachable_server_is_refused_at_once(self):
        async def scenario():
            for server in self.servers:
                server.is_reachable = False
            for server in list(self.owner.servers):
                await self.owner.server_unreachable(server)
            started = self.clock.monotonic()
            result = await self.result(self.sub(deadline_s=2.0))
            return result, self.clock.monotonic() - started

        result, elapsed = self.run_scenario(scenario)
        self.assertEqual(ResultCode.NO_SERVER, result.code)
        self.assertTrue(result.not_run)
        self.assertTrue(elapsed < 0.5, elapsed)

    def test_waiting_work_that_expires_was_not_run(self):
        async def scenario():
            for server in self.servers:
                server.service_s = 0.5
            for number in range(3):
                await self.submit(self.sub(number))
            return await self.result(self.sub(9, deadline_s=0.05))

        result = self.run_scenario(scenario)
        self.assertTrue(result.not_run)
        self.assertFalse(any(request.startswith("q9") for request in self.ran()))

    def test_running_work_that_expires_is_not_reported_as_not_run(self):
        async def scenario():
            for server in self.servers:
                server.service_s = 0.5
            return await self.result(self.sub(deadline_s=0.05))

        result = self.run_scenario(scenario)
        self.assertEqual(ResultCode.DEADLINE_EXCEEDED, result.code)
        self.assertFalse(result.not_run)

    def test_overload_is_refused_with_a_retry_delay(self):
        async def scenario():
            for server in self.servers:
                server.service_s = 0.05
            for number in range(6):
                await self.result(self.sub(number))
            queues = [
                await self.submit(self.sub(n, deadline_s=0.2)) for n in range(100)
            ]
            return [await queue.get() for queue in queues]

        results = self.run_scenario(scenario)
        refused = [r for r in results if r.code == ResultCode.OVERLOADED]
        self.assertTrue(len(refused) > 60, len(refused))
        self.assertTrue(all(r.not_run and r.retry_after_ms > 0 for r in refused))

    def test_waiting_execution_is_refused_while_time_is_left(self):
        # The servers are slower than the owner has measured, so it was admitted.
        async def scenario():
            for number in range(6):
                await self.result(self.sub(number))
            for server in self.servers:
                server.service_s = 0.9
            for number in range(10, 13):
                await self.submit(self.sub(number))
            started = self.clock.monotonic()
            result = await self.result(self.sub(20, execution_id="a~b~0~c"))
            return result, self.clock.monotonic() - started

        result, elapsed = self.run_scenario(scenario)
        self.assertEqual(ResultCode.OVERLOADED, result.code)
        self.assertTrue(result.not_run and result.retry_after_ms > 0)
        self.assertTrue(elapsed < 0.5, elapsed)
        self.assertFalse(any(request.startswith("q20") for request in self.ran()))

    def test_time_that_passed_before_is_taken_from_the_wait(self):
        # Overloaded daemons passed the execution on late: 0.4 s of 1 s are gone.
        async def scenario():
            for number in range(6):
                await self.result(self.sub(number))
            for server in self.servers:
                server.service_s = 0.9
            for number in range(10, 13):
                await self.submit(self.sub(number))
            started = self.clock.monotonic()
            sub = self.sub(20, deadline_s=0.6, execution_id="a~b~0~c")
            sub.allowed_s = 1.0
            result = await self.result(sub)
            return result, self.clock.monotonic() - started

        result, elapsed = self.run_scenario(scenario)
        self.assertEqual(ResultCode.OVERLOADED, result.code)
        self.assertTrue(elapsed < 0.1, elapsed)

    def test_waiting_sub_request_of_a_query_keeps_waiting(self):
        async def scenario():
            for number in range(6):
                await self.result(self.sub(number))
            for server in self.servers:
                server.service_s = 0.6
            for number in range(10, 13):
                await self.submit(self.sub(number, deadline_s=2.0))
            return await self.result(self.sub(20, deadline_s=2.0))

        self.assertEqual(ResultCode.OK, self.run_scenario(scenario).code)


class LateRefusalTest(OwnerTestCase):
    """Guards against sub-requests that are refused only when their time is over.

    A query whose parts are all refused is itself refused as late as they are.
    """

    def make_clock(self):
        return VirtualClock()

    def run_main(self, main):
        return run_in_virtual_time(main, clock=self.clock)

    def submit_behind(self, service_s, count):
        """Submit behind ``count`` items of ``service_s`` that was measured as 5 ms.

        Return the result of an item with 1 s and the seconds until then.
        """

        async def scenario():
            for number in range(30):
                await self.result(self.sub(number))
            for server in self.servers:
                server.service_s = service_s
            for number in range(40, 40 + count):
                await self.submit(self.sub(number, deadline_s=0.95))
            started = self.clock.monotonic()
            result = await self.result(self.sub(50))
            return result, self.clock.monotonic() - started

        return self.run_scenario(scenario, hedge_budget=0.0)

    def test_work_that_cannot_finish_is_refused_within_half_of_its_time(self):
        result, elapsed_s = self.submit_behind(1.5, 3)
        self.assertEqual(ResultCode.OVERLOADED, result.code)
        self.assertTrue(result.not_run and result.retry_after_ms > 0)
        self.assertTrue(elapsed_s < 0.5, elapsed_s)

    def test_work_that_can_finish_keeps_waiting(self):
        # At the check it still waits. It starts after 0.6 s.
        result, elapsed_s = self.submit_behind(0.3, 6)
        self.assertEqual(ResultCode.OK, result.code)
        self.assertAlmostEqual(0.9, elapsed_s, delta=0.01)


class FailureTest(OwnerTestCase):
    """Guards against missing retries and against retries of work that may have run."""

    def test_shed_is_retried_on_another_server(self):
        async def scenario():
            for server in self.servers[:2]:
                server.code = ResultCode.UPSTREAM_SHED
                server.not_run = True
            return [await self.result(self.sub(n)) for n in range(3)]

        results = self.run_scenario(scenario)
        self.assertEqual({"s2"}, {result.server for result in results})

    def test_lost_server_is_reported_and_not_retried_here(self):
        async def scenario():
            for server in self.servers:
                server.loses_connection = True
            return await self.result(self.sub())

        result = self.run_scenario(scenario)
        self.assertEqual(ResultCode.UPSTREAM_LOST, result.code)
        self.assertFalse(result.not_run)
        self.assertEqual(1, len(self.ran()))

    def test_execution_runs_once_when_the_server_is_lost(self):
        async def scenario():
            for server in self.servers:
                server.loses_connection = True
            return await self.result(self.sub(execution_id="e~1~0~x"))

        result = self.run_scenario(scenario)
        self.assertFalse(result.not_run)
        self.assertEqual(["e~1~0~x"], self.ran())

    def test_execution_is_neither_hedged_nor_cancelled(self):
        async def scenario():
            for number in range(30):
                await self.result(self.sub(number))
            for server in self.servers:
                server.ran.clear()
                server.service_s = 0.2
            return await self.result(self.sub(execution_id="e~1~0~x"))

        result = self.run_scenario(scenario)
        self.assertEqual(ResultCode.OK, result.code)
        self.assertEqual(["e~1~0~x"], self.ran())

    def test_execution_is_retried_only_after_a_not_run(self):
        async def scenario():
            for server in self.servers[:2]:
                server.code = ResultCode.UPSTREAM_DRAINING
                server.not_run = True
            return await self.result(self.sub(execution_id="e~1~0~x"))

        result = self.run_scenario(scenario)
        self.assertEqual(ResultCode.OK, result.code)
        self.assertEqual(["e~1~0~x"], self.ran())

    def test_answer_of_another_version_is_a_mismatch(self):
        async def scenario():
            for server in self.servers:
                server.answered_version = 9
            return await self.result(self.sub())

        result = self.run_scenario(scenario)
        self.assertEqual(ResultCode.SNAPSHOT_MISMATCH, result.code)
        self.assertIsNone(result.payload)

    def test_suspects_do_not_share_a_server(self):
        async def scenario():
            for server in self.servers:
                server.service_s = 0.1
            queues = [
                await self.submit(self.sub(n, is_suspect=True, fingerprint=f"m{n}"))
                for n in range(6)
            ]
            return [(await queue.get()).code for queue in queues]

        self.run_scenario(scenario, slots=3)
        self.assertEqual(1, max(server.max_concurrent for server in self.servers))


class HedgeTest(OwnerTestCase):
    """Guards the tail latency and the limit on extra attempts."""

    async def warm_up(self):
        for number in range(40):
            await self.result(self.sub(number))

    def test_straggler_is_hedged_and_cancelled(self):
        async def scenario():
            await self.warm_up()
            self.servers[0].service_s = 2.0
            started = self.clock.monotonic()
            for number in range(100, 103):
                result = await self.result(self.sub(number))
                self.assertEqual(ResultCode.OK, result.code)
            await curio.sleep(0.1)
            return self.clock.monotonic() - started, self.servers[0].running_count

        elapsed, still_running = self.run_scenario(scenario)
        self.assertTrue(elapsed < 1.0, elapsed)
        self.assertEqual(0, still_running)

    def test_hedge_runs_before_queued_work(self):
        async def scenario():
            await self.warm_up()
            for server in self.servers:
                server.ran.clear()
            self.servers[0].service_s = 2.0
            for server in self.servers[1:]:
                server.service_s = 0.1
            queues = [await self.submit(self.sub(200 + n)) for n in range(10)]
            await curio.sleep(0.3)
            slow = self.servers[0].ran[0].split(".")[0]
            second = [server.ran[1].split(".")[0] for server in self.servers[1:]]
            for queue in queues:
                await queue.get()
            return slow, second

        slow, second = self.run_scenario(scenario)
        self.assertIn(slow, second)

    def test_budget_limits_the_hedges(self):
        async def scenario():
            await self.warm_up()
            for server in self.servers:
                server.service_s = 0.03
            for number in range(60):
                await self.result(self.sub(300 + number))

        self.run_scenario(scenario, hedge_budget=0.05)
        # 100 sub-requests, 5 % of them hedged, and the initial token of the budget.
        self.assertTrue(len(self.ran()) <= 106, len(self.ran()))
