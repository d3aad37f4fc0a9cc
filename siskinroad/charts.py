"""State charts: life cycles defined in TOML files.

A chart file has an initial state and, for each state, the next state after each
event. A state without events is final. An event that a state does not list is an
error; to ignore an event, a state lists it with itself as the next state.
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
    """State chart.

    Attributes
    ----------
    name : str
        Name of the chart.
    initial : str
        The initial state.
    transitions : dict
        ``transitions[state][event]`` is the next state.
    """

    name: str
    initial: str
    transitions: dict[str, dict[str, str]]

    def next_state(self, state: str, event: str) -> str:
        """Return the state after ``event``.

        Raises
        ------
        ProtocolError
            If the event is not allowed in this state.
        """
        try:
            return self.transitions[state][event]
        except KeyError:
            raise ProtocolError(
                f"event {event} is not allowed in state {state}",
                step=f"chart.{self.name}",
            ) from None

    def allows(self, state: str, event: str) -> bool:
        """Return whether ``event`` is allowed in this state."""
        return event in self.transitions[state]

    def is_final(self, state: str) -> bool:
        """Return whether no event leads to another state."""
        return all(target == state for target in self.transitions[state].values())

    def reachable(self) -> set[str]:
        """Return every state that can be reached from the initial state."""
        seen = {self.initial}
        frontier = [self.initial]
        while frontier:
            for target in self.transitions[frontier.pop()].values():
                if target not in seen:
                    seen.add(target)
                    frontier.append(target)
        return seen

    def events(self) -> set[str]:
        """Return every event that at least one state lists."""
        return {
            event for transitions in self.transitions.values() for event in transitions
        }


@cache
def load_chart(name: str) -> Chart:
    """Read a chart from the package data.

    Raises
    ------
    ProtocolError
        If a transition leads to a state that the chart does not define.
    """
    raw = pkgutil.get_data("siskinroad", f"charts/{name}.toml")
    assert raw is not None
    data = tomllib.loads(raw.decode())
    chart = Chart(name, data["initial"], data["states"])
    for state, transitions in chart.transitions.items():
        for event, target in transitions.items():
            if target not in chart.transitions:
                text = (
                    f"state {state} leads to undefined state {target} on event {event}"
                )
                raise ProtocolError(text, step=f"chart.{name}")
    return chart
