"""Rates at which client accounts hand jobs in, over a sliding window.

The load that it answers: one account sends many times its usual, and its jobs take the
room of all others. Its weight says how many jobs a second the others have to bear.

Nothing here does I/O. Loop times are in seconds.
"""

from __future__ import annotations

from collections import deque

__all__ = ["SubmitRates"]

# Length of the window in seconds, as weights are in jobs a second.
WINDOW_S = 1.0


class SubmitRates:
    """Jobs of each account that were accepted within the window."""

    def __init__(self) -> None:
        self._accepted_at: dict[str, deque[float]] = {}

    def is_over_weight(self, account: str, weight: float, now: float) -> bool:
        """Return whether one more job is more than the weight allows in the window."""
        times = self._accepted_at.get(account)
        if times is None:
            return False
        while times and times[0] <= now - WINDOW_S:
            times.popleft()
        return len(times) + 1 > max(1.0, weight * WINDOW_S)

    def record(self, account: str, now: float) -> None:
        """Record an accepted job."""
        self._accepted_at.setdefault(account, deque()).append(now)

    def keep_only(self, accounts: set[str]) -> None:
        """Forget the accounts that are not among the given ones."""
        for account in self._accepted_at.keys() - accounts:
            del self._accepted_at[account]
