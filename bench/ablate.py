"""Measures what each mechanism of the entry is worth, by switching it off.

``python -m bench.ablate NAME... --bench PROGRAM --site FILE`` makes a clone for each
mechanism, appends the replaced constants and functions to its modules, plays the same
days of the users' bench with the same seeds in each clone and in one of the unchanged
code, and prints the differences in worth. The journal entries of the plays are copied
to this repository. With ``--patterns FILE...`` the clones replay load patterns in
virtual time instead, see ``bench.replay``. ``--list-only`` names the mechanisms.
"""

import concurrent.futures
import pathlib
import re
import shutil
import statistics
import subprocess
import sys

import defopt
import orjson

from almondtide.presentation import format_table, print_error, print_text
from almondtide.registry import Registry

__all__ = ["Play", "apply_mechanism", "compare_plays", "main", "mechanisms"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
REFERENCE = "reference"
# The bench names the journal entry of a play in its last line.
SNAPSHOT_LINE = re.compile(r"^snapshot ([0-9a-f]+)\s*$", re.MULTILINE)
COLUMNS = ("mechanism", "day", "plays", "with", "without", "gain", "least", "most")

mechanisms = Registry("mechanism")


# Each function tells what its mechanism does, and returns the source that switches it
# off: by module of ``almondtide.entry``, the Python source that is appended to it.


@mechanisms.register("two-active-entries")
def _two_active_entries():
    """Two active entries in each failure domain in place of one."""
    return {"members": "select_active_members.__defaults__ = (1,)"}


@mechanisms.register("shared-depth")
def _shared_depth():
    """A bound on the requests that all entries have at one server."""
    return {"upstreams": "UpstreamTable.max_in_flight = lambda *args: 1 << 20"}


@mechanisms.register("hedging")
def _hedging():
    """A second exchange for a slow one."""
    return {"dispatch": "may_hedge = lambda branch, now: False"}


@mechanisms.register("hedge-delay-bound")
def _hedge_delay_bound():
    """A hedge delay of some medians where a quantile would be longer."""
    return {"policy.route_latency": "MAX_HEDGE_DELAY_MEDIANS = 1e9"}


@mechanisms.register("retry-reserve")
def _retry_reserve():
    """The part of the budget that hedges leave to retries."""
    return {"dispatch": "RETRY_RESERVE_FRACTION = 0.0"}


@mechanisms.register("slowness")
def _slowness():
    """Servers that were slow cost more."""
    return {"upstream": "Upstream.slowness = lambda self, now: 1.0"}


@mechanisms.register("failure-rate")
def _failure_rate():
    """Servers that failed cost more."""
    return {"upstream": "Upstream.failure_rate = lambda self, now: 0.0"}


@mechanisms.register("silence")
def _silence():
    """Servers that are overdue cost more and count as lost."""
    return {"upstream": "Upstream.silent_s = lambda self, now: 0.0"}


@mechanisms.register("other-domain-cost")
def _other_domain_cost():
    """Servers of another failure domain cost more."""
    return {"policy.choice": "OTHER_DOMAIN_COST = 0.0"}


@mechanisms.register("cold-and-leaving-costs")
def _cold_and_leaving_costs():
    """Servers that start or leave cost more."""
    return {"policy.choice": "COLD_COST = LEAVING_COST = 0.0"}


@mechanisms.register("ejection")
def _ejection():
    """Servers that are lost get nothing for a while, then one probe."""
    return {"policy.health": "ServerHealth.eject = lambda self, now: None"}


@mechanisms.register("full-backoff")
def _full_backoff():
    """A pause after a server said that it is full."""
    return {"policy.health": "MIN_FULL_BACKOFF_S = MAX_FULL_BACKOFF_S = 0.0"}


@mechanisms.register("connection-limits")
def _connection_limits():
    """A share of a server's connections, and a pause after a reset."""
    return {
        "upstream": "CONNECT_BACKOFF_S = 0.0",
        "upstreams": "MIN_CONNECTIONS = 1 << 20",
    }


@mechanisms.register("answer-at-objective")
def _answer_at_objective():
    """A merged answer leaves in time with the parts that are in."""
    return {"dispatch": "ANSWER_MARGIN_S = MAX_ANSWER_MARGIN_FRACTION = -1e6"}


@mechanisms.register("admission")
def _admission():
    """Requests are refused at once where their services cannot serve them."""
    return {
        "dispatch": """
decide_admission = lambda states, needed: type(
    "Admitted", (), {"is_admitted": True, "reason": "", "states": states}
)()
"""
    }


@mechanisms.register("standby-connections")
def _standby_connections():
    """Standbys close idle connections early."""
    return {"connections": "STANDBY_MAX_IDLE_S = MAX_IDLE_S"}


@mechanisms.register("crash-quarantine")
def _crash_quarantine():
    """Requests that crash servers are refused."""
    return {"crash_detector": "CrashDetector.refused_for_s = lambda self, call: 0.0"}


@mechanisms.register("held-removals")
def _held_removals():
    """Entries that expired while the store was away are kept for a while."""
    return {"feed": "removal_held_until = lambda *args: None"}


@mechanisms.register("queue-order")
def _queue_order():
    """Branches that are late already wait behind those in time."""
    return {
        "policy.branch_queue": """
BranchQueue.pop = lambda self, now: self._in_time.pop()
"""
    }


class Play:
    """One play of a day: its worth, and the file name of its journal entry."""

    __slots__ = ("broken", "day", "entry", "mechanism", "seed", "worth")

    def __init__(self, mechanism, day, seed, worth, broken, entry):
        self.mechanism = mechanism
        self.day = day
        self.seed = seed
        self.worth = worth
        self.broken = broken
        self.entry = entry


def apply_mechanism(folder, name):
    """Switch a mechanism off in the checkout ``folder``; raises ``KeyError``."""
    for module, source in mechanisms.get(name)().items():
        path = folder / "almondtide" / "entry" / f"{module.replace('.', '/')}.py"
        text = path.read_text(encoding="utf-8")
        path.write_text(f"{text}\n\n{source.strip()}\n", encoding="utf-8")


def make_clone(folder, name):
    """Return a clone of this repository's commit, with a mechanism switched off."""
    clone = folder / name
    if clone.exists():
        shutil.rmtree(clone)
    subprocess.run(["git", "clone", "-q", str(ROOT), str(clone)], check=True)
    if name != REFERENCE:
        apply_mechanism(clone, name)
        commit = ["git", "commit", "-q", "-a", "-m", f"Switch {name} off"]
        subprocess.run(commit, cwd=clone, check=True)
    return clone


def play_day(bench, site, clone, day, seed, options):
    """Play a day in a clone; return its ``Play``, or None if the bench failed."""
    command = [bench, "run", str(site), day, *options]
    if seed is not None:
        command += ["--seed", str(seed)]
    why = f"ablation: {clone.name}"
    result = subprocess.run(
        [*command, "--why", why], cwd=clone, check=False, capture_output=True, text=True
    )
    found = SNAPSHOT_LINE.search(result.stdout)
    if found is None:
        print_error(f"{clone.name}, {day}: {(result.stdout + result.stderr)[-300:]}")
        return None
    [path] = (clone / "journal").glob(f"*-{found.group(1)}.json")
    [played] = orjson.loads(path.read_bytes())["days"]
    for target in ("journal", "journal/blobs", "journal/incidents"):
        for source in (clone / target).glob("*.*"):
            if not (ROOT / target / source.name).exists():
                shutil.copy(source, ROOT / target)
    return Play(
        clone.name, day, seed, played["G"], sorted(played["rules"] or ()), path.name
    )


def replay_patterns(clone, patterns):
    """Replay load patterns in a clone; return a ``Play`` for each.

    The worth is the value that callers get. Raises ``CalledProcessError``.
    """
    command = [sys.executable, "-m", "bench.replay", *patterns, "--output", "json"]
    result = subprocess.run(command, cwd=clone, check=True, capture_output=True)
    return [
        Play(clone.name, row["pattern"], None, row["value"], [], None)
        for row in orjson.loads(result.stdout)
    ]


def compare_plays(plays):
    """Return rows of ``COLUMNS``: what each mechanism is worth on each day.

    The gain is the mean difference of the plays with equal seeds; least and most are
    its range.
    """
    reference = {
        (play.day, play.seed): play.worth
        for play in plays
        if play.mechanism == REFERENCE
    }
    rows = []
    pairs = {}
    for play in plays:
        worth = reference.get((play.day, play.seed))
        if play.mechanism != REFERENCE and worth is not None:
            pairs.setdefault((play.mechanism, play.day), []).append((worth, play.worth))
    for (name, day), found in pairs.items():
        gains = [worth - without for worth, without in found]
        rows.append(
            [
                name,
                day,
                len(found),
                round(statistics.mean(worth for worth, _ in found), 4),
                round(statistics.mean(without for _, without in found), 4),
                round(statistics.mean(gains), 4),
                round(min(gains), 4),
                round(max(gains), 4),
            ]
        )
    return rows


def main(
    *names: str,
    bench: str | None = None,
    site: str | None = None,
    days: list[str] | None = None,
    seeds: list[int] | None = None,
    patterns: list[str] | None = None,
    jobs: int = 2,
    folder: str = "run/ablation",
    no_cpu: bool = False,
    list_only: bool = False,
):
    """Measure what mechanisms are worth.

    :param names: mechanisms to switch off, one by one; all if none is named
    :param bench: the program of the users' bench
    :param site: a site file
    :param days: days to play
    :param seeds: seeds to play each day with; the day's own if none is given
    :param patterns: files of load patterns to replay instead of days
    :param jobs: plays at the same time
    :param folder: where the clones are made
    :param no_cpu: charge no processor time
    :param list_only: only list the mechanisms
    """
    if list_only:
        rows = [[name, mechanisms.get(name).__doc__] for name in mechanisms.names()]
        print_text(format_table(("mechanism", "what it does"), rows))
        return
    if not patterns and (bench is None or site is None):
        print_error("--bench and --site, or --patterns, are needed")
        sys.exit(2)
    unknown = [name for name in names if name not in mechanisms]
    if unknown:
        print_error(f"unknown mechanisms: {', '.join(unknown)}")
        sys.exit(2)
    place = (ROOT / folder).resolve()
    clones = [
        make_clone(place, name) for name in (REFERENCE, *(names or mechanisms.names()))
    ]
    if patterns:
        paths = [str(pathlib.Path(path).resolve()) for path in patterns]
        with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
            futures = [pool.submit(replay_patterns, clone, paths) for clone in clones]
            plays = [play for fut in futures for play in fut.result()]
        print_text(format_table(COLUMNS, compare_plays(plays)))
        return
    site_path = pathlib.Path(site).resolve()
    # Built here once each, so that plays in one clone do not build at the same time.
    for clone in clones:
        subprocess.run([bench, "build"], cwd=clone, check=True, capture_output=True)
    tasks = [
        (clone, day, seed)
        for day in days or ["trouble-1", "scale-1"]
        for seed in seeds or [None]
        for clone in clones
    ]
    options = ["--no-cpu"] if no_cpu else []
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(play_day, bench, site_path, clone, day, seed, options)
            for clone, day, seed in tasks
        ]
        plays = [fut.result() for fut in futures]
    plays = [play for play in plays if play is not None]
    for play in plays:
        if play.broken:
            print_error(f"{play.mechanism}, {play.day}: broke {play.broken}")
    print_text(format_table(COLUMNS, compare_plays(plays)))
    sys.exit(len(plays) < len(tasks))


if __name__ == "__main__":
    defopt.run(main, no_negated_flags=True)
