"""One query from its arrival to its answer."""

import itertools
import random

import curio

from .admission import MIN_RETRY_AFTER_MS, Estimate, LoadTable, refusal_share
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
from .quarantine import fingerprint
from .queries import Answer, QueryRun, resolve_request
from .registry import Registry
from .snapshots import SnapshotSource
from .subrequests import SubResult

__all__ = ["Coordinator", "coverage_policies"]

MAX_REPLANS = 2
# Sub-requests that also go to a standby because their owner is silent, as a share
# of all. More would multiply the load of a fleet whose daemons are slow, not gone.
SILENCE_HEDGE_RATIO = 0.02
SILENCE_HEDGE_BURST = 120.0
MAX_TARGETS = 3
# A service answered that it does not hold the snapshot of the plan.
_OTHER_SNAPSHOT = (ResultCode.SNAPSHOT_UNAVAILABLE, ResultCode.SNAPSHOT_MISMATCH)

coverage_policies = Registry("coverage policy")


@coverage_policies.register("coverage_first")
def wait_for_coverage(cfg, workload, hard_s):
    """Wait to the hard deadline; returns the wait in seconds."""
    return hard_s


@coverage_policies.register("tail_first")
def wait_for_tail(cfg, workload, hard_s):
    """Answer at the soft deadline with what is there.

    A query that has no result by then waits for the first one.
    """
    return min(hard_s, cfg.workload_setting(workload, "soft_deadline_ms") / 1000.0)


