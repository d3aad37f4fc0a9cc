"""Expected ends of the runs on each host, kept until the host's next report.

Several steps wait for the same hosts, and several planning passes follow each other
between two reports of one host.
"""

from __future__ import annotations

from dataclasses import dataclass

from siskinroad.resources import Resources
from siskinroad.work.host import Host
from siskinroad.work.speed_estimates import SpeedEstimates

__all__ = ["RunEnds"]


@dataclass(slots=True, frozen=True)
class _KeptEnds:
    """Ends of one host's runs, and what they were computed from."""

    reported_at: float
    run_changes: int
    ends: list[tuple[float, Resources]]


class RunEnds:
    """Expected ends of runs.

    Parameters
    ----------
    speed_estimates : SpeedEstimates
        Estimates of the remaining times.
    """

    def __init__(self, speed_estimates: SpeedEstimates) -> None:
        self._speed_estimates = speed_estimates
        self._kept: dict[Host, _KeptEnds] = {}

    def find_ends(self, host: Host, now: float) -> list[tuple[float, Resources]]:
        """Return when each run of a host is expected to end, and what it frees.

        Sorted by time; a time that has passed means that the run ends any moment.
        """
        kept = self._kept.get(host)
        if (
            kept is not None
            and kept.reported_at == host.reported_at
            and kept.run_changes == host.run_changes
        ):
            return kept.ends
        ends = self._compute_ends(host, now)
        # The end of a run that has not begun is counted from now, so it is not kept.
        if all(run.begun_at for run in host.runs.values()):
            self._kept[host] = _KeptEnds(host.reported_at, host.run_changes, ends)
        return ends

    def keep_only(self, hosts: dict[str, Host]) -> None:
        """Forget the hosts that are not among the given ones."""
        if len(self._kept) > len(hosts):
            known = set(hosts.values())
            self._kept = {h: kept for h, kept in self._kept.items() if h in known}

    def _compute_ends(self, host: Host, now: float) -> list[tuple[float, Resources]]:
        remaining_s = self._speed_estimates.remaining_s
        ends = [
            (now + remaining_s(run, now, host.name), run.need)
            for run in host.runs.values()
        ]
        ends.sort(key=lambda end: end[0])
        return ends
