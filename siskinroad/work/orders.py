"""Sending an owner's commands to hosts, and its requests to the advisor."""

from __future__ import annotations

import asyncio
import logging

from siskinroad.errors import NotSentError, OutcomeUnknownError, SiskinroadError
from siskinroad.work.effects import AskAdvice, Effect, PaceRun, StartRun, StopRun
from siskinroad.work.host import Host, Run
from siskinroad.work.hosts import Order, Rejection, StartOrder
from siskinroad.work.term import Term

__all__ = ["Orders", "report_higher_token"]

# Seconds for one command, enough for a round trip between regions to a loaded host.
COMMAND_TIMEOUT = 0.5
# Concurrent commands to one host; more would open more connections.
MAX_COMMANDS_PER_HOST = 3
# Seconds before a stop that got no answer is sent again.
STOP_RETRY_INTERVAL = 0.25
# Seconds before another advice request after one that failed.
ADVICE_RETRY_INTERVAL = 0.05

log = logging.getLogger("siskinroad.orders")


def report_higher_token(term: Term, host: Host) -> None:
    """Report that a host has seen a higher token than this owner ever sent to it."""
    log.warning(
        "orders: host rejected the token; it has accepted another owner's higher one",
        extra={"host": host.name, "pool": term.pool, "token": host.token},
    )
    host.call_failed()
    term.doubted()


class Orders:
    """A command sender that reports the hosts' replies to the pool state."""

    def __init__(self, term: Term) -> None:
        self.term = term
        self._semaphores: dict[str, asyncio.Semaphore] = {}

    def _semaphore(self, host: str) -> asyncio.Semaphore:
        semaphore = self._semaphores.get(host)
        if semaphore is None:
            semaphore = self._semaphores[host] = asyncio.Semaphore(
                MAX_COMMANDS_PER_HOST
            )
        return semaphore

    async def start(self, effect: StartRun) -> None:
        """Send a start with the host's token at the time of sending."""
        host = self.term.book.hosts.get(effect.host)
        if host is None:
            return
        loop = asyncio.get_running_loop()
        async with self._semaphore(host.name):
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
            # The token may have been raised since the effect was created, and the host
            # would reject the old one.
            effect.run.token = host.token
            host.granted(now)
            task, number = effect.run.key
            command = StartOrder(
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
            effects = await self._send_start(host, effect.run, command)
        self.term.carry_out(effects)
        self.term.plan_wanted.set()

    async def _send_start(
        self, host: Host, run: Run, command: StartOrder
    ) -> list[Effect]:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        outcome = "started"
        try:
            async with asyncio.timeout(host.patience()):
                reply = await self.term.parts.link.start(command)
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
            effects = self._handle_start_reply(host, run, command, reply.rejection)
            if reply.rejection is not None:
                outcome = reply.rejection.value
        self.term.parts.metrics.starts.labels(outcome.partition(":")[0]).inc()
        log.info(
            "orders: start",
            extra={
                "request": command.task.job,
                "task": (
                    f"{command.task.occurrence}.{command.task.step}"
                    f".{command.task.index}"
                ),
                "run": command.run,
                "host": host.name,
                "token": command.token,
                "list_age_s": round(sent_at - host.clock_at, 2),
                "took_s": round(loop.time() - sent_at, 3),
                "outcome": outcome,
            },
        )
        return effects

    def _handle_start_reply(
        self, host: Host, run: Run, command: StartOrder, rejection: Rejection | None
    ) -> list[Effect]:
        now = asyncio.get_running_loop().time()
        if rejection is Rejection.FENCED and command.token >= host.token:
            report_higher_token(self.term, host)
        if rejection is Rejection.UNWELL:
            host.call_failed()
        if rejection is Rejection.OTHER_LIFE:
            self.term.book.host_unlisted(host.name, now)
            host.call_failed()
        return self.term.book.start_answered(host, run, rejection, now)

    async def stop(self, effect: StopRun) -> None:
        """Send a stop, repeated until it is answered or the run has ended."""
        task, number = effect.run.key
        while True:
            host = self.term.book.hosts.get(effect.host)
            if host is None:
                return
            async with self._semaphore(host.name):
                if effect.run.state == "over":
                    return
                # The token may have been raised while this waited for the semaphore.
                command = self._make_command(host, effect.run)
                outcome, is_final = await self._send_stop(command)
            log.info(
                "orders: stop",
                extra={
                    "request": task.job,
                    "task": f"{task.occurrence}.{task.step}.{task.index}",
                    "run": number,
                    "host": host.name,
                    "token": command.token,
                    "why": effect.reason,
                    "outcome": outcome,
                },
            )
            if is_final:
                return
            await asyncio.sleep(STOP_RETRY_INTERVAL)

    async def _send_stop(self, command: Order) -> tuple[str, bool]:
        """Send one stop; return its outcome and whether it is final."""
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT):
                reply = await self.term.parts.link.stop(command)
        except (NotSentError, OutcomeUnknownError, TimeoutError) as exc:
            return f"unknown: {exc}", False
        if reply.rejection is None:
            return "sent", True
        host = self.term.book.hosts.get(command.host)
        is_superseded = host is not None and command.token < host.token
        is_retryable = reply.rejection is Rejection.FENCED and is_superseded
        return reply.rejection.value, not is_retryable

    def _make_command(self, host: Host, run: Run) -> Order:
        task, number = run.key
        return Order(host.name, host.entry.address, host.token, task, number)

    async def pace(self, effect: PaceRun) -> None:
        """Throttle a run; if there is no answer, the monitor decides again later."""
        host = self.term.book.hosts.get(effect.host)
        if host is None:
            return
        outcome = "sent"
        try:
            async with self._semaphore(host.name), asyncio.timeout(COMMAND_TIMEOUT):
                command = self._make_command(host, effect.run)
                await self.term.parts.link.pace(command, effect.percent)
        except (NotSentError, OutcomeUnknownError, TimeoutError) as exc:
            outcome = f"unknown: {exc}"
            effect.run.pace = -1
        log.info(
            "orders: throttle",
            extra={
                "request": effect.run.key[0].job,
                "host": host.name,
                "percent": effect.percent,
                "outcome": outcome,
            },
        )

    async def ask(self, effect: AskAdvice) -> None:
        """Request advice and store the tickets that it grants to the step."""
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
            await asyncio.sleep(ADVICE_RETRY_INTERVAL)
        else:
            until = loop.time() + advised.valid
            step.asked.update(effect.hosts)
            for host, ticket in advised.tickets.items():
                step.tickets[host] = (ticket, until)
        step.asking = False
        self.term.plan_wanted.set()
