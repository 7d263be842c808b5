"""Runs calls: sends requests to servers, with hedges and retries."""

import math
import random

import curio

from ..errors import ResultCode
from ..promises import RunEvidence, judge_reply, may_state
from .answers import build_answer, error_answer, withheld_answer
from .calls import BranchState
from .error_replies import ErrorReplies
from .exchanges import Exchange, ReachabilityCheck
from .feed import LEAVING_MARGIN_S
from .hand_over import HandOver
from .links import LinkMonitor
from .policy.admission import (
    ServiceState,
    decide_admission,
    pause_wait_s,
    retry_after_s,
)
from .policy.branch_queue import BranchQueue
from .policy.retries import RetryDecision, decide_retry, may_hedge, may_send_again
from .policy.retry_budget import RetryBudget
from .policy.route_latency import RouteLatency
from .policy.shedding import CostQueue, Shedding, can_reach_coverage
from .policy.stopping import can_finish
from .regions import allowed_domains, share_domains, union_domains
from .relay import may_relay
from .upstreams import DEPTH_OBJECTIVE_FRACTION, Failure

__all__ = ["Dispatcher"]

# Kind of an exchange after the first one -> its key in the counts. A copy is sent to a
# server on probation, to see whether it has recovered.
SEND_COUNTS = {"hedge": "hedges", "retry": "retries", "copy": "copies"}
HEDGE_TIMER = "hedge"
RESEND_TIMER = "resend"
CLOSE_TIMER = "close"
# Time in s before ``answer_by`` from which a merged answer is built from the replies
# that have arrived. It covers merging, writing and waiting for the processor.
ANSWER_MARGIN_S = 0.006
# Largest margin as a fraction of the objective.
MAX_ANSWER_MARGIN_FRACTION = 0.25
# How long a written exchange may go on after its call was answered, in s. If its reply
# arrives in this time, the connection can be used again. Exchanges of a call that was
# abandoned or has expired are closed immediately.
LATE_REPLY_WAIT_S = 0.3
# Delay before queued branches are tried again while no server has room, in s.
RESEND_DELAY_S = 0.012
# Fraction of the retry budget that hedges leave to retries. A branch that failed gets
# no answer without a retry; a slow branch mostly gets one without a hedge.
RETRY_RESERVE_FRACTION = 0.35
# Longest pause of a server in s. A pause ends with the server's incarnation, so a sound
# server that states a long time is asked again as soon as it has started anew.
MAX_PAUSE_S = 3600.0
# Bound of a pause in the log, in s.
MAX_LOGGED_PAUSE_S = 1e6
# Largest fraction of the objective for waiting in the queue and being served. A
# service whose queue takes longer counts as full.
MAX_QUEUE_FRACTION = 0.8


