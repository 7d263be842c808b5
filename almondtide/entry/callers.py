"""Connections of callers: HTTP/1.1 by h11, one request at a time."""

import curio
import h11

from ..adapters.listener import linger_before_close
from ..errors import ResultCode
from ..platform.headers import decode_request
from .answers import refusal
from .journey import round_trip_s

__all__ = ["CallerConnection"]

RECEIVE_BYTES = 65536
SEND_TIMEOUT_S = 10.0
NO_BODY_STATUS = frozenset((204, 304))


class CallerConnection:
    """One connection of a caller.

    ``entry`` has ``limits()``, the async ``answer(request, connection)`` and
    ``abandon(connection)``, and ``is_closing()``. While a request is answered the
    connection is still read, because a caller that closes it wants no answer.
    """

    __slots__ = (
        "_conn",
        "_entry",
        "_sock",
        "call",
        "head_only",
        "idle",
        "trip_s",
    )

    def __init__(self, sock, entry):
        self._sock = sock
        self._entry = entry
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=entry.limits().max_header
        )
        self.call = None
        self.head_only = False
        self.idle = True
        # Round-trip time to the caller, in s.
        self.trip_s = 0.0

    async def run(self):
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one():
                pass
        except h11.RemoteProtocolError as exc:
            too_large = exc.error_status_hint == 431
            code = ResultCode.HEADERS_TOO_LARGE if too_large else ResultCode.BAD_REQUEST
            await self._refuse(431 if too_large else 400, code, str(exc))
        except _BadRequestError as exc:
            await self._refuse(*exc.args)
        except (OSError, curio.TaskTimeout):
            # The caller is gone or stayed idle for too long.
            pass

    async def _refuse(self, status, code, message):
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._entry.refused(code, message)
        try:
            await self._send(refusal(status, code, message), close=True)
            await linger_before_close(self._sock)
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            # The caller is gone; there is nobody to tell.
            pass

    async def _serve_one(self):
        """Serve one request; returns whether another may follow."""
        request = await self._read_request()
        if request is None:
            return False
        self.idle = False
        self.trip_s = round_trip_s(self._sock._socket)
        watcher = await curio.spawn(self._watch, daemon=True)
        try:
            answer = await self._entry.answer(request, self)
        finally:
            await watcher.cancel()
        if answer is None:
            return False
        try:
            await self._send(answer, close=self._entry.is_closing())
        except (OSError, curio.TaskTimeout) as exc:
            self._entry.not_delivered(request, exc)
            return False
        self.idle = True
        conn = self._conn
        if conn.our_state is h11.MUST_CLOSE:
            await linger_before_close(self._sock)
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return False
        conn.start_next_cycle()
        return True

    async def _watch(self):
        """Abandon the call when the caller closes the connection."""
        try:
            data = await self._sock.recv(RECEIVE_BYTES)
        except OSError:
            data = b""
        if data:
            # A pipelined request; it waits in the parser for its turn.
            self._conn.receive_data(data)
        else:
            await self._entry.abandon(self)

    async def _read_request(self):
        limits = self._entry.limits()
        conn = self._conn
        timeout_s = limits.idle_timeout_s
        head = None
        chunks = []
        size = 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if conn.they_are_waiting_for_100_continue:
                    go_ahead = h11.InformationalResponse(status_code=100, headers=[])
                    await self._sock.sendall(conn.send(go_ahead))
                async with curio.timeout_after(timeout_s):
                    data = await self._sock.recv(RECEIVE_BYTES)
                if not data and head is None and not conn.trailing_data[0]:
                    return None
                conn.receive_data(data)
                timeout_s = limits.header_timeout_s
            elif type(event) is h11.Request:
                head = event
                self.head_only = event.method == b"HEAD"
            elif type(event) is h11.Data:
                size += len(event.data)
                if size > limits.max_body:
                    raise _BadRequestError(
                        413, ResultCode.BODY_TOO_LARGE, f"over {limits.max_body} bytes"
                    )
                chunks.append(event.data)
            elif type(event) is h11.EndOfMessage:
                break
            else:
                return None
        request = decode_request(
            head.method, head.target, list(head.headers), b"".join(chunks)
        )
        if not request.host or not request.id:
            raise _BadRequestError(
                400, ResultCode.BAD_REQUEST, "a host and a request id are needed"
            )
        return request

    async def _send(self, answer, close=False):
        conn = self._conn
        body = answer.body
        headers = list(answer.headers)
        if answer.status not in NO_BODY_STATUS:
            headers.append((b"content-length", b"%d" % len(body)))
        if close:
            headers.append((b"connection", b"close"))
        wire = conn.send(h11.Response(status_code=answer.status, headers=headers))
        if body and not self.head_only and answer.status not in NO_BODY_STATUS:
            wire += conn.send(h11.Data(data=body))
        wire += conn.send(h11.EndOfMessage())
        async with curio.timeout_after(SEND_TIMEOUT_S):
            await self._sock.sendall(wire)

    async def close_idle(self, task):
        """End the connection if no request is under way."""
        if self.idle:
            await task.cancel(blocking=False)


class _BadRequestError(Exception):
    """A request that is refused; arguments are status, code and message."""
