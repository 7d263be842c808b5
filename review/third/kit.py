"""Stand-ins and a small fleet for the scripts of the third review.

Only the standard library is used. The store, the servers and the clients follow the
pages; an entry runs as a process with the command of the deploy file. Everything
listens on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ZONES = ("sala-norte", "sala-sur", "sala-barva")
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 12000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 126,
    "recovery_s": 12,
    "ttl_max_s": 5,
}


class Record:
    """Writes what was sent, answered and run to a file, with the time in s."""

    def __init__(self, path):
        self._file = open(path, "w")  # noqa: SIM115
        self._began_at = time.monotonic()

    def __call__(self, event, **fields):
        """Write a line for an event."""
        at = time.monotonic() - self._began_at
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {event} {pairs}\n")
        self._file.flush()


async def read_head(reader):
    """Return (first line, headers by lower-case name), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


def encode_response(status, headers, body=b""):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: items, one revision counter, pages and watches."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.address = None
        # While it is down it answers nothing.
        self.is_down = False
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()

    def put(self, key, value):
        """Write a value, an object that is encoded as JSON."""
        self.revision += 1
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            "key": key,
            "value": raw,
            "revision": self.revision,
            "create_rev": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self._note({"key": key, "revision": self.revision, "removed": True})

    def _note(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                target = urllib.parse.urlsplit(head[0].split(" ")[1])
                query = dict(urllib.parse.parse_qsl(target.query))
                body = await self._answer(target.path, query)
                while self.is_down:
                    await asyncio.sleep(0.05)
                status = 404 if body is None else 200
                headers = {"Content-Type": "application/json"}
                raw = json.dumps(body or {}).encode()
                writer.write(encode_response(status, headers, raw))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return None if item is None else {**item, "as_of": self.revision}
        prefix = query.get("prefix", "")
        if path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > len(page)
            return {"items": page, "has_more": more, "as_of": self.revision}
        if path == "/v1/kv-watch":
            after, end = int(query["after"]), time.monotonic()
            end += int(query["wait_ms"]) / 1000
            while not (found := self._events_after(after, prefix)):
                left = end - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    break
            return {"events": found, "as_of": self.revision}
        return None

    def _events_after(self, after, prefix):
        return [
            event
            for event in self.events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]


class Arrival:
    """A request as a server received it."""

    def __init__(self, server, method, target, headers, body):
        self.server = server
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.id = headers.get("request-id", "")
        self.at = time.monotonic()


class Server:
    """A sound server of one service, in this process.

    ``answer(arrival)`` is an async function that returns (status, headers, body), and
    by default a signed success. Each server has a loopback address of its own.
    """

    def __init__(self, fleet, id, service, zone, slots=3):
        self.fleet = fleet
        self.id = id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.arrivals = []
        self.answer = self.succeed
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.address = None
        self._server = None

    async def start(self):
        """Listen on a free port and write the entry."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()
        self.write_entry()

    def write_entry(self):
        """Write the entry of this server to the store, as each heartbeat does."""
        self.sequence += 1
        entry = server_entry(self, self.address, self.state, self.sequence, self.born)
        entry["warmup_left_ms"] = self.warmup_left_ms()
        self.fleet.store.put(f"servers/{self.id}", entry)

    def warmup_left_ms(self):
        """Return for how much longer it is cold, in ms."""
        return 0

    async def succeed(self, arrival):
        """Answer with a signed success."""
        return 200, {"Server-Stamp": f"{self.id}.{arrival.id}"}, b"x" * 32

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                headers = head[1]
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                arrival = Arrival(self, method, target, headers, body)
                echo = {"Request-Id": arrival.id, "Keep-Alive": "timeout=30"}
                if headers.get("expect-instance", self.id) != self.id:
                    refusal = {**echo, "Instance-Id": self.id, "Not-Run": "1"}
                    writer.write(encode_response(421, refusal))
                    continue
                self.arrivals.append(arrival)
                self.fleet.record("arrival", server=self.id, id=arrival.id)
                status, more, answer = await self.answer(arrival)
                writer.write(encode_response(status, {**echo, **more}, answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def server_entry(server, address, state, sequence, born):
    """Return the entry of a server in the store."""
    return {
        "service": server.service,
        "address": f"{address[0]}:{address[1]}",
        "zone": server.zone,
        "version": "v1",
        "capacity": server.slots,
        "state": state,
        "warmup_left_ms": 0,
        "sequence": sequence,
        "born": born,
    }


def route(name, service, route_type="safe", **changes):
    """Return a route to one service."""
    return {
        "name": name,
        "host": f"{name}.example",
        "prefix": "/",
        "route_type": route_type,
        "timeout_ms": 8000,
        "target_latency_ms": 600,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        **changes,
    }


@contextlib.contextmanager
def free_port():
    """Give a free loopback port."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    yield port


class Fleet:
    """The store, servers, and entries as processes; use it as a context manager."""

    def __init__(self, case_folder, entries=3, bounds=None, **limits):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        subnet = random.Random(os.urandom(8)).randrange(1 << 14)
        prefix = f"127.{64 + subnet // 256}.{subnet % 256}"
        self.hosts = [f"{prefix}.{number + 1}" for number in range(entries)]
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.limits = limits
        self.store = Store()
        self.servers = {}
        self.processes = {}
        # Other processes that a case starts.
        self.extra_processes = []
        self._folder = tempfile.TemporaryDirectory()

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *exc_info):
        for process in [*self.processes.values(), *self.extra_processes]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._folder.cleanup()

    async def add_server(self, id, service, zone=0, slots=3):
        """Start a server in a zone; return it."""
        server = self.servers[id] = Server(self, id, service, ZONES[zone % 3], slots)
        await server.start()
        return server

    def configure(self, version, routes, max_body_bytes=262144, services=None):
        """Write a configuration; ``services`` has further fields of some services."""
        names = sorted({route["service"] for route in routes})
        more = services or {}
        config = {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_connections": 70,
                    **more.get(name, {}),
                }
                for name in names
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": max_body_bytes,
                "header_timeout_ms": 5000,
                "idle_timeout_ms": 30000,
            },
        }
        self.store.put("op/config", config)

    def settings_path(self, number):
        """Return the path of the settings file of an entry."""
        return os.path.join(self._folder.name, f"settings-{number}.json")

    def write_settings(self, number):
        """Write the settings file of an entry."""
        ip = self.hosts[number]
        names = {"front": 8226, "readiness": 8227, "control": 8224, "directory": 8225}
        document = {
            "node_name": f"front-{number}",
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": ip,
            "zone": ZONES[number % 3],
            "region": "meseta-central",
            "zones": dict.fromkeys(ZONES, "meseta-central"),
            "listen": {name: f"{ip}:{port}" for name, port in names.items()},
            "port_range": [7740, 7755],
            "seeds": [f"{host}:8224" for host in self.hosts[:3]],
            # True only when the whole system starts for the first time.
            "bootstrap": number not in self.processes,
            "in_tolerance": False,
            "limits": {
                "cpu_share": 0.731,
                "cores": 1,
                "memory_mb": 222,
                "max_fds": 1535,
                "link_mbps": 350.0,
                "disk_mb": 0,
                **self.limits,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry_point": "directory",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": self.bounds,
            "platform": {
                "address": "{}:{}".format(*self.store.address),
                "form": "read",
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
        }
        path = self.settings_path(number)
        with open(path + ".new", "w") as file:
            json.dump(document, file)
        os.replace(path + ".new", path)

    def start_entry(self, number):
        """Start an entry with the command of the deploy file."""
        self.write_settings(number)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["ALMONDTIDE_SETTINGS"] = self.settings_path(number)
        environment["PYTHONPATH"] = os.path.join(ROOT, "target", "deps")
        with open(os.path.join(self._folder.name, f"log-{number}"), "ab") as log:
            self.processes[number] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record("start", entry=number)
        return self.processes[number]

    def read_log(self, number):
        """Return the log of an entry."""
        with open(os.path.join(self._folder.name, f"log-{number}")) as file:
            return file.read()

    async def is_ready(self, number):
        """Return whether an entry counts as ready for the platform."""
        try:
            status, _, _ = await request(
                self.hosts[number], 8227, "GET", "/v1/ready", {"Host": "x"}, timeout_s=1
            )
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200

    async def start_entries(self):
        """Start all entries and wait until they are ready."""
        for number in range(len(self.hosts)):
            self.start_entry(number)
        end = time.monotonic() + 20
        for number in range(len(self.hosts)):
            while not await self.is_ready(number):
                if time.monotonic() > end:
                    raise RuntimeError(self.read_log(number)[-3000:])
                await asyncio.sleep(0.05)
        # Views of the members settle.
        await asyncio.sleep(2.0)

    async def call(self, number, host, target="/", id="", **options):
        """Send a request to an entry on a new connection and record its answer.

        Return (status, headers, body), with the status 0 without an answer.
        """
        id = id or f"{random.getrandbits(64):016x}"
        deadline_ms = options.pop("deadline_ms", 4000)
        method = options.pop("method", "GET")
        headers = {"Host": host, "Request-Id": id, "Deadline-Ms": str(deadline_ms)}
        headers.update(options.pop("headers", {}))
        self.record("request", entry=number, id=id, target=target)
        try:
            answer = await request(
                self.hosts[number],
                8226,
                method,
                target,
                headers,
                timeout_s=deadline_ms / 1000 + 1,
                **options,
            )
        except (OSError, TimeoutError, EOFError) as exc:
            self.record("no-answer", entry=number, id=id, error=type(exc).__name__)
            return 0, {}, b""
        self.record("answer", entry=number, id=id, status=answer[0])
        return answer


async def request(host, port, method, target, headers, body=b"", timeout_s=5):
    """Send a request on a new connection; return (status, headers, body)."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method not in ("GET", "HEAD"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            head = await read_head(reader)
            if head is None:
                raise EOFError("no answer")
            size = int(head[1].get("content-length", 0))
            if method == "HEAD":
                size = 0
            answer = await reader.readexactly(size)
            return int(head[0].split(" ")[1]), head[1], answer
        finally:
            writer.close()


def main(case_file, play):
    """Run ``play(folder)``, an async function, and exit with its result."""
    folder = os.path.dirname(os.path.abspath(case_file))
    try:
        result = asyncio.run(asyncio.wait_for(play(folder), 115))
    except Exception as exc:
        print(f"could not run: {exc!r}", file=sys.stderr)
        result = COULD_NOT_RUN
    sys.exit(result)
