"""One run of the soak: a fleet, callers, faults, and the checks."""

import contextlib
import random
import time

import curio

from standins.entry_fleet import EntryFleet

from .checks import find_violations
from .faults import faults
from .history import FaultInterval, Record

__all__ = ["SoakSession"]

CALLERS = 6
DEADLINE_MS = 1200
CALLER_PAUSE_S = 0.03
FAULT_GAP_S = 0.6
CHECK_INTERVAL_S = 2.0
# Calm at the end, in s, after which every daemon must answer in full.
RECOVERY_S = 4.0
# Lines that tell of an error in a daemon itself.
ERROR_LINES = ("Traceback", "event=connection_failed", "event=http_handler_failed")


class SoakSession:
    """The fleet of one seed and what was seen of it."""

    def __init__(self, seed, seconds, folder, argv=None, only=None):
        self.seed = seed
        self.fault_names = only or faults.names()
        self.seconds = seconds
        self.fleet = EntryFleet(folder, argv=argv, links=True)
        self.records = {}
        self.fault_intervals = []
        self.drains = {}
        self.process_problems = []
        self.faulty_daemons = set()
        self.leaving_servers = set()
        # Keys of entries that lapsed and come back.
        self.lapsed_keys = set()
        self.configuration_version = 1
        self.violations = []
        self.is_running = True

    # Views for the checks

    @property
    def servers(self):
        """The servers by id."""
        return self.fleet.servers

    def finished_requests(self, kind=None):
        """Return the records of requests that have ended."""
        return [
            record
            for record in self.records.values()
            if record.ended is not None and kind in (None, record.kind)
        ]

    def service_of(self, id):
        """Return the service of a server, or None."""
        server = self.servers.get(id)
        return None if server is None else server.service

    def runs_by_request(self):
        """Return a dict from request id to the servers that began to run it."""
        found = {}
        for server in self.servers.values():
            for request_id, _, _ in server.runs:
                found.setdefault(request_id, []).append(server.id)
        return found

    def had_fault(self, component, target, start, end, kinds):
        """Return whether such a fault was active; None stands for any target."""
        return any(
            item.kind in kinds and item.overlaps(start, end)
            for item in self.fault_intervals
            if component is None or item.target == (component, target)
        )

    # Help for faults

    @contextlib.contextmanager
    def record_fault(self, component, target, kind):
        """Note that a fault is active."""
        item = FaultInterval(kind, (component, target), time.monotonic())
        self.fault_intervals.append(item)
        try:
            yield
        finally:
            item.end = time.monotonic()

    def reserve_daemon(self, rng):
        """Return a daemon without a fault, or None if one more must not have one."""
        free = [n for n in self.fleet.processes if n not in self.faulty_daemons]
        if len(free) < 2:
            return None
        number = rng.choice(free)
        self.faulty_daemons.add(number)
        return number

    def reserve_server(self, rng, service):
        """Return a server of a service that may go, or None."""
        left = [
            id
            for id, server in self.servers.items()
            if server.service == service and id not in self.leaving_servers
        ]
        if len(left) < 2:
            return None
        id = rng.choice(left)
        self.leaving_servers.add(id)
        return id

    async def deregister(self, id):
        """Remove a server's entry, which may have lapsed already."""
        key = f"servers/{id}"
        self.lapsed_keys.discard(key)
        if key in self.fleet.store.items:
            await self.fleet.store.remove(key)

    async def restart_daemon(self, number):
        """Start a daemon again and wait until it is ready, if the store allows."""
        self.fleet.start(number)
        with contextlib.suppress(AssertionError):
            await self.fleet.until_ready(number)
        self.faulty_daemons.discard(number)

    # The run

    async def run(self):
        """Play the run; returns the violations."""
        async with self.fleet:
            tasks = [
                await curio.spawn(self._caller, number) for number in range(CALLERS)
            ]
            checker = await curio.spawn(self._check_now_and_then)
            injected = await self._inject()
            for task in injected:
                await task.join()
            await curio.sleep(RECOVERY_S)
            self.is_running = False
            for task in tasks:
                await task.join()
            await checker.cancel()
            await self._check_recovery()
            self._check_processes()
            self.violations.extend(find_violations(self))
        return sorted(set(self.violations))

    async def _inject(self):
        rng = random.Random(f"{self.seed}/faults")
        tasks = []
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            fault = faults.get(rng.choice(self.fault_names))
            own = random.Random(rng.random())
            tasks.append(await curio.spawn(fault, self, own))
            await curio.sleep(rng.uniform(0.2, 1.8) * FAULT_GAP_S)
        return tasks

    async def _caller(self, number):
        rng = random.Random(f"{self.seed}/caller/{number}")
        count = 0
        while self.is_running:
            count += 1
            kind = "search" if rng.random() < 0.7 else "write"
            await self._call(f"{kind[0]}-{number}-{count}", kind, rng)
            await curio.sleep(rng.uniform(0.5, 1.5) * CALLER_PAUSE_S)

    async def _call(self, id, kind, rng):
        daemon = rng.choice(sorted(self.fleet.processes))
        record = Record(id, kind, daemon, time.monotonic(), DEADLINE_MS / 1000.0)
        self.records[id] = record
        try:
            if kind == "search":
                answer = await self.fleet.search(daemon, id, DEADLINE_MS)
            else:
                answer = await self.fleet.write(daemon, id, id.encode(), DEADLINE_MS)
            record.status, record.headers, record.body = answer
        except ConnectionRefusedError:
            record.error = "refused"
        except curio.TaskTimeout:
            record.error = "no answer"
        except OSError:
            record.error = "cut"
        record.ended = time.monotonic()

    async def _check_now_and_then(self):
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            self.violations.extend(find_violations(self))

    async def _check_recovery(self):
        for daemon in self.fleet.processes:
            for kind in ("search", "write"):
                id = f"end-{kind}-{daemon}"
                await self._call(id, kind, random.Random(daemon))
                record = self.records[id]
                if record.status != 200 or record.headers.get("missing-parts", "0") != (
                    "0"
                ):
                    self.violations.append(f"recovery: {record} {record.headers}")

    def _check_processes(self):
        for number, process in self.fleet.processes.items():
            if process.poll() is not None:
                self.process_problems.append(
                    f"daemon {number} ended: {process.returncode}"
                )
            log = self.fleet.log(number)
            self.process_problems.extend(
                f"daemon {number} wrote {line}" for line in ERROR_LINES if line in log
            )
