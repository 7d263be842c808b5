"""Some servers fail a part of the requests that they have run, with status 503."""

import collections
import os
import random
import sys
import tempfile

import curio

from almondtide.adapters.http import HTTPResponse
from review.second.fleet import Record, ReviewFleet, finish
from standins.entry_fleet import UNSAFE_SERVICE

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SETTLING_S = 3.0
WRITES = 300
WRITE_INTERVAL_S = 0.05
# One of three servers fails this part of its requests.
FAILING_SERVERS = 1
FAILING_SHARE = 0.4
SERVICE_TIME_S = 0.02
PROMISES = (408, 421, 429, 503)


class Case:
    """Sends writes and compares their answers with what ran."""

    def __init__(self, fleet, record):
        self._fleet = fleet
        self._record = record
        self._random = random.Random(1)
        self.failed_ids = set()
        self.statuses = {}

    def start_trouble(self):
        """Let some servers of the service fail requests; they stay healthy."""
        servers = [
            server
            for server in self._fleet.servers.values()
            if server.service == UNSAFE_SERVICE
        ]
        for server in servers:
            server.service_time_s = SERVICE_TIME_S
        for server in servers[:FAILING_SERVERS] if HAS_TROUBLE else ():
            server.override_response = lambda request, id=server.id: self._fail(
                id, request
            )

    def _fail(self, id, request):
        request_id = request.headers["request-id"]
        if self._random.random() >= FAILING_SHARE:
            return None
        self.failed_ids.add(request_id)
        self._record.add("run_failed", server=id, request=request_id, status=503)
        headers = {"server-stamp": f"{id}.{request_id}", "request-id": request_id}
        return HTTPResponse(503, b"failed", headers)

    async def write(self, number):
        """Send one write, and once more after a promise that it has not run."""
        if await self._send(number, f"w-{number}") in PROMISES:
            await self._send(number, f"w-{number}-again")

    async def _send(self, number, request_id):
        entry = number % len(self._fleet.hosts)
        body = b"draft %d" % number
        try:
            status, _, _ = await self._fleet.write(entry, request_id, body)
        except (OSError, curio.TaskTimeout) as exc:
            status = type(exc).__name__
        self.statuses[request_id] = status
        self._record.add("answered", request=request_id, status=status)
        return status

    def _runs(self):
        return [run for server in self._fleet.servers.values() for run in server.runs]

    def doubled_drafts(self):
        """Return the bodies that ran more than once."""
        counts = collections.Counter(request.body for _, request, _ in self._runs())
        return sorted(body for body, count in counts.items() if count > 1)

    def false_promises(self):
        """Return the ids of writes that were answered as not run, and have run."""
        ran = {id for id, _, _ in self._runs()}
        return sorted(
            id
            for id, status in self.statuses.items()
            if status in PROMISES and id in ran
        )


async def main(folder, record):
    """Run the case; return its exit status."""
    async with ReviewFleet(folder, daemons=3, servers=3) as fleet:
        await curio.sleep(SETTLING_S)
        case = Case(fleet, record)
        case.start_trouble()
        async with curio.TaskGroup() as writes:
            for number in range(WRITES):
                await writes.spawn(case.write, number)
                await curio.sleep(WRITE_INTERVAL_S)
        false = case.false_promises()
        text = (
            f"{len(false)} of {WRITES} writes answered as not run have run"
            f" ({len(case.failed_ids)} failed after their run); sent again,"
            f" {len(case.doubled_drafts())} drafts ran twice"
        )
        return finish(record, bool(false), text)


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(curio.run(main, folder, Record(sys.argv[1])))
