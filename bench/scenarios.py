"""The scenarios of the benchmark."""

import functools
import math
import signal
import threading
import time

from almondtide.quarantine import request_fingerprint
from almondtide.registry import Registry
from standins.fleet import http_call

from .environment import SERVICES, WORKLOAD, MachineLoad
from .records import Summary, recovery_s
from .results import Result

__all__ = ["scenarios"]

scenarios = Registry("scenario")

STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 20.0
# Longer than the slowest straggler takes, so that the deadline doesn't hide the tail.
STRAGGLER_DEADLINE_MS = 5000
FAULT_DEADLINE_MS = 1000
FAULT_LOAD_SHARE = 0.5
DAEMON_PAUSE_S = 10.0
IN_FLIGHT_MARGIN_S = 0.2
# Longer than the aim for the recovery (5 s), so that a slower recovery is measured.
MIN_FAULT_DURATION_S = 8.0
CRASH_SENDS = 20
CRASH_EXIT_STATUS = 70
RESTART_DELAY_S = 1.0
COMMON_COLUMNS = ["side", "load"]
PHASE_COLUMNS = [
    "queries/s",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "coverage",
    "extra load",
    "sheds",
    "daemon cores",
    "upstream cores",
    "machine cores",
    "load tool late p99 ms",
]


def _phase_cells(phase):
    summary = phase.summary
    latency = summary.answered_ms()
    lateness = summary.to_dict()["load_lateness_p99_ms"]
    return [
        round(len(summary.records) / phase.seconds, 1),
        latency["p50"],
        latency["p99"],
        latency["p999"],
        summary.coverage,
        phase.extra_load,
        phase.shed,
        phase.cores["daemons"],
        phase.cores["upstreams"],
        phase.cores["machine"],
        lateness,
    ]


def _ratio(part, whole):
    return part / whole if part is not None and whole else float("nan")


# Stragglers


def _make_straggler_shape(options):
    return options.make_shape(
        STRAGGLER_DEADLINE_MS,
        straggler_share=STRAGGLER_SHARE,
        straggler_factor=STRAGGLER_FACTOR,
    )


@scenarios.register("stragglers")
def run_stragglers(options):
    """Compare tail latencies while 1 in 100 sub-queries is 20 times slower."""
    shape = _make_straggler_shape(options)
    result = Result("stragglers", "Stragglers", COMMON_COLUMNS + PHASE_COLUMNS)
    result.notes.append(
        f"1 in 100 sub-queries takes 20 times longer. All slots are in use at "
        f"{shape.capacity:.0f} queries/s, stragglers included."
    )
    phases = {}
    for side in options.sides:
        with options.make_fleet(shape, side) as bench:
            bench.warm_up(shape.capacity * 0.5)
            for share in (0.6, 0.8):
                phase = bench.measure(shape.capacity * share, options.seconds)
                phases[side, share] = phase
                result.note_machine_cores(phase.cores["machine"])
                result.add_row(side, f"{share:.0%}", *_phase_cells(phase))
                result.data[f"{side} {share:.0%}"] = phase.to_dict()
    if len(options.sides) < 2:
        return result
    for share in (0.6, 0.8):
        product = phases["product", share]
        naive = phases["baseline", share]
        ratio = _ratio(
            product.summary.answered_ms()["p99"], naive.summary.answered_ms()["p99"]
        )
        result.add_aim(
            f"p99 at most 1/3 of the baseline's at {share:.0%}",
            ratio <= 1 / 3,
            f"ratio {ratio:.3f}",
        )
        result.add_aim(
            f"at most 5 % extra sends at {share:.0%}",
            product.extra_load <= 0.05,
            f"{product.extra_load:.2%}",
        )
        result.add_aim(
            f"full coverage at {share:.0%}",
            product.summary.coverage == 1.0,
            f"{product.summary.coverage:.5f}",
        )
    return result


# Overload


