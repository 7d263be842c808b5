"""Merges the replies of shards into the body of one answer."""

import heapq

__all__ = ["RECORD_BYTES", "merge_records"]

RECORD_BYTES = 16


def merge_records(bodies, count):
    """Return the ``count`` greatest records of all bodies, in descending order.

    Records have ``RECORD_BYTES`` bytes and are compared byte by byte. Equal records
    are all kept. An incomplete record at the end of a body is ignored.

    >>> merge_records([b"a" * 16 + b"c" * 16, b"b" * 16 + b"x"], 2)
    b'ccccccccccccccccbbbbbbbbbbbbbbbb'
    """
    records = []
    for body in bodies:
        end = len(body) - len(body) % RECORD_BYTES
        records.extend(
            body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)
        )
    return b"".join(heapq.nlargest(count, records))
