"""Lets one change of the store fall before and after each call of each way to read it.

``python -m bench.interleave [WAY...]`` plays all cases with the entry's own client,
reader and feed against the stand-in of the store over HTTP, and prints those in which
the replica still differs from the store after the next read. The cases are few, so
they are enumerated and not sampled.

A way to read is an async function that brings a ``ReadingEntry`` to the point where
its next read goes that way. A kind of change is an async function that writes one
change to the store.
"""

import time

import curio
import defopt
import orjson

from almondtide.entry.feed import StoreFeed
from almondtide.entry.members import Member, MembershipView, MemberState
from almondtide.entry.reader import StoreReader
from almondtide.entry.replica import StoreReplica
from almondtide.model.position import revision_of
from almondtide.platform.documents import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    SERVER_PREFIX,
    decode_configuration,
    decode_server,
)
from almondtide.platform.settings import decode_settings
from almondtide.platform.store import StoreClient
from almondtide.presentation import format_table
from almondtide.registry import Registry
from standins.gossip_fleet import RecordingLog, entry_settings, server_document
from standins.store import MAX_WATCH_EVENTS, StoreServer

__all__ = ["Outcome", "ReadingEntry", "changes", "main", "play", "play_all", "ways"]

COLUMNS = ("way", "change", "call", "phase", "differences")
PHASES = ("before", "after")
# Calls of a read that may be interleaved; more mean that a read does not end.
MAX_CALLS = 40
STORE_TIMEOUT_S = 5.0
# Time in s from a read to the next one, which is the interval of the first rank.
READ_INTERVAL_S = 0.99
# Time in s that a call takes.
CALL_S = 0.01
# Longer than entries are held that a restored store lacks, in s.
SETTLE_S = 3.0
# Of a list, so that a few servers make several pages.
PAGE_ITEMS = 3
# Size of large values, and the limit of answers in the ways that have such values.
PADDING_BYTES = 400_000
MAX_ANSWER_BYTES = 2 * PADDING_BYTES
SERVER_COUNT = 4
EVACUATED_DOMAIN = "nadi"
WITHDRAWN_DOMAIN = "suva"

ways = Registry("way to read")
changes = Registry("kind of change")


class _QuietGossip:
    """Takes the place of the peers, of which there are none."""

    async def send_updates(self, records, is_configuration_new):
        """Send nothing."""

    async def send_evacuations(self, evacuations):
        """Send nothing."""

    async def trigger_heartbeat(self):
        """Send nothing."""


class _TimedStore(StoreServer):
    """Keeps the time of each change in ``written_at``, by revision, in s."""

    def __init__(self, now):
        super().__init__(page_items=PAGE_ITEMS)
        self._now = now
        self.written_at = {}

    async def _append_event(self, event):
        self.written_at[event["revision"]] = self._now()
        await super()._append_event(event)


