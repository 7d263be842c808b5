"""Admission control: whether a call is accepted, from the state of its services."""

import enum

__all__ = [
    "AdmissionDecision",
    "ServiceState",
    "decide_admission",
    "not_ready_retry_s",
    "pause_wait_s",
    "retry_after_s",
]

# Bounds of the retry-after time of a refused call, in s. The jitter, a fraction of
# that time, keeps callers that were refused together from returning together.
MIN_RETRY_AFTER_S = 0.03
MAX_RETRY_AFTER_S = 1.0
RETRY_AFTER_JITTER = 0.5
# Callers that were refused while servers paused return within this fraction of the
# time until the end of the pause after it.
PAUSE_RETURN_SPREAD = 0.25


# Bounds of the retry-after time while an entry has no configuration, in s.
MIN_NOT_READY_RETRY_S = 0.1
MAX_NOT_READY_RETRY_S = 1.0


class ServiceState(enum.Enum):
    """Whether a service can take a new request."""

    OPEN = "open"
    # As many requests are queued for its servers as can be served in time, or all its
    # servers want no requests for too long.
    FULL = "full"
    # All its servers seem to be down, and one of them is due for a probe.
    PROBE = "probe"
    # All its servers seem to be down; each was tried lately or is being probed.
    LOST = "lost"
    # It has no usable server.
    EMPTY = "empty"


# Most services that are named in the reason of a refusal.
MAX_NAMED_SERVICES = 6


class AdmissionDecision:
    """Whether a call is admitted, and the service states that decided it.

    ``reason`` is an empty text for an admitted call.
    """

    __slots__ = ("is_admitted", "reason", "states")

    def __init__(self, is_admitted, reason, states):
        self.is_admitted = is_admitted
        self.reason = reason
        self.states = states

    def describe(self, services):
        """Return the reason with the names of some unavailable ``services``.

        >>> states = [ServiceState.FULL, ServiceState.OPEN, ServiceState.LOST]
        >>> decide_admission(states, 2).describe(["a", "b", "c"])
        'full: 1 of 3, 2 needed; a full, c lost'
        """
        named = [
            f"{service} {state.value}"
            for service, state in zip(services, self.states, strict=True)
            if state not in (ServiceState.OPEN, ServiceState.PROBE)
        ]
        if len(named) > MAX_NAMED_SERVICES:
            rest = len(named) - MAX_NAMED_SERVICES
            named[MAX_NAMED_SERVICES:] = [f"{rest} more"]
        return f"{self.reason}; {', '.join(named)}"


def decide_admission(states, needed):
    """Return the ``AdmissionDecision`` for a call that needs ``needed`` services.

    ``states`` has the state of each service of the call. A service that is due for a
    probe counts as usable, because only a request detects its recovery. A lost
    service counts as usable for a call that has no other service.
    """
    usable = {ServiceState.OPEN, ServiceState.PROBE}
    if len(states) == 1:
        usable.add(ServiceState.LOST)
    usable_count = sum(1 for state in states if state in usable)
    if usable_count >= needed:
        return AdmissionDecision(True, "", states)
    down_count = sum(
        1 for state in states if state in (ServiceState.LOST, ServiceState.EMPTY)
    )
    # "full" if the call would be admitted when the full services have room again.
    reason = "full" if len(states) - down_count >= needed else "no servers"
    return AdmissionDecision(
        False, f"{reason}: {usable_count} of {len(states)}, {needed} needed", states
    )


def pause_wait_s(waits_s, needed):
    """Return after how long ``needed`` services want requests again, in seconds.

    ``waits_s`` holds the time for each service that will, 0.0 if it does now. Answers
    the load pattern in which the servers of a service turn requests away together, so
    that a caller that comes back earlier is only refused again.

    >>> pause_wait_s([0.0, 0.5, 2.0], 2)
    0.5
    >>> pause_wait_s([0.0], 2)
    0.0
    """
    return sorted(waits_s)[needed - 1] if len(waits_s) >= needed else 0.0


def not_ready_retry_s(waited_s, jitter):
    """Return the retry-after time while an entry has no configuration, in seconds.

    The entry has waited for one for ``waited_s`` since its start, and ``jitter`` is a
    random number between 0 and 1. Answers the load pattern in which all entries start
    again while the store is away: callers try again once only, so they come back after
    about as long as the wait has lasted.

    >>> not_ready_retry_s(0.02, 0.0), not_ready_retry_s(0.6, 0.0)
    (0.1, 0.6)
    """
    base_s = min(MAX_NOT_READY_RETRY_S, max(MIN_NOT_READY_RETRY_S, waited_s))
    return base_s * (1.0 + RETRY_AFTER_JITTER * jitter)


def retry_after_s(drain_s, jitter, pause_s=0.0):
    """Return the time after which a refused caller should retry, in seconds.

    The servers take ``drain_s`` for the requests that wait, after they have paused for
    ``pause_s``. ``jitter`` is a random number between 0 and 1. Answers the load
    patterns in which more work waits than is served in time, and in which servers turn
    work away for a while or limit their rate; callers that were refused together don't
    return together.
    """
    base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, drain_s))
    spread_s = max(RETRY_AFTER_JITTER * base_s, PAUSE_RETURN_SPREAD * pause_s)
    return pause_s + base_s + jitter * spread_s
