"""Check with other members before a claim that rests on an owner's silence alone.

A daemon whose link is saturated, or that is cut off from the owner only, does not hear
an owner that works. Its claim would depose that owner, and the pool would wait for the
settlement of a new term. So it asks other members when they last heard the owner:

- At least half of them and this daemon hear it, or one that is claiming the pool: no
  claim now.
- More of them do not: the owner is lost, or nearly all are cut off from it.
- Nobody answers: this daemon hears nothing. It doesn't claim until it has received
  nothing from any of them for a while, as after the loss of all others. Until then its
  heartbeats say that it cannot claim, so that no other daemon waits for it.

Members of an earlier version do not answer. If there are no others, silence is enough.
An answer is never needed for safety: a claim is safe while another owner works.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from siskinroad.errors import SiskinroadError
from siskinroad.peers import PeerTransport, Reachability
from siskinroad.work.heard_owners import HeardOwners
from siskinroad.work.members import (
    HEARTBEAT_INTERVAL,
    Members,
)
from siskinroad.work.messages import OwnerAnswer, OwnerQuery
from siskinroad.work.owner_silence import (
    ANSWER_TIMEOUT,
    OwnerSilence,
    Verdict,
    choose_asked,
)
from siskinroad.work.peer_calls import PeerCalls

__all__ = ["OwnerCheck"]

# Seconds without any message from a member that could answer, after which silence is
# enough: an interval of heartbeats, and the delay of the next one by a saturated link.
ALONE_AFTER = HEARTBEAT_INTERVAL + 1.6
# The same in seconds, if none of the members heard within that time listens: a link
# that is only late delays a connection, and does not prevent it for so long.
ALONE_AFTER_PROBES = 1.5
# Least seconds between two log lines of one verdict.
LOG_INTERVAL = 1.0

log = logging.getLogger("siskinroad.owner_check")


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
        peers: PeerTransport,
        find_own_term: Callable[[str], int | None],
    ) -> None:
        self.on_news: Callable[[], None] = lambda: None
        self._node = node
        self._members = members
        self._heard_owners = heard_owners
        self._peer_calls = peer_calls
        self._peers = peers
        self._find_own_term = find_own_term
        self._silences: dict[str, OwnerSilence] = {}
        self._logged_at: dict[tuple[str, Verdict], float] = {}
        self._queries: set[asyncio.Task[None]] = set()
        self._received_at: dict[str, float] = {}

    def note_received(self, node: str, now: float) -> None:
        """Note that a message came from another daemon."""
        self._received_at[node] = now

    @property
    def is_unanswered(self) -> bool:
        """Whether this daemon asks others about an owner, and none answers."""
        now = asyncio.get_running_loop().time()
        return any(
            silence.is_unanswered(self._is_alone(pool, now), now)
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

    def ask(self, pool: str, since: float, *, is_claimant: bool) -> None:
        """Ask others about the silent owner of a pool, if that is due.

        Call it again and again from the time on at which the silence is noticed.

        Parameters
        ----------
        since : float
            Loop time at which the silence was noticed.
        is_claimant : bool
            Whether this daemon would claim the pool now; others ask less often once
            they have an answer.
        """
        now = asyncio.get_running_loop().time()
        silence = self._silences.get(pool)
        if silence is None or silence.since != since:
            silence = self._silences[pool] = OwnerSilence(since)
        if silence.is_query_due(now, is_claimant):
            self._ask(pool, silence, now)

    def is_lost(self, pool: str) -> bool:
        """Return whether the silent owner of a pool is lost, by others' answers."""
        now = asyncio.get_running_loop().time()
        silence = self._silences[pool]
        verdict = silence.judge(self._is_alone(pool, now), now)
        self._log(pool, silence, verdict, now)
        return verdict in (Verdict.LOST, Verdict.NOBODY_TO_ASK)

    def _is_alone(self, pool: str, now: float) -> bool:
        """Return whether no member that can answer was heard for a while."""
        owner = self._find_owner(pool)
        heard = {
            node: received_at
            for node, received_at in self._received_at.items()
            if now - received_at <= ALONE_AFTER
            and node != owner
            and self._can_answer(node)
        }
        if not heard:
            return True
        silence = self._silences.get(pool)
        if silence is None or now - max(heard.values()) <= ALONE_AFTER_PROBES:
            return False
        return not any(
            silence.probes.get(node, Reachability.LISTENS) is Reachability.LISTENS
            for node in heard
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
        nodes = choose_asked(self._members, owner, silence, now)
        unanswered = [node for node, count in silence.asked.items() if count > 0]
        silence.note_asked(nodes, now)
        for node in nodes:
            self._run(self._query(pool, silence, node))
        if silence.answered_at < silence.since:
            for node in unanswered:
                self._probe_once(silence, node)

    def _run(self, coro: Coroutine[Any, Any, None]) -> None:
        query = asyncio.create_task(coro)
        self._queries.add(query)
        query.add_done_callback(self._queries.discard)

    def _probe_once(self, silence: OwnerSilence, node: str) -> None:
        """Probe a member that has not answered, unless it was probed before."""
        if node in silence.probes:
            return
        silence.probes[node] = Reachability.LISTENS

        async def probe() -> None:
            silence.probes[node] = await self._peers.probe(node)

        self._run(probe())

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
                **_describe_hearing(silence, now),
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


def _describe_hearing(silence: OwnerSilence, now: float) -> dict[str, object]:
    """Return how many members hear an owner, and what the last one to do so heard."""
    hearing = {n: each for n, each in silence.answers.items() if each.owner}
    node = max(hearing, key=lambda each: hearing[each].heard_at, default=None)
    newest = hearing[node] if node is not None else None
    return {
        "answers": len(silence.answers),
        "hearing": len(hearing),
        "heard_by": node,
        "heard_owner": newest.owner if newest is not None else None,
        "heard_term": newest.term if newest is not None else None,
        "heard_s": _age(newest.heard_at, now) if newest is not None else None,
    }


def _age(at: float, now: float) -> float | None:
    return round(now - at, 2) if at > 0.0 else None
