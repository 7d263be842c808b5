"""Estimates the network time of a caller's request and of the answer to it."""

import socket
import struct

__all__ = ["TransitTime", "estimate_transit_time", "round_trip_s"]

# Most round trips before a request arrives: a look-up on a new connection, a connection
# to the entry and the request itself, with one round trip to spare.
MAX_ROUND_TRIPS = 5
# Most time that the daemon takes to answer the look-up, in s.
MAX_LOOKUP_S = 0.02
# Offset of the smoothed round-trip time, in us, in struct tcp_info of Linux.
RTT_OFFSET = 68
TCP_INFO_BYTES = RTT_OFFSET + 4


class TransitTime:
    """Time in s before a request arrived, and time that its answer will take."""

    __slots__ = ("request_s", "response_s")

    def __init__(self, request_s=0.0, response_s=0.0):
        self.request_s = request_s
        self.response_s = response_s


def estimate_transit_time(timeout_s, allowed_s, rtt_s):
    """Return the ``TransitTime`` of a request.

    Callers measure their objective from the start of their look-up of an entry.
    ``allowed_s`` is the rest of the caller's deadline, or None. Most deadlines equal
    the route's ``timeout_s``, so that the difference is the time from the look-up until
    the request was sent; its own way is added. A difference that is too large for the
    round-trip time ``rtt_s`` comes from another deadline or an earlier attempt. It is
    ignored.
    """
    request_s = 0.0
    if allowed_s is not None:
        difference_s = timeout_s - allowed_s
        if 0.0 < difference_s <= MAX_ROUND_TRIPS * rtt_s + MAX_LOOKUP_S:
            request_s = difference_s
    return TransitTime(request_s + rtt_s / 2, rtt_s / 2)


def round_trip_s(sock):
    """Return the round-trip time of a connected socket in s, or 0.0 if unknown."""
    try:
        raw = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        # The socket is not a TCP socket, or it is closed.
        return 0.0
    if len(raw) < TCP_INFO_BYTES:
        return 0.0
    return struct.unpack_from("=I", raw, RTT_OFFSET)[0] / 1e6
