"""Tests of the time that the process has run."""

import testtools

from almondtide.entry.run_time import MAX_GAP_S, MAX_PAUSES, TICK_S, RunTime


def _run(run_time, start, end):
    """Tick from ``start`` to ``end``; return the time of the last tick."""
    count = round((end - start) / TICK_S)
    for number in range(count + 1):
        run_time.tick(start + number * TICK_S)
    return start + count * TICK_S


class RunTimeTest(testtools.TestCase):
    """Guards against counting pauses of the process as time in which it ran."""

    def test_all_time_counts_without_ticks(self):
        self.assertEqual(3.0, RunTime().ran_s(1.0, 4.0))

    def test_all_time_counts_while_it_runs(self):
        run_time = RunTime()
        end = _run(run_time, 0.0, 2.0)
        self.assertAlmostEqual(1.5, run_time.ran_s(0.5, end))

    def test_a_pause_does_not_count_before_the_next_tick(self):
        # Requests that arrived during a pause may be handled before any tick.
        run_time = RunTime()
        end = _run(run_time, 0.0, 1.0)
        self.assertAlmostEqual(0.1 + MAX_GAP_S, run_time.ran_s(end - 0.1, end + 5.0))

    def test_a_pause_does_not_count_after_the_next_tick(self):
        run_time = RunTime()
        end = _run(run_time, 0.0, 1.0)
        end = _run(run_time, end + 2.0, end + 2.5)
        self.assertAlmostEqual(0.2 + MAX_GAP_S + 0.5, run_time.ran_s(0.8, end))
        self.assertAlmostEqual(0.3, run_time.ran_s(end - 0.3, end))

    def test_a_period_that_begins_within_a_pause(self):
        run_time = RunTime()
        end = _run(run_time, 0.0, 1.0)
        end = _run(run_time, end + 2.0, end + 2.5)
        self.assertAlmostEqual(0.5, run_time.ran_s(2.0, end))
        self.assertAlmostEqual(0.0, run_time.ran_s(2.0, 3.0))

    def test_a_starved_process_still_sees_time_pass(self):
        # Ticks come late all the time, but a silent server must still be found.
        run_time = RunTime()
        for number in range(20):
            run_time.tick(number * 0.3)
        self.assertAlmostEqual(10 * MAX_GAP_S, run_time.ran_s(2.7, 5.7))

    def test_kept_pauses_are_bounded(self):
        run_time = RunTime()
        for number in range(10 * MAX_PAUSES):
            run_time.tick(float(number))
        end = 10.0 * MAX_PAUSES - 1.0
        ran_s = run_time.ran_s(end - MAX_PAUSES, end)
        self.assertAlmostEqual(MAX_PAUSES * MAX_GAP_S, ran_s)
