"""Tests of the cancellation of tasks at the end of a process."""

import curio
import testtools

from almondtide.process import cancel_other_tasks


async def _spawn_when_cancelled(rounds):
    """Start another task when cancelled, as a listener does that has just accepted."""
    try:
        await curio.sleep(100)
    finally:
        if rounds:
            await curio.spawn(_spawn_when_cancelled, rounds - 1, daemon=True)


class CancelOtherTasksTest(testtools.TestCase):
    """Guards against a planned stop with exit status 1.

    The kernel fails at its end when a cancelled task has started another one.
    """

    def test_kernel_shutdown_alone_fails(self):
        async def main():
            await curio.spawn(_spawn_when_cancelled, 1, daemon=True)
            await curio.sleep(0)

        kernel = curio.Kernel()
        kernel.run(main)
        self.assertRaises(AssertionError, kernel.run, shutdown=True)
        # The task that was started ends with the second shutdown.
        kernel.run(shutdown=True)

    def test_tasks_that_start_others_are_cancelled(self):
        async def main():
            for rounds in (0, 1, 5):
                await curio.spawn(_spawn_when_cancelled, rounds, daemon=True)
            await curio.sleep(0)
            await cancel_other_tasks()
            return "ended"

        self.assertEqual("ended", curio.run(main))
