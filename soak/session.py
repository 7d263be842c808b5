"""One run of the soak test: a fleet, its callers, faults and checks."""

import contextlib
import random
import time

import curio

from almondtide.entry.codec import decode_snapshot
from almondtide.entry.gossip import SNAPSHOT_PATH, SNAPSHOT_QUERY_WITH_ENDS
from almondtide.errors import DocumentError
from almondtide.platform.documents import (
    EVACUATION_PREFIX,
    SERVER_PREFIX,
    decode_server,
)
from standins.entry_fleet import EntryFleet

from .checks import EVACUATE_S, find_violations
from .faults import default_fault_names, faults
from .history import FaultInterval, RequestRecord

__all__ = ["SoakSession"]

PARTITIONED_ENTRY = ["-m", "standins.partitioned_entry"]
CALLER_COUNT = 6
DEADLINE_MS = 1200
CALLER_PAUSE_S = 0.03
MEAN_FAULT_INTERVAL_S = 0.6
CHECK_INTERVAL_S = 2.0
# Time without faults at the end; after it every daemon must answer in full.
RECOVERY_TIME_S = 4.0
# Log texts that show an error in the daemon itself.
ERROR_TEXTS = ("Traceback", "event=connection_failed", "event=http_handler_failed")


class SoakSession:
    """Runs the fleet, callers and faults of one seed and records what they did.

    Faults and checks read and change its attributes. ``process_problems`` holds a
    text for each daemon that ended or logged in a way that it must not.
    """

    def __init__(self, seed, seconds, folder, argv=None, fault_names=None):
        self.seed = seed
        self.fault_names = fault_names or default_fault_names()
        self.seconds = seconds
        self.fleet = EntryFleet(
            folder,
            argv=argv or PARTITIONED_ENTRY,
            links=True,
            bounds={"evacuate_ms": EVACUATE_S * 1000},
        )
        self.records = {}
        self.fault_intervals = []
        self.rate_limits = []
        self.evacuations = []
        self.drain_times = {}
        self.process_problems = []
        self.faulty_daemons = set()
        self.leaving_servers = set()
        # Store keys of entries that a fault has removed and will write again.
        self.lapsed_keys = set()
        self.configuration_version = 1
        self.violations = []
        self.is_running = True

    # Read by the checks

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

    def domain_of(self, id):
        """Return the failure domain of a server."""
        return self.fleet.domain_of(id)

    def service_of(self, id):
        """Return the service of a server, or None for an unknown server."""
        server = self.servers.get(id)
        return None if server is None else server.service

    def runs_by_request(self):
        """Return a dict from request id to the ids of servers that began to run it."""
        found = {}
        for server in self.servers.values():
            for request_id, _, _ in server.runs:
                found.setdefault(request_id, []).append(server.id)
        return found

    def had_fault(self, component, target, start, end, kinds):
        """Return whether a fault of one of ``kinds`` was active in a time span.

        ``component`` None stands for any component and target.
        """
        return any(
            item.kind in kinds and item.overlaps(start, end)
            for item in self.fault_intervals
            if component is None or item.target == (component, target)
        )

    # Used by the faults

    @contextlib.contextmanager
    def record_fault(self, component, target, kind):
        """Record a fault that is active within the context."""
        item = FaultInterval(kind, (component, target), time.monotonic())
        self.fault_intervals.append(item)
        try:
            yield
        finally:
            item.end = time.monotonic()

    def reserve_daemon(self, rng):
        """Mark a random daemon as faulty and return its number.

        Returns None when that would leave no daemon without a fault.
        """
        available = [n for n in self.fleet.processes if n not in self.faulty_daemons]
        if len(available) < 2:
            return None
        number = rng.choice(available)
        self.faulty_daemons.add(number)
        return number

    def reserve_server(self, rng, service):
        """Mark a random server of a service as leaving and return its id.

        Returns None when the service would have no other server left.
        """
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
        """Remove a server's entry from the store, if it is still there."""
        key = f"servers/{id}"
        self.lapsed_keys.discard(key)
        self.fleet.registered_states.pop(id, None)
        if key in self.fleet.store.items:
            await self.fleet.store.remove(key)

    async def restart_daemon(self, number):
        """Start a daemon again and wait until it is ready.

        A daemon that does not become ready in time, such as without the store,
        counts as free of faults all the same.
        """
        self.fleet.start_daemon(number)
        with contextlib.suppress(AssertionError):
            await self.fleet.wait_until_ready(number)
        self.faulty_daemons.discard(number)

    # The run

    async def run(self):
        """Run the seed; returns the violations, sorted and each once."""
        async with self.fleet:
            tasks = [
                await curio.spawn(self._run_caller, number)
                for number in range(CALLER_COUNT)
            ]
            check_task = await curio.spawn(self._check_periodically)
            fault_tasks = await self._inject_faults()
            for task in fault_tasks:
                await task.join()
            await curio.sleep(RECOVERY_TIME_S)
            self.is_running = False
            for task in tasks:
                await task.join()
            await check_task.cancel()
            await self._check_recovery()
            await self._check_replicas()
            self._check_processes()
            self.violations.extend(find_violations(self))
        return sorted(set(self.violations))

    async def _inject_faults(self):
        rng = random.Random(f"{self.seed}/faults")
        tasks = []
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            fault = faults.get(rng.choice(self.fault_names))
            fault_rng = random.Random(rng.random())
            tasks.append(await curio.spawn(fault, self, fault_rng))
            await curio.sleep(rng.uniform(0.2, 1.8) * MEAN_FAULT_INTERVAL_S)
        return tasks

    async def _run_caller(self, number):
        rng = random.Random(f"{self.seed}/caller/{number}")
        count = 0
        while self.is_running:
            count += 1
            kind = "search" if rng.random() < 0.7 else "write"
            await self._send_request(f"{kind[0]}-{number}-{count}", kind, rng)
            await curio.sleep(rng.uniform(0.5, 1.5) * CALLER_PAUSE_S)

    async def _send_request(self, id, kind, rng):
        daemon = rng.choice(sorted(self.fleet.processes))
        record = RequestRecord(id, kind, daemon, time.monotonic(), DEADLINE_MS / 1000.0)
        self.records[id] = record
        try:
            if kind == "search":
                response = await self.fleet.search(daemon, id, DEADLINE_MS)
            else:
                response = await self.fleet.write(daemon, id, id.encode(), DEADLINE_MS)
            record.status, record.headers, record.body = response
        except ConnectionRefusedError:
            record.error = "refused"
        except curio.TaskTimeout:
            record.error = "no answer"
        except OSError:
            record.error = "cut"
        record.ended = time.monotonic()

    async def _check_periodically(self):
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            self.violations.extend(find_violations(self))

    async def _check_recovery(self):
        for daemon in self.fleet.processes:
            for kind in ("search", "write"):
                id = f"end-{kind}-{daemon}"
                await self._send_request(id, kind, random.Random(daemon))
                record = self.records[id]
                if record.status != 200 or record.headers.get("missing-parts", "0") != (
                    "0"
                ):
                    self.violations.append(f"recovery: {record} {record.headers}")

    async def _check_replicas(self):
        """Compare what each daemon knows of the servers with the store."""
        expected = {}
        for key in self.fleet.store.items:
            if key.startswith(SERVER_PREFIX):
                server = decode_server(key, self.fleet.read_value(key))
                expected[key] = server.address, server.leaving
        for daemon in self.fleet.processes:
            try:
                _, _, body = await self.fleet.get_from_daemon(
                    daemon, "control", f"{SNAPSHOT_PATH}?{SNAPSHOT_QUERY_WITH_ENDS}"
                )
                snapshot = decode_snapshot(body)
            except (OSError, curio.TaskTimeout, DocumentError) as exc:
                self.violations.append(f"replica: daemon {daemon}: {exc!r}")
                continue
            known = {
                key: (server.address, server.leaving)
                for key, _, server in snapshot.records
                if server is not None
            }
            self.violations.extend(
                f"replica: daemon {daemon}: {key}: {known.get(key)} in place of "
                f"{expected.get(key)}"
                for key in sorted(known.keys() | expected.keys())
                if known.get(key) != expected.get(key)
            )
            self._check_evacuations(daemon, snapshot.evacuations)

    def _check_evacuations(self, daemon, summary):
        """Compare what a daemon knows of evacuations with the store."""
        expected = {
            key[len(EVACUATION_PREFIX) :]
            for key in self.fleet.store.items
            if key.startswith(EVACUATION_PREFIX)
        }
        known = None
        if summary is not None:
            known = {item.domain for item in summary.notices if item.is_active}
        if known != expected:
            self.violations.append(
                f"replica: daemon {daemon}: evacuated {known} in place of {expected}"
            )

    def _check_processes(self):
        for number, process in self.fleet.processes.items():
            if process.poll() is not None:
                self.process_problems.append(
                    f"daemon {number} ended: {process.returncode}"
                )
            log = self.fleet.read_log(number)
            self.process_problems.extend(
                f"daemon {number} wrote {line}" for line in ERROR_TEXTS if line in log
            )
