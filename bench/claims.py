"""Plays random faults and changes, and checks what entries state of their replicas.

``python -m bench.claims --seeds 200`` plays ``standins.gossip_fleet`` for each seed,
with pauses, restarts, cuts, lost datagrams, refused calls and silent watches
beside changes of configuration and servers. Meanwhile two statements are checked on
each entry, which others rely on: it has all changes up to its cursor, and its replica
matched the store at the time that it states. The first untrue ones are printed.
"""

import bisect
import concurrent.futures

import curio
import defopt

from almondtide.entry.feed import REMOVAL_HOLD_S
from almondtide.platform.documents import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    SERVER_PREFIX,
    decode_server,
)
from almondtide.presentation import format_table
from almondtide.registry import Registry
from standins.gossip_fleet import DOMAINS, play, server_document

__all__ = ["Recorder", "UntrueClaim", "actions", "check", "main", "play_claims"]

COLUMNS = ("seed", "at_s", "entry", "claim", "key", "stated", "written")
DEFAULT_SEEDS = 20
DEFAULT_JOBS = 2
ENTRY_COUNT = 8
SERVER_COUNT = 6
EVACUATE_MS = 2500
# Content of the key of a failure domain that is evacuated.
EVACUATED = "evacuated"
PLAY_S = 15.0
CHECK_INTERVAL_S = 0.05
MAX_ACTION_INTERVAL_S = 0.4
# Longest time of a datagram on its way, in s. The age of a read leaves it out, in each
# of the few steps until an entry hears of the read.
MAX_DELAY_S = 0.1
FRESH_TOLERANCE_S = 2.5 * MAX_DELAY_S

actions = Registry("action")


class UntrueClaim:
    """A statement of an entry that the store's history contradicts.

    ``claim`` is "cursor" or "fresh_at", ``stated`` its value, and ``written`` the
    position or time of the change of ``key`` that the entry lacks. ``at_s`` is the time
    since the start of the play.
    """

    __slots__ = ("at_s", "claim", "entry", "key", "stated", "written")

    def __init__(self, at_s, entry, claim, key, stated, written):
        self.at_s = at_s
        self.entry = entry
        self.claim = claim
        self.key = key
        self.stated = stated
        self.written = written


class _History:
    """All changes of one key: positions and times, ascending, and contents."""

    __slots__ = ("contents", "positions", "times")

    def __init__(self):
        self.positions = []
        self.times = []
        self.contents = []

    def append(self, position, at, content):
        self.positions.append(position)
        self.times.append(at)
        self.contents.append(content)


