"""Extends the leases of a pool's hosts and reads what they list."""

from __future__ import annotations

import asyncio
import logging

from siskinroad.errors import NotSentError, OutcomeUnknownError
from siskinroad.work.host import Host
from siskinroad.work.hosts import Rejection
from siskinroad.work.orders import doubt_claim
from siskinroad.work.progress import ProgressLog
from siskinroad.work.term import Term

__all__ = ["Holds"]

# Seconds for which a host may wait for an end before it answers: shorter where
# short tasks run, as an answer that is lost hides their ends for so long.
HOLD_WAIT = 1.0
SHORT_WAIT = 0.5
# Declared seconds below which a task is short.
SHORT_TASK = 2.0
HOLD_RETRY = 0.1
SETTLE_RETRY = 0.1
# Seconds for which a report's ends may wait for their record before the next call.
RECORD_PATIENCE = 0.6

log = logging.getLogger("siskinroad.holds")


class Holds:
    """One call after another to each host, for as long as the host is known."""

    def __init__(self, term: Term, progress: ProgressLog) -> None:
        self.term = term
        self._progress = progress
        self._holding: dict[str, asyncio.Task[None]] = {}

    def hold(self, name: str) -> None:
        """Begin to hold a host, if it is not held yet."""
        task = self._holding.get(name)
        if task is None or task.done():
            task = self.term.spawn(self._run_hold(name))
            if task is not None:
                self._holding[name] = task

    async def _run_hold(self, name: str) -> None:
        """Extend a host's lease and read its ends for as long as it is known."""
        while True:
            host = self.term.book.hosts.get(name)
            if host is None:
                return
            if not self.term.may_act():
                await asyncio.sleep(HOLD_RETRY)
                continue
            wait = _wait(host) if host.settled and not host.failing else 0.0
            if host.seen > host.acknowledged:
                wait = 0.0
            if not await self._hold_once(host, wait):
                await asyncio.sleep(HOLD_RETRY)
                continue
            if host.seen > host.acknowledged:
                await self._await_record(host)

    async def _hold_once(self, host: Host, wait: float) -> bool:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        # A silent host is granted nothing more: a call that it answers only
        # later must not extend what is about to be started elsewhere.
        until = None if host.failing else host.lease_until(sent_at)
        if until is not None:
            host.granted(sent_at)
        token = host.token
        try:
            async with asyncio.timeout(wait + host.patience()):
                report = await self.term.parts.link.hold(
                    host.name,
                    host.entry.address,
                    token,
                    host.acknowledged,
                    until,
                    wait,
                )
        except (NotSentError, OutcomeUnknownError, TimeoutError) as exc:
            self._host_silent(host, exc)
            return False
        if isinstance(report, Rejection):
            return self._hold_rejected(host, report, token)
        now, wall = loop.time(), self.term.parts.wall()
        effects = self.term.book.report(host, report, token, sent_at, now, wall)
        self.term.carry_out(effects)
        settled = self.term.book.settle_tasks(now)
        if settled or report.ended or report.running:
            self.term.plan_wanted.set()
        return True

    def _host_silent(self, host: Host, exc: Exception) -> None:
        now = asyncio.get_running_loop().time()
        if not host.failing:
            log.warning(
                "holds: host does not answer",
                extra={
                    "host": host.name,
                    "silent_s": round(now - host.reported_at, 2),
                    "error": str(exc),
                },
            )
        host.call_failed()

    def _hold_rejected(self, host: Host, rejection: Rejection, token: int) -> bool:
        if rejection is Rejection.FENCED and token >= host.token:
            doubt_claim(self.term, host)
        if rejection is Rejection.OTHER_LIFE:
            now = asyncio.get_running_loop().time()
            log.warning("holds: host has another life", extra={"host": host.name})
            host.call_failed()
            self.term.carry_out(self.term.book.host_replaced(host, now))
        return False

    async def _await_record(self, host: Host) -> None:
        """Wait a little for the record of the ends that a host has listed."""
        self.term.flush_wanted.set()
        until = asyncio.get_running_loop().time() + RECORD_PATIENCE
        while host.seen > host.acknowledged:
            left = until - asyncio.get_running_loop().time()
            if left <= 0:
                return
            try:
                async with asyncio.timeout(left):
                    await self._progress.flushed.wait()
            except TimeoutError:
                return

    async def settle(self, name: str) -> None:
        """Call a host under its raised token until it answers or has lapsed."""
        while True:
            host = self.term.book.hosts.get(name)
            if host is None or not any(
                run.state == "doubtful" for run in host.runs.values()
            ):
                return
            if self.term.may_act() and await self._hold_once(host, 0.0):
                self.term.plan_wanted.set()
                return
            await asyncio.sleep(SETTLE_RETRY)


def _wait(host: Host) -> float:
    """Return the seconds for which the host may wait before it answers."""
    short = any(0 < run.declared < SHORT_TASK for run in host.runs.values())
    return SHORT_WAIT if short else HOLD_WAIT
