"""Upstream servers of one service as their owner sees them."""

import collections

import curio

from .errors import AlmondtideError, ResultCode, UpstreamError

__all__ = ["Server", "Worker"]

CONNECT_TIMEOUT_S = 1.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 2.0
STATUS_INTERVAL_S = 1.0
# A server that stated that it drains gets no new work for this long, because
# its status endpoint may still report the state from before.
DRAINING_MEMORY_S = 10.0
# Extra time for the response of an exchange whose deadline has passed, in s.
EXCHANGE_GRACE_S = 1.0


class Worker:
    """One connection to a server, served by one task.

    The task connects, waits for an attempt, runs it and hands the outcome to the
    owner. The server's slot is in use until the exchange has ended, also when
    the attempt was cancelled.
    """

    __slots__ = ("_upstreams", "attempt", "conn", "retired", "server", "task", "wake")

    def __init__(self, server, upstreams):
        self.server = server
        self._upstreams = upstreams
        self.conn = None
        self.attempt = None
        self.retired = False
        self.wake = curio.Event()
        self.task = None

    async def start(self, owner):
        """Start the task of the connection."""
        self.task = await curio.spawn(self._run, owner, daemon=True)

    async def retire(self):
        """End the task once its running exchange is over."""
        self.retired = True
        await self.wake.set()

    async def _run(self, owner):
        try:
            while not self.retired:
                if not await self._ensure_connected(owner):
                    continue
                await owner.worker_idle(self)
                await self.wake.wait()
                self.wake.clear()
                if self.attempt is not None:
                    await self._run_attempt(owner)
        finally:
            await self._disconnect()
            self.server.workers.discard(self)
            owner.worker_gone(self)

    async def _ensure_connected(self, owner):
        if self.conn is not None and self.conn.usable:
            return True
        if await self._connect(owner):
            return True
        async with curio.ignore_after(self.server.next_backoff()):
            await self.wake.wait()
        return False

    async def _connect(self, owner):
        """Open a new connection; returns whether it succeeded."""
        await self._disconnect()
        server = self.server
        try:
            self.conn = await self._upstreams.connect(server.address, CONNECT_TIMEOUT_S)
        except UpstreamError:
            await owner.server_unreachable(server)
            return False
        await owner.server_reachable(server)
        return True

    async def _disconnect(self):
        if self.conn is not None:
            await self.conn.close()
            self.conn = None

    async def _run_attempt(self, owner):
        attempt, self.attempt = self.attempt, None
        server = self.server
        if attempt.item.done:
            server.in_flight.discard(attempt)
            await owner.attempt_skipped(attempt)
            return
        try:
            reply = await self._exchange(owner, attempt)
        except curio.CancelledError:
            raise
        except Exception as exc:
            if not isinstance(exc, AlmondtideError):
                # The slot must not be lost with the task.
                exc = UpstreamError(f"unexpected failure: {exc!r}")
            await self._disconnect()
            server.in_flight.discard(attempt)
            await owner.attempt_failed(attempt, exc)
        else:
            server.in_flight.discard(attempt)
            server.observe(reply, owner.clock.monotonic())
            await owner.attempt_answered(attempt, reply)
            if reply.code == ResultCode.UPSTREAM_SHED:
                # Another daemon uses the slot; asking again at once only adds load.
                await curio.sleep(owner.shed_pause_s())

    async def _exchange(self, owner, attempt):
        # The server may have closed the connection while it was idle, for example
        # because it was restarted.
        if self.conn.is_stale() and not await self._connect(owner):
            raise UpstreamError(
                f"{self.server.instance} cannot be reached",
                ResultCode.UPSTREAM_UNREACHABLE,
                not_run=True,
            )
        sub = attempt.item.sub
        remaining_s = sub.deadline - owner.clock.monotonic()
        try:
            async with curio.timeout_after(max(0.0, remaining_s) + EXCHANGE_GRACE_S):
                if sub.idempotent:
                    return await self.conn.search(attempt.request_id, remaining_s, sub)
                return await self.conn.revise(
                    remaining_s, sub, owner.dispatch_check(attempt)
                )
        except curio.TaskTimeout as exc:
            raise UpstreamError(
                f"no response of {self.server.instance}",
                ResultCode.UPSTREAM_TIMEOUT,
            ) from exc


