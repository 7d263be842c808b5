"""Tests of the distribution of documents among daemons."""

import curio
import testtools

from almondtide.memory import MemoryPlatform
from almondtide.messages import DocumentReply
from almondtide.ports import Document
from tests.local_fleet import LocalDaemon, LocalNetwork, make_fleet, run_in_curio


class DistributionTest(testtools.TestCase):
    """Guards against daemons that keep different revisions in force."""

    def setUp(self):
        super().setUp()
        self.network = LocalNetwork()

    def publish(self, revision, body=None):
        body = {"n": revision} if body is None else body
        self.network.platform.publish("configuration", revision, body)
        return self.network.platform.documents["configuration"]

    def revisions(self):
        return {daemon.revision() for daemon in self.network.daemons.values()}

    @run_in_curio
    async def test_one_daemon_with_the_revision_is_enough(self):
        """The platform is down; the other daemons get the revision from peers."""
        daemons = await make_fleet(self.network, 12)
        document = self.publish(2)
        self.network.platform.available = False
        await daemons[5].dissemination.offer(document)
        await self.network.run_rounds()
        self.assertEqual({2}, self.revisions())

    @run_in_curio
    async def test_each_domain_has_two_watchers(self):
        """Guards against platform calls that grow with the fleet."""
        daemons = await make_fleet(self.network, 15)
        for name in ("configuration", "instances"):
            watchers = [d for d in daemons if d.dissemination.is_watcher(name)]
            domains = sorted(d.state.domain for d in watchers)
            self.assertEqual(6, len(watchers))
            self.assertEqual(3, len(set(domains)))
        # A watcher that leaves is replaced.
        watchers[0].state.is_leaving = True
        self.assertFalse(watchers[0].dissemination.is_watcher("instances"))

    @run_in_curio
    async def test_partition_heals(self):
        daemons = await make_fleet(self.network, 9)
        left = [d.name for d in daemons[:4]]
        right = [d.name for d in daemons[4:]]
        self.network.partition(left, right)
        await daemons[0].dissemination.offer(self.publish(2))
        await self.network.run_rounds()
        self.assertEqual({1, 2}, self.revisions())
        self.assertEqual(1, daemons[8].revision())
        self.network.cut_links.clear()
        self.network.clock.advance(20)
        for daemon in daemons:
            await daemon.membership.expire()
        await self.network.run_rounds(4)
        self.assertEqual({2}, self.revisions())

    @run_in_curio
    async def test_concurrent_publishes_by_two_operators(self):
        """Daemons see the revisions in different orders and end with the higher one."""
        daemons = await make_fleet(self.network, 6)
        second = Document("configuration", 2, {"by": "first operator"})
        third = Document("configuration", 3, {"by": "second operator"})
        await daemons[0].dissemination.offer(third)
        await daemons[5].dissemination.offer(second)
        await self.network.run_rounds()
        bodies = {str(d.store.current("configuration").body) for d in daemons}
        self.assertEqual({str(third.body)}, bodies)

    @run_in_curio
    async def test_conflict_of_a_revision_ends_with_the_next_one(self):
        """Each daemon keeps its content and logs the conflict until then."""
        daemons = await make_fleet(self.network, 6)
        for index, daemon in enumerate(daemons):
            document = Document("configuration", 2, {"n": index % 2})
            await daemon.store.offer(document, "replica")
        await self.network.run_rounds()
        self.assertEqual(
            [0, 1] * 3,
            [d.store.current("configuration").body["n"] for d in daemons],
        )
        for daemon in daemons:
            self.assertIn("document_conflict", daemon.event_names())
        await daemons[0].dissemination.offer(self.publish(3))
        await self.network.run_rounds()
        self.assertEqual({3}, self.revisions())

    @run_in_curio
    async def test_invalid_revision_does_not_spread(self):
        daemons = await make_fleet(self.network, 6)
        await daemons[0].dissemination.offer(self.publish(2, {"bad": 1}))
        await self.network.run_rounds()
        self.assertEqual({1}, self.revisions())
        await daemons[0].dissemination.offer(self.publish(3))
        await self.network.run_rounds()
        self.assertEqual({3}, self.revisions())

    async def make_pair(self):
        """Return two daemons; the first is one revision ahead of the second."""
        first, second = await make_fleet(self.network, 2)
        large = {str(n): "text" * 9 for n in range(50)}
        for daemon in (first, second):
            await daemon.store.offer(Document("configuration", 2, large), "test")
        await first.store.offer(Document("configuration", 3, {**large, "n": 3}), "test")
        return first, second

    @run_in_curio
    async def test_corrupted_change_is_replaced_by_a_snapshot(self):
        """A change whose result has an unexpected digest is never put into force."""
        first, second = await self.make_pair()
        first.store._states["configuration"].chain._changes[-1].patch["n"] = 4
        await second.exchange_digests()
        self.assertEqual(3, second.store.current("configuration").body["n"])
        self.assertIn("document_change_unusable", second.event_names())

    @run_in_curio
    async def test_change_is_sent_as_a_patch(self):
        """Guards against sending the whole document for each change."""
        _, second = await self.make_pair()
        await second.exchange_digests()
        replies = second.peers.replies
        (reply,) = [item for item in replies if isinstance(item, DocumentReply)]
        self.assertEqual([[3, {"n": 3}]], [step[:2] for step in reply.patches])
        self.assertEqual(3, second.revision())

    @run_in_curio
    async def test_suspicion_is_not_passed_on(self):
        """One daemon's broken link must not remove a peer for the others."""
        daemons = await make_fleet(self.network, 4)
        self.network.partition(["d0"], ["d3"])
        await daemons[0].membership.peer_lost("d3")
        await self.network.run_rounds()
        self.assertIn("d3", daemons[0].membership.view().suspected)
        for other in daemons[1:3]:
            self.assertEqual(frozenset(), other.membership.view().suspected)

    @run_in_curio
    async def test_unlisted_daemon_receives_and_sends_documents(self):
        """A new daemon that the list does not name yet must be up to date too."""
        daemons = await make_fleet(self.network, 3)
        new = LocalDaemon(self.network, "d7", seeds=["d1"])
        (seed,) = new.dissemination.seed_names()
        await new.dissemination.exchange(seed)
        self.assertEqual(1, new.revision())
        await new.dissemination.offer(self.publish(2))
        await new.exchange_digests()
        await self.network.run_rounds()
        self.assertEqual({2}, {d.revision() for d in daemons})

    @run_in_curio
    async def test_only_watchers_and_isolated_daemons_call_the_platform(self):
        """Guards against calls by every daemon and more than one call a second."""
        daemons = await make_fleet(self.network, 12)
        names = ("configuration", "instances")
        idle = next(
            daemon
            for daemon in daemons
            if not any(daemon.dissemination.is_watcher(name) for name in names)
        )
        calls = self.network.platform.calls
        await idle.dissemination.start_watches()
        await curio.sleep(0.7)
        self.assertEqual(calls, self.network.platform.calls)
        self.network.clock.advance(4)
        self.assertTrue(idle.dissemination.is_isolated())
        await curio.sleep(2.6)
        await idle.dissemination.stop()
        made = self.network.platform.calls - calls
        self.assertTrue(2 <= made <= 8, f"{made} calls for 2 documents in 2.6 s")

    @run_in_curio
    async def test_stale_answer_of_the_platform_is_logged(self):
        (daemon,) = await make_fleet(self.network, 1)
        await daemon.dissemination.offer(self.publish(3))
        self.publish(2)
        await daemon.dissemination.read_platform()
        self.assertEqual(3, daemon.revision())
        self.assertIn("platform_stale", daemon.event_names())


