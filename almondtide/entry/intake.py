"""Whether a call is let in, from the state of its services."""

import enum

__all__ = ["Intake", "ServiceState", "decide", "retry_after_s"]

# Bounds of the time after which a refused caller comes back, in s. The spread keeps
# callers that were refused together from returning together.
RETRY_FIRST_S = 0.03
RETRY_LONGEST_S = 1.0
RETRY_SPREAD = 0.5


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
NAMED_SERVICES = 6


class Intake:
    """The decision on a call: ``admitted``, and the states it rests on."""

    __slots__ = ("admitted", "reason", "states")

    def __init__(self, admitted, reason, states):
        self.admitted = admitted
        self.reason = reason
        self.states = states

    def describe(self, services):
        """Return the reason with some of the ``services`` that cannot answer.

        >>> states = [ServiceState.FULL, ServiceState.OPEN, ServiceState.LOST]
        >>> decide(states, 2).describe(["a", "b", "c"])
        'full: 1 of 3, 2 needed; a full, c lost'
        """
        named = [
            f"{service} {state.value}"
            for service, state in zip(services, self.states, strict=True)
            if state not in (ServiceState.OPEN, ServiceState.PROBE)
        ]
        if len(named) > NAMED_SERVICES:
            rest = len(named) - NAMED_SERVICES
            named[NAMED_SERVICES:] = [f"{rest} more"]
        return f"{self.reason}; {', '.join(named)}"


def decide(states, needed):
    """Return the ``Intake`` for a call that needs ``needed`` of its services.

    A service that is due for a probe counts: nothing else would find out that it
    is back. A lost one counts for a call that has no other service.
    """
    usable = {ServiceState.OPEN, ServiceState.PROBE}
    if len(states) == 1:
        usable.add(ServiceState.LOST)
    able = sum(1 for state in states if state in usable)
    if able >= needed:
        return Intake(True, "", states)
    lost = sum(
        1 for state in states if state in (ServiceState.LOST, ServiceState.EMPTY)
    )
    reason = "full" if len(states) - lost >= needed else "no servers"
    return Intake(False, f"{reason}: {able} of {len(states)}, {needed} needed", states)


def retry_after_s(waiting, slots, expected_s, chance):
    """Return when a refused caller may come back, in seconds.

    ``waiting`` requests must first be served by ``slots`` at ``expected_s`` each;
    ``chance`` between 0 and 1 spreads the callers.
    """
    drained_s = waiting * expected_s / max(1, slots)
    base_s = min(RETRY_LONGEST_S, max(RETRY_FIRST_S, drained_s))
    return base_s * (1.0 + RETRY_SPREAD * chance)
