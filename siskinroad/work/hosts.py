"""The upstream hosts as an owner speaks to them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from siskinroad.work.model import TaskId

__all__ = [
    "EndKind",
    "Ended",
    "HostAnswer",
    "HostLink",
    "HostReport",
    "Order",
    "Rejection",
    "Running",
    "StartOrder",
]


class EndKind(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Rejection(StrEnum):
    """Why a host did nothing.

    ``FENCED``: it has seen a higher token. ``OLD``: it has stopped or ended this
    run or a later one. ``LATE``: the lease that the order carried has passed.
    ``ROOM``: it has no room. ``TICKET``: the ticket is missing or has expired.
    ``OTHER_LIFE``: another incarnation answers at the address. ``UNWELL``: it
    takes nothing now. ``INVALID``: it cannot read the order.
    """

    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    OTHER_LIFE = "other_life"
    UNWELL = "unwell"
    INVALID = "invalid"


@dataclass(slots=True, frozen=True)
class Order:
    """An order about one run of a task, under the owner's token for the host."""

    host: str
    address: str
    token: int
    task: TaskId
    run: int


@dataclass(slots=True, frozen=True)
class StartOrder(Order):
    """Start a run.

    Attributes
    ----------
    lease_until : int
        Milliseconds on the host's clock until which all that runs there may run.
    """

    payload: str
    lease_until: int
    checkpoint: str
    ticket: str


@dataclass(slots=True, frozen=True)
class HostAnswer:
    """A whole answer to an order; ``rejection`` is None if it was carried out."""

    rejection: Rejection | None
    clock: int | None
    born: int | None


@dataclass(slots=True, frozen=True)
class Running:
    """A run that a host lists.

    Attributes
    ----------
    progress : int
        Percent; a long-running task is at work at 100.
    usage : int
        Tail in milliseconds of a serving task, thousandths of a processor of
        any other.
    """

    task: TaskId
    run: int
    checkpoint: str
    progress: int
    usage: int


@dataclass(slots=True, frozen=True)
class Ended:
    """An end that a host lists until it is acknowledged; ``number`` rises."""

    number: int
    task: TaskId
    run: int
    how: EndKind
    checkpoint: str


@dataclass(slots=True, frozen=True)
class HostReport:
    """All that a host runs, and the ends that nobody has acknowledged.

    Attributes
    ----------
    clock : int
        The host's own clock in milliseconds.
    born : int
        Unix milliseconds at which this life of the host began.
    """

    clock: int
    born: int
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]


class HostLink(ABC):
    """Sends orders to hosts.

    Every method raises ``NotSentError`` if nothing was sent and
    ``OutcomeUnknownError`` if the order may yet be carried out.
    """

    @abstractmethod
    async def start(self, order: StartOrder) -> HostAnswer:
        """Start a run; also accepted if the run is there already."""

    @abstractmethod
    async def stop(self, order: Order) -> HostAnswer:
        """Stop a run, or reject it should it come later."""

    @abstractmethod
    async def pace(self, order: Order, percent: int) -> HostAnswer:
        """Let a task work at ``percent`` of its speed."""

    @abstractmethod
    async def hold(
        self,
        host: str,
        address: str,
        token: int,
        acknowledged: int,
        lease_until: int | None,
        wait: float,
    ) -> HostReport | Rejection:
        """Extend the lease of all that runs on a host, and list it.

        Parameters
        ----------
        acknowledged : int
            Ends up to this number are forgotten by the host.
        lease_until : int, optional
            Milliseconds on the host's clock; None leaves the lease as it is.
        wait : float
            Seconds for which the host may wait for an end.
        """
