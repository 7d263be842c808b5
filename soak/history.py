"""Records of the requests of callers and of the times of faults."""

__all__ = [
    "EvacuationInterval",
    "FaultInterval",
    "RateLimitInterval",
    "RequestRecord",
]


class RequestRecord:
    """One request of a caller and what came back.

    ``status`` is None when no complete response arrived; ``error`` then says why.
    ``sent`` and ``ended`` are seconds on the monotonic clock; ``ended`` is None
    while the request runs.
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
    """A fault on one target, from ``start`` to ``end`` (None while it lasts).

    ``target`` is (component, id); times are seconds on the monotonic clock.
    """

    __slots__ = ("end", "kind", "start", "target")

    def __init__(self, kind, target, start):
        self.kind = kind
        self.target = target
        self.start = start
        self.end = None

    def overlaps(self, start, end):
        """Return whether the fault was active between two times."""
        return self.start <= end and (self.end is None or self.end >= start)

    def __str__(self):
        length = "now" if self.end is None else f"{self.end - self.start:.1f} s"
        return f"{self.kind} of {self.target} for {length}"


class RateLimitInterval:
    """A rate that a server announced from ``start`` to ``end`` (None while it does)."""

    __slots__ = ("end", "rate", "server_id", "start")

    def __init__(self, server_id, rate, start):
        self.server_id = server_id
        self.rate = rate
        self.start = start
        self.end = None


class EvacuationInterval:
    """An evacuation of a failure domain from its acknowledgement at ``start``.

    ``end`` is when its withdrawal was begun, None while it lasts.
    """

    __slots__ = ("domain", "end", "start")

    def __init__(self, domain, start):
        self.domain = domain
        self.start = start
        self.end = None
