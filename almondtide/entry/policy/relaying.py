"""Rules for requests that peers run: what follows the answer of one.

Answers the load pattern in which an entry without links to servers hands requests on
while servers fail part of them: another try is allowed only if the peer states that
nothing ran. The status of its answer proves nothing, as it may be a server's.
"""

import enum

__all__ = ["RelayDecision", "decide_relay", "lost_peer_run_count"]

UNAVAILABLE_STATUS = 503


class RelayDecision(enum.Enum):
    """What to do after a request was handed to a peer."""

    # Pass the peer's answer on to the caller.
    PASS_ON = "pass on"
    # Try another peer, and pass this refusal on if no other can run the request.
    KEEP_REFUSAL = "keep refusal"
    # Try another peer; this one cannot run such requests at all.
    TRY_ANOTHER = "try another"
    # The peer gave no answer, so the request may have run there.
    LOST = "lost"


def decide_relay(status, is_not_run, has_refusal):
    """Return the ``RelayDecision`` after a peer answered, or gave no answer.

    ``status`` is that of the answer, None without one. ``is_not_run`` tells that the
    peer states that no server has run the request for it, ``has_refusal`` that another
    peer has refused it before. A second refusal is passed on: asking all peers would
    multiply the load when all are full.

    >>> decide_relay(404, False, False), decide_relay(404, True, False)
    (<RelayDecision.PASS_ON: 'pass on'>, <RelayDecision.TRY_ANOTHER: 'try another'>)
    """
    if status is None:
        return RelayDecision.LOST
    if not is_not_run:
        return RelayDecision.PASS_ON
    if status != UNAVAILABLE_STATUS:
        return RelayDecision.TRY_ANOTHER
    return RelayDecision.PASS_ON if has_refusal else RelayDecision.KEEP_REFUSAL


def lost_peer_run_count(max_servers, run_count):
    """Return how many servers may have run a request for a peer that gave no answer.

    The peer was told of the ``run_count`` servers before it, and may have used all that
    the route allows beside them.

    >>> lost_peer_run_count(3, 1), lost_peer_run_count(2, 2)
    (2, 1)
    """
    return max(1, max_servers - run_count)
