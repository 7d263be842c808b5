"""Reads the events of a parser within the bounds of ``framing``."""

import math
import time

import curio
import h11

from ..errors import FramingError
from ..framing import MAX_FIELDS, WORK_BUDGET, MessageWork, check_response_head

__all__ = ["EventReader"]

RECEIVE_BYTES = 65536
# Bytes that are read at once from a sender whose message is slowed down. What the
# parser has not read yet is held meanwhile.
SLOWED_RECEIVE_BYTES = 4096
# Bytes that are read at once before other tasks get a turn. A sender that is faster
# than the parser always has more to read.
TURN_BYTES = 4 * RECEIVE_BYTES


class EventReader:
    """Reads messages from a socket, and gives other tasks a turn in between.

    ``min_part_bytes`` and ``max_excess_steps`` are those of ``MessageWork``. The
    methods raise ``FramingError`` for a message beyond them or with too many fields,
    and for a response that is none of HTTP/1.
    """

    __slots__ = (
        "_budget",
        "_max_excess_steps",
        "_min_part_bytes",
        "_sock",
        "_turn_bytes",
        "_work",
        "is_at_eof",
    )

    def __init__(
        self, sock, min_part_bytes, budget=WORK_BUDGET, max_excess_steps=math.inf
    ):
        self._sock = sock
        self._min_part_bytes = min_part_bytes
        self._max_excess_steps = max_excess_steps
        self._budget = budget
        self.start_message()
        # Bytes that were read since other tasks last had a turn.
        self._turn_bytes = 0
        # Whether the last read met the end of the connection.
        self.is_at_eof = False

    def start_message(self):
        """Count the work for the next message from 0."""
        self._work = MessageWork(
            self._budget, self._min_part_bytes, self._max_excess_steps
        )

    async def receive(self):
        """Return the next bytes of the socket, none at its end."""
        size = SLOWED_RECEIVE_BYTES if self._work.is_slowed else RECEIVE_BYTES
        data = await self._sock.recv(size)
        self.is_at_eof = not data
        return data

    async def note_received(self, size):
        """Count bytes that were given to the parser."""
        self._turn_bytes += size
        if self._turn_bytes >= TURN_BYTES:
            self._turn_bytes = 0
            await curio.sleep(0)
        if self._work.note_step(0):
            await self._wait()

    async def note_event(self, event):
        """Count an event of the parser."""
        if self._work.note_step(_body_bytes(event)):
            await self._wait()

    async def note_part(self, size):
        """Count a part of a message with ``size`` bytes of its body."""
        if self._work.note_step(size):
            await self._wait()

    async def next_event(self, conn):
        """Return the next event of an h11 connection, reading as needed."""
        while True:
            event = conn.next_event()
            if event is not h11.NEED_DATA:
                # As ``note_event``, without a coroutine for each event.
                if self._work.note_step(_body_bytes(event)):
                    await self._wait()
                return event
            data = await self.receive()
            conn.receive_data(data)
            await self.note_received(len(data))

    async def _wait(self):
        await curio.sleep(self._work.check(time.monotonic()))


def _body_bytes(event):
    """Return the bytes of the body in an event; raises ``FramingError``."""
    if type(event) is h11.Data:
        return len(event.data)
    if type(event) is h11.Response:
        check_response_head(event.status_code, event.http_version)
    fields = getattr(event, "headers", ())
    if len(fields) > MAX_FIELDS:
        raise FramingError(f"{len(fields)} fields in a head")
    return 0
