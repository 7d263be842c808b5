"""Tests of the requests that a stopping entry still takes."""

import testtools

from almondtide.entry.policy.route_latency import RouteLatency
from almondtide.entry.policy.stopping import can_finish

ENDS_AT = 5.0


class CanFinishTest(testtools.TestCase):
    """Guards against requests that are cut at the end of a planned stop."""

    def setUp(self):
        super().setUp()
        self.latency = RouteLatency(objective_s=0.3)
        # One exchange in twenty is slow.
        for number in range(200):
            self.latency.add(2.0 if number % 20 == 0 else 0.1)

    def replay(self, is_idempotent, expires_after_s=8.0):
        """Return until when a caller that sends each 0.1 s during a stop is served."""
        times = [step / 10 for step in range(60)]
        served = [
            now
            for now in times
            if can_finish(
                ENDS_AT, now + expires_after_s, now, self.latency, is_idempotent
            )
        ]
        self.assertEqual(times[: len(served)], served)
        return served[-1]

    def test_a_write_needs_room_for_the_slowest_exchange(self):
        self.assertEqual(3.0, self.replay(is_idempotent=False))

    def test_a_read_needs_room_for_the_usual_one(self):
        self.assertEqual(4.9, self.replay(is_idempotent=True))

    def test_nothing_is_taken_after_the_end(self):
        self.assertEqual(4.9, self.replay(False, expires_after_s=0.05))

    def test_what_expires_before_the_end_is_taken(self):
        self.assertEqual(4.0, self.replay(False, expires_after_s=1.0))
