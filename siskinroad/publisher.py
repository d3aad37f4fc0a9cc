"""Publication of cell files through the platform's log.

Of several files appended as the same revision, the first one in the log wins.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

import msgspec

from siskinroad.cell import digest, parse_cell
from siskinroad.configuration import Configuration
from siskinroad.errors import ConflictError, PlatformError
from siskinroad.load_reports import LoadTable
from siskinroad.membership import Membership
from siskinroad.records import Record

__all__ = ["ApplyResult", "Publisher"]

# Seconds to wait until the log confirms the append. After that the operator is told
# that the outcome is unknown, so a smaller value reports this for slow appends.
APPEND_TIMEOUT = 8.0
# Seconds to wait until every daemon and data centre runs the revision. Those that lag
# are returned in ``not_yet``; a larger value delays the reply while one is unreachable.
IN_FORCE_TIMEOUT = 10.0
# Seconds between two checks of the revisions that others run.
POLL_INTERVAL = 0.1


class ApplyResult(msgspec.Struct, frozen=True):
    """Result of applying a cell file.

    Attributes
    ----------
    revision : int
        The revision that carries the file.
    changed : bool
        False if the file was in force before.
    in_force, not_yet : list of str
        Daemons of this data centre and names of other data centres that run the
        revision, and those that do not yet.
    """

    revision: int
    changed: bool
    in_force: list[str]
    not_yet: list[str]


class Publisher:
    """Publisher of cell files for one daemon.

    Parameters
    ----------
    name : str
        This daemon.
    append : callable
        Appends a record to the cell's stream within a number of seconds; returns a
        future of its offset.
    wait_applied : callable
        Waits until this daemon has applied the record at an offset; raises
        ``TimeoutError``.
    """

    def __init__(
        self,
        name: str,
        configuration: Configuration,
        members: Membership,
        loads: LoadTable,
        append: Callable[[Record, float], asyncio.Future[int]],
        wait_applied: Callable[[int], Awaitable[None]],
    ) -> None:
        self.name = name
        self.configuration = configuration
        self.members = members
        self.loads = loads
        self.append = append
        self.wait_applied = wait_applied

    async def apply(
        self, text: str, expected_revision: int | None, wait: bool = True
    ) -> ApplyResult:
        """Put a cell file in force.

        The call is idempotent: it may be repeated if its reply was lost.

        Parameters
        ----------
        expected_revision : int or None
            The revision that the file is meant to replace; None for any.
        wait : bool
            Whether to wait until the revision is in force everywhere, for at most
            ``IN_FORCE_TIMEOUT`` seconds.

        Raises
        ------
        ConfigError
            If the file is not valid; nothing is changed.
        ConflictError
            If the expected revision is not in force, or another file won.
        PlatformError
            If it is unknown whether the file is in force.
        """
        cell = parse_cell(text)
        config = self.configuration
        key = _request_key(text, expected_revision)
        if digest(text) == digest(config.text) or config.was_applied(key):
            return await self._wait_in_force(config.revision, False, wait)
        if expected_revision is not None and expected_revision != config.revision:
            raise _conflict_error(config.revision)
        config.check_no_host_moves(cell)
        base = config.revision
        offset = await self.append(config.make_revision(text, key), APPEND_TIMEOUT)
        try:
            await self.wait_applied(offset)
        except TimeoutError:
            raise PlatformError(
                "cell file appended to the log, but not read back in time", step="apply"
            ) from None
        if not config.was_applied(key):
            raise _conflict_error(config.revision)
        return await self._wait_in_force(base + 1, True, wait)

    async def _wait_in_force(
        self, revision: int, changed: bool, wait: bool
    ) -> ApplyResult:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + (IN_FORCE_TIMEOUT if wait else 0.0)
        while True:
            current, behind = self._split_by_revision(revision, loop.time())
            if not behind or loop.time() >= deadline:
                return ApplyResult(revision, changed, sorted(current), sorted(behind))
            await asyncio.sleep(POLL_INTERVAL)

    def _split_by_revision(
        self, revision: int, now: float
    ) -> tuple[list[str], list[str]]:
        seen_revisions = {m.name: m.revision for m in self.members.alive_members(now)}
        seen_revisions[self.name] = self.configuration.revision
        seen_revisions.update(self.loads.revisions)
        current = [name for name, seen in seen_revisions.items() if seen >= revision]
        return current, [
            name for name, seen in seen_revisions.items() if seen < revision
        ]


def _request_key(text: str, expected_revision: int | None) -> str:
    return hashlib.sha256(f"{expected_revision}\0{text}".encode()).hexdigest()[:20]


def _conflict_error(revision: int) -> ConflictError:
    text = f"revision {revision} is in force; compare with it and apply again"
    return ConflictError(text, step="apply")
