"""Answers of the advisor about the hosts of one step, each with its end.

The advisor's answer about a host is that the step may use it, with a ticket, or that
it may not. The set of hosts that a step may use does not change, so a host with an
answer is not asked about again; only tickets are renewed. A ticket that its host has
rejected ends the answer: the host is asked about again, after a pause if it rejects
one ticket after another. Every answer ends with the incarnation of its host: its
tickets are void, and the next incarnation may be of another kind.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["TICKET_MARGIN", "StepAdvice", "Ticket", "TicketRejection"]

# Seconds before its expiry from which a ticket is no longer used. With a smaller
# margin, it may expire while the start command travels between two regions or waits
# behind another command.
TICKET_MARGIN = 0.2
# Seconds before another request about a host that has rejected two tickets in a row.
# Every further rejection doubles the pause up to the longest one, so that a host whose
# clock is wrong does not occupy an advisor channel. With the call after it, the longest
# one stays below the 3 s after which callers take a job without a run for lost.
FIRST_REJECTION_PAUSE_S = 0.5
LONGEST_REJECTION_PAUSE_S = 2.0


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


@dataclass(slots=True, frozen=True)
class TicketRejection:
    """Newest rejection of a ticket by its host.

    Attributes
    ----------
    count : int
        Number of tickets that the host has rejected in a row.
    valid_left_s : float
        Seconds for which the ticket would have been valid; negative if it had expired.
    ask_again_at : float
        Loop time from which the host may be asked about again.
    """

    count: int
    valid_left_s: float
    ask_again_at: float


@dataclass(slots=True, eq=False)
class StepAdvice:
    """What one step knows from the advisor.

    Attributes
    ----------
    answered : set of str
        Hosts about which the advisor has answered, unless that answer has ended.
    tickets : dict of str to Ticket
        Newest ticket of each host that the step may use, valid or not.
    rejections : dict of str to TicketRejection
        Hosts that have rejected a ticket and accepted none since.
    newest_valid_until : float
        Loop time from which no ticket is valid; a ticket that is valid for longest may
        have been rejected since.
    examined_at : float
        Loop time at which free capacity was last predicted for the blocked step.
    others_checked_at : float
        Loop time at which the blocked step last looked for other hosts to ask about.
    reserving_since : float or None
        Loop time since which capacity is reserved until the next answer; None if none
        has been since the newest one.
    is_reservation_over : bool
        Whether no more capacity is reserved until the next answer.
    capacity_expected_since : float or None
        Loop time since which the blocked step has asked about no other host, because
        one with a ticket was expected to have capacity soon.
    """

    answered: set[str] = field(default_factory=set)
    tickets: dict[str, Ticket] = field(default_factory=dict)
    rejections: dict[str, TicketRejection] = field(default_factory=dict)
    newest_valid_until: float = -1e9
    examined_at: float = -1e9
    others_checked_at: float = -1e9
    reserving_since: float | None = None
    is_reservation_over: bool = False
    capacity_expected_since: float | None = None
    # Hosts forgotten since the request that is under way; None without any.
    _forgotten: set[str] | None = None

    def begin_request(self) -> None:
        """Note that a request is made now; what is forgotten later is not answered."""
        self._forgotten = set()

    def record_answer(
        self, hosts: Collection[str], tickets: Mapping[str, str], valid_until: float
    ) -> None:
        """Record an answer about ``hosts``, with tickets for those allowed.

        A host that was allowed before and is not now loses its ticket. As the allowed
        hosts do not change, it is asked about once more before that is believed. So is
        a host that has restarted since the request, unless it is allowed.
        """
        self.reserving_since = None
        self.is_reservation_over = False
        self.answered.update(hosts)
        self.newest_valid_until = max(self.newest_valid_until, valid_until)
        forgotten = self._forgotten or ()
        self._forgotten = None
        for host in hosts:
            value = tickets.get(host)
            if value is not None:
                self.tickets[host] = Ticket(value, valid_until)
            elif self.tickets.pop(host, None) is not None or host in forgotten:
                self.answered.discard(host)

    def record_rejection(
        self, host: str, value: str | None, now: float
    ) -> TicketRejection | None:
        """End the answer about a host that has rejected its ticket.

        Several starts may carry the same ticket: only the first rejection counts.

        Parameters
        ----------
        value : str or None
            The rejected ticket; None for the newest one.

        Returns
        -------
        TicketRejection or None
            None if the ticket is not the newest one.
        """
        ticket = self.tickets.get(host)
        if ticket is None or value not in (None, ticket.value):
            return None
        del self.tickets[host]
        self.answered.discard(host)
        former = self.rejections.get(host)
        count = former.count + 1 if former is not None else 1
        rejection = TicketRejection(
            count, ticket.valid_until - now, now + _compute_pause(count)
        )
        self.rejections[host] = rejection
        return rejection

    def record_acceptance(self, host: str) -> None:
        """Record that a host has accepted a ticket."""
        self.rejections.pop(host, None)

    def forget_host(self, name: str) -> None:
        """Forget what is known about the former incarnation of a host."""
        self.answered.discard(name)
        self.tickets.pop(name, None)
        self.rejections.pop(name, None)
        if self._forgotten is not None:
            self._forgotten.add(name)

    def find_unanswered(self, hosts: frozenset[str], now: float) -> set[str]:
        """Return which of ``hosts`` have no answer and may be asked about now."""
        unanswered = set(hosts - self.answered)
        for host, rejection in self.rejections.items():
            if now < rejection.ask_again_at:
                unanswered.discard(host)
        return unanswered


def _compute_pause(count: int) -> float:
    """Return the seconds before the next request after ``count`` rejected tickets."""
    if count == 1:
        return 0.0
    # The exponent is bounded, as a host may reject any number of tickets.
    factor = 2.0 ** min(count - 2, 10)
    return min(LONGEST_REJECTION_PAUSE_S, FIRST_REJECTION_PAUSE_S * factor)
