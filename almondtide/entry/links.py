"""Whether this entry has lost its links to the servers, from what it observes.

Answers the load pattern in which an entry is partitioned from all servers, while
callers, the store and its peers still reach it: connections to servers hang, are reset,
or live on while new ones are refused. Failing servers look the same to one entry, so it
takes three things together: several servers fail here, connections that are opened as
probes fail as well, and a peer has had replies since. Two of them suffice to let peers
try its requests, all three to send callers elsewhere.
"""

import enum

__all__ = ["LinkMonitor", "LinkState"]

# Least number of servers that fail before the links are suspected.
MIN_FAILING_SERVERS = 3
# Links are suspected after this time without any reply, in s.
SUSPECT_AFTER_S = 0.25
# Time for which a new connection that failed counts, in s.
CONNECT_FAILURE_LIFETIME_S = 1.0
# A peer's reply proves that servers serve if it came this long after the first failure
# here, in s. Replies that were on their way at the first failure do not.
EVIDENCE_MARGIN_S = 0.2
# Time between two rounds of probes, in s: while links are suspected, while they are
# lost, and after a round that succeeded.
SUSPECT_PROBE_INTERVAL_S = 0.4
LOST_PROBE_INTERVAL_S = 0.5
PROVEN_INTERVAL_S = 1.0
# Number of successful rounds in sequence after which lost links are back. One may only
# have met a gap of the partition.
ROUNDS_UNTIL_BACK = 2
# An entry that has had no reply for this long, in s, does not know its links.
UNKNOWN_AFTER_S = 1.0
# How long the report of a peer that it has lost its links counts, in s.
PEER_LOSS_LIFETIME_S = 2.0


class LinkState(enum.Enum):
    """Whether servers can be reached."""

    UP = "up"
    # No server can be reached, and none may serve anybody else either.
    FAILING = "failing"
    # No server can be reached, while servers serve peers.
    LOST = "lost"


