"""Tests of the samples of core waits."""

import subprocess
import sys
import time

import testtools

from proofs.core_waits import CoreWaitSampler


class CoreWaitSamplerTest(testtools.TestCase):
    """Guards against core waits that are counted too long.

    Checks subtract the wait from the time of an answer, so a wait of a process that
    could not run would hide a slow answer.
    """

    def sample(self, code, settle_s, wait=False):
        """Return the samples of a process that runs ``code``, over half a second."""
        process = subprocess.Popen([sys.executable, "-c", code])
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        time.sleep(settle_s)
        if wait:
            process.wait()
        with CoreWaitSampler({"process": process.pid}) as sampler:
            time.sleep(0.5)
        self.assertTrue(len(sampler.times) > 3, sampler.times)
        return sampler

    def test_a_process_that_sleeps_does_not_wait_for_a_core(self):
        sampler = self.sample("import time; time.sleep(30)", settle_s=1.0)
        start, end = sampler.times[0], sampler.times[-1]
        self.assertLess(sampler.wait_s("process", start, end), 0.1)

    def test_a_process_that_has_ended_has_waited_for_nothing(self):
        sampler = self.sample("pass", settle_s=0.0, wait=True)
        self.assertEqual({0.0}, {waits_s[0] for waits_s in sampler.waits_s})

    def test_nothing_is_known_without_samples(self):
        self.assertEqual(0.0, CoreWaitSampler({"x": 1}).wait_s("x", 1.0, 2.0))
