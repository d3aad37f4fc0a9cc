"""Check whether the other daemons know this one, before it claims pools.

An owner that cannot read the store asks all members that it knows whether they have
claimed its pool (`claim_statements`). A daemon that has registered since that owner
last read the list would not be asked. So a daemon claims only if one of these holds:

- Every member whose record is older than its own has ended, or there is none. An owner
  whose record is newer has read the list since, and knows this daemon.
- It has heard from the member with the oldest record. Every such owner asks that
  member, which knows this daemon and names it.
- An earlier incarnation of it was listed, so that its name is asked.
- It was listed for longer than an owner relies on a list that it has read.

The times that it costs: nothing where the members hear each other, and that last time
where a member with an older record is silent and its process is not known to have
ended, such as after a loss of power.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable, Collection, Mapping

from siskinroad.peers import PeerTransport, Reachability
from siskinroad.work.claim_statements import CLOCK_RATE_TOLERANCE
from siskinroad.work.members import Members
from siskinroad.work.term import OWNERSHIP_TIMEOUT_S

__all__ = ["NEWCOMER_WAIT", "NewcomerCheck", "list_older_members"]

# Seconds since this daemon has read its own record after which every owner that acts
# without the store has read the record too.
NEWCOMER_WAIT = OWNERSHIP_TIMEOUT_S * (1.0 + CLOCK_RATE_TOLERANCE)
# Least seconds between two probes of the silent members.
PROBE_INTERVAL = 0.5
# Largest number of members that are probed at once.
MAX_PROBES = 8
# Largest number of names in a log line.
MAX_LOGGED_NAMES = 4

log = logging.getLogger("siskinroad.newcomer_check")


def list_older_members(
    offsets: Mapping[str, int], own_offset: int, ended: Collection[str]
) -> list[str]:
    """Return the members with a record older than this daemon's, the oldest first.

    Those whose process is known to have ended are left out.
    """
    return sorted(
        (n for n, offset in offsets.items() if offset < own_offset and n not in ended),
        key=lambda node: offsets[node],
    )


class NewcomerCheck:
    """Check of one daemon since its start.

    Parameters
    ----------
    is_known_by : callable
        Asks a member whether it knows this daemon.
    was_listed : bool
        Whether an earlier incarnation of this daemon was listed at the start.

    Attributes
    ----------
    on_news : callable
        Called when a silent member has answered, or its process has ended.
    """

    def __init__(
        self,
        members: Members,
        peers: PeerTransport,
        is_known_by: Callable[[str], Awaitable[bool]],
        was_listed: bool,
    ) -> None:
        self.on_news: Callable[[], None] = lambda: None
        self._members = members
        self._peers = peers
        self._is_known_by = is_known_by
        self._was_listed = was_listed
        self._heard: set[str] = set()
        self._ended: dict[str, int] = {}
        self._check_requested = asyncio.Event()
        self._own_offset = -1
        self._listed_at = math.inf
        self._is_known = False

    def note_listed(self, offset: int) -> None:
        """Note that this daemon's own record was read, for the first time or again."""
        if not self._is_listed:
            self._own_offset = offset
            self._listed_at = asyncio.get_running_loop().time()

    @property
    def _is_listed(self) -> bool:
        return self._own_offset >= 0

    def note_heard(self, node: str, incarnation: int) -> None:
        """Note that a message came from a daemon, which therefore knows this one.

        What came before this daemon was listed does not count, nor what a former
        incarnation has sent: the present one may not know this daemon.
        """
        is_present = incarnation >= self._find_incarnation(node)
        if not self._is_known and self._is_listed and is_present:
            self._heard.add(node)

    def may_claim(self, now: float) -> bool:
        """Return whether every owner that acts without the store knows of this one."""
        if not self._is_known and self._is_listed:
            self._is_known = self._check(now)
        return self._is_known

    def _check(self, now: float) -> bool:
        if now - self._listed_at >= NEWCOMER_WAIT:
            return True
        older = self._list_older()
        if not older or older[0] in self._heard:
            return True
        return self._was_listed

    def _list_older(self) -> list[str]:
        ended = [node for node in self._ended if self._has_ended(node)]
        return list_older_members(self._members.offsets, self._own_offset, ended)

    def _has_ended(self, node: str) -> bool:
        """Return whether the newest known incarnation of a member has ended."""
        return self._find_incarnation(node) <= self._ended.get(node, -1)

    def _find_incarnation(self, node: str) -> int:
        member = self._members.known.get(node)
        return member.incarnation if member is not None else -1

    def request_check(self) -> None:
        """Ask and probe the silent members, as a pool waits for this daemon's claim."""
        if self._is_listed and not self._is_known:
            self._check_requested.set()

    async def run(self) -> None:
        """Ask and probe silent members when requested, until this daemon may claim."""
        loop = asyncio.get_running_loop()
        while not self._is_known:
            await self._check_requested.wait()
            self._check_requested.clear()
            if self.may_claim(loop.time()):
                return
            older = self._list_older()
            silent = [node for node in older if node not in self._heard][:MAX_PROBES]
            self._log_wait(silent, loop.time())
            probes = [self._probe(node) for node in silent]
            requests = [self._ask(node) for node in silent]
            await asyncio.gather(asyncio.sleep(PROBE_INTERVAL), *probes, *requests)

    def _log_wait(self, silent: list[str], now: float) -> None:
        remaining_s = self._listed_at + NEWCOMER_WAIT - now
        log.info(
            "newcomer_check: not claiming yet; asking and probing silent members",
            extra={
                "silent": silent[:MAX_LOGGED_NAMES],
                "remaining_s": round(remaining_s, 2),
            },
        )

    async def _ask(self, node: str) -> None:
        """Ask a member: in a large cell it may send this one no heartbeat."""
        if await self._is_known_by(node):
            self._heard.add(node)
            self.on_news()

    async def _probe(self, node: str) -> None:
        incarnation = self._find_incarnation(node)
        if await self._peers.probe(node) is Reachability.REFUSES:
            self._ended[node] = incarnation
            self.on_news()
