"""Short runs of the history checks on a small fleet, with a fixed seed."""

import pathlib
import tempfile

import testtools

from proofs.promises import Proof, promises

SEED = 11
DAEMONS = 3


class PromisesTest(testtools.TestCase):
    """Guards against changes that break the promises of the design page."""

    def run_proof(self, name, seconds, **options):
        with tempfile.TemporaryDirectory(prefix="proof-") as directory:
            proof = Proof(
                pathlib.Path(directory), SEED, seconds, daemons=DAEMONS, **options
            )
            result = promises.get(name)(proof)
        self.assertGreater(result.requests, 0)
        self.assertEqual([], [str(item) for item in result.violations])

    def test_one_snapshot(self):
        self.run_proof("one-snapshot", 3.0)

    def test_true_coverage(self):
        self.run_proof("true-coverage", 3.0)

    def test_own_whole_answer(self):
        self.run_proof("own-whole-answer", 2.0)

    def test_not_run_is_true(self):
        self.run_proof("not-run-is-true", 2.0)

    def test_at_most_once(self):
        self.run_proof("at-most-once", 1.5, requests=250)

    def test_leaving_upstream(self):
        self.run_proof("leaving-upstream", 4.5)

    def test_planned_stop(self):
        self.run_proof("planned-stop", 1.0, entries_max_age_ms=300)

    def test_configuration(self):
        self.run_proof("configuration", 3.0)
