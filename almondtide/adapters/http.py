"""HTTP/1.1 server loop and client connection: h11 over curio sockets."""

import socket as stdlib_socket

import curio
import h11
import orjson

from ..errors import (
    AlmondtideError,
    BadRequestError,
    FramingError,
    ResultCode,
    UpstreamError,
    http_status,
)
from ..framing import MIN_REPLY_PART_BYTES, MIN_REQUEST_PART_BYTES
from .event_reader import RECEIVE_BYTES, EventReader
from .listener import connect, linger_before_close

__all__ = [
    "HTTPClient",
    "HTTPRequest",
    "HTTPResponse",
    "error_response",
    "is_request_id",
    "json_response",
    "refuse_connection",
    "serve_http",
]

DEFAULT_MAX_HEADER_BYTES = 16 * 1024
DEFAULT_MAX_BODY_BYTES = 256 * 1024
DEFAULT_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Most informational responses (status 1xx) before a response.
MAX_INFORMATIONAL_RESPONSES = 8
DEFAULT_IDLE_TIMEOUT_S = 75.0
READ_TIMEOUT_S = 10.0
SEND_TIMEOUT_S = 10.0
HALF_CLOSE_GRACE_S = 0.05
HTTP_VERSIONS = (b"1.0", b"1.1")
MAX_REQUEST_ID_LENGTH = 128
MAX_JSON_DEPTH = 64


class HTTPRequest:
    """A complete request. Header names are lower-case strings."""

    __slots__ = ("body", "headers", "method", "path", "query")

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body

    @property
    def id(self):
        """The request id that the caller sent, or an empty string if not valid."""
        given = self.headers.get("almondtide-request-id", "")
        return given if is_request_id(given) else ""

    def json(self):
        """Return the decoded JSON body; raises ``BadRequestError``.

        The nesting is limited because bodies are forwarded to peers, whose CBOR
        decoder limits the nesting of a whole frame.
        """
        try:
            value = orjson.loads(self.body)
        except orjson.JSONDecodeError as exc:
            raise BadRequestError(f"the body is not valid JSON: {exc}") from exc
        brackets = self.body.count(b"[") + self.body.count(b"{")
        if brackets > MAX_JSON_DEPTH and _nesting_depth(value) > MAX_JSON_DEPTH:
            raise BadRequestError(
                f"the body is nested more than {MAX_JSON_DEPTH} levels deep"
            )
        return value


def is_request_id(text):
    """Return whether ``text`` is a request id: 1 to 128 printable ASCII characters."""
    length = len(text)
    return 0 < length <= MAX_REQUEST_ID_LENGTH and text.isascii() and text.isprintable()


def _nesting_depth(value):
    """Return the nesting depth of decoded JSON, without recursion."""
    depth = 0
    level = [value]
    while level:
        inner = []
        for item in level:
            if isinstance(item, dict):
                inner.extend(item.values())
            elif isinstance(item, list):
                inner.extend(item)
        if not any(isinstance(item, (dict, list)) for item in level):
            return depth
        depth += 1
        level = inner
    return depth


