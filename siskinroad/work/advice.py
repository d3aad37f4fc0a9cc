"""The service that says which hosts a step may use."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ["Advised", "Advisor"]


@dataclass(slots=True, frozen=True)
class Advised:
    """The hosts that a step may use, each with its ticket.

    Attributes
    ----------
    tickets : dict of str to str
        Ticket by host.
    valid : float
        Seconds, from the answer on, for which the tickets can be used.
    """

    tickets: dict[str, str]
    valid: float


class Advisor(ABC):
    """Answers one call at a time for each calling entry host."""

    @abstractmethod
    async def advise(
        self, job: str, occurrence: int, step: int, hosts: list[str], timeout: float
    ) -> Advised:
        """Return those of ``hosts`` that the step may use.

        Raises
        ------
        NotSentError
            Too many calls wait already, or the service is not reached.
        OutcomeUnknownError
            No answer in time; asking again is safe.
        """
