"""Faults of daemons, servers, links, the store and the operator."""

import contextlib
import signal
import time

import curio

from almondtide.adapters.http import HTTPResponse
from almondtide.registry import Registry
from standins.entry_fleet import (
    DOMAINS,
    DRAIN_S,
    GRACE_S,
    SHARDS,
    make_configuration,
)
from standins.partitioned_entry import CUT_MODES

from .checks import EVACUATE_S
from .history import EvacuationInterval, RateLimitInterval

__all__ = ["OPTIONAL_FAULTS", "default_fault_names", "faults"]

faults = Registry("fault")
# Faults that are drawn only where they are named, so that the draws of earlier seeds
# stay as they are.
OPTIONAL_FAULTS = ("endless", "fail", "unproven")
# Sizes of the parts of endless replies, in bytes, and failures that servers answer
# with after a run. The latter ones promise that there was none, which nothing proves.
ENDLESS_PART_BYTES = (1, 64, 200, 4096)
ENDLESS_SHARE = 0.1
FAILURE_STATUSES = (404, 409, 500)
UNPROVEN_STATUSES = (408, 421, 429, 503)
# Time to come back that servers state with half of these, in s.
UNPROVEN_PAUSE_S = 1.0
FAILURE_SHARE = 0.5
MAX_FAULT_S = 3.0
# Partitions last longer: callers must be served from a certain time on.
MAX_PARTITION_S = 7.0
# A limited server is judged from a certain time on, in windows of the same length.
LIMIT_NOTICE_S = 4.0
MAX_LIMIT_S = 10.0
# An evacuation is judged from the end of its bound on, for this long at most, in s.
MAX_JUDGED_EVACUATION_S = 3.0
# A busy machine may delay the exit of a process beyond its grace time.
EXIT_SLACK_S = 2.0
# Servers write to the store at least this often, in s. An entry expires after three
# times as long.
SERVER_HEARTBEAT_S = 1.2
# Heartbeats of each server in the time that a restoration of the store loses.
HEARTBEATS_LOST = 8


def default_fault_names():
    """Return the kinds of faults that a run draws from if none are named."""
    return [name for name in faults.names() if name not in OPTIONAL_FAULTS]


def _draw_duration_s(rng):
    return rng.uniform(0.3, MAX_FAULT_S)


@faults.register("stop")
async def stop_daemon(session, rng):
    """Stop a daemon with SIGTERM, then start it again."""
    number = session.reserve_daemon(rng)
    if number is None:
        return
    process = session.fleet.processes[number]
    with session.record_fault("daemon", number, "stop"):
        process.send_signal(signal.SIGTERM)
        signalled_at = time.monotonic()
        while process.poll() is None:
            if time.monotonic() > signalled_at + GRACE_S + EXIT_SLACK_S:
                session.process_problems.append(
                    f"daemon {number} still ran after its grace time"
                )
                process.kill()
            await curio.sleep(0.05)
        if process.returncode != 0:
            session.process_problems.append(
                f"daemon {number} ended with {process.returncode}"
            )
        await session.restart_daemon(number)


@faults.register("kill")
async def kill_daemon(session, rng):
    """Kill a daemon with SIGKILL and start it again after up to 1 s."""
    number = session.reserve_daemon(rng)
    if number is None:
        return
    with session.record_fault("daemon", number, "kill"):
        session.fleet.processes[number].kill()
        session.fleet.processes[number].wait()
        await curio.sleep(rng.uniform(0.0, 1.0))
        await session.restart_daemon(number)


@faults.register("pause")
async def pause_daemon(session, rng):
    """Suspend a daemon with SIGSTOP and resume it with SIGCONT."""
    number = session.reserve_daemon(rng)
    if number is None:
        return
    process = session.fleet.processes[number]
    with session.record_fault("daemon", number, "pause"):
        process.send_signal(signal.SIGSTOP)
        await curio.sleep(_draw_duration_s(rng))
        process.send_signal(signal.SIGCONT)
        await curio.sleep(1.0)
    session.faulty_daemons.discard(number)


