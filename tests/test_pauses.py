"""Tests of the check after a pause of the process."""

import curio
import testtools

from almondtide.errors import RefusedError, ResultCode
from almondtide.logs import Log
from almondtide.pauses import PauseGuard
from almondtide.ports import Document
from tests.memory import MemoryNetwork, make_fleet

TICK_S = 0.2


class PauseGuardTest(testtools.TestCase):
    """Guards against work that a resumed process does with outdated state."""

    def run_paused(self, test, platform=True):
        network = MemoryNetwork()
        self.refreshed = []

        async def main():
            daemons = await make_fleet(network, 4)
            daemon = daemons[0]

            async def refresh():
                self.refreshed.append(daemon.revision())

            guard = PauseGuard(
                TICK_S,
                daemon.dissemination,
                daemon.membership,
                refresh,
                network.clock,
                Log(daemon.events),
            )
            network.clock.advance(TICK_S)
            self.assertEqual(0.0, guard.tick())
            guard.check()
            for other in daemons[1:]:
                await other.store.offer(Document("configuration", 2, {}), "test")
            await test(network, daemon, guard)

        curio.run(main)

    def test_new_work_is_refused_until_documents_were_checked(self):
        async def test(network, daemon, guard):
            await daemon.membership.peer_suspected("d1")
            network.clock.advance(5.0)
            # Work that arrives before the first tick is refused as well.
            error = self.assertRaises(RefusedError, guard.check)
            self.assertEqual(ResultCode.NOT_READY, error.code)
            self.assertTrue(error.not_run)
            self.assertIsNotNone(error.retry_after_ms)
            self.assertGreater(guard.tick(), 4)
            self.assertRaises(RefusedError, guard.check)
            await guard.revalidate()
            guard.check()
            self.assertEqual([2], self.refreshed)
            self.assertEqual(frozenset(), daemon.membership.view().gone)

        self.run_paused(test)

    def test_platform_is_read_when_no_peer_answers(self):
        async def test(network, daemon, guard):
            network.partition(["d0"], ["d1", "d2", "d3"])
            network.clock.advance(5.0)
            guard.tick()
            calls = network.platform.calls
            await guard.revalidate()
            self.assertGreater(network.platform.calls, calls)
            guard.check()

        self.run_paused(test)

    def test_refusal_is_bounded(self):
        """A daemon that reaches nothing serves on with what it has."""

        async def test(network, daemon, guard):
            network.partition(["d0"], ["d1", "d2", "d3"])
            network.platform.available = False
            network.clock.advance(5.0)
            guard.tick()
            self.assertRaises(RefusedError, guard.check)
            await guard.revalidate()
            guard.check()
            self.assertIn("documents_not_checked", daemon.event_names())

        self.run_paused(test)
