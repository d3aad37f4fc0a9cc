"""Exchange of parts of the client accounts' limits with the owners of other pools.

Load pattern: an account's waiting tasks gather in one pool while its part of the limit
in another is idle. The decisions are those of `account_parts`; this module sends the
messages, stores loans before they are answered, and writes logs and metrics.
"""

from __future__ import annotations

import asyncio
import logging
from bisect import bisect_left

from siskinroad.errors import OutcomeUnknownError
from siskinroad.resources import Resources
from siskinroad.work.account_amounts import NO_AMOUNTS
from siskinroad.work.account_parts import AccountNeeds, AccountParts
from siskinroad.work.account_use import UNLIMITED
from siskinroad.work.messages import LoanAsk, LoanReply, LoanRequest
from siskinroad.work.progress import ProgressLog
from siskinroad.work.records import Loans
from siskinroad.work.term import Term

__all__ = ["AccountExchange", "refuse_loan"]

# Seconds between two rounds of requests.
ROUND_PAUSE = 0.1
# Longest time in seconds between two rounds: parts that are not used are found then.
ROUND_INTERVAL = 0.5
# Seconds for which a borrowed part must be unneeded before it is given back.
IDLE_TIME = 2.0
# Most accounts in one request: the bytes of a message are limited.
MAX_ASKS = 200
# Seconds between two updates of the metrics.
METRICS_INTERVAL = 1.0
# Resources of which the metrics tell, by the name in their label.
RESOURCES = ("cpu_milli", "memory_mib", "accelerators")

log = logging.getLogger("siskinroad.account_exchange")