class Dispatcher:
    """Runs the calls of one entry.

    The ``Timers`` call ``on_timer(kind, item)`` of this object. ``budget_share`` is the
    part of the fleet's slack of extra sends that this entry may use, 0.0 to 1.0; see
    ``RetryBudget``. ``ends_at`` is when a stop of the entry ends the running calls,
    None while it is not stopping.
    """

    __slots__ = (
        "_crash_detector",
        "_hand_over",
        "_log",
        "_pool",
        "_report_end",
        "_report_limit_end",
        "_report_losses",
        "_resend_at",
        "_retry_budgets",
        "_route_latencies",
        "_running_calls",
        "_service_queues",
        "_table",
        "_timers",
        "budget_share",
        "counts",
        "ends_at",
        "error_replies",
        "links",
        "now",
        "settings",
        "shedding",
    )

    def __init__(self, table, pool, settings, crash_detector, now, log):
        self._table = table
        self._pool = pool
        self._crash_detector = crash_detector
        self._report_end = None
        self._report_limit_end = None
        self._report_losses = None
        self._hand_over = None
        self._running_calls = set()
        self.error_replies = ErrorReplies(pool, log)
        self.links = LinkMonitor(now())
        self.settings = settings
        self._log = log
        self._timers = None
        self._retry_budgets = {}
        self._route_latencies = {}
        self._service_queues = {}
        self.shedding = Shedding()
        # Key of a queue -> time of the timer for it, where work is shed by cost.
        self._resend_at = {}
        self.now = now
        self.budget_share = 1.0
        self.ends_at = None
        self.counts = {
            "sends": 0,
            "hedges": 0,
            "retries": 0,
            "copies": 0,
            "refused": 0,
            "stop_refused": 0,
            "pauses": 0,
            "pauses_invalid": 0,
            "ends_announced": 0,
            "rate_limits": 0,
            "rate_limits_invalid": 0,
            "warmup_diverted": 0,
            "loads": 0,
            "loads_invalid": 0,
            "hedges_spared": 0,
            "relayed": 0,
            "relay_refused": 0,
            "regional": 0,
            "regional_refused": 0,
            "statuses_withheld": 0,
        }

    def set_timers(self, timers):
        """Set the ``Timers`` that call ``on_timer``."""
        self._timers = timers

    def set_links(self, links, relay_peers):
        """Set the ``LinkMonitor``, and the ``RelayPeers`` for calls without links."""
        self.links = links
        self._hand_over = HandOver(
            relay_peers,
            self._pool,
            self.counts,
            self.allowed_domains,
            self.now,
            self._log,
        )

    def set_loss_reporter(self, report):
        """Set the async function that reports lost servers to other daemons.

        Its argument is a list of (fingerprint of a request, ids of servers).
        """
        self._report_losses = report

    def set_limit_end_reporter(self, report):
        """Set the async function called with a server that limits its rate no more."""
        self._report_limit_end = report

    def set_end_reporter(self, report):
        """Set the async function that tells other daemons of a server's end.

        It is called with (server, time for which it still serves in s).
        """
        self._report_end = report

    def retry_budget(self, service):
        """Return the ``RetryBudget`` of a service."""
        budget = self._retry_budgets.get(service)
        settings = self.settings
        bounds = (settings.extra_ratio, settings.extra_slack, settings.extra_window_s)
        if budget is None:
            budget = self._retry_budgets[service] = RetryBudget(*bounds)
        budget.configure(*bounds)
        budget.share = self.budget_share
        return budget

    def route_latency(self, route):
        """Return the ``RouteLatency`` of a route's exchanges."""
        key = (route.name, route.services)
        latency = self._route_latencies.get(key)
        if latency is None:
            latency = self._route_latencies[key] = RouteLatency(route.objective_s)
        latency.set_objective(route.objective_s)
        return latency

    def allowed_domains(self, route):
        """Return the failure domains that a route may use, None for all."""
        if not route.allowed_regions:
            return None
        return allowed_domains(route.allowed_regions, self.settings.region_of_domain)

    async def run(self, call):
        """Run a call to its end and return its ``Answer``."""
        self._running_calls.add(call)
        try:
            answer = await self._run(call)
        finally:
            self._running_calls.discard(call)
            self.error_replies.release(call)
        if answer.is_own:
            earlier_run_count = call.request.relay_mark or 0
            answer.is_not_run = call.run_count <= earlier_run_count
        if not may_state(answer.status, call.route.is_idempotent, answer.is_not_run):
            return self._withhold(call, answer)
        return answer

    def _withhold(self, call, answer):
        """Return an answer without a status that nothing proves to be true."""
        self.counts["statuses_withheld"] += 1
        sends = [send for branch in call.branches for send in branch.sends]
        sources = call.relay_names or [server_id for _, server_id, _ in sends]
        self._log.info(
            "status_withheld",
            id=call.request.id,
            route=call.route.name,
            status=answer.status,
            source=sources[-1] if sources else "",
        )
        return withheld_answer()

    def _refuse_late(self, call, now):
        """Return a refusal of a call that the stop of this entry would cut, or None."""
        latency = self.route_latency(call.route)
        is_idempotent = call.route.is_idempotent
        if self.ends_at is None or can_finish(
            self.ends_at, call.expires_at, now, latency, is_idempotent
        ):
            return None
        self.counts["refused"] += 1
        self.counts["stop_refused"] += 1
        call.refusal_reason = "stopping"
        retry_s = retry_after_s(0.0, random.random())
        return error_answer(503, ResultCode.DRAINING, "the entry stops", retry_s)

    async def _run(self, call):
        now = self.now()
        refusal = self._refuse_late(call, now)
        if refusal is not None:
            return refusal
        refused_s = self._crash_detector.refused_for_s(call)
        if refused_s:
            self.counts["refused"] += 1
            call.refusal_reason = "quarantined"
            return error_answer(
                503, ResultCode.QUARANTINED, "the request crashes servers", refused_s
            )
        if self.links.is_failing and self._hand_over is not None:
            answer = await self._hand_over.run(call)
            if answer is not None:
                return answer
            now = self.now()
        limited_services = self._table.limited_services
        if limited_services:
            for branch in call.branches:
                if branch.service in limited_services:
                    self._table.rate_shares.count(branch.service, now)
        if self.settings.sheds_by_cost:
            latency = self.route_latency(call.route)
            self.shedding.note_call(call, latency, now)
        states = [self._service_state(call, branch, now) for branch in call.branches]
        decision = decide_admission(states, call.needed_count)
        if call.route.allowed_regions:
            self.counts["regional"] += 1
            self.counts["regional_refused"] += not decision.is_admitted
        if not decision.is_admitted:
            self.counts["refused"] += 1
            self.links.note_unserved(ServiceState.LOST in states, now)
            call.refusal_reason = decision.describe(
                [item.service for item in call.branches]
            )
            if call.route.allowed_regions:
                regions = " ".join(call.route.allowed_regions)
                call.refusal_reason += f"; only in {regions}"
            code = ResultCode.OVERLOADED
            if ServiceState.FULL not in states:
                code = ResultCode.NO_SERVER
            return error_answer(503, code, decision.reason, self._retry_after_s(call))
        for branch, state in zip(call.branches, states, strict=True):
            self.retry_budget(branch.service).count_request(now)
            branch.is_probe = call.is_merged and state in (
                ServiceState.PROBE,
                ServiceState.LOST,
            )
            if call.is_merged and state is ServiceState.FULL:
                await self._fail_branch(branch, "full")
                continue
            await self._send(branch, "first", now)
        await self._wait(call)
        if self._is_cut_off(call):
            await self._finish(call, is_late=True)
            answer = await self._hand_over.run(call)
            if answer is not None:
                return answer
        is_late = self.now() >= call.expires_at
        answer = build_answer(call, is_late, self._retry_after_s(call))
        if self.settings.sheds_by_cost and not can_reach_coverage(call):
            self.shedding.counts["given_up"] += 1
        await self._finish(call, is_late)
        return answer

    def preview(self, call):
        """Return (states of the services, ``AdmissionDecision``) for a call.

        Nothing is counted, queued or sent.
        """
        now = self.now()
        states = [self._service_state(call, branch, now) for branch in call.branches]
        return states, decide_admission(states, call.needed_count)

    def queue_length(self, service):
        """Return how many branches wait for the servers of a service."""
        queues = self._service_queues.get(service, {})
        return sum(len(queue) for queue in queues.values())

    def least_retry_after_s(self, call):
        """Return the least time to come back if a call were refused now, in s.

        A refusal may state more, to spread the return of several callers.
        """
        drain_s, pause_s = self._waits_s(call, self.now())
        return retry_after_s(drain_s, 0.0, pause_s)

    def _service_state(self, call, branch, now):
        """Return the ``ServiceState`` of the service of a branch."""
        service = branch.service
        domains = self.allowed_domains(call.route)
        if not self._table.usable_upstreams(service, now, domains):
            return ServiceState.EMPTY
        if self._table.is_service_lost(service, now, domains):
            probed = self._table.choose(service, now, domains=domains)
            return ServiceState.LOST if probed is None else ServiceState.PROBE
        latency = self.route_latency(call.route)
        spare_s = latency.objective_s * MAX_QUEUE_FRACTION - latency.expected_s
        if self.settings.sheds_by_cost:
            queue = self._service_queues.get(service, {}).get(domains)
            spare_s = self.shedding.spare_s(call.route, queue)
        room_at = self._table.next_room_at(service, now, domains=domains)
        if room_at is None or room_at - now > max(0.0, spare_s):
            return ServiceState.FULL
        drain_s = self._queue_drain_s(
            call.route, service, now, latency.expected_s, domains=domains
        )
        if drain_s and drain_s > spare_s:
            return ServiceState.FULL
        return ServiceState.OPEN

    def _queue_drain_s(
        self, route, service, now, expected_s, with_paused=False, domains=None
    ):
        """Return how long the servers of a service take for its queues, in seconds.

        Where work is shed by cost, only what is ahead of a new call of the route
        counts. Servers that pause take part in it only ``with_paused``. Of a service
        with queues for different failure domains those count that share servers with
        ``domains``, each with the servers of both.
        """
        total_s = 0.0
        for queue_domains, queue in self._service_queues.get(service, {}).items():
            if not len(queue) or not share_domains(queue_domains, domains):
                continue
            queued_s = len(queue)
            if isinstance(queue, CostQueue):
                expected_s = self.shedding.work(route).work_s
                queued_s = queue.work_ahead_s(route, now) / expected_s
            per_s = self._table.throughput(
                service,
                now,
                expected_s,
                with_paused,
                union_domains(queue_domains, domains),
            )
            total_s += queued_s / per_s if per_s > 0.0 else math.inf
        return total_s

    def _waits_s(self, call, now):
        """Return how long the queues of a call take and how long its servers pause.

        Both are in seconds; servers that pause take part in the former.
        """
        expected_s = self.route_latency(call.route).expected_s
        drain_s = 0.0
        waits_s = []
        domains = self.allowed_domains(call.route)
        for branch in call.branches:
            room_at = self._table.next_room_at(branch.service, now, domains=domains)
            if room_at is None:
                room_at = self._table.other_room_at(branch.service, now, domains)
            if room_at is not None:
                waits_s.append(room_at - now)
            # The time until a pause ends is added to the time that the queue takes.
            drain_s = max(
                drain_s,
                self._queue_drain_s(
                    call.route, branch.service, now, expected_s, True, domains
                ),
            )
        return drain_s, pause_wait_s(waits_s, call.needed_count)

    def _retry_after_s(self, call):
        """Return the retry-after time of a call that has not run, in seconds."""
        now = self.now()
        drain_s, pause_s = self._waits_s(call, now)
        is_failed = call.answered_count < call.needed_count
        if self.settings.sheds_by_cost and is_failed and not pause_s:
            work_s = self.shedding.work(call.route).work_s
            service = call.branches[0].service
            slots = work_s * self._table.throughput(
                service, now, work_s, domains=self.allowed_domains(call.route)
            )
            return self.shedding.retry_after_s(
                call, drain_s, slots, now, random.random()
            )
        return retry_after_s(drain_s, random.random(), pause_s)

    async def _wait(self, call):
        if call.is_merged:
            margin_s = min(
                ANSWER_MARGIN_S, MAX_ANSWER_MARGIN_FRACTION * call.route.objective_s
            )
            await self._wait_until(call, call.answer_by - margin_s)
            call.accepts_partial = True
        await self._wait_until(call, call.expires_at)

    async def _wait_until(self, call, end):
        while not call.is_decided() and not self._is_cut_off(call):
            # ``expires_at`` becomes earlier when the daemon stops.
            remaining_s = min(end, call.expires_at) - self.now()
            if remaining_s <= 0:
                return
            call.changed.clear()
            async with curio.ignore_after(remaining_s):
                await call.changed.wait()

    def _is_cut_off(self, call):
        """Return whether a peer should run a call that waits for silent servers."""
        return (
            self.links.is_failing
            and self.links.is_silent(self.now())
            and call.answered_count < call.needed_count
            and may_relay(call)
            and self._hand_over is not None
            and self._hand_over.choose_peer(call) is not None
        )

    async def hand_over_calls(self):
        """Hand the calls that wait for silent servers to peers, if links are lost."""
        for call in list(self._running_calls):
            if self._is_cut_off(call):
                await call.changed.set()

    async def _finish(self, call, is_late):
        """Fail open branches and close their exchanges, now or after a delay."""
        now = self.now()
        closes_all = call.is_abandoned or is_late or self._gives_up(call)
        for branch in call.branches:
            if branch.state is BranchState.OPEN:
                branch.state = BranchState.FAILED
            self._dequeue(branch)
            for exchange in list(branch.open_exchanges):
                if closes_all or not exchange.is_written:
                    await self._close_exchange(exchange)
                else:
                    await self._timers.schedule(
                        now + LATE_REPLY_WAIT_S, CLOSE_TIMER, exchange
                    )

    def _gives_up(self, call):
        """Return whether a call frees its slots at servers, as its coverage is lost.

        Parts of a request that may run only once are left to end by themselves.
        """
        return (
            self.settings.sheds_by_cost
            and call.route.is_idempotent
            and not can_reach_coverage(call)
        )

    def _dequeue(self, branch):
        if branch.queue is not None:
            branch.queue.discard(branch)
            branch.queue = None

    async def finish_early(self, call):
        """Let a call expire now, with the replies that have arrived."""
        call.expires_at = min(call.expires_at, self.now())
        await call.changed.set()

    async def abandon(self, call):
        """End a call whose caller has disconnected, and close its exchanges."""
        call.is_abandoned = True
        await call.changed.set()
        relay = call.relay
        # The connection of one that has ended may carry the request of another call.
        if relay is not None and relay.connection is not None and not relay.has_ended:
            await self._pool.close(relay.connection)
        for branch in call.branches:
            if branch.state is BranchState.OPEN:
                branch.state = BranchState.FAILED
            self._dequeue(branch)
            for exchange in list(branch.open_exchanges):
                await self._close_exchange(exchange)

    async def _close_exchange(self, exchange):
        if exchange.is_finished:
            return
        self._mark_finished(exchange)
        exchange.upstream.abandon(exchange, self.now())
        await self._pool.close(exchange.connection)

    def _mark_finished(self, exchange):
        exchange.is_finished = True
        if exchange in exchange.branch.open_exchanges:
            exchange.branch.open_exchanges.remove(exchange)

    async def _send(self, branch, kind, now):
        """Send a branch to a server, or queue or fail it; return whether it is sent."""
        upstream = self._choose(branch, kind, now)
        if upstream is None:
            await self._wait_for_server(branch, kind, now)
            return False
        if kind == "hedge" and not upstream.may_hedge(now):
            self.counts["hedges_spared"] += 1
            return False
        is_extra = bool(branch.write_count or branch.open_exchanges)
        if is_extra and not self._try_spend(branch, kind, now):
            if kind != "hedge":
                await self._fail_branch(branch, "no budget for another send")
            return False
        await self._start_exchange(branch, upstream, kind, is_extra, now)
        if kind == "first" and branch.call.may_copy_part:
            await self._send_copy(branch, now)
        return True

    def _choose(self, branch, kind, now):
        """Return the ``Upstream`` for the next exchange of a branch, or None."""
        call = branch.call
        excluded_ids = branch.tried_ids
        has_waiting = self._has_waiting(branch.service)
        options = {
            "objective_ratio": self.objective_ratio(call.route, branch.service, now),
            "domains": self.allowed_domains(call.route),
            "body_bytes": len(call.request.body),
        }
        # The rate that is left goes to branches that wait before it goes to hedges.
        upstream = self._table.choose(
            branch.service,
            now,
            excluded_ids,
            spares_limited=kind == "hedge" and has_waiting,
            **options,
        )
        may_try_lost = call.route.is_idempotent and kind != "retry" and not has_waiting
        if upstream is None and may_try_lost:
            # A server that seems to be lost may be back, and the branch has no other.
            upstream = self._table.choose(
                branch.service, now, excluded_ids, is_last_resort=True, **options
            )
        is_first_or_retry = kind != "hedge" and not branch.open_exchanges
        if upstream is None and is_first_or_retry and excluded_ids:
            upstream = self._table.choose(branch.service, now, (), **options)
        return upstream

    def _try_spend(self, branch, kind, now):
        """Take an extra send from the budget, of which a part is kept for retries."""
        reserved_fraction = RETRY_RESERVE_FRACTION if kind in ("hedge", "copy") else 0.0
        return self.retry_budget(branch.service).try_spend(now, reserved_fraction)

    async def _start_exchange(self, branch, upstream, kind, is_extra, now):
        exchange = Exchange(self, branch, upstream, kind, is_extra)
        branch.tried_ids.add(upstream.server.id)
        branch.open_exchanges.append(exchange)
        branch.sends.append((kind, upstream.server.id, now))
        self.counts["sends"] += 1
        if kind in SEND_COUNTS:
            self.counts[SEND_COUNTS[kind]] += 1
        latency = self.route_latency(branch.call.route)
        upstream.start(exchange, now, latency.expected_s)
        await self._pool.send(exchange)
        if branch.call.route.is_idempotent and kind != "copy":
            await self._timers.schedule(
                now + latency.hedge_delay_s, HEDGE_TIMER, exchange
            )

    async def _send_copy(self, branch, now):
        """Copy a branch that was sent to a good server to one on probation, if due."""
        call = branch.call
        if branch.state is not BranchState.OPEN or not may_send_again(branch, now):
            return
        upstream = self._table.choose_for_copy(
            branch.service,
            now,
            branch.tried_ids,
            self.objective_ratio(call.route, branch.service, now),
            domains=self.allowed_domains(call.route),
            body_bytes=len(call.request.body),
        )
        if upstream is None or not self._try_spend(branch, "copy", now):
            return
        call.copy_count += 1
        upstream.health.note_copy(now)
        await self._start_exchange(branch, upstream, "copy", True, now)

    def objective_ratio(self, route, service, now):
        """Return the objective of a route as a multiple of its expected latency.

        Where work is shed by cost it is lower if other routes share the servers and
        must find room there.
        """
        if self.settings.sheds_by_cost:
            depth = self.shedding.depth_per_slot(route, service, now)
            ratio = route.objective_s / self.shedding.work(route).work_s
            return min(ratio, depth / DEPTH_OBJECTIVE_FRACTION)
        return self.route_latency(route).objective_ratio

    def _has_room(self, service, route, now):
        ratio = self.objective_ratio(route, service, now)
        domains = self.allowed_domains(route)
        upstream = self._table.choose(service, now, (), ratio, domains=domains)
        return upstream is not None

    def _has_waiting(self, service):
        queues = self._service_queues.get(service, {})
        return any(len(queue) for queue in queues.values())

    async def _wait_for_server(self, branch, kind, now):
        if (
            kind == "hedge"
            or branch.state is not BranchState.OPEN
            or branch.open_exchanges
        ):
            return
        domains = self.allowed_domains(branch.call.route)
        room_at = self._table.next_room_at(branch.service, now, domains=domains)
        if room_at is None or room_at >= branch.call.expires_at:
            await self._fail_branch(branch, "no server")
            return
        if branch.queue is None:
            queue = self._service_queue(branch.service, domains)
            if self._table.has_cold_server(
                branch.service, now, domains
            ) and not self._is_served_in_time(
                branch, len(queue), room_at, now, domains
            ):
                await self._fail_branch(branch, "full")
                return
            self._push(branch, queue, now, domains)
        # A server may get room without a reply to this entry, so poll as well.
        await self._schedule_resend(branch.service, domains, now, room_at)

    def _push(self, branch, queue, now, domains):
        branch.queue = queue
        if isinstance(queue, CostQueue):
            if self._table.choose(branch.service, now, domains=domains) is None:
                self.shedding.note_full(branch.service, now)
            wait_s = self._queue_drain_s(
                branch.call.route, branch.service, now, 0.0, domains=domains
            )
            # A branch that was sent before has an earlier place than a new one.
            queue.push(branch, now, 0.0 if branch.sends else wait_s)
        else:
            queue.push(branch)

    async def _schedule_resend(self, service, domains, now, room_at):
        key = (service, domains)
        at = max(now + RESEND_DELAY_S, room_at)
        if self.settings.sheds_by_cost:
            # One timer for a queue is enough. With one for each branch that waits, a
            # queue of some hundred branches is looked at as often.
            if now < self._resend_at.get(key, 0.0) <= at:
                return
            self._resend_at[key] = at
        await self._timers.schedule(at, RESEND_TIMER, key)

    def _service_queue(self, service, domains):
        """Return the queue of a service for routes that may use ``domains``.

        Routes with regions have queues of their own, since a branch that waits for a
        server in its region must not hold up those that another server could take.
        """
        queues = self._service_queues.setdefault(service, {})
        queue = queues.get(domains)
        if queue is None:
            by_cost = self.settings.sheds_by_cost
            queue = self.shedding.new_queue() if by_cost else BranchQueue()
            queues[domains] = queue
        return queue

    async def _send_waiting(self, service):
        """Send queued branches of a service while its servers have room."""
        queue_keys = list(self._service_queues.get(service, ()))
        if len(queue_keys) > 1:
            # None of the queues may get all the room that becomes free.
            random.shuffle(queue_keys)
        for domains in queue_keys:
            await self._send_waiting_in(service, domains)

    async def _send_waiting_in(self, service, domains):
        """Send branches from the queue of a service for some failure domains."""
        queue = self._service_queues.get(service, {}).get(domains)
        while queue is not None and len(queue):
            now = self.now()
            if self._table.is_service_evacuated(service, now, domains):
                await self._fail_waiting(queue, now)
                return
            if not self._may_send_waiting(service, queue, now, domains):
                room_at = self._table.next_room_at(service, now, domains=domains) or now
                await self._refuse_waiting(service, queue, room_at, now, domains)
                await self._schedule_resend(service, domains, now, room_at)
                return
            branch = self._pop_waiting(service, queue, now)
            if branch is None:
                return
            branch.queue = None
            if decide_retry(branch, now) is RetryDecision.RETRY:
                kind = "retry" if branch.sends else "first"
                if not await self._send(branch, kind, now):
                    return
            else:
                await self._fail_branch(branch, "no time left")

    def _may_send_waiting(self, service, queue, now, domains):
        if isinstance(queue, CostQueue):
            return any(self._has_room(service, route, now) for route in queue.routes())
        return self._table.choose(service, now, domains=domains) is not None

    def _pop_waiting(self, service, queue, now):
        if isinstance(queue, CostQueue):
            return queue.pop(now, lambda route: self._has_room(service, route, now))
        return queue.pop(now)

    def _is_served_in_time(self, branch, ahead_count, room_at, now, domains):
        """Return whether a queued branch is sent before its call ends."""
        expected_s = self.route_latency(branch.call.route).expected_s
        per_s = self._table.throughput(branch.service, now, expected_s, domains=domains)
        wait_s = ahead_count / per_s if per_s > 0.0 else math.inf
        return room_at + wait_s < branch.call.expires_at

    async def _refuse_waiting(self, service, queue, room_at, now, domains):
        """Fail the queued branches that a service with cold servers cannot serve."""
        if not self._table.has_cold_server(service, now, domains):
            return
        kept = []
        while (branch := queue.pop(now)) is not None:
            branch.queue = None
            if self._is_served_in_time(branch, len(kept), room_at, now, domains):
                kept.append(branch)
            else:
                await self._fail_branch(branch, "full")
        for branch in kept:
            if branch.state is BranchState.OPEN:
                self._push(branch, queue, now, domains)

    async def _fail_waiting(self, queue, now):
        """Fail all branches of a queue, which no server will take."""
        while (branch := queue.pop(now)) is not None:
            branch.queue = None
            await self._fail_branch(branch, "evacuated")

    async def fail_evacuated(self):
        """End the wait for services that evacuations leave without a server."""
        now = self.now()
        for service, queues in list(self._service_queues.items()):
            for domains, queue in list(queues.items()):
                if len(queue) and self._table.is_service_evacuated(
                    service, now, domains
                ):
                    await self._fail_waiting(queue, now)

    async def _fail_branch(self, branch, reason):
        if branch.state is not BranchState.OPEN or branch.open_exchanges:
            return
        branch.failures.append(reason)
        branch.call.close_branch(branch, BranchState.FAILED)
        await branch.call.changed.set()

    async def on_timer(self, kind, item):
        """Handle a timer that has fired; ``item`` depends on its kind."""
        now = self.now()
        if kind == HEDGE_TIMER:
            exchange = item
            branch = exchange.branch
            is_open = not exchange.is_finished and may_hedge(branch, now)
            if is_open and not self._crash_detector.is_suspect(branch.call):
                await self._send(branch, "hedge", now)
        elif kind == RESEND_TIMER:
            await self._send_waiting_in(*item)
        elif kind == CLOSE_TIMER:
            await self._close_exchange(item)

    def _record_failure(self, upstream, exchange, failure, now):
        """Record a failure of a server; log it if the server counts as lost by it."""
        was_lost = upstream.is_lost(now)
        upstream.fail(exchange, failure, now)
        if upstream.is_lost(now) and not was_lost:
            self._log.info(
                "server_left_out",
                server=upstream.server.id,
                service=upstream.server.service,
                id=exchange.request.id if exchange is not None else "",
                failure=failure.value,
                for_ms=int(max(0.0, upstream.ejected_until - now) * 1000),
            )

    def _note_link_failure(self, upstream, failure, now):
        is_connect = failure in (Failure.NOT_SENT, Failure.NO_LISTENER)
        if is_connect or failure is Failure.BROKEN:
            self.links.note_failure(upstream.server.id, is_connect, now)

    async def _record_crash_evidence(self, exchange, failure):
        """Tell the crash detector of a failure, and check the server if needed."""
        server_id = exchange.upstream.server.id
        if failure is Failure.ERROR:
            self._crash_detector.on_answer(exchange.branch.call)
        elif failure is Failure.BROKEN:
            needs_check = self._crash_detector.on_connection_broken(
                exchange.branch.call, server_id
            )
            upstream = exchange.upstream
            now = self.now()
            if (
                needs_check
                and upstream.accepts_requests(now)
                and self._table.may_connect(upstream, now)
            ):
                await self._pool.connect(ReachabilityCheck(self, upstream))
        elif failure is Failure.NO_LISTENER:
            await self._record_server_end(server_id)

    async def _record_server_end(self, server_id):
        """Tell the crash detector and other daemons that a server has ended."""
        losses = self._crash_detector.on_server_ended(server_id)
        if losses and self._report_losses is not None:
            await self._report_losses(losses)

    async def on_checked(self, upstream, failure):
        """Handle the result of a reachability check; no failure means reachable."""
        if failure is not None:
            self._record_failure(upstream, None, failure, self.now())
            self._note_link_failure(upstream, failure, self.now())
        if failure is Failure.NO_LISTENER:
            await self._record_server_end(upstream.server.id)

    def on_connected(self, upstream):
        """Record a new connection to a server."""
        self.links.note_connected()
        upstream.note_connected(self.now())

    def may_write(self, exchange, now):
        """Return whether the rate of a cold server leaves room for an exchange.

        It is asked when the exchange is about to be written, and counts it if needed.
        """
        upstream = exchange.upstream
        if self._table.may_write(
            upstream, exchange.warmup_limit, exchange.started_at, now
        ):
            return True
        self.counts["warmup_diverted"] += 1
        self._log.debug(
            "warmup_diverted", server=upstream.server.id, id=exchange.request.id
        )
        return False

    async def on_skipped(self, exchange):
        """Handle an exchange that was not written because it is no longer needed."""
        if exchange.is_finished:
            return
        self._mark_finished(exchange)
        exchange.upstream.cancel(exchange)
        branch = exchange.branch
        if exchange.is_extra:
            self.retry_budget(branch.service).refund()
        now = self.now()
        decision = decide_retry(branch, now)
        if decision is RetryDecision.RETRY:
            # The server began to leave or to pause or turned cold while the connection
            # was opened.
            await self._send(branch, "retry" if branch.write_count else "first", now)
        elif decision is RetryDecision.GIVE_UP:
            await self._fail_branch(branch, "no time left")

    async def on_reply(self, exchange, reply):
        """Handle a complete reply of a server, which may state a failure."""
        self.links.note_reply(self.now())
        if exchange.is_finished:
            return
        server_id = exchange.upstream.server.id
        evidence = judge_reply(
            reply.status, reply.is_not_run, reply.server_id, server_id
        )
        if evidence is RunEvidence.MISDIRECTED:
            # Another server answered, so its headers say nothing about this one.
            await self.on_failure(exchange, Failure.MISDIRECTED, "421", reply)
            return
        await self._note_announcements(exchange, reply)
        await self._note_rate_limit(exchange, reply)
        self._note_load(exchange, reply)
        if evidence is RunEvidence.NOT_RUN:
            await self.on_failure(exchange, Failure.NOT_RUN, "not run", reply)
            return
        if not reply.is_success:
            reason = f"status {reply.status}"
            await self.on_failure(exchange, Failure.ERROR, reason, reply)
            return
        self._mark_finished(exchange)
        now = self.now()
        was_lost = exchange.upstream.is_lost(now)
        latency_s = exchange.upstream.succeed(exchange, now)
        if was_lost:
            self._log.info(
                "server_back",
                server=exchange.upstream.server.id,
                service=exchange.upstream.server.service,
                id=exchange.request.id,
            )
        branch = exchange.branch
        call = branch.call
        self._crash_detector.on_answer(call)
        if latency_s is not None:
            self.route_latency(call.route).add(latency_s)
            if self.settings.sheds_by_cost:
                self.shedding.work(call.route, latency_s).add(latency_s)
        if branch.state is BranchState.OPEN:
            call.close_branch(branch, BranchState.DONE, reply)
            branch.ended_at = now
            self._dequeue(branch)
            if call.is_decided():
                await call.changed.set()
        if branch.service in self._service_queues:
            await self._send_waiting(branch.service)

    async def _note_announcements(self, exchange, reply):
        """Record that the server leaves or wants no requests for a while."""
        upstream = exchange.upstream
        now = self.now()
        if reply.is_leaving:
            was_announced = upstream.announced_until != math.inf
            upstream.announce_end(now + self.settings.drain_s - LEAVING_MARGIN_S)
            if not was_announced:
                serves_s = max(0.0, upstream.serves_until - now)
                self.counts["ends_announced"] += 1
                self._log.info(
                    "server_announced_end",
                    server=upstream.server.id,
                    service=upstream.server.service,
                    id=exchange.request.id,
                    serves_ms=int(serves_s * 1000),
                )
                if self._report_end is not None:
                    await self._report_end(upstream.server, serves_s)
        if reply.has_invalid_pause:
            self.counts["pauses_invalid"] += 1
            self._log.debug("pause_invalid", server=upstream.server.id)
        if reply.pause_s:
            self.counts["pauses"] += 1
            upstream.pause(now + min(reply.pause_s, MAX_PAUSE_S))
            self._log.info(
                "server_paused",
                server=upstream.server.id,
                service=upstream.server.service,
                id=exchange.request.id,
                asked_ms=int(min(reply.pause_s, MAX_LOGGED_PAUSE_S) * 1000),
                for_ms=int((upstream.paused_until - now) * 1000),
            )

    def _note_load(self, exchange, reply):
        """Record the load that the server reports."""
        upstream = exchange.upstream
        if reply.has_invalid_load:
            self.counts["loads_invalid"] += 1
            self._log.debug("load_invalid", server=upstream.server.id)
        if reply.reported_load is not None:
            self.counts["loads"] += 1
            upstream.note_load(reply.reported_load, self.now(), not reply.is_not_run)

    async def _note_rate_limit(self, exchange, reply):
        """Record the rate that the server states, or that it states none any more."""
        now = self.now()
        server = exchange.upstream.server
        if reply.has_invalid_rate_limit:
            self.counts["rate_limits_invalid"] += 1
            self._log.debug("rate_limit_invalid", server=server.id)
            return
        if self._table.note_rate_limit(exchange.upstream, reply.rate_limit, now):
            self.counts["rate_limits"] += reply.rate_limit is not None
            self._log.info(
                "server_limited",
                server=server.id,
                service=server.service,
                id=exchange.request.id,
                rate="none" if reply.rate_limit is None else reply.rate_limit,
            )
            if reply.rate_limit is None and self._report_limit_end is not None:
                await self._report_limit_end(server)

    def log_limited_sends(self):
        """Log the requests sent to each server with a limit of its rate, by kind."""
        for upstream in self._table:
            self._log_sends("limited_sends", upstream, upstream.rate_limit)
            self._log_sends("warmup_sends", upstream, upstream.warmup_limit)

    def _log_sends(self, event, upstream, limit):
        if limit is not None and limit.send_counts:
            counts = limit.reset_counts()
            self._log.info(
                event,
                server=upstream.server.id,
                service=upstream.server.service,
                rate=limit.rate,
                share=round(limit.share, 2),
                **{kind: counts.get(kind, 0) for kind in ("first", *SEND_COUNTS)},
            )

    def log_shedding(self):
        """Log what was shed since the last time."""
        counts = self.shedding.take_counts()
        if counts:
            self._log.info("shedding", **counts)

    async def on_failure(self, exchange, failure, reason, reply):
        """Handle a failed exchange: retry or fail its branch."""
        if exchange.is_finished:
            return
        self._mark_finished(exchange)
        now = self.now()
        upstream = exchange.upstream
        branch = exchange.branch
        self._record_failure(upstream, exchange, failure, now)
        self._note_link_failure(upstream, failure, now)
        branch.failures.append(f"{upstream.server.id}:{failure.value}:{reason}")
        await self._record_crash_evidence(exchange, failure)
        if failure.is_certainly_not_run:
            branch.possible_run_count -= exchange.is_written
        decision = decide_retry(branch, now)
        if failure is Failure.ERROR and not 200 <= reply.status < 300:
            is_final = decision is RetryDecision.GIVE_UP
            self.error_replies.keep(exchange, reply, is_final)
        if failure is Failure.BROKEN and self._crash_detector.is_on_trial(branch.call):
            decision = RetryDecision.GIVE_UP
        if decision is RetryDecision.RETRY:
            await self._send(branch, "retry", now)
        elif decision is RetryDecision.GIVE_UP:
            await self._fail_branch(branch, "no more tries")
        if branch.service in self._service_queues:
            await self._send_waiting(branch.service)
