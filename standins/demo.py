"""Demonstrates a small fleet and checks every answer; run by ``make demo``."""

import copy
import importlib.util
import json
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
import uuid

import defopt

from .dataset import evaluate_merged, make_data_set, make_query
from .fleet import ADMIN_TOKEN, Fleet, FleetSpec, http_call

__all__ = ["AnswerCheck", "Demo", "LoadClient"]

DAEMON_COUNT = 5
QUERIES_PER_WORKLOAD = 3
LOAD_CLIENT_COUNT = 2
LOAD_PAUSE_S = 0.05
# The load runs this long before the first restart and after the last one.
LOAD_MARGIN_S = 1.0
IN_FORCE_TIMEOUT_S = 10.0
TIMELINE_LINES = 12
# Events of a restart; the other events are about single requests.
TIMELINE_EVENTS = (
    "daemon_ready",
    "daemon_started",
    "document_in_force",
    "drain_ended",
    "drain_started",
    "peer_leaving",
)
OK = 0
PARTIAL = 1

WORKLOADS = {
    "advisory": {
        "services": 10,
        "servers": 3,
        "slots": 3,
        "connections": 65,
        "kind": "probes",
        "settings": {"coverage_policy": "coverage_first", "deadline_ms": 3000},
    },
    "emergency-desk": {
        "services": 10,
        "servers": 3,
        "slots": 3,
        "connections": 70,
        "kind": "sheets",
        "settings": {"coverage_policy": "tail_first", "deadline_ms": 2000},
    },
}
# Aggregates are workloads of their own over the services of "advisory".
AGGREGATES = {
    "advisory-count": "count",
    "advisory-statistics": "statistics",
    "advisory-newest": "newest_per_probe",
}


def _base_workload(workload):
    return "advisory" if workload in AGGREGATES else workload


class AnswerCheck:
    """Compares answers with the evaluation of the query in one process.

    ``find_problem`` returns None for a right answer. A partial answer is right when
    its result is exactly that of the shards that it lists as covered.
    """

    __slots__ = ("_data_sets", "_map_ranges", "_merges")

    def __init__(self, data_sets, document, merges):
        self._data_sets = data_sets
        self._merges = merges
        self._map_ranges = {}
        for workload, item in document["workloads"].items():
            for shard_map in item["shard_maps"]:
                ranges = {s["name"]: [s["low"], s["high"]] for s in shard_map["shards"]}
                self._map_ranges[workload, shard_map["epoch"]] = ranges

    def find_problem(self, workload, body, answer):
        """Return what is wrong with ``answer``, or None if it is right."""
        if answer.get("code") not in (OK, PARTIAL):
            return f"code {answer.get('code')} {answer.get('name')}"
        snapshot, coverage = answer["snapshot"], answer["coverage"]
        shards = self._map_ranges[workload, snapshot["epoch"]]
        missing = [item["shard"] for item in coverage["missing"]]
        if sorted(coverage["covered"] + missing) != sorted(shards):
            return "covered and missing are not all shards, each once"
        if (answer["code"] == OK) != (not missing):
            return "the code does not fit the coverage"
        expected = evaluate_merged(
            self._data_sets[workload],
            body,
            snapshot["version"],
            self._merges.get(workload, "rows"),
            [shards[name] for name in coverage["covered"]],
        )
        if answer["result"] != expected:
            return "the result differs from the evaluation in one process"
        return None


