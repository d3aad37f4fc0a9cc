"""Renewal of the leases of a pool's hosts, and processing of their reports."""

from __future__ import annotations

import asyncio
import logging

from siskinroad.errors import NotSentError, OutcomeUnknownError
from siskinroad.work.host import Host
from siskinroad.work.hosts import Rejection
from siskinroad.work.orders import report_higher_token
from siskinroad.work.progress import ProgressLog
from siskinroad.work.term import Term

__all__ = ["Holds"]

# Seconds for which a host may wait for a run to end before it answers. A lost
# answer hides ended runs for that long, so it is shorter where short tasks run.
RENEWAL_WAIT = 1.0
SHORT_TASK_RENEWAL_WAIT = 0.5
# Declared run time in seconds below which a task is short.
SHORT_TASK_TIME = 2.0
# Seconds before a failed renewal or reconciliation call is repeated.
RENEWAL_RETRY_INTERVAL = 0.1
SETTLE_RETRY_INTERVAL = 0.1
# Seconds for which the next call to a host waits until the ends that its report
# listed are stored, so that it can acknowledge them.
RECORD_TIMEOUT = 0.6

log = logging.getLogger("siskinroad.holds")


class Holds:
    """Lease renewer with one call in progress to each known host at any time."""

    def __init__(self, term: Term, progress: ProgressLog) -> None:
        self.term = term
        self._progress = progress
        self._renewals: dict[str, asyncio.Task[None]] = {}

    def hold(self, name: str) -> None:
        """Start renewing a host's lease, unless that is under way."""
        task = self._renewals.get(name)
        if task is None or task.done():
            task = self.term.spawn(self._run_renewals(name))
            if task is not None:
                self._renewals[name] = task

    async def _run_renewals(self, name: str) -> None:
        """Renew a host's lease and process its reports while the host is known."""
        while True:
            host = self.term.book.hosts.get(name)
            if host is None:
                return
            if not self.term.may_act():
                await asyncio.sleep(RENEWAL_RETRY_INTERVAL)
                continue
            wait = _report_wait(host) if host.settled and not host.failing else 0.0
            if host.seen > host.acknowledged:
                wait = 0.0
            if not await self._renew_once(host, wait):
                await asyncio.sleep(RENEWAL_RETRY_INTERVAL)
                continue
            if host.seen > host.acknowledged:
                await self._wait_until_recorded(host)

    async def _renew_once(self, host: Host, wait: float) -> bool:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        # A host that does not answer is granted no further lease: a delayed call
        # must not prolong runs that are about to be started elsewhere.
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
            self._note_call_failed(host, exc)
            return False
        if isinstance(report, Rejection):
            return self._handle_rejection(host, report, token)
        now, wall = loop.time(), self.term.parts.wall()
        effects = self.term.book.report(host, report, token, sent_at, now, wall)
        self.term.carry_out(effects)
        settled = self.term.book.settle_tasks(now)
        if settled or report.ended or report.running:
            self.term.plan_wanted.set()
        return True

    def _note_call_failed(self, host: Host, exc: Exception) -> None:
        now = asyncio.get_running_loop().time()
        if not host.failing:
            log.warning(
                "holds: host did not answer; no lease or start until it does",
                extra={
                    "host": host.name,
                    "silent_s": round(now - host.reported_at, 2),
                    "error": str(exc),
                },
            )
        host.call_failed()

    def _handle_rejection(self, host: Host, rejection: Rejection, token: int) -> bool:
        if rejection is Rejection.FENCED and token >= host.token:
            report_higher_token(self.term, host)
        if rejection is Rejection.OTHER_LIFE:
            now = asyncio.get_running_loop().time()
            log.warning(
                "holds: host was restarted: it reports another incarnation",
                extra={"host": host.name},
            )
            host.call_failed()
            self.term.carry_out(self.term.book.host_replaced(host, now))
        return False

    async def _wait_until_recorded(self, host: Host) -> None:
        """Wait briefly until the ends that a host has listed are stored."""
        self.term.flush_wanted.set()
        until = asyncio.get_running_loop().time() + RECORD_TIMEOUT
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
        """Call a host with its raised token until its doubtful runs are reconciled.

        Either the host reports what it runs, or no run there is doubtful any more,
        such as after the host's lease has expired.
        """
        while True:
            host = self.term.book.hosts.get(name)
            if host is None or not any(
                run.state == "doubtful" for run in host.runs.values()
            ):
                return
            if self.term.may_act() and await self._renew_once(host, 0.0):
                self.term.plan_wanted.set()
                return
            await asyncio.sleep(SETTLE_RETRY_INTERVAL)


def _report_wait(host: Host) -> float:
    """Return the seconds for which the host may hold the call open."""
    short = any(0 < run.declared < SHORT_TASK_TIME for run in host.runs.values())
    return SHORT_TASK_RENEWAL_WAIT if short else RENEWAL_WAIT
