"""Runs the history checks: ``python -m proofs.run``."""

import json
import os
import sys
import tempfile

import defopt

from . import mutations, promises
from .promises import Proof

__all__ = ["main"]

MAX_SHOWN_VIOLATIONS = 5
DEFAULT_SEED = 7
DEFAULT_SECONDS = 20.0


def _run_proof(name, seed, seconds, requests, mutation, history):
    with tempfile.TemporaryDirectory(prefix="proof-") as directory:
        proof = Proof(directory, seed, seconds, requests=requests, mutation=mutation)
        result = promises.promises.get(name)(proof)
        if history:
            _write_history(os.path.join(history, f"{name}-{seed}.jsonl"), proof)
    return result


def _write_history(path, proof):
    with open(path, "w", encoding="utf-8") as lines:
        for call in proof.calls:
            lines.write(json.dumps(call.to_dict()) + "\n")


def _run_promise(name, seed, runs, seconds, requests, naive, history):
    """Run one promise and print its results.

    Returns whether the outcome is as expected: no violation, or with ``naive`` at
    least one.
    """
    total = 0
    violations = []
    notes = []
    for number in range(runs):
        result = _run_proof(
            name, seed + number, seconds, requests, name if naive else None, history
        )
        total += result.requests
        violations.extend(result.violations)
        notes.append(result.notes)
    expected = bool(violations) if naive else not violations
    words = ("detected", "unnoticed") if naive else ("held", "VIOLATED")
    word = words[0] if expected else words[1]
    print(
        f"{name} {word} runs={runs} requests={total} "
        f"violations={len(violations)} seed={seed}",
        flush=True,
    )
    for violation in violations[:MAX_SHOWN_VIOLATIONS]:
        print(f"    {violation}")
    for number, note in enumerate(notes):
        figures = " ".join(f"{key}={value}" for key, value in note.items())
        print(f"    seed {seed + number}: {figures}", flush=True)
    return expected


def run(
    *,
    seed: int = DEFAULT_SEED,
    only: list[str] | None = None,
    runs: int = 1,
    seconds: float = DEFAULT_SECONDS,
    requests: int = promises.REVISION_REQUESTS,
    naive: bool = False,
    history: str | None = None,
):
    """Check the promises of the design page on fleets of processes under faults.

    :param seed: seed of the first run; each further run adds 1
    :param only: names of the promises to check, all by default
    :param runs: number of runs of each promise
    :param seconds: length of the load in one run
    :param requests: number of revision requests in a run of at-most-once
    :param naive: run daemons that break each promise; every check must detect it
    :param history: directory for the histories, one JSON line for each request
    """
    known = mutations.mutations if naive else promises.promises
    names = only or [name for name in promises.promises.names() if name in known]
    unknown = [name for name in names if name not in promises.promises]
    if unknown:
        print(f"unknown promise: {', '.join(unknown)}", file=sys.stderr)
        return 2
    outcomes = [
        _run_promise(name, seed, runs, seconds, requests, naive, history)
        for name in names
    ]
    return 0 if all(outcomes) else 1


def main(argv=None):
    """Entry point of ``python -m proofs.run``."""
    sys.exit(defopt.run(run, argv=argv))


if __name__ == "__main__":
    main()
