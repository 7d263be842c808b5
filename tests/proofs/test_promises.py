"""Short runs of the history checks on a small fleet, with a fixed seed."""

import pathlib
import tempfile

import testtools

from proofs.promises import Proof, promises

SEED = 11
DAEMONS = 3


class PromisesTest(testtools.TestCase):
    """Guards against changes that break the promises of the design page."""

    def check_promise(self, name, seconds, **options):
        with tempfile.TemporaryDirectory(prefix="proof-") as directory:
            proof = Proof(
                pathlib.Path(directory), SEED, seconds, daemons=DAEMONS, **options
            )
            result = promises.get(name)(proof)
        self.assertGreater(result.requests, 0)
        self.assertEqual([], [str(item) for item in result.violations])

    def test_one_snapshot(self):
        self.check_promise("one-snapshot", 3.0)

    def test_true_coverage(self):
        self.check_promise("true-coverage", 3.0)

    def test_own_whole_answer(self):
        self.check_promise("own-whole-answer", 2.0)

    def test_not_run_is_true(self):
        self.check_promise("not-run-is-true", 2.0)

    def test_at_most_once(self):
        self.check_promise("at-most-once", 1.5, requests=250)

    def test_leaving_upstream(self):
        self.check_promise("leaving-upstream", 4.5)

    def test_planned_stop(self):
        self.check_promise("planned-stop", 1.0, entries_max_age_ms=300)

    def test_configuration(self):
        self.check_promise("configuration", 3.0)
