"""Interface to the advisor, the service that decides which hosts a step may use."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ["Advised", "Advisor"]


@dataclass(slots=True, frozen=True)
class Advised:
    """The hosts that a step may use, with a ticket for each.

    Attributes
    ----------
    tickets : dict of str to str
        Ticket by name of the host.
    valid : float
        Seconds from the receipt of the reply for which the tickets can be used.
    """

    tickets: dict[str, str]
    valid: float


class Advisor(ABC):
    """Client of the advisor, which serves one call at a time per calling daemon."""

    @abstractmethod
    async def advise(
        self, job: str, occurrence: int, step: int, hosts: list[str], timeout: float
    ) -> Advised:
        """Return tickets for those of ``hosts`` that the step may use.

        Raises
        ------
        NotSentError
            If too many calls are waiting already, or the service is unreachable.
        OutcomeUnknownError
            If there is no reply within ``timeout`` seconds; the call can safely be
            repeated.
        """
