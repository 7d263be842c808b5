"""How much longer than usual a datagram of a peer was on its way.

Answers the load pattern in which the link of an entry holds what it sends for up to
some seconds. Ages in its messages count from their arrival, so that peers would take
old reads of the store for recent ones and none of them would read.
"""

__all__ = ["TransitDelays"]

# The usual delay is the shortest of one to two spans of this length, in s. Clocks of
# machines drift apart by less than a millisecond in it.
SPAN_S = 30.0
# A datagram that this process handled later than this, in s, says nothing on the usual
# delay, since its time of arrival is a guess.
MAX_WAIT_S = 0.01
# Number of peers that are kept, the latest ones.
MAX_PEERS = 4096


class _Peer:
    """The shortest differences between two clocks, of this span and the last one."""

    __slots__ = ("before_s", "excess_s", "incarnation", "shortest_s", "since")

    def __init__(self, incarnation, since):
        self.incarnation = incarnation
        self.since = since
        self.shortest_s = None
        self.before_s = None
        self.excess_s = 0.0


class TransitDelays:
    """Delays of the peers' datagrams beyond the usual ones, by host; times are in s.

    The clocks of two processes differ by a constant, so that no clock has to be set.

    >>> delays = TransitDelays()
    >>> delays.note("10.1.0.1", 7, sent_at=500.0, arrived_at=10.0, now=10.0)
    0.0
    >>> delays.note("10.1.0.1", 7, sent_at=501.0, arrived_at=12.5, now=12.5)
    1.5
    """

    __slots__ = ("_peers",)

    def __init__(self):
        self._peers = {}

    def note(self, host, incarnation, sent_at, arrived_at, now):
        """Record a datagram; return its delay beyond the usual one.

        ``sent_at`` is on the clock of the sender's process ``incarnation``,
        ``arrived_at`` and the time ``now`` at which it is handled on this daemon's.
        """
        peer = self._peers.pop(host, None)
        if peer is None or peer.incarnation != incarnation:
            peer = _Peer(incarnation, now)
        self._peers[host] = peer
        if len(self._peers) > MAX_PEERS:
            del self._peers[next(iter(self._peers))]
        if now - peer.since >= SPAN_S:
            peer.before_s, peer.shortest_s = peer.shortest_s, None
            peer.since = now
        difference_s = arrived_at - sent_at
        if now - arrived_at <= MAX_WAIT_S:
            known_s = difference_s if peer.shortest_s is None else peer.shortest_s
            peer.shortest_s = min(known_s, difference_s)
        usual = [s for s in (peer.before_s, peer.shortest_s) if s is not None]
        peer.excess_s = max(0.0, difference_s - min(usual)) if usual else 0.0
        return peer.excess_s

    def latest_s(self, host):
        """Return the delay of the latest datagram of a host beyond the usual one."""
        peer = self._peers.get(host)
        return 0.0 if peer is None else peer.excess_s
