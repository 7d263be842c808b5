"""What callers sent and saw, and when faults were active."""

__all__ = ["FaultInterval", "Record"]


class Record:
    """One request of a caller.

    ``status`` is None when no whole answer came; ``error`` then says what did.
    Times are in seconds on the steady clock.
    """

    __slots__ = (
        "body",
        "daemon",
        "deadline_s",
        "ended",
        "error",
        "headers",
        "id",
        "kind",
        "sent",
        "status",
    )

    def __init__(self, id, kind, daemon, sent, deadline_s):
        self.id = id
        self.kind = kind
        self.daemon = daemon
        self.sent = sent
        self.deadline_s = deadline_s
        self.ended = None
        self.status = None
        self.headers = {}
        self.body = b""
        self.error = None

    def __str__(self):
        outcome = self.status if self.error is None else self.error
        return f"{self.kind} {self.id} at daemon {self.daemon}: {outcome}"


class FaultInterval:
    """A fault on one target, from ``start`` to ``end`` (None while it lasts)."""

    __slots__ = ("end", "kind", "start", "target")

    def __init__(self, kind, target, start):
        self.kind = kind
        self.target = target
        self.start = start
        self.end = None

    def overlaps(self, start, end):
        """Return whether the fault was active in a span."""
        return self.start <= end and (self.end is None or self.end >= start)

    def __str__(self):
        length = "now" if self.end is None else f"{self.end - self.start:.1f} s"
        return f"{self.kind} of {self.target} for {length}"
