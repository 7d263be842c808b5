"""Tests of one daemon process with malformed requests and connections."""

import json
import re
import socket
import tempfile
import time

import testtools

from almondtide.errors import ResultCode
from almondtide.metrics import COUNTERS, GAUGES, HISTOGRAMS
from standins.fleet import ADMIN_TOKEN, Fleet, FleetSpec, http_call
from tests.support import parse_responses

MAX_CONNECTIONS = 30
WORKLOADS = {"advisory": {"services": 2, "servers": 2, "slots": 3, "kind": "probes"}}
ARGV = ("-m", "almondtide.daemon", "--max-connections", str(MAX_CONNECTIONS))
# On a busy machine, these may be logged at any time.
PEER_STATE_EVENTS = {"peer_suspected", "peer_recovered"}
QUERY = {"match": {"district": "Nadi"}, "minimum": 59}


def dial(address, data=b""):
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=10)
    sock.sendall(data)
    return sock


def parse_log_line(line):
    """Return event name and result code of a log line, None for a missing one."""
    fields = dict(re.findall(r"(event|code)=(\S+)", line))
    return fields.get("event"), fields.get("code")


def read_all(sock):
    chunks = []
    try:
        while chunk := sock.recv(65536):
            chunks.append(chunk)
    except ConnectionError:
        pass
    sock.close()
    return b"".join(chunks)


