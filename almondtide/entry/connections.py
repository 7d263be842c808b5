"""Pooled HTTP connections to servers: one task each, one exchange at a time."""

import socket as stdlib_socket

import curio
import h11
from curio import socket

from ..adapters.event_reader import EventReader
from ..errors import FramingError
from ..framing import MAX_REPLY_EXCESS_STEPS, MIN_REPLY_PART_BYTES
from ..platform.headers import decode_reply, forwarded_request_headers
from ..supervision import TASK_FAILURES, error_place
from .answered_requests import AnsweredRequests
from .reply_body import ReplyBody
from .upstreams import Failure

__all__ = ["ConnectionPool"]

# A server whose accept queue is full drops the SYN packet, and the kernel only sends
# it again after a second.
CONNECT_TIMEOUT_S = 0.3
# A connection is closed if the server acknowledges nothing for this long, in ms.
# Otherwise it would hang during a network partition. A request that must run at most
# once is not given up before its deadline: its server may only be silent for a while.
TCP_USER_TIMEOUT_MS = 2500
# An idle connection is reused within this fraction of the keep-alive time that the
# server states, and within MAX_IDLE_S seconds in any case.
IDLE_TIMEOUT_FRACTION = 0.7
MAX_IDLE_S = 20.0
# The same for a standby. It gets few requests, and the connections of many standbys
# would use up those that a server accepts in all.
STANDBY_MAX_IDLE_S = 0.5
# A request that must run at most once only uses a connection that was idle for at most
# this long, in s. If the server closed the connection, it would be unknown whether the
# request ran.
MAX_IDLE_AT_MOST_ONCE_S = 1.0
MAX_BODY_BYTES = 16 * 1024 * 1024
# Most bytes of all replies that are not complete yet. Of several replies without end
# each is below the limit of one for a while.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
# Most informational responses (status 1xx) before a reply.
MAX_INFORMATIONAL_RESPONSES = 8
# Most replies that are read for one request. Replies to earlier requests, which are
# skipped, count as well.
MAX_REPLIES_PER_REQUEST = 4
MAX_HEADER_BYTES = 32768


class _ExchangeError(Exception):
    """The reply cannot be read; the argument is the reason."""


