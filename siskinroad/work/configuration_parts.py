"""Parts of a configuration's record, as daemons send them to each other."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from siskinroad.errors import ProtocolError
from siskinroad.work.messages import ConfigurationReply, ConfigurationRequest
from siskinroad.work.store import Record

__all__ = ["FIRST_PART_BYTES", "PART_BYTES", "PartSource", "Transfer"]

# Bytes of the first part of a transfer, whose size is not known yet, and of the others.
FIRST_PART_BYTES = 4096
PART_BYTES = 131_072
# Versions of which parts are kept: the one in force, and the one before, which others
# may have in part.
KEPT_VERSIONS = 2
# Compressed parts that are kept of each version.
KEPT_PARTS = 64


@dataclass(slots=True)
class Transfer:
    """A version of which parts have arrived; parts of all peers that have it fit.

    Attributes
    ----------
    size : int
        Bytes of the whole record.
    value : bytearray
        The bytes that are here; always the first ones.
    peer : str
        Peer that sent the last part.
    began_at : float
        Loop time of the first part.
    parts, lost_parts : int
        Parts that have arrived, and requests that were not answered in time.
    lacking : set of str
        Peers that no longer have the version.
    next_offset : int
        Largest ``next_offset`` of the replies.
    """

    version: int
    key: str
    size: int
    peer: str
    began_at: float
    value: bytearray = field(default_factory=bytearray)
    parts: int = 0
    lost_parts: int = 0
    lacking: set[str] = field(default_factory=set)
    next_offset: int = -1

    @property
    def is_whole(self) -> bool:
        """Whether all bytes are here."""
        return len(self.value) == self.size

    @property
    def is_mostly_here(self) -> bool:
        """Whether more than half of the bytes are here."""
        return 2 * len(self.value) > self.size

    def is_refused(self, reply: ConfigurationReply) -> bool:
        """Return whether a peer no longer has this version, or has another record."""
        is_other = reply.version == self.version and reply.size != self.size
        return is_other or not reply.value

    def add(self, peer: str, reply: ConfigurationReply) -> bool:
        """Add a part; return whether it is the next one.

        Raises
        ------
        ProtocolError
            If it cannot be decompressed, or is not within the record.
        """
        if (reply.version, reply.size) != (self.version, self.size):
            return False
        if reply.start != len(self.value) or not reply.value:
            return False
        part = _decompress(reply)
        if not 0 < len(part) <= self.size - len(self.value):
            raise ProtocolError("part is not within the record", step="configuration")
        self.value += part
        self.parts += 1
        self.peer = peer
        self.next_offset = max(self.next_offset, reply.next_offset)
        return True


def _decompress(reply: ConfigurationReply) -> bytes:
    if not reply.is_compressed:
        return reply.value
    decompressor = zlib.decompressobj()
    try:
        part = decompressor.decompress(reply.value, PART_BYTES)
    except zlib.error as exc:
        raise ProtocolError(str(exc), step="configuration") from exc
    if not decompressor.eof:
        raise ProtocolError("part is cut off or too long", step="configuration")
    return part


@dataclass(slots=True)
class _KeptVersion:
    record: Record
    parts: dict[tuple[int, int], tuple[bytes, bool]] = field(default_factory=dict)

    def find_part(self, start: int, length: int) -> tuple[bytes, bool]:
        """Return a part of the record, and whether it is compressed."""
        part = self.parts.get((start, length))
        if part is None:
            part = _compress(self.record.value[start : start + length])
            if len(self.parts) < KEPT_PARTS:
                self.parts[start, length] = part
        return part


def _compress(value: bytes) -> tuple[bytes, bool]:
    compressed = zlib.compress(value)
    if len(compressed) < len(value):
        return compressed, True
    return value, False


class PartSource:
    """Source of the parts that peers ask for; a part is compressed once for all."""

    def __init__(self) -> None:
        self._kept: dict[int, _KeptVersion] = {}

    def answer(
        self,
        msg: ConfigurationRequest,
        version: int,
        record: Record,
        next_offset: int,
    ) -> ConfigurationReply:
        """Return the part that a peer asks for.

        Parameters
        ----------
        version, record : int, Record
            The version in force. A peer that asks for one that is gone, or that is not
            here yet, is told of this one.
        next_offset : int
            Offset before which no record holds a version later than the one in force.
        """
        if version not in self._kept:
            self._kept[version] = _KeptVersion(record)
            for former in sorted(self._kept)[:-KEPT_VERSIONS]:
                del self._kept[former]
        is_first = msg.start <= 0
        if not is_first and msg.version not in self._kept:
            return ConfigurationReply(msg.id, record.key, b"", version)
        sent_version = version if is_first else msg.version
        kept = self._kept[sent_version]
        start = max(0, msg.start)
        value, is_compressed = kept.find_part(start, min(msg.length, PART_BYTES))
        return ConfigurationReply(
            msg.id,
            kept.record.key,
            value,
            sent_version,
            len(kept.record.value),
            start,
            is_compressed,
            next_offset if sent_version == version else -1,
        )
