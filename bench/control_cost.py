"""Measures the cost of idle daemons and of configuration changes; run as a module."""

import copy
import json
import pathlib
import statistics
import tempfile
import time

import curio
import defopt
import psutil

from almondtide.changes import apply_patch, make_change
from almondtide.configuration import parse_configuration
from almondtide.documents import DocumentKind, DocumentStore
from almondtide.logs import Log
from almondtide.messages import DocumentRequest, encode_frame
from almondtide.ports import Document
from standins.fleet import Fleet, FleetSpec

__all__ = ["main"]

RESULTS_DIRECTORY = pathlib.Path(__file__).parent / "results"
SETTLE_S = 8.0
PUBLISH_COUNT = 5
WORKLOADS = {"advisory": {"services": 2, "servers": 1, "slots": 3, "kind": "probes"}}
SHARDS_PER_MAP = 500
LIMITS = {"cpu_percent": 2.6, "memory_mb": 256, "traffic_kb_s": 26, "in_force_s": 7}


def large_document(base, size):
    """Return ``base`` with workloads added, at least ``size`` bytes of JSON."""
    document = copy.deepcopy(base)
    number = 0
    while Document("configuration", 1, document).size < size:
        bounds = [round(65536 * i / SHARDS_PER_MAP) for i in range(SHARDS_PER_MAP + 1)]
        shards = [
            {
                "name": f"district-{number}-{index}",
                "low": bounds[index],
                "high": bounds[index + 1],
                "service": f"advisory-{index % 2}",
            }
            for index in range(SHARDS_PER_MAP)
        ]
        shard_maps = [{"epoch": 1, "shards": shards}]
        document["workloads"][f"archive-{number}"] = {"shard_maps": shard_maps}
        number += 1
    return document


def changed_setting(document, value=0.04):
    """Return a copy of the document with another fleet-wide default."""
    changed = copy.deepcopy(document)
    changed["defaults"]["hedge_budget"] = value
    return changed


def moved_shard(document):
    """Return a copy of the document with one shard moved to another service."""
    changed = copy.deepcopy(document)
    name = max(changed["workloads"])
    shard = changed["workloads"][name]["shard_maps"][0]["shards"][7]
    shard["service"] = (
        "advisory-0" if shard["service"] != "advisory-0" else "advisory-1"
    )
    return changed


# Fleet


def _daemon_processes(fleet):
    return {name: psutil.Process(fleet.processes[name].pid) for name in fleet.daemons}


def _sample_usage(fleet, processes):
    calls = fleet.platform_state()["calls"]
    sample = {}
    for name, process in processes.items():
        cpu_times = process.cpu_times()
        traffic = fleet.read_admin_report(name, "status")["traffic"]
        sample[name] = {
            "time": time.monotonic(),
            "cpu_s": cpu_times.user + cpu_times.system,
            "rss": process.memory_info().rss,
            "sent": traffic["peer_sent_bytes"],
            "received": traffic["peer_received_bytes"]
            + traffic["platform_received_bytes"],
        }
    return calls, sample


def _median_and_max(values):
    return {
        "median": round(statistics.median(values), 3),
        "max": round(max(values), 3),
    }


def measure_idle_fleet(fleet, seconds):
    """Return the cost of an idle fleet over ``seconds``."""
    processes = _daemon_processes(fleet)
    calls, before = _sample_usage(fleet, processes)
    started = time.monotonic()
    time.sleep(seconds)
    later_calls, after = _sample_usage(fleet, processes)
    elapsed_s = time.monotonic() - started

    def rate(field):
        return [
            (after[n][field] - before[n][field])
            / (after[n]["time"] - before[n]["time"])
            for n in processes
        ]

    return {
        "cpu_percent": _median_and_max([100 * value for value in rate("cpu_s")]),
        "memory_mb": _median_and_max([after[n]["rss"] / 1e6 for n in processes]),
        "sent_kb_s": _median_and_max([value / 1000 for value in rate("sent")]),
        "received_kb_s": _median_and_max([value / 1000 for value in rate("received")]),
        "platform_calls_s": round((later_calls - calls) / elapsed_s, 2),
    }


