"""Connections of callers: HTTP/1.1 parsed by h11, one request at a time."""

import fcntl
import random
import socket as stdlib_socket
import struct
import sys
import termios
import time

import curio
import h11

from ..adapters.event_reader import RECEIVE_BYTES, EventReader
from ..adapters.listener import linger_before_close
from ..errors import FramingError, ResultCode
from ..framing import MIN_REQUEST_PART_BYTES
from ..platform.headers import decode_request
from .answers import error_answer
from .policy.admission import retry_after_s
from .policy.caller_limits import RequestBounds
from .relay_marks import RELAY_HEAD_BYTES, has_relay_mark, take_relay_mark
from .transit_time import round_trip_s

__all__ = ["CallerConnection"]

# Longest time for sending an answer, in s, if there is no memory limit. With a limit
# the ``CallerMemory`` decides which callers may not go on reading.
SEND_TIMEOUT_S = 10.0
# Base of the time, in s, after which a caller whose request body does not fit should
# come back. Bodies are held until their answers are read, mostly some tenths of a
# second.
BODY_RETRY_S = 0.25
# Closing a socket with this value of SO_LINGER resets its connection and frees what the
# kernel still holds for it.
LINGER_RESET = struct.pack("ii", 1, 0)
BODYLESS_STATUSES = frozenset((204, 304))


