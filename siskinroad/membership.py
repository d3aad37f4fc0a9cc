"""Which daemons of the data centre are alive, as far as heartbeats tell."""

from __future__ import annotations

from dataclasses import dataclass, field

from siskinroad.messages import Heartbeat, ShardNews

__all__ = ["DEAD_AFTER", "HEARTBEAT_TIME", "Member", "Membership"]

HEARTBEAT_TIME = 0.5
DEAD_AFTER = 1.6
STABLE_AFTER = 3.0


@dataclass(slots=True)
class Member:
    """A daemon as last heard of.

    Attributes
    ----------
    heard : float
        Loop time of its last heartbeat.
    since : float
        Loop time since which it has been heard without a break.
    echoed : float
        Our own stamp that it echoed last.
    contests : frozenset of str
        Shards that it claimed or may have claimed when it sent that echo.
    stamp : float
        Its own latest stamp, which we echo.
    """

    name: str
    incarnation: int
    heard: float
    since: float
    echoed: float = float("-inf")
    contests: frozenset[str] = frozenset()
    stamp: float = 0.0
    draining: bool = False
    joined: bool = False
    revision: int = 0
    admits: frozenset[str] = frozenset()
    shards: list[ShardNews] = field(default_factory=list)


class Membership:
    """Members of one data centre, this daemon excluded."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.members: dict[str, Member] = {}
        self.draining = False

    def hear(self, msg: Heartbeat, now: float) -> bool:
        """Take a heartbeat; return whether the member is new or restarted.

        Late heartbeats of an earlier incarnation, and ones that arrive out of
        order, are ignored.
        """
        known = self.members.get(msg.name)
        if msg.name == self.name:
            return False
        fresh = known is None or msg.incarnation > known.incarnation
        if known is not None and msg.incarnation < known.incarnation:
            return False
        if known is None or fresh:
            known = Member(msg.name, msg.incarnation, now, now)
            self.members[msg.name] = known
        elif msg.stamp <= known.stamp:
            return False
        if now - known.heard > DEAD_AFTER:
            known.since = now
        known.heard = now
        self._update(known, msg)
        return fresh

    def _update(self, member: Member, msg: Heartbeat) -> None:
        member.stamp = msg.stamp
        member.draining = msg.draining
        member.joined = msg.joined
        member.revision = msg.revision
        if msg.admits is not None:
            member.admits = frozenset(msg.admits)
        member.shards = msg.shards
        if msg.echo is not None and msg.echo.stamp >= member.echoed:
            member.echoed = msg.echo.stamp
            member.contests = frozenset(msg.echo.contests)

    def alive(self, now: float) -> list[Member]:
        """Return the members heard of lately."""
        return [m for m in self.members.values() if now - m.heard <= DEAD_AFTER]

    def stable(self, name: str, now: float) -> bool:
        """Return whether a member has been alive long enough to hand over to."""
        member = self.members.get(name)
        if member is None or now - member.heard > DEAD_AFTER:
            return False
        return now - member.since >= STABLE_AFTER

    def forget(self, name: str) -> None:
        """Forget a member that the platform has terminated."""
        self.members.pop(name, None)

    def reader(self, now: float) -> str:
        """Return who reads the log for the data centre: the lowest name alive."""
        names = [m.name for m in self.alive(now) if not m.draining]
        if self.draining and names:
            return min(names)
        return min([*names, self.name])
