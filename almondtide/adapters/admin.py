"""HTTP API for operators, with a bearer token."""

import hmac
from urllib.parse import parse_qs

from ..errors import BadRequestError, ResultCode
from ..events import EVENT_KINDS
from .http import HTTPResponse, json_response

__all__ = ["AdminAPI"]

PREFIX = "/admin/v1/"
MAX_EVENTS = 10_000


class AdminAPI:
    """Serves reports, events and metrics, and accepts the drain command.

    ``reports`` maps a path below ``/admin/v1/`` to a function that returns JSON
    data. ``drain`` is an async function that starts the shutdown.
    """

    __slots__ = ("_drain", "_events", "_instance", "_metrics", "_reports", "_token")

    def __init__(self, instance, token, reports, events, metrics, drain):
        self._instance = instance
        self._token = token
        self._reports = reports
        self._events = events
        self._metrics = metrics
        self._drain = drain

    async def handle(self, request):
        """Return the response to one request."""
        self._authorize(request)
        if request.path == "/metrics":
            content, headers = self._metrics.render()
            return HTTPResponse(
                200, content, {k.lower(): v for k, v in headers.items()}
            )
        if not request.path.startswith(PREFIX):
            raise BadRequestError(f"no resource {request.path}", ResultCode.NOT_FOUND)
        name = request.path[len(PREFIX) :]
        if name == "drain":
            if request.method != "POST":
                raise BadRequestError("drain takes POST", ResultCode.METHOD_NOT_ALLOWED)
            await self._drain()
            return json_response(202, {"instance": self._instance, "leaving": True})
        if request.method != "GET":
            raise BadRequestError(f"{name} takes GET", ResultCode.METHOD_NOT_ALLOWED)
        if name == "events":
            return json_response(200, self._event_report(request))
        if name in self._reports:
            return json_response(200, self._reports[name]())
        raise BadRequestError(f"no resource {request.path}", ResultCode.NOT_FOUND)

    def _authorize(self, request):
        given = request.headers.get("authorization", "")
        expected = f"Bearer {self._token}"
        if not hmac.compare_digest(
            given.encode("latin-1", "replace"), expected.encode()
        ):
            raise BadRequestError("missing or wrong token", ResultCode.UNAUTHORIZED)

    def _event_report(self, request):
        values = parse_qs(request.query)
        try:
            after = values.get("after", ["0,0"])[0].split(",")
            timestamp = (int(after[0]), int(after[1]))
            limit = int(values.get("limit", ["1000"])[0])
            kind = values.get("kind", ["all"])[0]
            if (
                kind not in EVENT_KINDS
                or not 1 <= limit <= MAX_EVENTS
                or min(timestamp) < 0
            ):
                raise ValueError
        except (ValueError, IndexError):
            raise BadRequestError(
                f"after must be milliseconds,counter, limit 1 to {MAX_EVENTS} and "
                f"kind one of {', '.join(EVENT_KINDS)}"
            ) from None
        events = self._events.since(timestamp, limit, kind)
        return {
            "instance": self._instance,
            "dropped": self._events.dropped,
            "dropped_requests": self._events.dropped_requests,
            "events": [event.to_dict(self._instance) for event in events],
        }