class Connection:
    """One connection to a server and the task that drives it."""

    __slots__ = (
        "_conn",
        "_is_written",
        "_reader",
        "_record_limit",
        "_sock",
        "_user_timeout_ms",
        "_wake",
        "_writer",
        "exchange",
        "idle_since",
        "idle_until",
        "is_proven",
        "number",
        "pool",
        "task",
        "upstream",
    )

    def __init__(self, pool, upstream, exchange):
        self.pool = pool
        # Tells it from all other connections of the pool.
        self.number = pool.opened_count
        self.upstream = upstream
        self.exchange = exchange
        self.idle_since = 0.0
        self.idle_until = 0.0
        # Whether the server has replied on it.
        self.is_proven = False
        self.task = None
        self._conn = None
        self._sock = None
        self._reader = None
        # How many records of a reply are needed, None for its whole body.
        self._record_limit = None
        self._user_timeout_ms = 0
        self._wake = curio.Event()
        # The task that writes the rest of a request, or None, and whether the last
        # request was written to its end.
        self._writer = None
        self._is_written = True

    async def run(self):
        """Connect, then run exchanges in sequence until one fails or none follows."""
        try:
            if not await self._connect():
                return
            while await self._exchange():
                self.pool.add_idle(self)
                await self._wake.wait()
                self._wake.clear()
                if self.exchange is None:
                    return
        except Exception as exc:
            await self._fail_after_error(exc)
        finally:
            if self._sock is not None:
                self._sock._socket.close()
            self.pool.remove(self)

    async def assign(self, exchange):
        """Start an exchange on an idle connection, or close it if given None."""
        self.exchange = exchange
        await self._wake.set()

    def is_stale(self):
        """Return whether an idle connection was closed or has unexpected data."""
        try:
            self._sock._socket.recv(1, stdlib_socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    async def _connect(self):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock = sock
        self._reader = EventReader(
            sock, MIN_REPLY_PART_BYTES, max_excess_steps=MAX_REPLY_EXCESS_STEPS
        )
        sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
        self._set_user_timeout(TCP_USER_TIMEOUT_MS)
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_S):
                await sock.connect(self.upstream.server.address)
        except ConnectionRefusedError:
            await self._fail(Failure.NO_LISTENER, "connect")
            return False
        except curio.TaskTimeout:
            await self._fail(Failure.NOT_SENT, "connect: timeout")
            return False
        except OSError as exc:
            await self._fail(Failure.NOT_SENT, f"connect: {exc.strerror or exc}")
            return False
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        if self.exchange is not None:
            self.exchange.on_connected()
        return True

    async def _fail_after_error(self, exc):
        """Log an unexpected error; end the exchange, if there is one, as broken."""
        TASK_FAILURES["exchange"] += 1
        self.pool.log.error(
            "exchange_error",
            server=self.upstream.server.id,
            error=repr(exc),
            at=error_place(exc),
        )
        if self.exchange is not None:
            await self._fail(Failure.BROKEN, repr(exc))

    async def _fail(self, failure, reason):
        exchange, self.exchange = self.exchange, None
        # There is none if it was closed in the turn in which the connection broke.
        if exchange is not None:
            await exchange.on_failure(failure, reason, None)

    async def _exchange(self):
        """Run one exchange; return whether the connection can be used again."""
        exchange = self.exchange
        if exchange is None:
            return False
        if not exchange.is_wanted():
            # The exchange became unnecessary while the connection was opened.
            self.exchange = None
            await exchange.on_skipped()
            self._start_idle(self.pool.max_idle_s)
            return not self.upstream.is_removed
        try:
            self._record_limit = exchange.record_limit
            await self._send(exchange.request, exchange.remaining_s())
            reply = await self._receive(exchange.request)
        except (OSError, _ExchangeError, h11.RemoteProtocolError) as exc:
            if not self.is_proven and isinstance(exc, ConnectionResetError):
                self.upstream.note_connection_reset(self.pool.now())
            await self._fail(Failure.BROKEN, str(exc) or type(exc).__name__)
            return False
        except FramingError as exc:
            self.pool.log.info(
                "reply_refused",
                server=self.upstream.server.id,
                id=exchange.request.id,
                reason=exc.message,
            )
            await self._fail(Failure.BROKEN, exc.message)
            return False
        except h11.LocalProtocolError as exc:
            # The request cannot be encoded; nothing was written.
            await self._fail(Failure.NOT_SENT, f"encode: {exc}")
            return False
        finally:
            await self._stop_writer()
        self.is_proven = True
        is_reusable = self._is_written and self._is_reusable(reply)
        is_reusable = is_reusable and self.pool.note_answered(self, exchange, reply)
        self.exchange = None
        await exchange.on_reply(reply)
        return is_reusable and not self.upstream.is_removed

    async def _send(self, request, remaining_s):
        conn = self._conn
        # The mark of a request that is handed on comes first, see ``relay_marks``.
        headers = self.exchange.extra_headers()
        headers += forwarded_request_headers(
            request, self.upstream.server.id, remaining_s
        )
        data = conn.send(
            h11.Request(method=request.method, target=request.target, headers=headers)
        )
        if request.body:
            data += conn.send(h11.Data(data=request.body))
        data += conn.send(h11.EndOfMessage())
        timeout_ms = TCP_USER_TIMEOUT_MS
        if self.exchange.is_at_most_once:
            timeout_ms = max(timeout_ms, int(remaining_s * 1000))
        if timeout_ms != self._user_timeout_ms:
            self._set_user_timeout(timeout_ms)
        self.exchange.on_write()
        if self.pool.memory_bounds is None or not self.pool.memory_bounds.is_bounded:
            await self._sock.sendall(data)
            return
        sent = await self._sock.send(data)
        self._is_written = sent == len(data)
        if not self._is_written:
            rest = memoryview(data)[sent:]
            self._writer = await curio.spawn(self._write, rest, daemon=True)

    async def _write(self, rest):
        """Write the rest of a request while the reply is read.

        A server may reply, and cut off a reply that stays unread, before it has read
        all of a long request.
        """
        try:
            await self._sock.sendall(rest)
            self._is_written = True
        except OSError as exc:
            # What the server has sent, or the end of its reply, tells what became of
            # the request.
            self.pool.log.debug(
                "request_cut_off", server=self.upstream.server.id, error=repr(exc)
            )

    async def _stop_writer(self):
        writer, self._writer = self._writer, None
        if writer is not None:
            await writer.cancel(blocking=False)

    def _set_user_timeout(self, timeout_ms):
        self._user_timeout_ms = timeout_ms
        self._sock.setsockopt(
            stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_USER_TIMEOUT, timeout_ms
        )

    async def _receive(self, request):
        self._reader.start_message()
        for _ in range(MAX_REPLIES_PER_REQUEST):
            reply = await self._read_reply()
            if reply.request_id == request.id:
                return reply
            if reply.request_id is None:
                # It may be a late copy of an earlier reply.
                raise _ExchangeError("a reply without a request id")
            # A reply to an earlier request on this connection; ours follows.
            self._restart_reading(request)
        raise _ExchangeError("replies to other requests")

    def _restart_reading(self, request):
        """Start a new parser for the next reply, since h11 reads one per request.

        The request is given to the parser again but not written to the socket.
        """
        stray, is_closed = self._conn.trailing_data
        if is_closed:
            raise _ExchangeError("closed after a reply to another request")
        conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        conn.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=[("host", request.host or "none")],
            )
        )
        conn.send(h11.EndOfMessage())
        if stray:
            conn.receive_data(stray)
        self._conn = conn

    async def _next_event(self):
        return await self._reader.next_event(self._conn)

    async def _read_reply(self):
        event = await self._next_event()
        for _ in range(MAX_INFORMATIONAL_RESPONSES):
            if type(event) is not h11.InformationalResponse:
                break
            event = await self._next_event()
        if type(event) is not h11.Response:
            raise _ExchangeError("no reply")
        body = await self._read_body()
        return decode_reply(event.status_code, list(event.headers), body)

    async def _read_body(self):
        body = ReplyBody(self._record_limit)
        try:
            while True:
                part = await self._next_event()
                if type(part) is h11.EndOfMessage:
                    return bytes(body)
                if type(part) is not h11.Data:
                    raise _ExchangeError("closed within a reply")
                size = len(part.data)
                if body.received_bytes + size > self.pool.max_reply_bytes:
                    raise _ExchangeError("reply too large")
                if not self.pool.reserve(size):
                    raise _ExchangeError("replies too large together")
                body.add(part.data)
        finally:
            self.pool.release(body.received_bytes)

    def _is_reusable(self, reply):
        conn = self._conn
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return False
        if conn.trailing_data[0] or conn.trailing_data[1]:
            return False
        idle_s = self.pool.max_idle_s
        if reply.keep_alive_s is not None:
            idle_s = min(idle_s, reply.keep_alive_s * IDLE_TIMEOUT_FRACTION)
        if idle_s <= 0:
            return False
        conn.start_next_cycle()
        self._start_idle(idle_s)
        return True

    def _start_idle(self, idle_s):
        self.idle_since = self.pool.now()
        self.idle_until = self.idle_since + idle_s


