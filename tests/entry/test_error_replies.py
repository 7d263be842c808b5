"""Tests of the error replies that wait while their requests are sent again."""

import curio
import testtools

from standins.virtual_time import VirtualClock, run_in_virtual_time
from tests.entry.support import make_reply, make_route
from tests.entry.test_dispatch import _Fleet

ROUTE = make_route()
SHARDED = make_route(shards=("a", "b", "c"))
BODY = b"x" * 1_000_000
CALLS = 12


def _held_bytes(calls):
    replies = [branch.last_error_reply for call in calls for branch in call.branches]
    return sum(len(reply.body) for reply in replies if reply is not None)


def _run_beside_errors(bound_bytes, route=ROUTE, answers_again=False):
    """Run calls whose first replies are long errors.

    Return (fleet, answers, most bytes of the replies that were held).
    """
    clock = VirtualClock()

    def behave(exchange):
        if exchange.kind == "first":
            return 0.01, make_reply(BODY, status=500)
        return (0.01, make_reply(b"body")) if answers_again else None

    async def scenario():
        fleet = _Fleet(behave, ("a", "b", "c"), servers=6, clock=clock)
        fleet.pool.bound_bytes = bound_bytes
        await fleet.timers.start()
        tasks = [await curio.spawn(fleet.run, route) for _ in range(CALLS)]
        most = 0
        while not all(task.terminated for task in tasks):
            most = max(most, _held_bytes(list(fleet.dispatcher._running_calls)))
            await curio.sleep(0.005)
        return fleet, [(await task.join())[1] for task in tasks], most

    return run_in_virtual_time(scenario, clock=clock)


class ErrorRepliesTest(testtools.TestCase):
    """Guards against long error replies that fill the memory while others are tried."""

    def test_all_kept_replies_share_a_bound(self):
        bound_bytes = 3 * len(BODY)
        fleet, answers, most = _run_beside_errors(bound_bytes)
        self.assertTrue(0 < most <= bound_bytes, most)
        self.assertEqual(0, fleet.pool.buffered_bytes)
        # The request may have run at a server, so none of these promises that it has
        # not; the callers whose replies were kept get them unchanged.
        statuses = sorted(answer.status for answer in answers)
        self.assertEqual([500] * 3 + [504] * (CALLS - 3), statuses)
        kept = [answer for answer in answers if answer.status == 500]
        self.assertEqual({BODY}, {answer.body for answer in kept})
        dropped = fleet.dispatcher.error_replies.counts["dropped"]
        self.assertEqual(CALLS - 3, dropped)

    def test_the_bound_ends_no_request(self):
        fleet, answers, _ = _run_beside_errors(0, answers_again=True)
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertEqual(0, fleet.pool.buffered_bytes)

    def test_a_reply_that_is_final_needs_no_room(self):
        route = make_route(max_servers=1)
        fleet, answers, _ = _run_beside_errors(0, route)
        self.assertEqual({(500, BODY)}, {(a.status, a.body) for a in answers})
        self.assertEqual(0, fleet.dispatcher.error_replies.counts["dropped"])

    def test_nothing_is_kept_of_the_parts_of_a_merged_answer(self):
        _, _, most = _run_beside_errors(len(BODY) * CALLS, SHARDED)
        self.assertEqual(0, most)