@scenarios.register("overload")
def run_overload(options):
    """Measure goodput and refusals with load up to twice the capacity."""
    shape = options.make_shape()
    columns = ["goodput/s", "refused", "refusal p50 ms", "refusal p99 ms"]
    result = Result("overload", "Overload", COMMON_COLUMNS + columns + PHASE_COLUMNS)
    result.notes.append(
        f"Deadline {shape.deadline_ms} ms; all slots are in use at "
        f"{shape.capacity:.0f} queries/s. Goodput counts full answers."
    )
    goodputs = {}
    last_phases = {}
    for side in options.sides:
        with options.make_fleet(shape, side) as bench:
            bench.warm_up(shape.capacity * 0.5)
            for share in (0.7, 0.85, 1.0, 1.2, 2.0):
                phase = bench.measure(shape.capacity * share, options.seconds)
                result.note_machine_cores(phase.cores["machine"])
                refused = phase.summary.refused_ms()
                refused_count = sum(
                    record.is_refused for record in phase.summary.records
                )
                goodputs[side, share] = phase.summary.goodput
                last_phases[side] = phase
                result.add_row(
                    side,
                    f"{share:.0%}",
                    phase.summary.goodput,
                    refused_count,
                    refused["p50"],
                    refused["p99"],
                    *_phase_cells(phase),
                )
                result.data[f"{side} {share:.0%}"] = phase.to_dict()
    if len(options.sides) == 2:
        _add_overload_aims(result, shape, goodputs, last_phases["product"])
    return result


def _add_overload_aims(result, shape, goodputs, phase):
    peak = max(value for (side, _), value in goodputs.items() if side == "product")
    goodput_share = goodputs["product", 2.0] / peak
    result.add_aim(
        "goodput at 200 % at least 90 % of the peak",
        goodput_share >= 0.9,
        f"{goodput_share:.1%}",
    )
    refusal_ms = phase.summary.refused_ms()["p99"]
    limit_ms = shape.deadline_ms / 4
    result.add_aim(
        f"refusals at once (p99 within {limit_ms:.0f} ms, a quarter of the deadline)",
        refusal_ms is not None and refusal_ms <= limit_ms,
        f"p99 {refusal_ms} ms",
    )
    well_formed_share = phase.summary.refusals_well_formed()
    result.add_aim(
        "every refusal has not_run and retry_after_ms",
        well_formed_share == 1.0,
        f"{well_formed_share}",
    )
    naive_peak = max(v for (side, _), v in goodputs.items() if side == "baseline")
    result.notes.append(
        f"Peak goodput: product {peak:.1f}/s, baseline {naive_peak:.1f}/s, "
        f"ratio {_ratio(peak, naive_peak):.2f}; at 200 %: ratio "
        f"{_ratio(goodputs['product', 2.0], goodputs['baseline', 2.0]):.2f}."
    )


@scenarios.register("shares")
def run_shares(options):
    """Overload the services with one workload; measure another within its share."""
    shape = options.make_shape(workloads={"field": {"shares": WORKLOAD}})
    shape.workloads["field"]["settings"] = {"deadline_ms": shape.deadline_ms}
    columns = ["side", "workload", "offered/s", "goodput/s", "p99 ms", "codes"]
    result = Result("shares", "Two workloads on the same services", columns)
    result.notes.append(
        "The workload advisory offers 200 % of the capacity, field 40 %; both have "
        "weight 1, so each may use 50 %."
    )
    full_shares = {}
    for side in options.sides:
        with options.make_fleet(shape, side) as bench:
            bench.warm_up(shape.capacity * 0.5)
            bench.wait_quiet()
            machine = MachineLoad()
            loads = {
                WORKLOAD: bench.start_load(shape.capacity * 2.0, options.seconds),
                "field": bench.start_load(
                    shape.capacity * 0.4, options.seconds, workload="field", processes=1
                ),
            }
            reports = {name: load.result() for name, load in loads.items()}
            result.note_machine_cores(machine.cores_in_use())
            for name, report in reports.items():
                summary = Summary(report.records, options.seconds, SERVICES)
                full_shares[side, name] = summary.full_count / len(summary.records)
                figures = summary.to_dict()
                result.data[f"{side} {name}"] = figures
                result.add_row(
                    side,
                    name,
                    figures["offered_per_s"],
                    figures["goodput_per_s"],
                    figures["latency_ms"]["p99"],
                    " ".join(f"{k}={v}" for k, v in figures["codes"].items()),
                )
    if len(options.sides) < 2:
        return result
    share = full_shares["product", "field"]
    result.add_aim(
        "the workload within its share keeps 90 % of its queries",
        share >= 0.9,
        f"{share:.1%}, baseline {full_shares['baseline', 'field']:.1%}",
    )
    return result


