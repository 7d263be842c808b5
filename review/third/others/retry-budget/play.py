"""Entries that are killed spend the slack of the retry budget once more."""

import asyncio
import bisect
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))

import kit  # noqa: E402

SERVICE = "despacho-urgente"
SERVERS = 10
# Share of the servers that reject a part of their requests, and that part.
SHED_SHARE = 0.8
SHED_PART = 0.6
WORK_S = 0.15
REQUESTS_PER_S = 150
# Times after the start of the traffic, in s.
SHED_FROM_S = 12.0
KILLED_AT_S = 17.0
SHED_UNTIL_S = 21.0
ENDS_AT_S = 32.0
# An entry that ended is started again after this time, in s.
RESTART_S = 0.3
# SHED alone: servers reject requests, and no entry is killed.
IS_SHED = os.environ.get("TROUBLE", "1") != "0"
IS_KILLED = os.environ.get("TROUBLE", "1") not in ("0", "shed")


async def play(folder):
    """Return 1 if the service gets more extra arrivals than the budget allows."""
    async with kit.Fleet(folder) as fleet:
        rng = random.Random(5)
        for number in range(SERVERS):
            server = await fleet.add_server(f"i-{number}", SERVICE, number)
            server.answer = make_answer(server, number < SHED_SHARE * SERVERS, rng)
        fleet.configure(1, [kit.route("ficha", SERVICE, max_attempts=3)])
        fleet.shed_from = fleet.shed_until = 0.0
        await fleet.start_entries()
        began_at = time.monotonic()
        if IS_SHED:
            fleet.shed_from = began_at + SHED_FROM_S
            fleet.shed_until = began_at + SHED_UNTIL_S
        tasks = [asyncio.create_task(beat(s)) for s in fleet.servers.values()]
        killer = asyncio.create_task(kill(fleet, began_at + KILLED_AT_S))
        sent = await send_all(fleet, began_at + ENDS_AT_S)
        await killer
        for task in tasks:
            task.cancel()
        return judge(fleet, sent)


def make_answer(server, is_shedding, rng):
    """Return the answer function of a server."""

    async def answer(arrival):
        now = time.monotonic()
        is_shed_time = server.fleet.shed_from <= now < server.fleet.shed_until
        if is_shedding and is_shed_time and rng.random() < SHED_PART:
            return 503, {"Not-Run": "1"}, b""
        await asyncio.sleep(WORK_S)
        return await server.succeed(arrival)

    return answer


async def beat(server):
    """Write the heartbeats of a server."""
    while True:
        await asyncio.sleep(1.2)
        server.write_entry()


async def kill(fleet, at):
    """Kill all entries at the same moment, and start them again after a short delay."""
    await asyncio.sleep(at - time.monotonic())
    if not IS_KILLED:
        return
    for number, process in fleet.processes.items():
        process.kill()
        fleet.record("kill", entry=number)
    for process in fleet.processes.values():
        process.wait()
    await asyncio.sleep(RESTART_S)
    for number in range(len(fleet.hosts)):
        fleet.start_entry(number)


async def send_all(fleet, end):
    """Send requests at a constant rate; return the times at which they were sent."""
    sent = []
    tasks = []
    number = 0
    while (now := time.monotonic()) < end:
        sent.append(now)
        number += 1
        call = fleet.call(number % 3, "ficha.example", "/ficha")
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    return sent


def judge(fleet, sent):
    """Compare the extra arrivals in each window with the budget."""
    window_s = fleet.bounds["budget_window_s"]
    ratio, slack = fleet.bounds["retry_budget_ratio"], fleet.bounds["budget_slack"]
    arrivals = [a for server in fleet.servers.values() for a in server.arrivals]
    arrivals.sort(key=lambda arrival: arrival.at)
    seen, extras = set(), []
    for arrival in arrivals:
        if arrival.id in seen:
            extras.append(arrival.at)
        seen.add(arrival.id)

    def count(times, since):
        return bisect.bisect_left(times, since + window_s) - bisect.bisect_left(
            times, since
        )

    worst = (-1e9, 0, slack)
    for since in extras:
        starts = (since, since - window_s / 2, since - window_s)
        allowed = ratio * max(count(sent, start) for start in starts) + slack
        found = count(extras, since)
        worst = max(worst, (found - allowed, found, allowed))
    fleet.record(
        "judged", requests=len(sent), extras=worst[1], allowed=round(worst[2], 1)
    )
    return kit.BROKEN if worst[0] > 0 else kit.HELD


kit.main(__file__, play)
