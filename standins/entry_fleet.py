"""A small fleet of entry daemons as processes, with a store and servers."""

import base64
import os
import random
import subprocess
import sys
import time

import curio
import h11
import orjson

from .link import Link
from .partitioned_entry import CUT_SUFFIX
from .shard import ShardServer
from .store import StoreServer

__all__ = [
    "DOMAINS",
    "DRAIN_S",
    "PORTS",
    "SHARDS",
    "EntryFleet",
    "make_configuration",
    "send_request",
]

DOMAINS = ("lautoka", "nadi", "suva")
PORTS = {"front": 18226, "readiness": 18227, "control": 18224, "directory": 18225}
METRICS_PORT = 9464
GOSSIP_PORT = 17740
# Nothing listens at this port of the loopback.
CLOSED_PORT = 9
START_TIMEOUT_S = 15.0
SHARDS = ("shard-0", "shard-1", "shard-2")
UNSAFE_SERVICE = "drafts"
GRACE_S = 3
DRAIN_S = 3.0
SLOTS_PER_SERVER = 3


def make_configuration(version=1, **changes):
    """Return a configuration with a route over all shards and an unsafe route.

    ``changes`` replaces or adds top-level fields.
    """
    routes = [
        {
            "name": "search",
            "host": "search.example",
            "prefix": "/search/",
            "route_type": "safe",
            "timeout_ms": 9000,
            "target_latency_ms": 300,
            "priority": 1,
            "gather": list(SHARDS),
            "max_attempts": 2,
            "top_k": 3,
            "min_coverage": 0.6,
        },
        {
            "name": "write",
            "host": "write.example",
            "prefix": "/write/",
            "route_type": "unsafe",
            "timeout_ms": 9000,
            "target_latency_ms": 300,
            "priority": 2,
            "service": UNSAFE_SERVICE,
            "max_attempts": 2,
        },
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 60}
            for name in [*SHARDS, UNSAFE_SERVICE]
        ],
        "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 5000},
        **changes,
    }


