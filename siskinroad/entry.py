"""The daemon on an entry host: every part wired together."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Coroutine
from typing import Any

from siskinroad.appender import Appender
from siskinroad.beats import Beats
from siskinroad.cell import Cell
from siskinroad.charts import load_chart
from siskinroad.configuration import Configuration
from siskinroad.errors import ConfigError, Reason, Refusal
from siskinroad.forwarding import Forwarder, Receiver
from siskinroad.front import Front, Request
from siskinroad.jobs import JobDesk
from siskinroad.keys import KeyGuard
from siskinroad.ledger import Ledger
from siskinroad.limits import ByteLimit
from siskinroad.loads import LoadTable
from siskinroad.logfeed import LogFeed, Stream
from siskinroad.membership import Membership
from siskinroad.messages import (
    Digest,
    Forward,
    ForwardAck,
    ForwardAsk,
    Heartbeat,
    JobReply,
    JobRequest,
    ListNews,
    LogFetch,
    LogRecords,
    LogTail,
    Message,
    Reply,
    RevisionOffer,
    RevisionWanted,
    SnapshotWanted,
)
from siskinroad.metrics import Metrics
from siskinroad.ownership import Ownership
from siskinroad.peers import Peers
from siskinroad.platform import CELL_STREAM, Platform, dc_stream
from siskinroad.publisher import Publisher
from siskinroad.records import Record
from siskinroad.routing import Place, ShardLoad
from siskinroad.settings import Settings
from siskinroad.shards import ShardSet
from siskinroad.snapshotter import Snapshotter
from siskinroad.status import explain
from siskinroad.upstreams import Answer, Upstreams

__all__ = ["Daemon"]

OWNERSHIP_TICK = 0.2
APPLIED_TIME = 3.0
DRAIN_POLL = 0.05
LINGER_TIME = 1.2

log = logging.getLogger("siskinroad.entry")


class Daemon:
    """One daemon, without its listeners.

    Parameters
    ----------
    cfg : Settings
        Its settings.
    incarnation : int
        Higher at each start of the same daemon.
    platform, upstreams, peers : Platform, Upstreams, Peers
        The outside.
    rng : random.Random
        Seeded source of jitter.
    """

    def __init__(
        self,
        cfg: Settings,
        incarnation: int,
        platform: Platform,
        upstreams: Upstreams,
        peers: Peers,
        rng: random.Random,
    ) -> None:
        self.cfg = cfg
        self.incarnation = incarnation
        self.platform = platform
        self.upstreams = upstreams
        self.peers = peers
        self.rng = rng
        self.place = Place(cfg.data_centre, cfg.region)
        self.metrics = Metrics()
        self.bytes = ByteLimit(cfg.max_waiting_bytes)
        self.state = load_chart("daemon").initial
        self._build_agreement()
        self._build_work()
        self.peers.receiver = self._receive
        self._tasks: list[asyncio.Task[None]] = []
        self._applied = asyncio.Condition()

    def _build_agreement(self) -> None:
        cfg, rng = self.cfg, self.rng
        send = self.peers.send
        stream = dc_stream(cfg.data_centre)
        self.members = Membership(cfg.name)
        self.ledger = Ledger()
        self.configuration = Configuration()
        self.ownership = Ownership(
            cfg.name, self.incarnation, self.ledger, self.members
        )
        self.feed = LogFeed(
            cfg.name, self.platform, self.members, send, self._confirmed, rng
        )
        self.feed.follow(
            Stream(
                CELL_STREAM,
                lambda: self.configuration.next_offset,
                self._apply_cell,
                self._skip_cell,
            )
        )
        self.feed.follow(
            Stream(
                stream,
                lambda: self.ledger.next_offset,
                self._apply_ledger,
                self.ledger.skip_to,
            )
        )
        self.appender = Appender(
            self.platform, stream, cfg.name, rng, lambda _: self.feed.nudge()
        )
        self.cell_appender = Appender(
            self.platform, CELL_STREAM, cfg.name, rng, lambda _: self.feed.nudge()
        )
        self.snapshotter = Snapshotter(self)

    def _build_work(self) -> None:
        cfg, rng = self.cfg, self.rng
        send = self.peers.send
        put = self.appender.put
        self.guard = KeyGuard(cfg.name, self.ledger, put, self._ledger_applied)
        self.shards = ShardSet(
            self.place,
            self.ownership,
            self.ledger,
            self.appender,
            self.guard,
            self.upstreams,
            self.metrics,
            rng,
        )
        self.load_table = LoadTable(self.place, self.members)
        self.forwarder = Forwarder(cfg.name, self.incarnation, send)
        self.receiver = Receiver(self.incarnation, send, self._run_forwarded)
        self.front = Front(
            cfg.name,
            self.place,
            self.loads,
            self.shards.run,
            self.forwarder,
            self.load_table.incarnation,
            rng,
        )
        self.jobs = JobDesk(
            cfg.name,
            self.incarnation,
            self.place,
            self.shards,
            self.ledger,
            put,
            self._ledger_applied,
            self.loads,
            send,
            lambda key: explain(self, key),
            rng,
        )
        self.publisher = Publisher(
            cfg.name,
            self.configuration,
            self.members,
            self.load_table,
            self.cell_appender.put,
            self._cell_applied,
        )
        self.beats = Beats(self)

    # Life

    def start(self) -> None:
        """Start every loop of the daemon."""
        for coro in (
            self.appender.run(),
            self.cell_appender.run(),
            self.feed.run(),
            self.beats.run(),
            self.beats.run_list(),
            self.beats.run_digests(),
            self.snapshotter.run(),
            self._run_ownership(),
        ):
            self._tasks.append(asyncio.get_running_loop().create_task(_guarded(coro)))

    async def _run_ownership(self) -> None:
        while True:
            self.shards.tick()
            await asyncio.sleep(OWNERSHIP_TICK)

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.state == "ready"

    async def drain(self) -> bool:
        """Hand everything over and finish what is in progress.

        Returns
        -------
        bool
            False if the time allowed for it ran out.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + self.cfg.drain_s
        self.state = load_chart("daemon").next(self.state, "stop")
        self.ownership.draining = True
        self.members.draining = True
        self.beats.send_now()
        log.info("entry: draining")
        while loop.time() < until:
            held = any(h.state != "idle" for h in self.ownership.holdings.values())
            work = self.front.in_progress or self.shards.busy or self.receiver.active
            if not held and not work and not self.shards.owners:
                break
            await asyncio.sleep(DRAIN_POLL)
        done = loop.time() < until
        if done:
            await self._flush()
            # Peers that have not heard yet still send work here; it is refused
            # as not run, so that they turn to the next owner.
            await asyncio.sleep(LINGER_TIME)
        self.state = load_chart("daemon").next(
            self.state, "idle" if done else "timeout"
        )
        log.info("entry: drained" if done else "entry: drain timed out")
        return done

    async def _flush(self) -> None:
        """Wait until the releases are on record, or the log seems down."""
        try:
            async with asyncio.timeout(APPLIED_TIME):
                await self.appender.flushed()
        except TimeoutError:
            log.warning("entry: releases are not on record")

    async def close(self) -> None:
        """Stop at once, as a crash would."""
        self.shards.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.peers.close()

    # The log

    def _apply_cell(self, offset: int, records: list[Record]) -> None:
        if self.configuration.apply(offset, records):
            self.put_in_force()
        self._note_applied()

    def _skip_cell(self, first: int) -> None:
        self.configuration.next_offset = first
        self.beats.want_revision()

    def _apply_ledger(self, offset: int, records: list[Record]) -> None:
        was_whole = self.ledger.whole
        self.ledger.apply(offset, records)
        if self.ledger.whole and not was_whole:
            self.shards.hear_snapshot()
        self.shards.hear_records(records)
        self._note_applied()

    def put_in_force(self) -> None:
        """Put the configuration's cell in force in every part."""
        cell = self.configuration.cell
        assert cell is not None
        self.shards.configure(cell)
        self.metrics.revision.set(self.configuration.revision)
        if self.state == "starting":
            self.state = load_chart("daemon").next(self.state, "configured")
        log.info("entry: revision %d is in force", self.configuration.revision)

    def _note_applied(self) -> None:
        asyncio.get_running_loop().create_task(self._notify())

    async def _notify(self) -> None:
        async with self._applied:
            self._applied.notify_all()

    async def _ledger_applied(self, offset: int) -> None:
        await self._until(lambda: self.ledger.next_offset > offset)

    async def _cell_applied(self, offset: int) -> None:
        await self._until(lambda: self.configuration.next_offset > offset)

    async def _until(self, reached: Any) -> None:
        async with asyncio.timeout(APPLIED_TIME), self._applied:
            await self._applied.wait_for(reached)

    def _confirmed(self, stream: str, stamp: float) -> None:
        if stream == dc_stream(self.cfg.data_centre):
            self.ownership.log_confirmed(stamp)

    # Work

    def cell(self) -> Cell:
        """Return the cell in force.

        Raises
        ------
        Refusal
            ``NO_CONFIGURATION`` while there is none.
        """
        cell = self.configuration.cell
        if cell is None:
            text = "neither the platform nor a peer has given a configuration yet"
            raise Refusal(
                Reason.NO_CONFIGURATION, step="start", retry_after=2.0, message=text
            )
        return cell

    def loads(self) -> list[ShardLoad]:
        """Return every shard that is known, with its owner."""
        now = asyncio.get_running_loop().time()
        loads = self.load_table.near(now)
        for load in self.shards.loads():
            loads[load.shard] = load
        return [*loads.values(), *self.load_table.abroad.values()]

    async def _run_forwarded(self, msg: Forward) -> Answer:
        workload = self.cell().workloads.get(msg.service)
        if workload is None:
            raise Refusal(Reason.UNKNOWN_SERVICE, step="receive")
        now = asyncio.get_running_loop().time()
        req = Request(workload, msg.path, msg.body, msg.key, now + msg.left)
        return await self.shards.run(msg.shard, req)

    # Messages

    def _receive(self, peer: str, msg: Message) -> None:
        now = asyncio.get_running_loop().time()
        match msg:
            case Heartbeat():
                self.beats.hear(msg, now)
            case LogTail():
                self.feed.hear_tail(msg, now)
            case LogRecords():
                self.feed.hear_records(msg)
            case LogFetch():
                self.feed.hear_fetch(msg)
            case Forward():
                self.receiver.hear(msg)
            case ForwardAsk():
                self.receiver.hear_ask(msg)
            case ForwardAck():
                self.forwarder.hear_ack(msg)
            case Reply():
                self.forwarder.hear_reply(msg)
            case JobRequest():
                self.jobs.hear(msg)
            case JobReply():
                self.jobs.hear_reply(msg)
            case Digest():
                self.beats.hear_digest(msg, now)
            case ListNews():
                self.beats.hear_list(msg)
            case SnapshotWanted():
                self.snapshotter.wanted()
            case RevisionWanted():
                self.beats.hear_wanted(msg)
            case RevisionOffer():
                self._hear_offer(msg)

    def _hear_offer(self, msg: RevisionOffer) -> None:
        try:
            if self.configuration.adopt(msg.whole):
                self.put_in_force()
        except ConfigError as exc:
            log.error("entry: a peer's revision is not valid: %s", exc)


async def _guarded(coro: Coroutine[Any, Any, None]) -> None:
    """Log what ends a loop that should not end."""
    try:
        await coro
    except asyncio.CancelledError:
        raise
    except Exception:
        log.exception("entry: a loop has failed")
        raise
