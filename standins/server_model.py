"""Model of servers and callers, for replays of loads in virtual time.

Only what is around the tier is modelled: the dispatcher, its queues, budgets and
limits are the real ones. See ``virtual_time.py``.
"""

import math
import random

import curio

from almondtide.entry.calls import Call
from almondtide.entry.upstreams import Failure
from almondtide.model.http_messages import Reply, Request

__all__ = ["CallerModel", "CallerResult", "ModelPool", "ServerModel"]

# A caller that is refused honours a retry-after time up to this fraction of what is
# left until its deadline.
HONOURED_FRACTION = 1.0 / 3.0


class ServerModel:
    """One server: slots, a queue, a speed, pauses, and times when it turns work away.

    ``work_s`` is the mean service time, with a log-normal spread of ``spread``. With
    ``pause_every_s`` the server stands still for ``pause_s`` each time. Requests from
    ``away_from`` until ``away_until`` get a refusal with the time to the end of that
    span if ``states_pause``. ``arrivals`` holds the time of each request.
    """

    def __init__(
        self,
        clock,
        rng,
        slots=3,
        max_queue=18,
        work_s=0.02,
        spread=0.35,
        handshake_s=0.006,
        pause_s=0.0,
        pause_every_s=math.inf,
        away_from=math.inf,
        away_until=math.inf,
        states_pause=True,
    ):
        self._clock = clock
        self._rng = rng
        self._slots = curio.Semaphore(slots)
        self._waiting = 0
        self.max_queue = max_queue
        self.work_s = work_s
        self.spread = spread
        self.handshake_s = handshake_s
        self.pause_s = pause_s
        self.pause_every_s = pause_every_s
        self.away_from = away_from
        self.away_until = away_until
        self.states_pause = states_pause
        self.pause_offset_s = 0.0
        if math.isfinite(pause_every_s):
            self.pause_offset_s = rng.random() * pause_every_s
        self.arrivals = []

    async def serve(self):
        """Run one request; returns the ``Reply``, or a refusal as not run."""
        now = self._clock.monotonic()
        self.arrivals.append(now)
        if self.away_from <= now < self.away_until:
            reply = _refusal()
            if self.states_pause:
                reply.pause_s = self.away_until - now
            return reply
        if self._slots.locked() and self._waiting >= self.max_queue:
            return _refusal()
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            mu = math.log(self.work_s) - self.spread**2 / 2.0
            await self._work(self._rng.lognormvariate(mu, self.spread))
        finally:
            await self._slots.release()
        reply = Reply(200, [], b"")
        reply.server_stamp = b"s"
        return reply

    async def connect(self):
        """Open a connection, which holds a slot for the handshake."""
        async with self._slots:
            await self._work(self.handshake_s)

    async def _work(self, seconds):
        if math.isfinite(self.pause_every_s):
            now = self._clock.monotonic()
            phase = (now + self.pause_offset_s) % self.pause_every_s
            if phase < self.pause_s:
                await curio.sleep(self.pause_s - phase)
        await curio.sleep(seconds)


def _refusal():
    reply = Reply(503, [], b"")
    reply.is_not_run = True
    return reply


class ModelPool:
    """A connection pool whose servers are ``ServerModel`` objects by id."""

    def __init__(self, servers, delay_s=0.0007):
        self.servers = servers
        self.delay_s = delay_s
        self.opened_count = 0

    async def send(self, exchange):
        """Start an exchange; its task stands for the connection."""
        exchange.connection = await curio.spawn(self._run, exchange, daemon=True)

    async def connect(self, check):
        """Answer a reachability check at once."""
        await check.on_skipped()

    async def close(self, connection):
        """Cancel an exchange."""
        await connection.cancel(blocking=False)

    async def close_idle(self, upstream):
        """Close the idle connections of an upstream."""
        upstream.connection_count -= upstream.idle_connection_count
        upstream.idle_connection_count = 0

    async def _run(self, exchange):
        upstream = exchange.upstream
        server = self.servers[upstream.server.id]
        is_reusable = False
        if upstream.idle_connection_count:
            upstream.idle_connection_count -= 1
        else:
            upstream.connection_count += 1
            self.opened_count += 1
            await server.connect()
        try:
            if not exchange.is_wanted():
                is_reusable = True
                await exchange.on_skipped()
                return
            exchange.on_write()
            await curio.sleep(self.delay_s)
            reply = await server.serve()
            reply.request_id = exchange.request.id
            await curio.sleep(self.delay_s)
            is_reusable = True
            if reply is None:
                await exchange.on_failure(Failure.BROKEN, "lost", None)
            else:
                await exchange.on_reply(reply)
        finally:
            if is_reusable:
                upstream.idle_connection_count += 1
            else:
                upstream.connection_count -= 1


class CallerResult:
    """What one caller got: the final status, the latency and its attempts."""

    __slots__ = ("attempts", "covered", "latency_s", "refused_s", "status")

    def __init__(self):
        self.status = None
        self.latency_s = 0.0
        self.attempts = 0
        # Share of the parts that are in the answer.
        self.covered = 0.0
        # How long the first refusal took, or None.
        self.refused_s = None

    def is_in_time(self, objective_s):
        """Return whether it was a success within the objective."""
        return self.status == 200 and self.latency_s <= objective_s


class CallerModel:
    """Sends requests at a rate and tries again as callers of the platform do."""

    def __init__(self, dispatcher, configuration, clock, seed, retries=1):
        self._dispatcher = dispatcher
        self._configuration = configuration
        self._clock = clock
        self._rng = random.Random(f"{seed}/callers")
        self._sequence = 0
        self.retries = retries
        self.results = []

    async def run(self, route, per_s, seconds, deadline_s):
        """Send requests on a route; returns when all have ended."""
        tasks = []
        end = self._clock.monotonic() + seconds
        while self._clock.monotonic() < end:
            tasks.append(await curio.spawn(self._send, route, deadline_s))
            await curio.sleep(self._rng.expovariate(per_s))
        for task in tasks:
            await task.join()

    async def _send(self, route, deadline_s):
        result = CallerResult()
        self.results.append(result)
        started_at = self._clock.monotonic()
        while result.attempts <= self.retries:
            left_s = started_at + deadline_s - self._clock.monotonic()
            if left_s <= 0.01:
                break
            answer, call = await self._attempt(route, left_s)
            result.attempts += 1
            result.status = answer.status
            result.covered = call.answered_count / len(call.branches)
            result.latency_s = self._clock.monotonic() - started_at
            if answer.status == 200:
                break
            if result.refused_s is None:
                result.refused_s = result.latency_s
            await curio.sleep(self._pause_s(answer, left_s))

    async def _attempt(self, route, left_s):
        self._sequence += 1
        id = f"q-{self._sequence}"
        request = Request("GET", "/p/x", "h", id, left_s, [(b"host", b"h")], b"")
        services = route.shards or (route.weighted_services[0][0],)
        call = Call(
            request, route, services, self._configuration, self._clock.monotonic()
        )
        return await self._dispatcher.run(call), call

    def _pause_s(self, answer, left_s):
        for name, value in answer.headers:
            if name == b"retry-after":
                return min(float(value), left_s * HONOURED_FRACTION)
        return 0.02
