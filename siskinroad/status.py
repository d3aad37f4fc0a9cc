"""What operators are shown: status, queues, explanations, the report."""

from __future__ import annotations

import asyncio

import msgspec

from siskinroad.accounts import Accounts, OwnerSpan
from siskinroad.daemonview import DaemonView
from siskinroad.dispatch import blocked_reason
from siskinroad.owner import ShardOwner
from siskinroad.queues import Item
from siskinroad.shard import milliseconds

__all__ = [
    "DaemonStatus",
    "QueueLine",
    "Report",
    "ReportLine",
    "explain",
    "queue_of",
    "report_of",
    "status_of",
]


class ShardStatus(msgspec.Struct, frozen=True):
    """One shard of the data centre as this daemon sees it."""

    shard: str
    owner: str
    state: str
    epoch: int
    waiting: int
    running: int
    hosts: dict[str, int]


class DaemonStatus(msgspec.Struct, frozen=True):
    """One daemon and the shards of its data centre."""

    daemon: str
    data_centre: str
    state: str
    revision: int
    log: str
    reader: str
    members: list[str]
    admits: list[str]
    admitted_by: list[str]
    other_data_centres: list[str]
    shards: list[ShardStatus]


class QueueLine(msgspec.Struct, frozen=True):
    """One lane; times in seconds."""

    shard: str
    workload: str
    owner: str
    urgency: str
    waiting: int
    oldest: float
    expected_wait: float
    blocked: str


class ReportLine(msgspec.Struct, frozen=True):
    """One owner's part, in hours of processors, GiB and accelerators."""

    owner: str
    used: list[float]
    borrowed: list[float]
    lent: list[float]
    idle: list[float]


class Report(msgspec.Struct, frozen=True):
    """Use and idle cost by owner; the columns sum to the capacity exactly."""

    capacity: list[float]
    lines: list[ReportLine]
    exact: bool


def _now() -> float:
    return asyncio.get_running_loop().time()


def status_of(daemon: DaemonView) -> DaemonStatus:
    """Return a daemon's status."""
    now = _now()
    stopped = [s.stopped for s in daemon.feed.streams.values() if s.stopped]
    log = "up" if daemon.feed.reachable(now) else "unreachable"
    shards = [_shard_status(daemon, shard) for shard in sorted(daemon.ownership.shards)]
    return DaemonStatus(
        daemon.cfg.name,
        daemon.cfg.data_centre,
        daemon.state,
        daemon.configuration.revision,
        "; ".join(stopped) or log,
        daemon.members.reader(now),
        sorted(m.name for m in daemon.members.alive(now)),
        daemon.ownership.admits(),
        sorted(
            m.name for m in daemon.members.alive(now) if daemon.cfg.name in m.admits
        ),
        sorted(daemon.load_table.revisions),
        shards,
    )


def _shard_status(daemon: DaemonView, shard: str) -> ShardStatus:
    owner = daemon.shards.owners.get(shard)
    claim = daemon.ledger.claims.get(shard)
    holding = daemon.ownership.holdings.get(shard)
    held = claim is not None and not claim.released
    name = claim.daemon if claim is not None and held else ""
    hosts: dict[str, int] = {}
    if owner is None:
        return ShardStatus(shard, name, "elsewhere", 0, 0, 0, hosts)
    for view in owner.scheduler.shard.views():
        hosts[view.state] = hosts.get(view.state, 0) + 1
    return ShardStatus(
        shard,
        name,
        holding.state if holding else "idle",
        owner.epoch,
        len(owner.scheduler.shard.waiting),
        len(owner.scheduler.shard.running),
        hosts,
    )


def queue_of(daemon: DaemonView) -> list[QueueLine]:
    """Return the lanes in which work waits at this daemon."""
    lines = []
    for shard, owner in sorted(daemon.shards.owners.items()):
        for lane in owner.scheduler.shard.waiting.lanes.values():
            head = lane.head()
            if head is not None:
                lines.append(_queue_line(shard, owner, head))
    return lines


def _queue_line(shard: str, owner: ShardOwner, head: Item) -> QueueLine:
    now = _now()
    state = owner.scheduler.shard
    lane = state.waiting.lanes[head.workload.name]
    return QueueLine(
        shard,
        head.workload.name,
        head.workload.owner,
        head.workload.urgency.name.lower(),
        lane.live,
        round(now - head.enqueued, 3),
        round(lane.expected_wait(now), 3),
        blocked_reason(state, head) if lane.blocked else "",
    )


def explain(daemon: DaemonView, key: str) -> str:
    """Return in a sentence why a task waits, or where it runs or ran."""
    for owner in daemon.shards.owners.values():
        text = _explain_here(owner, key)
        if text:
            return text
    job, _, index = key.rpartition("/")
    state = daemon.ledger.jobs.get(job or key)
    if state is None:
        return f"{key} is not known in {daemon.cfg.data_centre}."
    shard = state.accepted.shard
    if index.isdecimal() and int(index) in state.ended:
        return f"{key} has ended: {state.ended[int(index)]}."
    claim = daemon.ledger.claims.get(shard)
    owner_name = claim.daemon if claim is not None else "nobody"
    return f"{key} belongs to shard {shard}, which {owner_name} owns; ask there."


def _explain_here(owner: ShardOwner, key: str) -> str:
    state = owner.scheduler.shard
    run = state.running.get(key)
    if run is not None:
        hosts = ", ".join(sorted(set(run.hosts.values())))
        seconds = _now() - run.started
        return f"{key} runs on {hosts} for {seconds:.1f} s, try {run.item.tries}."
    item = state.items.get(key)
    if item is None:
        return ""
    waited = _now() - item.enqueued
    if owner.scheduler.paused:
        why = "the daemon is not certain that it still owns the hosts"
    elif item.hold_until > 0:
        why = f"it failed and is tried again in {item.hold_until - _now():.1f} s"
    else:
        why = blocked_reason(state, item)
    return f"{key} has waited {waited:.1f} s: {why}."


def report_of(daemon: DaemonView) -> Report:
    """Return use and idle cost of the shards that this daemon owns."""
    totals: dict[str, OwnerSpan] = {}
    capacity = [0, 0, 0]
    for owner in daemon.shards.owners.values():
        accounts = owner.scheduler.shard.accounts
        accounts.settle(milliseconds(_now()))
        _add(accounts, totals, capacity)
    sums = [
        sum(x.used.values[d] + x.idle.values[d] for x in totals.values())
        for d in range(3)
    ]
    lines = [
        ReportLine(
            name,
            _hours(span.used.values),
            _hours(span.borrowed.values),
            _hours(span.lent.values),
            _hours(span.idle.values),
        )
        for name, span in sorted(totals.items())
    ]
    return Report(_hours(capacity), lines, sums == capacity)


def _add(accounts: Accounts, totals: dict[str, OwnerSpan], capacity: list[int]) -> None:
    for name, span in accounts.totals().items():
        totals.setdefault(name, OwnerSpan()).add(span)
    for amounts in accounts.capacity.values():
        for dim in range(3):
            capacity[dim] += amounts.values[dim]


def _hours(values: list[int]) -> list[float]:
    units = (3.6e9, 3.6e6 * 1024, 3.6e6)
    return [round(value / unit, 6) for value, unit in zip(values, units, strict=True)]
