"""Non-idempotent requests: execution ids and at-most-once execution.

The home of an execution id is the incarnation of the daemon that issued its prefix.
Only the home dispatches the execution, and it stores the outcome for retries.
"""

import re

import curio

from .errors import (
    AlmondtideError,
    BadRequestError,
    ExecutionError,
    PeerError,
    RefusedError,
    ResultCode,
)
from .messages import (
    ErrorReply,
    Execute,
    ExecuteResult,
    ForwardRevise,
    PrefixReply,
    PrefixRequest,
)
from .quarantine import request_fingerprint
from .queries import resolve_request

__all__ = ["ExecutionId", "Executions", "Outcome", "ReviseRequest"]

ID_WINDOW_S = 60.0
MAX_RECORDS = 100_000
MAX_SUFFIX_LENGTH = 64
SEPARATOR = "~"
# The id is sent to the upstream in a header, so it is ASCII without spaces. The window
# has no leading zeros, so that no two texts denote the same execution.
_EXECUTION_ID = re.compile(
    r"([A-Za-z0-9._-]+)~([A-Za-z0-9]+)~(0|[1-9][0-9]{0,8})~"
    rf"([!-}}]{{1,{MAX_SUFFIX_LENGTH}}})"
)
# Extra time for the reply of the home or the owner to arrive.
REPLY_MARGIN_S = 0.1
PREFIX_TIMEOUT_S = 0.5


# Codes with which a daemon refuses an execution that the next in rank may accept.
_TRY_NEXT_OWNER = frozenset({ResultCode.DRAINING, ResultCode.NOT_READY})


class ExecutionId:
    """Id of one non-idempotent request, bound to one incarnation of a daemon.

    The text form is ``instance~incarnation~window~suffix``. ``window`` is the number
    of minutes from the start of the incarnation until the prefix was issued;
    ``suffix`` is chosen by the caller.

    >>> ExecutionId.parse("lautoka-1~8c1f~0~order-17").suffix
    'order-17'
    """

    __slots__ = ("incarnation", "instance", "suffix", "window")

    def __init__(self, instance, incarnation, window, suffix):
        self.instance = instance
        self.incarnation = incarnation
        self.window = window
        self.suffix = suffix

    def __str__(self):
        parts = (self.instance, self.incarnation, str(self.window), self.suffix)
        return SEPARATOR.join(parts)

    @classmethod
    def parse(cls, text):
        """Return the parsed id; raises ``BadRequestError``."""
        match = _EXECUTION_ID.fullmatch(text or "")
        if match is None:
            raise BadRequestError(
                "the execution id must be a prefix from /v1/entries, '~' and a suffix "
                f"of 1 to {MAX_SUFFIX_LENGTH} ASCII characters without spaces",
                ResultCode.EXECUTION_ID_INVALID,
            )
        instance, incarnation, window, suffix = match.groups()
        return cls(instance, incarnation, int(window), suffix)


class ReviseRequest:
    """A caller's non-idempotent request."""

    __slots__ = ("body", "deadline_ms", "execution_id", "request_id", "workload")

    def __init__(self, request_id, workload, execution_id, body, deadline_ms=None):
        self.request_id = request_id
        self.workload = workload
        self.execution_id = execution_id
        self.body = body
        self.deadline_ms = deadline_ms


class Outcome:
    """Outcome of an execution; ``not_run`` is True only if it never ran."""

    __slots__ = ("code", "message", "not_run", "payload", "retry_after_ms", "server")

    def __init__(
        self,
        code,
        *,
        not_run=False,
        message="",
        payload=None,
        server="",
        retry_after_ms=None,
    ):
        self.code = ResultCode(code)
        self.not_run = not_run
        self.message = message
        self.payload = payload
        self.server = server
        self.retry_after_ms = retry_after_ms

    @classmethod
    def from_message(cls, reply):
        """Build the outcome from an ``ExecuteResult`` or an ``ErrorReply``."""
        if isinstance(reply, ErrorReply):
            return cls(
                reply.code,
                not_run=reply.not_run,
                message=reply.message,
                retry_after_ms=reply.retry_after_ms,
            )
        return cls(
            reply.code,
            not_run=reply.not_run,
            message=reply.message,
            payload=reply.payload,
            server=reply.server,
            retry_after_ms=reply.retry_after_ms,
        )

    def to_message(self):
        """Return the ``ExecuteResult`` for a peer."""
        return ExecuteResult(
            code=int(self.code),
            not_run=self.not_run,
            message=self.message,
            payload=self.payload,
            server=self.server,
            retry_after_ms=self.retry_after_ms,
        )

    def to_dict(self, request_id, execution_id):
        """Return the JSON body of the response to the caller."""
        return {
            "request_id": request_id,
            "execution_id": execution_id,
            "code": int(self.code),
            "name": self.code.name,
            "message": self.message,
            "not_run": self.not_run,
            "retry_after_ms": self.retry_after_ms,
            "result": self.payload,
        }


