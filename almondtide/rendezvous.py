"""Weighted rendezvous hashing that spreads ranks over failure domains."""

import bisect
import hashlib
import math

__all__ = ["Candidate", "RankTable", "rank", "score"]

# Candidates that a table keeps for each key, and below which it scores all again.
KEPT_CANDIDATES = 64
FEWEST_CANDIDATES = 32

_HASH_SPACE = float(1 << 64)


class Candidate:
    """A member that can be ranked: its id, failure domain and weight."""

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

    The first is the plain rendezvous winner. Each following place prefers a
    failure domain that is not yet among the places before it, so that the
    standbys survive the loss of the owner's failure domain.
    """
    return spread(sorted(candidates, key=lambda item: _order(key, item)))


def _order(key, candidate):
    return -score(key, candidate.instance, candidate.weight), candidate.instance


def spread(ordered):
    """Return ``ordered`` with repeated failure domains moved behind new ones."""
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


class _Row:
    """The best candidates of one key, best first, with their sort keys."""

    __slots__ = ("candidates", "complete", "orders")

    def __init__(self):
        self.orders = []
        self.candidates = []
        # Whether the row holds all members.
        self.complete = True


class RankTable:
    """Ranks that follow changes of the members without scoring all of them.

    For each key the table keeps the best candidates by score, whether they are
    live or not, so that a restart or a suspicion needs no hashing. A new member
    costs one score per key; a removed one costs a full scoring of a key only when
    its row has become short.
    """

    __slots__ = ("_members", "_rows")

    def __init__(self):
        self._members = {}
        self._rows = {}

    def update(self, candidates):
        """Take over the members: a list of ``Candidate``."""
        members = {(c.instance, c.domain, c.weight): c for c in candidates}
        removed = [key for key in self._members if key not in members]
        added = [members[key] for key in members if key not in self._members]
        self._members = members
        gone = {key[0] for key in removed}
        for key, row in list(self._rows.items()):
            self._remove(row, gone)
            if len(row.orders) < FEWEST_CANDIDATES and not row.complete:
                del self._rows[key]
                continue
            for candidate in added:
                self._insert(key, row, candidate)

    def ranked(self, key, is_live):
        """Return the live candidates of ``key`` among the kept, the owner first."""
        row = self._rows.get(key)
        if row is None:
            row = self._rows[key] = self._score_all(key)
        return spread([c for c in row.candidates if is_live(c.instance)])

    def _score_all(self, key):
        row = _Row()
        members = self._members.values()
        ordered = sorted(
            ((_order(key, c), c) for c in members), key=lambda pair: pair[0]
        )
        row.complete = len(ordered) <= KEPT_CANDIDATES
        for order, candidate in ordered[:KEPT_CANDIDATES]:
            row.orders.append(order)
            row.candidates.append(candidate)
        return row

    @staticmethod
    def _remove(row, gone):
        if not gone:
            return
        kept = [
            (order, candidate)
            for order, candidate in zip(row.orders, row.candidates, strict=True)
            if candidate.instance not in gone
        ]
        row.orders = [order for order, _ in kept]
        row.candidates = [candidate for _, candidate in kept]

    @staticmethod
    def _insert(key, row, candidate):
        order = _order(key, candidate)
        index = bisect.bisect(row.orders, order)
        if index == len(row.orders) and not row.complete:
            # Members that the row does not hold may be better.
            return
        row.orders.insert(index, order)
        row.candidates.insert(index, candidate)
        if len(row.orders) > KEPT_CANDIDATES:
            row.orders.pop()
            row.candidates.pop()
            row.complete = False
