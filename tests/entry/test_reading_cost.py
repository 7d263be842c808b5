"""Tests of what messages cost to read, in memory and processor time."""

import gc
import random
import threading
import time
import tracemalloc

import curio
import h11
import testtools

from almondtide import framing
from almondtide.adapters.http import HTTPClient, _ServerConnection
from almondtide.entry.callers import CallerConnection
from almondtide.entry.connections import ConnectionPool
from almondtide.entry.upstreams import Failure, Upstream
from almondtide.errors import AlmondtideError
from almondtide.framing import WorkBudget
from almondtide.model.published import CallerLimits
from tests.entry.support import make_server
from tests.entry.test_callers import REQUEST, _Frontend
from tests.entry.test_connections import _Exchange, _reply
from tests.entry.test_endless_replies import CHUNKED, OK, _EndlessServer
from tests.support import MemoryLog, run, socket_pair

POST = b"POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: id-1\r\n"
# Most memory and time that a byte on the wire may take, beside a constant for the
# buffers and for the objects of one head.
MEMORY_PER_BYTE = 2.0
MEMORY_BYTES = 1 << 20
SECONDS_PER_BYTE = 1e-6
SECONDS = 0.1


class _Wire:
    """A socket that has received some bytes, in segments of random sizes."""

    def __init__(self, data, rng, largest):
        self._data = memoryview(data)
        self._rng = rng
        self._largest = largest
        self._socket = self

    async def recv(self, size):
        size = min(size, self._rng.randint(1, self._largest))
        data, self._data = bytes(self._data[:size]), self._data[size:]
        return data

    async def sendall(self, data):
        pass

    def getsockopt(self, *options):
        return 0


def _random_body(rng, size):
    """Return a chunked body of about ``size`` bytes on the wire."""
    part_bytes = rng.choice((1, 2, 7, 16, 64, 500, 8000))
    extension = b";" + b"e" * rng.choice((1, 30, 900)) if rng.random() < 0.3 else b""
    chunk = b"%x%b\r\n%b\r\n" % (part_bytes, extension, b"x" * part_bytes)
    ends = (b"0\r\n\r\n", b"0\r\n" + b"a:b\r\n" * rng.randint(0, 3000) + b"\r\n", b"")
    return chunk * max(1, size // len(chunk)) + rng.choice(ends)


def _random_head(rng):
    line = rng.choice((b"a:\r\n", b"a:\n", b"X-Field: value\r\n"))
    return line * rng.choice((0, 10, 300, 3000))


class ReadingCostTest(testtools.TestCase):
    """Guards against input whose cost is out of proportion to its bytes."""

    def setUp(self):
        super().setUp()
        # A full collection examines the objects of all earlier tests, which are no
        # cost of a message. Those that reading creates are still examined.
        gc.collect()
        gc.freeze()
        self.addCleanup(gc.unfreeze)

    def _inputs(self, rng):
        """Return (name, bytes on the wire, function that reads them from a socket)."""
        size = rng.randint(1000, 600_000)
        body, head = _random_body(rng, size), _random_head(rng)
        chunked = b"Transfer-Encoding: chunked\r\n"
        informational = b"HTTP/1.1 103 Early\r\n%b\r\n" % head
        reply = informational * rng.randint(0, 9) + OK + head + chunked + b"\r\n" + body
        request = POST + head + chunked + b"\r\n" + body
        yield "client", reply, self._read_client
        yield "server", reply, self._read_server_reply
        yield "caller", request, self._read_caller
        yield "caller of a daemon", request, self._read_daemon_caller

    async def _read_client(self, wire):
        client = HTTPClient(wire, "h")
        await client.request("GET", "/x")

    async def _read_server_reply(self, wire):
        # The part of a pooled connection that reads, without its task.
        pool = ConnectionPool(time.monotonic, MemoryLog())
        exchange = _Exchange(Upstream(make_server("i-1")))
        await pool.send(exchange)
        connection = exchange.connection
        await connection.task.cancel()
        connection._reader._sock = wire
        connection._conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=32768)
        connection._restart_reading(exchange.request)
        await connection._receive(exchange.request)

    async def _read_caller(self, wire):
        frontend = _Frontend(limits=CallerLimits(max_header_bytes=16384))
        await CallerConnection(wire, frontend)._read_request()

    async def _read_daemon_caller(self, wire):
        await _ServerConnection(wire, 1 << 18, 16384).read_request()

    def _read(self, function, data, rng, largest):
        async def scenario():
            try:
                await function(_Wire(data, rng, largest))
            except (AlmondtideError, h11.ProtocolError):
                return
            except Exception as exc:
                if type(exc).__name__ not in ("_ExchangeError", "_BadRequestError"):
                    raise

        run(scenario)

    def test_memory_and_time_are_in_proportion_to_the_bytes(self):
        for seed in range(25):
            rng = random.Random(seed)
            largest = rng.choice((20, 1500, 65536))
            for name, data, function in self._inputs(rng):
                sent = data if largest > 20 else data[:20_000]
                # Waits for other messages are no cost of this one.
                framing.WORK_BUDGET._steps = framing.BURST_STEPS
                began_at = time.thread_time()
                self._read(function, sent, rng, largest)
                seconds = time.thread_time() - began_at
                tracemalloc.start()
                try:
                    self._read(function, sent, rng, largest)
                    _, peak = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
                case = (seed, name, len(sent), seconds, peak)
                allowed_s = SECONDS + SECONDS_PER_BYTE * len(sent)
                self.assertTrue(seconds <= allowed_s, case)
                allowed = MEMORY_BYTES + MEMORY_PER_BYTE * len(sent)
                self.assertTrue(peak <= allowed, case)


