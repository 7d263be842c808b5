"""Tests of connections to servers, against faulty servers on loopback."""

import time

import curio
import testtools
from curio import socket

from almondtide.entry.connections import (
    STANDBY_MAX_IDLE_S,
    TCP_USER_TIMEOUT_MS,
    ConnectionPool,
)
from almondtide.entry.upstreams import Failure, Upstream
from almondtide.model.http_messages import Request
from tests.entry.support import make_server
from tests.support import MemoryLog, run


class _Server:
    """Answers each request with the next of ``replies``.

    A reply is a list of bytes to send; "close" or "reset" at its end closes or resets
    the connection.
    """

    def __init__(self, replies):
        self.replies = list(replies)
        self.received = []
        self.connections = 0

    async def __aenter__(self):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(16)
        self.port = self.sock.getsockname()[1]
        self.task = await curio.spawn(self._accept, daemon=True)
        return self

    async def __aexit__(self, *details):
        await self.task.cancel()
        await self.sock.close()

    async def _accept(self):
        while True:
            client, _ = await self.sock.accept()
            self.connections += 1
            await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client):
        async with client:
            while self.replies:
                data = await client.recv(65536)
                if not data:
                    return
                self.received.append(data)
                for part in self.replies.pop(0):
                    if part == "close":
                        return
                    if part == "reset":
                        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                        return
                    await client.sendall(part)


class _CopyingServer(_Server):
    """Turns each request away once on a connection, and runs it the second time.

    Each reply comes again right before the next one.
    """

    def __init__(self):
        super().__init__([])
        self.turned_away = 0

    async def _serve(self, client):
        seen, copy = set(), b""
        async with client:
            while data := await client.recv(65536):
                id = data.partition(b"request-id: ")[2].partition(b"\r\n")[0]
                reply = _reply(request_id=id)
                if id not in seen:
                    self.turned_away += 1
                    reply = _reply(
                        request_id=id, status=b"503 Full", extra=b"Not-Run: 1\r\n"
                    )
                seen.add(id)
                await client.sendall(copy + reply)
                copy = reply


class _Exchange:
    """Records the result of one exchange."""

    def __init__(
        self, upstream, request_id="id-1", is_at_most_once=False, wanted=True, body=b""
    ):
        self.upstream = upstream
        method = "POST" if body else "GET"
        headers = [(b"host", b"h"), (b"request-id", request_id.encode())]
        self.request = Request(method, "/p/x?y=1", "h", request_id, 1, headers, body)
        self.is_at_most_once = is_at_most_once
        self.record_limit = None
        self.wanted = wanted
        self.written = 0
        self.result = None
        self.connection = None
        self.done = curio.Event()

    def remaining_s(self):
        return 0.5

    def is_wanted(self):
        return self.wanted

    def extra_headers(self):
        return []

    def on_connected(self):
        pass

    def on_write(self):
        self.written += 1

    async def on_reply(self, reply):
        self.result = reply
        await self.done.set()

    async def on_failure(self, failure, reason, reply):
        self.result = failure
        await self.done.set()

    async def on_skipped(self):
        self.result = "skipped"
        await self.done.set()


def _reply(body=b"ok", request_id=b"id-1", status=b"200 OK", extra=b""):
    return (
        b"HTTP/1.1 %b\r\nServer-Stamp: s\r\nRequest-Id: %b\r\n%bContent-Length: %d\r\n"
        b"\r\n%b" % (status, request_id, extra, len(body), body)
    )


def _run_exchanges(replies, exchanges, pause_s=0.0):
    """Run exchanges in sequence; return the server, the pool and the exchanges."""

    async def scenario():
        async with _Server(replies) as server:
            pool = ConnectionPool(time.monotonic, MemoryLog())
            upstream = Upstream(make_server("i-1", port=server.port))
            made = []
            for options in exchanges:
                exchange = _Exchange(upstream, **options)
                await pool.send(exchange)
                async with curio.timeout_after(5):
                    await exchange.done.wait()
                made.append(exchange)
                await curio.sleep(pause_s)
            return server, pool, made

    return run(scenario)


