"""A small fleet of entries as processes, with a store and servers around it.

It uses the project's stand-ins. Entries run with the command of the deploy file and
with settings like those of a small deployment.
"""

import os
import subprocess
import sys
import time

import curio
import orjson

from almondtide.adapters.listener import Listener
from standins.entry_fleet import DOMAINS, GOSSIP_PORT, PORTS, EntryFleet
from standins.link import Link
from standins.shard import ShardServer

__all__ = ["BOUNDS", "Record", "ReviewFleet", "finish"]

# The bounds of the deployments with three failure domains in one region.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 12000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 116,
    "recovery_s": 12,
    "ttl_max_s": 5,
}
HEARTBEAT_S = 1.2
SERVER_PORT = 8281
EXPIRY_HEARTBEATS = 3
# The platform starts a process again after this delay, in s.
RESTART_DELAY_S = 0.3
# Last part of the address of the first server.
FIRST_SERVER_HOST = 100


class ReviewFleet(EntryFleet):
    """An ``EntryFleet`` whose servers write heartbeats and can start again.

    ``born_ms`` holds the start of each server, by id, and ``cold_until`` the end of the
    time in which it is cold, on the steady clock.
    """

    def __init__(self, folder, daemons=3, servers=3, **options):
        super().__init__(
            folder,
            daemons,
            servers,
            argv=["-S", "-m", "almondtide.entry"],
            **options,
        )
        self.born_ms = {}
        self.sequences = {}
        self.down_ids = set()
        self.cold_until = {}
        self.extra_limits = {}
        self._heartbeats = None

    async def add_server(self, service):
        """Start a server with an address of its own and register it; returns its id."""
        number = len(self.servers)
        id = f"i-{service}-{number}"
        server = ShardServer(id, service)
        prefix = self.hosts[0].rpartition(".")[0]
        address = (f"{prefix}.{FIRST_SERVER_HOST + number}", SERVER_PORT)
        server.listener = Listener(address, server._serve)
        await server.start()
        self.servers[id] = server
        if self.has_links:
            link = self.links[id] = Link(id, 0, f"{address[0]}:{address[1]}")
            await link.start()
        await self.register(id)
        return id

    async def _start(self):
        await super()._start()
        self._heartbeats = await curio.spawn(self._write_heartbeats, daemon=True)

    async def _write_heartbeats(self):
        while True:
            await curio.sleep(HEARTBEAT_S)
            for id in list(self.servers):
                if id not in self.down_ids and id in self.registered_states:
                    await self.register(id, self.registered_states[id])

    async def register(self, id, state="ready"):
        """Write a server's entry to the store."""
        self.registered_states[id] = state
        self.sequences[id] = self.sequences.get(id, 0) + 1
        born_ms = self.born_ms.setdefault(id, int(time.time() * 1000))
        entry = self.servers[id].store_entry(
            self.domain_of(id), state, self.sequences[id]
        )
        entry["born"] = born_ms
        cold_s = self.cold_until.get(id, 0.0) - time.monotonic()
        entry["warmup_left_ms"] = max(0, int(cold_s * 1000))
        if id in self.links:
            host, port = self.links[id].listener.address
            entry["address"] = f"{host}:{port}"
        await self.store.put(f"servers/{id}", entry)

    async def restart_server(self, id):
        """Start a server again that has ended, under its id and at its address."""
        old = self.servers[id]
        server = ShardServer(id, old.service, old.slots, old.service_time_s)
        server.should_crash = old.should_crash
        server.override_response = old.override_response
        server.runs, server.arrivals = old.runs, old.arrivals
        server.listener = Listener(old.listener.address, server._serve)
        await server.start()
        self.servers[id] = server
        self.born_ms[id] = int(time.time() * 1000)
        self.sequences[id] = 0
        self.down_ids.discard(id)
        await self.register(id)

    async def replace_server(self, id):
        """Start a server with a new id and address in place of one that has crashed.

        Return its id. The entry of the old one ends after three missed heartbeats.
        """
        service_time_s = self.servers[id].service_time_s
        new_id = await self.add_server(self.servers[id].service)
        self.servers[new_id].service_time_s = service_time_s
        await curio.spawn(self._expire_entry, id, daemon=True)
        return new_id

    async def _expire_entry(self, id):
        await curio.sleep(EXPIRY_HEARTBEATS * HEARTBEAT_S)
        if f"servers/{id}" in self.store.items:
            await self.store.remove(f"servers/{id}")

    async def restart_daemon(self, number):
        """Stop an entry as planned, start it again and wait until it is ready."""
        process = self.processes[number]
        process.terminate()
        while process.poll() is None:
            await curio.sleep(0.05)
        await curio.sleep(RESTART_DELAY_S)
        self.start_daemon(number)
        await self.wait_until_ready(number)

    def start_daemon(self, number):
        """Write the settings file of an entry and start it."""
        host = self.hosts[number]
        path = os.path.join(self.folder, f"settings-{number}.json")
        store_host, store_port = self.store.address
        document = {
            "node_name": f"front-{number}",
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": host,
            "zone": DOMAINS[number % len(DOMAINS)],
            "region": "viti-levu",
            "zones": dict.fromkeys(DOMAINS, "viti-levu"),
            "listen": {name: f"{host}:{port}" for name, port in PORTS.items()},
            "port_range": [GOSSIP_PORT, GOSSIP_PORT + 15],
            "seeds": [f"{h}:{PORTS['control']}" for h in self.hosts[:3]],
            "bootstrap": not self.processes,
            "limits": {
                "cpu_share": 0.731,
                "cores": 1,
                "memory_mb": 222,
                "max_fds": 1535,
                "link_mbps": 350.0,
                "disk_mb": 0,
                **self.extra_limits,
            },
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {**BOUNDS, **self.bounds},
            "platform": {
                "address": f"{store_host}:{store_port}",
                "form": "read",
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
        }
        with open(path, "wb") as file:
            file.write(orjson.dumps(document))
        environment = {**os.environ, "ALMONDTIDE_SETTINGS": os.path.abspath(path)}
        with open(os.path.join(self.folder, f"log-{number}"), "ab") as log:
            self.processes[number] = subprocess.Popen(
                [sys.executable, *self.argv],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._path = path
        self._started_at = time.monotonic()
        with open(path, "w"):
            pass

    def now(self):
        """Return the time since the start in s."""
        return time.monotonic() - self._started_at

    def add(self, event, **fields):
        """Write one line."""
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        with open(self._path, "a") as file:
            file.write(f"{self.now():8.3f} {event} {pairs}\n")


def finish(record, is_broken, text):
    """Write the verdict and return the exit status of the script."""
    record.add("verdict", broken=is_broken, text=text)
    print("BROKEN" if is_broken else "held", text)
    return 1 if is_broken else 0
