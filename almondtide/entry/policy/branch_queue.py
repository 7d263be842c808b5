"""Queue of branches that wait for room at the servers of one service."""

from ...workqueue import WorkQueue

__all__ = ["BranchQueue"]

# While branches of both groups wait, each turn of this number is one of a late branch.
LATE_TURN = 5


def _weight(route):
    """Return the weight of a route's lane; priority_rank 0 is the most urgent."""
    return 1.0 / (1.0 + route.priority_rank)


class BranchQueue:
    """A queue in which branches that can still meet their objective go first.

    Branches whose objective has passed get one turn in ``LATE_TURN`` while others wait:
    with more they would make all branches behind them late as well, with none they
    would wait until their callers' deadlines. Within each group routes are served in
    proportion to their weights, and the branches of a route by earliest objective.
    """

    __slots__ = ("_in_time", "_late", "_turn")

    def __init__(self):
        self._turn = 0
        self._in_time = WorkQueue(_weight)
        self._late = WorkQueue(_weight)

    def __len__(self):
        return len(self._in_time) + len(self._late)

    def push(self, branch):
        """Add a branch for which no server had room."""
        branch.is_late = False
        self._in_time.push(branch)

    def discard(self, branch):
        """Stop counting a queued branch that needs no server any more."""
        (self._late if branch.is_late else self._in_time).discard(branch)

    def pop(self, now):
        """Remove and return the next branch, or None if the queue is empty."""
        for branch in self._in_time.pop_before(now):
            branch.is_late = True
            self._late.push(branch)
        first, second = self._in_time, self._late
        if len(first) and len(second):
            self._turn = (self._turn + 1) % LATE_TURN
            if self._turn == 0:
                first, second = second, first
        branch = first.pop()
        return second.pop() if branch is None else branch
