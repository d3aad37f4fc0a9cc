"""What an owner knows of later claims on its pool, by loop times in seconds."""

from __future__ import annotations

import math

__all__ = ["LEASE_LIMIT_S", "ClaimKnowledge"]

# Seconds after the newest certainty that no successor counts on their end by which
# leases end. A smaller value lets leases expire in a short outage of the store; a
# larger one delays a successor, which waits this long for hosts that do not answer it.
LEASE_LIMIT_S = 4.4


class ClaimKnowledge:
    """Knowledge of one owner, from its reads of the claims or the members' statements.

    Attributes
    ----------
    unclaimed_at : float
        Newest loop time at which certainly no other daemon had claimed the pool under
        a later term; infinite where nobody else can claim it.
    awaited_at : float
        Latest loop time for which a conclusion needed `unclaimed_at`.
    lease_certain_at : float
        Newest loop time at which certainly no successor counted on the end of this
        owner's leases (`witnesses`).
    """

    __slots__ = ("awaited_at", "lease_certain_at", "unclaimed_at")

    def __init__(self) -> None:
        self.unclaimed_at = math.inf
        self.lease_certain_at = -math.inf
        self.awaited_at = -math.inf

    @property
    def is_awaited(self) -> bool:
        """Whether a conclusion waits for a later `unclaimed_at`."""
        return self.unclaimed_at < self.awaited_at

    def note_unclaimed(self, at: float) -> None:
        """Note that no other daemon had claimed the pool at a loop time."""
        self.unclaimed_at = max(self.unclaimed_at, at)

    def note_lease_certain(self, at: float) -> None:
        """Note that no successor counted on the end of the leases at a loop time."""
        self.lease_certain_at = max(self.lease_certain_at, at)

    @property
    def leases_end_by(self) -> float:
        """Loop time by which every lease that is granted now has to end."""
        return max(self.unclaimed_at, self.lease_certain_at) + LEASE_LIMIT_S

    def lease_age_s(self, now: float) -> float | None:
        """Return the seconds since the newest certainty that leases rest on.

        None as in `age_s`, which is of conclusions.
        """
        newest = max(self.unclaimed_at, self.lease_certain_at)
        return None if math.isinf(newest) else round(now - newest, 2)

    def revoke(self) -> None:
        """Let nothing rest on what was known before now.

        The loop's clock does not count a suspension, so it seems newer than it is.
        """
        self.unclaimed_at = -math.inf
        self.lease_certain_at = -math.inf

    def was_sole_owner(self, at: float) -> bool:
        """Return whether certainly no successor acted before a loop time.

        Only then does silence until that time show anything of a host: a successor
        would have renewed its leases, or acknowledged ends that it no longer lists.
        """
        is_certain = self.unclaimed_at >= at
        if not is_certain:
            self.awaited_at = max(self.awaited_at, at)
        return is_certain

    def age_s(self, now: float) -> float | None:
        """Return the seconds since `unclaimed_at`, for the logs.

        None if nobody else can claim the pool, or if nothing is known.
        """
        if math.isinf(self.unclaimed_at):
            return None
        return round(now - self.unclaimed_at, 2)
