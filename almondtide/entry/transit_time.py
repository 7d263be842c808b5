"""How long a caller's request was on its way, and how long the answer will be."""

import socket
import struct

__all__ = ["TransitTime", "estimate_transit_time", "round_trip_s"]

# Round trips before a request arrives: a look-up on a new connection, a connection to
# the entry, and the way of the request, which leaves room for one more.
MAX_ROUND_TRIPS = 5
# Time that the daemon asked in the look-up takes at most, in s.
MAX_LOOKUP_S = 0.02
# Place of the smoothed round-trip time, in us, in Linux' struct tcp_info.
RTT_OFFSET = 68
TCP_INFO_BYTES = RTT_OFFSET + 4


class TransitTime:
    """Network time of a request, ``request_s``, and of its answer, ``response_s``."""

    __slots__ = ("request_s", "response_s")

    def __init__(self, request_s=0.0, response_s=0.0):
        self.request_s = request_s
        self.response_s = response_s


def estimate_transit_time(timeout_s, allowed_s, rtt_s):
    """Return the ``TransitTime`` of a request.

    Callers count their objective from the moment at which they look for an entry.
    ``allowed_s`` is what is left of a caller's deadline, or None. Mostly the deadline
    is the route's ``timeout_s``; then the difference is what was spent. A difference
    that the round trip ``rtt_s`` does not explain comes from another deadline or an
    earlier attempt, and tells nothing.
    """
    request_s = 0.0
    if allowed_s is not None:
        difference_s = timeout_s - allowed_s
        if 0.0 < difference_s <= MAX_ROUND_TRIPS * rtt_s + MAX_LOOKUP_S:
            request_s = difference_s
    return TransitTime(request_s, rtt_s / 2)


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