def measure_publish(fleet, body):
    """Publish a configuration; return the seconds until all daemons use it."""
    started = time.time()
    revision = fleet.publish("configuration", body)
    deadline = time.monotonic() + 60
    waiting_daemons = set(fleet.daemons)
    times = []
    while waiting_daemons:
        for name in list(waiting_daemons):
            in_force = _in_force_at(fleet, name, revision)
            if in_force is not None:
                times.append(in_force - started)
                waiting_daemons.discard(name)
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"revision {revision} is not in force on {waiting_daemons}"
            )
        time.sleep(0.1)
    return max(times)


def _in_force_at(fleet, name, revision):
    """Return when the daemon recorded ``revision`` as in force, or None.

    The time is Unix time in seconds.
    """
    for event in reversed(fleet.read_admin_report(name, "events")["events"]):
        fields = event["fields"]
        if event["event"] != "document_in_force":
            continue
        if fields["document"] == "configuration" and fields["revision"] == revision:
            return event["time"][0] / 1000
    return None


def measure_fleet(size, seconds):
    """Return all figures of a fleet of ``size`` daemons."""
    with tempfile.TemporaryDirectory() as directory:
        spec = FleetSpec(daemons=size, workloads=WORKLOADS)
        with Fleet(spec, directory) as fleet:
            time.sleep(SETTLE_S)
            idle = measure_idle_fleet(fleet, seconds)
            document = fleet.configuration
            small_in_force_s = [
                measure_publish(fleet, changed_setting(document, 0.01 * (n + 1)))
                for n in range(PUBLISH_COUNT)
            ]
            result = {
                "daemons": size,
                "rest": idle,
                "in_force_s": _median_and_max(small_in_force_s),
            }
            for kb in (200, 900):
                large = large_document(document, kb * 1000)
                first_in_force_s = measure_publish(fleet, large)
                changes = [
                    measure_publish(fleet, changed_setting(large, 0.01 * (n + 1)))
                    for n in range(3)
                ]
                result[f"in_force_{kb}_kb_first_s"] = round(first_in_force_s, 3)
                result[f"in_force_{kb}_kb_change_s"] = _median_and_max(changes)
            time.sleep(1)
            result["memory_900_kb_mb"] = _median_and_max(
                [p.memory_info().rss / 1e6 for p in _daemon_processes(fleet).values()]
            )
            return result


# Bytes and time of one change


def _frame_bytes(store, have, digest):
    request = DocumentRequest(name="configuration", have=have, digest=digest)
    return len(encode_frame((0, 0), [store.make_reply(request)]))


def _best_time_ms(function):
    best = float("inf")
    for _ in range(5):
        started = time.perf_counter()
        function()
        best = min(best, time.perf_counter() - started)
    return round(best * 1000, 2)


def measure_change(size, change):
    """Return the bytes on the wire and the times of one change of a document.

    The name of the function ``change`` is stored with the result.
    """
    base = {"defaults": {}, "exceptions": [], "workloads": {}}
    before = Document("configuration", 1, large_document(base, size))
    after = Document("configuration", 2, change(before.body))

    async def apply(document, parsed):
        pass

    kind = DocumentKind("configuration", parse_configuration, apply)
    store = DocumentStore([kind], Log())
    for document in (before, after):
        curio.run(store.offer, document, "bench")
    patch = make_change(before, after).patch
    return {
        "document_bytes": after.size,
        "change": change.__name__,
        "patch_frame_bytes": _frame_bytes(store, 1, before.digest),
        "snapshot_frame_bytes": _frame_bytes(store, 0, None),
        "make_change_ms": _best_time_ms(lambda: make_change(before, after)),
        "apply_patch_ms": _best_time_ms(lambda: apply_patch(patch, before.body)),
        "digest_ms": _best_time_ms(lambda: Document("configuration", 2, after.body)),
        "validate_ms": _best_time_ms(lambda: parse_configuration(after.body, 2)),
    }


# Report


