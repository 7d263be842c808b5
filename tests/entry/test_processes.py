"""End-to-end tests: daemons as processes, stand-ins for the store and servers."""

import os
import random
import signal
import subprocess
import sys
import tempfile
import time

import curio
import h11
import orjson
import testtools

from standins.shard import ShardServer
from standins.store import StoreServer
from tests.entry.support import settings_document
from tests.support import run

DOMAINS = ("lautoka", "nadi", "suva")
PORTS = {"front": 18226, "readiness": 18227, "control": 18224, "directory": 18225}
GOSSIP_PORT = 17740
RECORDS = {
    "shard-0": b"a" * 16 + b"e" * 16,
    "shard-1": b"b" * 16 + b"f" * 16,
    "shard-2": b"c" * 16 + b"d" * 16,
}
STARTED_S = 10.0


def _configuration(version=1, **changes):
    routes = [
        {
            "name": "search",
            "host": "search.example",
            "prefix": "/search/",
            "route_type": "safe",
            "timeout_ms": 1500,
            "target_latency_ms": 300,
            "priority": 1,
            "gather": sorted(RECORDS),
            "max_attempts": 2,
            "top_k": 3,
            "min_coverage": 0.6,
        },
        {
            "name": "write",
            "host": "write.example",
            "prefix": "/write/",
            "route_type": "unsafe",
            "timeout_ms": 3000,
            "target_latency_ms": 300,
            "priority": 2,
            "service": "drafts",
            "max_attempts": 2,
        },
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 60}
            for name in [*RECORDS, "drafts"]
        ],
        "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 5000},
        **changes,
    }


class _Fleet:
    """Three daemons, a store, two servers of each service."""

    def __init__(self, folder):
        self.folder = folder
        # Loopback hosts of their own, so that runs beside each other do not meet.
        block = random.Random(os.urandom(8)).randrange(1 << 14)
        self.hosts = [
            f"127.{64 + block // 256}.{block % 256}.{number}" for number in (1, 2, 3)
        ]
        self.store = StoreServer()
        self.servers = {
            f"i-{service}-{number}": ShardServer(
                f"i-{service}-{number}", service, RECORDS.get(service, b"")
            )
            for service in [*RECORDS, "drafts"]
            for number in (0, 1)
        }
        self.processes = {}

    async def __aenter__(self):
        await self.store.start()
        for number, (id, server) in enumerate(self.servers.items()):
            await server.start()
            await self.store.put(f"servers/{id}", server.entry(DOMAINS[number % 3]))
        await self.store.put("op/config", _configuration())
        for number in range(len(self.hosts)):
            self.start(number)
        await self.until_ready()
        return self

    async def __aexit__(self, *details):
        for process in self.processes.values():
            process.kill()
            process.wait()
        for server in self.servers.values():
            await server.close()
        await self.store.close()

    def start(self, number):
        host = self.hosts[number]
        path = os.path.join(self.folder, f"settings-{number}.json")
        document = settings_document(
            node_name=f"front-{number}",
            ip=host,
            zone=DOMAINS[number],
            listen={name: f"{host}:{port}" for name, port in PORTS.items()},
            port_range=[GOSSIP_PORT, GOSSIP_PORT + 5],
            seeds=[f"{self.hosts[0]}:{PORTS['control']}"],
        )
        store_host, store_port = self.store.address
        document["platform"] = {"address": f"{store_host}:{store_port}"}
        document["bounds"]["grace_s"] = 3
        with open(path, "wb") as file:
            file.write(orjson.dumps(document))
        with open(os.path.join(self.folder, f"log-{number}"), "ab") as log:
            self.processes[number] = subprocess.Popen(
                [sys.executable, "-m", "almondtide.entry"],
                env={**os.environ, "ALMONDTIDE_SETTINGS": path},
                stdout=log,
                stderr=log,
            )

    def log(self, number):
        with open(os.path.join(self.folder, f"log-{number}"), "rb") as file:
            return file.read().decode()

    async def until_ready(self):
        end = time.monotonic() + STARTED_S
        for host in self.hosts:
            while (await self.get(host, "readiness", "/v1/ready"))[0] != 200:
                if time.monotonic() > end:
                    raise AssertionError(f"not ready: {self.log(0)[-2000:]}")
                await curio.sleep(0.02)

    async def get(self, host, port, path):
        try:
            return await request(host, PORTS[port], "GET", path, {"host": "x"})
        except OSError:
            return (0, {}, b"")

    async def search(self, number, id="q-1", **options):
        headers = {"host": "search.example", "request-id": id, "deadline-ms": "1200"}
        return await request(
            self.hosts[number], PORTS["front"], "GET", "/search/x", headers, **options
        )

    async def write(self, number, id="w-1", body=b"draft"):
        headers = {"host": "write.example", "request-id": id, "deadline-ms": "1200"}
        return await request(
            self.hosts[number], PORTS["front"], "POST", "/write/x", headers, body
        )


