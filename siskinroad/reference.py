"""The reference of the cell and settings files, printed from their schemas."""

from __future__ import annotations

from siskinroad.cell import CELL_TABLE
from siskinroad.checks import Field, Table
from siskinroad.settings import SETTINGS_TABLE

__all__ = ["reference"]


def reference() -> str:
    """Return the reference of both files in Markdown."""
    parts = [
        "# Reference of the files",
        "",
        "This page is printed by `siskinroad reference`; a test holds it to the code.",
        "",
        "## The cell file",
        "",
        *_table(CELL_TABLE, ""),
        "## The daemon's settings",
        "",
        *_table(SETTINGS_TABLE, ""),
    ]
    return "\n".join(parts).rstrip() + "\n"


def _table(table: Table, place: str) -> list[str]:
    lines = [f"### `{place}`", ""] if place else []
    lines += [table.doc, "", "| key | allowed | default | |", "|---|---|---|---|"]
    for key, spec in table.fields.items():
        lines.append(f"| `{key}` | {spec.allowed()} | {_default(spec)} | {spec.doc} |")
    lines.append("")
    for key, spec in table.fields.items():
        if spec.table is not None:
            name = f"{place}.{key}" if place else key
            suffix = "[]" if spec.kind == "tables" else ""
            lines += _table(spec.table, name + suffix)
    return lines


def _default(spec: Field) -> str:
    if spec.required:
        return "required"
    return "`" + repr(spec.default).replace("'", '"') + "`"
