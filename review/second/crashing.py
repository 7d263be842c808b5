"""A request that crashes each server that begins to run it, and comes again."""

import time

import curio

from standins.entry_fleet import PORTS, UNSAFE_SERVICE, make_configuration, send_request

from .fleet import BOUNDS
from .writes import Writes

__all__ = ["CONTACT_S", "MAX_RETRIES", "CrashingRequest"]

# A crashed server is back, or replaced, after this long, in s.
DOWN_S = 2.0
CONTACT_S = BOUNDS["contact_ms"] / 1000.0
# The rule allows so many retries that reach servers later than ``contact_ms`` after the
# request has crashed the third.
MAX_RETRIES = 3
CRASHING_PATH = "/lookup/crash"
SERVICE_TIME_S = 0.02
SETTLING_S = 4.0
WRITES_PER_S = 20.0


def _configuration():
    document = make_configuration(2)
    document["routes"].append(
        {
            "name": "lookup",
            "host": "lookup.example",
            "prefix": "/lookup/",
            "route_type": "safe",
            "timeout_ms": 4000,
            "target_latency_ms": 600,
            "priority": 2,
            "service": UNSAFE_SERVICE,
            "max_attempts": 2,
        }
    )
    return document


class CrashingRequest:
    """Sends the request and keeps the servers going, which run writes of others too.

    ``crashes`` holds (time, server id), and ``reached`` (time, request id) of all runs.
    With ``keeps_ids`` a server starts again under its id, else a new one replaces it.
    Without ``has_crashes`` the request is answered.
    """

    def __init__(self, fleet, record, keeps_ids=False, has_crashes=True):
        self.fleet = fleet
        self.record = record
        self.crashes = []
        self.reached = []
        self._keeps_ids = keeps_ids
        self._has_crashes = has_crashes
        self._sent_at = {}
        self._number = 0
        self._task = None
        self._writes = Writes(fleet, record, WRITES_PER_S)

    async def start(self):
        """Publish the routes and let the fleet settle."""
        for id in list(self.fleet.servers):
            self._watch(id)
            self.fleet.servers[id].service_time_s = SERVICE_TIME_S
        await self.fleet.store.put("op/config", _configuration())
        await curio.sleep(SETTLING_S)
        self._task = await curio.spawn(self._bring_servers_back, daemon=True)
        await self._writes.start()

    async def stop(self):
        """Send no more writes, and leave the servers as they are."""
        await self._writes.stop()
        await self._task.cancel()

    def _watch(self, id):
        server = self.fleet.servers[id]
        if server.service == UNSAFE_SERVICE:
            server.should_crash = lambda request: self._should_crash(id, request)

    def _should_crash(self, id, request):
        if request.path != CRASHING_PATH or id in self.fleet.down_ids:
            return False
        request_id = request.headers["request-id"]
        self.reached.append((time.monotonic(), request_id))
        self.record.add("run", server=id, request=request_id)
        if not self._has_crashes:
            return False
        self.fleet.down_ids.add(id)
        self.crashes.append((time.monotonic(), id))
        self.record.add("server_crashed", server=id, request=request_id)
        return True

    async def _bring_servers_back(self):
        done = set()
        while True:
            await curio.sleep(0.05)
            for at, id in list(self.crashes):
                if (at, id) in done or time.monotonic() - at < DOWN_S:
                    continue
                done.add((at, id))
                if self._keeps_ids:
                    await self.fleet.restart_server(id)
                else:
                    id = await self.fleet.replace_server(id)
                    self._watch(id)
                self.record.add("server_started", server=id)

    async def send(self, entry, headers=()):
        """Send the request to an entry; return the status of its answer."""
        request_id = f"crash-{self._number}"
        self._number += 1
        self._sent_at[request_id] = time.monotonic()
        all_headers = {
            "host": "lookup.example",
            "request-id": request_id,
            "deadline-ms": "900",
            **dict(headers),
        }
        self.record.add("sent", request=request_id, entry=entry)
        try:
            status, _, _ = await send_request(
                self.fleet.hosts[entry],
                PORTS["front"],
                "GET",
                CRASHING_PATH,
                all_headers,
                timeout_s=2,
            )
        except (OSError, curio.TaskTimeout) as exc:
            status = type(exc).__name__
        self.record.add("answered", request=request_id, status=status)
        return status

    def late_retries(self):
        """Return the ids that reached servers too late after the third crash."""
        servers = []
        for at, id in self.crashes:
            if id not in servers:
                servers.append(id)
            if len(servers) == 3:
                late = {i for _, i in self.reached if self._sent_at[i] > at + CONTACT_S}
                return sorted(late)
        return []

    def verdict(self):
        """Return (whether the rule was broken, a text)."""
        late = self.late_retries()
        text = (
            f"{len(late)} retries reached servers later than contact_ms after the"
            f" third crash (at most {MAX_RETRIES}); {len(self.crashes)} crashes,"
            f" {self._writes.lost_count} writes of others lost"
        )
        return len(late) > MAX_RETRIES, text
