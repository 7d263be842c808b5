"""Checks of the entry's promises on the records of callers and servers.

A check yields a text for each violation. Its argument is a ``SoakSession`` or an
object with the same records, servers and methods.
"""

import math

from almondtide.entry.merge import merge_records
from almondtide.registry import Registry
from standins.entry_fleet import DRAIN_S, SHARDS
from standins.shard import make_records

__all__ = ["EVACUATE_S", "checks", "find_violations"]

# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
MIN_COVERAGE = 0.6
TOP_RECORDS = 3
# Limit for a final answer after the deadline: the platform's 0.5 s, and as much again
# because callers and daemons share few cores.
ANSWER_SLACK_S = 1.0
# Daemons may send to a draining server for this time after its drain is published.
DRAIN_NOTICE_S = 3.0
# The limit above doesn't hold if a daemon was paused or killed, or the store failed, at
# any time from this long before the drain was published: a daemon may not have the
# notice then.
CALM_BEFORE_DRAIN_S = 4.0
# A daemon may send this many requests to a server that turned it away, from this long
# after the refusal until the end of the pause that the server asked for.
MAX_REQUESTS_IN_PAUSE = 2
PAUSE_NOTICE_S = 0.5
# Faults after which a daemon need not remember what a server announced.
FORGETTING_FAULTS = ("pause", "kill", "stop")
# Faults that excuse a daemon from a pause that was asked for. One without links to the
# servers hands its requests to a peer, which the server then turns away in its place.
PAUSE_EXCUSES = (*FORGETTING_FAULTS, "partition")

# From this long after a daemon lost its links to the servers, its callers must be
# served at least this share as often as others, but for some failures (rule RECOVER of
# the platform).
PARTITION_NOTICE_S = 4.0
MIN_SERVED_RATIO = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 0.02

# From this long after a server first announced a rate, it may get so many times as much
# in any window, and some requests more (rule LIMIT of the platform).
LIMIT_NOTICE_S = 4.0
LIMIT_WINDOW_S = 4.0
LIMIT_OVERSHOOT = 1.5
LIMIT_EXTRA_REQUESTS = 5

# Bound of the entries' settings, and time for a request that passes a busy machine.
EVACUATE_S = 3.0
EVACUATION_SLACK_S = 0.5
# The bound doesn't hold if a daemon was paused, or the store was disturbed, at any time
# from this long before the evacuation.
CALM_BEFORE_EVACUATION_S = 4.0
EVACUATION_EXCUSES = ("pause", "store")
# A request that was sent in time may arrive late if the link to the server was harmed
# since this long before its arrival (rule "Held up" of the platform), in s.
HELD_UP_S = 4.0

checks = Registry("check")


def find_violations(history):
    """Return a text for each violation, with the name of its check in front."""
    found = []
    for name in checks.names():
        found.extend(f"{name}: {text}" for text in checks.get(name)(history))
    return found


@checks.register("whole-answer")
def check_whole_answers(history):
    """A success has only parts of its own request and the greatest of their records."""
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
            parts = [make_records(service, record.id) for service in services]
            if merge_records(parts, TOP_RECORDS) != record.body:
                yield f"{record}: wrong records"
    for record in history.finished_requests("write"):
        if record.status == 200 and record.body != record.id.encode():
            yield f"{record}: the answer to another request"


@checks.register("failure-unchanged")
def check_failures(history):
    """A write that a server ran and answered with a failure gets that answer.

    The answer may be lost on a harmed link, or with a daemon that ends or is cut off.
    """
    for server in history.servers.values():
        for id, status in server.failures.items():
            record = history.records.get(id)
            if record is None or record.kind != "write" or record.ended is None:
                continue
            is_lost = record.status in (None, 502, 504)
            if record.status != status and not is_lost:
                yield f"{record}: {server.id} had answered {status}"
            stamp = record.headers.get("server-stamp")
            if not is_lost and stamp != f"{server.id}.{id}":
                yield f"{record}: the stamp {stamp} of another answer"


@checks.register("at-most-once")
def check_run_counts(history):
    """A write runs at most once, and every run belongs to a request of a caller."""
    for id, runs in history.runs_by_request().items():
        record = history.records.get(id)
        if record is None:
            yield f"{id}: ran, and no caller sent it"
        elif record.kind == "write" and len(runs) > 1:
            yield f"{record}: ran {len(runs)} times"


@checks.register("not-run-is-true")
def check_refused_requests(history):
    """A request that was refused as not run has not run."""
    runs = history.runs_by_request()
    for record in history.finished_requests():
        if record.status in NOT_RUN_STATUSES and record.id in runs:
            yield f"{record}: it has run"


@checks.register("final-answer-in-time")
def check_answer_times(history):
    """Every request ends soon after its deadline, with or without an answer.

    A request at a daemon that was paused is excepted.
    """
    for record in history.finished_requests():
        late_s = record.ended - record.sent - record.deadline_s
        if late_s > ANSWER_SLACK_S and not history.had_fault(
            "daemon", record.daemon, record.sent, record.ended, ("pause",)
        ):
            yield f"{record}: {late_s:.2f} s after its deadline"


