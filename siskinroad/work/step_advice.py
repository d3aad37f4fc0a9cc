"""Answers of the advisor about the hosts of one step, each with its end.

The advisor's answer about a host is that the step may use it, with a ticket, or that
it may not. The set of hosts that a step may use does not change, so a host with an
answer is not asked about again; only tickets are renewed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["StepAdvice", "Ticket"]


class Ticket(NamedTuple):
    """Permission of the advisor to start a step's tasks on one host.

    Attributes
    ----------
    value : str
        What a start command carries.
    valid_until : float
        Loop time in seconds until which hosts accept it.
    """

    value: str
    valid_until: float


@dataclass(slots=True, eq=False)
class StepAdvice:
    """What one step knows from the advisor.

    Attributes
    ----------
    answered : set of str
        Hosts about which the advisor has answered.
    tickets : dict of str to Ticket
        Newest ticket of each host that the step may use, valid or not.
    """

    answered: set[str] = field(default_factory=set)
    tickets: dict[str, Ticket] = field(default_factory=dict)

    def record_answer(
        self, hosts: Iterable[str], tickets: Mapping[str, str], valid_until: float
    ) -> None:
        """Record an answer about ``hosts``, with tickets for those allowed."""
        self.answered.update(hosts)
        for host, value in tickets.items():
            self.tickets[host] = Ticket(value, valid_until)
