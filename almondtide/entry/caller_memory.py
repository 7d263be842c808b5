"""What callers make the entry hold: unread answers and request bodies."""

from .memory_bounds import UnreadAnswers

__all__ = ["CallerMemory"]


class CallerMemory:
    """Counts what is held for callers, and keeps it within the ``MemoryBounds``.

    Holders are ``CallerConnection`` objects. ``queued_bytes()`` is asked for what their
    sockets hold, and ``drop()`` is called if a caller has to lose its connection.
    """

    __slots__ = (
        "_bodies",
        "_bounds",
        "_log",
        "_now",
        "_unread",
        "body_bytes",
        "counts",
    )

    def __init__(self, bounds, now, log):
        self._bounds = bounds
        self._now = now
        self._log = log
        self._unread = UnreadAnswers()
        # Holder -> bytes of its request's body.
        self._bodies = {}
        self.body_bytes = 0
        self.counts = {"answers_dropped": 0, "bodies_refused": 0}

    @property
    def is_bounded(self):
        """Whether there is a memory limit."""
        return self._bounds.is_bounded

    @property
    def unread_answer_bytes(self):
        """Bytes of answers that callers have not read yet."""
        return self._unread.total_bytes

    def hold_answer(self, holder, size):
        """Hold an answer of ``size`` bytes; drop stalled callers beyond the bound."""
        now = self._now()
        self._unread.add(holder, size, now)
        self._drop_stalled(now)

    def note_sent(self, holder, size):
        """Record that the socket of a caller took ``size`` bytes of an answer."""
        self._unread.note_sent(holder, size, self._now())

    def sample(self):
        """Ask the sockets what callers have not read; drop those beyond the bound."""
        now = self._now()
        for holder in self._unread.holders():
            self._unread.note_queued(holder, holder.queued_bytes(), now)
        self._drop_stalled(now)

    def _drop_stalled(self, now):
        bound_bytes = self._bounds.unread_answer_bytes
        while (stalled := self._unread.most_stalled(bound_bytes)) is not None:
            total_bytes = self._unread.total_bytes
            unread_bytes, progress_at = self._unread.remove(stalled)
            self.counts["answers_dropped"] += 1
            self._log.warning(
                "answer_dropped",
                id=stalled.request_id,
                unread_bytes=unread_bytes,
                stalled_ms=int((now - progress_at) * 1000),
                held_bytes=total_bytes,
                bound_bytes=bound_bytes,
            )
            stalled.drop()

    def forget(self, holder):
        """Hold nothing for a connection that has ended."""
        self._unread.remove(holder)
        self.release_body(holder)

    def has_body_room(self, size):
        """Return whether a body of ``size`` bytes fits now; count it if not."""
        has_room = self._bounds.has_body_room(self.body_bytes, size)
        self.counts["bodies_refused"] += not has_room
        return has_room

    def hold_body(self, holder, size):
        """Hold ``size`` more bytes of a request's body; return whether they fit."""
        if not self.has_body_room(size):
            return False
        self.body_bytes += size
        self._bodies[holder] = self._bodies.get(holder, 0) + size
        return True

    def release_body(self, holder):
        """Hold no request body for a caller any more."""
        self.body_bytes -= self._bodies.pop(holder, 0)