@checks.register("planned-stop")
def check_planned_stops(history):
    """A daemon that is stopped by SIGTERM answers every request that it has read.

    A request may arrive while a stopping daemon closes the connection; the daemon
    has not read it then. A daemon sends each request that it reads to a server at
    once, so a request that has run was read.
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
    """A draining server gets no new request after the notice time.

    One that was sent in time may arrive late if the link to the server was harmed.
    """
    for id, published in history.drain_times.items():
        calm_from = published - CALM_BEFORE_DRAIN_S
        end = published + DRAIN_NOTICE_S
        late = [
            (request_id, at)
            for request_id, _, at in history.servers[id].runs
            if at > end
        ]
        for request_id, at in late:
            record = history.records.get(request_id)
            is_in_time = record is not None and record.sent <= end
            if is_in_time and history.had_fault(
                "link", id, at - HELD_UP_S, at, ("link",)
            ):
                continue
            if not history.had_fault(
                None, None, calm_from, at, ("pause", "kill", "store")
            ):
                yield f"{request_id}: reached {id} {at - published:.2f} s late"


@checks.register("announced-end")
def check_announced_ends(history):
    """A request that is sent after a server's announced end doesn't reach it.

    The time runs for each daemon since it passed an announcement on to a caller.
    """
    for server in history.servers.values():
        passed_on = {}
        for request_id, _ in server.announcements:
            record = history.records.get(request_id)
            if record is not None and record.status == 200:
                known = passed_on.get(record.daemon, record.ended)
                passed_on[record.daemon] = min(known, record.ended)
        for request_id, _, at in server.runs:
            record = history.records.get(request_id)
            if record is None or record.daemon not in passed_on:
                continue
            since = passed_on[record.daemon]
            if record.sent > since + DRAIN_S and not history.had_fault(
                "daemon", record.daemon, since, at, FORGETTING_FAULTS
            ):
                yield f"{record}: reached {server.id} {at - since:.2f} s late"


@checks.register("pause")
def check_pauses(history):
    """A server that asked a daemon for a pause gets next to nothing from it."""
    for server in history.servers.values():
        arrivals = [(id, at) for id, at, _ in server.refusals]
        arrivals += [(id, at) for id, _, at in server.runs]
        arrivals = [
            (history.records[id].daemon, at)
            for id, at in arrivals
            if id in history.records
        ]
        for id, refused_at, until in server.refusals:
            if id not in history.records:
                continue
            daemon = history.records[id].daemon
            start = refused_at + PAUSE_NOTICE_S
            count = sum(one == daemon and start < at < until for one, at in arrivals)
            if count > MAX_REQUESTS_IN_PAUSE and not history.had_fault(
                "daemon", daemon, refused_at, until, PAUSE_EXCUSES
            ):
                yield f"{server.id}: {count} requests of daemon {daemon} in its pause"


@checks.register("partition")
def check_partitions(history):
    """Callers of a daemon without links to servers are served like the others."""
    for fault in history.fault_intervals:
        if fault.kind != "partition":
            continue
        start = fault.start + PARTITION_NOTICE_S
        requests = [
            record
            for record in history.finished_requests()
            if start <= record.sent and record.ended <= (fault.end or math.inf)
        ]
        daemon = fault.target[1]
        here = [record.status == 200 for record in requests if record.daemon == daemon]
        others = [
            record.status == 200 for record in requests if record.daemon != daemon
        ]
        if not here or not others:
            continue
        failed = here.count(False)
        least = MIN_SERVED_RATIO * sum(others) / len(others)
        allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(requests)
        if sum(here) / len(here) < least and failed > allowed:
            yield (
                f"daemon {daemon}: {failed} of {len(here)} failed without links, "
                f"{others.count(False)} of {len(others)} failed elsewhere"
            )


@checks.register("rate-limit")
def check_rate_limits(history):
    """A server gets no more than it announces, summed over the daemons.

    Daemons that were killed, paused or stopped meanwhile are excepted.
    """
    for limit in history.rate_limits:
        start = limit.start + LIMIT_NOTICE_S
        end = limit.end or math.inf
        arrivals = []
        for id, at in history.servers[limit.server_id].arrivals:
            record = history.records.get(id)
            if record is not None and start <= at < end:
                span = ("daemon", record.daemon, limit.start, at)
                if not history.had_fault(*span, FORGETTING_FAULTS):
                    arrivals.append(at)
        allowed = LIMIT_OVERSHOOT * limit.rate * LIMIT_WINDOW_S + LIMIT_EXTRA_REQUESTS
        for at in arrivals:
            count = sum(at <= other < at + LIMIT_WINDOW_S for other in arrivals)
            if count > allowed:
                yield (
                    f"{limit.server_id}: {count} requests in {LIMIT_WINDOW_S:g} s, "
                    f"{allowed:.0f} allowed at {limit.rate} a second"
                )
                break


@checks.register("evacuation")
def check_evacuations(history):
    """No request reaches an evacuated failure domain after the bound."""
    for evacuation in history.evacuations:
        start = evacuation.start + EVACUATE_S + EVACUATION_SLACK_S
        end = evacuation.end or math.inf
        calm_from = evacuation.start - CALM_BEFORE_EVACUATION_S
        for id, server in history.servers.items():
            if history.domain_of(id) != evacuation.domain:
                continue
            for request_id, _, at in server.runs:
                if not start < at < end or history.had_fault(
                    "link", id, at - HELD_UP_S, at, ("link",)
                ):
                    continue
                if not history.had_fault(None, None, calm_from, at, EVACUATION_EXCUSES):
                    late_s = at - evacuation.start - EVACUATE_S
                    yield f"{request_id}: reached {id} {late_s:.2f} s late"


@checks.register("own-ends")
def check_process_ends(history):
    """No daemon exits or logs an error by itself; stopped ones exit with 0 in time."""
    yield from history.process_problems
