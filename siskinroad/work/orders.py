"""Sends an owner's orders to hosts, and its questions to the advisor."""

from __future__ import annotations

import asyncio
import logging

from siskinroad.errors import NotSentError, OutcomeUnknownError, SiskinroadError
from siskinroad.work.effects import AskAdvice, Effect, PaceRun, StartRun, StopRun
from siskinroad.work.host import Host, Run
from siskinroad.work.hosts import Order, Rejection, StartOrder
from siskinroad.work.term import Term

__all__ = ["Orders", "doubt_claim"]

# Seconds for one order: a way between regions, and a host under load.
ORDER_TIME = 0.5
# Orders on their way to one host; more would open more connections.
ORDERS_PER_HOST = 3
STOP_RETRY = 0.25
# Seconds before the advisor is asked again after it gave no answer.
ADVICE_RETRY = 0.05

log = logging.getLogger("siskinroad.orders")


def doubt_claim(term: Term, host: Host) -> None:
    """Note that a host has seen a higher token than this owner ever gave it."""
    log.warning(
        "orders: host follows another owner",
        extra={"host": host.name, "pool": term.pool, "token": host.token},
    )
    host.call_failed()
    term.doubted()


class Orders:
    """Carries single effects out and tells the book of the answers."""

    def __init__(self, term: Term) -> None:
        self.term = term
        self._slots: dict[str, asyncio.Semaphore] = {}

    def _slot(self, host: str) -> asyncio.Semaphore:
        slot = self._slots.get(host)
        if slot is None:
            slot = self._slots[host] = asyncio.Semaphore(ORDERS_PER_HOST)
        return slot

    async def start(self, effect: StartRun) -> None:
        """Send a start, under the token that the host has by then."""
        host = self.term.book.hosts.get(effect.host)
        if host is None:
            return
        loop = asyncio.get_running_loop()
        async with self._slot(host.name):
            now = loop.time()
            if not self.term.book.may_send(host, effect.run):
                self.term.carry_out(self.term.book.start_dropped(host, effect.run, now))
                return
            until = host.lease_until(now)
            if until is None or not self.term.may_act():
                self.term.carry_out(
                    self.term.book.start_not_sent(host, effect.run, now)
                )
                return
            # A token raised meanwhile voids this start; the new one applies.
            effect.run.token = host.token
            host.granted(now)
            task, number = effect.run.key
            order = StartOrder(
                host.name,
                host.entry.address,
                host.token,
                task,
                number,
                effect.payload,
                until,
                effect.checkpoint,
                effect.ticket,
            )
            effects = await self._send_start(host, effect.run, order)
        self.term.carry_out(effects)
        self.term.plan_wanted.set()

    async def _send_start(
        self, host: Host, run: Run, order: StartOrder
    ) -> list[Effect]:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        outcome = "started"
        try:
            async with asyncio.timeout(host.patience()):
                answer = await self.term.parts.link.start(order)
        except NotSentError as exc:
            outcome = f"not sent: {exc}"
            effects = self.term.book.start_not_sent(host, run, loop.time())
            host.call_failed()
        except (OutcomeUnknownError, TimeoutError) as exc:
            outcome = f"unknown: {exc}"
            host.answered_in(loop.time() - sent_at)
            effects = self.term.book.start_unanswered(host, run, loop.time())
            host.call_failed()
        else:
            host.answered_in(loop.time() - sent_at)
            effects = self._started(host, run, order, answer.rejection)
            if answer.rejection is not None:
                outcome = answer.rejection.value
        self.term.parts.metrics.starts.labels(outcome.partition(":")[0]).inc()
        log.info(
            "orders: start",
            extra={
                "request": order.task.job,
                "task": f"{order.task.occurrence}.{order.task.step}.{order.task.index}",
                "run": order.run,
                "host": host.name,
                "token": order.token,
                "list_age_s": round(sent_at - host.clock_at, 2),
                "took_s": round(loop.time() - sent_at, 3),
                "outcome": outcome,
            },
        )
        return effects

    def _started(
        self, host: Host, run: Run, order: StartOrder, rejection: Rejection | None
    ) -> list[Effect]:
        now = asyncio.get_running_loop().time()
        if rejection is Rejection.FENCED and order.token >= host.token:
            doubt_claim(self.term, host)
        if rejection is Rejection.UNWELL:
            host.call_failed()
        if rejection is Rejection.OTHER_LIFE:
            self.term.book.host_unlisted(host.name, now)
            host.call_failed()
        return self.term.book.start_answered(host, run, rejection, now)

    async def stop(self, effect: StopRun) -> None:
        """Send a stop until it is answered or the run is over."""
        task, number = effect.run.key
        while True:
            host = self.term.book.hosts.get(effect.host)
            if host is None:
                return
            async with self._slot(host.name):
                if effect.run.state == "over":
                    return
                # The token may have been raised while this waited for the slot.
                order = self._order(host, effect.run)
                outcome, answered = await self._send_stop(order)
            log.info(
                "orders: stop",
                extra={
                    "request": task.job,
                    "task": f"{task.occurrence}.{task.step}.{task.index}",
                    "run": number,
                    "host": host.name,
                    "token": order.token,
                    "why": effect.reason,
                    "outcome": outcome,
                },
            )
            if answered:
                return
            await asyncio.sleep(STOP_RETRY)

    async def _send_stop(self, order: Order) -> tuple[str, bool]:
        """Send one stop; return its outcome, and whether that is final."""
        try:
            async with asyncio.timeout(ORDER_TIME):
                answer = await self.term.parts.link.stop(order)
        except (NotSentError, OutcomeUnknownError, TimeoutError) as exc:
            return f"unknown: {exc}", False
        if answer.rejection is None:
            return "sent", True
        host = self.term.book.hosts.get(order.host)
        overtaken = host is not None and order.token < host.token
        again = answer.rejection is Rejection.FENCED and overtaken
        return answer.rejection.value, not again

    def _order(self, host: Host, run: Run) -> Order:
        task, number = run.key
        return Order(host.name, host.entry.address, host.token, task, number)

    async def pace(self, effect: PaceRun) -> None:
        """Send a change of pace; one without an answer is decided anew later."""
        host = self.term.book.hosts.get(effect.host)
        if host is None:
            return
        outcome = "sent"
        try:
            async with self._slot(host.name), asyncio.timeout(ORDER_TIME):
                order = self._order(host, effect.run)
                await self.term.parts.link.pace(order, effect.percent)
        except (NotSentError, OutcomeUnknownError, TimeoutError) as exc:
            outcome = f"unknown: {exc}"
            effect.run.pace = -1
        log.info(
            "orders: pace",
            extra={
                "request": effect.run.key[0].job,
                "host": host.name,
                "percent": effect.percent,
                "outcome": outcome,
            },
        )

    async def ask(self, effect: AskAdvice) -> None:
        """Ask for advice and note the tickets for the step."""
        loop = asyncio.get_running_loop()
        step = self.term.book.step_by_key(effect.step)
        if step is None:
            return
        try:
            advised = await self.term.parts.lines.ask(
                effect.step, effect.hosts, effect.duration
            )
        except SiskinroadError:
            self.term.parts.metrics.retries.labels("advice").inc()
            await asyncio.sleep(ADVICE_RETRY)
        else:
            until = loop.time() + advised.valid
            step.asked.update(effect.hosts)
            for host, ticket in advised.tickets.items():
                step.tickets[host] = (ticket, until)
        step.asking = False
        self.term.plan_wanted.set()
