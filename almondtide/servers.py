"""Connections and state of the upstream servers of one service."""

import collections

import curio

from .errors import AlmondtideError, ResultCode, UpstreamError

__all__ = ["Server", "Worker"]

CONNECT_TIMEOUT_S = 1.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 2.0
STATUS_INTERVAL_S = 1.0
# A server that reported that it drains gets no new work for this long, because a
# later status may still show the earlier state.
DRAINING_HOLD_S = 10.0
# An exchange is given up this long after its deadline.
EXCHANGE_MARGIN_S = 1.0


class Worker:
    """Runs attempts on one connection to a server, in a task of its own.

    The task connects, waits for an attempt, runs it and passes the outcome to the
    owner. The slot of the server stays in use until the exchange has ended, also
    when the attempt was cancelled.
    """

    __slots__ = (
        "_upstreams",
        "attempt",
        "conn",
        "is_retired",
        "server",
        "task",
        "wake",
    )

    def __init__(self, server, upstreams):
        self.server = server
        self._upstreams = upstreams
        self.conn = None
        self.attempt = None
        self.is_retired = False
        self.wake = curio.Event()
        self.task = None

    async def start(self, owner):
        """Start the task of the connection."""
        self.task = await curio.spawn(self._run, owner, daemon=True)

    async def retire(self):
        """Stop the task after its current exchange."""
        self.is_retired = True
        await self.wake.set()

    async def _run(self, owner):
        try:
            while not self.is_retired:
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
        if self.conn is not None and self.conn.is_usable:
            return True
        if await self._connect(owner):
            return True
        async with curio.ignore_after(self.server.next_backoff_s()):
            await self.wake.wait()
        return False

    async def _connect(self, owner):
        """Open a new connection; return whether it succeeded."""
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
                # An exception that ended the task would leave the slot in use.
                exc = UpstreamError(f"unexpected failure: {exc!r}")
            await self._disconnect()
            server.in_flight.discard(attempt)
            await owner.attempt_failed(attempt, exc)
        else:
            server.in_flight.discard(attempt)
            server.update_from_reply(reply, owner.clock.monotonic())
            await owner.attempt_answered(attempt, reply)
            if reply.code == ResultCode.UPSTREAM_SHED:
                # Another daemon uses the slot; an immediate retry only adds load.
                await curio.sleep(owner.shed_delay_s())

    async def _exchange(self, owner, attempt):
        sub = attempt.item.sub
        # The server may have closed the idle connection, for example on a restart.
        needs_new = self.conn.is_stale() or not (
            sub.is_idempotent or self.conn.may_revise(sub.execution_id)
        )
        if needs_new and not await self._connect(owner):
            raise UpstreamError(
                f"{self.server.instance} cannot be reached",
                ResultCode.UPSTREAM_UNREACHABLE,
                not_run=True,
            )
        remaining_s = sub.deadline - owner.clock.monotonic()
        try:
            async with curio.timeout_after(max(0.0, remaining_s) + EXCHANGE_MARGIN_S):
                if sub.is_idempotent:
                    return await self.conn.search(attempt.request_id, remaining_s, sub)
                return await self.conn.revise(
                    remaining_s, sub, owner.make_write_check(attempt)
                )
        except curio.TaskTimeout as exc:
            raise UpstreamError(
                f"no response from {self.server.instance}",
                ResultCode.UPSTREAM_TIMEOUT,
            ) from exc


