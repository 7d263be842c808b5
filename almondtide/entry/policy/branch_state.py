"""The states of a branch, the part of a call that is sent to one service."""

import enum

__all__ = ["BranchState"]


class BranchState(enum.Enum):
    """Whether a branch still waits for a reply, has one, or failed."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"
