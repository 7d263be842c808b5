"""Whether a call is let in, from the state of its services."""

import enum

__all__ = ["AdmissionDecision", "ServiceState", "decide_admission", "retry_after_s"]

# Bounds of the time after which a refused caller comes back, in s. The spread keeps
# callers that were refused together from returning together.
MIN_RETRY_AFTER_S = 0.03
MAX_RETRY_AFTER_S = 1.0
RETRY_AFTER_JITTER = 0.5


class ServiceState(enum.Enum):
    """What a service can do for a new request."""

    OPEN = "open"
    # Its servers have no room, and as many requests wait as can be served in time.
    FULL = "full"
    # Its servers seem to be gone, and one of them is due for a probe.
    PROBE = "probe"
    # Its servers seem to be gone, and each was tried lately or is being probed.
    LOST = "lost"
    # No server is registered.
    EMPTY = "empty"


# Services that the reason of a refusal names at most.
MAX_NAMED_SERVICES = 6


class AdmissionDecision:
    """The decision on a call: ``is_admitted``, and the states it rests on."""

    __slots__ = ("is_admitted", "reason", "states")

    def __init__(self, is_admitted, reason, states):
        self.is_admitted = is_admitted
        self.reason = reason
        self.states = states

    def describe(self, services):
        """Return the reason with some of the ``services`` that cannot answer.

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

    A service that is due for a probe counts: nothing else would find out that it
    is back. A lost one counts for a call that has no other service.
    """
    usable = {ServiceState.OPEN, ServiceState.PROBE}
    if len(states) == 1:
        usable.add(ServiceState.LOST)
    usable_count = sum(1 for state in states if state in usable)
    if usable_count >= needed:
        return AdmissionDecision(True, "", states)
    lost = sum(
        1 for state in states if state in (ServiceState.LOST, ServiceState.EMPTY)
    )
    reason = "full" if len(states) - lost >= needed else "no servers"
    return AdmissionDecision(
        False, f"{reason}: {usable_count} of {len(states)}, {needed} needed", states
    )


def retry_after_s(waiting, slots, expected_s, jitter):
    """Return when a refused caller may come back, in seconds.

    ``waiting`` requests must first be served by ``slots`` at ``expected_s`` each;
    ``jitter`` between 0 and 1 spreads the callers.
    """
    drained_s = waiting * expected_s / max(1, slots)
    base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, drained_s))
    return base_s * (1.0 + RETRY_AFTER_JITTER * jitter)