class DaemonTest(testtools.TestCase):
    """Checks that bad input gets a result code and leaves no task or connection."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        spec = FleetSpec(daemons=2, workloads=WORKLOADS, daemon_argv=ARGV)
        cls.fleet = Fleet(spec, directory.name)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        cls.name = next(iter(cls.fleet.daemons))
        cls.addresses = cls.fleet.daemons[cls.name]

    def call(self, method, path, body=None, headers=None, kind="caller"):
        return http_call(self.addresses[kind], method, path, body, headers)

    def admin(self, method, path, token=ADMIN_TOKEN):
        headers = {"authorization": f"Bearer {token}"}
        return self.call(method, f"/admin/v1/{path}", headers=headers, kind="admin")

    def query(self, headers=None):
        # A long deadline, for busy machines.
        headers = {"almondtide-deadline-ms": "5000", **(headers or {})}
        return self.call("POST", "/v1/workloads/advisory/query", QUERY, headers)

    def log_lines(self):
        with open(f"{self.fleet.directory}/{self.name}.log", encoding="utf-8") as log:
            return log.read().splitlines()

    def wait_until_idle(self):
        """Return the status report once no request or caller connection is open."""
        for _ in range(100):
            status = self.admin("GET", "status")[2]
            if status["connections"]["caller"] == 0 and status["running"] == 0:
                return status
            time.sleep(0.05)
        self.fail(f"connections stay open: {status}")

    def exchange_raw(self, data):
        sock = dial(self.addresses["caller"], data)
        sock.shutdown(socket.SHUT_WR)
        return parse_responses(read_all(sock))

    def test_bad_requests_get_a_code_and_one_log_line(self):
        self.query()
        before = self.wait_until_idle()["tasks"]
        lines = len(self.log_lines())
        path = "/v1/workloads/advisory/query"
        deep = json.loads("[" * 100 + "]" * 100)
        cases = [
            ("GET", "/nope", None, {}, ResultCode.NOT_FOUND),
            ("GET", path, None, {}, ResultCode.METHOD_NOT_ALLOWED),
            ("POST", "/v1/workloads/nope/query", {}, {}, ResultCode.UNKNOWN_WORKLOAD),
            ("POST", "/v1/workloads/%0A/query", {}, {}, ResultCode.UNKNOWN_WORKLOAD),
            ("POST", path, deep, {}, ResultCode.BAD_REQUEST),
            ("POST", path, "x" * 300_000, {}, ResultCode.BODY_TOO_LARGE),
        ]
        for text in ("", "x", "nan", "-1", "1e99", "²"):
            header = {"almondtide-deadline-ms": text}
            cases.append(("POST", path, QUERY, header, ResultCode.BAD_REQUEST))
        expired = {"almondtide-deadline-ms": "0"}
        cases.append(("POST", path, QUERY, expired, ResultCode.DEADLINE_EXCEEDED))
        for text in ("", "é", "x" * 129):
            header = {"almondtide-request-id": text}
            cases.append(("POST", path, QUERY, header, ResultCode.BAD_REQUEST))
        revise = path.replace("query", "revise")
        for text in ("", "x", "a~b~²~c", "a~b~0~é", "a~b~0~" + "c" * 65):
            header = {"almondtide-execution-id": text}
            cases.append(
                ("POST", revise, {"key": 1}, header, ResultCode.EXECUTION_ID_INVALID)
            )
        for method, target, body, headers, code in cases:
            status, answered, decoded = self.call(method, target, body, headers)
            case = (method, target, str(headers)[:60])
            self.assertEqual(code, decoded["code"], case)
            self.assertTrue(400 <= status < 500 or status == 504, case)
            self.assertTrue(decoded["not_run"], case)
            self.assertEqual(str(int(code)), answered["almondtide-result-code"], case)
        self.assertEqual(ResultCode.OK, self.query()[2]["code"])
        # An idle daemon has written all its lines: exactly one for each request.
        self.wait_until_idle()
        written = [parse_log_line(line) for line in self.log_lines()[lines:]]
        refusals = [code for name, code in written if name not in PEER_STATE_EVENTS]
        self.assertEqual([str(int(case[-1])) for case in cases], refusals)
        self.assertTrue(self.wait_until_idle()["tasks"] <= before + 2)

    def test_bad_json(self):
        data = (
            b"POST /v1/workloads/advisory/query HTTP/1.1\r\nhost: h\r\n"
            b"content-length: 1\r\n\r\n{"
        )
        ((status, _, body),) = self.exchange_raw(data)
        self.assertEqual((400, ResultCode.BAD_REQUEST), (status, body["code"]))

    def test_connection_limit(self):
        """Connections over the limit are refused at once; the others are served."""
        self.wait_until_idle()
        idle_sockets = [dial(self.addresses["caller"]) for _ in range(MAX_CONNECTIONS)]
        self.addCleanup(lambda: [sock.close() for sock in idle_sockets])
        time.sleep(0.3)
        request = b"GET /v1/health HTTP/1.1\r\nhost: h\r\n\r\n"
        ((status, _, body),) = parse_responses(
            read_all(dial(self.addresses["caller"], request))
        )
        self.assertEqual((503, ResultCode.OVERLOADED), (status, body["code"]))
        self.assertTrue(body["not_run"])
        self.assertTrue(body["retry_after_ms"] > 0)
        idle_sockets[0].sendall(
            request.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")
        )
        self.assertEqual(200, parse_responses(read_all(idle_sockets[0]))[0][0])
        for sock in idle_sockets:
            sock.close()
        self.wait_until_idle()

    def test_abandoned_connections_leave_no_tasks(self):
        self.query()
        before = self.wait_until_idle()["tasks"]
        for address in (self.addresses["caller"], self.addresses["peer"]):
            for data in (b"", b"GET", b"\x00" * 1000, b"POST / HTTP/1.1\r\n"):
                dial(address, data).close()
        self.assertTrue(self.wait_until_idle()["tasks"] <= before + 2)
        self.assertEqual(ResultCode.OK, self.query()[2]["code"])

    def test_admin_authorization(self):
        for path in ("status", "events", "nope", "drain"):
            status, _, body = self.admin("GET", path, token="wrong-token")
            self.assertEqual((401, ResultCode.UNAUTHORIZED), (status, body["code"]))
        status, _, _ = self.call("GET", "/admin/v1/status", kind="admin")
        self.assertEqual(401, status)
        self.assertEqual(405, self.admin("GET", "drain")[0])
        self.assertEqual(405, self.admin("POST", "status")[0])
        self.assertEqual(404, self.admin("GET", "nope")[0])
        for query in ("after=x", "limit=0", "limit=99999", "after=-1,0", "kind=x"):
            self.assertEqual(400, self.admin("GET", f"events?{query}")[0])

    def test_reports(self):
        self.query()
        for name in (
            "status",
            "members",
            "owners",
            "configuration",
            "queues",
            "limits",
            "quarantine",
            "events",
        ):
            status, _, body = self.admin("GET", name)
            self.assertEqual(200, status)
            self.assertTrue(body, name)

    def test_metrics(self):
        """All metrics are exported; unknown workload names do not become labels."""
        self.query()
        self.call("POST", "/v1/workloads/invented/query", QUERY)
        sock = dial(
            self.addresses["admin"],
            b"GET /metrics HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
            b"authorization: Bearer " + ADMIN_TOKEN.encode() + b"\r\n\r\n",
        )
        text = read_all(sock).decode()
        self.assertIn('almondtide_queries_total{code="0",workload="advisory"}', text)
        self.assertIn('almondtide_queries_total{code="101",workload="unknown"}', text)
        self.assertNotIn("invented", text)
        self.assertIn('almondtide_query_seconds_bucket{le="+Inf"', text)
        for name in GAUGES:
            self.assertIn(f"\nalmondtide_{name}", text)
        for name in COUNTERS:
            self.assertIn(f"# TYPE almondtide_{name}_total counter", text)
        for name in HISTOGRAMS:
            self.assertIn(f"# TYPE almondtide_{name} histogram", text)

    def test_events_explain_a_request(self):
        self.assertEqual(200, self.query({"almondtide-request-id": "traced"})[0])
        events = self.admin("GET", "events?limit=10000")[2]["events"]
        names = [
            event["event"]
            for event in events
            if event["fields"].get("request_id") == "traced"
        ]
        self.assertEqual("query_received", names[0])
        self.assertEqual("query_planned", names[1])
        self.assertIn("sub_requests_sent", names)
        self.assertEqual("query_answered", names[-1])

    def test_log_is_one_line_per_event(self):
        self.call("POST", "/v1/workloads/%0Aevent=forged/query", QUERY)
        for line in self.log_lines():
            self.assertIn("] event=", line)
            self.assertIn(f"instance={self.name} incarnation=", line)
