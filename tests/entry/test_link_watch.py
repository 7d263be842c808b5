"""Tests of the probes that show whether the links to servers are lost."""

import curio
import testtools

from almondtide.entry.link_watch import PROBES_PER_ROUND, LinkWatch
from almondtide.entry.links import LinkState
from almondtide.entry.upstreams import Failure, UpstreamTable
from tests.entry.support import make_server
from tests.support import MemoryLog, run

SERVICES = ("a", "b", "c", "d", "e", "f", "g")


class _Pool:
    """Opens connections by ``outcomes``: server id -> accepted, None for silence."""

    def __init__(self):
        self.outcomes = {}
        self.probed = []

    async def connect(self, probe):
        self.probed.append(probe.upstream.server.id)
        await curio.spawn(self._end, probe, daemon=True)

    async def _end(self, probe):
        outcome = self.outcomes.get(probe.upstream.server.id, False)
        if outcome:
            probe.on_connected()
            await probe.on_skipped()
        elif outcome is False:
            await probe.on_failure(Failure.NO_LISTENER, "connect", None)


class _Watch:
    """A ``LinkWatch`` with simulated servers, peers and time."""

    def __init__(self, servers_per_service=2):
        self.time = 100.0
        self.table = UpstreamTable("lautoka")
        for index, service in enumerate(SERVICES):
            for number in range(servers_per_service):
                self.table.apply(make_server(f"i-{index}{number}", service))
        self.pool = _Pool()
        self.changes = []
        self.log = MemoryLog()
        self.watch = LinkWatch(
            self.table,
            self.pool,
            lambda now: {"front-2"},
            lambda: True,
            self._on_change,
            lambda: self.time,
            self.log,
        )
        self.monitor = self.watch.monitor

    async def _on_change(self):
        self.changes.append(self.monitor.state)

    def fail_servers(self):
        for id in ("i-00", "i-10", "i-20"):
            self.monitor.note_failure(id, True, self.time)
        self.time += 0.5

    async def check(self):
        await self.watch.check()


class LinkWatchTest(testtools.TestCase):
    """Guards against probes that are not sent, or whose result is lost."""

    def run_scenario(self, scenario):
        return run(scenario, _Watch())

    def test_nothing_is_probed_without_a_reason(self):
        async def scenario(watch):
            for _ in range(50):
                watch.time += 0.1
                await watch.check()
            return watch

        watch = self.run_scenario(scenario)
        self.assertEqual([], watch.pool.probed)
        self.assertEqual([], watch.log.events)

    def test_servers_of_different_services_are_probed(self):
        async def scenario(watch):
            watch.fail_servers()
            await watch.check()
            return watch

        watch = self.run_scenario(scenario)
        services = {watch.table.get(id).server.service for id in watch.pool.probed}
        self.assertEqual(PROBES_PER_ROUND, len(watch.pool.probed))
        self.assertEqual(PROBES_PER_ROUND, len(services))

    def test_leaving_servers_are_not_probed(self):
        async def scenario(watch):
            for upstream in list(watch.table):
                if upstream.server.service != "a":
                    upstream.announce_end(watch.time - 1.0)
            watch.fail_servers()
            await watch.check()
            return watch

        probed = self.run_scenario(scenario).pool.probed
        self.assertEqual(1, len(probed))
        self.assertTrue(probed[0].startswith("i-0"), probed)

    def test_links_are_lost_and_come_back(self):
        async def scenario(watch):
            watch.fail_servers()
            watch.monitor.note_peer("front-2", watch.time, False, watch.time)
            await watch.check()
            watch.pool.outcomes = {u.server.id: True for u in watch.table}
            for _ in range(30):
                watch.time += 0.1
                await watch.check()
            return watch

        watch = self.run_scenario(scenario)
        self.assertEqual([LinkState.LOST, LinkState.UP], watch.changes)
        states = [
            fields["state"]
            for name, fields in watch.log.events
            if name == "links_changed"
        ]
        self.assertEqual(["lost", "up"], states)

    def test_servers_that_are_down_for_all(self):
        async def scenario(watch):
            watch.fail_servers()
            await watch.check()
            return watch

        self.assertEqual([LinkState.FAILING], self.run_scenario(scenario).changes)

    def test_one_accepted_probe_is_enough(self):
        async def scenario(watch):
            watch.pool.outcomes = {u.server.id: False for u in watch.table}
            for upstream in watch.table:
                if upstream.server.service in "abc":
                    watch.pool.outcomes[upstream.server.id] = True
            watch.fail_servers()
            watch.monitor.note_peer("front-2", watch.time, False, watch.time)
            await watch.check()
            return watch

        # Five probes of seven services meet one of these three.
        self.assertEqual([], self.run_scenario(scenario).changes)

    def test_probes_that_hang_end_the_round_in_time(self):
        async def scenario(watch):
            watch.pool.outcomes = dict.fromkeys(
                (u.server.id for u in watch.table), None
            )
            watch.fail_servers()
            async with curio.timeout_after(2.0):
                await watch.check()
            return watch

        self.assertEqual([LinkState.FAILING], self.run_scenario(scenario).changes)

    def test_an_entry_that_knows_no_servers(self):
        async def scenario(watch):
            for upstream in list(watch.table):
                watch.table.remove(upstream.server.id)
            watch.monitor.note_unserved(True, watch.time)
            await watch.check()
            return watch

        self.assertEqual([], self.run_scenario(scenario).changes)
