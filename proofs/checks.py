"""Checks of histories: pure functions that return the violations they find."""

import itertools
from collections import Counter

from almondtide.errors import ResultCode
from standins.dataset import evaluate

from .history import Violation

__all__ = [
    "Oracle",
    "check_answers",
    "check_configuration",
    "check_coverage",
    "check_executions",
    "check_leaving",
    "check_not_run",
    "check_planned_stops",
    "check_recorded_revisions",
    "check_refusals",
    "check_snapshots",
]

LEAVING_LIMIT_S = 3.0
CONFIGURATION_LIMIT_S = 7.0
# A refusal must arrive well before the deadline. Half of the deadline also holds on
# a slow machine.
MAX_REFUSAL_SHARE = 0.5
# Bad requests and misused execution ids are final: a retry can't succeed, so the
# answer has no retry_after_ms.
FINAL_CODE_FAMILIES = (1, 4)


class Oracle:
    """Evaluates queries in this process, for comparison with answers of the tier.

    ``shard_maps`` maps an epoch to its ``ShardMap``.
    """

    __slots__ = ("data_set", "shard_maps")

    def __init__(self, data_set, shard_maps):
        self.data_set = data_set
        self.shard_maps = shard_maps

    def expected_rows(self, query, version, epoch, shards):
        """Return the rows of the named shards, in key order."""
        ranges = [
            shard.key_range
            for shard in self.shard_maps[epoch].shards
            if shard.name in shards
        ]
        found = evaluate(self.data_set, query, version)
        return [row for row in found if any(row["key"] in part for part in ranges)]


def _queries_with_rows(calls):
    return [call for call in calls if call.kind == "query" and call.rows is not None]


def check_snapshots(calls, oracle):
    """Check that all rows belong to the snapshot that the answer states."""
    violations = []
    for call in _queries_with_rows(calls):
        version, epoch = call.snapshot
        others = {row.get("version") for row in call.rows} - {version}
        if others:
            violations.append(
                Violation(
                    call.request_id,
                    f"states version {version} but holds rows of {sorted(others)}",
                )
            )
        elif epoch not in oracle.shard_maps:
            violations.append(
                Violation(call.request_id, f"states unknown epoch {epoch}")
            )
        elif call.rows != oracle.expected_rows(call.body, version, epoch, call.covered):
            violations.append(
                Violation(
                    call.request_id,
                    f"its {len(call.rows)} rows differ from the evaluation of version "
                    f"{version}, epoch {epoch}, shards {call.covered}",
                )
            )
    return violations


def check_coverage(calls, oracle):
    """Check that the stated coverage matches the rows of the answer.

    Every shard must be named once, as covered or as missing. The rows must be
    those of the covered shards, without repetition.
    """
    violations = []
    for call in calls:
        if call.kind != "query" or call.field("coverage") is None:
            continue
        problem = _coverage_problem(call, oracle)
        if problem is not None:
            violations.append(Violation(call.request_id, problem))
    return violations


def _coverage_problem(call, oracle):
    version, epoch = call.snapshot
    shard_map = oracle.shard_maps.get(epoch)
    if shard_map is None:
        return f"states unknown epoch {epoch}"
    stated = Counter([*call.covered, *call.missing])
    expected = Counter(shard.name for shard in shard_map.shards)
    if stated != expected:
        return f"names the shards {sorted(stated.elements())} of {sorted(expected)}"
    is_complete = call.code == ResultCode.OK
    if is_complete != (not call.missing):
        return f"code {call.code} with the missing shards {call.missing}"
    ids = Counter(row["id"] for row in call.rows or ())
    repeated = [name for name, count in ids.items() if count > 1]
    if repeated:
        return f"counts {repeated[:3]} more than once"
    for shard in shard_map.shards:
        present = {
            row["id"] for row in call.rows or () if row["key"] in shard.key_range
        }
        wanted = set()
        if shard.name in call.covered:
            rows = oracle.expected_rows(call.body, version, epoch, [shard.name])
            wanted = {row["id"] for row in rows}
        if present != wanted:
            return (
                f"shard {shard.name}: {len(present)} rows in the answer, "
                f"{len(wanted)} according to its coverage"
            )
    return None


