"""Tests of the budget of received bytes."""

import random

from siskinroad.receive_budget import (
    DEFAULT_BUDGET,
    FREE_BYTES,
    MIN_BUDGET,
    ReceiveBudget,
    budget_from_memory,
)


class Connection:
    """Holder that notes when it has to give way."""

    def __init__(self):
        self.has_given_way = False

    def give_way(self):
        self.has_given_way = True


def test_small_bodies_have_room_while_the_budget_is_used_up():
    budget, large, small = ReceiveBudget(1000), Connection(), Connection()
    assert budget.grow(large, FREE_BYTES + 1000)
    budget.complete(large)
    assert budget.grow(small, FREE_BYTES)
    assert not budget.grow(small, FREE_BYTES + 1)
    assert not large.has_given_way


def test_the_oldest_incomplete_body_gives_way_first():
    budget = ReceiveBudget(1000)
    first, second, third = Connection(), Connection(), Connection()
    assert budget.grow(first, FREE_BYTES + 400)
    assert budget.grow(second, FREE_BYTES + 400)
    assert budget.grow(first, FREE_BYTES + 500)
    assert budget.grow(third, FREE_BYTES + 600)
    assert [c.has_given_way for c in (first, second, third)] == [True, False, False]
    assert budget.used == 1000
    assert not budget.grow(second, FREE_BYTES + 500)


def test_what_is_released_has_room_again():
    budget, conn = ReceiveBudget(1000), Connection()
    assert budget.grow(conn, FREE_BYTES + 1000)
    budget.complete(conn)
    budget.release(conn)
    budget.release(conn)
    assert budget.used == 0
    assert budget.grow(conn, FREE_BYTES + 1000)


def test_any_order_of_events_stays_within_the_budget():
    rng = random.Random(1)
    budget, conns = ReceiveBudget(10_000), [Connection() for _ in range(20)]
    sizes = dict.fromkeys(conns, 0)
    for _ in range(5000):
        conn = rng.choice(conns)
        match rng.randrange(6):
            case 0:
                budget.release(conn)
                sizes[conn] = 0
            case 1 if sizes[conn]:
                budget.complete(conn)
                budget.release(conn)
                sizes[conn] = 0
            case _:
                sizes[conn] += rng.randrange(4000)
                if not budget.grow(conn, sizes[conn]):
                    budget.release(conn)
                    sizes[conn] = 0
        for other in conns:
            if other.has_given_way:
                other.has_given_way = False
                sizes[other] = 0
        counted = sum(max(0, size - FREE_BYTES) for size in sizes.values())
        assert budget.used == counted <= budget.capacity


def test_the_budget_follows_the_memory_of_the_process():
    assert budget_from_memory(0).capacity == DEFAULT_BUDGET
    assert budget_from_memory(20).capacity == MIN_BUDGET
    assert budget_from_memory(72).capacity == 8_000_000
    assert budget_from_memory(300).capacity == 65_000_000
    assert budget_from_memory(100_000).capacity == DEFAULT_BUDGET
