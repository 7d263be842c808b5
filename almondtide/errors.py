"""Numbered result codes and the exceptions that carry them."""

import enum

from .promises import may_state

__all__ = [
    "DEFAULT_RETRY_AFTER_MS",
    "AlmondtideError",
    "BadRequestError",
    "ClientError",
    "ConfigurationError",
    "DocumentError",
    "ExecutionError",
    "FramingError",
    "PeerError",
    "PeerSilentError",
    "PlatformError",
    "RefusedError",
    "ResultCode",
    "SettingsError",
    "UpstreamError",
    "exit_status",
    "http_status",
]


# When a caller may retry after a refusal without an estimate of the waiting time.
DEFAULT_RETRY_AFTER_MS = 100


class ResultCode(enum.IntEnum):
    """Outcome of a request, a sub-request or an operation.

    The hundreds digit is the family: 0 answers, 1 bad requests, 2 refusals by
    almondtide, 3 upstream failures, 4 non-idempotent execution, 5 peers, 6
    configuration and platform, 7 the command line, 9 internal.
    ``docs/result-codes.md`` lists the codes.
    """

    OK = 0
    PARTIAL = 1
    BAD_REQUEST = 100
    UNKNOWN_WORKLOAD = 101
    BODY_TOO_LARGE = 102
    HEADERS_TOO_LARGE = 103
    DEADLINE_EXCEEDED = 104
    UNAUTHORIZED = 105
    NOT_FOUND = 106
    METHOD_NOT_ALLOWED = 107
    REQUEST_TIMEOUT = 108
    OVERLOADED = 200
    DRAINING = 201
    NOT_READY = 202
    QUARANTINED = 203
    RETRY_BUDGET_EXHAUSTED = 204
    UPSTREAM_SHED = 300
    UPSTREAM_LOST = 301
    UPSTREAM_UNREACHABLE = 302
    UPSTREAM_TIMEOUT = 303
    SNAPSHOT_UNAVAILABLE = 304
    SNAPSHOT_MISMATCH = 305
    UPSTREAM_ERROR = 306
    CANCELLED = 307
    NO_SERVER = 308
    UPSTREAM_DRAINING = 309
    BAD_RESPONSE = 310
    STATUS_WITHHELD = 311
    OUTCOME_UNKNOWN = 400
    EXECUTION_ID_INVALID = 401
    EXECUTION_EXPIRED = 402
    EXECUTION_CONFLICT = 403
    EXECUTION_FAILED = 404
    PEER_LOST = 500
    PEER_SUSPECT = 501
    PEER_PROTOCOL = 502
    MESSAGE_TOO_LARGE = 503
    CONFIGURATION_INVALID = 600
    SETTINGS_INVALID = 601
    PLATFORM_UNAVAILABLE = 602
    DOCUMENT_MISMATCH = 603
    NO_ANSWER = 700
    CONNECTION_LOST = 701
    WAIT_TIMEOUT = 702
    DISAGREEMENT = 703
    INTERNAL = 900


_HTTP_STATUS = {
    ResultCode.OK: 200,
    ResultCode.PARTIAL: 200,
    ResultCode.BAD_REQUEST: 400,
    ResultCode.UNKNOWN_WORKLOAD: 404,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.HEADERS_TOO_LARGE: 431,
    ResultCode.DEADLINE_EXCEEDED: 504,
    ResultCode.UNAUTHORIZED: 401,
    ResultCode.NOT_FOUND: 404,
    ResultCode.METHOD_NOT_ALLOWED: 405,
    ResultCode.REQUEST_TIMEOUT: 408,
    ResultCode.OVERLOADED: 503,
    ResultCode.DRAINING: 503,
    ResultCode.NOT_READY: 503,
    ResultCode.QUARANTINED: 422,
    ResultCode.CANCELLED: 499,
    ResultCode.OUTCOME_UNKNOWN: 504,
    ResultCode.EXECUTION_ID_INVALID: 400,
    ResultCode.EXECUTION_EXPIRED: 409,
    ResultCode.EXECUTION_CONFLICT: 409,
    ResultCode.CONFIGURATION_INVALID: 422,
    ResultCode.INTERNAL: 500,
}

