"""Tests of the memory that the entry holds for callers and servers."""

import socket as stdlib_socket
import time

import curio
import testtools

from almondtide.entry import callers
from almondtide.entry.answers import Answer
from almondtide.entry.caller_memory import CallerMemory
from almondtide.entry.callers import CallerConnection
from almondtide.entry.connections import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    ConnectionPool,
)
from almondtide.entry.memory_bounds import (
    SERVER_BODIES_BYTES,
    MemoryBounds,
    UnreadAnswers,
)
from almondtide.entry.upstreams import Upstream, UpstreamTable
from almondtide.errors import ResultCode
from almondtide.model.published import CallerLimits
from tests.entry.support import make_call, make_route, make_server, memory_settings
from tests.entry.test_callers import REQUEST, _Frontend
from tests.entry.test_connections import _Exchange, _reply, _Server
from tests.support import MemoryLog, run

# The bound of unread answers is 1 MB, that of request bodies 0.6 MB.
LIMIT_BYTES = 4_000_000
ANSWER_BYTES = 450_000
POST = (
    b"POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %b\r\nContent-Length: %d\r\n%b\r\n"
)


class UnreadAnswersTest(testtools.TestCase):
    """Guards against the wrong caller losing its connection."""

    def test_the_caller_that_read_nothing_for_the_longest_time(self):
        unread = UnreadAnswers()
        for now, holder in enumerate("abcd"):
            unread.add(holder, 40, float(now))
        # "a" has read something, which its socket shows, and "b" everything.
        unread.note_sent("a", 30, 0.0)
        unread.note_queued("a", 30, 1.0)
        unread.note_queued("a", 20, 5.0)
        unread.note_sent("b", 40, 5.0)
        unread.note_queued("b", 0, 5.0)
        self.assertIsNone(unread.most_stalled(110))
        self.assertIsNone(unread.most_stalled(None))
        self.assertEqual("c", unread.most_stalled(109))
        self.assertEqual((40, 2.0), unread.remove("c"))
        self.assertEqual("d", unread.most_stalled(69))
        unread.remove("d")
        # The only answer is not given up.
        self.assertIsNone(unread.most_stalled(10))
        self.assertEqual((30, 5.0), unread.remove("a"))
        self.assertIsNone(unread.remove("a"))
        self.assertEqual((0, []), (unread.total_bytes, unread.holders()))


class BoundsTest(testtools.TestCase):
    """Guards against bounds without a memory limit, and wrong ones with it."""

    def test_without_a_limit_there_are_none(self):
        bounds = MemoryBounds(memory_settings(None))
        self.assertIsNone(bounds.unread_answer_bytes)
        self.assertTrue(bounds.has_body_room(1 << 40, 1 << 40))
        self.assertTrue(bounds.has_server_room(1 << 40, 1 << 40, 100))

    def test_the_bounds_follow_the_limit(self):
        # None, the smallest and the largest limit.
        for limit_bytes in (None, 152_000_000, 552_000_000):
            pool = ConnectionPool(time.monotonic, MemoryLog())
            bounds = MemoryBounds(memory_settings(limit_bytes))
            pool.memory_bounds = bounds
            is_smaller = limit_bytes == 152_000_000
            self.assertEqual(is_smaller, pool.max_reply_bytes < MAX_BODY_BYTES)
            self.assertEqual(not is_smaller, pool.reserve(MAX_BUFFERED_BYTES))
            if limit_bytes is not None:
                held_bytes = bounds.unread_answer_bytes + bounds.request_body_bytes
                held_bytes += bounds.incomplete_reply_bytes(MAX_BUFFERED_BYTES)
                # An entry without work for others took 38 MB.
                self.assertTrue(held_bytes < limit_bytes - 38_000_000, held_bytes)


class ServerBodiesTest(testtools.TestCase):
    """Guards against servers that end since they hold too many request bodies."""

    def _table(self, limit_bytes=LIMIT_BYTES, entry_count=4):
        table = UpstreamTable("lautoka")
        table.memory_bounds = MemoryBounds(memory_settings(limit_bytes))
        table.entry_count = entry_count
        table.apply(make_server("i-1", "a", slots=40))
        return table

    def _exchange(self, size):
        exchange = make_call(make_route())
        exchange.request.body = b"x" * size
        return exchange

    def test_the_entries_together_keep_to_the_bound(self):
        for entry_count in (1, 2, 6):
            table = self._table(entry_count=entry_count)
            body_bytes = 200_000
            sent = 0
            while upstream := table.choose("a", 0.0, body_bytes=body_bytes):
                upstream.start(self._exchange(body_bytes), 0.0, 0.05)
                sent += 1
            self.assertTrue(sent * entry_count * body_bytes <= SERVER_BODIES_BYTES)
            self.assertTrue((sent + 1) * entry_count * body_bytes > SERVER_BODIES_BYTES)
            # Requests without a body hold nothing there.
            self.assertIsNotNone(table.choose("a", 0.0))

    def test_a_body_beyond_the_share_is_sent_when_none_is_in_progress(self):
        table = self._table()
        upstream = table.choose("a", 0.0, body_bytes=SERVER_BODIES_BYTES)
        exchange = self._exchange(SERVER_BODIES_BYTES)
        upstream.start(exchange, 0.0, 0.05)
        self.assertIsNone(table.choose("a", 0.0, body_bytes=1))
        upstream.succeed(exchange, 0.01)
        self.assertIsNotNone(table.choose("a", 0.02, body_bytes=SERVER_BODIES_BYTES))


