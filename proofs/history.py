"""Histories: what callers saw, what upstreams ran, what daemons reported."""

__all__ = ["Call", "ConfigurationSample", "Execution", "Interval", "Violation"]


class Call:
    """One request of a caller and its response.

    Times are seconds on the system's monotonic clock, which all processes of a
    machine share. ``status`` is None if no complete response arrived; ``error``
    then says why. ``received`` is when the response reached the caller's machine;
    its thread may read it later. ``core_wait_s`` is the time between sending and
    response in which daemons were runnable but waited for a CPU core: the entry, and
    for an execution also the others, of which one is its home and one the owner.
    ``core_waits_s`` are those of all daemons, by address.
    ``marker`` is the value in the body that the upstream records; only resent
    requests share it.
    """

    __slots__ = (
        "answer",
        "body",
        "core_wait_s",
        "core_waits_s",
        "deadline_s",
        "entry",
        "error",
        "execution_id",
        "header_request_id",
        "kind",
        "marker",
        "received",
        "request_id",
        "sent",
        "status",
    )

    def __init__(self, request_id, kind, body, entry="", deadline_s=1.0, **values):
        self.request_id = request_id
        self.kind = kind
        self.body = body
        self.entry = entry
        self.deadline_s = deadline_s
        self.marker = body.get("marker")
        self.execution_id = None
        self.sent = 0.0
        self.received = 0.0
        self.core_wait_s = 0.0
        self.core_waits_s = {}
        self.status = None
        self.header_request_id = None
        self.answer = None
        self.error = None
        for name, value in values.items():
            setattr(self, name, value)

    def field(self, name, default=None):
        """Return a field of the answer's JSON body."""
        return (self.answer or {}).get(name, default)

    @property
    def code(self):
        """The result code, or None without an answer."""
        return self.field("code")

    @property
    def not_run(self):
        """Whether the answer says that no upstream ran the request."""
        return self.field("not_run") is True

    @property
    def covered(self):
        """Names of the shards that the answer claims to cover."""
        return (self.field("coverage") or {}).get("covered") or []

    @property
    def missing(self):
        """Names of the shards that the answer states as missing."""
        items = (self.field("coverage") or {}).get("missing") or []
        return [item["shard"] for item in items]

    @property
    def snapshot(self):
        """The pair (version, epoch) that the answer states."""
        stated = self.field("snapshot") or {}
        return stated.get("version"), stated.get("epoch")

    @property
    def rows(self):
        """The rows of the answer, or None when it carries no result."""
        result = self.field("result")
        return result.get("rows") if isinstance(result, dict) else None

    def to_dict(self):
        """Return the JSON form for the history file."""
        return {name: getattr(self, name) for name in self.__slots__}


class Execution:
    """One line of an upstream's record: a request that it ran or refused."""

    __slots__ = ("at", "event", "execution_id", "marker", "server", "version")

    def __init__(
        self, event, server, at, marker=None, execution_id=None, version=None, **_
    ):
        self.event = event
        self.server = server
        self.at = at
        self.marker = marker
        self.execution_id = execution_id
        self.version = version


class ConfigurationSample:
    """The configuration revision that a daemon reported at one time.

    ``revision`` is None while the daemon has no configuration in force.
    """

    __slots__ = ("at", "daemon", "revision")

    def __init__(self, daemon, at, revision):
        self.daemon = daemon
        self.at = at
        self.revision = revision


class Interval:
    """A time interval in which a fault or a state applied to ``name``."""

    __slots__ = ("end", "name", "start")

    def __init__(self, name, start, end=float("inf")):
        self.name = name
        self.start = start
        self.end = end


class Violation:
    """A broken promise: the request or process, and what was observed."""

    __slots__ = ("message", "subject")

    def __init__(self, subject, message):
        self.subject = subject
        self.message = message

    def __str__(self):
        return f"{self.subject}: {self.message}"
