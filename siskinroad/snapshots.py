"""Snapshots of a stream's state, re-appended well inside the retention time."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

from siskinroad.errors import ProtocolError
from siskinroad.records import SnapshotPart

__all__ = ["PART_BYTES", "Assembler", "checksum", "split"]

PART_BYTES = 192 * 1024


def checksum(data: bytes) -> str:
    """Return the checksum of a whole snapshot."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def split(name: str, as_of: int, data: bytes) -> Iterator[SnapshotPart]:
    """Yield the records that carry a snapshot.

    Parameters
    ----------
    name : str
        Unique name of this snapshot.
    as_of : int
        The snapshot holds the effect of every record before this offset.
    """
    parts = max(1, -(-len(data) // PART_BYTES))
    total = checksum(data)
    for part in range(parts):
        piece = data[part * PART_BYTES : (part + 1) * PART_BYTES]
        yield SnapshotPart(name, as_of, part, parts, total, piece)


class Assembler:
    """Puts the parts of snapshots together; forgets unfinished ones."""

    def __init__(self) -> None:
        self._name = ""
        self._parts: list[bytes] = []

    def add(self, part: SnapshotPart) -> bytes | None:
        """Take one part; return the whole snapshot once it is complete.

        Raises
        ------
        ProtocolError
            If the whole does not match its checksum.
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
            raise ProtocolError("snapshot is damaged", step="snapshots.add")
        return data
