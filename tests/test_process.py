"""Tests of the end of a daemon's process."""

import curio
import testtools

from almondtide.process import cancel_other_tasks


async def _respawn(rounds):
    """Start another task when cancelled, as a listener that has just accepted."""
    try:
        await curio.sleep(100)
    finally:
        if rounds:
            await curio.spawn(_respawn, rounds - 1, daemon=True)


class CancelOtherTasksTest(testtools.TestCase):
    """Guards against a planned stop with exit status 1."""

    def test_kernel_shutdown_alone_fails(self):
        async def main():
            await curio.spawn(_respawn, 1, daemon=True)
            await curio.sleep(0)

        self.assertRaises(AssertionError, curio.run, main)

    def test_tasks_that_start_others_are_cancelled(self):
        async def main():
            for rounds in (0, 1, 5):
                await curio.spawn(_respawn, rounds, daemon=True)
            await curio.sleep(0)
            await cancel_other_tasks()
            return "ended"

        self.assertEqual("ended", curio.run(main))
