"""Replays load patterns against the dispatcher of the entry, in virtual time.

``python -m bench.replay PATTERN...`` prints what callers get. A pattern is a TOML file
(``bench/patterns``): services with modelled servers, routes with their rates, and
faults. With ``--other DIR`` the same patterns are also replayed by the checkout in
that directory, with ``--replace module.NAME=VALUE`` by this one with another constant;
both are shown side by side. ``--sheds-by-cost`` switches that setting on;
``--kinds`` prints a row for each route.
"""

import importlib
import json
import math
import pathlib
import random
import subprocess
import sys
import tomllib

import curio
import defopt

from almondtide.entry.calls import needed_part_count
from almondtide.entry.crash_detector import CrashDetector
from almondtide.entry.dispatch import Dispatcher
from almondtide.entry.members import Member, MemberState
from almondtide.entry.policy.retry_budget import slack_share
from almondtide.entry.upstreams import UpstreamTable
from almondtide.model.published import (
    Configuration,
    Route,
    Server,
    ServiceInfo,
    Settings,
)
from almondtide.presentation import format_table
from almondtide.timers import Timers
from standins.entry_model import WARMUP_OVERSHOOT, WARMUP_SLACK
from standins.replacement import replace_attribute
from standins.server_model import (
    DEFAULT_DELAYS_S,
    CallerModel,
    ModelPool,
    ServerFault,
    ServerModel,
)
from standins.virtual_time import VirtualClock, run_in_virtual_time

__all__ = ["LoadReplay", "main", "read_pattern", "replay_pattern"]

DOMAINS = ("lautoka", "nadi", "suva")
# The results are divided into windows of this length by when callers began, in s.
WINDOW_S = 2.0
# Entries tell each other their demand for limited servers at this interval, in s.
HEARTBEAT_S = 0.3
# An entry knows this much later than another one that a server has turned cold, in s.
COLD_NOTICE_S = 0.02
# Share of its value that an answer after the objective has.
LATE_VALUE = 0.1
SERVER_OPTIONS = (
    "slots",
    "max_queue",
    "pause_every_s",
    "spread",
    "slowness",
    "noise_share",
    "noise_factor",
    "reports_load",
)
# A refusal counts as late after this share of the objective.
LATE_REFUSAL_FRACTION = 0.25
COLUMNS = (
    "pattern",
    "run",
    "requests",
    "served",
    "in objective",
    "value",
    "best value",
    "worst windows",
    "refused",
    "p50 ms",
    "p99 ms",
    "extra sends",
    "crossing",
)
KIND_COLUMNS = (
    "pattern",
    "run",
    "kind",
    "rank",
    "requests",
    "served",
    "in objective",
    "value",
    "best value",
    "refused",
    "refused late",
    "p50 ms",
    "p99 ms",
)
WINDOW_COLUMNS = (
    "pattern",
    "run",
    "from s",
    "requests",
    "served",
    "in objective",
    "value",
    "best value",
    "p50 ms",
    "p99 ms",
)


class _SilentLog:
    """A log that drops all events."""

    def _drop(self, name, **fields):
        pass

    info = warning = refusal = error = debug = trace = _drop


def _make_settings(budget_ratio, budget_slack, sheds_by_cost):
    """Return the ``Settings`` of an entry; only those of the dispatcher are set."""
    fields = dict.fromkeys(Settings.__slots__)
    fields.update(
        drain_s=3.0,
        extra_ratio=budget_ratio,
        extra_slack=budget_slack,
        extra_window_s=10.0,
        sheds_by_cost=sheds_by_cost,
    )
    return Settings(**fields)


class _ModelEntry:
    """The dispatcher of one entry with its own view of the servers."""

    def __init__(
        self, number, clock, servers, settings, entry_count, work_factors, delays_s
    ):
        log = _SilentLog()
        domain = DOMAINS[number % len(DOMAINS)]
        self.table = UpstreamTable(domain)
        self.table.entry_count = entry_count
        self.name = f"entry-{number}"
        self.table.rate_shares.local_name = self.name
        self.pool = ModelPool(servers, work_factors, delays_s, domain)
        self.dispatcher = Dispatcher(
            self.table,
            self.pool,
            settings,
            CrashDetector(clock.monotonic, log),
            clock.monotonic,
            log,
        )
        self.timers = Timers(clock, self.dispatcher.on_timer, log)
        self.dispatcher.set_timers(self.timers)


