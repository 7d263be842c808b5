"""Tests of log lines and of the ring buffers of events."""

import io
import logging as stdlib_logging
import sys

import orjson
import testtools
from absl import logging
from hypothesis import given
from hypothesis import strategies as st

from almondtide.clock import MemoryClock
from almondtide.events import EventRing
from almondtide.logs import (
    MAX_LINES_PER_SECOND,
    Log,
    _LineFormatter,
    format_event,
)

ANY_VALUE = st.text(st.characters(exclude_categories=())) | st.integers() | st.none()


class FormatEventTest(testtools.TestCase):
    """Checks that no value can end its log line or look like another field."""

    @given(st.dictionaries(st.sampled_from("abc"), ANY_VALUE), st.text())
    def test_one_line_for_any_content(self, fields, name):
        line = format_event(name, fields)
        self.assertEqual(1, len(line.splitlines()))
        self.assertTrue(line.isprintable())

    @given(st.text(max_size=30))
    def test_quoting_marks_the_end_of_a_value(self, value):
        line = format_event("x", {"a": value, "b": 1})
        rest = line.removeprefix("event=x a=")
        if rest.startswith('"'):
            index = 1
            while rest[index] != '"':
                index += 2 if rest[index] == "\\" else 1
            rest = rest[index + 1 :]
        else:
            rest = rest[len(value) :]
        self.assertEqual(" b=1", rest)

    def test_examples(self):
        self.assertEqual(
            'event=x a="" b="1 2" c="a\\"\\\\\\n\\u2028" d=None',
            format_event("x", {"a": "", "b": "1 2", "c": 'a"\\\n\u2028', "d": None}),
        )
        self.assertEqual("event=x a=b,c", format_event("x", {"a": ["b", "c"]}))


class LogTest(testtools.TestCase):
    """Guards a daemon against callers that cause many log lines."""

    def test_lines_are_limited(self):
        logger = logging.get_absl_logger()
        stream = io.StringIO()
        handler = stdlib_logging.StreamHandler(stream)
        logger.addHandler(handler)
        self.addCleanup(logger.removeHandler, handler)
        verbosity = logging.get_verbosity()
        self.addCleanup(logging.set_verbosity, verbosity)
        logging.set_verbosity(logging.INFO)
        log = Log(instance="i")
        for _ in range(3 * MAX_LINES_PER_SECOND):
            log.info("flood", path="/x")
        count = stream.getvalue().count("event=flood")
        # The loop may run across the end of a second.
        self.assertTrue(MAX_LINES_PER_SECOND <= count <= 2 * MAX_LINES_PER_SECOND)
        self.assertIn("event=flood path=/x instance=i", stream.getvalue())


class LibraryMessageTest(testtools.TestCase):
    """Checks that tracebacks of libraries are written on one line."""

    def test_traceback_is_one_line(self):
        try:
            raise ValueError("a\nb")
        except ValueError:
            record = stdlib_logging.LogRecord(
                "curio", stdlib_logging.ERROR, "f.py", 1, "crash\n", (), sys.exc_info()
            )
        line = _LineFormatter({"instance": "i"}).format(record)
        self.assertEqual(1, len(line.splitlines()))
        self.assertIn("] event=library_message logger=curio", line)
        self.assertIn("ValueError", line)
        self.assertTrue(line.endswith(" instance=i"))


class EventRingTest(testtools.TestCase):
    """Guards the timeline against lost, unordered or unreadable events."""

    def test_request_events_do_not_evict_daemon_events(self):
        ring = EventRing(MemoryClock(), 16)
        log = Log(ring)
        ring.record("started")
        for number in range(100):
            log.trace("query", number=number)
        events = ring.since()
        self.assertEqual("started", events[0].name)
        self.assertEqual(17, len(events))
        self.assertEqual((0, 84), (ring.dropped, ring.dropped_requests))
        self.assertEqual(1, len(ring.since(kind="daemon")))
        self.assertEqual(16, len(ring.since(kind="requests")))

    def test_refusals_do_not_evict_daemon_events(self):
        ring = EventRing(MemoryClock(), 16)
        log = Log(ring)
        ring.record("started")
        for _ in range(100):
            log.refusal("request_refused", reason="x")
        self.assertEqual(["started"], [e.name for e in ring.since(kind="daemon")])
        self.assertEqual("request_refused", ring.since()[-1].name)

    def test_order_and_paging(self):
        clock = MemoryClock()
        ring = EventRing(clock, 100)
        for number in range(20):
            ring.record("a", number=number)
            ring.record_request("b", {"number": number})
            clock.advance(0.0004)
        read = []
        after = (0, 0)
        while page := ring.since(after, 7):
            read.extend(page)
            after = page[-1].timestamp
        numbers = [(event.fields["number"], event.name) for event in read]
        self.assertEqual([(n, name) for n in range(20) for name in "ab"], numbers)

    @given(st.dictionaries(st.text(max_size=3), ANY_VALUE))
    def test_any_field_becomes_json(self, fields):
        fields = {key: value for key, value in fields.items() if key.isascii()}
        ring = EventRing(MemoryClock())
        ring.record_request("x", {**fields, "bytes": b"\xff", "list": ["\ud800", 1]})
        orjson.dumps(
            [event.to_dict("i") for event in ring.since()],
            option=orjson.OPT_NON_STR_KEYS,
        )
