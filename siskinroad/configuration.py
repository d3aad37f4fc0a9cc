"""The revision of the cell file that is in force; it never goes back."""

from __future__ import annotations

from collections import deque

import msgspec

from siskinroad.cell import Cell, digest, moved_hosts, parse_cell
from siskinroad.deltas import apply_delta, make_delta
from siskinroad.errors import ConfigError, Problem, ProtocolError
from siskinroad.records import CellRevision, Record, SnapshotPart
from siskinroad.snapshots import Assembler

__all__ = ["Configuration", "RevisionText", "decode_revision"]

RECENT_KEYS = 64


class RevisionText(msgspec.Struct, frozen=True):
    """A whole revision, as snapshots and peers carry it.

    ``next`` is the offset after its record in the cell's stream.
    """

    revision: int
    text: str
    key: str
    next: int


class Configuration:
    """State of the cell's stream.

    The first valid successor of the revision in force, at the lowest offset,
    wins. All daemons that apply the same records reach the same revision.

    Attributes
    ----------
    revision : int
        0 while there is none.
    cell : Cell or None
        The checked file.
    key : str
        The operator's request that brought the revision.
    next_offset : int
        The next record of the stream to apply.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.cell: Cell | None = None
        self.key = ""
        self.next_offset = 1
        self.rejected = 0
        self._assembler = Assembler()
        self._recent: deque[str] = deque(maxlen=RECENT_KEYS)

    @property
    def text(self) -> str:
        """The file in force."""
        return self.cell.text if self.cell is not None else ""

    def was_applied(self, key: str) -> bool:
        """Return whether an operator's request has brought a recent revision."""
        return key in self._recent

    def successor(self, text: str, key: str) -> CellRevision:
        """Return the record that would put ``text`` in force next."""
        delta = make_delta(self.text, text)
        return CellRevision(self.revision + 1, self.revision, delta, digest(text), key)

    def apply(self, offset: int, records: list[Record]) -> bool:
        """Apply one append's records; return whether the revision changed."""
        changed = False
        for record in records:
            match record:
                case CellRevision():
                    changed |= self._apply_revision(record)
                case SnapshotPart():
                    changed |= self._apply_part(record)
        self.next_offset = offset + 1
        return changed

    def _apply_revision(self, record: CellRevision) -> bool:
        follows = record.replaces == self.revision
        if not follows or record.revision != self.revision + 1:
            self.rejected += 1
            return False
        try:
            text = apply_delta(self.text, record.delta)
            if digest(text) != record.digest:
                raise ProtocolError("digest differs", step="configuration.apply")
            cell = parse_cell(text, f"revision {record.revision}")
            self.check_moves(cell)
        except (ConfigError, ProtocolError):
            self.rejected += 1
            return False
        self.revision, self.cell, self.key = record.revision, cell, record.key
        self._recent.append(record.key)
        return True

    def check_moves(self, cell: Cell) -> None:
        """Check that no host of the file in force would change its shard.

        Raises
        ------
        ConfigError
            Naming each host that would.
        """
        moved = moved_hosts(self.cell, cell) if self.cell is not None else []
        if moved:
            allowed = "its old rack, data centre and upstream, or another name"
            raise ConfigError("cell", [Problem("hosts", x, allowed) for x in moved])

    def _apply_part(self, part: SnapshotPart) -> bool:
        data = self._assembler.add(part)
        if data is None:
            return False
        return self.adopt(decode_revision(data))

    def adopt(self, whole: RevisionText) -> bool:
        """Take a whole revision if it is newer than the one in force."""
        if whole.revision <= self.revision:
            return False
        cell = parse_cell(whole.text, f"revision {whole.revision}")
        self.revision, self.cell, self.key = whole.revision, cell, whole.key
        self._recent.append(whole.key)
        self.next_offset = max(self.next_offset, whole.next)
        return True

    def whole(self) -> RevisionText:
        """Return the revision in force for a snapshot or a peer."""
        return RevisionText(self.revision, self.text, self.key, self.next_offset)

    def encode(self) -> bytes:
        """Return the state as a snapshot's data."""
        return msgspec.msgpack.encode(self.whole())


def decode_revision(data: bytes) -> RevisionText:
    """Return the revision that a snapshot carries.

    Raises
    ------
    ProtocolError
        If it is not one.
    """
    try:
        return msgspec.msgpack.decode(data, type=RevisionText)
    except msgspec.MsgspecError as exc:
        text = f"snapshot of another kind: {exc}"
        raise ProtocolError(text, step="configuration.snapshot") from exc
