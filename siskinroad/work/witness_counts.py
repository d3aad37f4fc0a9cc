"""How many witnesses and hosts of an owner may be silent (`witnesses`)."""

from __future__ import annotations

__all__ = ["count_tolerated", "count_tolerated_hosts"]

# One of this many witnesses may be silent while enough hosts answer.
TOLERATED_PART = 3
# One of this many hosts may be silent then. With a larger part, leases outlast the loss
# of more hosts in an outage; with a smaller one, a successor has to reach fewer.
TOLERATED_HOSTS_PART = 4


def count_tolerated(witnesses: int) -> int:
    """Return how many witnesses may be silent while enough hosts answer."""
    return witnesses // TOLERATED_PART


def count_tolerated_hosts(hosts: int) -> int:
    """Return how many hosts may be silent while enough witnesses state."""
    return hosts // TOLERATED_HOSTS_PART
