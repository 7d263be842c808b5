"""How recently a replica matched the store, as proved by reads that have an identity.

Daemons tell each other the age of their replicas. An age that is passed on leaves out
the time in which the message waited, so that ages that go round become too small, the
more so if a process stands still in between; then nobody reads the store in time. So
each age names the read that proves it, and of several statements on one read the
earliest time counts.
"""

import secrets

__all__ = ["Freshness", "ReadStatement"]

READER_ID_BITS = 48
# Reads of other daemons are forgotten this long, in s, before the latest one.
RETENTION_S = 60.0


class ReadStatement:
    """States how long ago a read of the store began.

    The read is the ``number``-th successful one of the process ``reader``, a random
    number. ``age_s`` is in s.
    """

    __slots__ = ("age_s", "number", "reader")

    def __init__(self, reader, number, age_s):
        self.reader = reader
        self.number = number
        self.age_s = age_s


class Freshness:
    """The reads that confirm the replica of one daemon; times are on its clock in s.

    ``latest_at`` is the time at which the latest of them began, or None.

    >>> freshness = Freshness()
    >>> freshness.note_read(7, 1, 10.0)
    >>> freshness.note_read(7, 1, 12.5)
    >>> freshness.latest_at
    10.0
    """

    __slots__ = ("_local_number", "_local_reader", "_reads", "latest_at")

    def __init__(self):
        self._local_reader = secrets.randbits(READER_ID_BITS)
        self._local_number = 0
        # Reader -> (number of its latest read, time at which it began).
        self._reads = {}
        self.latest_at = None

    def note_local_read(self, began_at):
        """Record that a read of this daemon succeeded."""
        self._local_number += 1
        self._set(self._local_reader, self._local_number, began_at)

    def note_read(self, reader, number, began_at):
        """Record a peer's statement on a read that confirms the replica.

        Statements on an earlier read of the same reader, and later times of the same
        read, change nothing.
        """
        if reader == self._local_reader:
            return
        known_number, known_at = self._reads.get(reader, (-1, 0.0))
        if number < known_number or (number == known_number and began_at >= known_at):
            return
        self._set(reader, number, began_at)

    def _set(self, reader, number, began_at):
        self._reads[reader] = (number, began_at)
        self.latest_at = max(at for _, at in self._reads.values())
        oldest_at = self.latest_at - RETENTION_S
        for known, (_, at) in list(self._reads.items()):
            if at < oldest_at:
                del self._reads[known]

    def statement(self, now):
        """Return the ``ReadStatement`` on the latest read, or None."""
        if self.latest_at is None:
            return None
        reader, (number, began_at) = max(
            self._reads.items(), key=lambda item: (item[1][1], item[0])
        )
        return ReadStatement(reader, number, max(0.0, now - began_at))
