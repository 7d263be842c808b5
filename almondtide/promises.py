"""Which statuses may be stated of a request that may have run.

Answers the load pattern in which servers run requests and then fail part of them with
a status by which callers take a request for not run, and send it again. Only a proof
allows such a status, or another try at another server.
"""

import enum

__all__ = ["RunEvidence", "judge_reply", "may_state"]

# Statuses that promise that a request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MISDIRECTED_STATUS = 421


class RunEvidence(enum.Enum):
    """What a reply proves about the run of its request."""

    # The server states that it has not run the request and will not run it.
    NOT_RUN = "not run"
    # Another server replied, which does not run requests that expect this one.
    MISDIRECTED = "misdirected"
    # Nothing: the request may have run.
    NONE = "none"


def judge_reply(status, is_not_run, stated_id, expected_id):
    """Return the ``RunEvidence`` of a server's reply.

    ``is_not_run`` tells that the reply has the server's statement to that effect.
    ``stated_id`` is the id that the server gives itself, None if it gives none, and
    ``expected_id`` the one that the request expects. A status proves nothing by itself.

    >>> judge_reply(503, False, None, "i-1"), judge_reply(421, False, None, "i-1")
    (<RunEvidence.NONE: 'none'>, <RunEvidence.NONE: 'none'>)
    >>> judge_reply(421, False, "i-2", "i-1")
    <RunEvidence.MISDIRECTED: 'misdirected'>
    """
    is_proven = is_not_run or stated_id is not None
    if status == MISDIRECTED_STATUS and is_proven and stated_id != expected_id:
        return RunEvidence.MISDIRECTED
    return RunEvidence.NOT_RUN if is_not_run else RunEvidence.NONE


def may_state(status, is_idempotent, is_not_run):
    """Return whether a caller may get a status.

    ``is_not_run`` tells that the request has certainly not run and will not run. The
    promise binds requests that may run once only: a caller may send others again
    whatever their status.

    >>> may_state(503, False, False), may_state(503, True, False), may_state(
    ...     500, False, False
    ... )
    (False, True, True)
    """
    return is_idempotent or is_not_run or status not in NOT_RUN_STATUSES
