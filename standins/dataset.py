"""Seeded data sets that resemble the users' data, and queries over them."""

import bisect
import functools
import math
import random
import zlib

from almondtide.shards import KEY_SPACE

__all__ = [
    "DataSet",
    "evaluate",
    "evaluate_merged",
    "make_data_set",
    "make_query",
]

DISTRICTS = ("Lautoka", "Nadi", "Ba", "Tavua", "Sigatoka", "Rakiraki")
NETWORKS = ("cane", "dalo", "ministry")
DEPTHS_CM = (10, 30, 60, 100)
SUBSTANCES = ("chlorine", "transformer oil", "ammonia", "sodium hypochlorite")
HAZARDS = ("corrosive", "flammable", "toxic", "oxidising", "hazardous to water")
LANGUAGES = ("es", "en", "pt")
# Every fourth probe shares the id of the probe before it, which is in another network.
SHARED_ID_INTERVAL = 4
READINGS_PER_PROBE = 2
# Unix time of 2026-01-01 00:00 UTC.
FIRST_READING_S = 1_767_225_600
READING_INTERVAL_S = 900
# Each version lacks one row in this many; which rows it lacks differs by version.
ABSENT_ROW_INTERVAL = 17


class DataSet:
    """Rows of one index in several versions.

    A row is a dict with ``key``, ``id`` (unique within a version) and ``value``.
    Each version changes values, adds some rows and drops others, so that an
    answer that mixes versions differs from the answer of every single version.
    """

    __slots__ = ("_keys", "_rows", "kind", "seed", "size")

    def __init__(self, kind, seed, size):
        self.kind = kind
        self.seed = seed
        self.size = size
        self._rows = {}
        self._keys = {}

    def rows(self, version):
        """Return all rows of ``version`` in key order."""
        if version not in self._rows:
            rows = self._make_rows(version)
            self._rows[version] = rows
            self._keys[version] = [row["key"] for row in rows]
        return self._rows[version]

    def _make_rows(self, version):
        rng = random.Random(f"{self.kind}/{self.seed}")
        rows = []
        for number in range(self.size):
            row = _ROW_MAKERS[self.kind](rng, number, version)
            if (number + version) % ABSENT_ROW_INTERVAL != 0:
                rows.append(row)
        rows.sort(key=lambda row: (row["key"], row["id"]))
        return rows

    def search(self, query, version, ranges):
        """Return the rows of ``ranges`` that match ``query``, in key order.

        Overlapping ranges repeat rows, as two searches of a server would.
        """
        rows = self.rows(version)
        keys = self._keys[version]
        found = []
        for low, high in sorted(ranges):
            first = bisect.bisect_left(keys, low)
            last = bisect.bisect_left(keys, high)
            found.extend(row for row in rows[first:last] if _matches(row, query))
        return found


def _get_key(text):
    """Return the key that the index publisher assigns to ``text``."""
    return zlib.crc32(text.encode()) % KEY_SPACE


def _make_probe(rng, number, version):
    """Return one reading of a probe; two networks may use the same probe id."""
    probe_number, reading = divmod(number, READINGS_PER_PROBE)
    network_number = probe_number % len(NETWORKS)
    if probe_number % SHARED_ID_INTERVAL == SHARED_ID_INTERVAL - 1:
        # Uses the id of the probe before it, in the next network.
        probe_number -= 1
    network = NETWORKS[network_number]
    probe = f"vl-{probe_number:05d}"
    moisture = (rng.randrange(50, 600) + version * 7) % 600 / 10.0
    taken_s = FIRST_READING_S + READING_INTERVAL_S * (reading + rng.randrange(96))
    return {
        # The key depends on the probe id only, so that the readings of both networks
        # with a shared id are in one shard.
        "key": _get_key(probe),
        "id": f"{network}/{probe}/{reading}",
        "probe": probe,
        "network": network,
        "district": DISTRICTS[probe_number % len(DISTRICTS)],
        "depth_cm": rng.choice(DEPTHS_CM),
        "moisture": moisture,
        "time": taken_s + version * READING_INTERVAL_S,
        "value": moisture,
        "version": version,
    }


def _make_sheet(rng, number, version):
    """Return one safety data sheet; ``value`` repeats its revision."""
    sheet = f"sds-{number:05d}"
    revision = (rng.randrange(1, 100) + version) % 100
    return {
        "key": _get_key(sheet),
        "id": sheet,
        "sheet": sheet,
        "substance": rng.choice(SUBSTANCES),
        "hazards": sorted(rng.sample(HAZARDS, rng.randint(1, 3))),
        "language": rng.choice(LANGUAGES),
        "revision": revision,
        "value": revision,
        "version": version,
    }


_ROW_MAKERS = {"probes": _make_probe, "sheets": _make_sheet}


@functools.cache
def make_data_set(kind, seed=1, size=2000):
    """Return the ``DataSet`` of ``kind``: ``probes`` or ``sheets``.

    Servers in one process share it; the rows must not be changed.
    """
    return DataSet(kind, seed, size)


def _matches(row, query):
    match = query.get("match") if isinstance(query, dict) else None
    for field, expected in (match or {}).items():
        value = row.get(field)
        if value != expected and not (isinstance(value, list) and expected in value):
            return False
    minimum = query.get("minimum") if isinstance(query, dict) else None
    return minimum is None or row["value"] >= minimum


def evaluate(data_set, query, version, ranges=((0, KEY_SPACE),)):
    """Return the rows that a search of the whole index in one process finds."""
    return data_set.search(query, version, ranges)


def evaluate_merged(data_set, query, version, merge="rows", ranges=((0, KEY_SPACE),)):
    """Return the result of a query that is evaluated over the whole index.

    ``ranges`` restricts the evaluation to the covered part of a partial answer.
    The merges are implemented here independently, over the list of all rows, so
    that a fault in almondtide's merges shows as a difference.
    """
    rows = evaluate(data_set, query, version, ranges)
    if merge == "rows":
        return {"rows": rows}
    if merge == "count":
        return {"count": len(rows)}
    if merge == "newest_per_probe":
        return {"rows": _newest_per_probe(rows)}
    values = [row["value"] for row in rows]
    return {
        "count": len(values),
        "minimum": min(values, default=None),
        "maximum": max(values, default=None),
        "mean": math.fsum(values) / len(values) if values else None,
    }


def _newest_per_probe(rows):
    probes = sorted({(row["network"], row["probe"]) for row in rows})
    newest = []
    for name in probes:
        readings = [row for row in rows if (row["network"], row["probe"]) == name]
        newest.append(max(readings, key=lambda row: (row["time"], row["id"])))
    return sorted(newest, key=lambda row: (row["key"], row["id"]))


def make_query(kind, rng):
    """Return a random query body for the data set ``kind``."""
    if kind == "probes":
        match = {"district": rng.choice(DISTRICTS)}
        if rng.random() < 0.5:
            match["network"] = rng.choice(NETWORKS)
        if rng.random() < 0.3:
            match["depth_cm"] = rng.choice(DEPTHS_CM)
    else:
        match = {"substance": rng.choice(SUBSTANCES)}
        if rng.random() < 0.5:
            match["hazards"] = rng.choice(HAZARDS)
        if rng.random() < 0.3:
            match["language"] = rng.choice(LANGUAGES)
    query = {"match": match}
    if rng.random() < 0.3:
        query["minimum"] = rng.randrange(1, 50)
    return query
