"""Hosts on which runs may exist, for which a successor has to wait.

A host that drains gets no new work. Once its runs have ended and their ends are stored,
it may leave at any time, and then never answers a successor. So it is left out of the
stored set of hosts, and nothing is started there until it is stored again.
"""

from __future__ import annotations

from siskinroad.work.host import Host
from siskinroad.work.run_table import RunTable

__all__ = ["has_nothing_left", "list_used_hosts"]


def list_used_hosts(pool_state: RunTable) -> set[str]:
    """Return the names of the hosts on which runs may exist, or may be started.

    Until the runs of former owners are reconciled, all their hosts belong to these.
    """
    if not pool_state.is_settled:
        return pool_state.hosts.keys() | pool_state.former_owner_hosts
    hosts = pool_state.hosts.values()
    return {host.name for host in hosts if not has_nothing_left(host)}


def has_nothing_left(host: Host) -> bool:
    """Return whether a host of a settled pool is leaving and has no work left.

    Runs count in any state: one without a reply, or withdrawn, may still be carried
    out. An end counts until the store holds what followed from it.
    """
    # A host that was no longer listed when this owner claimed may never answer it.
    has_left = host.unlisted_at > 0 and not host.is_settled
    if not host.entry.draining and not has_left:
        return False
    return not host.runs and host.last_end_seen <= host.last_end_stored
