"""Check whether a job that was stored came behind a closing of its queue.

A caller is told that its job is accepted only once that is known. The pool's owner
knows it by the records that it has read; any other daemon asks the store.
"""

from __future__ import annotations

from collections.abc import Mapping

from siskinroad.errors import SiskinroadError
from siskinroad.work.closing_reader import ClosingReader
from siskinroad.work.owner import PoolOwner
from siskinroad.work.queue_closings import is_assigned_before
from siskinroad.work.records import Accepted, decode_stored
from siskinroad.work.store import Record, StoreUnavailableError

__all__ = ["AppendCheck"]


class AppendCheck:
    """The check of records that were appended to the pools' topics of jobs.

    Parameters
    ----------
    owners : dict of str to PoolOwner
        The pools that this daemon owns.
    """

    def __init__(
        self, owners: Mapping[str, PoolOwner], closing_reader: ClosingReader
    ) -> None:
        self._owners = owners
        self._closing_reader = closing_reader

    async def find_closing(
        self, pool: str, record: Record, offset: int | None = None
    ) -> int:
        """Return the version that closed a job's queue, maybe before its record, or 0.

        Parameters
        ----------
        offset : int, optional
            Offset of the record; by default it is unknown.

        Raises
        ------
        SiskinroadError
            The store has not answered, or not by what it has now.
        """
        owner = self._owners.get(pool)
        has_read = (
            owner is not None
            and offset is not None
            and owner.follower.next_offset > offset
        )
        if owner is not None and has_read and owner.closings.is_empty:
            return 0
        accepted = _decode_job(record)
        if accepted is None:
            return 0
        if owner is not None and has_read:
            # The job may have been accepted before, and this be a repetition.
            is_known = accepted.job in owner.pool_state.jobs
            noted = owner.closings.noted
            return 0 if is_known else owner.closings.find_closing(accepted, noted)
        closings = await self._closing_reader.read(pool)
        if offset is not None and closings.end <= offset:
            raise StoreUnavailableError(
                f"stale reply: the topic ends at {closings.end}, "
                f"the job has offset {offset}",
                step="append_check",
            )
        version = closings.versions.get(accepted.queue, 0)
        return version if is_assigned_before(accepted, version) else 0


def _decode_job(record: Record) -> Accepted | None:
    try:
        stored = decode_stored(record.value)
    except SiskinroadError:
        return None
    return stored if isinstance(stored, Accepted) else None
