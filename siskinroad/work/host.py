"""State of an upstream host as its owner knows it: runs, leases, free capacity."""

from __future__ import annotations

from dataclasses import dataclass, field

from siskinroad.charts import load_chart
from siskinroad.resources import NOTHING, Resources
from siskinroad.work.model import HostEntry, TaskId

__all__ = ["LEASE_TIME", "Host", "Run", "RunKey"]

# Seconds of lease that each request grants. A shorter lease expires before a successor
# has detected a dead owner and renewed it; a longer one delays the restart of the tasks
# of a lost host.
LEASE_TIME = 4.0
# Bounds in seconds of the timeout for a host's reply: the lower one covers a round trip
# between regions and a short load peak, the upper one a host under heavy load.
MIN_REPLY_TIMEOUT_S = 0.15
MAX_REPLY_TIMEOUT_S = 0.5
# Multiple of the smoothed reply time in the timeout, and the weight of a new sample.
REPLY_TIMEOUT_FACTOR = 4.0
REPLY_TIME_WEIGHT = 0.2
# A lease may last longer than granted: a host's clock may run 2 % slow. The rest of the
# factor and the slack in seconds cover rounding.
LEASE_EXPIRY_FACTOR = 1.03
LEASE_EXPIRY_SLACK_S = 0.25
# Seconds without a reply after which a host gets no new work.
HOST_SILENCE_S = 1.6
# Seconds for which a host that still replies may be used after it left the live list.
UNLISTED_GRACE_S = 2.5

_RUN_CHART = load_chart("run")

RunKey = tuple[TaskId, int]


@dataclass(slots=True, eq=False)
class Run:
    """One run on the host; it takes capacity until the host reports its end.

    Attributes
    ----------
    state : str
        State of the ``run`` chart.
    token : int
        Fencing token of the newest command about the run.
    since : float
        Loop time in seconds of the newest command or of its reply.
    foreign : bool
        Found on the host although the owner did not start it.
    queue, declared, long_running
        The task's queue, its declared run time in seconds, and whether it runs until
        its job is cancelled.
    progress_at_begin : int
        Percent of progress that the checkpoint already had.
    moved_at, reported_at : float
        Loop time at which the progress last changed, and was last reported.
    pace : int
        Percent of full speed that the newest throttle command allows.
    """

    key: RunKey
    need: Resources
    token: int
    since: float
    step: tuple[str, int, int]
    state: str = _RUN_CHART.initial
    foreign: bool = False
    begun_at: float = 0.0
    progress: int = 0
    moved_at: float = 0.0
    reported_at: float = 0.0
    usage: int = 0
    pace: int = 100
    filler: bool = False
    tail_limit: float = 0.0
    queue: str = ""
    declared: float = 0.0
    long_running: bool = False
    progress_at_begin: int = 0

    def move(self, event: str) -> None:
        """Apply an event of the ``run`` chart."""
        self.state = _RUN_CHART.next_state(self.state, event)

    def allows(self, event: str) -> bool:
        """Return whether the chart has ``event`` in this state."""
        return _RUN_CHART.allows(self.state, event)


@dataclass(slots=True, eq=False)
class Host:
    """One incarnation of an upstream host.

    Attributes
    ----------
    token : int
        Fencing token sent with every command; the host rejects lower ones.
    settled : bool
        The host has replied under this owner's token, so that it is reconciled with
        the owner's view: no command of a former owner can start a task there any more.
    born : int
        Unix milliseconds of the start of the incarnation that replied; 0 if none has.
    clock, clock_at : int, float
        The host's clock in milliseconds, and the loop time at which it was read.
    lapse_at : float
        Loop time by which every lease granted so far has certainly expired.
    seen, acknowledged : int
        Number of the newest run end applied to the pool state, and of the newest one
        stored.
    heard_at, reported_at : float
        Loop time of the last reply, not positive if a request has failed since, and
        of the last report, regardless of failures since.
    recorded : bool
        The store holds a record that this owner uses the host.
    reply_time_s : float
        Smoothed time in seconds that the host takes to reply to a command.
    unlisted_at : float
        Loop time at which the host left the live list; 0 while it is listed.
    leaves_at : float
        Earliest loop time at which a draining host may leave.
    resting : bool
        The host is in quarantine and gets no new work.
    used : Resources
        Sum of the needs of its runs.
    reserved : dict
        Resources reserved for a step, by step key, with the loop time of the expiry.
    """

    entry: HostEntry
    token: int
    settled: bool = False
    born: int = 0
    clock: int = 0
    clock_at: float = 0.0
    lapse_at: float = 0.0
    heard_at: float = -1e9
    reported_at: float = 0.0
    seen: int = 0
    acknowledged: int = 0
    unlisted_at: float = 0.0
    leaves_at: float = float("inf")
    resting: bool = False
    recorded: bool = False
    reply_time_s: float = 0.03
    runs: dict[RunKey, Run] = field(default_factory=dict)
    used: Resources = NOTHING
    reserved: dict[tuple[str, int, int], tuple[Resources, float]] = field(
        default_factory=dict
    )

    @property
    def name(self) -> str:
        """The host's name."""
        return self.entry.name

    @property
    def failing(self) -> bool:
        """Whether the last request to the host has failed."""
        return self.heard_at <= 0

    def call_failed(self) -> None:
        """Record that a request got no reply: no new work until one does."""
        self.heard_at = -1e9

    def add(self, run: Run) -> None:
        """Add a run and allocate its resources."""
        self.runs[run.key] = run
        self.used = self.used + run.need

    def drop(self, run: Run) -> None:
        """Remove a run and free its resources."""
        del self.runs[run.key]
        self.used = self.used - run.need

    def patience(self) -> float:
        """Return the timeout in seconds for a reply of the host.

        The next request resolves a command without a reply, so that a long wait costs
        more than an unnecessary request.
        """
        timeout_s = MIN_REPLY_TIMEOUT_S / 2 + REPLY_TIMEOUT_FACTOR * self.reply_time_s
        return min(MAX_REPLY_TIMEOUT_S, max(MIN_REPLY_TIMEOUT_S, timeout_s))

    def answered_in(self, seconds: float) -> None:
        """Update the smoothed reply time with a new sample in seconds."""
        self.reply_time_s += REPLY_TIME_WEIGHT * (seconds - self.reply_time_s)

    def lease_until(self, now: float) -> int | None:
        """Return the host's clock in milliseconds at the end of a lease granted now.

        None while the host's clock is unknown.
        """
        if not self.clock_at:
            return None
        return int(self.clock + (now - self.clock_at + LEASE_TIME) * 1000)

    def granted(self, now: float) -> None:
        """Extend the expiry for a lease-granting request that is being sent."""
        until = now + LEASE_TIME * LEASE_EXPIRY_FACTOR + LEASE_EXPIRY_SLACK_S
        self.lapse_at = max(self.lapse_at, until)

    def open(self, now: float) -> bool:
        """Return whether new work may be placed on the host."""
        if not self.settled or not self.recorded:
            return False
        if self.entry.draining or self.resting:
            return False
        if self.unlisted_at and now - self.unlisted_at > UNLISTED_GRACE_S:
            return False
        return now - self.heard_at <= HOST_SILENCE_S

    def free(self, step: tuple[str, int, int], now: float) -> Resources:
        """Return the free capacity for a step, less the reservations of other steps."""
        left = self.entry.capacity - self.used
        for key, (reserved_need, until) in list(self.reserved.items()):
            if until < now:
                del self.reserved[key]
            elif key != step:
                left = left - reserved_need
        return left