class LoadReplay:
    """Modelled servers and callers around the dispatchers of some entries.

    The first ``entry_count`` entries are active, further ``standby_count`` are not.

    Add services before entries are needed; ``servers`` holds the ``ServerModel``
    objects by id, ``i-SERVICE-NUMBER``.
    """

    def __init__(
        self,
        seed,
        entry_count=1,
        budget_ratio=0.2,
        budget_slack=116,
        standby_count=0,
        sheds_by_cost=False,
        delays_s=DEFAULT_DELAYS_S,
    ):
        # The dispatcher spreads the return of callers at random.
        random.seed(seed)
        self.clock = VirtualClock()
        self.servers = {}
        self.work_factors = {}
        self._cold_services = {}
        self._rng = random.Random(f"{seed}/servers")
        settings = _make_settings(budget_ratio, budget_slack, sheds_by_cost)
        self.entries = [
            _ModelEntry(
                number,
                self.clock,
                self.servers,
                settings,
                entry_count,
                self.work_factors,
                delays_s,
            )
            for number in range(entry_count + standby_count)
        ]
        active_names = tuple(entry.name for entry in self.entries[:entry_count])
        self._active_members = [
            Member(
                entry.name,
                number,
                "127.0.0.1",
                entry.table.domain,
                MemberState.READY,
                1.0,
                True,
                0.0,
            )
            for number, entry in enumerate(self.entries[:entry_count])
        ]
        for number, entry in enumerate(self.entries):
            entry.table.rate_shares.active_names = active_names
            entry.dispatcher.budget_share = slack_share(
                number < entry_count, entry_count, standby_count
            )
        self.callers = CallerModel(
            [entry.dispatcher for entry in self.entries],
            Configuration(1),
            self.clock,
            seed,
        )
        self.callers.best_value = self._best_value
        self._delays_s = delays_s

    def add_service(
        self, name, server_count=3, slots=3, slowness=(1.0,), **server_options
    ):
        """Add a service whose servers are spread over the failure domains.

        ``slowness`` holds the service times of its servers, as multiples, in turn.
        """
        for number in range(server_count):
            id = f"i-{name}-{number}"
            self.servers[id] = ServerModel(
                self.clock,
                self._rng,
                slots=slots,
                slowness=slowness[number % len(slowness)],
                **server_options,
            )
            address = ("127.0.0.1", 1024 + len(self.servers))
            server = Server(id, name, address, DOMAINS[number % 3], slots)
            for entry in self.entries:
                entry.table.apply(server)

    def servers_of(self, *services):
        """Return the servers of some services."""
        prefixes = tuple(f"i-{service}-" for service in services)
        return [self.servers[id] for id in self.servers if id.startswith(prefixes)]

    def add_fault(self, kind, services, after_s, for_s, share=1.0, x=1.0):
        """Let a share of the servers of some services, drawn at random, fail."""
        servers = self.servers_of(*services)
        start = self.clock.monotonic() + after_s
        for server in self._rng.sample(servers, round(share * len(servers))):
            server.faults.append(ServerFault(kind, start, start + for_s, x))
        if kind == "cold":
            for name in services:
                self._cold_services[name] = ServiceInfo(name, "/", 1 << 16, for_s, x)
            for entry in self.entries:
                entry.table.warmup_bounds.configure(
                    WARMUP_OVERSHOOT, WARMUP_SLACK, self._cold_services.values()
                )

    def run(self, loads):
        """Play loads together; each is (route, rate, seconds, deadline in s).

        Return the ``CallerResult`` objects of all.
        """

        async def play():
            for entry in self.entries:
                await entry.timers.start()
                await curio.spawn(self._send_heartbeats, entry, daemon=True)
            for id, server in self.servers.items():
                for fault in server.faults:
                    if fault.kind == "cold":
                        await curio.spawn(self._turn_cold, id, fault, daemon=True)
            tasks = [await curio.spawn(self.callers.run, *load) for load in loads]
            for task in tasks:
                await task.join()

        run_in_virtual_time(play, clock=self.clock)
        return self.callers.results

    async def _turn_cold(self, id, fault):
        """Change the record of a server to cold and back, entry by entry."""
        for at, is_cold in ((fault.start, True), (fault.end, False)):
            await curio.sleep(max(0.0, at - self.clock.monotonic()))
            for entry in self.entries:
                known = entry.table.get(id).server
                server = Server(
                    id,
                    known.service,
                    known.address,
                    known.domain,
                    known.slots,
                    cold=is_cold,
                )
                entry.table.apply(server, now=self.clock.monotonic())
                await curio.sleep(COLD_NOTICE_S)

    async def _send_heartbeats(self, entry):
        """Report the demand of an entry to the others, as heartbeats do."""
        # Not at the same moments, and without a draw from the servers' numbers.
        await curio.sleep(self.entries.index(entry) / len(self.entries) * HEARTBEAT_S)
        while True:
            now = self.clock.monotonic()
            entry.table.rate_shares.note_active(
                self._active_members, now, math.inf, len(self._active_members), True
            )
            entry.table.refresh_limited_services(now)
            demands = entry.table.rate_shares.local_demands(now)
            for other in self.entries:
                if other is not entry:
                    other.table.rate_shares.note_report(entry.name, demands, now)
            await curio.sleep(HEARTBEAT_S)

    def _best_value(self, route):
        """Return the most that a request is worth to its caller if it began now.

        An entry that knew all servers would send each part to the one that answers
        first. Queues, and work above or below the mean, do not count.
        """
        work_x = self.work_factors.get(route.name, 1.0)
        services = route.shards or [name for name, _ in route.weighted_services]
        least_s = sorted(
            min(server.least_s(work_x) for server in self.servers_of(service))
            for service in services
        )
        needed = needed_part_count(len(least_s), route.min_coverage)
        in_time_s = route.objective_s - 2.0 * min(self._delays_s)
        values = [
            sum(s <= limit_s for s in least_s) / len(least_s)
            for limit_s in (in_time_s, route.timeout_s)
        ]
        best_value = 0.0
        for share, worth in zip(values, (1.0, LATE_VALUE), strict=True):
            if round(share * len(least_s)) >= needed:
                best_value = max(best_value, share**2 * worth)
        return best_value

    def extra_share(self):
        """Return the extra sends as a share of the first ones."""
        extra = first = 0
        for entry in self.entries:
            counts = entry.dispatcher.counts
            # A checkout that is compared may know fewer kinds.
            own = sum(counts.get(name, 0) for name in ("hedges", "retries", "copies"))
            extra += own
            first += counts["sends"] - own
        return extra / max(1, first)

    def crossing_share(self):
        """Return the share of the requests that went to another failure domain."""
        pools = [entry.pool for entry in self.entries]
        written = sum(pool.written_count for pool in pools)
        return sum(pool.crossing_count for pool in pools) / max(1, written)


