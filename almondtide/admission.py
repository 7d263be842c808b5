"""Refusal of work that cannot finish in time."""

__all__ = [
    "EXECUTION_WAIT_SHARE",
    "QUERY_WAIT_SHARE",
    "LoadEstimate",
    "LoadTable",
    "refusal_retry_ms",
    "refusal_share",
]

# Share of the time a sub-request can wait up to which an owner takes it. The rest
# covers the way back and the spread of the service time.
QUERY_WAIT_SHARE = 0.6
# The same for an execution, which waits no longer than this. A sub-request of a query
# waits on, since the query has other parts to answer with; an execution that is given
# up is the whole answer, due within half of its deadline, and its way leads over two
# daemons and back.
EXECUTION_WAIT_SHARE = 0.25
MIN_RETRY_AFTER_MS = 20
# Shares of the time a query can wait at which coordinators begin to refuse queries
# and refuse all of them. A query needs all its services, so the queues must stay
# short enough for the slowest of them; a gradual start keeps many coordinators with
# reports of different age from refusing all at once and then none.
REFUSAL_START_SHARE = 0.2
FULL_REFUSAL_SHARE = 0.6


class LoadEstimate:
    """Expected queueing and service time of a sub-request, in seconds."""

    __slots__ = ("service_s", "wait_s")

    def __init__(self, wait_s, service_s):
        self.wait_s = wait_s
        self.service_s = service_s


def refusal_retry_ms(estimate, remaining_s, wait_share=QUERY_WAIT_SHARE):
    """Return None to admit, or after how many milliseconds to come back.

    ``wait_share`` is the part of the time left that it may wait.

    Work that need not wait is always admitted, however slow the service seems:
    nothing else would bring newer measurements.
    """
    usable_s = max(0.0, remaining_s - estimate.service_s) * wait_share
    if estimate.wait_s <= usable_s:
        return None
    return max(MIN_RETRY_AFTER_MS, int((estimate.wait_s - usable_s) * 1000.0))


def refusal_share(estimate, remaining_s):
    """Return the share of new queries to refuse, 0.0 to 1.0.

    ``estimate`` is that of the busiest service. The share grows linearly with the
    wait, so that a standing queue settles where the load that is let in equals
    the capacity. Without a wait nothing is refused, as in ``refusal_retry_ms``.
    """
    if estimate.wait_s <= 0:
        return 0.0
    slack_s = remaining_s - estimate.service_s
    if slack_s <= 0:
        return 1.0
    start_s = REFUSAL_START_SHARE * slack_s
    full_s = FULL_REFUSAL_SHARE * slack_s
    return min(1.0, max(0.0, (estimate.wait_s - start_s) / (full_s - start_s)))


class LoadTable:
    """What a coordinator knows about the load of each service, by workload.

    Owners report the wait and the service time with each answer. The wait
    shrinks as real time passes, because the queue it describes drains; a service
    that is refused is therefore asked again when its queue must have emptied.
    """

    __slots__ = ("_clock", "_reports")

    def __init__(self, clock):
        self._clock = clock
        self._reports = {}

    def record(self, workload, service, estimate):
        """Store the ``LoadEstimate`` that an owner reported now."""
        now = self._clock.monotonic()
        self._reports[workload, service] = (now, estimate)

    def estimate(self, workload, service):
        """Return the ``LoadEstimate`` expected now; zero while nothing is known."""
        report = self._reports.get((workload, service))
        if report is None:
            return LoadEstimate(0.0, 0.0)
        reported_at, estimate = report
        age_s = self._clock.monotonic() - reported_at
        return LoadEstimate(max(0.0, estimate.wait_s - age_s), estimate.service_s)

    def busiest(self, workload, services):
        """Return the ``LoadEstimate`` of the service with the longest total time."""
        estimates = [self.estimate(workload, service) for service in services]
        return max(estimates, key=lambda item: item.wait_s + item.service_s)
