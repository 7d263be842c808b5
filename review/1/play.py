"""An entry without links hands a request on again after the server's own 404."""

import asyncio
import collections
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from harness.case import BROKEN, HELD, NOT_RUN, main  # noqa: E402
from harness.server import ports_of_process  # noqa: E402

SERVICE = "redaccion"
HOST = "sheets.example"
CUT_ENTRY = 0
CUT_S = 5.0
WARM_S = 5.0
# Each beat the entries that are not cut get so many look-ups at once, which keeps their
# connections to each server in use; the warm-up opens more of them than are needed
# later. The revisions come between two bursts. So these entries open no connection
# during the cut, although the servers refuse all new ones.
BEAT_S = 0.4
WARM_BURST = 24
BURST = 8
REVISIONS_AT_S = (0.15, 0.3)


async def play(case):
    """Cut one entry off from the servers while its clients go on."""
    servers = await case.add_servers(SERVICE, 4, work_s=0.02)
    for server in servers:
        server.statuses["/sheets/missing/"] = (404, "Not Found")
    route = {
        "name": "revise",
        "host": HOST,
        "prefix": "/sheets/",
        "route_type": "unsafe",
        "timeout_ms": 4000,
        "target_latency_ms": 600,
        "priority": 2,
        "service": SERVICE,
        "max_attempts": 2,
    }
    lookup = {
        **route,
        "name": "look-up",
        "prefix": "/lookup/",
        "route_type": "safe",
    }
    case.configure(3, [route, lookup])
    await case.start()

    answers = []

    async def send_revision():
        id = case.next_id("revision")
        target = "/sheets/missing/7"
        answer = await case.request(CUT_ENTRY, HOST, target, "POST", b"draft", id=id)
        answers.append((id, answer.status if answer else None))

    async def beat(burst_entries, burst, has_revisions):
        tasks = [
            asyncio.ensure_future(case.request(number, HOST, "/lookup/1"))
            for number in burst_entries
            for _ in range(burst)
        ]
        passed_s = 0.0
        for at_s in REVISIONS_AT_S if has_revisions else ():
            await asyncio.sleep(at_s - passed_s)
            passed_s = at_s
            tasks.append(asyncio.ensure_future(send_revision()))
        await asyncio.sleep(BEAT_S - passed_s)
        return tasks

    entries = range(len(case.hosts))
    others = [number for number in entries if number != CUT_ENTRY]
    tasks = []
    for _ in range(int(WARM_S / BEAT_S)):
        tasks += await beat(entries, WARM_BURST, False)
    if case.has_trouble:
        # The others open no connection meanwhile, so only this entry is cut off.
        ports = ports_of_process(case.processes[CUT_ENTRY].pid)
        for server in servers:
            server.stop_listening()
            server.reset_connections(ports.__contains__)
        case.record("cut", entry=CUT_ENTRY, for_s=CUT_S)
    end = time.monotonic() + CUT_S
    while time.monotonic() < end:
        tasks += await beat(others, BURST, True)
    if case.has_trouble:
        for server in servers:
            await server.listen()
        case.record("cut_ended", entry=CUT_ENTRY)
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    all_runs = collections.Counter(
        run["id"] for server in servers for run in server.runs
    )
    # Look-ups are idempotent and may be hedged.
    runs = {id: all_runs[id] for id, _ in answers}
    twice = {id: count for id, count in runs.items() if count > 1}
    statuses = dict(answers)
    denied = [id for id, status in answers if status in (408, 421, 429, 503)]
    refused = [id for id in denied if runs[id]]
    for id, count in twice.items():
        case.record("TWICE", id=id, runs=count, status=statuses.get(id))
    for id in refused:
        case.record("REFUSED", id=id, runs=runs[id], status=statuses[id])
    print(f"{len(answers)} revisions, {collections.Counter(statuses.values())}")
    print(f"run twice: {len(twice)}; refused as not run, but run: {len(refused)}")
    if not any(runs.values()):
        return NOT_RUN
    return BROKEN if twice or refused else HELD


if __name__ == "__main__":
    main(FOLDER, play)
