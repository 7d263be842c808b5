"""Tests of caller connections, over a pair of connected sockets."""

import time

import curio
import testtools

from almondtide.entry.answers import Answer
from almondtide.entry.caller_memory import CallerMemory
from almondtide.entry.callers import CallerConnection
from almondtide.entry.memory_bounds import MemoryBounds
from almondtide.entry.policy.caller_limits import LimitsInForce
from almondtide.errors import ResultCode
from almondtide.model.published import CallerLimits
from tests.entry.support import memory_settings
from tests.support import MemoryLog, run, socket_pair

REQUEST = b"GET /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %b\r\n\r\n"


class _Frontend:
    """Answers each request with its id as the body after ``delay_s``."""

    def __init__(self, delay_s=0.0, limits=None, is_leaving=False):
        self.delay_s = delay_s
        self.is_leaving = is_leaving
        self.limits = LimitsInForce(CallerLimits())
        self.limits.apply(limits or CallerLimits(), time.monotonic(), 0.0)
        self.requests = []
        self.abandoned = 0
        self.refusals = []
        self.undelivered = []
        bounds = MemoryBounds(memory_settings(None))
        self.memory = CallerMemory(bounds, time.monotonic, MemoryLog())

    def is_closing(self):
        return self.is_leaving

    async def answer(self, request, connection):
        self.requests.append(request)
        await curio.sleep(self.delay_s)
        body = request.id.encode()
        return Answer(200, [(b"server-stamp", b"s")], body, ResultCode.OK)

    async def abandon(self, connection):
        self.abandoned += 1

    def record_refusal(self, code, message):
        self.refusals.append(int(code))

    def record_undelivered(self, request, exc):
        self.undelivered.append(request.id)


def _exchange(frontend, *parts, pause_s=0.02, close=False):
    """Send the parts over a connection; returns all received bytes."""

    async def run_scenario():
        ours, theirs = socket_pair()
        connection = CallerConnection(theirs, frontend)

        async def serve():
            async with theirs:
                await connection.run()

        task = await curio.spawn(serve)
        for part in parts:
            await curio.run_in_thread(ours.sendall, part)
            await curio.sleep(pause_s)
        if close:
            ours.close()
            await curio.sleep(0.05)
            await task.cancel()
            return b""
        chunks = []
        ours.settimeout(0.4)
        try:
            while data := await curio.run_in_thread(ours.recv, 65536):
                chunks.append(data)
        except TimeoutError:
            pass
        ours.close()
        await task.cancel()
        return b"".join(chunks)

    return run(run_scenario)


