"""Open-loop load: seeded Poisson arrivals over persistent connections."""

import itertools
import json
import logging
import os
import random
import subprocess
import sys
import tempfile
import time

import curio
import orjson

from almondtide.adapters.http import HTTPClient
from almondtide.addresses import parse_address
from almondtide.errors import UpstreamError
from standins.dataset import make_query

from .records import (
    CODE_CONNECTION_LOST,
    CODE_NO_ANSWER,
    LoadReport,
    Record,
    Summary,
    read_report,
    write_report,
)

__all__ = ["Load", "LoadSpec", "main"]

CONNECT_TIMEOUT_S = 1.0
# How long after the deadline a caller still waits for the final answer.
ANSWER_GRACE_S = 0.5
# How long a caller avoids an entry that did not answer.
ENTRY_AVOIDANCE_S = 3.0
# Time for the load processes to start and to connect before the first arrival.
START_DELAY_S = 1.5
MIN_REFRESH_S = 0.5


class LoadSpec:
    """One load: ``rate`` requests per second for ``seconds`` on a workload.

    ``entries`` are the addresses that a caller knows at the start; it gets the
    others from ``GET /v1/entries``. ``deadline_ms`` is None for the workload's
    default. ``connections`` is the number of idle connections that one process
    keeps to one entry. ``body``, if set, is sent instead of the seeded queries.
    """

    __slots__ = (
        "body",
        "connections",
        "deadline_ms",
        "entries",
        "kind",
        "processes",
        "rate",
        "seconds",
        "seed",
        "workload",
    )

    def __init__(
        self,
        entries,
        workload,
        rate,
        seconds,
        *,
        seed=1,
        deadline_ms=None,
        kind="probes",
        processes=2,
        connections=4,
        body=None,
    ):
        self.entries = list(entries)
        self.workload = workload
        self.rate = rate
        self.seconds = seconds
        self.seed = seed
        self.deadline_ms = deadline_ms
        self.kind = kind
        self.processes = processes
        self.connections = connections
        self.body = body

    def arrival_times_s(self, number):
        """Return the intended start times of load process ``number``, in seconds."""
        rng = random.Random(f"arrivals/{self.seed}/{number}")
        rate = self.rate / self.processes
        times = []
        now = rng.expovariate(rate)
        while now < self.seconds:
            times.append(now)
            now += rng.expovariate(rate)
        return times

    def make_bodies(self, number):
        """Return an endless iterator of request bodies for process ``number``."""
        if self.body is not None:
            return itertools.repeat(self.body)
        rng = random.Random(f"queries/{self.seed}/{number}")
        return (make_query(self.kind, rng) for _ in itertools.count())

    def to_json(self):
        """Return the spec as JSON text."""
        return json.dumps({name: getattr(self, name) for name in self.__slots__})

    @classmethod
    def from_json(cls, text):
        """Return the spec of JSON text."""
        return cls(**json.loads(text))


class _EntryAddresses:
    """The addresses of the entries that the tier last listed."""

    __slots__ = (
        "_avoided_until",
        "_initial_addresses",
        "_rng",
        "addresses",
        "max_age_s",
    )

    def __init__(self, known, rng):
        self._initial_addresses = [parse_address(text) for text in known]
        self._rng = rng
        self._avoided_until = {}
        self.addresses = list(self._initial_addresses)
        self.max_age_s = MIN_REFRESH_S

    def choose_address(self):
        """Return a random address that is not avoided, or any if all are."""
        now = time.monotonic()
        usable = [
            address
            for address in self.addresses
            if self._avoided_until.get(address, 0.0) <= now
        ]
        return self._rng.choice(usable or self.addresses)

    def avoid(self, address):
        """Avoid an address for ``ENTRY_AVOIDANCE_S``."""
        self._avoided_until[address] = time.monotonic() + ENTRY_AVOIDANCE_S

    async def refresh(self):
        """Fetch the list of entries from one entry; returns whether it answered."""
        address = self.choose_address()
        client = None
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_S):
                client = await HTTPClient.open(address)
                response = await client.request("GET", "/v1/entries")
            if response.status != 200:
                return False
            value = response.json()
            listed = [parse_address(item["address"]) for item in value["entries"]]
            self.addresses = listed or self.addresses
            self.max_age_s = max(MIN_REFRESH_S, value["max_age_ms"] / 1000.0)
            return True
        except (OSError, UpstreamError, curio.TaskTimeout):
            self.avoid(address)
            return False
        finally:
            if client is not None:
                await client.close()


