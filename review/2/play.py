"""A late copy of a refusal is taken for the answer to the same request's next send."""

import asyncio
import collections
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from harness.case import BROKEN, HELD, NOT_RUN, main  # noqa: E402

SERVICES = ("redaccion", "archivo-legal")
HOST = "sheets.example"
ENTRIES = 6
SERVERS_PER_SERVICE = 2
# Clients of each entry and service.
CLIENTS = 4
WARM_S = 3.0
# Dose of the disruption: share of the servers and of their answers, its length, and how
# often it comes.
GARBLING_SHARE = 0.6
GARBLED_ANSWERS = 0.03
GARBLE_S = 5.0
PAUSE_S = 2.0
TIMES = 14


def garble(case, server, rng, state):
    """Let a server send some answers twice, the second time late.

    The copy arrives where the next answer on the connection is expected.
    """
    copies = {}

    async def after_answer(request, data, writer):
        if state["is_garbling"] and rng.random() < GARBLED_ANSWERS:
            copies[writer] = data, request.headers["request-id"]

    async def before_answer(request, writer):
        if writer in copies:
            data, id = copies.pop(writer)
            status = data[9:12].decode()
            case.record(
                "extra_answer",
                server=server.id,
                id=id,
                status=status,
                before=request.headers["request-id"],
            )
            writer.write(data)
            await writer.drain()

    server.after_answer = after_answer
    server.before_answer = before_answer


async def play(case):
    """Send more than the servers take at once, while some answers come twice."""
    servers = []
    for service in SERVICES:
        servers += await case.add_servers(
            service, SERVERS_PER_SERVICE, work_s=0.05, queue=4
        )
    rng = random.Random(1)
    state = {"is_garbling": False}
    for first in range(0, len(servers), SERVERS_PER_SERVICE):
        for index in range(int(GARBLING_SHARE * SERVERS_PER_SERVICE)):
            garble(case, servers[first + index], rng, state)
    routes = [
        {
            "name": f"revise-{service}",
            "host": HOST,
            "prefix": f"/{service}/",
            "route_type": "unsafe",
            "timeout_ms": 4000,
            "target_latency_ms": 600,
            "priority": 2,
            "service": service,
            "max_attempts": 2,
        }
        for service in SERVICES
    ]
    case.configure(3, routes)
    await case.start()
    statuses = {}
    end = time.monotonic() + WARM_S + TIMES * (GARBLE_S + PAUSE_S)

    async def client(number, service):
        while time.monotonic() < end:
            id = case.next_id("revision")
            answer = await case.request(
                number, HOST, f"/{service}/1", "POST", b"draft", id=id
            )
            statuses[id] = answer.status if answer else None
            await asyncio.sleep(0.02)

    clients = [
        asyncio.ensure_future(client(number, service))
        for number in range(ENTRIES)
        for service in SERVICES
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(WARM_S)
    for _ in range(TIMES):
        if case.has_trouble:
            state["is_garbling"] = True
            case.record("garble", for_s=GARBLE_S)
        await asyncio.sleep(GARBLE_S)
        state["is_garbling"] = False
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*clients)
    await asyncio.sleep(0.5)
    runs = collections.Counter(run["id"] for server in servers for run in server.runs)
    twice = [id for id, count in runs.items() if count > 1]
    refused = [id for id in runs if statuses.get(id) in (408, 421, 429, 503)]
    for id in twice:
        case.record("TWICE", id=id, runs=runs[id], status=statuses[id])
    for id in refused:
        case.record("REFUSED", id=id, runs=runs[id], status=statuses[id])
    print(f"{len(statuses)} revisions, {collections.Counter(statuses.values())}")
    print(f"run twice: {len(twice)}; refused as not run, but run: {len(refused)}")
    if not runs:
        return NOT_RUN
    return BROKEN if twice or refused else HELD


if __name__ == "__main__":
    main(FOLDER, play, entries=ENTRIES)
