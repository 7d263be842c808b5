"""Model of servers and callers, for replays of loads in virtual time.

Only what is around the tier is modelled: the dispatcher, its queues, budgets and
limits are the real ones. See ``virtual_time.py``.
"""

import math
import random

import curio

from almondtide.entry.calls import Call
from almondtide.entry.upstreams import Failure
from almondtide.model.http_messages import Reply, ReportedLoad, Request

__all__ = [
    "DEFAULT_DELAYS_S",
    "FAULT_KINDS",
    "CallerModel",
    "CallerResult",
    "ModelPool",
    "ServerFault",
    "ServerModel",
]

# A caller that is refused honours a retry-after time up to this fraction of what is
# left until its deadline.
HONOURED_FRACTION = 1.0 / 3.0
# Pause of a caller that is refused without a time to come back, in s.
DEFAULT_CALLER_PAUSE_S = 0.02
# Longer than any deadline.
SILENCE_S = 3600.0
# This share of the requests takes so many times as long as the others.
TAIL_SHARE = 0.01
TAIL_FACTOR = 5.0
# The pace of a machine with noise is drawn anew at this interval, in s.
NOISE_PERIOD_S = 0.4
# Times of one way to a server in the same and in another failure domain, in s.
DEFAULT_DELAYS_S = (0.0007, 0.0007)
# What a fault does to the requests that arrive while it lasts:
# "away": refused as not run, with the time left as pause. "shed": a share ``x`` is
# refused as not run, without a pause. "slow": they take ``x`` times as long. "silent":
# never answered. "reset": the connection of a share ``x`` breaks. "limited": replies
# state that the server takes ``x`` requests a second. "cold": its record says that it
# is cold, and its service that it takes ``x`` requests a second meanwhile.
FAULT_KINDS = ("away", "shed", "slow", "silent", "reset", "limited", "cold")


class ServerFault:
    """A fault of a server from ``start`` until ``end``; see ``FAULT_KINDS``."""

    __slots__ = ("end", "kind", "start", "x")

    def __init__(self, kind, start, end, x=1.0):
        if kind not in FAULT_KINDS:
            raise ValueError(f"fault {kind!r} is unknown")
        self.kind = kind
        self.start = start
        self.end = end
        self.x = x


