"""Plain-text tables."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

__all__ = ["format_table"]


def format_table(columns: Sequence[str], rows: Sequence[Mapping[str, Any]]) -> str:
    """Format rows as left-aligned text columns under a header line."""
    cells = [[str(row.get(column, "")) for column in columns] for row in rows]
    widths = [
        max([len(column), *(len(line[i]) for line in cells)])
        for i, column in enumerate(columns)
    ]
    lines = [list(columns), *cells]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
