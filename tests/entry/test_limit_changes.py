"""Tests of connections of callers while the limits of the configuration change."""

import itertools
import types
from unittest import mock

import curio
import testtools

from almondtide.entry import callers
from almondtide.entry.answers import Answer
from almondtide.entry.caller_memory import CallerMemory
from almondtide.entry.callers import CallerConnection
from almondtide.entry.memory_bounds import MemoryBounds
from almondtide.entry.policy.caller_limits import OVERLAP_FRACTION, LimitsInForce
from almondtide.entry.relay_marks import RELAY_HEAD_BYTES
from almondtide.errors import ResultCode
from almondtide.model.published import CallerLimits
from standins.virtual_time import VirtualClock, run_in_virtual_time
from tests.entry.support import memory_settings
from tests.support import MemoryLog, socket_pair

APPLY_S = 3.0
OVERLAP_S = OVERLAP_FRACTION * APPLY_S
# Low and high value of each limit; a request between them is proper by the high one.
FIELDS = {
    "max_header_bytes": (400, 4000),
    "max_body_bytes": (50, 500),
    "header_timeout_s": (1.0, 8.0),
    "idle_timeout_s": (4.0, 30.0),
}
HEAD_BYTES = 2500
BODY_BYTES = 200
PART_BYTES = 40
# How long a request stops halfway, and a connection stays idle.
STOP_S = 3.0
IDLE_S = 20.0
# What the connection does when the limit changes.
STATES = ("new", "idle", "head", "body", "waiting", "handed over")
CALL_S = 6.0
SWEEP_S = 0.25
SEGMENT_BYTES = 1000


class _Frontend:
    """Answers each request after ``CALL_S`` if its path is /slow, else at once."""

    def __init__(self, clock, limits, has_version=True):
        self.limits = LimitsInForce(CallerLimits())
        if has_version:
            self.limits.apply(limits, clock.monotonic() - 100.0, APPLY_S)
        self.requests = []
        self.codes = []
        bounds = MemoryBounds(memory_settings(None))
        self.memory = CallerMemory(bounds, clock.monotonic, MemoryLog())

    def is_closing(self):
        return False

    async def answer(self, request, connection):
        self.requests.append(request)
        await curio.sleep(CALL_S if request.path == "/slow" else 0.001)
        return Answer(200, [(b"server-stamp", b"s")], b"", ResultCode.OK)

    async def abandon(self, connection):
        pass

    def record_refusal(self, code, message):
        self.codes.append(code)

    def record_undelivered(self, request, exc):
        pass


class _Caller:
    """A caller's end of a connection."""

    def __init__(self, clock, frontend):
        self.clock = clock
        self.frontend = frontend
        self._sock, self._theirs = socket_pair()
        self._sock.setblocking(False)
        self.connection = None
        self.task = None

    async def open(self):
        self.connection = CallerConnection(self._theirs, self.frontend)

        async def serve():
            async with self._theirs:
                await self.connection.run()

        self.task = await curio.spawn(serve, daemon=True)
        await curio.spawn(self._sweep, daemon=True)
        await curio.sleep(0.01)

    async def _sweep(self):
        while True:
            await curio.sleep(SWEEP_S)
            now = self.clock.monotonic()
            await self.connection.close_if_overdue(self.task, now)

    async def send(self, data):
        """Send data in segments; what a closed connection does not take is lost."""
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self._sock.send(rest[:SEGMENT_BYTES]) :]
            except OSError:
                break
            await curio.sleep(0.001)
        await curio.sleep(0.01)

    async def read(self):
        """Return the statuses of the answers so far, and "closed" after the end."""
        data = b""
        try:
            while part := self._sock.recv(65536):
                data += part
            end = ["closed"]
        except BlockingIOError:
            end = []
        except OSError:
            end = ["closed"]
        return [int(x[:3]) for x in data.split(b"HTTP/1.1 ")[1:]] + end


