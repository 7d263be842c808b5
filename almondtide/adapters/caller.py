"""HTTP API for callers."""

import itertools
from urllib.parse import unquote

import curio

from ..errors import AlmondtideError, BadRequestError, ResultCode, http_status
from ..executions import ReviseRequest
from ..queries import QueryRequest
from .http import is_request_id, json_response

__all__ = ["CallerAPI"]

MAX_DEADLINE_MS = 120_000
MAX_LOGGED_TEXT_LENGTH = 200
MAX_LOGGED_NAME_LENGTH = 64
UNKNOWN_LABEL = "unknown"


class CallerAPI:
    """Routes requests of callers to the coordinator and the executions.

    ``entries`` is an async function that returns the body of the entries report,
    which lists the daemons that callers can use. ``running`` counts open requests.
    ``health`` returns the HTTP status and body of the health report. ``is_known``
    returns whether a workload is in the configuration. ``check_admission`` raises
    ``RefusedError`` while this daemon must not take new work.
    """

    __slots__ = (
        "_check_admission",
        "_coordinator",
        "_entries_report",
        "_executions",
        "_health_report",
        "_id_counter",
        "_instance",
        "_is_known",
        "_log",
        "_metrics",
        "clock",
        "running_count",
    )

    def __init__(
        self,
        instance,
        coordinator,
        executions,
        entries,
        health,
        is_known,
        clock,
        log,
        metrics,
        check_admission=lambda: None,
    ):
        self._instance = instance
        self._coordinator = coordinator
        self._executions = executions
        self._entries_report = entries
        self._health_report = health
        self._is_known = is_known
        self._check_admission = check_admission
        self.clock = clock
        self._log = log
        self._metrics = metrics
        self._id_counter = itertools.count(1)
        self.running_count = 0

    async def handle(self, request):
        """Return the response to one request."""
        self.running_count += 1
        try:
            return await self._route(request)
        except BadRequestError as exc:
            self.count_malformed(exc.code)
            self._log.refusal(
                "request_refused",
                request_id=request.id,
                code=int(exc.code),
                path=request.path[:MAX_LOGGED_TEXT_LENGTH],
                reason=exc.message[:MAX_LOGGED_TEXT_LENGTH],
            )
            raise
        finally:
            self.running_count -= 1

    def count_malformed(self, code):
        """Count a request that was refused as malformed."""
        self._metrics.malformed.inc({"code": str(int(code))})

    async def _route(self, request):
        parts = request.path.removeprefix("/").split("/")
        if request.path == "/v1/entries":
            _require_method(request, "GET")
            self._check_admission()
            report = await self._entries_report()
            return json_response(200, report, _result_headers(ResultCode.OK))
        if request.path == "/v1/health":
            _require_method(request, "GET")
            status, body = self._health_report()
            return json_response(status, body)
        if len(parts) == 4 and parts[:2] == ["v1", "workloads"]:
            if parts[3] == "query":
                _require_method(request, "POST")
                return await self._query(request, unquote(parts[2]))
            if parts[3] == "revise":
                _require_method(request, "POST")
                return await self._revise(request, unquote(parts[2]))
        raise BadRequestError(f"no resource {request.path}", ResultCode.NOT_FOUND)

    def _request_id(self, request):
        given = request.headers.get("almondtide-request-id")
        if given is None:
            return f"{self._instance}-{next(self._id_counter)}"
        if not is_request_id(given):
            raise BadRequestError("invalid almondtide-request-id")
        return given

    async def _query(self, request, workload):
        request_id = self._request_id(request)
        record_end = self._record_arrival("query", request, request_id, workload)
        code = ResultCode.INTERNAL
        try:
            req = QueryRequest(
                request_id, workload, request.json(), _parse_deadline_ms(request)
            )
            self._check_admission()
            answer = await self._coordinator.query(req)
            code = answer.code
            headers = _result_headers(code, request_id, answer.retry_after_ms)
            return json_response(http_status(code), answer.to_dict(), headers)
        except AlmondtideError as exc:
            code = exc.code
            raise
        except curio.CancelledError:
            code = ResultCode.CANCELLED
            raise
        finally:
            label, elapsed_s = record_end(code)
            self._metrics.queries.inc({"workload": label, "code": str(int(code))})
            self._metrics.query_seconds.observe({"workload": label}, elapsed_s)

    async def _revise(self, request, workload):
        request_id = self._request_id(request)
        record_end = self._record_arrival("revise", request, request_id, workload)
        execution_id = request.headers.get("almondtide-execution-id")
        code = ResultCode.INTERNAL
        try:
            req = ReviseRequest(
                request_id,
                workload,
                execution_id,
                request.json(),
                _parse_deadline_ms(request),
            )
            self._check_admission()
            outcome = await self._executions.revise(req)
            code = outcome.code
            headers = _result_headers(code, request_id, outcome.retry_after_ms)
            body = outcome.to_dict(request_id, execution_id)
            status = http_status(code, is_idempotent=False, not_run=outcome.not_run)
            return json_response(status, body, headers)
        except AlmondtideError as exc:
            code = exc.code
            # An earlier attempt with the same execution id may have run.
            exc.not_run = exc.not_run and self._executions.is_known_not_run(
                execution_id
            )
            raise
        except curio.CancelledError:
            code = ResultCode.CANCELLED
            raise
        finally:
            label, _ = record_end(code)
            self._metrics.revisions.inc({"workload": label, "code": str(int(code))})

    def _record_arrival(self, kind, request, request_id, workload):
        """Record the arrival of a request; return a function that records its end.

        That function takes the result code. It returns the workload label for the
        metrics and the elapsed time in seconds.
        """
        started = self.clock.monotonic()
        # The error response carries the id even if it was generated here.
        request.headers["almondtide-request-id"] = request_id
        self._log.trace(
            f"{kind}_received",
            request_id=request_id,
            workload=workload[:MAX_LOGGED_NAME_LENGTH],
        )

        def record_end(code):
            elapsed_s = self.clock.monotonic() - started
            self._log.trace(
                f"{kind}_answered",
                request_id=request_id,
                code=int(code),
                elapsed_ms=round(elapsed_s * 1000, 2),
            )
            # Callers may send any name; a label for each would use unbounded memory.
            is_known = code != ResultCode.UNKNOWN_WORKLOAD and self._is_known(workload)
            return (workload if is_known else UNKNOWN_LABEL), elapsed_s

        return record_end


def _require_method(request, method):
    if request.method != method:
        raise BadRequestError(
            f"{request.path} takes {method}", ResultCode.METHOD_NOT_ALLOWED
        )


def _parse_deadline_ms(request):
    text = request.headers.get("almondtide-deadline-ms")
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        raise BadRequestError("invalid almondtide-deadline-ms") from None
    if not 0 <= value <= MAX_DEADLINE_MS:
        raise BadRequestError(
            f"almondtide-deadline-ms must be within 0 and {MAX_DEADLINE_MS}"
        )
    return value


def _result_headers(code, request_id=None, retry_after_ms=None):
    headers = {"almondtide-result-code": str(int(code))}
    if request_id is not None:
        headers["almondtide-request-id"] = request_id
    if retry_after_ms is not None:
        headers["almondtide-retry-after-ms"] = str(int(retry_after_ms))
    return headers