class EntryFleet:
    """Daemons, a store, and servers of each service, all on loopback.

    ``argv`` is the command of a daemon after the interpreter. With ``links``, the
    connections to each server pass through a ``Link``. ``bounds`` are further bounds in
    the settings. Use it as an async context manager. ``number`` is the index of a
    daemon in ``hosts`` and ``processes``.

    ``builds`` maps numbers of daemons that run another build of the project to its
    folder and their command. With ``store_readers``, a set of numbers, the other
    daemons do not reach the store.
    """

    def __init__(
        self,
        folder,
        daemons=3,
        servers=2,
        argv=None,
        links=False,
        bounds=None,
        builds=None,
        store_readers=None,
    ):
        self.folder = folder
        self.bounds = bounds or {}
        self.builds = builds or {}
        self.store_readers = store_readers
        self.argv = argv or ["-m", "almondtide.entry"]
        self.has_links = links
        self.servers_per_service = servers
        # Each fleet has loopback addresses of its own, because the ports are fixed and
        # several fleets may run at the same time.
        subnet = random.Random(os.urandom(8)).randrange(1 << 14)
        self.hosts = [
            f"127.{64 + subnet // 256}.{subnet % 256}.{number + 1}"
            for number in range(daemons)
        ]
        self.store = StoreServer()
        self.servers = {}
        self.links = {}
        self.entry_sequence = 1
        # Server id -> state that it last wrote to the store.
        self.registered_states = {}
        self.processes = {}

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self):
        await self.store.start()
        for service in [*SHARDS, UNSAFE_SERVICE]:
            for _ in range(self.servers_per_service):
                await self.add_server(service)
        await self.store.put("op/config", make_configuration())
        for number in range(len(self.hosts)):
            self.start_daemon(number)
        for number in range(len(self.hosts)):
            await self.wait_until_ready(number)

    async def __aexit__(self, *exc_info):
        for process in self.processes.values():
            process.kill()
            process.wait()
        for link in self.links.values():
            await link.listener.close()
        for server in self.servers.values():
            await server.close()
        await self.store.close()

    # Servers

    async def add_server(self, service):
        """Start a server and register it; returns its id."""
        number = len(self.servers)
        id = f"i-{service}-{number}"
        server = ShardServer(id, service, slots=SLOTS_PER_SERVER)
        await server.start()
        self.servers[id] = server
        if self.has_links:
            host, port = server.listener.address
            link = self.links[id] = Link(id, 0, f"{host}:{port}")
            await link.start()
        await self.register(id)
        return id

    async def register(self, id, state="ready"):
        """Write a server's entry to the store."""
        server = self.servers[id]
        self.entry_sequence += 1
        self.registered_states[id] = state
        entry = server.store_entry(self.domain_of(id), state, self.entry_sequence)
        if id in self.links:
            host, port = self.links[id].listener.address
            entry["address"] = f"{host}:{port}"
        await self.store.put(f"servers/{id}", entry)

    @staticmethod
    def domain_of(id):
        """Return the failure domain of a server."""
        return DOMAINS[sum(map(ord, id)) % len(DOMAINS)]

    def read_value(self, key):
        """Return the value that the store holds at a key, as bytes."""
        return base64.b64decode(self.store.items[key]["value"])

    # Daemons

    def start_daemon(self, number):
        """Write the settings file of a daemon and start it."""
        host = self.hosts[number]
        path = os.path.join(self.folder, f"settings-{number}.json")
        store_host, store_port = self.store.address
        if self.store_readers is not None and number not in self.store_readers:
            store_port = CLOSED_PORT
        document = {
            "node_name": f"front-{number}",
            "ip": host,
            "zone": DOMAINS[number % len(DOMAINS)],
            "region": "viti-levu",
            "zones": dict.fromkeys(DOMAINS, "viti-levu"),
            "listen": {name: f"{host}:{port}" for name, port in PORTS.items()},
            "port_range": [GOSSIP_PORT, GOSSIP_PORT + 5],
            "seeds": [f"{self.hosts[0]}:{PORTS['control']}"],
            "bounds": {
                "drain_ms": DRAIN_S * 1000,
                "grace_s": GRACE_S,
                "budget_slack": 100,
                **self.bounds,
            },
            "platform": {"address": f"{store_host}:{store_port}"},
        }
        with open(path, "wb") as file:
            file.write(orjson.dumps(document))
        build, argv = self.builds.get(number, (None, self.argv))
        environment = {**os.environ, "ALMONDTIDE_SETTINGS": os.path.abspath(path)}
        if build is not None:
            environment["PYTHONPATH"] = build
        with open(os.path.join(self.folder, f"log-{number}"), "ab") as log:
            self.processes[number] = subprocess.Popen(
                [sys.executable, *argv],
                env=environment,
                # The interpreter looks for modules in the working folder first.
                cwd=build,
                stdout=log,
                stderr=log,
            )

    def cut_links(self, number, mode):
        """Cut the links of a daemon to all servers; see ``partitioned_entry``."""
        path = os.path.join(self.folder, f"settings-{number}.json{CUT_SUFFIX}")
        with open(path + ".new", "w") as file:
            file.write(mode)
        os.replace(path + ".new", path)

    def restore_links(self, number):
        """Let a daemon reach the servers again."""
        os.remove(os.path.join(self.folder, f"settings-{number}.json{CUT_SUFFIX}"))

    async def look_up(self, number, domain):
        """Return the hosts that a daemon's directory names to callers of a domain."""
        path = f"/v1/resolve?name=search.example&region=viti-levu&zone={domain}"
        status, _, body = await self.get_from_daemon(number, "directory", path)
        if status != 200:
            return []
        return sorted(a.partition(":")[0] for a in orjson.loads(body)["addrs"])

    def read_log(self, number):
        """Return the standard output and error of a daemon."""
        with open(os.path.join(self.folder, f"log-{number}"), "rb") as file:
            return file.read().decode(errors="replace")

    async def is_ready(self, number):
        """Return whether a daemon reports that it is ready."""
        try:
            status, _, _ = await self.get_from_daemon(number, "readiness", "/v1/ready")
        except (OSError, curio.TaskTimeout):
            return False
        return status == 200

    async def wait_until_ready(self, number):
        """Wait for a daemon to be ready; raises AssertionError after a time limit."""
        end = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready(number):
            if time.monotonic() > end:
                raise AssertionError(f"not ready: {self.read_log(number)[-2000:]}")
            await curio.sleep(0.02)

    async def get_from_daemon(self, number, port, path):
        """Send GET to a daemon; ``port`` is a key of ``PORTS``."""
        return await send_request(
            self.hosts[number], PORTS[port], "GET", path, {"host": "x"}
        )

    async def search(self, number, id="q-1", deadline_ms=1200):
        """Send a search, which goes to all shards."""
        headers = {
            "host": "search.example",
            "request-id": id,
            "deadline-ms": str(deadline_ms),
        }
        return await send_request(
            self.hosts[number], PORTS["front"], "GET", "/search/x", headers
        )

    async def write(self, number, id="w-1", body=b"draft", deadline_ms=1200):
        """Send a write, which may run only once."""
        headers = {
            "host": "write.example",
            "request-id": id,
            "deadline-ms": str(deadline_ms),
        }
        return await send_request(
            self.hosts[number], PORTS["front"], "POST", "/write/x", headers, body
        )


async def send_request(host, port, method, path, headers, body=b"", timeout_s=5):
    """Send one request on a new connection; returns (status, headers, body).

    Raises ``OSError`` when the connection ends before a complete response, and
    ``curio.TaskTimeout`` after ``timeout_s``.
    """
    conn = h11.Connection(h11.CLIENT)
    async with curio.timeout_after(timeout_s):
        sock = await curio.open_connection(host, port)
        async with sock:
            pairs = [*headers.items(), ("content-length", str(len(body)))]
            wire = conn.send(h11.Request(method=method, target=path, headers=pairs))
            wire += conn.send(h11.Data(data=body)) + conn.send(h11.EndOfMessage())
            await sock.sendall(wire)
            chunks = []
            head = None
            while True:
                try:
                    event = conn.next_event()
                except h11.RemoteProtocolError as exc:
                    raise ConnectionError(f"incomplete response: {exc}") from exc
                if event is h11.NEED_DATA:
                    conn.receive_data(await sock.recv(65536))
                elif type(event) is h11.Response:
                    head = event
                elif type(event) is h11.Data:
                    chunks.append(bytes(event.data))
                elif type(event) is h11.EndOfMessage:
                    break
                else:
                    raise ConnectionError("connection closed before a response")
    response_headers = {name.decode(): value.decode() for name, value in head.headers}
    return head.status_code, response_headers, b"".join(chunks)
