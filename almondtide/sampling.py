"""Selection of the peers with which a daemon exchanges digests."""

__all__ = ["PeerSample"]

SAMPLE_SIZE = 12
# One peer of the sample is replaced after this many picks.
PICKS_PER_REPLACEMENT = 5
# One of this many picks always contains a peer of another failure domain.
PICKS_PER_OTHER_DOMAIN = 4


class PeerSample:
    """A slowly changing random sample of the fleet.

    In a large fleet, picks from the whole fleet would need a new connection for
    nearly every message. Picks from a sample whose members are replaced one at a
    time reuse most connections, and the graph of connections stays random.
    """

    __slots__ = ("_instance", "_membership", "_picks", "_rng", "_sample")

    def __init__(self, instance, membership, rng):
        self._instance = instance
        self._membership = membership
        self._rng = rng
        self._sample = []
        self._picks = 0

    def _peers(self):
        entries = self._membership.view().live_entries()
        return [m.instance for m in entries if m.instance != self._instance]

    def _refresh(self, peers):
        live = set(peers)
        self._sample = [name for name in self._sample if name in live]
        if self._sample and self._picks % PICKS_PER_REPLACEMENT == 0:
            self._sample.pop(self._rng.randrange(len(self._sample)))
        if len(self._sample) >= min(SAMPLE_SIZE, len(live)):
            return
        others = sorted(live.difference(self._sample))
        missing = min(SAMPLE_SIZE - len(self._sample), len(others))
        self._sample.extend(self._rng.sample(others, missing))

    def pick(self, count):
        """Return up to ``count`` different live peers."""
        peers = self._peers()
        self._picks += 1
        self._refresh(peers)
        picked = self._rng.sample(self._sample, min(count, len(self._sample)))
        if self._picks % PICKS_PER_OTHER_DOMAIN == 0:
            self._include_other_domain(picked)
        return picked

    def _include_other_domain(self, picked):
        """Replace the last pick if all are in this daemon's failure domain."""
        view = self._membership.view()
        own = view.entries.get(self._instance)
        if own is None or not picked:
            return
        others = [m.instance for m in view.live_entries() if m.domain != own.domain]
        if others and not set(picked).intersection(others):
            picked[-1] = self._rng.choice(others)
