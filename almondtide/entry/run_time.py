"""How much of a period this process has run, to tell its own pauses from silence.

Answers the load pattern in which an entry is frozen or starved of processor time for
some hundred milliseconds: replies wait unread meanwhile, and the requests that arrive
at its end are handled before they are read. Without it all servers seem to be down.
"""

import collections

__all__ = ["TICK_S", "RunTime"]

# Time between two ticks, in s.
TICK_S = 0.1
# Time without a tick that still counts as running, in s.
MAX_GAP_S = 0.15
# Number of pauses that are kept. Earlier ones count as time in which it ran.
MAX_PAUSES = 16


class RunTime:
    """Time that the process has run, from ticks that it gets while it runs.

    Times are in seconds on the clock of the daemon. Without any tick all time counts
    as run.

    >>> run_time = RunTime()
    >>> for now in (0.0, 0.1, 1.1, 1.2):
    ...     run_time.tick(now)
    >>> round(run_time.ran_s(0.1, 1.2), 2)
    0.25
    """

    __slots__ = ("_pauses", "_ticked_at")

    def __init__(self):
        self._ticked_at = None
        # (start, end) of the latest pauses, the newest last.
        self._pauses = collections.deque(maxlen=MAX_PAUSES)

    def tick(self, now):
        """Record that the process runs."""
        if self._ticked_at is not None and now - self._ticked_at > MAX_GAP_S:
            self._pauses.append((self._ticked_at + MAX_GAP_S, now))
        self._ticked_at = now

    def ran_s(self, since, now):
        """Return for how long the process has run between two times, in seconds."""
        ran_s = now - since
        if self._ticked_at is None:
            return ran_s
        # A pause without a tick since may have ended just now.
        ran_s -= max(0.0, now - max(since, self._ticked_at + MAX_GAP_S))
        for start, end in reversed(self._pauses):
            if end <= since:
                break
            ran_s -= end - max(since, start)
        return ran_s
