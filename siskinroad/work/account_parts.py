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

For the turn of a large step a pool lends also what its runs still use. It then starts
nothing beyond what is left, and says with each answer what its runs hold beyond that;
the borrower starts nothing on as much of the loan.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from siskinroad.resources import NOTHING, Resources
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
    round_down,
    smaller,
    subtract,
    subtract_to_nothing,
)
from siskinroad.work.account_limits import WHOLE, AccountLimits
from siskinroad.work.account_use import UNLIMITED
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
# Seconds after a request for a large step for which the others come after it. Requests
# are repeated more often than that.
DEFER_S = 1.0


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
        Need of a step that waits while the account has nothing running in this pool, or
        of a large step whose turn it is.
    accepted_at : float
        Time at which that step's job was accepted; 0 if it is no step's turn.
    """

    occupied: Resources
    wanted: Resources
    total: Resources
    first: Resources | None = None
    accepted_at: float = 0.0


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
    uses : dict of str to Resources
        What the runs in another pool hold, by its owner's newest answer.
    beyond : dict of str to Resources or None
        What of that is beyond the part left to that pool; None if it is not known.
    yields_since, yields_until : float
        Loop time from which and until which nothing is started at all.
    goes_first : tuple
        Time at which the job of another pool's large step was accepted, and that pool,
        which gathers parts before this one and all others.
    defers_until : float
        Loop time until which that holds.
    leaves : Resources
        What that pool leaves of its part to the runs of this one.
    """

    lent: dict[str, Amounts] = field(default_factory=dict)
    stored: dict[str, Amounts] = field(default_factory=dict)
    counted: dict[str, Amounts] = field(default_factory=dict)
    recalled: dict[str, tuple[float, Amounts]] = field(default_factory=dict)
    useless: dict[str, Amounts] = field(default_factory=dict)
    uses: dict[str, Resources] = field(default_factory=dict)
    beyond: dict[str, Resources | None] = field(default_factory=dict)
    yields_since: float = -1e9
    yields_until: float = -1e9
    goes_first: tuple[float, str] = (0.0, "")
    defers_until: float = -1e9
    leaves: Resources = NOTHING

    def defers_to_other(self, pool: str, now: float) -> bool:
        """Return whether a pool other than ``pool`` goes first now."""
        return now < self.defers_until and self.goes_first[1] != pool


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
        part = apply_shares(limit, self._usable(division, limit, now))
        if not self.limits.is_settling(now) and not _is_recalled(division, now):
            self._known_parts[account] = part
        return part

    def share(self, account: str, now: float) -> Resources | None:
        """Return this pool's equal share of an account's limit, whatever is lent."""
        limit = self.limits.by_name.get(account)
        if limit is None:
            return None
        share = self.limits.share(self.pool, now)
        return apply_shares(limit, (share, share, share))

    def use_elsewhere(self, account: str, now: float) -> Resources:
        """Return the most that the runs in all other pools hold.

        It is ``UNLIMITED`` in each dimension in which some other pool has a part left
        to start on, so that what it holds may grow.
        """
        division = self._divisions.get(account, _Division())
        held = self.known_use(account)
        is_whole = [not self.limits.is_settling(now)] * 3
        for pool in self.other_pools():
            counted = division.counted.get(pool, NO_AMOUNTS)
            lent = division.lent.get(pool, NO_AMOUNTS)
            share = self.limits.share(pool, now)
            is_known = division.beyond.get(pool) is not None or not share
            for i in range(3):
                is_whole[i] &= is_known and counted[i] >= share and not lent[i]
        return Resources(
            held.cpu_milli if is_whole[0] else UNLIMITED,
            held.memory_mib if is_whole[1] else UNLIMITED,
            held.accelerators if is_whole[2] else UNLIMITED,
        )

    def known_use(self, account: str) -> Resources:
        """Return what the runs in all other pools hold, by the newest answers."""
        division = self._divisions.get(account, _Division())
        pools = self.other_pools()
        return sum((division.uses.get(p, NOTHING) for p in pools), start=NOTHING)

    def must_ask(self, account: str, lender: str) -> bool:
        """Return whether a lender's runs may still use some of its loan."""
        division = self._divisions.get(account)
        if division is None or division.counted.get(lender) in (None, NO_AMOUNTS):
            return False
        return division.beyond.get(lender, NOTHING) != NOTHING

    def accounts_to_ask(self, lender: str, now: float) -> list[str]:
        """Return the accounts of which a lender must hear, or this owner of a lender.

        Those are the ones whose parts another pool gathers, and those of which the
        lender's runs may still use some of its loan.
        """
        return [
            account
            for account, division in self._divisions.items()
            if now < division.defers_until or self.must_ask(account, lender)
        ]

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

    def _usable(
        self, division: _Division | None, limit: Resources, now: float
    ) -> Amounts:
        return add(self._own(division, now), _sum_usable_loans(division, limit, now))

    def _reserved(self, division: _Division, limit: Resources, now: float) -> Amounts:
        """Return what is usable, and what is not started on only for a while."""
        reserved = self._own(division, now)
        for lender in division.counted:
            reserved = add(reserved, _find_free_loan(division, lender, limit))
        return reserved

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
        if division is not None and now < division.defers_until:
            return self._give_way(division, lender, account, needs, now)
        counted = division.counted.get(lender, NO_AMOUNTS) if division else NO_AMOUNTS
        has = self._own(division, now)
        for pool in division.counted if division else ():
            has = add(has, _find_free_loan(division, pool, limit))
        wants = lack(limit, needs.wanted, has)
        is_first = needs.first is not None
        if needs.first is not None:
            first = needs.occupied + needs.first
            wants = larger(wants, lack(limit, first, has))
        must_ask = self._must_confirm(account, lender) or self.must_ask(account, lender)
        if wants == NO_AMOUNTS and not must_ask and not needs.accepted_at:
            return None
        keeps = larger(counted, self._excess(account, lender, needs.occupied, now))
        leaves = NO_AMOUNTS
        if division is not None:
            leaves = self._find_left(division, lender, limit, needs.occupied, now)
        return LoanAsk(account, keeps, wants, is_first, needs.accepted_at, leaves)

    def _find_left(
        self,
        division: _Division,
        lender: str,
        limit: Resources,
        occupied: Resources,
        now: float,
    ) -> Amounts:
        """Return what is free here for what a lender's runs hold beyond its part."""
        beyond = division.beyond.get(lender) or NOTHING
        has = add(self._own(division, now), division.counted.get(lender, NO_AMOUNTS))
        for other in division.counted:
            if other != lender:
                has = add(has, _find_free_loan(division, other, limit))
        free = _subtract_part(apply_shares(limit, has), occupied)
        return smaller(_as_tuple(beyond), _as_tuple(free))

    def _give_way(
        self,
        division: _Division,
        lender: str,
        account: str,
        needs: AccountNeeds,
        now: float,
    ) -> LoanAsk:
        """Count on no more than what is in use, while another pool goes first."""
        in_use = self._excess(account, lender, needs.occupied, now)
        in_use = subtract_to_nothing(in_use, self._find_left_by_first(account, now))
        counted = division.counted.get(lender, NO_AMOUNTS)
        division.counted[lender] = smaller(counted, in_use)
        self._known_parts.pop(account, None)
        return LoanAsk(account, in_use, NO_AMOUNTS, False, 0.0)

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
            asks.append(LoanAsk(account, keeps, NO_AMOUNTS, False, 0.0))
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
        for other in division.counted if division else ():
            if other != lender:
                has = add(has, _find_free_loan(division, other, limit))
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
            _note_use(division, lender, answer)
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
        if self._is_turn(division, borrower, ask, needs, now):
            division.goes_first = (ask.accepted_at, borrower)
            division.defers_until = now + DEFER_S
            division.leaves = Resources(*ask.leaves)
        if division.defers_to_other(borrower, now):
            needs = AccountNeeds(needs.occupied, needs.occupied, needs.total)
            may_lend = False
        wants = self._return_loan(division, borrower, ask, needs, now)
        keeps = larger(
            division.counted.get(borrower, NO_AMOUNTS),
            self._find_in_use(division, borrower, ask, needs, now),
        )
        useless = find_useless(needs.total)
        if may_lend:
            spare = self._find_spare(division, borrower, ask, needs, limit, now)
            granted = smaller(spare, wants)
            granted = larger(granted, multiply(spare, useless))
            lent = division.lent[borrower] = add(lent, granted)
        part = apply_shares(limit, self._reserved(division, limit, now))
        beyond = _subtract_part(needs.occupied, part)
        is_within = lack(limit, beyond, _sum(division.lent)) == NO_AMOUNTS
        if now < division.defers_until and not division.defers_to_other(borrower, now):
            # Loans of third pools go back once the borrower leaves what is beyond.
            own = apply_shares(limit, self._own(division, now))
            beyond = _subtract_part(needs.occupied, own)
        in_use = smaller(lent, lack(limit, beyond, NO_AMOUNTS))
        if ask.accepted_at < 0.0:
            # An owner of an earlier version would start on what is still in use.
            lent = subtract(lent, in_use)
        return LoanAnswer(
            account,
            lent,
            keeps,
            is_within,
            useless,
            _as_tuple(needs.occupied),
            _as_tuple(beyond),
        )

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
        if needs.first is not None and not self._goes_first(ask, lender, needs):
            # The first task of a job gathers parts; the lender has its turn after it.
            return subtract_to_nothing(ask.wants, counted)
        in_use = self._find_in_use(division, lender, ask, needs, now)
        left = subtract_to_nothing(counted, ask.wants)
        kept = larger(left, smaller(in_use, counted))
        division.counted[lender] = kept
        division.recalled[lender] = (now + RECALL_S, subtract(kept, left))
        return subtract_to_nothing(ask.wants, counted)

    def _find_in_use(
        self,
        division: _Division,
        lender: str,
        ask: LoanAsk,
        needs: AccountNeeds,
        now: float,
    ) -> Amounts:
        """Return what is in use of a pool's loan, but not of the loan to that pool.

        The answer says what is in use here of the loan to that pool, so that both need
        not lend each other the same. An owner of an earlier version does not understand
        that.
        """
        in_use = self._excess(ask.account, lender, needs.occupied, now)
        if ask.accepted_at < 0.0:
            return in_use
        covered = division.lent.get(lender, NO_AMOUNTS)
        if division.defers_to_other(lender, now):
            covered = add(covered, self._find_left_by_first(ask.account, now))
        return subtract_to_nothing(in_use, covered)

    def _find_left_by_first(self, account: str, now: float) -> Amounts:
        """Return what the pool that goes first leaves of its loan to the runs here."""
        division = self._divisions.get(account)
        limit = self.limits.by_name.get(account)
        if division is None or limit is None or now >= division.defers_until:
            return NO_AMOUNTS
        lent = division.lent.get(division.goes_first[1], NO_AMOUNTS)
        return smaller(lent, round_down(limit, division.leaves))

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
        if ask.is_first and (
            needs.first is None or self._goes_first(ask, borrower, needs)
        ):
            if ask.accepted_at > 0.0 and now < division.defers_until:
                # Runs here go on; as they end, the part is the borrower's to use.
                return own
            needed = needs.occupied
            self._yield(division, now)
        has_besides = _sum_usable_loans(division, limit, now)
        return subtract_to_nothing(own, lack(limit, needed, has_besides))

    def _is_turn(
        self,
        division: _Division,
        borrower: str,
        ask: LoanAsk,
        needs: AccountNeeds,
        now: float,
    ) -> bool:
        """Return whether a large step of the asking pool goes before all others."""
        if not ask.is_first or ask.accepted_at <= 0.0:
            return False
        if needs.first is not None and not self._goes_first(ask, borrower, needs):
            return False
        if not division.defers_to_other(borrower, now):
            return True
        return (ask.accepted_at, borrower) < division.goes_first

    def _goes_first(self, ask: LoanAsk, pool: str, needs: AccountNeeds) -> bool:
        """Return whether another pool's first task goes before the one of this pool.

        Both owners compare the same two pairs. Names alone decide unless it is the turn
        of a large step in both pools; then the older job goes first.
        """
        if not ask.is_first:
            return False
        if ask.accepted_at > 0.0 and needs.accepted_at > 0.0:
            return (ask.accepted_at, pool) < (needs.accepted_at, self.pool)
        return pool < self.pool

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


