"""Key ranges and shard maps."""

import bisect

from .errors import ConfigurationError

__all__ = ["KEY_SPACE", "KeyRange", "Shard", "ShardMap", "gaps_and_overlaps"]

# The publisher of an index hashes keys into [0, KEY_SPACE).
KEY_SPACE = 65536


class KeyRange:
    """Half-open range of keys, ``low <= key < high``."""

    __slots__ = ("high", "low")

    def __init__(self, low, high):
        self.low = low
        self.high = high

    def __eq__(self, other):
        return isinstance(other, KeyRange) and self.to_list() == other.to_list()

    def __hash__(self):
        return hash((self.low, self.high))

    def __lt__(self, other):
        return self.to_list() < other.to_list()

    def __contains__(self, key):
        return self.low <= key < self.high

    def __repr__(self):
        return f"KeyRange({self.low}, {self.high})"

    def to_list(self):
        """Return ``[low, high]``, the form used in messages."""
        return [self.low, self.high]


class Shard:
    """One key range and the service that holds it."""

    __slots__ = ("key_range", "name", "service")

    def __init__(self, name, key_range, service):
        self.name = name
        self.key_range = key_range
        self.service = service


class ShardMap:
    """All shards of a workload in one epoch.

    The shards cover the whole key space without overlap; the constructor raises
    ``ConfigurationError`` otherwise.
    """

    __slots__ = ("_by_service", "_lows", "epoch", "shards")

    def __init__(self, epoch, shards):
        self.epoch = epoch
        self.shards = sorted(shards, key=lambda shard: shard.key_range.low)
        self._check()
        self._lows = [shard.key_range.low for shard in self.shards]
        self._by_service = {}
        for shard in self.shards:
            self._by_service.setdefault(shard.service, []).append(shard)

    def _check(self):
        problems = []
        next_key = 0
        for shard in self.shards:
            low, high = shard.key_range.to_list()
            if high <= low:
                problems.append(f"shard {shard.name}: empty range [{low}, {high})")
            elif low > next_key:
                problems.append(f"keys [{next_key}, {low}) belong to no shard")
            elif low < next_key:
                problems.append(f"shard {shard.name}: overlaps keys below {next_key}")
            next_key = max(next_key, high)
        if next_key != KEY_SPACE:
            problems.append(f"the last shard ends at {next_key}, not at {KEY_SPACE}")
        if problems:
            raise ConfigurationError(problems)

    def services(self):
        """Return the services of the map, each once, in key order."""
        return list(self._by_service)

    def by_service(self):
        """Return a dict from service to its shards in key order."""
        return self._by_service

    def find(self, key):
        """Return the shard that holds ``key``; raises KeyError."""
        if not 0 <= key < KEY_SPACE:
            raise KeyError(key)
        return self.shards[bisect.bisect_right(self._lows, key) - 1]


def gaps_and_overlaps(ranges, low=0, high=KEY_SPACE):
    """Return the gaps and the overlaps of ``ranges`` within ``[low, high)``.

    >>> gaps_and_overlaps([KeyRange(0, 5), KeyRange(4, 8)], 0, 10)
    ([KeyRange(8, 10)], [KeyRange(4, 5)])
    """
    gaps = []
    overlaps = []
    next_key = low
    for key_range in sorted(ranges):
        if key_range.low > next_key:
            gaps.append(KeyRange(next_key, key_range.low))
        elif key_range.low < next_key:
            overlaps.append(KeyRange(key_range.low, min(next_key, key_range.high)))
        next_key = max(next_key, key_range.high)
    if next_key < high:
        gaps.append(KeyRange(next_key, high))
    return gaps, overlaps
