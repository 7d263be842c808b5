"""Runs all tests except the known failures in KNOWN-RED.txt, which it lists."""

import pathlib
import re
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
WORKER_COUNT = 6
# Tests that start a fleet of processes and check time limits. They run after the
# others and two at a time, because more workers would leave the fleets too few cores
# to stay within the limits.
TIMED = ("tests/proofs/test_promises.py", "tests/test_soak.py")
TIMED_WORKER_COUNT = 2


def read_known_failures():
    """Return the test ids of KNOWN-RED.txt: lines of the form ``test: <id>``."""
    if not KNOWN_RED_FILE.exists():
        return []
    text = KNOWN_RED_FILE.read_text(encoding="utf-8")
    return re.findall(r"^test:\s*(\S+)", text, re.MULTILINE)


class OutcomeCounter:
    """A pytest plugin that counts test outcomes."""

    def __init__(self):
        self.counts = {"passed": 0, "failed": 0, "skipped": 0}

    def pytest_runtest_logreport(self, report):
        """Count a test report; an error in setup or teardown counts as a failure."""
        if report.when == "call" or report.outcome != "passed":
            self.counts[report.outcome] += 1

    def pytest_collectreport(self, report):
        """Count a module that cannot be collected as a failure."""
        if report.failed:
            self.counts["failed"] += 1


def main(args):
    """Run pytest with ``args``, or all tests without; returns the exit status."""
    outcome_counter = OutcomeCounter()
    options = [f"--deselect={test}" for test in read_known_failures()]
    options.append(f"--rootdir={ROOT}")
    if args:
        status = pytest.main([*args, *options], plugins=[outcome_counter])
    else:
        ignore_timed_tests = [f"--ignore={path}" for path in TIMED]
        xdist_options = ["-n", str(WORKER_COUNT), "--dist", "loadfile"]
        status = pytest.main(
            [*xdist_options, *ignore_timed_tests, *options], plugins=[outcome_counter]
        )
        xdist_options = ["-n", str(TIMED_WORKER_COUNT), "--dist", "load", *TIMED]
        status = (
            pytest.main([*xdist_options, *options], plugins=[outcome_counter]) or status
        )
    for test in read_known_failures():
        print(f"known red, not run: {test}")
    counts = outcome_counter.counts
    print(
        f"{counts['passed']} passed, {counts['failed']} failed, "
        f"{counts['skipped']} skipped"
    )
    return int(status)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
