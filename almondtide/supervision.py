"""Supervision of the tasks that must run as long as their daemon.

Answers the fault in which one unexpected error ends a task, and the daemon lives on
without it: deaf to its peers, or without timers.
"""

import collections
import signal
import traceback

import curio

__all__ = ["TASK_FAILURES", "Supervised", "error_place"]

# A failed task starts again after the first of these times, in s. The time doubles
# with each further failure, up to the second.
MIN_RESTART_DELAY_S = 0.05
MAX_RESTART_DELAY_S = 1.0
# A task that fails this often within the window, in s, does not recover by a restart.
MAX_FAILURES = 20
FAILURE_WINDOW_S = 30.0

# Number of failures of each supervised task of this process, by name.
TASK_FAILURES = collections.Counter()


def error_place(exc):
    """Return where an exception was raised, as ``file:line``.

    >>> try:
    ...     int("x")
    ... except ValueError as exc:
    ...     error_place(exc).rpartition(":")[2]
    '2'
    """
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return "unknown"
    return f"{frames[-1].filename.rpartition('/')[2]}:{frames[-1].lineno}"


def _stop_process():
    """Ask the process to shut down in order, as the platform would."""
    signal.raise_signal(signal.SIGTERM)


class Supervised:
    """Runs ``function()``, an async function, and starts it again if it fails.

    Each failure is logged and counted. When the task fails too often in a short time,
    ``on_give_up()`` is called, which shuts the process down unless given. A task that
    returns has ended. Times are in seconds of the monotonic clock ``clock``.
    """

    __slots__ = ("_clock", "_failed_at", "_function", "_log", "_on_give_up", "name")

    def __init__(self, name, function, clock, log, on_give_up=_stop_process):
        self.name = name
        self._function = function
        self._clock = clock
        self._log = log
        self._on_give_up = on_give_up
        self._failed_at = collections.deque(maxlen=MAX_FAILURES)

    async def run(self):
        """Run the task until it returns or is cancelled."""
        while True:
            try:
                await self._function()
                return
            except (Exception, curio.TaskTimeout) as exc:
                delay_s = self._record_failure(exc)
            if delay_s is None:
                self._on_give_up()
                return
            await curio.sleep(delay_s)

    def _record_failure(self, exc):
        """Log a failure; return the delay of the restart in s, None to give up."""
        now = self._clock()
        while self._failed_at and now - self._failed_at[0] > FAILURE_WINDOW_S:
            self._failed_at.popleft()
        self._failed_at.append(now)
        TASK_FAILURES[self.name] += 1
        count = len(self._failed_at)
        is_given_up = count >= MAX_FAILURES
        self._log.error(
            "task_failed",
            task=self.name,
            error=repr(exc),
            at=error_place(exc),
            failures=count,
            given_up=is_given_up,
        )
        if is_given_up:
            return None
        return min(MAX_RESTART_DELAY_S, MIN_RESTART_DELAY_S * 2 ** (count - 1))
