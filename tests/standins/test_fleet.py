"""Tests of what a fleet reports about its processes."""

import tempfile
import time

import testtools

from standins.fleet import Fleet, FleetSpec


class CoreWaitTest(testtools.TestCase):
    """Guards against core waits that are counted too long.

    Checks subtract the wait from the time of an answer, so a wait of a process that
    could not run would hide a slow answer.
    """

    def test_a_process_that_sleeps_does_not_wait_for_a_core(self):
        with tempfile.TemporaryDirectory() as directory:
            fleet = Fleet(FleetSpec(), directory)
            self.addCleanup(fleet.stop)
            fleet.spawn("sleeper", ["-c", "import time; time.sleep(30)"])
            time.sleep(1.0)
            before = fleet.core_wait_s("sleeper")
            time.sleep(0.5)
            self.assertLess(fleet.core_wait_s("sleeper") - before, 0.1)

    def test_a_process_that_has_ended_has_waited_for_nothing(self):
        with tempfile.TemporaryDirectory() as directory:
            fleet = Fleet(FleetSpec(), directory)
            fleet.spawn("ended", ["-c", "pass"])
            fleet.processes["ended"].wait()
            self.assertEqual(0.0, fleet.core_wait_s("ended"))
            fleet.stop()
            self.assertEqual(0.0, fleet.core_wait_s("ended"))
