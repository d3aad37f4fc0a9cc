"""What callers ask for and what operators allow: jobs, queues and hosts."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from siskinroad.resources import Resources

__all__ = [
    "Advice",
    "HostEntry",
    "JobSpec",
    "Queue",
    "Setup",
    "Step",
    "TaskId",
    "Timing",
]


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step of a job: ``count`` equal tasks.

    Attributes
    ----------
    cpu_milli, memory_mib, accelerators : int
        What one task takes; ``memory_mib`` is in the platform's megabytes.
    estimate : float
        Declared run time of one task in seconds; rough.
    after : tuple of int
        Earlier steps whose tasks all end well first.
    gang : bool
        The tasks work only together, and all run or none.
    one_rack : bool
        The gang is slower by ``Timing.remote_factor`` on more than one rack.
    label : str
        Label that the host must have; empty for any.
    data_rack : str
        Rack that holds the data; elsewhere a task is slower.
    spread : int
        Most tasks of one occurrence on one host; 0 for any number.
    copies : bool
        Copies of a task may run at the same time.
    long_running : bool
        The tasks run until the job is cancelled.
    checkpoints : bool
        A stopped task can go on from its last checkpoint.
    image : str
        What the tasks run; tasks of one image behave alike.
    tail_limit : float
        Bound in seconds of a serving task's response tail; 0 if it serves none.
    filler : bool
        Takes only processors that other tasks leave unused.
    max_away : int
        Tasks of a long-running step that may be away through our own actions.
    """

    count: int
    cpu_milli: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    spread: int = 0
    copies: bool = False
    long_running: bool = False
    checkpoints: bool = False
    image: str = ""
    tail_limit: float = 0.0
    filler: bool = False
    max_away: int = 0

    @property
    def need(self) -> Resources:
        """What one task takes of a host; a filler takes no processor."""
        cpu = 0 if self.filler else self.cpu_milli
        return Resources(cpu, self.memory_mib, self.accelerators, 0)


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as its caller describes it.

    Attributes
    ----------
    payload : str
        Handed to every task.
    occurrences : int
        How often the steps run.
    first : float
        Unix time in seconds at which the first occurrence is due; 0 for at once.
    interval : float
        Seconds between occurrences.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 1
    first: float = 0.0
    interval: float = 0.0

    def due(self, occurrence: int) -> float:
        """Return the Unix time in seconds at which an occurrence is due."""
        return self.first + occurrence * self.interval


@dataclass(slots=True, frozen=True, order=True)
class TaskId:
    """One task of a job."""

    job: str
    occurrence: int
    step: int
    index: int


@dataclass(slots=True, frozen=True)
class Advice:
    """A queue's rule that an outside service names the hosts that a step may use.

    Attributes
    ----------
    base, per_host : float
        Seconds that one call takes, and seconds more for each host named.
    valid : float
        Seconds for which a ticket can be used.
    """

    base: float
    per_host: float
    valid: float

    def duration(self, hosts: int) -> float:
        """Return the seconds that a call on so many hosts takes."""
        return self.base + self.per_host * hosts


@dataclass(slots=True, frozen=True)
class Queue:
    """A queue of jobs as the operators define it.

    Attributes
    ----------
    prefix : str
        Path under which callers reach it.
    pool : str
        The hosts that run its tasks.
    priority : int
        0 comes first.
    max_attempts : int
        Runs of one task that may fail through its own fault.
    slack : float
        Times the length of the job that its objective allows.
    target : float
        Seconds that the objective allows besides.
    """

    name: str
    virtual_host: str
    prefix: str
    pool: str
    priority: int
    max_attempts: int
    slack: float
    target: float
    timeout: float
    advice: Advice | None


@dataclass(slots=True, frozen=True)
class Setup:
    """One version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[str, ...]
    max_body: int

    def find(self, virtual_host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path``."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.virtual_host != virtual_host:
                continue
            if not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best

    def queue(self, name: str) -> Queue | None:
        """Return a queue by its name."""
        return next((q for q in self.queues if q.name == name), None)


@dataclass(slots=True, frozen=True)
class HostEntry:
    """One entry of the platform's live list.

    Attributes
    ----------
    name : str
        Identifies one life of a host, or several if it starts again under it.
    draining : bool
        The host leaves and takes no new work.
    rack : str
        The host's rack.
    stays : float
        Seconds for which a draining host stays at least; 0 if it does not say.
    """

    name: str
    pool: str
    address: str
    data_centre: str
    draining: bool
    capacity: Resources
    labels: frozenset[str]
    rack: str
    stays: float = 0.0


@dataclass(slots=True, frozen=True)
class Timing:
    """Bounds that the platform sets; seconds."""

    max_lease: float = 10.0
    stop_grace: float = 1.0
    gang_wait: float = 3.0
    status_kept: float = 120.0
    drain: float = 2.5
    remote_factor: float = 2.0
    pace_delay: float = 0.1
