"""Hosts that fail everything and workloads that fail everywhere, told apart.

A failure is blamed on the host only as far as the workload succeeds elsewhere,
and on the workload only as far as the host succeeds with other workloads.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Health", "Verdict"]

EJECT_BLAME = 2.5
EJECT_RATE = 0.5
DECAY = 0.9
FIRST_REST = 30.0
LONGEST_REST = 600.0
PROBATION_SUCCESSES = 3
MAX_EJECTED_PART = 0.5
PRIOR = 1.0


@dataclass(slots=True)
class _Pair:
    ok: float = 0.0
    failed: float = 0.0


@dataclass(slots=True)
class _Score:
    """Recent outcomes of one host or workload, by the other side's name."""

    pairs: dict[str, _Pair] = field(default_factory=dict)

    def add(self, other: str, good: bool) -> None:
        pair = self.pairs.get(other)
        if pair is None:
            pair = self.pairs[other] = _Pair()
        if good:
            pair.ok = pair.ok * DECAY + 1
            pair.failed *= DECAY
        else:
            pair.failed = pair.failed * DECAY + 1
            pair.ok *= DECAY

    def rate_without(self, other: str) -> float:
        """Return the failure rate over all but one counterpart."""
        failed = 0.0
        total = 2 * PRIOR
        for name, pair in self.pairs.items():
            if name != other:
                rate = pair.failed / (pair.ok + pair.failed + 1e-9)
                failed += rate
                total += 1
        return failed / total


@dataclass(slots=True, frozen=True)
class Verdict:
    """What changed for a host: ``eject``, ``probation`` or ``recover``."""

    host: str
    event: str


@dataclass(slots=True)
class _HostHealth:
    score: _Score = field(default_factory=_Score)
    blame: float = 0.0
    rest: float = FIRST_REST
    until: float = 0.0
    state: str = "good"
    successes: int = 0


class Health:
    """Judges hosts across workloads and workloads across hosts."""

    def __init__(self) -> None:
        self._hosts: dict[str, _HostHealth] = {}
        self._workloads: dict[str, _Score] = {}
        self._resting: set[str] = set()

    def observe(
        self, host: str, workload: str, good: bool, now: float, hosts: int
    ) -> Verdict | None:
        """Note one outcome; return a verdict if it changes the host's state.

        Parameters
        ----------
        hosts : int
            Hosts in the pool; at most half of them are ever ejected.
        """
        health = self._hosts.setdefault(host, _HostHealth())
        score = self._workloads.setdefault(workload, _Score())
        if good:
            health.blame *= DECAY
        else:
            health.blame += 1.0 - score.rate_without(host) * 2
            health.blame = max(health.blame, 0.0)
        health.score.add(workload, good)
        score.add(host, good)
        if health.state == "probation":
            return self._probation(host, health, good, now)
        if good or health.state != "good" or health.blame < EJECT_BLAME:
            return None
        if len(self._resting) + 1 > max(1, int(hosts * MAX_EJECTED_PART)):
            return None
        return self._eject(host, health, now)

    def _probation(
        self, host: str, health: _HostHealth, good: bool, now: float
    ) -> Verdict | None:
        if not good:
            health.rest = min(health.rest * 2, LONGEST_REST)
            return self._eject(host, health, now)
        health.successes += 1
        if health.successes < PROBATION_SUCCESSES:
            return None
        health.state = "good"
        health.blame = 0.0
        health.rest = FIRST_REST
        self._resting.discard(host)
        return Verdict(host, "recover")

    def _eject(self, host: str, health: _HostHealth, now: float) -> Verdict:
        health.state = "ejected"
        health.until = now + health.rest
        self._resting.add(host)
        return Verdict(host, "eject")

    def tick(self, now: float) -> list[Verdict]:
        """Return the hosts whose rest is over; they go on probation."""
        verdicts = []
        for host in sorted(self._resting):
            health = self._hosts[host]
            if health.state == "ejected" and now >= health.until:
                health.state = "probation"
                health.successes = 0
                verdicts.append(Verdict(host, "probation"))
        return verdicts

    def forget(self, host: str) -> None:
        """Forget a host that was replaced."""
        self._hosts.pop(host, None)
        self._resting.discard(host)

    def forget_workload(self, workload: str) -> None:
        """Forget a workload that has ended."""
        self._workloads.pop(workload, None)