# Faults


class Fault:
    """A fault: functions that begin and end it on a fleet.

    ``duration_s`` is None for a duration that depends on the length of a phase.
    """

    __slots__ = ("begin", "duration_s", "end", "loses_daemon", "name")

    def __init__(self, name, begin, end, loses_daemon, duration_s=None):
        self.name = name
        self.begin = begin
        self.end = end
        self.loses_daemon = loses_daemon
        self.duration_s = duration_s


def _kill_server(fleet):
    fleet.kill(f"{WORKLOAD}-0-s0")


def _restart_server(fleet):
    fleet.start_upstream(f"{WORKLOAD}-0-s0")


def _kill_daemon(fleet):
    fleet.kill("entry-03")


def _restart_daemon(fleet):
    fleet.start_daemon("entry-03")


def _pause_daemon(fleet):
    fleet.send_signal("entry-04", signal.SIGSTOP)


def _resume_daemon(fleet):
    fleet.send_signal("entry-04", signal.SIGCONT)


def _second_domain_instances(fleet):
    domain = fleet.spec.domains[1]
    return [item["id"] for item in fleet.listed_instances if item["domain"] == domain]


def _kill_second_domain(fleet):
    names = _second_domain_instances(fleet)
    for name in names:
        fleet.send_signal(name, signal.SIGKILL)
    for name in names:
        fleet.processes[name].wait()


def _restart_second_domain(fleet):
    for name in _second_domain_instances(fleet):
        if name in fleet.daemons:
            fleet.start_daemon(name)
        else:
            fleet.start_upstream(name)


FAULTS = [
    Fault("server killed", _kill_server, _restart_server, False),
    Fault("daemon killed", _kill_daemon, _restart_daemon, True),
    Fault("daemon paused", _pause_daemon, _resume_daemon, True, DAEMON_PAUSE_S),
    Fault("failure domain cut", _kill_second_domain, _restart_second_domain, True),
]


def run_fault(fault, options):
    """Inject one fault under load, end it, and measure what callers see."""
    shape = options.make_shape(FAULT_DEADLINE_MS)
    columns = ["side", "phase", "requests", "p50 ms", "p99 ms", "coverage"]
    columns += ["extra sends", "codes", "missing shards", "machine cores"]
    name = f"fault-{fault.name.replace(' ', '-')}"
    result = Result(name, f"Fault: {fault.name}", [*columns, "recovery s"])
    result.notes.append(
        f"Load: {FAULT_LOAD_SHARE:.0%} of the slot capacity, deadline "
        f"{shape.deadline_ms} ms. The platform's list goes on naming what was killed. "
        "A request to a daemon that is gone counts as uncovered. Recovery: end of the "
        "last half second in which more than 5 % of the requests had no full answer "
        "within half the deadline."
    )
    recoveries = {}
    for side in options.sides:
        with options.make_fleet(shape, side) as bench:
            bench.warm_up(shape.capacity * FAULT_LOAD_SHARE)
            recoveries[side] = _run_fault(result, bench, fault, options.seconds)
    if "product" in recoveries:
        measured = ", ".join(f"{k} {_recovery_text(v)}" for k, v in recoveries.items())
        value = recoveries["product"]
        result.add_aim("recovery under 5 s", value is not None and value < 5, measured)
        after = result.data["product after"]["coverage"]
        result.add_aim("full coverage after the fault", after == 1.0, f"{after:.5f}")
    return result


def _recovery_text(value):
    return "none within the phase" if value is None else f"{value:.1f} s"


