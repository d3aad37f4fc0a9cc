"""State charts: life cycles in files that the code interprets.

A chart file names an initial state and, for each state, the next state of each
event. A state with no events is final. An event that a state does not list is
an error, unless the chart ignores it there by name.
"""

from __future__ import annotations

import pkgutil
import tomllib
from dataclasses import dataclass
from functools import cache

from siskinroad.errors import ProtocolError

__all__ = ["CHART_NAMES", "Chart", "load_chart"]

CHART_NAMES = ("attempt", "claim", "daemon", "request", "run", "task", "upstream")


@dataclass(slots=True, frozen=True)
class Chart:
    """A state chart.

    Attributes
    ----------
    name : str
        Name of the life cycle.
    initial : str
        The first state.
    moves : dict
        ``moves[state][event]`` is the next state.
    """

    name: str
    initial: str
    moves: dict[str, dict[str, str]]

    def next(self, state: str, event: str) -> str:
        """Return the state after ``event``.

        Raises
        ------
        ProtocolError
            If the event is not allowed in this state.
        """
        try:
            return self.moves[state][event]
        except KeyError:
            raise ProtocolError(
                f"{event} is not allowed while {state}", step=f"chart.{self.name}"
            ) from None

    def allows(self, state: str, event: str) -> bool:
        """Return whether ``event`` is allowed in this state."""
        return event in self.moves[state]

    def is_final(self, state: str) -> bool:
        """Return whether nothing leads out of this state."""
        return all(after == state for after in self.moves[state].values())

    def reachable(self) -> set[str]:
        """Return every state that can be reached from the initial one."""
        seen = {self.initial}
        frontier = [self.initial]
        while frontier:
            for after in self.moves[frontier.pop()].values():
                if after not in seen:
                    seen.add(after)
                    frontier.append(after)
        return seen

    def events(self) -> set[str]:
        """Return every event that some state handles."""
        return {event for moves in self.moves.values() for event in moves}


@cache
def load_chart(name: str) -> Chart:
    """Read a chart from the package.

    Raises
    ------
    ProtocolError
        If a move leads to a state that the chart does not have.
    """
    raw = pkgutil.get_data("siskinroad", f"charts/{name}.toml")
    assert raw is not None
    data = tomllib.loads(raw.decode())
    chart = Chart(name, data["initial"], data["states"])
    for state, moves in chart.moves.items():
        for event, after in moves.items():
            if after not in chart.moves:
                text = f"{state} leads to unknown {after} on {event}"
                raise ProtocolError(text, step=f"chart.{name}")
    return chart