class ReadingEntry:
    """The part of an entry that reads the store, and the store that it reads.

    Its clock ``now``, in s, moves by ``CALL_S`` with each call and else with ``read``.
    """

    def __init__(self, uses_evacuations):
        bounds = {"evacuate_ms": 2000} if uses_evacuations else {}
        document = entry_settings(0, bounds)
        self.settings = decode_settings(orjson.dumps(document))
        self.now = 1000.0
        self.store = _TimedStore(lambda: self.now)
        self.log = RecordingLog(lambda: self.now)
        self.replica = StoreReplica()
        self.feed = StoreFeed(self.settings, self.replica, self.log)
        self.version = 0
        self.client = None
        self.reader = None

    async def start(self):
        """Start the store and write its first contents."""
        await self.store.start()
        self.client = StoreClient(self.store.address, STORE_TIMEOUT_S)
        local = Member("e-1", 1, "127.0.0.1", "d", MemberState.READY, 1.0, True, 0.0)
        self.reader = StoreReader(
            self.settings,
            self.client,
            MembershipView(local),
            self.replica,
            self.feed,
            _QuietGossip(),
            self._on_changes,
            lambda: self.now,
            self.log,
        )
        await self.publish()
        for number in range(SERVER_COUNT):
            await self.register(number)
        if self.feed.uses_evacuations:
            await self.store.put(EVACUATION_PREFIX + WITHDRAWN_DOMAIN, {})

    async def close(self):
        """Close the store and the connection to it."""
        await self.client.close()
        await self.store.close()

    async def _on_changes(self, records, is_configuration_new, source):
        pass

    async def read(self, after_s=READ_INTERVAL_S):
        """Let ``after_s`` seconds pass and read the store once."""
        self.now += after_s
        await self.reader._read()

    async def publish(self, padding_bytes=0):
        """Write the next version of the configuration."""
        self.version += 1
        document = {"version": self.version, "routes": [], "services": []}
        if padding_bytes:
            document["padding"] = "x" * padding_bytes
        await self.store.put(CONFIGURATION_KEY, document)

    async def register(self, number, **fields):
        """Write the entry of a server."""
        document = server_document(
            address=f"127.0.0.1:{8000 + number}", sequence=self.store.revision, **fields
        )
        await self.store.put(f"{SERVER_PREFIX}i-{number}", document)

    def differences(self):
        """Return the keys whose values in the replica are not those of the store.

        A configuration that was missed and found by the check of its key is named too.
        """
        found = []
        if self.reader.configuration_check.counts["missed"]:
            found.append("configuration_missed")
        version = decode_configuration(self._stored(CONFIGURATION_KEY)).version
        if self.replica.configuration_version != version:
            found.append(CONFIGURATION_KEY)
        listed = {key for key in self.store.items if key.startswith(SERVER_PREFIX)}
        known = {record.key for record in self.replica.server_records()}
        found.extend(sorted(listed ^ known))
        for key in sorted(listed & known):
            server = decode_server(key, self._stored(key))
            if repr(server) != repr(self.replica.record(key).server):
                found.append(key)
        if self.feed.uses_evacuations:
            prefix = EVACUATION_PREFIX
            stored = {key for key in self.store.items if key.startswith(prefix)}
            active = self.feed.evacuations.active()
            found.extend(sorted(stored ^ {prefix + state.domain for state in active}))
        return found

    def untrue_times(self):
        """Return the names of times that a change after the cursor contradicts.

        The store accepted all changes after the cursor later than ``read_at``, and the
        replica matched the store at ``fresh_at``.
        """
        cursor = revision_of(self.feed.cursor)
        times = [at for rev, at in self.store.written_at.items() if rev > cursor]
        first_at = min(times, default=self.now)
        stated = {"read_at": self.feed.read_at, "fresh_at": self.replica.fresh_at}
        return [name for name, at in stated.items() if first_at < at]

    def _stored(self, key):
        return self.store.value(key)


# Ways to read


@ways.register("first read")
async def _before_first_read(entry):
    pass


@ways.register("changes")
async def _before_changes(entry):
    await entry.read()
    await entry.register(0)


@ways.register("after lost history")
async def _before_lost_history(entry):
    await entry.read()
    await entry.register(0, capacity=4)
    entry.store.drop_history()
    await entry.register(1)


@ways.register("after a silent watch")
async def _before_silent_watch(entry):
    await entry.read()
    entry.store.silent_watches = 1


@ways.register("after a restoration")
async def _before_restoration(entry):
    await entry.read()
    copy = entry.store.copy()
    await entry.register(0, capacity=4)
    await entry.read()
    await entry.store.restore(copy)
    await entry.register(0, capacity=4)


