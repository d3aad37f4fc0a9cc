"""Periodic messages between daemons: heartbeats, digests and the host list.

The daemon that reads the log for its data centre, the reader, also sends the platform's
host list to the daemons of its data centre, and a digest to the other data centres.
"""

from __future__ import annotations

import asyncio
import logging

from siskinroad.daemon_context import DaemonContext
from siskinroad.errors import PlatformError
from siskinroad.membership import HEARTBEAT_INTERVAL
from siskinroad.messages import (
    Digest,
    Echo,
    Heartbeat,
    HostListUpdate,
    RevisionOffer,
    RevisionWanted,
    SnapshotWanted,
    encode,
)
from siskinroad.platform import ListedHost

__all__ = ["PeriodicMessages"]

# Seconds between two reads of the platform's host list. A larger value delays the
# reaction to hosts that come or go; a smaller one loads the platform.
HOST_LIST_INTERVAL = 1.5
# Heartbeats after which an unchanged list of required peers is sent again. A larger
# value leaves a peer that missed it without the list for longer.
HEARTBEATS_PER_PEER_LIST = 4
# Seconds after which an unchanged digest is sent again. A smaller value costs traffic
# between data centres; a larger one leaves them with old loads for longer.
DIGEST_INTERVAL = 10.0
# Seconds between two checks for a change that the next digest must carry.
DIGEST_CHECK_INTERVAL = 0.5
# Least seconds between two requests for the revision in force; without it each
# heartbeat of a newer peer would cause a request.
REQUEST_INTERVAL = 1.0
# Digest stamps reserved for each incarnation, so that stamps rise across restarts.
# If an incarnation used more, receivers would drop the first digests of the next one.
STAMPS_PER_INCARNATION = 1 << 20

log = logging.getLogger("siskinroad.heartbeats")


