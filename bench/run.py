"""Runs the benchmark: the product and its naive version in one run."""

import time

from .results import save
from .scenarios import scenarios

__all__ = ["main"]


def main(*, scenario: list[str] | None = None, seconds: float = 10.0):
    """Run scenarios, print their tables and write bench/results.

    The fleets of the product and of the baseline run one after the other within
    each scenario, with the same seeds. The exit status is 0 also when an aim is
    missed.

    :param scenario: names of scenarios; default: all
    :param seconds: length of each measured phase
    """
    missed = []
    for name in scenario or scenarios.names():
        run = scenarios.get(name)
        started = time.monotonic()
        print(f"scenario {name}: {run.__doc__.splitlines()[0]}", flush=True)
        result = run(seconds)
        print(save(result, {"seconds": seconds}))
        missed += [f"{name}: {aim.line()}" for aim in result.aims if not aim.met]
        print(f"scenario {name} took {time.monotonic() - started:.0f} s\n", flush=True)
    print(f"{len(missed)} aims missed")
    for line in missed:
        print(line)


if __name__ == "__main__":
    import defopt

    defopt.run(main)
