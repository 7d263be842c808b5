"""The owner of a service: queue, attempts, hedges, retries."""

import itertools
import secrets

from .admission import (
    EXECUTION_SHARE,
    MIN_RETRY_AFTER_MS,
    USABLE_SHARE,
    Estimate,
    admit,
)
from .attempts import Attempt, WorkItem
from .budgets import RetryBudget, TokenBudget
from .errors import DEFAULT_RETRY_AFTER_MS, ExecutionError, ResultCode
from .hedging import LatencyWindow, hedge_policies
from .serverset import ServerSet
from .subrequests import SubResult
from .timers import Timers
from .workqueue import WorkQueue

__all__ = ["ServiceOwner"]

# Assumed until the first exchange ends. Too low a value would let the first burst
# build a queue that cannot be served in time.
DEFAULT_SERVICE_TIME_S = 0.1
SERVICE_TIME_MEMORY = 0.95
# A request that has less time left than this quantile of the service is late.
LATE_QUANTILE = 0.25
MIN_SHED_PAUSE_S = 0.005
MAX_SHED_PAUSE_S = 0.05

_HEDGE = 0
_EXPIRE = 1
_OVERDUE = 2

# Failures after which an idempotent request may run on another server.
_RETRIABLE = frozenset(
    {
        ResultCode.UPSTREAM_SHED,
        ResultCode.UPSTREAM_DRAINING,
        ResultCode.UPSTREAM_UNREACHABLE,
        ResultCode.UPSTREAM_ERROR,
        ResultCode.BAD_RESPONSE,
        ResultCode.SNAPSHOT_UNAVAILABLE,
        ResultCode.SNAPSHOT_MISMATCH,
    }
)
# Refusals that say nothing about the health of the service and cost no budget. The
# pause of the connection bounds how often a server is asked after it shed work.
_FREE_RETRY = frozenset(
    {
        ResultCode.UPSTREAM_SHED,
        ResultCode.UPSTREAM_DRAINING,
        ResultCode.UPSTREAM_UNREACHABLE,
        ResultCode.SNAPSHOT_UNAVAILABLE,
    }
)


