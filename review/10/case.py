"""A request crashes servers and comes again with another value of a trace header."""

import os
import sys
import tempfile
import uuid

import curio

from review.second.crashing import CrashingRequest
from review.second.fleet import Record, ReviewFleet, finish

# Without the disruption the request crashes nothing.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The caller sends the request again after this long, in s.
RESEND_S = 1.5
SENDS = 16


async def main(folder, record):
    """Run the case; return its exit status."""
    async with ReviewFleet(folder, daemons=3, servers=4) as fleet:
        request = CrashingRequest(fleet, record, has_crashes=HAS_TROUBLE)
        await request.start()
        for number in range(SENDS):
            trace = f"00-{uuid.uuid4().hex}-{uuid.uuid4().hex[:16]}-01"
            headers = {"traceparent": trace}
            if await request.send(number % len(fleet.hosts), headers) == 200:
                break
            await curio.sleep(RESEND_S)
        await request.stop()
        return finish(record, *request.verdict())


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(curio.run(main, folder, Record(sys.argv[1])))
