"""Graceful shutdown: stop being handed out, finish, then stop."""

import curio

__all__ = ["Drain"]

POLL_S = 0.05
# Callers count the age of an address answer from its arrival, in s.
TRANSIT_MARGIN_S = 0.5


class Drain:
    """Tracks whether this daemon is leaving and when it may stop.

    A daemon that leaves tells its peers, is no longer part of address answers
    and serves on until the last answer that named it has expired and all
    running requests have finished.
    """

    __slots__ = ("_clock", "_handed_out_until", "requested", "started")

    def __init__(self, clock):
        self._clock = clock
        self.requested = curio.Event()
        self.started = None
        self._handed_out_until = 0.0

    @property
    def leaving(self):
        """Whether the shutdown has begun."""
        return self.started is not None

    def begin(self, max_age_s):
        """Begin the shutdown; answers given out until now live ``max_age_s``."""
        if self.started is None:
            self.started = self._clock.monotonic()
            self._handed_out_until = self.started + max_age_s + TRANSIT_MARGIN_S

    async def wait(self, running, timeout_s):
        """Wait until nothing can reach this daemon any more.

        ``running()`` returns the number of running requests. Returns whether
        everything finished within ``timeout_s``.
        """
        limit = self.started + timeout_s
        while True:
            now = self._clock.monotonic()
            if now >= self._handed_out_until and running() == 0:
                return True
            if now >= limit:
                return False
            await curio.sleep(POLL_S)
