"""Measures slopes: the CPU time or memory that one more unit of work costs."""

import gc
import itertools
import random
import time
import tracemalloc

import curio

from almondtide.adapters.http import HTTPClient, json_response, serve_http
from almondtide.adapters.listener import Listener
from almondtide.clock import SystemClock
from almondtide.configuration import parse_configuration
from almondtide.errors import ResultCode
from almondtide.logs import Log
from almondtide.membership import UPSTREAM, Member, Membership, parse_instances
from almondtide.memory import MemoryServer, MemoryUpstreams
from almondtide.merging import Coverage, merges
from almondtide.messages import SubAnswer, SubQueryBatch, decode_frame, encode_frame
from almondtide.metrics import Metrics
from almondtide.owner import ServiceOwner
from almondtide.planning import SnapshotCatalog
from almondtide.registry import Registry
from almondtide.rendezvous import Candidate, RankTable, rank
from almondtide.subrequests import SubRequest, SubResult
from standins.dataset import make_data_set
from standins.fleet import shard_map

from .results import Result, save

__all__ = ["main", "slopes"]

slopes = Registry("slope")

REPEATS = 5
DOMAIN_COUNT = 16
ROWS_PER_ANSWER = 20


def cpu_us(step, count):
    """Return the CPU time of one ``step()`` in us: the minimum of several repeats."""
    best = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(count):
            step()
        best = min(best, time.process_time() - started)
    return best / count * 1e6


