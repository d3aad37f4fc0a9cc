"""Division of the client accounts' limits between the pools, seen by one pool's owner.

Load pattern: an account's tasks gather now in one pool and now in another, whose owners
are different daemons that may die, be cut off or be replaced at any moment. Each limit
is divided per dimension in thousandths. Every pool has an equal share; an owner lends
what it does not need. Nothing here does I/O.

Why the parts never exceed the limit: a lender stores a loan before it answers, so its
successor knows of it. A borrower counts on a loan only after the answer, and its
successor on nothing that no lender has confirmed. A lender takes back only what the
borrower's present owner has said it does not count on, in a statement that is newer
than the lender's last answer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from siskinroad.resources import Resources
from siskinroad.work.account_amounts import (
    NO_AMOUNTS,
    Amounts,
    add,
    apply_shares,
    at_least_nothing,
    find_useless,
    lack,
    larger,
    multiply,
    smaller,
    subtract,
    subtract_to_nothing,
)
from siskinroad.work.account_limits import WHOLE, AccountLimits
from siskinroad.work.messages import LoanAnswer, LoanAsk, LoanReply, LoanRequest
from siskinroad.work.records import Loans

__all__ = ["AccountNeeds", "AccountParts"]

# Number of no answer: what is said beside it may be older than the newest one.
NOT_SEEN = -1
# Seconds after a request of the lender in which the borrower starts nothing on its
# loan, so that what ends there goes back. Requests are repeated more often than that.
RECALL_S = 0.6
# Seconds for which a pool starts nothing so that another one, which has nothing running
# of the account, gathers enough for its first task; and seconds between two such times,
# as the runs here may last.
YIELD_S = 4.0
YIELD_PAUSE_S = 4.0


@dataclass(slots=True, frozen=True)
class AccountNeeds:
    """What an account has and wants in this pool.

    Attributes
    ----------
    occupied : Resources
        What its runs hold, with all that unsettled tasks may hold.
    wanted : Resources
        What it would hold if all its waiting tasks ran.
    total : Resources
        Capacity of the pool.
    first : Resources or None
        Need of a step that waits while the account has nothing running in this pool.
    """

    occupied: Resources
    wanted: Resources
    total: Resources
    first: Resources | None = None


@dataclass(slots=True)
class _Division:
    """Loans of one account's limit, by the other pool.

    Attributes
    ----------
    lent, stored : dict of str to Amounts
        Lent to each pool, and what of it is in the store for certain.
    counted : dict of str to Amounts
        What this owner counts on of the loans of each pool.
    recalled : dict of str to tuple
        Loop time until which nothing is started on some of the loan of a pool, and how
        much of it that is.
    useless : dict of str to Amounts
        1 for each dimension of which a lender's pool has no capacity.
    yields_since, yields_until : float
        Loop time from which and until which nothing is started at all.
    """

    lent: dict[str, Amounts] = field(default_factory=dict)
    stored: dict[str, Amounts] = field(default_factory=dict)
    counted: dict[str, Amounts] = field(default_factory=dict)
    recalled: dict[str, tuple[float, Amounts]] = field(default_factory=dict)
    useless: dict[str, Amounts] = field(default_factory=dict)
    yields_since: float = -1e9
    yields_until: float = -1e9


class AccountParts:
    """Parts of the accounts' limits that one pool's owner may use.

    Parameters
    ----------
    pool, term : str, int
        The pool and the owner's term.
    limits : AccountLimits
        The daemon's limits, which change with the configuration.
    inherited : dict of str to Loans
        Loans of this pool in the store, by account.
    find_needs : callable
        Returns what an account has and wants in this pool.
    """

    def __init__(
        self,
        pool: str,
        term: int,
        limits: AccountLimits,
        inherited: dict[str, Loans],
        find_needs: Callable[[str], AccountNeeds],
    ) -> None:
        self.pool = pool
        self.term = term
        self.limits = limits
        self._find_needs = find_needs
        self._divisions: dict[str, _Division] = {}
        # Parts that hold until a message or a new version, for a fast check of starts.
        self._known_parts: dict[str, Resources] = {}
        self._known_version = 0
        self._newest_requests: dict[str, tuple[int, int]] = {}
        self._numbers: dict[str, int] = {}
        self._owner_terms: dict[str, int] = {}
        self._outstanding: set[str] = set()
        self._confirmed: dict[str, dict[str, tuple[int, int]]] = {}
        for account, loans in inherited.items():
            lent = dict(loans.lent)
            self._divisions[account] = _Division(lent, dict(lent))

    # Parts

    def other_pools(self) -> list[str]:
        """Return the other pools of the configuration."""
        return [pool for pool in self.limits.pools if pool != self.pool]

    def part(self, account: str, now: float) -> Resources | None:
        """Return what the account may have running in this pool; None if unknown."""
        if self._known_version != self.limits.version:
            self._known_version = self.limits.version
            self._known_parts.clear()
        known = self._known_parts.get(account)
        if known is not None:
            return known
        limit = self.limits.by_name.get(account)
        if limit is None:
            return None
        division = self._divisions.get(account)
        if division is not None and now < division.yields_until:
            return apply_shares(limit, NO_AMOUNTS)
        part = apply_shares(limit, self._usable(division, now))
        if not self.limits.is_settling(now) and not _is_recalled(division, now):
            self._known_parts[account] = part
        return part

    def is_blocked(self, account: str) -> bool:
        """Return whether another pool may be above its part of a lowered limit."""
        if account not in self.limits.lowered:
            return False
        return any(self._must_confirm(account, pool) for pool in self.other_pools())

    def note_term(self, pool: str, term: int) -> None:
        """Note the term of another pool's owner; it may be at an earlier version."""
        self._owner_terms[pool] = max(term, self._owner_terms.get(pool, 0))

    def lent(self, account: str) -> dict[str, Amounts]:
        """Return what is lent of an account's limit, by the borrowing pool."""
        division = self._divisions.get(account)
        return dict(division.lent) if division else {}

    def counted(self, account: str) -> dict[str, Amounts]:
        """Return what is borrowed of an account's limit, by the lending pool."""
        division = self._divisions.get(account)
        return dict(division.counted) if division else {}

    def _own(self, division: _Division | None, now: float) -> Amounts:
        """Return the share of this pool without what is lent."""
        share = self.limits.share(self.pool, now)
        own = (share, share, share)
        for lent in division.lent.values() if division else ():
            own = subtract(own, lent)
        return at_least_nothing(own)

    def _usable(self, division: _Division | None, now: float) -> Amounts:
        return add(self._own(division, now), _sum_usable_loans(division, now))

    # As a borrower

    def make_asks(self, lender: str, accounts: list[str], now: float) -> list[LoanAsk]:
        """Return what to ask of the owner of another pool.

        Accounts that lack nothing are left out, unless something that was borrowed of
        the lender is not needed any more, or the lender must confirm its use.
        """
        asks = []
        for account in accounts:
            ask = self._make_ask(lender, account, now)
            if ask is not None:
                asks.append(ask)
        return asks

    def begin_request(
        self, request_id: int, lender: str, lender_term: int, asks: list[LoanAsk]
    ) -> LoanRequest:
        """Return the only request in flight to a lender; `end_request` must follow."""
        self._outstanding.add(lender)
        return LoanRequest(
            request_id,
            self.pool,
            self.term,
            lender,
            lender_term,
            self._numbers.get(lender, 0),
            tuple(asks),
        )

    def end_request(self, lender: str) -> None:
        """Note that a reply to the request in flight will not be used any more."""
        self._outstanding.discard(lender)

    def _make_ask(self, lender: str, account: str, now: float) -> LoanAsk | None:
        limit = self.limits.by_name.get(account)
        if limit is None:
            return None
        needs = self._find_needs(account)
        division = self._divisions.get(account)
        counted = division.counted.get(lender, NO_AMOUNTS) if division else NO_AMOUNTS
        has = self._own(division, now)
        for borrowed in division.counted.values() if division else ():
            has = add(has, borrowed)
        wants = lack(limit, needs.wanted, has)
        if needs.first is not None:
            wants = larger(wants, lack(limit, needs.first, has))
        must_confirm = self._must_confirm(account, lender)
        if wants == NO_AMOUNTS and not must_confirm:
            return None
        keeps = larger(counted, self._excess(account, lender, needs.occupied, now))
        return LoanAsk(account, keeps, wants, needs.first is not None)

    def give_back(self, lender: str, accounts: list[str], now: float) -> list[LoanAsk]:
        """Count no longer on the loans that the accounts do not need; say so."""
        asks = []
        for account in accounts:
            division = self._divisions.get(account)
            if division is None or division.counted.get(lender) in (None, NO_AMOUNTS):
                continue
            keeps = self._needed_loan(account, lender, now)
            counted = division.counted[lender]
            if smaller(counted, keeps) == counted:
                continue
            division.counted[lender] = smaller(counted, keeps)
            self._known_parts.pop(account, None)
            asks.append(LoanAsk(account, keeps, NO_AMOUNTS))
        return asks

    def has_unneeded(self, account: str, lender: str, now: float) -> bool:
        """Return whether more is counted on of a lender's loan than is needed."""
        keeps = self._needed_loan(account, lender, now)
        counted = self.counted(account).get(lender, NO_AMOUNTS)
        return smaller(counted, keeps) != counted

    def _needed_loan(self, account: str, lender: str, now: float) -> Amounts:
        """Return what is needed of a lender's loan, or is of no use to the lender."""
        needs = self._find_needs(account)
        needed = needs.occupied.union(needs.wanted)
        division = self._divisions.get(account, _Division())
        useless = division.useless.get(lender, NO_AMOUNTS)
        return larger(
            self._excess(account, lender, needed, now),
            multiply(division.counted.get(lender, NO_AMOUNTS), useless),
        )

    def _excess(
        self, account: str, lender: str, held: Resources, now: float
    ) -> Amounts:
        """Return what an amount takes of a lender's loan, beyond all other parts."""
        limit = self.limits.by_name.get(account)
        if limit is None:
            return (WHOLE, WHOLE, WHOLE)
        division = self._divisions.get(account)
        has = self._own(division, now)
        for other, borrowed in division.counted.items() if division else ():
            if other != lender:
                has = add(has, borrowed)
        return lack(limit, held, has)

    def _must_confirm(self, account: str, pool: str) -> bool:
        version = self.limits.lowered.get(account)
        if version is None:
            return False
        confirmed = self._confirmed.get(account, {}).get(pool, (0, 0))
        return confirmed < (self._owner_terms.get(pool, 0), version)

    def apply_reply(self, lender: str, lender_term: int, reply: LoanReply) -> list[str]:
        """Apply the answer to this owner's newest request to another pool's owner.

        Returns the accounts whose loans to that pool have become smaller, so that they
        should be stored.
        """
        if reply.term != lender_term or reply.term < self._owner_terms.get(lender, 0):
            return []
        self.note_term(lender, reply.term)
        is_newest = reply.seen == self._numbers.get(lender, 0)
        last_term = self._newest_requests.get(lender, (0, 0))[0]
        changed = []
        for answer in reply.answers:
            division = self._divisions.setdefault(answer.account, _Division())
            division.counted[lender] = answer.lent
            self._known_parts.pop(answer.account, None)
            division.useless[lender] = answer.useless
            if answer.is_within:
                confirmed = self._confirmed.setdefault(answer.account, {})
                stamp = (reply.term, reply.version)
                confirmed[lender] = max(stamp, confirmed.get(lender, stamp))
            lent = division.lent.get(lender, NO_AMOUNTS)
            left = smaller(lent, answer.keeps)
            if is_newest and reply.term >= last_term and left != lent:
                division.lent[lender] = left
                changed.append(answer.account)
        return changed

    # As a lender

    def serve(
        self, msg: LoanRequest, now: float, *, may_lend: bool
    ) -> LoanReply | None:
        """Decide on a request; None if it is late, repeated or for another term.

        Loans in the reply that ``needs_storing`` names must be stored before it is
        sent.

        Parameters
        ----------
        may_lend : bool
            Whether new loans can be stored now, and former owners start nothing more.
        """
        stamp = (msg.term, msg.id)
        if msg.lender != self.pool or msg.lender_term != self.term:
            return None
        if stamp <= self._newest_requests.get(msg.pool, (0, 0)):
            return None
        self._newest_requests[msg.pool] = stamp
        self._numbers[msg.pool] = self._numbers.get(msg.pool, 0) + 1
        answers = tuple(
            self._answer(msg.pool, ask, now, may_lend=may_lend) for ask in msg.asks
        )
        # Without a request in flight, no answer of the sender will be used any more.
        seen = NOT_SEEN if msg.pool in self._outstanding else msg.number
        return LoanReply(msg.id, self.term, seen, self.limits.version, answers)

    def _answer(
        self, borrower: str, ask: LoanAsk, now: float, *, may_lend: bool
    ) -> LoanAnswer:
        account = ask.account
        self._known_parts.pop(account, None)
        division = self._divisions.setdefault(account, _Division())
        lent = smaller(division.lent.get(borrower, NO_AMOUNTS), ask.keeps)
        division.lent[borrower] = lent
        limit = self.limits.by_name.get(account)
        if limit is None:
            return LoanAnswer(account, lent, (WHOLE, WHOLE, WHOLE), False)
        needs = self._find_needs(account)
        wants = self._return_loan(division, borrower, ask, needs, now)
        keeps = larger(
            division.counted.get(borrower, NO_AMOUNTS),
            self._excess(account, borrower, needs.occupied, now),
        )
        useless = find_useless(needs.total)
        if may_lend:
            spare = self._find_spare(division, borrower, ask, needs, limit, now)
            granted = smaller(spare, wants)
            granted = larger(granted, multiply(spare, useless))
            lent = division.lent[borrower] = add(lent, granted)
        part = apply_shares(limit, self._usable(division, now))
        is_within = needs.occupied.fits(part)
        return LoanAnswer(account, lent, keeps, is_within, useless)

    def _return_loan(
        self,
        division: _Division,
        lender: str,
        ask: LoanAsk,
        needs: AccountNeeds,
        now: float,
    ) -> Amounts:
        """Give back what the asking pool has lent; return what it wants besides."""
        counted = division.counted.get(lender, NO_AMOUNTS)
        if ask.wants == NO_AMOUNTS or counted == NO_AMOUNTS:
            return ask.wants
        if needs.first is not None and not _goes_first(ask, lender, self.pool):
            # The first task of a job gathers parts; the lender has its turn after it.
            return subtract_to_nothing(ask.wants, counted)
        in_use = self._excess(ask.account, lender, needs.occupied, now)
        left = subtract_to_nothing(counted, ask.wants)
        kept = larger(left, smaller(in_use, counted))
        division.counted[lender] = kept
        division.recalled[lender] = (now + RECALL_S, subtract(kept, left))
        return subtract_to_nothing(ask.wants, counted)

    def _find_spare(
        self,
        division: _Division,
        borrower: str,
        ask: LoanAsk,
        needs: AccountNeeds,
        limit: Resources,
        now: float,
    ) -> Amounts:
        """Return what this pool can lend of its own share."""
        own = self._own(division, now)
        needed = needs.occupied.union(needs.wanted)
        if _goes_first(ask, borrower, self.pool) or (
            ask.is_first and needs.first is None
        ):
            needed = needs.occupied
            self._yield(division, now)
        has_besides = _sum_usable_loans(division, now)
        return subtract_to_nothing(own, lack(limit, needed, has_besides))

    def _yield(self, division: _Division, now: float) -> None:
        """Start nothing for a while, so that another pool can start its first task."""
        if now - division.yields_since > YIELD_S + YIELD_PAUSE_S:
            division.yields_since = now
        until = min(now + RECALL_S, division.yields_since + YIELD_S)
        division.yields_until = max(division.yields_until, until)

    def needs_storing(self, borrower: str, accounts: list[str]) -> list[str]:
        """Return the accounts of which more is lent than is stored for certain."""
        missing = []
        for account in accounts:
            division = self._divisions[account]
            lent = division.lent.get(borrower, NO_AMOUNTS)
            stored = division.stored.get(borrower, NO_AMOUNTS)
            if larger(lent, stored) != stored:
                missing.append(account)
        return missing

    def make_record(self, account: str) -> Loans:
        """Return the record of an account's present loans."""
        division = self._divisions.setdefault(account, _Division())
        lent = {p: lent for p, lent in division.lent.items() if lent != NO_AMOUNTS}
        # As soon as the record is on its way, the store may hold no more than this.
        division.stored = {
            pool: smaller(stored, lent.get(pool, NO_AMOUNTS))
            for pool, stored in division.stored.items()
        }
        return Loans(account, lent)

    def note_stored(self, loans: Loans) -> None:
        """Note that the loans of an account are stored, and no newer ones are."""
        self._divisions[loans.account].stored = dict(loans.lent)

    def borrowing_accounts(self, lender: str) -> list[str]:
        """Return the accounts with a loan of another pool."""
        return [
            account
            for account, division in self._divisions.items()
            if division.counted.get(lender, NO_AMOUNTS) != NO_AMOUNTS
        ]


def _sum_usable_loans(division: _Division | None, now: float) -> Amounts:
    """Return what may be started on of all loans of other pools."""
    usable = NO_AMOUNTS
    for lender, counted in division.counted.items() if division else ():
        assert division is not None
        until, recalled = division.recalled.get(lender, (-1e9, NO_AMOUNTS))
        if now < until:
            counted = subtract_to_nothing(counted, recalled)
        usable = add(usable, counted)
    return usable


def _is_recalled(division: _Division | None, now: float) -> bool:
    """Return whether nothing is started on some loan for now."""
    if division is None:
        return False
    return any(now < until for until, _ in division.recalled.values())


def _goes_first(ask: LoanAsk, pool: str, own_pool: str) -> bool:
    """Return whether another pool's first task goes before one of this pool."""
    return ask.is_first and pool < own_pool
