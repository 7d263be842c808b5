"""Tests of servers that send bytes without end, against the real connection pool."""

import itertools
import socket
import threading
import time

import curio
import testtools

from almondtide.adapters.http import HTTPClient
from almondtide.entry import connections
from almondtide.entry.connections import ConnectionPool
from almondtide.entry.upstreams import Failure, Upstream
from almondtide.errors import UpstreamError
from tests.entry.support import make_server
from tests.entry.test_connections import _Exchange, _reply
from tests.support import MemoryLog, run

OK = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: id-1\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = 1 << 16
# What a server sends first, and then again and again until the caller closes.
STREAMS = {
    "header line": (OK + b"X-Long: ", b"x" * BLOCK),
    "header lines": (OK, b"X-Next: 1\r\n" * (BLOCK // 11)),
    "status lines": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * (BLOCK // 25)),
    "no protocol": (b"", b"\xff" * BLOCK),
    "body to the end of the connection": (OK + b"\r\n", b"x" * BLOCK),
    "chunks": (CHUNKED, (b"%x\r\n" % BLOCK) + b"x" * BLOCK + b"\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n" * (BLOCK // 6)),
    "chunks of 64 bytes": (CHUNKED, (b"40\r\n" + b"x" * 64 + b"\r\n") * (BLOCK // 70)),
    "extensions of chunks": (CHUNKED, (b"1;" + b"e" * 50 + b"\r\nx\r\n") * 1024),
    "empty header lines": (OK, b"a:\n" * (BLOCK // 3)),
    "one chunk": (CHUNKED + b"f" * 15 + b"\r\n", b"x" * BLOCK),
    "size of a chunk": (CHUNKED, b"0" * BLOCK),
    "trailers": (CHUNKED + b"0\r\n", b"X-Next: 1\r\n" * (BLOCK // 11)),
    "replies to others": (b"", _reply(b"x" * 400, b"id-0") * (BLOCK // 500)),
}
# A sender that is not stopped stops by itself after this much.
MAX_SENT_BYTES = 256 << 20
# Bytes that the buffers of both sockets may hold beside what was read.
SOCKET_BUFFER_BYTES = 16 << 20


class _EndlessServer:
    """Sends a stream on each connection, in threads so that it can outrun a reader."""

    def __init__(self, head, block):
        self.head = head
        self.block = block
        self.sent_bytes = 0
        self.is_closed_by_peer = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        with client:
            client.recv(65536)
            try:
                client.sendall(self.head)
                while self.sent_bytes < MAX_SENT_BYTES:
                    client.sendall(self.block)
                    self.sent_bytes += len(self.block)
            except OSError:
                self.is_closed_by_peer.set()

    def close(self):
        self._listener.close()


async def _count_ticks(ticks):
    # Processor time of this thread: other processes do not count.
    while True:
        ticks.append(time.thread_time())
        await curio.sleep(0.005)


def _read_endless(head, block, timeout_s=5.0):
    """Return (result, bytes that were sent, whether it was closed, times of ticks)."""
    server = _EndlessServer(head, block)

    async def scenario():
        ticks = []
        ticker = await curio.spawn(_count_ticks, ticks)
        pool = ConnectionPool(time.monotonic, MemoryLog())
        exchange = _Exchange(Upstream(make_server("i-1", port=server.port)))
        await pool.send(exchange)
        async with curio.ignore_after(timeout_s):
            await exchange.done.wait()
        if exchange.result is None:
            await pool.close(exchange.connection)
        await curio.sleep(0.05)
        await ticker.cancel()
        return exchange.result, ticks

    try:
        result, ticks = run(scenario)
        return result, server.sent_bytes, server.is_closed_by_peer.wait(2.0), ticks
    finally:
        server.close()


class EndlessReplyTest(testtools.TestCase):
    """Guards against replies without end that fill the memory or stop the entry."""

    def test_each_kind_of_stream_ends_the_exchange(self):
        for name, (head, block) in STREAMS.items():
            result, sent_bytes, is_closed, _ = _read_endless(head, block)
            self.assertIs(Failure.BROKEN, result, name)
            self.assertTrue(is_closed, name)
            limit = connections.MAX_BODY_BYTES + SOCKET_BUFFER_BYTES
            self.assertTrue(sent_bytes <= limit, (name, sent_bytes))

    def test_other_work_goes_on_while_a_reply_is_read(self):
        for name, (head, block) in STREAMS.items():
            _, _, _, ticks = _read_endless(head, block)
            gaps = [after - at for at, after in itertools.pairwise(ticks)]
            self.assertTrue(max(gaps) < 0.25, (name, max(gaps)))

    def test_a_stream_of_parts_that_are_not_tiny_ends_soon(self):
        # Each is slowed down, and would be read until the request's deadline.
        for size in (65, 128, 256):
            block = ((b"%x\r\n" % size) + b"x" * size + b"\r\n") * (BLOCK // size)
            result, _, is_closed, _ = _read_endless(CHUNKED, block, timeout_s=3.0)
            self.assertIs(Failure.BROKEN, result, size)
            self.assertTrue(is_closed, size)

    def test_a_reply_in_parts_that_are_not_tiny_is_read(self):
        # As a sound server that flushes each record of a long reply would send it.
        body = b"x" * (256 << 10)
        parts = b"".join(
            b"64\r\n" + body[at : at + 100] + b"\r\n" for at in range(0, 262_100, 100)
        )
        reply = CHUNKED + parts + b"2c\r\n" + body[:44] + b"\r\n0\r\n\r\n"
        server = _EndlessServer(reply, b"")
        server.sent_bytes = MAX_SENT_BYTES

        async def scenario():
            pool = ConnectionPool(time.monotonic, MemoryLog())
            exchange = _Exchange(Upstream(make_server("i-1", port=server.port)))
            await pool.send(exchange)
            await exchange.done.wait()
            return exchange.result

        try:
            self.assertEqual(body, run(scenario).body)
        finally:
            server.close()

    def test_many_endless_replies_share_a_bound(self):
        head, block = STREAMS["body to the end of the connection"]
        server = _EndlessServer(head, block)
        count = 12

        async def scenario():
            pool = ConnectionPool(time.monotonic, MemoryLog())
            upstream = Upstream(make_server("i-1", port=server.port))
            exchanges = [_Exchange(upstream) for _ in range(count)]
            most = 0
            for exchange in exchanges:
                await pool.send(exchange)
            while any(exchange.result is None for exchange in exchanges):
                most = max(most, pool.buffered_bytes)
                await curio.sleep(0.001)
            return [exchange.result for exchange in exchanges], most, pool

        try:
            results, most, pool = run(scenario)
        finally:
            server.close()
        self.assertEqual({Failure.BROKEN}, set(results))
        self.assertTrue(0 < most <= connections.MAX_BUFFERED_BYTES, most)
        self.assertEqual(0, pool.buffered_bytes)

    def test_the_client_for_the_store_and_peers(self):
        for name, (head, block) in STREAMS.items():
            server = _EndlessServer(head, block)

            async def read(port=server.port):
                client = await HTTPClient.open(("127.0.0.1", port))
                ticks = []
                ticker = await curio.spawn(_count_ticks, ticks)
                try:
                    async with curio.timeout_after(5.0):
                        response = await client.request("GET", "/x")
                except UpstreamError as exc:
                    return exc, ticks
                finally:
                    await client.close()
                    await ticker.cancel()
                return response, ticks

            try:
                result, ticks = run(read)
                self.assertTrue(server.is_closed_by_peer.wait(2.0), name)
            finally:
                server.close()
            if name == "replies to others":
                # This client matches no ids: the first reply is the response, and the
                # connection is not used again.
                continue
            self.assertIsInstance(result, UpstreamError, name)
            gaps = [after - at for at, after in itertools.pairwise(ticks)]
            self.assertTrue(max(gaps, default=0.0) < 0.25, name)

    def test_a_large_reply_that_ends_is_read(self):
        body = b"x" * (2 << 20)
        server = _EndlessServer(_reply(body), b"")
        server.sent_bytes = MAX_SENT_BYTES

        async def scenario():
            pool = ConnectionPool(time.monotonic, MemoryLog())
            exchange = _Exchange(Upstream(make_server("i-1", port=server.port)))
            await pool.send(exchange)
            await exchange.done.wait()
            return exchange.result, pool.buffered_bytes

        try:
            reply, buffered = run(scenario)
        finally:
            server.close()
        self.assertEqual(body, reply.body)
        self.assertEqual(0, buffered)
