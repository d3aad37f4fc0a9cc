"""Renewal of the leases of a pool's hosts, and processing of their reports."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

from siskinroad.errors import NotSentError, OutcomeUnknownError
from siskinroad.fair_timeout import FairTimeout
from siskinroad.work.host import Host
from siskinroad.work.host_commands import report_higher_token
from siskinroad.work.hosts import HostReport, Rejection
from siskinroad.work.progress import ProgressLog
from siskinroad.work.term import Term

__all__ = ["LeaseRenewer"]

# Seconds for which a host may wait for a run to end before it answers. A lost
# answer hides ended runs for that long, so it is shorter where short tasks run.
RENEWAL_WAIT = 1.0
SHORT_TASK_RENEWAL_WAIT = 0.5
# Declared run time in seconds below which a task is short.
SHORT_TASK_TIME = 2.0
# Seconds of the longest lease that can be granted below which a host's answer is not
# waited for as long: the next renewal might come too late. And the wait then.
SHORT_LEASE_S = 3.0
SHORT_LEASE_RENEWAL_WAIT = 0.25
# Seconds before a failed renewal or reconciliation call is repeated.
RENEWAL_RETRY_INTERVAL = 0.1
RECONCILE_RETRY_INTERVAL = 0.1
# Seconds for which the next call to a host waits until the ends that its report
# listed are stored, so that it can acknowledge them.
END_STORED_TIMEOUT = 0.6

log = logging.getLogger("siskinroad.lease_renewer")


@dataclass(slots=True, frozen=True)
class _Renewal:
    """Renewal of a host's lease that is in progress.

    Attributes
    ----------
    sent_at, limit_s : float
        Loop time at which it was sent, and the seconds until its reply is due.
    token, address : int, str
        The host's token and address when it was sent.
    """

    host: Host
    sent_at: float
    token: int
    address: str
    limit_s: float


class LeaseRenewer:
    """Lease renewer with one call in progress to each known host at any time."""

    def __init__(self, term: Term, progress: ProgressLog) -> None:
        self.term = term
        self._progress = progress
        self._renewals: dict[str, asyncio.Task[None]] = {}

    def start_renewing(self, name: str) -> None:
        """Start renewing a host's lease, unless that is under way."""
        task = self._renewals.get(name)
        if task is None or task.done():
            task = self.term.spawn(self._run_renewals(name))
            if task is not None:
                self._renewals[name] = task

    async def _run_renewals(self, name: str) -> None:
        """Renew a host's lease and process its reports while the host is known."""
        while True:
            host = self.term.pool_state.hosts.get(name)
            if host is None:
                return
            if not self.term.is_owner_confirmed():
                await asyncio.sleep(RENEWAL_RETRY_INTERVAL)
                continue
            wait = 0.0
            if host.is_settled and not host.is_failing:
                wait = min(_renewal_wait_s(host), self._longest_wait_s())
            if host.last_end_seen > host.last_end_stored:
                wait = 0.0
            if not await self._renew_once(host, wait):
                await asyncio.sleep(RENEWAL_RETRY_INTERVAL)
                continue
            if host.last_end_seen > host.last_end_stored:
                await self._wait_until_stored(host)

    def _longest_wait_s(self) -> float:
        now = asyncio.get_running_loop().time()
        lease_s = self.term.pool_state.claims.leases_end_by - now
        return RENEWAL_WAIT if lease_s >= SHORT_LEASE_S else SHORT_LEASE_RENEWAL_WAIT

    async def _renew_once(self, host: Host, wait: float) -> bool:
        """Send one renewal and apply its reply; return whether it brought a report."""
        now = asyncio.get_running_loop().time()
        limit_s = wait + host.reply_timeout_s()
        call = _Renewal(host, now, host.token, host.entry.address, limit_s)
        try:
            report = await self._send(call, wait)
        except (NotSentError, OutcomeUnknownError, TimeoutError) as exc:
            self._note_call_failed(call, wait, exc)
            return False
        self.term.dependencies.metrics.renewals.labels("answered").inc()
        if self.term.pool_state.hosts.get(host.name) is not host:
            # The host was removed meanwhile; a run adopted on it would stay forever.
            return False
        if isinstance(report, Rejection):
            self._handle_rejection(call, report)
            return False
        if wait and self.term.pool_state.may_free_tasks(host, report, call.sent_at):
            # The host may have accepted a successor's token while it held the call
            # open, so a call that it does not hold has to show the same.
            return await self._renew_once(host, 0.0)
        self._apply_report(call, report)
        return not host.lost_at

    async def _send(self, call: _Renewal, wait: float) -> HostReport | Rejection:
        host = call.host
        # A host that does not answer is granted no further lease: a delayed call
        # must not prolong runs that are about to be started elsewhere.
        end_by = self.term.pool_state.claims.leases_end_by
        lease_until_ms = (
            None if host.is_failing else host.lease_until(call.sent_at, end_by)
        )
        if lease_until_ms is not None:
            host.extend_lease_expiry(call.sent_at, end_by)
        # A host that has failed may be back as another incarnation, which numbers its
        # ends anew and would forget them up to the number of the former one.
        acknowledged = 0 if host.is_failing else host.last_end_stored
        async with FairTimeout(call.limit_s):
            return await self.term.dependencies.host_client.renew_lease(
                host.name, call.address, call.token, acknowledged, lease_until_ms, wait
            )

    def _apply_report(self, call: _Renewal, report: HostReport) -> None:
        now, wall = asyncio.get_running_loop().time(), self.term.dependencies.wall()
        effects = self.term.pool_state.apply_report(
            call.host,
            report,
            call.token,
            call.sent_at,
            now,
            wall,
            answered_by=call.sent_at + call.limit_s,
        )
        settled = self.term.pool_state.settle_tasks(now)
        self.term.execute_effects(effects)
        if settled or report.ended or report.running:
            self.term.plan_requested.set()

    def _note_call_failed(self, call: _Renewal, wait: float, exc: Exception) -> None:
        now = asyncio.get_running_loop().time()
        host, dependencies = call.host, self.term.dependencies
        dependencies.metrics.renewals.labels("not answered").inc()
        if isinstance(exc, TimeoutError):
            # The host may be slow, not silent: wait longer for the next reply.
            host.record_reply_time(now - call.sent_at - wait)
        if not host.is_failing:
            delay_s = dependencies.loop_delay.largest_since(call.sent_at)
            log.warning(
                "lease_renewer: renewal not answered; "
                "granting the host no lease and no start until it answers",
                extra={
                    "host": host.name,
                    "silent_s": round(now - host.reported_at, 2),
                    "sent_s": round(now - call.sent_at, 3),
                    "loop_delay_s": round(delay_s, 3),
                    "error": str(exc) or "no reply in time",
                },
            )
        _note_no_report(call)

    def _handle_rejection(self, call: _Renewal, rejection: Rejection) -> None:
        host = call.host
        if rejection is Rejection.FENCED and call.token < host.token:
            # Rejected for this owner's own raised token.
            return
        _note_no_report(call)
        if rejection is Rejection.FENCED:
            report_higher_token(self.term, host)
        # A host that is listed at another address since then has left only this one.
        has_moved = call.address != host.entry.address
        if rejection is Rejection.OTHER_INCARNATION and not has_moved:
            now = asyncio.get_running_loop().time()
            log.warning(
                "lease_renewer: host reports another incarnation; "
                "treating it as restarted",
                extra={"host": host.name},
            )
            self.term.execute_effects(self.term.pool_state.replace_host(host, now))

    async def _wait_until_stored(self, host: Host) -> None:
        """Wait briefly until the ends that a host has listed are stored."""
        self.term.flush_requested.set()
        deadline = asyncio.get_running_loop().time() + END_STORED_TIMEOUT
        while host.last_end_seen > host.last_end_stored:
            remaining_s = deadline - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                return
            try:
                async with asyncio.timeout(remaining_s):
                    await self._progress.flushed.wait()
            except TimeoutError:
                return

    async def reconcile(self, name: str) -> None:
        """Call a host with its raised token until its doubtful runs are reconciled.

        Either the host reports what it runs, or no run there is doubtful any more,
        such as after the host's lease has expired.
        """
        while True:
            host = self.term.pool_state.hosts.get(name)
            if host is None or not any(
                run.state == "doubtful" for run in host.runs.values()
            ):
                return
            if self.term.is_owner_confirmed() and await self._renew_once(host, 0.0):
                self.term.plan_requested.set()
                return
            await asyncio.sleep(RECONCILE_RETRY_INTERVAL)


def _note_no_report(call: _Renewal) -> None:
    """Note that a renewal brought no report and granted no lease."""
    host = call.host
    host.record_failed_request(asyncio.get_running_loop().time())
    host.unanswered_renewal_at = max(host.unanswered_renewal_at, call.sent_at)


def _renewal_wait_s(host: Host) -> float:
    """Return the seconds for which the host may hold the call open."""
    has_short_task = any(
        0 < run.declared_s < SHORT_TASK_TIME for run in host.runs.values()
    )
    return SHORT_TASK_RENEWAL_WAIT if has_short_task else RENEWAL_WAIT
