"""The records of a job's progress, each within the length that the store takes."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from siskinroad.work.records import Progress, progress_key, record_of
from siskinroad.work.store import MAX_RECORD_BYTES, Record

__all__ = ["PartedProgress", "make_progress_records"]


def make_progress_records(progress: Progress) -> list[Record]:
    """Return the records of a job's progress; all of them are stored by one append.

    Most jobs have one. The notes of a longer one are divided among several, of which a
    reader uses as many as the first one says.
    """
    record = record_of(progress)
    if len(record.value) <= MAX_RECORD_BYTES or len(progress.notes) < 2:
        return [record]
    # Half of the limit on average, as some notes are longer than others.
    count = min(len(progress.notes), 2 * len(record.value) // MAX_RECORD_BYTES + 1)
    while True:
        records = _divide(progress, count)
        longest = max(len(each.value) for each in records)
        if longest <= MAX_RECORD_BYTES or count == len(progress.notes):
            return records
        count = min(len(progress.notes), 2 * count)


def _divide(progress: Progress, count: int) -> list[Record]:
    notes = progress.notes
    bounds = [len(notes) * i // count for i in range(count + 1)]
    return [
        record_of(
            msgspec.structs.replace(
                progress,
                notes=notes[bounds[i] : bounds[i + 1]],
                done=progress.done if i == 0 else (),
                part=i,
                parts=count,
            )
        )
        for i in range(count)
    ]


class PartedProgress:
    """The progress of jobs as it is read from the store, part by part.

    No time grows with a number that a record names, as it may be of another writer.
    """

    def __init__(self) -> None:
        self._parts: dict[str, Progress] = {}
        self._further_numbers: dict[str, set[int]] = {}

    def add(self, progress: Progress) -> None:
        """Add one part; a later one replaces it."""
        job, part = progress.job, progress.part
        self._parts[progress_key(job, part)] = progress
        if part:
            self._further_numbers.setdefault(job, set()).add(part)

    def remove(self, key: str) -> None:
        """Remove one part."""
        self._parts.pop(key, None)

    def join(self, first: Progress) -> Progress:
        """Return a job's whole progress, given its first part.

        Further parts than the first one names are of an earlier time. Those that it
        names and that are not there are left out.
        """
        if first.parts == 1:
            return first
        notes = list(first.notes)
        for part in self._list_named(first):
            notes += part.notes
        return msgspec.structs.replace(first, notes=tuple(notes), parts=1)

    def _list_named(self, first: Progress) -> list[Progress]:
        """Return the further parts that the first one names, in order."""
        numbers = sorted(self._further_numbers.get(first.job, ()))
        keys = [progress_key(first.job, i) for i in numbers if i < first.parts]
        return [self._parts[key] for key in keys if key in self._parts]

    def list_firsts(self) -> Iterable[Progress]:
        """Return the first part of each job's progress."""
        return (part for part in self._parts.values() if part.part == 0)

    def list_incomplete(self) -> list[tuple[Progress, int]]:
        """Return the first parts that name parts which are not there.

        Each is returned with the number of parts that there are of those.
        """
        divided = [first for first in self.list_firsts() if first.parts != 1]
        counted = [(first, 1 + len(self._list_named(first))) for first in divided]
        return [(first, found) for first, found in counted if found != first.parts]

    def count_parts(self, job: str) -> int:
        """Return how many parts of a job's progress the store may have.

        A part behind a gap is of another writer, and does not count.
        """
        numbers = self._further_numbers.get(job, ())
        count = 1
        while count in numbers:
            count += 1
        return count

    def list_keys(self, job: str) -> list[str]:
        """Return the keys of all parts of a job's progress that were read."""
        numbers = sorted(self._further_numbers.get(job, ()))
        return [progress_key(job, i) for i in (0, *numbers)]