class CallerConnection:
    """One connection of a caller.

    ``frontend`` is a ``Frontend``. The connection is also read while a request is
    answered: a caller that closes it no longer wants the answer, so the call is
    abandoned. ``call`` is the ``Call`` in progress or None, ``request_id`` the id of
    the last request. ``idle_since`` is when it began to wait for a request, None while
    there is one.
    """

    __slots__ = (
        "_bounds",
        "_conn",
        "_frontend",
        "_idle_limit_s",
        "_incoming",
        "_reader",
        "_sock",
        "call",
        "idle_since",
        "is_head_request",
        "is_idle",
        "request_id",
        "rtt_s",
    )

    def __init__(self, sock, frontend):
        self._sock = sock
        self._reader = EventReader(sock, MIN_REQUEST_PART_BYTES)
        self._frontend = frontend
        # The limits may change with each request, so the parser has none of its own.
        self._conn = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        # The ``RequestBounds`` of the request that has begun to arrive, or None.
        self._bounds = None
        # The ``Request`` of which the head has arrived, until it is answered.
        self._incoming = None
        self.call = None
        self.request_id = ""
        self.is_head_request = False
        self.is_idle = True
        self.idle_since = time.monotonic()
        # The limit by which it waits for a request, in s.
        self._idle_limit_s = 0.0
        # Round-trip time to the caller, in s.
        self.rtt_s = 0.0

    async def run(self):
        """Serve requests until the connection closes."""
        try:
            while await self._serve_request():
                pass
        except h11.RemoteProtocolError as exc:
            too_large = exc.error_status_hint == 431
            code = ResultCode.HEADERS_TOO_LARGE if too_large else ResultCode.BAD_REQUEST
            await self._refuse(431 if too_large else 400, code, str(exc))
        except _BadRequestError as exc:
            await self._refuse(*exc.args)
        except FramingError as exc:
            await self._refuse(400, exc.code, exc.message)
        except (OSError, curio.TaskTimeout):
            # The caller closed the connection or was idle for too long.
            pass
        finally:
            self._frontend.memory.forget(self)

    async def _refuse(self, status, code, message, retry_s=None):
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._frontend.record_refusal(code, message)
        try:
            answer = error_answer(status, code, message, retry_s)
            self._address_refusal(answer)
            await self._write(self._encode(answer, close=True))
            await linger_before_close(self._sock)
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            # The caller is gone, so the refusal cannot be delivered.
            pass

    def _address_refusal(self, answer):
        """Let a peer match a refusal to the request that it hands on."""
        incoming = self._incoming
        if incoming is not None and incoming.is_handed_on and incoming.id:
            answer.is_not_run = True
            answer.address_to_peer(incoming.id)

    async def _serve_request(self):
        """Serve one request; returns whether another may follow."""
        try:
            return await self._serve_one()
        finally:
            self._frontend.memory.release_body(self)

    async def _serve_one(self):
        request = await self._read_request()
        if request is None:
            return False
        self._incoming = None
        self.is_idle = False
        self.request_id = request.id
        self.rtt_s = round_trip_s(self._sock._socket)
        watcher = await curio.spawn(self._watch_for_close, daemon=True)
        try:
            answer = await self._frontend.answer(request, self)
        finally:
            await watcher.cancel()
        if answer is None:
            return False
        try:
            if request.is_handed_on:
                answer.address_to_peer(request.id)
            wire = self._encode(answer, close=self._frontend.is_closing())
            # The body is not held twice while the caller reads.
            del answer
            await self._write(wire)
        except (OSError, curio.TaskTimeout) as exc:
            self._frontend.record_undelivered(request, exc)
            return False
        self.is_idle = True
        conn = self._conn
        if conn.our_state is h11.MUST_CLOSE:
            await linger_before_close(self._sock)
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return False
        conn.start_next_cycle()
        return True

    async def _watch_for_close(self):
        """Abandon the call when the caller closes the connection."""
        try:
            data = await self._sock.recv(RECEIVE_BYTES)
        except OSError:
            data = b""
        if data:
            # A pipelined request; the parser buffers it until the answer is sent.
            self._begin_request()
            self._conn.receive_data(data)
        else:
            await self._frontend.abandon(self)

    def _begin_request(self):
        """Record that the first bytes of a request have arrived."""
        if self._bounds is None:
            now = time.monotonic()
            self._bounds = RequestBounds(self._frontend.limits, now)
        self.idle_since = None

    def _limits(self):
        """Return the ``CallerLimits`` for the request that arrives."""
        return self._bounds.at(time.monotonic())

    async def _read_request(self):
        memory = self._frontend.memory
        conn = self._conn
        reader = self._reader
        reader.start_message()
        head_bytes = len(conn.trailing_data[0])
        if head_bytes:
            self._begin_request()
        else:
            self._bounds = None
            self.idle_since = time.monotonic()
        began_at = time.monotonic()
        request = None
        body = bytearray()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                self._check_unparsed()
                if conn.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    await self._sock.sendall(conn.send(continue_response))
                if self._bounds is None:
                    data = await self._receive_first()
                    began_at = time.monotonic()
                else:
                    data = await self._receive(began_at, request is None)
                if data is None:
                    return None
                if not data and request is None and not conn.trailing_data[0]:
                    return None
                self._begin_request()
                conn.receive_data(data)
                head_bytes += len(data)
                await reader.note_received(len(data))
                continue
            await reader.note_event(event)
            if type(event) is h11.Request:
                request = decode_request(
                    event.method, event.target, list(event.headers), b""
                )
                request.relay_mark = take_relay_mark(request)
                self._incoming = request
                self.is_head_request = event.method == b"HEAD"
                head_bytes -= len(conn.trailing_data[0])
                self._check_head(head_bytes, request.is_handed_on)
                if memory.is_bounded:
                    self._check_stated_size(event)
            elif type(event) is h11.Data:
                if len(body) + len(event.data) > self._limits().max_body_bytes:
                    raise self._too_large(ResultCode.BODY_TOO_LARGE)
                if not memory.hold_body(self, len(event.data)):
                    raise _no_body_room()
                body += event.data
            elif type(event) is h11.EndOfMessage:
                break
            else:
                return None
        request.body = bytes(body)
        self._bounds = None
        if conn.trailing_data[0]:
            self._begin_request()
        if not request.host or not request.id:
            raise _BadRequestError(
                400, ResultCode.BAD_REQUEST, "a host and a request id are needed"
            )
        if request.has_invalid_deadline:
            raise _BadRequestError(
                400, ResultCode.BAD_REQUEST, "the deadline is not a number"
            )
        return request

    async def _receive_first(self):
        """Return the first bytes of a request, or None if none came in time.

        The limit may change while the connection is idle.
        """
        while True:
            now = time.monotonic()
            self._idle_limit_s = self._frontend.limits.at(now).idle_timeout_s
            remaining_s = self.idle_since + self._idle_limit_s - now
            if remaining_s <= 0.0:
                return None
            async with curio.ignore_after(remaining_s):
                return await self._reader.receive()

    async def _receive(self, began_at, is_head):
        """Return the next bytes of a request whose first bytes came at ``began_at``.

        The head must be complete in its time, however often a part of it arrives. A
        body may take longer, but not stop for so long. The limit may change meanwhile.
        """
        since = began_at if is_head else time.monotonic()
        while True:
            remaining_s = since + self._limits().header_timeout_s - time.monotonic()
            if remaining_s <= 0.0:
                message = "the request did not arrive in time"
                raise _BadRequestError(408, ResultCode.REQUEST_TIMEOUT, message)
            async with curio.ignore_after(remaining_s):
                return await self._reader.receive()

    def _check_unparsed(self):
        """Refuse a head, or fields within a body, that are too large and incomplete."""
        if self._bounds is None:
            return
        unparsed = self._conn.trailing_data[0]
        if len(unparsed) > self._limits().max_header_bytes:
            self._check_head(len(unparsed), has_relay_mark(unparsed))

    def _check_head(self, size, is_handed_on):
        """Refuse a head of ``size`` bytes that is too large.

        The peer that hands a request on adds fields to it, see ``relay_marks``.
        """
        added_bytes = RELAY_HEAD_BYTES if is_handed_on else 0
        if size > self._limits().max_header_bytes + added_bytes:
            raise self._too_large(ResultCode.HEADERS_TOO_LARGE)

    def _check_stated_size(self, head):
        """Refuse a request before its body, if that is too large or does not fit."""
        stated_bytes = _stated_body_bytes(head)
        if stated_bytes > self._limits().max_body_bytes:
            raise self._too_large(ResultCode.BODY_TOO_LARGE)
        if not self._frontend.memory.has_body_room(stated_bytes):
            raise _no_body_room()

    def _too_large(self, code):
        """Return the refusal of a request that is beyond a limit.

        Without a configuration the limit is not known, so that the caller may be within
        it and gets an answer after which it may come back.
        """
        limits = self._limits()
        if not self._frontend.limits.has_version:
            retry_s = retry_after_s(0.0, random.random())
            return _BadRequestError(
                503, ResultCode.NOT_READY, "no configuration yet", retry_s
            )
        if code is ResultCode.HEADERS_TOO_LARGE:
            return _BadRequestError(431, code, f"over {limits.max_header_bytes} bytes")
        return _BadRequestError(413, code, f"over {limits.max_body_bytes} bytes")

    def _encode(self, answer, close=False):
        """Return the bytes of an answer."""
        conn = self._conn
        body = answer.body
        headers = list(answer.headers)
        if answer.status not in BODYLESS_STATUSES:
            headers.append((b"content-length", b"%d" % len(body)))
        if close:
            headers.append((b"connection", b"close"))
        wire = conn.send(h11.Response(status_code=answer.status, headers=headers))
        if body and not self.is_head_request and answer.status not in BODYLESS_STATUSES:
            wire += conn.send(h11.Data(data=body))
        return wire + conn.send(h11.EndOfMessage())

    async def _write(self, wire):
        memory = self._frontend.memory
        if not memory.is_bounded:
            async with curio.timeout_after(SEND_TIMEOUT_S):
                await self._sock.sendall(wire)
            return
        rest = memoryview(wire)
        memory.hold_answer(self, len(rest))
        while rest:
            sent = await self._sock.send(rest)
            rest = rest[sent:]
            memory.note_sent(self, sent)

    def queued_bytes(self):
        """Return the bytes in the socket that the caller has not acknowledged."""
        try:
            raw = fcntl.ioctl(self._sock._socket, termios.TIOCOUTQ, bytes(4))
        except OSError:
            # The caller has closed the connection, so nothing is held for it.
            return 0
        return int.from_bytes(raw, sys.byteorder)

    def drop(self):
        """Reset the connection, whose caller reads too slowly."""
        sock = self._sock._socket
        try:
            sock.setsockopt(
                stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, LINGER_RESET
            )
            # Wakes the task that writes, which closes the socket.
            sock.shutdown(stdlib_socket.SHUT_RDWR)
        except OSError:
            # The caller has closed it meanwhile.
            pass

    async def close_if_overdue(self, task, now):
        """Close the connection if it has been idle for longer than the limit.

        Return whether it still waits by a longer limit than the newest one.
        """
        if self.idle_since is None:
            return False
        limits = self._frontend.limits
        if now >= self.idle_since + limits.at(now).idle_timeout_s:
            await self.close_if_idle(task)
            return False
        return self._idle_limit_s > limits.newest.idle_timeout_s

    async def close_if_idle(self, task):
        """Close the connection, served by ``task``, unless a request has arrived.

        Bytes of a request that wait in the socket count as well: closing it then
        resets the connection, and the caller cannot know what became of its request.
        """
        if self.is_idle and not self._has_request_bytes():
            await task.cancel(blocking=False)

    def _has_request_bytes(self):
        """Return whether a part of the next request has arrived."""
        conn = self._conn
        if conn.their_state is h11.SEND_BODY or conn.trailing_data[0]:
            return True
        try:
            return bool(self._sock._socket.recv(1, stdlib_socket.MSG_PEEK))
        except OSError:
            # Nothing has arrived, or the connection is broken.
            return False


def _stated_body_bytes(head):
    """Return the length of the body that a request states, or 0."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


def _no_body_room():
    retry_s = retry_after_s(BODY_RETRY_S, random.random())
    return _BadRequestError(
        503, ResultCode.OVERLOADED, "no memory for the body", retry_s
    )


class _BadRequestError(Exception):
    """A request that is refused.

    Arguments are status, code, message and, for one that may be sent again, the time
    to come back in seconds.
    """
