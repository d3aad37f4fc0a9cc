"""What a daemon tells others on its own: heartbeats, digests, the live list."""

from __future__ import annotations

import asyncio
import logging

from siskinroad.daemonview import DaemonView
from siskinroad.errors import PlatformError
from siskinroad.membership import HEARTBEAT_TIME
from siskinroad.messages import (
    Digest,
    Echo,
    Heartbeat,
    ListNews,
    RevisionOffer,
    RevisionWanted,
    SnapshotWanted,
    encode,
)
from siskinroad.platform import ListedHost

__all__ = ["Beats"]

LIST_TIME = 1.5
ADMITS_BEATS = 4
DIGEST_TIME = 10.0
DIGEST_CHECK = 0.5
WANT_TIME = 1.0
STAMPS = 1 << 20

log = logging.getLogger("siskinroad.beats")


class Beats:
    """The periodic messages of one daemon and the answers to them."""

    def __init__(self, daemon: DaemonView) -> None:
        self.daemon = daemon
        cfg = daemon.cfg
        self._near = [p.name for p in cfg.peers if p.data_centre == cfg.data_centre]
        self._centres: dict[str, list[str]] = {}
        for peer in cfg.peers:
            if peer.data_centre != cfg.data_centre:
                self._centres.setdefault(peer.data_centre, []).append(peer.name)
        self._turn = 0
        self._list = ListNews("", [])
        self._list_sent: dict[str, tuple[int, str]] = {}
        self._digests: dict[str, Digest] = {}
        self.sent_abroad = 0
        self._beats = 0
        self._admits: list[str] = []
        self._asked = float("-inf")

    # Heartbeats

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_now()
            daemon = self.daemon
            if daemon.configuration.revision == 0:
                self.want_revision()
            await asyncio.sleep(HEARTBEAT_TIME)

    def send_now(self) -> None:
        """Send a heartbeat to each daemon of the data centre."""
        daemon = self.daemon
        now = asyncio.get_running_loop().time()
        contests = daemon.ownership.contests()
        admits = self._admits_if_due()
        for name in self._near:
            member = daemon.members.members.get(name)
            echo = Echo(member.stamp, contests) if member is not None else None
            daemon.peers.send(name, self._heartbeat(now, echo, admits))

    def _admits_if_due(self) -> list[str] | None:
        """Return the admitted daemons when they have changed or were long unsaid."""
        admits = self.daemon.ownership.admits()
        self._beats += 1
        due = self._beats % ADMITS_BEATS == 0 or admits != self._admits
        self._admits = admits
        return admits if due else None

    def _heartbeat(
        self, now: float, echo: Echo | None, admits: list[str] | None
    ) -> Heartbeat:
        daemon = self.daemon
        return Heartbeat(
            daemon.cfg.name,
            daemon.incarnation,
            now,
            echo,
            daemon.configuration.revision,
            daemon.ownership.draining,
            daemon.ownership.joined(),
            admits,
            daemon.shards.news(),
        )

    def hear(self, msg: Heartbeat, now: float) -> None:
        """Take a peer's heartbeat."""
        daemon = self.daemon
        if msg.name not in self._near:
            return
        fresh = daemon.members.hear(msg, now)
        if fresh:
            log.info("beats: %s is up, incarnation %d", msg.name, msg.incarnation)
            self._brief(msg.name, now)
        behind = msg.revision > daemon.configuration.revision
        if behind and not daemon.feed.reachable(now):
            self.want_revision(msg.name)

    def _brief(self, name: str, now: float) -> None:
        """Pass on what other data centres have said, to a daemon just started."""
        daemon = self.daemon
        others = [m.name for m in daemon.members.alive(now) if m.name != name]
        if daemon.cfg.name != min([*others, daemon.cfg.name]):
            return
        for digest in self._digests.values():
            daemon.peers.send(name, digest)

    # The configuration from peers

    def want_revision(self, name: str = "") -> None:
        """Ask a peer for the revision in force."""
        daemon = self.daemon
        now = asyncio.get_running_loop().time()
        names = [name] if name else [peer.name for peer in daemon.cfg.peers]
        if not names or now - self._asked < WANT_TIME:
            return
        self._asked = now
        self._turn += 1
        peer = names[self._turn % len(names)]
        known = daemon.configuration.revision
        daemon.peers.send(peer, RevisionWanted(daemon.cfg.name, known))

    def want_snapshot(self) -> None:
        """Ask the data centre's daemons for a snapshot of its stream."""
        for name in self._near:
            self.daemon.peers.send(name, SnapshotWanted(self.daemon.cfg.name))

    def hear_wanted(self, msg: RevisionWanted) -> None:
        """Send the revision in force to a peer that has an older one."""
        config = self.daemon.configuration
        if config.revision > msg.known:
            self.daemon.peers.send(msg.name, RevisionOffer(config.whole()))

    # The platform's list

    async def run_list(self) -> None:
        """Read the live list while this daemon reads the log."""
        daemon = self.daemon
        loop = asyncio.get_running_loop()
        while True:
            if daemon.feed.reading(loop.time()):
                await self._read_list()
                self._share_list(loop.time())
            await asyncio.sleep(LIST_TIME)

    async def _read_list(self) -> None:
        daemon = self.daemon
        try:
            answer = await daemon.platform.hosts(
                daemon.cfg.data_centre, self._list.version
            )
        except PlatformError:
            return
        if answer.hosts is not None:
            self._take_list(ListNews(answer.version, answer.hosts))

    def _share_list(self, now: float) -> None:
        daemon = self.daemon
        if daemon.members.reader(now) != daemon.cfg.name or not self._list.version:
            return
        for member in daemon.members.alive(now):
            mark = (member.incarnation, self._list.version)
            if self._list_sent.get(member.name) != mark:
                self._list_sent[member.name] = mark
                daemon.peers.send(member.name, self._list)

    def hear_list(self, msg: ListNews) -> None:
        """Take the list that the data centre's reader has sent."""
        self._take_list(msg)

    def _take_list(self, msg: ListNews) -> None:
        self._list = msg
        hosts: list[ListedHost] = msg.hosts
        self.daemon.shards.set_listed({host.name: host.state for host in hosts})

    # Digests

    async def run_digests(self) -> None:
        """Tell the other data centres of this one while reading the log for it.

        A change of an owner or of the revision is told at once.
        """
        loop = asyncio.get_running_loop()
        last: tuple[int, dict[str, tuple[str, int]]] = (0, {})
        sent = float("-inf")
        while True:
            await asyncio.sleep(DIGEST_CHECK)
            now = loop.time()
            if self.daemon.members.reader(now) != self.daemon.cfg.name:
                continue
            msg = self._digest(now)
            if (msg.revision, msg.owners) == last and now - sent < DIGEST_TIME:
                continue
            last, sent = (msg.revision, msg.owners), now
            self._send_digest(msg)

    def _send_digest(self, msg: Digest) -> None:
        daemon = self.daemon
        size = len(encode(msg))
        for names in self._centres.values():
            daemon.peers.send(names[self._turn % len(names)], msg)
            self.sent_abroad += size

    def _digest(self, now: float) -> Digest:
        daemon = self.daemon
        self._turn += 1
        members = daemon.members.alive(now)
        owners = {
            news.shard: (member.name, member.incarnation)
            for member in members
            for news in member.shards
        }
        shards = {news.shard: news for m in members for news in m.shards}
        for news in daemon.shards.news():
            owners[news.shard] = (daemon.cfg.name, daemon.incarnation)
            shards[news.shard] = news
        revisions = [m.revision for m in members]
        return Digest(
            daemon.cfg.name,
            daemon.cfg.data_centre,
            daemon.cfg.region,
            min([daemon.configuration.revision, *revisions]),
            daemon.incarnation * STAMPS + self._turn,
            owners,
            list(shards.values()),
            True,
        )

    def hear_digest(self, msg: Digest, now: float) -> None:
        """Take another data centre's news and pass it on."""
        daemon = self.daemon
        if not daemon.load_table.hear_digest(msg, now):
            return
        passed = Digest(
            msg.name,
            msg.data_centre,
            msg.region,
            msg.revision,
            msg.stamp,
            msg.owners,
            msg.shards,
            False,
        )
        self._digests[msg.data_centre] = passed
        if not msg.relay:
            return
        for member in daemon.members.alive(now):
            daemon.peers.send(member.name, passed)
