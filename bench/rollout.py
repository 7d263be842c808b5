"""Plays how a configuration reaches all entries of a fleet while faults strike.

``python -m bench.rollout [PATTERN...] --seeds 40`` plays each pattern with several
seeds on ``standins.gossip_fleet`` and prints, for the time from the store's
acknowledgement until the last entry has a version in force, its median, 99th percentile
and maximum, and what the longest one was made of: the wait until an entry began the
read that showed the version, that read, and the way from entry to entry.
"""

import concurrent.futures
import statistics

import curio
import defopt

from almondtide.entry.members import store_reader_rank
from almondtide.presentation import format_table
from almondtide.registry import Registry
from standins.gossip_fleet import play

__all__ = ["Rollout", "main", "patterns", "play_pattern"]

COLUMNS = (
    "pattern",
    "versions",
    "median_s",
    "p99_s",
    "max_s",
    "seed",
    "wait_s",
    "read_s",
    "spread_s",
    "reader",
)
DEFAULT_SEEDS = 20
DEFAULT_JOBS = 4
# Time in s that the versions of a play have at its end.
FINAL_WAIT_S = 4.5
# Length of most plays in s, and the time between two changes of the configuration.
PLAY_S = 9.0
CHANGE_INTERVAL_S = 0.45

patterns = Registry("fault pattern")


class Rollout:
    """How one version reached the entries; all times in s.

    ``total_s`` is the time from the acknowledgement to the last entry that counts. It
    consists of ``wait_s`` until the start of the read that showed the version first,
    ``read_s`` until the reader had it in force, and ``spread_s``. The reader is the
    number of an entry, or None if no entry has the version.
    """

    __slots__ = ("read_s", "reader", "seed", "spread_s", "total_s", "version", "wait_s")

    def __init__(self, seed, version, total_s, wait_s, read_s, spread_s, reader):
        self.seed = seed
        self.version = version
        self.total_s = total_s
        self.wait_s = wait_s
        self.read_s = read_s
        self.spread_s = spread_s
        self.reader = reader


# Each function brings its faults about and returns the entries that do not count:
# those that were paused themselves.


@patterns.register("calm")
async def _play_calm(fleet):
    await _publish_in_series(fleet)
    return ()


@patterns.register("short-pauses")
async def _play_short_pauses(fleet):
    return await _pause_standbys_in_turn(fleet, for_s=1.0)


@patterns.register("long-pauses")
async def _play_long_pauses(fleet):
    return await _pause_standbys_in_turn(fleet, for_s=3.0)


@patterns.register("paused-readers")
async def _play_paused_readers(fleet):
    """All entries of the first ranks are paused, one after the other."""
    await curio.spawn(_publish_in_series, fleet, daemon=True)
    paused = _by_rank(fleet)[:4]
    for entry in paused:
        fleet.pause(entry, 2.0)
        await curio.sleep(0.9)
    await curio.sleep(PLAY_S)
    return paused


@patterns.register("refused-readers")
async def _play_refused_readers(fleet):
    """The store answers entries of the first ranks with refusals."""
    return await _refuse(fleet, "busy", fleet.rng.randint(1, 5))


@patterns.register("refused-once")
async def _play_refused_once(fleet):
    """Each entry is refused once; the first ranks, which read meanwhile, are silent."""
    for entry in _by_rank(fleet)[: fleet.rng.randint(0, 5)]:
        fleet.store.refusals[entry.host] = "silent"
    for entry in fleet.entries:
        fleet.store.refused_calls[entry.host] = 1
    await _publish_in_series(fleet)
    return ()


@patterns.register("silent-to-readers")
async def _play_silent_store(fleet):
    """The store does not answer entries of the first ranks."""
    return await _refuse(fleet, "silent", fleet.rng.randint(1, 5))


@patterns.register("lost-datagrams")
async def _play_lost_datagrams(fleet):
    fleet.loss = 0.1
    await _publish_in_series(fleet)
    return ()


@patterns.register("refused-and-lost")
async def _play_refused_and_lost(fleet):
    fleet.loss = 0.05
    return await _refuse(fleet, "silent", fleet.rng.randint(3, 5))


@patterns.register("slow-store")
async def _play_slow_store(fleet):
    fleet.store.answer_s = fleet.rng.choice((0.2, 0.28, 0.33))
    await _publish_in_series(fleet)
    return ()


@patterns.register("killed-readers")
async def _play_killed_readers(fleet):
    """The first two ranks end one after the other."""
    await curio.spawn(_publish_in_series, fleet, daemon=True)
    await curio.sleep(fleet.rng.uniform(0.5, 1.5))
    for entry in _by_rank(fleet)[:2]:
        await entry.stop()
        await curio.sleep(fleet.rng.uniform(0.5, 2.0))
    await curio.sleep(PLAY_S)
    return ()


@patterns.register("isolated-reader")
async def _play_isolated_reader(fleet):
    """The first rank reads the store and is cut off from all other entries."""
    reader = _by_rank(fleet)[0]
    fleet.is_cut = lambda source, destination: reader.host in (source, destination)
    await _publish_in_series(fleet)
    return ()


@patterns.register("isolated-standby")
async def _play_isolated_standby(fleet):
    """The last rank is cut off from all other entries, and loses two answers."""
    standby = _by_rank(fleet)[-1]
    fleet.is_cut = lambda source, destination: standby.host in (source, destination)
    await curio.sleep(fleet.rng.uniform(0.0, 1.0))
    fleet.store.lost_answers[standby.host] = 2
    await _publish_in_series(fleet)
    return ()