class LoadClient(threading.Thread):
    """Sends queries directly to entries and does not retry them.

    It uses the list of entries for its ``max_age_ms``. ``failures`` holds a text for
    each query without a right answer.
    """

    def __init__(self, seed, entry, workload, kind, check):
        super().__init__(daemon=True)
        self.workload = workload
        self.sent = 0
        self.partial = 0
        self.failures = []
        self.slowest_ms = 0.0
        self._kind = kind
        self._check = check
        self._rng = random.Random(seed)
        self._entries = [entry]
        self._valid_until = 0.0
        self._stop_requested = threading.Event()

    def run(self):
        """Send queries until ``finish`` is called."""
        while not self._stop_requested.is_set():
            self._query()
            time.sleep(LOAD_PAUSE_S)

    def finish(self):
        """Stop sending and wait for the last answer."""
        self._stop_requested.set()
        self.join()

    def _refresh_entries(self):
        for entry in self._rng.sample(self._entries, len(self._entries)):
            try:
                # The age of the list counts from before the call.
                asked_at = time.monotonic()
                status, _, answer = http_call(entry, "GET", "/v1/entries")
            except OSError:
                continue
            if status == 200 and answer["entries"]:
                self._entries = [item["address"] for item in answer["entries"]]
                self._valid_until = asked_at + answer["max_age_ms"] / 1000.0
                return

    def _query(self):
        if time.monotonic() >= self._valid_until:
            self._refresh_entries()
        entry = self._rng.choice(self._entries)
        body = make_query(self._kind, self._rng)
        started = time.monotonic()
        self.sent += 1
        try:
            answer = post_query(entry, self.workload, body)
        except Exception as exc:
            self.failures.append(f"{entry}: {exc!r}")
            return
        elapsed_ms = (time.monotonic() - started) * 1000.0
        self.slowest_ms = max(self.slowest_ms, elapsed_ms)
        problem = self._check.find_problem(self.workload, body, answer)
        if problem is not None:
            self.failures.append(f"{entry}: {problem}")
        elif answer["code"] == PARTIAL:
            self.partial += 1


def post_query(entry, workload, body):
    """Return the answer to one query over plain HTTP."""
    return http_call(entry, "POST", f"/v1/workloads/{workload}/query", body)[2]


