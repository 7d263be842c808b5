"""Shows a small fleet at work and checks every answer; run by ``make demo``."""

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

DAEMONS = 5
QUERIES_PER_WORKLOAD = 3
LOAD_CLIENTS = 2
LOAD_PAUSE_S = 0.05
# How long the load runs before the first restart and after the last one, in s.
LOAD_MARGIN_S = 1.0
IN_FORCE_TIMEOUT_S = 10.0
TIMELINE_LINES = 12
# Events that tell the course of a restart; the rest is about single requests.
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


def _aggregate_base(workload):
    return "advisory" if workload in AGGREGATES else workload


class AnswerCheck:
    """Compares answers with the evaluation in one process.

    ``problem`` returns None for a right answer. A partial answer is right when
    its result is exactly that of the shards that it says it covers.
    """

    __slots__ = ("_data", "_maps", "_merges")

    def __init__(self, data_sets, document, merges):
        self._data = data_sets
        self._merges = merges
        self._maps = {}
        for workload, item in document["workloads"].items():
            for shard_map in item["shard_maps"]:
                ranges = {s["name"]: [s["low"], s["high"]] for s in shard_map["shards"]}
                self._maps[workload, shard_map["epoch"]] = ranges

    def problem(self, workload, body, answer):
        """Return what is wrong with ``answer``, or None."""
        if answer.get("code") not in (OK, PARTIAL):
            return f"code {answer.get('code')} {answer.get('name')}"
        snapshot, coverage = answer["snapshot"], answer["coverage"]
        shards = self._maps[workload, snapshot["epoch"]]
        missing = [item["shard"] for item in coverage["missing"]]
        if sorted(coverage["covered"] + missing) != sorted(shards):
            return "covered and missing are not all shards, each once"
        if (answer["code"] == OK) != (not missing):
            return "the code does not fit the coverage"
        expected = evaluate_merged(
            self._data[workload],
            body,
            snapshot["version"],
            self._merges.get(workload, "rows"),
            [shards[name] for name in coverage["covered"]],
        )
        if answer["result"] != expected:
            return "the result differs from the evaluation in one process"
        return None