def check_answers(calls, oracle):
    """Check that each caller got the complete answer to its own request."""
    violations = []
    for call in calls:
        problem = None
        if call.status is not None:
            problem = _answer_problem(call, oracle)
        if problem is not None:
            violations.append(Violation(call.request_id, problem))
    return violations


def _answer_problem(call, oracle):
    stated_ids = {call.field("request_id"), call.header_request_id}
    if stated_ids != {call.request_id}:
        return f"got the answer to {sorted(map(str, stated_ids))}"
    if call.kind == "revise":
        result = call.field("result") or {}
        is_own_result = result.get("execution_id") == call.execution_id
        if call.code == ResultCode.OK and not is_own_result:
            return f"got the outcome of {result.get('execution_id')!r}"
        return None
    if call.rows is None:
        return "OK without rows" if call.code == ResultCode.OK else None
    version, epoch = call.snapshot
    shards = call.covered
    if call.code == ResultCode.OK:
        shards = [shard.name for shard in oracle.shard_maps[epoch].shards]
    expected = oracle.expected_rows(call.body, version, epoch, shards)
    if call.rows != expected:
        return (
            f"has {len(call.rows)} rows, its own query has {len(expected)} "
            f"in {len(shards)} shards"
        )
    return None


def check_not_run(calls, executions):
    """Check that no upstream ran a request that was answered "not run".

    A caller may send a marker more than once. A run is therefore allowed if any
    request with the marker was sent before the run and was not answered "not run".
    """
    earliest_possible_run = {}
    refused = {}
    for call in calls:
        if call.not_run:
            refused.setdefault(call.marker, call)
        else:
            earliest = min(call.sent, earliest_possible_run.get(call.marker, call.sent))
            earliest_possible_run[call.marker] = earliest
    violations = []
    for run in executions:
        if run.marker is None or run.marker not in refused:
            continue
        if run.at < earliest_possible_run.get(run.marker, float("inf")):
            call = refused[run.marker]
            violations.append(
                Violation(
                    call.request_id,
                    f"answered code {call.code} and not run, but {run.server} ran it "
                    f"{run.at - call.sent:+.3f} s after it was sent",
                )
            )
    return violations


def check_refusals(calls, max_share=MAX_REFUSAL_SHARE):
    """Check that refusals arrive early and state when to retry.

    ``max_share`` is the share of the deadline within which a refusal must arrive.
    None skips this check, because a paused entry cannot answer at once. Time in
    which a daemon on the way of the refusal waited for a CPU core does not count,
    because it could not answer then.
    """
    violations = []
    for call in calls:
        if not call.not_run or call.code // 100 in FINAL_CODE_FAMILIES:
            continue
        if not call.field("retry_after_ms"):
            violations.append(
                Violation(
                    call.request_id, f"refused with code {call.code}, no retry_after_ms"
                )
            )
        elapsed_s = call.received - call.sent - call.core_wait_s
        if max_share is not None and elapsed_s > max_share * call.deadline_s:
            violations.append(
                Violation(
                    call.request_id,
                    f"refused with code {call.code} after {elapsed_s:.3f} s of "
                    f"{call.deadline_s:.3f} s, and {call.core_wait_s:.3f} s without "
                    f"a core ({_describe_path(call)})",
                )
            )
    return violations


def _describe_path(call):
    """Return what tells which daemons a refusal came from and which had no core."""
    source = "the owners" if call.field("coverage") else "the entry"
    if call.kind == "revise":
        source = "home or owner"
    waits = ", ".join(f"{at} {s:.3f}" for at, s in call.core_waits_s.items())
    return f"{call.kind} at {call.entry}, refused by {source}; waits in s: {waits}"


def check_executions(calls, executions):
    """Check that nothing ran twice and that answers agree with the records.

    Neither an execution id nor a marker may run twice.
    """
    violations = []
    runs = [run for run in executions if run.event == "revise"]
    for name in ("execution_id", "marker"):
        counts = Counter(getattr(run, name) for run in runs)
        for value, count in counts.items():
            if value is not None and count > 1:
                servers = [run.server for run in runs if getattr(run, name) == value]
                violations.append(
                    Violation(value, f"ran {count} times, on {', '.join(servers)}")
                )
    ran_at = {run.execution_id: run.at for run in runs}
    for call in calls:
        if call.kind != "revise":
            continue
        if call.code == ResultCode.OK and call.execution_id not in ran_at:
            violations.append(
                Violation(call.request_id, "was answered OK, but no upstream ran it")
            )
        if call.not_run and ran_at.get(call.execution_id, call.sent) < call.sent:
            violations.append(
                Violation(call.request_id, "was not run, but an earlier try ran")
            )
    return violations


