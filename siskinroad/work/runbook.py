"""An owner's knowledge of its pool's hosts, and of the runs that hold room there.

Nothing here does I/O. Loop times are passed as ``now``, Unix times as ``wall``.
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

# Tokens of one term; a term lasts far fewer changes of token.
TOKENS_OF_A_TERM = 1 << 20
# Runs that a former owner may have used for one task without a record.
UNRECORDED_RUNS = 8

log = logging.getLogger("siskinroad.book")


class RunBook(JobBook):
    """Hosts of one pool and what runs on them, beside its jobs.

    Parameters
    ----------
    term : int
        The owner's term; it makes the hosts' tokens.

    Attributes
    ----------
    waiting_for_hosts : set of str
        Hosts on which a former owner may have started work.
    former_lapse_at : float
        Loop time at which every lease of a former owner has lapsed.
    """

    def __init__(self, pool: str, term: int) -> None:
        super().__init__(pool, term)
        self.hosts: dict[str, Host] = {}
        self.waiting_for_hosts: set[str] = set()
        self.former_lapse_at = 0.0

    # Runs that are given up

    def cancel(self, job_id: str, now: float, wall: float) -> list[Effect]:
        """Cancel a job: what waits never starts, what runs is stopped."""
        job = self.jobs.get(job_id)
        if job is None or job.closed:
            return []
        return self._close(job, JobState.CANCELLED, wall)

    def _close(self, job: Job, outcome: str, wall: float) -> list[Effect]:
        self._finish(job, outcome, wall)
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
        """Order the stop of a run; its room stays taken until the end is listed."""
        if run.state in ("stopping", "withdrawn"):
            return []
        run.move("stop")
        return [StopRun(host.name, run, reason)]

    def copy(self, host: Host, run: Run, why: str, now: float) -> bool:
        """Let a task be placed once more while its run goes on.

        Only steps that allow copies, and one more copy of a task.
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
            "book: task is copied",
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
        """Stop what still runs of a task that is done."""
        effects: list[Effect] = []
        for host in self.hosts.values():
            for run in list(host.runs.values()):
                if run.key[0] == task.id:
                    effects += self.stop(host, run, "another copy is done")
        return effects

    # Hosts

    def host_listed(self, entry: HostEntry, now: float = 0.0) -> None:
        """Take in an entry of the live list."""
        host = self.hosts.get(entry.name)
        if host is None:
            host = Host(entry, self.term * TOKENS_OF_A_TERM)
            self.hosts[entry.name] = host
        if entry.draining and host.leaves_at == float("inf"):
            host.leaves_at = now + entry.stays
            log.info(
                "book: host drains",
                extra={"host": entry.name, "stays_s": entry.stays},
            )
        host.entry = entry
        host.unlisted_at = 0.0

    def host_unlisted(self, name: str, now: float) -> None:
        """Note that the live list has lost a host; it may run on for a while."""
        host = self.hosts.get(name)
        if host is None or host.unlisted_at:
            return
        host.unlisted_at = now
        log.info(
            "book: host is not listed any more",
            extra={"host": name, "silent_s": round(now - host.reported_at, 2)},
        )

    def expect_hosts(self, names: Iterable[str], lapse_at: float) -> None:
        """Name the hosts that a former owner used, and when their leases lapse."""
        self.waiting_for_hosts = set(names)
        for host in self.hosts.values():
            host.lapse_at = max(host.lapse_at, lapse_at)
        self.former_lapse_at = lapse_at

    def former_gone(self, lapse_at: float) -> None:
        """Shorten the wait for silent hosts: the former owner is dead."""
        self.former_lapse_at = min(self.former_lapse_at, lapse_at)

    def settle_tasks(self, now: float) -> bool:
        """Release unsettled tasks once no former run can be anywhere else."""
        if self.settled:
            return False
        open_ = [n for n in self.waiting_for_hosts if not self._is_settled(n)]
        if open_ and now < self.former_lapse_at:
            return False
        self.settled = True
        count = 0
        for job in self.jobs.values():
            for step in job.steps.values():
                for task in step.tasks:
                    if task.state == "unsettled":
                        task.run += UNRECORDED_RUNS
                        task.move("settle")
                        count += 1
        log.info(
            "book: former runs are accounted for",
            extra={"tasks": count, "silent_hosts": len(open_), "term": self.term},
        )
        return True

    def _is_settled(self, name: str) -> bool:
        host = self.hosts.get(name)
        return host is not None and host.settled

    def raise_token(self, host: Host) -> Effect:
        """Raise a host's token, which voids every older start on its way."""
        host.token += 1
        return SettleHost(host.name)

    def host_replaced(self, host: Host, now: float) -> list[Effect]:
        """Another life answers at the host's address: all that ran there is over."""
        effects: list[Effect] = []
        for run in list(host.runs.values()):
            run.move("lapse")
            effects += self._over(host, run, "host replaced", now)
        self.hosts.pop(host.name, None)
        self.waiting_for_hosts.discard(host.name)
        return effects

    def lapse_silent(self, now: float) -> list[Effect]:
        """Take the runs of hosts as over whose leases have surely lapsed."""
        effects: list[Effect] = []
        for host in list(self.hosts.values()):
            if now < host.lapse_at or now < self._former_bound(host):
                continue
            if host.runs:
                log.warning(
                    "book: leases of a silent host have lapsed",
                    extra={
                        "host": host.name,
                        "runs": len(host.runs),
                        "silent_s": round(now - host.reported_at, 2),
                    },
                )
            for run in list(host.runs.values()):
                run.move("lapse")
                effects += self._over(host, run, "lapsed", now)
            if host.unlisted_at:
                del self.hosts[host.name]
        return effects

    def _former_bound(self, host: Host) -> float:
        return 0.0 if host.settled else self.former_lapse_at

    # Begins and ends of runs

    def _begun(self, host: Host, run: Run, now: float) -> None:
        if not run.begun_at:
            run.begun_at = now
        job = self.jobs.get(run.key[0].job)
        if job is not None:
            job.started = True

    def _release(self, host: Host, run: Run) -> None:
        host.drop(run)
        step = self.step(run.key[0])
        if step is not None and step.by_host.get(host.name):
            step.by_host[host.name] -= 1
        task = self.task(run.key[0])
        if task is not None and task.older == host.name:
            task.older = ""

    def _over(self, host: Host, run: Run, why: str, now: float) -> list[Effect]:
        """End a run without a listed end: its task may be placed again."""
        self._release(host, run)
        task = self.task(run.key[0])
        if task is None or task.run != run.key[1]:
            return []
        if task.allows("free"):
            task.move("free")
        log.info(
            "book: run is void",
            extra={
                "request": run.key[0].job,
                "task": label(run.key[0]),
                "run": run.key[1],
                "host": host.name,
                "why": why,
            },
        )
        return self._break_gang(task, run)

    def _break_gang(self, task: Task, run: Run) -> list[Effect]:
        """Stop the members of a gang that has lost one."""
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
    """Return a task's place in its job, for logs."""
    return f"{key.occurrence}.{key.step}.{key.index}"
