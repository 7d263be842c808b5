"""Tests of the check after a pause of the process."""

import testtools

from almondtide.errors import RefusedError, ResultCode
from almondtide.logs import Log
from almondtide.pauses import PauseGuard
from almondtide.ports import Document
from tests.local_fleet import LocalNetwork, make_fleet, run_in_curio

TICK_S = 0.2


class PauseGuardTest(testtools.TestCase):
    """Guards against work on outdated state after a pause of the process."""

    async def resume(self, cut):
        """Return (network, daemon, guard) after a pause of only this daemon."""
        network = LocalNetwork()
        daemon, *others = await make_fleet(network, 4)
        self.refreshed = []

        async def refresh():
            self.refreshed.append(daemon.revision())

        parts = (daemon.dissemination, daemon.membership, refresh, network.clock)
        guard = PauseGuard(TICK_S, *parts, Log(daemon.events))
        network.clock.advance(TICK_S)
        self.assertEqual(0.0, guard.tick())
        guard.raise_if_checking()
        for other in others:
            await other.store.offer(Document("configuration", 2, {}), "test")
        if cut:
            network.partition(["d0"], [other.name for other in others])
        await daemon.membership.peer_suspected("d1")
        network.clock.advance(5.0)
        return network, daemon, guard

    @run_in_curio
    async def test_new_work_is_refused_until_documents_were_checked(self):
        _, daemon, guard = await self.resume(cut=False)
        # Work that arrives before the first tick is refused as well.
        error = self.assertRaises(RefusedError, guard.raise_if_checking)
        self.assertEqual(ResultCode.NOT_READY, error.code)
        self.assertTrue(error.not_run)
        self.assertIsNotNone(error.retry_after_ms)
        self.assertGreater(guard.tick(), 4)
        self.assertRaises(RefusedError, guard.raise_if_checking)
        await guard.revalidate()
        guard.raise_if_checking()
        self.assertEqual([2], self.refreshed)
        self.assertEqual(frozenset(), daemon.membership.view().suspected)

    @run_in_curio
    async def test_platform_is_read_when_no_peer_answers(self):
        network, _, guard = await self.resume(cut=True)
        guard.tick()
        calls = network.platform.calls
        await guard.revalidate()
        self.assertGreater(network.platform.calls, calls)
        guard.raise_if_checking()

    @run_in_curio
    async def test_daemons_that_resume_together_do_not_confirm_each_other(self):
        network, daemon, guard = await self.resume(cut=False)
        guard.tick()
        daemon.dissemination.is_serving = lambda: not guard.is_checking()
        self.assertFalse(daemon.dissemination.digest().ready)
        for other in list(network.daemons.values())[1:]:
            other.dissemination.is_serving = lambda: False
        calls = network.platform.calls
        await guard.revalidate()
        self.assertGreater(network.platform.calls, calls)
        self.assertTrue(daemon.dissemination.digest().ready)

    @run_in_curio
    async def test_refusal_ends_without_peers_and_platform(self):
        """A daemon that reaches nothing accepts work again with its own documents."""
        network, daemon, guard = await self.resume(cut=True)
        network.platform.available = False
        guard.tick()
        self.assertRaises(RefusedError, guard.raise_if_checking)
        await guard.revalidate()
        guard.raise_if_checking()
        self.assertIn("documents_not_checked", daemon.event_names())
