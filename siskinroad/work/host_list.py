"""The live list of hosts, as a daemon has read it from the store."""

from __future__ import annotations

from collections import Counter

from siskinroad.resources import Resources
from siskinroad.work.model import HostEntry
from siskinroad.work.platform_clients import Decoder
from siskinroad.work.store import NewestRecord

__all__ = ["HostList"]


class HostList:
    """The listed hosts of all pools.

    Attributes
    ----------
    entries : dict of str to HostEntry
        Entry of each listed host by name; it changes in place.
    """

    def __init__(self, decoder: Decoder) -> None:
        self.entries: dict[str, HostEntry] = {}
        self._decoder = decoder
        self._largest_capacities: dict[str, Resources] = {}

    def apply(self, items: tuple[NewestRecord, ...], is_snapshot: bool) -> None:
        """Apply records of the list; a snapshot has every listed host."""
        former = self._largest_capacities
        if is_snapshot:
            self.entries.clear()
            self._largest_capacities = {}
        for item in items:
            entry = self._decoder.decode_host(item.key, item.value)
            if entry is None:
                self.entries.pop(item.key, None)
                self._largest_capacities.pop(item.key, None)
                continue
            self.entries[item.key] = entry
            largest = former.get(item.key, entry.capacity)
            self._largest_capacities[item.key] = largest.union(entry.capacity)

    def count_by_pool(self) -> Counter[str]:
        """Return the number of listed hosts of each pool."""
        return Counter(entry.pool for entry in self.entries.values())

    def list_capacities(self, pool: str) -> list[Resources]:
        """Return the largest capacity of each host of a pool since it was listed.

        A capacity may shrink for a while and grow again, so that a job which only fits
        the larger one can still be served.
        """
        return [
            self._largest_capacities[name]
            for name, entry in self.entries.items()
            if entry.pool == pool
        ]
