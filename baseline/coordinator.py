"""Queries and revisions of the naive version."""

import itertools
import random

import curio

from almondtide.coordinator import coverage_policies
from almondtide.errors import (
    AlmondtideError,
    BadRequestError,
    ExecutionError,
    RefusedError,
    ResultCode,
    UpstreamError,
)
from almondtide.executions import Outcome
from almondtide.merging import Coverage, merges
from almondtide.planning import SnapshotCatalog
from almondtide.queries import Answer, resolve_request
from almondtide.subrequests import SubRequest, SubResult

from .pool import ConnectionPool

__all__ = ["NaiveCoordinator", "NaiveExecutions"]

RETRY_PAUSE_S = 0.01

# Failures of one server after which another server is tried.
_TRY_ANOTHER = frozenset(
    {
        ResultCode.UPSTREAM_SHED,
        ResultCode.UPSTREAM_DRAINING,
        ResultCode.UPSTREAM_LOST,
        ResultCode.UPSTREAM_UNREACHABLE,
        ResultCode.UPSTREAM_ERROR,
        ResultCode.BAD_RESPONSE,
        ResultCode.SNAPSHOT_UNAVAILABLE,
        ResultCode.NO_SERVER,
    }
)


class _Part:
    """State of one sub-request: failures so far."""

    __slots__ = ("code", "sends", "uncertain")

    def __init__(self):
        self.code = ResultCode.DEADLINE_EXCEEDED
        self.sends = 0
        # Whether a server may have run it without an answer.
        self.uncertain = False


