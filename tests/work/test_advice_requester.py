"""Tests of when advice is requested, and about which hosts."""

import asyncio
import dataclasses

import pytest

from siskinroad.work.advisor_channels import ChannelTimes
from siskinroad.work.effects import RequestAdvice, StartRun
from siskinroad.work.headroom import UrgentHeadroom
from siskinroad.work.hosts import HostReport, Rejection, RunStatus
from siskinroad.work.planner import Planner
from tests.work.cell import ADVISED, CONFIGURATION, POOL, entry, job, step
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_planner import (
    add_job,
    answer_advice,
    give_tickets,
    list_starts,
    make_pool_state,
    plan,
)

# An advisor call takes 0.1 s plus 0.01 s for each host; tickets are valid for 2 s.
LARGE = {"cpu_milli": 30000, "estimate": 4.0}


def advice_requests(effects):
    return [(e.step, e.hosts) for e in effects if isinstance(e, RequestAdvice)]


def accept_starts(pool_state, effects, now):
    """Record every start of a plan as accepted by its host."""
    for effect in effects:
        if isinstance(effect, StartRun):
            pool_state.apply_start_reply(
                pool_state.hosts[effect.host], effect.run, None, now
            )


def report_progress(pool_state, percent, now):
    """Report all runs of every host at the same progress in percent."""
    for host in pool_state.hosts.values():
        running = tuple(RunStatus(t, n, "", percent, 0) for t, n in host.runs)
        report = HostReport(1000 + int(now * 1000), 1, running, ())
        pool_state.apply_report(host, report, host.token, now, now, now)


class AdvisedPool:
    """Pool in steps of 0.2 s, with an advisor and hosts that reply by the next step.

    Attributes
    ----------
    allowed : set of str
        Hosts that the advisor allows.
    rejecting : set of str
        Hosts that reject every ticket.
    requests : list of tuple
        Loop time and hosts of each advice request.
    starts : list of tuple
        Loop time, job and host of each start command.
    """

    STEP_S = 0.2

    def __init__(self, pool_state, allowed=(), rejecting=()):
        self.pool_state = pool_state
        self.planner = Planner(pool_state)
        self.allowed = set(allowed)
        self.rejecting = set(rejecting)
        self.requests = []
        self.starts = []
        self._unanswered = []

    def run(self, begin, seconds):
        """Plan once in each step; return the loop time of the end."""
        count = round(seconds / self.STEP_S)
        for i in range(count):
            self._play_step(begin + i * self.STEP_S)
        return begin + count * self.STEP_S

    def _play_step(self, now):
        for request in self._unanswered:
            answer_advice(self.pool_state, request, self.allowed, now + 2.0)
        self._unanswered = []
        report_progress(self.pool_state, 50, now)
        for effect in self.planner.plan(now, now):
            if isinstance(effect, RequestAdvice):
                self.requests.append((now, effect.hosts))
                self._unanswered.append(effect)
            elif isinstance(effect, StartRun):
                self._reply_to_start(effect, now)

    def _reply_to_start(self, effect, now):
        self.starts.append((now, effect.run.key[0].job, effect.host))
        rejection = Rejection.TICKET if effect.host in self.rejecting else None
        host = self.pool_state.hosts[effect.host]
        self.pool_state.apply_start_reply(
            host, effect.run, rejection, now, ticket=effect.ticket
        )


def fill_host(pool_state, now):
    """Fill the first host that has capacity with a task that does not end."""
    service = step(1, cpu_milli=30000, long_running=True)
    name = f"service-{now}"
    add_job(pool_state, name, job(service), "fast")
    effects = plan(pool_state, now, now)
    accept_starts(pool_state, effects, now)
    ((_, host),) = list_starts(effects)
    return host


def make_blocked_step(expires):
    """Return pool state with one busy host, and a job that waits for its capacity."""
    pool_state = make_pool_state(["i-0"])
    add_job(pool_state, "first", job(step(1, **LARGE)), "slow")
    accept_starts(pool_state, plan(pool_state, 0.1), 0.1)
    waiting_job = add_job(pool_state, "waits", job(step(1, **LARGE)), "advised")
    give_tickets(waiting_job, "i-0", until=expires)
    return pool_state, waiting_job


