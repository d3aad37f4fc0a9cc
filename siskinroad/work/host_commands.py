"""Sending an owner's commands to hosts, and its requests to the advisor."""

from __future__ import annotations

import asyncio
import logging

from siskinroad.errors import NotSentError, OutcomeUnknownError, SiskinroadError
from siskinroad.fair_timeout import FairTimeout
from siskinroad.work.effects import (
    Effect,
    RequestAdvice,
    StartRun,
    StopRun,
    ThrottleRun,
)
from siskinroad.work.host import Host, Run
from siskinroad.work.hosts import HostCommand, Rejection, StartCommand
from siskinroad.work.job import StepRun
from siskinroad.work.term import Term

__all__ = ["HostCommands", "report_higher_token"]

# Seconds for one command, enough for a round trip between regions to a loaded host.
COMMAND_TIMEOUT = 0.5
# Concurrent commands to one host; more would open more connections.
MAX_COMMANDS_PER_HOST = 3
# Seconds before a stop that got no answer is sent again.
STOP_RETRY_INTERVAL = 0.25
# Seconds before another advice request after one that failed.
ADVICE_RETRY_INTERVAL = 0.05

log = logging.getLogger("siskinroad.host_commands")


def report_higher_token(term: Term, host: Host) -> None:
    """Report that a host has seen a higher token than this owner ever sent to it.

    Only the first rejection of a token is reported: once the claims have been read
    since then, a further one does not show that another daemon owns the pool.
    """
    if host.rejected_token == host.token:
        host.record_failed_request(asyncio.get_running_loop().time())
        return
    host.rejected_token = host.token
    log.warning(
        "host_commands: host rejected the token; "
        "it has accepted another owner's higher one",
        extra={"host": host.name, "pool": term.pool, "token": host.token},
    )
    host.record_failed_request(asyncio.get_running_loop().time())
    term.on_ownership_uncertain()


