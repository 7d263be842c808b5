"""Tests of the replay of load patterns."""

import pathlib
import tempfile

import testtools

from bench import replay
from bench.replay import (
    LATE_VALUE,
    play_pattern,
    read_pattern,
    replay_pattern,
    summarize,
    summarize_windows,
)
from standins.server_model import CallerResult, ServerFault

PATTERNS = sorted((pathlib.Path(replay.__file__).parent / "patterns").glob("*.toml"))


def _result(sent_at, status, latency_s, covered=1.0):
    result = CallerResult(sent_at, 0.1)
    result.status, result.latency_s, result.covered = status, latency_s, covered
    return result


class SummaryTest(testtools.TestCase):
    """Guards against figures that hide late, partial or failed answers."""

    def test_values_and_worst_windows(self):
        figures = summarize(
            [
                _result(0.0, 200, 0.05),
                _result(0.5, 200, 0.05, covered=0.5),
                _result(2.5, 200, 0.5),
                _result(4.5, 503, 0.0),
            ]
        )
        self.assertEqual((4, 0.75, 0.5), tuple(figures.values())[:3])
        self.assertAlmostEqual((1.25 + LATE_VALUE) / 4, figures["value"], places=2)
        self.assertAlmostEqual(LATE_VALUE / 2, figures["worst windows"], places=3)


class PatternTest(testtools.TestCase):
    """Guards against patterns that no longer play, or play differently each time."""

    def _shrunk(self, path):
        pattern = read_pattern(path)
        pattern["seconds"] = 3.0
        pattern["entries"] = 2
        for fault in pattern.get("faults", ()):
            fault["at_s"] = 1.0
        for route in pattern["routes"]:
            route["per_s"] /= 4
        return pattern

    def test_every_pattern(self):
        self.assertTrue(PATTERNS)
        for path in PATTERNS:
            figures = replay_pattern(self._shrunk(path), 3)
            self.assertTrue(figures["requests"] > 10, path)
            self.assertTrue(figures["served"] > 0.5, (path, figures))

    def test_equal_seeds_give_equal_figures(self):
        path = next(path for path in PATTERNS if path.stem == "across-slow")
        figures = [replay_pattern(self._shrunk(path), seed) for seed in (1, 1, 2)]
        self.assertEqual(figures[0], figures[1])
        self.assertNotEqual(figures[0], figures[2])

    def test_best_value_counts_only_servers_that_answer(self):
        # A bound that counts lost servers would blame the entry for what nobody can
        # serve.
        pattern = {
            "load": "one of two shards is lost",
            "seconds": 2.0,
            "services": [{"name": "s", "count": 2, "work_ms": 10.0}],
            "routes": [
                {
                    "name": "search",
                    "services": "s",
                    "shards": 2,
                    "per_s": 20.0,
                    "objective_ms": 100,
                    "deadline_ms": 200,
                }
            ],
            "faults": [
                {"kind": "silent", "services": "s", "at_s": 1.0, "for_s": 9.0},
            ],
        }
        for min_coverage, best_value in ((0.5, 0.25), (1.0, 0.0)):
            pattern["routes"][0]["min_coverage"] = min_coverage
            results = play_pattern(pattern, 1).callers.results
            before, after = summarize_windows(results, window_s=1.0)[:2]
            self.assertEqual(
                (1.0, best_value), (before["best value"], after["best value"])
            )

    def test_crossing_share(self):
        pattern = read_pattern(next(p for p in PATTERNS if p.stem == "shared-machines"))
        pattern["seconds"] = 1.0
        replay = play_pattern(pattern, 1)
        self.assertTrue(0.0 < replay.crossing_share() < 0.5, replay.crossing_share())

    def test_unknown_faults_and_missing_fields(self):
        with testtools.ExpectedException(ValueError):
            ServerFault("tired", 0.0, 1.0)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "none.toml"
            path.write_text('load = "none"\n')
            with testtools.ExpectedException(ValueError, ".*seconds is missing"):
                read_pattern(path)