def check_leaving(leaving_intervals, executions, limit_s=LEAVING_LIMIT_S):
    """Check that a leaving upstream gets no new work after ``limit_s``.

    ``leaving_intervals`` are intervals named by the server. Each starts when the
    leaving is published and ends when the server is live again.
    """
    violations = []
    for interval in leaving_intervals:
        late = [
            run.at - interval.start
            for run in executions
            if run.server == interval.name
            and interval.start + limit_s < run.at < interval.end
        ]
        if late:
            violations.append(
                Violation(
                    interval.name,
                    f"ran {len(late)} requests {min(late):.2f} to {max(late):.2f} s "
                    "after its leaving was published",
                )
            )
    return violations


def check_planned_stops(calls, exit_statuses):
    """Check that all requests got full answers and all daemons exited with 0.

    ``exit_statuses`` is a list of (daemon, status).
    """
    violations = []
    for call in calls:
        if call.code != ResultCode.OK:
            seen = call.error or f"code {call.code} {call.field('message', '')}"
            violations.append(
                Violation(
                    call.request_id,
                    f"{call.kind} at {call.entry}: {seen}; missing {call.missing}",
                )
            )
    for daemon, status in exit_statuses:
        if status != 0:
            violations.append(Violation(daemon, f"exit status {status}"))
    return violations


def check_configuration(
    samples, published, exempt_intervals, limit_s=CONFIGURATION_LIMIT_S
):
    """Check that revisions come into force in time and never decrease.

    ``published`` is a list of (revision, time). ``exempt_intervals`` are intervals
    in which the daemon of that name could not receive anything, because it was
    paused, stopped or cut off from the platform and all peers. The limit counts
    from their end. An interval named None applies to all daemons.
    """
    violations = []
    by_daemon = {}
    for sample in sorted(samples, key=lambda item: item.at):
        by_daemon.setdefault(sample.daemon, []).append(sample)
    for daemon, daemon_samples in by_daemon.items():
        own_exempt_intervals = [
            item for item in exempt_intervals if item.name in (None, daemon)
        ]
        violations.extend(_find_decreases(daemon, daemon_samples))
        for revision, at in published:
            due_at = _in_force_deadline(at, own_exempt_intervals, limit_s)
            late = [
                item
                for item in daemon_samples
                if item.at > due_at
                and not any(
                    interval.start <= item.at < interval.end
                    for interval in own_exempt_intervals
                )
                and (item.revision or 0) < revision
            ]
            if late:
                last = late[-1]
                violations.append(
                    Violation(
                        daemon,
                        f"revision {last.revision} is in force {last.at - at:.1f} s "
                        f"after revision {revision} was published",
                    )
                )
    return violations


def check_recorded_revisions(histories):
    """Check that no daemon recorded a lower revision after a higher one.

    ``histories`` maps daemons to the revisions that came into force in one process,
    in order. Peers may correct a daemon that went back within milliseconds, so
    samples of its state can miss it.
    """
    violations = []
    for daemon, revisions in histories.items():
        for before, after in itertools.pairwise(revisions):
            if after < before:
                violations.append(
                    Violation(daemon, f"recorded revision {before}, then {after}")
                )
    return violations


def _find_decreases(daemon, daemon_samples):
    violations = []
    highest = 0
    for sample in daemon_samples:
        if sample.revision is None:
            continue
        if sample.revision < highest:
            violations.append(
                Violation(
                    daemon, f"went from revision {highest} back to {sample.revision}"
                )
            )
        highest = max(highest, sample.revision)
    return violations


def _in_force_deadline(at, exempt_intervals, limit_s):
    """Return when a revision published at ``at`` must be in force."""
    due_at = at + limit_s
    for interval in sorted(exempt_intervals, key=lambda item: item.start):
        if interval.start < due_at and interval.end + limit_s > due_at:
            due_at = interval.end + limit_s
    return due_at
