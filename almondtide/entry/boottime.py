"""The clock of an entry."""

import time

from ..clock import BaseClock

__all__ = ["BoottimeClock", "boottime_now"]


def boottime_now():
    """Return seconds on a steady clock that also runs while the machine stands.

    The usual steady clock does not count the time in which a machine was
    suspended; deadlines and the age of beliefs must.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BoottimeClock(BaseClock):
    """``boottime_now`` as a clock for timers."""

    __slots__ = ()

    def monotonic(self):
        """Return seconds on the steady clock."""
        return boottime_now()

    def wall(self):
        """Return seconds since the Unix epoch."""
        return time.time()