class AccountExchange:
    """Borrower and lender of parts of limits, for the owner of one pool.

    Parameters
    ----------
    progress : ProgressLog
        Writer of the pool's progress topic, which stores the loans.
    inherited : dict of str to Loans
        Loans of the pool in the store, by account.
    """

    def __init__(
        self, term: Term, progress: ProgressLog, inherited: dict[str, Loans]
    ) -> None:
        self._term = term
        self._progress = progress
        self.parts = AccountParts(
            term.pool,
            term.number,
            term.dependencies.account_limits,
            inherited,
            self._find_needs,
        )
        progress.on_loans_stored = self.parts.note_stored
        self._wake = asyncio.Event()
        self._unused_since: dict[tuple[str, str], float] = {}
        self._first_account: dict[str, str] = {}
        self._metrics_at = -1e9
        self._labelled: set[str] = set()

    @property
    def term_number(self) -> int:
        """Term of the owner."""
        return self._term.number

    def configure(self) -> None:
        """Take part in the division once the deployment has client accounts."""
        use = self._term.pool_state.account_use
        if use is None:
            return
        use.find_part = self.parts.part
        use.find_limit = self.parts.limits.by_name.get
        use.find_share = self.parts.share
        use.find_use_elsewhere = self.parts.use_elsewhere
        use.find_known_use = self.parts.known_use
        use.is_blocked = self.parts.is_blocked
        self._wake.set()

    def note_pass(self) -> None:
        """Ask for parts at once if the newest planning pass has held steps back."""
        use = self._term.pool_state.account_use
        if use is not None and use.held_back:
            self._wake.set()

    def _find_needs(self, account: str) -> AccountNeeds:
        use = self._term.pool_state.account_use
        if use is None:
            # Without accounts in force nothing can be said about what is needed.
            nothing = Resources()
            return AccountNeeds(nothing, nothing, nothing)
        occupied = use.occupied(account)
        wanted = use.wanted(account)
        first = use.first_needs.get(account)
        if first is None or (not first.accepted_at and occupied != Resources()):
            return AccountNeeds(occupied, wanted, use.total)
        return AccountNeeds(occupied, wanted, use.total, first.need, first.accepted_at)

    # As a borrower

    async def run(self) -> None:
        """Ask the other pools' owners for what is lacking, until cancelled."""
        while True:
            if self._term.pool_state.account_use is None:
                await self._wake.wait()
            try:
                async with asyncio.timeout(ROUND_INTERVAL):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            now = asyncio.get_running_loop().time()
            self._update_metrics(now)
            if self._may_act():
                pools = self.parts.other_pools()
                await asyncio.gather(*(self._ask(pool) for pool in pools))
            await asyncio.sleep(ROUND_PAUSE)

    def _may_act(self) -> bool:
        """Return whether no earlier owner can start anything any more."""
        pool_state = self._term.pool_state
        return (
            pool_state.account_use is not None
            and pool_state.is_settled
            and self._term.is_owner_confirmed()
        )

    async def _ask(self, lender: str) -> None:
        peers = self._term.dependencies.account_peers
        address = peers.find(lender) if peers is not None else None
        if peers is None or address is None:
            return
        self.parts.note_term(lender, address.term)
        now = asyncio.get_running_loop().time()
        asks = self._make_asks(lender, now)
        if not asks:
            return
        try:
            reply = await peers.request(
                address,
                lender,
                lambda request_id: self.parts.begin_request(
                    request_id, lender, address.term, asks
                ),
            )
        except OutcomeUnknownError as exc:
            self._log_failure(lender, address.term, asks, str(exc))
            return
        finally:
            self.parts.end_request(lender)
        if reply is None or reply.term != address.term:
            self._log_failure(lender, address.term, asks, "lender cannot answer now")
            return
        self._apply(lender, address.term, asks, reply)

    def _make_asks(self, lender: str, now: float) -> list[LoanAsk]:
        use = self._term.pool_state.account_use
        if use is None:
            return []
        blocked = filter(self.parts.is_blocked, self.parts.limits.lowered)
        in_use = self.parts.accounts_to_ask(lender, now)
        accounts = sorted(use.demand.keys() | set(blocked) | set(in_use))
        # Accounts that no request had place for are the first ones of the next.
        first = bisect_left(accounts, self._first_account.get(lender, ""))
        accounts = accounts[first:] + accounts[:first]
        asks = self.parts.make_asks(lender, accounts, now)
        left_out = asks[MAX_ASKS:]
        self._first_account[lender] = left_out[0].account if left_out else ""
        asked = {ask.account for ask in asks}
        idle = [a for a in self._find_idle(lender, now) if a not in asked]
        return (asks + self.parts.give_back(lender, idle, now))[:MAX_ASKS]

    def _find_idle(self, lender: str, now: float) -> list[str]:
        """Return the accounts whose borrowed parts have been unneeded for a while."""
        idle = []
        for account in self.parts.borrowing_accounts(lender):
            key = (lender, account)
            if not self.parts.has_unneeded(account, lender, now):
                self._unused_since.pop(key, None)
            elif now - self._unused_since.setdefault(key, now) >= IDLE_TIME:
                idle.append(account)
        return idle

    def _apply(
        self, lender: str, lender_term: int, asks: list[LoanAsk], reply: LoanReply
    ) -> None:
        before = {ask.account: self.parts.counted(ask.account) for ask in asks}
        for account in self.parts.apply_reply(lender, lender_term, reply):
            self._progress.note_loans(self.parts.make_record(account))
        for ask in asks:
            counted = self.parts.counted(ask.account).get(lender, NO_AMOUNTS)
            former = before[ask.account].get(lender, NO_AMOUNTS)
            outcome = "unchanged" if counted == former else "changed"
            self._term.dependencies.metrics.account_loans.labels(outcome).inc()
            if outcome == "changed":
                log.info(
                    "account_exchange: borrowed part of an account's limit changed",
                    extra={
                        "pool": self._term.pool,
                        "term": self._term.number,
                        "account": ask.account,
                        "lender": lender,
                        "lender_term": lender_term,
                        "wanted": ask.wants,
                        "before": former,
                        "now": counted,
                        "in_use_elsewhere": self.parts.known_use(ask.account),
                    },
                )
        self._term.plan_requested.set()

    def _log_failure(
        self, lender: str, lender_term: int, asks: list[LoanAsk], why: str
    ) -> None:
        self._term.dependencies.metrics.account_loans.labels("failed").inc()
        log.info(
            "account_exchange: no answer from the other pool's owner; asking again",
            extra={
                "pool": self._term.pool,
                "term": self._term.number,
                "lender": lender,
                "lender_term": lender_term,
                "accounts": len(asks),
                "why": why,
            },
        )

    # As a lender

    async def serve(self, msg: LoanRequest) -> LoanReply:
        """Return the reply to a request, once what it lends is stored."""
        if not self._may_act():
            return refuse_loan(msg)
        now = asyncio.get_running_loop().time()
        may_lend = not self._progress.is_storing_loans
        before = {ask.account: self.parts.lent(ask.account) for ask in msg.asks}
        reply = self.parts.serve(msg, now, may_lend=may_lend)
        if reply is None:
            return refuse_loan(msg)
        self._log_loans(msg, before, may_lend=may_lend)
        accounts = [ask.account for ask in msg.asks]
        unstored = self.parts.needs_storing(msg.pool, accounts)
        if unstored:
            records = [self.parts.make_record(account) for account in unstored]
            await self._progress.store_loans(records)
        changed = [a for a in accounts if before[a] != self.parts.lent(a)]
        for account in changed:
            if account not in unstored:
                self._progress.note_loans(self.parts.make_record(account))
        if changed:
            self._term.plan_requested.set()
        return reply

    def _log_loans(
        self,
        msg: LoanRequest,
        before: dict[str, dict[str, tuple[int, int, int]]],
        *,
        may_lend: bool,
    ) -> None:
        for ask in msg.asks:
            former = before[ask.account].get(msg.pool, NO_AMOUNTS)
            lent = self.parts.lent(ask.account).get(msg.pool, NO_AMOUNTS)
            if lent == former:
                continue
            log.info(
                "account_exchange: lent part of an account's limit changed",
                extra={
                    "pool": self._term.pool,
                    "term": self._term.number,
                    "account": ask.account,
                    "borrower": msg.pool,
                    "borrower_term": msg.term,
                    "version": self.parts.limits.version,
                    "keeps": ask.keeps,
                    "wants": ask.wants,
                    "is_first": ask.is_first,
                    "accepted_at": ask.accepted_at,
                    "may_lend": may_lend,
                    "before": former,
                    "now": lent,
                },
            )

    # Metrics

    def _update_metrics(self, now: float) -> None:
        """Set the gauges of the configured accounts, and remove those of others."""
        use = self._term.pool_state.account_use
        if use is None or now - self._metrics_at < METRICS_INTERVAL:
            return
        self._metrics_at = now
        for account in use.names:
            part = use.find_part(account, now)
            self._set_gauges(
                account, use.held(account), use.demand.get(account, Resources()), part
            )
        for account in self._labelled - use.names:
            self._remove_gauges(account)
        self._labelled = set(use.names)

    def _set_gauges(
        self, account: str, held: Resources, waiting: Resources, part: Resources | None
    ) -> None:
        metrics = self._term.dependencies.metrics
        for name in RESOURCES:
            labels = (self._term.pool, account, name)
            metrics.account_held.labels(*labels).set(getattr(held, name))
            metrics.account_waiting.labels(*labels).set(getattr(waiting, name))
            allowed = getattr(part, name) if part is not None else 0
            shown = float("inf") if allowed >= UNLIMITED else allowed
            metrics.account_part.labels(*labels).set(shown)

    def _remove_gauges(self, account: str) -> None:
        metrics = self._term.dependencies.metrics
        for name in RESOURCES:
            labels = (self._term.pool, account, name)
            for gauge in (
                metrics.account_held,
                metrics.account_waiting,
                metrics.account_part,
            ):
                gauge.remove(*labels)

    def close(self) -> None:
        """Remove the gauges at the end of the term."""
        for account in self._labelled:
            self._remove_gauges(account)
        self._labelled = set()


def refuse_loan(msg: LoanRequest) -> LoanReply:
    """Return the reply of a daemon that cannot answer a request now."""
    return LoanReply(msg.id, 0, -1, 0, ())