class HTTPResponse:
    """A complete response. Header names are lower-case strings."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, body=b"", headers=None):
        self.status = status
        self.body = body
        self.headers = headers or {}

    def json(self):
        """Return the decoded JSON body; raises ValueError."""
        return orjson.loads(self.body)


def json_response(status, value, headers=None):
    """Return a response with ``value`` as its JSON body."""
    merged = {"content-type": "application/json"}
    merged.update(headers or {})
    return HTTPResponse(status, orjson.dumps(value), merged)


def error_response(exc, request_id=""):
    """Return the JSON response for an ``AlmondtideError``."""
    headers = {"almondtide-result-code": str(int(exc.code))}
    if request_id:
        headers["almondtide-request-id"] = request_id
    if exc.retry_after_ms is not None:
        headers["almondtide-retry-after-ms"] = str(int(exc.retry_after_ms))
    body = {
        "request_id": request_id,
        "code": int(exc.code),
        "name": ResultCode(exc.code).name,
        "message": exc.message,
        "not_run": exc.not_run,
        "retry_after_ms": exc.retry_after_ms,
    }
    status = http_status(exc.code, is_idempotent=False, not_run=exc.not_run)
    return json_response(status, body, headers)


def _decode_headers(pairs):
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in pairs}


class _CallerDisconnected(curio.TaskCancelled):
    """Raised in the task of a connection when the caller closes it."""


class _ServerConnection:
    __slots__ = (
        "_reader",
        "conn",
        "has_partial_request",
        "max_body_bytes",
        "method",
        "sock",
    )

    def __init__(self, sock, max_body_bytes, max_header_bytes):
        self.sock = sock
        self._reader = EventReader(sock, MIN_REQUEST_PART_BYTES)
        self.max_body_bytes = max_body_bytes
        self.conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max_header_bytes
        )
        self.method = None
        # Whether part of a request has arrived that is not answered yet.
        self.has_partial_request = False

    async def wait_for_request(self):
        """Wait for the first bytes of a request; return False after a close."""
        if self.conn.trailing_data[0]:
            # The caller sent a pipelined request, which is already in the buffer.
            self.has_partial_request = True
            return True
        data = await self.sock.recv(RECEIVE_BYTES)
        self.conn.receive_data(data)
        self.has_partial_request = bool(data)
        return self.has_partial_request

    async def _next_event(self):
        while True:
            event = self.conn.next_event()
            if event is not h11.NEED_DATA:
                await self._reader.note_event(event)
                return event
            if self.conn.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await self.sock.sendall(self.conn.send(continue_response))
            data = await self._reader.receive()
            self.conn.receive_data(data)
            await self._reader.note_received(len(data))

    async def read_request(self):
        """Return the next request, or None when the caller has closed."""
        self._reader.start_message()
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            return None
        self.method = event.method.decode("latin-1")
        if event.http_version not in HTTP_VERSIONS:
            raise BadRequestError("the HTTP version must be 1.0 or 1.1")
        if self.method == "CONNECT":
            # h11 switches the connection to another protocol after a 200 to CONNECT.
            raise BadRequestError(
                "CONNECT is not allowed", ResultCode.METHOD_NOT_ALLOWED
            )
        body = await self._read_body()
        return HTTPRequest(
            self.method,
            event.target.decode("latin-1"),
            _decode_headers(event.headers),
            body,
        )

    async def _read_body(self):
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise BadRequestError("the request ended before its body")
            body += event.data
            if len(body) > self.max_body_bytes:
                raise BadRequestError(
                    f"the body is over {self.max_body_bytes} bytes",
                    ResultCode.BODY_TOO_LARGE,
                )

    async def send(self, response, close=False):
        """Send ``response``.

        Raises ``curio.TaskTimeout`` when the caller does not read it within
        ``SEND_TIMEOUT_S``.
        """
        headers = [(name, value) for name, value in response.headers.items()]
        headers.append(("content-length", str(len(response.body))))
        if close:
            headers.append(("connection", "close"))
        parts = [
            self.conn.send(h11.Response(status_code=response.status, headers=headers))
        ]
        if self.method != "HEAD":
            parts.append(self.conn.send(h11.Data(data=response.body)))
        parts.append(self.conn.send(h11.EndOfMessage()))
        async with curio.timeout_after(SEND_TIMEOUT_S):
            await self.sock.sendall(b"".join(parts))
        self.has_partial_request = False
        self.method = None

    async def refuse(self, exc, request_id=""):
        """Send ``exc`` as the last response if no response has been started."""
        if self.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        try:
            await self.send(error_response(exc, request_id), close=True)
            await linger_before_close(self.sock)
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            pass

    async def run_handler(self, handler, request):
        """Return the handler's response.

        Raises ``_CallerDisconnected`` when the caller closes its side meanwhile.
        """
        task = await curio.current_task()
        watcher = await curio.spawn(_cancel_on_close, self.sock, task, daemon=True)
        try:
            return await handler(request)
        except curio.TaskTimeout as exc:
            # The server loop would take it for a timeout of the connection itself.
            raise RuntimeError("the handler raised a timeout") from exc
        finally:
            await watcher.cancel()


async def _cancel_on_close(sock, task):
    """Cancel ``task`` when the caller closes its side of the connection."""
    try:
        data = await sock.recv(1, stdlib_socket.MSG_PEEK)
    except OSError:
        data = b""
    if not data:
        # A half-closed connection cannot be told from a fully closed one. The delay
        # lets a caller that closed only its side get an answer that is ready soon.
        await curio.sleep(HALF_CLOSE_GRACE_S)
        await task.cancel(exc=_CallerDisconnected, blocking=False)


def _remote_protocol_error(exc):
    if exc.error_status_hint == 431:
        return BadRequestError(
            "the headers are too large", ResultCode.HEADERS_TOO_LARGE
        )
    return BadRequestError(f"malformed HTTP: {exc}")


async def refuse_connection(sock, exc):
    """Send ``exc`` as the only response, without reading a request."""
    connection = _ServerConnection(sock, 0, DEFAULT_MAX_HEADER_BYTES)
    await connection.refuse(exc)


async def serve_http(
    sock,
    handler,
    *,
    log,
    max_body_bytes=DEFAULT_MAX_BODY_BYTES,
    max_header_bytes=DEFAULT_MAX_HEADER_BYTES,
    idle_timeout_s=DEFAULT_IDLE_TIMEOUT_S,
    read_timeout_s=READ_TIMEOUT_S,
    on_refused=None,
    is_closing=lambda: False,
):
    """Serve requests on one connection until it closes.

    ``handler`` is an async function from ``HTTPRequest`` to ``HTTPResponse``. An
    ``AlmondtideError`` that it raises becomes a coded response; any other
    exception becomes the code INTERNAL and a log line, and the connection is closed.

    A connection may be idle between requests for ``idle_timeout_s`` seconds. A
    request must be complete within ``read_timeout_s`` seconds after its first byte.
    When the caller closes its side while the handler runs, the handler is cancelled
    and the response has the code CANCELLED. ``on_refused`` is called with the code
    of each malformed request. While ``is_closing()`` is true, the connection is
    closed after each response.
    """
    connection = _ServerConnection(sock, max_body_bytes, max_header_bytes)
    refusal = None
    try:
        while await _serve_request(
            connection, handler, log, idle_timeout_s, read_timeout_s, is_closing
        ):
            pass
    except h11.RemoteProtocolError as exc:
        refusal = _remote_protocol_error(exc)
    except BadRequestError as exc:
        refusal = exc
    except curio.TaskTimeout:
        if connection.has_partial_request:
            refusal = BadRequestError(
                f"the request was not complete in {read_timeout_s:g} s",
                ResultCode.REQUEST_TIMEOUT,
            )
    except (_CallerDisconnected, OSError):
        return
    except curio.CancelledError:
        raise
    except Exception as exc:
        log.error("http_handler_failed", error=repr(exc))
        await connection.refuse(AlmondtideError("internal error"))
        return
    if refusal is not None:
        if on_refused is not None:
            on_refused(refusal.code)
        log.refusal("http_refused", code=int(refusal.code), reason=refusal.message)
        await connection.refuse(refusal)


async def _serve_request(
    connection, handler, log, idle_timeout_s, read_timeout_s, is_closing
):
    """Serve one request; return whether the connection can be used for another."""
    async with curio.timeout_after(idle_timeout_s):
        if not await connection.wait_for_request():
            return False
    async with curio.timeout_after(read_timeout_s):
        request = await connection.read_request()
    if request is None:
        return False
    try:
        response = await connection.run_handler(handler, request)
    except _CallerDisconnected:
        log.debug("caller_gone", path=request.path)
        await connection.refuse(
            AlmondtideError("the caller closed its side", ResultCode.CANCELLED),
            request.id,
        )
        return False
    except AlmondtideError as exc:
        response = error_response(exc, request.id)
    await connection.send(response, close=is_closing())
    conn = connection.conn
    if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
        return False
    conn.start_next_cycle()
    return True


class HTTPClient:
    """One HTTP/1.1 client connection; one request at a time.

    A connection is not used again after a failed or abandoned exchange, so a late
    response cannot be taken for the response to a later request.
    """

    __slots__ = (
        "_conn",
        "_host",
        "_max_response_bytes",
        "_reader",
        "_sock",
        "is_usable",
    )

    def __init__(self, sock, host, max_response_bytes=DEFAULT_MAX_RESPONSE_BYTES):
        self._sock = sock
        self._host = host
        self._max_response_bytes = max_response_bytes
        self._conn = h11.Connection(h11.CLIENT)
        self._reader = EventReader(sock, MIN_REPLY_PART_BYTES)
        self.is_usable = True

    @classmethod
    async def open(cls, address, timeout_s=2.0, **options):
        """Connect to ``(host, port)``; raises OSError or curio.TaskTimeout."""
        sock = await connect(address, timeout_s)
        return cls(sock, f"{address[0]}:{address[1]}", **options)

    def is_stale(self):
        """Return whether the server has closed the idle connection or sent data."""
        try:
            data = self._sock._socket.recv(1, stdlib_socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        # End of stream, or data that belongs to no request.
        return data is not None

    async def request(self, method, path, headers=None, body=b"", before_write=None):
        """Send a request and return its complete ``HTTPResponse``.

        ``before_write`` is called right before the first byte is written and may
        raise to stop the request. Raises ``UpstreamError`` with the code
        UPSTREAM_LOST when the connection breaks, and BAD_RESPONSE when the response
        is not valid HTTP or too large.
        """
        if not self.is_usable:
            raise UpstreamError("the connection is closed", ResultCode.UPSTREAM_LOST)
        request_bytes = self._encode(method, path, headers or {}, body)
        self.is_usable = False
        if before_write is not None:
            before_write()
        try:
            await self._sock.sendall(request_bytes)
            response = await self._read_response()
        except OSError as exc:
            raise UpstreamError(
                f"connection lost: {exc}", ResultCode.UPSTREAM_LOST
            ) from exc
        except h11.RemoteProtocolError as exc:
            code = ResultCode.BAD_RESPONSE
            if self._reader.is_at_eof:
                code = ResultCode.UPSTREAM_LOST
            raise UpstreamError(f"invalid response: {exc}", code) from exc
        except FramingError as exc:
            raise UpstreamError(exc.message, ResultCode.BAD_RESPONSE) from exc
        conn = self._conn
        # Bytes after a response, such as a copy of it, belong to no request. The parser
        # would take them for the next response.
        has_extra = conn.trailing_data[0] or conn.trailing_data[1]
        if (conn.our_state, conn.their_state) == (h11.DONE, h11.DONE) and not has_extra:
            conn.start_next_cycle()
            self.is_usable = True
        return response

    def _encode(self, method, path, headers, body):
        pairs = [("host", self._host), ("content-length", str(len(body)))]
        pairs.extend(headers.items())
        parts = [
            self._conn.send(h11.Request(method=method, target=path, headers=pairs))
        ]
        if body:
            parts.append(self._conn.send(h11.Data(data=body)))
        parts.append(self._conn.send(h11.EndOfMessage()))
        return b"".join(parts)

    async def _next_event(self):
        return await self._reader.next_event(self._conn)

    async def _read_response(self):
        self._reader.start_message()
        event = await self._next_event()
        for _ in range(MAX_INFORMATIONAL_RESPONSES):
            if not isinstance(event, h11.InformationalResponse):
                break
            event = await self._next_event()
        if isinstance(event, h11.InformationalResponse):
            raise UpstreamError("no response but status 1xx", ResultCode.BAD_RESPONSE)
        if not isinstance(event, h11.Response):
            raise UpstreamError(
                "connection closed before a response", ResultCode.UPSTREAM_LOST
            )
        body = bytearray()
        while True:
            part = await self._next_event()
            if isinstance(part, h11.EndOfMessage):
                break
            if not isinstance(part, h11.Data):
                raise UpstreamError(
                    "connection closed within a response", ResultCode.UPSTREAM_LOST
                )
            body += part.data
            if len(body) > self._max_response_bytes:
                raise UpstreamError(
                    f"the response is over {self._max_response_bytes} bytes",
                    ResultCode.BAD_RESPONSE,
                )
        return HTTPResponse(
            event.status_code, bytes(body), _decode_headers(event.headers)
        )

    async def close(self):
        """Close the connection."""
        self.is_usable = False
        await self._sock.close()
