"""Starts daemons and stand-ins as separate processes on loopback."""

import collections
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time

__all__ = ["Fleet", "FleetSpec", "free_ports", "http_call"]

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
PORT_RANGE = (10_000, 32_000)
MAX_RESERVATIONS = 400
ADMIN_TOKEN = "operator-token"

# Sockets that hold the ports handed out last; the oldest are closed.
_reservations = collections.deque()


def free_ports(count):
    """Return ``count`` TCP ports that are free and stay reserved.

    The ports are below the range from which the system takes the local ports of
    outgoing connections, because such a connection could take the port between
    this check and the start of the process that listens on it. Each port stays
    bound by a socket that does not listen: processes that listen with
    SO_REUSEADDR can bind it all the same, while this function, which binds
    without, does not hand it out again, neither here nor in another process.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            sock.close()
            continue
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reservations.append(sock)
        ports.append(port)
    while len(_reservations) > MAX_RESERVATIONS:
        _reservations.popleft().close()
    return ports


def http_call(address, method, path, body=None, headers=None, timeout_s=5.0):
    """Return (status, headers, decoded JSON) of one HTTP request."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        payload = None if body is None else json.dumps(body)
        conn.request(method, path, payload, headers or {})
        response = conn.getresponse()
        content = response.read()
        decoded = json.loads(content) if content else None
        return response.status, dict(response.getheaders()), decoded
    finally:
        conn.close()


class FleetSpec:
    """Shape of a fleet.

    ``workloads`` maps a name to a dict with ``services``, ``servers``, ``slots``,
    ``kind`` (data set) and optionally ``settings`` (workload settings).
    A workload with ``shares`` (the name of another workload) has no servers of its
    own; its shard map names the services of that workload. ``upstream`` holds
    fields of ``UpstreamSpec`` that apply to all servers.
    ``pack_servers`` runs the servers of one failure domain in one process, so
    that they can only be killed together.
    ``links`` tells which connections pass through a forwarding link that tests
    can cut or delay: any of ``peer``, ``platform`` and ``upstream``.
    ``daemon_argv`` is the command line of a daemon after the interpreter.
    """

    __slots__ = (
        "daemon_argv",
        "daemons",
        "defaults",
        "domains",
        "exceptions",
        "links",
        "list_lag_s",
        "pack_servers",
        "upstream",
        "workloads",
    )

    def __init__(
        self,
        daemons=5,
        domains=("sala-norte", "sala-sur", "sala-barva"),
        workloads=None,
        defaults=None,
        exceptions=None,
        upstream=None,
        list_lag_s=0.0,
        pack_servers=False,
        links=(),
        daemon_argv=("-m", "almondtide.daemon"),
    ):
        self.daemons = daemons
        self.domains = list(domains)
        self.workloads = workloads or {
            "advisory": {"services": 10, "servers": 3, "slots": 3, "kind": "probes"}
        }
        self.defaults = defaults or {}
        self.exceptions = exceptions or []
        self.upstream = upstream or {}
        self.list_lag_s = list_lag_s
        self.pack_servers = pack_servers
        self.links = frozenset(links)
        self.daemon_argv = list(daemon_argv)


