"""A body without end, in small chunks, keeps an entry from doing anything else."""

import asyncio
import collections
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from harness.case import BROKEN, HELD, NOT_RUN, main  # noqa: E402

HOST = "search.example"
SHARDS = [f"despacho-{number}" for number in range(10)]
SERVERS_PER_SHARD = 3
# Requests a second of each entry, and the times of the play.
PER_S = 25.0
CALM_S = 4.0
AFTER_S = 4.0
TIMEOUT_MS = 800
DEADLINE_MS = 4000
# The rule's half a second after the timeout.
OVERDUE_S = 0.5
# Dose of the disruption: share of the servers, of their answers, and its length.
GARBLING_SHARE = 0.35
GARBLED_ANSWERS = 0.02
GARBLE_S = 5.5
BLOCK = b"1\r\nx\r\n" * 4096


async def play(case):
    """Let a few answers go on without end, and watch all others."""
    servers = []
    for shard in SHARDS:
        servers += await case.add_servers(shard, SERVERS_PER_SHARD, work_s=0.02)
    route = {
        "name": "search",
        "host": HOST,
        "prefix": "/search/",
        "route_type": "safe",
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": 150,
        "priority": 1,
        "gather": SHARDS,
        "max_attempts": 2,
        "top_k": 10,
        "min_coverage": 0.89,
    }
    case.configure(3, [route])
    await case.start()
    rng = random.Random(3)
    state = {"is_garbling": False}

    def let_garble(server):
        async def before_run(request, writer):
            if not state["is_garbling"] or rng.random() >= GARBLED_ANSWERS:
                return False
            id = request.headers["request-id"]
            case.record("endless_answer", server=server.id, id=id)
            head = (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
                f"Server-Stamp: {server.stamp(id)}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(head.encode())
            sent = 0
            try:
                while True:
                    writer.write(BLOCK)
                    await writer.drain()
                    sent += len(BLOCK)
            except ConnectionError:
                case.record("closed_by_caller", server=server.id, id=id, sent=sent)
            return True

        server.before_run = before_run

    for server in rng.sample(servers, int(GARBLING_SHARE * len(servers))):
        let_garble(server)
    # (time of sending, duration, status or None) of each request; longest gaps.
    results = []
    readiness = []

    async def search(number):
        sent_at = time.monotonic()
        target = f"/search/{rng.randrange(1 << 20)}"
        answer = await case.request(number, HOST, target, deadline_ms=DEADLINE_MS)
        status = answer.status if answer else None
        results.append((sent_at, time.monotonic() - sent_at, status))

    async def send(number, until):
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.ensure_future(search(number)))
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)

    async def check_readiness(number):
        while True:
            began_at = time.monotonic()
            status = await case.readiness(number, timeout_s=10.0)
            took_s = time.monotonic() - began_at
            readiness.append(took_s)
            case.record("ready_check", entry=number, status=status, ms=took_s * 1000)
            await asyncio.sleep(1.0)

    async def disturb():
        await asyncio.sleep(CALM_S)
        if case.has_trouble:
            state["is_garbling"] = True
            case.record("garble", for_s=GARBLE_S)
        await asyncio.sleep(GARBLE_S)
        state["is_garbling"] = False
        case.record("garble_ended")

    entries = range(len(case.hosts))
    for number in entries:
        case.spawn(check_readiness(number))
    until = time.monotonic() + CALM_S + GARBLE_S + AFTER_S
    await asyncio.gather(disturb(), *(send(number, until) for number in entries))
    timeout_s = TIMEOUT_MS / 1000
    unanswered = [took for _, took, _ in results if took > timeout_s]
    overdue = [took for took in unanswered if took > timeout_s + OVERDUE_S]
    statuses = collections.Counter(status for _, _, status in results)
    longest_s = max(readiness, default=0.0)
    text = (
        f"{len(results)} requests, {dict(statuses)}; unanswered at the timeout: "
        f"{len(unanswered)}, of these without an answer 0.5 s later: {len(overdue)}; "
        f"longest readiness check: {longest_s:.2f} s; peak memory of the entries: "
        + ", ".join(f"{case.peak_memory_mb(number):.0f}" for number in entries)
        + " MB"
    )
    case.record("result", text=text)
    print(text)
    if not statuses[200]:
        return NOT_RUN
    return BROKEN if len(overdue) > len(unanswered) / 2 else HELD


if __name__ == "__main__":
    main(FOLDER, play)
