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


def make_delta(base: str, target: str) -> Delta:
    """Return the delta that turns ``base`` into ``target``."""
    base_lines = base.splitlines(keepends=True)
    target_lines = target.splitlines(keepends=True)
    common_max = min(len(base_lines), len(target_lines))
    head = 0
    while head < common_max and base_lines[head] == target_lines[head]:
        head += 1
    tail = 0
    while tail < common_max - head and base_lines[-1 - tail] == target_lines[-1 - tail]:
        tail += 1
    return Delta(head, tail, "".join(target_lines[head : len(target_lines) - tail]))


def apply_delta(base: str, delta: Delta) -> str:
    """Return ``base`` with the delta applied.

    Raises
    ------
    ProtocolError
        If the delta keeps more lines than ``base`` has.
    """
    lines = base.splitlines(keepends=True)
    if delta.head < 0 or delta.tail < 0 or delta.head + delta.tail > len(lines):
        raise ProtocolError(
            "delta keeps more lines than the text has", step="deltas.apply"
        )
    tail_lines = lines[len(lines) - delta.tail :] if delta.tail else []
    return "".join(lines[: delta.head]) + delta.middle + "".join(tail_lines)
