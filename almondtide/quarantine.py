"""Quarantine of requests that crash upstream servers."""

import hashlib
import random

import orjson

from .errors import RefusedError, ResultCode

__all__ = ["Quarantine", "request_fingerprint"]

MAX_FINGERPRINTS = 4096
SUSPECT_TTL_S = 60.0
# A request that loses servers after its quarantine is refused for twice as long each
# time, up to MAX_DURATION_S. It stays a suspect for HISTORY_S after a quarantine.
MAX_DURATION_S = 600.0
HISTORY_S = 600.0
# Quarantines are longer by a random fraction of up to this, so that the daemons do not
# let the request through at the same moment.
DURATION_SPREAD = 1.0
# Servers lost beyond the limit, after which a quarantine only ends when the request has
# not come for its duration.
MAX_TRIAL_LOSSES = 2
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
    ``duration_s`` seconds. After that it is still a suspect, and the next lost server
    puts it back for longer: the end of a quarantine by the clock proves nothing.
    """

    __slots__ = (
        "_clock",
        "_refused_until",
        "_rng",
        "_suspects",
        "duration_s",
        "server_limit",
    )

    def __init__(
        self,
        clock,
        server_limit=DEFAULT_SERVER_LIMIT,
        duration_s=DEFAULT_DURATION_S,
        rng=random,
    ):
        self._clock = clock
        self._rng = rng
        self.server_limit = server_limit
        self.duration_s = duration_s
        self._suspects = {}
        self._refused_until = {}

    def is_suspect(self, fingerprint):
        """Return whether a server was lost while it ran the request."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.expires_at > self._clock.monotonic()

    def is_on_trial(self, fingerprint):
        """Return whether the request was in quarantine and has not been answered since.

        It gets one server, as one more loss puts it back.
        """
        return (
            self.is_suspect(fingerprint)
            and len(self._suspects[fingerprint].servers) >= self.server_limit
        )

    def remaining_s(self, fingerprint):
        """Return how many more seconds the request is refused, or 0.0."""
        expires_at = self._refused_until.get(fingerprint)
        if expires_at is None:
            return 0.0
        return max(0.0, expires_at - self._clock.monotonic())

    def refuse_s(self, fingerprint):
        """Return for how long a request that has come is refused, in s, or 0.0.

        One that has lost servers after several quarantines is refused for as long as it
        keeps coming.
        """
        remaining_s = self.remaining_s(fingerprint)
        suspect = self._suspects.get(fingerprint)
        if remaining_s and suspect is not None:
            trial_losses = len(suspect.servers) - self.server_limit
            if trial_losses >= MAX_TRIAL_LOSSES:
                remaining_s = max(remaining_s, self._duration_s(suspect))
                self._refuse(fingerprint, suspect, remaining_s)
        return remaining_s

    def _duration_s(self, suspect):
        """Return the time of the next quarantine of a suspect, without its spread."""
        trial_losses = max(0, len(suspect.servers) - self.server_limit)
        return min(MAX_DURATION_S, self.duration_s * 2.0 ** min(trial_losses, 10))

    def _refuse(self, fingerprint, suspect, duration_s):
        until = self._clock.monotonic() + duration_s
        until = max(until, self._refused_until.get(fingerprint, 0.0))
        self._refused_until[fingerprint] = until
        suspect.expires_at = until + HISTORY_S

    def raise_if_quarantined(self, fingerprint):
        """Raise ``RefusedError`` if the request is in quarantine."""
        remaining_s = self.refuse_s(fingerprint)
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
        is_counted = is_isolated or self.is_on_trial(fingerprint)
        if self.is_suspect(fingerprint) and not is_counted:
            return False
        return self.add_lost_servers(fingerprint, [server])

    def add_lost_servers(self, fingerprint, servers):
        """Add servers whose loss this daemon or a peer has seen.

        Returns whether they put the request in quarantine.
        """
        self._expire()
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        known_count = len(suspect.servers)
        suspect.servers.update(servers)
        now = self._clock.monotonic()
        suspect.expires_at = max(suspect.expires_at, now + SUSPECT_TTL_S)
        if len(suspect.servers) in (known_count, *range(self.server_limit)):
            return False
        spread = 1.0 + DURATION_SPREAD * self._rng.random()
        self._refuse(fingerprint, suspect, self._duration_s(suspect) * spread)
        return True

    def lost_servers(self, fingerprint):
        """Return the servers that were lost while running a suspect, sorted."""
        suspect = self._suspects.get(fingerprint)
        return sorted(suspect.servers) if suspect is not None else []

    def clear_suspect(self, fingerprint):
        """Drop the suspicion against a request that completed in isolation."""
        self._suspects.pop(fingerprint, None)

    def add(self, fingerprint, duration_s):
        """Refuse the request for ``duration_s`` at least.

        Return False if it already was refused.
        """
        self._expire()
        until = self._clock.monotonic() + duration_s
        was_refused = fingerprint in self._refused_until
        self._refused_until[fingerprint] = max(
            until, self._refused_until.get(fingerprint, 0.0)
        )
        return not was_refused

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
            if fingerprint not in self._refused_until
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
