"""Rates of requests that servers announce for all entries together."""

__all__ = ["RateLimit"]


class RateLimit:
    """The rate that one incarnation of a server announced.

    ``rate`` is in requests a second for all entries together, and ``noted_at`` the
    time of the newest reply that stated it. ``send_counts`` holds by kind the
    requests that this entry has written to the server since ``reset_counts``.
    """

    __slots__ = ("noted_at", "rate", "send_counts")

    def __init__(self, rate, now):
        self.rate = rate
        self.noted_at = now
        self.send_counts = {}

    def note(self, rate, now):
        """Record the rate that a further reply states."""
        self.rate = rate
        self.noted_at = now

    def count_send(self, kind):
        """Count a request that was written to the server."""
        self.send_counts[kind] = self.send_counts.get(kind, 0) + 1

    def reset_counts(self):
        """Return the requests written since the last call, by kind."""
        counts, self.send_counts = self.send_counts, {}
        return counts