def read_pattern(path):
    """Return the pattern in a TOML file; raises ``ValueError`` if it is none."""
    with open(path, "rb") as file:
        pattern = tomllib.load(file)
    for key in ("load", "seconds", "services", "routes"):
        if key not in pattern:
            raise ValueError(f"{path}: {key} is missing")
    return pattern


def _make_route(fields):
    shards = [f"{fields['services']}{n}" for n in range(fields.get("shards", 0))]
    return Route(
        fields["name"],
        "h",
        "/p/",
        is_idempotent=True,
        weighted_services=() if shards else [(f"{fields['services']}0", 1)],
        shards=shards,
        max_servers=2,
        timeout_s=fields["deadline_ms"] / 1000.0,
        objective_s=fields["objective_ms"] / 1000.0,
        priority_rank=fields.get("priority", 0),
        top_records=5,
        min_coverage=fields.get("min_coverage", 0.0),
    )


def replay_pattern(pattern, seed, sheds_by_cost=False):
    """Play a pattern; return a dict with the figures of ``COLUMNS`` from "requests"."""
    replay = play_pattern(pattern, seed, sheds_by_cost)
    results = replay.callers.results
    return {
        **summarize(results),
        "extra sends": round(replay.extra_share(), 3),
        "crossing": round(replay.crossing_share(), 3),
    }