def test_tickets_are_renewed_just_before_capacity_becomes_free():
    # Large tasks on nearly full accelerator hosts: tickets requested only once the
    # capacity is free would leave the host idle for the duration of the call.
    pool_state, waiting_job = make_blocked_step(expires=1.0)
    report_progress(pool_state, 50, 2.1)
    assert advice_requests(plan(pool_state, 2.1)) == []
    report_progress(pool_state, 95, 3.9)
    assert advice_requests(plan(pool_state, 3.9)) == [
        (waiting_job.steps[0, 0].key, ("i-0",))
    ]
    assert advice_requests(plan(pool_state, 3.95)) == []


def test_runs_that_end_at_the_same_time_free_their_capacity_together():
    # The large task fits only once both runs have ended.
    pool_state = make_pool_state(["i-0"])
    half = {"cpu_milli": 15000, "estimate": 4.0}
    add_job(
        pool_state, "first", job(step(1, **half), step(1, memory_mib=7, **half)), "slow"
    )
    accept_starts(pool_state, plan(pool_state, 0.1), 0.1)
    waiting_job = add_job(pool_state, "waits", job(step(1, **LARGE)), "advised")
    give_tickets(waiting_job, "i-0", until=1.0)
    report_progress(pool_state, 95, 3.9)
    assert advice_requests(plan(pool_state, 3.9)) == [
        (waiting_job.steps[0, 0].key, ("i-0",))
    ]


def test_tickets_valid_until_capacity_is_free_are_not_renewed():
    # A needless renewal would occupy the advisor.
    pool_state, _ = make_blocked_step(expires=9.0)
    report_progress(pool_state, 95, 3.9)
    assert advice_requests(plan(pool_state, 3.9)) == []


def test_gang_tickets_are_renewed_once_capacity_for_all_members_is_near():
    # Renewed for the first member, they could expire before the last run ends.
    pool_state = make_pool_state(["i-0", "i-1"])
    add_job(pool_state, "first", job(step(2, **LARGE)), "slow")
    accept_starts(pool_state, plan(pool_state, 0.1), 0.1)
    gang = add_job(pool_state, "gang", job(step(2, gang=True, **LARGE)), "advised")
    give_tickets(gang, "i-0", "i-1", until=1.0)
    report_progress(pool_state, 95, 3.9)
    (last_run,) = pool_state.hosts["i-1"].runs.values()
    last_run.progress = 50
    assert advice_requests(plan(pool_state, 3.9)) == []
    last_run.progress = 95
    assert advice_requests(plan(pool_state, 3.9)) == [
        (gang.steps[0, 0].key, ("i-0", "i-1"))
    ]


def test_advice_for_the_next_step_is_requested_while_its_predecessor_runs():
    # Jobs of several short steps, worth most within a second or two: a request made
    # only when the next step is ready would delay each step by a call.
    pool_state = make_pool_state(["i-0", "i-1"])
    two_steps = add_job(
        pool_state, "both", job(step(2), step(1, after=(0,))), "advised"
    )
    give_tickets(two_steps, "i-0", "i-1")
    accept_starts(pool_state, plan(pool_state, 0.1), 0.1)
    assert advice_requests(plan(pool_state, 0.2)) == []
    report_progress(pool_state, 80, 0.9)
    assert advice_requests(plan(pool_state, 0.95)) == [
        (two_steps.steps[0, 1].key, ("i-0", "i-1"))
    ]
    assert advice_requests(plan(pool_state, 1.0)) == []
    # With its tickets present, the step starts as soon as it is ready.
    two_steps.steps[0, 1].is_advice_pending = False
    give_tickets(two_steps, "i-0", "i-1", step_number=1)
    for task in two_steps.steps[0, 0].tasks:
        task.move("done")
    pool_state.ready.pop(two_steps.steps[0, 0].key)
    pool_state._collect_ready_steps(two_steps, 1.1)
    assert [name for name, _ in list_starts(plan(pool_state, 1.1))] == ["both"]


def test_advice_for_the_next_step_is_not_requested_while_predecessors_wait():
    # The end of tasks that have not started is unknown; tickets would expire unused.
    pool_state = make_pool_state(["i-0"])
    two_steps = add_job(
        pool_state, "both", job(step(2, cpu_milli=30000), step(1, after=(0,)))
    )
    two_steps.queue = "advised"
    give_tickets(two_steps, "i-0")
    accept_starts(pool_state, plan(pool_state, 0.1), 0.1)
    report_progress(pool_state, 95, 0.95)
    assert advice_requests(plan(pool_state, 0.96)) == []