class ServerModel:
    """One server: slots, a queue, a speed, pauses and faults.

    ``work_s`` is the mean service time, with a log-normal spread of ``spread`` and a
    tail of longer requests; ``slowness`` multiplies it. With ``pause_every_s`` the
    server does no work for ``pause_s`` each time. For a share ``noise_share`` of the
    time work takes ``noise_factor`` times as long. With ``reports_load`` all replies
    report the load. ``arrivals`` holds the time of each request.
    """

    def __init__(
        self,
        clock,
        rng,
        slots=3,
        max_queue=18,
        work_s=0.02,
        spread=0.35,
        slowness=1.0,
        handshake_s=0.006,
        pause_s=0.0,
        pause_every_s=math.inf,
        noise_share=0.0,
        noise_factor=1.0,
        reports_load=False,
    ):
        self._clock = clock
        self._rng = rng
        self._slots = curio.Semaphore(slots)
        self._slot_count = slots
        self._running = 0
        self._waiting = 0
        self.noise_share = noise_share
        self.noise_factor = noise_factor
        self.reports_load = reports_load
        self._noise_seed = rng.random() if noise_share else 0.0
        self.max_queue = max_queue
        self.work_s = work_s
        self.spread = spread
        self.slowness = slowness
        self.handshake_s = handshake_s
        self.pause_s = pause_s
        self.pause_every_s = pause_every_s
        self.pause_offset_s = 0.0
        if math.isfinite(pause_every_s):
            self.pause_offset_s = rng.random() * pause_every_s
        self.faults = []
        self.arrivals = []

    def _active_faults(self):
        now = self._clock.monotonic()
        return [fault for fault in self.faults if fault.start <= now < fault.end]

    async def serve(self, work_x=1.0):
        """Run one request; return its ``Reply``, or None for a broken connection.

        ``work_x`` is the service time of the request's route as a multiple of the
        server's.
        """
        reply = await self._answer(work_x)
        if reply is not None:
            for fault in self._active_faults():
                if fault.kind == "limited":
                    reply.rate_limit = fault.x
            if self.reports_load and reply.reported_load is None:
                reply.reported_load = self._load()
        return reply

    def _load(self):
        pace = self.pace() * self._slow_factor()
        return ReportedLoad(self._running, self._waiting, self._slot_count, pace)

    def _slow_factor(self):
        faults = self._active_faults()
        return math.prod(fault.x for fault in faults if fault.kind == "slow")

    def pace(self):
        """Return how long work takes now, as a multiple of the usual time."""
        if not self.noise_share:
            return 1.0
        period = int(self._clock.monotonic() / NOISE_PERIOD_S)
        is_slow = random.Random(f"{self._noise_seed}/{period}").random()
        return self.noise_factor if is_slow < self.noise_share else 1.0

    def least_s(self, work_x=1.0):
        """Return how long a request of mean work takes if the server were idle, in s.

        That is infinite while it does not answer.
        """
        now = self._clock.monotonic()
        seconds = self.work_s * work_x * self.slowness * self.pace()
        for fault in self._active_faults():
            if fault.kind in ("away", "silent"):
                return math.inf
            if fault.kind in ("shed", "reset") and fault.x >= 1.0:
                return math.inf
            if fault.kind == "slow":
                seconds *= fault.x
        return self._pause_left_s(now) + seconds

    def _pause_left_s(self, now):
        if not math.isfinite(self.pause_every_s):
            return 0.0
        phase = (now + self.pause_offset_s) % self.pause_every_s
        return max(0.0, self.pause_s - phase)

    async def _answer(self, work_x):
        now = self._clock.monotonic()
        self.arrivals.append(now)
        for fault in self._active_faults():
            if fault.kind == "away":
                return _refusal(fault.end - now)
            if fault.kind == "silent":
                await curio.sleep(SILENCE_S)
            if fault.kind in ("shed", "reset") and self._rng.random() < fault.x:
                return _refusal() if fault.kind == "shed" else None
        if self._slots.locked() and self._waiting >= self.max_queue:
            return _refusal()
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        reply = Reply(200, [], b"")
        try:
            mu = math.log(self.work_s * work_x) - self.spread**2 / 2.0
            seconds = self._rng.lognormvariate(mu, self.spread)
            if self._rng.random() < TAIL_SHARE:
                seconds *= TAIL_FACTOR
            await self._work(seconds * self.slowness * self.pace())
            if self.reports_load:
                # The report contains the request that it answers.
                reply.reported_load = self._load()
        finally:
            self._running -= 1
            await self._slots.release()
        reply.server_stamp = b"s"
        return reply

    async def connect(self):
        """Open a connection, which holds a slot for the handshake."""
        async with self._slots:
            await self._work(self.handshake_s)

    async def _work(self, seconds):
        seconds *= self._slow_factor()
        pause_left_s = self._pause_left_s(self._clock.monotonic())
        if pause_left_s:
            await curio.sleep(pause_left_s)
        await curio.sleep(seconds)


def _refusal(pause_s=None):
    reply = Reply(503, [], b"")
    reply.is_not_run = True
    reply.pause_s = pause_s
    return reply


