"""Entries that are stopped and started in turn forget what crashes servers."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))

import crash_case  # noqa: E402
import kit  # noqa: E402

TARGET = "/poison"
# The request comes again after this time, in s.
AGAIN_AFTER_S = 5.0
# An entry that was stopped is started again after this time, in s.
RESTART_S = 0.5


async def traffic(fleet):
    """Send the request, and stop and start the entries in turn meanwhile.

    It comes to the entry that was started last, when that is in touch again.
    """
    for number in range(3):
        await crash_case.send(fleet, number, TARGET)
        await asyncio.sleep(AGAIN_AFTER_S)
    for number in range(3):
        if kit.TROUBLE:
            await restart(fleet, number)
        else:
            await asyncio.sleep(6.0)
        await asyncio.sleep(fleet.bounds["contact_ms"] / 1000 + 1.0)
        for _ in range(2):
            await crash_case.send(fleet, number, TARGET)
            await asyncio.sleep(AGAIN_AFTER_S)


async def restart(fleet, number):
    """Stop an entry as the platform does, and start it again."""
    process = fleet.processes[number]
    process.send_signal(signal.SIGTERM)
    fleet.record("stop", entry=number)
    end = time.monotonic() + fleet.bounds["grace_s"]
    while process.poll() is None and time.monotonic() < end:
        await asyncio.sleep(0.02)
    if process.poll() is None:
        process.kill()
        process.wait()
    await asyncio.sleep(RESTART_S)
    fleet.start_entry(number)
    while not await fleet.is_ready(number):
        await asyncio.sleep(0.05)


kit.main(__file__, lambda folder: crash_case.play(folder, traffic))