def memory_bytes(make_object):
    """Return the bytes that the result of ``make_object()`` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept_object = make_object()
    gc.collect()
    growth = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept_object
    return growth


def _make_candidates(count, start=0):
    return [
        Candidate(f"entry-{n:05d}", f"domain-{n % DOMAIN_COUNT}")
        for n in range(start, start + count)
    ]


@slopes.register("ranking")
def measure_ranking():
    """Rank all members for a cell; update the table after one change of members."""
    members = _make_candidates(4000)
    full_us = cpu_us(lambda: rank("cell", members), 1)
    table = RankTable()
    table.update(members)
    cells = [f"cell-{n}" for n in range(200)]
    for cell in cells:
        table.ranked(cell, lambda instance: True)
    numbers = itertools.count(5000)
    current_members = list(members)

    def replace_one():
        current_members.pop(0)
        current_members.extend(_make_candidates(1, next(numbers)))
        table.update(current_members)

    change_us = cpu_us(replace_one, 5)
    size = memory_bytes(lambda: _make_rank_table(members, cells))
    return [
        ("full ranking, for each member of a cell", full_us / 4000, "us"),
        ("one member replaced, 4,000 members and 200 cells", change_us / 1000, "ms"),
        ("rank table, for each cell", size / len(cells), "bytes"),
    ]


def _make_rank_table(members, cells):
    table = RankTable()
    table.update(members)
    for cell in cells:
        table.ranked(cell, lambda instance: True)
    return table


def _make_instance_list(count):
    return {
        "instances": [
            {
                "id": f"upstream-{n:05d}",
                "role": "upstream",
                "address": f"10.0.{n // 250}.{n % 250}:8080",
                "domain": f"domain-{n % DOMAIN_COUNT}",
                "service": f"service-{n // 3}",
                "state": "live",
            }
            for n in range(count)
        ]
    }


@slopes.register("instances")
def measure_instances():
    """Parse the list of instances and rebuild the membership view."""
    body = _make_instance_list(3000)
    parse_us = cpu_us(lambda: parse_instances(body), 1)
    size = memory_bytes(lambda: parse_instances(_make_instance_list(3000)))
    membership = Membership("entry-0", SystemClock())
    members = parse_instances(body)
    view_us = cpu_us(lambda: curio.run(membership.update_list, members), 3)
    return [
        ("parse the list, for each instance", parse_us / 3000, "us"),
        ("rebuild the view, for each instance", view_us / 3000, "us"),
        ("list in memory, for each instance", size / 3000, "bytes"),
    ]


def _make_batch(items):
    return SubQueryBatch(
        1,
        query_id="entry-0.1",
        workload="advisory",
        version=7,
        epoch=3,
        remaining_ms=390.0,
        items=[[f"advisory-{n}", [[n * 100, n * 100 + 100]]] for n in range(items)],
        body={"match": {"district": "Nadi"}},
        fingerprint="0123456789abcdef",
    )


def _make_sub_answer():
    rows = make_data_set("probes", 1, 2000).rows(1)[:ROWS_PER_ANSWER]
    return SubAnswer(
        1,
        service="advisory-0",
        code=0,
        version=7,
        epoch=3,
        ranges=[[0, 100]],
        payload=rows,
        server="advisory-0-s1",
        attempts=1,
        versions=[6, 7],
        epochs=[3],
    )


@slopes.register("messages")
def measure_messages():
    """Encode and decode the messages of a query."""
    result = []
    sizes = {}
    for items in (1, 15):
        frame = encode_frame((1, 0), [_make_batch(items)])
        sizes[items] = len(frame)
        encode_us = cpu_us(
            lambda items=items: encode_frame((1, 0), [_make_batch(items)]), 500
        )
        decode_us = cpu_us(lambda frame=frame: decode_frame(frame), 500)
        text = f"batch of {items} sub-requests"
        result.append((f"{text}, make and encode", encode_us, "us"))
        result.append((f"{text}, decode", decode_us, "us"))
    bytes_per_item = (sizes[15] - sizes[1]) / 14
    result.append(("batch of 1 sub-request", sizes[1], "bytes"))
    result.append(("batch, each further sub-request", bytes_per_item, "bytes"))
    answer = _make_sub_answer()
    frame = encode_frame((1, 0), [answer])
    text = f"sub-answer of {ROWS_PER_ANSWER} rows"
    encode_us = cpu_us(lambda: encode_frame((1, 0), [answer]), 500)
    result.append((f"{text}, encode", encode_us, "us"))
    result.append((f"{text}, decode", cpu_us(lambda: decode_frame(frame), 500), "us"))
    result.append((text, len(frame), "bytes"))
    return result


async def _measure_exchange_us(count):
    body = b"x" * 2000

    async def handle(request):
        return json_response(200, {"rows": []})

    async def serve(sock, address):
        await serve_http(sock, handle, log=Log())

    listener = Listener(("127.0.0.1", 0), serve)
    await listener.start()
    client = await HTTPClient.open(listener.address)
    best = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(count):
            await client.request("POST", "/v1/search", {"x-request-id": "1"}, body)
        best = min(best, time.process_time() - started)
    await client.close()
    await listener.close()
    return best / count * 1e6


@slopes.register("http")
def measure_http():
    """Run HTTP exchanges between a client and a server in one process."""
    exchange_us = curio.run(_measure_exchange_us, 300)
    return [("HTTP exchange, client and server half together", exchange_us, "us")]


@slopes.register("tasks")
def measure_tasks():
    """Spawn and join an empty task."""

    async def spawn_many(count):
        async def nothing():
            pass

        started = time.process_time()
        for _ in range(count):
            task = await curio.spawn(nothing, daemon=True)
            await task.join()
        return (time.process_time() - started) / count * 1e6

    best_us = min(curio.run(spawn_many, 2000) for _ in range(REPEATS))
    return [("task, spawn and join", best_us, "us")]


def _make_configuration(services):
    names = [f"advisory-{n}" for n in range(services)]
    body = {"workloads": {"advisory": {"shard_maps": [shard_map(1, names)]}}}
    return parse_configuration(body)


@slopes.register("coordinator")
def measure_coordinator():
    """Choose a snapshot, check the coverage and merge results of 180 services."""
    services = 180
    workload = _make_configuration(services).workloads["advisory"]
    catalog = SnapshotCatalog()
    for name in workload.services():
        catalog.update(name, [6, 7], [1])
    choose_us = cpu_us(lambda: catalog.choose_plan(workload), 50)
    plan = catalog.choose_plan(workload)
    rows = make_data_set("probes", 1, 2000).rows(1)[:ROWS_PER_ANSWER]
    results = {
        name: SubResult(name, ResultCode.OK, ranges=plan.ranges(name), payload=rows)
        for name in workload.services()
    }
    coverage_us = cpu_us(lambda: Coverage(plan.shard_map, results), 20)
    payloads = [rows] * services
    merge_us = cpu_us(lambda: merges.get("rows")(payloads), 5)
    return [
        ("choose the snapshot, for each service", choose_us / services, "us"),
        ("check the coverage, for each shard", coverage_us / services, "us"),
        (
            f"merge, for each service with {ROWS_PER_ANSWER} rows",
            merge_us / services,
            "us",
        ),
    ]


async def _start_owner(cfg, service="advisory-0"):
    servers = {}
    members = []
    for number in range(3):
        address = ("127.0.0.1", 1000 + number)
        server = MemoryServer(lambda *args: [], [7], {1: [[0, 65536]]})
        servers[address] = server
        members.append(
            Member(f"s{number}", UPSTREAM, address, f"d{number}", service=service)
        )
    owner = ServiceOwner(
        service, lambda: cfg, MemoryUpstreams(servers), SystemClock(), Log(), Metrics()
    )
    await owner.start()
    await owner.update(members, True)
    await curio.sleep(0.05)
    return owner


async def _measure_submit_us(cfg, count):
    owner = await _start_owner(cfg)
    best = float("inf")
    results = curio.Queue()
    for number in range(REPEATS):
        started = time.process_time()
        for index in range(count):
            deadline = time.monotonic() + 5.0
            sub = SubRequest(
                f"q{number}.{index}",
                "advisory",
                "advisory-0",
                deadline,
                version=7,
                epoch=1,
                ranges=[[0, 100]],
            )
            await owner.submit(sub, results.put)
            await results.get()
        best = min(best, time.process_time() - started)
    await owner.stop()
    return best / count * 1e6


@slopes.register("owner")
def measure_owner():
    """Queue, dispatch and finish a sub-request with in-memory servers."""
    cfg = _make_configuration(10)
    dispatch_us = curio.run(_measure_submit_us, cfg, 300)

    async def start_owners():
        return [await _start_owner(cfg, f"advisory-{n}") for n in range(10)]

    size = memory_bytes(lambda: curio.run(start_owners))
    return [
        ("owner's work on a sub-request, without HTTP", dispatch_us, "us"),
        ("owned service of 3 servers and 9 connections", size / 10, "bytes"),
    ]


def main(*, slope: list[str] | None = None):
    """Measure the slopes, print them and write bench/results/slopes.

    :param slope: names of slopes; default: all
    """
    random.seed(1)
    result = Result("slopes", "Slopes", ["what", "figure", "unit"])
    result.notes.append("CPU time of one process; the least of five repeats.")
    for name in slope or slopes.names():
        for what, figure, unit in slopes.get(name)():
            result.add_row(what, figure, unit)
            result.data[what] = [figure, unit]
    print(save(result, {}))


if __name__ == "__main__":
    import defopt

    defopt.run(main)