def _request(body_bytes=0, head_bytes=0, mark=b""):
    """Return a request whose head has ``head_bytes`` without the mark of a peer."""
    head = b"POST /p HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
    tail = b"Content-Length: %d\r\n\r\n" % body_bytes
    filler = max(0, head_bytes - len(head) - len(tail) - 5)
    pad = b"a: %b\r\n" % (b"x" * filler) if filler else b""
    line, _, rest = head.partition(b"\r\n")
    return line + b"\r\n" + mark + rest + pad + tail + b"b" * body_bytes


SMALL = b"GET /p HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n"
SLOW = SMALL.replace(b"/p", b"/slow")
MARK = b"almondtide-relay: 0\r\ndeadline-ms: 100\r\nexpect-instance: front-1\r\n"


class _Play:
    """One connection over a change of a limit from ``first`` to ``second``."""

    def __init__(self, field, state, first, second, has_version=True):
        self.field = field
        self.state = state
        self.second = second
        self.clock = VirtualClock()
        self.frontend = _Frontend(self.clock, self._limits(first), has_version)
        self.caller = _Caller(self.clock, self.frontend)

    def _limits(self, value):
        fields = {"max_header_bytes": 4000, "max_body_bytes": 500, self.field: value}
        return CallerLimits(**fields)

    def _change(self):
        limits = self._limits(self.second)
        self.frontend.limits.apply(limits, self.clock.monotonic(), APPLY_S)

    def run(self, wait_s):
        """Return (what the caller got for its request, codes of refusals).

        ``wait_s`` is the time from the change to a request that begins after it.
        """
        module = types.SimpleNamespace(monotonic=self.clock.monotonic)
        with mock.patch.object(callers, "time", module):
            return run_in_virtual_time(self._run, wait_s, clock=self.clock)

    async def _run(self, wait_s):
        caller = self.caller
        head_bytes = HEAD_BYTES if self.field == "max_header_bytes" else 0
        mark = MARK if self.state == "handed over" else b""
        data = _request(BODY_BYTES, head_bytes, mark)
        head_end = data.index(b"\r\n\r\n") + 4
        cut = head_end + PART_BYTES if self.state == "body" else PART_BYTES
        stop_s = STOP_S if self.field == "header_timeout_s" else 0.1
        if self.state in ("head", "body", "waiting"):
            await self._change_halfway(data[:cut])
        else:
            await self._change_before(wait_s)
            await caller.send(data[:cut])
        await curio.sleep(stop_s)
        await caller.send(data[cut:])
        is_waiting = self.state == "waiting"
        await curio.sleep(CALL_S if is_waiting else 0.0)
        await curio.sleep(0.5)
        # The first answer is that to the call behind which the request waited.
        return (await caller.read())[is_waiting:], self.frontend.codes

    async def _change_halfway(self, part):
        """Send a part of the request, behind another call or not, and change."""
        await self.caller.open()
        if self.state == "waiting":
            await self.caller.send(SLOW)
        await self.caller.send(part)
        self._change()

    async def _change_before(self, wait_s):
        """Change the limit while there is no connection, or an idle one."""
        idle_s = IDLE_S if self.field == "idle_timeout_s" else 0.0
        if self.state == "new":
            self._change()
            await curio.sleep(wait_s)
            await self.caller.open()
            await curio.sleep(idle_s)
            return
        await self.caller.open()
        await self.caller.send(SMALL)
        await self.caller.read()
        self._change()
        await curio.sleep(max(wait_s, idle_s))


def _play(field, state, first, second, wait_s, has_version=True):
    return _Play(field, state, first, second, has_version).run(wait_s)


REFUSALS = {
    "max_header_bytes": [431, "closed"],
    "max_body_bytes": [413, "closed"],
    "header_timeout_s": [408, "closed"],
    "idle_timeout_s": ["closed"],
}


