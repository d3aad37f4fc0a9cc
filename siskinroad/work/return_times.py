"""Times at which callers of refused jobs should return, spread over the room to come.

The load that it answers: hundreds of jobs are turned away within a second. If all
callers returned when the backlog is over, they would make the next one. So each refused
job books the capacity that it needs, after those of higher rank, and its caller returns
when its turn has come.

Nothing here does I/O. Loop times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["ReturnTimes"]

# Least seconds after which a caller returns; callers count in whole seconds.
MIN_RETURN_S = 1.0

Rank = tuple[int, bool]


@dataclass(slots=True)
class ReturnTimes:
    """Booked capacity by rank: a priority, and whether the account is over its weight.

    Of one rank, the job that was refused first returns first: its target time is the
    earliest.
    """

    _booked_until: dict[Rank, float] = field(default_factory=dict)

    def book(
        self,
        rank: Rank,
        room_in_s: float,
        work_s: float,
        capacity: float,
        longest_s: float,
        now: float,
    ) -> float:
        """Book capacity for a refused job; return the seconds until its caller returns.

        Parameters
        ----------
        room_in_s : float
            Seconds until there is room for jobs of this rank.
        work_s, capacity : float
            Work of the job in processor-seconds, and the processors for its class.
        longest_s : float
            Longest time to return.
        """
        begins_at = now + room_in_s
        for other, until in self._booked_until.items():
            if other <= rank:
                begins_at = max(begins_at, until)
        latest_at = now + max(MIN_RETURN_S, longest_s)
        begins_at = min(begins_at, latest_at)
        self._booked_until[rank] = min(begins_at + work_s / capacity, latest_at)
        return max(MIN_RETURN_S, begins_at - now)
