"""The revision of the cell file in force; revision numbers only increase."""

from __future__ import annotations

from collections import deque

import msgspec

from siskinroad.cell import Cell, digest, moved_hosts, parse_cell
from siskinroad.codec import DECODE_ERRORS
from siskinroad.deltas import apply_delta, make_delta
from siskinroad.errors import ConfigError, Problem, ProtocolError
from siskinroad.records import CellRevision, Record, SnapshotPart
from siskinroad.snapshots import SnapshotAssembler

__all__ = ["Configuration", "RevisionText", "decode_revision"]

# Keys of operators' requests kept to recognise a repeated request. With a smaller
# value, the repeat of an earlier request is more often processed as a new one.
MAX_RECENT_KEYS = 64


class RevisionText(msgspec.Struct, frozen=True):
    """A complete revision, as transferred in snapshots and between peers.

    ``next`` is the offset that follows the revision's record in the cell's stream.
    """

    revision: int
    text: str
    key: str
    next: int


class Configuration:
    """State built from the records of the cell's stream.

    Of several successors of the revision in force, the valid one at the lowest
    offset wins. All daemons that apply the same records reach the same revision.

    Attributes
    ----------
    revision : int
        Number of the revision in force, 0 before the first.
    cell : Cell or None
        The validated cell file in force.
    key : str
        Key of the operator's request that made the revision.
    next_offset : int
        Offset of the stream's next append to apply.
    rejected : int
        Number of revisions that were not valid successors.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.cell: Cell | None = None
        self.key = ""
        self.next_offset = 1
        self.rejected = 0
        self._assembler = SnapshotAssembler()
        self._recent_keys: deque[str] = deque(maxlen=MAX_RECENT_KEYS)

    @property
    def text(self) -> str:
        """Text of the cell file in force, empty before the first."""
        return self.cell.text if self.cell is not None else ""

    def was_applied(self, key: str) -> bool:
        """Return whether an operator's request has made a recent revision."""
        return key in self._recent_keys

    def make_revision(self, text: str, key: str) -> CellRevision:
        """Return the record that would make ``text`` the next revision."""
        delta = make_delta(self.text, text)
        return CellRevision(self.revision + 1, self.revision, delta, digest(text), key)

    def apply(self, offset: int, records: list[Record]) -> bool:
        """Apply one append's records; return whether the revision changed."""
        has_changed = False
        for record in records:
            match record:
                case CellRevision():
                    has_changed |= self._apply_revision(record)
                case SnapshotPart():
                    has_changed |= self._apply_snapshot_part(record)
        self.next_offset = offset + 1
        return has_changed

    def _apply_revision(self, record: CellRevision) -> bool:
        is_next = record.replaces == self.revision
        if not is_next or record.revision != self.revision + 1:
            self.rejected += 1
            return False
        try:
            text = apply_delta(self.text, record.delta)
            if digest(text) != record.digest:
                raise ProtocolError(
                    "revision does not match its digest", step="configuration.apply"
                )
            cell = parse_cell(text, f"revision {record.revision}")
            self.check_no_host_moves(cell)
        except (ConfigError, ProtocolError):
            self.rejected += 1
            return False
        self.revision, self.cell, self.key = record.revision, cell, record.key
        self._recent_keys.append(record.key)
        return True

    def check_no_host_moves(self, cell: Cell) -> None:
        """Check that no host of the revision in force would change its shard.

        Raises
        ------
        ConfigError
            If a host would change its shard; names each such host.
        """
        moved_names = moved_hosts(self.cell, cell) if self.cell is not None else []
        if moved_names:
            allowed = "its present rack, data centre and upstream, or another name"
            raise ConfigError(
                "cell", [Problem("hosts", x, allowed) for x in moved_names]
            )

    def _apply_snapshot_part(self, part: SnapshotPart) -> bool:
        data = self._assembler.add(part)
        if data is None:
            return False
        return self.apply_if_newer(decode_revision(data))

    def apply_if_newer(self, complete: RevisionText) -> bool:
        """Apply a complete revision if it is newer; return whether it is."""
        if complete.revision <= self.revision:
            return False
        cell = parse_cell(complete.text, f"revision {complete.revision}")
        self.revision, self.cell, self.key = complete.revision, cell, complete.key
        self._recent_keys.append(complete.key)
        self.next_offset = max(self.next_offset, complete.next)
        return True

    def complete_revision(self) -> RevisionText:
        """Return the complete revision in force, for a snapshot or a peer."""
        return RevisionText(self.revision, self.text, self.key, self.next_offset)

    def encode(self) -> bytes:
        """Return the state encoded as a snapshot."""
        return msgspec.msgpack.encode(self.complete_revision())


def decode_revision(data: bytes) -> RevisionText:
    """Decode the revision in a snapshot.

    Raises
    ------
    ProtocolError
        If the data does not hold a revision.
    """
    try:
        return msgspec.msgpack.decode(data, type=RevisionText)
    except DECODE_ERRORS as exc:
        text = f"cannot decode configuration snapshot: {exc}"
        raise ProtocolError(text, step="configuration.snapshot") from exc