class _Callers:
    """Callers on real sockets whose answers have ``ANSWER_BYTES``."""

    def __init__(self, limit_bytes=LIMIT_BYTES, answer_bytes=ANSWER_BYTES):
        self.frontend = _Frontend(limits=CallerLimits(max_body_bytes=500_000))
        self.frontend.answer = self._answer
        self.log = MemoryLog()
        self.memory = self.frontend.memory = CallerMemory(
            MemoryBounds(memory_settings(limit_bytes)), time.monotonic, self.log
        )
        self.answer_bytes = answer_bytes
        self.is_answering = curio.Event()
        self.answered = []
        self._tasks = []
        self._socks = []

    async def _answer(self, request, connection):
        await self.is_answering.wait()
        self.answered.append(request.id)
        body = b"x" * self.answer_bytes
        return Answer(200, [(b"server-stamp", b"s")], body, ResultCode.OK)

    async def connect(self, data):
        """Open a connection with small buffers, and send a request on it."""
        ours, theirs = _connected_sockets()
        sock = curio.io.Socket(theirs)

        async def serve():
            async with sock:
                await CallerConnection(sock, self.frontend).run()

        self._tasks.append(await curio.spawn(serve, daemon=True))
        self._socks.append(ours)
        await curio.run_in_thread(ours.sendall, data)
        await curio.sleep(0.03)
        return ours

    async def close(self):
        for sock in self._socks:
            sock.close()
        for task in self._tasks:
            await task.cancel()


def _connected_sockets():
    """Return both ends of a TCP connection that takes little before it is read."""
    ours = stdlib_socket.socket()
    ours.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_RCVBUF, 4096)
    ours.settimeout(5)
    with stdlib_socket.create_server(("127.0.0.1", 0)) as listener:
        ours.connect(listener.getsockname())
        theirs, _ = listener.accept()
    theirs.setblocking(False)
    theirs.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_SNDBUF, 4096)
    return ours, theirs


async def _receive(sock, size):
    """Return the bytes that a caller gets until it has ``size`` or the end."""
    received = b""
    try:
        while len(received) < size:
            data = await curio.run_in_thread(sock.recv, 65536)
            if not data:
                break
            received += data
    except OSError:
        pass
    return received


def _run(scenario, **options):
    async def run_scenario():
        fleet = _Callers(**options)
        await fleet.is_answering.set()
        try:
            return await scenario(fleet)
        finally:
            await fleet.close()

    return run(run_scenario)


class SlowCallersTest(testtools.TestCase):
    """Guards against callers that take the entry's memory, or others' answers."""

    def test_beyond_the_bound_the_one_stalled_longest_loses_its_connection(self):
        async def scenario(fleet):
            slow = [await fleet.connect(REQUEST % b"id-%d" % n) for n in range(3)]
            received = [await _receive(sock, ANSWER_BYTES) for sock in slow]
            return fleet, received

        fleet, received = _run(scenario)
        lengths = [len(data) >= ANSWER_BYTES for data in received]
        self.assertEqual([False, True, True], lengths)
        self.assertEqual(1, fleet.memory.counts["answers_dropped"])
        self.assertEqual(["id-0"], fleet.frontend.undelivered)
        (fields,) = [f for name, f in fleet.log.events if name == "answer_dropped"]
        self.assertEqual("id-0", fields["id"])
        self.assertEqual(1_000_000, fields["bound_bytes"])

    def test_a_caller_that_goes_on_reading_keeps_its_connection(self):
        async def scenario(fleet):
            first = await fleet.connect(REQUEST % b"id-0")
            second = await fleet.connect(REQUEST % b"id-1")
            # The first caller reads a part, so the second one is stalled longest.
            part = await _receive(first, 100_000)
            fleet.memory.sample()
            third = await fleet.connect(REQUEST % b"id-2")
            rest = await _receive(first, ANSWER_BYTES - len(part))
            await _receive(third, ANSWER_BYTES)
            return fleet, part + rest, await _receive(second, ANSWER_BYTES)

        fleet, first, second = _run(scenario)
        self.assertTrue(len(second) < ANSWER_BYTES <= len(first))
        self.assertEqual(["id-1"], fleet.frontend.undelivered)

    def test_answers_that_only_the_socket_holds_count(self):
        async def scenario(fleet):
            sock = await fleet.connect(REQUEST % b"id-0")
            await curio.sleep(0.02)
            fleet.memory.sample()
            held_bytes = fleet.memory.unread_answer_bytes
            received = await _receive(sock, 2000)
            await curio.sleep(0.1)
            fleet.memory.sample()
            return held_bytes, len(received), fleet.memory.unread_answer_bytes

        held_bytes, size, left_bytes = _run(scenario, answer_bytes=8000)
        self.assertTrue(0 < held_bytes <= 8200, held_bytes)
        self.assertTrue(left_bytes < held_bytes, (size, left_bytes))

    def test_below_the_bound_an_answer_is_delivered_however_late(self):
        self.patch(callers, "SEND_TIMEOUT_S", 0.05)

        async def scenario(fleet):
            sock = await fleet.connect(REQUEST % b"id-0")
            await curio.sleep(0.3)
            return fleet, await _receive(sock, ANSWER_BYTES)

        fleet, received = _run(scenario)
        self.assertTrue(len(received) >= ANSWER_BYTES)
        self.assertEqual([], fleet.frontend.undelivered)
        # Without a memory limit the time limit holds as before.
        fleet, received = _run(scenario, limit_bytes=None)
        self.assertTrue(len(received) < ANSWER_BYTES)
        self.assertEqual(["id-0"], fleet.frontend.undelivered)


