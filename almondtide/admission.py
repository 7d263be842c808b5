"""Admission control: refuses work that cannot finish before its deadline."""

__all__ = [
    "EXECUTION_WAIT_SHARE",
    "QUERY_RECHECK_SHARE",
    "QUERY_WAIT_SHARE",
    "LoadEstimate",
    "LoadTable",
    "can_finish",
    "execution_wait_ends_at",
    "refusal_retry_ms",
    "refusal_share",
]

# An owner admits a sub-request if its expected wait is at most this share of the
# time it can wait. The rest covers the response and the spread of service times.
QUERY_WAIT_SHARE = 0.6
# The same for an execution. An execution that was admitted is also refused once it has
# waited this share of its time. A sub-request of a query keeps waiting, because the
# query can be answered without it.
# The refusal of an execution is its whole answer: it is due within half of the
# deadline and passes through two daemons.
EXECUTION_WAIT_SHARE = 0.25
# Once a sub-request of a query has waited this share of its time, it is refused if it
# can't be expected to finish. A query whose parts are all refused then is answered
# within half of its deadline.
QUERY_RECHECK_SHARE = 0.4
MIN_RETRY_AFTER_MS = 20
# Coordinators begin to refuse queries, and refuse all of them, when the expected wait
# reaches these shares of the time a query can wait. A query needs all its services,
# so the queues must stay short enough for the slowest one. The gradual start keeps
# coordinators with reports of different age from refusing everything and then nothing.
REFUSAL_START_SHARE = 0.2
FULL_REFUSAL_SHARE = 0.6


class LoadEstimate:
    """Expected wait in the queue and service time of a sub-request, in seconds."""

    __slots__ = ("service_s", "wait_s")

    def __init__(self, wait_s, service_s):
        self.wait_s = wait_s
        self.service_s = service_s


def execution_wait_ends_at(now, deadline, allowed_s):
    """Return when an execution that still waits at an owner is refused, in seconds.

    ``deadline`` ends the time ``allowed_s`` that began when the caller's request
    arrived at the tier; 0.0 stands for a beginning ``now``. Answers the load pattern in
    which overloaded daemons pass executions on late: what they took of the time is
    taken from the wait, so that the refusal still arrives early.

    >>> execution_wait_ends_at(10.0, 11.0, 0.0), execution_wait_ends_at(10.0, 10.9, 1.0)
    (10.25, 10.15)
    """
    allowed_s = max(allowed_s, deadline - now)
    ends_at = deadline - (1.0 - EXECUTION_WAIT_SHARE) * allowed_s
    return max(now, round(ends_at, 6))


def can_finish(remaining_s, ahead_count, slots, mean_service_s, running_ages_s):
    """Return whether waiting work can be expected to finish in ``remaining_s``.

    ``ahead_count`` items are served before it, ``slots`` at a time. Answers the load
    pattern in which servers become slower than the owner has measured: exchanges that
    have not ended are in no measurement yet. At any moment an exchange is halfway on
    average, so the service time is at least taken for twice the median of the ages of
    the running ones, ``running_ages_s`` (sorted).

    >>> can_finish(0.5, 3, 1, 0.1, [0.05]), can_finish(0.5, 0, 1, 0.1, [0.3])
    (True, False)
    """
    service_s = mean_service_s
    if running_ages_s:
        service_s = max(service_s, 2 * running_ages_s[len(running_ages_s) // 2])
    return (ahead_count + 1) * service_s / slots + service_s <= remaining_s


def refusal_retry_ms(estimate, remaining_s, wait_share=QUERY_WAIT_SHARE):
    """Return None if the work is admitted, else the delay before a retry in ms.

    ``wait_share`` is the share of the time that is left after the service time
    that the work may wait.

    Work that need not wait is always admitted, however slow the service was last:
    without new requests there would be no newer measurements.
    """
    usable_s = max(0.0, remaining_s - estimate.service_s) * wait_share
    if estimate.wait_s <= usable_s:
        return None
    return max(MIN_RETRY_AFTER_MS, int((estimate.wait_s - usable_s) * 1000.0))


def refusal_share(estimate, remaining_s):
    """Return the share of new queries to refuse, 0.0 to 1.0.

    ``estimate`` is that of the busiest service of the query. The share grows linearly
    with the wait, so that the queue settles at the length where the admitted load
    equals the capacity. Without a wait nothing is refused, as in ``refusal_retry_ms``.
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
    """Load of each service and workload, as owners reported it to a coordinator.

    Owners report the wait and the service time with each answer. The estimated
    wait shrinks by the age of the report, because the queue drains meanwhile. A
    service whose queries are refused is therefore used again once its queue must
    be empty.
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
        """Return the ``LoadEstimate`` for now; zero before the first report."""
        report = self._reports.get((workload, service))
        if report is None:
            return LoadEstimate(0.0, 0.0)
        reported_at, estimate = report
        age_s = self._clock.monotonic() - reported_at
        return LoadEstimate(max(0.0, estimate.wait_s - age_s), estimate.service_s)

    def busiest(self, workload, services):
        """Return the highest ``LoadEstimate`` by the sum of wait and service time."""
        estimates = [self.estimate(workload, service) for service in services]
        return max(estimates, key=lambda item: item.wait_s + item.service_s)
