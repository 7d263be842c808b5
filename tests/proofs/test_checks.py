"""Tests of the history checks on histories with one violation or none."""

import testtools

from almondtide.shards import KeyRange, Shard, ShardMap
from proofs import checks
from proofs.history import Call, ConfigurationSample, Execution, Interval
from standins.dataset import make_data_set
from standins.fleet import shard_map

SERVICES = ["advisory-0", "advisory-1", "advisory-2"]
QUERY = {"match": {"district": "Ba"}, "marker": "m1"}
DATA = make_data_set("probes", 1, 300)


def make_oracle():
    shards = [
        Shard(item["name"], KeyRange(item["low"], item["high"]), item["service"])
        for item in shard_map(1, SERVICES)["shards"]
    ]
    return checks.Oracle(DATA, {1: ShardMap(1, shards)})


ORACLE = make_oracle()
SHARD_NAMES = [shard.name for shard in ORACLE.shard_maps[1].shards]


def make_answer(covered=SHARD_NAMES, version=1, **fields):
    answer = {
        "request_id": "r1",
        "code": 0 if len(covered) == len(SHARD_NAMES) else 1,
        "not_run": False,
        "snapshot": {"version": version, "epoch": 1},
        "coverage": {
            "covered": list(covered),
            "missing": [
                {"shard": n, "code": 303} for n in SHARD_NAMES if n not in covered
            ],
        },
        "result": {"rows": ORACLE.expected_rows(QUERY, version, 1, covered)},
    }
    answer.update(fields)
    return answer


def make_call(answer, kind="query", **values):
    values = {"status": 200, "header_request_id": "r1", **values}
    body = values.pop("body", QUERY)
    return Call("r1", kind, body, answer=answer, **values)


def make_refusal(code=200, **values):
    answer = {"request_id": "r1", "code": code, "not_run": True, "retry_after_ms": 20}
    answer.update(values.pop("fields", {}))
    return make_call(answer, status=503, **{"sent": 1.0, "received": 1.1, **values})


class SnapshotCheckTest(testtools.TestCase):
    """Guards against a check that misses a mix of versions."""

    def test_correct_answers_pass(self):
        calls = [make_call(make_answer()), make_call(make_answer(SHARD_NAMES[:2], 2))]
        self.assertEqual([], checks.check_snapshots(calls, ORACLE))

    def test_row_of_another_version(self):
        answer = make_answer()
        answer["result"]["rows"][3] = {**answer["result"]["rows"][3], "version": 2}
        found = checks.check_snapshots([make_call(answer)], ORACLE)
        self.assertEqual(1, len(found))
        self.assertIn("version 1 but holds rows of [2]", str(found[0]))

    def test_row_with_another_value(self):
        answer = make_answer()
        answer["result"]["rows"][3] = {**answer["result"]["rows"][3], "value": -1}
        self.assertEqual(1, len(checks.check_snapshots([make_call(answer)], ORACLE)))

    def test_unknown_epoch(self):
        answer = make_answer(snapshot={"version": 1, "epoch": 9})
        self.assertEqual(1, len(checks.check_snapshots([make_call(answer)], ORACLE)))


class CoverageCheckTest(testtools.TestCase):
    """Guards against a check that misses missing or repeated readings."""

    def check(self, answer):
        return checks.check_coverage([make_call(answer)], ORACLE)

    def test_correct_answers_pass(self):
        self.assertEqual([], self.check(make_answer()))
        self.assertEqual([], self.check(make_answer(SHARD_NAMES[1:])))

    def test_claimed_shard_without_its_rows(self):
        answer = make_answer()
        answer["result"] = make_answer(SHARD_NAMES[1:])["result"]
        found = self.check(answer)
        self.assertEqual(1, len(found))
        self.assertIn(f"shard {SHARD_NAMES[0]}: 0 rows", str(found[0]))

    def test_rows_of_a_shard_that_is_reported_missing(self):
        answer = make_answer(SHARD_NAMES[1:])
        answer["result"] = make_answer()["result"]
        self.assertEqual(1, len(self.check(answer)))

    def test_one_reading_missing(self):
        answer = make_answer()
        del answer["result"]["rows"][5]
        self.assertEqual(1, len(self.check(answer)))

    def test_one_reading_twice(self):
        answer = make_answer()
        answer["result"]["rows"].append(answer["result"]["rows"][0])
        found = self.check(answer)
        self.assertEqual(1, len(found))
        self.assertIn("more than once", str(found[0]))

    def test_shard_that_is_not_mentioned(self):
        answer = make_answer(SHARD_NAMES[1:])
        answer["coverage"]["missing"] = []
        found = self.check(answer)
        self.assertEqual(1, len(found))
        self.assertIn("names the shards", str(found[0]))

    def test_code_ok_with_a_missing_shard(self):
        self.assertEqual(1, len(self.check(make_answer(SHARD_NAMES[1:], code=0))))


