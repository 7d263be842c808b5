"""Monotonic and wall clocks, hybrid logical clock, detection of process pauses."""

import time

__all__ = [
    "BaseClock",
    "HybridLogicalClock",
    "MemoryClock",
    "PauseDetector",
    "SystemClock",
]

PAUSE_THRESHOLD_S = 0.5


class BaseClock:
    """Source of time. Deadlines are in seconds of ``monotonic()``."""

    __slots__ = ()

    def monotonic(self):
        """Return seconds of a clock that never goes back."""
        raise NotImplementedError

    def wall(self):
        """Return seconds since the Unix epoch."""
        raise NotImplementedError


class SystemClock(BaseClock):
    """The clocks of the operating system."""

    __slots__ = ()

    def monotonic(self):
        """Return seconds of the system's monotonic clock."""
        return time.monotonic()

    def wall(self):
        """Return seconds since the Unix epoch."""
        return time.time()


class MemoryClock(BaseClock):
    """A clock that moves only when a test advances it."""

    __slots__ = ("now",)

    def __init__(self, now=1000.0):
        self.now = now

    def advance(self, seconds):
        """Move the clock forward by ``seconds``."""
        self.now += seconds

    def monotonic(self):
        """Return the current test time in seconds."""
        return self.now

    def wall(self):
        """Return the current test time in seconds."""
        return self.now


class HybridLogicalClock:
    """Issues timestamps that respect causality between processes.

    A timestamp is the pair (milliseconds since the Unix epoch, counter). After
    ``observe`` with the timestamp of a received message, all local timestamps are
    greater than it, even when the wall clocks of the processes differ.
    """

    __slots__ = ("_clock", "_counter", "_wall_ms")

    def __init__(self, clock):
        self._clock = clock
        self._wall_ms = 0
        self._counter = 0

    def now(self):
        """Return a new timestamp, greater than all earlier ones."""
        now_ms = int(self._clock.wall() * 1000)
        if now_ms > self._wall_ms:
            self._wall_ms = now_ms
            self._counter = 0
        else:
            self._counter += 1
        return (self._wall_ms, self._counter)

    def observe(self, timestamp):
        """Advance the clock to the ``timestamp`` of a message if that is later."""
        wall_ms, counter = timestamp
        if (wall_ms, counter) > (self._wall_ms, self._counter):
            self._wall_ms = wall_ms
            self._counter = counter


class PauseDetector:
    """Detects pauses of the process by late calls of ``tick``."""

    __slots__ = ("_clock", "_last_tick_s", "interval_s", "threshold_s")

    def __init__(self, clock, interval_s, threshold_s=PAUSE_THRESHOLD_S):
        self._clock = clock
        self.interval_s = interval_s
        self.threshold_s = threshold_s
        self._last_tick_s = clock.monotonic()

    def tick(self):
        """Return the length of the pause since the last tick in seconds, or 0.0.

        Call it every ``interval_s`` seconds. A call that is late by up to
        ``threshold_s`` is taken as an ordinary scheduling delay.
        """
        now = self._clock.monotonic()
        late_s = now - self._last_tick_s - self.interval_s
        self._last_tick_s = now
        return late_s if late_s > self.threshold_s else 0.0
