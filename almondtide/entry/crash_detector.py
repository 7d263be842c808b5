"""Requests that crash the servers which run them, and how long they are refused."""

from ..platform.headers import lasting_headers
from ..quarantine import Quarantine, fingerprint

__all__ = ["CrashDetector"]

# Lost servers after which a request is refused, and for how long, in s. A request
# that crashes servers comes again while its caller wants an answer.
CRASH_LIMIT = 3
QUARANTINE_S = 20.0
# A server that accepts no connection within this time, in s, after a connection to it
# broke has ended; one whose connection was only reset accepts the next.
CONFIRM_WINDOW_S = 3.0
# Least time between two checks of one server, in s.
MIN_CHECK_INTERVAL_S = 0.5
# Calls that are remembered for each server until it is known to have ended.
MAX_UNCONFIRMED_PER_SERVER = 64


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


class CrashDetector:
    """Finds requests that crash servers, from what their exchanges show.

    A loss counts against a request when the server ended while it ran the request,
    nothing has answered the request since, and the call began after the losses of
    other calls were counted. So a crash of many servers under many requests, which
    are answered by others, convicts none of them. Resent requests are equal in
    method, host, path, query, body and headers but for the id and the deadline.
    """

    __slots__ = (
        "_clock",
        "_counted_losses",
        "_log",
        "_quarantine",
        "_refusing_until",
        "_unconfirmed_losses",
    )

    def __init__(self, now, log, limit=CRASH_LIMIT, quarantine_s=QUARANTINE_S):
        self._clock = _Clock(now)
        self._log = log
        self._quarantine = Quarantine(self._clock, limit, quarantine_s)
        # Server id -> calls whose connection to it broke lately.
        self._unconfirmed_losses = {}
        # When the last refusal ends; most of the time nothing is refused.
        self._refusing_until = 0.0
        # Mark -> (call, time) of the newest loss that counted.
        self._counted_losses = {}

    def refused_for_s(self, call):
        """Return for how long a call's request is refused still, in s, or 0.0."""
        if self._clock.monotonic() >= self._refusing_until:
            return 0.0
        return self._quarantine.remaining_s(_call_fingerprint(call))

    def is_suspect(self, call):
        """Return whether a server ended under the request, and none answered it."""
        return bool(self._counted_losses) and self._quarantine.is_suspect(
            _call_fingerprint(call)
        )

    def on_connection_broken(self, call, server_id):
        """Note that a connection broke on which a server ran a call.

        Returns whether it should be checked that something listens there still.
        """
        now = self._clock.monotonic()
        losses = self._unconfirmed_losses.setdefault(server_id, [])
        needs_check = not losses or now - losses[-1].at > MIN_CHECK_INTERVAL_S
        losses.append(_Loss(call, now))
        del losses[:-MAX_UNCONFIRMED_PER_SERVER]
        return needs_check

    def on_server_ended(self, server_id):
        """Note that nothing listens at a server's address any more.

        Returns the (fingerprint, ids of lost servers) of the requests against which
        this counts.
        """
        now = self._clock.monotonic()
        losses_by_request = []
        for loss in self._unconfirmed_losses.pop(server_id, ()):
            if now - loss.at <= CONFIRM_WINDOW_S and not loss.call.answered_count:
                losses_by_request.extend(self._count(loss.call, server_id, now))
        return losses_by_request

    def _count(self, call, server_id, now):
        digest = _call_fingerprint(call)
        counted = self._counted_losses.get(digest)
        if (
            counted is not None
            and counted[0] is not call
            and call.arrived_at < counted[1]
        ):
            return
        self._counted_losses[digest] = call, now
        servers = {server_id, *self._quarantine.evidence(digest)}
        is_refused = self._merge(digest, servers)
        self._log.warning(
            "request_quarantined" if is_refused else "server_lost_under",
            id=call.request.id,
            fingerprint=digest,
            server=server_id,
            lost=len(servers),
            refused_ms=int(self._quarantine.remaining_s(digest) * 1000),
        )
        yield digest, sorted(servers)

    def _merge(self, digest, servers):
        """Add evidence; returns whether the request is refused from now on."""
        is_refused = self._quarantine.merge_evidence(digest, servers)
        if is_refused:
            self._refusing_until = self._clock.monotonic() + self._quarantine.duration_s
        return is_refused

    def on_answer(self, call):
        """Note that a server answered a call: its request crashes none."""
        if (
            self._counted_losses
            and self._counted_losses.pop(_call_fingerprint(call), None) is not None
        ):
            self._quarantine.clear(_call_fingerprint(call))

    def merge_peer_losses(self, digest, servers):
        """Take the servers that other daemons saw end under a request."""
        if self._quarantine.remaining_s(digest):
            return
        self._counted_losses.setdefault(digest, (None, self._clock.monotonic()))
        if self._merge(digest, servers):
            self._log.warning(
                "request_quarantined",
                fingerprint=digest,
                source="peer",
                lost=len(servers),
                refused_ms=int(self._quarantine.remaining_s(digest) * 1000),
            )

    def remove_expired(self):
        """Forget what is too old to count."""
        now = self._clock.monotonic()
        for server_id, losses in list(self._unconfirmed_losses.items()):
            if now - losses[-1].at > CONFIRM_WINDOW_S:
                del self._unconfirmed_losses[server_id]
        for digest in [
            m for m in self._counted_losses if not self._quarantine.is_suspect(m)
        ]:
            del self._counted_losses[digest]

    @property
    def counts(self):
        """Numbers of suspects and of requests that are refused."""
        return {
            "suspects": len(self._quarantine.suspects()),
            "refused": len(self._quarantine.entries()),
        }


def _call_fingerprint(call):
    """Return the fingerprint of a call's request, computed when it is needed."""
    if call.fingerprint is None:
        request = call.request
        headers = sorted(
            f"{name.decode('latin-1')}: {value.decode('latin-1')}"
            for name, value in lasting_headers(request)
        )
        body = request.body.decode("latin-1")
        call.fingerprint = fingerprint(request.method, request.target, [headers, body])
    return call.fingerprint
