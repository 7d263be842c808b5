"""Tests of the demo's checks, and of restarts with its load client."""

import tempfile
import time

import testtools

from standins.dataset import make_data_set
from standins.demo import AnswerCheck, LoadClient, post_query
from standins.fleet import Fleet, FleetSpec

KIND = "probes"
WORKLOAD = "advisory"
SHAPE = {
    "services": 2,
    "servers": 3,
    "kind": KIND,
    "settings": {"deadline_ms": 3000},
}


class RollingRestartTest(testtools.TestCase):
    """Guards against requests that fail during planned restarts.

    A daemon that regarded restarted peers as still leaving did not tell them that
    it was leaving itself, and callers used it after it had stopped.
    """

    def test_no_request_fails(self):
        spec = FleetSpec(
            daemons=3,
            workloads={WORKLOAD: SHAPE},
            defaults={"entries_max_age_ms": 1000},
            pack_servers=True,
        )
        with (
            tempfile.TemporaryDirectory() as directory,
            Fleet(spec, directory) as fleet,
        ):
            check = AnswerCheck(
                {WORKLOAD: make_data_set(KIND)}, fleet.configuration, {}
            )
            entry = fleet.daemons["entry-00"]["caller"]
            client = LoadClient(1, entry, WORKLOAD, KIND, check)
            client.start()
            for name in list(fleet.daemons):
                self.assertEqual(0, fleet.terminate(name))
                fleet.start_daemon(name)
                fleet.wait_ready(name)
            time.sleep(0.5)
            client.finish()
        self.assertEqual([], client.failures)
        self.assertGreater(client.sent, 50)


class FirstRequestTest(testtools.TestCase):
    """Guards against requests that a restarted daemon refuses before it is ready.

    Peers list a daemon as an entry when its new incarnation contacts them. It has to
    contact them to become ready, so it is listed before it is ready.
    """

    RESTARTS = 3

    def test_first_request_is_answered(self):
        spec = FleetSpec(
            daemons=3,
            workloads={WORKLOAD: SHAPE},
            defaults={"entries_max_age_ms": 300},
            pack_servers=True,
        )
        names = []
        with (
            tempfile.TemporaryDirectory() as directory,
            Fleet(spec, directory) as fleet,
        ):
            entry = fleet.daemons["entry-00"]["caller"]
            for _ in range(self.RESTARTS):
                fleet.terminate("entry-00")
                fleet.start_daemon("entry-00")
                names.append(self.first_answer(entry)["name"])
                fleet.wait_ready("entry-00")
        self.assertEqual(["OK"] * self.RESTARTS, names)

    def first_answer(self, entry):
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            try:
                return post_query(entry, WORKLOAD, {})
            except ConnectionRefusedError:
                time.sleep(0.002)
        raise TimeoutError("the daemon did not start")


class AnswerCheckTest(testtools.TestCase):
    """Guards against a check that accepts a wrong answer."""

    def setUp(self):
        super().setUp()
        shards = [
            {"name": "a", "low": 0, "high": 30000, "service": "s-0"},
            {"name": "b", "low": 30000, "high": 65536, "service": "s-1"},
        ]
        maps = [{"epoch": 1, "shards": shards}]
        document = {"workloads": {WORKLOAD: {"shard_maps": maps}}}
        self.data = make_data_set(KIND)
        self.check = AnswerCheck({WORKLOAD: self.data}, document, {})

    def answer(self, rows, covered=("a", "b"), missing=(), code=0):
        return {
            "code": code,
            "name": "",
            "snapshot": {"version": 1, "epoch": 1},
            "coverage": {
                "covered": list(covered),
                "missing": [{"shard": name, "code": 104} for name in missing],
            },
            "result": {"rows": rows},
        }

    def problem(self, *args, **kwargs):
        return self.check.find_problem(WORKLOAD, {}, self.answer(*args, **kwargs))

    def test_right_answers_pass(self):
        rows = self.data.rows(1)
        part = [row for row in rows if row["key"] < 30000]
        self.assertIsNone(self.problem(rows))
        self.assertIsNone(self.problem(part, ["a"], ["b"], code=1))

    def test_wrong_answers_are_found(self):
        rows = self.data.rows(1)
        part = [row for row in rows if row["key"] < 30000]
        self.assertIsNotNone(self.problem(rows[:-1]))
        self.assertIsNotNone(self.problem([rows[0], *rows]))
        self.assertIsNotNone(self.problem(self.data.rows(2)))
        self.assertIsNotNone(self.problem(part))
        self.assertIsNotNone(self.problem(rows, ["a"], ["b"], code=1))
        self.assertIsNotNone(self.problem(part, ["a"], ["b"], code=0))
        self.assertIsNotNone(self.problem(part, ["a"], [], code=1))
        self.assertIsNotNone(self.problem(rows, code=104))
