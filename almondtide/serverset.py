"""The servers of one service: membership, connections, and the choice among them."""

import curio

from .errors import ResultCode
from .servers import Server, Worker

__all__ = ["ServerSet"]

# How long a service that was just started waits for what its servers hold, in s, and
# how often it looks.
FIRST_STATEMENT_S = 0.2
FIRST_STATEMENT_POLL_S = 0.01


class ServerSet:
    """The servers that the instance list names for one service.

    ``owner`` is the ``ServiceOwner`` that the connections report to; its clock and
    settings are used.
    """

    __slots__ = ("_by_name", "_clock", "_idle", "_owner", "_upstreams")

    def __init__(self, owner, upstreams):
        self._owner = owner
        self._clock = owner.clock
        self._upstreams = upstreams
        self._by_name = {}
        # Connected workers without an attempt.
        self._idle = []

    def __iter__(self):
        return iter(list(self._by_name.values()))

    # Membership

    async def update(self, members, share, is_owner):
        """Take the listed members; each gets ``share`` connections.

        ``members`` is a list of members with ``instance``, ``address``,
        ``domain`` and ``leaving``.
        """
        listed = {member.instance: member for member in members}
        for name in [name for name in self._by_name if name not in listed]:
            await self._by_name.pop(name).stop()
        for name, member in listed.items():
            server = self._by_name.get(name)
            if server is not None and server.address != member.address:
                await self._by_name.pop(name).stop()
                server = None
            if server is None:
                server = Server(name, member.address, member.domain)
                self._by_name[name] = server
            server.listed_leaving = member.is_leaving
            await self._resize(server, share, is_owner)

    async def _resize(self, server, share, is_owner):
        await server.start_control(self._upstreams, self._owner)
        server.set_share(share, is_owner)
        active = [worker for worker in server.workers if not worker.retired]
        for worker in active[share:]:
            await worker.retire()
        for _ in range(share - len(active)):
            worker = Worker(server, self._upstreams)
            server.workers.add(worker)
            await worker.start(self._owner)

    async def stop(self):
        """Close all connections."""
        for server in self._by_name.values():
            await server.stop()
        self._by_name.clear()

    def live(self):
        """Return the reachable servers that are not leaving."""
        now = self._clock.monotonic()
        return [
            server
            for server in self._by_name.values()
            if server.reachable and not server.is_draining(now)
        ]

    # Connections

    @property
    def has_idle(self):
        """Whether a connection waits for an attempt."""
        return bool(self._idle)

    def add_idle(self, worker):
        """Take a connected worker that can run an attempt."""
        self._idle.append(worker)

    def remove_idle(self, worker):
        """Forget a worker that runs an attempt or has ended."""
        if worker in self._idle:
            self._idle.remove(worker)

    # Choice

    def pick(self, item):
        """Return the idle worker on the least loaded suitable server, or None."""
        now = self._clock.monotonic()
        best = None
        for worker in self._idle:
            if not self._suits(worker, item, now):
                continue
            if best is None or len(worker.server.in_flight) < len(
                best.server.in_flight
            ):
                best = worker
        return best

    def _suits(self, worker, item, now):
        server = worker.server
        sub = item.sub
        if worker.retired or server.instance in item.tried:
            return False
        if self._by_name.get(server.instance) is not server:
            return False
        if not server.accepts_work(now) or not server.has_free_slot():
            return False
        if sub.idempotent and not server.serves(sub.version, sub.epoch):
            return False
        return not (sub.suspect and server.runs_suspect())

    def unservable_code(self, item):
        """Return why no server can take ``item`` now or later, or None."""
        sub = item.sub
        candidates = self.untried(item)
        if not candidates:
            return ResultCode.NO_SERVER
        if not sub.idempotent:
            return None
        if any(server.serves(sub.version, sub.epoch) for server in candidates):
            return None
        return ResultCode.SNAPSHOT_UNAVAILABLE

    def untried(self, item):
        """Return the live servers that have not run an item."""
        return [server for server in self.live() if server.instance not in item.tried]

    # Load and statements

    def usable_slots(self):
        """Return the number of slots that take new work."""
        return sum(
            min(len(server.workers), server.usable_slots()) for server in self.live()
        )

    def running(self):
        """Return the number of attempts on all servers."""
        return sum(len(server.in_flight) for server in self._by_name.values())

    def served(self):
        """Return (versions, epochs) that the live servers hold in common.

        Servers that have not stated theirs are left out. Where the live servers
        have nothing in common, everything that any of them holds is returned.
        """
        live = self.live()
        return (
            _common([server.versions for server in live]),
            _common([server.epochs for server in live]),
        )

    async def wait_served(self):
        """Return ``served()``, after the first statement of a server if need be.

        A service that was just started has not heard from its servers yet; the
        wait is bounded by ``FIRST_STATEMENT_S``.
        """
        steps = int(FIRST_STATEMENT_S / FIRST_STATEMENT_POLL_S)
        for _ in range(steps):
            versions, epochs = self.served()
            if versions and epochs:
                break
            await curio.sleep(FIRST_STATEMENT_POLL_S)
        return self.served()

    def describe(self):
        """Return the state of the servers for the admin API."""
        now = self._clock.monotonic()
        return {
            "idle_connections": len(self._idle),
            "servers": [
                {
                    "instance": server.instance,
                    "reachable": server.reachable,
                    "draining": server.is_draining(now),
                    "in_flight": len(server.in_flight),
                    "connections": len(server.workers),
                    "versions": sorted(server.versions or ()),
                    "epochs": sorted(server.epochs or ()),
                }
                for server in self._by_name.values()
            ],
        }


def _common(sets):
    known = [values for values in sets if values is not None]
    if not known:
        return []
    shared = set.intersection(*known)
    return sorted(shared or set.union(*known))