class SmallPartsTest(testtools.TestCase):
    """Guards against senders of small parts that keep an entry from all others."""

    def setUp(self):
        super().setUp()
        budget = WorkBudget()
        for name in ("_steps", "_filled_at"):
            setattr(framing.WORK_BUDGET, name, getattr(budget, name))

    def test_callers_that_send_bodies_in_chunks_of_one_byte(self):
        body = POST + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 250_000

        async def scenario():
            frontend = _Frontend()
            answers = []

            def send(sock, data):
                try:
                    sock.sendall(data)
                except OSError:
                    # The entry has refused the rest.
                    pass

            async def serve(data):
                ours, theirs = socket_pair()
                async with theirs:
                    task = await curio.spawn(CallerConnection(theirs, frontend).run)
                    threading.Thread(
                        target=send, args=(ours, data), daemon=True
                    ).start()
                    answers.append(await curio.run_in_thread(ours.recv, 100))
                    ours.close()
                    await task.cancel()

            tasks = [await curio.spawn(serve, body) for _ in range(20)]
            await curio.sleep(0.05)
            began_at = time.monotonic()
            await serve(REQUEST % b"other")
            took_s = time.monotonic() - began_at
            for task in tasks:
                await task.join()
            return answers, took_s

        answers, took_s = run(scenario, timeout_s=60)
        statuses = sorted(answer[9:12] for answer in answers)
        self.assertEqual([b"200", *[b"400"] * 20], statuses)
        # The time between two readiness checks that must not both fail.
        self.assertTrue(took_s < 1.0, took_s)

    def test_servers_that_reply_in_chunks_of_one_byte_without_end(self):
        server = _EndlessServer(CHUNKED, b"1\r\nx\r\n" * 10_000)
        sound = _EndlessServer(_reply(b"ok"), b"")
        sound.sent_bytes = 1 << 40

        async def scenario():
            pool = ConnectionPool(time.monotonic, MemoryLog())
            faulty = Upstream(make_server("i-1", port=server.port))
            exchanges = [_Exchange(faulty) for _ in range(20)]
            began_at = time.monotonic()
            for exchange in exchanges:
                await pool.send(exchange)
            await curio.sleep(0.02)
            other = _Exchange(Upstream(make_server("i-2", port=sound.port)))
            asked_at = time.monotonic()
            await pool.send(other)
            await other.done.wait()
            other_s = time.monotonic() - asked_at
            for exchange in exchanges:
                await exchange.done.wait()
            return exchanges, other_s, time.monotonic() - began_at, pool

        try:
            exchanges, other_s, seconds, pool = run(scenario, timeout_s=60)
        finally:
            server.close()
            sound.close()
        results = {exchange.result for exchange in exchanges}
        self.assertEqual({Failure.BROKEN}, results)
        self.assertTrue(other_s < 1.0, other_s)
        # Their callers can still be answered by other servers.
        self.assertTrue(seconds < 4.0, seconds)
        self.assertEqual(0, pool.buffered_bytes)
