"""Positions in the history of the store: an era and a revision in one integer.

The store's revisions only grow, except when the store is restored from a copy that is
some seconds old: then they continue from that of the copy, and the era rises by one.
A position keeps the era in its upper bits, so positions compare by era first, and
daemons of a build that knows no eras order them correctly too.

>>> make_position(2, 7) > make_position(1, 900)
True
>>> era_of(make_position(2, 7)), revision_of(make_position(2, 7))
(2, 7)
"""

__all__ = [
    "MAX_ERA",
    "MAX_POSITION",
    "MAX_REVISION",
    "era_of",
    "make_position",
    "revision_of",
]

REVISION_BITS = 48
MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_ERA = (1 << 32) - 1
MAX_POSITION = MAX_ERA << REVISION_BITS | MAX_REVISION


def make_position(era, revision):
    """Return the position of a revision; raises ``ValueError`` beyond the maxima."""
    if not 0 <= era <= MAX_ERA or not 0 <= revision <= MAX_REVISION:
        raise ValueError(f"era {era}, revision {revision} is not a position")
    return era << REVISION_BITS | revision


def era_of(position):
    """Return the era of a position."""
    return position >> REVISION_BITS


def revision_of(position):
    """Return the revision of a position within its era."""
    return position & MAX_REVISION
