"""Detection of faulty hosts, told apart from workloads that fail everywhere.

A failure counts against a host only to the extent that the workload succeeds on
other hosts, so a faulty workload does not get healthy hosts ejected.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Health", "Verdict"]

# Accumulated blame at which a host is ejected. One failure adds at most 1, so a value
# of 1 or less would eject a host for a single failure.
EJECT_BLAME = 2.5
EJECT_RATE = 0.5
# Factor applied to earlier outcomes and to blame at each further outcome.
DECAY = 0.9
# First and longest quarantine of an ejected host, in seconds. It doubles each time the
# host fails on probation, so that a faulty host does not fail work again and again.
FIRST_QUARANTINE = 30.0
MAX_QUARANTINE = 600.0
# Successes on probation after which a host counts as healthy.
PROBATION_SUCCESSES = 3
# Seconds on probation without a failure after which a host counts as healthy too: the
# one long-running task that it may hold does not end.
MAX_PROBATION = 60.0
# Largest fraction of a pool's hosts in quarantine or on probation. A larger value
# could take the whole pool out of service on a fault that all hosts share.
MAX_EJECTED_FRACTION = 0.5
# Half the number of failure-free hosts added to those observed when a failure rate is
# computed. With a smaller value, a single host could decide the rate.
PRIOR_COUNT = 1.0


@dataclass(slots=True)
class _Outcomes:
    successes: float = 0.0
    failures: float = 0.0


@dataclass(slots=True)
class _Score:
    """Recent outcomes of a workload by host."""

    by_host: dict[str, _Outcomes] = field(default_factory=dict)

    def add(self, host: str, succeeded: bool) -> None:
        outcomes = self.by_host.get(host)
        if outcomes is None:
            outcomes = self.by_host[host] = _Outcomes()
        if succeeded:
            outcomes.successes = outcomes.successes * DECAY + 1
            outcomes.failures *= DECAY
        else:
            outcomes.failures = outcomes.failures * DECAY + 1
            outcomes.successes *= DECAY

    def failure_rate_without(self, host: str) -> float:
        """Return the mean failure rate over all hosts but the given one."""
        failures = 0.0
        total = 2 * PRIOR_COUNT
        for name, outcomes in self.by_host.items():
            if name != host:
                rate = outcomes.failures / (
                    outcomes.successes + outcomes.failures + 1e-9
                )
                failures += rate
                total += 1
        return failures / total


@dataclass(slots=True, frozen=True)
class Verdict:
    """Change of a host's state: ``eject``, ``probation`` or ``recover``."""

    host: str
    event: str


@dataclass(slots=True)
class _HostHealth:
    blame: float = 0.0
    quarantine_time: float = FIRST_QUARANTINE
    quarantine_end: float = 0.0
    probation_end: float = 0.0
    state: str = "good"
    successes: int = 0


class Health:
    """Health of hosts, from the outcomes of all workloads on all hosts."""

    def __init__(self) -> None:
        self._hosts: dict[str, _HostHealth] = {}
        self._workloads: dict[str, _Score] = {}
        self._quarantined: set[str] = set()

    def observe(
        self, host: str, workload: str, succeeded: bool, now: float, pool_size: int
    ) -> Verdict | None:
        """Record one outcome; return a verdict if it changes the host's state.

        Parameters
        ----------
        pool_size : int
            Number of hosts in the pool; it bounds how many may be ejected.
        """
        host_health = self._hosts.setdefault(host, _HostHealth())
        score = self._workloads.setdefault(workload, _Score())
        if succeeded:
            host_health.blame *= DECAY
        else:
            host_health.blame += 1.0 - score.failure_rate_without(host) * 2
            host_health.blame = max(host_health.blame, 0.0)
        score.add(host, succeeded)
        if host_health.state == "probation":
            return self._observe_probation(host, host_health, succeeded, now)
        if succeeded or host_health.state != "good" or host_health.blame < EJECT_BLAME:
            return None
        if len(self._quarantined) + 1 > max(1, int(pool_size * MAX_EJECTED_FRACTION)):
            return None
        return self._eject(host, host_health, now)

    def _observe_probation(
        self, host: str, health: _HostHealth, succeeded: bool, now: float
    ) -> Verdict | None:
        if not succeeded:
            health.quarantine_time = min(health.quarantine_time * 2, MAX_QUARANTINE)
            return self._eject(host, health, now)
        health.successes += 1
        if health.successes < PROBATION_SUCCESSES:
            return None
        return self._recover(host, health)

    def _recover(self, host: str, health: _HostHealth) -> Verdict:
        health.state = "good"
        health.blame = 0.0
        health.quarantine_time = FIRST_QUARANTINE
        self._quarantined.discard(host)
        return Verdict(host, "recover")

    def _eject(self, host: str, health: _HostHealth, now: float) -> Verdict:
        health.state = "ejected"
        health.quarantine_end = now + health.quarantine_time
        self._quarantined.add(host)
        return Verdict(host, "eject")

    def tick(self, now: float) -> list[Verdict]:
        """End each quarantine and probation that is over; return the verdicts."""
        verdicts = []
        for host in sorted(self._quarantined):
            health = self._hosts[host]
            if health.state == "ejected" and now >= health.quarantine_end:
                health.state = "probation"
                health.successes = 0
                health.probation_end = now + MAX_PROBATION
                verdicts.append(Verdict(host, "probation"))
            elif health.state == "probation" and now >= health.probation_end:
                verdicts.append(self._recover(host, health))
        return verdicts

    def remove_host(self, host: str) -> None:
        """Remove the record of a host that was removed or replaced."""
        self._hosts.pop(host, None)
        self._quarantined.discard(host)

    def remove_workload(self, workload: str) -> None:
        """Remove the record of a workload that has ended."""
        self._workloads.pop(workload, None)
