"""Differences between two revisions of a text: one replaced run of lines."""

from __future__ import annotations

import msgspec

from siskinroad.errors import ProtocolError

__all__ = ["Delta", "apply_delta", "make_delta"]


class Delta(msgspec.Struct, frozen=True):
    """Keep the first ``head`` and the last ``tail`` lines, replace the rest."""

    head: int
    tail: int
    middle: str


def make_delta(old: str, new: str) -> Delta:
    """Return what turns ``old`` into ``new``."""
    before = old.splitlines(keepends=True)
    after = new.splitlines(keepends=True)
    most = min(len(before), len(after))
    head = 0
    while head < most and before[head] == after[head]:
        head += 1
    tail = 0
    while tail < most - head and before[-1 - tail] == after[-1 - tail]:
        tail += 1
    return Delta(head, tail, "".join(after[head : len(after) - tail]))


def apply_delta(old: str, delta: Delta) -> str:
    """Return the new text.

    Raises
    ------
    ProtocolError
        If the delta does not belong to ``old``.
    """
    lines = old.splitlines(keepends=True)
    if delta.head < 0 or delta.tail < 0 or delta.head + delta.tail > len(lines):
        raise ProtocolError("delta of another text", step="deltas.apply")
    kept = lines[len(lines) - delta.tail :] if delta.tail else []
    return "".join(lines[: delta.head]) + delta.middle + "".join(kept)