def test_advice_is_requested_for_the_most_urgent_steps_first_and_the_rest_later():
    # A takeover while many steps wait for advice, with one channel free: requests for
    # all of them at once would delay the urgent step behind the others.
    pool_state = make_pool_state(["i-0", "i-1"])
    for i in range(5):
        add_job(pool_state, f"old{i}", job(step(1, estimate=9.0)), "advised", at=-0.05)
    urgent = add_job(pool_state, "young", job(step(1, estimate=0.1)), "advised")
    effects = Planner(pool_state).plan(0.1, 0.1, ChannelTimes([0.0], [0.2]))
    assert advice_requests(effects) == [(urgent.steps[0, 0].key, ("i-0", "i-1"))]
    later = advice_requests(
        Planner(pool_state).plan(0.3, 0.3, ChannelTimes([0.0], [0.2]))
    )
    assert len(later) == 1 and later[0][0][0].startswith("old")


def test_a_host_that_rejected_the_last_ticket_of_a_step_is_asked_about_again():
    # Every host of the pool was asked about and one was allowed. If its rejected
    # ticket is only dropped, nothing asks about it again and the task waits for ever.
    pool_state = make_pool_state(["i-0", "i-1"])
    waiting_job = add_job(pool_state, "waits", job(), "advised")
    give_tickets(waiting_job, "i-0")
    waiting_job.steps[0, 0].advice.answered.add("i-1")
    pool = AdvisedPool(pool_state, allowed={"i-0"}, rejecting={"i-0"})
    now = pool.run(0.2, 0.4)
    assert pool.starts
    pool.rejecting.clear()
    pool.starts.clear()
    pool.run(now, 2.0)
    assert [(name, host) for _, name, host in pool.starts] == [("waits", "i-0")]
    assert {hosts for _, hosts in pool.requests} == {("i-0",)}


def test_a_host_that_keeps_rejecting_tickets_is_asked_about_ever_more_seldom():
    # Each advisor call occupies a channel that other steps need.
    pool_state = make_pool_state(["i-0"])
    waiting_job = add_job(pool_state, "waits", job(), "advised")
    give_tickets(waiting_job, "i-0")
    pool = AdvisedPool(pool_state, allowed={"i-0"}, rejecting={"i-0"})
    now = pool.run(0.2, 20.0)
    assert 3 <= len(pool.requests) <= 12
    # A host that accepts tickets at last is found out within a few seconds.
    pool.rejecting.clear()
    pool.starts.clear()
    pool.run(now, 5.0)
    assert [(name, host) for _, name, host in pool.starts] == [("waits", "i-0")]


def make_large_pool(**fields):
    """Return a pool of 120 hosts, and a job that has a ticket for the full one.

    The job was asked about the first hundred hosts, the most in one call, and is
    blocked by a task on its only allowed host that does not end.
    """
    names = [f"i-{i:03}" for i in range(120)]
    pool_state = make_pool_state(names)
    assert fill_host(pool_state, 0.1) == names[0]
    waiting_job = add_job(pool_state, "waits", job(step(1, **fields)), "advised")
    give_tickets(waiting_job, names[0])
    waiting_job.steps[0, 0].advice.answered.update(names[:100])
    return pool_state, names


def test_other_hosts_are_asked_about_when_those_with_tickets_are_full():
    # One host with a ticket can be used but is full, and twenty empty hosts were never
    # asked about.
    pool_state, names = make_large_pool()
    pool = AdvisedPool(pool_state, allowed={names[0], names[110]})
    pool.run(0.2, 3.0)
    assert [(name, host) for _, name, host in pool.starts] == [("waits", names[110])]
    asked = {host for _, hosts in pool.requests for host in hosts}
    assert asked == set(names[100:])


def test_hosts_that_the_advisor_did_not_allow_are_not_asked_about_again():
    # The set of hosts that a step may use does not change.
    pool_state, names = make_large_pool()
    pool = AdvisedPool(pool_state, allowed={names[0]})
    pool.run(0.2, 20.0)
    assert not pool.starts
    asked = [host for _, hosts in pool.requests for host in hosts]
    assert len(asked) == len(set(asked))


def test_no_other_host_is_asked_about_while_one_with_a_ticket_has_capacity_soon():
    # A call about many hosts takes longer than the wait.
    names = [f"i-{i:03}" for i in range(120)]
    pool_state = make_pool_state(names)
    add_job(pool_state, "first", job(step(1, **LARGE)), "slow")
    accept_starts(pool_state, plan(pool_state, 0.1), 0.1)
    waiting_job = add_job(pool_state, "waits", job(step(1, **LARGE)), "advised")
    give_tickets(waiting_job, names[0])
    waiting_job.steps[0, 0].advice.answered.update(names[:100])
    report_progress(pool_state, 99, 4.05)
    assert advice_requests(plan(pool_state, 4.05, 4.05)) == []


