"""Graceful shutdown: stop being handed out, finish, then stop."""

import curio

__all__ = ["Drain"]

POLL_S = 0.05
# An answer that was given out just before the shutdown is used up to its age, and
# the request that follows still has to arrive.
ARRIVAL_MARGIN_S = 0.5


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
            self._handed_out_until = self.started + max_age_s

    def answer_age_s(self, max_age_s):
        """Return how long an address answer of now may be used, in seconds.

        An answer of a leaving daemon carries its execution prefix, which must
        not be used after the daemon has stopped.
        """
        if not self.leaving:
            return max_age_s
        return min(
            max_age_s, max(0.0, self._handed_out_until - self._clock.monotonic())
        )

    async def wait(self, running, timeout_s):
        """Wait until nothing can reach this daemon any more.

        ``running()`` returns the number of running requests. Returns whether
        everything finished within ``timeout_s``.
        """
        limit = self.started + timeout_s
        earliest = self._handed_out_until + ARRIVAL_MARGIN_S
        while True:
            now = self._clock.monotonic()
            if now >= earliest and running() == 0:
                # The last responses may not have been written yet.
                await curio.sleep(POLL_S)
                return True
            if now >= limit:
                return False
            await curio.sleep(POLL_S)
