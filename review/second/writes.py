"""A steady flow of requests that may run once only, of other callers."""

import time

import curio

__all__ = ["Writes"]

# The entry answers so when the reply of the server that ran the request was lost.
LOST_STATUS = 502


class Writes:
    """Sends ``per_s`` writes a second to the entries in turn.

    ``statuses`` counts the answers by status.
    """

    def __init__(self, fleet, record, per_s):
        self._fleet = fleet
        self._record = record
        self._interval_s = 1.0 / per_s
        self._task = None
        self.statuses = {}

    @property
    def lost_count(self):
        """Number of writes whose outcome is unknown."""
        return self.statuses.get(LOST_STATUS, 0)

    async def start(self):
        """Begin to send."""
        self._task = await curio.spawn(self._run, daemon=True)

    async def stop(self):
        """Send no more."""
        await self._task.cancel()

    async def _run(self):
        number = 0
        next_at = time.monotonic()
        while True:
            await curio.spawn(self._write, number, daemon=True)
            number += 1
            next_at += self._interval_s
            await curio.sleep(max(0.0, next_at - time.monotonic()))

    async def _write(self, number):
        entry = number % len(self._fleet.hosts)
        try:
            status, _, _ = await self._fleet.write(entry, f"w-{number}")
        except (OSError, curio.TaskTimeout) as exc:
            status = type(exc).__name__
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status != 200:
            self._record.add("write_answered", request=f"w-{number}", status=status)
