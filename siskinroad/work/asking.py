"""Timing of advice requests, and the choice of hosts to request advice about.

Three loads shape the rules:

- Steps whose tickets expire while they wait for capacity. The capacity is reserved
  until new tickets arrive.
- Accelerator hosts at nine tenths of their load, which would be idle for the duration
  of each advisor call. Tickets are renewed before the capacity becomes free.
- Jobs of several short steps. Advice for the next step is requested while the one
  before it still runs.
"""

from __future__ import annotations

from collections.abc import Iterable

from siskinroad.work.book import Book
from siskinroad.work.effects import AskAdvice
from siskinroad.work.host import Host
from siskinroad.work.job import StepRun
from siskinroad.work.model import Advice, Queue
from siskinroad.work.plan import Plan, Trial, can_hold

__all__ = ["Asker"]

# Seconds before its expiry from which a ticket is no longer used. With a smaller
# margin, it may expire while the start command travels between two regions or waits
# behind another command.
TICKET_MARGIN = 0.2
# Largest number of hosts in one advisor call, a limit of the platform's interface.
MAX_HOSTS_PER_CALL = 100
# Extra hosts to ask about when tickets are renewed, beyond those whose tickets expire.
SPARE_HOSTS = 2
# Seconds for which capacity stays reserved beyond the expected duration of the call.
RESERVATION_MARGIN = 0.3
# Seconds, beyond the expected duration of the call, by which a request for tickets
# precedes the time when they are needed.
EARLY_REQUEST_MARGIN = 0.15
# Largest number of blocked steps per plan whose tickets are renewed before their
# capacity is free.
MAX_EARLY_RENEWALS = 3


class Asker:
    """Decides when to request advice, and about which hosts.

    Parameters
    ----------
    book : Book
        The pool state.
    """

    def __init__(self, book: Book) -> None:
        self.book = book

    def is_advised(self, plan: Plan, step: StepRun, advice: Advice) -> bool:
        """Return whether the allowed hosts are known; request advice if not."""
        if step.asking:
            return bool(step.tickets)
        unknown = [h for h in plan.hosts if h.name not in step.asked]
        eligible = [h.name for h in unknown if can_hold(h, step)]
        if not eligible:
            return bool(step.tickets)
        if step.asked and any(h.name in step.tickets for h in plan.hosts):
            return True
        self._request_advice(plan, step, advice, eligible[:MAX_HOSTS_PER_CALL])
        return False

    def without_ticket(
        self, step: StepRun, hosts: Iterable[Host], at: float
    ) -> list[Host]:
        """Return the hosts whose tickets can no longer be used at loop time ``at``."""
        return [h for h in hosts if step.tickets[h.name][1] - TICKET_MARGIN <= at]

    def renew(
        self,
        plan: Plan,
        step: StepRun,
        placement: Trial,
        advice: Advice,
        hosts: list[Host],
    ) -> None:
        """Reserve the chosen capacity and request new tickets for ``hosts``."""
        names = self._add_spare_hosts(step, hosts)
        until = plan.now + advice.duration(len(names)) + RESERVATION_MARGIN
        for host in hosts:
            capacity = step.spec.need.times(placement.counts[host.name])
            host.reserved[step.key] = (capacity, until)
        if not step.asking:
            self._request_advice(plan, step, advice, names)

    def renew_ahead(self, plan: Plan, step: StepRun, advice: Advice) -> None:
        """Request new tickets so that they arrive when the capacity becomes free."""
        if step.asking or plan.renewed >= MAX_EARLY_RENEWALS:
            return
        hosts, at = self._next_capacity(plan, step)
        stale = self.without_ticket(step, hosts, at)
        if not stale:
            return
        names = self._add_spare_hosts(step, stale)
        if at - plan.now <= advice.duration(len(names)) + EARLY_REQUEST_MARGIN:
            plan.renewed += 1
            self._request_advice(plan, step, advice, names)

    def _next_capacity(self, plan: Plan, step: StepRun) -> tuple[list[Host], float]:
        """Return the hosts that will have capacity for a step, and when all have it.

        The list is empty if no such time can be predicted.
        """
        openings: list[tuple[float, Host]] = []
        for host in plan.hosts:
            if host.name in step.tickets:
                openings += [
                    (at, host) for at in self._capacity_times(plan, step, host)
                ]
        openings.sort(key=lambda opening: opening[0])
        count = len(step.waiting()) if step.spec.gang else 1
        chosen = openings[:count]
        if len(chosen) < count:
            return [], plan.now
        return list({h.name: h for _, h in chosen}.values()), chosen[-1][0]

    def _capacity_times(self, plan: Plan, step: StepRun, host: Host) -> list[float]:
        """Return when a host has capacity for one, two and more tasks of a step."""
        need = step.spec.need
        capacity = host.free(step.key, plan.now)
        speeds = self.book.speeds
        ends = [
            (plan.now + speeds.remaining(run, plan.now), run.need)
            for run in host.runs.values()
        ]
        ends.sort(key=lambda end: end[0])
        times: list[float] = []
        at = plan.now
        for end, freed in [*ends, (float("inf"), need)]:
            while need.fits(capacity):
                capacity = capacity - need
                times.append(at)
            capacity = capacity + freed
            at = end
        return times

    def look_ahead(self, plan: Plan) -> None:
        """Request advice for steps that become ready when the running ones end."""
        for step in list(self.book.ready.values()):
            queue = self.book.queues.get(step.job.queue)
            if queue is None or queue.advice is None or step.job.closed:
                continue
            for after in step.job.steps.values():
                if step.number in after.spec.after:
                    self._request_ahead(plan, after, queue, queue.advice)

    def _request_ahead(
        self, plan: Plan, step: StepRun, queue: Queue, advice: Advice
    ) -> None:
        """Request advice for a step if all steps that it waits for are about to end."""
        if step.asking or step.asked:
            return
        predecessors = [step.job.steps[step.occurrence, i] for i in step.spec.after]
        eligible = [h.name for h in plan.hosts if can_hold(h, step)][
            :MAX_HOSTS_PER_CALL
        ]
        duration = advice.duration(len(eligible)) + EARLY_REQUEST_MARGIN
        remaining_time = max(
            self._remaining_time(each, plan.now) for each in predecessors
        )
        if eligible and remaining_time <= duration:
            self._request_advice(plan, step, advice, eligible)

    def _remaining_time(self, step: StepRun, now: float) -> float:
        """Return the estimated seconds until a step ends; infinity if unknown."""
        if step.waiting():
            return float("inf")
        remaining_time = 0.0
        for task in step.tasks:
            if task.state == "done":
                continue
            host = self.book.hosts.get(task.host)
            run = host.runs.get((task.id, task.run)) if host is not None else None
            if run is None or run.state != "running":
                return float("inf")
            remaining_time = max(remaining_time, self.book.speeds.remaining(run, now))
        return remaining_time

    def _add_spare_hosts(self, step: StepRun, hosts: Iterable[Host]) -> list[str]:
        """Return the names of ``hosts`` and of a few others with tickets."""
        names = {host.name for host in hosts}
        spare = [n for n in step.tickets if n not in names and n in self.book.hosts]
        return [*sorted(names), *spare[:SPARE_HOSTS]]

    def _request_advice(
        self, plan: Plan, step: StepRun, advice: Advice, names: Iterable[str]
    ) -> None:
        """Request advice, unless the channels are busy; then a later plan does."""
        hosts = tuple(names)
        duration = advice.duration(len(hosts))
        if plan.lines is not None and not plan.lines.take(duration):
            return
        step.asking = True
        plan.effects.append(AskAdvice(step.key, hosts, duration))
