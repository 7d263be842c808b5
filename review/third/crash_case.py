"""A request that crashes each server that begins to run it, and comes again and again.

The server is a process that ends, and is started again some seconds later at the same
address: with a new id, or under the one that it had.
"""

import asyncio
import os
import random
import subprocess
import sys
import tempfile
import time

import kit

FOLDER = os.path.dirname(os.path.abspath(__file__))
CRASH_SERVER = os.path.join(FOLDER, "crash_server.py")
SERVERS = 3
# A server that has crashed is back after this time, in s.
BACK_AFTER_S = 2.0
# The request comes again after this time, in s.
AGAIN_AFTER_S = 4.0
PLAYED_S = 80.0
# Most retries that may reach servers later than contact_ms after the third crash.
MAX_RETRIES = 3
CRASHES = 3
# A server whose heartbeats have ended is removed from the store after this time, in s.
REMOVED_AFTER_S = 3.6


class CrashingServer:
    """A server process that is started again some seconds after it has crashed."""

    def __init__(self, fleet, name, zone, path, keeps_id):
        self.fleet = fleet
        self.name = name
        self.id = None
        self.keeps_id = keeps_id
        self.starts = 0
        self.service = "redaccion"
        self.zone = kit.ZONES[zone]
        self.slots = 3
        self.sequence = 0
        self.path = path
        with kit.free_port() as port:
            self.address = ("127.0.0.1", port)
        self.process = None
        self.crashed_at = []
        self._expiring = []

    def start(self):
        """Start the process, and write its entry when it listens."""
        self.starts += 1
        self.id = self.name if self.keeps_id else f"{self.name}-{self.starts}"
        command = [sys.executable, "-S", CRASH_SERVER, self.id]
        command += [str(self.address[1]), self.path]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.fleet.extra_processes.append(self.process)
        self.process.stdout.readline()
        self.born = int(time.time() * 1000)
        self.write_entry()

    def write_entry(self):
        """Write the entry of this start to the store, as each heartbeat does."""
        self.sequence += 1
        entry = kit.server_entry(self, self.address, "ready", self.sequence, self.born)
        self.fleet.store.put(f"servers/{self.id}", entry)

    async def run(self):
        """Write heartbeats while the process runs; start it again after a crash."""
        beat_at = time.monotonic() + 1.2
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.process.poll() is not None:
                self.crashed_at.append(now)
                self.fleet.record("crash", server=self.id)
                if not self.keeps_id:
                    self._expiring.append(asyncio.create_task(self._expire(self.id)))
                await asyncio.sleep(BACK_AFTER_S)
                self.start()
                self.fleet.record("back", server=self.id)
                beat_at = time.monotonic() + 1.2
            elif now >= beat_at:
                beat_at += 1.2
                self.write_entry()

    async def _expire(self, id):
        """Remove the entry of an incarnation that has ended."""
        await asyncio.sleep(REMOVED_AFTER_S)
        self.fleet.store.remove(f"servers/{id}")


async def play(folder, traffic, keeps_id=False, entries=3):
    """Return 1 if the request reaches servers too often after the third crash.

    ``traffic(fleet)`` is an async function that sends it, see ``send``. With
    ``keeps_id`` the servers start again under the id that they had.
    """
    with tempfile.TemporaryDirectory() as temporary:
        path = os.path.join(temporary, "runs")
        async with kit.Fleet(folder, entries) as fleet:
            servers = [
                CrashingServer(fleet, f"i-{number}", number, path, keeps_id)
                for number in range(SERVERS)
            ]
            for server in servers:
                server.start()
            for number in range(3):
                await fleet.add_server(f"a-{number}", "archivo-legal", number)
            fleet.configure(
                1, [kit.route("ficha", "redaccion"), kit.route("acta", "archivo-legal")]
            )
            await fleet.start_entries()
            tasks = [asyncio.create_task(server.run()) for server in servers]
            tasks += [
                asyncio.create_task(beat(server)) for server in fleet.servers.values()
            ]
            tasks.append(asyncio.create_task(others(fleet)))
            await traffic(fleet)
            for task in tasks:
                task.cancel()
            crashes = sorted(at for server in servers for at in server.crashed_at)
            return judge(fleet, path, crashes)


async def beat(server):
    """Write the heartbeats of a sound server."""
    while True:
        await asyncio.sleep(1.2)
        server.write_entry()


async def others(fleet):
    """Send other requests to another service, each answered."""
    number = 0
    while True:
        await fleet.call(number % 3, "acta.example", "/acta")
        number += 1
        await asyncio.sleep(0.2)


async def repeat(fleet, body=b"", is_traced=False):
    """Send the request again and again, each time to another entry."""
    target = "/poison" if kit.TROUBLE else "/sound"
    end = time.monotonic() + PLAYED_S
    number = 0
    while time.monotonic() < end:
        await send(fleet, number % 3, target, body, is_traced)
        number += 1
        await asyncio.sleep(AGAIN_AFTER_S)


async def send(fleet, number, target, body=b"", is_traced=False):
    """Send the request once to an entry."""
    headers = {"User-Agent": "emergency-desk"}
    if is_traced:
        trace, span = random.getrandbits(128), random.getrandbits(64)
        headers["Traceparent"] = f"00-{trace:032x}-{span:016x}-01"
    method = "POST" if body else "GET"
    await fleet.call(
        number, "ficha.example", target, method=method, headers=headers, body=body
    )


def judge(fleet, path, crashes):
    """Count the runs after the third crash and ``contact_ms``."""
    if len(crashes) < CRASHES:
        fleet.record("judged", crashes=len(crashes))
        return kit.HELD
    since = crashes[CRASHES - 1] + fleet.bounds["contact_ms"] / 1000
    late = []
    with open(path) as file:
        for line in file:
            at, server, id, target = line.split()
            if target == "/poison":
                fleet.record("run", server=server, id=id, at=at)
                if float(at) > since:
                    late.append(id)
    # Of each client attempt after the time, every server it reached counts.
    fleet.record(
        "judged", crashes=len(crashes), late_runs=len(late), ids=len(set(late))
    )
    return kit.BROKEN if len(set(late)) > MAX_RETRIES else kit.HELD
