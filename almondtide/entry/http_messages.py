"""A caller's request and a server's reply, decoded from the wire."""

__all__ = ["Reply", "Request"]


class Request:
    """A complete request of a caller.

    ``headers`` are the pairs to forward, without those of one connection only;
    ``allowed_s`` is how long the caller waits, or None when it did not say.
    """

    __slots__ = ("allowed_s", "body", "headers", "host", "id", "method", "target")

    def __init__(self, method, target, host, id, allowed_s, headers, body):
        self.method = method
        self.target = target
        self.host = host
        self.id = id
        self.allowed_s = allowed_s
        self.headers = headers
        self.body = body

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition("?")[0]


class Reply:
    """A complete reply of a server.

    ``server_stamp`` proves which server ran the request; without it the reply comes
    from no run. ``request_id`` is the echoed id or None. ``is_not_run`` is the
    server's own statement. ``keep_alive_s`` is how long the server keeps the connection
    open when idle, 0.0 when it closes it now, None when it did not say.
    """

    __slots__ = (
        "body",
        "headers",
        "is_encoded",
        "is_misdirected",
        "is_not_run",
        "keep_alive_s",
        "request_id",
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
        self.is_misdirected = False
        self.is_encoded = False
        self.keep_alive_s = None

    @property
    def is_success(self):
        """Whether the server ran the request and answered with success."""
        return (
            200 <= self.status < 300
            and self.server_stamp is not None
            and not self.is_encoded
        )
