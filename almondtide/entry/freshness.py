"""How recently a state matched the store, as proved by reads that have an identity.

Daemons tell each other the age of what they know. An age that is passed on leaves out
the time in which the message waited, so that ages that go round become too small, the
more so if a process is paused in between; then nobody reads the store in time. So
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
    """The reads that confirm what one daemon knows; times are on its clock in s.

    ``latest_at`` is the latest time at which it is known to have matched the store: the
    time at which a read began, or that of a copied state; None if there is none.

    >>> freshness = Freshness()
    >>> freshness.note_read(7, 1, 10.0)
    >>> freshness.note_read(7, 1, 12.5)
    >>> freshness.latest_at
    10.0
    """

    __slots__ = (
        "_copied_at",
        "_local_number",
        "_local_reader",
        "_read_at",
        "_reads",
    )

    def __init__(self):
        self._local_reader = secrets.randbits(READER_ID_BITS)
        self._local_number = 0
        # Reader -> (number of its latest read, time at which it began).
        self._reads = {}
        # Time of the latest of these reads, and of the latest copy, or None.
        self._read_at = None
        self._copied_at = None

    @property
    def local_at(self):
        """Time at which the last own read that succeeded began, in s, or None."""
        return self._reads.get(self._local_reader, (0, None))[1]

    @property
    def latest_at(self):
        """Latest time at which the state is known to have matched the store, in s."""
        times = (self._read_at, self._copied_at)
        return max((at for at in times if at is not None), default=None)

    def note_copy(self, at):
        """Record that a state that was copied from a peer matched the store at ``at``.

        ``at`` must not be later than that, whatever the copy's way took.
        """
        if self._copied_at is None or at > self._copied_at:
            self._copied_at = at

    def note_local_read(self, began_at):
        """Record that a read of this daemon succeeded."""
        self._local_number += 1
        self._set(self._local_reader, self._local_number, began_at)

    def note_read(self, reader, number, began_at):
        """Record a peer's statement on a read that confirms the state.

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
        self._read_at = max(at for _, at in self._reads.values())
        oldest_at = self._read_at - RETENTION_S
        for known, (_, at) in list(self._reads.items()):
            if at < oldest_at:
                del self._reads[known]

    def statement(self, now):
        """Return the ``ReadStatement`` on the latest read, or None."""
        if not self._reads:
            return None
        reader, (number, began_at) = max(
            self._reads.items(), key=lambda item: (item[1][1], item[0])
        )
        return ReadStatement(reader, number, max(0.0, now - began_at))