def _run_fault(result, bench, fault, seconds):
    before_s = max(3.0, seconds / 2)
    during_s = fault.duration_s or max(seconds, MIN_FAULT_DURATION_S)
    fault_end_s = before_s + during_s
    total_s = fault_end_s + seconds
    bench.wait_quiet()
    load = bench.start_load(bench.shape.capacity * FAULT_LOAD_SHARE, total_s)
    load.wait_until(0.0)
    machine = [MachineLoad()]
    load.wait_until(before_s)
    fault_start_s = time.monotonic() - load.start_monotonic_s
    fault.begin(bench.fleet)
    machine.append(MachineLoad())
    cores = [machine[0].cores_in_use()]
    load.wait_until(fault_end_s)
    fault.end(bench.fleet)
    cores.append(machine[1].cores_in_use())
    machine.append(MachineLoad())
    load.wait_until(total_s)
    cores.append(machine[2].cores_in_use())
    report = load.result()
    slow_s = bench.shape.deadline_ms / 2000.0
    recovery = recovery_s(report.records, fault_start_s, fault_end_s, slow_s)
    # Requests in flight when the fault begins belong to the phase of the fault.
    times = [0.0, fault_start_s - IN_FLIGHT_MARGIN_S, fault_end_s, total_s]
    for index, name in enumerate(("before", "during", "after")):
        begin, end = times[index : index + 2]
        records = report.records_between(begin, end)
        figures = Summary(records, end - begin, SERVICES).to_dict()
        result.note_machine_cores(cores[index])
        result.data[f"{bench.side} {name}"] = figures
        result.add_row(
            bench.side,
            name,
            len(records),
            figures["latency_ms"]["p50"],
            figures["latency_ms"]["p99"],
            figures["coverage"],
            figures["extra_sends"],
            _counts_text(figures["codes"]),
            _counts_text(figures["missing_codes"]),
            cores[index],
            _recovery_text(recovery) if name == "during" else "",
        )
    result.data[f"{bench.side} recovery_s"] = recovery
    result.data[f"{bench.side} timeline"] = _timeline(report, fault_start_s, slow_s)
    return recovery


def _counts_text(counts):
    return " ".join(f"{name}={count}" for name, count in counts.items())


def _timeline(report, fault_start_s, slow_s, bin_s=0.5):
    """Return the counts of requests by time.

    Each item is [seconds after the fault, requests, full answers, full answers
    within ``slow_s``].
    """
    bins = {}
    for record in report.records:
        key = math.floor((record.start_s - fault_start_s) / bin_s) * bin_s
        counts = bins.setdefault(key, [0, 0, 0])
        counts[0] += 1
        counts[1] += record.is_full
        counts[2] += record.is_full and record.latency_s <= slow_s
    return [[key, *counts] for key, counts in sorted(bins.items())]


for _fault in FAULTS:
    scenarios.register(f"fault-{_fault.name.replace(' ', '-')}")(
        functools.partial(run_fault, _fault)
    )


# Crashing requests


