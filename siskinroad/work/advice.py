"""Interface to the advisor, the service that decides which hosts a step may use."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ["AdviceResult", "Advisor"]


@dataclass(slots=True, frozen=True)
class AdviceResult:
    """The hosts that a step may use, with a ticket for each.

    Attributes
    ----------
    tickets : dict of str to str
        Ticket by name of the host.
    valid_s : float
        Seconds from the receipt of the reply for which the tickets can be used.
    """

    tickets: dict[str, str]
    valid_s: float


class Advisor(ABC):
    """Client of the advisor, which serves one call of each daemon at a time."""

    @abstractmethod
    async def advise(
        self, job: str, occurrence: int, step: int, hosts: list[str], timeout: float
    ) -> AdviceResult:
        """Return tickets for those of ``hosts`` that the step may use.

        Raises
        ------
        NotSentError
            If too many calls are waiting already, or the service is unreachable.
        OutcomeUnknownError
            If there is no reply within ``timeout`` seconds; the call can safely be
            repeated.
        """
