"""Graceful shutdown: withdraw the address, finish running requests, then stop."""

import curio

__all__ = ["Drain"]

POLL_INTERVAL_S = 0.05
# An entries answer from just before the shutdown is used until it expires, and a
# request that was sent then needs time to arrive.
ARRIVAL_MARGIN_S = 0.5


class Drain:
    """Tracks whether this daemon is leaving and when it may stop.

    A leaving daemon notifies its peers and is no longer part of entries answers. It
    serves until the last entries answer with its address has expired and all running
    requests have finished. Setting the event ``requested`` starts the shutdown.
    """

    __slots__ = ("_answers_valid_until", "_clock", "requested", "started_at")

    def __init__(self, clock):
        self._clock = clock
        self.requested = curio.Event()
        self.started_at = None
        self._answers_valid_until = 0.0

    @property
    def is_leaving(self):
        """Whether the shutdown has begun."""
        return self.started_at is not None

    def begin(self, max_age_s):
        """Begin the shutdown; entries answers so far are valid for ``max_age_s``."""
        if self.started_at is None:
            self.started_at = self._clock.monotonic()
            self._answers_valid_until = self.started_at + max_age_s

    def answer_max_age_s(self, max_age_s):
        """Return how long an entries answer given now may be used, in seconds.

        The answer of a leaving daemon carries its execution prefix, which must not
        be used after the daemon has stopped.
        """
        if not self.is_leaving:
            return max_age_s
        return min(
            max_age_s, max(0.0, self._answers_valid_until - self._clock.monotonic())
        )

    async def wait(self, count_running, timeout_s):
        """Wait until no request runs and no more requests are expected.

        ``count_running()`` returns the number of running requests. Returns False
        when the wait takes more than ``timeout_s``, otherwise True.
        """
        deadline = self.started_at + timeout_s
        earliest_end = self._answers_valid_until + ARRIVAL_MARGIN_S
        while True:
            now = self._clock.monotonic()
            if now >= earliest_end and count_running() == 0:
                # The last responses may not have been written yet, and requests may
                # have arrived that nothing has read.
                await curio.sleep(POLL_INTERVAL_S)
                if count_running() == 0:
                    return True
                continue
            if now >= deadline:
                return False
            await curio.sleep(POLL_INTERVAL_S)
