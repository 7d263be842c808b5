"""Tests of supervised tasks, timers and accept loops: one error must not end them."""

import curio
import testtools

from almondtide.supervision import MAX_FAILURES, TASK_FAILURES, Supervised
from almondtide.timers import Timers
from tests.support import MemoryLog, run


class _Clock:
    """A clock that stands at 0 s; a list of delays stands for sleeping."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now

    def monotonic(self):
        return self.now


class _Task:
    """Raises each of ``errors`` in turn, then returns."""

    def __init__(self, *errors):
        self.errors = list(errors)
        self.run_count = 0

    async def __call__(self):
        self.run_count += 1
        if self.errors:
            raise self.errors.pop(0)


class SupervisedTest(testtools.TestCase):
    """Guards against a daemon that lives on without one of its tasks."""

    def _run(self, task, on_give_up=None):
        log = MemoryLog()
        supervised = Supervised("probe", task, _Clock(), log, on_give_up)
        run(supervised.run)
        return log

    def test_a_task_that_fails_runs_again(self):
        before = TASK_FAILURES["probe"]
        task = _Task(ValueError("odd message"), KeyError("k"))
        log = self._run(task)
        self.assertEqual(3, task.run_count)
        self.assertEqual(["task_failed"] * 2, log.names())
        _, fields = log.events[0]
        self.assertEqual("probe", fields["task"])
        self.assertIn("odd message", fields["error"])
        self.assertTrue(fields["at"].startswith("test_supervision.py:"), fields)
        self.assertEqual(before + 2, TASK_FAILURES["probe"])

    def test_a_timeout_that_nobody_caught_is_an_error_too(self):
        task = _Task(curio.TaskTimeout(1.0))
        self._run(task)
        self.assertEqual(2, task.run_count)

    def test_a_task_that_never_recovers_stops_the_process_in_order(self):
        class Failing(_Task):
            async def __call__(self):
                self.run_count += 1
                raise RuntimeError("always")

        async def scenario():
            async with curio.timeout_after(30):
                await supervised.run()

        task, given_up = Failing(), []
        log = MemoryLog()
        supervised = Supervised(
            "probe", task, _Clock(), log, lambda: given_up.append(task.run_count)
        )
        # The failures of the last seconds are known; only the last one is played.
        supervised._failed_at.extend([0.0] * (MAX_FAILURES - 1))
        run(scenario)
        self.assertEqual([1], given_up)
        self.assertTrue(log.events[-1][1]["given_up"])

    def test_a_cancelled_task_ends(self):
        async def scenario():
            task = await curio.spawn(supervised.run)
            await curio.sleep(0.01)
            await task.cancel()
            return task.cancelled

        async def wait():
            await curio.sleep(100)

        supervised = Supervised("probe", wait, _Clock(), MemoryLog())
        self.assertTrue(run(scenario))


class TimersTest(testtools.TestCase):
    """Guards against timers that stop since one callback failed."""

    def test_the_timer_after_a_failing_one_fires(self):
        fired = []
        log = MemoryLog()

        async def on_timer(kind, item):
            if item == "bad":
                raise ValueError("bad item")
            fired.append(item)

        async def scenario():
            timers = Timers(_Clock(), on_timer, log)
            await timers.start()
            for item in ("first", "bad", "last"):
                await timers.schedule(0.0, "probe", item)
            await curio.sleep(0.01)
            await timers.stop()

        run(scenario)
        self.assertEqual(["first", "last"], fired)
        self.assertEqual(["timer_failed"], log.names())
