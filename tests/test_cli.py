"""Tests of the command line against a small fleet."""

import contextlib
import io
import json
import os
import tempfile
from unittest import mock

import testtools

from almondtide import cli
from almondtide.cli_arguments import join_repeated
from almondtide.errors import ResultCode, exit_status
from standins.fleet import ADMIN_TOKEN, Fleet, FleetSpec
from tests.test_configuration import make_document

WORKLOADS = {"advisory": {"services": 2, "servers": 2, "slots": 3, "kind": "probes"}}
QUERY = '{"match": {"district": "Nadi"}, "minimum": 59}'
LONG_DEADLINE = ("--deadline-ms", "5000")


class Result:
    """Exit status and output of one command."""

    def __init__(self, status, out, err):
        self.status = status
        self.out = out
        self.err = err

    def json(self):
        return json.loads(self.out)


def run_cli(*argv, environ=None, stdin=""):
    """Run one command in this process."""
    out = io.StringIO()
    err = io.StringIO()
    kept = {k: v for k, v in os.environ.items() if not k.startswith("ALMONDTIDE_")}
    stream = io.TextIOWrapper(io.BytesIO(stdin.encode()))
    with (
        mock.patch.dict(os.environ, {**kept, **(environ or {})}, clear=True),
        mock.patch("sys.stdin", stream),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            status = cli.run(list(argv))
        except SystemExit as exc:
            status = exc.code
    return Result(status, out.getvalue(), err.getvalue())


class OfflineTest(testtools.TestCase):
    """Checks exit status and error line of commands that need no fleet."""

    def assert_error(self, status, *argv, environ=None):
        result = run_cli(*argv, environ=environ)
        self.assertEqual(status, result.status, (argv, result.err))
        self.assertEqual("", result.out)
        self.assertEqual(1, len(result.err.splitlines()), result.err)
        self.assertTrue(result.err.startswith("almondtide: "), result.err)
        return result.err

    def test_usage_errors(self):
        entry = ("--entry", "127.0.0.1:1")
        admin = ("--admin", "127.0.0.1:1", "--token", "x")
        for argv in (
            ("query", "w", "--body", "{}"),
            ("query", "w", "--body", "{", *entry),
            ("query", "w", "--body", "@/nonexistent", *entry),
            ("query", "w", "--body", "{}", "--entry", "nonsense"),
            ("entries",),
            ("status",),
            ("status", "--admin", "127.0.0.1:1"),
            ("status", "--admin", "127.0.0.1:1", "--token", "é"),
            ("drain", "--admin", "127.0.0.1:1,127.0.0.1:2", "--token", "x"),
            ("config", "check", "/nonexistent"),
            ("config", "show", "--workload", "a", "--service", "b", *admin),
        ):
            self.assert_error(2, *argv)

    def test_no_answer(self):
        """The error names the address; all commands have the same exit status."""
        entry = ("--entry", "127.0.0.1:1")
        admin = ("--admin", "127.0.0.1:1", "--token", "x")
        for argv in (
            ("query", "w", "--body", "{}", *entry),
            ("revise", "w", "--body", "{}", *entry),
            ("entries", *entry),
            ("status", *admin),
            ("config", "show", *admin),
            ("config", "status", *admin),
            ("timeline", *admin),
            ("drain", *admin),
        ):
            error = self.assert_error(exit_status(ResultCode.NO_ANSWER), *argv)
            self.assertIn("127.0.0.1:1", error)

    def test_request_id_that_cannot_be_sent(self):
        argv = ("query", "w", "--body", "{}", "--entry", "127.0.0.1:1")
        self.assert_error(2, *argv, "--request-id", "a\nb")

    def test_missing_command_and_help(self):
        self.assertEqual(2, run_cli().status)
        for argv in ((), ("query",), ("config", "status"), ("timeline",)):
            result = run_cli(*argv, "--help")
            self.assertEqual(0, result.status)
            self.assertNotIn("\033", result.out)

    def test_repeated_flags(self):
        joined = join_repeated(["a", "--entry", "x:1", "b", "--entry=y:2", "--admin"])
        self.assertEqual(["a", "--entry=x:1,y:2", "b", "--admin"], joined)

    def test_version(self):
        self.assertEqual(
            {"version": cli.__version__}, run_cli("version", "--output", "json").json()
        )

    def check(self, text, *options):
        with tempfile.NamedTemporaryFile("w") as file:
            file.write(text)
            file.flush()
            return run_cli("config", "check", file.name, *options)

    def test_config_check(self):
        document = make_document()
        self.assertEqual(0, self.check(json.dumps(document)).status)
        document["defaults"]["slots"] = 0
        document["exceptions"][0]["reason"] = ""
        result = self.check(json.dumps(document))
        self.assertEqual(exit_status(ResultCode.CONFIGURATION_INVALID), result.status)
        self.assertIn("$.defaults.slots: ", result.out)
        self.assertIn("$.exceptions[0].reason: ", result.out)
        report = self.check(json.dumps(document), "--output", "json").json()
        self.assertEqual(2, len(report["problems"]))

    def test_config_check_of_invalid_documents(self):
        for text, problem in (
            ("", "not valid JSON"),
            ("{", "not valid JSON"),
            ("[" * 100_000, "not valid JSON"),
            ('{"workloads": {}, "defaults": {"weight": NaN}}', "NaN"),
            ('{"workloads": {}, "workloads": {}}', "twice"),
            (json.dumps({"workloads": {}, "x": "y" * 1_000_001}), "over 1000000"),
        ):
            result = self.check(text)
            self.assertEqual(16, result.status, result.out)
            self.assertIn(problem, result.out)


class FleetTest(testtools.TestCase):
    """Checks the commands against a running fleet."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.fleet = Fleet(FleetSpec(daemons=3, workloads=WORKLOADS), directory.name)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        daemons = list(cls.fleet.daemons.values())
        cls.environ = {
            "ALMONDTIDE_CLI_ENTRIES": ",".join(info["caller"] for info in daemons),
            "ALMONDTIDE_CLI_ADMIN": ",".join(info["admin"] for info in daemons),
            "ALMONDTIDE_CLI_TOKEN": ADMIN_TOKEN,
        }

    def cli(self, *argv, stdin=""):
        return run_cli(*argv, environ=self.environ, stdin=stdin)

    def json(self, *argv):
        result = self.cli(*argv, "--output", "json")
        self.assertEqual(0, result.status, result.err)
        return result.json()

    def test_query(self):
        answer = self.json("query", "advisory", "--body", QUERY, *LONG_DEADLINE)
        self.assertEqual(2, len(answer["coverage"]["covered"]))
        text = self.cli("query", "advisory", *LONG_DEADLINE, stdin=QUERY)
        self.assertEqual(0, text.status, text.err)
        self.assertIn("coverage: 2 of 2 shards", text.out)

    def test_exit_status_follows_the_code(self):
        result = self.cli("query", "nope", "--body", "{}")
        self.assertEqual(exit_status(ResultCode.UNKNOWN_WORKLOAD), result.status)
        self.assertIn("UNKNOWN_WORKLOAD (101)", result.out)

    def test_revise_twice_with_one_id(self):
        body = '{"key": 5, "text": "a"}'
        first = self.cli("revise", "advisory", "--body", body, *LONG_DEADLINE)
        self.assertEqual(0, first.status, first.out)
        execution_id = first.out.splitlines()[0].removeprefix("execution_id=")
        again = self.json(
            "revise",
            "advisory",
            "--body",
            body,
            "--execution-id",
            execution_id,
            *LONG_DEADLINE,
        )
        self.assertEqual(execution_id, again["result"]["execution_id"])
        runs = [
            event
            for event in self.fleet.read_upstream_events()
            if event.get("execution_id") == execution_id and event["event"] == "revise"
        ]
        self.assertEqual(1, len(runs))

    def test_entries_status_and_configuration(self):
        self.assertEqual(3, len(self.json("entries")["entries"]))
        report = self.json("status")
        self.assertEqual(3, len({item["instance"] for item in report.values()}))
        self.assertIn("serving", self.cli("status").out)
        shown = self.json("config", "show", "--workload", "advisory")
        self.assertEqual("advisory", shown["target"])
        self.assertIn("deadline_ms", self.cli("config", "show").out)
        agreed = self.json("config", "status", "--wait-revision", "1")
        self.assertEqual(0, agreed["code"])
        late = self.cli("config", "status", "--wait-revision", "99", "--timeout-s", "0")
        self.assertEqual(exit_status(ResultCode.WAIT_TIMEOUT), late.status)

    def test_one_address_discovers_all_daemons(self):
        admin = self.environ["ALMONDTIDE_CLI_ADMIN"].split(",")[0]
        self.assertEqual(3, len(self.json("status", "--admin", admin)))
        self.assertEqual(1, len(self.json("status", "--admin", admin, "--listed-only")))

    def test_daemon_that_does_not_answer_is_reported(self):
        admin = self.environ["ALMONDTIDE_CLI_ADMIN"] + ",127.0.0.1:1"
        for command in (("status",), ("config", "status"), ("timeline",)):
            result = self.cli(*command, "--admin", admin)
            self.assertEqual(exit_status(ResultCode.PARTIAL), result.status, command)
            self.assertIn("127.0.0.1:1", result.out + result.err)

    def test_wrong_token(self):
        result = self.cli("status", "--token", "wrong-token")
        self.assertEqual(exit_status(ResultCode.UNAUTHORIZED), result.status)

    def test_timeline_shows_a_request_on_all_daemons(self):
        asked = self.cli(
            "query",
            "advisory",
            "--body",
            QUERY,
            "--request-id",
            "line-1",
            *LONG_DEADLINE,
        )
        self.assertEqual(0, asked.status)
        lines = self.cli("timeline", "--request-id", "line-1").out.splitlines()
        names = [line.split("event=")[1].split()[0] for line in lines]
        self.assertEqual("query_received", names[0])
        self.assertEqual("query_answered", names[-1])
        self.assertTrue(
            names.index("query_planned")
            < names.index("sub_requests_sent")
            < names.index("sub_requests_received"),
            names,
        )
        daemon_events = self.cli("timeline", "--kind", "daemon").out
        self.assertIn("event=daemon_started", daemon_events)
        self.assertNotIn("event=query_received", daemon_events)
        times = [tuple(map(float, line.split()[0].split("+"))) for line in lines]
        self.assertEqual(sorted(times), times)
        item = json.loads(
            self.cli(
                "timeline", "--event", "daemon_started", "--output", "json"
            ).out.splitlines()[0]
        )
        self.assertEqual("daemon_started", item["event"])
