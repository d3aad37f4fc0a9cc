"""Classification of a pool's hosts by whether they may get new work, and why not."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum

from siskinroad.work.host import HOST_SILENCE_S, UNLISTED_GRACE_S, Host

__all__ = ["HostState", "count_host_states", "find_host_state", "find_oldest_report_s"]


class HostState(StrEnum):
    """Whether a host may get new work, or the first thing that prevents it.

    ``UNSETTLED``: it has not replied under this term, or the store does not hold yet
    that this owner uses it. ``UNCONFIRMED``: the claims were not read since its present
    incarnation first replied. ``UNLISTED``: it left the live list. ``FAILING``: its
    last request had no reply. ``SILENT``: its last reply is too old. ``OUTDATED``: it
    has rejected a start that its newest report allowed. ``RESTARTED``: its entry in the
    list is of another incarnation than its newest report.
    """

    SCHEDULABLE = "schedulable"
    UNSETTLED = "unsettled"
    UNCONFIRMED = "unconfirmed"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    UNLISTED = "unlisted"
    FAILING = "failing"
    SILENT = "silent"
    OUTDATED = "outdated"
    RESTARTED = "restarted"
    TRIAL = "trial"


def find_host_state(host: Host, now: float) -> HostState:
    """Return the state of a host, by the conditions of ``Host.is_schedulable``."""
    # A draining host without work is not stored any more.
    is_unstored = not host.is_stored and not host.entry.draining
    if not host.is_settled or is_unstored:
        return HostState.UNSETTLED
    if host.is_unconfirmed:
        return HostState.UNCONFIRMED
    if host.entry.draining:
        return HostState.DRAINING
    if host.is_quarantined:
        return HostState.QUARANTINED
    if host.unlisted_at and now - host.unlisted_at > UNLISTED_GRACE_S:
        return HostState.UNLISTED
    if host.is_failing and now - host.replied_at > HOST_SILENCE_S:
        return HostState.FAILING
    if now - host.replied_at > HOST_SILENCE_S:
        return HostState.SILENT
    if host.is_report_outdated:
        return HostState.OUTDATED
    if host.is_entry_outdated:
        return HostState.RESTARTED
    if now < host.trial_until:
        return HostState.TRIAL
    return HostState.SCHEDULABLE


def count_host_states(hosts: Iterable[Host], now: float) -> Counter[HostState]:
    """Return the number of hosts in each state."""
    return Counter(find_host_state(host, now) for host in hosts)


def find_oldest_report_s(hosts: Iterable[Host], now: float) -> float:
    """Return the seconds since the last report of the host that is silent longest.

    Hosts that never reported are left out. The age grows if the owner sends its
    renewals late.
    """
    return max(
        (now - host.reported_at for host in hosts if host.incarnation_ms), default=0.0
    )
