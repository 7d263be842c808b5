"""Entries are restarted one after the other, while a request crashes servers."""

import os
import sys
import tempfile

import curio

from review.second.crashing import CONTACT_S, CrashingRequest
from review.second.fleet import Record, ReviewFleet, finish

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The caller sends the request again after this long, in s.
RESEND_S = 1.0
# Sends to each entry after its restart. It is in touch by then.
SENDS_PER_ENTRY = 3
SETTLED_S = CONTACT_S + 1.0
FIRST_ROUNDS = 2


async def send_again(request, entry):
    """Send the request, and wait until its caller would send it again."""
    await request.send(entry)
    await curio.sleep(RESEND_S)


async def main(folder, record):
    """Run the case; return its exit status."""
    async with ReviewFleet(folder, daemons=3, servers=4) as fleet:
        request = CrashingRequest(fleet, record)
        await request.start()
        entries = range(len(fleet.hosts))
        for _ in range(FIRST_ROUNDS):
            for entry in entries:
                await send_again(request, entry)
        for entry in entries:
            if HAS_TROUBLE:
                record.add("entry_stopped", entry=entry)
                await fleet.restart_daemon(entry)
                record.add("entry_started", entry=entry)
            await curio.sleep(SETTLED_S)
            for _ in range(SENDS_PER_ENTRY):
                await send_again(request, entry)
        await request.stop()
        return finish(record, *request.verdict())


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(curio.run(main, folder, Record(sys.argv[1])))
