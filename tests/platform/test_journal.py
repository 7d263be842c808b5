"""Tests of the decoder of the benchmark journal."""

import pathlib
import tempfile

import orjson
import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.errors import DocumentError
from almondtide.platform.journal import decode_run, read_journal

JOURNAL = pathlib.Path(__file__).parents[2] / "journal"
RUN = {
    "cmd": "run",
    "at": ["2026-12-04T00:30:40Z", "2026-12-04T00:32:59Z"],
    "site": "vsw",
    "why": "a try",
    "head": "a17397d",
    "score": None,
    "days": [
        {
            "name": "scale-1",
            "G": -0.1,
            "score": 0.4,
            "served": 0.93,
            "refused": 0.0,
            "failed": 0.02,
            "rules": {"DRAIN": 38},
            "parts": [["whole day", 0.35, 0.93], ["worst windows", 0.5, 0.25]],
            "prices": [["machine-seconds", 8732.0, 0.05], ["cloud calls", 9, 0.01]],
        }
    ],
}


class DecodeRunTest(testtools.TestCase):
    """Guards against figures that are read from the wrong field."""

    def test_fields(self):
        run = decode_run(orjson.dumps(RUN))
        self.assertEqual(("2026-12-04T00:30:40Z", "vsw"), (run.at, run.site))
        (day,) = run.days
        self.assertEqual((-0.1, 0.25), (day.worth, day.worst))
        self.assertEqual({"DRAIN": 38}, day.broken)
        self.assertEqual(0.05, day.prices["machine-seconds"])

    def test_all_problems_are_reported(self):
        days = [{"G": "much", "parts": [["x"]]}]
        raw = orjson.dumps({**RUN, "days": days, "score": "x"})
        error = self.assertRaises(DocumentError, decode_run, raw)
        for text in ("score", "days.name", "days.G", "days.parts"):
            self.assertIn(text, error.message)

    def test_an_interrupted_run(self):
        raw = orjson.dumps({**RUN, "at": ["2026-12-04", None], "why": "", "days": None})
        run = decode_run(raw)
        self.assertEqual(("2026-12-04", []), (run.at, run.days))

    @given(st.binary(max_size=40))
    def test_any_bytes(self, raw):
        try:
            decode_run(raw)
        except DocumentError:
            pass


class ReadJournalTest(testtools.TestCase):
    """Guards against journal files that are skipped without a report."""

    def test_the_journal_of_this_repository(self):
        runs, problems = read_journal(JOURNAL)
        self.assertEqual([], problems)
        self.assertEqual(len(list(JOURNAL.glob("*.json"))), len(runs))
        self.assertEqual(sorted(run.at for run in runs), [run.at for run in runs])

    def test_unreadable_files_are_problems(self):
        with tempfile.TemporaryDirectory() as directory:
            folder = pathlib.Path(directory)
            (folder / "a.json").write_bytes(orjson.dumps(RUN))
            (folder / "b.json").write_bytes(b"{")
            runs, problems = read_journal(directory)
        self.assertEqual(1, len(runs))
        self.assertIn("b.json: not valid JSON", problems[0])

    def test_no_directory(self):
        self.assertRaises(DocumentError, read_journal, "no-such-directory")
