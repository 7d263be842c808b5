"""End-to-end tests of an evacuated failure domain with daemon processes."""

import signal
import tempfile
import time

import curio
import testtools

from standins.entry_fleet import EntryFleet
from tests.support import run

EVACUATE_S = 2.0


class EvacuationProcessTest(testtools.TestCase):
    """Guards against entries that go on sending to an evacuated failure domain."""

    def _run_scenario(self, scenario):
        async def run_fleet():
            bounds = {"evacuate_ms": EVACUATE_S * 1000}
            async with EntryFleet(folder, bounds=bounds) as fleet:
                await scenario(fleet)

        with tempfile.TemporaryDirectory() as folder:
            run(run_fleet, timeout_s=60)

    async def _search(self, fleet, seconds):
        """Send searches to all daemons; return the domains that they reached."""
        start = time.monotonic()
        number = 0
        while time.monotonic() < start + seconds:
            number += 1
            status, _, _ = await fleet.search(number % 3, f"q-{start}-{number}")
            self.assertEqual(200, status)
        await curio.sleep(0.05)
        return {
            fleet.domain_of(id)
            for id, server in fleet.servers.items()
            for request_id, _, _ in server.runs
            if request_id.startswith(f"q-{start}")
        }

    def test_all_entries_keep_the_bound_and_come_back(self):
        async def scenario(fleet):
            # The servers of all shards are in two domains.
            domain = max(reached := await self._search(fleet, 1.0))
            self.assertEqual(2, len(reached))
            await fleet.store.put(f"op/evacuate/{domain}", {})
            await self._search(fleet, EVACUATE_S)
            self.assertNotIn(domain, await self._search(fleet, 1.0))
            # An entry that starts again knows it before it serves.
            fleet.processes[1].send_signal(signal.SIGKILL)
            fleet.processes[1].wait()
            fleet.start_daemon(1)
            await fleet.wait_until_ready(1)
            # One that starts without the store learns it from its peers.
            fleet.store.mode = "busy"
            fleet.processes[2].send_signal(signal.SIGKILL)
            fleet.processes[2].wait()
            fleet.start_daemon(2)
            await fleet.wait_until_ready(2)
            self.assertNotIn(domain, await self._search(fleet, 1.0))
            fleet.store.mode = "normal"
            await fleet.store.remove(f"op/evacuate/{domain}")
            await curio.sleep(EVACUATE_S)
            self.assertEqual(reached, await self._search(fleet, 1.0))
            for number in range(3):
                self.assertIn("event=evacuation_begun", fleet.read_log(number))

        self._run_scenario(scenario)