@patterns.register("held-datagrams")
async def _play_held_datagrams(fleet):
    """The link of the first rank holds what it sends to its peers.

    That entry is out of touch.
    """
    reader = _by_rank(fleet)[0]
    fleet.held_s[reader.host] = fleet.rng.uniform(1.0, 4.0)
    await _publish_in_series(fleet)
    return (reader,)


@patterns.register("killed-refused-lost")
async def _play_killed_refused_lost(fleet):
    """The first rank ends, the second is refused, the third loses two answers."""
    first, second, third = _by_rank(fleet)[:3]
    await curio.sleep(fleet.rng.uniform(0.5, 1.5))
    await first.stop()
    fleet.store.refusals[second.host] = "silent"
    fleet.store.lost_answers[third.host] = 2
    await _publish_in_series(fleet)
    return ()


@patterns.register("busy-network")
async def _play_busy_network(fleet):
    """Datagrams take up to 60 ms, as between entries with little processor time."""
    fleet.jitter_s = 0.06
    await _publish_in_series(fleet)
    return ()


@patterns.register("cursors-ahead")
async def _play_cursors_ahead(fleet):
    """All cursors pass each version unread, as by a peer that states a false one."""
    for version in range(2, 6):
        await curio.sleep(2.0 * fleet.rng.uniform(0.6, 1.4))
        fleet.publish(version)
        for entry in fleet.entries:
            entry.feed.adopt_cursor(fleet.store.position(), fleet.now)
    return ()


def _by_rank(fleet):
    """Return the entries in the order in which they take over as readers."""
    return sorted(
        fleet.entries, key=lambda entry: store_reader_rank(entry.view, fleet.now)
    )


async def _publish_in_series(fleet):
    await curio.sleep(fleet.rng.uniform(0.0, 1.0))
    for version in range(2, 2 + int(PLAY_S / CHANGE_INTERVAL_S)):
        fleet.publish(version)
        await curio.sleep(CHANGE_INTERVAL_S * fleet.rng.uniform(0.6, 1.4))


async def _pause_standbys_in_turn(fleet, for_s):
    standbys = [
        entry for entry in fleet.entries if not entry.view.local_member.is_active
    ]
    paused = fleet.rng.sample(standbys, min(9, len(standbys)))
    await curio.sleep(fleet.rng.random())
    for version, entry in enumerate(paused, start=2):
        fleet.publish(version)
        fleet.pause(entry, for_s)
        await curio.sleep(0.9)
    return paused


async def _refuse(fleet, mode, count):
    for entry in _by_rank(fleet)[:count]:
        fleet.store.refusals[entry.host] = mode
    await _publish_in_series(fleet)
    return ()


def play_pattern(name, seed, count=15):
    """Return the ``Rollout`` of each version of one play of a pattern.

    ``count`` is the number of entries.
    """

    async def scenario(fleet):
        excused = await patterns.get(name)(fleet)
        await curio.sleep(FINAL_WAIT_S)
        return [
            _describe(fleet, seed, version, excused)
            for version in fleet.acknowledged
            if version > 1
        ]

    return play(scenario, seed, count=count)


def _describe(fleet, seed, version, excused):
    total_s = fleet.last_in_force_s(version, excused)
    acknowledged_at = fleet.acknowledged[version]
    read = _first_read(fleet, version)
    if read is None:
        return Rollout(seed, version, total_s, total_s, 0.0, 0.0, None)
    started_at, ended_at, reader = read
    wait_s = max(0.0, started_at - acknowledged_at)
    read_s = ended_at - acknowledged_at - wait_s
    spread_s = max(0.0, total_s - wait_s - read_s)
    return Rollout(seed, version, total_s, wait_s, read_s, spread_s, reader)


def _first_read(fleet, version):
    """Return (start, end, entry) of the first read that showed the version, or None."""
    reads = [
        (at - fields["ms"] / 1000.0, at, entry.number)
        for entry in fleet.entries
        for at, name, fields in entry.log.events
        if name == "replica_read" and fields["version"] >= version
    ]
    return min(reads, key=lambda read: read[1], default=None)


def _summarize(name, rollouts):
    times = sorted(rollout.total_s for rollout in rollouts)
    worst = max(rollouts, key=lambda rollout: rollout.total_s)
    return [
        name,
        len(times),
        round(statistics.median(times), 3),
        round(times[int(0.99 * (len(times) - 1))], 3),
        round(worst.total_s, 3),
        worst.seed,
        round(worst.wait_s, 3),
        round(worst.read_s, 3),
        round(worst.spread_s, 3),
        "none" if worst.reader is None else worst.reader + 1,
    ]


def main(
    *names: str, seeds: int = DEFAULT_SEEDS, entries: int = 15, jobs: int = DEFAULT_JOBS
):
    """Play fault patterns and print how long a configuration takes.

    :param names: patterns, all if none is given
    :param seeds: number of plays of each pattern
    :param entries: number of entries of the fleet
    :param jobs: number of plays at a time
    """
    rows = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for name in names or patterns.names():
            plays = [
                pool.submit(play_pattern, name, seed, entries)
                for seed in range(1, seeds + 1)
            ]
            rollouts = [rollout for future in plays for rollout in future.result()]
            rows.append([str(value) for value in _summarize(name, rollouts)])
    print(format_table(COLUMNS, rows))


if __name__ == "__main__":
    defopt.run(main)
