"""Tests of the graceful shutdown."""

import curio
import testtools

from almondtide.draining import ARRIVAL_MARGIN_S, Drain
from tests.support import run


class _Clock:
    """A clock that is past the validity of all address answers."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


class DrainTest(testtools.TestCase):
    """Guards against a shutdown that cuts requests which have just arrived."""

    def _wait(self, counts):
        """Wait with these numbers of running requests; return how many were asked."""
        clock = _Clock()
        drain = Drain(clock)
        drain.begin(0.0)
        clock.now = ARRIVAL_MARGIN_S + 0.1
        asked = []

        def count_running():
            asked.append(counts[min(len(asked), len(counts) - 1)])
            return asked[-1]

        async def scenario():
            async with curio.timeout_after(5):
                return await drain.wait(count_running, 60.0)

        self.assertTrue(run(scenario))
        return asked

    def test_a_request_that_arrives_during_the_last_wait_is_waited_for(self):
        self.assertEqual([0, 2, 1, 0, 0], self._wait([0, 2, 1, 0, 0]))

    def test_two_looks_without_a_request_end_the_wait(self):
        self.assertEqual([0, 0], self._wait([0]))
