"""Rules for retries and hedges: what follows a failed or slow exchange."""

import enum

from .branch_state import BranchState

__all__ = ["RetryDecision", "decide_retry", "may_hedge"]

# Least time before the end of a call at which another exchange is started, in s.
MIN_EXCHANGE_S = 0.005


class RetryDecision(enum.Enum):
    """What to do after an exchange of a branch failed."""

    # Send to another server now.
    RETRY = "retry"
    # Do nothing: another exchange is in progress, or the branch has ended.
    WAIT = "wait"
    # Fail the branch.
    GIVE_UP = "give_up"


def may_send_again(branch, now):
    """Return whether another exchange of the branch is allowed.

    It is not when the call is about to end, when a request that is not idempotent may
    have run, or when the route's ``max_servers`` may have run the request.
    """
    call = branch.call
    if call.is_abandoned or call.expires_at - now < MIN_EXCHANGE_S:
        return False
    if branch.may_have_run and not call.route.is_idempotent:
        return False
    return branch.possible_run_count < call.route.max_servers


def decide_retry(branch, now):
    """Return the ``RetryDecision`` after an exchange of the branch failed."""
    if branch.state is not BranchState.OPEN or branch.open_exchanges:
        return RetryDecision.WAIT
    return RetryDecision.RETRY if may_send_again(branch, now) else RetryDecision.GIVE_UP


def may_hedge(branch, now):
    """Return whether a branch with a slow exchange may be sent to another server."""
    return (
        branch.state is BranchState.OPEN
        and branch.call.route.is_idempotent
        and may_send_again(branch, now)
    )
