"""Check with other members before a claim that rests on an owner's silence alone.

A daemon whose link is saturated, or that is cut off from the owner only, does not hear
an owner that works. Its claim would depose that owner, and the pool would wait for the
settlement of a new term. So it asks other members when they last heard the owner:

- One of them hears it, or a daemon that is claiming the pool: no claim now.
- None that answers does: the owner is lost.
- Nobody answers: this daemon hears nothing. It doesn't claim until it has received
  nothing from any of them for a while, as after the loss of all others. Until then its
  heartbeats say that it cannot claim, so that no other daemon waits for it.

Members of an earlier version do not answer. If there are no others, silence is enough.
An answer is never needed for safety: a claim is safe while another owner works.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from siskinroad.errors import SiskinroadError
from siskinroad.work.heard_owners import HeardOwners
from siskinroad.work.members import (
    HEARTBEAT_INTERVAL,
    OWNER_HEARTBEAT_TIMEOUT,
    Members,
)
from siskinroad.work.messages import OwnerAnswer, OwnerQuery
from siskinroad.work.peer_calls import PeerCalls

__all__ = ["OwnerCheck", "OwnerSilence", "Verdict", "choose_asked"]

# Largest number of members that are asked at once.
MAX_ASKED = 5
# Seconds since its newest sign of life up to which a member is asked.
ASKED_AGE = 4.0
# Seconds without any message from a member that could answer, after which silence is
# enough: an interval of heartbeats, and the delay of the next one by a saturated link.
ALONE_AFTER = HEARTBEAT_INTERVAL + 1.6
# Seconds between two rounds of queries; the second value once SLOW_AFTER seconds passed
# without an answer.
ASK_INTERVAL = 0.15
SLOW_ASK_INTERVAL = 0.5
SLOW_AFTER = 1.0
# Seconds for which an answer may take, and counts from the time of its query: a
# saturated link delays it by seconds.
ANSWER_TIMEOUT = 4.0
# Seconds without an answer from which this daemon counts as deaf; its heartbeats then
# say that it cannot claim.
UNANSWERED_AFTER = 0.4
# Seconds without an answer after which silence is enough: members that are heard, but
# never answer, must not leave a pool without an owner.
LONGEST_UNANSWERED = 10.0
# Least seconds between two log lines of one verdict.
LOG_INTERVAL = 1.0

log = logging.getLogger("siskinroad.owner_check")


class Verdict(StrEnum):
    """What is known of an owner that is silent here."""

    LOST = "lost"
    HEARD = "heard by another member"
    UNANSWERED = "no answer yet"
    NOBODY_TO_ASK = "nobody to ask"


@dataclass(slots=True)
class OwnerSilence:
    """What other members have answered about the silent owner of one pool.

    Attributes
    ----------
    since : float
        Loop time at which the silence was noticed.
    asked : dict of str to int
        Number of queries to each member since its last answer.
    asked_at : float
        Loop time of the newest queries.
    answered_at : float
        Loop time of the newest query that was answered.
    heard_at : float
        Newest loop time at which another member can have heard the owner.
    heard_owner, heard_term, heard_by : str, int, str
        That owner, its term, and that member.
    """

    since: float
    asked: dict[str, int] = field(default_factory=dict)
    asked_at: float = -1e9
    answered_at: float = -1e9
    heard_at: float = -1e9
    heard_owner: str = ""
    heard_term: int = 0
    heard_by: str = ""

    def is_query_due(self, now: float) -> bool:
        """Return whether members are to be asked again."""
        is_slow = self._find_unanswered_s(now) > SLOW_AFTER
        interval = SLOW_ASK_INTERVAL if is_slow else ASK_INTERVAL
        return now - self.asked_at >= interval

    def note_asked(self, nodes: list[str], now: float) -> None:
        """Note a query to each of some members."""
        self.asked_at = now
        for node in nodes:
            self.asked[node] = self.asked.get(node, 0) + 1

    def note_answer(
        self, node: str, answer: OwnerAnswer, asked_at: float, now: float
    ) -> None:
        """Note the answer of a member to a query that was sent at a loop time."""
        self.asked[node] = 0
        self.answered_at = max(self.answered_at, asked_at)
        heard_at = now - max(0.0, answer.heard_s)
        if answer.owner and heard_at > self.heard_at:
            self.heard_at = heard_at
            self.heard_owner = answer.owner
            self.heard_term = answer.term
            self.heard_by = node

    def judge(self, is_alone: bool, now: float) -> Verdict:
        """Return what is known of the owner.

        Only a query sent after the time at which a member has heard the owner for the
        last time, and its heartbeats were due again, tells that it is lost.

        Parameters
        ----------
        is_alone : bool
            Whether no member that can answer was heard for a while.
        now : float
            Loop time.
        """
        lost_at = self.heard_at + OWNER_HEARTBEAT_TIMEOUT
        if now <= lost_at:
            return Verdict.HEARD
        if self.answered_at >= max(self.since, lost_at, now - ANSWER_TIMEOUT):
            return Verdict.LOST
        if is_alone or self._find_unanswered_s(now) > LONGEST_UNANSWERED:
            return Verdict.NOBODY_TO_ASK
        return Verdict.UNANSWERED

    def is_deaf(self, is_alone: bool, now: float) -> bool:
        """Return whether this daemon asks others and seems to receive nothing."""
        if now - self.asked_at > 2.0 * SLOW_ASK_INTERVAL:
            return False
        is_unanswered = self.judge(is_alone, now) is Verdict.UNANSWERED
        return is_unanswered and self._find_unanswered_s(now) > UNANSWERED_AFTER

    def _find_unanswered_s(self, now: float) -> float:
        return now - max(self.since, self.answered_at)


def choose_asked(
    members: Members, owner: str, asked: dict[str, int], now: float
) -> list[str]:
    """Return the members to ask, those of most processor first.

    Those that have not answered come last: they may be lost together with the owner.

    Parameters
    ----------
    owner : str
        The silent owner, which is not asked; empty if it is unknown.
    asked : dict of str to int
        Number of queries to each member since its last answer.
    """
    able = [
        last_heartbeat.heartbeat
        for node, last_heartbeat in members.last_heartbeats.items()
        if last_heartbeat.heartbeat.answers_owner_queries
        and now - last_heartbeat.received_at <= ASKED_AGE
        and node != owner
    ]
    able.sort(key=lambda each: (asked.get(each.node, 0), -each.processor, each.node))
    return [each.node for each in able[:MAX_ASKED]]


class OwnerCheck:
    """Asker and answerer of one daemon.

    Parameters
    ----------
    node : str
        This daemon's name.
    find_own_term : callable
        Returns the term under which this daemon acts for a pool, 0 if it is claiming
        the pool, or None.

    Attributes
    ----------
    on_news : callable
        Called with each answer.
    """

    def __init__(
        self,
        node: str,
        members: Members,
        heard_owners: HeardOwners,
        peer_calls: PeerCalls,
        find_own_term: Callable[[str], int | None],
    ) -> None:
        self.on_news: Callable[[], None] = lambda: None
        self._node = node
        self._members = members
        self._heard_owners = heard_owners
        self._peer_calls = peer_calls
        self._find_own_term = find_own_term
        self._silences: dict[str, OwnerSilence] = {}
        self._logged_at: dict[tuple[str, Verdict], float] = {}
        self._queries: set[asyncio.Task[None]] = set()
        self._received_at: dict[str, float] = {}

    def note_received(self, node: str, now: float) -> None:
        """Note that a message came from another daemon."""
        self._received_at[node] = now

    @property
    def is_deaf(self) -> bool:
        """Whether this daemon asks others about an owner, and none answers."""
        now = asyncio.get_running_loop().time()
        return any(
            silence.is_deaf(self._is_alone(pool, now), now)
            for pool, silence in self._silences.items()
        )

    def forget(self, pool: str) -> None:
        """Forget a silence, as the pool has an owner that acts for it."""
        self._silences.pop(pool, None)

    def close(self) -> None:
        """End the open queries."""
        for query in self._queries:
            query.cancel()

    # Asking

    def is_lost(self, pool: str, since: float) -> bool:
        """Return whether the silent owner of a pool is lost; ask others if need be.

        Call it again and again from the time on at which the silence is noticed.

        Parameters
        ----------
        since : float
            Loop time at which the silence was noticed.
        """
        now = asyncio.get_running_loop().time()
        silence = self._silences.get(pool)
        if silence is None or silence.since != since:
            silence = self._silences[pool] = OwnerSilence(since)
        if silence.is_query_due(now):
            self._ask(pool, silence, now)
        verdict = silence.judge(self._is_alone(pool, now), now)
        self._log(pool, silence, verdict, now)
        return verdict in (Verdict.LOST, Verdict.NOBODY_TO_ASK)

    def _is_alone(self, pool: str, now: float) -> bool:
        """Return whether no member that can answer was heard for a while."""
        owner = self._find_owner(pool)
        return not any(
            node != owner and self._can_answer(node)
            for node, received_at in self._received_at.items()
            if now - received_at <= ALONE_AFTER
        )

    def _can_answer(self, node: str) -> bool:
        last_heartbeat = self._members.last_heartbeats.get(node)
        if last_heartbeat is None:
            return False
        return last_heartbeat.heartbeat.answers_owner_queries

    def _find_owner(self, pool: str) -> str:
        heard = self._heard_owners.find(pool)
        return heard.node if heard is not None else ""

    def _ask(self, pool: str, silence: OwnerSilence, now: float) -> None:
        owner = self._find_owner(pool)
        nodes = choose_asked(self._members, owner, silence.asked, now)
        silence.note_asked(nodes, now)
        for node in nodes:
            query = asyncio.create_task(self._query(pool, silence, node))
            self._queries.add(query)
            query.add_done_callback(self._queries.discard)

    async def _query(self, pool: str, silence: OwnerSilence, node: str) -> None:
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        try:
            answer = await self._peer_calls.request(
                node,
                lambda request_id: OwnerQuery(request_id, pool),
                OwnerAnswer,
                ANSWER_TIMEOUT,
            )
        except SiskinroadError:
            return
        if self._is_outdated(pool, answer):
            answer = OwnerAnswer(answer.id, "", 0, 0.0)
        silence.note_answer(node, answer, asked_at, loop.time())
        self.on_news()

    def _is_outdated(self, pool: str, answer: OwnerAnswer) -> bool:
        """Return whether an answer tells of this daemon, or of a deposed owner."""
        if answer.owner == self._node:
            return True
        heard = self._heard_owners.find(pool)
        return heard is not None and 0 < answer.term < heard.term

    def _log(
        self, pool: str, silence: OwnerSilence, verdict: Verdict, now: float
    ) -> None:
        if now - self._logged_at.get((pool, verdict), -1e9) < LOG_INTERVAL:
            return
        self._logged_at[pool, verdict] = now
        log.info(
            "owner_check: owner of a pool is silent here",
            extra={
                "pool": pool,
                "verdict": verdict.value,
                "silent_since_s": round(now - silence.since, 2),
                "asked": list(silence.asked),
                "answered_s": _age(silence.answered_at, now),
                "heard_owner": silence.heard_owner or None,
                "heard_term": silence.heard_term or None,
                "heard_by": silence.heard_by or None,
                "heard_s": _age(silence.heard_at, now),
            },
        )

    # Answering

    def answer(self, msg: OwnerQuery) -> OwnerAnswer:
        """Answer another member's query."""
        now = asyncio.get_running_loop().time()
        own_term = self._find_own_term(msg.pool)
        if own_term is not None:
            return OwnerAnswer(msg.id, self._node, own_term, 0.0)
        owner = self._members.acting_owner(msg.pool, now)
        node = owner or self._members.claimant(msg.pool, now)
        if node is None:
            return OwnerAnswer(msg.id, "", 0, 0.0)
        last_heartbeat = self._members.last_heartbeats[node]
        owned = dict(last_heartbeat.heartbeat.owned)
        term = owned[msg.pool] if owner is not None else 0
        heard_s = round(now - last_heartbeat.direct_at, 3)
        return OwnerAnswer(msg.id, node, term, heard_s)


def _age(at: float, now: float) -> float | None:
    return round(now - at, 2) if at > 0.0 else None
