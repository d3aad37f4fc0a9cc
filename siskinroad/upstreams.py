"""Interface to upstream hosts: requests, tasks under leases and measured usage."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum

import msgspec

from siskinroad.cell import Host

__all__ = [
    "Control",
    "Inventory",
    "TaskReport",
    "TaskStart",
    "TaskState",
    "UpstreamClient",
    "UpstreamResponse",
    "Usage",
]


class TaskState(StrEnum):
    """State of a task on its host."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"


class Control(StrEnum):
    """Control action that an owner applies to a running task."""

    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    RESUME = "resume"


class Usage(msgspec.Struct, frozen=True):
    """Measured resource usage of one task; it lags behind the actual usage."""

    cpu_milli: int = 0
    memory_mib: int = 0


class TaskStart(msgspec.Struct, frozen=True):
    """Request to start one attempt of a task.

    ``lease`` is in seconds: the host stops the task if its lease has not been renewed
    by an inventory request for that long.
    """

    task: str
    attempt: str
    workload: str
    cpu_milli: int
    memory_mib: int
    accelerators: int
    payload: bytes
    lease: float


class TaskReport(msgspec.Struct, frozen=True):
    """One task in a host's inventory, with its run time in seconds.

    An ended task stays in the inventory until the owner acknowledges its end.
    """

    task: str
    attempt: str
    workload: str
    state: TaskState
    usage: Usage = Usage()
    run_time: float = 0.0


class Inventory(msgspec.Struct, frozen=True):
    """All tasks known to a host, and its number of running requests."""

    tasks: list[TaskReport]
    requests: int = 0
    leaving: bool = False


class UpstreamResponse(msgspec.Struct, frozen=True):
    """Complete response of an upstream to one request."""

    status: int
    body: bytes
    content_type: str = "application/octet-stream"


class UpstreamClient(ABC):
    """Base class of an owner's clients of upstream hosts.

    Every method may raise ``NotSentError`` (nothing reached the host),
    ``OutcomeUnknownError`` (the call may have taken effect) or ``StaleEpochError``
    (the host has seen the higher epoch of another owner).
    """

    @abstractmethod
    async def request(
        self,
        host: Host,
        attempt: str,
        epoch: int,
        path: str,
        body: bytes,
        timeout: float,
    ) -> UpstreamResponse:
        """Send one request and return its response within ``timeout`` seconds."""

    @abstractmethod
    async def start(self, host: Host, epoch: int, start: TaskStart) -> None:
        """Start a task; starting the same attempt again has no effect."""

    @abstractmethod
    async def control(
        self, host: Host, epoch: int, attempt: str, action: Control
    ) -> None:
        """Stop, checkpoint, throttle or resume a task."""

    @abstractmethod
    async def inventory(
        self, host: Host, epoch: int, acked: list[str], wait: float, renew: bool
    ) -> Inventory:
        """Drop the acknowledged tasks of a host and return all others.

        Parameters
        ----------
        acked : list of str
            Attempts of ended tasks whose end the owner has recorded.
        wait : float
            Longest time, in seconds, for which the host may delay its reply until a
            task ends.
        renew : bool
            Whether to renew the leases of the host's tasks.
        """

    async def close(self) -> None:
        """Close all connections."""
        return None
