"""Requests that crash the servers which run them, and how long they are refused."""

from ..platform.headers import lasting_headers
from ..quarantine import Quarantine, request_fingerprint

__all__ = ["Suspects"]

# Lost servers after which a request is refused, and for how long, in s. A request
# that crashes servers comes again while its caller wants an answer.
CRASH_LIMIT = 3
REFUSED_S = 20.0
# A server that accepts no connection within this time, in s, after a connection to it
# broke has ended; one whose connection was only reset accepts the next.
CONFIRM_S = 3.0
# Least time between two checks of one server, in s.
CHECK_S = 0.5
# Calls that are remembered for each server until it is known to have ended.
MAX_PENDING = 64


class _Clock:
    """The clock of the daemon as ``Quarantine`` asks for it."""

    __slots__ = ("monotonic",)

    def __init__(self, now):
        self.monotonic = now


class _Loss:
    """A call whose connection to a server broke, and when."""

    __slots__ = ("at", "call")

    def __init__(self, call, at):
        self.call = call
        self.at = at


class Suspects:
    """Finds requests that crash servers, from what their exchanges show.

    A loss counts against a request when the server ended while it ran the request,
    nothing has answered the request since, and the call began after the losses of
    other calls were counted. So a crash of many servers under many requests, which
    are answered by others, convicts none of them. Resent requests are equal in
    method, host, path, query, body and headers but for the id and the deadline.
    """

    __slots__ = ("_clock", "_counted", "_log", "_pending", "_quarantine", "_until")

    def __init__(self, now, log, limit=CRASH_LIMIT, refused_s=REFUSED_S):
        self._clock = _Clock(now)
        self._log = log
        self._quarantine = Quarantine(self._clock, limit, refused_s)
        # Server id -> calls whose connection to it broke lately.
        self._pending = {}
        # When the last refusal ends; most of the time nothing is refused.
        self._until = 0.0
        # Mark -> (call, time) of the newest loss that counted.
        self._counted = {}

    def refused_s(self, call):
        """Return for how long a call's request is refused still, in s, or 0.0."""
        if self._clock.monotonic() >= self._until:
            return 0.0
        return self._quarantine.remaining_s(_mark(call))

    def is_suspect(self, call):
        """Return whether a server ended under the request, and none answered it."""
        return bool(self._counted) and self._quarantine.is_suspect(_mark(call))

    def broken(self, call, server_id):
        """Note that a connection broke on which a server ran a call.

        Returns whether it should be checked that something listens there still.
        """
        now = self._clock.monotonic()
        losses = self._pending.setdefault(server_id, [])
        is_first = not losses or now - losses[-1].at > CHECK_S
        losses.append(_Loss(call, now))
        del losses[:-MAX_PENDING]
        return is_first

    def ended(self, server_id):
        """Note that nothing listens at a server's address any more.

        Returns the (fingerprint, ids of lost servers) of the requests against which
        this counts.
        """
        now = self._clock.monotonic()
        news = []
        for loss in self._pending.pop(server_id, ()):
            if now - loss.at <= CONFIRM_S and not loss.call.covered:
                news.extend(self._count(loss.call, server_id, now))
        return news

    def _count(self, call, server_id, now):
        mark = _mark(call)
        counted = self._counted.get(mark)
        if counted is not None and counted[0] is not call and call.arrived < counted[1]:
            return
        self._counted[mark] = call, now
        servers = {server_id, *self._quarantine.lost_servers(mark)}
        is_refused = self._merge(mark, servers)
        self._log.warning(
            "request_quarantined" if is_refused else "server_lost_under",
            id=call.request.id,
            fingerprint=mark,
            server=server_id,
            lost=len(servers),
            refused_ms=int(self._quarantine.remaining_s(mark) * 1000),
        )
        yield mark, sorted(servers)

    def _merge(self, mark, servers):
        """Add evidence; returns whether the request is refused from now on."""
        is_refused = self._quarantine.add_lost_servers(mark, servers)
        if is_refused:
            self._until = self._clock.monotonic() + self._quarantine.duration_s
        return is_refused

    def answered(self, call):
        """Note that a server answered a call: its request crashes none."""
        if self._counted and self._counted.pop(_mark(call), None) is not None:
            self._quarantine.clear_suspect(_mark(call))

    def learn(self, mark, servers):
        """Take the servers that other daemons saw end under a request."""
        if self._quarantine.remaining_s(mark):
            return
        self._counted.setdefault(mark, (None, self._clock.monotonic()))
        if self._merge(mark, servers):
            self._log.warning(
                "request_quarantined",
                fingerprint=mark,
                source="peer",
                lost=len(servers),
                refused_ms=int(self._quarantine.remaining_s(mark) * 1000),
            )

    def trim(self):
        """Forget what is too old to count."""
        now = self._clock.monotonic()
        for server_id, losses in list(self._pending.items()):
            if now - losses[-1].at > CONFIRM_S:
                del self._pending[server_id]
        for mark in [m for m in self._counted if not self._quarantine.is_suspect(m)]:
            del self._counted[mark]

    @property
    def counts(self):
        """Numbers of suspects and of requests that are refused."""
        return {
            "suspects": len(self._quarantine.suspects()),
            "refused": len(self._quarantine.quarantined()),
        }


def _mark(call):
    """Return the fingerprint of a call's request, computed when it is needed."""
    if call.fingerprint is None:
        request = call.request
        headers = sorted(
            f"{name.decode('latin-1')}: {value.decode('latin-1')}"
            for name, value in lasting_headers(request)
        )
        body = request.body.decode("latin-1")
        call.fingerprint = request_fingerprint(
            request.method, request.target, [headers, body]
        )
    return call.fingerprint
