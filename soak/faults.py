"""Faults of daemons, servers, links, the store and the operator."""

import signal
import time

import curio

from almondtide.registry import Registry
from standins.entry_fleet import GRACE_S, SHARDS, make_configuration

__all__ = ["faults"]

faults = Registry("fault")
# Longest time of a fault, in s.
LONGEST_S = 3.0
# Time that a process may need beyond its grace time on a busy machine, in s.
END_SLACK_S = 2.0


def _length(rng):
    return rng.uniform(0.3, LONGEST_S)


@faults.register("stop")
async def stop_daemon(session, rng):
    """SIGTERM, then a new start."""
    number = session.reserve_daemon(rng)
    if number is None:
        return
    process = session.fleet.processes[number]
    with session.record_fault("daemon", number, "stop"):
        process.send_signal(signal.SIGTERM)
        begun = time.monotonic()
        while process.poll() is None:
            if time.monotonic() > begun + GRACE_S + END_SLACK_S:
                session.process_problems.append(
                    f"daemon {number} outlived its grace time"
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
    """SIGKILL, then a new start after a while."""
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
    """SIGSTOP and SIGCONT."""
    number = session.reserve_daemon(rng)
    if number is None:
        return
    process = session.fleet.processes[number]
    with session.record_fault("daemon", number, "pause"):
        process.send_signal(signal.SIGSTOP)
        await curio.sleep(_length(rng))
        process.send_signal(signal.SIGCONT)
        await curio.sleep(1.0)
    session.faulty_daemons.discard(number)


@faults.register("hangup")
async def hang_up(session, rng):
    """SIGHUP."""
    number = session.reserve_daemon(rng)
    if number is not None:
        session.fleet.processes[number].send_signal(signal.SIGHUP)
        session.faulty_daemons.discard(number)


@faults.register("store")
async def break_store(session, rng):
    """The store refuses, is silent, resets, lets entries lapse or drops history."""
    store = session.fleet.store
    if store.mode != "normal":
        return
    kind = rng.choice(["busy", "silent", "reset", "lapse", "history"])
    with session.record_fault("store", kind, "store"):
        if kind == "history":
            store.forget_history()
            return
        store.mode = "busy" if kind == "lapse" else kind
        await curio.sleep(_length(rng))
        lapsed = []
        if kind == "lapse":
            lapsed = [key for key in store.items if key.startswith("servers/")]
            lapsed = rng.sample(lapsed, len(lapsed) // 2)
            entries = {key: session.fleet.raw_entry(key) for key in lapsed}
            for key in lapsed:
                await store.remove(key)
            session.lapsed_keys.update(lapsed)
        store.mode = "normal"
        await curio.sleep(1.5 if lapsed else 0.0)
        for key in lapsed:
            # A server that left meanwhile does not come back.
            if key in session.lapsed_keys:
                await store.put(key, entries[key])
        session.lapsed_keys.difference_update(lapsed)


@faults.register("replace")
async def replace_server(session, rng):
    """A new server starts, an old one drains and leaves."""
    service = rng.choice([*SHARDS, "drafts"])
    id = session.reserve_server(rng, service)
    if id is None:
        return
    await session.fleet.add_server(service)
    await curio.sleep(1.5)
    await session.fleet.register(id, "draining")
    session.drains[id] = time.monotonic()
    await curio.sleep(5.0)
    await session.deregister(id)
    await session.fleet.servers[id].close()


@faults.register("crash")
async def crash_server(session, rng):
    """A server ends without a word and is gone from the store later."""
    service = rng.choice([*SHARDS, "drafts"])
    id = session.reserve_server(rng, service)
    if id is None:
        return
    await session.fleet.servers[id].close()
    await curio.sleep(_length(rng))
    await session.deregister(id)
    await session.fleet.add_server(service)


@faults.register("slow")
async def slow_server(session, rng):
    """A server works slowly."""
    server = session.fleet.servers[rng.choice(sorted(session.fleet.servers))]
    server.work_s = rng.uniform(0.05, 0.5)
    await curio.sleep(_length(rng))
    server.work_s = 0.005


@faults.register("link")
async def spoil_link(session, rng):
    """The link before a server spoils, holds or delays its replies, or is cut."""
    link = session.fleet.links[rng.choice(sorted(session.fleet.links))]
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
    await link.change(change)
    await curio.sleep(_length(rng))
    await link.change({name: type(value)() for name, value in change.items()})


async def _change_all(session, change, seconds):
    for link in session.fleet.links.values():
        await link.change(change)
    await curio.sleep(seconds)
    for link in session.fleet.links.values():
        await link.change({name: type(value)() for name, value in change.items()})


@faults.register("lose")
async def lose_answers(session, rng):
    """Servers run requests, and a part of all answers is cut."""
    await _change_all(session, {"truncate_share": 0.4}, _length(rng))


@faults.register("silence")
async def silence_servers(session, rng):
    """No server answers for longer than a caller waits; the answers come late."""
    if any(link.behaviour["hold"] for link in session.fleet.links.values()):
        return
    await _change_all(session, {"hold": True}, 1.5 + _length(rng))


@faults.register("configure")
async def configure(session, rng):
    """The operator publishes versions in quick succession."""
    for _ in range(rng.randrange(1, 6)):
        session.configuration_version += rng.randrange(1, 4)
        await session.fleet.store.put(
            "op/config", make_configuration(session.configuration_version)
        )
        await curio.sleep(rng.uniform(0.01, 0.3))
