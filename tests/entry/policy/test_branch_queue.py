"""Tests of the order in which queued branches are sent."""

import testtools

from almondtide.entry.calls import Branch
from almondtide.entry.policy.branch_queue import LATE_TURN, BranchQueue
from tests.entry.support import make_call, make_route


def _branch(arrived_at, priority_rank=0, objective_s=0.15):
    route = make_route(priority_rank=priority_rank, objective_s=objective_s)
    return Branch(make_call(route, arrived_at=arrived_at), "a")


class BranchQueueTest(testtools.TestCase):
    """Guards against a queue that serves late branches until all are late."""

    def test_earliest_objective_first(self):
        queue = BranchQueue()
        branches = [_branch(100.0 + number / 100) for number in (2, 0, 1)]
        for branch in branches:
            queue.push(branch)
        order = [queue.pop(100.05) for _ in range(3)]
        self.assertEqual([branches[1], branches[2], branches[0]], order)
        self.assertIsNone(queue.pop(100.05))

    def test_late_branches_come_after_those_in_time(self):
        queue = BranchQueue()
        late, in_time = _branch(100.0), _branch(100.3)
        queue.push(late)
        queue.push(in_time)
        self.assertIs(in_time, queue.pop(100.35))
        # Late branches are still served when no other branch waits.
        self.assertIs(late, queue.pop(100.35))

    def test_late_branches_are_not_starved_by_those_in_time(self):
        queue = BranchQueue()
        late = _branch(100.0)
        queue.push(late)
        popped = []
        for number in range(LATE_TURN):
            queue.push(_branch(100.3 + number / 100))
            popped.append(queue.pop(100.35))
        self.assertEqual(LATE_TURN - 1, popped.index(late))

    def test_urgent_routes_get_more_turns_and_no_route_starves(self):
        queue = BranchQueue()
        urgent = [_branch(100.0, priority_rank=0) for _ in range(12)]
        other = [_branch(100.0, priority_rank=2) for _ in range(12)]
        # Branches share a lane only if they have the same route object.
        for branch in urgent:
            branch.call.route = urgent[0].call.route
        for branch in other:
            branch.call.route = other[0].call.route
        for pair in zip(urgent, other, strict=True):
            for branch in pair:
                queue.push(branch)
        first = [queue.pop(100.05) for _ in range(8)]
        count = sum(branch in urgent for branch in first)
        self.assertEqual(6, count)

    def test_branches_that_need_no_server_are_not_counted(self):
        queue = BranchQueue()
        branches = [_branch(100.0), _branch(100.4)]
        for branch in branches:
            queue.push(branch)
        self.assertEqual(2, len(queue))
        queue.pop(100.45)
        self.assertEqual(1, len(queue))
        branches[0].state = None
        queue.discard(branches[0])
        self.assertEqual(0, len(queue))
        self.assertIsNone(queue.pop(100.45))