def test_other_hosts_are_asked_about_when_capacity_that_is_expected_stays_away():
    # A run that is always about to end must not put the request off for ever.
    names = [f"i-{i:03}" for i in range(120)]
    pool_state = make_pool_state(names)
    add_job(pool_state, "first", job(step(1, **LARGE)), "slow")
    accept_starts(pool_state, plan(pool_state, 0.1), 0.1)
    waiting_job = add_job(pool_state, "waits", job(step(1, **LARGE)), "advised")
    give_tickets(waiting_job, names[0])
    waiting_job.steps[0, 0].advice.answered.update(names[:100])
    planner = Planner(pool_state)
    requests = []
    for i in range(40):
        now = 4.05 + 0.2 * i
        report_progress(pool_state, 99, now)
        # The run is placed so that it has 0.05 s left in every pass.
        (run,) = pool_state.hosts[names[0]].runs.values()
        run.begun_at = now - 0.05 * 99
        requests += advice_requests(planner.plan(now, now))
    assert len(requests) == 1


def test_a_gang_asks_about_other_hosts_when_those_allowed_cannot_hold_it():
    # The hosts that were never asked about are full, so that capacity on them is no
    # reason to ask: only with tickets are they reserved for the gang.
    names = [f"i-{i:03}" for i in range(102)]
    pool_state = make_pool_state(names)
    for i in range(102):
        fill_host(pool_state, 0.1 + i / 1000)
    gang = add_job(pool_state, "gang", job(step(2, gang=True, **LARGE)), "advised")
    give_tickets(gang, names[0])
    gang.steps[0, 0].advice.answered.update(names[:100])
    pool = AdvisedPool(pool_state, allowed={names[0]})
    pool.run(0.4, 5.0)
    assert [hosts for _, hosts in pool.requests] == [(names[100], names[101])]


def test_a_step_asks_about_other_hosts_when_its_limit_per_host_is_reached():
    # The allowed host has capacity, but already runs as many tasks as it may.
    names = [f"i-{i:03}" for i in range(101)]
    pool_state = make_pool_state(names)
    spread = step(2, spread=1, estimate=60.0)
    waiting_job = add_job(pool_state, "waits", job(spread), "advised")
    give_tickets(waiting_job, names[0])
    waiting_job.steps[0, 0].advice.answered.update(names[:100])
    pool = AdvisedPool(pool_state, allowed={names[0], names[100]})
    pool.run(0.2, 3.0)
    assert [host for _, _, host in pool.starts] == [names[0], names[100]]


def test_empty_hosts_are_asked_about_first_where_one_call_cannot_name_all():
    # With a full hundred in the first call, the step would need a second one.
    names = [f"i-{i:03}" for i in range(120)]
    pool_state = make_pool_state(names)
    full = {fill_host(pool_state, 0.1 + i / 1000) for i in range(20)}
    add_job(pool_state, "waits", job(step(1, **LARGE)), "advised")
    ((_, hosts),) = advice_requests(plan(pool_state, 0.2, 0.2))
    assert set(hosts) == set(names) - full


def restart_host(pool_state, name, now):
    """Report a new incarnation of a host, which runs nothing."""
    host = pool_state.hosts[name]
    report = HostReport(5, 2, (), ())
    pool_state.apply_report(host, report, host.token, now, now, now)


def test_no_start_carries_a_ticket_of_a_former_incarnation():
    # A ticket holds for one life of the host: the start would be rejected.
    pool_state = make_pool_state(["i-0", "i-1"])
    waiting_job = add_job(pool_state, "waits", job(), "advised")
    give_tickets(waiting_job, "i-0")
    waiting_job.steps[0, 0].advice.answered.add("i-1")
    restart_host(pool_state, "i-0", 0.1)
    effects = plan(pool_state, 0.2)
    assert list_starts(effects) == []
    assert advice_requests(effects) == [(waiting_job.steps[0, 0].key, ("i-0",))]


def test_a_new_incarnation_of_a_host_that_was_not_allowed_is_asked_about():
    # It may be of another kind, which the step may use.
    pool_state = make_pool_state(["i-0", "i-1"])
    waiting_job = add_job(pool_state, "waits", job(), "advised")
    waiting_job.steps[0, 0].advice.answered.update(("i-0", "i-1"))
    restart_host(pool_state, "i-1", 0.1)
    assert advice_requests(plan(pool_state, 0.2)) == [
        (waiting_job.steps[0, 0].key, ("i-1",))
    ]