def _fleet_rows(fleets):
    titles = ("CPU %", "Memory MB", "Sent KB/s", "Received KB/s", "Platform calls/s")
    yield f"| Daemons | {' | '.join(titles)} |"
    yield "| --- | --- | --- | --- | --- | --- |"
    for fleet in fleets:
        idle = fleet["rest"]
        cells = [
            f"{idle[key]['median']} (max {idle[key]['max']})"
            for key in ("cpu_percent", "memory_mb", "sent_kb_s", "received_kb_s")
        ]
        row = [str(fleet["daemons"]), *cells, str(idle["platform_calls_s"])]
        yield f"| {' | '.join(row)} |"


def _publish_rows(fleets):
    yield (
        "| Daemons | Small document | 200 KB, first | 200 KB, change "
        "| 900 KB, first | 900 KB, change | Memory MB with 900 KB |"
    )
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    for fleet in fleets:
        row = [
            str(fleet["daemons"]),
            f"{fleet['in_force_s']['median']} (max {fleet['in_force_s']['max']})",
        ]
        for kb in (200, 900):
            change = fleet[f"in_force_{kb}_kb_change_s"]
            row.append(str(fleet[f"in_force_{kb}_kb_first_s"]))
            row.append(f"{change['median']} (max {change['max']})")
        memory = fleet["memory_900_kb_mb"]
        row.append(f"{memory['median']} (max {memory['max']})")
        yield f"| {' | '.join(row)} |"


def _change_rows(changes):
    yield (
        "| Document bytes | Change | Patch frame | Snapshot frame | Diff ms "
        "| Apply ms | Digest ms | Validate ms |"
    )
    yield "| --- | --- | --- | --- | --- | --- | --- | --- |"
    for change in changes:
        yield f"| {' | '.join(str(value) for value in change.values())} |"


def render(result):
    """Return the report as Markdown."""
    lines = [
        "# Cost of control work",
        "",
        "Written by `python -m bench.control_cost`. The load average tells whether",
        "other work used the machine. Bytes are those of websocket frames and",
        "of platform responses, without TCP and IP headers.",
        "",
        f"Load average before the run: {result['load_before']}, after: "
        f"{result['load_after']}, on {result['cores']} cores.",
        "",
        "## At rest",
        "",
        *_fleet_rows(result["fleets"]),
        "",
        f"Limits for each daemon: {LIMITS['cpu_percent']} % of a core, "
        f"{LIMITS['memory_mb']} MB, {LIMITS['traffic_kb_s']} KB/s.",
        "",
        "## Seconds from publishing to in force on the last daemon",
        "",
        *_publish_rows(result["fleets"]),
        "",
        f"Limit: {LIMITS['in_force_s']} s, aim: 2 s. The first revision of a large",
        "document travels as a snapshot or a large patch, a change as a small patch.",
        "",
        "## One change",
        "",
        *_change_rows(result["changes"]),
    ]
    return "\n".join(lines) + "\n"


def main(*, sizes: str = "5,15,45", seconds: float = 20.0, save: bool = True):
    """Measure and write ``bench/results/control_cost.{json,md}``.

    :param sizes: numbers of daemons, separated by commas
    :param seconds: length of the measurement at rest
    :param save: write the result files
    """
    result = {"load_before": round(psutil.getloadavg()[0], 2)}
    result["cores"] = psutil.cpu_count()
    result["fleets"] = [
        measure_fleet(int(size), seconds) for size in sizes.split(",") if size
    ]
    result["changes"] = [
        measure_change(size * 1000, change)
        for size in (200, 900)
        for change in (changed_setting, moved_shard)
    ]
    result["load_after"] = round(psutil.getloadavg()[0], 2)
    report = render(result)
    print(report)
    if save:
        RESULTS_DIRECTORY.mkdir(exist_ok=True)
        text = json.dumps(result, indent=1) + "\n"
        (RESULTS_DIRECTORY / "control_cost.json").write_text(text, encoding="utf-8")
        (RESULTS_DIRECTORY / "control_cost.md").write_text(report, encoding="utf-8")


if __name__ == "__main__":
    defopt.run(main)