class LinkMonitor:
    """Decides from replies, failures, probes and peers whether the links are lost.

    All times are in seconds on the clock of the daemon.
    """

    __slots__ = (
        "_connect_failures",
        "_failing_ids",
        "_failing_since",
        "_next_probe_at",
        "_peer_losses",
        "_peer_replies",
        "_proven_rounds",
        "_unserved_at",
        "has_replies",
        "last_reply_at",
        "state",
    )

    def __init__(self, now):
        self.state = LinkState.UP
        # When a server last replied to this entry; the start before the first reply.
        self.last_reply_at = now
        self.has_replies = False
        # Ids of servers that failed since the last reply.
        self._failing_ids = set()
        # Server id -> when a new connection to it failed. A new connection to any
        # server that succeeds clears it.
        self._connect_failures = {}
        # When a call was last refused that the links may be the cause of.
        self._unserved_at = now - CONNECT_FAILURE_LIFETIME_S - 1.0
        # When the present failures began, or None.
        self._failing_since = None
        self._next_probe_at = now
        self._proven_rounds = 0
        # Name of a peer -> when a server last replied to it, and when the peer last
        # reported that its own links are lost.
        self._peer_replies = {}
        self._peer_losses = {}

    @property
    def is_lost(self):
        """Whether the links to all servers are lost."""
        return self.state is LinkState.LOST

    @property
    def is_failing(self):
        """Whether no server can be reached, be it the links or the servers."""
        return self.state is not LinkState.UP

    def is_peer_failing(self, name, now):
        """Return whether a peer reported lately that it reaches no server."""
        lost_at = self._peer_losses.get(name)
        return lost_at is not None and now - lost_at <= PEER_LOSS_LIFETIME_S

    def note_unserved(self, has_lost_service, now):
        """Record that a call was refused.

        It counts if servers seemed to be down, or if new connections failed lately, so
        that the open ones may be too few.
        """
        if has_lost_service or self._recent_connect_failures(now):
            self._unserved_at = now

    def _recent_connect_failures(self, now):
        return sum(
            now - failed_at <= CONNECT_FAILURE_LIFETIME_S
            for failed_at in self._connect_failures.values()
        )

    def reply_age_s(self, now):
        """Return how long ago a server last replied, in seconds, or None for never."""
        return max(0.0, now - self.last_reply_at) if self.has_replies else None

    def is_silent(self, now):
        """Return whether no server has replied for a while."""
        return now - self.last_reply_at >= SUSPECT_AFTER_S

    def note_reply(self, now):
        """Record a reply of any server."""
        self.last_reply_at = now
        self.has_replies = True
        self._failing_ids.clear()
        if not self._connect_failures:
            self._failing_since = None

    def note_connected(self):
        """Record that a new connection to a server was opened."""
        self._connect_failures.clear()
        if not self._failing_ids:
            self._failing_since = None

    def note_failure(self, server_id, is_connect, now):
        """Record that an exchange with a server, or a new connection, failed."""
        self._failing_ids.add(server_id)
        if is_connect:
            self._connect_failures[server_id] = now
        if self._failing_since is None:
            self._failing_since = now

    def note_peer(self, name, replied_at, is_failing, now):
        """Record when a server last replied to a peer, and the state of its links.

        ``replied_at`` is None if that is unknown.
        """
        if replied_at is not None:
            self._peer_replies[name] = replied_at
        if is_failing:
            self._peer_losses[name] = now
        else:
            self._peer_losses.pop(name, None)

    def is_suspect(self, silent_ids, now):
        """Return whether the links seem to be lost, so that they should be probed.

        ``silent_ids`` are the ids of servers whose reply is overdue.
        """
        failing_ids = self._failing_ids.union(silent_ids)
        if self.is_silent(now) and len(failing_ids) >= MIN_FAILING_SERVERS:
            return True
        if now - self._unserved_at <= SUSPECT_PROBE_INTERVAL_S:
            return True
        return self._recent_connect_failures(now) >= MIN_FAILING_SERVERS

    def _is_unproven(self, now):
        """Return whether peers lost their links, and the own ones are not known."""
        if now - self.last_reply_at < UNKNOWN_AFTER_S:
            return False
        return any(
            now - lost_at <= PEER_LOSS_LIFETIME_S
            for lost_at in self._peer_losses.values()
        )

    def should_probe(self, silent_ids, now):
        """Return whether servers should be probed now; the next probes come later."""
        if now < self._next_probe_at:
            return False
        if self.is_lost:
            self._next_probe_at = now + LOST_PROBE_INTERVAL_S
            return True
        if (
            self.is_failing
            or self.is_suspect(silent_ids, now)
            or self._is_unproven(now)
        ):
            self._next_probe_at = now + SUSPECT_PROBE_INTERVAL_S
            return True
        return False

    def is_peer_served(self, name, now):
        """Return whether servers have served a peer since the failures began here."""
        since = self._failing_since
        if since is None or self.is_silent(now):
            since = self.last_reply_at
        replied_at = self._peer_replies.get(name)
        return replied_at is not None and replied_at >= since + EVIDENCE_MARGIN_S

    def on_probed(self, has_connected, peer_names, is_active, now):
        """Record a round of probes; return whether the state has changed.

        ``has_connected`` tells whether any probe was accepted. ``peer_names`` are the
        live peers that callers are sent to. Callers are not sent to an entry that is
        not ``is_active``, so it needs no evidence of peers.
        """
        earlier = self.state
        if has_connected:
            self._failing_ids.clear()
            self._connect_failures.clear()
            self._failing_since = None
            self._proven_rounds += 1
            if not self.is_lost or self._proven_rounds >= ROUNDS_UNTIL_BACK:
                self.state = LinkState.UP
                self._next_probe_at = now + PROVEN_INTERVAL_S
            return self.state is not earlier
        self._proven_rounds = 0
        if self.is_lost:
            return False
        is_served = any(self.is_peer_served(name, now) for name in peer_names)
        is_lost = bool(peer_names) and (is_served or not is_active)
        self.state = LinkState.LOST if is_lost else LinkState.FAILING
        return self.state is not earlier
