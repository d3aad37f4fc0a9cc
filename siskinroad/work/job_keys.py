"""Keys of the jobs of moved queues in a pool's topic, where these are not their ids."""

from __future__ import annotations

from siskinroad.work.records import job_of_key

__all__ = ["JobKeys"]


class JobKeys:
    """The keys that have been read, until their jobs are forgotten."""

    def __init__(self) -> None:
        self._keys: dict[str, set[str]] = {}

    def note(self, key: str) -> None:
        """Note the key of a job's record."""
        job = job_of_key(key)
        if key != job:
            self._keys.setdefault(job, set()).add(key)

    def list_keys(self, job: str) -> list[str]:
        """Return all keys under which a job may be in the store."""
        return [job, *sorted(self._keys.get(job, ()))]

    def forget(self, job: str) -> None:
        """Forget the keys of a job that the store has no more."""
        self._keys.pop(job, None)
