"""Detects requests that crash the servers that run them, and quarantines them."""

import random

from ..platform.headers import stable_headers
from ..quarantine import Quarantine, request_fingerprint

__all__ = ["CrashDetector"]

# Lost servers after which a request is quarantined, and the time of the quarantine, in
# s. Callers resend a request that crashes servers for as long as they want an answer.
CRASH_LIMIT = 3
QUARANTINE_S = 20.0
# A server has ended if a connection to it broke and it refuses a connection within
# this time after that, in s. A server that only reset a connection accepts the next.
CONFIRM_WINDOW_S = 3.0
# Least time between two checks of one server, in s.
MIN_CHECK_INTERVAL_S = 0.5
# Most losses that are kept for each server until it is known to have ended.
MAX_UNCONFIRMED_PER_SERVER = 64


class _Clock:
    """Adapts the clock function of the daemon to the interface of ``Quarantine``."""

    __slots__ = ("monotonic",)

    def __init__(self, now):
        self.monotonic = now


class _Loss:
    """A call whose connection to a server broke, and the time of that."""

    __slots__ = ("at", "call")

    def __init__(self, call, at):
        self.call = call
        self.at = at


class CrashDetector:
    """Detects requests that crash servers, by the results of their exchanges.

    The loss of a server counts against a request under three conditions: the server
    ended while it ran the request, no server has answered the request since, and the
    call arrived after the newest counted loss of another call of the same request.
    So when many servers crash at once, their requests are answered by other servers
    and none of them is quarantined. Requests count as the same if their method, host,
    path, query, body and headers are equal; the id and the deadline may differ.
    """

    __slots__ = (
        "_clock",
        "_counted_losses",
        "_log",
        "_quarantine",
        "_refusing_until",
        "_unconfirmed_losses",
    )

    def __init__(
        self, now, log, limit=CRASH_LIMIT, quarantine_s=QUARANTINE_S, rng=random
    ):
        self._clock = _Clock(now)
        self._log = log
        self._quarantine = Quarantine(self._clock, limit, quarantine_s, rng)
        # Server id -> losses of connections to it that are not confirmed yet.
        self._unconfirmed_losses = {}
        # When the newest quarantine ends. After that no fingerprint is computed for a
        # look-up.
        self._refusing_until = 0.0
        # Fingerprint -> (call, time) of the newest counted loss; the call is None for
        # losses that a peer reported.
        self._counted_losses = {}

    def refused_for_s(self, call):
        """Return the rest of the quarantine of a call's request in s, or 0.0."""
        now = self._clock.monotonic()
        if now >= self._refusing_until:
            return 0.0
        refused_s = self._quarantine.refuse_s(_call_fingerprint(call))
        self._refusing_until = max(self._refusing_until, now + refused_s)
        return refused_s

    def is_suspect(self, call):
        """Return whether a server was lost under the request and none answered it."""
        return bool(self._counted_losses) and self._quarantine.is_suspect(
            _call_fingerprint(call)
        )

    def is_on_trial(self, call):
        """Return whether the request was in quarantine, so that it gets one server."""
        return bool(self._counted_losses) and self._quarantine.is_on_trial(
            _call_fingerprint(call)
        )

    def on_connection_broken(self, call, server_id):
        """Record that a connection broke while the server may have run a call.

        Return whether to check that the server still accepts connections.
        """
        now = self._clock.monotonic()
        losses = self._unconfirmed_losses.setdefault(server_id, [])
        needs_check = not losses or now - losses[-1].at > MIN_CHECK_INTERVAL_S
        losses.append(_Loss(call, now))
        del losses[:-MAX_UNCONFIRMED_PER_SERVER]
        return needs_check

    def on_server_ended(self, server_id):
        """Record that a server has ended: its address refuses connections.

        Return a list of (fingerprint, ids of lost servers) of the requests against
        which the loss counts.
        """
        now = self._clock.monotonic()
        losses_by_request = []
        for loss in self._unconfirmed_losses.pop(server_id, ()):
            if now - loss.at <= CONFIRM_WINDOW_S and not loss.call.answered_count:
                losses_by_request.extend(self._count(loss.call, server_id, now))
        return losses_by_request

    def _count(self, call, server_id, now):
        fingerprint = _call_fingerprint(call)
        counted = self._counted_losses.get(fingerprint)
        if (
            counted is not None
            and counted[0] is not call
            and call.arrived_at < counted[1]
        ):
            return
        self._counted_losses[fingerprint] = call, now
        servers = {server_id, *self._quarantine.lost_servers(fingerprint)}
        is_refused = self._merge(fingerprint, servers)
        self._log.warning(
            "request_quarantined" if is_refused else "server_lost_under",
            id=call.request.id,
            fingerprint=fingerprint,
            server=server_id,
            lost=len(servers),
            refused_ms=int(self._quarantine.remaining_s(fingerprint) * 1000),
        )
        # A report holds a few servers, and peers may know the others.
        yield fingerprint, [server_id, *sorted(servers - {server_id})]

    def _merge(self, fingerprint, servers):
        """Add lost servers; return whether they put the request in quarantine."""
        is_refused = self._quarantine.add_lost_servers(fingerprint, servers)
        if is_refused:
            until = self._clock.monotonic() + self._quarantine.remaining_s(fingerprint)
            self._refusing_until = max(self._refusing_until, until)
        return is_refused

    def on_answer(self, call):
        """Clear the losses of a request that a server has answered."""
        if (
            self._counted_losses
            and self._counted_losses.pop(_call_fingerprint(call), None) is not None
        ):
            self._quarantine.clear_suspect(_call_fingerprint(call))

    def merge_peer_losses(self, fingerprint, servers):
        """Add servers that other daemons lost under a request."""
        self._counted_losses.setdefault(fingerprint, (None, self._clock.monotonic()))
        if self._merge(fingerprint, servers):
            self._log.warning(
                "request_quarantined",
                fingerprint=fingerprint,
                source="peer",
                lost=len(servers),
                refused_ms=int(self._quarantine.remaining_s(fingerprint) * 1000),
            )

    def remove_expired(self):
        """Remove losses that are too old to count."""
        now = self._clock.monotonic()
        for server_id, losses in list(self._unconfirmed_losses.items()):
            if now - losses[-1].at > CONFIRM_WINDOW_S:
                del self._unconfirmed_losses[server_id]
        for fingerprint in [
            key for key in self._counted_losses if not self._quarantine.is_suspect(key)
        ]:
            del self._counted_losses[fingerprint]

    @property
    def counts(self):
        """Number of suspect requests and of requests in quarantine."""
        return {
            "suspects": len(self._quarantine.suspects()),
            "refused": len(self._quarantine.quarantined()),
        }


def _call_fingerprint(call):
    """Return the fingerprint of a call's request; it is computed on first use."""
    if call.fingerprint is None:
        request = call.request
        headers = sorted(
            f"{name.decode('latin-1')}: {value.decode('latin-1')}"
            for name, value in stable_headers(request)
        )
        body = request.body.decode("latin-1")
        call.fingerprint = request_fingerprint(
            request.method, request.target, [headers, body]
        )
    return call.fingerprint
