"""What upstream hosts give: requests, tasks under leases, lagging usage."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum

import msgspec

from siskinroad.cell import Host

__all__ = [
    "Answer",
    "Control",
    "Inventory",
    "TaskReport",
    "TaskStart",
    "TaskState",
    "Upstreams",
    "Usage",
]


class TaskState(StrEnum):
    """State of a task on its worker."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"


class Control(StrEnum):
    """What an owner may ask of a running task."""

    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    RESUME = "resume"


class Usage(msgspec.Struct, frozen=True):
    """Measured use of one task, with the worker's lag."""

    cpu_milli: int = 0
    memory_mib: int = 0


class TaskStart(msgspec.Struct, frozen=True):
    """Start of one task's attempt.

    ``lease`` is in seconds: the worker stops the task when no inventory has
    been asked of it for so long.
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
    """One task in a worker's inventory; ended ones stay until acknowledged."""

    task: str
    attempt: str
    workload: str
    state: TaskState
    usage: Usage = Usage()
    run_time: float = 0.0


class Inventory(msgspec.Struct, frozen=True):
    """Everything that a worker knows of its tasks."""

    tasks: list[TaskReport]
    requests: int = 0
    leaving: bool = False


class Answer(msgspec.Struct, frozen=True):
    """A whole answer of an upstream to one request."""

    status: int
    body: bytes
    content_type: str = "application/octet-stream"


class Upstreams(ABC):
    """The workers as their owner sees them.

    Every method may raise ``NotSentError`` (nothing reached the host),
    ``OutcomeUnknownError`` (it may have taken effect) or ``StaleEpochError``.
    """

    @abstractmethod
    async def request(
        self, host: Host, attempt: str, epoch: int, path: str, body: bytes, limit: float
    ) -> Answer:
        """Send one request and return its whole answer within ``limit`` seconds."""

    @abstractmethod
    async def start(self, host: Host, epoch: int, start: TaskStart) -> None:
        """Start a task; starting the same attempt again changes nothing."""

    @abstractmethod
    async def control(self, host: Host, epoch: int, attempt: str, do: Control) -> None:
        """Stop, checkpoint, throttle or resume a task."""

    @abstractmethod
    async def inventory(
        self, host: Host, epoch: int, acked: list[str], wait: float, renew: bool
    ) -> Inventory:
        """Return all tasks and forget the ``acked`` ended ones.

        Parameters
        ----------
        wait : float
            The worker answers when a task ends, at the latest after so many
            seconds.
        renew : bool
            Renew the leases of the tasks that run.
        """

    async def close(self) -> None:
        """Release connections."""
        return None