class Fleet:
    """A running fleet: one platform, upstream servers and daemons.

    Use it as a context manager; leaving it ends every process it started.
    """

    def __init__(self, spec, directory):
        self.spec = spec
        self.directory = str(directory)
        self.processes = {}
        self.platform = None
        self.daemons = {}
        self.upstreams = {}
        self.upstream_specs = {}
        self.links = None
        self.link_addresses = {}
        self.records = {}
        self.document = None
        self.listed = []

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *details):
        self.stop()

    def start(self):
        """Start everything and wait until all daemons are ready."""
        self.start_platform()
        self.start_upstreams()
        self.document = self._configuration()
        self.publish("configuration", self.document)
        names = [f"entry-{number:02d}" for number in range(self.spec.daemons)]
        for name in names:
            self.assign_addresses(name)
        self.start_links()
        for name in names:
            self.add_daemon(name)
        self.publish_instances()
        for name in list(self.daemons):
            self.wait_ready(name)

    def stop(self):
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()

    def spawn(self, name, argv, environ=None):
        """Start a process whose output goes to a log file of its own."""
        log_path = os.path.join(self.directory, f"{name}.log")
        environment = {**os.environ, **(environ or {})}
        with open(log_path, "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *argv], stdout=log, stderr=log, env=environment
            )

    # Platform

    def start_platform(self):
        """Start the platform stand-in and wait until it answers."""
        (port,) = free_ports(1)
        self.platform = f"127.0.0.1:{port}"
        argv = ["-m", "standins.platform", "--port", str(port)]
        argv += ["--list-lag-s", str(self.spec.list_lag_s)]
        self.spawn("platform", argv)
        self._wait_for(lambda: self.control_platform({}) is not None)

    def control_platform(self, command):
        """Send a command to the platform stand-in; ValueError for a bad one."""
        return _control(self.platform, command)

    def platform_state(self):
        """Return the counters of the platform stand-in."""
        return http_call(self.platform, "GET", "/control/state")[2]

    def publish(self, name, body):
        """Publish a document and return its revision."""
        answer = self.control_platform({"publish": {"name": name, "body": body}})
        return answer.get("revision")

    def publish_instances(self):
        """Publish the list of all daemons and upstreams that are listed."""
        return self.publish("instances", {"instances": self.listed})

    def set_listed_state(self, instance, state):
        """Change ``state`` of an instance in the list, without publishing."""
        for item in self.listed:
            if item["id"] == instance:
                item["state"] = state

    # Links

    def start_links(self):
        """Start the process that holds the links of ``spec.links``."""
        targets = {}
        for name, info in self.daemons.items():
            if "peer" in self.spec.links:
                targets[f"peer/{name}"] = info["peer"]
            if "platform" in self.spec.links:
                targets[f"platform/{name}"] = self.platform
        if "upstream" in self.spec.links:
            for instance, address in self.upstreams.items():
                targets[f"upstream/{instance}"] = address
        if not targets:
            return
        control, *ports = free_ports(1 + len(targets))
        specs = [
            {"name": name, "port": port, "target": target}
            for (name, target), port in zip(targets.items(), ports, strict=True)
        ]
        for item in specs:
            self.link_addresses[item["name"]] = f"127.0.0.1:{item['port']}"
        self.links = f"127.0.0.1:{control}"
        argv = ["-m", "standins.link", "--control-port", str(control)]
        self.spawn("links", [*argv, "--links", json.dumps(specs)])
        self._wait_for(lambda: http_call(self.links, "GET", "/")[0] == 200)
        for item in self.listed:
            link = self.link_addresses.get(f"upstream/{item['id']}")
            item["address"] = link or item["address"]

    def control_links(self, names, **behaviour):
        """Change what links do; ``names`` None means all of them."""
        command = {"links": names, "set": behaviour}
        return http_call(self.links, "POST", "/control", command)[2]

    # Upstreams

    def services(self):
        """Return (service, workload, shape) for all services."""
        for workload, shape in self.spec.workloads.items():
            if "shares" not in shape:
                for service in self.workload_services(workload):
                    yield service, workload, shape

    def workload_services(self, workload):
        """Return the names of the services that a workload uses."""
        workload = self.spec.workloads[workload].get("shares", workload)
        count = self.spec.workloads[workload]["services"]
        return [f"{workload}-{number}" for number in range(count)]

    def start_upstreams(self):
        """Start the servers, in one process each or in one for each domain."""
        for service, _, shape in self.services():
            for number in range(shape["servers"]):
                self.add_upstream(service, shape, number)
        if self.spec.pack_servers:
            self._start_packed_upstreams()
        self._wait_for(
            lambda: all(_answers(address) for address in self.upstreams.values())
        )

    def add_upstream(self, service, shape, number):
        """Add one server to the list and start it, unless servers are packed."""
        instance = f"{service}-s{number}"
        (port,) = free_ports(1)
        domain = self.spec.domains[number % len(self.spec.domains)]
        record = os.path.join(self.directory, f"{instance}.record")
        spec = {
            "instance": instance,
            "service": service,
            "port": port,
            "slots": shape.get("slots", 3),
            "connections": shape.get("connections", 65),
            "kind": shape.get("kind", "probes"),
            "record_path": record,
            **self.spec.upstream,
            **shape.get("upstream", {}),
        }
        self.upstreams[instance] = f"127.0.0.1:{port}"
        self.records[instance] = record
        self.listed.append(
            {
                "id": instance,
                "role": "upstream",
                "address": f"127.0.0.1:{port}",
                "domain": domain,
                "service": service,
                "state": "live",
            }
        )
        self.upstream_specs[instance] = spec
        if not self.spec.pack_servers:
            self.start_upstream(instance)

    def start_upstream(self, instance):
        """Start the process of a server, also after it has ended."""
        specs = json.dumps([self.upstream_specs[instance]])
        self.spawn(instance, ["-m", "standins.upstream", "--specs", specs])

    def _start_packed_upstreams(self):
        packed = {}
        for item in self.listed:
            if item["role"] == "upstream":
                spec = self.upstream_specs[item["id"]]
                packed.setdefault(item["domain"], []).append(spec)
        for domain, specs in packed.items():
            argv = ["-m", "standins.upstream", "--specs", json.dumps(specs)]
            self.spawn(f"upstreams-{domain}", argv)

    def control_upstream(self, instance, command):
        """Send a command to a server; raises ValueError for a bad one."""
        return _control(self.upstreams[instance], command)

    def read_records(self):
        """Return what all servers ran, as a list of dicts."""
        events = []
        for path in self.records.values():
            if os.path.exists(path):
                with open(path, encoding="utf-8") as lines:
                    events.extend(json.loads(line) for line in lines)
        return events

    # Daemons

    def assign_addresses(self, name):
        """Choose the addresses and the failure domain of a daemon."""
        caller, peer, admin = free_ports(3)
        number = len(self.daemons)
        self.daemons[name] = {
            "caller": f"127.0.0.1:{caller}",
            "peer": f"127.0.0.1:{peer}",
            "admin": f"127.0.0.1:{admin}",
            "domain": self.spec.domains[number % len(self.spec.domains)],
        }

    def add_daemon(self, name):
        """Start one daemon and add it to the list, without publishing."""
        if name not in self.daemons:
            self.assign_addresses(name)
        self.listed.append(
            {
                "id": name,
                "role": "entry",
                "address": self.daemons[name]["caller"],
                "peer": self._peer_address(name),
                "admin": self.daemons[name]["admin"],
                "domain": self.daemons[name]["domain"],
                "state": "live",
            }
        )
        self.start_daemon(name)

    def _peer_address(self, name):
        """Return the address at which other daemons reach ``name``."""
        return self.link_addresses.get(f"peer/{name}", self.daemons[name]["peer"])

    def start_daemon(self, name, argv=None, environ=None):
        """Start the process of a daemon, also after it has ended.

        ``argv`` replaces the command line of the spec; ``environ`` is added to
        the environment.
        """
        info = self.daemons[name]
        seeds = [self._peer_address(key) for key in self.daemons if key != name]
        environ = {
            **(environ or {}),
            "ALMONDTIDE_INSTANCE": name,
            "ALMONDTIDE_DOMAIN": info["domain"],
            "ALMONDTIDE_CALLER_ADDRESS": info["caller"],
            "ALMONDTIDE_PEER_ADDRESS": info["peer"],
            "ALMONDTIDE_ADMIN_ADDRESS": info["admin"],
            "ALMONDTIDE_ADMIN_TOKEN": ADMIN_TOKEN,
            "ALMONDTIDE_PLATFORM": self.link_addresses.get(
                f"platform/{name}", self.platform
            ),
            "ALMONDTIDE_SEEDS": ",".join(seeds[:3]),
        }
        self.spawn(name, argv or self.spec.daemon_argv, environ)

    def wait_ready(self, name):
        """Wait until a daemon accepts queries."""
        address = self.daemons[name]["caller"]

        def ready():
            return http_call(address, "GET", "/v1/health")[0] == 200

        self._wait_for(ready)

    def admin(self, name, report):
        """Return a report of a daemon's admin API."""
        headers = {"authorization": f"Bearer {ADMIN_TOKEN}"}
        address = self.daemons[name]["admin"]
        return http_call(address, "GET", f"/admin/v1/{report}", headers=headers)[2]

    def core_wait_s(self, name):
        """Return for how long a process was ready to run but had no core, in s.

        Source: the second field of ``schedstat`` of Linux, in ns, of the main thread.
        Systems without it count nothing, and neither does a process that has ended.
        """
        try:
            path = f"/proc/{self.processes[name].pid}/schedstat"
            with open(path, encoding="ascii") as lines:
                return int(lines.read().split()[1]) / 1e9
        except (OSError, KeyError, IndexError):
            return 0.0

    def signal(self, name, number):
        """Send a signal to one process of the fleet."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """End a process at once."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def terminate(self, name):
        """Shut a daemon down gracefully and return its exit status."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].wait(timeout=60)

    # Configuration

    def publish_defaults(self, defaults):
        """Publish the configuration with other defaults; returns the revision."""
        self.spec.defaults = defaults
        self.document = self._configuration()
        return self.publish("configuration", self.document)

    def _configuration(self):
        workloads = {}
        exceptions = list(self.spec.exceptions)
        for workload, shape in self.spec.workloads.items():
            services = self.workload_services(workload)
            workloads[workload] = {"shard_maps": [shard_map(1, services)]}
            for setting, value in shape.get("settings", {}).items():
                exceptions.append(
                    {
                        "workload": workload,
                        "setting": setting,
                        "value": value,
                        "reason": "shape of the test fleet",
                    }
                )
            slots = shape.get("slots", 3)
            if "shares" not in shape and slots != self.spec.defaults.get("slots", 3):
                for service in services:
                    exceptions.append(
                        {
                            "service": service,
                            "setting": "slots",
                            "value": shape["slots"],
                            "reason": "servers of another size",
                        }
                    )
        return {
            "defaults": self.spec.defaults,
            "exceptions": exceptions,
            "workloads": workloads,
        }

    def _wait_for(self, condition, timeout_s=START_TIMEOUT_S):
        deadline = time.monotonic() + timeout_s
        while True:
            try:
                if condition():
                    return
            except (OSError, http.client.HTTPException):
                pass
            if time.monotonic() > deadline:
                raise TimeoutError(f"the fleet did not start{self._ended()}")
            time.sleep(0.05)

    def _ended(self):
        """Return the processes that ended, as a part of an error message."""
        names = [name for name, it in self.processes.items() if it.poll() is not None]
        return f"; ended: {', '.join(names)}" if names else "; see its log files"


def shard_map(epoch, services, key_space=65536):
    """Return a shard map that splits the key space evenly over ``services``."""
    count = len(services)
    bounds = [round(key_space * index / count) for index in range(count + 1)]
    shards = [
        {
            "name": f"e{epoch}-{index}",
            "low": bounds[index],
            "high": bounds[index + 1],
            "service": service,
        }
        for index, service in enumerate(services)
    ]
    return {"epoch": epoch, "shards": shards}


def _control(address, command):
    status, _, answer = http_call(address, "POST", "/control", command)
    if status != 200:
        raise ValueError(f"the command was refused: {answer}")
    return answer


def _answers(address):
    return http_call(address, "GET", "/v1/status")[0] == 200
