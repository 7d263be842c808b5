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
MAX_RESERVED_PORTS = 400
ADMIN_TOKEN = "operator-token"

# Sockets bound to the ports returned last; the oldest are closed beyond the limit.
_reserved_sockets = collections.deque()


def free_ports(count):
    """Return ``count`` TCP ports that are free and stay reserved.

    The ports are below the ephemeral port range. Otherwise an outgoing connection
    could take a port before the process that listens on it has started. Each port
    stays bound by a socket that does not listen. Processes that listen with
    SO_REUSEADDR can bind it nevertheless. This function binds without that option,
    so no process that calls it returns the port again.
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
        _reserved_sockets.append(sock)
        ports.append(port)
    while len(_reserved_sockets) > MAX_RESERVED_PORTS:
        _reserved_sockets.popleft().close()
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
    """What a fleet consists of.

    ``daemons`` is the number of daemons. ``domains`` names the failure domains, which
    are assigned to the daemons and to the servers of each service in turn.
    ``workloads`` maps a name to a dict with ``services`` (number of services),
    ``servers`` (number of servers of each service), ``slots`` and ``connections``
    (limits of each server), ``kind`` (data set) and optionally ``settings``
    (workload settings).
    A workload with ``shares`` (the name of another workload) has no servers of its
    own; its shard map names the services of that workload. ``upstream`` holds
    fields of ``UpstreamSpec`` for all servers; a workload may have ``upstream`` too.
    ``pack_servers`` runs the servers of one failure domain in one process, so
    that they can only be killed together.
    ``links`` names the connections that pass through a forwarding link, which tests
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

    Use it as a context manager; the exit kills every process that it started.
    ``daemons`` maps a name to its addresses and failure domain, ``upstreams`` maps
    an instance to its address.
    """

    def __init__(self, spec, directory):
        self.spec = spec
        self.directory = str(directory)
        self.processes = {}
        self.platform_address = None
        self.daemons = {}
        self.upstreams = {}
        self.upstream_specs = {}
        self.links_control_address = None
        self.link_addresses = {}
        self.record_paths = {}
        self.configuration = None
        self.listed_instances = []

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info):
        self.stop()

    def start(self):
        """Start everything and wait until all daemons are ready."""
        self.start_platform()
        self.start_upstreams()
        self.configuration = self._make_configuration()
        self.publish("configuration", self.configuration)
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
        """Kill all processes, also suspended ones."""
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
        child_environ = {**os.environ, **(environ or {})}
        with open(log_path, "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *argv], stdout=log, stderr=log, env=child_environ
            )

    # Platform

    def start_platform(self):
        """Start the platform stand-in and wait until it answers."""
        (port,) = free_ports(1)
        self.platform_address = f"127.0.0.1:{port}"
        argv = ["-m", "standins.platform", "--port", str(port)]
        argv += ["--list-lag-s", str(self.spec.list_lag_s)]
        self.spawn("platform", argv)
        self._wait_for(lambda: self.control_platform({}) is not None)

    def control_platform(self, command):
        """Send a command to the platform stand-in; ValueError for a bad one."""
        return _send_command(self.platform_address, command)

    def platform_state(self):
        """Return the counters of the platform stand-in."""
        return http_call(self.platform_address, "GET", "/control/state")[2]

    def publish(self, name, body):
        """Publish a document and return its revision."""
        answer = self.control_platform({"publish": {"name": name, "body": body}})
        return answer.get("revision")

    def publish_instances(self):
        """Publish the list of instances; returns the revision."""
        return self.publish("instances", {"instances": self.listed_instances})

    def set_listed_state(self, instance, state):
        """Change ``state`` of an instance in the list, without publishing."""
        for item in self.listed_instances:
            if item["id"] == instance:
                item["state"] = state

    # Links

    def start_links(self):
        """Start the process that runs the links of ``spec.links``."""
        targets = {}
        for name, info in self.daemons.items():
            if "peer" in self.spec.links:
                targets[f"peer/{name}"] = info["peer"]
            if "platform" in self.spec.links:
                targets[f"platform/{name}"] = self.platform_address
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
        self.links_control_address = f"127.0.0.1:{control}"
        argv = ["-m", "standins.link", "--control-port", str(control)]
        self.spawn("links", [*argv, "--links", json.dumps(specs)])
        self._wait_for(
            lambda: http_call(self.links_control_address, "GET", "/")[0] == 200
        )
        for item in self.listed_instances:
            link = self.link_addresses.get(f"upstream/{item['id']}")
            item["address"] = link or item["address"]

    def control_links(self, names, **behaviour):
        """Change the behaviour of links; ``names`` None means all of them."""
        command = {"links": names, "set": behaviour}
        return http_call(self.links_control_address, "POST", "/control", command)[2]

    # Upstreams

    def services(self):
        """Yield (service, workload, shape) for all services.

        ``shape`` is the dict of the workload in ``FleetSpec.workloads``.
        """
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
            lambda: all(_is_answering(address) for address in self.upstreams.values())
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
        self.record_paths[instance] = record
        self.listed_instances.append(
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
        for item in self.listed_instances:
            if item["role"] == "upstream":
                spec = self.upstream_specs[item["id"]]
                packed.setdefault(item["domain"], []).append(spec)
        for domain, specs in packed.items():
            argv = ["-m", "standins.upstream", "--specs", json.dumps(specs)]
            self.spawn(f"upstreams-{domain}", argv)

    def control_upstream(self, instance, command):
        """Send a command to a server; raises ValueError for a bad one."""
        return _send_command(self.upstreams[instance], command)

    def read_upstream_events(self):
        """Return the events in the record files of all servers, as dicts."""
        events = []
        for path in self.record_paths.values():
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
        self.listed_instances.append(
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
                f"platform/{name}", self.platform_address
            ),
            "ALMONDTIDE_SEEDS": ",".join(seeds[:3]),
        }
        self.spawn(name, argv or self.spec.daemon_argv, environ)

    def wait_ready(self, name):
        """Wait until a daemon accepts queries."""
        address = self.daemons[name]["caller"]

        def is_ready():
            return http_call(address, "GET", "/v1/health")[0] == 200

        self._wait_for(is_ready)

    def read_admin_report(self, name, report):
        """Return a report of a daemon's admin API."""
        headers = {"authorization": f"Bearer {ADMIN_TOKEN}"}
        address = self.daemons[name]["admin"]
        return http_call(address, "GET", f"/admin/v1/{report}", headers=headers)[2]

    def send_signal(self, name, number):
        """Send a signal to one process of the fleet."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """End a process at once."""
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def terminate(self, name):
        """Shut a daemon down gracefully and return its exit status."""
        self.send_signal(name, signal.SIGTERM)
        return self.processes[name].wait(timeout=60)

    # Configuration

    def publish_defaults(self, defaults):
        """Publish the configuration with other defaults; returns the revision."""
        self.spec.defaults = defaults
        self.configuration = self._make_configuration()
        return self.publish("configuration", self.configuration)

    def _make_configuration(self):
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
                raise TimeoutError(
                    f"the fleet did not start{self._describe_ended_processes()}"
                )
            time.sleep(0.05)

    def _describe_ended_processes(self):
        """Return the names of processes that ended, as the end of an error message."""
        names = [
            name
            for name, process in self.processes.items()
            if process.poll() is not None
        ]
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


def _send_command(address, command):
    status, _, answer = http_call(address, "POST", "/control", command)
    if status != 200:
        raise ValueError(f"the command was refused: {answer}")
    return answer


def _is_answering(address):
    return http_call(address, "GET", "/v1/status")[0] == 200
