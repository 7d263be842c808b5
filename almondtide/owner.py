"""The owner of a service: queueing, attempts, hedges and retries."""

import itertools
import secrets

from .admission import (
    EXECUTION_WAIT_SHARE,
    MIN_RETRY_AFTER_MS,
    QUERY_RECHECK_SHARE,
    QUERY_WAIT_SHARE,
    LoadEstimate,
    can_finish,
    execution_wait_ends_at,
    refusal_retry_ms,
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

# Assumed until the first exchange ends. With a lower value the first burst would
# build a queue that cannot be served in time.
DEFAULT_SERVICE_TIME_S = 0.1
SERVICE_TIME_DECAY = 0.95
# Queued work with less time left than this quantile of the latency is refused.
MIN_SERVICE_TIME_QUANTILE = 0.25
MIN_SHED_DELAY_S = 0.005
MAX_SHED_DELAY_S = 0.05

# Kinds of timer events; an overdue item is an execution that has waited too long.
_HEDGE = 0
_EXPIRE = 1
_OVERDUE = 2
_RECHECK = 3

# Failures after which an idempotent request may run on another server.
_RETRYABLE = frozenset(
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
# Refusals that do not mean that the service is unhealthy; their retries cost no
# budget. ``shed_delay_s`` limits how often a server that shed work gets requests.
_UNBUDGETED_RETRIES = frozenset(
    {
        ResultCode.UPSTREAM_SHED,
        ResultCode.UPSTREAM_DRAINING,
        ResultCode.UPSTREAM_UNREACHABLE,
        ResultCode.SNAPSHOT_UNAVAILABLE,
    }
)


class ServiceOwner:
    """Runs the sub-requests of one service on its servers.

    New work waits in a fair, deadline-ordered queue. Hedges and retries go before
    it, because their requests have waited longest. A hedge takes the next free slot
    on a server that the request has not used.

    ``submit`` passes the result to the async function ``deliver(SubResult)``
    exactly once.
    """

    __slots__ = (
        "_applied",
        "_attempt_numbers",
        "_cfg",
        "_exchange_count",
        "_id_prefix",
        "_items_by_query",
        "_log",
        "_mean_service_s",
        "_metrics",
        "_priority_work",
        "_queue",
        "_timers",
        "active_since",
        "clock",
        "hedge_budget",
        "is_owner",
        "last_used",
        "latencies",
        "retry_budget",
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
        self._applied = None
        self.last_used = clock.monotonic()
        self.active_since = clock.monotonic()
        self.latencies = LatencyWindow()
        self.hedge_budget = TokenBudget(self._setting("hedge_budget"))
        self.retry_budget = RetryBudget(self._setting("retry_budget"))
        self._mean_service_s = DEFAULT_SERVICE_TIME_S
        self._exchange_count = 0
        self._queue = WorkQueue(
            lambda workload: self._cfg().workload_setting(workload, "weight")
        )
        self._priority_work = []
        self._items_by_query = {}
        # A standby may run a query on a server where this owner still cancels it,
        # so request ids must differ between owners.
        self._id_prefix = secrets.token_hex(4)
        self._attempt_numbers = itertools.count(1)
        self._timers = Timers(clock, self._handle_timer, log)

    def _setting(self, name):
        return self._cfg().service_setting(self.service, name)

    # Servers and connections

    async def start(self):
        """Start the timer of hedges and deadlines."""
        await self._timers.start()

    async def update(self, members, is_owner):
        """Set the servers of the service and whether this daemon owns it.

        ``members`` is a list of members with ``instance``, ``address``,
        ``domain`` and ``is_leaving``. Does nothing if these and the configuration are
        unchanged, because it is called for every change of the membership view.
        """
        listed = [(m.instance, m.address, m.is_leaving) for m in members]
        state = (is_owner, self._cfg().revision, listed)
        if state == self._applied:
            return
        self._applied = state
        self.is_owner = is_owner
        self.hedge_budget.ratio = self._setting("hedge_budget")
        self.retry_budget.ratio = self._setting("retry_budget")
        await self.servers.update(members, self._setting("slots"), is_owner)
        await self._dispatch()

    async def stop(self):
        """Close all connections and end the timer."""
        await self.servers.stop()
        await self._timers.stop()

    async def worker_idle(self, worker):
        """Add a connected worker that can run an attempt."""
        self.servers.add_idle(worker)
        await self._dispatch()

    def worker_gone(self, worker):
        """Remove a worker whose task has ended."""
        self.servers.remove_idle(worker)

    async def server_unreachable(self, server):
        """Mark a server unreachable after a failed connect."""
        if server.is_reachable:
            server.is_reachable = False
            self._log.warning(
                "upstream_unreachable", service=self.service, server=server.instance
            )
            await self._refuse_unservable()

    async def server_reachable(self, server):
        """Mark a server reachable after a successful connect."""
        if not server.is_reachable:
            self._log.info(
                "upstream_reachable", service=self.service, server=server.instance
            )
        server.mark_connected()

    async def server_changed(self, server):
        """Apply a changed status of a server to the waiting work."""
        await self._refuse_unservable()
        await self._dispatch()

    async def _refuse_unservable(self):
        """Refuse waiting work that no server can run any more."""
        waiting = [
            item
            for items in self._items_by_query.values()
            for item in items
            if not item.running_attempts
        ]
        for item in waiting:
            code = self.servers.unservable_code(item)
            if code is not None:
                await self._finish(item, self._failed_result(item, code))

    # Submission

    def p90_latency_s(self):
        """Return the 0.9 quantile of the latency of attempts, in seconds."""
        return self.latencies.quantile(0.9) or 0.0

    @property
    def running_count(self):
        """Number of queries and executions with work in progress."""
        return len(self._items_by_query)

    async def submit(self, sub, deliver):
        """Run ``sub``; ``deliver`` is called once with its ``SubResult``."""
        now = self.clock.monotonic()
        self.last_used = now
        item = WorkItem(sub, deliver, now)
        refusal = self._check_admission(item, now)
        if refusal is not None:
            item.done = True
            await deliver(refusal)
            return
        self._items_by_query.setdefault(sub.query_id, []).append(item)
        self._enqueue(item)
        await self._timers.schedule(sub.deadline, _EXPIRE, item)
        await self._dispatch()
        if not item.done and not sub.is_idempotent:
            await self._timers.schedule(
                execution_wait_ends_at(now, sub.deadline, sub.allowed_s),
                _OVERDUE,
                item,
            )
        elif item.is_queued:
            recheck_at = now + QUERY_RECHECK_SHARE * (sub.deadline - now)
            await self._timers.schedule(recheck_at, _RECHECK, item)

    def _check_admission(self, item, now):
        """Return None if the item is admitted, else its ``SubResult``."""
        remaining_s = item.deadline - now
        if remaining_s <= 0:
            return self._failed_result(item, ResultCode.DEADLINE_EXCEEDED)
        code = self.servers.unservable_code(item)
        if code is not None:
            return self._failed_result(item, code)
        estimate = self.estimate(item.workload)
        wait_share = (
            QUERY_WAIT_SHARE if item.sub.is_idempotent else EXECUTION_WAIT_SHARE
        )
        retry_after_ms = refusal_retry_ms(estimate, remaining_s, wait_share)
        if retry_after_ms is None and len(self._queue) >= self._setting("queue_limit"):
            retry_after_ms = int(estimate.wait_s * 1000) + 1
        if retry_after_ms is None:
            return None
        self._metrics.refused.inc({"service": self.service})
        return self._failed_result(item, ResultCode.OVERLOADED, retry_after_ms)

    def _failed_result(self, item, code, retry_after_ms=None):
        not_run = item.maybe_run_count == 0
        if not_run and retry_after_ms is None:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
        return SubResult(
            self.service,
            code,
            not_run=not_run,
            attempts=item.started_count,
            retry_after_ms=retry_after_ms,
        )

    def _enqueue(self, item):
        if item.sub.is_suspect or item.sub.avoid:
            self._priority_work.append((item, False))
        else:
            item.is_queued = True
            self._queue.push(item)

    def estimate(self, workload):
        """Return the ``LoadEstimate`` for new work of ``workload``."""
        service_s = self._mean_service_s
        slots = self.servers.usable_slots()
        waiting, share = self._queue.backlog_and_share(workload)
        waiting += sum(not is_hedge for _, is_hedge in self._priority_work)
        if slots == 0:
            return LoadEstimate(0.0, service_s)
        busy = self.servers.running_attempt_count()
        wait_s = 0.0
        if busy >= slots or waiting:
            wait_s = (waiting + 1) * service_s / (slots * share)
        typical_s = self.latencies.quantile(0.5) or service_s
        return LoadEstimate(wait_s, typical_s)

    async def cancel_query(self, query_id):
        """Cancel the work of a query whose coordinator no longer waits."""
        for item in list(self._items_by_query.get(query_id, ())):
            if item.sub.is_idempotent:
                await self._finish(
                    item, self._failed_result(item, ResultCode.CANCELLED)
                )

    # Dispatch

    async def _dispatch(self):
        """Assign waiting work to idle workers as far as possible."""
        await self._refuse_late()
        while self.servers.has_idle:
            found = self._next_work()
            if found is None:
                return
            item, worker, is_hedge = found
            self.servers.remove_idle(worker)
            item.is_queued = False
            await self._start_attempt(item, worker, is_hedge)

    async def _refuse_late(self):
        """Refuse queued work that is unlikely to finish before its deadline.

        Running it would take a slot from work that can still finish.
        """
        min_service_s = self.latencies.quantile(MIN_SERVICE_TIME_QUANTILE) or 0.0
        for item in self._queue.pop_before(self.clock.monotonic() + min_service_s):
            item.is_queued = False
            await self._finish_overloaded(item)

    def _can_finish(self, item):
        """Return whether queued work can be expected to finish in time."""
        now = self.clock.monotonic()
        slots = self.servers.usable_slots()
        if slots == 0:
            # Not known; work that no server can run is refused elsewhere.
            return True
        _, share = self._queue.backlog_and_share(item.workload)
        return can_finish(
            item.deadline - now,
            self._queue.count_ahead(item),
            slots * share,
            self._mean_service_s,
            self.servers.running_ages_s(now),
        )

    async def _finish_overloaded(self, item):
        wait_s = self.estimate(item.workload).wait_s
        retry_after_ms = max(MIN_RETRY_AFTER_MS, int(wait_s * 1000))
        code = ResultCode.OVERLOADED
        await self._finish(item, self._failed_result(item, code, retry_after_ms))

    def _next_work(self):
        for index, (item, is_hedge) in enumerate(self._priority_work):
            if item.done:
                continue
            if is_hedge and self.hedge_budget.tokens < 1.0:
                continue
            worker = self.servers.pick_worker(item)
            if worker is not None:
                del self._priority_work[index]
                return item, worker, is_hedge
        self._priority_work = [
            entry for entry in self._priority_work if not entry[0].done
        ]
        chosen = []

        def is_acceptable(item):
            worker = self.servers.pick_worker(item)
            if worker is not None:
                chosen.append(worker)
            return worker is not None

        item = self._queue.pop(is_acceptable)
        return (item, chosen[-1], False) if item is not None else None

    async def _start_attempt(self, item, worker, is_hedge):
        now = self.clock.monotonic()
        server = worker.server
        number = f"{self._id_prefix}.{next(self._attempt_numbers)}"
        attempt = Attempt(item, server, now, is_hedge, number)
        item.tried_servers.add(server.instance)
        item.running_attempts.append(attempt)
        server.in_flight.add(attempt)
        worker.attempt = attempt
        if is_hedge:
            self.hedge_budget.try_spend()
            self._metrics.hedges.inc({"service": self.service})
        elif item.started_count == 1:
            self.hedge_budget.earn()
            self.retry_budget.earn()
            self._metrics.queue_seconds.observe({}, now - item.arrived_at)
        else:
            self._metrics.retries.inc({"service": self.service})
        self._metrics.sends.inc({"service": self.service})
        await worker.wake.set()
        if item.sub.is_idempotent and not item.is_hedged and not item.sub.is_suspect:
            delay_s = hedge_policies.get(self._setting("hedge_policy"))(
                self.latencies, self._cfg(), self.service
            )
            if delay_s is not None and now + delay_s < item.deadline:
                await self._timers.schedule(now + delay_s, _HEDGE, item)

    def make_write_check(self, attempt):
        """Return a function to call right before a non-idempotent request is sent.

        It raises ``ExecutionError`` if the item has ended or its deadline has
        passed, because the process may have been paused since the dispatch.
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
        """Process a complete response of a server."""
        item = attempt.item
        elapsed_s = self._end_attempt(attempt)
        attempt.server.adapt_slots(reply.code == ResultCode.UPSTREAM_SHED)
        if item.done:
            return
        if reply.code == ResultCode.OK:
            result = self._read_result(attempt, reply)
            self.retry_budget.record_outcome(not result.is_ok)
            self.latencies.add(elapsed_s)
            if result.is_ok:
                await self._finish(item, result)
            else:
                await self._retry_or_finish(attempt, result.code, False)
            return
        self.retry_budget.record_outcome(reply.code == ResultCode.UPSTREAM_ERROR)
        await self._retry_or_finish(attempt, reply.code, reply.not_run)

    def _read_result(self, attempt, reply):
        sub = attempt.item.sub
        result = SubResult(
            self.service,
            ResultCode.OK,
            payload=reply.body,
            server=attempt.server.instance,
            attempts=attempt.item.started_count,
        )
        if not sub.is_idempotent:
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
        """End an attempt whose item was done before anything was sent."""
        self._end_attempt(attempt)

    async def attempt_failed(self, attempt, exc):
        """Process an exchange that ended without a response."""
        item = attempt.item
        self._end_attempt(attempt)
        self.retry_budget.record_outcome(True)
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

    def _end_attempt(self, attempt):
        elapsed_s = self.clock.monotonic() - attempt.started_at
        if attempt in attempt.item.running_attempts:
            attempt.item.running_attempts.remove(attempt)
        # A plain mean at first, so that a slow first exchange soon loses weight;
        # later an exponential moving average.
        self._exchange_count += 1
        weight = max(1.0 - SERVICE_TIME_DECAY, 1.0 / self._exchange_count)
        self._mean_service_s += weight * (elapsed_s - self._mean_service_s)
        return elapsed_s

    def shed_delay_s(self):
        """Return how long a connection stays unused after its server shed work."""
        service_s = self._mean_service_s
        return min(MAX_SHED_DELAY_S, max(MIN_SHED_DELAY_S, service_s / 2))

    async def _retry_or_finish(self, attempt, code, not_run):
        item = attempt.item
        if not_run:
            item.maybe_run_count -= 1
        if code == ResultCode.UPSTREAM_SHED and not_run:
            # The server is healthy and may have a free slot for this item later.
            item.tried_servers.discard(attempt.server.instance)
        if item.running_attempts:
            # Another attempt is still running and may be answered.
            return
        if self._may_retry(item, code, not_run):
            # A hedge that still waits for this item would be a second retry.
            self._priority_work = [
                entry for entry in self._priority_work if entry[0] is not item
            ]
            self._priority_work.append((item, False))
            await self._dispatch()
            return
        result = self._failed_result(item, code)
        result.server = attempt.server.instance
        await self._finish(item, result)

    def _may_retry(self, item, code, not_run):
        if code not in _RETRYABLE or not (item.sub.is_idempotent or not_run):
            return False
        if not self.servers.untried_servers(item):
            return False
        return code in _UNBUDGETED_RETRIES or self.retry_budget.try_spend()

    async def _finish(self, item, result):
        item.done = True
        if item.is_queued:
            item.is_queued = False
            self._queue.discard(item)
        siblings = self._items_by_query.get(item.sub.query_id)
        if siblings is not None:
            siblings.remove(item)
            if not siblings:
                del self._items_by_query[item.sub.query_id]
        for attempt in item.running_attempts:
            if item.sub.is_idempotent:
                await attempt.server.cancel(attempt.request_id)
        await item.deliver(result)

    # Timers

    async def _handle_timer(self, kind, item):
        if item.done:
            return
        if kind == _EXPIRE:
            await self._finish(
                item, self._failed_result(item, ResultCode.DEADLINE_EXCEEDED)
            )
        elif kind == _OVERDUE:
            # Also when a server shed it and it waits for another one.
            if not item.running_attempts and item.maybe_run_count == 0:
                await self._finish_overloaded(item)
        elif kind == _RECHECK:
            if item.is_queued and not self._can_finish(item):
                await self._finish_overloaded(item)
        elif item.running_attempts and not item.is_hedged:
            item.is_hedged = True
            self._priority_work.insert(0, (item, True))
            await self._dispatch()

    # State

    def describe(self):
        """Return the state of the service for the admin API."""
        quantile = self.latencies.quantile
        return {
            "service": self.service,
            "is_owner": self.is_owner,
            "queued": len(self._queue),
            "front": len(self._priority_work),
            "p50_ms": round((quantile(0.5) or 0.0) * 1000, 3),
            "p95_ms": round((quantile(0.95) or 0.0) * 1000, 3),
            "hedge_tokens": round(self.hedge_budget.tokens, 2),
            "retry_tokens": round(self.retry_budget.tokens, 2),
            **self.servers.describe(),
        }