class LimitTest(testtools.TestCase):
    """Guards against more connections than a server accepts from a large fleet.

    The load: each of 195 entries gets a few requests for one service.
    """

    def test_a_reset_of_a_new_connection_delays_the_next_one(self):
        _, _, [exchange] = _run_exchanges([["reset"]], [{}])
        self.assertIs(Failure.BROKEN, exchange.result)
        self.assertTrue(exchange.upstream.connect_after > 0.0)

    def test_a_reset_after_a_reply_delays_nothing(self):
        server, _, made = _run_exchanges([[_reply()], ["reset"]], [{}, {}])
        self.assertEqual(1, server.connections)
        self.assertIs(Failure.BROKEN, made[1].result)
        self.assertEqual(0.0, made[1].upstream.connect_after)

    def test_a_standby_keeps_idle_connections_for_a_short_time(self):
        async def scenario():
            now = [100.0]
            async with _Server([[_reply()], [_reply()]]) as server:
                pool = ConnectionPool(lambda: now[0], MemoryLog())
                upstream = Upstream(make_server("i-1", port=server.port))
                counts = []
                for is_active in (True, False):
                    exchange = _Exchange(upstream)
                    await pool.send(exchange)
                    await exchange.done.wait()
                    await curio.sleep(0.01)
                    pool.set_active(is_active)
                    now[0] += STANDBY_MAX_IDLE_S + 0.1
                    await pool.close_expired()
                    await curio.sleep(0.01)
                    counts.append(upstream.connection_count)
                return counts

        self.assertEqual([1, 0], run(scenario))


class ReplyTest(testtools.TestCase):
    """Guards against replies that are truncated, invalid or to another request."""

    def _one(self, *parts, **options):
        _, _, [exchange] = _run_exchanges([parts], [options])
        return exchange.result

    def test_reply(self):
        reply = self._one(_reply())
        self.assertEqual(
            (200, b"ok", b"s"), (reply.status, reply.body, reply.server_stamp)
        )

    def test_request_is_sent_once_with_its_own_headers(self):
        server, _, _ = _run_exchanges([[_reply()]], [{"body": b"abc"}])
        [data] = server.received
        head, _, body = data.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"POST /p/x?y=1 HTTP/1.1\r\n"))
        self.assertEqual(b"abc", body)
        for line in (
            b"deadline-ms: 500",
            b"expect-instance: i-1",
            b"content-length: 3",
        ):
            self.assertIn(line, head.lower())

    def test_truncated_body(self):
        self.assertIs(Failure.BROKEN, self._one(_reply(b"whole body")[:-3], "close"))

    def test_body_that_ends_with_the_connection(self):
        raw = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: id-1\r\n\r\nbody"
        self.assertEqual(b"body", self._one(raw, "close").body)

    def test_reset_does_not_end_a_body_without_length(self):
        raw = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: id-1\r\n\r\nbody"
        self.assertIs(Failure.BROKEN, self._one(raw, "reset"))

    def test_bytes_that_are_not_http(self):
        self.assertIs(Failure.BROKEN, self._one(b"\x00\x01garbage\r\n\r\n", "close"))

    def test_close_without_a_reply(self):
        self.assertIs(Failure.BROKEN, self._one("close"))
        self.assertIs(Failure.BROKEN, self._one("reset"))

    def test_chunks(self):
        raw = (
            b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: id-1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        )
        self.assertEqual(b"ok", self._one(raw).body)

    def test_reply_to_an_earlier_request_is_skipped(self):
        stray = _reply(b"old", request_id=b"id-0")
        self.assertEqual(b"ok", self._one(stray + _reply()).body)

    def test_only_replies_to_other_requests(self):
        stray = _reply(b"old", request_id=b"id-0")
        self.assertIs(Failure.BROKEN, self._one(stray, "close"))

    def test_refused_connection_sent_nothing(self):
        async def scenario():
            pool = ConnectionPool(time.monotonic, MemoryLog())
            exchange = _Exchange(Upstream(make_server("i-1", port=1)))
            await pool.send(exchange)
            await exchange.done.wait()
            return exchange

        exchange = run(scenario)
        self.assertEqual((Failure.NO_LISTENER, 0), (exchange.result, exchange.written))