class Server:
    """State of one server and its connections.

    ``listed_leaving`` repeats the platform's list. ``versions`` and ``epochs``
    are sets, or None while unknown.
    """

    __slots__ = (
        "_adaptive",
        "_asked",
        "_backoff_s",
        "_cancels",
        "_control_task",
        "_control_wake",
        "_draining_until",
        "_limit",
        "_share",
        "address",
        "domain",
        "epochs",
        "in_flight",
        "instance",
        "listed_leaving",
        "reachable",
        "versions",
        "workers",
    )

    def __init__(self, instance, address, domain):
        self.instance = instance
        self.address = address
        self.domain = domain
        self.listed_leaving = False
        self.reachable = True
        self.versions = None
        self.epochs = None
        self.workers = set()
        self.in_flight = set()
        self._draining_until = 0.0
        # Whether the first status was read, or could not be read.
        self._asked = False
        self._share = 1
        self._limit = 1.0
        self._adaptive = True
        self._backoff_s = BACKOFF_MIN_S
        self._cancels = collections.deque()
        self._control_wake = curio.Event()
        self._control_task = None

    def set_share(self, slots, is_owner):
        """Set the slots that this daemon may use.

        The owner uses all. A daemon that is asked although it is not the owner
        starts with one and adapts, because it cannot tell whether the owner is
        gone or only unreachable for some: see ``adapt``.
        """
        self._share = slots
        self._adaptive = not is_owner
        if is_owner:
            self._limit = float(slots)
        else:
            self._limit = min(self._limit, 1.0)

    def adapt(self, shed):
        """Change the slots in use of a daemon that is not the owner.

        As in congestion control, each round of requests without a shed adds one
        slot, and a shed halves them. Where the owner is gone, all slots are in use
        after a few requests.
        """
        if not self._adaptive:
            return
        if shed:
            self._limit = max(1.0, self._limit / 2)
        else:
            self._limit = min(self._share, self._limit + 1.0 / self._limit)

    def usable_slots(self):
        """Return how many requests this daemon may run on the server."""
        return int(self._limit)

    def has_free_slot(self):
        """Return whether another request may run on the server."""
        return len(self.in_flight) < self.usable_slots()

    def is_draining(self, now):
        """Return whether the server must get no new work."""
        return self.listed_leaving or now < self._draining_until

    def accepts_work(self, now):
        """Return whether the server may get new work now.

        A new owner waits for the first status: the server may have stated to the
        owner before it that it is leaving, and the list may lag.
        """
        return self._asked and not self.is_draining(now)

    async def ask_again(self):
        """Read the status before the next work, because the last may be outdated."""
        self._asked = False
        await self._control_wake.set()

    def serves(self, version, epoch):
        """Return whether the server may hold the snapshot, as far as known."""
        if self.versions is not None and version not in self.versions:
            return False
        return self.epochs is None or epoch in self.epochs

    def observe(self, reply, now):
        """Take over what a response states about the server."""
        if reply.is_draining:
            self._draining_until = now + DRAINING_MEMORY_S
        if reply.versions is not None:
            self.versions = set(reply.versions)
        if reply.epochs is not None:
            self.epochs = set(reply.epochs)

    def _statement(self, now):
        return self.accepts_work(now), self.versions, self.epochs

    def next_backoff(self):
        """Return the pause before the next connect in seconds."""
        delay = self._backoff_s
        self._backoff_s = min(BACKOFF_MAX_S, self._backoff_s * 2)
        return delay

    def connected(self):
        """Reset the backoff after a successful connect."""
        self.reachable = True
        self._backoff_s = BACKOFF_MIN_S

    def runs_suspect(self):
        """Return whether a suspect request runs on the server."""
        return any(attempt.item.sub.suspect for attempt in self.in_flight)

    async def start_control(self, upstreams, owner):
        """Start the task that cancels exchanges and polls the status."""
        if self._control_task is None:
            self._control_task = await curio.spawn(
                self._control, upstreams, owner, daemon=True
            )

    async def cancel(self, request_id):
        """Cancel an exchange; the control connection sends it."""
        self._cancels.append(request_id)
        await self._control_wake.set()

    async def _control(self, upstreams, owner):
        conn = None
        try:
            while True:
                conn = await self._control_round(conn, upstreams, owner)
                async with curio.ignore_after(STATUS_INTERVAL_S):
                    await self._control_wake.wait()
                self._control_wake.clear()
        finally:
            if conn is not None:
                await conn.close()

    async def _control_round(self, conn, upstreams, owner):
        """Send the waiting cancellations or poll the status; returns the connection."""
        try:
            if conn is None or not conn.usable or conn.is_stale():
                if conn is not None:
                    await conn.close()
                conn = None
                conn = await upstreams.connect(self.address, CONNECT_TIMEOUT_S)
            if self._cancels:
                while self._cancels:
                    async with curio.timeout_after(CONNECT_TIMEOUT_S):
                        await conn.cancel(self._cancels.popleft())
            else:
                before = self._statement(owner.clock.monotonic())
                self.observe(await conn.status(), owner.clock.monotonic())
                self._asked = True
                if self._statement(owner.clock.monotonic()) != before:
                    await owner.server_changed(self)
        except (UpstreamError, curio.TaskTimeout):
            # What a silent server stated last may be outdated, and one outdated
            # statement could leave the service without a common version.
            self.versions = None
            self.epochs = None
            self._cancels.clear()
            if conn is not None:
                await conn.close()
            conn = None
            if not self._asked:
                self._asked = True
                await owner.server_changed(self)
        return conn

    async def stop(self):
        """Retire all workers and end the control task."""
        for worker in list(self.workers):
            await worker.retire()
        if self._control_task is not None:
            await self._control_task.cancel(blocking=False)
            self._control_task = None
