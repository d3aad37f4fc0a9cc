"""Closings of queues in a pool: the jobs of a queue that a pool still takes.

A queue that is sent to another pool is closed in its former one before the first job is
accepted there. The order of the records in the former pool's topic then decides: a job
that is stored behind the closing, by an older assignment, is not accepted, whoever
wrote it and whenever the store carried that out. Nothing here does I/O.

A closing is complete once its pool's owner has stored the progress of all jobs of the
queue that it has, and then the closing beside them. From then on only these jobs are
accepted ones: the record of one may be replaced by a late repetition, so that its
offset no longer shows that it came before the closing.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass

from siskinroad.work.records import Accepted, QueueClosed

__all__ = ["QueueClosings", "is_assigned_before"]


def is_assigned_before(accepted: Accepted, version: int) -> bool:
    """Return whether a job was stored by an older assignment than that of a version.

    Daemons of earlier versions of this program store jobs without naming one, and have
    told their callers by then that they are accepted.
    """
    return 0 <= accepted.assigned < version


@dataclass(slots=True, frozen=True)
class LateJob:
    """A job that was read behind a closing of its queue.

    Attributes
    ----------
    assigned : int
        Version of the assignment by which it was stored.
    read_at : float
        Loop time.
    """

    queue: str
    assigned: int
    read_at: float


class QueueClosings:
    """The closings of queues in one pool, by the queues' names.

    Attributes
    ----------
    noted : dict of str to int
        Newest version of each closing in the pool's topic of jobs.
    complete : dict of str to int
        Newest version of each closing that is complete.
    late_jobs : dict of str to LateJob
        The jobs that came behind a closing, by id.
    """

    def __init__(self) -> None:
        self.noted: dict[str, int] = {}
        self.complete: dict[str, int] = {}
        self.late_jobs: dict[str, LateJob] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no queue was ever closed in this pool."""
        return not self.noted and not self.complete

    def note(self, queue: str, version: int) -> None:
        """Note a closing that was read in the topic of jobs."""
        self.noted[queue] = max(version, self.noted.get(queue, 0))

    def complete_closing(self, closed: QueueClosed) -> None:
        """Note a closing that is complete."""
        queue, version = closed.queue, closed.version
        self.complete[queue] = max(version, self.complete.get(queue, 0))

    def list_incomplete(self, queues: Iterable[str], version: int) -> list[str]:
        """Return the queues of which no closing of a version is complete."""
        return [each for each in queues if self.complete.get(each, 0) < version]

    def list_unnoted(self, queues: Iterable[str], version: int) -> list[str]:
        """Return the queues whose closing is not in the topic of jobs yet."""
        return [each for each in queues if self.noted.get(each, 0) < version]

    def find_closing(self, accepted: Accepted, noted: dict[str, int]) -> int:
        """Return the version that closed a job's queue before its record, or 0.

        Parameters
        ----------
        noted : dict of str to int
            Newest version of each closing that was read, with all records before it,
            before the job's record was.
        """
        if self.is_empty:
            return 0
        queue = accepted.queue
        version = max(noted.get(queue, 0), self.complete.get(queue, 0))
        return version if is_assigned_before(accepted, version) else 0

    def is_excluded(self, accepted: Accepted, known: Container[str]) -> bool:
        """Return whether a stored job is certainly not an accepted one.

        Parameters
        ----------
        known : container of str
            The jobs that have stored progress.
        """
        if not self.complete or accepted.job in known:
            return False
        return is_assigned_before(accepted, self.complete.get(accepted.queue, 0))

    def note_late_job(self, accepted: Accepted, now: float) -> None:
        """Note a job that came behind a closing."""
        late = LateJob(accepted.queue, accepted.assigned, now)
        self.late_jobs[accepted.job] = late

    def is_open_question(self, job: str) -> bool:
        """Return whether a successor may still count a late job as an accepted one."""
        late = self.late_jobs.get(job)
        if late is None:
            return False
        return self.complete.get(late.queue, 0) <= late.assigned
