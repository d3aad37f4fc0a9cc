"""Statements of the other members that none of them has claimed a pool.

While the store answers no daemon, an owner cannot read whether its pool was claimed. If
every other member states that it has neither owned nor claimed the pool for longer than
the owner's newest certain knowledge is old, no other daemon had claimed it when it was
asked. An abandoned claim that the store executes late is not covered by that: nobody
acts under it.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Collection, Set
from dataclasses import dataclass
from enum import StrEnum

from prometheus_client import Counter

from siskinroad.errors import SiskinroadError
from siskinroad.suspend_detector import SuspendDetector
from siskinroad.work.members import Members
from siskinroad.work.messages import ClaimAnswer, ClaimQuery
from siskinroad.work.peer_calls import PeerCalls
from siskinroad.work.term import OWNERSHIP_TIMEOUT_S
from siskinroad.work.workmetrics import WorkMetrics

__all__ = [
    "CLOCK_RATE_TOLERANCE",
    "SLACK_S",
    "ClaimStatements",
    "Judgement",
    "Outcome",
    "Statement",
    "judge_statements",
]

# Fraction by which the clocks of two daemons may differ in rate.
CLOCK_RATE_TOLERANCE = 0.03
# Seconds by which a statement must reach back further, for the resolution of clocks.
SLACK_S = 0.05
# Seconds for which a member may take to answer.
REQUEST_TIMEOUT = 0.7
# Least seconds between two log lines on a pool with the same outcome.
LOG_INTERVAL = 1.0
# Largest number of names in a log line.
MAX_LOGGED_NAMES = 4

log = logging.getLogger("siskinroad.claim_statements")


class Outcome(StrEnum):
    """Result of a confirmation, also the label of its metric.

    ``NO_ANSWER``: a member has not answered. ``TOO_SHORT``: a member owned or claimed
    the pool, or started, too recently. ``UNKNOWN_MEMBER``: an answer names a daemon
    that was not asked. ``OLD_MEMBERS``: the list of members was read too long ago.
    ``SUSPENDED``: the process was suspended meanwhile.
    """

    CONFIRMED = "confirmed"
    NO_ANSWER = "no_answer"
    TOO_SHORT = "too_short"
    UNKNOWN_MEMBER = "unknown_member"
    OLD_MEMBERS = "old_members"
    SUSPENDED = "suspended"


@dataclass(slots=True, frozen=True)
class Statement:
    """A member's answer, and the loop time at which it was received."""

    node: str
    unclaimed_s: float
    members: tuple[str, ...]
    received_at: float


@dataclass(slots=True, frozen=True)
class Judgement:
    """Whether statements are enough; ``missing`` names the members that prevent it."""

    outcome: Outcome
    missing: tuple[str, ...] = ()


def judge_statements(
    asked: Collection[str],
    statements: Collection[Statement],
    known_at: float,
    known: Set[str],
) -> Judgement:
    """Return whether the statements show that no other member had claimed the pool.

    Parameters
    ----------
    asked : collection of str
        All other members that the asking daemon knew when it asked.
    known_at : float
        Loop time up to which it is certain that nobody had claimed the pool, and that
        all members are known.
    known : set of str
        Names of all members that were known then, with the asking daemon's own.
    """
    answered = {each.node for each in statements}
    silent = {node for node in asked if node not in answered}
    short = {each.node for each in statements if not _reaches_back(each, known_at)}
    if silent:
        return Judgement(Outcome.NO_ANSWER, tuple(sorted(silent | short)))
    if short:
        return Judgement(Outcome.TOO_SHORT, tuple(sorted(short)))
    unknown = {node for each in statements for node in each.members} - known
    if unknown:
        return Judgement(Outcome.UNKNOWN_MEMBER, tuple(sorted(unknown)))
    return Judgement(Outcome.CONFIRMED)


