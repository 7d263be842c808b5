"""Whether an entry that is being stopped can still complete a request.

Answers the load pattern in which callers that hold the address of an entry go on to
send it requests during a planned stop: what would be cut at the end of the grace time
is refused at once, since the caller can send it to another entry.
"""

__all__ = ["can_finish"]


def can_finish(ends_at, expires_at, now, latency, is_idempotent):
    """Return whether a request that starts now can be expected to end in time.

    ``ends_at`` is when the entry ends its requests, and ``expires_at`` when the caller
    gives up; times are in s. ``latency`` is the ``RouteLatency`` of the route. A
    request that may run only once needs room for the slowest exchanges: cut, it would
    have an unknown outcome.

    >>> from almondtide.entry.policy.route_latency import RouteLatency
    >>> latency = RouteLatency(objective_s=0.5)
    >>> [can_finish(2.0, 9.0, now, latency, False) for now in (1.4, 1.6, 2.5)]
    [True, False, False]
    """
    if now >= ends_at:
        return False
    if expires_at <= ends_at:
        return True
    needed_s = latency.expected_s if is_idempotent else latency.slow_s
    return now + needed_s <= ends_at