def test_a_host_that_was_removed_and_comes_back_is_asked_about():
    # It may have restarted meanwhile, and its former tickets be worthless.
    pool_state = make_pool_state(["i-0", "i-1"])
    waiting_job = add_job(pool_state, "waits", job(), "advised")
    give_tickets(waiting_job, "i-0")
    waiting_job.steps[0, 0].advice.answered.add("i-1")
    pool_state.replace_host(pool_state.hosts["i-0"], 0.1)
    pool_state.add_or_update_host(entry("i-0"), 0.1)
    pool_state.hosts["i-0"].is_stored = True
    restart_host(pool_state, "i-0", 0.15)
    effects = plan(pool_state, 0.2)
    assert list_starts(effects) == []
    assert advice_requests(effects) == [(waiting_job.steps[0, 0].key, ("i-0",))]


def test_a_host_that_a_renewal_does_not_allow_loses_its_ticket():
    # With the expired ticket kept, the step would reserve the host's capacity and
    # renew the ticket for ever.
    async def scenario(cell):
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 60.0
        await cell.start_daemons("a")
        owner = cell.daemons["a"].owners[POOL]
        await cell.submit("a", "first", job(step(2, **LARGE)))
        await cell.wait_for_starts(2)
        waiting_job = add_job(owner.pool_state, "waits", job(), "advised", at=0.0)
        step_run = waiting_job.steps[0, 0]
        for denied in ({"i-1"}, {"i-0", "i-1"}):
            cell.advisor.denied = denied
            request = RequestAdvice(step_run.key, ("i-0", "i-1"), 0.1)
            await owner.host_commands.request_advice(request)
        assert not step_run.tickets
        # The two answers contradict each other, so one more call settles it.
        cell.advisor.calls = 0
        await asyncio.sleep(5.0)
        assert cell.advisor.calls == 1
        assert not step_run.tickets

    run_scenario(scenario, hosts=2)


def test_an_advisor_call_that_is_cancelled_does_not_count_as_in_flight():
    # The step would wait for its reply for ever.
    async def scenario(cell):
        await cell.start_daemons("a")
        channels = cell.daemons["a"].owners[POOL].dependencies.advisor_channels
        request_advice = channels.request_advice
        cancelled = []

        async def cancel_first(*args):
            if not cancelled:
                cancelled.append(args)
                raise asyncio.CancelledError
            return await request_advice(*args)

        channels.request_advice = cancel_first
        await cell.submit("a", JOB_ID, job(), ADVISED)
        await cell.wait_for_starts(1, seconds=5.0)
        assert cancelled

    run_scenario(scenario)


def test_a_queue_that_needs_no_advice_any_more_sends_no_expired_ticket():
    # The start was withdrawn for its ticket each time, and planned again.
    async def scenario(cell):
        await cell.start_daemons("a")
        owner = cell.daemons["a"].owners[POOL]
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 60.0
        for name in ("first", JOB_ID):
            spec = job(step(1, cpu_milli=30000))
            await cell.submit("a", name, spec, ADVISED)
            await cell.wait_for_starts(1)
        await asyncio.sleep(5.0)
        queues = tuple(
            dataclasses.replace(queue, advice=None) for queue in CONFIGURATION.queues
        )
        owner.configure(dataclasses.replace(CONFIGURATION, version=9, queues=queues))
        await cell.daemons["a"].job_service.cancel(ADVISED, "first", cell.deadline())
        await cell.wait_for_starts(2, seconds=5.0)

    run_scenario(scenario, hosts=1)


def test_a_step_that_only_the_urgent_headroom_blocks_asks_about_no_other_host(
    monkeypatch,
):
    # Its allowed host has capacity, and so would the others.
    names = [f"i-{i:03}" for i in range(101)]
    pool_state = make_pool_state(names)
    waiting_job = add_job(pool_state, "waits", job(), "advised")
    give_tickets(waiting_job, names[0])
    waiting_job.steps[0, 0].advice.answered.update(names[:100])
    monkeypatch.setattr(
        UrgentHeadroom, "compute_headroom", lambda self, capacity, used: capacity
    )
    planner = Planner(pool_state)
    effects = [effect for i in range(10) for effect in planner.plan(i / 4, i / 4)]
    assert effects == []