class _Record:
    """An execution at its home: in progress, or ended with an outcome."""

    __slots__ = ("ended", "fingerprint", "outcome", "window")

    def __init__(self, window, fingerprint):
        self.window = window
        self.fingerprint = fingerprint
        self.ended = curio.Event()
        self.outcome = None


class Executions:
    """Runs each execution at most once.

    Any daemon accepts a request and forwards it to the home of its id, the daemon
    incarnation that the id names. Only the home dispatches the request. It sends it
    to another owner only if the first one is known not to have run it. If the
    incarnation no longer exists, the outcome is unknown and the request is not run
    again.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_log",
        "_membership",
        "_metrics",
        "_notify_peers",
        "_peers",
        "_quarantine",
        "_records",
        "_started_at",
        "incarnation",
        "instance",
        "running_count",
    )

    def __init__(
        self,
        instance,
        incarnation,
        cfg,
        membership,
        peers,
        quarantine,
        notify_peers,
        clock,
        log,
        metrics,
    ):
        self.instance = instance
        self.incarnation = incarnation
        self._cfg = cfg
        self._membership = membership
        self._peers = peers
        self._quarantine = quarantine
        self._notify_peers = notify_peers
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._records = {}
        self._started_at = clock.monotonic()
        self.running_count = 0
        peers.register(ForwardRevise, self._handle_forward)
        peers.register(PrefixRequest, self._handle_prefix)

    @property
    def record_count(self):
        """Number of executions that are stored here."""
        return len(self._records)

    def window(self):
        """Return the current window: the age of this incarnation in minutes."""
        return int((self._clock.monotonic() - self._started_at) / ID_WINDOW_S)

    def prefix(self):
        """Return the prefix for new execution ids."""
        return SEPARATOR.join((self.instance, self.incarnation, str(self.window())))

    async def _handle_prefix(self, sender, message, reply):
        await reply(PrefixReply(prefix=self.prefix()))

    async def fetch_peer_prefix(self):
        """Return the prefix of another daemon, or None if none answers.

        A daemon that is leaving gives out prefixes of other daemons, because ids
        with its own prefix would soon have no home.
        """
        for member in self._membership.view().live_entries():
            if member.instance == self.instance:
                continue
            try:
                reply = await self._peers.request(
                    member.instance, PrefixRequest(), PREFIX_TIMEOUT_S
                )
            except PeerError:
                continue
            if isinstance(reply, PrefixReply):
                return reply.prefix
        return None

    def is_known_not_run(self, text):
        """Return whether it is certain that no request with this id was run.

        Only the home of an id knows this, as long as it stores the outcome. A request
        with an invalid id is never run.
        """
        try:
            execution_id = ExecutionId.parse(text)
            self._check_window(execution_id)
        except BadRequestError:
            return True
        except AlmondtideError:
            return False
        home = (execution_id.instance, execution_id.incarnation)
        is_home = home == (self.instance, self.incarnation)
        return is_home and str(execution_id) not in self._records

    # On the daemon that received the request

    async def revise(self, req):
        """Return the ``Outcome`` of ``req``.

        Raises ``BadRequestError`` or ``RefusedError`` when it was not run.
        """
        execution_id = ExecutionId.parse(req.execution_id)
        workload, deadline_ms = resolve_request(self._cfg(), req)
        deadline = self._clock.monotonic() + deadline_ms / 1000.0
        self._find_shard(workload, req.body)
        home = (execution_id.instance, execution_id.incarnation)
        if home == (self.instance, self.incarnation):
            return await self._run_at_home(execution_id, req, deadline, deadline_ms)
        return await self._forward(execution_id, req, deadline, deadline_ms)

    def _workload(self, name):
        workload = self._cfg().workloads.get(name)
        if workload is None:
            raise BadRequestError(
                f"unknown workload {name!r}", ResultCode.UNKNOWN_WORKLOAD
            )
        return workload

    @staticmethod
    def _find_shard(workload, body):
        key = body.get("key") if isinstance(body, dict) else None
        if not isinstance(key, int) or isinstance(key, bool):
            raise BadRequestError("the body must be an object with an integer 'key'")
        shard_map = workload.shard_maps[max(workload.shard_maps)]
        try:
            return shard_map.find(key)
        except KeyError:
            raise BadRequestError(f"key {key} is outside the key space") from None

    async def _forward(self, execution_id, req, deadline, allowed_ms):
        remaining_s = deadline - self._clock.monotonic()
        message = ForwardRevise(
            workload=req.workload,
            execution_id=str(execution_id),
            request_id=req.request_id,
            remaining_ms=remaining_s * 1000.0,
            allowed_ms=allowed_ms,
            body=req.body,
        )
        # Only the home can compare the incarnation: the one known here may be
        # outdated by a restart.
        try:
            reply = await self._peers.request(
                execution_id.instance, message, remaining_s + REPLY_MARGIN_S
            )
        except PeerError as exc:
            # An earlier request with this id may have reached the home, so ``not_run``
            # stays False.
            return self._unknown_outcome(f"the home cannot be reached: {exc.message}")
        outcome = Outcome.from_message(reply)
        if isinstance(reply, ErrorReply):
            # The home refused before it looked for an earlier request with this id.
            outcome.not_run = False
        return outcome

    def _unknown_outcome(self, message):
        self._metrics.unknown_outcomes.inc({})
        return Outcome(ResultCode.OUTCOME_UNKNOWN, message=message)

    # At the home

    async def _handle_forward(self, sender, message, reply):
        deadline = self._clock.monotonic() + message.remaining_ms / 1000.0
        await curio.spawn(self._serve_forward, message, deadline, reply, daemon=True)

    async def _serve_forward(self, message, deadline, reply):
        self.running_count += 1
        try:
            await self._answer_forward(message, deadline, reply)
        finally:
            self.running_count -= 1

    async def _answer_forward(self, message, deadline, reply):
        try:
            outcome = await self._run_forwarded(message, deadline)
        except AlmondtideError as exc:
            outcome = Outcome(
                exc.code,
                not_run=exc.not_run,
                message=exc.message,
                retry_after_ms=exc.retry_after_ms,
            )
        await reply(outcome.to_message())

    async def _run_forwarded(self, message, deadline):
        execution_id = ExecutionId.parse(message.execution_id)
        if (execution_id.instance, execution_id.incarnation) != (
            self.instance,
            self.incarnation,
        ):
            return self._unknown_outcome("the home of the execution id was restarted")
        req = ReviseRequest(
            message.request_id, message.workload, message.execution_id, message.body
        )
        return await self._run_at_home(execution_id, req, deadline, message.allowed_ms)

    async def _run_at_home(self, execution_id, req, deadline, allowed_ms):
        fingerprint = request_fingerprint(req.workload, "revise", req.body)
        record = self._records.get(str(execution_id))
        if record is not None:
            return await self._wait_for_outcome(record, fingerprint, deadline)
        self._check_window(execution_id)
        self._quarantine.raise_if_quarantined(fingerprint)
        self._drop_expired_records()
        if len(self._records) >= MAX_RECORDS:
            raise RefusedError("too many executions are stored")
        record = _Record(execution_id.window, fingerprint)
        self._records[str(execution_id)] = record
        # The execution continues if the caller or the daemon that received the request
        # disconnects, so that its outcome is stored.
        await curio.spawn(
            self._execute,
            str(execution_id),
            record,
            req,
            deadline,
            allowed_ms,
            daemon=True,
        )
        return await self._wait_for_outcome(record, fingerprint, deadline)

    async def _wait_for_outcome(self, record, fingerprint, deadline):
        if record.fingerprint != fingerprint:
            raise ExecutionError(
                "the execution id was used for another request",
                ResultCode.EXECUTION_CONFLICT,
                not_run=True,
            )
        remaining_s = max(0.0, deadline - self._clock.monotonic())
        async with curio.ignore_after(remaining_s):
            await record.ended.wait()
        if record.outcome is None:
            return self._unknown_outcome("the execution is still running")
        return record.outcome

    def _check_window(self, execution_id):
        age_s = (self.window() - execution_id.window) * ID_WINDOW_S
        if age_s < 0:
            raise BadRequestError(
                "the execution id is from the future", ResultCode.EXECUTION_ID_INVALID
            )
        if age_s > self._cfg().fleet_setting("outcome_retention_s"):
            # Its outcome may have been dropped, so it may have run.
            raise ExecutionError(
                "the execution id is too old", ResultCode.EXECUTION_EXPIRED
            )

    def _drop_expired_records(self):
        """Drop outcomes of ids that are refused because their window is too old."""
        retention_s = self._cfg().fleet_setting("outcome_retention_s")
        oldest_window = self.window() - int(retention_s / ID_WINDOW_S) - 1
        while self._records:
            id_text = next(iter(self._records))
            record = self._records[id_text]
            if record.window >= oldest_window or record.outcome is None:
                return
            del self._records[id_text]

    async def _execute(self, id_text, record, req, deadline, allowed_ms):
        self.running_count += 1
        try:
            await self._execute_and_record(id_text, record, req, deadline, allowed_ms)
        finally:
            self.running_count -= 1

    async def _execute_and_record(self, id_text, record, req, deadline, allowed_ms):
        try:
            outcome = await self._dispatch(
                id_text, record.fingerprint, req, deadline, allowed_ms
            )
        except AlmondtideError as exc:
            outcome = Outcome(
                exc.code,
                not_run=exc.not_run,
                message=exc.message,
                retry_after_ms=exc.retry_after_ms,
            )
        except Exception as exc:
            self._log.error("execution_failed", execution_id=id_text, error=repr(exc))
            outcome = self._unknown_outcome("internal error")
        record.outcome = outcome
        if outcome.not_run:
            # It never ran, so another request with the same id may run.
            self._records.pop(id_text, None)
        await record.ended.set()
        self._log.info(
            "execution_ended",
            execution_id=id_text,
            request_id=req.request_id,
            code=int(outcome.code),
            not_run=outcome.not_run,
        )

    async def _dispatch(self, id_text, fingerprint, req, deadline, allowed_ms):
        shard = self._find_shard(self._workload(req.workload), req.body)
        tried_count = 0
        for target in self._membership.view().ranked_instances(shard.service):
            tried_count += 1
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0:
                raise RefusedError(
                    "the deadline passed before dispatch", ResultCode.DEADLINE_EXCEEDED
                )
            message = Execute(
                workload=req.workload,
                service=shard.service,
                execution_id=id_text,
                remaining_ms=remaining_s * 1000.0,
                allowed_ms=allowed_ms,
                fingerprint=fingerprint,
                suspect=self._quarantine.is_suspect(fingerprint),
                avoid=self._quarantine.lost_servers(fingerprint),
                body=req.body,
            )
            try:
                reply = await self._peers.request(
                    target, message, remaining_s + REPLY_MARGIN_S
                )
            except PeerError as exc:
                if exc.not_run:
                    continue
                return self._unknown_outcome(f"the owner was lost: {exc.message}")
            outcome = Outcome.from_message(reply)
            if outcome.not_run and outcome.code in _TRY_NEXT_OWNER:
                continue
            return await self._outcome_of_reply(outcome, message)
        raise RefusedError(
            f"none of {tried_count} instances could be reached", ResultCode.PEER_LOST
        )

    async def _outcome_of_reply(self, outcome, message):
        """Return the outcome for the caller, after recording a lost server."""
        if outcome.code == ResultCode.UPSTREAM_LOST:
            self._quarantine.record_loss(
                message.fingerprint, outcome.server, message.suspect
            )
            await curio.spawn(self._notify_peers, message.fingerprint, daemon=True)
        if outcome.code == ResultCode.OK or outcome.not_run:
            return outcome
        return self._unknown_outcome(
            f"{outcome.code.name}: the upstream may have run it"
        )
