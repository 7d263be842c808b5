"""Seeded data sets in the shape of the users' work, and queries over them."""

import random

from almondtide.shards import KEY_SPACE

__all__ = ["DataSet", "evaluate", "make_data_set", "make_query"]

DISTRICTS = ("Lautoka", "Nadi", "Ba", "Tavua", "Sigatoka", "Rakiraki")
NETWORKS = ("cane", "dalo", "ministry")
SUBSTANCES = ("chlorine", "transformer oil", "ammonia", "sodium hypochlorite")
HAZARDS = ("corrosive", "flammable", "toxic", "oxidising")


class DataSet:
    """Rows of one index in several versions.

    A row is a dict with ``key`` and ``id``. Each version changes values, adds
    some rows and drops others, so that an answer that mixes versions differs
    from the answer of every single version.
    """

    __slots__ = ("_rows", "kind", "seed", "size")

    def __init__(self, kind, seed, size):
        self.kind = kind
        self.seed = seed
        self.size = size
        self._rows = {}

    def rows(self, version):
        """Return all rows of ``version`` in key order."""
        if version not in self._rows:
            self._rows[version] = self._make(version)
        return self._rows[version]

    def _make(self, version):
        rng = random.Random(f"{self.kind}/{self.seed}")
        rows = []
        for number in range(self.size):
            key = rng.randrange(KEY_SPACE)
            row = _ROW_MAKERS[self.kind](rng, number, version)
            row["key"] = key
            if (number + version) % 17 != 0:
                rows.append(row)
        rows.sort(key=lambda row: (row["key"], row["id"]))
        return rows

    def search(self, query, version, ranges):
        """Return the rows of ``ranges`` that match ``query``, in key order."""
        found = []
        for row in self.rows(version):
            inside = any(low <= row["key"] < high for low, high in ranges)
            if inside and _matches(row, query):
                found.append(row)
        return found


def _make_probe(rng, number, version):
    moisture = rng.randrange(50, 600)
    return {
        "id": f"probe-{number:06d}",
        "network": rng.choice(NETWORKS),
        "district": rng.choice(DISTRICTS),
        "value": (moisture + version * 7) % 600 / 10.0,
        "version": version,
    }


def _make_sheet(rng, number, version):
    return {
        "id": f"sheet-{number:06d}",
        "substance": rng.choice(SUBSTANCES),
        "hazard": rng.choice(HAZARDS),
        "value": (rng.randrange(1, 100) + version) % 100,
        "version": version,
    }


_ROW_MAKERS = {"probes": _make_probe, "sheets": _make_sheet}


def make_data_set(kind, seed=1, size=2000):
    """Return the ``DataSet`` of ``kind``: ``probes`` or ``sheets``."""
    return DataSet(kind, seed, size)


def _matches(row, query):
    match = query.get("match") if isinstance(query, dict) else None
    for field, wanted in (match or {}).items():
        if row.get(field) != wanted:
            return False
    minimum = query.get("minimum") if isinstance(query, dict) else None
    return minimum is None or row["value"] >= minimum


def evaluate(data_set, query, version):
    """Return the answer of one process that holds the whole index."""
    return data_set.search(query, version, [[0, KEY_SPACE]])


def make_query(kind, rng):
    """Return a random query body for the data set ``kind``."""
    if kind == "probes":
        match = {"district": rng.choice(DISTRICTS)}
        if rng.random() < 0.5:
            match["network"] = rng.choice(NETWORKS)
    else:
        match = {"substance": rng.choice(SUBSTANCES)}
    query = {"match": match}
    if rng.random() < 0.3:
        query["minimum"] = rng.randrange(1, 50)
    return query
