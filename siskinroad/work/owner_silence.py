"""What other members have answered about the silent owner of one pool.

Nothing here does I/O. All times are loop times in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from siskinroad.peers import Reachability
from siskinroad.work.members import OWNER_HEARTBEAT_TIMEOUT, Members
from siskinroad.work.messages import OwnerAnswer

__all__ = ["OwnerSilence", "Verdict", "choose_asked"]

# Largest number of members that are asked at once; the second value while none has
# answered, as many may be lost together with the owner.
MAX_ASKED = 5
MAX_ASKED_UNANSWERED = 10
# Seconds since its newest sign of life up to which a member is asked.
ASKED_AGE = 4.0
# Seconds between two rounds of queries; the second value once SLOW_AFTER seconds passed
# without an answer, and after one for a daemon that would not claim the pool now.
ASK_INTERVAL = 0.15
SLOW_ASK_INTERVAL = 0.5
SLOW_AFTER = 1.0
# Seconds for which an answer may take, and counts from the time of its query: a
# saturated link delays it by seconds.
ANSWER_TIMEOUT = 4.0
# Seconds without an answer from which the heartbeats of this daemon say that it cannot
# claim.
UNANSWERED_AFTER = 0.4
# Seconds without an answer after which silence is enough: members that are heard, but
# never answer, must not leave a pool without an owner.
LONGEST_UNANSWERED = 10.0


class Verdict(StrEnum):
    """What is known of an owner that is silent here."""

    LOST = "lost"
    HEARD = "heard by other members"
    UNANSWERED = "no answer yet"
    NOBODY_TO_ASK = "nobody to ask"


@dataclass(slots=True, frozen=True)
class _HeardAnswer:
    """Newest answer of a member.

    Attributes
    ----------
    asked_at : float
        Loop time of the query.
    heard_at : float
        Newest loop time at which the member can have heard the owner.
    owner, term : str, int
        That owner and its term; empty if the member hears none.
    """

    asked_at: float
    heard_at: float
    owner: str
    term: int


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
    answers : dict
        Newest answer of each member.
    probes : dict of str to Reachability
        Whether members that have not answered listen.
    """

    since: float
    asked: dict[str, int] = field(default_factory=dict)
    asked_at: float = -1e9
    answered_at: float = -1e9
    answers: dict[str, _HeardAnswer] = field(default_factory=dict)
    probes: dict[str, Reachability] = field(default_factory=dict)

    def is_query_due(self, now: float, is_claimant: bool) -> bool:
        """Return whether members are to be asked again."""
        is_answered = self.answered_at >= self.since
        is_slow = self._find_unanswered_s(now) > SLOW_AFTER
        if is_answered and not is_claimant:
            is_slow = True
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
        former = self.answers.get(node)
        if former is None or former.asked_at <= asked_at:
            heard_at = now - max(0.0, answer.heard_s)
            self.answers[node] = _HeardAnswer(
                asked_at, heard_at, answer.owner, answer.term
            )

    def judge(self, is_alone: bool, now: float) -> Verdict:
        """Return what is known of the owner.

        A member that has heard the owner, and not answered since, may still hear it.

        Parameters
        ----------
        is_alone : bool
            Whether no member that can answer was heard for a while.
        now : float
            Loop time.
        """
        oldest = max(self.since, now - ANSWER_TIMEOUT)
        recent = [each for each in self.answers.values() if each.asked_at >= oldest]
        hearing = [each for each in recent if each.owner]
        silent_count = 1 + len(recent) - len(hearing)
        if silent_count > max(1, len(hearing)):
            return Verdict.LOST
        if any(now - each.heard_at <= OWNER_HEARTBEAT_TIMEOUT for each in hearing):
            return Verdict.HEARD
        if is_alone or self._find_unanswered_s(now) > LONGEST_UNANSWERED:
            return Verdict.NOBODY_TO_ASK
        return Verdict.UNANSWERED

    def is_unanswered(self, is_alone: bool, now: float) -> bool:
        """Return whether this daemon asks others and seems to receive nothing."""
        if now - self.asked_at > 2.0 * SLOW_ASK_INTERVAL:
            return False
        is_unanswered = self.judge(is_alone, now) is Verdict.UNANSWERED
        return is_unanswered and self._find_unanswered_s(now) > UNANSWERED_AFTER

    def _find_unanswered_s(self, now: float) -> float:
        return now - max(self.since, self.answered_at)


def choose_asked(
    members: Members, owner: str, silence: OwnerSilence, now: float
) -> list[str]:
    """Return the members to ask, those of most processor first.

    Before these come those heard since the owner fell silent, and last those that have
    not answered: they may be lost together with the owner.

    Parameters
    ----------
    owner : str
        The silent owner, which is not asked; empty if it is unknown.
    """
    able = [
        last_heartbeat
        for node, last_heartbeat in members.last_heartbeats.items()
        if last_heartbeat.heartbeat.answers_owner_queries
        and now - last_heartbeat.received_at <= ASKED_AGE
        and node != owner
    ]
    able.sort(
        key=lambda each: (
            silence.asked.get(each.heartbeat.node, 0),
            each.received_at < silence.since,
            -each.heartbeat.processor,
            each.heartbeat.node,
        )
    )
    is_answered = not silence.asked or silence.answered_at >= silence.since
    count = MAX_ASKED if is_answered else MAX_ASKED_UNANSWERED
    return [each.heartbeat.node for each in able[:count]]
