"""Plays seeds of the soak and prints a line for each."""

import pathlib
import shutil
import sys
import tempfile

import curio
import defopt

from almondtide.logs import set_up_logging

from .broken import PROVOKED_BY, breaks
from .session import SoakSession

__all__ = ["main", "play", "regression_seeds"]

SEEDS = pathlib.Path(__file__).parent / "seeds.txt"
SHOWN = 12


def regression_seeds():
    """Return the seeds that once failed."""
    lines = SEEDS.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


def play(seed, seconds, break_name=None, logs=None):
    """Play one seed; returns (violations, session).

    The logs of the daemons are kept below the folder ``logs`` if any promise broke.
    """
    argv = None if break_name is None else ["-m", "soak.broken", break_name]
    with tempfile.TemporaryDirectory() as folder:
        session = SoakSession(seed, seconds, folder, argv, PROVOKED_BY.get(break_name))
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
    logs: str | None = None,
):
    """Play seeds; the status is 0 when all ended as they must.

    :param seed: first seed; each further run adds 1
    :param runs: number of seeds
    :param seconds: time in which faults begin
    :param regressions: play the seeds that once failed as well
    :param only: names of the promises to break, all by default
    :param logs: folder that keeps the daemons' logs of seeds that failed
    :param naive: break each promise in turn; the soak must notice it
    """
    set_up_logging(-1)
    seeds = list(range(seed, seed + runs))
    if regressions:
        seeds = regression_seeds() + seeds
    names = (only or breaks.names()) if naive else [None]
    ended_well = True
    for name in names:
        for number in seeds:
            violations, session = play(number, seconds, name, logs)
            good = bool(violations) if name else not violations
            ended_well = ended_well and good
            word = (
                ("detected" if violations else "unnoticed")
                if name
                else ("VIOLATED" if violations else "held")
            )
            print(
                f"{name or 'soak'} {word} seed={number} "
                f"requests={len(session.records)} "
                f"faults={len(session.fault_intervals)} violations={len(violations)}",
                flush=True,
            )
            for text in violations[: 2 if name else SHOWN]:
                print(f"    {text}", flush=True)
    return 0 if ended_well else 1


def main(argv=None):
    """Entry point of ``python -m soak.run``."""
    sys.exit(defopt.run(run, argv=argv))


if __name__ == "__main__":
    main()
