"""Membership of this daemon's cell: its heartbeats and digests, sent and received."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from siskinroad.errors import SiskinroadError
from siskinroad.peers import PeerTransport, Reachability
from siskinroad.suspend_detector import SuspendDetector
from siskinroad.work.heartbeat_routes import DIGEST_INTERVAL, HeartbeatRoutes
from siskinroad.work.loop_delay import LoopDelay
from siskinroad.work.members import (
    HEARTBEAT_INTERVAL,
    OWNER_HEARTBEAT_INTERVAL,
    Members,
)
from siskinroad.work.messages import Digest, Heartbeat, Hello
from siskinroad.work.records import Member, decode_stored
from siskinroad.work.store import NewestRecord

__all__ = ["Membership"]

# Least seconds between two heartbeats that follow new members, and between two digests
# that follow news: a start of all daemons brings many in a short time.
MIN_HEARTBEAT_INTERVAL = 0.05
MIN_DIGEST_INTERVAL = 0.05

log = logging.getLogger("siskinroad.daemon")


class Membership:
    """Sender and receiver of heartbeats, and list of the cell's daemons.

    Parameters
    ----------
    member : Member
        This daemon.
    register_address : callable
        Called with each new member, to give its address to the connection layer.
    make_heartbeat : callable
        Returns the heartbeat that this daemon would send now.
    loop_delay : LoopDelay
        Gets the delay of each timer of the heartbeats.

    Attributes
    ----------
    members : Members
        The daemons of the cell, as this one knows them.
    routes : HeartbeatRoutes
        Choice of the recipients.
    on_suspended : callable
        Called after the process was suspended.
    on_heartbeat : callable
        Called with each heartbeat from its sender, and with each one in a digest that
        tells something new.
    on_ended : callable
        Called when a daemon's process has ended.
    on_heard : callable
        Called with the name and the incarnation of a daemon that has sent a heartbeat
        or introduced itself.
    on_listed : callable
        Called with the offset of this daemon's own record, each time it is read.
    """

    def __init__(
        self,
        member: Member,
        peers: PeerTransport,
        register_address: Callable[[Member], None],
        make_heartbeat: Callable[[], Heartbeat],
        loop_delay: LoopDelay,
    ) -> None:
        self.member = member
        self.members = Members(member.node, member.incarnation)
        self.routes = HeartbeatRoutes(member, self.members)
        self.on_suspended: Callable[[], None] = lambda: None
        self.on_heartbeat: Callable[[Heartbeat], None] = lambda heartbeat: None
        self.on_ended: Callable[[], None] = lambda: None
        self.on_heard: Callable[[str, int], None] = lambda node, incarnation: None
        self.on_listed: Callable[[int], None] = lambda offset: None
        self._peers = peers
        self._register_address = register_address
        self._make_heartbeat = make_heartbeat
        self._loop_delay = loop_delay
        self._suspend_detector = SuspendDetector()
        self._heartbeat_requested = asyncio.Event()
        self._digest_requested = asyncio.Event()
        peers.connected = self._on_connected

    # Members

    def apply_members(self, items: tuple[NewestRecord, ...], is_snapshot: bool) -> None:
        """Apply the member records that were read from the store."""
        if is_snapshot:
            self.members.remove_unlisted({item.key for item in items})
        for item in items:
            if item.value:
                self._apply_member_record(item)

    def _apply_member_record(self, item: NewestRecord) -> None:
        try:
            member = decode_stored(item.value)
        except SiskinroadError as exc:
            log.error(
                "daemon: member record cannot be decoded; ignoring it",
                extra={"error": str(exc)},
            )
            return
        if isinstance(member, Member):
            self._register_member(member)
            self._note_listed(member, item.offset)

    def _note_listed(self, member: Member, offset: int) -> None:
        if member.node != self.member.node:
            self.members.offsets[member.node] = offset
        elif member.incarnation == self.member.incarnation:
            self.on_listed(offset)

    def _register_member(self, member: Member) -> None:
        """Register a member found in the store or introduced by its own message."""
        if member.node == self.member.node or not self.members.add_member(member):
            return
        self._register_address(member)
        log.info(
            "daemon: registered a new member or a new incarnation",
            extra={"peer": member.node, "incarnation": member.incarnation},
        )
        if self.routes.is_large:
            self._heartbeat_requested.set()
        else:
            self._peers.send(member.node, self._make_heartbeat())

    def _on_connected(self, peer: str) -> None:
        self.routes.note_connected(peer)
        own = self.member
        self._peers.send(
            peer,
            Hello(own.node, own.incarnation, own.address, own.data_centre, own.region),
        )

    def apply_hello(self, msg: Hello) -> None:
        """Register a daemon that has introduced itself."""
        self._register_member(
            Member(msg.node, msg.incarnation, msg.address, msg.data_centre, msg.region)
        )
        self.on_heard(msg.node, msg.incarnation)

    # Heartbeats and digests

    async def run_heartbeats(self, is_owner: Callable[[], bool]) -> None:
        """Send heartbeats until cancelled, more often while ``is_owner``."""
        loop = asyncio.get_running_loop()
        while True:
            if self._suspend_detector.take_suspended_s():
                self.on_suspended()
            self.send_heartbeats()
            interval = OWNER_HEARTBEAT_INTERVAL if is_owner() else HEARTBEAT_INTERVAL
            due_at = loop.time() + interval
            await asyncio.sleep(min(interval, MIN_HEARTBEAT_INTERVAL))
            try:
                async with asyncio.timeout_at(due_at):
                    await self._heartbeat_requested.wait()
            except TimeoutError:
                self._loop_delay.record(due_at, loop.time())
            self._heartbeat_requested.clear()

    async def run_digests(self) -> None:
        """Send digests while other daemons name this one as their aggregator."""
        loop = asyncio.get_running_loop()
        while True:
            self.send_digests(loop.time())
            await asyncio.sleep(MIN_DIGEST_INTERVAL)
            try:
                async with asyncio.timeout(DIGEST_INTERVAL - MIN_DIGEST_INTERVAL):
                    await self._digest_requested.wait()
            except TimeoutError:
                pass
            self._digest_requested.clear()

    def send_digests(self, now: float) -> None:
        """Send the digests that are due."""
        for nodes, digest in self.routes.make_digests(now):
            self._peers.send_to_all(nodes, digest)

    def send_heartbeats(self) -> None:
        """Send a heartbeat now."""
        now = asyncio.get_running_loop().time()
        self.routes.choose_aggregators(now)
        heartbeat = self._make_heartbeat()
        recipients = self.routes.list_recipients(heartbeat, now)
        self._peers.send_to_all(recipients, heartbeat)

    def send_to_all(self, heartbeat: Heartbeat) -> None:
        """Send a heartbeat to all other daemons, also in a large cell."""
        self._peers.send_to_all(self.members.other_members(), heartbeat)

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Apply a heartbeat that its sender has sent to this daemon."""
        if self.routes.note_heartbeat(heartbeat, now):
            self._digest_requested.set()
        self.members.record_heartbeat(heartbeat, now)
        self.on_heard(heartbeat.node, heartbeat.incarnation)
        self.on_heartbeat(heartbeat)

    def apply_digest(self, digest: Digest, now: float) -> None:
        """Apply a digest of other daemons' heartbeats."""
        news = self.routes.apply_digest(digest, now)
        if self.routes.must_repeat(digest, now):
            self._peers.send(digest.node, self._make_heartbeat())
        for heartbeat in news:
            self.on_heartbeat(heartbeat)
        if news and self.routes.is_aggregator(now):
            self._digest_requested.set()

    async def check_peer(self, peer: str) -> None:
        """Check whether a peer whose connection was lost still runs."""
        heard_at = self.members.find_direct_at(peer)
        reach = await self._peers.probe(peer)
        if (
            reach is not Reachability.REFUSES
            or self.members.find_direct_at(peer) != heard_at
        ):
            return
        last_heartbeat = self.members.last_heartbeats.get(peer)
        now = asyncio.get_running_loop().time()
        owned = last_heartbeat.heartbeat.owned if last_heartbeat is not None else ()
        log.warning(
            "daemon: peer refuses connections; its process has ended",
            extra={
                "peer": peer,
                "silent_s": round(now - last_heartbeat.received_at, 2)
                if last_heartbeat
                else None,
                "pools": [pool for pool, _ in owned],
            },
        )
        self.members.note_ended(peer, now)
        self.on_ended()
