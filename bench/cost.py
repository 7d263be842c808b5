"""Measures the CPU time of the daemons per sub-request and profiles one daemon."""

import os
import pstats
import tempfile
import time

from .environment import SERVICES, SIDES, BenchFleet, FleetShape
from .results import Result, save

__all__ = ["main"]

LOAD_SHARE = 0.4
MAX_PROFILE_ROWS = 25
PROFILE_ORDERS = {"own time": "tottime", "with callees": "cumulative"}


def measure_cost(result, side, seconds):
    """Add a row with the cost of one side to ``result``."""
    shape = FleetShape()
    with BenchFleet(shape, side) as bench:
        rate = shape.capacity * LOAD_SHARE
        bench.warm_up(rate)
        idle_us = _idle_cost_us(bench, seconds / 2)
        phase = bench.measure(rate, seconds)
    result.note_machine_cores(phase.cores["machine"])
    sub_requests_per_s = len(phase.report.records) * SERVICES / seconds
    busy_us = phase.cores["daemons"] * 1e6
    total_us = busy_us / sub_requests_per_s
    under_load_us = (busy_us - idle_us) / sub_requests_per_s
    row = {
        "side": side,
        "sub-requests/s": round(sub_requests_per_s, 1),
        "us per sub-request": round(total_us, 1),
        "us without idle cost": round(under_load_us, 1),
        "idle us/s per daemon": round(idle_us / shape.daemons, 1),
        "p50 ms": phase.summary.answered_ms()["p50"],
        "machine cores": phase.cores["machine"],
    }
    result.add_row(*row.values())
    result.data[side] = {**row, "phase": phase.to_dict()}


def _idle_cost_us(bench, seconds):
    """Return the CPU time of all daemons without queries, in us per second."""
    before = bench.cpu_times_s()["daemons"]
    started = time.monotonic()
    time.sleep(seconds)
    cpu_used_s = bench.cpu_times_s()["daemons"] - before
    return cpu_used_s * 1e6 / (time.monotonic() - started)


def profile_daemon(side, seconds, output):
    """Run one daemon under cProfile with load, and write its profile to a file."""
    shape = FleetShape()
    with BenchFleet(shape, side) as bench:
        name = _busiest_owner(bench)
        bench.fleet.terminate(name)
        argv = ("-m", "bench.profiled", SIDES[side], output)
        bench.fleet.start_daemon(name, argv)
        bench.fleet.wait_ready(name)
        bench.warm_up(shape.capacity * LOAD_SHARE, seconds)
        bench.fleet.terminate(name)


def _busiest_owner(bench):
    """Return the daemon that owns the most services; it has the most work."""
    names = list(bench.fleet.daemons)
    if bench.side != "product":
        return names[0]
    bench.warm_up(10.0, 1.0)
    owned_counts = {
        name: sum(
            item["is_owner"] for item in bench.fleet.read_admin_report(name, "owners")
        )
        for name in names
    }
    return max(names, key=owned_counts.get)


def top_profile_rows(path, order):
    """Return the top entries of a profile as (calls, own s, total s, function)."""
    stats = pstats.Stats(path)
    rows = []
    for (file, line, function), (_, calls, own_s, total_s, _) in stats.stats.items():
        location = function
        if line:
            location = f"{os.path.basename(file)}:{line} {function}"
        rows.append((calls, round(own_s, 3), round(total_s, 3), location))
    column = 1 if order == "tottime" else 2
    rows.sort(key=lambda row: row[column], reverse=True)
    return rows[:MAX_PROFILE_ROWS]


def main(
    *, side: list[str] | None = None, seconds: float = 10.0, profile: str = "product"
):
    """Measure the CPU time of the daemons and profile one of them.

    :param side: product or baseline; default: both
    :param seconds: length of the measured phase
    :param profile: side whose daemon is profiled, or none
    """
    columns = ["side", "sub-requests/s", "us per sub-request"]
    columns += ["us without idle cost", "idle us/s per daemon", "p50 ms"]
    result = Result("cost", "CPU cost of the daemons", [*columns, "machine cores"])
    result.notes.append(
        f"Load: {LOAD_SHARE:.0%} of the slot capacity; CPU time of all daemons, user "
        "and system. The idle cost was measured on the same fleet without queries."
    )
    for name in side or SIDES:
        measure_cost(result, name, seconds)
    if profile in SIDES:
        _add_profile(result, profile, seconds)
    print(save(result, {"seconds": seconds}))
    for title, rows in result.data.get("profile", {}).items():
        print(f"profile of one daemon of the {profile}, by {title}:")
        for calls, own_s, total_s, location in rows:
            print(
                f"{calls:>10} calls  {own_s:>7.3f} s own  {total_s:>7.3f} s  {location}"
            )


def _add_profile(result, side, seconds):
    with tempfile.TemporaryDirectory() as directory:
        path = os.path.join(directory, "profile")
        profile_daemon(side, seconds, path)
        result.data["profile"] = {
            title: top_profile_rows(path, order)
            for title, order in PROFILE_ORDERS.items()
        }


if __name__ == "__main__":
    import defopt

    defopt.run(main)