class AnswerCheckTest(testtools.TestCase):
    """Guards against a check that accepts the answer to another request."""

    def check(self, call):
        return checks.check_answers([call], ORACLE)

    def test_own_answers_pass(self):
        outcome = {"request_id": "r1", "code": 0, "result": {"execution_id": "x1"}}
        self.assertEqual([], self.check(make_call(make_answer())))
        revision = make_call(outcome, "revise", execution_id="x1")
        self.assertEqual([], self.check(revision))

    def test_foreign_request_id(self):
        call = make_call(make_answer(request_id="r2"))
        self.assertEqual(1, len(self.check(call)))

    def test_foreign_header(self):
        call = make_call(make_answer(), header_request_id="r2")
        self.assertEqual(1, len(self.check(call)))

    def test_rows_of_another_query(self):
        body = {"match": {"district": "Nadi"}, "marker": "m2"}
        self.assertEqual(1, len(self.check(make_call(make_answer(), body=body))))

    def test_truncated_result_with_full_coverage(self):
        answer = make_answer()
        del answer["result"]["rows"][-1]
        self.assertEqual(1, len(self.check(make_call(answer))))

    def test_outcome_of_another_execution(self):
        outcome = {"request_id": "r1", "code": 0, "result": {"execution_id": "x2"}}
        revision = make_call(outcome, "revise", execution_id="x1")
        self.assertEqual(1, len(self.check(revision)))


class NotRunCheckTest(testtools.TestCase):
    """Guards against a check that accepts a false "not run"."""

    def test_correct_refusal_passes(self):
        runs = [Execution("search", "s0", 1.05, marker="m9")]
        self.assertEqual([], checks.check_not_run([make_refusal()], runs))

    def test_refused_request_that_ran(self):
        runs = [Execution("search", "s0", 1.05, marker="m1")]
        found = checks.check_not_run([make_refusal()], runs)
        self.assertEqual(1, len(found))
        self.assertIn("s0 ran it", str(found[0]))

    def test_later_request_allows_the_run(self):
        later = make_call(make_answer(), sent=2.0, received=2.2)
        runs = [Execution("search", "s0", 2.1, marker="m1")]
        self.assertEqual([], checks.check_not_run([make_refusal(), later], runs))

    def test_later_request_does_not_allow_an_earlier_run(self):
        later = make_call(make_answer(), sent=2.0, received=2.2)
        runs = [Execution("search", "s0", 1.05, marker="m1")]
        found = checks.check_not_run([make_refusal(), later], runs)
        self.assertEqual(1, len(found))


class RefusalCheckTest(testtools.TestCase):
    """Guards against a check that accepts late refusals or a missing retry time."""

    def test_prompt_refusal_passes(self):
        calls = [make_refusal(), make_refusal(101, fields={"retry_after_ms": None})]
        self.assertEqual([], checks.check_refusals(calls))

    def test_refusal_without_a_retry_time(self):
        call = make_refusal(fields={"retry_after_ms": None})
        self.assertEqual(1, len(checks.check_refusals([call])))

    def test_refusal_shortly_before_the_deadline(self):
        call = make_refusal(received=1.9)
        self.assertEqual(1, len(checks.check_refusals([call])))

    def test_wait_for_a_core_is_subtracted(self):
        call = make_refusal(received=1.9)
        call.core_wait_s = 0.5
        self.assertEqual([], checks.check_refusals([call]))

    def test_late_refusal_despite_a_short_wait_for_a_core(self):
        call = make_refusal(received=1.9)
        call.core_wait_s = 0.2
        self.assertEqual(1, len(checks.check_refusals([call])))

    def test_late_refusal_is_reported_with_the_waits_of_all_daemons(self):
        call = make_refusal(received=1.9)
        call.entry = "127.0.0.1:1"
        call.core_waits_s = {"127.0.0.1:1": 0.1, "127.0.0.1:2": 0.4}
        (violation,) = checks.check_refusals([call])
        self.assertIn(
            "waits in s: 127.0.0.1:1 0.100, 127.0.0.1:2 0.400", violation.message
        )


