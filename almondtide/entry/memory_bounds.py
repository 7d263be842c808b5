"""How much memory the entry holds for callers and servers, and who has to give it up.

Answers the load patterns in which callers read their answers slowly or not at all,
send bodies faster than servers take them, or servers send long replies at once. Each
bound is a part of the memory limit of the process; without a limit there are none.
"""

__all__ = ["MemoryBounds", "UnreadAnswers"]

# Parts of the memory limit, 0.6 together. The smallest limit is 152 MB, and an entry
# without work for others has taken up to 38 MB (docs/CAPACITY.md), 0.25 of it. The rest
# is for copies while bodies are joined and parsed.
UNREAD_ANSWERS_FRACTION = 0.25
REQUEST_BODIES_FRACTION = 0.15
INCOMPLETE_REPLIES_FRACTION = 0.2
ONE_REPLY_FRACTION = 0.1
# Bytes of request bodies that all entries together have in progress at one server. Its
# memory is not known to the entries. At the default limit of 256 KiB a body it is 32
# bodies, more than the usual depth at a server with 4 slots.
SERVER_BODIES_BYTES = 8 * 1024 * 1024


class MemoryBounds:
    """The bounds that follow from ``settings.memory_bytes``, each None without it.

    A reload replaces ``settings``.
    """

    __slots__ = ("settings",)

    def __init__(self, settings):
        self.settings = settings

    @property
    def is_bounded(self):
        """Whether there is a memory limit."""
        return self.settings.memory_bytes is not None

    def _part(self, fraction):
        limit_bytes = self.settings.memory_bytes
        return None if limit_bytes is None else int(limit_bytes * fraction)

    @property
    def unread_answer_bytes(self):
        """Most bytes of answers that callers have not read yet."""
        return self._part(UNREAD_ANSWERS_FRACTION)

    @property
    def request_body_bytes(self):
        """Most bytes of the bodies of all requests in progress."""
        return self._part(REQUEST_BODIES_FRACTION)

    def incomplete_reply_bytes(self, default_bytes):
        """Return the most bytes of all incomplete replies, at most the default."""
        part = self._part(INCOMPLETE_REPLIES_FRACTION)
        return default_bytes if part is None else min(default_bytes, part)

    def reply_bytes(self, default_bytes):
        """Return the most bytes of one reply, at most the default."""
        part = self._part(ONE_REPLY_FRACTION)
        return default_bytes if part is None else min(default_bytes, part)

    def has_body_room(self, held_bytes, size):
        """Return whether ``size`` more bytes of request bodies may be held."""
        bound = self.request_body_bytes
        return bound is None or not size or held_bytes + size <= bound

    def has_server_room(self, held_bytes, body_bytes, entry_count):
        """Return whether a server may get a request with a body of ``body_bytes``.

        ``held_bytes`` are the bodies that this entry has in progress there. Each of
        ``entry_count`` entries uses an equal share. A server with none in progress
        gets a body of any size, or a large one could never be sent.
        """
        if not self.is_bounded or not held_bytes:
            return True
        return held_bytes + body_bytes <= SERVER_BODIES_BYTES / max(1, entry_count)


class _Unread:
    """What one caller has not read, and since when."""

    __slots__ = (
        "acknowledged_bytes",
        "progress_at",
        "queued_bytes",
        "sent_bytes",
        "unsent_bytes",
    )

    def __init__(self, now):
        # Bytes that the entry holds, and those that its socket holds.
        self.unsent_bytes = 0
        self.queued_bytes = 0
        # Bytes that the socket took and that the caller acknowledged, since it last
        # had read everything.
        self.sent_bytes = 0
        self.acknowledged_bytes = 0
        self.progress_at = now

    @property
    def held_bytes(self):
        return self.unsent_bytes + self.queued_bytes


class UnreadAnswers:
    """The answers that callers have not read yet, by the time of the last progress.

    Holders are the connections of callers. An answer is held by the entry until the
    socket has taken it, and by the socket until the caller has acknowledged it.
    """

    __slots__ = ("_by_holder", "total_bytes")

    def __init__(self):
        # Holder -> ``_Unread``, by the time of the last progress.
        self._by_holder = {}
        self.total_bytes = 0

    def holders(self):
        """Return the callers that may have unread bytes."""
        return list(self._by_holder)

    def add(self, holder, size, now):
        """Hold ``size`` more bytes for a caller."""
        unread = self._by_holder.get(holder)
        if unread is None:
            unread = self._by_holder[holder] = _Unread(now)
        unread.unsent_bytes += size
        self.total_bytes += size

    def note_sent(self, holder, size, now):
        """Record that the socket took ``size`` bytes, which shows that some were read.

        The bytes count again from the next ``note_queued`` on.
        """
        unread = self._by_holder.get(holder)
        if unread is not None:
            unread.unsent_bytes -= size
            unread.sent_bytes += size
            self.total_bytes -= size
            self._note_progress(holder, now)

    def note_queued(self, holder, queued_bytes, now):
        """Record how many bytes the socket of a caller holds."""
        unread = self._by_holder.get(holder)
        if unread is None:
            return
        self.total_bytes += queued_bytes - unread.queued_bytes
        unread.queued_bytes = queued_bytes
        acknowledged_bytes = unread.sent_bytes - queued_bytes
        if acknowledged_bytes > unread.acknowledged_bytes:
            unread.acknowledged_bytes = acknowledged_bytes
            self._note_progress(holder, now)
        if not unread.held_bytes:
            del self._by_holder[holder]

    def _note_progress(self, holder, now):
        unread = self._by_holder.pop(holder)
        unread.progress_at = now
        self._by_holder[holder] = unread

    def remove(self, holder):
        """Hold nothing for a caller; return (bytes held, time of progress) or None."""
        unread = self._by_holder.pop(holder, None)
        if unread is None:
            return None
        self.total_bytes -= unread.held_bytes
        return unread.held_bytes, unread.progress_at

    def most_stalled(self, bound_bytes):
        """Return the holder to give up, or None if the bound is kept.

        It is the one that has read nothing for the longest time. The only one is never
        given up, since the size of one answer is bounded by that of replies.
        """
        if bound_bytes is None or self.total_bytes <= bound_bytes:
            return None
        for holder, unread in self._by_holder.items():
            if unread.held_bytes:
                return holder if unread.held_bytes < self.total_bytes else None
        return None