class CallerConnectionTest(testtools.TestCase):
    """Guards against lost or swapped answers, and work for callers that have left."""

    def test_requests_on_one_connection(self):
        frontend = _Frontend()
        data = _exchange(frontend, REQUEST % b"one", REQUEST % b"two")
        self.assertEqual(["one", "two"], [request.id for request in frontend.requests])
        self.assertEqual(2, data.count(b"HTTP/1.1 200"))
        self.assertTrue(data.index(b"one") < data.index(b"two"))

    def test_pipelined_requests_are_answered_in_order(self):
        frontend = _Frontend(delay_s=0.02)
        data = _exchange(
            frontend, REQUEST % b"one" + REQUEST % b"two" + REQUEST % b"three"
        )
        self.assertEqual(
            ["one", "two", "three"], [request.id for request in frontend.requests]
        )
        self.assertTrue(data.endswith(b"three"))

    def test_request_that_arrives_during_an_answer(self):
        frontend = _Frontend(delay_s=0.1)
        _exchange(frontend, REQUEST % b"one", REQUEST % b"two")
        self.assertEqual(["one", "two"], [request.id for request in frontend.requests])

    def test_caller_that_closes_its_connection(self):
        frontend = _Frontend(delay_s=5.0)
        _exchange(frontend, REQUEST % b"one", close=True)
        self.assertEqual(1, frontend.abandoned)

    def test_chunked_body_in_several_segments(self):
        frontend = _Frontend()
        head = (
            b"POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        _exchange(
            frontend, head[:30], head[30:] + b"3\r\nabc\r\n", b"2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(b"abcde", frontend.requests[0].body)

    def test_smuggled_request_is_refused(self):
        frontend = _Frontend()
        data = _exchange(
            frontend,
            b"POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\n"
            b"Content-Length: 3\r\nContent-Length: 30\r\n\r\nabc",
        )
        self.assertTrue(data.startswith(b"HTTP/1.1 400"))
        self.assertEqual([], frontend.requests)

    def test_refusal_of_a_request_that_a_peer_hands_on(self):
        # Without the id the peer takes it for a reply to another request and counts a
        # run, so its caller gets 502 in place of another try.
        head = (
            b"POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\n"
            b"Content-Length: 20\r\n%b\r\n"
        )
        limits = CallerLimits(max_body_bytes=10)
        for mark, expected in ((b"almondtide-relay: 0\r\n", 1), (b"", 0)):
            data = _exchange(_Frontend(limits=limits), head % mark, b"x" * 20)
            self.assertTrue(data.startswith(b"HTTP/1.1 413"), data)
            self.assertEqual(expected, data.count(b"request-id: one"))
            self.assertEqual(expected, data.count(b"almondtide-relay-not-run: 1"))

    def test_request_without_id_or_host(self):
        for head in (
            b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
            b"GET / HTTP/1.0\r\nRequest-Id: one\r\n\r\n",
        ):
            frontend = _Frontend()
            self.assertTrue(_exchange(frontend, head).startswith(b"HTTP/1.1 400"))
            self.assertEqual([100], frontend.refusals)

    def test_limits(self):
        frontend = _Frontend(
            limits=CallerLimits(max_header_bytes=200, max_body_bytes=10)
        )
        data = _exchange(frontend, b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 500)
        self.assertTrue(data.startswith(b"HTTP/1.1 431"))
        data = _exchange(
            frontend,
            b"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\n"
            b"Content-Length: 11\r\n\r\n" + b"x" * 11,
        )
        self.assertTrue(data.startswith(b"HTTP/1.1 413"))
        self.assertEqual([103, 102], frontend.refusals)

    def test_idle_connection_closes_without_an_answer(self):
        frontend = _Frontend(limits=CallerLimits(idle_timeout_s=0.05))
        self.assertEqual(b"", _exchange(frontend))
        data = _exchange(frontend, REQUEST % b"one")
        self.assertEqual(1, data.count(b"HTTP/1.1"))

    def test_a_head_that_never_ends_keeps_no_connection(self):
        frontend = _Frontend(limits=CallerLimits(header_timeout_s=0.1))
        request = REQUEST % b"one"
        data = _exchange(frontend, request, *[b"x"] * 8, pause_s=0.03)
        self.assertEqual(1, len(frontend.requests))
        self.assertIn(b"HTTP/1.1 408", data)
        data = _exchange(frontend, *[b"x"] * 8, pause_s=0.03)
        self.assertTrue(data.startswith(b"HTTP/1.1 408"), data)
        self.assertEqual([108, 108], frontend.refusals)

    def test_a_body_may_take_longer_than_a_head_but_not_stop(self):
        frontend = _Frontend(limits=CallerLimits(header_timeout_s=0.25))
        head = (
            b"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\n"
            b"Content-Length: 12\r\n\r\n"
        )
        data = _exchange(frontend, head, *[b"x"] * 12, pause_s=0.03)
        self.assertTrue(data.startswith(b"HTTP/1.1 200"), data)
        data = _exchange(frontend, head, b"x", pause_s=0.02)
        self.assertTrue(data.startswith(b"HTTP/1.1 408"), data)
        self.assertEqual([108], frontend.refusals)

    def test_answers_of_a_leaving_entry_close_the_connection(self):
        data = _exchange(_Frontend(is_leaving=True), REQUEST % b"one", REQUEST % b"two")
        self.assertIn(b"connection: close", data.lower())
        self.assertEqual(1, data.count(b"HTTP/1.1"))

    def test_no_body_in_the_answer_to_a_head_request(self):
        data = _exchange(_Frontend(), REQUEST.replace(b"GET", b"HEAD") % b"one")
        self.assertTrue(data.endswith(b"\r\n\r\n"))
        self.assertIn(b"content-length: 3", data.lower())


class PlannedStopTest(testtools.TestCase):
    """Guards against requests that a stop cuts off although they have arrived."""

    def _stop_after(self, data):
        """Return what the caller gets if connections close right after ``data``."""

        async def scenario():
            ours, theirs = socket_pair()
            frontend = _Frontend(is_leaving=True)
            connection = CallerConnection(theirs, frontend)

            async def serve():
                async with theirs:
                    await connection.run()

            task = await curio.spawn(serve)
            await curio.sleep(0.01)
            # The task has not run since the bytes arrived.
            ours.sendall(data)
            await connection.close_if_idle(task)
            await curio.sleep(0.05)
            if len(data) < len(REQUEST % b"id-1"):
                await connection.close_if_idle(task)
                ours.sendall((REQUEST % b"id-1")[len(data) :])
            ours.settimeout(0.5)
            received = b""
            try:
                while part := await curio.run_in_thread(ours.recv, 65536):
                    received += part
            except OSError:
                pass
            ours.close()
            await task.cancel()
            return received

        return run(scenario)

    def test_a_request_that_waits_in_the_socket_is_answered(self):
        received = self._stop_after(REQUEST % b"id-1")
        self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
        self.assertIn(b"connection: close", received.lower())

    def test_a_request_that_has_arrived_in_part_is_answered(self):
        received = self._stop_after((REQUEST % b"id-1")[:25])
        self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)

    def test_an_idle_connection_is_closed(self):
        async def scenario():
            ours, theirs = socket_pair()
            connection = CallerConnection(theirs, _Frontend())
            task = await curio.spawn(connection.run)
            await curio.sleep(0.01)
            await connection.close_if_idle(task)
            await curio.sleep(0.01)
            ours.close()
            return task.cancelled

        self.assertTrue(run(scenario))


class DeadlineTest(testtools.TestCase):
    """Guards against a deadline that is guessed from text that is no number."""

    def test_text_that_is_no_number_is_refused(self):
        for text in (b"1_0", b"inf", b"nan", b"-5", b"1e3", b"soon", b""):
            request = (REQUEST % b"id-1")[:-2] + b"Deadline-Ms: %b\r\n\r\n" % text
            frontend = _Frontend()
            received = _exchange(frontend, request)
            self.assertTrue(received.startswith(b"HTTP/1.1 400"), (text, received))
            self.assertEqual([], frontend.requests)

    def test_a_fraction_is_read(self):
        frontend = _Frontend()
        _exchange(frontend, (REQUEST % b"id-1")[:-2] + b"Deadline-Ms: 1.5\r\n\r\n")
        self.assertEqual(0.0015, frontend.requests[0].allowed_s)
