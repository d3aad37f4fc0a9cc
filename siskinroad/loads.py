"""What is known of every shard's room: own, peers' and other data centres'."""

from __future__ import annotations

from siskinroad.membership import Membership
from siskinroad.messages import Digest, ShardNews
from siskinroad.routing import Place, ShardLoad

__all__ = ["LoadTable"]


class LoadTable:
    """The latest news of each shard."""

    def __init__(self, place: Place, members: Membership) -> None:
        self.place = place
        self.members = members
        self.abroad: dict[str, ShardLoad] = {}
        self.incarnations: dict[str, int] = {}
        self.revisions: dict[str, int] = {}
        self._stamps: dict[str, int] = {}

    def hear_digest(self, msg: Digest, now: float) -> bool:
        """Take another data centre's news; return False if it is old."""
        if msg.data_centre == self.place.data_centre:
            return False
        if msg.stamp <= self._stamps.get(msg.name, -1):
            return False
        self._stamps[msg.name] = msg.stamp
        self.revisions[msg.data_centre] = msg.revision
        place = Place(msg.data_centre, msg.region)
        for name in [n for n, x in self.abroad.items() if x.place == place]:
            del self.abroad[name]
        for news in msg.shards:
            owner, incarnation = msg.owners.get(news.shard, ("", 0))
            self.incarnations[owner] = incarnation
            self.abroad[news.shard] = _load(news, owner, place, now)
        return True

    def near(self, now: float) -> dict[str, ShardLoad]:
        """Return the shards of this data centre that other daemons own."""
        loads: dict[str, ShardLoad] = {}
        epochs: dict[str, int] = {}
        for member in self.members.alive(now):
            for news in member.shards:
                if news.epoch > epochs.get(news.shard, -1):
                    epochs[news.shard] = news.epoch
                    load = _load(news, member.name, self.place, member.heard)
                    loads[news.shard] = load
        return loads

    def incarnation(self, name: str) -> int:
        """Return the incarnation of a daemon as last heard."""
        member = self.members.members.get(name)
        return member.incarnation if member else self.incarnations.get(name, 0)


def _load(news: ShardNews, owner: str, place: Place, heard: float) -> ShardLoad:
    pool = news.shard.partition("/")[0]
    return ShardLoad(news.shard, pool, owner, place, news.free, news.waits, heard)
