"""Runs a daemon under cProfile and writes the profile when it ends."""

import cProfile
import importlib
import time

__all__ = ["main"]


def main(module: str, output: str):
    """Run the daemon of ``module``; its settings come from the environment.

    :param module: module with a function main(argv), for example almondtide.daemon
    :param output: file for the profile, which pstats reads
    """
    daemon = importlib.import_module(module)
    # Measures CPU time, since waiting for events or for a core is not a cost of the
    # daemon.
    profile = cProfile.Profile(time.process_time)
    try:
        profile.runcall(daemon.main, [])
    finally:
        profile.dump_stats(output)


if __name__ == "__main__":
    import defopt

    defopt.run(main)
