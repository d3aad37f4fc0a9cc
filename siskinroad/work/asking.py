"""Which hosts the advisor is asked about, and when.

Loads that this answers: steps whose tickets expire while they wait for room (it is
reserved until the new tickets are there); accelerator hosts at nine tenths of their
load, which would stand idle for the time of each question (tickets are renewed before
the room is free); jobs of several short steps (the next one is asked about while the
one before it still works).
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

# Seconds before its expiry at which a ticket is not used any more: the way of a
# start between two regions and its wait behind another order.
TICKET_MARGIN = 0.2
# Hosts that the advisor answers for in one call, by the platform's page.
MAX_ASKED = 100
# Hosts asked about beyond the tasks that wait, when a ticket has expired.
SPARE_HOSTS = 2
# Seconds for which room is reserved beyond the advisor's expected answer.
RESERVE_SLACK = 0.3
# Seconds before tickets are needed, beyond the advisor's expected answer, at which
# they are asked for.
EARLY_SLACK = 0.15
# Blocked steps of one plan whose tickets are renewed ahead of their room.
MAX_RENEWED = 3


class Asker:
    """Decides on questions to the advisor.

    Parameters
    ----------
    book : Book
        What is known of the pool.
    """

    def __init__(self, book: Book) -> None:
        self.book = book

    def is_advised(self, plan: Plan, step: StepRun, advice: Advice) -> bool:
        """Return whether the allowed hosts are known; ask if they are not."""
        if step.asking:
            return bool(step.tickets)
        unknown = [h for h in plan.hosts if h.name not in step.asked]
        able = [h.name for h in unknown if can_hold(h, step)]
        if not able:
            return bool(step.tickets)
        if step.asked and any(h.name in step.tickets for h in plan.hosts):
            return True
        self._ask(plan, step, advice, able[:MAX_ASKED])
        return False

    def without_ticket(
        self, step: StepRun, hosts: Iterable[Host], at: float
    ) -> list[Host]:
        """Return the hosts whose tickets cannot be used any more at a time."""
        return [h for h in hosts if step.tickets[h.name][1] - TICKET_MARGIN <= at]

    def renew(
        self,
        plan: Plan,
        step: StepRun,
        trial: Trial,
        advice: Advice,
        hosts: list[Host],
    ) -> None:
        """Reserve the chosen room and ask for new tickets of these hosts."""
        asked = self._with_spare(step, hosts)
        until = plan.now + advice.duration(len(asked)) + RESERVE_SLACK
        for host in hosts:
            room = step.spec.need.times(trial.counts[host.name])
            host.reserved[step.key] = (room, until)
        if not step.asking:
            self._ask(plan, step, advice, asked)

    def renew_ahead(self, plan: Plan, step: StepRun, advice: Advice) -> None:
        """Ask for new tickets so that they come when the room does."""
        if step.asking or plan.renewed >= MAX_RENEWED:
            return
        hosts, at = self._next_room(plan, step)
        stale = self.without_ticket(step, hosts, at)
        if not stale:
            return
        asked = self._with_spare(step, stale)
        if at - plan.now <= advice.duration(len(asked)) + EARLY_SLACK:
            plan.renewed += 1
            self._ask(plan, step, advice, asked)

    def _next_room(self, plan: Plan, step: StepRun) -> tuple[list[Host], float]:
        """Return the hosts that will have room for a step, and when all have it.

        Without an expectation the list is empty.
        """
        rooms: list[tuple[float, Host]] = []
        for host in plan.hosts:
            if host.name in step.tickets:
                rooms += [(at, host) for at in self._room_times(plan, step, host)]
        rooms.sort(key=lambda room: room[0])
        count = len(step.waiting()) if step.spec.gang else 1
        chosen = rooms[:count]
        if len(chosen) < count:
            return [], plan.now
        return list({h.name: h for _, h in chosen}.values()), chosen[-1][0]

    def _room_times(self, plan: Plan, step: StepRun, host: Host) -> list[float]:
        """Return when a host has room for one task of a step, for two, and so on."""
        need = step.spec.need
        room = host.free(step.key, plan.now)
        speeds = self.book.speeds
        ends = [
            (plan.now + speeds.remaining(run, plan.now), run.need)
            for run in host.runs.values()
        ]
        ends.sort(key=lambda end: end[0])
        times: list[float] = []
        at = plan.now
        for end, freed in [*ends, (float("inf"), need)]:
            while need.fits(room):
                room = room - need
                times.append(at)
            room = room + freed
            at = end
        return times

    def look_ahead(self, plan: Plan) -> None:
        """Ask about steps that become ready as soon as the last tasks have ended."""
        for step in list(self.book.ready.values()):
            queue = self.book.queues.get(step.job.queue)
            if queue is None or queue.advice is None or step.job.closed:
                continue
            for after in step.job.steps.values():
                if step.number in after.spec.after:
                    self._ask_early(plan, after, queue, queue.advice)

    def _ask_early(
        self, plan: Plan, step: StepRun, queue: Queue, advice: Advice
    ) -> None:
        """Ask about a step that waits for others, if they are about to end."""
        if step.asking or step.asked:
            return
        before = [step.job.steps[step.occurrence, i] for i in step.spec.after]
        able = [h.name for h in plan.hosts if can_hold(h, step)][:MAX_ASKED]
        duration = advice.duration(len(able)) + EARLY_SLACK
        left = max(self._left(each, plan.now) for each in before)
        if able and left <= duration:
            self._ask(plan, step, advice, able)

    def _left(self, step: StepRun, now: float) -> float:
        """Return the seconds until a step has probably ended."""
        if step.waiting():
            return float("inf")
        left = 0.0
        for task in step.tasks:
            if task.state == "done":
                continue
            host = self.book.hosts.get(task.host)
            run = host.runs.get((task.id, task.run)) if host is not None else None
            if run is None or run.state != "running":
                return float("inf")
            left = max(left, self.book.speeds.remaining(run, now))
        return left

    def _with_spare(self, step: StepRun, hosts: Iterable[Host]) -> list[str]:
        """Return the names of hosts, and of a few more that the step may use."""
        names = {host.name for host in hosts}
        spare = [n for n in step.tickets if n not in names and n in self.book.hosts]
        return [*sorted(names), *spare[:SPARE_HOSTS]]

    def _ask(
        self, plan: Plan, step: StepRun, advice: Advice, names: Iterable[str]
    ) -> None:
        """Ask, unless the lines to the advisor are busy: a later plan does then."""
        hosts = tuple(names)
        duration = advice.duration(len(hosts))
        if plan.lines is not None and not plan.lines.take(duration):
            return
        step.asking = True
        plan.effects.append(AskAdvice(step.key, hosts, duration))
