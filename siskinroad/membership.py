"""Failure detection: the other daemons of a data centre, by their heartbeats."""

from __future__ import annotations

from dataclasses import dataclass, field

from siskinroad.messages import Heartbeat, ShardUpdate
from siskinroad.stamps import StampClock

__all__ = ["HEARTBEAT_INTERVAL", "HEARTBEAT_TIMEOUT", "Member", "Membership"]

# Seconds between two heartbeats to each daemon of the data centre.
HEARTBEAT_INTERVAL = 0.5
# Seconds without a heartbeat after which a member counts as dead. The time-out spans
# three heartbeats, so that one or two lost ones do not make a live member look dead; a
# larger value delays the replacement of a dead owner.
HEARTBEAT_TIMEOUT = 1.6
# Seconds of uninterrupted heartbeats before a shard is handed over to a member.
MIN_STABLE_TIME = 3.0


@dataclass(slots=True)
class Member:
    """Another daemon, as described by its latest heartbeat.

    Attributes
    ----------
    last_heartbeat : float
        Loop time at which its last heartbeat arrived, in seconds.
    alive_since : float
        Loop time since which its heartbeats have arrived without a gap longer
        than ``HEARTBEAT_TIMEOUT``.
    echoed_at : float
        Loop time of the latest of this daemon's own stamps that the member has
        echoed.
    claimed_shards : frozenset of str
        Shards on which that echo confirms no claim of this daemon.
    stated_shards : frozenset or None
        The shards in its latest echo, also if that is of a stamp of an earlier
        incarnation of this daemon; None before the first.
    stamp : float
        The member's own latest stamp, which this daemon echoes.
    """

    name: str
    incarnation: int
    last_heartbeat: float
    alive_since: float
    echoed_at: float = float("-inf")
    claimed_shards: frozenset[str] = frozenset()
    stated_shards: frozenset[str] | None = None
    stamp: float = 0.0
    draining: bool = False
    joined: bool = False
    revision: int = 0
    admits: frozenset[str] = frozenset()
    shards: list[ShardUpdate] = field(default_factory=list)


class Membership:
    """The members of one data centre, without this daemon.

    Parameters
    ----------
    name, incarnation : str, int
        Name and incarnation of this daemon.
    started_at : float
        Loop time of this daemon's start, in seconds.

    Attributes
    ----------
    stamps : StampClock
        Maker and reader of this daemon's own stamps.
    """

    def __init__(self, name: str, incarnation: int, started_at: float) -> None:
        self.name = name
        self.stamps = StampClock(incarnation, started_at)
        self.members: dict[str, Member] = {}
        self.draining = False

    def record_heartbeat(self, msg: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return whether the member is new or restarted.

        Ignore heartbeats of an earlier incarnation and ones that arrive out of
        order.
        """
        known = self.members.get(msg.name)
        if msg.name == self.name:
            return False
        is_new = known is None or msg.incarnation > known.incarnation
        if known is not None and msg.incarnation < known.incarnation:
            return False
        if known is None or is_new:
            known = Member(msg.name, msg.incarnation, now, now)
            self.members[msg.name] = known
        elif msg.stamp <= known.stamp:
            return False
        if now - known.last_heartbeat > HEARTBEAT_TIMEOUT:
            known.alive_since = now
        known.last_heartbeat = now
        self._update(known, msg, now)
        return is_new

    def _update(self, member: Member, msg: Heartbeat, now: float) -> None:
        member.stamp = msg.stamp
        member.draining = msg.draining
        member.joined = msg.joined
        member.revision = msg.revision
        if msg.admits is not None:
            member.admits = frozenset(msg.admits)
        member.shards = msg.shards
        if msg.echo is None:
            return
        member.stated_shards = frozenset(msg.echo.claimed_shards)
        echoed_at = self.stamps.read(msg.echo.stamp, now)
        if echoed_at is not None and echoed_at >= member.echoed_at:
            member.echoed_at = echoed_at
            member.claimed_shards = frozenset(msg.echo.claimed_shards)

    def alive_members(self, now: float) -> list[Member]:
        """Return the members whose last heartbeat is within ``HEARTBEAT_TIMEOUT``."""
        return [
            m
            for m in self.members.values()
            if now - m.last_heartbeat <= HEARTBEAT_TIMEOUT
        ]

    def is_stable(self, name: str, now: float) -> bool:
        """Return whether a member has been alive long enough to take over a shard."""
        member = self.members.get(name)
        if member is None or now - member.last_heartbeat > HEARTBEAT_TIMEOUT:
            return False
        return now - member.alive_since >= MIN_STABLE_TIME

    def remove(self, name: str) -> None:
        """Remove a member that the platform has terminated."""
        self.members.pop(name, None)

    def log_reader_name(self, now: float) -> str:
        """Return the daemon that reads the log for the data centre.

        This is the lowest name among the live daemons that are not draining. A
        draining daemon reads the log only if there is no other.
        """
        names = [m.name for m in self.alive_members(now) if not m.draining]
        if self.draining and names:
            return min(names)
        return min([*names, self.name])
