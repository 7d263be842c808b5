"""Timers of one component, run by one task."""

import heapq
import itertools

import curio

from .supervision import TASK_FAILURES, error_place

__all__ = ["Timers"]


class Timers:
    """Calls ``await on_timer(kind, item)`` at the times that were scheduled.

    Times are in seconds of the monotonic clock. Timers cannot be cancelled; the
    callback must ignore a timer that its item no longer needs. A callback that fails
    is written to ``log`` and counted; the other timers still fire.
    """

    __slots__ = ("_clock", "_heap", "_log", "_on_timer", "_order", "_task", "_wake")

    def __init__(self, clock, on_timer, log):
        self._clock = clock
        self._log = log
        self._on_timer = on_timer
        self._heap = []
        self._order = itertools.count()
        self._wake = curio.Event()
        self._task = None

    async def start(self):
        """Start the task."""
        self._task = await curio.spawn(self._run, daemon=True)

    async def stop(self):
        """Cancel the task; the remaining timers don't fire."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def schedule(self, due_s, kind, item):
        """Add a timer that is due at ``due_s``."""
        earliest = not self._heap or due_s < self._heap[0][0]
        heapq.heappush(self._heap, (due_s, next(self._order), kind, item))
        if earliest:
            await self._wake.set()

    async def _run(self):
        while True:
            await self._fire_due()
            self._wake.clear()
            if not self._heap:
                await self._wake.wait()
                continue
            delay_s = max(0.0, self._heap[0][0] - self._clock.monotonic())
            async with curio.ignore_after(delay_s):
                await self._wake.wait()

    async def _fire_due(self):
        now = self._clock.monotonic()
        while self._heap and self._heap[0][0] <= now:
            _, _, kind, item = heapq.heappop(self._heap)
            try:
                await self._on_timer(kind, item)
            except Exception as exc:
                TASK_FAILURES["timer"] += 1
                self._log.error(
                    "timer_failed", kind=kind, error=repr(exc), at=error_place(exc)
                )