class ExecutionCheckTest(testtools.TestCase):
    """Guards against a check that misses a second run."""

    def test_single_runs_pass(self):
        runs = [
            Execution("revise", "s0", 1.0, marker="m1", execution_id="x1"),
            Execution("search", "s0", 1.0, marker="m2"),
            Execution("search", "s1", 1.0, marker="m2"),
        ]
        call = make_call({"code": 0}, "revise", execution_id="x1")
        self.assertEqual([], checks.check_executions([call], runs))

    def test_execution_id_that_ran_twice(self):
        runs = [
            Execution("revise", name, 1.0, marker=marker, execution_id="x1")
            for name, marker in (("s0", "m1"), ("s1", "m2"))
        ]
        found = checks.check_executions([], runs)
        self.assertEqual(["x1: ran 2 times, on s0, s1"], [str(v) for v in found])

    def test_marker_that_ran_under_two_ids(self):
        runs = [
            Execution("revise", "s0", 1.0, marker="m1", execution_id=name)
            for name in ("x1", "x2")
        ]
        self.assertEqual(1, len(checks.check_executions([], runs)))

    def test_refusal_of_a_resend_that_ran_before(self):
        runs = [Execution("revise", "s0", 0.5, marker="m1", execution_id="x1")]
        body = {"code": 202, "not_run": True}
        call = make_call(body, "revise", execution_id="x1", sent=1.0)
        self.assertEqual(1, len(checks.check_executions([call], runs)))

    def test_outcome_without_a_run(self):
        call = make_call({"code": 0}, "revise", execution_id="x1")
        self.assertEqual(1, len(checks.check_executions([call], [])))


class LeavingCheckTest(testtools.TestCase):
    """Guards against a check that misses late work for a leaving server."""

    def test_work_before_the_limit_and_after_the_return_passes(self):
        runs = [Execution("search", "s0", at) for at in (9.0, 12.9, 20.1)]
        leaving_intervals = [Interval("s0", 10.0, 20.0)]
        self.assertEqual([], checks.check_leaving(leaving_intervals, runs))

    def test_work_after_the_limit(self):
        runs = [Execution("refused", "s0", 13.2), Execution("search", "s1", 13.2)]
        found = checks.check_leaving([Interval("s0", 10.0, 20.0)], runs)
        self.assertEqual(1, len(found))
        self.assertIn("3.20", str(found[0]))


class PlannedStopCheckTest(testtools.TestCase):
    """Guards against a check that misses a failed request or a wrong exit status."""

    def test_full_answers_pass(self):
        call = make_call(make_answer())
        self.assertEqual([], checks.check_planned_stops([call], [("entry-00", 0)]))

    def test_closed_connection(self):
        call = make_call(None, status=None, error="ConnectionResetError()")
        found = checks.check_planned_stops([call], [])
        self.assertEqual(1, len(found))
        self.assertIn("ConnectionResetError", str(found[0]))

    def test_partial_answer(self):
        call = make_call(make_answer(SHARD_NAMES[1:]))
        self.assertEqual(1, len(checks.check_planned_stops([call], [])))

    def test_exit_status(self):
        found = checks.check_planned_stops([], [("entry-00", 1)])
        self.assertEqual(1, len(found))


class ConfigurationCheckTest(testtools.TestCase):
    """Guards against a check that misses a late or lower revision."""

    def check(self, series, published=((1, 0.0), (2, 10.0)), exempt_intervals=()):
        samples = [ConfigurationSample("entry-00", at, rev) for at, rev in series]
        return checks.check_configuration(samples, published, exempt_intervals)

    def test_prompt_revisions_pass(self):
        series = [(1.0, 1), (10.1, 1), (16.9, 1), (17.1, 2), (30.0, 2)]
        self.assertEqual([], self.check(series))

    def test_late_revision(self):
        found = self.check([(1.0, 1), (17.5, 1), (19.0, 2)])
        self.assertEqual(1, len(found))
        self.assertIn("7.5 s after revision 2", str(found[0]))

    def test_missing_configuration_after_a_restart(self):
        series = [(1.0, 1), (12.0, 2), (18.0, None), (19.0, 2)]
        found = self.check(series, published=[(2, 10.0)])
        self.assertEqual(1, len(found))

    def test_lower_revision(self):
        found = self.check([(1.0, 1), (12.0, 2), (13.0, 1), (14.0, 2)])
        self.assertEqual(1, len(found))
        self.assertIn("from revision 2 back to 1", str(found[0]))

    def test_recorded_revisions(self):
        histories = {"entry-00": [1, 2, 5], "entry-01": [3], "entry-02": []}
        self.assertEqual([], checks.check_recorded_revisions(histories))
        histories["entry-01"] = [3, 4, 3, 4]
        [found] = checks.check_recorded_revisions(histories)
        self.assertIn("recorded revision 4, then 3", str(found))

    def test_exempt_interval_moves_the_limit(self):
        series = [(1.0, 1), (21.9, 1), (23.0, 2)]
        exempt_intervals = [Interval("entry-00", 9.0, 15.0)]
        self.assertEqual([], self.check(series, exempt_intervals=exempt_intervals))
        late = [(1.0, 1), (22.1, 1), (23.0, 2)]
        self.assertEqual(1, len(self.check(late, exempt_intervals=exempt_intervals)))

    def test_exempt_interval_of_another_daemon_does_not_count(self):
        exempt_intervals = [Interval("entry-01", 9.0, 15.0)]
        found = self.check([(1.0, 1), (17.5, 1)], exempt_intervals=exempt_intervals)
        self.assertEqual(1, len(found))
