"""What follows a failed or slow exchange of a branch."""

import enum

from .calls import BranchState

__all__ = ["RetryDecision", "decide_retry", "may_hedge"]

# Time that another exchange needs at least, in s.
MIN_EXCHANGE_S = 0.005


class RetryDecision(enum.Enum):
    """What to do after a failure."""

    # Another server now.
    RETRY = "retry"
    # Another exchange of the branch is under way.
    WAIT = "wait"
    # The branch has no answer.
    GIVE_UP = "give_up"


def may_send_again(branch, now):
    """Return whether the route allows another exchange of the branch."""
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
    """Return whether a branch with a slow exchange may get a second one."""
    return (
        branch.state is BranchState.OPEN
        and branch.call.route.is_idempotent
        and may_send_again(branch, now)
    )