class Demo:
    """Runs the steps of the demo on one fleet; ``problems`` lists what failed."""

    def __init__(self, directory, seed):
        self.problems = []
        self._rng = random.Random(seed)
        self._fleet = Fleet(
            FleetSpec(
                daemons=DAEMON_COUNT,
                workloads=copy.deepcopy(WORKLOADS),
                defaults={"entries_max_age_ms": 1000},
                pack_servers=True,
                list_lag_s=0.5,
            ),
            directory,
        )
        self._data_sets = {}
        self._check = None
        self._has_cli = importlib.util.find_spec("almondtide.cli") is not None

    def run(self):
        """Run all steps; returns the number of problems."""
        started = time.monotonic()
        try:
            self._start()
            self._show_queries()
            self._show_revision()
            self._show_exception()
            self._show_rolling_restart()
            self._show_timeline()
        finally:
            # A second Ctrl-C must not leave processes running.
            signal.signal(signal.SIGINT, signal.SIG_IGN)
            signal.signal(signal.SIGTERM, signal.SIG_IGN)
            self._fleet.stop()
        self._print_title(f"Result after {time.monotonic() - started:.0f} s")
        for problem in self.problems:
            print(f"  PROBLEM: {problem}")
        if not self.problems:
            print("  every answer was right and no request failed")
        return len(self.problems)

    def _print_title(self, text):
        print(f"\n== {text}", flush=True)

    def _choose_daemon(self):
        name = self._rng.choice(sorted(self._fleet.daemons))
        return name, self._fleet.daemons[name]["caller"]

    def _data_set_kind(self, workload):
        return WORKLOADS[_base_workload(workload)]["kind"]

    # Steps

    def _start(self):
        self._print_title("Start: configuration service, upstream servers, daemons")
        started = time.monotonic()
        self._fleet.start()
        self._publish_aggregates()
        for workload in [*WORKLOADS, *AGGREGATES]:
            self._data_sets[workload] = make_data_set(self._data_set_kind(workload))
        self._check = AnswerCheck(
            self._data_sets, self._fleet.configuration, AGGREGATES
        )
        servers = len(self._fleet.upstreams)
        print(f"  {servers} servers of {len(list(self._fleet.services()))} services")
        for name, info in self._fleet.daemons.items():
            print(f"  daemon {name} in {info['domain']}, callers at {info['caller']}")
        print(f"  ready after {time.monotonic() - started:.1f} s")

    def _publish_aggregates(self):
        document = self._fleet.configuration
        for workload, merge in AGGREGATES.items():
            base = document["workloads"][_base_workload(workload)]
            document["workloads"][workload] = copy.deepcopy(base)
            for setting, value in (("merge", merge), ("deadline_ms", 3000)):
                document["exceptions"].append(
                    {
                        "workload": workload,
                        "setting": setting,
                        "value": value,
                        "reason": "aggregate for the district report",
                    }
                )
        self._publish_and_wait(document)

    def _publish_and_wait(self, document):
        """Publish the configuration; returns seconds until all daemons use it."""
        started = time.monotonic()
        revision = self._fleet.publish("configuration", document)
        pending = set(self._fleet.daemons)
        while pending and time.monotonic() - started < IN_FORCE_TIMEOUT_S:
            for name in sorted(pending):
                report = self._fleet.read_admin_report(name, "status")
                if (report["configuration_revision"] or 0) >= revision:
                    pending.discard(name)
            time.sleep(0.02)
        if pending:
            names = ", ".join(sorted(pending))
            self.problems.append(f"revision {revision} is not in force at {names}")
        return time.monotonic() - started

    def _show_queries(self):
        through = "the command line" if self._has_cli else "plain HTTP"
        self._print_title(f"Queries of both users through {through}")
        for workload in WORKLOADS:
            for _ in range(QUERIES_PER_WORKLOAD):
                self._show_query(workload)
        for workload in AGGREGATES:
            self._show_query(workload)

    def _show_query(self, workload):
        body = make_query(self._data_set_kind(workload), self._rng)
        name, entry = self._choose_daemon()
        answer = self._send_command("query", workload, body, entry)
        problem = self._check.find_problem(workload, body, answer)
        print(f"  {workload} at {name}: {json.dumps(body)}")
        if "coverage" in answer:
            coverage, snapshot = answer["coverage"], answer["snapshot"]
            total = len(coverage["covered"]) + len(coverage["missing"])
            print(
                f"    {_summarize(answer['result'])}; {len(coverage['covered'])} of "
                f"{total} shards; index version {snapshot['version']}, shard map "
                f"epoch {snapshot['epoch']}"
            )
        print(f"    {problem or 'equal to the evaluation in one process'}")
        if problem is not None:
            self.problems.append(f"{workload} {json.dumps(body)}: {problem}")

    def _send_command(self, command, workload, body, entry, execution_id=None):
        """Send a query or a revision; returns the JSON body of the answer.

        Uses the command line if it is installed, else plain HTTP.
        """
        if not self._has_cli:
            headers = {}
            if execution_id is not None:
                headers["almondtide-execution-id"] = execution_id
            path = f"/v1/workloads/{workload}/{command}"
            return http_call(entry, "POST", path, body, headers)[2]
        arguments = [
            command,
            workload,
            f"--body={json.dumps(body)}",
            f"--entry={entry}",
        ]
        if execution_id is not None:
            arguments.append(f"--execution-id={execution_id}")
        process = self._run_cli([*arguments, "--output=json"])
        try:
            return json.loads(process.stdout)
        except ValueError:
            return {"code": None, "name": process.stderr.strip()}

    def _run_cli(self, arguments):
        argv = [sys.executable, "-m", "almondtide.cli", *arguments]
        return subprocess.run(argv, capture_output=True, text=True, timeout=30)

    def _show_revision(self):
        self._print_title("One revision of a sheet, sent again through another entry")
        names = sorted(self._fleet.daemons)
        first, second = (self._fleet.daemons[name]["caller"] for name in names[:2])
        prefix = http_call(first, "GET", "/v1/entries")[2]["execution_prefix"]
        execution_id = f"{prefix}~{uuid.uuid4().hex[:12]}"
        body = {"key": self._rng.randrange(65536), "text": "new first-aid measures"}
        print(f"  execution id {execution_id}")
        answers = []
        for name, entry in zip(names[:2], (first, second), strict=True):
            answer = self._send_command(
                "revise", "emergency-desk", body, entry, execution_id
            )
            answers.append((answer.get("code"), answer.get("result")))
            print(f"  through {name}: {answer.get('name')} {answer.get('result')}")
        runs = self._count_runs(execution_id)
        print(f"  servers ran it {runs} time(s), by their records")
        if runs != 1 or answers[0] != answers[1] or answers[0][0] != OK:
            self.problems.append(f"revision {execution_id}: {answers}, ran {runs}")

    def _count_runs(self, execution_id):
        return sum(
            event["event"] == "revise" and event["execution_id"] == execution_id
            for event in self._fleet.read_upstream_events()
        )

    def _show_exception(self):
        self._print_title("An exception to the fleet-wide defaults")
        document = self._fleet.configuration
        exception = {
            "service": "advisory-3",
            "setting": "hedge_budget",
            "value": 0.1,
            "reason": "old disks near Tavua answer unevenly",
        }
        document["exceptions"].append(exception)
        elapsed_s = self._publish_and_wait(document)
        print(f"  {json.dumps(exception)}")
        print(
            f"  in force at all {DAEMON_COUNT} daemons after {elapsed_s * 1000:.0f} ms"
        )

    def _show_rolling_restart(self):
        self._print_title(f"Rolling restart of all {DAEMON_COUNT} daemons under load")
        clients = []
        for number in range(LOAD_CLIENT_COUNT):
            workload = list(WORKLOADS)[number % len(WORKLOADS)]
            _, entry = self._choose_daemon()
            kind = self._data_set_kind(workload)
            client = LoadClient(number, entry, workload, kind, self._check)
            clients.append(client)
        for client in clients:
            client.start()
        time.sleep(LOAD_MARGIN_S)
        for name in list(self._fleet.daemons):
            self._restart_daemon(name)
        time.sleep(LOAD_MARGIN_S)
        for client in clients:
            client.finish()
            print(
                f"  {client.workload}: {client.sent} queries, "
                f"{len(client.failures)} failed, {client.partial} partial (right as "
                f"far as they cover), slowest {client.slowest_ms:.0f} ms"
            )
            for failure in client.failures:
                self.problems.append(f"{client.workload} under restart: {failure}")

    def _restart_daemon(self, name):
        started = time.monotonic()
        status = self._fleet.terminate(name)
        stopped = time.monotonic()
        if status != 0:
            self.problems.append(f"{name} ended with status {status}")
        self._fleet.start_daemon(name)
        self._fleet.wait_ready(name)
        print(
            f"  {name}: drained in {stopped - started:.1f} s, "
            f"ready again {time.monotonic() - stopped:.1f} s later",
            flush=True,
        )

    def _show_timeline(self):
        self._print_title(
            "The last events of all daemons about restarts, in causal order"
        )
        if self._has_cli:
            admin = ",".join(info["admin"] for info in self._fleet.daemons.values())
            process = self._run_cli(
                ["timeline", f"--admin={admin}", f"--token={ADMIN_TOKEN}"]
            )
            lines = process.stdout.splitlines()
        else:
            lines = self._read_merged_events()
        shown_lines = [
            line for line in lines if any(event in line for event in TIMELINE_EVENTS)
        ]
        for line in shown_lines[-TIMELINE_LINES:]:
            print(f"  {line}")
        if not shown_lines:
            self.problems.append("the timeline is empty")

    def _read_merged_events(self):
        events = []
        for name in self._fleet.daemons:
            events.extend(
                self._fleet.read_admin_report(name, "events?limit=10000")["events"]
            )
        events.sort(key=lambda event: (event["time"], event["instance"]))
        return [
            f"{event['time'][0]}.{event['time'][1]} {event['instance']} "
            f"event={event['event']} {json.dumps(event['fields'])}"
            for event in events
        ]


def _summarize(result):
    if result is None:
        return "no result"
    if "rows" not in result:
        return ", ".join(f"{name} {value}" for name, value in result.items())
    rows = result["rows"]
    if not rows:
        return "0 rows"
    first = {name: rows[0][name] for name in rows[0] if name not in ("key", "value")}
    return f"{len(rows)} rows, first {json.dumps(first)}"


def _raise_interrupt(number, frame):
    raise KeyboardInterrupt


def main(*, seed: int = 1):
    """Start a fleet on loopback, use it, check every answer and stop it.

    :param seed: seed of the queries
    """
    signal.signal(signal.SIGTERM, _raise_interrupt)
    signal.signal(signal.SIGHUP, _raise_interrupt)
    with tempfile.TemporaryDirectory(prefix="almondtide-demo-") as directory:
        try:
            return 1 if Demo(directory, seed).run() else 0
        except KeyboardInterrupt:
            print("interrupted; all processes were ended")
            return 130


if __name__ == "__main__":
    sys.exit(defopt.run(main))
