"""Bounds the work that a sender causes by cutting a message into many small parts.

Answers the load pattern in which servers or callers send bodies in chunks of a few
bytes, some of them without end: a parser spends about the same time on a chunk of one
byte as on one of many thousands, so that a bound on bytes bounds neither time nor
memory. Work is counted in steps. A step is one event of the parser or one read.
"""

import math

from .errors import FramingError

__all__ = [
    "MAX_EXCESS_STEPS",
    "MAX_FIELDS",
    "MAX_REPLY_EXCESS_STEPS",
    "MIN_REPLY_PART_BYTES",
    "MIN_REQUEST_PART_BYTES",
    "WORK_BUDGET",
    "MessageWork",
    "WorkBudget",
    "check_response_head",
]

# Statuses of responses (RFC 9110, section 15). Informational ones come as other events.
MIN_RESPONSE_STATUS = 200
MAX_RESPONSE_STATUS = 599
HTTP_MAJOR_VERSION = b"1."
# Steps of a message that are not counted as excess: a number for each message, one for
# so many bytes of its body, and so many a second.
FREE_STEPS = 64
BYTES_PER_STEP = 512
STEPS_PER_S = 200.0
# Steps after which other tasks get a turn, about 1 ms on a whole core.
TURN_STEPS = 64
# Most excess steps of a message whose parts are too small on average, and the same
# while the budget of the process is used up.
MAX_EXCESS_STEPS = 1024
MAX_EXCESS_STEPS_UNDER_LOAD = 256
# Least mean size of the parts of a message with more excess steps, in bytes. Bodies of
# requests are much shorter than replies may be, so callers may send smaller parts.
MIN_REPLY_PART_BYTES = 64
MIN_REQUEST_PART_BYTES = 16
# Most excess steps of a server's reply whatever the size of its parts. It leaves room
# for more than 1 MB in parts of 256 bytes.
MAX_REPLY_EXCESS_STEPS = 4096
# Most fields of a head or of trailers. A field takes about 300 bytes, however short.
MAX_FIELDS = 256
# Processor time of a step in s, and the part of the process's share of a core that
# excess steps of all messages may take.
STEP_S = 12e-6
EXCESS_FRACTION = 0.1
# Excess steps that may be made at once after a time without any.
BURST_STEPS = 2048.0


def check_response_head(status, http_version):
    """Raise ``FramingError`` unless these are of a response of HTTP/1.

    Whoever takes other bytes for a response passes on what is no answer. The parser
    takes any three digits and any version.

    >>> check_response_head(599, b"1.1")
    >>> check_response_head(600, b"1.1")
    Traceback (most recent call last):
    ...
    almondtide.errors.FramingError: status 600 is none of HTTP
    """
    if not MIN_RESPONSE_STATUS <= status <= MAX_RESPONSE_STATUS:
        raise FramingError(f"status {status} is none of HTTP")
    if not http_version.startswith(HTTP_MAJOR_VERSION):
        version = http_version.decode("latin-1")
        raise FramingError(f"a response of HTTP/{version}")


class WorkBudget:
    """Excess steps of all messages that a process reads, as a token bucket.

    ``counts`` has the messages that were slowed down and those that were refused.
    """

    __slots__ = ("_filled_at", "_steps", "_steps_per_s", "counts")

    def __init__(self, core_share=1.0):
        self._steps = BURST_STEPS
        self._filled_at = None
        self.counts = {"slowed": 0, "refused": 0}
        self.set_core_share(core_share)

    def set_core_share(self, core_share):
        """Set the part of a core that the process has, in cores."""
        self._steps_per_s = core_share * EXCESS_FRACTION / STEP_S

    def is_used_up(self, now):
        """Return whether more steps have to wait at the time ``now`` in s."""
        self._fill(now)
        return self._steps <= 0.0

    def take(self, steps, now):
        """Take steps; return how long the message that made them waits, in s."""
        self._fill(now)
        self._steps -= steps
        return max(0.0, -self._steps / self._steps_per_s)

    def _fill(self, now):
        if self._filled_at is not None:
            added = max(0.0, now - self._filled_at) * self._steps_per_s
            self._steps = min(BURST_STEPS, self._steps + added)
        self._filled_at = now


# The budget of this process, for all its connections together.
WORK_BUDGET = WorkBudget()


class MessageWork:
    """The steps made to read one message.

    ``budget`` is a ``WorkBudget``. ``min_part_bytes`` is the least mean size of the
    parts of a long message, and ``max_excess_steps`` bounds the excess of one with
    larger parts.

    >>> work = MessageWork(WorkBudget(), MIN_REPLY_PART_BYTES)
    >>> any(work.note_step(4096) for _ in range(TURN_STEPS - 1))
    False
    >>> work.note_step(4096), work.check(now=1.0), work.is_slowed
    (True, 0.0, False)
    """

    __slots__ = (
        "_body_bytes",
        "_budget",
        "_check_at",
        "_excess",
        "_max_excess_steps",
        "_min_part_bytes",
        "_started_at",
        "_steps",
        "is_slowed",
    )

    def __init__(self, budget, min_part_bytes, max_excess_steps=math.inf):
        self._budget = budget
        self._min_part_bytes = min_part_bytes
        self._max_excess_steps = max_excess_steps
        self._steps = 0
        self._body_bytes = 0
        self._check_at = TURN_STEPS
        self._excess = 0.0
        self._started_at = None
        # Whether it has made excess steps.
        self.is_slowed = False

    def note_step(self, body_bytes):
        """Count a step that read ``body_bytes``; return whether ``check`` is due."""
        self._steps += 1
        self._body_bytes += body_bytes
        return self._steps >= self._check_at

    def check(self, now):
        """Return how long to wait before the next step, in s, at least for a turn.

        Raises ``FramingError`` if the sender's parts are too small.
        """
        if self._started_at is None:
            self._started_at = now
        self._check_at = self._steps + TURN_STEPS
        free = FREE_STEPS + self._body_bytes / BYTES_PER_STEP
        free += (now - self._started_at) * STEPS_PER_S
        excess = self._steps - free
        if excess <= self._excess:
            return 0.0
        limit = MAX_EXCESS_STEPS
        if self._budget.is_used_up(now):
            limit = MAX_EXCESS_STEPS_UNDER_LOAD
        is_in_small_parts = self._body_bytes < self._steps * self._min_part_bytes
        if not is_in_small_parts:
            limit = self._max_excess_steps
        if excess > limit:
            self._budget.counts["refused"] += 1
            raise FramingError(
                f"{self._body_bytes} bytes of a body in {self._steps} parts"
            )
        if not self.is_slowed:
            self.is_slowed = True
            self._budget.counts["slowed"] += 1
        delta, self._excess = excess - self._excess, excess
        return self._budget.take(delta, now)
