"""Coordinates queries: sends sub-requests to owners and merges the results."""

import itertools
import random

import curio

from .admission import MIN_RETRY_AFTER_MS, LoadEstimate, LoadTable, refusal_share
from .budgets import TokenBudget
from .errors import (
    DEFAULT_RETRY_AFTER_MS,
    PeerError,
    PeerSilentError,
    RefusedError,
    ResultCode,
)
from .merging import Coverage, merges
from .messages import (
    CancelQuery,
    ErrorReply,
    QuarantineNotice,
    SubAnswer,
    SubQueryBatch,
)
from .quarantine import request_fingerprint
from .queries import Answer, QueryRun, resolve_request
from .registry import Registry
from .snapshots import SnapshotSource
from .subrequests import SubResult

__all__ = ["Coordinator", "coverage_policies"]

MAX_REPLANS = 2
# Share of sub-requests that may also be sent to a standby because their owner is
# silent. A larger share would multiply the load when daemons are slow but not gone.
SILENCE_HEDGE_RATIO = 0.02
SILENCE_HEDGE_BURST = 120.0
MAX_DAEMONS_PER_SERVICE = 3
# Results of services that do not hold the snapshot of the plan.
_SNAPSHOT_REFUSALS = (ResultCode.SNAPSHOT_UNAVAILABLE, ResultCode.SNAPSHOT_MISMATCH)

coverage_policies = Registry("coverage policy")


@coverage_policies.register("coverage_first")
def coverage_first_wait_s(cfg, workload, remaining_s):
    """Return the wait in seconds: until the hard deadline."""
    return remaining_s


@coverage_policies.register("tail_first")
def tail_first_wait_s(cfg, workload, remaining_s):
    """Return the wait in seconds: until the soft deadline.

    A query that has no result by then waits for the first one.
    """
    return min(remaining_s, cfg.workload_setting(workload, "soft_deadline_ms") / 1000.0)


