"""Deltas between two revisions of a text, each one replaced range of lines."""

from __future__ import annotations

import msgspec

from siskinroad.errors import ProtocolError

__all__ = ["Delta", "apply_delta", "make_delta"]


class Delta(msgspec.Struct, frozen=True):
    """A text change that keeps the first ``head`` and the last ``tail`` lines.

    ``middle`` replaces the lines between them.
    """

    head: int
    tail: int
    middle: str


def make_delta(old: str, new: str) -> Delta:
    """Return the delta that turns ``old`` into ``new``."""
    old_lines = old.splitlines(keepends=True)
    new_lines = new.splitlines(keepends=True)
    common_max = min(len(old_lines), len(new_lines))
    head = 0
    while head < common_max and old_lines[head] == new_lines[head]:
        head += 1
    tail = 0
    while tail < common_max - head and old_lines[-1 - tail] == new_lines[-1 - tail]:
        tail += 1
    return Delta(head, tail, "".join(new_lines[head : len(new_lines) - tail]))


def apply_delta(old: str, delta: Delta) -> str:
    """Return ``old`` with the delta applied.

    Raises
    ------
    ProtocolError
        If the delta keeps more lines than ``old`` has.
    """
    lines = old.splitlines(keepends=True)
    if delta.head < 0 or delta.tail < 0 or delta.head + delta.tail > len(lines):
        raise ProtocolError(
            "delta keeps more lines than the text has", step="deltas.apply"
        )
    tail_lines = lines[len(lines) - delta.tail :] if delta.tail else []
    return "".join(lines[: delta.head]) + delta.middle + "".join(tail_lines)
