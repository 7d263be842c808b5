"""Seeded data sets in the shape of the users' work, and queries over them."""

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
# Every fourth probe id is used by a second network for another probe.
SHARED_ID_EVERY = 4
READINGS_PER_PROBE = 2
# 2026-01-01 00:00 UTC, in seconds since the Unix epoch.
FIRST_READING = 1_767_225_600
READING_INTERVAL_S = 900
# One row of this many is absent from each version, another one each time.
ABSENT_EVERY = 17


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
            rows = self._make(version)
            self._rows[version] = rows
            self._keys[version] = [row["key"] for row in rows]
        return self._rows[version]

    def _make(self, version):
        rng = random.Random(f"{self.kind}/{self.seed}")
        rows = []
        for number in range(self.size):
            row = _ROW_MAKERS[self.kind](rng, number, version)
            if (number + version) % ABSENT_EVERY != 0:
                rows.append(row)
        rows.sort(key=lambda row: (row["key"], row["id"]))
        return rows

    def search(self, query, version, ranges):
        """Return the rows of ``ranges`` that match ``query``, in key order.

        Ranges that overlap repeat rows, as a server would that was asked twice.
        """
        rows = self.rows(version)
        keys = self._keys[version]
        found = []
        for low, high in sorted(ranges):
            first = bisect.bisect_left(keys, low)
            last = bisect.bisect_left(keys, high)
            found.extend(row for row in rows[first:last] if _matches(row, query))
        return found


def _key(text):
    """Return the key that the publisher of the index gives to ``text``."""
    return zlib.crc32(text.encode()) % KEY_SPACE


def _make_probe(rng, number, version):
    """Return one reading; two networks may use the same probe id."""
    probe_number, reading = divmod(number, READINGS_PER_PROBE)
    network_number = probe_number % len(NETWORKS)
    if probe_number % SHARED_ID_EVERY == SHARED_ID_EVERY - 1:
        # The id of the probe before this one, in the next network.
        probe_number -= 1
    network = NETWORKS[network_number]
    probe = f"vl-{probe_number:05d}"
    moisture = (rng.randrange(50, 600) + version * 7) % 600 / 10.0
    taken = FIRST_READING + READING_INTERVAL_S * (reading + rng.randrange(96))
    return {
        # The key comes from the probe id alone, so that both networks' readings
        # of a shared id meet in one shard.
        "key": _key(probe),
        "id": f"{network}/{probe}/{reading}",
        "probe": probe,
        "network": network,
        "district": DISTRICTS[probe_number % len(DISTRICTS)],
        "depth_cm": rng.choice(DEPTHS_CM),
        "moisture": moisture,
        "time": taken + version * READING_INTERVAL_S,
        "value": moisture,
        "version": version,
    }


def _make_sheet(rng, number, version):
    """Return one safety data sheet; ``value`` repeats its revision."""
    sheet = f"sds-{number:05d}"
    revision = (rng.randrange(1, 100) + version) % 100
    return {
        "key": _key(sheet),
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
    for field, wanted in (match or {}).items():
        value = row.get(field)
        if value != wanted and not (isinstance(value, list) and wanted in value):
            return False
    minimum = query.get("minimum") if isinstance(query, dict) else None
    return minimum is None or row["value"] >= minimum


def evaluate(data_set, query, version, ranges=((0, KEY_SPACE),)):
    """Return the rows that one process with the whole index finds."""
    return data_set.search(query, version, ranges)


def evaluate_merged(data_set, query, version, merge="rows", ranges=((0, KEY_SPACE),)):
    """Return the result that one process with the whole index computes.

    ``ranges`` restricts the evaluation to the covered part of a partial answer.
    The merges are written again here, in terms of the whole list of rows, so
    that a fault of the tier's merges shows as a difference.
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
    names = sorted({(row["network"], row["probe"]) for row in rows})
    newest = []
    for name in names:
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
