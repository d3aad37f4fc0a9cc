"""An upstream host as its owner sees it: what runs there, and what room is left."""

from __future__ import annotations

from dataclasses import dataclass, field

from siskinroad.charts import load_chart
from siskinroad.resources import NOTHING, Resources
from siskinroad.work.model import HostEntry, TaskId

__all__ = ["LEASE_TIME", "Host", "Run", "RunKey"]

# Seconds of lease that each call grants: long enough for a successor to find the
# owner dead and to extend it, short enough to restart what a lost host ran.
LEASE_TIME = 4.0
# Bounds in seconds of how long an answer of a host is waited for: the least covers
# a way between regions and a busy moment, the most a host under heavy load.
LEAST_PATIENCE = 0.15
MOST_PATIENCE = 0.5
# Times the smoothed answer time that is waited, and the weight of a new one.
PATIENCE_FACTOR = 4.0
ANSWER_WEIGHT = 0.2
# A host's clock may be slow by two hundredths; the rest covers rounding.
LAPSE_FACTOR = 1.03
LAPSE_SLACK = 0.25
# Seconds without an answer after which a host gets no new work.
SILENCE = 1.6
# Seconds for which a host that answers but has left the live list may be used.
UNLISTED_GRACE = 2.5

_RUN = load_chart("run")

RunKey = tuple[TaskId, int]


@dataclass(slots=True, eq=False)
class Run:
    """One run on the host; it holds room until its end is listed.

    Attributes
    ----------
    state : str
        State of the ``run`` chart.
    token : int
        Token of the newest order about it.
    since : float
        Loop time of the newest order or of its answer.
    foreign : bool
        Found on the host though the owner did not want it.
    queue, declared, long_running
        Its queue, declared run time in seconds, and whether it lasts.
    progress_at_begin : int
        Percent that its checkpoint had already.
    moved_at, reported_at : float
        Loop time at which its progress last changed, and was last listed.
    pace : int
        Percent of its speed that it was last allowed.
    """

    key: RunKey
    need: Resources
    token: int
    since: float
    step: tuple[str, int, int]
    state: str = _RUN.initial
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
        self.state = _RUN.next(self.state, event)

    def allows(self, event: str) -> bool:
        """Return whether the chart has ``event`` in this state."""
        return _RUN.allows(self.state, event)


@dataclass(slots=True, eq=False)
class Host:
    """One life of an upstream host.

    Attributes
    ----------
    token : int
        Sent with every order; the host rejects lower ones.
    settled : bool
        The host has answered under this owner's token, so that nothing of a
        former owner can start there any more.
    born : int
        Unix milliseconds of the start of the life that answered; 0 if none has.
    clock, clock_at : int, float
        The host's clock in milliseconds, and the loop time for which it stands.
    lapse_at : float
        Loop time at which every lease that was ever granted has surely lapsed.
    seen, acknowledged : int
        Newest end that was taken in, and newest that is recorded in the store.
    heard_at, reported_at : float
        Loop time of the last answer, not positive since a call has failed, and of
        the last report, whatever has failed since.
    recorded : bool
        The store knows that this owner uses the host.
    answer_time : float
        Smoothed seconds that the host takes to answer an order.
    unlisted_at : float
        Loop time at which the live list lost the host; 0 while it is there.
    leaves_at : float
        Loop time until which a draining host stays at least.
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
    answer_time: float = 0.03
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
        """Whether the last call to the host has failed."""
        return self.heard_at <= 0

    def call_failed(self) -> None:
        """Note that a call got no answer: no new work until one does."""
        self.heard_at = -1e9

    def add(self, run: Run) -> None:
        """Give a run its room."""
        self.runs[run.key] = run
        self.used = self.used + run.need

    def drop(self, run: Run) -> None:
        """Take a run's room back."""
        del self.runs[run.key]
        self.used = self.used - run.need

    def patience(self) -> float:
        """Return the seconds for which an answer is waited for.

        An order without an answer is sorted out by the next call, so that waiting
        long costs more than asking once too often.
        """
        wanted = LEAST_PATIENCE / 2 + PATIENCE_FACTOR * self.answer_time
        return min(MOST_PATIENCE, max(LEAST_PATIENCE, wanted))

    def answered_in(self, seconds: float) -> None:
        """Take in how long an answer took."""
        self.answer_time += ANSWER_WEIGHT * (seconds - self.answer_time)

    def lease_until(self, now: float) -> int | None:
        """Return the host's clock at the end of a lease granted now."""
        if not self.clock_at:
            return None
        return int(self.clock + (now - self.clock_at + LEASE_TIME) * 1000)

    def granted(self, now: float) -> None:
        """Note that a call that grants a lease is being sent."""
        until = now + LEASE_TIME * LAPSE_FACTOR + LAPSE_SLACK
        self.lapse_at = max(self.lapse_at, until)

    def open(self, now: float) -> bool:
        """Return whether new work may be placed here."""
        if not self.settled or not self.recorded:
            return False
        if self.entry.draining or self.resting:
            return False
        if self.unlisted_at and now - self.unlisted_at > UNLISTED_GRACE:
            return False
        return now - self.heard_at <= SILENCE

    def free(self, step: tuple[str, int, int], now: float) -> Resources:
        """Return the room left for a step, without what others have reserved."""
        left = self.entry.capacity - self.used
        for key, (room, until) in list(self.reserved.items()):
            if until < now:
                del self.reserved[key]
            elif key != step:
                left = left - room
        return left
