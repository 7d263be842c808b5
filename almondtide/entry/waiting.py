"""Branches that wait for room at the servers of one service."""

from ..workqueue import WorkQueue

__all__ = ["WaitingBranches"]


def _weight(route):
    """Return the weight of a route's lane; rank 0 is the most urgent."""
    return 1.0 / (1.0 + route.rank)


class WaitingBranches:
    """Gives out those first that can still be answered within their objective.

    Among these, and then among the late ones, routes take turns by their weight
    and the earliest objective goes first. Late branches in front would make all
    that follow late as well.
    """

    __slots__ = ("_late", "_prompt")

    def __init__(self):
        self._prompt = WorkQueue(_weight)
        self._late = WorkQueue(_weight)

    def __len__(self):
        return len(self._prompt) + len(self._late)

    def push(self, branch):
        """Add a branch that found no room."""
        branch.is_late = False
        self._prompt.push(branch)

    def forget(self, branch):
        """Stop counting a branch that needs no server any more."""
        (self._late if branch.is_late else self._prompt).discard(branch)

    def pop(self, now):
        """Remove and return the next branch, or None."""
        for branch in self._prompt.pop_before(now):
            branch.is_late = True
            self._late.push(branch)
        branch = self._prompt.pop()
        return self._late.pop() if branch is None else branch
