"""Sub-requests of a query and their results."""

from .errors import ResultCode

__all__ = ["SubRequest", "SubResult"]


class SubRequest:
    """Part of a query, or an execution, that one service runs.

    ``deadline`` is in seconds on the monotonic clock of the process that holds
    the object. ``ranges`` is a list of ``[low, high]``. ``fingerprint`` identifies
    the caller's request in the quarantine. A request with ``is_suspect`` needs a
    server that runs no other suspect, and ``avoid`` lists servers that were lost
    while they ran it. ``execution_id`` is set for a non-idempotent request only.
    ``allowed_s`` is the time from the request's arrival to the deadline, 0.0 if it is
    not known.
    """

    __slots__ = (
        "allowed_s",
        "avoid",
        "body",
        "deadline",
        "epoch",
        "execution_id",
        "fingerprint",
        "is_suspect",
        "query_id",
        "ranges",
        "service",
        "version",
        "workload",
    )

    def __init__(
        self,
        query_id,
        workload,
        service,
        deadline,
        *,
        body=None,
        version=0,
        epoch=0,
        ranges=(),
        fingerprint="",
        is_suspect=False,
        avoid=(),
        execution_id=None,
        allowed_s=0.0,
    ):
        self.allowed_s = allowed_s
        self.query_id = query_id
        self.workload = workload
        self.service = service
        self.deadline = deadline
        self.body = body
        self.version = version
        self.epoch = epoch
        self.ranges = list(ranges)
        self.fingerprint = fingerprint
        self.is_suspect = is_suspect
        self.avoid = list(avoid)
        self.execution_id = execution_id

    @property
    def is_idempotent(self):
        """Whether the request may be sent to more than one server."""
        return self.execution_id is None


class SubResult:
    """Result of a ``SubRequest``.

    ``not_run`` is True only if no server has run the request. ``attempts``
    counts the exchanges that were started.
    """

    __slots__ = (
        "attempts",
        "code",
        "epoch",
        "not_run",
        "payload",
        "ranges",
        "retry_after_ms",
        "server",
        "service",
        "version",
    )

    def __init__(
        self,
        service,
        code,
        *,
        not_run=False,
        version=0,
        epoch=0,
        ranges=(),
        payload=None,
        server="",
        attempts=0,
        retry_after_ms=None,
    ):
        self.service = service
        self.code = ResultCode(code)
        self.not_run = not_run
        self.version = version
        self.epoch = epoch
        self.ranges = list(ranges)
        self.payload = payload
        self.server = server
        self.attempts = attempts
        self.retry_after_ms = retry_after_ms

    @property
    def is_ok(self):
        """Whether the payload holds the data of ``ranges``."""
        return self.code == ResultCode.OK
