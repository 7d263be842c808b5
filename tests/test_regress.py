"""Tests of the comparison of a run with earlier ones."""

import pathlib
import subprocess
import sys

import testtools

from almondtide.platform.journal import BenchDay, BenchRun
from tools.regress import NOISE, compare_runs

ROOT = pathlib.Path(__file__).parents[1]


def _run(site, command="score", **worths):
    empty = dict.fromkeys(BenchDay.__slots__)
    days = [
        BenchDay(**{**empty, "name": name, "worth": worth, "broken": {}})
        for name, worth in worths.items()
    ]
    return BenchRun(
        at="", command=command, days=days, reason="", revision="", score=None, site=site
    )


class CompareTest(testtools.TestCase):
    """Guards against a loss that a run hides, and against noise that counts as one."""

    def test_verdicts(self):
        earlier = [_run("a", quiet=0.9, scale=0.8), _run("a", quiet=0.8, scale=0.7)]
        for now, verdict in ((0.95, "held"), (0.8 - NOISE / 2, "held"), (0.7, "worse")):
            [item] = compare_runs([*earlier, _run("a", quiet=now)], "a")
            self.assertEqual(verdict, item.verdict, now)
            self.assertEqual(
                (0.8, 0.8, 0.9, 2),
                (item.before, item.least, item.most, item.play_count),
            )

    def test_other_sites_and_commands_are_left_out(self):
        runs = [_run("b", quiet=0.1), _run("a", "run", quiet=0.1), _run("a", quiet=0.9)]
        [item] = compare_runs(runs, "a")
        self.assertEqual(("new", 0), (item.verdict, item.play_count))
        self.assertEqual([], compare_runs(runs, "c"))

    def test_a_broken_rule(self):
        run = _run("a", quiet=0.9)
        run.days[0].broken = {"DRAIN": 3}
        [item] = compare_runs([_run("a", quiet=0.9), run], "a")
        self.assertEqual("broken", item.verdict)

    def test_the_program_compares_the_journal(self):
        result = subprocess.run(
            [sys.executable, "tools/regress.py", "--compare-only", "no-such-site"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(2, result.returncode)
        self.assertIn("the journal has no score of it", result.stderr)
