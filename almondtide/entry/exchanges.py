"""What a dispatcher gives to the pool of connections: exchanges and checks."""

from .calls import BranchState
from .policy.retries import may_send_again

__all__ = ["Exchange", "ReachabilityCheck"]


class Exchange:
    """One request of a branch to one server, and the reply to it.

    ``kind`` is "first", "retry", "hedge" or "copy", see ``SEND_COUNTS`` of
    ``dispatch``. ``is_extra`` tells whether it took an extra send from the retry
    budget.
    """

    __slots__ = (
        "_dispatcher",
        "branch",
        "connection",
        "is_extra",
        "is_finished",
        "is_written",
        "kind",
        "started_at",
        "upstream",
        "warmup_limit",
    )

    def __init__(self, dispatcher, branch, upstream, kind, is_extra):
        self._dispatcher = dispatcher
        self.branch = branch
        self.upstream = upstream
        self.kind = kind
        self.is_extra = is_extra
        self.connection = None
        self.is_finished = False
        self.is_written = False
        # When it was assigned, and the ``warmup_limit`` against which it was counted.
        self.started_at = dispatcher.now()
        self.warmup_limit = upstream.warmup_limit

    @property
    def request(self):
        """The caller's request."""
        return self.branch.call.request

    @property
    def is_at_most_once(self):
        """Whether the request may run once only."""
        return not self.branch.call.route.is_idempotent

    @property
    def record_limit(self):
        """How many records of the reply are needed, None for its whole body."""
        call = self.branch.call
        return call.route.top_records if call.is_merged else None

    def remaining_s(self):
        """Return the time until the call expires, in seconds."""
        if self.is_finished:
            return 0.0
        return self.branch.call.expires_at - self._dispatcher.now()

    def is_wanted(self):
        """Return whether the request should still be written to its server."""
        branch = self.branch
        now = self._dispatcher.now()
        domains = self._dispatcher.allowed_domains(branch.call.route)
        return (
            not self.is_finished
            and branch.state is BranchState.OPEN
            and may_send_again(branch, now)
            and self.upstream.accepts_requests(now)
            and (domains is None or self.upstream.server.domain in domains)
            and self._dispatcher.may_write(self, now)
        )

    def extra_headers(self):
        """Return the headers that only this request has."""
        return []

    def on_connected(self):
        """Record the new connection to the server."""
        self._dispatcher.on_connected(self.upstream)

    def on_write(self):
        """Count a request that is written."""
        self.is_written = True
        self.branch.write_count += 1
        self.branch.possible_run_count += 1
        for limit in (self.upstream.rate_limit, self.upstream.warmup_limit):
            if limit is not None:
                limit.count_send(self.kind)

    async def on_reply(self, reply):
        """Pass a reply on to the dispatcher."""
        await self._dispatcher.on_reply(self, reply)

    async def on_failure(self, failure, reason, reply):
        """Pass a failure on to the dispatcher."""
        await self._dispatcher.on_failure(self, failure, reason, reply)

    async def on_skipped(self):
        """Tell the dispatcher that the request was not written."""
        await self._dispatcher.on_skipped(self)


class ReachabilityCheck:
    """Opens a connection without a request, to see whether a server accepts it."""

    __slots__ = ("_dispatcher", "connection", "upstream")

    is_at_most_once = False

    def __init__(self, dispatcher, upstream):
        self._dispatcher = dispatcher
        self.upstream = upstream
        self.connection = None

    def is_wanted(self):
        """Return False, as there is no request to write."""
        return False

    def on_connected(self):
        """Record that the server accepts connections."""
        self._dispatcher.on_connected(self.upstream)

    async def on_skipped(self):
        """Report that the server was reached."""
        await self._dispatcher.on_checked(self.upstream, None)

    async def on_failure(self, failure, reason, reply):
        """Report that no connection was established."""
        await self._dispatcher.on_checked(self.upstream, failure)