@ways.register("full pages of changes")
async def _before_full_pages(entry):
    await entry.read()
    for _ in range(3 * MAX_WATCH_EVENTS // SERVER_COUNT):
        for number in range(SERVER_COUNT):
            await entry.register(number)


@ways.register("pages of changes cut by their bytes")
async def _before_large_changes(entry):
    entry.store.max_answer_bytes = MAX_ANSWER_BYTES
    await entry.read()
    for _ in range(4):
        await entry.publish(PADDING_BYTES)


@ways.register("page of changes cut before a large value")
async def _before_large_change(entry):
    entry.store.max_answer_bytes = MAX_ANSWER_BYTES
    await entry.publish(PADDING_BYTES)
    await entry.read()
    await entry.register(0, capacity=4)
    await entry.publish(2 * PADDING_BYTES)


@ways.register("pages of a list cut by their bytes")
async def _before_large_list(entry):
    entry.store.max_answer_bytes = MAX_ANSWER_BYTES
    for number in range(SERVER_COUNT):
        await entry.register(number, padding="x" * PADDING_BYTES)


# Kinds of change


@changes.register("configuration")
async def _change_configuration(entry):
    await entry.publish()


@changes.register("new server, first in the list")
async def _add_first_server(entry):
    await entry.register(-1)


@changes.register("new server, last in the list")
async def _add_last_server(entry):
    await entry.register(9)


@changes.register("changed server")
async def _change_server(entry):
    await entry.register(1, capacity=5)


@changes.register("leaving server")
async def _let_server_leave(entry):
    await entry.register(2, state="draining")


@changes.register("removed server")
async def _remove_server(entry):
    await entry.store.remove(f"{SERVER_PREFIX}i-3")


@changes.register("server removed and registered again")
async def _restart_server(entry):
    await entry.store.remove(f"{SERVER_PREFIX}i-0")
    await entry.register(0, born=8)


@changes.register("evacuation")
async def _evacuate(entry):
    await entry.store.put(EVACUATION_PREFIX + EVACUATED_DOMAIN, {})


@changes.register("withdrawn evacuation")
async def _withdraw_evacuation(entry):
    await entry.store.remove(EVACUATION_PREFIX + WITHDRAWN_DOMAIN)


@changes.register("restoration")
async def _restore_store(entry):
    await entry.store.restore(entry.store.copy())
    await entry.register(1, capacity=6)


class Outcome:
    """The differences that one case left: keys of the store, and untrue times.

    The change fell in the ``phase`` of call ``call`` of the read, from 1. Without
    ``is_reached`` the read made fewer calls, so that nothing was changed.
    """

    __slots__ = ("call", "change", "differences", "is_reached", "phase", "way")

    def __init__(self, way, change, call, phase, is_reached, differences):
        self.way = way
        self.change = change
        self.call = call
        self.phase = phase
        self.is_reached = is_reached
        self.differences = differences


async def play(way, change, call, phase, uses_evacuations=False):
    """Play one case; return its ``Outcome``.

    The read of that way is followed by two more, so that nothing is held any more
    that a restored store lacks.
    """
    entry = ReadingEntry(uses_evacuations)
    await entry.start()
    calls = 0
    is_reached = False

    async def on_call(at):
        nonlocal calls, is_reached
        calls += at == "before"
        entry.now += CALL_S
        if (calls, at) == (call, phase) and not is_reached:
            is_reached = True
            await changes.get(change)(entry)

    try:
        await ways.get(way)(entry)
        entry.store.on_call = on_call
        await entry.read()
        untrue_times = entry.untrue_times()
        entry.store.on_call = None
        await entry.read()
        if way == "after a restoration":
            await entry.read(SETTLE_S)
            entry.feed.release_held_removals(entry.now)
        differences = [*untrue_times, *entry.differences()]
        return Outcome(way, change, call, phase, is_reached, differences)
    finally:
        await entry.close()


async def _play_change(way, change, uses_evacuations):
    """Play all cases of one way and one kind of change; return each ``Outcome``."""
    found = []
    for call in range(1, MAX_CALLS + 1):
        reached = []
        for phase in PHASES:
            outcome = await play(way, change, call, phase, uses_evacuations)
            if outcome.is_reached:
                reached.append(outcome)
        if not reached:
            break
        found.extend(reached)
    return found


async def play_all(names=(), uses_evacuations=False):
    """Play all cases of some ways, or of all; return each ``Outcome``."""
    outcomes = []
    for way in names or ways.names():
        async with curio.TaskGroup() as group:
            for change in changes.names():
                if "evacuation" not in change or uses_evacuations:
                    await group.spawn(_play_change, way, change, uses_evacuations)
        for found in group.results:
            outcomes.extend(found)
    return outcomes


async def _play_and_print(names):
    started_at = time.monotonic()
    rows, count = [], 0
    for uses_evacuations in (False, True):
        for outcome in await play_all(names, uses_evacuations):
            count += 1
            if outcome.differences:
                rows.append(
                    [
                        outcome.way,
                        outcome.change,
                        str(outcome.call),
                        outcome.phase,
                        " ".join(outcome.differences),
                    ]
                )
    print(format_table(COLUMNS, rows))
    took_s = time.monotonic() - started_at
    print(f"{len(rows)} of {count} cases differ after the next read ({took_s:.0f} s)")


def main(*names: str):
    """Play all cases and print those in which a change was missed.

    :param names: ways to read, all if none is given
    """
    curio.run(_play_and_print, names)


if __name__ == "__main__":
    defopt.run(main)
