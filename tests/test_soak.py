"""Tests of the soak test: its checks on records made by hand, and a short run."""

import testtools

from soak.checks import checks, find_violations
from soak.history import (
    EvacuationInterval,
    FaultInterval,
    RateLimitInterval,
    RequestRecord,
)
from soak.run import read_regression_seeds, run_seed
from standins.entry_fleet import SHARDS
from standins.shard import make_records

SEED = 5
SECONDS = 4.0
REPLY_SEED = 96002
UNPROVEN_SEED = 97001
REPLY_SECONDS = 12.0


class _Server:
    def __init__(self, service):
        self.id = f"i-{service}"
        self.service = service
        self.runs = []
        self.failures = {}
        self.announcements = []
        self.refusals = []
        self.arrivals = []


class _History:
    """Has what the checks read of a ``SoakSession``, without processes."""

    def __init__(self):
        self.records = {}
        self.servers = {f"i-{shard}": _Server(shard) for shard in SHARDS}
        self.servers["i-drafts"] = _Server("drafts")
        self.drain_times = {}
        self.process_problems = []
        self.fault_intervals = []
        self.rate_limits = []
        self.evacuations = []

    def add(self, id, kind, status, ran=(), error=None, took_s=0.1, **answer):
        record = RequestRecord(id, kind, 0, 10.0, 1.2)
        record.status, record.error, record.ended = status, error, 10.0 + took_s
        for name, value in answer.items():
            setattr(record, name, value)
        self.records[id] = record
        for server in ran:
            self.servers[server].runs.append((id, None, 10.0))
        return record

    def add_search(self, id, shards=SHARDS, missing=0, body=None):
        stamps = ", ".join(f"i-{shard}.{id}" for shard in shards)
        records = sorted(
            record for shard in shards for record in _split(make_records(shard, id))
        )
        whole = b"".join(records[::-1][:3])
        headers = {"part-stamps": stamps, "missing-parts": str(missing)}
        return self.add(
            id, "search", 200, headers=headers, body=whole if body is None else body
        )

    def finished_requests(self, kind=None):
        return [r for r in self.records.values() if kind in (None, r.kind)]

    def domain_of(self, id):
        return "nadi" if id == "i-drafts" else "suva"

    def service_of(self, id):
        server = self.servers.get(id)
        return server and server.service

    def runs_by_request(self):
        found = {}
        for name, server in self.servers.items():
            for id, _, _ in server.runs:
                found.setdefault(id, []).append(name)
        return found

    def had_fault(self, component, target, start, end, kinds):
        return any(
            item.kind in kinds and item.overlaps(start, end)
            for item in self.fault_intervals
            if component is None or item.target == (component, target)
        )


def _paused_history(at, count):
    """Return a history with ``count`` runs at a server that asked for 2 s of pause."""
    history = _History()
    server = history.servers["i-drafts"]
    history.add("w-1", "write", 503)
    server.refusals.append(("w-1", 10.0, 12.0))
    for number in range(count):
        history.add(f"w-a{number}", "write", 502)
        server.runs.append((f"w-a{number}", None, at))
    return history


def _split(body):
    return [body[start : start + 16] for start in range(0, len(body), 16)]