class LimitChangeTest(testtools.TestCase):
    """Guards against requests that are judged by the limits of another time."""

    def test_a_raised_limit(self):
        # Kept connections refused with 431 and 413, and closed, by the old version.
        for field, state, wait_s in itertools.product(
            FIELDS, STATES, (0.05, 2 * APPLY_S)
        ):
            # A head that is complete is judged by then.
            if (field, state) != ("max_header_bytes", "body"):
                found, codes = _play(field, state, *FIELDS[field], wait_s)
                self.assertEqual(([200], []), (found, codes), (field, state, wait_s))

    def test_a_lowered_limit_binds_what_begins_after_the_overlap(self):
        for field, state in itertools.product(FIELDS, ("new", "idle", "handed over")):
            high_to_low = FIELDS[field][::-1]
            found, _ = _play(field, state, *high_to_low, OVERLAP_S + 0.1)
            self.assertEqual(REFUSALS[field], found, (field, state))

    def test_a_lowered_limit_spares_what_begins_in_the_overlap(self):
        for field, state in itertools.product(FIELDS, ("new", "idle", "handed over")):
            if field == "idle_timeout_s":
                continue
            found, codes = _play(field, state, *FIELDS[field][::-1], OVERLAP_S / 2)
            self.assertEqual(([200], []), (found, codes), (field, state))

    def test_a_lowered_limit_spares_what_has_begun(self):
        for field, state in itertools.product(FIELDS, ("head", "body", "waiting")):
            found, codes = _play(field, state, *FIELDS[field][::-1], 0.0)
            self.assertEqual(([200], []), (found, codes), (field, state))

    def test_a_connection_from_before_the_first_version(self):
        for field, state in itertools.product(FIELDS, ("idle", "head", "body")):
            low, high = FIELDS[field]
            if (field, state) == ("max_header_bytes", "body"):
                continue
            found, codes = _play(field, state, low, high, 0.05, has_version=False)
            self.assertEqual(([200], []), (found, codes), (field, state))


class HeadSizeTest(testtools.TestCase):
    """Guards against bounds on heads that depend on how the head arrives."""

    LIMIT = 1000

    def _send(self, *parts, has_version=True):
        clock = VirtualClock()
        limits = CallerLimits(max_header_bytes=self.LIMIT, max_body_bytes=500)

        async def scenario():
            frontend = _Frontend(clock, limits, has_version)
            caller = _Caller(clock, frontend)
            await caller.open()
            for part in parts:
                await caller.send(part)
            return await caller.read()

        with mock.patch.object(
            callers, "time", types.SimpleNamespace(monotonic=clock.monotonic)
        ):
            return run_in_virtual_time(scenario, clock=clock)

    def test_at_once_and_in_parts(self):
        for size, expected in (
            (self.LIMIT, [200]),
            (self.LIMIT + 1, [431, "closed"]),
        ):
            data = _request(0, size)
            self.assertEqual(size, len(data))
            self.assertEqual(expected, self._send(data), size)
            self.assertEqual(expected, self._send(data[:700], data[700:]), size)
            # After another request, in the same packet.
            self.assertEqual([200, *expected], self._send(SMALL + data), size)

    def test_a_head_without_end(self):
        self.assertEqual([431, "closed"], self._send(_request(0, 5000)[:1100]))

    def test_a_peer_may_add_its_fields(self):
        # A request at the bound was refused by the peer that it was handed to.
        data = _request(0, self.LIMIT, MARK)
        self.assertEqual([200], self._send(data))
        self.assertEqual([200], self._send(data[: self.LIMIT + 1], data[1001:]))
        longest = _request(0, self.LIMIT + RELAY_HEAD_BYTES, MARK)
        self.assertEqual([431, "closed"], self._send(longest))

    def test_an_unknown_limit_denies_nothing(self):
        # Without a configuration no caller can be beyond its limits.
        big = CallerLimits().max_header_bytes + 1
        for parts in (
            (_request(0, big),),
            (_request(CallerLimits().max_body_bytes + 1),),
        ):
            self.assertEqual([503, "closed"], self._send(*parts, has_version=False))