def _reaches_back(statement: Statement, known_at: float) -> bool:
    """Return whether a statement covers the whole time since ``known_at``."""
    if not math.isfinite(statement.unclaimed_s):
        return False
    certain_s = statement.unclaimed_s * (1.0 - CLOCK_RATE_TOLERANCE) - SLACK_S
    return certain_s >= statement.received_at - known_at


@dataclass(slots=True, frozen=True)
class _Round:
    """Queries to other members at one time.

    Attributes
    ----------
    term : int
        Term under which the asking daemon owns the pool.
    known_at : float
        Loop time to which a statement has to reach back.
    digest : bytes or None
        Digest of the members that the asking daemon knows, if unknown ones matter.
    """

    pool: str
    term: int
    asked: tuple[str, ...]
    known_at: float
    digest: bytes | None = None

    def make_query(self, query_id: int) -> ClaimQuery:
        """Return a query; it asks for unknown members' names if these matter."""
        if self.digest is None:
            return ClaimQuery(query_id, self.pool, self.term, wants_members=False)
        return ClaimQuery(query_id, self.pool, self.term, self.digest)


@dataclass(slots=True, frozen=True)
class _Purpose:
    """What statements are asked for.

    Attributes
    ----------
    message : str
        Message of the log line about a round.
    counter : Counter
        Number of rounds by outcome.
    """

    message: str
    counter: Counter