def play_pattern(pattern, seed, sheds_by_cost=False):
    """Play a pattern; return its ``LoadReplay``."""
    replay = LoadReplay(
        seed,
        pattern.get("entries", 1),
        budget_slack=pattern.get("budget_slack", 116),
        sheds_by_cost=sheds_by_cost,
        delays_s=_delays_s(pattern),
    )
    replay.callers.returns_at_once = pattern.get("returns_at_once", False)
    for service in pattern["services"]:
        options = {
            name: service[f"{name[:-2]}_ms"] / 1000.0
            for name in ("work_s", "pause_s", "handshake_s")
            if f"{name[:-2]}_ms" in service
        }
        for name in SERVER_OPTIONS:
            if name in service:
                options[name] = service[name]
        for number in range(service.get("count", 1)):
            replay.add_service(
                f"{service['name']}{number}", service.get("servers", 3), **options
            )
    for fault in pattern.get("faults", ()):
        names = [
            f"{fault['services']}{number}"
            for number in range(fault.get("first", 0), fault.get("count", 1))
        ]
        replay.add_fault(
            fault["kind"],
            names,
            fault["at_s"],
            fault["for_s"],
            fault.get("share", 1.0),
            fault.get("x", 1.0),
        )
    loads = []
    for fields in pattern["routes"]:
        replay.work_factors[fields["name"]] = fields.get("work", 1.0)
        rate = _rate(fields["per_s"], pattern.get("bursts", ()), pattern.get("swing"))
        deadline_s = fields["deadline_ms"] / 1000.0
        loads.append((_make_route(fields), rate, pattern["seconds"], deadline_s))
    replay.run(loads)
    return replay


def _delays_s(pattern):
    """Return the times of one way within and between failure domains, in s."""
    names = ("in_domain_ms", "cross_domain_ms")
    return tuple(
        pattern.get(name, default_s * 1000.0) / 1000.0
        for name, default_s in zip(names, DEFAULT_DELAYS_S, strict=True)
    )


def _rate(per_s, bursts, swing):
    def rate(elapsed_s):
        factor = 1.0
        for burst in bursts:
            if 0 <= elapsed_s - burst["at_s"] < burst["for_s"]:
                factor *= burst["x"]
        if swing is not None:
            phase = math.sin(2.0 * math.pi * elapsed_s / swing["period_s"])
            factor *= 1.0 + swing["share"] * phase
        return per_s * factor

    return rate


def _value(result):
    if not result.is_served:
        return 0.0
    return result.covered**2 * (1.0 if result.is_in_time else LATE_VALUE)


def _split_by_window(results, window_s):
    """Return a dict from the number of a window to the results that began in it."""
    start = min(result.sent_at for result in results)
    windows = {}
    for result in results:
        window = int((result.sent_at - start) / window_s)
        windows.setdefault(window, []).append(result)
    return windows


