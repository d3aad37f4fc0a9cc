"""Views for operators: status, queues, explanations of tasks and the usage report."""

from __future__ import annotations

import asyncio

import msgspec

from siskinroad.accounts import Accounts, OwnerSpan
from siskinroad.daemon_context import DaemonContext
from siskinroad.owner import ShardOwner
from siskinroad.queues import Item
from siskinroad.shard import milliseconds

__all__ = [
    "DaemonStatus",
    "QueueLine",
    "Report",
    "ReportLine",
    "build_report",
    "build_status",
    "explain",
    "explain_at_owner",
    "list_queue",
]


class ShardStatus(msgspec.Struct, frozen=True):
    """State of one shard of the data centre, as known to this daemon.

    ``hosts`` has the number of hosts in each state.
    """

    shard: str
    owner: str
    state: str
    epoch: int
    waiting: int
    running: int
    hosts: dict[str, int]


class DaemonStatus(msgspec.Struct, frozen=True):
    """State of one daemon and of the shards of its data centre.

    ``log`` is ``up``, ``unreachable`` or why reading has stopped.
    """

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
    """Queue of one workload at one shard; times in seconds."""

    shard: str
    workload: str
    owner: str
    urgency: str
    waiting: int
    oldest: float
    expected_wait: float
    blocked: str


class ReportLine(msgspec.Struct, frozen=True):
    """Usage of one owner in processor hours, GiB hours and accelerator hours."""

    owner: str
    used: list[float]
    borrowed: list[float]
    lent: list[float]
    idle: list[float]


class Report(msgspec.Struct, frozen=True):
    """Used and idle capacity by owner.

    ``exact`` says whether used and idle sum exactly to the capacity.
    """

    capacity: list[float]
    lines: list[ReportLine]
    exact: bool


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


def build_status(daemon: DaemonContext) -> DaemonStatus:
    """Return the status of a daemon."""
    now = _loop_time()
    stop_reasons = [
        s.stop_reason for s in daemon.log_reader.streams.values() if s.stop_reason
    ]
    log = "up" if daemon.log_reader.is_reachable(now) else "unreachable"
    shards = [_shard_status(daemon, shard) for shard in sorted(daemon.ownership.shards)]
    return DaemonStatus(
        daemon.cfg.name,
        daemon.cfg.data_centre,
        daemon.state,
        daemon.configuration.revision,
        "; ".join(stop_reasons) or log,
        daemon.members.log_reader_name(now),
        sorted(m.name for m in daemon.members.alive_members(now)),
        daemon.ownership.required_peers(),
        sorted(
            m.name
            for m in daemon.members.alive_members(now)
            if daemon.cfg.name in m.admits
        ),
        sorted(daemon.load_table.revisions),
        shards,
    )


def _shard_status(daemon: DaemonContext, shard: str) -> ShardStatus:
    owner = daemon.shards.owners.get(shard)
    claim = daemon.ledger.claims.get(shard)
    shard_claim = daemon.ownership.shard_claims.get(shard)
    is_held = claim is not None and not claim.released
    name = claim.daemon if claim is not None and is_held else ""
    hosts: dict[str, int] = {}
    if owner is None:
        return ShardStatus(shard, name, "elsewhere", 0, 0, 0, hosts)
    for view in owner.scheduler.shard.views():
        hosts[view.state] = hosts.get(view.state, 0) + 1
    return ShardStatus(
        shard,
        name,
        shard_claim.state if shard_claim else "idle",
        owner.epoch,
        len(owner.scheduler.shard.waiting),
        len(owner.scheduler.shard.running),
        hosts,
    )


def list_queue(daemon: DaemonContext) -> list[QueueLine]:
    """Return the workloads that have waiting work at this daemon's shards."""
    lines = []
    for shard, owner in sorted(daemon.shards.owners.items()):
        for lane in owner.scheduler.shard.waiting.lanes.values():
            head = lane.head()
            if head is not None:
                lines.append(_queue_line(shard, owner, head))
    return lines


def _queue_line(shard: str, owner: ShardOwner, head: Item) -> QueueLine:
    now = _loop_time()
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
        owner.waits.find_cause(head).text if lane.is_blocked else "",
    )


def explain(daemon: DaemonContext, key: str) -> str:
    """Explain in one sentence why a task waits, where it runs or how it ended.

    Parameters
    ----------
    key : str
        Key of a request, or ``JOB/INDEX`` of a task.
    """
    for owner in daemon.shards.owners.values():
        text = explain_at_owner(owner, key)
        if text:
            return text
    job, _, index = key.rpartition("/")
    state = daemon.ledger.jobs.get(job or key)
    if state is None:
        return f"{key} is unknown in {daemon.cfg.data_centre}."
    shard = state.accepted.shard
    if index.isdecimal() and int(index) in state.ended:
        return f"{key} has ended: {state.ended[int(index)]}."
    claim = daemon.ledger.claims.get(shard)
    owner_name = claim.daemon if claim is not None else "nobody"
    return f"{key} belongs to shard {shard}, which {owner_name} owns; ask there."


def explain_at_owner(owner: ShardOwner, key: str) -> str:
    """Explain where a task of one owner is; empty if the owner does not have it."""
    state = owner.scheduler.shard
    run = state.running.get(key)
    if run is not None:
        hosts = ", ".join(sorted(set(run.hosts.values())))
        seconds = _loop_time() - run.started
        return (
            f"{key} has run on {hosts} for {seconds:.1f} s, attempt {run.item.tries}."
        )
    item = state.items.get(key)
    if item is None and owner.tasks.is_deferred(key):
        waited = owner.tasks.deferred_for()
        return (
            f"{key} has waited {waited:.1f} s: after the takeover of the shard, the "
            "log has to be read, and silent hosts have to answer or their task leases "
            "to expire."
        )
    if item is None:
        return ""
    waited = _loop_time() - item.waiting_since
    text = owner.waits.find_cause(item).text
    return f"{key} has waited {waited:.1f} s: {text}."


def build_report(daemon: DaemonContext) -> Report:
    """Return used and idle capacity of the shards that this daemon owns."""
    totals: dict[str, OwnerSpan] = {}
    capacity = [0, 0, 0]
    for owner in daemon.shards.owners.values():
        accounts = owner.scheduler.shard.accounts
        accounts.apportion_span(milliseconds(_loop_time()))
        _add_accounts(accounts, totals, capacity)
    sums = [
        sum(x.used.values[dim] + x.idle.values[dim] for x in totals.values())
        for dim in range(3)
    ]
    lines = [
        ReportLine(
            name,
            _to_hours(span.used.values),
            _to_hours(span.borrowed.values),
            _to_hours(span.lent.values),
            _to_hours(span.idle.values),
        )
        for name, span in sorted(totals.items())
    ]
    return Report(_to_hours(capacity), lines, sums == capacity)


def _add_accounts(
    accounts: Accounts, totals: dict[str, OwnerSpan], capacity: list[int]
) -> None:
    for name, span in accounts.totals().items():
        totals.setdefault(name, OwnerSpan()).add(span)
    for amounts in accounts.capacity.values():
        for dim in range(3):
            capacity[dim] += amounts.values[dim]


def _to_hours(values: list[int]) -> list[float]:
    units = (3.6e9, 3.6e6 * 1024, 3.6e6)
    return [round(value / unit, 6) for value, unit in zip(values, units, strict=True)]