def test_a_pass_asks_about_other_hosts_for_few_steps():
    # After the loss of a host that many steps may use, their requests together would
    # occupy every advisor channel.
    pool_state, names = make_large_pool()
    for i in range(30):
        other = add_job(pool_state, f"waits-{i}", job(), "advised")
        give_tickets(other, names[0])
        other.steps[0, 0].advice.answered.update(names[:100])
    pool = AdvisedPool(pool_state, allowed={names[0], names[110]})
    pool.run(0.2, 1.0)
    times = [at for at, _ in pool.requests]
    assert max(times.count(at) for at in times) == 3
    pool.run(1.2, 5.0)
    started = {name for _, name, _ in pool.starts}
    # The newly allowed host has room for eight of them.
    assert len(started) == 8


@pytest.mark.parametrize("queue", ["fast", "advised"])
def test_capacity_is_not_reserved_for_ever_for_a_step_without_an_answer(queue):
    # The advisor does not reply: neither is a channel free, nor does a call end.
    for channels in (ChannelTimes([9.0], [9.0]), None):
        pool_state = make_pool_state(["i-0"])
        medium = step(1, cpu_milli=20000)
        waiting_job = add_job(pool_state, "waits", job(medium), "advised")
        give_tickets(waiting_job, "i-0", until=0.0)
        planner = Planner(pool_state)
        planner.plan(0.1, 0.1, channels)
        other = add_job(pool_state, "other", job(step(1, cpu_milli=14000)), queue)
        give_tickets(other, "i-0")
        starts = []
        for i in range(20):
            now = 0.2 + 0.2 * i
            report_progress(pool_state, 0, now)
            starts += [(now, *s) for s in list_starts(planner.plan(now, now, channels))]
        ((at, name, _),) = starts
        assert name == "other"
        if channels is None and queue == "advised":
            # A reservation for the length of a usual call still holds.
            assert 1.0 < at < 3.0
        else:
            # Without a call, or for a more urgent step, there is none.
            assert at == 0.2


def test_an_answer_lets_a_step_reserve_capacity_again():
    pool_state = make_pool_state(["i-0"])
    waiting_job = add_job(pool_state, "waits", job(step(1, **LARGE)), "advised")
    give_tickets(waiting_job, "i-0", until=0.0)
    planner = Planner(pool_state)
    for i in range(20):
        now = 0.2 + 0.2 * i
        report_progress(pool_state, 0, now)
        planner.plan(now, now)
    host = pool_state.hosts["i-0"]
    assert host.free_capacity(("other", 0, 0), 4.8) == host.entry.capacity
    # The ticket of the late answer has expired once more.
    waiting_job.steps[0, 0].is_advice_pending = False
    give_tickets(waiting_job, "i-0", until=4.9)
    planner.plan(4.9, 4.9)
    assert host.free_capacity(("other", 0, 0), 5.0) != host.entry.capacity


def test_renewals_do_not_put_off_a_gang_s_request_about_other_hosts():
    # Two allowed hosts have room for the whole gang, but may run one task each. While
    # the gang waits, their tickets are renewed again and again.
    names = [f"i-{i:03}" for i in range(102)]
    pool_state = make_pool_state(names)
    gang = add_job(pool_state, "gang", job(step(3, gang=True, spread=1)), "advised")
    give_tickets(gang, *names[:2], until=0.3)
    gang.steps[0, 0].advice.answered.update(names[:100])
    pool = AdvisedPool(pool_state, allowed={*names[:2], names[101]})
    pool.run(0.2, 6.0)
    assert {host for _, _, host in pool.starts} == {*names[:2], names[101]}
    assert pool.starts[0][0] < 4.0


def test_a_renewal_names_no_more_hosts_than_one_call_may():
    # The advisor rejects a larger call each time. The hosts whose tickets have expired
    # first are named, so that the others get theirs in the next call.
    names = [f"i-{i:03}" for i in range(120)]
    for is_gang in (False, True):
        pool_state = make_pool_state(names)
        spec = step(120, gang=is_gang, **LARGE)
        wide = add_job(pool_state, "wide", job(spec), "advised")
        give_tickets(wide, *names[:60], until=0.0)
        give_tickets(wide, *names[60:], until=-1.0)
        planner = Planner(pool_state)
        ((_, hosts),) = advice_requests(planner.plan(0.1, 0.1))
        assert len(hosts) == 100 and set(names[60:]) < set(hosts)
        give_tickets(wide, *hosts, until=2.0)
        wide.steps[0, 0].is_advice_pending = False
        ((_, hosts),) = advice_requests(planner.plan(0.3, 0.3))
        assert set(names[40:60]) <= set(hosts)
