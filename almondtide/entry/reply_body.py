"""The body of a reply while it is read, shortened if it is a part of a merged answer.

Answers the load pattern in which servers of many shards send long parts that are
complete and wait for the others. A merged answer holds few records, so that no more of
any part are needed.
"""

import heapq
import struct

from .merge import RECORD_BYTES

__all__ = ["ReplyBody"]

# Received records are reduced to the greatest ones each time they have this size in
# bytes, or that of the needed ones.
SHORTEN_AT_BYTES = 16384

_RECORD = struct.Struct(f"{RECORD_BYTES}s")


class ReplyBody:
    """Collects a body. With ``record_limit`` it keeps so many of the greatest records.

    >>> body = ReplyBody(record_limit=1)
    >>> for data in (b"a" * 16 + b"b" * 16, b"a" * 16384):
    ...     body.add(data)
    >>> bytes(body), body.received_bytes
    (b'bbbbbbbbbbbbbbbb', 16416)
    """

    __slots__ = ("_data", "_greatest", "_record_limit", "_shorten_at", "received_bytes")

    def __init__(self, record_limit=None):
        self._record_limit = record_limit
        needed_bytes = RECORD_BYTES * (record_limit or 0)
        self._shorten_at = max(SHORTEN_AT_BYTES, needed_bytes)
        # The greatest records of earlier bytes, in descending order, and the others.
        self._greatest = []
        self._data = bytearray()
        self.received_bytes = 0

    def add(self, data):
        """Add received bytes."""
        self.received_bytes += len(data)
        self._data += data
        if self._record_limit is not None and len(self._data) >= self._shorten_at:
            self._shorten()

    def _shorten(self):
        least = b""
        if 0 < self._record_limit == len(self._greatest):
            least = self._greatest[-1]
        # A record may be continued by the next bytes.
        end = len(self._data) - len(self._data) % RECORD_BYTES
        records = _RECORD.iter_unpack(bytes(self._data[:end]))
        greater = [record for (record,) in records if record > least]
        self._greatest = heapq.nlargest(self._record_limit, self._greatest + greater)
        del self._data[:end]

    def __bytes__(self):
        return b"".join(self._greatest) + bytes(self._data)
