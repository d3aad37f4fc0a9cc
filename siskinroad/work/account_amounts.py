"""Arithmetic with amounts of a limit: thousandths of each of its dimensions."""

from __future__ import annotations

from siskinroad.resources import Resources
from siskinroad.work.account_limits import WHOLE
from siskinroad.work.account_use import UNLIMITED

__all__ = [
    "NO_AMOUNTS",
    "Amounts",
    "add",
    "apply_shares",
    "at_least_nothing",
    "find_useless",
    "is_held",
    "lack",
    "larger",
    "multiply",
    "round_down",
    "smaller",
    "subtract",
    "subtract_to_nothing",
]

# Thousandths of a limit: of processors, of memory, of accelerators.
Amounts = tuple[int, int, int]
NO_AMOUNTS: Amounts = (0, 0, 0)


def apply_shares(limit: Resources, amounts: Amounts) -> Resources:
    """Return the part of a limit, rounded down; unlimited where there is no limit."""
    cpu, memory, accelerators = amounts
    return Resources(
        limit.cpu_milli * cpu // WHOLE if limit.cpu_milli else UNLIMITED,
        limit.memory_mib * memory // WHOLE if limit.memory_mib else UNLIMITED,
        limit.accelerators * accelerators // WHOLE if limit.accelerators else UNLIMITED,
        UNLIMITED,
    )


def lack(limit: Resources, held: Resources, has: Amounts) -> Amounts:
    """Return the thousandths that an amount takes beyond ``has``, rounded up."""
    return (
        _lack_of(limit.cpu_milli, held.cpu_milli, has[0]),
        _lack_of(limit.memory_mib, held.memory_mib, has[1]),
        _lack_of(limit.accelerators, held.accelerators, has[2]),
    )


def _lack_of(limit: int, held: int, has: int) -> int:
    if not limit:
        return 0
    needed = min(WHOLE, -(-held * WHOLE // limit))
    return max(0, needed - has)


def round_down(limit: Resources, held: Resources) -> Amounts:
    """Return the thousandths that an amount covers for certain."""
    return (
        held.cpu_milli * WHOLE // limit.cpu_milli if limit.cpu_milli else 0,
        held.memory_mib * WHOLE // limit.memory_mib if limit.memory_mib else 0,
        held.accelerators * WHOLE // limit.accelerators if limit.accelerators else 0,
    )


def find_useless(total: Resources) -> Amounts:
    """Return 1 for each dimension of which a pool with hosts has no capacity."""
    if not is_held(total):
        return NO_AMOUNTS
    return (
        int(not total.cpu_milli),
        int(not total.memory_mib),
        int(not total.accelerators),
    )


def is_held(held: Resources) -> bool:
    """Return whether anything is held."""
    return bool(held.cpu_milli or held.memory_mib or held.accelerators)


def add(a: Amounts, b: Amounts) -> Amounts:
    """Return the sum of two amounts."""
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2])


def multiply(a: Amounts, b: Amounts) -> Amounts:
    """Return the product of two amounts, by dimension."""
    return (a[0] * b[0], a[1] * b[1], a[2] * b[2])


def subtract(a: Amounts, b: Amounts) -> Amounts:
    """Return the difference of two amounts."""
    return (a[0] - b[0], a[1] - b[1], a[2] - b[2])


def at_least_nothing(a: Amounts) -> Amounts:
    """Return an amount with 0 in place of what is negative."""
    return (max(0, a[0]), max(0, a[1]), max(0, a[2]))


def subtract_to_nothing(a: Amounts, b: Amounts) -> Amounts:
    """Return the difference of two amounts, but nothing negative."""
    return at_least_nothing(subtract(a, b))


def smaller(a: Amounts, b: Amounts) -> Amounts:
    """Return the smaller one in each dimension."""
    return (min(a[0], b[0]), min(a[1], b[1]), min(a[2], b[2]))


def larger(a: Amounts, b: Amounts) -> Amounts:
    """Return the larger one in each dimension."""
    return (max(a[0], b[0]), max(a[1], b[1]), max(a[2], b[2]))
