"""SVG rendering of the usage report."""

from __future__ import annotations

from typing import Any
from xml.sax.saxutils import escape

__all__ = ["render_report_svg"]

# Lengths in pixels.
PICTURE_WIDTH = 640
LABEL_WIDTH = 140
BAR_HEIGHT = 14
BAR_GAP = 8
HEADER_HEIGHT = 40
DIMENSIONS = ("processors", "memory", "accelerators")
COLOURS = {"used": "#3b6ea5", "idle": "#c9c9c9"}


def render_report_svg(report: dict[str, Any]) -> str:
    """Return an SVG bar chart of the capacity that each owner uses and leaves idle.

    Parameters
    ----------
    report : dict
        The reply of ``/v1/report``.
    """
    lines = report["lines"]
    dimension_indices = [i for i in range(3) if report["capacity"][i]]
    height = HEADER_HEIGHT + sum(
        (len(lines) * (BAR_HEIGHT + BAR_GAP) + 30) for _ in dimension_indices
    )
    elements = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{PICTURE_WIDTH}" '
        f'height="{height}" font-family="sans-serif" font-size="11">',
        '<text x="8" y="18" font-size="14">Capacity by owner</text>',
        _render_legend_entry("used", 150),
        _render_legend_entry("idle", 230),
    ]
    y = HEADER_HEIGHT
    for dimension in dimension_indices:
        elements.append(f'<text x="8" y="{y + 12}">{DIMENSIONS[dimension]}</text>')
        y += 18
        for line in lines:
            elements += _render_bar(line, dimension, report["capacity"][dimension], y)
            y += BAR_HEIGHT + BAR_GAP
        y += 12
    return "\n".join([*elements, "</svg>"]) + "\n"


def _render_legend_entry(kind: str, x: int, y: int = 9) -> str:
    return (
        f'<rect x="{x}" y="{y}" width="10" height="10" fill="{COLOURS[kind]}"/>'
        f'<text x="{x + 14}" y="{y + 9}">{kind}</text>'
    )


def _render_bar(
    line: dict[str, Any], dimension: int, capacity: float, y: int
) -> list[str]:
    scale = (PICTURE_WIDTH - LABEL_WIDTH - 20) / capacity
    elements = [f'<text x="20" y="{y + 11}">{escape(line["owner"])}</text>']
    x = float(LABEL_WIDTH)
    for kind, colour in COLOURS.items():
        width = line[kind][dimension] * scale
        elements.append(
            f'<rect x="{x:.1f}" y="{y}" width="{width:.1f}" height="{BAR_HEIGHT}" '
            f'fill="{colour}"/>'
        )
        x += width
    return elements
