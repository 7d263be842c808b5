"""Quarantine of requests that crash upstream servers."""

import hashlib

import orjson

from .errors import RefusedError, ResultCode

__all__ = ["Quarantine", "request_fingerprint"]

MAX_FINGERPRINTS = 4096
SUSPECT_TTL_S = 60.0
DEFAULT_SERVER_LIMIT = 2
DEFAULT_DURATION_S = 60.0


def request_fingerprint(workload, kind, body):
    """Return a digest that is the same when the caller sends the request again.

    Request ids and deadlines are not part of it, because a retry has new ones.
    """
    canonical = orjson.dumps([workload, kind, body], option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(canonical, digest_size=12).hexdigest()


class _Suspect:
    __slots__ = ("expires_at", "servers")

    def __init__(self):
        self.servers = set()
        self.expires_at = 0.0


class Quarantine:
    """Counts lost servers by request fingerprint and refuses crashing requests.

    A server is lost when its connection breaks while it runs the request. The first
    loss makes the request a suspect, whatever else ran on the server. A suspect is
    sent in isolation: to one server at a time, which runs no other suspect. After
    the first loss only losses in isolation count, so the failure of a whole failure
    domain quarantines none of the requests that ran there. Once
    ``server_limit`` lost servers count against a request, it is refused for
    ``duration_s`` seconds.
    """

    __slots__ = ("_clock", "_refused_until", "_suspects", "duration_s", "server_limit")

    def __init__(
        self, clock, server_limit=DEFAULT_SERVER_LIMIT, duration_s=DEFAULT_DURATION_S
    ):
        self._clock = clock
        self.server_limit = server_limit
        self.duration_s = duration_s
        self._suspects = {}
        self._refused_until = {}

    def is_suspect(self, fingerprint):
        """Return whether a server was lost while it ran the request."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.expires_at > self._clock.monotonic()

    def remaining_s(self, fingerprint):
        """Return how many more seconds the request is refused, or 0.0."""
        expires_at = self._refused_until.get(fingerprint)
        if expires_at is None:
            return 0.0
        return max(0.0, expires_at - self._clock.monotonic())

    def raise_if_quarantined(self, fingerprint):
        """Raise ``RefusedError`` if the request is in quarantine."""
        remaining_s = self.remaining_s(fingerprint)
        if remaining_s > 0:
            raise RefusedError(
                "the request crashed upstreams and is in quarantine",
                ResultCode.QUARANTINED,
                retry_after_ms=int(remaining_s * 1000),
            )

    def record_loss(self, fingerprint, server, is_isolated):
        """Record that ``server`` was lost while it ran the request.

        ``is_isolated`` tells whether the request was sent as a suspect. Returns
        whether this loss puts the request in quarantine.
        """
        if self.is_suspect(fingerprint) and not is_isolated:
            return False
        return self.add_lost_servers(fingerprint, [server])

    def add_lost_servers(self, fingerprint, servers):
        """Add servers whose loss this daemon or a peer has seen.

        Returns whether they put the request in quarantine.
        """
        self._expire()
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        suspect.servers.update(servers)
        suspect.expires_at = self._clock.monotonic() + SUSPECT_TTL_S
        if len(suspect.servers) < self.server_limit:
            return False
        del self._suspects[fingerprint]
        return self.add(fingerprint, self.duration_s)

    def lost_servers(self, fingerprint):
        """Return the servers that were lost while running a suspect, sorted."""
        suspect = self._suspects.get(fingerprint)
        return sorted(suspect.servers) if suspect is not None else []

    def clear_suspect(self, fingerprint):
        """Drop the suspicion against a request that completed in isolation."""
        self._suspects.pop(fingerprint, None)

    def add(self, fingerprint, duration_s):
        """Refuse the request for ``duration_s``; return False if it already was."""
        self._expire()
        if fingerprint in self._refused_until:
            return False
        self._refused_until[fingerprint] = self._clock.monotonic() + duration_s
        return True

    def quarantined(self):
        """Return a list of (fingerprint, remaining seconds) of refused requests."""
        self._expire()
        now = self._clock.monotonic()
        return [
            (fingerprint, expires_at - now)
            for fingerprint, expires_at in self._refused_until.items()
        ]

    def suspects(self):
        """Return a dict from the fingerprints of suspects to their lost servers."""
        self._expire()
        return {
            fingerprint: sorted(entry.servers)
            for fingerprint, entry in self._suspects.items()
        }

    def _expire(self):
        now = self._clock.monotonic()
        for fingerprint in [
            key for key, entry in self._suspects.items() if entry.expires_at <= now
        ]:
            del self._suspects[fingerprint]
        for fingerprint in [
            key for key, expires_at in self._refused_until.items() if expires_at <= now
        ]:
            del self._refused_until[fingerprint]
        while len(self._suspects) > MAX_FINGERPRINTS:
            del self._suspects[next(iter(self._suspects))]
        while len(self._refused_until) > MAX_FINGERPRINTS:
            del self._refused_until[next(iter(self._refused_until))]