class Recorder:
    """Keeps the history of all keys of a ``ModelStore``; times are in s."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.histories = {}
        # Key -> time until which an entry may keep a server that the store lacks, or
        # another one that has copied its replica.
        self._held_until = {}
        for item in fleet.store.items.values():
            self._append(item)
        fleet.store.on_change = self._append

    def _append(self, item):
        content = None
        if item.value is not None and item.key.startswith(SERVER_PREFIX):
            content = repr(decode_server(item.key, item.value))
        elif item.value is not None:
            content = EVACUATED
        history = self.histories.setdefault(item.key, _History())
        history.append(item.position, self._fleet.now, content)

    def note_held(self):
        """Record which servers are held on some entry."""
        for entry in self._fleet.entries:
            for key in self.histories:
                if entry.feed.is_held(key):
                    self._held_until[key] = self._fleet.now + REMOVAL_HOLD_S

    def is_held(self, key):
        """Return whether some entry keeps a server that the store no longer lists."""
        return self._fleet.now < self._held_until.get(key, 0.0)


def check(recorder, entry):
    """Return (claim, key, stated, written) for each untrue statement of an entry."""
    cursor, _ = entry.feed.shared_position
    found = []
    for key, history in recorder.histories.items():
        if recorder.is_held(key):
            continue
        is_evacuation = key.startswith(EVACUATION_PREFIX)
        fresh_at = entry.replica.fresh_at
        if is_evacuation:
            fresh_at = entry.feed.evacuations.known_at
            if fresh_at is None:
                # Unused, or not known yet: then no peer takes over the cursor.
                continue
        at_cursor = bisect.bisect_right(history.positions, cursor) - 1
        if at_cursor >= 0 and not _has_change(entry.feed, key, history, at_cursor):
            found.append(("cursor", key, cursor, history.positions[at_cursor]))
        if fresh_at is None:
            continue
        at_time = bisect.bisect_left(history.times, fresh_at - FRESH_TOLERANCE_S) - 1
        if at_time >= 0 and not _has_change(entry.feed, key, history, at_time):
            found.append(("fresh_at", key, fresh_at, history.times[at_time]))
    return found


def _has_change(feed, key, history, number):
    """Return whether a replica has a change of a key, or the contents since then."""
    position = history.positions[number]
    replica = feed.replica
    if key == CONFIGURATION_KEY:
        return replica.configuration_position >= position
    if key.startswith(EVACUATION_PREFIX):
        state = feed.evacuations.get(key[len(EVACUATION_PREFIX) :])
        if state is not None and state.position >= position:
            return True
        known = EVACUATED if state is not None and state.is_active else None
        return known in history.contents[number:]
    record = replica.record(key)
    if record is not None and record.position >= position:
        return True
    known = None
    if record is not None and record.server is not None:
        known = repr(record.server)
    return known in history.contents[number:]


# Each action is a function that does one thing to the fleet.


@actions.register("publish")
async def _publish(fleet):
    fleet.publish(max(fleet.acknowledged) + 1)


@actions.register("change server")
async def _change_server(fleet):
    key = f"{SERVER_PREFIX}i-q{fleet.rng.randrange(SERVER_COUNT)}"
    state = fleet.rng.choice(("ready", "ready", "draining"))
    # A server that is leaving does not come back but by a new start.
    document = server_document(state=state, born=fleet.store.revision)
    fleet.store.put(key, document)


@actions.register("remove server")
async def _remove_server(fleet):
    key = f"{SERVER_PREFIX}i-q{fleet.rng.randrange(SERVER_COUNT)}"
    if key in fleet.store.items:
        fleet.store.remove(key)


@actions.register("replace server")
async def _replace_server(fleet):
    key = f"{SERVER_PREFIX}i-q{fleet.rng.randrange(SERVER_COUNT)}"
    value = fleet.store.items[key].value if key in fleet.store.items else b"draining"
    if b"draining" not in value:
        fleet.store.remove(key)
        await curio.sleep(fleet.rng.uniform(0.0, 0.02))
        fleet.store.put_raw(key, value)


@actions.register("evacuate")
async def _evacuate(fleet):
    fleet.store.put(EVACUATION_PREFIX + fleet.rng.choice(DOMAINS), {})


@actions.register("withdraw")
async def _withdraw(fleet):
    key = EVACUATION_PREFIX + fleet.rng.choice(DOMAINS)
    if key in fleet.store.items:
        fleet.store.remove(key)


@actions.register("pause")
async def _pause(fleet):
    fleet.pause(fleet.rng.choice(fleet.entries), fleet.rng.uniform(0.1, 2.5))


@actions.register("restart")
async def _restart(fleet):
    entry = fleet.rng.choice(fleet.entries)
    await entry.restart(is_supplied=fleet.rng.random() < 0.5)


@actions.register("cut")
async def _cut(fleet):
    host = fleet.rng.choice(fleet.entries).host
    fleet.is_cut = lambda source, destination: host in (source, destination)


@actions.register("heal")
async def _heal(fleet):
    fleet.is_cut = lambda source, destination: False


@actions.register("silent watch")
async def _silence_watch(fleet):
    fleet.store.silent_watches[fleet.rng.choice(fleet.entries).host] = 1


@actions.register("refused call")
async def _refuse_call(fleet):
    fleet.store.refused_calls[fleet.rng.choice(fleet.entries).host] = 1


@actions.register("lost history")
async def _drop_history(fleet):
    fleet.store.drop_history()


@actions.register("network")
async def _change_network(fleet):
    fleet.loss = fleet.rng.choice((0.0, 0.0, 0.1, 0.3))
    fleet.jitter_s = fleet.rng.choice((0.002, 0.02, MAX_DELAY_S))


@actions.register("store")
async def _change_store(fleet):
    fleet.store.answer_s = fleet.rng.choice((0.004, 0.02, 0.15))


async def _act(fleet, until):
    names = actions.names()
    while fleet.now < until:
        await curio.sleep(fleet.rng.uniform(0.0, MAX_ACTION_INTERVAL_S))
        await actions.get(fleet.rng.choice(names))(fleet)


def play_claims(seed):
    """Play one seed; return the first ``UntrueClaim`` of each entry, claim and key.

    Entries with even seeds evacuate failure domains.
    """
    bounds = {} if seed % 2 else {"evacuate_ms": EVACUATE_MS}

    async def scenario(fleet):
        for number in range(SERVER_COUNT):
            fleet.store.put(f"{SERVER_PREFIX}i-q{number}", server_document())
        recorder = Recorder(fleet)
        await curio.sleep(1.5)
        started_at = fleet.now
        until = started_at + PLAY_S
        task = await curio.spawn(_act, fleet, until)
        found = {}
        while fleet.now < until:
            await curio.sleep(CHECK_INTERVAL_S)
            recorder.note_held()
            for entry in fleet.entries:
                for claim, key, stated, written in check(recorder, entry):
                    found.setdefault(
                        (entry.number, claim, key),
                        UntrueClaim(
                            fleet.now - started_at,
                            entry.number,
                            claim,
                            key,
                            stated,
                            written,
                        ),
                    )
        await task.join()
        return list(found.values())

    return play(scenario, seed, count=ENTRY_COUNT, further_bounds=bounds)


def main(*, seeds: int = DEFAULT_SEEDS, first_seed: int = 1, jobs: int = DEFAULT_JOBS):
    """Play random faults and print the statements that were untrue.

    :param seeds: number of plays
    :param first_seed: seed of the first play
    :param jobs: number of plays at a time
    """
    chosen = range(first_seed, first_seed + seeds)
    rows = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for seed, found in zip(chosen, pool.map(play_claims, chosen), strict=True):
            rows.extend(
                [
                    str(seed),
                    f"{claim.at_s:.2f}",
                    str(claim.entry),
                    claim.claim,
                    claim.key,
                    str(claim.stated),
                    str(claim.written),
                ]
                for claim in found
            )
    print(format_table(COLUMNS, rows))
    print(f"{len({row[0] for row in rows})} of {seeds} seeds have untrue statements")


if __name__ == "__main__":
    defopt.run(main)
