"""Queries and revision requests of the naive version."""

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
_RETRY_ON_ANOTHER_SERVER = frozenset(
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


class _SubRequestState:
    """The failures and sends of one sub-request so far."""

    __slots__ = ("code", "may_have_run", "sends")

    def __init__(self):
        self.code = ResultCode.DEADLINE_EXCEEDED
        self.sends = 0
        # Whether a server may have run it although no answer came.
        self.may_have_run = False


class NaiveCoordinator:
    """Sends every sub-request at once to a random server of its service.

    After a failure it tries another random server, with a fixed pause, until the
    deadline. There is no owner, queue, admission control, hedging, retry budget or
    quarantine. Coverage is computed with the same code as in the product.
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
        # Single services may have a limit of their own. The smallest limit is safe
        # for all servers.
        cfg = self._cfg()
        limits = [cfg.service_setting(name, "connections") for name in cfg.services()]
        return max(1, min(limits) // daemons)

    async def query(self, req):
        """Return the ``Answer``; raises if nothing was sent to a server."""
        workload, deadline = self.resolve(req)
        self.running += 1
        try:
            await self._fetch_snapshots(workload, deadline)
            plan = self._catalog.choose_plan(workload)
            return await self._run_query(req, plan, deadline)
        finally:
            self.running -= 1

    def resolve(self, req):
        """Return (workload, deadline) of a request; raises ``BadRequestError``."""
        workload, deadline_ms = resolve_request(self._cfg(), req)
        return workload, self._clock.monotonic() + deadline_ms / 1000.0

    # Snapshots

    async def _fetch_snapshots(self, workload, deadline):
        """Ask a server of each service whose snapshots are not known yet."""
        for service in self._catalog.unreported(workload.services()):
            while self._clock.monotonic() < deadline:
                server = self.choose_server(service)
                if server is not None and await self._fetch_status(service, server):
                    break
                await curio.sleep(RETRY_PAUSE_S)

    async def _fetch_status(self, service, server):
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

    def choose_server(self, service):
        """Return a random server that is listed as live, or None."""
        live_servers = [
            member
            for member in self._membership.view().upstreams(service)
            if not member.is_leaving
        ]
        return self._rng.choice(live_servers) if live_servers else None

    # One query

    async def _run_query(self, req, plan, deadline):
        cfg = self._cfg()
        policy = coverage_policies.get(
            cfg.workload_setting(req.workload, "coverage_policy")
        )
        limit_s = policy(cfg, req.workload, deadline - self._clock.monotonic())
        query_id = f"{self._instance}.{next(self._ids)}"
        results = {}
        states = {service: _SubRequestState() for service in plan.shard_map.services()}
        async with (
            curio.ignore_after(max(0.0, limit_s)),
            curio.TaskGroup() as group,
        ):
            for service, state in states.items():
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
                await group.spawn(self._run_sub_request, sub, state, results)
        for service, state in states.items():
            if service not in results:
                results[service] = SubResult(
                    service, state.code, not_run=not state.may_have_run
                )
        return self._answer(req, plan, states, results)

    async def _run_sub_request(self, sub, state, results):
        while self._clock.monotonic() < sub.deadline:
            result = await self._send_once(sub, state)
            if result is not None:
                results[sub.service] = result
                return
            await curio.sleep(RETRY_PAUSE_S)

    async def _send_once(self, sub, state):
        """Send to one server; return a final ``SubResult`` or None."""
        server = self.choose_server(sub.service)
        if server is None:
            state.code = ResultCode.NO_SERVER
            return None
        try:
            reply = await self._search(sub, state, server)
        except UpstreamError as exc:
            state.code = exc.code
            return None
        self._catalog.update(sub.service, reply.versions, reply.epochs)
        if reply.code == ResultCode.OK:
            return _make_checked_result(sub, server, reply)
        state.code = reply.code
        state.may_have_run = state.may_have_run or not reply.not_run
        if reply.code in _RETRY_ON_ANOTHER_SERVER:
            return None
        return SubResult(sub.service, reply.code, not_run=reply.not_run)

    async def _search(self, sub, state, server):
        conn = await self._pool.acquire(server.address)
        remaining_s = sub.deadline - self._clock.monotonic()
        state.sends += 1
        state.code = ResultCode.DEADLINE_EXCEEDED
        self._metrics.sends.inc({"service": sub.service})
        request_id = f"{sub.query_id}.{sub.service}.{state.sends}"
        try:
            reply = await conn.search(request_id, remaining_s, sub)
        except BaseException as exc:
            # The response may still arrive, so the connection can't be reused.
            state.may_have_run = state.may_have_run or not getattr(
                exc, "not_run", False
            )
            await self._pool.discard(server.address, conn)
            raise
        await self._pool.release(server.address, conn)
        return reply

    def _answer(self, req, plan, states, results):
        coverage = Coverage(plan.shard_map, results)
        answer = Answer(req.request_id, ResultCode.OK)
        answer.version = plan.version
        answer.epoch = plan.epoch
        answer.covered = coverage.covered
        answer.missing = [
            (name, _missing_code(result)) for name, result in coverage.missing
        ]
        answer.sends = sum(state.sends for state in states.values())
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


def _make_checked_result(sub, server, reply):
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
    reply_snapshot = (result.version, result.epoch, result.ranges)
    if reply_snapshot != (sub.version, sub.epoch, sub.ranges):
        result.code = ResultCode.SNAPSHOT_MISMATCH
        result.payload = None
    return result


def _missing_code(result):
    if result is None:
        return ResultCode.DEADLINE_EXCEEDED
    return ResultCode.SNAPSHOT_MISMATCH if result.is_ok else result.code


class NaiveExecutions:
    """Sends a revision request to random servers until one of them answers.

    It does not remember execution ids, so a request that a caller sends again runs
    again. A check of "at most once" must detect this.
    """

    __slots__ = ("_clock", "_coordinator", "_upstreams")

    def __init__(self, coordinator, upstreams, clock):
        self._coordinator = coordinator
        self._upstreams = upstreams
        self._clock = clock

    def prefix(self):
        """Return a constant prefix for execution ids."""
        return "naive~0~0"

    def is_known_not_run(self, execution_id):
        """Return False, because earlier attempts are not remembered."""
        return False

    async def revise(self, req):
        """Return the ``Outcome`` of ``req``.

        Raises ``BadRequestError``, ``ExecutionError`` if a server may have run it,
        and ``RefusedError`` if none did.
        """
        workload, deadline = self._coordinator.resolve(req)
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
        return await self._send_until_answered(sub)

    async def _send_until_answered(self, sub):
        may_have_run = False
        while self._clock.monotonic() < sub.deadline:
            try:
                return await self._send_once(sub)
            except AlmondtideError as exc:
                may_have_run = may_have_run or not exc.not_run
            await curio.sleep(RETRY_PAUSE_S)
        if may_have_run:
            raise ExecutionError("no server answered in time")
        raise RefusedError("no server took the request in time")

    async def _send_once(self, sub):
        server = self._coordinator.choose_server(sub.service)
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
