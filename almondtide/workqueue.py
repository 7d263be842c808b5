"""Fair, deadline-ordered queue of one service."""

import heapq
import itertools

__all__ = ["WorkQueue"]


class _WorkloadQueue:
    """Waiting items of one workload, earliest deadline first."""

    __slots__ = ("count", "heap", "stride", "virtual_time")

    def __init__(self, weight):
        self.stride = 1.0 / weight
        self.virtual_time = 0.0
        self.heap = []
        self.count = 0


class WorkQueue:
    """Orders by deadline within a workload and by weight between workloads.

    Uses stride scheduling: each workload has a queue with a virtual time that grows
    by 1/weight for each item taken, and the queue with the lowest virtual time is
    served first. A queue that was empty starts at the current virtual time, so that
    it gets no credit for the time it was idle.

    Items need the attributes ``workload``, ``deadline`` (seconds) and ``done``. Call
    ``discard`` for an item that is done while it waits; it is dropped when it
    reaches the front.
    """

    __slots__ = ("_queues", "_sequence", "_virtual_time", "_weight_of")

    def __init__(self, weight_of=lambda workload: 1.0):
        self._weight_of = weight_of
        self._queues = {}
        self._sequence = itertools.count()
        self._virtual_time = 0.0

    def __len__(self):
        return sum(queue.count for queue in self._queues.values())

    def push(self, item):
        """Add ``item``."""
        queue = self._queues.get(item.workload)
        if queue is None:
            queue = self._queues[item.workload] = _WorkloadQueue(
                self._weight_of(item.workload)
            )
        if not queue.heap:
            queue.stride = 1.0 / self._weight_of(item.workload)
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        heapq.heappush(queue.heap, (item.deadline, next(self._sequence), item))
        queue.count += 1

    def discard(self, item):
        """Stop counting ``item``, which is done but still in the queue."""
        self._queues[item.workload].count -= 1

    def pop_before(self, deadline):
        """Remove and return the items whose deadline is before ``deadline``."""
        taken = []
        for queue in self._queues.values():
            while queue.heap and queue.heap[0][0] < deadline:
                item = heapq.heappop(queue.heap)[2]
                if not item.done:
                    queue.count -= 1
                    taken.append(item)
        return taken

    def pop(self, is_acceptable=lambda item: True, lookahead=8):
        """Remove and return the first acceptable item, or None.

        Looks at up to ``lookahead`` items of each workload, in scheduling order.
        """
        for queue in sorted(
            self._nonempty_queues(), key=lambda entry: entry.virtual_time
        ):
            item = self._pop_first(queue, is_acceptable, lookahead)
            if item is not None:
                self._virtual_time = queue.virtual_time
                queue.virtual_time += queue.stride
                return item
        return None

    def _pop_first(self, queue, is_acceptable, lookahead):
        skipped = []
        found = None
        while queue.heap and len(skipped) < lookahead:
            entry = heapq.heappop(queue.heap)
            if entry[2].done:
                continue
            if is_acceptable(entry[2]):
                queue.count -= 1
                found = entry[2]
                break
            skipped.append(entry)
        for entry in skipped:
            heapq.heappush(queue.heap, entry)
        return found

    def _nonempty_queues(self):
        return [queue for queue in self._queues.values() if queue.heap]

    def count_ahead(self, item):
        """Return how many items of the same workload are served before ``item``."""
        return sum(
            not other.done and deadline < item.deadline
            for deadline, _, other in self._queues[item.workload].heap
        )

    def backlog_and_share(self, workload):
        """Return (number of waiting items, share of the service) of a workload.

        The share is the workload's weight divided by the sum of the weights of all
        workloads with waiting items, itself included.
        """
        own = self._weight_of(workload)
        queue = self._queues.get(workload)
        count = queue.count if queue is not None else 0
        total = own
        for name, other in self._queues.items():
            if name != workload and other.count:
                total += self._weight_of(name)
        return count, own / total
