"""Fair, deadline-ordered queue of one service."""

import heapq
import itertools

__all__ = ["WorkQueue"]


class _Lane:
    """Waiting items of one workload, earliest deadline first."""

    __slots__ = ("heap", "live", "stride", "turn")

    def __init__(self, weight):
        self.stride = 1.0 / weight
        self.turn = 0.0
        self.heap = []
        self.live = 0


class WorkQueue:
    """Orders by deadline within a workload and by weight between workloads.

    Stride scheduling: each lane has a turn that grows by 1/weight for each item
    taken, and the lane with the smallest turn goes first. A lane that was empty
    starts at the current turn, so that it cannot claim the past. Items need the
    attributes ``workload``, ``deadline`` (seconds) and ``done``. An item that is
    done while it waits is reported to ``forget`` and dropped when it reaches the
    front.
    """

    __slots__ = ("_lanes", "_order", "_turn", "_weight_of")

    def __init__(self, weight_of=lambda workload: 1.0):
        self._weight_of = weight_of
        self._lanes = {}
        self._order = itertools.count()
        self._turn = 0.0

    def __len__(self):
        return sum(lane.live for lane in self._lanes.values())

    def push(self, item):
        """Add ``item``."""
        lane = self._lanes.get(item.workload)
        if lane is None:
            lane = self._lanes[item.workload] = _Lane(self._weight_of(item.workload))
        if not lane.heap:
            lane.stride = 1.0 / self._weight_of(item.workload)
            lane.turn = max(lane.turn, self._turn)
        heapq.heappush(lane.heap, (item.deadline, next(self._order), item))
        lane.live += 1

    def forget(self, item):
        """Stop counting ``item``, which is done and still waits."""
        self._lanes[item.workload].live -= 1

    def take_before(self, deadline):
        """Remove and return the items whose deadline is before ``deadline``."""
        taken = []
        for lane in self._lanes.values():
            while lane.heap and lane.heap[0][0] < deadline:
                item = heapq.heappop(lane.heap)[2]
                if not item.done:
                    lane.live -= 1
                    taken.append(item)
        return taken

    def pop(self, accept=lambda item: True, lookahead=8):
        """Remove and return the first acceptable item, or None.

        Looks at up to ``lookahead`` items of each lane, in the order of lanes.
        """
        for lane in sorted(self._backlogged(), key=lambda entry: entry.turn):
            item = self._pop_from(lane, accept, lookahead)
            if item is not None:
                self._turn = lane.turn
                lane.turn += lane.stride
                return item
        return None

    def _pop_from(self, lane, accept, lookahead):
        skipped = []
        found = None
        while lane.heap and len(skipped) < lookahead:
            entry = heapq.heappop(lane.heap)
            if entry[2].done:
                continue
            if accept(entry[2]):
                lane.live -= 1
                found = entry[2]
                break
            skipped.append(entry)
        for entry in skipped:
            heapq.heappush(lane.heap, entry)
        return found

    def _backlogged(self):
        return [lane for lane in self._lanes.values() if lane.heap]

    def backlog(self, workload):
        """Return (items of the workload, its share of the service).

        The share is the workload's weight over the weights of all workloads that
        wait now, itself included.
        """
        own = self._weight_of(workload)
        lane = self._lanes.get(workload)
        count = lane.live if lane is not None else 0
        total = own
        for name, other in self._lanes.items():
            if name != workload and other.live:
                total += self._weight_of(name)
        return count, own / total