_DEFAULT_HTTP_STATUS = 502


def http_status(code, is_idempotent=True, not_run=False):
    """Return the HTTP status of a response with ``code``.

    A request that may run once only, and that may have run, gets no status that
    promises the opposite.

    >>> [http_status(ResultCode.NOT_READY, False, flag) for flag in (True, False)]
    [503, 502]
    """
    status = _HTTP_STATUS.get(code, _DEFAULT_HTTP_STATUS)
    return status if may_state(status, is_idempotent, not_run) else _DEFAULT_HTTP_STATUS


def exit_status(code):
    """Return the process exit status of the command line for ``code``.

    0 is a full answer, 3 a partial one. Failures map to 10 plus the family, so that a
    refusal (2xx) exits with 12. 2 is left for usage errors.
    """
    if code == ResultCode.OK:
        return 0
    if code == ResultCode.PARTIAL:
        return 3
    return 10 + int(code) // 100


class AlmondtideError(Exception):
    """Base of all errors of almondtide.

    ``code`` is the result code. ``not_run`` is True only when no upstream has run or
    will run the request. ``retry_after_ms`` is the time after which the caller may
    retry, in milliseconds, or None.
    """

    code = ResultCode.INTERNAL

    def __init__(self, message, code=None, *, not_run=False, retry_after_ms=None):
        super().__init__(message)
        if code is not None:
            self.code = code
        self.not_run = not_run
        self.retry_after_ms = retry_after_ms

    @property
    def message(self):
        """The human-readable part of the error."""
        return self.args[0]


class BadRequestError(AlmondtideError):
    """The request is malformed; it was not run."""

    code = ResultCode.BAD_REQUEST

    def __init__(self, message, code=None):
        super().__init__(message, code, not_run=True)


class FramingError(BadRequestError):
    """A message is none by HTTP, or costs too much to read in its small parts."""


class RefusedError(AlmondtideError):
    """The request was refused before any upstream received it."""

    code = ResultCode.OVERLOADED

    def __init__(self, message, code=None, *, retry_after_ms=None):
        if retry_after_ms is None:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
        super().__init__(message, code, not_run=True, retry_after_ms=retry_after_ms)


class UpstreamError(AlmondtideError):
    """An exchange with an upstream failed."""

    code = ResultCode.UPSTREAM_ERROR


class ExecutionError(AlmondtideError):
    """A non-idempotent request ended without an outcome reported by an upstream."""

    code = ResultCode.OUTCOME_UNKNOWN


class PeerError(AlmondtideError):
    """A peer could not be reached, was lost or broke the protocol."""

    code = ResultCode.PEER_LOST


class PeerSilentError(PeerError):
    """A peer with open calls has sent nothing for some time; it may still answer.

    ``is_lasting`` is True when the silence is so long that the peer gets no new calls.
    """

    code = ResultCode.PEER_SUSPECT

    def __init__(self, message, is_lasting):
        super().__init__(message)
        self.is_lasting = is_lasting


class PlatformError(AlmondtideError):
    """The platform's configuration service could not be read."""

    code = ResultCode.PLATFORM_UNAVAILABLE


class DocumentError(AlmondtideError):
    """A received document or change doesn't match its stated revision or digest."""

    code = ResultCode.DOCUMENT_MISMATCH


class ClientError(AlmondtideError):
    """The command line got no usable answer from any daemon it asked."""

    code = ResultCode.NO_ANSWER


class _ProblemListError(AlmondtideError):
    def __init__(self, problems):
        self.problems = list(problems)
        super().__init__("; ".join(self.problems), not_run=True)


class SettingsError(_ProblemListError):
    """The process settings are invalid; ``problems`` lists all reasons."""

    code = ResultCode.SETTINGS_INVALID


class ConfigurationError(_ProblemListError):
    """The published configuration is invalid; ``problems`` lists all reasons.

    Each problem starts with the path of the invalid value.
    """

    code = ResultCode.CONFIGURATION_INVALID
