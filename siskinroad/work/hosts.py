"""Interface to the upstream hosts: commands, replies and host reports."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from siskinroad.work.model import TaskId

__all__ = [
    "CommandReply",
    "EndKind",
    "HostClient",
    "HostCommand",
    "HostReport",
    "Rejection",
    "RunEnd",
    "RunStatus",
    "StartCommand",
]


class EndKind(StrEnum):
    """How a run ended.

    ``LEASE_EXPIRED``: the host's lease expired. Only ``FAILED`` counts as a failure of
    the task.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Rejection(StrEnum):
    """Why a host rejected a command.

    ``FENCED``: it has seen a higher fencing token. ``STALE_RUN``: it has stopped or
    ended this run or a later one. ``LEASE_EXPIRED``: the lease in the command has
    expired.
    ``NO_CAPACITY``: it lacks free capacity. ``TICKET``: the ticket is missing or has
    expired. ``OTHER_INCARNATION``: another incarnation of the host replied at the
    address. ``UNAVAILABLE``: it accepts no work at present. ``INVALID``: it cannot
    decode the command.
    """

    FENCED = "fenced"
    STALE_RUN = "old"
    LEASE_EXPIRED = "late"
    NO_CAPACITY = "room"
    TICKET = "ticket"
    OTHER_INCARNATION = "other_life"
    UNAVAILABLE = "unwell"
    INVALID = "invalid"


@dataclass(slots=True, frozen=True)
class HostCommand:
    """A command about one run of a task.

    Attributes
    ----------
    token : int
        The owner's fencing token for the host.
    run : int
        Number of the run; rises with every start of the task.
    """

    host: str
    address: str
    token: int
    task: TaskId
    run: int


@dataclass(slots=True, frozen=True)
class StartCommand(HostCommand):
    """A command to start a run.

    Attributes
    ----------
    lease_until : int
        Time on the host's clock in milliseconds until which its runs may continue.
    checkpoint : str
        Checkpoint to resume from; empty for none.
    ticket : str
        The advisor's permission for this host; empty if the queue needs none.
    """

    payload: str
    lease_until: int
    checkpoint: str
    ticket: str


@dataclass(slots=True, frozen=True)
class CommandReply:
    """A complete reply to a command.

    Attributes
    ----------
    rejection : Rejection or None
        None if the command was carried out.
    clock : int or None
        The host's own clock in milliseconds, if the reply gives it.
    incarnation_ms : int or None
        Unix time in milliseconds at which the host's incarnation began, if given.
    """

    rejection: Rejection | None
    clock: int | None
    incarnation_ms: int | None


@dataclass(slots=True, frozen=True)
class RunStatus:
    """A run that a host reports as running.

    Attributes
    ----------
    progress : int
        Percent done; a long-running task is up and working at 100.
    usage : int
        For a serving task, its tail latency in milliseconds; for any other,
        thousandths of a processor in use.
    """

    task: TaskId
    run: int
    checkpoint: str
    progress: int
    usage: int


@dataclass(slots=True, frozen=True)
class RunEnd:
    """The end of a run, reported by its host until acknowledged.

    Attributes
    ----------
    number : int
        Rises with each end on the host; acknowledgements refer to it.
    """

    number: int
    task: TaskId
    run: int
    end_kind: EndKind
    checkpoint: str


@dataclass(slots=True, frozen=True)
class HostReport:
    """All runs of a host, and the ends of runs not yet acknowledged.

    Attributes
    ----------
    clock : int
        The host's own clock in milliseconds.
    incarnation_ms : int
        Unix time in milliseconds at which this incarnation of the host began.
    lists_all_ends : bool
        Whether no end was left out for want of room in the report.
    """

    clock: int
    incarnation_ms: int
    running: tuple[RunStatus, ...]
    ended: tuple[RunEnd, ...]
    lists_all_ends: bool = True


class HostClient(ABC):
    """Client that sends commands to hosts.

    Every method raises ``NotSentError`` if nothing was sent and
    ``OutcomeUnknownError`` if the command may have been or may yet be carried out.
    """

    @abstractmethod
    async def start(self, command: StartCommand) -> CommandReply:
        """Start a run; succeed too if the host already has this run."""

    @abstractmethod
    async def stop(self, command: HostCommand) -> CommandReply:
        """Stop a run; if it has not started yet, make the host reject its start."""

    @abstractmethod
    async def throttle(self, command: HostCommand, percent: int) -> CommandReply:
        """Throttle a task to ``percent`` of its full speed."""

    @abstractmethod
    async def renew_lease(
        self,
        host: str,
        address: str,
        token: int,
        acknowledged: int,
        lease_until: int | None,
        wait: float,
    ) -> HostReport | Rejection:
        """Renew a host's lease and return its report.

        Parameters
        ----------
        acknowledged : int
            Highest number of an end received; the host drops ends up to it.
        lease_until : int or None
            New expiry in milliseconds on the host's clock; None leaves the lease
            unchanged.
        wait : float
            Longest time in seconds for which the host may delay its reply until a
            run ends.

        Returns
        -------
        HostReport or Rejection
            The report, or why the host rejected the renewal.
        """