def summarize(results):
    """Return what callers got, as a dict of shares and latencies."""
    means = sorted(
        sum(map(_value, own)) / len(own)
        for own in _split_by_window(results, WINDOW_S).values()
    )
    latencies = sorted(r.latency_s * 1000.0 for r in results if r.is_served) or [0.0]
    count = len(results)
    return {
        "requests": count,
        "served": round(sum(r.is_served for r in results) / count, 3),
        "in objective": round(sum(r.is_in_time for r in results) / count, 3),
        "value": round(sum(map(_value, results)) / count, 3),
        "best value": round(sum(r.best_value for r in results) / count, 3),
        "worst windows": round(sum(means[:2]) / len(means[:2]), 3),
        "refused": round(sum(r.refused_s is not None for r in results) / count, 3),
        "p50 ms": round(latencies[len(latencies) // 2], 1),
        "p99 ms": round(latencies[int(0.99 * len(latencies))], 1),
    }


def summarize_windows(results, window_s=WINDOW_S):
    """Return what callers got by when they began, a dict of ``WINDOW_COLUMNS`` each."""
    windows = _split_by_window(results, window_s)
    return [
        {**summarize(windows[window]), "from s": window * window_s}
        for window in sorted(windows)
    ]


def _kind_value(result):
    """Return the value of a result to its caller, who was refused in time or late."""
    if result.refused_s is None:
        return _value(result)
    is_early = result.refused_s <= LATE_REFUSAL_FRACTION * result.objective_s
    if not result.is_served or not is_early:
        return result.covered**2 * LATE_VALUE if result.is_served else 0.0
    is_in_time = result.last_attempt_s <= result.objective_s
    return result.covered**2 * ((1.0 + LATE_VALUE) / 2.0 if is_in_time else LATE_VALUE)


def summarize_kinds(results):
    """Return what the callers of each route got, a dict of ``KIND_COLUMNS`` each."""
    by_route = {}
    for result in results:
        by_route.setdefault(result.route, []).append(result)
    rows = []
    for route in sorted(by_route, key=lambda route: route.priority_rank):
        own = by_route[route]
        figures = summarize(own)
        late_s = LATE_REFUSAL_FRACTION * route.objective_s
        late = sum(r.refused_s is not None and r.refused_s > late_s for r in own)
        figures.update(
            {
                "kind": route.name,
                "rank": route.priority_rank,
                "value": round(sum(map(_kind_value, own)) / len(own), 3),
                "refused late": round(late / len(own), 3),
            }
        )
        rows.append(figures)
    return rows


def _replace_constant(text):
    name, _, value = text.partition("=")
    module, _, attribute = name.rpartition(".")
    target = importlib.import_module(f"almondtide.entry.{module}")
    replace_attribute(target, attribute, float(value))


def _replay_elsewhere(directory, arguments):
    """Replay in a process of its own; return the rows that it printed as JSON."""
    result = subprocess.run(
        [sys.executable, "-m", "bench.replay", *arguments, "--output", "json"],
        cwd=directory,
        capture_output=True,
        text=True,
        check=False,
    )
    if result.returncode:
        raise SystemExit(f"{directory}: {result.stderr.strip()[-500:]}")
    return json.loads(result.stdout)


def main(
    *patterns: str,
    seed: int = 1,
    other: str | None = None,
    replace: list[str] | None = None,
    output: str = "text",
    sheds_by_cost: bool = False,
    kinds: bool = False,
    windows: bool = False,
):
    """Replay load patterns and print what callers get.

    :param patterns: files of patterns
    :param other: also replay with the checkout in this directory
    :param replace: module.NAME=VALUE of constants of almondtide.entry; the patterns are
        replayed with and without them
    :param output: text or json
    :param sheds_by_cost: delay and refuse work by its cost to callers
    :param kinds: print a row for each route
    :param windows: print a row for each window of two seconds
    """
    paths = [str(pathlib.Path(path).resolve()) for path in patterns]
    arguments = [*paths, "--seed", str(seed)]
    arguments += ["--sheds-by-cost"] * sheds_by_cost + ["--kinds"] * kinds
    arguments += ["--windows"] * windows
    summarize_rows = summarize_windows if windows else summarize_kinds
    rows = []
    if replace and output != "json":
        rows += _replay_elsewhere(pathlib.Path.cwd(), arguments)
    if other is not None:
        rows += [{**row, "run": other} for row in _replay_elsewhere(other, arguments)]
    for text in replace or ():
        _replace_constant(text)
    for path in paths:
        run = " ".join(replace) if replace else "this"
        label = {"pattern": pathlib.Path(path).stem, "run": run}
        pattern = read_pattern(path)
        if kinds or windows:
            results = play_pattern(pattern, seed, sheds_by_cost).callers.results
            rows += [{**label, **figures} for figures in summarize_rows(results)]
        else:
            rows.append({**label, **replay_pattern(pattern, seed, sheds_by_cost)})
    if output == "json":
        print(json.dumps(rows))
        return
    rows.sort(key=lambda row: row["pattern"])
    columns = COLUMNS
    if kinds or windows:
        columns = WINDOW_COLUMNS if windows else KIND_COLUMNS
    lines = [[str(row[column]) for column in columns] for row in rows]
    print(format_table(columns, lines))


if __name__ == "__main__":
    defopt.run(main)
