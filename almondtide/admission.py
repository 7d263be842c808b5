"""Refusal of work that cannot finish in time."""

__all__ = ["Estimate", "LoadTable", "admit"]

# Share of the remaining time that waiting and running may take together. The
# rest covers the way back and the spread of the service time.
USABLE_SHARE = 0.85
MIN_RETRY_AFTER_MS = 20


class Estimate:
    """Expected queueing and service time of a sub-request, in seconds."""

    __slots__ = ("service_s", "wait_s")

    def __init__(self, wait_s, service_s):
        self.wait_s = wait_s
        self.service_s = service_s


def admit(estimate, remaining_s):
    """Return None to admit, or after how many milliseconds to come back."""
    needed = estimate.wait_s + estimate.service_s
    usable = remaining_s * USABLE_SHARE
    if needed <= usable:
        return None
    excess_ms = (needed - usable) * 1000.0
    return max(MIN_RETRY_AFTER_MS, int(excess_ms))


class LoadTable:
    """What a coordinator knows about the queueing time of each service.

    Owners report their wait with each answer. A report shrinks as real time
    passes, because the queue it describes drains; a service that is refused is
    therefore asked again when its queue must have emptied.
    """

    __slots__ = ("_clock", "_reports")

    def __init__(self, clock):
        self._clock = clock
        self._reports = {}

    def report(self, service, wait_s):
        """Store the wait that an owner reported now."""
        self._reports[service] = (self._clock.monotonic(), wait_s)

    def wait_s(self, service):
        """Return the wait expected now in seconds."""
        report = self._reports.get(service)
        if report is None:
            return 0.0
        reported_at, wait_s = report
        return max(0.0, wait_s - (self._clock.monotonic() - reported_at))
