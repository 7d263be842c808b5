"""Stand-in for a server that the entry daemons send requests to."""

import hashlib
import time

import curio

from almondtide.adapters.http import HTTPResponse, serve_http
from almondtide.adapters.listener import Listener
from almondtide.logs import Log

__all__ = ["RECORDS_PER_REPLY", "ShardServer", "make_records"]

RECORDS_PER_REPLY = 4
# A request that crashes the server waits this long at most for the server to close.
CRASH_TIMEOUT_S = 5.0


def make_records(service, request_id):
    """Return the records with which a service answers a request, unsorted."""
    return b"".join(
        hashlib.blake2b(
            f"{service}/{request_id}/{number}".encode(), digest_size=16
        ).digest()
        for number in range(RECORDS_PER_REPLY)
    )


class ShardServer:
    """Runs requests of one service and records each that it began to run.

    ``runs`` holds (request id, request, time), and ``failures`` the status by id of
    each request that it ran and answered with a failure.
    ``override_response(request)`` may return an ``HTTPResponse`` in place of the usual
    one. A request for which ``should_crash(request)`` returns true closes the server.
    A request takes ``service_time_s``.

    A request for another instance gets 421. One beyond ``slots`` gets 503 with the
    header ``not-run``. A request with a body gets the body back, another one gets
    ``make_records`` of the service and its id.

    ``arrivals`` holds (request id, time) of all requests, also those that do not run.
    While ``rate_limit`` is set, responses announce it in requests a second.
    With ``closes_connections`` each response ends its connection. While ``is_leaving``
    is set, all responses announce the server's end. Until ``away_until`` (steady clock,
    in s) requests get 503 with the time left. ``announcements`` holds (request id,
    time) of the responses that announced the end, ``refusals`` (request id, time, end
    of the pause) of those that asked for a pause.
    """

    def __init__(self, id, service, slots=3, service_time_s=0.005):
        self.id = id
        self.service = service
        self.slots = slots
        self.service_time_s = service_time_s
        self.override_response = lambda request: None
        self.should_crash = lambda request: False
        self.runs = []
        self.failures = {}
        self.is_leaving = False
        self.closes_connections = False
        self.rate_limit = None
        self.arrivals = []
        self.away_until = 0.0
        self.announcements = []
        self.refusals = []
        self.running_count = 0
        self.cancelled_count = 0
        self.listener = Listener(("127.0.0.1", 0), self._serve)

    async def start(self):
        """Start serving."""
        await self.listener.start()

    async def close(self):
        """Stop serving and close all connections."""
        await self.listener.close()

    def store_entry(self, domain, state="ready", sequence=1):
        """Return the entry that the server would write to the store."""
        host, port = self.listener.address
        return {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": domain,
            "version": "v1",
            "capacity": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": sequence,
            "born": 1_700_000_000_000,
        }

    async def _serve(self, sock, peer):
        await serve_http(sock, self._handle, log=Log())

    async def _handle(self, request):
        if "request-id" in request.headers:
            self.arrivals.append((request.headers["request-id"], time.monotonic()))
        response = await self._respond(request)
        if self.rate_limit is not None and response.status != 421:
            response.headers["server-limit"] = str(self.rate_limit)
        if self.is_leaving and response.status != 421:
            response.headers["server-leaving"] = "1"
            request_id = request.headers.get("request-id")
            self.announcements.append((request_id, time.monotonic()))
        if self.closes_connections:
            response.headers["connection"] = "close"
        return response

    async def _respond(self, request):
        if request.path == "/health":
            return HTTPResponse(200, b"", {"instance-id": self.id})
        request_id = request.headers["request-id"]
        echo = {"request-id": request_id}
        if request.headers.get("expect-instance") not in (None, self.id):
            return HTTPResponse(421, b"", {"instance-id": self.id, **echo})
        if self.running_count >= self.slots:
            return HTTPResponse(503, b"", {"not-run": "1", **echo})
        now = time.monotonic()
        if now < self.away_until:
            self.refusals.append((request_id, now, self.away_until))
            pause = f"{self.away_until - now:.3f}"
            headers = {"not-run": "1", "retry-after": pause, **echo}
            return HTTPResponse(503, b"", headers)
        self.runs.append((request_id, request, time.monotonic()))
        self.running_count += 1
        try:
            await curio.sleep(self.service_time_s)
        except curio.CancelledError:
            self.cancelled_count += 1
            raise
        finally:
            self.running_count -= 1
        if self.should_crash(request):
            await curio.spawn(self.close, daemon=True)
            await curio.sleep(CRASH_TIMEOUT_S)
        override = self.override_response(request)
        if override is not None:
            if override.status >= 300:
                self.failures[request_id] = override.status
            return override
        headers = {"server-stamp": f"{self.id}.{request_id}", **echo}
        body = request.body or make_records(self.service, request_id)
        return HTTPResponse(200, body, headers)
