"""Set of the servers of one service: members, idle connections and selection."""

import curio

from .errors import ResultCode
from .servers import Server, Worker

__all__ = ["ServerSet"]

# How long a service that was just started waits for the first status of a server,
# and the interval between two checks, in s.
FIRST_STATUS_WAIT_S = 0.2
FIRST_STATUS_POLL_S = 0.01


class ServerSet:
    """The servers of one service, as given by the instance list.

    ``owner`` is the ``ServiceOwner`` that the workers report to; its clock is used.
    """

    __slots__ = ("_clock", "_idle", "_owner", "_servers", "_upstreams")

    def __init__(self, owner, upstreams):
        self._owner = owner
        self._clock = owner.clock
        self._upstreams = upstreams
        self._servers = {}
        # Connected workers without an attempt.
        self._idle = []

    def __iter__(self):
        return iter(list(self._servers.values()))

    # Membership

    async def update(self, members, slots, is_owner):
        """Set the listed members; each gets ``slots`` connections.

        ``members`` is a list of members with ``instance``, ``address``,
        ``domain`` and ``is_leaving``.
        """
        listed = {member.instance: member for member in members}
        for name in [name for name in self._servers if name not in listed]:
            await self._servers.pop(name).stop()
        for name, member in listed.items():
            server = self._servers.get(name)
            if server is not None and server.address != member.address:
                await self._servers.pop(name).stop()
                server = None
            if server is None:
                server = Server(name, member.address, member.domain)
                self._servers[name] = server
            server.is_listed_leaving = member.is_leaving
            await self._resize_pool(server, slots, is_owner)

    async def _resize_pool(self, server, slots, is_owner):
        await server.start_control(self._upstreams, self._owner)
        server.set_slots(slots, is_owner)
        active = [worker for worker in server.workers if not worker.is_retired]
        for worker in active[slots:]:
            await worker.retire()
        for _ in range(slots - len(active)):
            worker = Worker(server, self._upstreams)
            server.workers.add(worker)
            await worker.start(self._owner)

    async def stop(self):
        """Close all connections."""
        for server in self._servers.values():
            await server.stop()
        self._servers.clear()

    def live_servers(self):
        """Return the reachable servers that are not leaving."""
        now = self._clock.monotonic()
        return [
            server
            for server in self._servers.values()
            if server.is_reachable and not server.is_draining(now)
        ]

    # Connections

    @property
    def has_idle(self):
        """Whether a worker waits for an attempt."""
        return bool(self._idle)

    def add_idle(self, worker):
        """Add a connected worker that can run an attempt."""
        self._idle.append(worker)

    def remove_idle(self, worker):
        """Remove a worker that runs an attempt or has ended."""
        if worker in self._idle:
            self._idle.remove(worker)

    # Selection

    def pick_worker(self, item):
        """Return the idle worker on the least loaded suitable server, or None."""
        now = self._clock.monotonic()
        best_worker = None
        for worker in self._idle:
            if not self._is_suitable(worker, item, now):
                continue
            if best_worker is None or len(worker.server.in_flight) < len(
                best_worker.server.in_flight
            ):
                best_worker = worker
        return best_worker

    def _is_suitable(self, worker, item, now):
        server = worker.server
        sub = item.sub
        if worker.is_retired or server.instance in item.tried_servers:
            return False
        if self._servers.get(server.instance) is not server:
            return False
        if not server.accepts_work(now) or not server.has_free_slot():
            return False
        if sub.is_idempotent and not server.may_hold(sub.version, sub.epoch):
            return False
        return not (sub.is_suspect and server.runs_suspect())

    def unservable_code(self, item):
        """Return the code why no server can ever run ``item``, or None."""
        sub = item.sub
        candidates = self.untried_servers(item)
        if not candidates:
            return ResultCode.NO_SERVER
        if not sub.is_idempotent:
            return None
        if any(server.may_hold(sub.version, sub.epoch) for server in candidates):
            return None
        return ResultCode.SNAPSHOT_UNAVAILABLE

    def untried_servers(self, item):
        """Return the live servers to which ``item`` was not sent yet."""
        return [
            server
            for server in self.live_servers()
            if server.instance not in item.tried_servers
        ]

    # Load and snapshots

    def usable_slots(self):
        """Return the number of slots that may be in use on the live servers."""
        return sum(
            min(len(server.workers), server.usable_slots())
            for server in self.live_servers()
        )

    def running_attempt_count(self):
        """Return the number of attempts on all servers."""
        return sum(len(server.in_flight) for server in self._servers.values())

    def running_ages_s(self, now):
        """Return for how long each attempt has been running, sorted, in seconds."""
        return sorted(
            now - attempt.started_at
            for server in self._servers.values()
            for attempt in server.in_flight
        )

    def common_snapshots(self):
        """Return (versions, epochs) that all live servers hold.

        Servers that have not reported theirs are left out. If the live servers have
        none in common, those that any of them holds are returned.
        """
        live_servers = self.live_servers()
        return (
            _in_common([server.versions for server in live_servers]),
            _in_common([server.epochs for server in live_servers]),
        )

    async def wait_common_snapshots(self):
        """Return ``common_snapshots()`` after the first status of a server.

        A service that was just started has no status of its servers yet. Waits for
        at most ``FIRST_STATUS_WAIT_S``.
        """
        steps = int(FIRST_STATUS_WAIT_S / FIRST_STATUS_POLL_S)
        for _ in range(steps):
            versions, epochs = self.common_snapshots()
            if versions and epochs:
                break
            await curio.sleep(FIRST_STATUS_POLL_S)
        return self.common_snapshots()

    def describe(self):
        """Return the state of the servers for the admin API."""
        now = self._clock.monotonic()
        return {
            "idle_connections": len(self._idle),
            "servers": [
                {
                    "instance": server.instance,
                    "reachable": server.is_reachable,
                    "draining": server.is_draining(now),
                    "in_flight": len(server.in_flight),
                    "connections": len(server.workers),
                    "versions": sorted(server.versions or ()),
                    "epochs": sorted(server.epochs or ()),
                }
                for server in self._servers.values()
            ],
        }


def _in_common(sets):
    known = [values for values in sets if values is not None]
    if not known:
        return []
    common = set.intersection(*known)
    return sorted(common or set.union(*known))
