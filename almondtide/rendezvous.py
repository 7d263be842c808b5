"""Weighted rendezvous hashing that spreads ranks over failure domains."""

import hashlib
import math

__all__ = ["Candidate", "rank", "score"]

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
    ordered = sorted(
        candidates,
        key=lambda item: (-score(key, item.instance, item.weight), item.instance),
    )
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