class ModelPool:
    """A connection pool whose servers are ``ServerModel`` objects by id.

    ``work_factors`` holds by route the service time of its requests as a multiple of
    the server's, 1.0 by default. ``delays_s`` are the times of one way to a server in
    the failure domain ``domain`` and in another one.
    """

    def __init__(
        self, servers, work_factors=None, delays_s=DEFAULT_DELAYS_S, domain=None
    ):
        self.servers = servers
        # An empty dict is kept, since the replay fills it after the pool is made.
        self.work_factors = {} if work_factors is None else work_factors
        self.delays_s = delays_s
        self.domain = domain
        self.opened_count = 0
        # Requests written, and those of them that went to another failure domain.
        self.written_count = 0
        self.crossing_count = 0

    def reserve(self, size):
        """Count bytes of a reply that is kept; the model has room for all."""
        return True

    def release(self, size):
        """Stop counting bytes of a reply."""

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
            is_crossing = upstream.server.domain != self.domain
            self.written_count += 1
            self.crossing_count += is_crossing
            delay_s = self.delays_s[is_crossing]
            await curio.sleep(delay_s)
            route = exchange.branch.call.route
            reply = await server.serve(self.work_factors.get(route.name, 1.0))
            await curio.sleep(delay_s)
            if reply is None:
                await exchange.on_failure(Failure.BROKEN, "reset", None)
                return
            reply.request_id = exchange.request.id
            is_reusable = True
            await exchange.on_reply(reply)
        finally:
            if is_reusable:
                upstream.idle_connection_count += 1
            else:
                upstream.connection_count -= 1


class CallerResult:
    """What one caller got: the final status, the latency and its attempts."""

    __slots__ = (
        "attempts",
        "best_value",
        "covered",
        "last_attempt_s",
        "latency_s",
        "objective_s",
        "refused_s",
        "route",
        "sent_at",
        "status",
    )

    def __init__(self, sent_at, objective_s, route=None):
        self.sent_at = sent_at
        self.objective_s = objective_s
        self.route = route
        self.status = None
        self.latency_s = 0.0
        # Time of the last attempt alone.
        self.last_attempt_s = 0.0
        self.attempts = 0
        # Share of the parts that are in the answer.
        self.covered = 0.0
        # The most that an entry could have made of it that knew all servers.
        self.best_value = 1.0
        # How long the first refusal took, or None.
        self.refused_s = None

    @property
    def is_served(self):
        """Whether it was a success."""
        return self.status == 200

    @property
    def is_in_time(self):
        """Whether it was a success within the objective."""
        return self.is_served and self.latency_s <= self.objective_s


class CallerModel:
    """Sends requests at a rate and tries again as callers of the platform do.

    Each request goes to a random one of ``dispatchers``, one for each active entry.
    With ``returns_at_once`` callers ignore the time to come back. ``best_value``
    returns the most that a request on a route can be worth now.
    """

    def __init__(self, dispatchers, configuration, clock, seed, retries=1):
        self.returns_at_once = False
        self.best_value = lambda route: 1.0
        self._dispatchers = dispatchers
        self._configuration = configuration
        self._clock = clock
        self._rng = random.Random(f"{seed}/callers")
        self._sequence = 0
        self.retries = retries
        self.results = []

    async def run(self, route, per_s, seconds, deadline_s):
        """Send requests on a route; return when all have ended.

        ``per_s`` is the rate, or a function from the time since the start to it.
        """
        tasks = []
        start = self._clock.monotonic()
        while (elapsed_s := self._clock.monotonic() - start) < seconds:
            tasks.append(await curio.spawn(self._send, route, deadline_s))
            rate = per_s(elapsed_s) if callable(per_s) else per_s
            await curio.sleep(self._rng.expovariate(rate))
        for task in tasks:
            await task.join()

    async def _send(self, route, deadline_s):
        started_at = self._clock.monotonic()
        result = CallerResult(started_at, route.objective_s, route)
        result.best_value = self.best_value(route)
        self.results.append(result)
        while result.attempts <= self.retries:
            left_s = started_at + deadline_s - self._clock.monotonic()
            if left_s <= 0.01:
                break
            attempted_at = self._clock.monotonic()
            answer, call = await self._attempt(route, left_s)
            result.attempts += 1
            result.last_attempt_s = self._clock.monotonic() - attempted_at
            result.status = answer.status
            result.covered = call.answered_count / len(call.branches)
            result.latency_s = self._clock.monotonic() - started_at
            if result.is_served:
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
        return await self._rng.choice(self._dispatchers).run(call), call

    def _pause_s(self, answer, left_s):
        if self.returns_at_once:
            return 0.0
        for name, value in answer.headers:
            if name == b"retry-after":
                return min(float(value), left_s * HONOURED_FRACTION)
        return DEFAULT_CALLER_PAUSE_S