class NaiveCoordinator:
    """Sends every sub-request at once to a random server of its service.

    After a shed or a lost connection another random server is tried, after a
    fixed pause, until the deadline. There is no owner, queue, admission, hedge,
    retry budget or quarantine. Coverage is computed as in the tier itself.
    """

    __slots__ = (
        "_catalog",
        "_cfg",
        "_clock",
        "_ids",
        "_instance",
        "_log",
        "_membership",
        "_metrics",
        "_pool",
        "_rng",
        "running",
    )

    def __init__(
        self, instance, cfg, membership, upstreams, clock, log, metrics, seed=None
    ):
        self._instance = instance
        self._cfg = cfg
        self._membership = membership
        self._pool = ConnectionPool(upstreams, self._connection_limit)
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._catalog = SnapshotCatalog()
        self._rng = random.Random(seed)
        self._ids = itertools.count(1)
        self.running = 0

    def _connection_limit(self):
        """Return this daemon's share of the connections to one server."""
        daemons = max(1, len(self._membership.view().entries))
        # Services with another limit are exceptions; the smallest one is safe.
        cfg = self._cfg()
        limits = [cfg.service_setting(name, "connections") for name in cfg.services()]
        return max(1, min(limits) // daemons)

    async def query(self, req):
        """Return the ``Answer``; raises when nothing was sent to a server."""
        workload, deadline = self.admit(req)
        self.running += 1
        try:
            await self._learn_snapshots(workload, deadline)
            plan = self._catalog.choose_plan(workload)
            return await self._run(req, plan, deadline)
        finally:
            self.running -= 1

    def admit(self, req):
        """Return (workload, deadline); raises ``BadRequestError``."""
        workload, deadline_ms = resolve_request(self._cfg(), req)
        return workload, self._clock.monotonic() + deadline_ms / 1000.0

    # Snapshots

    async def _learn_snapshots(self, workload, deadline):
        """Ask one server of each service that has made no statement so far."""
        for service in self._catalog.unreported(workload.services()):
            while self._clock.monotonic() < deadline:
                server = self.pick(service)
                if server is not None and await self._ask_status(service, server):
                    break
                await curio.sleep(RETRY_PAUSE_S)

    async def _ask_status(self, service, server):
        try:
            conn = await self._pool.acquire(server.address)
        except UpstreamError:
            return False
        try:
            reply = await conn.status()
        except (UpstreamError, curio.TaskTimeout):
            await self._pool.discard(server.address, conn)
            return False
        except curio.CancelledError:
            await self._pool.discard(server.address, conn)
            raise
        await self._pool.release(server.address, conn)
        self._catalog.update(service, reply.versions, reply.epochs)
        return True

    def pick(self, service):
        """Return a random server that is listed as live, or None."""
        live = [
            member
            for member in self._membership.view().upstreams(service)
            if not member.is_leaving
        ]
        return self._rng.choice(live) if live else None

    # One query

    async def _run(self, req, plan, deadline):
        cfg = self._cfg()
        policy = coverage_policies.get(
            cfg.workload_setting(req.workload, "coverage_policy")
        )
        limit_s = policy(cfg, req.workload, deadline - self._clock.monotonic())
        query_id = f"{self._instance}.{next(self._ids)}"
        results = {}
        parts = {service: _Part() for service in plan.shard_map.services()}
        async with (
            curio.ignore_after(max(0.0, limit_s)),
            curio.TaskGroup() as group,
        ):
            for service, part in parts.items():
                sub = SubRequest(
                    query_id,
                    req.workload,
                    service,
                    deadline,
                    body=req.body,
                    version=plan.version,
                    epoch=plan.epoch,
                    ranges=plan.ranges(service),
                )
                await group.spawn(self._run_part, sub, part, results)
        for service, part in parts.items():
            if service not in results:
                results[service] = SubResult(
                    service, part.code, not_run=not part.uncertain
                )
        return self._answer(req, plan, parts, results)

    async def _run_part(self, sub, part, results):
        while self._clock.monotonic() < sub.deadline:
            result = await self._try_once(sub, part)
            if result is not None:
                results[sub.service] = result
                return
            await curio.sleep(RETRY_PAUSE_S)

    async def _try_once(self, sub, part):
        """Send to one server; return a final ``SubResult`` or None."""
        server = self.pick(sub.service)
        if server is None:
            part.code = ResultCode.NO_SERVER
            return None
        try:
            reply = await self._exchange(sub, part, server)
        except UpstreamError as exc:
            part.code = exc.code
            return None
        self._catalog.update(sub.service, reply.versions, reply.epochs)
        if reply.code == ResultCode.OK:
            return _checked_result(sub, server, reply)
        part.code = reply.code
        part.uncertain = part.uncertain or not reply.not_run
        if reply.code in _TRY_ANOTHER:
            return None
        return SubResult(sub.service, reply.code, not_run=reply.not_run)

    async def _exchange(self, sub, part, server):
        conn = await self._pool.acquire(server.address)
        remaining_s = sub.deadline - self._clock.monotonic()
        part.sends += 1
        part.code = ResultCode.DEADLINE_EXCEEDED
        self._metrics.sends.inc({"service": sub.service})
        request_id = f"{sub.query_id}.{sub.service}.{part.sends}"
        try:
            reply = await conn.search(request_id, remaining_s, sub)
        except BaseException as exc:
            # The response may still be on its way, so the connection cannot be
            # used for another exchange.
            part.uncertain = part.uncertain or not getattr(exc, "not_run", False)
            await self._pool.discard(server.address, conn)
            raise
        await self._pool.release(server.address, conn)
        return reply

    def _answer(self, req, plan, parts, results):
        coverage = Coverage(plan.shard_map, results)
        answer = Answer(req.request_id, ResultCode.OK)
        answer.version = plan.version
        answer.epoch = plan.epoch
        answer.covered = coverage.covered
        answer.missing = [
            (name, _missing_code(result)) for name, result in coverage.missing
        ]
        answer.sends = sum(part.sends for part in parts.values())
        if coverage.covered:
            if not coverage.is_complete:
                answer.code = ResultCode.PARTIAL
            merge = merges.get(self._cfg().workload_setting(req.workload, "merge"))
            answer.result = merge(
                [
                    results[service].payload
                    for service in coverage.fully_covered_services()
                ]
            )
            return answer
        answer.code = next(iter(results.values())).code
        answer.not_run = all(result.not_run for result in results.values())
        return answer


def _checked_result(sub, server, reply):
    body = reply.body
    result = SubResult(
        sub.service,
        ResultCode.OK,
        version=body.get("index_version"),
        epoch=body.get("epoch"),
        ranges=body.get("ranges"),
        payload=body.get("rows"),
        server=server.instance,
    )
    stated = (result.version, result.epoch, result.ranges)
    if stated != (sub.version, sub.epoch, sub.ranges):
        result.code = ResultCode.SNAPSHOT_MISMATCH
        result.payload = None
    return result


def _missing_code(result):
    if result is None:
        return ResultCode.DEADLINE_EXCEEDED
    return ResultCode.SNAPSHOT_MISMATCH if result.is_ok else result.code


class NaiveExecutions:
    """Sends a revision to random servers until one of them answers.

    Nothing is remembered, so a caller's resend runs again. This is what a proof
    of "at most once" must find.
    """

    __slots__ = ("_clock", "_coordinator", "_upstreams")

    def __init__(self, coordinator, upstreams, clock):
        self._coordinator = coordinator
        self._upstreams = upstreams
        self._clock = clock

    def prefix(self):
        """Return a prefix for execution ids; it has no meaning here."""
        return "naive~0~0"

    def is_known_not_run(self, execution_id):
        """Return False: nothing is known of earlier tries."""
        return False

    async def revise(self, req):
        """Return the ``Outcome`` of ``req``."""
        workload, deadline = self._coordinator.admit(req)
        if not req.execution_id:
            raise BadRequestError(
                "almondtide-execution-id is required", ResultCode.EXECUTION_ID_INVALID
            )
        key = req.body.get("key") if isinstance(req.body, dict) else None
        if not isinstance(key, int) or isinstance(key, bool):
            raise BadRequestError("the body must be an object with an integer 'key'")
        try:
            shard = workload.shard_maps[max(workload.shard_maps)].find(key)
        except KeyError:
            raise BadRequestError(f"key {key} is outside the key space") from None
        sub = SubRequest(
            "",
            req.workload,
            shard.service,
            deadline,
            body=req.body,
            execution_id=req.execution_id,
        )
        return await self._send(sub)

    async def _send(self, sub):
        uncertain = False
        while self._clock.monotonic() < sub.deadline:
            try:
                return await self._try_once(sub)
            except AlmondtideError as exc:
                uncertain = uncertain or not exc.not_run
            await curio.sleep(RETRY_PAUSE_S)
        if uncertain:
            raise ExecutionError("no server answered in time")
        raise RefusedError("no server took the request in time")

    async def _try_once(self, sub):
        server = self._coordinator.pick(sub.service)
        if server is None:
            raise RefusedError("no server is listed", ResultCode.NO_SERVER)
        remaining_s = sub.deadline - self._clock.monotonic()
        conn = await self._upstreams.connect(server.address, remaining_s)
        try:
            async with curio.timeout_after(remaining_s):
                reply = await conn.revise(remaining_s, sub, lambda: None)
        except curio.TaskTimeout as exc:
            raise UpstreamError("no response", ResultCode.UPSTREAM_TIMEOUT) from exc
        finally:
            await conn.close()
        if reply.code != ResultCode.OK:
            raise UpstreamError("refused", reply.code, not_run=reply.not_run)
        return Outcome(ResultCode.OK, payload=reply.body, server=server.instance)