class ClaimStatements:
    """Sender and receiver of the queries.

    Parameters
    ----------
    unclaimed_s : callable
        Returns the seconds for which this daemon has neither owned nor claimed a pool.
    members_read_at : callable
        Returns the loop time up to which every member that had registered is known.
    has_acknowledged : callable
        Returns whether this daemon has acknowledged a claim of a pool of a later term
        than the one given.

    Attributes
    ----------
    on_suspended : callable
        Called when a suspension of the process is noticed here first.
    """

    def __init__(
        self,
        members: Members,
        peer_calls: PeerCalls,
        unclaimed_s: Callable[[str], float],
        members_read_at: Callable[[], float],
        metrics: WorkMetrics,
        has_acknowledged: Callable[[str, int], bool] = lambda pool, term: False,
    ) -> None:
        self._has_acknowledged = has_acknowledged
        self._members = members
        self._peer_calls = peer_calls
        self._unclaimed_s = unclaimed_s
        self._members_read_at = members_read_at
        self._conclusions = _Purpose(
            "claim_statements: members asked whether they have claimed the pool",
            metrics.claim_statements,
        )
        self._leases = _Purpose(
            "claim_statements: witnesses asked whether leases may be extended",
            metrics.lease_statements,
        )
        self.on_suspended: Callable[[], None] = lambda: None
        self._suspend_detector = SuspendDetector()
        self._suspensions = 0
        self._logged: dict[tuple[str, str], tuple[Outcome, float]] = {}

    async def confirm(self, pool: str, known_at: float, term: int = 0) -> float | None:
        """Ask every other member whether it may have claimed a pool.

        Parameters
        ----------
        known_at : float
            Loop time up to which it is certain that no other daemon had claimed it.
        term : int
            Term under which this daemon owns the pool.

        Returns
        -------
        float or None
            Loop time at which the queries were sent, if nobody had claimed the pool by
            then; None if that is not certain.
        """
        sent_at = asyncio.get_running_loop().time()
        read_at = self._members_read_at()
        this_round = _Round(
            pool,
            term,
            tuple(self._members.other_members()),
            min(known_at, read_at),
            self._members.digest(),
        )
        # A daemon that registered since the list was read, and that no member knows,
        # claims only after this time (`newcomer_check`).
        if sent_at - read_at > OWNERSHIP_TIMEOUT_S:
            judgement = Judgement(Outcome.OLD_MEMBERS)
            self._log_outcome(self._conclusions, this_round, judgement, sent_at)
            return None
        return await self._confirm(this_round, self._conclusions)

    async def ask_witnesses(
        self, pool: str, known_at: float, term: int, witnesses: Collection[str]
    ) -> tuple[float, Set[str]]:
        """Ask witnesses whether the leases may be extended (`witnesses`).

        The other parameters are those of `confirm`.

        Returns
        -------
        tuple
            Loop time at which the queries were sent, and the names of the witnesses
            that state that they have not claimed the pool since ``known_at``.
        """
        sent_at = asyncio.get_running_loop().time()
        this_round = _Round(pool, term, tuple(witnesses), known_at)
        judgement = await self._judge(this_round)
        self._log_outcome(self._leases, this_round, judgement, sent_at)
        if judgement.outcome is Outcome.SUSPENDED:
            return sent_at, frozenset()
        return sent_at, set(witnesses).difference(judgement.missing)

    async def _confirm(self, this_round: _Round, purpose: _Purpose) -> float | None:
        sent_at = asyncio.get_running_loop().time()
        judgement = await self._judge(this_round)
        self._log_outcome(purpose, this_round, judgement, sent_at)
        return sent_at if judgement.outcome is Outcome.CONFIRMED else None

    async def _judge(self, this_round: _Round) -> Judgement:
        """Ask the members in a round, unless the process is found to be suspended."""
        suspensions = self._suspensions
        if self._count_suspensions() > suspensions:
            return Judgement(Outcome.SUSPENDED)
        judgement = await self._ask_all(this_round)
        # The loop's clock has not counted a suspension meanwhile.
        if self._count_suspensions() > suspensions:
            return Judgement(Outcome.SUSPENDED)
        return judgement

    async def _ask_all(self, this_round: _Round) -> Judgement:
        asked = this_round.asked
        calls = (self._ask(node, this_round.make_query) for node in asked)
        answers = await asyncio.gather(*calls)
        statements = [each for each in answers if each is not None]
        known = {self._members.node, *asked}
        return judge_statements(asked, statements, this_round.known_at, known)

    def _count_suspensions(self) -> int:
        """Return how often the process was suspended, by all confirmations so far."""
        if self._suspend_detector.take_suspended_s():
            self._suspensions += 1
            self.on_suspended()
        return self._suspensions

    async def _ask(
        self, node: str, make_query: Callable[[int], ClaimQuery]
    ) -> Statement | None:
        try:
            answer = await self._peer_calls.request(
                node, make_query, ClaimAnswer, REQUEST_TIMEOUT
            )
        except SiskinroadError:
            return None
        received_at = asyncio.get_running_loop().time()
        return Statement(node, answer.unclaimed_s, answer.members, received_at)

    async def is_known_by(self, node: str) -> bool:
        """Return whether a member answers that it knows this daemon."""
        statement = await self._ask(node, lambda n: ClaimQuery(n, ""))
        return statement is not None and self._members.node in statement.members

    def answer(self, msg: ClaimQuery) -> ClaimAnswer:
        """Answer the query of another member."""
        known: tuple[str, ...] = ()
        if msg.wants_members and msg.members_digest != self._members.digest():
            known = tuple(self._members.known)
        unclaimed_s = self._unclaimed_s(msg.pool)
        if self._has_acknowledged(msg.pool, msg.term):
            unclaimed_s = 0.0
        return ClaimAnswer(msg.id, unclaimed_s, known)

    def _log_outcome(
        self,
        purpose: _Purpose,
        this_round: _Round,
        judgement: Judgement,
        sent_at: float,
    ) -> None:
        """Count an outcome; log one that has changed, and the same once in a while."""
        purpose.counter.labels(judgement.outcome.value).inc()
        now = asyncio.get_running_loop().time()
        key = (purpose.message, this_round.pool)
        outcome, logged_at = self._logged.get(key, (None, 0.0))
        if outcome is judgement.outcome and now - logged_at < LOG_INTERVAL:
            return
        self._logged[key] = (judgement.outcome, now)
        log.info(
            purpose.message,
            extra={
                "pool": this_round.pool,
                "asked": len(this_round.asked),
                "missing": judgement.missing[:MAX_LOGGED_NAMES],
                "known_age_s": round(sent_at - this_round.known_at, 2),
                "outcome": judgement.outcome.value,
            },
        )
