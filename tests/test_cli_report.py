"""Tests of the commands ``fleet`` and ``report``."""

import contextlib
import io
import json
import pathlib
import socket
import sys
import tempfile
import threading
from unittest import mock

import orjson
import testtools

from almondtide import cli
from almondtide.cli_report import _group_rows, summarize_metrics
from almondtide.entry.metrics import LatencyHistogram, MetricFamily, render_metrics
from tests.platform.test_journal import RUN


def _metrics(carries=1, calls=7):
    answers = {
        (("route", "r-1"), ("status", 200), ("code", 0)): 40,
        (("route", "r-1"), ("status", 503), ("code", 200)): 3,
        (("route", "r-2"), ("status", 504), ("code", 303)): 2,
    }
    latency = LatencyHistogram()
    latency.observe(0.02)
    return render_metrics(
        [
            MetricFamily("counter", "answers", "Answers.", answers),
            MetricFamily("histogram", "answer_seconds", "Time.", {(): latency}),
            MetricFamily("gauge", "carries", "Carries.", {(): carries}),
            MetricFamily("gauge", "store_calls", "Calls.", {(): calls}),
            MetricFamily("gauge", "knowledge_age_seconds", "Age.", {(): 0.4}),
        ]
    )


class _MetricsServer(threading.Thread):
    """Answers one request with ``body``."""

    def __init__(self, body):
        super().__init__(daemon=True)
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.body = body.encode() if isinstance(body, str) else body
        self.start()

    def run(self):
        conn, _ = self.sock.accept()
        with conn:
            conn.recv(65536)
            head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(self.body)}\r\n\r\n"
            conn.sendall(head.encode() + self.body)


def _run(*argv):
    """Return (status, standard output, standard error) of the command line."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        status = cli.run(list(argv))
    return status, out.getvalue(), err.getvalue()


class FleetTest(testtools.TestCase):
    """Checks that refusals and entries that do not answer are shown."""

    def test_summary(self):
        summary = summarize_metrics(_metrics().decode())
        self.assertEqual((45, 3, 2), tuple(summary[k] for k in _COUNT_COLUMNS))
        self.assertTrue(summary["carries"])
        self.assertEqual((7, 0.4), (summary["store_calls"], summary["age_s"]))

    def test_table_with_an_entry_that_does_not_answer(self):
        servers = [_MetricsServer(_metrics()), _MetricsServer(_metrics(0, 0))]
        with socket.create_server(("127.0.0.1", 0)) as closed:
            closed_address = f"127.0.0.1:{closed.getsockname()[1]}"
        addresses = ",".join([*(server.address for server in servers), closed_address])
        status, out, _ = _run("fleet", "--metrics", addresses)
        self.assertEqual(1, status)
        lines = out.splitlines()
        self.assertEqual(4, len(lines))
        self.assertIn("yes", lines[1])
        self.assertIn("no", lines[2])
        self.assertTrue(lines[3].startswith(f"{closed_address}: no metrics"), lines[3])

    def test_text_without_metrics_is_no_error(self):
        server = _MetricsServer("<html>\nalmondtide_entry_carries x\n")
        status, out, _ = _run("fleet", "--metrics", server.address, "--output", "json")
        self.assertEqual(0, status)
        self.assertEqual(0, json.loads(out)[0]["answers"])

    def test_addresses_are_required(self):
        status, _, err = _run("fleet")
        self.assertEqual(cli.USAGE_STATUS, status)
        self.assertIn("--metrics", err)


_COUNT_COLUMNS = ("answers", "refused", "failed")


class ReportTest(testtools.TestCase):
    """Checks that a report shows all selected days and all problems."""

    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.folder = pathlib.Path(directory.name)
        for number, site in enumerate(("vsw", "smaeh", "vsw")):
            run = {**RUN, "site": site, "at": [f"2026-12-0{number + 1}", "x"]}
            path = self.folder / f"{number}.json"
            path.write_bytes(orjson.dumps(run))

    def test_table(self):
        status, out, _ = _run("report", str(self.folder))
        self.assertEqual(0, status)
        self.assertEqual(4, len(out.splitlines()))
        self.assertIn("DRAIN:38", out)
        self.assertIn("machine-seconds 0.05, cloud calls 0.01", out)

    def test_filters(self):
        for options, count in (
            (["--site", "vsw"], 2),
            (["--site", "vsw", "--last", "1"], 1),
            (["--day", "scale"], 3),
            (["--day", "quiet"], 0),
        ):
            status, out, _ = _run(
                "report", str(self.folder), *options, "--output", "json"
            )
            self.assertEqual(0, status)
            self.assertEqual(count, len(json.loads(out)["days"]), options)

    def test_problems_are_shown(self):
        (self.folder / "9.json").write_bytes(b"[")
        status, out, err = _run("report", str(self.folder))
        self.assertEqual(1, status)
        self.assertIn("9.json", err)
        self.assertEqual(4, len(out.splitlines()))

    def test_invalid_arguments(self):
        status, _, err = _run("report", str(self.folder), "--last", "-1")
        self.assertEqual(cli.USAGE_STATUS, status)
        self.assertIn("--last", err)
        status, _, err = _run("report", "no-such-directory")
        self.assertNotEqual(0, status)
        self.assertIn("no-such-directory", err)

    def test_plot(self):
        path = self.folder / "plot.png"
        status, _, _ = _run("report", str(self.folder), "--plot", str(path))
        self.assertEqual(0, status)
        self.assertTrue(path.read_bytes().startswith(b"\x89PNG"))

    def test_a_plot_has_a_panel_for_each_site(self):
        rows = [
            {"at": f"2026-12-0{day}T01:00:00Z", "site": site, "day": name, "worth": w}
            for day, site, name, w in (
                (2, "b", "quiet-1", 0.8),
                (1, "b", "quiet-1", 0.7),
                (1, "a", "scale-1", 0.6),
                (1, "a", "scale-2", None),
            )
        ]
        panels = _group_rows(rows)
        self.assertEqual(["a", "b"], list(panels))
        self.assertEqual([0.7, 0.8], [worth for _, worth in panels["b"]["quiet-1"]])
        self.assertEqual(["scale-1"], list(panels["a"]))

    def test_plot_to_an_invalid_path(self):
        path = str(self.folder / "none" / "plot.png")
        status, _, err = _run("report", str(self.folder), "--plot", path)
        self.assertEqual(cli.USAGE_STATUS, status)
        self.assertIn("--plot", err)

    def test_plot_without_the_library(self):
        with mock.patch.dict(sys.modules, {"matplotlib": None}):
            status, _, err = _run("report", str(self.folder), "--plot", "x.png")
        self.assertEqual(cli.USAGE_STATUS, status)
        self.assertIn("extra 'plots'", err)
