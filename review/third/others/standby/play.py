"""Entries that callers are not sent to are not told which requests crash servers."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))

import crash_case  # noqa: E402
import kit  # noqa: E402

# Three in each zone; the directory names two of them.
ENTRIES = 9
ROUNDS = 2
# The request comes again after this time, in s.
AGAIN_AFTER_S = 2.5


async def traffic(fleet):
    """Send the request to one entry after the other."""
    target = "/poison" if kit.TROUBLE else "/sound"
    for _ in range(ROUNDS):
        for number in range(ENTRIES):
            await crash_case.send(fleet, number, target)
            await asyncio.sleep(AGAIN_AFTER_S)


kit.main(__file__, lambda folder: crash_case.play(folder, traffic, entries=ENTRIES))
