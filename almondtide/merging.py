"""Merging of sub-answers and the coverage of an answer."""

import heapq
import math

from .registry import Registry
from .shards import KeyRange, gaps_and_overlaps

__all__ = ["Coverage", "merges"]

merges = Registry("merge")


class Coverage:
    """The covered shards of an answer, and (name, result) of each missing one."""

    __slots__ = ("_shard_map", "covered", "missing", "overlaps")

    def __init__(self, shard_map, results):
        """Compare ``results``, a dict from service to SubResult, with the map.

        A shard is covered only when the ranges that its service returned contain
        it exactly once.
        """
        self._shard_map = shard_map
        self.covered = []
        self.missing = []
        self.overlaps = []
        returned = []
        for result in results.values():
            if result is not None and result.is_ok:
                returned.extend(KeyRange(low, high) for low, high in result.ranges)
        _, self.overlaps = gaps_and_overlaps(returned)
        for shard in shard_map.shards:
            result = results.get(shard.service)
            low, high = shard.key_range.to_list()
            inside = [part for part in returned if low <= part.low < high]
            gaps, overlaps = gaps_and_overlaps(inside, low, high)
            if result is not None and result.is_ok and not gaps and not overlaps:
                self.covered.append(shard.name)
            else:
                self.missing.append((shard.name, result))

    def fully_covered_services(self):
        """Return the services whose shards are all covered, in key order.

        Only their data may be merged: a service that returned other ranges than
        planned could repeat or miss rows.
        """
        covered = set(self.covered)
        grouped = self._shard_map.by_service()
        return [
            service
            for service, shards in grouped.items()
            if all(shard.name in covered for shard in shards)
        ]

    @property
    def is_complete(self):
        """Whether every shard is covered exactly once."""
        return not self.missing and not self.overlaps


@merges.register("rows")
def merge_rows(payloads):
    """Merge rows that are in key order for each service."""
    rows = heapq.merge(*payloads, key=lambda row: (row["key"], str(row.get("id"))))
    return {"rows": list(rows)}


@merges.register("count")
def merge_count(payloads):
    """Return the number of matching rows."""
    return {"count": sum(len(payload) for payload in payloads)}


@merges.register("statistics")
def merge_statistics(payloads):
    """Return count, minimum, maximum and mean of the field ``value``.

    The sum is rounded once, so that the mean does not depend on how the rows are
    distributed over services.
    """
    values = [row["value"] for payload in payloads for row in payload]
    if not values:
        return {"count": 0, "minimum": None, "maximum": None, "mean": None}
    return {
        "count": len(values),
        "minimum": min(values),
        "maximum": max(values),
        "mean": math.fsum(values) / len(values),
    }


@merges.register("newest_per_probe")
def merge_newest_per_probe(payloads):
    """Return the newest reading of each probe, in key order.

    Each network numbers its own probes, so a probe is identified by ``network`` and
    ``probe``. Of readings with equal times, the one with the highest ``id`` counts.
    """
    newest = {}
    for payload in payloads:
        for row in payload:
            probe = (row["network"], row["probe"])
            current = newest.get(probe)
            if current is None or _recency_key(row) > _recency_key(current):
                newest[probe] = row
    rows = sorted(newest.values(), key=lambda row: (row["key"], str(row["id"])))
    return {"rows": rows}


def _recency_key(row):
    return row["time"], str(row["id"])
