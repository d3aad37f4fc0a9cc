"""Reads by several ways, on a paused clock."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.work.read_race import READ_LATE_AFTER, ReadRace
from siskinroad.work.store import (
    StoreUnavailableError,
    StoreUnknownError,
    TrimmedError,
)

WAIT_S = 1.0


class Ways:
    """Ways that answer with their number, or fail, after some seconds."""

    def __init__(self, *outcomes):
        self.outcomes = outcomes
        self.taken = []

    def list_all(self):
        return [self._make_way(i) for i in range(len(self.outcomes))]

    def _make_way(self, number):
        async def way(wait):
            self.taken.append((number, wait))
            after_s, error = self.outcomes[number]
            await asyncio.sleep(after_s)
            if error is not None:
                raise error
            return number

        return way


def run_race(ways):
    """Return the answer, and the seconds until then."""

    async def scenario():
        began = asyncio.get_running_loop().time()
        answer = await ReadRace().run(ways.list_all(), WAIT_S)
        return answer, asyncio.get_running_loop().time() - began

    return run_on_paused_clock(scenario())


REJECTED = StoreUnavailableError("busy", step="store.read")
SILENT = StoreUnknownError("no reply", step="store.read")


def test_a_read_that_is_answered_in_time_goes_one_way():
    ways = Ways((WAIT_S, None), (0.0, None))
    assert run_race(ways) == (0, WAIT_S)
    assert ways.taken == [(0, WAIT_S)]


def test_a_late_read_goes_the_next_ways_too_without_a_wait():
    ways = Ways((9.0, SILENT), (9.0, SILENT), (0.1, None))
    answer, took_s = run_race(ways)
    assert answer == 2
    assert took_s == pytest.approx(WAIT_S + 2 * READ_LATE_AFTER + 0.1)
    assert ways.taken == [(0, WAIT_S), (1, 0.0), (2, 0.0)]


def test_a_rejected_read_may_wait_on_the_next_way():
    ways = Ways((0.1, REJECTED), (WAIT_S, None))
    assert run_race(ways)[0] == 1
    assert ways.taken == [(0, WAIT_S), (1, WAIT_S)]


def test_a_read_that_every_way_rejects_goes_no_more_than_two():
    ways = Ways((0.0, REJECTED), (0.0, REJECTED), (0.0, None), (0.0, None))
    with pytest.raises(StoreUnavailableError):
        run_race(ways)
    assert len(ways.taken) == 2


def test_an_error_that_is_an_answer_ends_the_read():
    ways = Ways((9.0, SILENT), (0.0, TrimmedError(7)))
    with pytest.raises(TrimmedError):
        run_race(ways)


def test_a_read_whose_answer_is_arriving_goes_no_further_way():
    """Several copies of one answer on a small link delay each other."""

    async def scenario():
        ways = Ways((WAIT_S + 8.0, None), (0.0, None))
        answer = await ReadRace().run(ways.list_all(), WAIT_S, is_arriving=lambda: True)
        assert (answer, ways.taken) == (0, [(0, WAIT_S)])

    run_on_paused_clock(scenario())


def test_a_read_whose_answer_stands_still_goes_the_next_way():
    async def scenario():
        loop = asyncio.get_running_loop()
        began = loop.time()
        ways = Ways((20.0, None), (0.1, None))
        answer = await ReadRace().run(
            ways.list_all(), WAIT_S, is_arriving=lambda: loop.time() < began + 3.0
        )
        assert answer == 1
        assert loop.time() - began < 3.0 + 2 * READ_LATE_AFTER

    run_on_paused_clock(scenario())