class StartupTest(testtools.TestCase):
    """Guards against a stale platform that reverts the configuration."""

    def setUp(self):
        super().setUp()
        self.network = LocalNetwork()

    def stale_platform(self, names):
        platform = MemoryPlatform()
        platform.publish("configuration", 1, {"n": 1})
        platform.publish("instances", 1, self.network.instances_body(names))
        return platform

    async def wait_ready(self, daemon, seconds):
        """Return why the daemon is ready within ``seconds`` of test time, or None."""
        task = await curio.spawn(daemon.guard.wait)
        end = self.network.clock.monotonic() + seconds
        while self.network.clock.monotonic() < end and not task.terminated:
            self.network.clock.advance(0.5)
            await curio.sleep(0.05)
        if not task.terminated:
            await task.cancel()
            return None
        return task.result

    async def fleet_at_revision(self, revision):
        daemons = await make_fleet(self.network, 4)
        document = Document("configuration", revision, {"n": revision})
        for daemon in daemons:
            await daemon.store.offer(document, "test")
        return daemons

    @run_in_curio
    async def test_revision_of_a_seed_is_in_force_before_ready(self):
        await self.fleet_at_revision(9)
        new = LocalDaemon(self.network, "d3", ["d1"], "i2", self.stale_platform(["d3"]))
        self.assertEqual("peers", await self.wait_ready(new, 20))
        self.assertEqual([9], new.applied)
        self.assertEqual(0, new.platform.calls)

    @run_in_curio
    async def test_listed_peers_are_asked_without_seeds(self):
        await self.fleet_at_revision(9)
        platform = self.stale_platform(["d0", "d1", "d3"])
        new = LocalDaemon(self.network, "d3", [], "i2", platform)
        self.assertEqual("peers", await self.wait_ready(new, 20))
        self.assertEqual(9, new.revision())

    @run_in_curio
    async def test_not_ready_without_peer_and_platform(self):
        new = LocalDaemon(self.network, "d3", ["d1"])
        self.network.platform.available = False
        self.assertIsNone(await self.wait_ready(new, 10))

    @run_in_curio
    async def test_first_daemon_is_ready_with_the_platform(self):
        new = LocalDaemon(self.network, "d3", platform=self.stale_platform(["d3"]))
        self.assertEqual("first daemon", await self.wait_ready(new, 2))

    @run_in_curio
    async def test_unreachable_peers_delay_the_start_by_a_bounded_time(self):
        """A list of instances that no longer run must not block a new fleet."""
        platform = self.stale_platform(["d0", "d1", "d3"])
        new = LocalDaemon(self.network, "d3", platform=platform)
        self.assertIsNone(await self.wait_ready(new, 4))
        self.assertEqual("no peer answers", await self.wait_ready(new, 12))
        self.assertIn("started_without_peers", new.event_names())

    @run_in_curio
    async def test_whole_fleet_starts_without_delay(self):
        platform = self.stale_platform(["d0", "d1"])
        LocalDaemon(self.network, "d0", platform=platform)
        new = LocalDaemon(self.network, "d1", platform=platform)
        self.assertEqual("fleet starts", await self.wait_ready(new, 4))

    @run_in_curio
    async def test_documents_of_a_starting_peer_are_not_relied_on(self):
        """It may have read the same stale platform; a ready peer must confirm."""
        await self.fleet_at_revision(9)
        platform = self.stale_platform(["d2", "d3", "d5"])
        starting = LocalDaemon(self.network, "d5", platform=platform)
        await starting.dissemination.read_platform()
        new = LocalDaemon(self.network, "d3", ["d5"], "i2", platform)
        self.assertEqual("peers", await self.wait_ready(new, 20))
        self.assertEqual(9, new.revision())
