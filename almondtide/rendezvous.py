"""Weighted rendezvous hashing with ranks spread over failure domains."""

import bisect
import hashlib
import math

__all__ = ["Candidate", "RankTable", "rank", "score"]

# A row of a ``RankTable`` keeps the best candidates up to the maximum. If removals
# leave fewer than the minimum, all members are scored again for its key.
MAX_ROW_CANDIDATES = 64
MIN_ROW_CANDIDATES = 32

_HASH_SPACE = float(1 << 64)


class Candidate:
    """Id, failure domain and weight of a member that can be ranked."""

    __slots__ = ("domain", "instance", "weight")

    def __init__(self, instance, domain, weight=1.0):
        self.instance = instance
        self.domain = domain
        self.weight = weight


def score(key, instance, weight=1.0):
    """Return the rendezvous score of ``instance`` for ``key``; highest wins.

    The share of keys that an instance wins is proportional to its weight, and
    removing an instance moves only the keys that it held.
    """
    digest = hashlib.blake2b(f"{key}\x00{instance}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / _HASH_SPACE
    return -weight / math.log(uniform)


def rank(key, candidates):
    """Return ``candidates`` ordered for ``key``.

    The first is the candidate with the highest score. Each further rank prefers a
    failure domain that no better rank has, so that a standby survives the loss of
    the owner's failure domain.
    """
    return spread_domains(sorted(candidates, key=lambda item: _sort_key(key, item)))


def _sort_key(key, candidate):
    return -score(key, candidate.instance, candidate.weight), candidate.instance


def spread_domains(ordered):
    """Return ``ordered`` with repeats of a failure domain moved behind the others."""
    ranked = []
    while ordered:
        seen = set()
        rest = []
        for candidate in ordered:
            if candidate.domain in seen:
                rest.append(candidate)
            else:
                seen.add(candidate.domain)
                ranked.append(candidate)
        ordered = rest
    return ranked


class _RankedRow:
    """The best candidates of one key, best first, with their sort keys."""

    __slots__ = ("candidates", "has_all_members", "sort_keys")

    def __init__(self):
        self.sort_keys = []
        self.candidates = []
        # Whether the row holds all members.
        self.has_all_members = True


class RankTable:
    """Ranks of members, updated without scoring all of them after each change.

    For each key the table keeps a row of the best candidates by score, whether they
    are live or not, so that a restart or a suspicion needs no hashing. A new member
    costs one score for each key. A removed member costs a full scoring of a key
    only if its row falls below ``MIN_ROW_CANDIDATES``.
    """

    __slots__ = ("_members", "_rows")

    def __init__(self):
        self._members = {}
        self._rows = {}

    def update(self, candidates):
        """Set the members to a list of ``Candidate``."""
        members = {(c.instance, c.domain, c.weight): c for c in candidates}
        removed = [key for key in self._members if key not in members]
        added = [members[key] for key in members if key not in self._members]
        self._members = members
        removed_instances = {key[0] for key in removed}
        for key, row in list(self._rows.items()):
            self._remove(row, removed_instances)
            if len(row.sort_keys) < MIN_ROW_CANDIDATES and not row.has_all_members:
                del self._rows[key]
                continue
            for candidate in added:
                self._insert(key, row, candidate)

    def ranked(self, key, is_live):
        """Return the live candidates in the row of ``key``, the owner first."""
        row = self._rows.get(key)
        if row is None:
            row = self._rows[key] = self._score_all(key)
        return spread_domains([c for c in row.candidates if is_live(c.instance)])

    def _score_all(self, key):
        row = _RankedRow()
        members = self._members.values()
        ordered = sorted(
            ((_sort_key(key, c), c) for c in members), key=lambda pair: pair[0]
        )
        row.has_all_members = len(ordered) <= MAX_ROW_CANDIDATES
        for sort_key, candidate in ordered[:MAX_ROW_CANDIDATES]:
            row.sort_keys.append(sort_key)
            row.candidates.append(candidate)
        return row

    @staticmethod
    def _remove(row, removed_instances):
        if not removed_instances:
            return
        kept = [
            (sort_key, candidate)
            for sort_key, candidate in zip(row.sort_keys, row.candidates, strict=True)
            if candidate.instance not in removed_instances
        ]
        row.sort_keys = [sort_key for sort_key, _ in kept]
        row.candidates = [candidate for _, candidate in kept]

    @staticmethod
    def _insert(key, row, candidate):
        sort_key = _sort_key(key, candidate)
        index = bisect.bisect(row.sort_keys, sort_key)
        if index == len(row.sort_keys) and not row.has_all_members:
            # Members outside the row may have a better score.
            return
        row.sort_keys.insert(index, sort_key)
        row.candidates.insert(index, candidate)
        if len(row.sort_keys) > MAX_ROW_CANDIDATES:
            row.sort_keys.pop()
            row.candidates.pop()
            row.has_all_members = False
