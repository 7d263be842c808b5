"""Requests of callers and replies of servers, as decoded from HTTP."""

__all__ = ["Reply", "ReportedLoad", "Request"]


class Request:
    """A complete request of a caller.

    ``headers`` are the (name, value) pairs to forward, without the hop-by-hop
    headers. ``allowed_s`` is the caller's deadline as the time from now, in seconds,
    or None if the request has none. ``has_invalid_deadline`` tells that it states one
    that cannot be read. ``relay_mark`` is None for a request of a caller; see
    ``entry/relay.py``.
    """

    __slots__ = (
        "allowed_s",
        "body",
        "has_invalid_deadline",
        "headers",
        "host",
        "id",
        "method",
        "relay_mark",
        "target",
    )

    def __init__(self, method, target, host, id, allowed_s, headers, body):
        self.method = method
        self.target = target
        self.host = host
        self.id = id
        self.allowed_s = allowed_s
        self.headers = headers
        self.body = body
        self.has_invalid_deadline = False
        self.relay_mark = None

    @property
    def is_handed_on(self):
        """Whether a peer has handed it on."""
        return self.relay_mark is not None

    @property
    def path(self):
        """The target without its query string."""
        return self.target.partition("?")[0]


class ReportedLoad:
    """The load that a server reports in a reply.

    ``running`` and ``waiting`` are numbers of requests, ``slots`` is how many it runs
    at the same time. ``pace`` is how long work takes on its machine at this moment as
    a multiple of the usual time, or None if the server does not say.
    """

    __slots__ = ("pace", "running", "slots", "waiting")

    def __init__(self, running, waiting, slots, pace=None):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.pace = pace


class Reply:
    """A complete reply of a server.

    ``server_stamp`` proves which server ran the request; a reply without it does not
    come from a run. ``request_id`` is the id that the server repeated, or None.
    ``is_not_run`` means that the server states that it did not run the request.
    ``server_id`` is the id that the server gives itself, or None. ``keep_alive_s`` is
    how long the server keeps an idle connection open, in seconds: 0.0 if it closes
    the connection now, None if it does not say. ``is_leaving`` means that the server
    announces its end. ``pause_s`` is how long the server, which turned the request
    away, wants no other from this entry, in seconds, or None; ``has_invalid_pause``
    tells that it states a time that cannot be read. ``rate_limit`` is how many
    requests a second the server takes from all entries together, or None, and
    ``has_invalid_rate_limit`` tells that it states a rate that cannot be read.
    ``reported_load`` is a ``ReportedLoad`` or None; ``has_invalid_load`` tells that the
    server reports one of which a part or all cannot be read.
    """

    __slots__ = (
        "body",
        "has_invalid_load",
        "has_invalid_pause",
        "has_invalid_rate_limit",
        "headers",
        "is_encoded",
        "is_leaving",
        "is_not_run",
        "keep_alive_s",
        "pause_s",
        "rate_limit",
        "reported_load",
        "request_id",
        "server_id",
        "server_stamp",
        "status",
    )

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body
        self.server_stamp = None
        self.request_id = None
        self.is_not_run = False
        self.server_id = None
        self.is_encoded = False
        self.is_leaving = False
        self.keep_alive_s = None
        self.pause_s = None
        self.has_invalid_pause = False
        self.rate_limit = None
        self.has_invalid_rate_limit = False
        self.reported_load = None
        self.has_invalid_load = False

    @property
    def is_success(self):
        """Whether the server ran the request and answered with success.

        A reply with a content encoding does not count as a success.
        """
        return (
            200 <= self.status < 300
            and self.server_stamp is not None
            and not self.is_encoded
        )
