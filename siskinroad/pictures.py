"""The report as an SVG picture."""

from __future__ import annotations

from typing import Any
from xml.sax.saxutils import escape

__all__ = ["report_picture"]

WIDTH = 640
LABEL = 140
BAR = 14
GAP = 8
TOP = 40
DIMENSIONS = ("processors", "memory", "accelerators")
COLOURS = {"used": "#3b6ea5", "idle": "#c9c9c9"}


def report_picture(report: dict[str, Any]) -> str:
    """Return a picture of each owner's used and idle part of the capacity.

    Parameters
    ----------
    report : dict
        As the operators' listener gives it.
    """
    lines = report["lines"]
    dims = [i for i in range(3) if report["capacity"][i]]
    height = TOP + sum((len(lines) * (BAR + GAP) + 30) for _ in dims)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{height}" font-family="sans-serif" font-size="11">',
        '<text x="8" y="18" font-size="14">Capacity by owner</text>',
        _square("used", 150),
        _square("idle", 230),
    ]
    y = TOP
    for dim in dims:
        parts.append(f'<text x="8" y="{y + 12}">{DIMENSIONS[dim]}</text>')
        y += 18
        for line in lines:
            parts += _bar(line, dim, report["capacity"][dim], y)
            y += BAR + GAP
        y += 12
    return "\n".join([*parts, "</svg>"]) + "\n"


def _square(kind: str, x: int, y: int = 9) -> str:
    return (
        f'<rect x="{x}" y="{y}" width="10" height="10" fill="{COLOURS[kind]}"/>'
        f'<text x="{x + 14}" y="{y + 9}">{kind}</text>'
    )


def _bar(line: dict[str, Any], dim: int, capacity: float, y: int) -> list[str]:
    scale = (WIDTH - LABEL - 20) / capacity
    parts = [f'<text x="20" y="{y + 11}">{escape(line["owner"])}</text>']
    x = float(LABEL)
    for kind, colour in COLOURS.items():
        width = line[kind][dim] * scale
        parts.append(
            f'<rect x="{x:.1f}" y="{y}" width="{width:.1f}" height="{BAR}" '
            f'fill="{colour}"/>'
        )
        x += width
    return parts