class LoadProcess:
    """One process of a load; ``run`` returns its ``LoadReport``."""

    def __init__(self, spec, number):
        self.spec = spec
        self.number = number
        self.entries = _EntryAddresses(
            spec.entries, random.Random(f"{spec.seed}/{number}")
        )
        self.idle_clients = {}
        self.records = []
        self.in_flight = 0
        self.path = f"/v1/workloads/{spec.workload}/query"

    async def run(self, start_at):
        """Send all requests; ``start_at`` is the start in Unix time."""
        await self._warm_up()
        refresher = await curio.spawn(self._refresh_loop, daemon=True)
        start_monotonic_s = time.monotonic() + start_at - time.time()
        cpu_before = time.process_time()
        bodies = self.spec.make_bodies(self.number)
        for start_s in self.spec.arrival_times_s(self.number):
            delay = start_monotonic_s + start_s - time.monotonic()
            if delay > 0:
                await curio.sleep(delay)
            self.in_flight += 1
            await curio.spawn(
                self._request, start_monotonic_s, start_s, next(bodies), daemon=True
            )
        await self._wait_for_answers()
        elapsed_s = time.monotonic() - start_monotonic_s
        cpu_share = (time.process_time() - cpu_before) / max(elapsed_s, 0.001)
        await refresher.cancel()
        return LoadReport(self.records, round(cpu_share, 3), self.in_flight)

    async def _refresh_loop(self):
        while True:
            await curio.sleep(self.entries.max_age_s)
            await self.entries.refresh()

    async def _warm_up(self):
        """Open one connection to each entry before the first request.

        Raises RuntimeError without the list of entries: the load would otherwise go
        only to the few entries that are known at the start.
        """
        if not await self.entries.refresh() and not await self.entries.refresh():
            raise RuntimeError("no daemon answers GET /v1/entries")
        for address in self.entries.addresses:
            try:
                client = await HTTPClient.open(address, CONNECT_TIMEOUT_S)
            except (OSError, curio.TaskTimeout):
                continue
            self.idle_clients.setdefault(address, []).append(client)

    async def _wait_for_answers(self):
        deadline_s = (self.spec.deadline_ms or 2000) / 1000.0
        give_up_at = time.monotonic() + deadline_s + 2 * ANSWER_GRACE_S
        while self.in_flight and time.monotonic() < give_up_at:
            await curio.sleep(0.02)

    async def _acquire(self, address):
        idle_clients = self.idle_clients.setdefault(address, [])
        while idle_clients:
            client = idle_clients.pop()
            if client.is_usable and not client.is_stale():
                return client
            await client.close()
        return await HTTPClient.open(address, CONNECT_TIMEOUT_S)

    async def _release(self, address, client):
        idle_clients = self.idle_clients.setdefault(address, [])
        if client.is_usable and len(idle_clients) < self.spec.connections:
            idle_clients.append(client)
        else:
            await client.close()

    async def _request(self, start_monotonic_s, start_s, body):
        lateness_s = time.monotonic() - start_monotonic_s - start_s
        address = self.entries.choose_address()
        record = Record(start_s, 0.0, lateness_s, entry=f"{address[0]}:{address[1]}")
        deadline_s = (self.spec.deadline_ms or 60_000) / 1000.0
        try:
            async with curio.timeout_after(deadline_s + ANSWER_GRACE_S):
                response = await self._send(address, body)
            _fill_record(record, response)
        except (OSError, UpstreamError):
            record.status = 0
            record.code = CODE_CONNECTION_LOST
            self.entries.avoid(address)
        except curio.TaskTimeout:
            record.status = 0
            record.code = CODE_NO_ANSWER
            self.entries.avoid(address)
        record.latency_s = time.monotonic() - start_monotonic_s - start_s
        self.records.append(record)
        self.in_flight -= 1

    async def _send(self, address, body):
        client = await self._acquire(address)
        headers = {"content-type": "application/json"}
        if self.spec.deadline_ms is not None:
            headers["almondtide-deadline-ms"] = str(self.spec.deadline_ms)
        try:
            response = await client.request(
                "POST", self.path, headers, orjson.dumps(body)
            )
        except BaseException:
            await client.close()
            raise
        await self._release(address, client)
        return response


