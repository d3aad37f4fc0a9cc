"""Applying a cell file: one winner at each revision, and where it is in force."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

import msgspec

from siskinroad.cell import digest, parse_cell
from siskinroad.configuration import Configuration
from siskinroad.errors import ConflictError, PlatformError
from siskinroad.loads import LoadTable
from siskinroad.membership import Membership
from siskinroad.records import Record

__all__ = ["Applied", "Publisher"]

APPEND_TIME = 8.0
IN_FORCE_TIME = 10.0
POLL_TIME = 0.1


class Applied(msgspec.Struct, frozen=True):
    """What became of an applied file."""

    revision: int
    changed: bool
    in_force: list[str]
    not_yet: list[str]


class Publisher:
    """Puts cell files in force through the platform's log."""

    def __init__(
        self,
        name: str,
        configuration: Configuration,
        members: Membership,
        loads: LoadTable,
        put: Callable[[Record, float], asyncio.Future[int]],
        applied: Callable[[int], Awaitable[None]],
    ) -> None:
        self.name = name
        self.configuration = configuration
        self.members = members
        self.loads = loads
        self.put = put
        self.applied = applied

    async def apply(self, text: str, expect: int | None, wait: bool = True) -> Applied:
        """Put a file in force; doing so again after a lost answer is harmless.

        Parameters
        ----------
        expect : int or None
            The revision that the file is meant to replace.

        Raises
        ------
        ConfigError
            If the file is not valid; nothing has changed.
        ConflictError
            If another file has won.
        PlatformError
            If it is not known whether the file is in force.
        """
        cell = parse_cell(text)
        config = self.configuration
        key = _key(text, expect)
        if digest(text) == digest(config.text) or config.was_applied(key):
            return await self._in_force(config.revision, False, wait)
        if expect is not None and expect != config.revision:
            raise _conflict(config.revision)
        config.check_moves(cell)
        base = config.revision
        offset = await self.put(config.successor(text, key), APPEND_TIME)
        try:
            await self.applied(offset)
        except TimeoutError:
            raise PlatformError("appended, not read back yet", step="apply") from None
        if not config.was_applied(key):
            raise _conflict(config.revision)
        return await self._in_force(base + 1, True, wait)

    async def _in_force(self, revision: int, changed: bool, wait: bool) -> Applied:
        loop = asyncio.get_running_loop()
        until = loop.time() + (IN_FORCE_TIME if wait else 0.0)
        while True:
            good, late = self._where(revision, loop.time())
            if not late or loop.time() >= until:
                return Applied(revision, changed, sorted(good), sorted(late))
            await asyncio.sleep(POLL_TIME)

    def _where(self, revision: int, now: float) -> tuple[list[str], list[str]]:
        seen = {m.name: m.revision for m in self.members.alive(now)}
        seen[self.name] = self.configuration.revision
        seen.update(self.loads.revisions)
        good = [name for name, known in seen.items() if known >= revision]
        return good, [name for name, known in seen.items() if known < revision]


def _key(text: str, expect: int | None) -> str:
    return hashlib.sha256(f"{expect}\0{text}".encode()).hexdigest()[:20]


def _conflict(revision: int) -> ConflictError:
    text = f"revision {revision} is in force; compare with it and apply again"
    return ConflictError(text, step="apply")