class Server:
    """State of one server and its connections.

    ``is_listed_leaving`` is the state in the platform's instance list. ``versions``
    and ``epochs`` are the sets that the server reported, or None while unknown.
    """

    __slots__ = (
        "_backoff_s",
        "_cancelled_ids",
        "_control_task",
        "_control_wake",
        "_draining_until",
        "_has_status",
        "_is_adaptive",
        "_max_slots",
        "_slot_limit",
        "address",
        "domain",
        "epochs",
        "in_flight",
        "instance",
        "is_listed_leaving",
        "is_reachable",
        "versions",
        "workers",
    )

    def __init__(self, instance, address, domain):
        self.instance = instance
        self.address = address
        self.domain = domain
        self.is_listed_leaving = False
        self.is_reachable = True
        self.versions = None
        self.epochs = None
        self.workers = set()
        self.in_flight = set()
        self._draining_until = 0.0
        # Whether a status request has been answered or has failed.
        self._has_status = False
        self._max_slots = 1
        self._slot_limit = 1.0
        self._is_adaptive = True
        self._backoff_s = BACKOFF_MIN_S
        self._cancelled_ids = collections.deque()
        self._control_wake = curio.Event()
        self._control_task = None

    def set_slots(self, slots, is_owner):
        """Set the slots that this daemon may use.

        The owner uses all of them. A standby that gets sub-requests cannot tell
        whether the owner is gone or only unreachable for some coordinators, so it
        starts with one slot and adapts: see ``adapt_slots``.
        """
        self._max_slots = slots
        self._is_adaptive = not is_owner
        if is_owner:
            self._slot_limit = float(slots)
        else:
            self._slot_limit = min(self._slot_limit, 1.0)

    def adapt_slots(self, was_shed):
        """Adapt the number of usable slots of a daemon that is not the owner.

        Uses additive increase and multiplicative decrease, as in congestion control:
        each round of requests without a shed adds one slot, and a shed halves them.
        If the owner is gone, all slots are usable after a few requests.
        """
        if not self._is_adaptive:
            return
        if was_shed:
            self._slot_limit = max(1.0, self._slot_limit / 2)
        else:
            self._slot_limit = min(
                self._max_slots, self._slot_limit + 1.0 / self._slot_limit
            )

    def usable_slots(self):
        """Return how many requests this daemon may run on the server at once."""
        return int(self._slot_limit)

    def has_free_slot(self):
        """Return whether another request may run on the server."""
        return len(self.in_flight) < self.usable_slots()

    def is_draining(self, now):
        """Return whether the server is leaving or draining."""
        return self.is_listed_leaving or now < self._draining_until

    def accepts_work(self, now):
        """Return whether the server may get new work now.

        A new owner waits for the first status: the server may have told the previous
        owner that it is leaving, and the instance list may lag behind.
        """
        return self._has_status and not self.is_draining(now)

    async def request_status(self):
        """Request the status; until it is read the server gets no new work."""
        self._has_status = False
        await self._control_wake.set()

    def may_hold(self, version, epoch):
        """Return False if the server is known not to hold the snapshot."""
        if self.versions is not None and version not in self.versions:
            return False
        return self.epochs is None or epoch in self.epochs

    def update_from_reply(self, reply, now):
        """Update the state from a response of the server."""
        if reply.is_draining:
            self._draining_until = now + DRAINING_HOLD_S
        if reply.versions is not None:
            self.versions = set(reply.versions)
        if reply.epochs is not None:
            self.epochs = set(reply.epochs)

    def _status_key(self, now):
        return self.accepts_work(now), self.versions, self.epochs

    def next_backoff_s(self):
        """Return the delay before the next connect in seconds, then double it."""
        delay_s = self._backoff_s
        self._backoff_s = min(BACKOFF_MAX_S, self._backoff_s * 2)
        return delay_s

    def mark_connected(self):
        """Mark the server reachable and reset the backoff."""
        self.is_reachable = True
        self._backoff_s = BACKOFF_MIN_S

    def runs_suspect(self):
        """Return whether a suspect request runs on the server."""
        return any(attempt.item.sub.is_suspect for attempt in self.in_flight)

    async def start_control(self, upstreams, owner):
        """Start the task that cancels exchanges and polls the status."""
        if self._control_task is None:
            self._control_task = await curio.spawn(
                self._run_control, upstreams, owner, daemon=True
            )

    async def cancel(self, request_id):
        """Send the cancellation of an exchange on the control connection."""
        self._cancelled_ids.append(request_id)
        await self._control_wake.set()

    async def _run_control(self, upstreams, owner):
        conn = None
        try:
            while True:
                conn = await self._run_control_round(conn, upstreams, owner)
                async with curio.ignore_after(STATUS_INTERVAL_S):
                    await self._control_wake.wait()
                self._control_wake.clear()
        finally:
            if conn is not None:
                await conn.close()

    async def _run_control_round(self, conn, upstreams, owner):
        """Send pending cancellations or poll the status; return the connection."""
        try:
            if conn is None or not conn.is_usable or conn.is_stale():
                if conn is not None:
                    await conn.close()
                conn = None
                conn = await upstreams.connect(self.address, CONNECT_TIMEOUT_S)
            if self._cancelled_ids:
                while self._cancelled_ids:
                    async with curio.timeout_after(CONNECT_TIMEOUT_S):
                        await conn.cancel(self._cancelled_ids.popleft())
            else:
                previous = self._status_key(owner.clock.monotonic())
                self.update_from_reply(await conn.status(), owner.clock.monotonic())
                self._has_status = True
                if self._status_key(owner.clock.monotonic()) != previous:
                    await owner.server_changed(self)
        except (UpstreamError, curio.TaskTimeout):
            # The last status of an unreachable server may be outdated, and one
            # outdated status could leave the service without a common version.
            self.versions = None
            self.epochs = None
            self._cancelled_ids.clear()
            if conn is not None:
                await conn.close()
            conn = None
            if not self._has_status:
                self._has_status = True
                await owner.server_changed(self)
        return conn

    async def stop(self):
        """Retire all workers and end the control task."""
        for worker in list(self.workers):
            await worker.retire()
        if self._control_task is not None:
            await self._control_task.cancel(blocking=False)
            self._control_task = None