class CheckTest(testtools.TestCase):
    """Guards against checks that miss violations."""

    def test_history_without_violations(self):
        history = _History()
        history.add_search("s-1")
        history.add_search("s-2", SHARDS[:2], missing=1)
        history.add("w-1", "write", 200, ["i-drafts"], body=b"w-1")
        history.add("w-2", "write", 503)
        history.add("w-3", "write", 502, ["i-drafts"])
        self.assertEqual([], find_violations(history))

    def assert_violation(self, history, name):
        found = find_violations(history)
        self.assertEqual(1, len(found), found)
        self.assertTrue(found[0].startswith(f"{name}: "), found)

    def test_wrong_answers(self):
        for shards, missing, body in (
            (SHARDS, 0, b"x" * 48),
            (SHARDS[:2], 0, None),
            (SHARDS[:1], 2, None),
            ((*SHARDS, SHARDS[0]), 0, None),
        ):
            history = _History()
            history.add_search("s-1", shards, missing, body)
            self.assert_violation(history, "whole-answer")

    def test_part_and_answer_of_another_request(self):
        history = _History()
        record = history.add_search("s-1")
        record.headers["part-stamps"] = record.headers["part-stamps"].replace(
            f"{SHARDS[0]}.s-1", f"{SHARDS[0]}.s-2"
        )
        self.assert_violation(history, "whole-answer")
        history = _History()
        history.add("w-1", "write", 200, ["i-drafts"], body=b"w-2")
        self.assert_violation(history, "whole-answer")

    def test_repeated_and_unsent_requests(self):
        history = _History()
        history.add("w-1", "write", 200, ["i-drafts", "i-drafts"], body=b"w-1")
        self.assert_violation(history, "at-most-once")
        history = _History()
        history.servers["i-drafts"].runs.append(("w-9", None, 10.0))
        self.assert_violation(history, "at-most-once")

    def test_false_refusal(self):
        history = _History()
        history.add("w-1", "write", 503, ["i-drafts"])
        self.assert_violation(history, "not-run-is-true")

    def test_late_answer(self):
        history = _History()
        history.add("w-1", "write", 504, took_s=2.5)
        self.assert_violation(history, "final-answer-in-time")
        history.fault_intervals.append(FaultInterval("pause", ("daemon", 0), 9.0))
        self.assertEqual([], find_violations(history))

    def test_cut_request(self):
        history = _History()
        history.add("w-1", "write", None, ["i-drafts"], error="cut")
        self.assert_violation(history, "planned-stop")
        history.fault_intervals.append(FaultInterval("stop", ("daemon", 0), 9.0))
        self.assert_violation(history, "planned-stop")
        history.fault_intervals.append(FaultInterval("kill", ("daemon", 0), 9.0))
        self.assertEqual([], find_violations(history))

    def test_callers_of_a_partitioned_daemon(self):
        for served, is_violation in ((0, True), (25, False)):
            history = _History()
            fault = FaultInterval("partition", ("daemon", 0), 0.0)
            history.fault_intervals.append(fault)
            for number in range(30):
                status = 200 if number < served else 503
                history.add(f"w-{number}", "write", status).body = b"w-%d" % number
                history.add(f"o-{number}", "write", 200, body=b"o-%d" % number)
                history.records[f"o-{number}"].daemon = 1
            if is_violation:
                self.assert_violation(history, "partition")
            else:
                self.assertEqual([], find_violations(history))
            # Servers that serve nobody are no reason.
            for number in range(30):
                history.records[f"o-{number}"].status = 503
            self.assertEqual([], find_violations(history))
            for number in range(30):
                history.records[f"o-{number}"].status = 200
            # The time in which the links may be found to be lost is not judged.
            fault.start = 9.0
            self.assertEqual([], find_violations(history))

    def test_requests_beyond_an_announced_rate(self):
        for count, is_violation in ((12, True), (11, False)):
            history = _History()
            history.add_search("s-1")
            history.rate_limits.append(RateLimitInterval("i-shard-0", 1.0, 5.0))
            history.servers["i-shard-0"].arrivals.extend(
                ("s-1", 10.0 + number * 0.3) for number in range(count)
            )
            if is_violation:
                self.assert_violation(history, "rate-limit")
                history.fault_intervals.append(
                    FaultInterval("kill", ("daemon", 0), 9.0)
                )
            self.assertEqual([], find_violations(history))

    def test_request_to_a_drained_server(self):
        history = _History()
        history.add("w-1", "write", 200, ["i-drafts"], body=b"w-1")
        history.drain_times["i-drafts"] = 6.0
        self.assert_violation(history, "drain")

    def test_request_that_a_link_held_up_on_its_way_to_a_drained_server(self):
        # It was sent 1.3 s after the drain, and delivered when the link no longer held
        # it, 3.63 s after the drain (seed 98044). It ran at 10.0.
        for sent, harmed, is_violation in (
            (7.67, "i-drafts", False),
            (7.67, None, True),
            (7.67, "i-shard-0", True),
            (9.5, "i-drafts", True),
        ):
            history = _History()
            record = history.add("w-1", "write", 504, ["i-drafts"])
            record.sent, record.ended = sent, sent + 1.2
            history.drain_times["i-drafts"] = 6.37
            if harmed is not None:
                fault = FaultInterval("link", ("link", harmed), 7.36)
                fault.end = 9.99
                history.fault_intervals.append(fault)
            found = [text.partition(":")[0] for text in find_violations(history)]
            self.assertEqual(["drain"] * is_violation, found, (sent, harmed))

    def test_request_to_an_evacuated_domain(self):
        # The request ran at 10.0.
        for domain, start, end, is_violation in (
            ("nadi", 6.0, None, True),
            ("nadi", 6.0, 9.9, False),
            ("nadi", 7.0, None, False),
            ("suva", 6.0, None, False),
        ):
            history = _History()
            history.add("w-1", "write", 200, ["i-drafts"], body=b"w-1")
            evacuation = EvacuationInterval(domain, start)
            evacuation.end = end
            history.evacuations.append(evacuation)
            if is_violation:
                self.assert_violation(history, "evacuation")
                fault = FaultInterval("store", ("store", "busy"), 9.0)
                history.fault_intervals.append(fault)
            self.assertEqual([], find_violations(history))

    def test_request_after_an_announced_end(self):
        # The announcement reached the caller at 10.1; requests were sent at 10.0.
        for sent, names in ((13.0, []), (13.2, ["announced-end"])):
            history = _History()
            history.add("w-1", "write", 200, ["i-drafts"], body=b"w-1")
            history.servers["i-drafts"].announcements.append(("w-1", 10.05))
            late = history.add("w-2", "write", 200, body=b"w-2")
            late.sent = sent
            late.ended = sent + 0.1
            history.servers["i-drafts"].runs.append(("w-2", None, sent))
            found = [text.partition(":")[0] for text in find_violations(history)]
            self.assertEqual(names, found)
            history.fault_intervals.append(FaultInterval("stop", ("daemon", 0), 11.0))
            self.assertEqual([], find_violations(history))

    def test_requests_in_a_pause(self):
        for at, count, names in (
            (10.4, 3, []),
            (10.6, 2, []),
            (10.6, 3, ["pause"]),
            (12.1, 3, []),
        ):
            history = _paused_history(at, count)
            found = [text.partition(":")[0] for text in find_violations(history)]
            self.assertEqual(names, found, (at, count))

    def test_failures_that_servers_answered_with(self):
        # An entry without links ran such a write again, and answered 503 or another
        # server's 200.
        stamp = {"server-stamp": "i-drafts.w-1"}
        for status, headers, names in (
            (404, stamp, []),
            (502, {}, []),
            (404, {}, ["failure-unchanged"]),
            (500, stamp, ["failure-unchanged"]),
            (503, {}, ["failure-unchanged", "failure-unchanged", "not-run-is-true"]),
        ):
            history = _History()
            history.add("w-1", "write", status, ran=["i-drafts"], headers=headers)
            history.servers["i-drafts"].failures["w-1"] = 404
            found = [text.partition(":")[0] for text in find_violations(history)]
            self.assertEqual(names, found, status)

    def test_requests_in_a_pause_that_a_peer_was_asked_for(self):
        # The requests of a partitioned daemon ran at a peer (soak, seed 63047).
        for kind, names in (("partition", []), ("announce", ["pause"])):
            history = _paused_history(at=11.0, count=3)
            history.fault_intervals.append(FaultInterval(kind, ("daemon", 0), 9.5))
            found = [text.partition(":")[0] for text in find_violations(history)]
            self.assertEqual(names, found, kind)

    def test_every_check_has_a_name(self):
        self.assertEqual(13, len(checks.names()))


class RunTest(testtools.TestCase):
    """Guards the promises of the entry under a few seconds of faults."""

    def test_seed(self):
        violations, session = run_seed(SEED, SECONDS)
        self.assertEqual([], violations)
        self.assertTrue(len(session.records) > 100)

    def test_seed_of_failures_and_endless_replies(self):
        # On fd996f7 an entry without links runs writes again (seed 96002, 12 s).
        faults = ["endless", "fail", "partition", "kill"]
        violations, session = run_seed(REPLY_SEED, REPLY_SECONDS, fault_names=faults)
        self.assertEqual([], violations)
        self.assertTrue(len(session.records) > 100)

    def test_seed_of_statuses_that_promise_falsely(self):
        # On 930080b writes ran up to three times after a 421 without proof, and others
        # were answered with 408 though they had run (seeds 97001 to 97003).
        faults = ["unproven", "partition", "kill"]
        violations, session = run_seed(UNPROVEN_SEED, REPLY_SECONDS, fault_names=faults)
        self.assertEqual([], violations)
        self.assertTrue(len(session.records) > 100)

    def test_regression_seeds_are_listed(self):
        self.assertIn(12, read_regression_seeds())