class ReuseTest(testtools.TestCase):
    """Guards against reuse of a connection with data of another request."""

    def test_connection_is_reused(self):
        server, _, made = _run_exchanges(
            [[_reply()], [_reply(request_id=b"id-2")]],
            [{}, {"request_id": "id-2"}],
        )
        self.assertEqual(1, server.connections)
        self.assertEqual([b"ok", b"ok"], [exchange.result.body for exchange in made])

    def test_extra_bytes_close_the_connection(self):
        for extra, pause_s in ((_reply(b"old"), 0.0), (b"junk", 0.05)):
            server, _, made = _run_exchanges(
                [[_reply() + extra], [_reply(b"new", request_id=b"id-2")]],
                [{}, {"request_id": "id-2"}],
                pause_s,
            )
            self.assertEqual(2, server.connections)
            self.assertEqual(b"new", made[1].result.body)

    def test_late_copy_is_not_taken_for_the_next_reply_to_the_request(self):
        # A copy of "not run" would state that of a send which the server then runs.
        turned_away = _reply(status=b"503 Full", extra=b"Not-Run: 1\r\n")
        for status, extra in ((b"503 Full", b"Not-Run: 1\r\n"), (b"500 Bad", b"")):
            first = _reply(status=status, extra=extra)
            server, pool, made = _run_exchanges(
                [[first], [first], [_reply()]],
                [{}, {"request_id": "id-1"}, {"request_id": "id-1"}],
            )
            self.assertEqual(3, server.connections)
            self.assertEqual(200, made[2].result.status)
            self.assertEqual(2, pool.diverted_count)
        # The connection still carries other requests.
        server, _, made = _run_exchanges(
            [[turned_away], [turned_away + _reply(request_id=b"id-2")]],
            [{}, {"request_id": "id-2"}],
        )
        self.assertEqual((1, 200), (server.connections, made[1].result.status))

    def test_another_idle_connection_carries_a_request_again(self):
        async def scenario():
            async with _CopyingServer() as server:
                pool = ConnectionPool(time.monotonic, MemoryLog())
                upstream = Upstream(make_server("i-1", port=server.port))

                async def send(*ids):
                    exchanges = [_Exchange(upstream, id) for id in ids]
                    for exchange in exchanges:
                        await pool.send(exchange)
                    for exchange in exchanges:
                        await exchange.done.wait()
                    await curio.sleep(0.02)
                    return [exchange.result.is_not_run for exchange in exchanges]

                # Both connections have replied; the one of id-2 is on top.
                await send("id-1", "id-2")
                return server, pool, [await send("id-1"), await send("id-2")]

        server, _, found = run(scenario)
        # The server turns each request away once on each connection, and repeats that
        # reply right before the next one.
        self.assertEqual([[True], [True]], found)
        self.assertEqual(2, server.connections)
        self.assertEqual(4, server.turned_away)

    def test_connection_that_the_server_closes_is_not_reused(self):
        close = _reply(extra=b"Connection: close\r\n")
        server, _, _ = _run_exchanges(
            [[close], [_reply(request_id=b"id-2")]], [{}, {"request_id": "id-2"}]
        )
        self.assertEqual(2, server.connections)

    def test_closed_idle_connection_is_not_used(self):
        server, _, made = _run_exchanges(
            [[_reply(), "close"], [_reply(request_id=b"id-2")]],
            [{}, {"request_id": "id-2"}],
            pause_s=0.05,
        )
        self.assertEqual(2, server.connections)
        self.assertEqual(b"ok", made[1].result.body)

    def test_keep_alive_time_of_the_server_is_respected(self):
        quick = _reply(extra=b"Keep-Alive: timeout=0\r\n")
        server, _, _ = _run_exchanges(
            [[quick], [_reply(request_id=b"id-2")]], [{}, {"request_id": "id-2"}]
        )
        self.assertEqual(2, server.connections)

    def test_exchange_that_is_no_longer_wanted_is_not_written(self):
        server, _, [first, second] = _run_exchanges(
            [[_reply(request_id=b"id-2")]],
            [{"wanted": False}, {"request_id": "id-2"}],
        )
        self.assertEqual(("skipped", 0), (first.result, first.written))
        self.assertEqual((1, 1), (server.connections, len(server.received)))
        self.assertEqual(b"ok", second.result.body)


class SecondCopyTest(testtools.TestCase):
    """Guards against an answer that a caller gets though it is not its own.

    The fault: a server sends a second copy of an answer, late, on a connection that is
    in use again.
    """

    def test_a_late_copy_without_an_id_is_not_taken_for_the_next_reply(self):
        copy = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nfirst"
        replies = [[_reply(b"first")], [copy, _reply(b"second", b"id-2")]]
        _, _, made = _run_exchanges(replies, [{}, {"request_id": "id-2"}])
        self.assertEqual(b"first", made[0].result.body)
        self.assertIs(Failure.BROKEN, made[1].result)

    def test_a_late_refusal_without_an_id_does_not_say_that_the_request_has_not_run(
        self,
    ):
        refusal = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        options = {"request_id": "id-2", "is_at_most_once": True}
        _, _, made = _run_exchanges([[refusal]], [options])
        self.assertIs(Failure.BROKEN, made[0].result)

    def test_a_late_copy_with_its_id_is_skipped(self):
        replies = [[_reply(b"first")], [_reply(b"first"), _reply(b"second", b"id-2")]]
        _, _, made = _run_exchanges(replies, [{}, {"request_id": "id-2"}])
        self.assertEqual(b"second", made[1].result.body)

    def test_a_copy_in_two_pieces_around_the_next_request_is_skipped(self):
        copy = _reply(b"first")
        replies = [[_reply(b"first")], [copy[:20], copy[20:] + _reply(b"2", b"id-2")]]
        _, _, made = _run_exchanges(replies, [{}, {"request_id": "id-2"}])
        self.assertEqual(b"2", made[1].result.body)


