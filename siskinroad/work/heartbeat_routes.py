"""Ways that heartbeats take between the daemons of a cell.

In a small cell, every daemon sends its heartbeat to every other one. In a large one
that would take most of the processor of a daemon that owns nothing. There,

- a daemon sends its heartbeat to two aggregators of its own data centre, and to the
  owners of pools;
- a daemon that others have named as aggregator sends them digests of all data centres,
  and a digest of its own data centre to the aggregators of the others;
- owners, claimants and daemons that leave send theirs to every daemon. So the death of
  an owner is noticed as soon as in a small cell, whichever aggregators die with it.

A digest only shows that daemons were alive, and never that one is dead: a daemon counts
as dead when nobody has heard from it. So a digest that is lost or late does no harm,
and a daemon needs nobody's consent to act as an aggregator: it does so for as long as
it is named. A named one that sends no digest is replaced by the next in the order.

A heartbeat that is lost is missed by every daemon but the owners. Its sender learns of
that from the digests that it gets, and repeats it for the aggregator that missed it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from siskinroad.work.members import (
    HEARTBEAT_INTERVAL,
    HEARTBEAT_TIMEOUT,
    Members,
    has_news,
    rank_node,
)
from siskinroad.work.messages import DataCentreNews, Digest, Heartbeat, MemberNews
from siskinroad.work.records import Member

__all__ = ["DIGEST_INTERVAL", "HeartbeatRoutes"]

# Largest number of other daemons to which each daemon sends its heartbeat itself.
MAX_DIRECT_PEERS = 12
# Number of aggregators that a daemon names, and of those in each other data centre that
# get a digest. With one, its death would silence a data centre for a second.
AGGREGATORS = 2
# Seconds between two digests of an aggregator.
DIGEST_INTERVAL = 0.3
# Seconds without a heartbeat from which a digest tells for how long a daemon of the
# aggregator's own data centre has been silent, and the same for other data centres.
SILENT_AFTER = HEARTBEAT_INTERVAL + 0.2
RELAYED_SILENT_AFTER = SILENT_AFTER + DIGEST_INTERVAL + 0.2
# Seconds that a digest tells of a daemon that has been silent for longer, or for good.
LONGEST_SILENCE = 60.0
# Seconds without a digest from a named aggregator after which another one is named, and
# seconds for which it is not named again.
AGGREGATOR_TIMEOUT = 1.0
AGGREGATOR_PAUSE = 3.0
# Unchanged heartbeats that each digest repeats in turn, for a peer that missed one
# although its connection was never lost.
REPEATED_HEARTBEATS = 1

log = logging.getLogger("siskinroad.heartbeat_routes")


@dataclass(slots=True)
class _Named:
    """An aggregator that this daemon names.

    Attributes
    ----------
    since : float
        Loop time at which it was named.
    digest_at : float
        Loop time of its newest digest.
    repeated_at : float
        Loop time at which a heartbeat was last repeated for it.
    """

    since: float
    digest_at: float = -1e9
    repeated_at: float = -1e9


@dataclass(slots=True)
class HeartbeatRoutes:
    """Recipients of one daemon's heartbeats and digests, and what the digests hold.

    Parameters
    ----------
    member : Member
        This daemon.
    members : Members
        The daemons of the cell, as this one knows them.
    find_configuration_version : callable
        Returns the version of the configuration that this daemon has in force.
    """

    member: Member
    members: Members
    find_configuration_version: Callable[[], int] = lambda: 0
    _named: dict[str, _Named] = field(default_factory=dict)
    _paused_until: dict[str, float] = field(default_factory=dict)
    _subscribers: dict[str, float] = field(default_factory=dict)
    _digest_peers: set[str] = field(default_factory=set)
    _changed: set[str] = field(default_factory=set)
    _repeat_from: int = 0

    # Heartbeats

    @property
    def is_large(self) -> bool:
        """Whether the cell is too large for heartbeats to every daemon."""
        return len(self.members.other_members()) > MAX_DIRECT_PEERS

    @property
    def aggregators(self) -> tuple[str, ...] | None:
        """The aggregators that this daemon names; None in a small cell."""
        return tuple(self._named) if self.is_large else None

    def choose_aggregators(self, now: float) -> None:
        """Name the best aggregators, instead of those that send no digests."""
        if not self.is_large:
            self._named.clear()
            return
        for node, named in list(self._named.items()):
            if now - max(named.since, named.digest_at) > AGGREGATOR_TIMEOUT:
                self._paused_until[node] = now + AGGREGATOR_PAUSE
                log.info(
                    "heartbeat_routes: aggregator sends no digest; naming another one",
                    extra={
                        "peer": node,
                        "named_s": round(now - named.since, 2),
                        "silent_s": round(now - max(named.since, named.digest_at), 2),
                        "pause_s": AGGREGATOR_PAUSE,
                    },
                )
        chosen = [
            node
            for node in self._list_by_rank(self.member.data_centre, now)
            if self._paused_until.get(node, -1e9) <= now
        ][:AGGREGATORS]
        self._named = {n: self._named.get(n) or _Named(now) for n in chosen}

    def list_recipients(self, own: Heartbeat, now: float) -> list[str]:
        """Return the daemons to which this one sends a heartbeat.

        Parameters
        ----------
        own : Heartbeat
            The heartbeat.
        """
        others = self.members.other_members()
        has_news_for_all = own.owned or own.claiming or own.is_leaving
        if own.aggregators is None or has_news_for_all:
            return others
        direct = set(own.aggregators)
        for node, last_heartbeat in self.members.last_heartbeats.items():
            heartbeat = last_heartbeat.heartbeat
            if now - last_heartbeat.received_at > HEARTBEAT_TIMEOUT:
                continue
            # Daemons that name no aggregators get no digests.
            if heartbeat.aggregators is None or heartbeat.owned or heartbeat.claiming:
                direct.add(node)
        return [node for node in others if node in direct]

    def _list_by_rank(self, data_centre: str, now: float) -> list[str]:
        """Return the other daemons of a data centre, the best aggregators first.

        Owners have the least processor to spare, and daemons that are not known to be
        alive come last. Apart from that, all daemons that know the same ones agree.
        """
        names = [
            node
            for node, member in self.members.known.items()
            if member.data_centre == data_centre and node != self.member.node
        ]
        return sorted(
            names,
            key=lambda node: (
                not self.members.is_alive(node, now),
                self.members.owns_pool(node),
                rank_node(data_centre, node),
            ),
        )

    def note_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Note a heartbeat from its sender; return whether digests must tell of it.

        Call it before the heartbeat is recorded in ``members``.
        """
        node = heartbeat.node
        if heartbeat.aggregators and self.member.node in heartbeat.aggregators:
            self._subscribers[node] = now
        last_heartbeat = self.members.last_heartbeats.get(node)
        if last_heartbeat is None or has_news(last_heartbeat.heartbeat, heartbeat):
            self._changed.add(node)
            return self.is_aggregator(now)
        return False

    # Digests

    def is_aggregator(self, now: float) -> bool:
        """Return whether another daemon has named this one recently."""
        for node, named_at in list(self._subscribers.items()):
            if now - named_at > HEARTBEAT_TIMEOUT:
                del self._subscribers[node]
        return bool(self._subscribers)

    def make_digests(self, now: float) -> list[tuple[list[str], Digest]]:
        """Return the digests to send now, each with its recipients.

        A recipient that got the digest before gets what has changed since; a new one
        gets every heartbeat.
        """
        if not self.is_aggregator(now):
            self._digest_peers.clear()
            self._changed.clear()
            return []
        data_centres = {member.data_centre for member in self.members.known.values()}
        own = self.member.data_centre
        repeated = self._changed | self._choose_repeated()
        digests = []
        for is_known in (True, False):
            names = repeated if is_known else set(self.members.last_heartbeats)
            subscribers = self._select(self._subscribers, is_known)
            if subscribers:
                digests.append(
                    (subscribers, self._make_digest(sorted(data_centres), names, now))
                )
            remote = self._select(
                self._list_remote(data_centres - {own}, now), is_known
            )
            if remote:
                digests.append((remote, self._make_digest([own], names, now)))
        self._digest_peers = {node for nodes, _ in digests for node in nodes}
        self._changed.clear()
        return digests

    def _select(self, nodes: dict[str, float] | list[str], is_known: bool) -> list[str]:
        """Return the recipients that did, or did not, get the previous digest."""
        return [node for node in nodes if (node in self._digest_peers) is is_known]

    def _list_remote(self, data_centres: set[str], now: float) -> list[str]:
        """Return the aggregators of the other data centres."""
        return [
            node
            for data_centre in sorted(data_centres)
            for node in self._list_by_rank(data_centre, now)[:AGGREGATORS]
        ]

    def _choose_repeated(self) -> set[str]:
        """Return the next few daemons whose heartbeats are repeated."""
        names = list(self.members.last_heartbeats)
        if not names:
            return set()
        first = self._repeat_from % len(names)
        self._repeat_from = first + REPEATED_HEARTBEATS
        return set(names[first : first + REPEATED_HEARTBEATS])

    def _make_digest(
        self, data_centres: list[str], names: set[str], now: float
    ) -> Digest:
        return Digest(
            self.member.node,
            tuple(self._make_news(name, names, now) for name in data_centres),
            self.find_configuration_version(),
        )

    def _make_news(
        self, data_centre: str, names: set[str], now: float
    ) -> DataCentreNews:
        is_own = data_centre == self.member.data_centre
        silent_after = SILENT_AFTER if is_own else RELAYED_SILENT_AFTER
        silent = {}
        news = []
        for node, member in self.members.known.items():
            if member.data_centre != data_centre or node == self.member.node:
                continue
            last_heartbeat = self.members.last_heartbeats.get(node)
            heard_at = last_heartbeat.received_at if last_heartbeat else -1e9
            if now - heard_at > silent_after:
                silent[node] = round(min(now - heard_at, LONGEST_SILENCE), 2)
            if last_heartbeat is None or now - heard_at > HEARTBEAT_TIMEOUT:
                continue
            if node in names:
                age = round(max(0.0, now - last_heartbeat.content_at), 3)
                news.append(MemberNews(age, _shorten(last_heartbeat.heartbeat)))
        return DataCentreNews(data_centre, silent_after, silent, tuple(news))

    def note_connected(self, node: str) -> None:
        """Note a new connection to a daemon, which may have missed digests."""
        self._digest_peers.discard(node)

    def must_repeat(self, digest: Digest, now: float) -> bool:
        """Return whether an aggregator has missed this daemon's newest heartbeats.

        That is so if its digest names this daemon as silent. One heartbeat is repeated
        in the time from one digest to the next.
        """
        named = self._named.get(digest.node)
        if named is None or now - named.repeated_at < DIGEST_INTERVAL:
            return False
        if not any(self.member.node in each.silent for each in digest.data_centres):
            return False
        named.repeated_at = now
        return True

    def apply_digest(self, digest: Digest, now: float) -> list[Heartbeat]:
        """Apply a digest; return the heartbeats in it that tell something new."""
        named = self._named.get(digest.node)
        if named is not None:
            named.digest_at = now
        news = []
        for data_centre in digest.data_centres:
            for item in data_centre.news:
                heartbeat = item.heartbeat
                if heartbeat.node == self.member.node:
                    continue
                if self.members.record_indirect(heartbeat, now - max(0.0, item.age)):
                    self._changed.add(heartbeat.node)
                    news.append(heartbeat)
        self.members.note_alive(
            {
                each.data_centre: now - max(0.0, each.silent_after)
                for each in digest.data_centres
            },
            {
                node: now - max(0.0, silent_s)
                for each in digest.data_centres
                for node, silent_s in each.silent.items()
            },
        )
        return news


def _shorten(heartbeat: Heartbeat) -> Heartbeat:
    """Return a heartbeat without what only its direct recipients need."""
    if not heartbeat.aggregators:
        return heartbeat
    return msgspec.structs.replace(heartbeat, aggregators=())
