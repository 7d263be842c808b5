"""Tests that tell servers that have ended from links that were lost."""

import curio
import testtools

from almondtide.entry.crash_detector import CRASH_LIMIT
from almondtide.entry.links import LinkState
from almondtide.entry.upstreams import Failure
from almondtide.errors import ResultCode
from standins.virtual_time import VirtualClock, run_in_virtual_time
from tests.entry.support import make_call, make_route, make_server
from tests.entry.test_dispatch import SHARDS, _Fleet, _part

SHARDED = make_route(shards=SHARDS, min_coverage=0.75)
SINGLE = make_route(max_servers=2, objective_s=0.5)


def _run(scenario):
    """Run ``scenario(fleet)`` in virtual time.

    A server whose id is in ``fleet.pool.ended`` breaks its first exchange, and refuses
    all connections after that.
    """
    clock = VirtualClock()

    async def start():
        fleet = _Fleet(lambda exchange: behave(fleet, exchange), clock=clock)
        broken = fleet.broken = set()

        def behave(fleet, exchange):
            id = exchange.upstream.server.id
            if id not in fleet.pool.ended:
                return 0.002, _part(exchange)
            if id in broken:
                return 0.0, Failure.NO_LISTENER
            broken.add(id)
            return 0.001, Failure.BROKEN

        await fleet.timers.start()
        return await scenario(fleet)

    return run_in_virtual_time(start, clock=clock)


class PartitionTest(testtools.TestCase):
    """Guards against a popular request that is refused after one entry's partition.

    All entries refused it for 20 to 40 s (soak, seed 81004).
    """

    def test_the_requests_of_a_partitioned_entry(self):
        async def scenario(fleet):
            fleet.pool.ended.update(u.server.id for u in fleet.table)
            for _ in range(2 * CRASH_LIMIT):
                await fleet.run(SHARDED, 0.4)
            losses = list(fleet.losses)
            # The links are back.
            fleet.pool.ended.clear()
            await curio.sleep(5.0)
            return losses, (await fleet.run(SHARDED, 0.4))[1]

        losses, answer = _run(scenario)
        self.assertEqual([], losses)
        self.assertNotEqual(ResultCode.QUARANTINED, answer.code)

    def test_links_that_are_known_to_fail(self):
        async def scenario(fleet):
            fleet.dispatcher.links.state = LinkState.FAILING
            fleet.crash_detector.on_connection_broken(make_call(SINGLE), "i-x")
            await fleet.dispatcher._server_ends.note_refused("i-x")
            return fleet

        fleet = _run(scenario)
        self.assertEqual([], fleet.pool.checked)
        self.assertFalse(fleet.crash_detector.has_losses("i-x"))
        self.assertEqual([], fleet.losses)


class CrashTest(testtools.TestCase):
    """Guards against a request that crashes servers and is not found out."""

    def test_a_loss_counts_once_another_server_is_reached(self):
        async def scenario(fleet):
            call = make_call(SINGLE, arrived_at=fleet.clock.monotonic())
            fleet.crash_detector.on_connection_broken(call, "i-x")
            for _ in range(3):
                await fleet.dispatcher._server_ends.note_refused("i-x")
            await curio.sleep(0.01)
            return fleet

        fleet = _run(scenario)
        self.assertEqual([["i-x"]], [servers for _, servers in fleet.losses])
        self.assertEqual(2, len(fleet.pool.checked))

    def test_one_refusal_of_another_server_proves_nothing(self):
        async def scenario(fleet):
            ids = [upstream.server.id for upstream in fleet.table]
            # All but one are gone as well, and this entry does not know it yet.
            for id in ids[2:]:
                fleet.table.remove(id)
            fleet.pool.ended.add(ids[0])
            call = make_call(SINGLE, arrived_at=fleet.clock.monotonic())
            fleet.crash_detector.on_connection_broken(call, "i-x")
            await fleet.dispatcher._server_ends.note_refused("i-x")
            await curio.sleep(0.01)
            return fleet

        self.assertEqual(1, len(_run(scenario).losses))

    def test_the_only_server(self):
        async def scenario(fleet):
            for id in [upstream.server.id for upstream in fleet.table]:
                fleet.table.remove(id)
            fleet.table.apply(make_server("i-1", "a"))
            call = make_call(SINGLE, arrived_at=fleet.clock.monotonic())
            fleet.crash_detector.on_connection_broken(call, "i-1")
            await fleet.dispatcher._server_ends.note_refused("i-1")
            return fleet

        self.assertEqual(1, len(_run(scenario).losses))
