"""Plays the quick days of sites on the users' bench and compares them with the journal.

``python tools/regress.py --bench PROGRAM SITE...`` scores each site quickly and prints
for each day its worth, the newest committed one, the difference, and the range of all
earlier plays. The exit status is 1 if a day broke a rule, or is below the range of
earlier plays by more than the noise of the bench. With ``--compare-only`` nothing is
played; the newest run of each site is compared.
"""

import pathlib
import subprocess
import sys

import defopt

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from almondtide.platform.journal import read_journal  # noqa: E402
from almondtide.presentation import format_table, print_error, print_text  # noqa: E402

__all__ = ["Comparison", "compare_runs", "main"]

# A change of a day's worth up to this is noise: the bench measures processor time.
NOISE = 0.03
COLUMNS = (
    "site",
    "day",
    "now",
    "before",
    "change",
    "least",
    "most",
    "plays",
    "verdict",
)


class Comparison:
    """One day of the newest run beside the earlier plays of the same day.

    ``before`` is the worth of the newest earlier play, None if there is none, as are
    ``least`` and ``most``, the range of all ``play_count`` earlier ones.
    """

    __slots__ = (
        "before",
        "broken",
        "day",
        "least",
        "most",
        "now",
        "play_count",
        "site",
    )

    def __init__(self, site, day, now, earlier, broken):
        self.site = site
        self.day = day
        self.now = now
        self.before = earlier[-1] if earlier else None
        self.least = min(earlier, default=None)
        self.most = max(earlier, default=None)
        self.play_count = len(earlier)
        self.broken = broken

    @property
    def verdict(self):
        """``broken``, ``worse``, ``new``, or ``held``."""
        if self.broken:
            return "broken"
        if self.before is None:
            return "new"
        return "worse" if self.now < self.least - NOISE else "held"

    def to_row(self):
        """Return the values of ``COLUMNS``."""
        change = None if self.before is None else f"{self.now - self.before:+.3f}"
        return [
            self.site,
            self.day,
            self.now,
            self.before,
            change,
            self.least,
            self.most,
            self.play_count,
            self.verdict,
        ]


def compare_runs(runs, site):
    """Return a ``Comparison`` for each day of the newest score of a site.

    ``runs`` are ``BenchRun`` objects, oldest first. Days that were drawn at random
    have new names each time and are compared with nothing.
    """
    scores = [
        run for run in runs if run.site == site and run.command == "score" and run.days
    ]
    if not scores:
        return []
    newest = scores[-1]
    return [
        Comparison(
            site,
            day.name,
            day.worth,
            [
                played.worth
                for run in scores[:-1]
                for played in run.days
                if played.name == day.name and played.worth is not None
            ],
            day.broken,
        )
        for day in newest.days
        if day.worth is not None
    ]


def main(
    *sites: str, bench: str | None = None, jobs: int = 2, compare_only: bool = False
):
    """Play the quick days of sites and compare them with the journal.

    :param sites: site files; with --compare-only names of sites
    :param bench: the program of the users' bench
    :param jobs: days that are played at the same time
    :param compare_only: play nothing
    """
    if not compare_only:
        if bench is None:
            print_error("--bench names the program of the users' bench")
            sys.exit(2)
        for site in sites:
            command = [bench, "score", site, "--quick", "--jobs", str(jobs)]
            status = subprocess.run(
                [*command, "--why", "regression run"], cwd=ROOT, check=False
            ).returncode
            if status:
                print_error(f"{site}: the bench ended with status {status}")
    runs, problems = read_journal(ROOT / "journal")
    for problem in problems:
        print_error(problem)
    found = []
    for site in sites:
        name = pathlib.Path(site).stem
        compared = compare_runs(runs, name)
        if not compared:
            print_error(f"{name}: the journal has no score of it")
            sys.exit(2)
        found.extend(compared)
    print_text(format_table(COLUMNS, [item.to_row() for item in found]))
    sys.exit(any(item.verdict in ("broken", "worse") for item in found))


if __name__ == "__main__":
    defopt.run(main, no_negated_flags=True)
