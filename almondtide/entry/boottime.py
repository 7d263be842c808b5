"""The clock of an entry, which includes the time while the machine is suspended."""

import time

from ..clock import BaseClock

__all__ = ["BoottimeClock", "boottime_now"]


def boottime_now():
    """Return seconds on a monotonic clock that includes suspended time.

    The usual monotonic clock stops while the machine is suspended, but deadlines and
    the age of the replica must include this time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BoottimeClock(BaseClock):
    """Clock of ``Timers`` that uses ``boottime_now``."""

    __slots__ = ()

    def monotonic(self):
        """Return seconds on the monotonic clock."""
        return boottime_now()

    def wall(self):
        """Return seconds since the Unix epoch."""
        return time.time()
