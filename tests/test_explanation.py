"""Tests of the command ``explain`` and of what it reads from logs."""

import pathlib
import tempfile

import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.explanation import LOOK_BACK_S, explain_request, parse_log_line
from almondtide.logs import format_event
from tests.test_cli_report import _run

# Lines of played days, shortened, with the prefix that the bench adds.
LOG = """\
  3.1000 front-1 I0408 21:06:20.100000 7 daemon.py:288] event=server_news \
server=i-aa change=usable service=ziye0a revision=131 serves_ms=0 source=store
  9.2000 front-1 I0408 21:06:26.200000 7 dispatch.py:474] event=server_left_out \
server=i-aa service=ziye0a id=q-0 failure=broken for_ms=250
  9.2500 front-2 I0408 21:06:26.250000 7 dispatch.py:474] event=server_left_out \
server=i-aa service=ziye0a id=q-0 failure=broken for_ms=250
  9.3000 front-1 I0408 21:06:26.300000 7 dispatch.py:474] event=server_left_out \
server=i-zz service=other id=q-0 failure=broken for_ms=250
  9.5000 front-1 I0408 21:06:26.500000 7 frontend.py:133] event=request_failed \
id=q-1 route=r-1 status=502 code=301 ms=8.4 version=14 age_ms=955 parts=0/1 left=False \
sends=1 history="ziye0a first@i-aa+0ms i-aa:broken:[Errno 104] \\"reset\\" failed"
 11.0000 front-1 I0408 21:06:28.000000 7 dispatch.py:474] event=server_paused \
server=i-bb service=seda79l id=q-2 asked_ms=2000 for_ms=2000
 11.1000 front-1 I0408 21:06:28.100000 7 frontend.py:133] event=request_failed \
id=q-3 route=r-2 status=503 code=200 ms=0.2 version=14 age_ms=9 parts=0/63 left=False \
sends=0 refused="full: 59 of 63, 60 needed; seda79l full, wuwu18r empty"
 12.0000 front-2 I0408 21:06:29.000000 7 frontend.py:133] event=request \
id=q-3 route=r-2 status=200 code=0 ms=44.0 version=14 age_ms=9 parts=63/63 left=False
 30.0000 front-1 I0408 21:06:47.000000 7 daemon.py:195] event=paused for_s=4.01
 30.0100 front-1 I0408 21:06:47.010000 7 frontend.py:133] event=request_failed \
id=q-4 route=r-3 status=504 code=303 ms=4101.0 version=14 age_ms=9 parts=0/1 \
left=False sends=1 history="nopu96d first@i-cc+0ms failed"
 31.0000 front-1 I0408 21:06:48.000000 7 frontend.py:133] event=request_failed \
id=q-5 route=r-3 status=504 code=306 ms=404.2 version=7 age_ms=9 parts=0/1 left=False \
sends=1 history="ziye0a first@i-aa+0ms i-aa:error:status 504 no more tries failed"
Traceback (most recent call last):
"""
WITHHELD_LOG = """\
 40.0000 front-1 I0408 21:06:57.000000 7 dispatch.py:250] event=status_withheld \
id=q-6 route=r-4 status=503 source=i-dd
 40.0001 front-1 I0408 21:06:57.000100 7 frontend.py:133] event=request_failed \
id=q-6 route=r-4 status=502 code=311 ms=21.0 version=7 age_ms=9 parts=0/1 left=False \
sends=1 history="ziye0a first@i-dd+0ms i-dd:error:status 503 failed"
"""


def _lines(text=LOG, entry="x"):
    found = [parse_log_line(line, entry) for line in text.splitlines()]
    return [line for line in found if line is not None]