def _fill_record(record, response):
    body = response.json()
    record.status = response.status
    record.code = body["code"]
    record.not_run = body["not_run"]
    record.retry_after_ms = body["retry_after_ms"]
    coverage = body.get("coverage")
    if coverage is not None:
        record.covered = len(coverage["covered"])
        record.missing = [item["code"] for item in coverage["missing"]]
    record.sends = body.get("sends", 0)


class Load:
    """A load that runs in separate processes.

    >>> load = Load(LoadSpec(["127.0.0.1:8000"], "advisory", rate=100, seconds=10))
    >>> report = load.result()

    ``start_monotonic_s`` is the start of the arrivals on the monotonic clock.
    """

    def __init__(self, spec):
        self.spec = spec
        self._directory = tempfile.TemporaryDirectory()
        self._processes = []
        start_at = time.time() + START_DELAY_S
        self.start_monotonic_s = time.monotonic() + START_DELAY_S
        for number in range(spec.processes):
            argv = [sys.executable, "-m", "bench.load", "--spec", spec.to_json()]
            argv += ["--number", str(number), "--start-at", repr(start_at)]
            argv += ["--output", self._path(number)]
            self._processes.append(subprocess.Popen(argv))

    def _path(self, number):
        return os.path.join(self._directory.name, f"{number}.json")

    def wait_until(self, run_time_s):
        """Sleep until ``run_time_s`` seconds after the start of the arrivals."""
        time.sleep(max(0.0, self.start_monotonic_s + run_time_s - time.monotonic()))

    def result(self):
        """Wait for the processes to end and return the ``LoadReport``."""
        limit_s = START_DELAY_S + self.spec.seconds + 30.0
        try:
            for process in self._processes:
                if process.wait(timeout=limit_s) != 0:
                    raise RuntimeError("a load process failed")
            reports = [read_report(self._path(n)) for n in range(self.spec.processes)]
        finally:
            self.close()
        return LoadReport.combine(reports)

    def close(self):
        """Kill the processes and remove their files."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        self._directory.cleanup()


def main(
    *,
    entry: list[str] | None = None,
    workload: str = "advisory",
    rate: float = 100.0,
    seconds: float = 10.0,
    seed: int = 1,
    deadline_ms: int | None = None,
    kind: str = "probes",
    processes: int = 2,
    shards: int = 10,
    spec: str | None = None,
    number: int = 0,
    start_at: float | None = None,
    output: str | None = None,
):
    """Send queries at a given rate and print a summary as JSON.

    :param entry: host:port of one or more daemons
    :param workload: name of the workload
    :param rate: requests per second over all processes
    :param seconds: duration of the arrivals
    :param seed: seed of arrivals and queries
    :param deadline_ms: deadline of each request; default: that of the workload
    :param kind: data set of the queries, probes or sheets
    :param processes: number of load processes
    :param shards: number of shards of the workload, to compute the coverage
    :param spec: internal: JSON of the load that this process runs
    :param number: number of the load process
    :param start_at: start in Unix time
    :param output: file for the records
    """
    if spec is not None:
        # Late timeouts are part of the measured latencies. curio would log a line
        # for each of them, which would add to the load.
        logging.getLogger("curio").setLevel(logging.ERROR)
        process = LoadProcess(LoadSpec.from_json(spec), number)
        write_report(output, curio.run(process.run, start_at))
        return
    if not entry:
        sys.exit("bench.load: --entry is required")
    load_spec = LoadSpec(
        entry,
        workload,
        rate,
        seconds,
        seed=seed,
        deadline_ms=deadline_ms,
        kind=kind,
        processes=processes,
    )
    report = Load(load_spec).result()
    if output is not None:
        write_report(output, report)
    figures = Summary(report.records, seconds, shards).to_dict()
    figures["load_cpu_share"] = report.cpu_share
    figures["unfinished"] = report.unfinished
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    import defopt

    defopt.run(main)
