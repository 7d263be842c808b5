"""Promises that are checked on the records of callers and servers."""

from almondtide.entry.merge import merge_records
from almondtide.registry import Registry
from standins.entry_fleet import SHARDS
from standins.shard import records_of

__all__ = ["checks", "find_violations"]

# Statuses that state: this request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
MIN_COVERAGE = 0.6
TOP_RECORDS = 3
# Time, in s, after a deadline by which a final answer is there: the platform's half
# second, and as much for callers and daemons that share few cores.
ANSWER_SLACK_S = 1.0
DRAIN_S = 3.0
# Calm, in s, before a drain is published for it to bind every daemon.
CONTACT_S = 4.0

checks = Registry("check")


def find_violations(history):
    """Return a text for each broken promise in a ``History``."""
    found = []
    for name in checks.names():
        found.extend(f"{name}: {text}" for text in checks.get(name)(history))
    return found


@checks.register("whole-answer")
def check_answers(history):
    """A success holds parts of its own request and the greatest of their records."""
    for record in history.finished_requests("search"):
        if record.status != 200:
            continue
        stamps = [
            stamp.strip().rpartition(".")
            for stamp in record.headers.get("part-stamps", "").split(",")
        ]
        services = [history.service_of(id) for id, _, _ in stamps]
        missing = int(record.headers.get("missing-parts", "0"))
        if any(request_id != record.id for _, _, request_id in stamps):
            yield f"{record}: a part of another request"
        elif len(set(services)) != len(services) or None in services:
            yield f"{record}: parts of {services}"
        elif len(services) + missing != len(SHARDS):
            yield f"{record}: {len(services)} parts, {missing} missing"
        elif len(services) < MIN_COVERAGE * len(SHARDS):
            yield f"{record}: only {len(services)} parts"
        else:
            parts = [records_of(service, record.id) for service in services]
            if merge_records(parts, TOP_RECORDS) != record.body:
                yield f"{record}: wrong records"
    for record in history.finished_requests("write"):
        if record.status == 200 and record.body != record.id.encode():
            yield f"{record}: the answer to another request"


@checks.register("at-most-once")
def check_runs(history):
    """A request that may run once does, and every run belongs to a request."""
    for id, runs in history.runs_by_request().items():
        record = history.records.get(id)
        if record is None:
            yield f"{id}: ran, and no caller sent it"
        elif record.kind == "write" and len(runs) > 1:
            yield f"{record}: ran {len(runs)} times"


@checks.register("not-run-is-true")
def check_refusals(history):
    """What was refused as not run has not run."""
    runs = history.runs_by_request()
    for record in history.finished_requests():
        if record.status in NOT_RUN and record.id in runs:
            yield f"{record}: it has run"


@checks.register("final-answer-in-time")
def check_times(history):
    """Every request ends soon after its deadline, however it ends."""
    for record in history.finished_requests():
        late_s = record.ended - record.sent - record.deadline_s
        if late_s > ANSWER_SLACK_S and not history.had_fault(
            "daemon", record.daemon, record.sent, record.ended, ("pause",)
        ):
            yield f"{record}: {late_s:.2f} s after its deadline"


@checks.register("planned-stop")
def check_stops(history):
    """A daemon that is only stopped as planned cuts no request that it has read.

    A request that crosses the close of a stopping daemon was not read; a daemon
    that reads one sends it to a server at once, so it has run then.
    """
    runs = history.runs_by_request()
    for record in history.finished_requests():
        if record.error != "cut":
            continue
        span = ("daemon", record.daemon, record.sent, record.ended)
        if history.had_fault(*span, ("kill", "pause")):
            continue
        if record.id in runs or not history.had_fault(*span, ("stop",)):
            yield f"{record}: no answer from a daemon that was not killed"


@checks.register("drain")
def check_drains(history):
    """A server that drains gets nothing new after its time."""
    for id, published in history.drains.items():
        calm_from = published - CONTACT_S
        late = [
            (request_id, at)
            for request_id, _, at in history.servers[id].runs
            if at > published + DRAIN_S
        ]
        for request_id, at in late:
            if not history.had_fault(
                None, None, calm_from, at, ("pause", "kill", "store")
            ):
                yield f"{request_id}: reached {id} {at - published:.2f} s late"


@checks.register("own-ends")
def check_ends(history):
    """No daemon ends by itself, and a stopped one ends in time with status 0."""
    yield from history.process_problems
