"""Data model of jobs, queues, hosts and the platform's time limits."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from siskinroad.resources import Resources
from siskinroad.work.client_accounts import AccountDirectory

__all__ = [
    "Advice",
    "Configuration",
    "HostEntry",
    "JobSpec",
    "Queue",
    "Step",
    "TaskId",
    "Timing",
]


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Step of a job: ``count`` equal tasks.

    Attributes
    ----------
    cpu_milli, memory_mib, accelerators : int
        Resources of one task; ``memory_mib`` is in the platform's megabytes.
    estimate : float
        Declared run time of one task in seconds; a rough estimate.
    after : tuple of int
        Indices of earlier steps whose tasks must all succeed first.
    gang : bool
        The tasks work only together: either all or none of them run.
    one_rack : bool
        The gang is slower by ``Timing.remote_factor`` if it spans several racks.
    label : str
        Label that the host must have; empty for any.
    data_rack : str
        Rack that holds the data; a task is slower in any other; empty for any.
    spread : int
        Maximum number of tasks of one occurrence on one host; 0 for no limit.
    copies : bool
        Speculative copies of a task may run at the same time.
    long_running : bool
        The tasks run until the job is cancelled.
    checkpoints : bool
        A stopped task can resume from its last checkpoint.
    image : str
        Image that the tasks run; tasks of one image behave alike.
    tail_limit : float
        Bound in seconds on the response tail of a serving task; 0 if it does not
        serve requests.
    filler : bool
        Best-effort task: uses only processors that other tasks leave idle.
    max_away : int
        Maximum number of tasks of a long-running step that may be down at once through
        actions of the system itself.
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
        """Resources that one task allocates; a best-effort task takes no processor."""
        cpu = 0 if self.filler else self.cpu_milli
        return Resources(cpu, self.memory_mib, self.accelerators, 0)


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Job as its caller describes it.

    Attributes
    ----------
    payload : str
        Data passed to every task.
    occurrences : int
        Number of times that the steps run.
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

    @property
    def task_count(self) -> int:
        """Number of tasks of one occurrence."""
        return sum(step.count for step in self.steps)

    def due(self, occurrence: int) -> float:
        """Return the Unix time in seconds at which an occurrence is due."""
        return self.first + occurrence * self.interval


@dataclass(slots=True, frozen=True, order=True)
class TaskId:
    """Identifier of one task of a job."""

    job: str
    occurrence: int
    step: int
    index: int


@dataclass(slots=True, frozen=True)
class Advice:
    """Rule that the steps of a queue run only on hosts that the advisor allows.

    Attributes
    ----------
    base, per_host : float
        Seconds that one request takes, and further seconds for each host in it.
    valid_s : float
        Seconds for which a ticket is valid.
    """

    base: float
    per_host: float
    valid_s: float

    def duration(self, hosts: int) -> float:
        """Return the seconds that a request about ``hosts`` hosts takes."""
        return self.base + self.per_host * hosts


@dataclass(slots=True, frozen=True)
class Queue:
    """Queue of jobs as the operators define it.

    Attributes
    ----------
    prefix : str
        Path prefix under which callers reach the queue.
    pool : str
        Name of the pool of hosts that run its tasks.
    priority : int
        Order among queues; 0 is the most urgent.
    max_attempts : int
        Number of failed runs of one task at which its job fails, unless the step is
        long-running.
    slack : float
        Multiple of the job's expected duration that its target time allows.
    target : float
        Seconds that the target time allows in addition.
    is_public : bool
        Callers need no key of a client account.
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
    is_public: bool = False


@dataclass(slots=True, frozen=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes
    ----------
    max_body : int
        Largest body of a caller's request in bytes.
    accounts : AccountDirectory or None
        Client accounts; None if the deployment has none, so that no request needs a
        key and nothing is limited or shared by account.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[str, ...]
    max_body: int
    accounts: AccountDirectory | None = None
    _queues_by_prefix: dict[tuple[str, str], Queue] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )
    _prefix_lengths: dict[str, list[int]] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        lengths: dict[str, set[int]] = {}
        for queue in self.queues:
            self._queues_by_prefix.setdefault((queue.virtual_host, queue.prefix), queue)
            lengths.setdefault(queue.virtual_host, set()).add(len(queue.prefix))
        for virtual_host, known in lengths.items():
            self._prefix_lengths[virtual_host] = sorted(known, reverse=True)

    def find_queue(self, virtual_host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that matches ``path``.

        The time grows with the different lengths of prefixes, not with the queues:
        operators may have thousands.
        """
        for length in self._prefix_lengths.get(virtual_host, ()):
            if length > len(path):
                continue
            queue = self._queues_by_prefix.get((virtual_host, path[:length]))
            if queue is not None:
                return queue
        return None


@dataclass(slots=True, frozen=True)
class HostEntry:
    """Entry of the platform's live list of hosts.

    Attributes
    ----------
    name : str
        Name of the host; a restarted host may keep it, so that one name can cover
        several incarnations.
    draining : bool
        The host is about to leave and accepts no new work.
    rack : str
        The host's rack.
    min_stay_s : float
        Minimum seconds for which a draining host stays; 0 if unknown.
    incarnation_ms : int
        Unix milliseconds of the start of the incarnation that wrote the entry; 0 if the
        entry does not name it.
    """

    name: str
    pool: str
    address: str
    data_centre: str
    draining: bool
    capacity: Resources
    labels: frozenset[str]
    rack: str
    min_stay_s: float = 0.0
    incarnation_ms: int = 0


@dataclass(slots=True, frozen=True)
class Timing:
    """Time limits that the platform sets.

    All are in seconds, except ``remote_factor``, the ratio by which a gang is slower on
    several racks.
    """

    max_lease_s: float = 10.0
    stop_grace_s: float = 1.0
    gang_wait_s: float = 3.0
    status_retention_s: float = 120.0
    drain_s: float = 2.5
    remote_factor: float = 2.0
    throttle_delay_s: float = 0.1