class RequestBodiesTest(testtools.TestCase):
    """Guards against callers that take the entry's memory with request bodies."""

    def _run(self, scenario, **options):
        async def prepared(fleet):
            fleet.is_answering.clear()
            return await scenario(fleet)

        return _run(prepared, answer_bytes=10, **options)

    def _post(self, number, size, extra=b""):
        return POST % (b"id-%d" % number, size, extra) + b"x" * size

    def test_beyond_the_bound_a_new_request_is_refused(self):
        async def scenario(fleet):
            socks = [
                await fleet.connect(self._post(number, 250_000)) for number in range(3)
            ]
            refusal = await _receive(socks[2], 1)
            get = await fleet.connect(REQUEST % b"id-3")
            held_bytes = fleet.memory.body_bytes
            await fleet.is_answering.set()
            answers = [await _receive(sock, 1) for sock in (*socks[:2], get)]
            return fleet, refusal, held_bytes, answers

        fleet, refusal, held_bytes, answers = self._run(scenario)
        self.assertTrue(refusal.startswith(b"HTTP/1.1 503"), refusal)
        self.assertIn(b"retry-after: 0.", refusal)
        self.assertEqual(500_000, held_bytes)
        for answer in answers:
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertEqual({"id-0", "id-1", "id-3"}, set(fleet.answered))
        self.assertEqual(1, fleet.memory.counts["bodies_refused"])
        self.assertEqual(0, fleet.memory.body_bytes)

    def test_how_a_body_that_does_not_fit_is_refused(self):
        chunked = REQUEST.replace(b"GET", b"POST") % b"id-1"
        chunked = chunked[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
        chunked += b"%x\r\n" % 200_000 + b"x" * 200_000 + b"\r\n"
        expecting = POST % (b"id-1", 250_000, b"Expect: 100-continue\r\n")
        too_large = self._post(1, 500_001)
        for data, status in (
            (chunked, b"503"),
            (expecting, b"503"),
            (too_large, b"413"),
        ):

            async def scenario(fleet, data=data):
                # The end of the first body does not arrive.
                first = await fleet.connect(self._post(0, 490_000)[:-10_000])
                refusal = await _receive(await fleet.connect(data), 1)
                first.close()
                await curio.sleep(0.05)
                return refusal, fleet.memory.body_bytes

            refusal, left_bytes = self._run(scenario)
            self.assertTrue(refusal.startswith(b"HTTP/1.1 " + status), refusal)
            # A caller that leaves holds nothing.
            self.assertEqual(0, left_bytes)


class _SlowServer(_Server):
    """Replies to a request of which it reads only the beginning."""

    async def _serve(self, client):
        async with client:
            await client.recv(1000)
            for part in self.replies:
                await client.sendall(part)
                await curio.sleep(0.1)
            await curio.sleep(5.0)


class SlowServersTest(testtools.TestCase):
    """Guards against a reply that stays unread while its request is written."""

    def test_a_reply_that_comes_before_the_request_is_read(self):
        # More than the buffers of both sockets take.
        body = b"x" * (24 << 20)
        head, rest = _reply(b"y" * 1000)[:100], _reply(b"y" * 1000)[100:]

        async def scenario():
            async with _SlowServer([head, rest]) as server:
                pool = ConnectionPool(time.monotonic, MemoryLog())
                pool.memory_bounds = MemoryBounds(memory_settings(152_000_000))
                upstream = Upstream(make_server("i-1", port=server.port))
                exchange = _Exchange(upstream, body=body)
                await pool.send(exchange)
                async with curio.timeout_after(2):
                    await exchange.done.wait()
                await curio.sleep(0.02)
                return exchange, upstream.connection_count

        exchange, connection_count = run(scenario)
        self.assertEqual(
            (200, 1000), (exchange.result.status, len(exchange.result.body))
        )
        # The rest of the request is not written before another one.
        self.assertEqual(0, connection_count)
