"""Tests that the free processors counted for urgent steps are those they could use."""

from dataclasses import replace

from siskinroad.resources import Resources
from siskinroad.work.schedulable_hosts import make_schedulable_hosts
from siskinroad.work.urgent_room import compute_usable_cpu
from tests.work.cell import ADVISED, HOST_CAPACITY, job, step
from tests.work.test_planner import add_job, give_tickets, make_pool_state

ENOUGH = float("inf")
WHOLE_HOST = HOST_CAPACITY.cpu_milli


class Pool:
    """Two empty hosts, and urgent steps that wait."""

    def __init__(self):
        self.state = make_pool_state(["i-0", "i-1"])
        self.steps = []

    def add(self, name, spec, *tickets, answered=("i-0", "i-1")):
        """Add a job of one step with tickets for some hosts."""
        added = add_job(self.state, name, job(spec), "advised")
        added.steps[0, 0].advice.answered.update(answered)
        if tickets:
            give_tickets(added, *tickets)
        self.steps.append(added.steps[0, 0])

    def compute(self, enough=ENOUGH):
        hosts = make_schedulable_hosts(list(self.state.hosts.values()), None)
        return compute_usable_cpu(self.steps, hosts, self.state.queues, enough)


def test_many_steps_for_one_host_do_not_count_its_room_more_than_once():
    pool = Pool()
    for i in range(20):
        pool.add(f"one-{i}", step(1, cpu_milli=4000), "i-0")
    assert pool.compute() == WHOLE_HOST


def test_a_step_that_may_use_any_host_takes_no_room_that_only_another_can_use():
    pool = Pool()
    pool.add("any", step(8, cpu_milli=4000), answered=())
    pool.add("bound", step(8, cpu_milli=4000), "i-0")
    assert pool.compute() == 2 * WHOLE_HOST


def test_one_step_for_any_host_does_not_make_the_room_of_all_usable_for_others():
    pool = Pool()
    pool.add("bound", step(40, cpu_milli=4000), "i-0")
    pool.add("any", step(1, cpu_milli=4000), answered=())
    assert pool.compute() == WHOLE_HOST + 4000


def test_room_of_a_host_that_the_advisor_was_not_asked_about_is_usable():
    # Its ticket may come at any moment; other work would have taken the room by then.
    pool = Pool()
    pool.add("new", step(40, cpu_milli=4000), answered=("i-0",))
    assert pool.compute() == WHOLE_HOST


def test_gaps_that_fit_no_task_yet_count_as_usable():
    # Small tasks would fill each of them, and no large urgent task would ever fit.
    pool = Pool()
    pool.state.hosts["i-0"].used = Resources(31000, 1000, 0, 0)
    pool.add("large", step(2, cpu_milli=20000), "i-0")
    assert pool.compute() == 1000


def test_steps_of_a_queue_without_advice_may_use_every_host():
    pool = Pool()
    pool.state.queues["advised"] = replace(ADVISED, advice=None)
    pool.add("plain", step(40, cpu_milli=4000))
    assert pool.compute() == 2 * WHOLE_HOST
