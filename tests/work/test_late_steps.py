"""Tests of the turns that late large steps get beside a steady load."""

from siskinroad.work.late_steps import (
    LONGEST_TURN_S,
    MIN_WAIT_S,
    PAUSE_S,
    LateStepTurns,
)
from tests.work.cell import job, step
from tests.work.test_planner import add_job, make_pool_state


def make_late_steps(*names):
    """Return steps whose tasks have waited since loop time 0."""
    pool_state = make_pool_state(["i-0"])
    steps = []
    for name in names:
        accepted_job = add_job(pool_state, name, job(step(cpu_milli=30000)))
        late_step = accepted_job.steps[0, 0]
        late_step.stamp_waits(0.0)
        steps.append(late_step)
    return steps


def test_a_step_gets_no_turn_before_it_has_waited():
    (late_step,) = make_late_steps("late")
    turns = LateStepTurns()
    assert turns.choose([late_step], MIN_WAIT_S - 0.1) is None
    assert turns.choose([late_step], MIN_WAIT_S) is late_step


def test_a_step_that_cannot_be_placed_gives_up_its_turn_after_a_while():
    # Otherwise a step whose hosts never get free would withhold one for good.
    first, second = make_late_steps("first", "second")
    turns = LateStepTurns()
    began_at = MIN_WAIT_S
    assert turns.choose([first, second], began_at) is first
    ended_at = began_at + LONGEST_TURN_S
    assert turns.choose([first, second], ended_at - 0.1) is first
    assert turns.choose([first, second], ended_at) is None
    assert turns.choose([first, second], ended_at + PAUSE_S - 0.1) is None
    assert turns.choose([first, second], ended_at + PAUSE_S) is second


def test_a_placed_step_ends_its_turn_and_the_next_one_waits_for_the_pause():
    # Late work would otherwise take the place of steps in time, one after another.
    first, second = make_late_steps("first", "second")
    turns = LateStepTurns()
    assert turns.choose([first, second], MIN_WAIT_S) is first
    assert turns.choose([second], MIN_WAIT_S + 1.0) is None
    assert turns.choose([second], MIN_WAIT_S + 1.0 + PAUSE_S) is second