def _sum_usable_loans(
    division: _Division | None, limit: Resources, now: float
) -> Amounts:
    """Return what may be started on of all loans of other pools."""
    usable = NO_AMOUNTS
    for lender in division.counted if division else ():
        assert division is not None
        free = _find_free_loan(division, lender, limit)
        until, recalled = division.recalled.get(lender, (-1e9, NO_AMOUNTS))
        if now < until:
            free = subtract_to_nothing(free, recalled)
        usable = add(usable, free)
    return usable


def _find_free_loan(
    division: _Division | None, lender: str, limit: Resources
) -> Amounts:
    """Return what is counted on of a loan and not used by the lender's own runs."""
    if division is None:
        return NO_AMOUNTS
    beyond = division.beyond.get(lender, NOTHING)
    if beyond is None:
        return NO_AMOUNTS
    counted = division.counted.get(lender, NO_AMOUNTS)
    return subtract_to_nothing(counted, lack(limit, beyond, NO_AMOUNTS))


def _note_use(division: _Division, lender: str, answer: LoanAnswer) -> None:
    """Note what the runs in a lender's pool hold, and how much beyond its part."""
    if answer.uses is not None and answer.beyond is not None:
        division.uses[lender] = Resources(*answer.uses)
        division.beyond[lender] = Resources(*answer.beyond)
        return
    # An owner of an earlier version lends nothing in use, but may have inherited loans.
    division.uses.pop(lender, None)
    division.beyond[lender] = NOTHING if answer.is_within else None


def _subtract_part(held: Resources, part: Resources) -> Resources:
    """Return what is held beyond a part."""
    return Resources(
        max(0, held.cpu_milli - part.cpu_milli),
        max(0, held.memory_mib - part.memory_mib),
        max(0, held.accelerators - part.accelerators),
    )


def _as_tuple(held: Resources) -> Amounts:
    return (held.cpu_milli, held.memory_mib, held.accelerators)


def _sum(lent: dict[str, Amounts]) -> Amounts:
    """Return the sum of loans to all pools."""
    total = NO_AMOUNTS
    for amounts in lent.values():
        total = add(total, amounts)
    return total


def _is_recalled(division: _Division | None, now: float) -> bool:
    """Return whether nothing is started on some loan for now."""
    if division is None:
        return False
    return any(now < until for until, _ in division.recalled.values())
