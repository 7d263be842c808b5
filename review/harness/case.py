"""Runs a case: starts entries by the deploy file, with stand-ins around them."""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from .http import read_message, render
from .server import Server
from .store import Store

__all__ = ["BROKEN", "HELD", "NOT_RUN", "Case", "main"]

HELD, BROKEN, NOT_RUN = 0, 1, 2
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
METRICS_PORT = 9464
START_TIMEOUT_S = 15.0
HEARTBEAT_S = 1.2
# Settings of the small deployment smaeh-fichas.
REGION = "meseta-central"
ZONES = ("sala-norte", "sala-sur", "sala-barva")
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
    "budget_slack": 126,
    "recovery_s": 12,
    "ttl_max_s": 5,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "scatter",
    "platform",
]
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 15000,
}


def free_ports(count):
    """Return ports that nothing uses on the loopback addresses now."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind(("0.0.0.0", 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


class Case:
    """A fleet of entries, a store, servers and clients, and the record of all."""

    def __init__(self, folder, entries=3):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.monotonic()
        self._resources = contextlib.ExitStack()
        record_file = open(os.path.join(folder, "record.txt"), "w")  # noqa: SIM115
        self._record_file = self._resources.enter_context(record_file)
        self._temporary = tempfile.TemporaryDirectory()
        self._resources.enter_context(self._temporary)
        subnet = random.Random(os.urandom(8)).randrange(1 << 14)
        self.hosts = [
            f"127.{64 + subnet // 256}.{subnet % 256}.{number + 1}"
            for number in range(entries)
        ]
        names = ("front", "readiness", "control", "directory", "gossip")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.store = Store()
        self.servers = []
        self.processes = {}
        self._ids = itertools.count()
        self._server_numbers = itertools.count()
        self._tasks = []

    def record(self, event, **fields):
        """Write a line with the time since the start, in s."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        at = time.monotonic() - self.started_at
        self._record_file.write(f"{at:9.3f} {event} {text}\n")

    def spawn(self, coroutine):
        """Run a coroutine until the case ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.append(task)
        return task

    async def add_servers(self, service, count, **options):
        """Start and register servers of a service, spread over the zones."""
        added = []
        for _ in range(count):
            number = next(self._server_numbers)
            server = Server(
                f"i-{service}-{number}",
                service,
                ZONES[number % len(ZONES)],
                self.store,
                self.record,
                **options,
            )
            await server.start()
            self.servers.append(server)
            added.append(server)
        return added

    def configure(self, version, routes):
        """Let the operator write a configuration."""
        services = {}
        for route in routes:
            for name in route.get("gather") or [route["service"]]:
                services[name] = {
                    "name": name,
                    "health_path": "/health",
                    "max_connections": 90,
                }
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": routes,
                "services": list(services.values()),
                "limits": LIMITS,
            },
        )
        self.record("config", version=version)

    def _settings(self, number):
        host = self.hosts[number]
        names = ("front", "readiness", "control", "directory")
        return {
            "node_name": f"front-{number}",
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": host,
            "zone": ZONES[number % len(ZONES)],
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": {name: f"{host}:{self.ports[name]}" for name in names},
            "port_range": [self.ports["gossip"], self.ports["gossip"]],
            "seeds": [f"{host}:{self.ports['control']}" for host in self.hosts[:3]],
            "bootstrap": True,
            "in_tolerance": False,
            "limits": {
                "cpu_share": 0.731,
                "cores": 1,
                "memory_mb": 222,
                "max_fds": 1535,
                "link_mbps": 350.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry_point": "directory",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": CONTRACTS,
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"127.0.0.1:{self.store.port}",
                "form": "read",
                "reads_per_s": 2000,
                "history_s": 20,
            },
        }

    def start_entry(self, number):
        """Start an entry with the command of the deploy file."""
        path = os.path.join(self._temporary.name, f"settings-{number}.json")
        with open(path, "w") as file:
            json.dump(self._settings(number), file)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"]
        words = shlex.split(command)
        if words[0] == "python3":
            words[0] = sys.executable
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["ALMONDTIDE_SETTINGS"] = path
        environment["PYTHONPATH"] = os.path.join(ROOT, "target", "deps")
        path = os.path.join(self._temporary.name, f"log-{number}")
        with open(path, "ab") as log:
            self.processes[number] = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record("start", entry=number, pid=self.processes[number].pid)

    def log_of(self, number):
        """Return what an entry has written."""
        with open(os.path.join(self._temporary.name, f"log-{number}"), "rb") as file:
            return file.read().decode(errors="replace")

    async def start(self):
        """Start the store, the entries and the heartbeats of the servers."""
        self.spawn(self._beat())
        for number in range(len(self.hosts)):
            self.start_entry(number)
        end = time.monotonic() + START_TIMEOUT_S
        for number in range(len(self.hosts)):
            while await self.readiness(number) != 200:
                if time.monotonic() > end:
                    raise RuntimeError(f"not ready: {self.log_of(number)[-2000:]}")
                await asyncio.sleep(0.05)
        self.record("ready", entries=len(self.hosts))

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in self.servers:
                if server.is_beating:
                    server.register()

    def peak_memory_mb(self, number):
        """Return the peak of the resident memory of an entry, in MB."""
        with open(f"/proc/{self.processes[number].pid}/status") as file:
            [kb] = [line.split()[1] for line in file if line.startswith("VmHWM")]
        return int(kb) * 1024 / 1e6

    async def readiness(self, number, timeout_s=1.0):
        """Return the status of the readiness check, None without an answer."""
        try:
            answer = await asyncio.wait_for(
                self._exchange(
                    self.hosts[number],
                    self.ports["readiness"],
                    render("GET /v1/ready HTTP/1.1", {"Host": "x"}),
                ),
                timeout_s,
            )
        except (OSError, TimeoutError):
            return None
        return answer.status if answer else None

    @staticmethod
    async def _exchange(host, port, data):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(data)
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.transport.abort()

    def next_id(self, prefix="r"):
        """Return a new request id."""
        return f"{prefix}-{next(self._ids)}"

    async def request(
        self,
        number,
        host,
        target,
        method="GET",
        body=b"",
        deadline_ms=4000,
        id=None,
        headers=None,
    ):
        """Send one client attempt on a new connection.

        Return its ``Message``, or None if the connection closed without an answer or
        the client gave up at its deadline.
        """
        id = id or self.next_id()
        self.record("sent", id=id, entry=number, method=method, target=target)
        began_at = time.monotonic()
        headers = {
            "Host": host,
            "Request-Id": id,
            "Deadline-Ms": deadline_ms,
            **(headers or {}),
        }
        try:
            answer = await asyncio.wait_for(
                self._exchange(
                    self.hosts[number],
                    self.ports["front"],
                    render(f"{method} {target} HTTP/1.1", headers, body),
                ),
                deadline_ms / 1000,
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            answer = None
        self.record(
            "answered" if answer else "unanswered",
            id=id,
            entry=number,
            status=answer.status if answer else "none",
            stamp=(answer.headers.get("server-stamp") if answer else None) or "none",
            ms=int((time.monotonic() - began_at) * 1000),
        )
        return answer

    async def stop(self):
        """End all tasks and processes."""
        for task in self._tasks:
            task.cancel()
        for number, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            else:
                self.record("ended", entry=number, status=process.returncode)
            process.wait()
        for number in self.processes:
            for line in self.log_of(number).splitlines():
                if "links_changed" in line or "quarantined" in line:
                    self._record_file.write(f"log of entry {number}: {line}\n")
        self._resources.close()


def main(folder, play, **options):
    """Play a case and exit with its status; ``play(case)`` returns ``HELD`` or so."""

    async def run():
        # So that the processes end too when a time limit ends the play.
        play_task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, play_task.cancel)
        case = Case(folder, **options)
        status = NOT_RUN
        try:
            await case.store.start()
            status = await play(case)
        except (Exception, asyncio.CancelledError) as exc:
            case.record("case_failed", error=repr(exc))
            print(f"the case could not run: {exc!r}", file=sys.stderr)
        finally:
            case.record("verdict", status=status)
            await case.stop()
        return status

    sys.exit(asyncio.run(run()))
