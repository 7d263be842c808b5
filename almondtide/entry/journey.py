"""How long a caller's request was on its way, and how long the answer will be."""

import socket
import struct

__all__ = ["Journey", "estimate_journey", "round_trip_s"]

# Round trips before a request arrives: a look-up on a new connection, a connection to
# the entry, and the way of the request, which leaves room for one more.
MOST_TRIPS = 5
# Time that the daemon asked in the look-up takes at most, in s.
LOOKUP_S = 0.02
# Place of the smoothed round-trip time, in us, in Linux' struct tcp_info.
RTT_OFFSET = 68
TCP_INFO_BYTES = RTT_OFFSET + 4


class Journey:
    """Time on the way, in s: ``spent_s`` of the request, ``back_s`` of the answer."""

    __slots__ = ("back_s", "spent_s")

    def __init__(self, spent_s=0.0, back_s=0.0):
        self.spent_s = spent_s
        self.back_s = back_s


def estimate_journey(timeout_s, allowed_s, trip_s):
    """Return the ``Journey`` of a request.

    Callers count their objective from the moment at which they look for an entry.
    ``allowed_s`` is what is left of a caller's deadline, or None. Mostly the deadline
    is the route's ``timeout_s``; then the difference is what was spent. A difference
    that the round trip ``trip_s`` does not explain comes from another deadline or an
    earlier attempt, and tells nothing.
    """
    spent_s = 0.0
    if allowed_s is not None:
        difference_s = timeout_s - allowed_s
        if 0.0 < difference_s <= MOST_TRIPS * trip_s + LOOKUP_S:
            spent_s = difference_s
    return Journey(spent_s, trip_s / 2)


def round_trip_s(sock):
    """Return the round-trip time of a connected socket in s, 0.0 if unknown."""
    try:
        raw = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        # No TCP socket, or closed: the way counts as short.
        return 0.0
    if len(raw) < TCP_INFO_BYTES:
        return 0.0
    return struct.unpack_from("=I", raw, RTT_OFFSET)[0] / 1e6