class HostCommands:
    """A command sender that reports the hosts' replies to the pool state."""

    def __init__(self, term: Term) -> None:
        self.term = term
        self._semaphores: dict[str, asyncio.Semaphore] = {}

    def _get_semaphore(self, host: str) -> asyncio.Semaphore:
        semaphore = self._semaphores.get(host)
        if semaphore is None:
            semaphore = self._semaphores[host] = asyncio.Semaphore(
                MAX_COMMANDS_PER_HOST
            )
        return semaphore

    async def start(self, effect: StartRun) -> None:
        """Send a start with the host's token at the time of sending."""
        host = self.term.pool_state.hosts.get(effect.host)
        if host is None:
            return
        loop = asyncio.get_running_loop()
        async with self._get_semaphore(host.name):
            now = loop.time()
            if not self.term.pool_state.may_send_start(host, effect.run):
                self.term.execute_effects(
                    self.term.pool_state.drop_start(host, effect.run, now)
                )
                return
            command = self._make_start_command(host, effect, now)
            if command is None or not self.term.is_owner_confirmed():
                self.term.execute_effects(
                    self.term.pool_state.note_start_not_sent(host, effect.run, now)
                )
                return
            effect.run.token = command.token
            end_by = self.term.pool_state.claims.leases_end_by
            host.extend_lease_expiry(now, end_by)
            effects = await self._send_start(host, effect.run, command)
        self.term.execute_effects(effects)
        self.term.plan_requested.set()

    def _make_start_command(
        self, host: Host, effect: StartRun, now: float
    ) -> StartCommand | None:
        """Return the command with what holds now; None if it may not be sent.

        The host's token may have been raised since the effect was created, and the
        host would reject the lower one. A host that has failed may be another
        incarnation with its own clock, so no lease is computed for it.
        """
        is_outdated = host.is_report_outdated or host.is_entry_outdated
        is_usable = not host.is_failing and not is_outdated
        end_by = self.term.pool_state.claims.leases_end_by
        lease_until_ms = host.lease_until(now, end_by) if is_usable else None
        ticket = self._find_ticket(effect, now)
        if lease_until_ms is None or ticket is None:
            return None
        task, run_number = effect.run.key
        return StartCommand(
            host.name,
            host.entry.address,
            host.token,
            task,
            run_number,
            effect.payload,
            lease_until_ms,
            effect.checkpoint,
            ticket,
        )

    def _find_ticket(self, effect: StartRun, now: float) -> str | None:
        """Return the ticket for a start; None if it has expired while this waited.

        A queue may need no advice any more: its steps may still hold tickets.
        """
        if not effect.ticket:
            return ""
        step = self.term.pool_state.step(effect.run.key[0])
        if step is None:
            return None
        queue = self.term.pool_state.queues.get(step.job.queue)
        if queue is None or queue.advice is None:
            return ""
        ticket = step.tickets.get(effect.host)
        if ticket is None or now >= ticket.valid_until:
            return None
        return ticket.value

    async def _send_start(
        self, host: Host, run: Run, command: StartCommand
    ) -> list[Effect]:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        outcome = "started"
        try:
            async with FairTimeout(host.reply_timeout_s()):
                reply = await self.term.dependencies.host_client.start(command)
        except NotSentError as exc:
            outcome = f"not sent: {exc}"
            effects = self.term.pool_state.note_start_not_sent(host, run, loop.time())
            host.record_failed_request(asyncio.get_running_loop().time())
        except (OutcomeUnknownError, TimeoutError) as exc:
            outcome = f"unknown: {exc}"
            host.record_reply_time(loop.time() - sent_at)
            effects = self.term.pool_state.note_start_without_reply(
                host, run, loop.time()
            )
            # A broken connection may show a restart; a lost reply shows nothing of a
            # host that has reported since.
            is_reply_lost = isinstance(exc, TimeoutError) and host.reported_at > sent_at
            if not is_reply_lost:
                host.record_failed_request(asyncio.get_running_loop().time())
        else:
            host.record_reply_time(loop.time() - sent_at)
            effects = self._handle_start_reply(host, run, command, reply.rejection)
            if reply.rejection is not None:
                outcome = reply.rejection.value
        self.term.dependencies.metrics.starts.labels(outcome.partition(":")[0]).inc()
        log.info(
            "host_commands: start command finished",
            extra={
                "request": command.task.job,
                "task": (
                    f"{command.task.occurrence}.{command.task.step}"
                    f".{command.task.index}"
                ),
                "run": command.run,
                "host": host.name,
                "token": command.token,
                "list_age_s": round(sent_at - host.clock_read_at, 2),
                "claims_age_s": self.term.pool_state.claims.age_s(sent_at),
                "took_s": round(loop.time() - sent_at, 3),
                "outcome": outcome,
            },
        )
        return effects

    def _handle_start_reply(
        self, host: Host, run: Run, command: StartCommand, rejection: Rejection | None
    ) -> list[Effect]:
        now = asyncio.get_running_loop().time()
        if rejection is Rejection.FENCED and command.token >= host.token:
            report_higher_token(self.term, host)
        if rejection is Rejection.UNAVAILABLE:
            host.record_failed_request(asyncio.get_running_loop().time())
        if rejection is Rejection.OTHER_INCARNATION:
            # The next renewal shows whether the host has gone.
            host.record_failed_request(asyncio.get_running_loop().time())
        return self.term.pool_state.apply_start_reply(
            host, run, rejection, now, ticket=command.ticket
        )

    async def stop(self, effect: StopRun) -> None:
        """Send a stop, repeated until it is answered or the run has ended.

        An owner that was paused may have lost the pool meanwhile: the stop waits until
        its claim is confirmed.
        """
        task, run_number = effect.run.key
        while True:
            host = self.term.pool_state.hosts.get(effect.host)
            if host is None:
                return
            if not self.term.is_owner_confirmed():
                await asyncio.sleep(STOP_RETRY_INTERVAL)
                continue
            async with self._get_semaphore(host.name):
                if effect.run.state == "over":
                    return
                # The token may have been raised while this waited for the semaphore.
                command = self._make_command(host, effect.run)
                outcome, is_final = await self._send_stop(command)
            log.info(
                "host_commands: stop command finished",
                extra={
                    "request": task.job,
                    "task": f"{task.occurrence}.{task.step}.{task.index}",
                    "run": run_number,
                    "host": host.name,
                    "token": command.token,
                    "why": effect.reason,
                    "outcome": outcome,
                },
            )
            if is_final:
                return
            await asyncio.sleep(STOP_RETRY_INTERVAL)

    async def _send_stop(self, command: HostCommand) -> tuple[str, bool]:
        """Send one stop; return its outcome and whether it is final."""
        try:
            async with FairTimeout(COMMAND_TIMEOUT):
                reply = await self.term.dependencies.host_client.stop(command)
        except (NotSentError, OutcomeUnknownError, TimeoutError) as exc:
            return f"unknown: {exc}", False
        if reply.rejection is None:
            return "sent", True
        host = self.term.pool_state.hosts.get(command.host)
        is_superseded = host is not None and command.token < host.token
        # A host that is unavailable has done nothing, and the run may go on.
        is_retryable = reply.rejection is Rejection.UNAVAILABLE or (
            reply.rejection is Rejection.FENCED and is_superseded
        )
        return reply.rejection.value, not is_retryable

    def _make_command(self, host: Host, run: Run) -> HostCommand:
        task, run_number = run.key
        return HostCommand(host.name, host.entry.address, host.token, task, run_number)

    async def throttle(self, effect: ThrottleRun) -> None:
        """Throttle a run; if the host has not done so, the monitor decides again."""
        host = self.term.pool_state.hosts.get(effect.host)
        if host is None:
            return
        if not self.term.is_owner_confirmed():
            effect.run.speed_percent = effect.former_percent
            return
        outcome = "sent"
        try:
            async with self._get_semaphore(host.name), FairTimeout(COMMAND_TIMEOUT):
                command = self._make_command(host, effect.run)
                reply = await self.term.dependencies.host_client.throttle(
                    command, effect.percent
                )
            effect.run.is_speed_known = True
            if reply.rejection is not None:
                outcome = reply.rejection.value
                effect.run.speed_percent = effect.former_percent
        except (NotSentError, OutcomeUnknownError, TimeoutError) as exc:
            outcome = f"unknown: {exc}"
            effect.run.speed_percent = effect.former_percent
            effect.run.is_speed_known = False
        log.info(
            "host_commands: throttle command finished",
            extra={
                "request": effect.run.key[0].job,
                "host": host.name,
                "percent": effect.percent,
                "outcome": outcome,
            },
        )

    async def request_advice(self, effect: RequestAdvice) -> None:
        """Request advice for a step, which may request again once this has ended."""
        step = self.term.pool_state.step_by_key(effect.step)
        if step is None:
            return
        try:
            await self._request_advice(effect, step)
        finally:
            step.is_advice_pending = False
            self.term.plan_requested.set()

    async def _request_advice(self, effect: RequestAdvice, step: StepRun) -> None:
        """Request advice and store the tickets that it grants to the step."""
        try:
            result = await self.term.dependencies.advisor_channels.request_advice(
                effect.step, effect.hosts, effect.duration
            )
        except SiskinroadError:
            self.term.dependencies.metrics.retries.labels("advice").inc()
            await asyncio.sleep(ADVICE_RETRY_INTERVAL)
        else:
            valid_until = asyncio.get_running_loop().time() + result.valid_s
            step.advice.record_answer(effect.hosts, result.tickets, valid_until)
