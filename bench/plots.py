"""Plots of measurements.

``python -m bench.plots`` plots the costs of daemon processes;
``python -m bench.decisions --plot FILE`` plots the waits of urgent requests.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

DOCS = Path(__file__).parent.parent / "docs"


def plot_waits(path: str, waits_by_policy: dict[str, list[float]]) -> None:
    """Plot the distribution of the waits (seconds) of urgent requests, by policy."""
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for policy, unsorted_waits in waits_by_policy.items():
        waits = sorted(max(wait, 1e-3) for wait in unsorted_waits)
        fractions = [1 - i / len(waits) for i in range(len(waits))]
        axes.plot(waits, fractions, label=policy)
    axes.axvline(1.8, color="grey", linestyle=":", label="1.8 s")
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("waiting time, s")
    axes.set_ylabel("fraction of urgent requests that wait longer")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def plot_processes(path: str) -> None:
    """Plot the costs of an idle daemon process against the number of daemons."""
    rows = json.loads((DOCS / "processes.json").read_text())
    figure, axes = pyplot.subplots(1, 3, figsize=(10, 3.2))
    daemon_counts = [row["daemons"] for row in rows]
    panels = (
        ("core median", "core at rest", 0.011),
        ("MB median", "resident MB", 32.0),
        ("change in force s", "change in force, s", 10.0),
    )
    for axis, (key, title, bound) in zip(axes, panels, strict=True):
        axis.plot(daemon_counts, [row[key] for row in rows], marker="o")
        axis.axhline(bound, color="grey", linestyle=":")
        axis.set_title(title)
        axis.set_xlabel("daemons")
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main() -> int:
    plot_processes(str(DOCS / "processes.png"))
    return 0


if __name__ == "__main__":
    sys.exit(main())
