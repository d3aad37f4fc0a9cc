"""State of an upstream host as its owner knows it: runs, leases, free capacity."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from siskinroad.charts import load_chart
from siskinroad.resources import NOTHING, Resources
from siskinroad.work.account_use import AccountUse
from siskinroad.work.model import HostEntry, TaskId

__all__ = [
    "LEASE_S",
    "LOWEST_RANK",
    "MIN_LEASE_S",
    "Host",
    "QueueUse",
    "Reservation",
    "Run",
    "RunIndex",
    "RunKey",
    "max_lease_s",
]

# Seconds of lease that each request grants. A shorter lease expires before a successor
# has detected a dead owner and renewed it; a longer one delays the restart of the tasks
# of a lost host.
LEASE_S = 4.0
# Bounds in seconds of the timeout for a host's reply: the lower one covers a round trip
# between regions and a short load peak, the upper one a host under heavy load.
MIN_REPLY_TIMEOUT_S = 0.15
MAX_REPLY_TIMEOUT_S = 0.5
# Multiple of the smoothed reply time in the timeout, and the weight of a new sample.
REPLY_TIMEOUT_FACTOR = 4.0
REPLY_TIME_WEIGHT = 0.2
# Least seconds of a lease that is granted: a start under a shorter one would expire
# before it was renewed.
MIN_LEASE_S = 0.5
# A lease may last longer than granted: a host's clock may run 2 % slow. The rest of the
# factor and the slack in seconds cover rounding.
LEASE_EXPIRY_FACTOR = 1.03
LEASE_EXPIRY_SLACK_S = 0.25
# Seconds without a reply after which a host gets no new work.
HOST_SILENCE_S = 1.6
# Seconds for which a host that still replies may be used after it left the live list.
UNLISTED_GRACE_S = 2.5

# Seconds for which the first run of a host whose runs failed is alone there, unless it
# ends before. Callers take a job without a run beside free capacity for lost in 3 s.
PROBATION_S = 2.0
# Seconds for which no step at all starts beside that run. With the pause before it, a
# longer time would be more than a step may wait.
MIN_PROBATION_S = 0.8

_RUN_CHART = load_chart("run")

# The task of a run and the run's number.
RunKey = tuple[TaskId, int]

# Rank of a step that no planning pass has ranked yet.
LOWEST_RANK = (1 << 30, 0)


class Reservation(NamedTuple):
    """Capacity of one host that is kept for a step until its tickets arrive.

    Attributes
    ----------
    until : float
        Loop time in seconds at which it expires.
    rank : tuple of int
        Priority and lateness of the step. More urgent steps may take the capacity.
    """

    need: Resources
    until: float
    rank: tuple[int, int] = (0, 0)


def max_lease_s(seconds: float) -> float:
    """Return the seconds after which a lease of some seconds has certainly expired."""
    return seconds * LEASE_EXPIRY_FACTOR + LEASE_EXPIRY_SLACK_S


@dataclass(slots=True, eq=False)
class Run:
    """Run of a task on a host; it occupies capacity until it is over.

    Attributes
    ----------
    state : str
        State of the ``run`` chart.
    token : int
        Fencing token of the newest command about the run.
    commanded_at : float
        Loop time in seconds of the newest command or of its reply.
    is_unwanted : bool
        Listed by the host, but not wanted by this owner, which did not start it.
    queue, declared_s, long_running
        The task's queue, its declared run time in seconds, and whether it runs until
        its job is cancelled.
    account, account_need : str, Resources
        Client account for which the task runs, empty if there is none, and what the run
        counts of the account's limit.
    trial_s : float
        Seconds for which no other run is started on the host, as its task is suspected
        of crashing hosts; 0 for other tasks.
    progress_at_begin : int
        Percent of progress that the checkpoint already had.
    progress_changed_at, reported_at : float
        Loop time at which the progress last changed, and was last reported.
    usage : int
        Usage in the newest report; see ``RunStatus`` for its unit.
    filler : bool
        Uses only processors that other tasks leave idle.
    copies : bool
        Speculative copies of its task may run at the same time.
    speed_percent : int
        Percent of full speed that the newest throttle command allows.
    is_speed_known : bool
        No throttle command is without a reply, so that none may have taken effect.
    """

    key: RunKey
    need: Resources
    token: int
    commanded_at: float
    step: tuple[str, int, int]
    state: str = _RUN_CHART.initial
    is_unwanted: bool = False
    begun_at: float = 0.0
    progress: int = 0
    progress_changed_at: float = 0.0
    reported_at: float = 0.0
    usage: int = 0
    speed_percent: int = 100
    is_speed_known: bool = True
    filler: bool = False
    copies: bool = False
    tail_limit: float = 0.0
    queue: str = ""
    declared_s: float = 0.0
    long_running: bool = False
    progress_at_begin: int = 0
    trial_s: float = 0.0
    account: str = ""
    account_need: Resources = NOTHING

    def move(self, event: str) -> None:
        """Apply an event of the ``run`` chart."""
        self.state = _RUN_CHART.next_state(self.state, event)

    def allows(self, event: str) -> bool:
        """Return whether the chart has ``event`` in this state."""
        return _RUN_CHART.allows(self.state, event)


@dataclass(slots=True, eq=False)
class QueueUse:
    """Use of one host by the runs of one queue.

    Attributes
    ----------
    runs : int
        Number of runs.
    cpu_milli : int
        Thousandths of a processor that they hold.
    """

    runs: int = 0
    cpu_milli: int = 0


@dataclass(slots=True, eq=False)
class RunIndex:
    """Runs of all hosts of a pool by job, kept up to date by the hosts.

    Attributes
    ----------
    by_job : dict of str to dict
        The runs of each job by host and key, with their hosts.
    account_use : AccountUse or None
        Use of the client accounts, kept up to date too; None if there are none.
    """

    by_job: dict[str, dict[tuple[str, RunKey], tuple[Host, Run]]] = field(
        default_factory=dict
    )
    account_use: AccountUse | None = None

    def add(self, host: Host, run: Run) -> None:
        """Add a run of a host."""
        if self.account_use is not None:
            self.account_use.add(run.account, run.account_need)
        runs = self.by_job.setdefault(run.key[0].job, {})
        runs[host.name, run.key] = (host, run)

    def remove(self, host: Host, run: Run) -> None:
        """Remove a run of a host."""
        if self.account_use is not None:
            self.account_use.remove(run.account, run.account_need)
        job = run.key[0].job
        runs = self.by_job[job]
        del runs[host.name, run.key]
        if not runs:
            del self.by_job[job]

    def find_runs(self, job: str) -> list[tuple[Host, Run]]:
        """Return the runs of a job with their hosts."""
        return list(self.by_job.get(job, {}).values())


@dataclass(slots=True, eq=False)
class Host:
    """One incarnation of an upstream host.

    Attributes
    ----------
    token : int
        Fencing token sent with every command; the host rejects lower ones.
    rejected_token : int
        Token that the host has rejected last for a higher one; 0 if none.
    is_settled : bool
        The host has replied under this owner's token, so that it is reconciled with
        the owner's view: no command of a former owner can start a task there any more.
    incarnation_ms : int
        Unix milliseconds of the start of the incarnation that replied; 0 if none has.
    first_reported_at : float
        Loop time of that incarnation's first report; 0 if none has reported.
    is_unconfirmed : bool
        A successor may have claimed the pool before that incarnation first reported. A
        host that restarts forgets the tokens that it has seen, the successor's too.
    lost_at : float
        Loop time at which another incarnation first replied, while that is no proof yet
        of how the runs of the known one ended; 0 otherwise.
    clock, clock_read_at : int, float
        The host's clock in milliseconds, and the loop time at which it was read.
    lease_expires_at : float
        Loop time by which every lease granted so far has certainly expired.
    unanswered_renewal_at : float
        Loop time at which the newest renewal that brought no report was sent.
    last_end_seen, last_end_stored : int
        Number of the newest run end applied to the pool state, and of the newest one
        stored.
    replied_at, reported_at : float
        Loop time of the last reply, not positive if a request has failed since, and
        of the last report, regardless of failures since.
    token_held_at : float
        Loop time at which the newest renewal was sent that this incarnation has
        answered; negative if it has not. No higher token had reached it by then.
    start_rejected_at : float
        Loop time at which the host last rejected a start that it should have accepted
        by its newest report.
    is_stored : bool
        The store holds a record that this owner uses the host, and keeps it.
    failing_since : float
        Loop time of the first failed request since the last reply; of an earlier one
        while the host replies.
    reply_time_s : float
        Smoothed time in seconds that the host takes to reply to a command.
    unlisted_at : float
        Loop time at which the host left the live list; 0 while it is listed.
    earliest_leave_at : float
        Earliest loop time at which a draining host may leave.
    is_quarantined : bool
        The host is in quarantine and gets no new work.
    quarantined_until : float
        Loop time at which the quarantine ends.
    quarantine_evidence_at : float
        Loop time at which the quarantine began, or a run last failed or stalled
        during it.
    trial_run, trial_until : tuple or None, float
        Key of the newest run on trial, and the loop time until which no run is started
        beside it.
    alone_until : float
        Loop time until which not even a step that has waited for long is started beside
        it.
    needs_probation : bool
        Its runs have failed, so that it gets a single run first when it is back.
    probation_run : tuple or None
        Key of that run.
    used : Resources
        Sum of the needs of its runs.
    run_changes : int
        Number of times that a run was added or removed.
    queue_uses : dict of str to QueueUse
        Use by the runs of each queue that has any.
    reserved : dict
        Reservations by the key of their step.
    index : RunIndex
        Index of the pool's runs, which this host keeps up to date.
    """

    entry: HostEntry
    token: int
    index: RunIndex = field(default_factory=RunIndex)
    rejected_token: int = 0
    is_settled: bool = False
    incarnation_ms: int = 0
    first_reported_at: float = 0.0
    is_unconfirmed: bool = False
    lost_at: float = 0.0
    clock: int = 0
    clock_read_at: float = 0.0
    lease_expires_at: float = 0.0
    replied_at: float = -1e9
    failing_since: float = -1e9
    reported_at: float = 0.0
    token_held_at: float = -1e9
    unanswered_renewal_at: float = -1e9
    start_rejected_at: float = -1e9
    last_end_seen: int = 0
    last_end_stored: int = 0
    unlisted_at: float = 0.0
    earliest_leave_at: float = float("inf")
    is_quarantined: bool = False
    quarantined_until: float = 0.0
    quarantine_evidence_at: float = 0.0
    is_stored: bool = False
    trial_run: RunKey | None = None
    trial_until: float = -1e9
    alone_until: float = -1e9
    needs_probation: bool = False
    probation_run: RunKey | None = None
    reply_time_s: float = 0.03
    runs: dict[RunKey, Run] = field(default_factory=dict)
    used: Resources = NOTHING
    run_changes: int = 0
    queue_uses: dict[str, QueueUse] = field(default_factory=dict)
    reserved: dict[tuple[str, int, int], Reservation] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """The host's name."""
        return self.entry.name

    @property
    def is_failing(self) -> bool:
        """Whether the last request has failed, or no request has had a reply yet."""
        return self.replied_at <= 0

    @property
    def is_report_outdated(self) -> bool:
        """Whether the host has rejected a start that its newest report allowed."""
        return self.reported_at <= self.start_rejected_at

    @property
    def is_entry_outdated(self) -> bool:
        """Whether the entry is of another incarnation than the newest report.

        What it says of kind, capacity and labels does not hold for the present one. The
        calendar clock may have been set back, so either may be the newer one.
        """
        listed, reported = self.entry.incarnation_ms, self.incarnation_ms
        return listed != 0 and reported != 0 and listed != reported

    def record_failed_request(self, now: float) -> None:
        """Record that a request got no reply; new work waits for the next reply."""
        if not self.is_failing:
            self.failing_since = now
        self.replied_at = -1e9

    def run_age_at_loss(self, run: Run, now: float) -> float:
        """Return for how many seconds a run of a lost host had run, at the most."""
        lost_at = self.failing_since if self.is_failing else now
        return max(0.0, lost_at - (run.begun_at or run.commanded_at))

    def add_run(self, run: Run) -> None:
        """Add a run and allocate its resources."""
        self.runs[run.key] = run
        self.used = self.used + run.need
        self.run_changes += 1
        use = self.queue_uses.setdefault(run.queue, QueueUse())
        use.runs += 1
        use.cpu_milli += run.need.cpu_milli
        self.index.add(self, run)

    def remove_run(self, run: Run) -> None:
        """Remove a run and free its resources."""
        del self.runs[run.key]
        if self.trial_run == run.key:
            self.trial_run = None
            self.trial_until = self.alone_until = -1e9
        self.used = self.used - run.need
        self.run_changes += 1
        use = self.queue_uses[run.queue]
        use.runs -= 1
        use.cpu_milli -= run.need.cpu_milli
        if not use.runs:
            del self.queue_uses[run.queue]
        self.index.remove(self, run)

    def begin_trial(self, run: Run, seconds: float, now: float) -> None:
        """Put a run on trial: nothing else is started here for some seconds."""
        run.trial_s = seconds
        self.trial_run = run.key
        self.trial_until = self.alone_until = now + seconds

    def begin_probation(self, run: Run, now: float) -> None:
        """Start nothing beside the first run of a host whose runs have failed.

        The other members of its gang start with it.
        """
        self.needs_probation = False
        self.probation_run = self.trial_run = run.key
        self.trial_until = now + PROBATION_S
        self.alone_until = now + MIN_PROBATION_S

    def reply_timeout_s(self) -> float:
        """Return the timeout in seconds for a reply of the host.

        The timeout is short: a command without a reply is resolved by the next report
        request, and an unnecessary request costs less than a longer wait.
        """
        timeout_s = MIN_REPLY_TIMEOUT_S / 2 + REPLY_TIMEOUT_FACTOR * self.reply_time_s
        return min(MAX_REPLY_TIMEOUT_S, max(MIN_REPLY_TIMEOUT_S, timeout_s))

    def record_reply_time(self, seconds: float) -> None:
        """Update the smoothed reply time with a new sample in seconds.

        A late owner measures its own delay too, so longer samples than the longest
        timeout count as that.
        """
        seconds = min(seconds, MAX_REPLY_TIMEOUT_S)
        self.reply_time_s += REPLY_TIME_WEIGHT * (seconds - self.reply_time_s)

    def lease_until(self, now: float, end_by: float = math.inf) -> int | None:
        """Return the host's clock in milliseconds at the end of a lease granted now.

        Returns None while the host's clock is unknown, or if no lease of use ends by
        the loop time ``end_by``.
        """
        lease_s = min(LEASE_S, end_by - now)
        if not self.clock_read_at or lease_s < MIN_LEASE_S:
            return None
        return int(self.clock + (now - self.clock_read_at + lease_s) * 1000)

    def extend_lease_expiry(self, now: float, end_by: float = math.inf) -> None:
        """Extend the expiry for a lease-granting request that is being sent."""
        expires_at = now + max_lease_s(min(LEASE_S, end_by - now))
        self.lease_expires_at = max(self.lease_expires_at, expires_at)

    def is_lease_over(self, now: float) -> bool:
        """Return whether no lease is left and the host did not report when asked since.

        A host that reports lists its runs and ends, so what ran there is not lost even
        if its lease is over. A late owner may not have called it for a while.
        """
        asked_since = max(
            self.lease_expires_at - LEASE_EXPIRY_SLACK_S, self.reported_at
        )
        return (
            now >= self.lease_expires_at and self.unanswered_renewal_at >= asked_since
        )

    def is_schedulable(self, now: float) -> bool:
        """Return whether new work may be placed on the host."""
        return not self.is_quarantined and self.is_usable(now)

    def is_usable(self, now: float) -> bool:
        """Return whether nothing but a quarantine would keep new work off the host."""
        return now >= self.trial_until and self.is_usable_on_probation(now)

    def is_usable_on_probation(self, now: float) -> bool:
        """Return whether nothing but quarantine or probation would keep work off it."""
        if not self.is_settled or not self.is_stored or self.is_unconfirmed:
            return False
        if self.entry.draining or self.is_report_outdated or self.is_entry_outdated:
            return False
        if now < self.alone_until:
            return False
        if self.unlisted_at and now - self.unlisted_at > UNLISTED_GRACE_S:
            return False
        return now - self.replied_at <= HOST_SILENCE_S

    def free_capacity(
        self,
        step: tuple[str, int, int],
        now: float,
        rank: tuple[int, int] = LOWEST_RANK,
    ) -> Resources:
        """Return the free capacity for a step, less the reservations of other steps.

        Parameters
        ----------
        rank : tuple of int
            Priority and lateness of the step. The reservations of steps that are less
            urgent do not count.
        """
        available = self.entry.capacity - self.used
        if not self.reserved:
            return available
        for key, reservation in list(self.reserved.items()):
            if reservation.until < now:
                del self.reserved[key]
            elif key != step and reservation.rank <= rank:
                available = available - reservation.need
        return available