class ParseTest(testtools.TestCase):
    """Guards against lines that are lost or read wrongly."""

    def test_lines_and_quotes(self):
        lines = _lines()
        self.assertEqual(11, len(lines))
        self.assertIn('"reset"', lines[4].fields["history"])
        self.assertAlmostEqual(6.4, lines[4].at - lines[0].at)

    def test_a_log_that_names_no_entry(self):
        text = "I0408 21:06:20.100000 7 daemon.py:288] event=ready after_s=0.1"
        [line] = _lines(text, "front-9")
        self.assertEqual(("front-9", "ready"), (line.entry, line.event))

    def test_a_day_that_is_none(self):
        text = "I1399 21:06:20.100000 7 daemon.py:288] event=ready after_s=0.1"
        self.assertEqual([], _lines(text))

    @given(st.text())
    def test_any_text(self, text):
        parse_log_line(text, "x")

    @given(st.text(st.characters(min_codepoint=32, max_codepoint=126)))
    def test_values_that_the_log_quotes(self, value):
        prefix = "I0408 21:06:20.100000 7 daemon.py:288] "
        text = prefix + format_event("request", {"history": value, "id": "q"})
        line = parse_log_line(text, "x")
        self.assertEqual({"history": value, "id": "q"}, line.fields)


class WithheldStatusTest(testtools.TestCase):
    """Guards against a 502 that does not lead to the server that ran the request."""

    def test_the_id_leads_to_server_and_status(self):
        causes = explain_request(_lines(WITHHELD_LOG), "q-6").causes
        self.assertIn("it may have run, status withheld: ziye0a", causes[0])
        self.assertIn("status 503 of i-dd", causes[1])


class ExplainTest(testtools.TestCase):
    """Guards against causes that are missed, and against lines of other requests."""

    def _explain(self, request_id):
        return explain_request(_lines(), request_id)

    def test_a_connection_that_broke(self):
        explanation = self._explain("q-1")
        self.assertEqual(
            ["server_news", "server_left_out"],
            [line.event for line in explanation.lines],
        )
        text = "\n".join(explanation.causes)
        self.assertIn("front-1: status 502 code 301: it may have run", text)
        self.assertIn("0.30 s before: server i-aa of ziye0a was left out", text)
        self.assertNotIn("i-zz", text)

    def test_a_refusal_and_the_next_attempt_at_another_entry(self):
        explanation = self._explain("q-3")
        self.assertEqual(
            ["front-1", "front-2"], [line.entry for line in explanation.attempts]
        )
        text = "\n".join(explanation.causes)
        self.assertIn("refused as not run, full: 59 of 63, 60 needed", text)
        self.assertIn("i-bb of seda79l asked for a pause of 2000 ms", text)
        self.assertIn("front-2: status 200 code 0: served in 44.0 ms", text)

    def test_a_pause_of_the_entry(self):
        text = "\n".join(self._explain("q-4").causes)
        self.assertIn("no answer in 4101.0 ms", text)
        self.assertIn("the entry did not run for 4.01 s", text)

    def test_a_failure_of_the_server(self):
        text = "\n".join(self._explain("q-5").causes)
        self.assertIn("a server's own failure", text)

    def test_lines_long_before_are_left_out(self):
        lines = _lines()
        lines[1].at -= LOOK_BACK_S
        explanation = explain_request(lines, "q-1")
        self.assertNotIn("server_left_out", [line.event for line in explanation.lines])

    def test_unknown_request(self):
        self.assertIsNone(self._explain("q-9"))


class CommandTest(testtools.TestCase):
    """Guards against a command that fails without saying why."""

    def _run(self, *argv):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "front-7.log"
            path.write_text(LOG)
            return _run("explain", argv[0], str(path), *argv[1:])

    def test_text(self):
        status, text, _ = self._run("q-1")
        self.assertEqual(0, status)
        self.assertIn("server_left_out", text)
        self.assertIn("it may have run", text)

    def test_json(self):
        status, text, _ = self._run("q-3", "--output", "json")
        self.assertEqual(0, status)
        self.assertIn('"attempts":[{"at":', text)

    def test_unknown_request(self):
        status, _, error = self._run("q-9")
        self.assertEqual(1, status)
        self.assertIn("no entry has read q-9", error)

    def test_missing_file(self):
        status, _, error = _run("explain", "q-1", "/nowhere/front-7.log")
        self.assertEqual(2, status)
        self.assertIn("/nowhere/front-7.log: No such file", error)
