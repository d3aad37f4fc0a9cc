"""Vectors of processors, memory, accelerators and slots."""

from __future__ import annotations

import msgspec

__all__ = ["DIMENSIONS", "NOTHING", "Resources"]

DIMENSIONS = ("cpu_milli", "memory_mib", "accelerators", "slots")


class Resources(msgspec.Struct, frozen=True, gc=False):
    """Vector of resources.

    Attributes
    ----------
    cpu_milli : int
        Thousandths of a processor.
    memory_mib : int
        Memory in MiB.
    accelerators : int
        Whole accelerators.
    slots : int
        Concurrent tasks or requests that a host accepts.
    """

    cpu_milli: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    slots: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def times(self, count: int) -> Resources:
        """Return this vector multiplied by ``count``."""
        return Resources(
            self.cpu_milli * count,
            self.memory_mib * count,
            self.accelerators * count,
            self.slots * count,
        )

    def scaled(self, factor: float) -> Resources:
        """Return this vector multiplied by ``factor``, rounded down."""
        return Resources(
            int(self.cpu_milli * factor),
            int(self.memory_mib * factor),
            int(self.accelerators * factor),
            int(self.slots * factor),
        )

    def clip(self, capacity: Resources) -> Resources:
        """Return this vector with each dimension limited to that of ``capacity``."""
        return Resources(
            min(self.cpu_milli, capacity.cpu_milli),
            min(self.memory_mib, capacity.memory_mib),
            min(self.accelerators, capacity.accelerators),
            min(self.slots, capacity.slots),
        )

    def union(self, other: Resources) -> Resources:
        """Return the larger amount of each resource."""
        return Resources(
            max(self.cpu_milli, other.cpu_milli),
            max(self.memory_mib, other.memory_mib),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
        )

    def fits(self, capacity: Resources) -> bool:
        """Return whether no dimension exceeds that of ``capacity``."""
        return (
            self.cpu_milli <= capacity.cpu_milli
            and self.memory_mib <= capacity.memory_mib
            and self.accelerators <= capacity.accelerators
            and self.slots <= capacity.slots
        )

    def dominant(self, total: Resources) -> float:
        """Return the largest fraction of ``total`` among the billed dimensions.

        Slots are a limit of the host's software and are not billed.
        """
        return max(
            self.cpu_milli / total.cpu_milli if total.cpu_milli else 0.0,
            self.memory_mib / total.memory_mib if total.memory_mib else 0.0,
            self.accelerators / total.accelerators if total.accelerators else 0.0,
        )


NOTHING = Resources()
