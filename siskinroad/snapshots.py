"""Snapshots of a stream's state, split into records of the same stream.

They are appended again well within the log's retention time, so that a reader
can always start from one.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

from siskinroad.errors import ProtocolError
from siskinroad.records import SnapshotPart

__all__ = ["PART_BYTES", "SnapshotAssembler", "checksum", "split_snapshot"]

# Most bytes of snapshot data in one record.
PART_BYTES = 192 * 1024


def checksum(data: bytes) -> str:
    """Return the checksum of a complete snapshot."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def split_snapshot(name: str, as_of: int, data: bytes) -> Iterator[SnapshotPart]:
    """Split a snapshot into records.

    Parameters
    ----------
    name : str
        Unique name of this snapshot.
    as_of : int
        The snapshot includes the effect of every record before this offset.
    data : bytes
        The encoded snapshot.
    """
    parts = max(1, -(-len(data) // PART_BYTES))
    digest = checksum(data)
    for part in range(parts):
        chunk = data[part * PART_BYTES : (part + 1) * PART_BYTES]
        yield SnapshotPart(name, as_of, part, parts, digest, chunk)


class SnapshotAssembler:
    """Reassembler of snapshots; a new snapshot discards an incomplete one."""

    def __init__(self) -> None:
        self._name = ""
        self._parts: list[bytes] = []

    def add(self, part: SnapshotPart) -> bytes | None:
        """Add one part; return the snapshot once it is complete, else None.

        Raises
        ------
        ProtocolError
            If the complete snapshot does not match its checksum.
        """
        if part.name != self._name:
            if part.part != 0:
                return None
            self._name, self._parts = part.name, []
        if part.part != len(self._parts):
            return None
        self._parts.append(part.data)
        if len(self._parts) < part.parts:
            return None
        data = b"".join(self._parts)
        self._name, self._parts = "", []
        if checksum(data) != part.checksum:
            raise ProtocolError(
                "snapshot does not match its checksum", step="snapshots.add"
            )
        return data
