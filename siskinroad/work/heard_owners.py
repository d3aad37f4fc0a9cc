"""Owners of the pools by their own heartbeats, also of those that have ended."""

from __future__ import annotations

from dataclasses import dataclass

from siskinroad.work.messages import Heartbeat

__all__ = ["HeardOwner", "HeardOwners"]


@dataclass(slots=True, frozen=True)
class HeardOwner:
    """Owner of a pool, and the loop time of its newest own heartbeat."""

    node: str
    term: int
    heard_at: float


class HeardOwners:
    """The owner of the highest term that this daemon has heard of, for each pool.

    ``Members`` forgets a daemon that has ended.
    """

    def __init__(self) -> None:
        self._by_pool: dict[str, HeardOwner] = {}

    def note_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Note which pools the sender of a heartbeat owns, if no later term is known.

        Parameters
        ----------
        heartbeat : Heartbeat
            One that came from its sender, not in a digest.
        now : float
            Loop time.
        """
        for pool, term in heartbeat.owned:
            heard = self._by_pool.get(pool)
            if heard is None or heard.term <= term:
                self._by_pool[pool] = HeardOwner(heartbeat.node, term, now)

    def find(self, pool: str) -> HeardOwner | None:
        """Return the last owner of a pool that was heard, or None."""
        return self._by_pool.get(pool)