class ServiceOwner:
    """Runs the sub-requests of one service on its servers.

    Fresh work waits in a fair deadline-ordered queue. Hedges and retries wait in
    front of it, because their request has waited longest; a hedge takes the next
    slot that becomes free on a server that the request has not used.

    ``submit`` hands the result to the async function ``deliver(SubResult)``
    exactly once.
    """

    __slots__ = (
        "_attempts",
        "_by_query",
        "_cfg",
        "_ended",
        "_front",
        "_incarnation",
        "_known",
        "_log",
        "_metrics",
        "_queue",
        "_service_time_s",
        "_timers",
        "active_since",
        "clock",
        "hedges",
        "is_owner",
        "last_used",
        "latencies",
        "retries",
        "servers",
        "service",
    )

    def __init__(self, service, cfg, upstreams, clock, log, metrics):
        self.service = service
        self._cfg = cfg
        self.clock = clock
        self._log = log
        self._metrics = metrics
        self.servers = ServerSet(self, upstreams)
        self.is_owner = False
        self._known = None
        self.last_used = clock.monotonic()
        self.active_since = clock.monotonic()
        self.latencies = LatencyWindow()
        self.hedges = TokenBudget(self._setting("hedge_budget"))
        self.retries = RetryBudget(self._setting("retry_budget"))
        self._service_time_s = DEFAULT_SERVICE_TIME_S
        self._ended = 0
        self._queue = WorkQueue(
            lambda workload: self._cfg().workload_setting(workload, "weight")
        )
        self._front = []
        self._by_query = {}
        # A standby may run a query that this owner still cancels on the same
        # server, so request ids must not repeat between owners.
        self._incarnation = secrets.token_hex(4)
        self._attempts = itertools.count(1)
        self._timers = Timers(clock, self._timer_fired)

    def _setting(self, name):
        return self._cfg().service_setting(self.service, name)

    # Servers and connections

    async def start(self):
        """Start the timer of hedges and deadlines."""
        await self._timers.start()

    async def update(self, members, is_owner):
        """Take over the servers of the service and whether this daemon owns it.

        ``members`` is a list of members with ``instance``, ``address``,
        ``domain`` and ``is_leaving``. Does nothing when nothing has changed, because
        every change of the view calls it.
        """
        listed = [(m.instance, m.address, m.is_leaving) for m in members]
        known = (is_owner, self._cfg().revision, listed)
        if known == self._known:
            return
        self._known = known
        self.is_owner = is_owner
        self.hedges.ratio = self._setting("hedge_budget")
        self.retries.ratio = self._setting("retry_budget")
        await self.servers.update(members, self._setting("slots"), is_owner)
        await self._dispatch()

    async def stop(self):
        """Close all connections and end the timer."""
        await self.servers.stop()
        await self._timers.stop()

    async def worker_idle(self, worker):
        """Take a connected worker that can run an attempt."""
        self.servers.add_idle(worker)
        await self._dispatch()

    def worker_gone(self, worker):
        """Forget a worker whose task has ended."""
        self.servers.remove_idle(worker)

    async def server_unreachable(self, server):
        """Note that a connect failed."""
        if server.reachable:
            server.reachable = False
            self._log.warning(
                "upstream_unreachable", service=self.service, server=server.instance
            )
            await self._refuse_unservable()

    async def server_reachable(self, server):
        """Note that a connect succeeded."""
        if not server.reachable:
            self._log.info(
                "upstream_reachable", service=self.service, server=server.instance
            )
        server.connected()

    async def server_changed(self, server):
        """Use new statements of a server about itself."""
        await self._refuse_unservable()
        await self._dispatch()

    async def _refuse_unservable(self):
        """Refuse at once the waiting work that no server can take any more."""
        waiting = [
            item
            for items in self._by_query.values()
            for item in items
            if not item.running
        ]
        for item in waiting:
            code = self.servers.unservable_code(item)
            if code is not None:
                await self._finish(item, self._failure(item, code))

    # Submission

    def tail_s(self):
        """Return the 0.9 quantile of the time on a server, in seconds."""
        return self.latencies.quantile(0.9) or 0.0

    @property
    def running(self):
        """Number of queries and executions that have work here."""
        return len(self._by_query)

    async def submit(self, sub, deliver):
        """Run ``sub``; ``deliver`` is called once with its ``SubResult``."""
        now = self.clock.monotonic()
        self.last_used = now
        item = WorkItem(sub, deliver, now)
        refusal = self._refusal(item, now)
        if refusal is not None:
            item.done = True
            await deliver(refusal)
            return
        self._by_query.setdefault(sub.query_id, []).append(item)
        self._enqueue(item)
        await self._timers.schedule(sub.deadline, _EXPIRE, item)
        await self._dispatch()
        if item.waiting and not sub.idempotent:
            overdue = now + EXECUTION_SHARE * (sub.deadline - now)
            await self._timers.schedule(overdue, _OVERDUE, item)

    def _refusal(self, item, now):
        """Return the result of an item that must not start, or None."""
        remaining_s = item.deadline - now
        if remaining_s <= 0:
            return self._failure(item, ResultCode.DEADLINE_EXCEEDED)
        unservable = self.servers.unservable_code(item)
        if unservable is not None:
            return self._failure(item, unservable)
        estimate = self.estimate(item.workload)
        share = USABLE_SHARE if item.sub.idempotent else EXECUTION_SHARE
        retry_after_ms = admit(estimate, remaining_s, share)
        if retry_after_ms is None and len(self._queue) >= self._setting("queue_limit"):
            retry_after_ms = int(estimate.wait_s * 1000) + 1
        if retry_after_ms is None:
            return None
        self._metrics.refused.inc({"service": self.service})
        return self._failure(item, ResultCode.OVERLOADED, retry_after_ms)

    def _failure(self, item, code, retry_after_ms=None):
        not_run = item.ran == 0
        if not_run and retry_after_ms is None:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
        return SubResult(
            self.service,
            code,
            not_run=not_run,
            attempts=item.started,
            retry_after_ms=retry_after_ms,
        )

    def _enqueue(self, item):
        if item.sub.suspect or item.sub.avoid:
            self._front.append((item, False))
        else:
            item.waiting = True
            self._queue.push(item)

    def estimate(self, workload):
        """Return the ``Estimate`` for new work of ``workload``."""
        service_s = self._service_time_s
        slots = self.servers.usable_slots()
        waiting, share = self._queue.backlog(workload)
        waiting += sum(not is_hedge for _, is_hedge in self._front)
        if slots == 0:
            return Estimate(0.0, service_s)
        busy = self.servers.running()
        wait_s = 0.0
        if busy >= slots or waiting:
            wait_s = (waiting + 1) * service_s / (slots * share)
        typical_s = self.latencies.quantile(0.5) or service_s
        return Estimate(wait_s, typical_s)

    async def cancel_query(self, query_id):
        """Drop the work of a query whose coordinator no longer waits."""
        for item in list(self._by_query.get(query_id, ())):
            if item.sub.idempotent:
                await self._finish(item, self._failure(item, ResultCode.CANCELLED))

    # Dispatch

    async def _dispatch(self):
        """Give waiting work to idle workers until nothing fits."""
        await self._drop_late()
        while self.servers.has_idle:
            found = self._next_work()
            if found is None:
                return
            item, worker, is_hedge = found
            self.servers.remove_idle(worker)
            item.waiting = False
            await self._start(item, worker, is_hedge)

    async def _drop_late(self):
        """Refuse waiting work that can hardly finish before its deadline.

        Running it would take a slot from work that can.
        """
        least_s = self.latencies.quantile(LATE_QUANTILE) or 0.0
        for item in self._queue.take_before(self.clock.monotonic() + least_s):
            item.waiting = False
            await self._finish_overloaded(item)

    async def _finish_overloaded(self, item):
        wait_s = self.estimate(item.workload).wait_s
        retry_after_ms = max(MIN_RETRY_AFTER_MS, int(wait_s * 1000))
        code = ResultCode.OVERLOADED
        await self._finish(item, self._failure(item, code, retry_after_ms))

    def _next_work(self):
        for index, (item, is_hedge) in enumerate(self._front):
            if item.done:
                continue
            if is_hedge and self.hedges.tokens < 1.0:
                continue
            worker = self.servers.pick(item)
            if worker is not None:
                del self._front[index]
                return item, worker, is_hedge
        self._front = [entry for entry in self._front if not entry[0].done]
        chosen = []

        def accept(item):
            worker = self.servers.pick(item)
            if worker is not None:
                chosen.append(worker)
            return worker is not None

        item = self._queue.pop(accept)
        return (item, chosen[-1], False) if item is not None else None

    async def _start(self, item, worker, is_hedge):
        now = self.clock.monotonic()
        server = worker.server
        number = f"{self._incarnation}.{next(self._attempts)}"
        attempt = Attempt(item, server, now, is_hedge, number)
        item.tried.add(server.instance)
        item.running.append(attempt)
        server.in_flight.add(attempt)
        worker.attempt = attempt
        if is_hedge:
            self.hedges.spend()
            self._metrics.hedges.inc({"service": self.service})
        elif item.started == 1:
            self.hedges.earn()
            self.retries.earn()
            self._metrics.queue_seconds.observe({}, now - item.arrived)
        else:
            self._metrics.retries.inc({"service": self.service})
        self._metrics.sends.inc({"service": self.service})
        await worker.wake.set()
        if item.sub.idempotent and not item.hedged and not item.sub.suspect:
            delay = hedge_policies.get(self._setting("hedge_policy"))(
                self.latencies, self._cfg(), self.service
            )
            if delay is not None and now + delay < item.deadline:
                await self._timers.schedule(now + delay, _HEDGE, item)

    def dispatch_check(self, attempt):
        """Return the check that runs right before a non-idempotent write.

        The process may have been paused between the dispatch and the write, so
        the deadline and the item are looked at again.
        """

        def check():
            item = attempt.item
            if item.done or self.clock.monotonic() >= item.deadline:
                raise ExecutionError(
                    "the deadline passed before the write",
                    ResultCode.DEADLINE_EXCEEDED,
                    not_run=True,
                )

        return check

    # Outcomes

    async def attempt_answered(self, attempt, reply):
        """Use a complete response of a server."""
        item = attempt.item
        elapsed = self._end(attempt)
        attempt.server.adapt(reply.code == ResultCode.UPSTREAM_SHED)
        if item.done:
            return
        if reply.code == ResultCode.OK:
            result = self._success(attempt, reply)
            self.retries.record(not result.ok)
            self.latencies.add(elapsed)
            if result.ok:
                await self._finish(item, result)
            else:
                await self._retry_or_finish(attempt, result.code, False)
            return
        self.retries.record(reply.code == ResultCode.UPSTREAM_ERROR)
        await self._retry_or_finish(attempt, reply.code, reply.not_run)

    def _success(self, attempt, reply):
        sub = attempt.item.sub
        result = SubResult(
            self.service,
            ResultCode.OK,
            payload=reply.body,
            server=attempt.server.instance,
            attempts=attempt.item.started,
        )
        if not sub.idempotent:
            return result
        result.version = reply.body.get("index_version")
        result.epoch = reply.body.get("epoch")
        result.ranges = reply.body.get("ranges")
        result.payload = reply.body.get("rows")
        stated = (result.version, result.epoch, result.ranges)
        if stated != (sub.version, sub.epoch, sub.ranges):
            result.code = ResultCode.SNAPSHOT_MISMATCH
            result.payload = None
        return result

    async def attempt_skipped(self, attempt):
        """Forget an attempt whose request ended before anything was sent."""
        self._end(attempt)

    async def attempt_failed(self, attempt, exc):
        """Use an exchange that ended without a response."""
        item = attempt.item
        self._end(attempt)
        self.retries.record(True)
        if exc.code == ResultCode.UPSTREAM_LOST:
            self._log.warning(
                "upstream_lost",
                service=self.service,
                server=attempt.server.instance,
                request_id=attempt.request_id,
            )
        if item.done:
            return
        await self._retry_or_finish(attempt, exc.code, exc.not_run)

    def _end(self, attempt):
        elapsed = self.clock.monotonic() - attempt.started
        if attempt in attempt.item.running:
            attempt.item.running.remove(attempt)
        # A plain average at first, so that one slow first exchange is outweighed
        # soon, then a moving one.
        self._ended += 1
        weight = max(1.0 - SERVICE_TIME_MEMORY, 1.0 / self._ended)
        self._service_time_s += weight * (elapsed - self._service_time_s)
        return elapsed

    def shed_pause_s(self):
        """Return how long a connection rests after its server shed work."""
        service_s = self._service_time_s
        return min(MAX_SHED_PAUSE_S, max(MIN_SHED_PAUSE_S, service_s / 2))

    async def _retry_or_finish(self, attempt, code, not_run):
        item = attempt.item
        if not_run:
            item.ran -= 1
        if code == ResultCode.UPSTREAM_SHED and not_run:
            # The server is well; its slot is free for this item a little later.
            item.tried.discard(attempt.server.instance)
        if item.running:
            # The other attempt is still running and may answer.
            return
        if self._may_retry(item, code, not_run):
            # A hedge that still waits for the item would be a second retry.
            self._front = [entry for entry in self._front if entry[0] is not item]
            self._front.append((item, False))
            await self._dispatch()
            return
        result = self._failure(item, code)
        result.server = attempt.server.instance
        await self._finish(item, result)

    def _may_retry(self, item, code, not_run):
        if code not in _RETRIABLE or not (item.sub.idempotent or not_run):
            return False
        if not self.servers.untried(item):
            return False
        return code in _FREE_RETRY or self.retries.spend()

    async def _finish(self, item, result):
        item.done = True
        if item.waiting:
            item.waiting = False
            self._queue.forget(item)
        siblings = self._by_query.get(item.sub.query_id)
        if siblings is not None:
            siblings.remove(item)
            if not siblings:
                del self._by_query[item.sub.query_id]
        for attempt in item.running:
            if item.sub.idempotent:
                await attempt.server.cancel(attempt.request_id)
        await item.deliver(result)

    # Timers

    async def _timer_fired(self, kind, item):
        if item.done:
            return
        if kind == _EXPIRE:
            await self._finish(item, self._failure(item, ResultCode.DEADLINE_EXCEEDED))
        elif kind == _OVERDUE:
            if item.waiting:
                await self._finish_overloaded(item)
        elif item.running and not item.hedged:
            item.hedged = True
            self._front.insert(0, (item, True))
            await self._dispatch()

    # State

    def describe(self):
        """Return the state of the service for the admin API."""
        quantile = self.latencies.quantile
        return {
            "service": self.service,
            "is_owner": self.is_owner,
            "queued": len(self._queue),
            "front": len(self._front),
            "p50_ms": round((quantile(0.5) or 0.0) * 1000, 3),
            "p95_ms": round((quantile(0.95) or 0.0) * 1000, 3),
            "hedge_tokens": round(self.hedges.tokens, 2),
            "retry_tokens": round(self.retries.tokens, 2),
            **self.servers.describe(),
        }