class PeriodicMessages:
    """Sender and receiver of one daemon's periodic messages.

    Attributes
    ----------
    cross_dc_bytes : int
        Bytes of the digests sent to other data centres.
    """

    def __init__(self, daemon: DaemonContext) -> None:
        self.daemon = daemon
        cfg = daemon.cfg
        self._local_peers = [
            p.name for p in cfg.peers if p.data_centre == cfg.data_centre
        ]
        self._remote_peers: dict[str, list[str]] = {}
        for peer in cfg.peers:
            if peer.data_centre != cfg.data_centre:
                self._remote_peers.setdefault(peer.data_centre, []).append(peer.name)
        self._sequence = 0
        self._host_list = HostListUpdate("", [])
        self._host_list_sent: dict[str, tuple[int, str]] = {}
        self._latest_digests: dict[str, Digest] = {}
        self.cross_dc_bytes = 0
        self._heartbeats_sent = 0
        self._last_required_peers: list[str] = []
        self._revision_requested_at = float("-inf")

    # Heartbeats

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeats()
            daemon = self.daemon
            if daemon.configuration.revision == 0:
                self.request_revision()
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each daemon of the data centre."""
        daemon = self.daemon
        now = asyncio.get_running_loop().time()
        required_peers = self._due_required_peers()
        for name in self._local_peers:
            member = daemon.members.members.get(name)
            denied = daemon.ownership.shards_denied_to(name)
            echo = Echo(member.stamp, denied) if member is not None else None
            daemon.peers.send(name, self._make_heartbeat(now, echo, required_peers))

    def _due_required_peers(self) -> list[str] | None:
        """Return the required peers if the next heartbeat must carry them."""
        required_peers = self.daemon.ownership.required_peers()
        self._heartbeats_sent += 1
        is_due = (
            self._heartbeats_sent % HEARTBEATS_PER_PEER_LIST == 0
            or required_peers != self._last_required_peers
        )
        self._last_required_peers = required_peers
        return required_peers if is_due else None

    def _make_heartbeat(
        self, now: float, echo: Echo | None, required_peers: list[str] | None
    ) -> Heartbeat:
        daemon = self.daemon
        return Heartbeat(
            daemon.cfg.name,
            daemon.incarnation,
            daemon.members.stamps.make(now),
            echo,
            daemon.configuration.revision,
            daemon.ownership.draining,
            daemon.ownership.is_admitted(),
            required_peers,
            daemon.shards.shard_updates(),
        )

    def handle_heartbeat(self, msg: Heartbeat, now: float) -> None:
        """Process a heartbeat of a daemon of this data centre."""
        daemon = self.daemon
        if msg.name not in self._local_peers:
            return
        is_new = daemon.members.record_heartbeat(msg, now)
        if is_new:
            log.info(
                "heartbeats: peer %s started, incarnation %d", msg.name, msg.incarnation
            )
            self._forward_digests(msg.name, now)
        is_behind = msg.revision > daemon.configuration.revision
        if is_behind and not daemon.log_reader.is_reachable(now):
            self.request_revision(msg.name)

    def _forward_digests(self, name: str, now: float) -> None:
        """Send a newly started peer the latest digest of each other data centre.

        Only the live daemon with the lowest name sends them, so that they arrive once.
        """
        daemon = self.daemon
        others = [m.name for m in daemon.members.alive_members(now) if m.name != name]
        if daemon.cfg.name != min([*others, daemon.cfg.name]):
            return
        for digest in self._latest_digests.values():
            daemon.peers.send(name, digest)

    # Configuration from peers

    def request_revision(self, name: str = "") -> None:
        """Request the revision in force from a peer.

        Parameters
        ----------
        name : str
            The peer; if empty, each call requests it from the next peer in turn.
        """
        daemon = self.daemon
        now = asyncio.get_running_loop().time()
        names = [name] if name else [peer.name for peer in daemon.cfg.peers]
        if not names or now - self._revision_requested_at < REQUEST_INTERVAL:
            return
        self._revision_requested_at = now
        self._sequence += 1
        peer = names[self._sequence % len(names)]
        known = daemon.configuration.revision
        daemon.peers.send(peer, RevisionWanted(daemon.cfg.name, known))

    def request_snapshot(self) -> None:
        """Request a snapshot of the data centre's stream from its other daemons."""
        for name in self._local_peers:
            self.daemon.peers.send(name, SnapshotWanted(self.daemon.cfg.name))

    def handle_revision_request(self, msg: RevisionWanted) -> None:
        """Send the revision in force to a requesting peer that has an older one."""
        config = self.daemon.configuration
        if config.revision > msg.known:
            self.daemon.peers.send(msg.name, RevisionOffer(config.complete_revision()))

    # Host list of the platform

    async def run_host_list(self) -> None:
        """Read the platform's host list while this daemon reads the log.

        The reader of the data centre also sends it to the other daemons.
        """
        daemon = self.daemon
        loop = asyncio.get_running_loop()
        while True:
            if daemon.log_reader.is_reading(loop.time()):
                await self._read_host_list()
                self._send_host_list(loop.time())
            await asyncio.sleep(HOST_LIST_INTERVAL)

    async def _read_host_list(self) -> None:
        daemon = self.daemon
        try:
            reply = await daemon.platform.hosts(
                daemon.cfg.data_centre, self._host_list.version
            )
        except PlatformError:
            return
        if reply.hosts is not None:
            self._apply_host_list(HostListUpdate(reply.version, reply.hosts))

    def _send_host_list(self, now: float) -> None:
        daemon = self.daemon
        if (
            daemon.members.log_reader_name(now) != daemon.cfg.name
            or not self._host_list.version
        ):
            return
        for member in daemon.members.alive_members(now):
            sent_version = (member.incarnation, self._host_list.version)
            if self._host_list_sent.get(member.name) != sent_version:
                self._host_list_sent[member.name] = sent_version
                daemon.peers.send(member.name, self._host_list)

    def handle_host_list(self, msg: HostListUpdate) -> None:
        """Apply a host list that the data centre's reader has sent."""
        self._apply_host_list(msg)

    def _apply_host_list(self, msg: HostListUpdate) -> None:
        self._host_list = msg
        hosts: list[ListedHost] = msg.hosts
        self.daemon.shards.set_host_list({host.name: host.state for host in hosts})

    # Digests

    async def run_digests(self) -> None:
        """Send digests to the other data centres while this daemon is the reader.

        A change of an owner or of the revision is sent at the next check.
        """
        loop = asyncio.get_running_loop()
        last: tuple[int, dict[str, tuple[str, int]]] = (0, {})
        sent_at = float("-inf")
        while True:
            await asyncio.sleep(DIGEST_CHECK_INTERVAL)
            now = loop.time()
            if self.daemon.members.log_reader_name(now) != self.daemon.cfg.name:
                continue
            msg = self._make_digest(now)
            if (msg.revision, msg.owners) == last and now - sent_at < DIGEST_INTERVAL:
                continue
            last, sent_at = (msg.revision, msg.owners), now
            self._send_digest(msg)

    def _send_digest(self, msg: Digest) -> None:
        daemon = self.daemon
        size = len(encode(msg))
        for names in self._remote_peers.values():
            daemon.peers.send(names[self._sequence % len(names)], msg)
            self.cross_dc_bytes += size

    def _make_digest(self, now: float) -> Digest:
        daemon = self.daemon
        self._sequence += 1
        members = daemon.members.alive_members(now)
        owners = {
            update.shard: (member.name, member.incarnation)
            for member in members
            for update in member.shards
        }
        shards = {update.shard: update for m in members for update in m.shards}
        for update in daemon.shards.shard_updates():
            owners[update.shard] = (daemon.cfg.name, daemon.incarnation)
            shards[update.shard] = update
        revisions = [m.revision for m in members]
        return Digest(
            daemon.cfg.name,
            daemon.cfg.data_centre,
            daemon.cfg.region,
            min([daemon.configuration.revision, *revisions]),
            daemon.incarnation * STAMPS_PER_INCARNATION + self._sequence,
            owners,
            list(shards.values()),
            True,
        )

    def handle_digest(self, msg: Digest, now: float) -> None:
        """Apply another data centre's digest and relay it within this one."""
        daemon = self.daemon
        if not daemon.load_table.apply_digest(msg, now):
            return
        relayed = Digest(
            msg.name,
            msg.data_centre,
            msg.region,
            msg.revision,
            msg.stamp,
            msg.owners,
            msg.shards,
            False,
        )
        self._latest_digests[msg.data_centre] = relayed
        if not msg.relay:
            return
        for member in daemon.members.alive_members(now):
            daemon.peers.send(member.name, relayed)
