"""The former owners of a pool that may still renew leases, until they have stopped.

A new owner does not know what runs on a host that does not reply. It waits until every
lease that a former owner may have granted has expired: from the takeover, if it cannot
know when the former owner stops, and from when it learns that all of them have.

A former owner has stopped if it released the pool, if its daemon has restarted, or if
its daemon says so: one that was cut off for a while goes on as another daemon takes
over, and stops as soon as it learns of that.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from msgspec import structs

from siskinroad.errors import SiskinroadError
from siskinroad.work.claim import InheritedState, read_claims
from siskinroad.work.records import FormerOwner
from siskinroad.work.store import Store, StoreUnavailableError, StoreUnknownError

__all__ = ["AskStopped", "FormerOwners"]

# Seconds between two requests to each former owner.
ASK_INTERVAL = 0.3

# Returns whether a former owner of a pool says that it has stopped.
AskStopped = Callable[[str, FormerOwner], Awaitable[bool]]

log = logging.getLogger("siskinroad.owner")


class FormerOwners:
    """The former owners of one pool that have not stopped, as far as is known.

    Parameters
    ----------
    has_later_incarnation : callable
        Returns whether a later incarnation of a daemon than the one given is known.

    Attributes
    ----------
    remaining : tuple of FormerOwner or None
        Those that may still renew leases; None if not all of them are known.
    shortened_by : str
        How the end of their leases became known, for the logs; empty while the longest
        time is waited.
    """

    def __init__(
        self,
        pool: str,
        inherited: InheritedState,
        has_later_incarnation: Callable[[str, int], bool],
    ) -> None:
        self.remaining = inherited.former_owners
        self.shortened_by = ""
        self._pool = pool
        self._inherited = inherited
        self._has_later_incarnation = has_later_incarnation
        self._stopped_terms: set[int] = set()

    def have_stopped(self) -> bool:
        """Return whether all of them are known to have stopped."""
        if self.remaining is None:
            return False
        self.remaining = tuple(
            each for each in self.remaining if not self._has_stopped(each)
        )
        return not self.remaining

    def note_bound(self) -> None:
        """Note that none of them extends leases any more (`witnesses`).

        A further successor learns this with the stored set of hosts: the witnesses and
        hosts that have shown it may be lost by then.
        """
        if self.remaining is not None:
            self.remaining = tuple(
                structs.replace(each, witnesses=None, hosts=None)
                for each in self.remaining
            )

    def _has_stopped(self, former: FormerOwner) -> bool:
        return (
            former.term in self._stopped_terms
            or former.term == self._inherited.released_term
            or self._has_later_incarnation(former.node, former.incarnation)
        )

    async def ask_until_stopped(
        self, store: Store, ask: AskStopped, is_needed: Callable[[], bool]
    ) -> None:
        """Ask the former owners until all of them have stopped.

        Parameters
        ----------
        store : Store
            Read first for claims that the takeover has not seen.
        is_needed : callable
            Returns whether the answers still matter.
        """
        while self.remaining is None and is_needed():
            if not await self._read_missing_claims(store):
                return
            await asyncio.sleep(ASK_INTERVAL)
        while not self.have_stopped() and self.remaining and is_needed():
            unstopped = self.remaining
            answers = await asyncio.gather(*(ask(self._pool, f) for f in unstopped))
            for former, has_stopped in zip(unstopped, answers, strict=True):
                if has_stopped:
                    self._note_stopped(former)
            await asyncio.sleep(ASK_INTERVAL)

    def _note_stopped(self, former: FormerOwner) -> None:
        self._stopped_terms.add(former.term)
        log.info(
            "owner: former owner says that it has stopped",
            extra={"pool": self._pool, "peer": former.node, "term": former.term},
        )

    async def _read_missing_claims(self, store: Store) -> bool:
        """Read the claims since that of the owner which last stored its hosts.

        Returns whether it is of use to go on: to read again if the store did not
        answer, or to ask the owners that are known now.
        """
        try:
            await read_claims(store, self._pool, self._inherited)
        except (StoreUnavailableError, StoreUnknownError):
            return True
        except SiskinroadError as exc:
            self._log_unknown_owners(str(exc))
            return False
        self.remaining = self._inherited.former_owners
        if self.remaining is None:
            self._log_unknown_owners("the last stored set of hosts does not name them")
            return False
        log.info(
            "owner: all former owners are known, now that missing claims are read",
            extra={
                "pool": self._pool,
                "claims": len(self._inherited.claims),
                "former_owners": len(self.remaining),
            },
        )
        return True

    def _log_unknown_owners(self, why: str) -> None:
        log.warning(
            "owner: not all former owners are known; "
            "waiting for all leases that they may have granted",
            extra={"pool": self._pool, "error": why},
        )