async def request(host, port, method, path, headers, body=b"", timeout_s=5):
    """Send one request; returns (status, headers, body)."""
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
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    conn.receive_data(await sock.recv(65536))
                elif type(event) is h11.Response:
                    head = event
                elif type(event) is h11.Data:
                    chunks.append(bytes(event.data))
                else:
                    break
    found = {name.decode(): value.decode() for name, value in head.headers}
    return head.status_code, found, b"".join(chunks)


class EntryProcessTest(testtools.TestCase):
    """Guards the whole path, from the settings file to the caller's answer."""

    def play(self, scenario):
        async def bounded():
            async with _Fleet(folder) as fleet:
                await scenario(fleet)

        with tempfile.TemporaryDirectory() as folder:
            run(bounded, timeout_s=60)

    def test_queries_and_requests_that_run_once(self):
        async def scenario(fleet):
            for number in range(3):
                status, headers, body = await fleet.search(number, f"q-{number}")
                self.assertEqual(200, status)
                self.assertEqual("0", headers["missing-parts"])
                self.assertEqual(3, len(headers["part-stamps"].split(",")))
                self.assertEqual(b"f" * 16 + b"e" * 16 + b"d" * 16, body)
            status, headers, body = await fleet.write(1)
            self.assertEqual((200, b"draft"), (status, body))
            self.assertIn(".w-1", headers["server-stamp"])
            runs = [id for s in fleet.servers.values() for id, _ in s.runs]
            self.assertEqual(1, runs.count("w-1"))

        self.play(scenario)

    def test_directory_names_entries_of_the_callers_domain_and_metrics(self):
        async def scenario(fleet):
            path = "/v1/resolve?name=search.example&region=r&zone=nadi"
            expected = [f"{fleet.hosts[1]}:{PORTS['front']}"]
            for _ in range(100):
                status, _, body = await fleet.get(fleet.hosts[0], "directory", path)
                if status == 200 and orjson.loads(body)["addrs"] == expected:
                    break
                await curio.sleep(0.05)
            self.assertEqual(expected, orjson.loads(body)["addrs"])
            self.assertTrue(0 < orjson.loads(body)["ttl_s"] <= 5)
            await fleet.search(0)
            status, _, body = await request(
                fleet.hosts[0], 9464, "GET", "/metrics", {"host": "x"}
            )
            self.assertIn(b"almondtide_entry_answers", body)
            self.assertIn(b"almondtide_entry_answer_seconds_bucket", body)

        self.play(scenario)

    def test_configuration_and_drain_reach_all_daemons(self):
        async def scenario(fleet):
            await fleet.store.put("op/config", _configuration(version=9, routes=[]))
            end = time.monotonic() + 3.0
            for number in range(3):
                while (await fleet.search(number))[0] != 404:
                    self.assertTrue(time.monotonic() < end)
                    await curio.sleep(0.02)
            await fleet.store.put("op/config", _configuration(version=10))
            server = fleet.servers["i-drafts-0"]
            entry = server.entry("lautoka", "draining", 2)
            await fleet.store.put("servers/i-drafts-0", entry)
            await curio.sleep(3.0)
            server.runs.clear()
            for number in range(9):
                self.assertEqual(200, (await fleet.write(number % 3, f"w-{number}"))[0])
            self.assertEqual([], server.runs)

        self.play(scenario)

    def test_service_goes_on_while_the_store_is_away(self):
        async def scenario(fleet):
            for mode in ("busy", "silent", "reset"):
                fleet.store.mode = mode
                await curio.sleep(1.5)
                for number in range(3):
                    self.assertEqual(200, (await fleet.search(number))[0])
                fleet.store.mode = "normal"
            fleet.store.forget_history()
            await fleet.store.put("op/config", _configuration(version=12, routes=[]))
            end = time.monotonic() + 5.0
            while (await fleet.search(1))[0] != 404:
                self.assertTrue(time.monotonic() < end)
                await curio.sleep(0.02)

        self.play(scenario)

    def test_planned_stop_answers_what_it_has_read(self):
        async def scenario(fleet):
            for server in fleet.servers.values():
                server.work_s = 0.4
            tasks = [
                await curio.spawn(fleet.write, 0, f"w-{number}") for number in range(4)
            ]
            await curio.sleep(0.1)
            fleet.processes[0].send_signal(signal.SIGTERM)
            answers = [await task.join() for task in tasks]
            self.assertEqual([200] * 4, [status for status, _, _ in answers])
            status, _, _ = await fleet.get(fleet.hosts[0], "readiness", "/v1/ready")
            self.assertEqual(503, status)
            code = await curio.run_in_thread(fleet.processes[0].wait, 3.0)
            self.assertEqual(0, code)
            for name in ("stopping", "stopped"):
                self.assertIn(f"event={name} ", fleet.log(0))

        self.play(scenario)

    def test_hangup_reads_the_settings_again_and_cuts_nothing(self):
        async def scenario(fleet):
            for server in fleet.servers.values():
                server.work_s = 0.3
            task = await curio.spawn(fleet.write, 0)
            await curio.sleep(0.05)
            fleet.processes[0].send_signal(signal.SIGHUP)
            self.assertEqual(200, (await task.join())[0])
            self.assertIn("event=reloaded", fleet.log(0))
            self.assertIsNone(fleet.processes[0].poll())

        self.play(scenario)

    def test_killed_daemon_comes_back_with_the_knowledge_of_the_others(self):
        async def scenario(fleet):
            fleet.store.mode = "busy"
            fleet.processes[1].kill()
            fleet.processes[1].wait()
            fleet.start(1)
            await fleet.until_ready()
            self.assertEqual(200, (await fleet.search(1))[0])

        self.play(scenario)

    def test_caller_that_leaves_ends_the_work(self):
        async def scenario(fleet):
            for server in fleet.servers.values():
                server.work_s = 2.0
            sock = await curio.open_connection(fleet.hosts[0], PORTS["front"])
            await sock.sendall(
                b"GET /search/x HTTP/1.1\r\nHost: search.example\r\n"
                b"Request-Id: q-9\r\nDeadline-Ms: 3000\r\n\r\n"
            )
            await curio.sleep(0.1)
            await sock.close()
            await curio.sleep(0.4)
            self.assertEqual(
                0, sum(server.running for server in fleet.servers.values())
            )

        self.play(scenario)

    def test_bad_requests_have_coded_answers(self):
        async def scenario(fleet):
            host = {"host": "write.example", "request-id": "w-1"}
            front = (fleet.hosts[0], PORTS["front"])
            status, _, body = await request(
                *front, "POST", "/write/x", host, b"x" * 2000
            )
            self.assertEqual((413, 102), (status, orjson.loads(body)["code"]))
            status, _, body = await request(*front, "GET", "/none/", host)
            self.assertEqual((404, 106), (status, orjson.loads(body)["code"]))
            status, _, _ = await request(*front, "GET", "/write/x", {"host": "h"})
            self.assertEqual(400, status)
            sock = await curio.open_connection(*front)
            await sock.sendall(b"\x00\x01\r\n\r\n")
            self.assertTrue((await sock.recv(100)).startswith(b"HTTP/1.1 400"))
            await sock.close()
            self.assertEqual(200, (await fleet.search(0))[0])

        self.play(scenario)
