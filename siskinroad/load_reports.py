"""Load of the shards that other daemons own, in this and other data centres."""

from __future__ import annotations

from siskinroad.membership import Membership
from siskinroad.messages import Digest, ShardUpdate
from siskinroad.routing import Place, ShardLoad

__all__ = ["LoadTable"]


class LoadTable:
    """Table of the latest load reported for each shard.

    Attributes
    ----------
    remote_loads : dict of str to ShardLoad
        Load of the shards of other data centres.
    incarnations : dict of str to int
        Incarnation of each daemon of another data centre that owns shards.
    revisions : dict of str to int
        Configuration revision of each other data centre.
    """

    def __init__(self, place: Place, members: Membership) -> None:
        self.place = place
        self.members = members
        self.remote_loads: dict[str, ShardLoad] = {}
        self.incarnations: dict[str, int] = {}
        self.revisions: dict[str, int] = {}
        self._last_stamps: dict[str, int] = {}

    def apply_digest(self, msg: Digest, now: float) -> bool:
        """Apply another data centre's digest; return False if it is not newer."""
        if msg.data_centre == self.place.data_centre:
            return False
        if msg.stamp <= self._last_stamps.get(msg.name, -1):
            return False
        self._last_stamps[msg.name] = msg.stamp
        self.revisions[msg.data_centre] = msg.revision
        place = Place(msg.data_centre, msg.region)
        for name in [n for n, load in self.remote_loads.items() if load.place == place]:
            del self.remote_loads[name]
        for update in msg.shards:
            owner, incarnation = msg.owners.get(update.shard, ("", 0))
            self.incarnations[owner] = incarnation
            self.remote_loads[update.shard] = _make_shard_load(
                update, owner, place, now
            )
        return True

    def local_loads(self, now: float) -> dict[str, ShardLoad]:
        """Return the load of this data centre's shards that other daemons own."""
        loads: dict[str, ShardLoad] = {}
        epochs: dict[str, int] = {}
        for member in self.members.alive_members(now):
            for update in member.shards:
                if update.epoch > epochs.get(update.shard, -1):
                    epochs[update.shard] = update.epoch
                    load = _make_shard_load(
                        update, member.name, self.place, member.last_heartbeat
                    )
                    loads[update.shard] = load
        return loads

    def incarnation(self, name: str) -> int:
        """Return the last known incarnation of a daemon, 0 if none is known."""
        member = self.members.members.get(name)
        return member.incarnation if member else self.incarnations.get(name, 0)


def _make_shard_load(
    update: ShardUpdate, owner: str, place: Place, received_at: float
) -> ShardLoad:
    pool = update.shard.partition("/")[0]
    return ShardLoad(
        update.shard, pool, owner, place, update.free, update.waits, received_at
    )
