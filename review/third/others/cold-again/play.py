"""A server that becomes cold again while the store is down gets its usual load."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))

import kit  # noqa: E402

SERVICE = "advisory"
SERVERS = 3
REQUESTS_PER_S = 90
WARMUP_S = 3.0
WARMUP_PER_S = 4.0
OVERSHOOT = 1.5
SLACK = 5
# Times after the start of the traffic, in s.
DOWN_FROM_S = 5.0
COLD_AT_S = 6.0
DOWN_UNTIL_S = 10.0
ENDS_AT_S = 14.0
# The first second in which the server is cold is not judged, so that its health
# responses can be read before.
FREE_S = 1.0


class ColdServer(kit.Server):
    """A server that may be cold and says so in its health responses and its entry."""

    cold_until = 0.0

    def warmup_left_ms(self):
        """Return for how much longer it is cold, in ms."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def answer_health(self):
        """Return (status, headers) of a health response."""
        return 200, {"Instance-Id": self.id, "Warmup-Ms": str(self.warmup_left_ms())}

    async def beat(self):
        """Write heartbeats, and at once when it becomes cold, if the store is up."""
        was_cold = False
        beat_at = 0.0
        while True:
            await asyncio.sleep(0.02)
            is_cold = self.warmup_left_ms() > 0
            now = time.monotonic()
            if (now >= beat_at or is_cold != was_cold) and not self.fleet.store.is_down:
                beat_at = now + 1.2
                was_cold = is_cold
                self.write_entry()


async def play(folder):
    """Return 1 if the cold server gets more than its bound in some second."""
    bounds = {"warmup_overshoot": OVERSHOOT, "warmup_slack": SLACK}
    async with kit.Fleet(folder, bounds=bounds) as fleet:
        for number in range(SERVERS):
            server = ColdServer(fleet, f"i-{number}", SERVICE, kit.ZONES[number])
            fleet.servers[server.id] = server
            server.answer = make_answer(server)
            await server.start()
        for service in ("fieldtech",):
            for number in range(SERVERS):
                await fleet.add_server(f"f-{number}", service, number)
        services = {SERVICE: {"warmup_s": WARMUP_S, "warmup_per_s": WARMUP_PER_S}}
        routes = [kit.route("lookup", SERVICE), kit.route("field", "fieldtech")]
        fleet.configure(1, routes, services=services)
        tasks = [
            asyncio.create_task(server.beat())
            for server in fleet.servers.values()
            if isinstance(server, ColdServer)
        ]
        await fleet.start_entries()
        began_at = time.monotonic()
        cold = fleet.servers["i-0"]
        trouble = asyncio.create_task(disturb(fleet, cold, began_at))
        await send_all(fleet, began_at + ENDS_AT_S)
        await trouble
        for task in tasks:
            task.cancel()
        return judge(fleet, cold, began_at + COLD_AT_S)


def make_answer(server):
    """Return the answer function of a server, with its health path."""

    async def answer(arrival):
        if arrival.target == "/health":
            return *await server.answer_health(), b""
        await asyncio.sleep(0.02)
        return await server.succeed(arrival)

    return answer


async def disturb(fleet, cold, began_at):
    """Let the store be down for some seconds, and a server become cold meanwhile."""
    if not kit.TROUBLE:
        return
    await asyncio.sleep(began_at + DOWN_FROM_S - time.monotonic())
    fleet.store.is_down = True
    fleet.record("store-down")
    await asyncio.sleep(began_at + COLD_AT_S - time.monotonic())
    cold.cold_until = time.monotonic() + WARMUP_S
    fleet.record("cold", server=cold.id)
    await asyncio.sleep(began_at + DOWN_UNTIL_S - time.monotonic())
    fleet.store.is_down = False
    fleet.record("store-up")


async def send_all(fleet, end):
    """Send requests at a constant rate."""
    tasks = []
    number = 0
    while time.monotonic() < end:
        number += 1
        call = fleet.call(number % 3, "lookup.example", "/lookup")
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


def judge(fleet, cold, cold_at):
    """Compare the arrivals in each second of the cold time with the bound."""
    bound = WARMUP_PER_S * OVERSHOOT + SLACK
    since, until = cold_at + FREE_S, cold_at + WARMUP_S
    times = [a.at for a in cold.arrivals if since <= a.at < until and a.id]
    worst = max((sum(0 <= b - a < 1.0 for b in times) for a in times), default=0)
    fleet.record("judged", most_in_a_second=worst, bound=bound)
    if not kit.TROUBLE:
        return kit.HELD
    return kit.BROKEN if worst > bound else kit.HELD


kit.main(__file__, play)
