"""Table of a pool's hosts and of the runs that occupy capacity on them.

Nothing here does I/O. Loop times are passed as ``now``, Unix times as ``wall``, both
in seconds.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

from siskinroad.work.effects import Effect, SettleHost, StopRun
from siskinroad.work.host import Host, Run
from siskinroad.work.job import Job, JobState, Task
from siskinroad.work.jobbook import JobBook
from siskinroad.work.model import HostEntry, TaskId

__all__ = ["RunBook", "label"]

# Number of host tokens reserved for each term. A term that raised a token more often
# would reach the tokens of the next term, and hosts could no longer fence it.
TOKENS_PER_TERM = 1 << 20
# Run numbers that a former owner may have used for one task without storing them.
# They are skipped after a takeover, so that no run number is used twice.
MAX_UNRECORDED_RUNS = 8

log = logging.getLogger("siskinroad.book")


class RunBook(JobBook):
    """Table of the hosts of one pool and their runs, on top of its jobs.

    Parameters
    ----------
    term : int
        The owner's term; the hosts' tokens are derived from it.

    Attributes
    ----------
    waiting_for_hosts : set of str
        Hosts on which a former owner may have started work.
    former_lapse_at : float
        Loop time by which every lease that a former owner granted has expired.
    """

    def __init__(self, pool: str, term: int) -> None:
        super().__init__(pool, term)
        self.hosts: dict[str, Host] = {}
        self.waiting_for_hosts: set[str] = set()
        self.former_lapse_at = 0.0

    # Stopping runs

    def cancel(self, job_id: str, now: float, wall: float) -> list[Effect]:
        """Cancel a job: waiting tasks never start, runs are stopped."""
        job = self.jobs.get(job_id)
        if job is None or job.closed:
            return []
        return self._close_job(job, JobState.CANCELLED, wall)

    def _close_job(self, job: Job, outcome: str, wall: float) -> list[Effect]:
        self._set_outcome(job, outcome, wall)
        for step in job.steps.values():
            for task in step.tasks:
                if task.allows("abandon"):
                    task.move("abandon")
        return self._stop_runs(job.id, f"job {outcome}")

    def _stop_runs(self, job_id: str, reason: str) -> list[Effect]:
        effects: list[Effect] = []
        for host in self.hosts.values():
            for run in list(host.runs.values()):
                if run.key[0].job == job_id:
                    effects += self.stop(host, run, reason)
        return effects

    def stop(self, host: Host, run: Run, reason: str) -> list[Effect]:
        """Stop a run; its capacity stays occupied until the host lists its end."""
        if run.state in ("stopping", "withdrawn"):
            return []
        run.move("stop")
        return [StopRun(host.name, run, reason)]

    def copy(self, host: Host, run: Run, why: str, now: float) -> bool:
        """Allow a speculative copy of a task while its run continues.

        Return False if the step allows no copies or the task already has one.
        """
        step = self.step(run.key[0])
        task = self.task(run.key[0])
        if step is None or task is None or not step.spec.copies or task.older:
            return False
        if task.run != run.key[1] or not task.allows("free"):
            return False
        task.older = host.name
        task.move("free")
        log.info(
            "book: task may be placed again as a speculative copy",
            extra={
                "request": task.id.job,
                "task": label(task.id),
                "run": run.key[1],
                "host": host.name,
                "why": why,
                "progress": run.progress,
                "report_age_s": round(now - host.reported_at, 2),
            },
        )
        return True

    def _stop_copies(self, task: Task) -> list[Effect]:
        """Stop the remaining runs of a task that is done."""
        effects: list[Effect] = []
        for host in self.hosts.values():
            for run in list(host.runs.values()):
                if run.key[0] == task.id:
                    effects += self.stop(host, run, "another copy has finished")
        return effects

    # Hosts

    def host_listed(self, entry: HostEntry, now: float = 0.0) -> None:
        """Add or update a host from its entry in the live list."""
        host = self.hosts.get(entry.name)
        if host is None:
            host = Host(entry, self.term * TOKENS_PER_TERM)
            self.hosts[entry.name] = host
        if entry.draining and host.leaves_at == float("inf"):
            host.leaves_at = now + entry.stays
            log.info(
                "book: host is draining",
                extra={"host": entry.name, "stays_s": entry.stays},
            )
        host.entry = entry
        host.unlisted_at = 0.0

    def host_unlisted(self, name: str, now: float) -> None:
        """Note that a host has left the live list; its runs may continue."""
        host = self.hosts.get(name)
        if host is None or host.unlisted_at:
            return
        host.unlisted_at = now
        log.info(
            "book: host is no longer in the live list",
            extra={"host": name, "silent_s": round(now - host.reported_at, 2)},
        )

    def expect_hosts(self, names: Iterable[str], lapse_at: float) -> None:
        """Set the hosts that a former owner used, and when their leases expire."""
        self.waiting_for_hosts = set(names)
        for host in self.hosts.values():
            host.lapse_at = max(host.lapse_at, lapse_at)
        self.former_lapse_at = lapse_at

    def former_gone(self, lapse_at: float) -> None:
        """Shorten the wait for silent hosts, as the former owner is dead."""
        self.former_lapse_at = min(self.former_lapse_at, lapse_at)

    def settle_tasks(self, now: float) -> bool:
        """Make unsettled tasks placeable once no unknown run of theirs can exist.

        This is so when every host of the former owner has replied under this term,
        or when every lease of the former owner has expired. Return whether the
        tasks were settled by this call.
        """
        if self.settled:
            return False
        unsettled_hosts = [n for n in self.waiting_for_hosts if not self._is_settled(n)]
        if unsettled_hosts and now < self.former_lapse_at:
            return False
        self.settled = True
        count = 0
        for job in self.jobs.values():
            for step in job.steps.values():
                for task in step.tasks:
                    if task.state == "unsettled":
                        task.run += MAX_UNRECORDED_RUNS
                        task.move("settle")
                        count += 1
        log.info(
            "book: runs of former owners are reconciled; unsettled tasks may be placed",
            extra={
                "tasks": count,
                "silent_hosts": len(unsettled_hosts),
                "term": self.term,
            },
        )
        return True

    def _is_settled(self, name: str) -> bool:
        host = self.hosts.get(name)
        return host is not None and host.settled

    def raise_token(self, host: Host) -> Effect:
        """Raise a host's token, which voids every start still in flight to it."""
        host.token += 1
        return SettleHost(host.name)

    def host_replaced(self, host: Host, now: float) -> list[Effect]:
        """End all runs of a host whose address now serves another incarnation."""
        effects: list[Effect] = []
        for run in list(host.runs.values()):
            run.move("lapse")
            effects += self._end_run(host, run, "host replaced", now)
        self.hosts.pop(host.name, None)
        self.waiting_for_hosts.discard(host.name)
        return effects

    def lapse_silent(self, now: float) -> list[Effect]:
        """End the runs of silent hosts on which every lease has expired."""
        effects: list[Effect] = []
        for host in list(self.hosts.values()):
            if now < host.lapse_at or now < self._former_lease_end(host):
                continue
            if host.runs:
                log.warning(
                    "book: leases of a silent host have expired; its runs are ended",
                    extra={
                        "host": host.name,
                        "runs": len(host.runs),
                        "silent_s": round(now - host.reported_at, 2),
                    },
                )
            for run in list(host.runs.values()):
                run.move("lapse")
                effects += self._end_run(host, run, "lapsed", now)
            if host.unlisted_at:
                del self.hosts[host.name]
        return effects

    def _former_lease_end(self, host: Host) -> float:
        return 0.0 if host.settled else self.former_lapse_at

    # Starts and ends of runs

    def _mark_begun(self, host: Host, run: Run, now: float) -> None:
        if not run.begun_at:
            run.begun_at = now
        job = self.jobs.get(run.key[0].job)
        if job is not None:
            job.started = True

    def _remove_run(self, host: Host, run: Run) -> None:
        host.drop(run)
        step = self.step(run.key[0])
        if step is not None and step.by_host.get(host.name):
            step.by_host[host.name] -= 1
        task = self.task(run.key[0])
        if task is not None and task.older == host.name:
            task.older = ""

    def _end_run(self, host: Host, run: Run, why: str, now: float) -> list[Effect]:
        """End a run whose end no host has listed; its task may be placed again."""
        self._remove_run(host, run)
        task = self.task(run.key[0])
        if task is None or task.run != run.key[1]:
            return []
        if task.allows("free"):
            task.move("free")
        log.info(
            "book: run ended without a listed end",
            extra={
                "request": run.key[0].job,
                "task": label(run.key[0]),
                "run": run.key[1],
                "host": host.name,
                "why": why,
            },
        )
        return self._stop_gang(task, run)

    def _stop_gang(self, task: Task, run: Run) -> list[Effect]:
        """Stop the other members of a gang after one of its runs was lost."""
        step = self.step(task.id)
        if step is None or not step.spec.gang:
            return []
        effects: list[Effect] = []
        for host in self.hosts.values():
            for other in list(host.runs.values()):
                if other.step == step.key and other.key[1] == run.key[1]:
                    effects += self.stop(host, other, "gang lost a member")
        return effects


def label(key: TaskId) -> str:
    """Return a task's position in its job as ``occurrence.step.index``, for logs."""
    return f"{key.occurrence}.{key.step}.{key.index}"