class CrashRestarter:
    """Restarts crashed servers after a delay; ``lost_servers`` lists each crash."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.lost_servers = []

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *details):
        self._stop.set()
        self._thread.join()

    def _run(self):
        restart_at = {}
        while not self._stop.wait(0.05):
            now = time.monotonic()
            for name in self._fleet.upstreams:
                if name in restart_at:
                    if restart_at[name] <= now:
                        del restart_at[name]
                        self._fleet.start_upstream(name)
                elif self._fleet.processes[name].poll() == CRASH_EXIT_STATUS:
                    self.lost_servers.append(name)
                    restart_at[name] = now + RESTART_DELAY_S


@scenarios.register("crash")
def run_crash(options):
    """Send a request that crashes servers repeatedly, through different entries."""
    shape = options.make_shape(FAULT_DEADLINE_MS)
    columns = ["side", "crashes", "servers lost", "answers to the crashing request"]
    columns += ["background coverage", "background p99 ms", "innocent quarantined"]
    result = Result("crash", "Crashing request", columns)
    result.notes.append(
        f"The caller sends the request {CRASH_SENDS} times, each time through another "
        "entry, as soon as it has an answer. A lost server is restarted after "
        f"{RESTART_DELAY_S:.0f} s. Background load: 40 % of the slot capacity."
    )
    for side in options.sides:
        with options.make_fleet(shape, side) as bench:
            bench.warm_up(shape.capacity * 0.4)
            for crash in (f"{WORKLOAD}-1", True):
                _run_crash(result, bench, crash, options.seconds)
    if len(options.sides) < 2:
        return result
    one_service_result = result.data[f"product {WORKLOAD}-1"]
    result.add_aim(
        "at most 3 upstreams lost when the request crashes one service",
        len(one_service_result["lost"]) <= 3,
        f"{len(one_service_result['lost'])}, baseline "
        f"{len(result.data[f'baseline {WORKLOAD}-1']['lost'])}",
    )
    innocent = one_service_result["innocent"] + result.data["product True"]["innocent"]
    result.add_aim("no innocent request quarantined", innocent == 0, f"{innocent}")
    return result


def _run_crash(result, bench, crash, seconds):
    body = {"match": {"district": "Nadi"}, "crash": crash}
    total_s = max(seconds, CRASH_SENDS * bench.shape.deadline_ms / 1000.0 + 2.0)
    bench.wait_quiet()
    machine = MachineLoad()
    with CrashRestarter(bench.fleet) as restarter:
        load = bench.start_load(bench.shape.capacity * 0.4, total_s)
        load.wait_until(1.0)
        codes = _send_crashing(bench, body)
        report = load.result()
        result.note_machine_cores(machine.cores_in_use())
        time.sleep(RESTART_DELAY_S + 1.0)
    records = report.records
    innocent = sum(record.code == 203 for record in records)
    innocent += len(_quarantined_fingerprints(bench) - _crash_fingerprints())
    figures = Summary(records, total_s, SERVICES).to_dict()
    result.data[f"{bench.side} {crash}"] = {
        "lost": restarter.lost_servers,
        "codes": codes,
        "innocent": innocent,
        "background": figures,
    }
    counted = {code: codes.count(code) for code in dict.fromkeys(codes)}
    result.add_row(
        bench.side,
        "every service" if crash is True else crash,
        len(restarter.lost_servers),
        " ".join(f"{code}={count}" for code, count in counted.items()),
        figures["coverage"],
        figures["latency_ms"]["p99"],
        innocent,
    )


def _send_crashing(bench, body):
    """Send the request through all entries in turn; returns the result codes."""
    codes = []
    entries = list(bench.fleet.daemons.values())
    headers = {"almondtide-deadline-ms": str(bench.shape.deadline_ms)}
    for number in range(CRASH_SENDS):
        address = entries[number % len(entries)]["caller"]
        path = f"/v1/workloads/{WORKLOAD}/query"
        try:
            answer = http_call(address, "POST", path, body, headers)[2]
            codes.append(answer["name"])
        except OSError:
            codes.append("connection lost")
    return codes


def _crash_fingerprints():
    bodies = [
        {"match": {"district": "Nadi"}, "crash": crash}
        for crash in (f"{WORKLOAD}-1", True)
    ]
    return {request_fingerprint(WORKLOAD, "query", body) for body in bodies}


def _quarantined_fingerprints(bench):
    """Return the fingerprints that any daemon of the product has in quarantine."""
    if bench.side != "product":
        return set()
    fingerprints = set()
    for name in bench.fleet.daemons:
        report = bench.fleet.read_admin_report(name, "quarantine")
        fingerprints.update(item["fingerprint"] for item in report["quarantined"])
    return fingerprints


# Policies

POLICIES = {
    "all on": {},
    "hedging off": {"hedge_policy": "off"},
    "retry budget 0": {"retry_budget": 0.0},
    "hedging off, retry budget 0": {"hedge_policy": "off", "retry_budget": 0.0},
}


@scenarios.register("policies")
def run_policies(options):
    """Compare tail latencies with hedging and retries on and off."""
    shape = _make_straggler_shape(options)
    result = Result("policies", "Policies on and off", ["policies"] + PHASE_COLUMNS)
    result.notes.append(
        "Product only, with the stragglers of the scenario stragglers, 60 % load, one "
        "fleet whose configuration changes between the phases."
    )
    p99_by_policy_ms = {}
    with options.make_fleet(shape, "product") as bench:
        rate = shape.capacity * 0.6
        bench.warm_up(rate)
        for name, defaults in POLICIES.items():
            in_force_s = bench.publish_defaults(defaults)
            bench.warm_up(rate)
            phase = bench.measure(rate, options.seconds, seed=100)
            p99_by_policy_ms[name] = phase.summary.answered_ms()["p99"]
            result.note_machine_cores(phase.cores["machine"])
            result.add_row(name, *_phase_cells(phase))
            result.data[name] = {**phase.to_dict(), "in_force_s": in_force_s}
    ratio = _ratio(p99_by_policy_ms["all on"], p99_by_policy_ms["hedging off"])
    result.add_aim(
        "hedging lowers the p99", ratio < 1.0, f"p99 with/without: {ratio:.3f}"
    )
    return result
