"""Tests of the bounds on messages in small parts, in the order of their steps."""

import heapq

import testtools

from almondtide.errors import FramingError
from almondtide.framing import (
    BURST_STEPS,
    EXCESS_FRACTION,
    MAX_EXCESS_STEPS,
    MIN_REPLY_PART_BYTES,
    STEP_S,
    TURN_STEPS,
    MessageWork,
    WorkBudget,
)


class _Replay:
    """Messages that are read side by side, on a clock that their waits advance."""

    def __init__(self, core_share=1.0):
        self.budget = WorkBudget(core_share)
        self.now = 100.0

    def read(self, count, part_bytes, parts, pause_s=0.0):
        """Return (steps that each message made, seconds, messages refused)."""
        began_at = self.now
        # (time of the next step, number of the message, its work, steps made)
        waiting = [
            (self.now, number, MessageWork(self.budget, MIN_REPLY_PART_BYTES), 0)
            for number in range(count)
        ]
        made, refused = [], 0
        while waiting:
            at, number, work, steps = heapq.heappop(waiting)
            self.now = max(self.now, at)
            if steps == parts:
                made.append(steps)
                continue
            wait_s = pause_s
            try:
                if work.note_step(part_bytes):
                    wait_s += work.check(self.now)
            except FramingError:
                made.append(steps)
                refused += 1
                continue
            heapq.heappush(waiting, (self.now + wait_s, number, work, steps + 1))
        return made, self.now - began_at, refused


class SmallPartsTest(testtools.TestCase):
    """Guards against messages in small parts that keep a process from all else."""

    def test_a_message_without_end_is_refused_after_some_steps(self):
        for part_bytes in (0, 1, 16, 63):
            made, _, refused = _Replay().read(1, part_bytes, 100_000)
            self.assertEqual(1, refused, part_bytes)
            self.assertTrue(made[0] < MAX_EXCESS_STEPS * 1.3, (part_bytes, made))

    def test_all_messages_together_take_a_part_of_the_processor(self):
        for count in (10, 40, 100):
            for part_bytes in (1, 100):
                replay = _Replay()
                made, seconds, _ = replay.read(count, part_bytes, 4000)
                steps = sum(made) - count * (TURN_STEPS + 4000 * part_bytes / 512)
                allowed = BURST_STEPS + seconds * EXCESS_FRACTION / STEP_S
                # Each message may be a turn ahead of what it has waited for.
                self.assertTrue(
                    steps <= allowed + count * (TURN_STEPS + seconds * 200.0),
                    (count, part_bytes, steps, allowed),
                )

    def test_while_the_budget_is_used_up_messages_are_refused_sooner(self):
        replay = _Replay()
        made, _, refused = replay.read(20, 1, 100_000)
        self.assertEqual(20, refused)
        self.assertTrue(min(made) < MAX_EXCESS_STEPS / 2, made)

    def test_messages_of_usual_parts_never_wait(self):
        # Otherwise small parts of some senders would delay all others.
        replay = _Replay()
        replay.read(20, 1, 100_000)
        for part_bytes, parts in ((4096, 4000), (512, 30_000), (10, 60)):
            made, seconds, refused = replay.read(1, part_bytes, parts)
            self.assertEqual(([parts], 0.0, 0), (made, seconds, refused))

    def test_a_slow_stream_of_small_parts_is_read(self):
        made, seconds, refused = _Replay().read(1, 8, 20_000, pause_s=0.01)
        self.assertEqual(([20_000], 0), (made, refused))
        self.assertTrue(seconds < 201.0, seconds)

    def test_a_small_share_of_a_core_slows_messages_more(self):
        times = [_Replay(share).read(8, 100, 2000)[1] for share in (1.0, 0.1)]
        self.assertTrue(times[1] > 3 * times[0], times)
