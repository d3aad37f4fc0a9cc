"""Accounting of used, lent, borrowed and idle capacity by owner.

All amounts are integers: thousandths of a processor, MiB or accelerators, times
milliseconds. Parts are rounded by the largest-remainder method, so that for each
accounted span their sum equals the capacity exactly.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from siskinroad.cell import Owner
from siskinroad.resources import NOTHING, Resources

__all__ = ["Accounts", "Amounts", "OwnerSpan", "apportion"]

DIMENSIONS = 3
HOUR_MS = 3_600_000
# Milliseconds between two divisions of the used and idle capacity. The amounts of a
# span are added to the hour in which it begins, so a larger value makes the hourly
# amounts less exact.
APPORTION_INTERVAL_MS = 60_000
# Hours for which amounts are kept; it bounds the memory of the accounts.
RETAINED_HOURS = 48


def apportion(amount: int, weights: list[float]) -> list[int]:
    """Split an integer amount by weights; the parts sum to it exactly.

    If no weight is positive, the first part is the whole amount.
    """
    total = sum(weights)
    if not weights:
        return []
    if total <= 0:
        return [amount] + [0] * (len(weights) - 1)
    exact = [amount * weight / total for weight in weights]
    parts = [int(x) for x in exact]
    remainder = amount - sum(parts)
    order = sorted(range(len(parts)), key=lambda i: (parts[i] - exact[i], i))
    step = 1 if remainder >= 0 else -1
    for k in range(abs(remainder)):
        parts[order[k % len(order)]] += step
    return parts


@dataclass(slots=True)
class Amounts:
    """Processors, memory and accelerators, each integrated over time."""

    values: list[int] = field(default_factory=lambda: [0] * DIMENSIONS)

    def add(self, other: Amounts) -> None:
        """Add another amount."""
        for i in range(DIMENSIONS):
            self.values[i] += other.values[i]


@dataclass(slots=True)
class OwnerSpan:
    """Amounts of one owner in a span of time.

    ``used`` includes ``borrowed``. ``lent`` is the owner's capacity that others
    used. ``idle`` is the unused capacity whose cost the owner carries.
    """

    used: Amounts = field(default_factory=Amounts)
    borrowed: Amounts = field(default_factory=Amounts)
    lent: Amounts = field(default_factory=Amounts)
    idle: Amounts = field(default_factory=Amounts)

    def add(self, other: OwnerSpan) -> None:
        """Add another span."""
        self.used.add(other.used)
        self.borrowed.add(other.borrowed)
        self.lent.add(other.lent)
        self.idle.add(other.idle)


@dataclass(slots=True)
class _Meter:
    held: Resources = NOTHING
    accumulated_until: int = 0
    total: list[int] = field(default_factory=lambda: [0] * DIMENSIONS)

    def accumulate(self, now: int) -> None:
        elapsed_ms = now - self.accumulated_until
        if elapsed_ms > 0:
            self.total[0] += self.held.cpu_milli * elapsed_ms
            self.total[1] += self.held.memory_mib * elapsed_ms
            self.total[2] += self.held.accelerators * elapsed_ms
            self.accumulated_until = now

    def pop_total(self, now: int) -> list[int]:
        self.accumulate(now)
        total, self.total = self.total, [0] * DIMENSIONS
        return total


class Accounts:
    """Accounts of one shard, by owner and by hour of the loop's clock.

    Times are integer milliseconds of that clock.
    """

    def __init__(self, owners: dict[str, Owner], now: int) -> None:
        self.owners = dict(owners)
        self._capacity = _Meter(accumulated_until=now)
        self._meters: dict[str, _Meter] = {}
        self._apportioned_until = now
        self.hours: dict[int, dict[str, OwnerSpan]] = {}
        self.capacity: dict[int, Amounts] = {}

    def set_owners(self, owners: dict[str, Owner], now: int) -> None:
        """Apply the owners of a configuration from now on."""
        self.apportion_span(now)
        self.owners = dict(owners)

    def set_capacity(self, total: Resources, now: int) -> None:
        """Set the total capacity from now on."""
        self._capacity.accumulate(now)
        self._capacity.held = total

    def change_allocation(
        self, owner: str, held: Resources, sign: int, now: int
    ) -> None:
        """Add resources to an owner's allocation (sign 1) or subtract them (-1)."""
        meter = self._meters.get(owner)
        if meter is None:
            meter = self._meters[owner] = _Meter(accumulated_until=now)
        meter.accumulate(now)
        meter.held = meter.held + held if sign > 0 else meter.held - held

    def tick(self, now: int) -> None:
        """Apportion the capacity every ``APPORTION_INTERVAL_MS``."""
        if now - self._apportioned_until >= APPORTION_INTERVAL_MS:
            self.apportion_span(now)

    def apportion_span(self, now: int) -> None:
        """Divide the capacity of the time since the last call among the owners."""
        capacity = self._capacity.pop_total(now)
        used = {name: meter.pop_total(now) for name, meter in self._meters.items()}
        hour = self._apportioned_until // HOUR_MS
        self._apportioned_until = now
        spans = self.hours.setdefault(hour, {})
        names = sorted(self.owners.keys() | used.keys())
        for name in names:
            spans.setdefault(name, OwnerSpan())
        for dim in range(DIMENSIONS):
            amounts = [used[name][dim] if name in used else 0 for name in names]
            self._apportion_dimension(dim, capacity[dim], names, amounts, spans)
        self.capacity.setdefault(hour, Amounts()).add(Amounts(capacity))
        for expired in [x for x in self.hours if x < hour - RETAINED_HOURS]:
            del self.hours[expired]
            del self.capacity[expired]

    def _apportion_dimension(
        self,
        dim: int,
        capacity: int,
        names: list[str],
        used: list[int],
        spans: dict[str, OwnerSpan],
    ) -> None:
        weights = [self._weight(name) for name in names]
        idle_weights = [self._idle_weight(name) for name in names]
        entitled = apportion(capacity, weights)
        idle = apportion(capacity - sum(used), idle_weights)
        borrowed = [max(0, u - e) for u, e in zip(used, entitled, strict=True)]
        unused = [float(max(0, e - u)) for u, e in zip(used, entitled, strict=True)]
        lent = apportion(sum(borrowed), unused)
        for i, name in enumerate(names):
            span = spans[name]
            span.used.values[dim] += used[i]
            span.borrowed.values[dim] += borrowed[i]
            span.lent.values[dim] += lent[i]
            span.idle.values[dim] += idle[i]

    def _weight(self, name: str) -> float:
        owner = self.owners.get(name)
        return owner.weight if owner else 0.0

    def _idle_weight(self, name: str) -> float:
        owner = self.owners.get(name)
        return owner.idle_weight if owner else 0.0

    def totals(self) -> dict[str, OwnerSpan]:
        """Return the sums of each owner over the retained hours."""
        totals: dict[str, OwnerSpan] = {}
        for spans in self.hours.values():
            for name, span in spans.items():
                totals.setdefault(name, OwnerSpan()).add(span)
        return totals
