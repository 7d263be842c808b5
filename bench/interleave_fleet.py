"""Lets one change fall between the calls of one entry of a modelled fleet.

``python -m bench.interleave_fleet [WAY...]`` plays all cases, as ``bench.interleave``
does for an entry without peers: here gossip passes on what the entry read and how fresh
it is, and peers adopt its cursor. It prints the cases in which the replica of an entry
differs from the store at the end, or a configuration was in force too late.
"""

import concurrent.futures

import curio
import defopt

from almondtide.entry.members import store_reader_rank
from almondtide.model.position import revision_of
from almondtide.platform.documents import (
    CONFIGURATION_KEY,
    SERVER_PREFIX,
    decode_server,
)
from almondtide.presentation import format_table
from almondtide.registry import Registry
from standins.gossip_fleet import BOUNDS, play, server_document

from .interleave import COLUMNS, MAX_CALLS, PHASES, Outcome

__all__ = ["changes", "main", "play_fleet", "play_way", "ways"]

DEFAULT_JOBS = 4
ENTRY_COUNT = 6
NEW_VERSION = 2
# Servers of the store that write no heartbeats, so that nothing repeats a change.
QUIET_SERVERS = ("i-q1", "i-q2", "i-q3")
# Time in s after the change at which all must be equal. Entries that a restored store
# lacks are held for 2.8 s.
SETTLE_S = 4.5
RESTORE_SETTLE_S = 7.0
CONFIG_APPLY_S = BOUNDS["config_apply_ms"] / 1000.0

ways = Registry("way of an entry to read")
changes = Registry("kind of change")


# Each way brings the fleet to the point where an entry's next read goes that way, and
# returns that entry. No time passes after that.


@ways.register("changes")
async def _before_changes(fleet):
    return _by_rank(fleet)[0]


@ways.register("silent watch")
async def _before_silent_watch(fleet):
    reader = _by_rank(fleet)[0]
    fleet.store.silent_watches[reader.host] = 1
    return reader


@ways.register("lost history")
async def _before_lost_history(fleet):
    await curio.sleep(0.2)
    fleet.store.drop_history()
    return _by_rank(fleet)[0]


@ways.register("restoration")
async def _before_restoration(fleet):
    copy = fleet.store.copy()
    await curio.sleep(1.0)
    fleet.store.restore(copy)
    return _by_rank(fleet)[0]


@ways.register("restarted first rank")
async def _before_restarted_reader(fleet):
    reader = _by_rank(fleet)[0]
    await reader.restart(is_supplied=False)
    return reader


@ways.register("restarted standby")
async def _before_restarted_standby(fleet):
    standby = _by_rank(fleet)[-1]
    await standby.restart(is_supplied=False)
    return standby


@ways.register("takeover")
async def _before_takeover(fleet):
    first, second = _by_rank(fleet)[:2]
    fleet.store.refusals[first.host] = "busy"
    fleet.store.silent_watches[second.host] = 1
    return second


def _by_rank(fleet):
    """Return the entries in the order in which they take over as readers."""
    return sorted(
        fleet.entries, key=lambda entry: store_reader_rank(entry.view, fleet.now)
    )


@changes.register("configuration")
def _change_configuration(fleet):
    fleet.publish(NEW_VERSION)


@changes.register("new server")
def _add_server(fleet):
    fleet.store.put(f"{SERVER_PREFIX}i-new", server_document())


@changes.register("changed server")
def _change_server(fleet):
    fleet.store.put(SERVER_PREFIX + QUIET_SERVERS[0], server_document(capacity=5))


@changes.register("leaving server")
def _let_server_leave(fleet):
    document = server_document(state="draining")
    fleet.store.put(SERVER_PREFIX + QUIET_SERVERS[1], document)


@changes.register("removed server")
def _remove_server(fleet):
    fleet.store.remove(SERVER_PREFIX + QUIET_SERVERS[2])


def _differences(fleet):
    """Return texts "entry:key" for the entries whose replica is not the store.

    A configuration that was missed and found by the check of its key is named too.
    """
    items = fleet.store.items
    listed = {key for key in items if key.startswith(SERVER_PREFIX)}
    found = []
    for entry in fleet.entries:
        replica = entry.replica
        if entry.reader.configuration_check.counts["missed"]:
            found.append(f"{entry.number}:configuration_missed")
        configuration_position = items[CONFIGURATION_KEY].position
        if revision_of(replica.configuration_position) != revision_of(
            configuration_position
        ):
            found.append(f"{entry.number}:{CONFIGURATION_KEY}")
        known = {record.key for record in replica.server_records()}
        found.extend(f"{entry.number}:{key}" for key in sorted(listed ^ known))
        for key in sorted(listed & known):
            server = decode_server(key, items[key].value)
            if repr(server) != repr(replica.record(key).server):
                found.append(f"{entry.number}:{key}")
    return found


def play_fleet(way, change, call, phase):
    """Play one case; return its ``Outcome``."""
    calls = 0
    is_reached = False

    async def scenario(fleet):
        nonlocal calls, is_reached
        for server_id in QUIET_SERVERS:
            fleet.store.put(SERVER_PREFIX + server_id, server_document())
        await curio.sleep(2.0)
        reader = await ways.get(way)(fleet)

        def on_call(host, at):
            nonlocal calls, is_reached
            if host != reader.host or is_reached:
                return
            calls += at == "before"
            if (calls, at) == (call, phase):
                is_reached = True
                changes.get(change)(fleet)

        fleet.store.on_call = on_call
        # A takeover waits until the first rank has been late.
        await curio.sleep(2.0)
        fleet.store.on_call = None
        if not is_reached:
            return []
        await curio.sleep(RESTORE_SETTLE_S if way == "restoration" else SETTLE_S)
        found = _differences(fleet)
        if change == "configuration":
            late_s = fleet.last_in_force_s(NEW_VERSION)
            if late_s > CONFIG_APPLY_S:
                found.append(f"in force after {late_s:.2f} s")
        return found

    differences = play(scenario, count=ENTRY_COUNT)
    return Outcome(way, change, call, phase, is_reached, differences)


def play_way(way, max_calls=MAX_CALLS):
    """Play all cases of one way; return each ``Outcome``.

    The change falls into at most ``max_calls`` calls, from the first.
    """
    outcomes = []
    for change in changes.names():
        for call in range(1, max_calls + 1):
            reached = [
                outcome
                for phase in PHASES
                if (outcome := play_fleet(way, change, call, phase)).is_reached
            ]
            if not reached:
                break
            outcomes.extend(reached)
    return outcomes


def main(*names: str, jobs: int = DEFAULT_JOBS):
    """Play all cases and print those in which a change was missed.

    :param names: ways to read, all if none is given
    :param jobs: number of ways at a time
    """
    rows, count = [], 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for outcomes in pool.map(play_way, names or ways.names()):
            count += len(outcomes)
            rows.extend(
                [
                    outcome.way,
                    outcome.change,
                    str(outcome.call),
                    outcome.phase,
                    " ".join(outcome.differences),
                ]
                for outcome in outcomes
                if outcome.differences
            )
    print(format_table(COLUMNS, rows))
    print(f"{len(rows)} of {count} cases differ from the store at the end")


if __name__ == "__main__":
    defopt.run(main)