class Coordinator:
    """Plans queries, sends them to the owners and merges the results."""

    __slots__ = (
        "_cfg",
        "_clock",
        "_instance",
        "_load_table",
        "_log",
        "_membership",
        "_metrics",
        "_peers",
        "_quarantine",
        "_query_numbers",
        "_random",
        "_silence_hedge_budget",
        "_snapshots",
        "running_count",
    )

    def __init__(
        self, instance, cfg, membership, peers, quarantine, clock, log, metrics
    ):
        self._instance = instance
        self._cfg = cfg
        self._membership = membership
        self._peers = peers
        self._quarantine = quarantine
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._snapshots = SnapshotSource(instance, membership, peers, log)
        self._load_table = LoadTable(clock)
        self._random = random.Random()
        self._silence_hedge_budget = TokenBudget(
            SILENCE_HEDGE_RATIO, SILENCE_HEDGE_BURST, initial_tokens=SILENCE_HEDGE_BURST
        )
        self._query_numbers = itertools.count(1)
        self.running_count = 0

    async def query(self, req):
        """Return the ``Answer`` to ``req``.

        Raises ``BadRequestError`` or ``RefusedError`` when nothing was sent to
        any upstream.
        """
        run = self._create_run(req)
        self.running_count += 1
        try:
            await self._snapshots.ask_unreported(run.workload, self._remaining_s(run))
            self._refuse_if_overloaded(run)
            remaining_s = self._remaining_s(run)
            run.plan = await self._snapshots.plan(run.workload, remaining_s)
            await self._collect_results(run)
            return self._build_answer(run)
        finally:
            self.running_count -= 1
            await self._cancel_pending(run)

    # Admission

    def _create_run(self, req):
        workload, deadline_ms = resolve_request(self._cfg(), req)
        fingerprint = request_fingerprint(req.workload, "query", req.body)
        self._quarantine.raise_if_quarantined(fingerprint)
        deadline = self._clock.monotonic() + deadline_ms / 1000.0
        query_id = f"{self._instance}.{next(self._query_numbers)}"
        return QueryRun(req, query_id, workload, deadline, fingerprint)

    def _refuse_if_overloaded(self, run):
        remaining_s = run.deadline - self._clock.monotonic()
        workload = run.workload
        estimate = self._load_table.busiest(workload.name, workload.services())
        share = refusal_share(estimate, remaining_s)
        if share > 0.0 and self._random.random() < share:
            self._metrics.refused.inc({"service": ""})
            raise RefusedError(
                "the services cannot answer in time",
                retry_after_ms=max(MIN_RETRY_AFTER_MS, int(estimate.wait_s * 1000)),
            )

    # Sending

    async def _send_all(self, run):
        services = run.plan.shard_map.services()
        for _ in services:
            self._silence_hedge_budget.earn()
        self._log.trace(
            "query_planned",
            request_id=run.req.request_id,
            query_id=run.query_id,
            version=run.plan.version,
            epoch=run.plan.epoch,
            services=len(services),
        )
        await self._send_to_owners(run, services)

    async def _send_to_owners(self, run, services, is_suspect=False):
        """Send one batch of sub-requests to each daemon that is next for a service."""
        batches = {}
        for service in services:
            target = self._next_daemon(run, service)
            if target is None:
                if run.pending_calls.get(service):
                    continue
                run.results[service] = SubResult(
                    service,
                    ResultCode.PEER_LOST,
                    not_run=not run.asked_daemons.get(service),
                )
                continue
            batches.setdefault(target, []).append(service)
        for target, names in batches.items():
            await self._send_batch(run, target, names, is_suspect)

    def _next_daemon(self, run, service):
        """Return the best ranked daemon that was not asked yet, or None."""
        asked = run.asked_daemons.setdefault(service, [])
        if len(asked) >= MAX_DAEMONS_PER_SERVICE:
            return None
        for instance in self._membership.view().ranked_instances(service):
            if instance not in asked:
                asked.append(instance)
                return instance
        if self._instance not in asked:
            asked.append(self._instance)
            return self._instance
        return None

    async def _send_batch(self, run, target, services, is_suspect):
        plan = run.plan
        avoid = sorted({name for lost in run.lost_servers.values() for name in lost})
        batch = SubQueryBatch(
            query_id=run.query_id,
            workload=run.workload.name,
            version=plan.version,
            epoch=plan.epoch,
            remaining_ms=self._remaining_s(run) * 1000.0,
            items=[[service, plan.ranges(service)] for service in services],
            body=run.req.body,
            fingerprint=run.fingerprint,
            suspect=is_suspect,
            avoid=avoid if is_suspect else [],
        )
        self._log.trace(
            "sub_requests_sent",
            request_id=run.req.request_id,
            query_id=run.query_id,
            owner=target,
            services=services,
        )
        try:
            call = await self._peers.call(target, batch, run.inbox)
        except PeerError as exc:
            self._log.info("peer_call_failed", peer=target, reason=exc.message)
            await self._send_to_owners(run, services, is_suspect)
            return
        run.calls[id(call)] = call
        for service in services:
            run.pending_calls.setdefault(service, []).append(call)

    def _remaining_s(self, run):
        return run.deadline - self._clock.monotonic()

    # Collecting

    async def _collect_results(self, run):
        cfg = self._cfg()
        name = run.workload.name
        policy = coverage_policies.get(cfg.workload_setting(name, "coverage_policy"))
        limit_s = policy(cfg, name, self._remaining_s(run))
        async with curio.ignore_after(max(0.0, limit_s)) as limit:
            await self._send_all(run)
            await self._receive_replies(run)
        # A message may have been sent although sending was cut off at the limit.
        run.may_have_run = run.may_have_run or limit.expired
        remaining_s = self._remaining_s(run)
        if run.pending_calls and remaining_s > 0 and not self._has_result(run):
            # Without any result the query would fail here.
            async with curio.ignore_after(remaining_s):
                await self._receive_replies(run, until_first=True)

    async def _receive_replies(self, run, until_first=False):
        """Process replies until no call is pending or until the first result."""
        while not (until_first and self._has_result(run)):
            await self._resend_after_loss(run)
            if run.pending_calls:
                call, reply = await run.inbox.get()
                await self._handle_reply(run, call, reply)
            elif not await self._replan_if_refused(run):
                return

    @staticmethod
    def _has_result(run):
        return any(result.is_ok for result in run.results.values())

    async def _handle_reply(self, run, call, reply):
        if isinstance(reply, SubAnswer):
            await self._handle_answer(run, call, reply)
            return
        if isinstance(reply, ErrorReply):
            self._log.info("peer_refused", peer=call.instance, reason=reply.message)
        elif not isinstance(reply, PeerError):
            return
        if not reply.not_run:
            run.may_have_run = True
        services = [name for name, calls in run.pending_calls.items() if call in calls]
        if isinstance(reply, PeerSilentError):
            services = [name for name in services if self._may_hedge(run, name, reply)]
        else:
            services = [name for name in services if self._remove_call(run, name, call)]
        await self._reroute(run, services, ResultCode.PEER_LOST)

    def _may_hedge(self, run, service, error):
        """Return whether a sub-request to a silent peer is also sent to a standby.

        A lasting silence costs no budget, because new calls avoid the peer too.
        """
        if len(run.pending_calls[service]) > 1:
            return False
        return error.is_lasting or self._silence_hedge_budget.try_spend()

    @staticmethod
    def _remove_call(run, service, call):
        """Remove a call of a service; return whether it was the last one."""
        run.pending_calls[service].remove(call)
        if run.pending_calls[service]:
            return False
        del run.pending_calls[service]
        return True

    async def _handle_answer(self, run, call, reply):
        service = reply.service
        self._snapshots.update(service, reply.versions, reply.epochs)
        estimate = LoadEstimate(reply.wait_ms / 1000.0, reply.service_ms / 1000.0)
        self._load_table.record(run.workload.name, service, estimate)
        if call not in run.pending_calls.get(service, ()):
            return
        run.sends += reply.attempts
        is_last = self._remove_call(run, service, call)
        if not is_last:
            if reply.code != ResultCode.OK:
                run.may_have_run = run.may_have_run or not reply.not_run
                return
            await self._cancel_other_calls(run, service)
        result = SubResult(
            service,
            reply.code,
            not_run=reply.not_run,
            version=reply.version,
            epoch=reply.epoch,
            ranges=reply.ranges,
            payload=reply.payload,
            server=reply.server,
            attempts=reply.attempts,
            retry_after_ms=reply.retry_after_ms,
        )
        await self._handle_result(run, result)

    async def _cancel_other_calls(self, run, service):
        """Cancel the other calls for a service that has been answered."""
        message = CancelQuery(query_id=run.query_id, services=[service])
        for call in run.pending_calls.pop(service):
            await self._peers.send_if_open(call.instance, message)

    async def _handle_result(self, run, result):
        plan = run.plan
        if result.is_ok and (result.version, result.epoch) == (
            plan.version,
            plan.epoch,
        ):
            run.results[result.service] = result
            if result.service in run.lost_servers:
                self._quarantine.clear_suspect(run.fingerprint)
        elif result.code == ResultCode.UPSTREAM_LOST:
            await self._handle_server_loss(run, result)
        elif result.code in _SNAPSHOT_REFUSALS:
            await self._replan(run, result)
        elif result.code == ResultCode.DRAINING:
            await self._reroute(run, [result.service], result.code)
        else:
            run.results[result.service] = result

    async def _reroute(self, run, services, code):
        """Send the sub-requests of services to the next daemon in rank."""
        resend = []
        for service in services:
            if self._remaining_s(run) > 0:
                resend.append(service)
            elif not run.pending_calls.get(service):
                run.results[service] = SubResult(service, code)
        if resend:
            self._metrics.reroutes.add({}, len(resend))
            await self._send_to_owners(run, resend)

    async def _replan_if_refused(self, run):
        """Ask for current snapshots and replan if a service refused the old one.

        When a refusal arrives, the reports so far may show no snapshot that all
        services hold; later reports may. Returns whether the query was replanned.
        """
        replan_count = run.replan_count
        refused = [r for r in run.results.values() if r.code in _SNAPSHOT_REFUSALS]
        if not refused or replan_count >= MAX_REPLANS:
            return False
        await self._snapshots.refresh(run.workload, self._remaining_s(run))
        await self._replan(run, refused[0])
        return run.replan_count > replan_count

    async def _replan(self, run, result):
        """Choose another snapshot and send all sub-requests again."""
        if run.replan_count >= MAX_REPLANS:
            run.results[result.service] = result
            return
        try:
            plan = self._snapshots.choose_plan(run.workload)
        except RefusedError:
            run.results[result.service] = result
            return
        if (plan.version, plan.epoch) == (run.plan.version, run.plan.epoch):
            run.results[result.service] = result
            return
        run.replan_count += 1
        # The cancelled work may have run on the earlier snapshot.
        run.may_have_run = True
        self._log.info(
            "query_replanned",
            request_id=run.req.request_id,
            version=plan.version,
            epoch=plan.epoch,
        )
        await self._cancel_pending(run)
        run.plan = plan
        run.inbox = curio.Queue()
        run.calls = {}
        run.pending_calls = {}
        run.results = {}
        run.asked_daemons = {}
        run.query_id = f"{self._instance}.{next(self._query_numbers)}"
        services = plan.shard_map.services()
        # Services that lost a server are held back, so that the request reaches them
        # only in isolation. The new epoch may not use all of them.
        run.lost_servers = {
            name: run.lost_servers[name]
            for name in services
            if name in run.lost_servers
        }
        await self._send_to_owners(
            run, [name for name in services if name not in run.lost_servers]
        )

    # Lost servers

    async def _handle_server_loss(self, run, result):
        """Record a lost server and hold back the sub-request that it ran."""
        run.may_have_run = True
        servers = run.lost_servers.setdefault(result.service, [])
        is_isolated = bool(servers)
        servers.append(result.server)
        is_quarantined = self._quarantine.record_loss(
            run.fingerprint, result.server, is_isolated
        )
        await curio.spawn(self.notify_peers, run.fingerprint, daemon=True)
        if is_quarantined or self._quarantine.remaining_s(run.fingerprint) > 0:
            self._log.warning(
                "request_quarantined",
                request_id=run.req.request_id,
                fingerprint=run.fingerprint,
                servers=",".join(
                    sorted({s for lost in run.lost_servers.values() for s in lost})
                ),
            )
            for service in run.lost_servers:
                run.results.setdefault(
                    service, SubResult(service, ResultCode.QUARANTINED)
                )

    async def notify_peers(self, fingerprint):
        """Notify all daemons of the servers that were lost while running a request."""
        notice = QuarantineNotice(
            fingerprint=fingerprint,
            remaining_ms=self._quarantine.remaining_s(fingerprint) * 1000.0,
            servers=self._quarantine.lost_servers(fingerprint),
        )
        for member in self._membership.view().live_entries():
            if member.instance == self._instance:
                continue
            try:
                await self._peers.send(member.instance, notice)
            except PeerError as exc:
                self._log.debug("notice_failed", peer=member.instance, reason=str(exc))

    async def _resend_after_loss(self, run):
        """Retry one lost sub-request in isolation, and the others after its success."""
        waiting = [
            name
            for name in run.lost_servers
            if name not in run.results and name not in run.pending_calls
        ]
        if not waiting or self._quarantine.remaining_s(run.fingerprint) > 0:
            return
        is_retrying = any(name in run.pending_calls for name in run.lost_servers)
        if is_retrying:
            return
        has_result = any(name in run.results for name in run.lost_servers)
        chosen = waiting if has_result else waiting[:1]
        for name in chosen:
            # The server was lost, not the owner, so the owner may be asked again.
            run.asked_daemons[name] = []
        await self._send_to_owners(run, chosen, is_suspect=True)

    # Answer

    async def _cancel_pending(self, run):
        """Close the calls and cancel work that is still in progress."""
        waiting = {id(call) for calls in run.pending_calls.values() for call in calls}
        for key, call in run.calls.items():
            call.close()
            if key not in waiting:
                continue
            await self._peers.send_if_open(
                call.instance, CancelQuery(query_id=run.query_id)
            )

    def _build_answer(self, run):
        for service in run.pending_calls:
            run.results[service] = SubResult(service, ResultCode.DEADLINE_EXCEEDED)
        coverage = Coverage(run.plan.shard_map, run.results)
        usable = coverage.fully_covered_services()
        answer = Answer(run.req.request_id, ResultCode.OK)
        answer.version = run.plan.version
        answer.epoch = run.plan.epoch
        answer.covered = coverage.covered
        answer.sends = run.sends
        answer.missing = [
            (name, self._missing_code(result)) for name, result in coverage.missing
        ]
        if coverage.is_complete:
            answer.result = self._merge(run, usable)
            return answer
        if answer.covered:
            answer.code = ResultCode.PARTIAL
            answer.result = self._merge(run, usable)
            return answer
        self._fill_failure(answer, run)
        return answer

    @staticmethod
    def _missing_code(result):
        if result is None:
            return ResultCode.DEADLINE_EXCEEDED
        return ResultCode.SNAPSHOT_MISMATCH if result.is_ok else result.code

    def _fill_failure(self, answer, run):
        """Set code, ``not_run`` and retry delay if no shard is covered."""
        failed = list(run.results.values())
        answer.code = failed[0].code if failed else ResultCode.DEADLINE_EXCEEDED
        for result in failed:
            if result.code == ResultCode.QUARANTINED:
                answer.code = result.code
        answer.not_run = (
            not run.may_have_run
            and bool(failed)
            and all(item.not_run for item in failed)
        )
        delays = [item.retry_after_ms for item in failed if item.retry_after_ms]
        answer.retry_after_ms = max(delays) if delays else None
        if answer.not_run and not delays:
            answer.retry_after_ms = DEFAULT_RETRY_AFTER_MS

    def _merge(self, run, services):
        name = self._cfg().workload_setting(run.workload.name, "merge")
        ordered = [run.results[service].payload for service in services]
        return merges.get(name)(ordered)