class BrokenOffTest(testtools.TestCase):
    """Guards against an answer that broke off halfway and counts as complete."""

    HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: id-1\r\n"

    def assert_broken(self, *parts):
        _, _, made = _run_exchanges([list(parts)], [{}])
        self.assertIs(Failure.BROKEN, made[0].result)

    def test_chunks_without_the_last_one(self):
        head = self.HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        self.assert_broken(head + b"4\r\nabcd\r\n", "close")

    def test_a_chunk_that_is_cut(self):
        head = self.HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        self.assert_broken(head + b"8\r\nabcd", "close")

    def test_a_length_that_is_not_reached(self):
        self.assert_broken(self.HEAD + b"Content-Length: 8\r\n\r\nabcd", "close")

    def test_a_reset_in_a_body_that_ends_with_the_connection(self):
        self.assert_broken(self.HEAD + b"\r\nabcd", "reset")

    def test_a_head_that_is_cut(self):
        # Callers got a complete answer with an empty body.
        head = self.HEAD + b"Content-Length: 0\r\n\r\n"
        kept = _reply(request_id=b"id-0")
        for size in range(len(head)):
            self.assert_broken(head[:size], "close")
            _, _, made = _run_exchanges(
                [[kept], [head[:size], "close"]], [{"request_id": "id-0"}, {}]
            )
            self.assertIs(Failure.BROKEN, made[1].result, size)


class SilentServerTest(testtools.TestCase):
    """Guards against running work that is given up since its server is silent."""

    def _user_timeout_ms(self, **options):
        async def scenario():
            async with _Server([[], []]) as server:
                pool = ConnectionPool(time.monotonic, MemoryLog())
                upstream = Upstream(make_server("i-1", port=server.port))
                exchange = _Exchange(upstream, **options)
                exchange.remaining_s = lambda: 6.0
                await pool.send(exchange)
                await curio.sleep(0.1)
                sock = exchange.connection._sock._socket
                found = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
                await pool.close(exchange.connection)
                return found

        return run(scenario)

    def test_a_request_that_may_run_once_waits_until_its_deadline(self):
        self.assertEqual(6000, self._user_timeout_ms(is_at_most_once=True))

    def test_a_request_that_may_be_sent_again_does_not(self):
        self.assertEqual(TCP_USER_TIMEOUT_MS, self._user_timeout_ms())

    def test_an_error_of_its_own_ends_one_exchange_only(self):
        class Failing(_Exchange):
            def remaining_s(self):
                raise ValueError("unexpected")

        async def scenario():
            async with _Server([[_reply()]]) as server:
                log = MemoryLog()
                pool = ConnectionPool(time.monotonic, log)
                upstream = Upstream(make_server("i-1", port=server.port))
                for kind in (Failing, _Exchange):
                    exchange = kind(upstream)
                    await pool.send(exchange)
                    async with curio.timeout_after(5):
                        await exchange.done.wait()
                    results.append(exchange.result)
                return log

        results = []
        log = run(scenario)
        self.assertIs(Failure.BROKEN, results[0])
        self.assertEqual(b"ok", results[1].body)
        self.assertIn("exchange_error", log.names())

    def test_an_exchange_that_is_closed_as_its_connection_breaks(self):
        # It left an unexpected error in the log (soak, seed 96024).
        log = MemoryLog()

        async def scenario():
            async with _Server([["reset"]]) as server:
                pool = ConnectionPool(time.monotonic, log)
                exchange = _Exchange(Upstream(make_server("i-1", port=server.port)))
                await pool.send(exchange)
                # As ``close`` does before its cancellation is delivered.
                while not exchange.written:
                    await curio.sleep(0)
                exchange.connection.exchange = None
                await exchange.connection.task.wait()
                return exchange.result

        self.assertIsNone(run(scenario))
        self.assertNotIn("exchange_error", log.names())
