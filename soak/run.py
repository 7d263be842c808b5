"""Runs the soak test with one seed after another and prints a line for each."""

import pathlib
import shutil
import sys
import tempfile

import curio
import defopt

from almondtide.logs import set_up_logging

from .broken import CHECKS_BY_BREAK, FAULTS_BY_BREAK, breaks
from .session import SoakSession

__all__ = ["main", "read_regression_seeds", "run_seed"]

SEEDS_PATH = pathlib.Path(__file__).parent / "seeds.txt"
MAX_SHOWN_VIOLATIONS = 12


def read_regression_seeds():
    """Return the seeds of ``seeds.txt``, which once failed."""
    lines = SEEDS_PATH.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


def run_seed(seed, seconds, break_name=None, logs=None, fault_names=None):
    """Run one seed; returns (violations, session).

    ``break_name`` runs the daemons with that defect and the faults that show it.
    The daemons' logs are copied to a folder in ``logs`` if there are violations.
    """
    argv = None if break_name is None else ["-m", "soak.broken", break_name]
    with tempfile.TemporaryDirectory() as folder:
        session = SoakSession(
            seed, seconds, folder, argv, FAULTS_BY_BREAK.get(break_name, fault_names)
        )
        violations = curio.run(session.run)
        if violations and logs:
            target = pathlib.Path(logs) / f"seed-{seed}"
            shutil.copytree(folder, target, dirs_exist_ok=True)
        return violations, session


def run(
    *,
    seed: int = 1,
    runs: int = 1,
    seconds: float = 12.0,
    regressions: bool = False,
    naive: bool = False,
    only: list[str] | None = None,
    faults: list[str] | None = None,
    logs: str | None = None,
):
    """Run seeds; the exit status is 0 when all ended as expected.

    :param seed: first seed; each further run adds 1
    :param runs: number of seeds
    :param seconds: time in which faults are started, in s
    :param regressions: also run the seeds that once failed
    :param only: names of the promises to break with --naive, all by default
    :param faults: kinds of faults to draw from, all but the optional ones by default
    :param logs: folder for the daemons' logs of seeds with violations
    :param naive: break each promise in turn; the run must detect it
    """
    set_up_logging(-1)
    seeds = list(range(seed, seed + runs))
    if regressions:
        seeds = read_regression_seeds() + seeds
    names = (only or breaks.names()) if naive else [None]
    has_passed = True
    for name in names:
        for number in seeds:
            violations, session = run_seed(number, seconds, name, logs, faults)
            if name:
                # Other checks may notice the defect too; the promise's own must.
                check = CHECKS_BY_BREAK.get(name, name)
                violations = [text for text in violations if text.startswith(check)]
            is_expected = bool(violations) == bool(name)
            has_passed = has_passed and is_expected
            verdict = (
                ("detected" if violations else "unnoticed")
                if name
                else ("VIOLATED" if violations else "held")
            )
            print(
                f"{name or 'soak'} {verdict} seed={number} "
                f"requests={len(session.records)} "
                f"faults={len(session.fault_intervals)} violations={len(violations)}",
                flush=True,
            )
            for text in violations[: 2 if name else MAX_SHOWN_VIOLATIONS]:
                print(f"    {text}", flush=True)
    return 0 if has_passed else 1


def main(argv=None):
    """Entry point of ``python -m soak.run``."""
    sys.exit(defopt.run(run, argv=argv))


if __name__ == "__main__":
    main()
