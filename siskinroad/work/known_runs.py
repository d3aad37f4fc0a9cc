"""Runs that an owner knows as it stops, for the next owner of its pool."""

from __future__ import annotations

from siskinroad.work.host import Host
from siskinroad.work.pool_state import PoolState
from siskinroad.work.progress import ProgressLog
from siskinroad.work.records import KnownRuns

__all__ = ["list_known_runs"]

# Largest numbers of runs and of jobs that are told, so that one record holds them.
MAX_TOLD_RUNS = 4_000
MAX_TOLD_JOBS = 2_000


def list_known_runs(pool_state: PoolState, progress: ProgressLog) -> KnownRuns | None:
    """Return the runs that may go on once all calls to hosts have ended.

    None if there are too many, or if runs of earlier owners may be unknown.
    """
    if not pool_state.is_settled:
        return None
    hosts = [host for host in pool_state.hosts.values() if host.runs]
    unstored = sorted(progress.list_unstored_jobs())
    run_count = sum(len(host.runs) for host in hosts)
    if run_count > MAX_TOLD_RUNS or len(unstored) > MAX_TOLD_JOBS:
        return None
    return KnownRuns(
        tuple((host.name, _list_tasks(host)) for host in hosts), tuple(unstored)
    )


def _list_tasks(host: Host) -> tuple[tuple[str, int, int, int], ...]:
    tasks = (task for task, _ in host.runs)
    return tuple((t.job, t.occurrence, t.step, t.index) for t in tasks)