class ConnectionPool:
    """Connections to all servers, which are kept open while idle.

    Exchanges have the attributes ``request``, ``upstream``, ``is_at_most_once`` and
    ``record_limit`` (how many records of a reply are needed, None for its whole body),
    and ``connection``, which is set here. ``on_connected()`` is called when a
    connection was opened for them. ``is_wanted()`` is called before the request is
    written; ``remaining_s()``, ``extra_headers()`` and ``on_write()`` follow if it
    returns true. At the end one of the async methods ``on_reply(reply)``,
    ``on_skipped()`` and ``on_failure(failure, reason, reply)`` is called, once. A
    closed exchange gets none of these calls. ``max_idle_s`` is how long idle
    connections are kept, see ``set_active``. ``memory_bounds`` is a ``MemoryBounds`` or
    None.
    """

    __slots__ = (
        "_answered",
        "_idle",
        "buffered_bytes",
        "diverted_count",
        "log",
        "max_idle_s",
        "memory_bounds",
        "now",
        "opened_count",
    )

    def __init__(self, now, log):
        self.now = now
        self.log = log
        self._idle = {}
        self.max_idle_s = MAX_IDLE_S
        self.opened_count = 0
        self._answered = AnsweredRequests()
        # Sends that a connection could not carry, as it had replied to the request.
        self.diverted_count = 0
        self.memory_bounds = None
        # Received bytes of the bodies of replies that are not complete yet.
        self.buffered_bytes = 0

    def reserve(self, size):
        """Count bytes of an incomplete reply; return whether there is room for them."""
        bound_bytes = MAX_BUFFERED_BYTES
        if self.memory_bounds is not None:
            bound_bytes = self.memory_bounds.incomplete_reply_bytes(bound_bytes)
        if self.buffered_bytes + size > bound_bytes:
            return False
        self.buffered_bytes += size
        return True

    @property
    def max_reply_bytes(self):
        """Most bytes of the body of one reply."""
        if self.memory_bounds is None:
            return MAX_BODY_BYTES
        return self.memory_bounds.reply_bytes(MAX_BODY_BYTES)

    def release(self, size):
        """Stop counting the bytes of a reply that is complete or given up."""
        self.buffered_bytes -= size

    def set_active(self, is_active):
        """Keep idle connections for as long as the role of this entry needs them."""
        self.max_idle_s = MAX_IDLE_S if is_active else STANDBY_MAX_IDLE_S
        if not is_active:
            limit = self.now() + STANDBY_MAX_IDLE_S
            for idle in self._idle.values():
                for connection in idle:
                    connection.idle_until = min(connection.idle_until, limit)

    async def send(self, exchange):
        """Start an exchange on an idle connection or a new one."""
        connection = await self._take_idle(exchange)
        if connection is not None:
            exchange.connection = connection
            await connection.assign(exchange)
            return
        await self.connect(exchange)

    async def connect(self, exchange):
        """Start an exchange on a new connection."""
        upstream = exchange.upstream
        self.opened_count += 1
        connection = Connection(self, upstream, exchange)
        exchange.connection = connection
        upstream.connection_count += 1
        connection.task = await curio.spawn(connection.run, daemon=True)

    async def _take_idle(self, exchange):
        idle = self._idle.get(exchange.upstream)
        now = self.now()
        while idle:
            connection = self._pop_idle(idle, exchange)
            exchange.upstream.idle_connection_count = len(idle)
            if not self._answered.may_carry(exchange.request.id, connection.number):
                # A new connection takes its place, so that the server has no more.
                await connection.assign(None)
                return None
            is_fresh = now < connection.idle_until and not connection.is_stale()
            if is_fresh and not (
                exchange.is_at_most_once
                and now - connection.idle_since > MAX_IDLE_AT_MOST_ONCE_S
            ):
                return connection
            await connection.assign(None)
        return None

    def _pop_idle(self, idle, exchange):
        """Remove and return the last idle connection that may carry an exchange.

        If none may, that is the last one.
        """
        request_id = exchange.request.id
        if self._answered.may_carry(request_id, idle[-1].number):
            return idle.pop()
        self.diverted_count += 1
        for index in range(len(idle) - 2, -1, -1):
            if self._answered.may_carry(request_id, idle[index].number):
                return idle.pop(index)
        return idle.pop()

    def note_answered(self, connection, exchange, reply):
        """Remember a reply after which the request may be sent again.

        Return whether the connection can be used for other requests. A request that a
        peer hands on may come again whatever its reply.
        """
        request = exchange.request
        if reply.is_success and not request.is_handed_on:
            return True
        now = self.now()
        until = now + exchange.remaining_s()
        return self._answered.note(request.id, connection.number, until, now)

    def add_idle(self, connection):
        """Keep a connection open for the next exchange."""
        upstream = connection.upstream
        idle = self._idle.setdefault(upstream, [])
        idle.append(connection)
        upstream.idle_connection_count = len(idle)

    def remove(self, connection):
        """Remove a connection that has ended."""
        upstream = connection.upstream
        upstream.connection_count -= 1
        idle = self._idle.get(upstream)
        if idle and connection in idle:
            idle.remove(connection)
            upstream.idle_connection_count = len(idle)

    async def close(self, connection):
        """Close a connection and cancel the exchange on it without a result."""
        connection.exchange = None
        if connection.task is not None:
            await connection.task.cancel(blocking=False)

    async def close_idle(self, upstream):
        """Close the idle connections to an upstream that is no longer used."""
        upstream.idle_connection_count = 0
        for connection in self._idle.pop(upstream, ()):
            await connection.assign(None)

    async def close_all_idle(self):
        """Close all idle connections, which may be dead without a sign."""
        for upstream in list(self._idle):
            await self.close_idle(upstream)

    async def close_expired(self):
        """Close idle connections whose idle time is over."""
        now = self.now()
        for upstream, idle in list(self._idle.items()):
            for connection in [c for c in idle if c.idle_until <= now]:
                if connection in idle:
                    idle.remove(connection)
                    upstream.idle_connection_count = len(idle)
                    await connection.assign(None)
            if not idle:
                self._idle.pop(upstream, None)
