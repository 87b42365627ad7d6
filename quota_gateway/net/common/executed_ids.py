"""The ids of requests that an endpoint may have executed: none of them must be sent on again.

Only requests whose repetition may do harm are recorded. The table has a fixed size, and other processes of
the same limiter can map it into their memory.
"""

from __future__ import annotations

import binascii
import mmap
import zlib

ID_BYTES = 8  # an id is 16 hexadecimal digits
BUCKETS = 512
IDS_PER_BUCKET = 8
BUCKET_BYTES = IDS_PER_BUCKET * ID_BYTES
TABLE_BYTES = BUCKETS * BUCKET_BYTES

IdTable = bytearray | mmap.mmap


class ExecutedIds:
    """The recorded ids of this process, and those of the other processes of its limiter.

    An id is in the bucket that its checksum selects; a bucket forgets its oldest id for a new one.
    """

    __slots__ = ("_next_in_bucket", "_peer_tables", "_table")

    def __init__(self) -> None:
        """Begin with no ids; they are visible to this process only."""
        self._table: IdTable = bytearray(TABLE_BYTES)
        self._next_in_bucket = bytearray(BUCKETS)  # position of the next id in each bucket
        self._peer_tables = dict[str, IdTable]()  # by process

    def add(self, request_id: bytes) -> None:
        """Record an id."""
        packed = binascii.unhexlify(request_id)
        bucket = zlib.crc32(packed) % BUCKETS
        position = self._next_in_bucket[bucket]
        self._next_in_bucket[bucket] = (position + 1) % IDS_PER_BUCKET
        start = bucket * BUCKET_BYTES + position * ID_BYTES
        self._table[start : start + ID_BYTES] = packed

    def __contains__(self, request_id: bytes) -> bool:
        """Whether the id was recorded in this process, or in another one whose table is known."""
        packed = binascii.unhexlify(request_id)
        if _has_id(self._table, packed):
            return True
        return any(_has_id(table, packed) for table in self._peer_tables.values())

    def share_in(self, table: mmap.mmap) -> None:
        """Keep the ids in shared memory from now on."""
        table[:] = bytes(self._table)
        self._table = table

    @property
    def peers(self) -> frozenset[str]:
        """The processes whose tables are known."""
        return frozenset(self._peer_tables)

    def add_peer(self, process: str, table: mmap.mmap) -> None:
        """Look for ids in the table of another process too, also after that process has ended."""
        self._peer_tables[process] = table


def _has_id(table: IdTable, packed: bytes) -> bool:
    start = zlib.crc32(packed) % BUCKETS * BUCKET_BYTES
    end = start + BUCKET_BYTES
    position = table.find(packed, start, end)
    while position >= 0 and (position - start) % ID_BYTES:
        position = table.find(packed, position + 1, end)
    return position >= 0
