"""When a reader compares its configuration with the store's own key.

Answers the fault in which a configuration lies before the cursor of all entries and
was read by none: their digests, versions and ages agree, and no read of changes brings
it. The key itself does not depend on the cursor.
"""

__all__ = ["ConfigurationCheck"]

# Interval between two checks, as a fraction of the time in which a configuration must
# be in force, so that a missed one still is in time.
INTERVAL_FRACTION = 0.5
# A configuration of this many bytes or fewer is read in each interval; the interval of
# larger ones grows, so that the checks take no more than that part of a link.
UNSCALED_BYTES = 100_000
# A read that took longer than this, in s, shows a slow store, which is not asked more.
MAX_READ_S = 0.3


class ConfigurationCheck:
    """Decides when one entry checks, and what an answer shows; times are in s.

    ``within_s`` is the time in which a configuration must be in force.
    """

    __slots__ = ("_due_at", "counts")

    def __init__(self):
        self._due_at = 0.0
        self.counts = {"made": 0, "failed": 0, "missed": 0}

    def is_due(self, now, read_s):
        """Return whether to check after a read that took ``read_s`` seconds."""
        return now >= self._due_at and read_s <= MAX_READ_S

    def note_full_read(self, now, within_s):
        """Record that the entry read the key itself."""
        self._due_at = now + INTERVAL_FRACTION * within_s

    def note_answer(self, now, within_s, size):
        """Record a check that the store answered with ``size`` bytes, 0 for no key."""
        self.counts["made"] += 1
        self._due_at = now + INTERVAL_FRACTION * within_s * max(
            1.0, size / UNSCALED_BYTES
        )

    def note_failure(self, now, within_s):
        """Record a check without an answer."""
        self.counts["failed"] += 1
        self._due_at = now + INTERVAL_FRACTION * within_s

    @staticmethod
    def may_be_missed(position, cursor, read_position):
        """Return whether a configuration lies before the cursor and was not read.

        It is at ``position`` in the store, and the newest one that was read, from the
        store or from peers, at ``read_position``. What lies behind the cursor comes
        with the next read. An invalid one that another entry read may seem missed.
        """
        return cursor is not None and read_position < position <= cursor
