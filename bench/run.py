"""Runs the benchmark of the product and of its naive version (the baseline)."""

import os
import time

from .environment import Options
from .results import save
from .scenarios import scenarios

__all__ = ["main"]


def main(
    *,
    scenario: list[str] | None = None,
    seconds: float = 10.0,
    service_time_ms: float = 60.0,
    side: list[str] | None = None,
    logs: str | None = None,
    quiet_wait_s: float = 0.0,
):
    """Run scenarios, print their tables and write bench/results.

    Each scenario runs a fleet of the product and then one of the baseline, with the
    same seeds. The exit status is 0 even if an aim is missed.

    :param scenario: names of scenarios; default: all
    :param seconds: length of each measured phase
    :param service_time_ms: mean service time of the stand-ins
    :param side: product or baseline; default: both
    :param quiet_wait_s: longest wait for an idle machine before each phase
    :param logs: directory in which the log files of all processes are kept
    """
    if logs is not None:
        os.makedirs(logs, exist_ok=True)
    options = Options(seconds, service_time_ms / 1000.0, side or (), logs, quiet_wait_s)
    missed = []
    for name in scenario or scenarios.names():
        run = scenarios.get(name)
        started = time.monotonic()
        print(f"scenario {name}", flush=True)
        result = run(options)
        print(save(result, options.to_dict()))
        missed += [f"{name}: {aim.to_line()}" for aim in result.aims if not aim.met]
        print(f"scenario {name} took {time.monotonic() - started:.0f} s\n", flush=True)
    print(f"{len(missed)} aims missed")
    for line in missed:
        print(line)


if __name__ == "__main__":
    import defopt

    defopt.run(main)
