"""Tests of the fair deadline-ordered queue."""

import collections

import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.workqueue import WorkQueue


class Item:
    def __init__(self, workload, deadline):
        self.workload = workload
        self.deadline = deadline
        self.done = False


class WorkQueueTest(testtools.TestCase):
    """Guards against starvation of a workload and against lost items."""

    def test_earliest_deadline_first(self):
        queue = WorkQueue()
        for deadline in (3.0, 1.0, 2.0):
            queue.push(Item("advisory", deadline))
        order = [queue.pop().deadline for _ in range(3)]
        self.assertEqual([1.0, 2.0, 3.0], order)
        self.assertIsNone(queue.pop())

    def test_shares_follow_the_weights(self):
        weights = {"advisory": 3.0, "billing": 1.0}
        queue = WorkQueue(weights.get)
        for number in range(400):
            queue.push(Item("advisory", number))
            queue.push(Item("billing", number))
        taken = collections.Counter(queue.pop().workload for _ in range(200))
        self.assertEqual(150, taken["advisory"])
        self.assertEqual(50, taken["billing"])

    def test_idle_workload_gets_no_credit_for_idle_time(self):
        queue = WorkQueue()
        for number in range(100):
            queue.push(Item("advisory", number))
        for _ in range(50):
            queue.pop()
        for number in range(50):
            queue.push(Item("billing", number))
        taken = collections.Counter(queue.pop().workload for _ in range(40))
        self.assertEqual(20, taken["billing"])

    def test_done_items_are_neither_counted_nor_returned(self):
        queue = WorkQueue()
        first, second = Item("advisory", 1.0), Item("advisory", 2.0)
        queue.push(first)
        queue.push(second)
        first.done = True
        queue.discard(first)
        self.assertEqual(1, len(queue))
        self.assertIs(second, queue.pop())
        self.assertEqual(0, len(queue))

    def test_late_items_are_taken_from_all_workloads(self):
        queue = WorkQueue()
        for workload in ("advisory", "billing"):
            for deadline in (1.0, 2.0, 3.0):
                queue.push(Item(workload, deadline))
        late = queue.pop_before(2.5)
        self.assertEqual([1.0, 1.0, 2.0, 2.0], sorted(item.deadline for item in late))
        self.assertEqual(2, len(queue))
        self.assertEqual(3.0, queue.pop().deadline)

    def test_item_that_is_not_acceptable_does_not_block_the_next(self):
        queue = WorkQueue()
        queue.push(Item("advisory", 1.0))
        queue.push(Item("advisory", 2.0))
        found = queue.pop(lambda item: item.deadline > 1.5)
        self.assertEqual(2.0, found.deadline)
        self.assertEqual(1.0, queue.pop().deadline)

    @given(
        st.lists(
            st.tuples(st.sampled_from(["a", "b", "c"]), st.integers(0, 5)), max_size=40
        )
    )
    def test_every_item_leaves_once(self, entries):
        queue = WorkQueue()
        items = [Item(workload, deadline) for workload, deadline in entries]
        for item in items:
            queue.push(item)
        popped = [queue.pop() for _ in items]
        self.assertEqual(set(map(id, items)), set(map(id, popped)))
        self.assertEqual(0, len(queue))
