"""Runs all tests; known failures of KNOWN-RED.txt are listed and left out."""

import pathlib
import re
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
WORKERS = 6


def known_red():
    """Return the test ids of KNOWN-RED.txt: lines of the form ``test: <id>``."""
    if not KNOWN_RED.exists():
        return []
    text = KNOWN_RED.read_text(encoding="utf-8")
    return re.findall(r"^test:\s*(\S+)", text, re.MULTILINE)


class Tally:
    """Counts outcomes for the closing line."""

    def __init__(self):
        self.counts = {"passed": 0, "failed": 0, "skipped": 0}

    def pytest_runtest_logreport(self, report):
        """Count a report; an error in setup or teardown counts as a failure."""
        if report.when == "call" or report.outcome != "passed":
            self.counts[report.outcome] += 1

    def pytest_collectreport(self, report):
        """Count a module that cannot be collected as a failure."""
        if report.failed:
            self.counts["failed"] += 1


def main(args):
    """Run pytest; returns its exit status."""
    tally = Tally()
    options = [f"--deselect={test}" for test in known_red()]
    if not args:
        args = ["-n", str(WORKERS), "--dist", "loadfile"]
    status = pytest.main([*args, *options, f"--rootdir={ROOT}"], plugins=[tally])
    for test in known_red():
        print(f"known red, not run: {test}")
    counts = tally.counts
    print(
        f"{counts['passed']} passed, {counts['failed']} failed, "
        f"{counts['skipped']} skipped"
    )
    return int(status)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