class Coordinator:
    """Plans queries, sends them to the owners and merges the answers."""

    __slots__ = (
        "_cfg",
        "_clock",
        "_ids",
        "_instance",
        "_loads",
        "_log",
        "_membership",
        "_metrics",
        "_peers",
        "_quarantine",
        "_random",
        "_silence_hedges",
        "_snapshots",
        "running",
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
        self._loads = LoadTable(clock)
        self._random = random.Random()
        self._silence_hedges = TokenBudget(
            SILENCE_HEDGE_RATIO, SILENCE_HEDGE_BURST, initial=SILENCE_HEDGE_BURST
        )
        self._ids = itertools.count(1)
        self.running = 0

    async def query(self, req):
        """Return the ``Answer`` to ``req``.

        Raises ``BadRequestError`` or ``RefusedError`` when nothing was sent to
        any upstream.
        """
        run = self._admit(req)
        self.running += 1
        try:
            await self._snapshots.learn(run.workload, self._remaining_s(run))
            self._refuse_overload(run)
            remaining_s = self._remaining_s(run)
            run.plan = await self._snapshots.plan(run.workload, remaining_s)
            await self._collect(run)
            return self._answer(run)
        finally:
            self.running -= 1
            await self._abandon(run)

    # Before anything is sent

    def _admit(self, req):
        workload, deadline_ms = resolve_request(self._cfg(), req)
        mark = fingerprint(req.workload, "query", req.body)
        self._quarantine.refuse(mark)
        deadline = self._clock.monotonic() + deadline_ms / 1000.0
        query_id = f"{self._instance}.{next(self._ids)}"
        return QueryRun(req, query_id, workload, deadline, mark)

    def _refuse_overload(self, run):
        remaining_s = run.deadline - self._clock.monotonic()
        workload = run.workload
        estimate = self._loads.busiest(workload.name, workload.services())
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
            self._silence_hedges.earn()
        self._log.trace(
            "query_planned",
            request_id=run.req.request_id,
            query_id=run.query_id,
            version=run.plan.version,
            epoch=run.plan.epoch,
            services=len(services),
        )
        await self._send(run, services)

    async def _send(self, run, services, suspect=False):
        """Send the services' sub-requests to the best daemons, batched."""
        batches = {}
        for service in services:
            target = self._target(run, service)
            if target is None:
                if run.pending.get(service):
                    continue
                run.results[service] = SubResult(
                    service, ResultCode.PEER_LOST, not_run=not run.targets.get(service)
                )
                continue
            batches.setdefault(target, []).append(service)
        for target, names in batches.items():
            await self._send_batch(run, target, names, suspect)

    def _target(self, run, service):
        """Return the first ranked daemon that was not asked, or None."""
        asked = run.targets.setdefault(service, [])
        if len(asked) >= MAX_TARGETS:
            return None
        for instance in self._membership.view().ranked_instances(service):
            if instance not in asked:
                asked.append(instance)
                return instance
        if self._instance not in asked:
            asked.append(self._instance)
            return self._instance
        return None

    async def _send_batch(self, run, target, services, suspect):
        plan = run.plan
        avoid = sorted({name for lost in run.lost.values() for name in lost})
        batch = SubQueryBatch(
            query_id=run.query_id,
            workload=run.workload.name,
            version=plan.version,
            epoch=plan.epoch,
            remaining_ms=self._remaining_s(run) * 1000.0,
            items=[[service, plan.ranges(service)] for service in services],
            body=run.req.body,
            fingerprint=run.mark,
            suspect=suspect,
            avoid=avoid if suspect else [],
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
            await self._send(run, services, suspect)
            return
        run.calls[id(call)] = call
        for service in services:
            run.pending.setdefault(service, []).append(call)

    def _remaining_s(self, run):
        return run.deadline - self._clock.monotonic()

    # Collecting

    async def _collect(self, run):
        cfg = self._cfg()
        name = run.workload.name
        policy = coverage_policies.get(cfg.workload_setting(name, "coverage_policy"))
        limit_s = policy(cfg, name, self._remaining_s(run))
        async with curio.ignore_after(max(0.0, limit_s)) as limit:
            await self._send_all(run)
            await self._gather(run)
        # A message that was being sent at the limit may have left.
        run.uncertain = run.uncertain or limit.expired
        remaining_s = self._remaining_s(run)
        if run.pending and remaining_s > 0 and not self._has_result(run):
            # Without any result the query would fail at the soft deadline.
            async with curio.ignore_after(remaining_s):
                await self._gather(run, until_first=True)

    async def _gather(self, run, until_first=False):
        """Take replies until nothing is pending or there is a first result."""
        while not (until_first and self._has_result(run)):
            await self._release_held_back(run)
            if run.pending:
                call, reply = await run.inbox.get()
                await self._take(run, call, reply)
            elif not await self._replan_refused(run):
                return

    @staticmethod
    def _has_result(run):
        return any(result.ok for result in run.results.values())

    async def _take(self, run, call, reply):
        if isinstance(reply, SubAnswer):
            await self._take_answer(run, call, reply)
            return
        if isinstance(reply, ErrorReply):
            self._log.info("peer_refused", peer=call.instance, reason=reply.message)
        elif not isinstance(reply, PeerError):
            return
        if not reply.not_run:
            run.uncertain = True
        services = [name for name, calls in run.pending.items() if call in calls]
        if isinstance(reply, PeerSilentError):
            services = [name for name in services if self._may_hedge(run, name, reply)]
        else:
            services = [name for name in services if self._drop(run, name, call)]
        await self._reroute(run, services, ResultCode.PEER_LOST)

    def _may_hedge(self, run, service, silence):
        """Return whether a sub-request at a silent peer also goes to a standby.

        A lasting silence costs no budget: new calls avoid the peer as well.
        """
        if len(run.pending[service]) > 1:
            return False
        return silence.is_lasting or self._silence_hedges.spend()

    @staticmethod
    def _drop(run, service, call):
        """Forget a call of a service; returns whether it was the last one."""
        run.pending[service].remove(call)
        if run.pending[service]:
            return False
        del run.pending[service]
        return True

    async def _take_answer(self, run, call, reply):
        service = reply.service
        self._snapshots.update(service, reply.versions, reply.epochs)
        estimate = Estimate(reply.wait_ms / 1000.0, reply.service_ms / 1000.0)
        self._loads.report(run.workload.name, service, estimate)
        if call not in run.pending.get(service, ()):
            return
        run.sends += reply.attempts
        last = self._drop(run, service, call)
        if not last:
            if reply.code != ResultCode.OK:
                run.uncertain = run.uncertain or not reply.not_run
                return
            await self._cancel_others(run, service)
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
        await self._take_result(run, result)

    async def _cancel_others(self, run, service):
        """Cancel the calls that still run a service that is answered."""
        message = CancelQuery(query_id=run.query_id, services=[service])
        for call in run.pending.pop(service):
            await self._peers.send_if_open(call.instance, message)

    async def _take_result(self, run, result):
        plan = run.plan
        if result.ok and (result.version, result.epoch) == (plan.version, plan.epoch):
            run.results[result.service] = result
            if result.service in run.lost:
                self._quarantine.clear(run.mark)
        elif result.code == ResultCode.UPSTREAM_LOST:
            await self._note_loss(run, result)
        elif result.code in _OTHER_SNAPSHOT:
            await self._replan(run, result)
        elif result.code == ResultCode.DRAINING:
            await self._reroute(run, [result.service], result.code)
        else:
            run.results[result.service] = result

    async def _reroute(self, run, services, code):
        """Send services again to the next daemon in rank."""
        again = []
        for service in services:
            if self._remaining_s(run) > 0:
                again.append(service)
            elif not run.pending.get(service):
                run.results[service] = SubResult(service, code)
        if again:
            self._metrics.reroutes.add({}, len(again))
            await self._send(run, again)

    async def _replan_refused(self, run):
        """Plan again with what the last answers stated; returns whether it did.

        A refusal that arrives before them may find no snapshot in common.
        """
        replans = run.replans
        refused = [r for r in run.results.values() if r.code in _OTHER_SNAPSHOT]
        if not refused or replans >= MAX_REPLANS:
            return False
        await self._snapshots.refresh(run.workload, self._remaining_s(run))
        await self._replan(run, refused[0])
        return run.replans > replans

    async def _replan(self, run, result):
        """Choose another snapshot and ask all services again."""
        if run.replans >= MAX_REPLANS:
            run.results[result.service] = result
            return
        try:
            plan = self._snapshots.choose(run.workload)
        except RefusedError:
            run.results[result.service] = result
            return
        if (plan.version, plan.epoch) == (run.plan.version, run.plan.epoch):
            run.results[result.service] = result
            return
        run.replans += 1
        # Work that is abandoned here may have run under the earlier snapshot.
        run.uncertain = True
        self._log.info(
            "query_replanned",
            request_id=run.req.request_id,
            version=plan.version,
            epoch=plan.epoch,
        )
        await self._abandon(run)
        run.plan = plan
        run.inbox = curio.Queue()
        run.calls = {}
        run.pending = {}
        run.results = {}
        run.targets = {}
        run.query_id = f"{self._instance}.{next(self._ids)}"
        services = plan.shard_map.services()
        # Services that lost a server stay held back, so that the request reaches
        # them only in isolation; the new epoch may have dropped some of them.
        run.lost = {name: run.lost[name] for name in services if name in run.lost}
        await self._send(run, [name for name in services if name not in run.lost])

    # Lost servers

    async def _note_loss(self, run, result):
        """Hold the sub-request back after a server was lost under it."""
        run.uncertain = True
        servers = run.lost.setdefault(result.service, [])
        isolated = bool(servers)
        servers.append(result.server)
        convicted = self._quarantine.record_loss(run.mark, result.server, isolated)
        await curio.spawn(self.tell_peers, run.mark, daemon=True)
        if convicted or self._quarantine.remaining_s(run.mark) > 0:
            self._log.warning(
                "request_quarantined",
                request_id=run.req.request_id,
                fingerprint=run.mark,
                servers=",".join(
                    sorted({s for lost in run.lost.values() for s in lost})
                ),
            )
            for service in run.lost:
                run.results.setdefault(
                    service, SubResult(service, ResultCode.QUARANTINED)
                )

    async def tell_peers(self, mark):
        """Tell all daemons about servers that were lost under a request."""
        notice = QuarantineNotice(
            fingerprint=mark,
            remaining_ms=self._quarantine.remaining_s(mark) * 1000.0,
            servers=self._quarantine.evidence(mark),
        )
        for member in self._membership.view().live_entries():
            if member.instance == self._instance:
                continue
            try:
                await self._peers.send(member.instance, notice)
            except PeerError as exc:
                self._log.debug("notice_failed", peer=member.instance, reason=str(exc))

    async def _release_held_back(self, run):
        """Retry one lost sub-request alone; the others follow its success."""
        waiting = [
            name
            for name in run.lost
            if name not in run.results and name not in run.pending
        ]
        if not waiting or self._quarantine.remaining_s(run.mark) > 0:
            return
        probing = any(name in run.pending for name in run.lost)
        if probing:
            return
        proven = any(name in run.results for name in run.lost)
        chosen = waiting if proven else waiting[:1]
        for name in chosen:
            # The owner is not at fault; ask it again.
            run.targets[name] = []
        await self._send(run, chosen, suspect=True)

    # The end

    async def _abandon(self, run):
        """Close the calls and cancel work that is still under way."""
        waiting = {id(call) for calls in run.pending.values() for call in calls}
        for key, call in run.calls.items():
            call.close()
            if key not in waiting:
                continue
            await self._peers.send_if_open(
                call.instance, CancelQuery(query_id=run.query_id)
            )

    def _answer(self, run):
        for service in run.pending:
            run.results[service] = SubResult(service, ResultCode.DEADLINE_EXCEEDED)
        coverage = Coverage(run.plan.shard_map, run.results)
        usable = coverage.whole_services()
        answer = Answer(run.req.request_id, ResultCode.OK)
        answer.version = run.plan.version
        answer.epoch = run.plan.epoch
        answer.covered = coverage.covered
        answer.sends = run.sends
        answer.missing = [
            (name, self._missing_code(result)) for name, result in coverage.missing
        ]
        if coverage.complete:
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
        return ResultCode.SNAPSHOT_MISMATCH if result.ok else result.code

    def _fill_failure(self, answer, run):
        """Set code, "not run" and retry time when no shard is covered."""
        failed = list(run.results.values())
        answer.code = failed[0].code if failed else ResultCode.DEADLINE_EXCEEDED
        for result in failed:
            if result.code == ResultCode.QUARANTINED:
                answer.code = result.code
        answer.not_run = (
            not run.uncertain and bool(failed) and all(item.not_run for item in failed)
        )
        delays = [item.retry_after_ms for item in failed if item.retry_after_ms]
        answer.retry_after_ms = max(delays) if delays else None
        if answer.not_run and not delays:
            answer.retry_after_ms = DEFAULT_RETRY_AFTER_MS

    def _merge(self, run, services):
        name = self._cfg().workload_setting(run.workload.name, "merge")
        ordered = [run.results[service].payload for service in services]
        return merges.get(name)(ordered)