class LoadClient(threading.Thread):
    """Sends queries as a caller does: straight to an entry, no second try.

    It keeps the answer of the entries call for ``max_age_ms`` and counts every
    query that did not get a right answer in ``failures``.
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
        self._stopping = threading.Event()

    def run(self):
        """Send queries until ``finish`` is called."""
        while not self._stopping.is_set():
            self._query()
            time.sleep(LOAD_PAUSE_S)

    def finish(self):
        """Stop sending and wait for the last answer."""
        self._stopping.set()
        self.join()

    def _refresh(self):
        for entry in self._rng.sample(self._entries, len(self._entries)):
            try:
                # The age counts from before the call, on the caller's side.
                asked = time.monotonic()
                status, _, answer = http_call(entry, "GET", "/v1/entries")
            except OSError:
                continue
            if status == 200 and answer["entries"]:
                self._entries = [item["address"] for item in answer["entries"]]
                self._valid_until = asked + answer["max_age_ms"] / 1000.0
                return

    def _query(self):
        if time.monotonic() >= self._valid_until:
            self._refresh()
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
        problem = self._check.problem(self.workload, body, answer)
        if problem is not None:
            self.failures.append(f"{entry}: {problem}")
        elif answer["code"] == PARTIAL:
            self.partial += 1


def post_query(entry, workload, body):
    """Return the answer to one query over plain HTTP."""
    return http_call(entry, "POST", f"/v1/workloads/{workload}/query", body)[2]


class Demo:
    """The steps of the demo on one fleet; ``problems`` collects what failed."""

    def __init__(self, directory, seed):
        self.problems = []
        self._rng = random.Random(seed)
        self._fleet = Fleet(
            FleetSpec(
                daemons=DAEMONS,
                workloads=copy.deepcopy(WORKLOADS),
                defaults={"entries_max_age_ms": 1000},
                pack_servers=True,
                list_lag_s=0.5,
            ),
            directory,
        )
        self._data = {}
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
            # A second Ctrl-C must not leave processes behind.
            signal.signal(signal.SIGINT, signal.SIG_IGN)
            signal.signal(signal.SIGTERM, signal.SIG_IGN)
            self._fleet.stop()
        self._title(f"Result after {time.monotonic() - started:.0f} s")
        for problem in self.problems:
            print(f"  PROBLEM: {problem}")
        if not self.problems:
            print("  every answer was right and no request failed")
        return len(self.problems)

    def _title(self, text):
        print(f"\n== {text}", flush=True)

    def _entry(self):
        name = self._rng.choice(sorted(self._fleet.daemons))
        return name, self._fleet.daemons[name]["caller"]

    def _kind(self, workload):
        return WORKLOADS[_aggregate_base(workload)]["kind"]

    # Steps

    def _start(self):
        self._title("Start: configuration service, upstream servers, daemons")
        started = time.monotonic()
        self._fleet.start()
        self._publish_aggregates()
        for workload in [*WORKLOADS, *AGGREGATES]:
            self._data[workload] = make_data_set(self._kind(workload))
        self._check = AnswerCheck(self._data, self._fleet.configuration, AGGREGATES)
        servers = len(self._fleet.upstreams)
        print(f"  {servers} servers of {len(list(self._fleet.services()))} services")
        for name, info in self._fleet.daemons.items():
            print(f"  daemon {name} in {info['domain']}, callers at {info['caller']}")
        print(f"  ready after {time.monotonic() - started:.1f} s")

    def _publish_aggregates(self):
        document = self._fleet.configuration
        for workload, merge in AGGREGATES.items():
            base = document["workloads"][_aggregate_base(workload)]
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
        waiting = set(self._fleet.daemons)
        while waiting and time.monotonic() - started < IN_FORCE_TIMEOUT_S:
            for name in sorted(waiting):
                report = self._fleet.read_admin_report(name, "status")
                if (report["configuration_revision"] or 0) >= revision:
                    waiting.discard(name)
            time.sleep(0.02)
        if waiting:
            names = ", ".join(sorted(waiting))
            self.problems.append(f"revision {revision} is not in force at {names}")
        return time.monotonic() - started

    def _show_queries(self):
        through = "the command line" if self._has_cli else "plain HTTP"
        self._title(f"Queries of both users through {through}")
        for workload in WORKLOADS:
            for _ in range(QUERIES_PER_WORKLOAD):
                self._show_query(workload)
        for workload in AGGREGATES:
            self._show_query(workload)

    def _show_query(self, workload):
        body = make_query(self._kind(workload), self._rng)
        name, entry = self._entry()
        answer = self._ask("query", workload, body, entry)
        problem = self._check.problem(workload, body, answer)
        print(f"  {workload} at {name}: {json.dumps(body)}")
        if "coverage" in answer:
            coverage, snapshot = answer["coverage"], answer["snapshot"]
            total = len(coverage["covered"]) + len(coverage["missing"])
            print(
                f"    {_summary(answer['result'])}; {len(coverage['covered'])} of "
                f"{total} shards; index version {snapshot['version']}, shard map "
                f"epoch {snapshot['epoch']}"
            )
        print(f"    {problem or 'equal to the evaluation in one process'}")
        if problem is not None:
            self.problems.append(f"{workload} {json.dumps(body)}: {problem}")

    def _ask(self, command, workload, body, entry, execution_id=None):
        """Send a query or a revision; returns the JSON body of the answer."""
        if not self._has_cli:
            headers = {}
            if execution_id is not None:
                headers["almondtide-execution-id"] = execution_id
            path = f"/v1/workloads/{workload}/{command}"
            return http_call(entry, "POST", path, body, headers)[2]
        words = [command, workload, f"--body={json.dumps(body)}", f"--entry={entry}"]
        if execution_id is not None:
            words.append(f"--execution-id={execution_id}")
        process = self._run_cli([*words, "--output=json"])
        try:
            return json.loads(process.stdout)
        except ValueError:
            return {"code": None, "name": process.stderr.strip()}

    def _run_cli(self, words):
        argv = [sys.executable, "-m", "almondtide.cli", *words]
        return subprocess.run(argv, capture_output=True, text=True, timeout=30)

    def _show_revision(self):
        self._title("One revision of a sheet, sent again through another entry")
        names = sorted(self._fleet.daemons)
        first, second = (self._fleet.daemons[name]["caller"] for name in names[:2])
        prefix = http_call(first, "GET", "/v1/entries")[2]["execution_prefix"]
        execution_id = f"{prefix}~{uuid.uuid4().hex[:12]}"
        body = {"key": self._rng.randrange(65536), "text": "new first-aid measures"}
        print(f"  execution id {execution_id}")
        answers = []
        for name, entry in zip(names[:2], (first, second), strict=True):
            answer = self._ask("revise", "emergency-desk", body, entry, execution_id)
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
        self._title("An exception to the fleet-wide defaults")
        document = self._fleet.configuration
        exception = {
            "service": "advisory-3",
            "setting": "hedge_budget",
            "value": 0.1,
            "reason": "old disks near Tavua answer unevenly",
        }
        document["exceptions"].append(exception)
        elapsed = self._publish_and_wait(document)
        print(f"  {json.dumps(exception)}")
        print(f"  in force at all {DAEMONS} daemons after {elapsed * 1000:.0f} ms")

    def _show_rolling_restart(self):
        self._title(f"Rolling restart of all {DAEMONS} daemons under load")
        clients = []
        for number in range(LOAD_CLIENTS):
            workload = list(WORKLOADS)[number % len(WORKLOADS)]
            _, entry = self._entry()
            kind = self._kind(workload)
            client = LoadClient(number, entry, workload, kind, self._check)
            clients.append(client)
        for client in clients:
            client.start()
        time.sleep(LOAD_MARGIN_S)
        for name in list(self._fleet.daemons):
            self._restart(name)
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

    def _restart(self, name):
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
        self._title("The last events of all daemons about restarts, in causal order")
        if self._has_cli:
            admin = ",".join(info["admin"] for info in self._fleet.daemons.values())
            process = self._run_cli(
                ["timeline", f"--admin={admin}", f"--token={ADMIN_TOKEN}"]
            )
            lines = process.stdout.splitlines()
        else:
            lines = self._merged_events()
        shown = [line for line in lines if any(e in line for e in TIMELINE_EVENTS)]
        for line in shown[-TIMELINE_LINES:]:
            print(f"  {line}")
        if not shown:
            self.problems.append("the time line is empty")

    def _merged_events(self):
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


def _summary(result):
    if result is None:
        return "no result"
    if "rows" not in result:
        return ", ".join(f"{name} {value}" for name, value in result.items())
    rows = result["rows"]
    if not rows:
        return "0 rows"
    first = {name: rows[0][name] for name in rows[0] if name not in ("key", "value")}
    return f"{len(rows)} rows, first {json.dumps(first)}"


def _interrupt(number, frame):
    raise KeyboardInterrupt


def main(*, seed: int = 1):
    """Start a fleet on loopback, use it, check every answer and stop it.

    :param seed: seed of the queries
    """
    signal.signal(signal.SIGTERM, _interrupt)
    signal.signal(signal.SIGHUP, _interrupt)
    with tempfile.TemporaryDirectory(prefix="almondtide-demo-") as directory:
        try:
            return 1 if Demo(directory, seed).run() else 0
        except KeyboardInterrupt:
            print("interrupted; all processes were ended")
            return 130


if __name__ == "__main__":
    sys.exit(defopt.run(main))