@faults.register("partition")
async def cut_links(session, rng):
    """Cut the links of a daemon to all servers; callers and peers still reach it."""
    number = session.reserve_daemon(rng)
    if number is None:
        return
    mode = rng.choice(CUT_MODES)
    with session.record_fault("daemon", number, "partition"):
        session.fleet.cut_links(number, mode)
        await curio.sleep(rng.uniform(1.0, MAX_PARTITION_S))
        session.fleet.restore_links(number)
    session.faulty_daemons.discard(number)


@faults.register("hangup")
async def send_sighup(session, rng):
    """Send SIGHUP to a daemon."""
    number = session.reserve_daemon(rng)
    if number is not None:
        session.fleet.processes[number].send_signal(signal.SIGHUP)
        session.faulty_daemons.discard(number)


@faults.register("store")
async def fail_store(session, rng):
    """Disturb the store.

    It refuses requests, does not answer, closes connections, loses half of the
    servers' entries for a while, or drops its history.
    """
    store = session.fleet.store
    if store.mode != "normal":
        return
    kind = rng.choice(["busy", "silent", "reset", "lapse", "history"])
    with session.record_fault("store", kind, "store"):
        if kind == "history":
            store.drop_history()
            return
        store.mode = "busy" if kind == "lapse" else kind
        await curio.sleep(_draw_duration_s(rng))
        lapsed = []
        if kind == "lapse":
            lapsed = [key for key in store.items if key.startswith("servers/")]
            lapsed = rng.sample(lapsed, len(lapsed) // 2)
            entries = {key: session.fleet.read_value(key) for key in lapsed}
            for key in lapsed:
                await store.remove(key)
            session.lapsed_keys.update(lapsed)
        store.mode = "normal"
        await curio.sleep(1.5 if lapsed else 0.0)
        for key in lapsed:
            # A server that was deregistered meanwhile gets no entry again.
            if key in session.lapsed_keys:
                await store.put(key, entries[key])
        session.lapsed_keys.difference_update(lapsed)


@faults.register("store-restore")
async def restore_store(session, rng):
    """Restore the store from a copy that is some seconds old.

    The servers and the operator write again what they wrote since; entries of servers
    that ended meanwhile expire.
    """
    store = session.fleet.store
    if store.mode != "normal":
        return
    with session.record_fault("store", "restore", "store"):
        copy = store.copy()
        # The servers' heartbeats meanwhile take the revision far beyond the copy's.
        for _ in range(HEARTBEATS_LOST):
            await curio.sleep(_draw_duration_s(rng) / HEARTBEATS_LOST)
            for id, state in list(session.fleet.registered_states.items()):
                if f"servers/{id}" not in session.lapsed_keys:
                    await session.fleet.register(id, state)
        if store.mode != "normal":
            return
        store.mode = "busy"
        await curio.sleep(rng.uniform(0.1, 1.0))
        await store.restore(copy)
        store.mode = "normal"
        ids = sorted(session.fleet.registered_states)
        rng.shuffle(ids)
        for id in ids:
            await curio.sleep(SERVER_HEARTBEAT_S / len(ids))
            state = session.fleet.registered_states.get(id)
            if state is not None and f"servers/{id}" not in session.lapsed_keys:
                await session.fleet.register(id, state)
        await store.put("op/config", make_configuration(session.configuration_version))
        await _rewrite_evacuations(session)
        await curio.sleep(2 * SERVER_HEARTBEAT_S)
        for key in [key for key in store.items if key.startswith("servers/")]:
            if key[len("servers/") :] not in session.fleet.registered_states:
                await store.remove(key)


async def _rewrite_evacuations(session):
    """Let the operator write again what holds after a restoration of the store."""
    store = session.fleet.store
    evacuated = {item.domain for item in session.evacuations if item.end is None}
    for domain in DOMAINS:
        key = f"op/evacuate/{domain}"
        if domain in evacuated:
            await store.put(key, {})
        elif key in store.items:
            await store.remove(key)


@faults.register("evacuate")
async def evacuate_domain(session, rng):
    """Evacuate a failure domain for a while, one at a time."""
    if any(item.end is None for item in session.evacuations):
        return
    store = session.fleet.store
    domain = rng.choice(DOMAINS)
    key = f"op/evacuate/{domain}"
    evacuation = EvacuationInterval(domain, time.monotonic())
    session.evacuations.append(evacuation)
    await store.put(key, {})
    evacuation.start = time.monotonic()
    await curio.sleep(EVACUATE_S + rng.uniform(0.5, MAX_JUDGED_EVACUATION_S))
    evacuation.end = time.monotonic()
    if key in store.items:
        await store.remove(key)


@faults.register("announce")
async def announce_end(session, rng):
    """Let a server announce its end in its responses, never in the store."""
    service = rng.choice([*SHARDS, "drafts"])
    id = session.reserve_server(rng, service)
    if id is None:
        return
    await session.fleet.add_server(service)
    session.fleet.servers[id].is_leaving = True
    await curio.sleep(DRAIN_S + rng.uniform(0.5, 2.0))
    await session.deregister(id)
    await curio.sleep(DRAIN_S)
    await session.fleet.servers[id].close()


@faults.register("turn-away")
async def turn_requests_away(session, rng):
    """Let one server or all of a service turn requests away for a while."""
    service = rng.choice([*SHARDS, "drafts"])
    servers = [
        server for server in session.fleet.servers.values() if server.service == service
    ]
    if rng.random() < 0.5:
        servers = [rng.choice(servers)]
    until = time.monotonic() + _draw_duration_s(rng)
    for server in servers:
        server.away_until = until


@faults.register("limit")
async def limit_servers(session, rng):
    """Let one server or all of a service announce a rate that they take in all."""
    service = rng.choice(SHARDS)
    servers = [
        server
        for server in session.fleet.servers.values()
        if server.service == service and server.rate_limit is None
    ]
    if not servers:
        return
    if rng.random() < 0.5:
        servers = [rng.choice(servers)]
    rate = round(rng.uniform(0.0, 8.0), 1)
    limits = [
        RateLimitInterval(server.id, rate, time.monotonic()) for server in servers
    ]
    session.rate_limits.extend(limits)
    for server in servers:
        server.rate_limit = rate
    await curio.sleep(rng.uniform(LIMIT_NOTICE_S, MAX_LIMIT_S))
    for server, limit in zip(servers, limits, strict=True):
        server.rate_limit = None
        limit.end = time.monotonic()


@faults.register("replace")
async def replace_server(session, rng):
    """Start a new server, then drain, deregister and close an old one."""
    service = rng.choice([*SHARDS, "drafts"])
    id = session.reserve_server(rng, service)
    if id is None:
        return
    await session.fleet.add_server(service)
    await curio.sleep(1.5)
    await session.fleet.register(id, "draining")
    session.drain_times[id] = time.monotonic()
    await curio.sleep(5.0)
    await session.deregister(id)
    await session.fleet.servers[id].close()


@faults.register("crash")
async def crash_server(session, rng):
    """Close a server without a drain, deregister it later and start a new one."""
    service = rng.choice([*SHARDS, "drafts"])
    id = session.reserve_server(rng, service)
    if id is None:
        return
    await session.fleet.servers[id].close()
    await curio.sleep(_draw_duration_s(rng))
    await session.deregister(id)
    await session.fleet.add_server(service)


@faults.register("slow")
async def slow_server(session, rng):
    """Make a server slow for a while."""
    server = session.fleet.servers[rng.choice(sorted(session.fleet.servers))]
    server.service_time_s = rng.uniform(0.05, 0.5)
    await curio.sleep(_draw_duration_s(rng))
    server.service_time_s = 0.005


@faults.register("link")
async def disturb_link(session, rng):
    """Make the link of a server alter, hold or delay replies, or cut it."""
    id = rng.choice(sorted(session.fleet.links))
    link = session.fleet.links[id]
    change = rng.choice(
        [
            {"cut": True},
            {"hold": True},
            {"delay_ms": 60.0},
            {"duplicate_share": 0.3},
            {"truncate_share": 0.3},
            {"cross_share": 0.3},
        ]
    )
    with session.record_fault("link", id, "link"):
        await link.change(change)
        await curio.sleep(_draw_duration_s(rng))
        await link.change({name: type(value)() for name, value in change.items()})


async def _change_all_links(session, change, seconds):
    with contextlib.ExitStack() as stack:
        for id, link in list(session.fleet.links.items()):
            stack.enter_context(session.record_fault("link", id, "link"))
            await link.change(change)
        await curio.sleep(seconds)
        for link in session.fleet.links.values():
            await link.change({name: type(value)() for name, value in change.items()})


@faults.register("lose")
async def truncate_replies(session, rng):
    """Truncate a share of all replies, to requests that the servers have run."""
    await _change_all_links(session, {"truncate_share": 0.4}, _draw_duration_s(rng))


@faults.register("silence")
async def hold_replies(session, rng):
    """Hold the replies of all servers beyond the deadline of callers."""
    if any(link.behaviour["hold"] for link in session.fleet.links.values()):
        return
    await _change_all_links(session, {"hold": True}, 1.5 + _draw_duration_s(rng))


@faults.register("configure")
async def publish_configurations(session, rng):
    """Publish several configuration versions in quick succession."""
    for _ in range(rng.randrange(1, 6)):
        session.configuration_version += rng.randrange(1, 4)
        await session.fleet.store.put(
            "op/config", make_configuration(session.configuration_version)
        )
        await curio.sleep(rng.uniform(0.01, 0.3))


@faults.register("endless")
async def send_endless_replies(session, rng):
    """Let a share of the replies of one service's servers go on without end."""
    service = rng.choice([*SHARDS, "drafts"])
    part_bytes = rng.choice(ENDLESS_PART_BYTES)
    with contextlib.ExitStack() as stack:
        links = [
            link
            for id, link in session.fleet.links.items()
            if session.service_of(id) == service
        ]
        for link in links:
            stack.enter_context(session.record_fault("link", link.name, "link"))
            await link.change(
                {"endless_share": ENDLESS_SHARE, "endless_part_bytes": part_bytes}
            )
        await curio.sleep(_draw_duration_s(rng))
        for link in links:
            await link.change({"endless_share": 0.0})


@faults.register("fail")
async def answer_with_failures(session, rng):
    """Let the servers of one service run requests and answer some with a failure."""
    await _fail_requests(session, rng, FAILURE_STATUSES)


@faults.register("unproven")
async def answer_with_false_promises(session, rng):
    """Like "fail", with statuses that promise that the request has not run."""
    await _fail_requests(session, rng, UNPROVEN_STATUSES)


async def _fail_requests(session, rng, statuses):
    service = "drafts" if rng.random() < 0.5 else rng.choice(SHARDS)
    status = rng.choice(statuses)
    pause_s = UNPROVEN_PAUSE_S if status == 503 and rng.random() < 0.5 else None
    servers = [s for s in session.servers.values() if s.service == service]

    def override_of(server):
        def override(request):
            if rng.random() >= FAILURE_SHARE:
                return None
            id = request.headers["request-id"]
            headers = {"server-stamp": f"{server.id}.{id}", "request-id": id}
            if pause_s is not None:
                now = time.monotonic()
                server.refusals.append((id, now, now + pause_s))
                headers["retry-after"] = str(pause_s)
            return HTTPResponse(status, b"failed", headers)

        return override

    for server in servers:
        server.override_response = override_of(server)
    await curio.sleep(_draw_duration_s(rng))
    for server in servers:
        server.override_response = lambda request: None
