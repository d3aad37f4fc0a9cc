"""The daemon of an entry host, assembled from its components."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import Any

from siskinroad.appender import Appender
from siskinroad.cell import Cell
from siskinroad.charts import load_chart
from siskinroad.configuration import Configuration
from siskinroad.errors import ConfigError, Reason, Refusal
from siskinroad.forwarding import Forwarder, Receiver
from siskinroad.heartbeats import PeriodicMessages
from siskinroad.idempotency import IdempotencyGuard
from siskinroad.jobs import JobService
from siskinroad.ledger import Ledger
from siskinroad.limits import ByteLimit
from siskinroad.load_reports import LoadTable
from siskinroad.log_reader import LogReader, Stream
from siskinroad.membership import Membership
from siskinroad.messages import (
    Digest,
    Forward,
    ForwardAck,
    ForwardQuery,
    Heartbeat,
    HostListUpdate,
    JobReply,
    JobRequest,
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
from siskinroad.peers import PeerTransport
from siskinroad.platform import CELL_STREAM, Platform, data_centre_stream
from siskinroad.publisher import Publisher
from siskinroad.records import Record
from siskinroad.request_handler import Request, RequestHandler
from siskinroad.restarts import run_restarted
from siskinroad.routing import Place, ShardLoad
from siskinroad.settings import Settings
from siskinroad.shards import OwnedShards
from siskinroad.snapshotter import Snapshotter
from siskinroad.status import explain
from siskinroad.upstreams import UpstreamClient, UpstreamResponse

__all__ = ["Daemon"]

# Seconds between two steps of shard ownership. A larger value delays claims, takeovers
# and releases.
OWNERSHIP_INTERVAL = 0.2
# Seconds to wait until this daemon has read an appended record back; also for pending
# releases at the end of a drain. A smaller value reports confirmed appends as not
# confirmed.
APPLY_TIMEOUT = 3.0
# Seconds between two checks whether a drain has finished.
DRAIN_POLL_INTERVAL = 0.05
# Seconds for which a drained daemon still refuses work from peers that do not know of
# the drain. Without it they wait for a daemon that has exited.
LINGER_TIME = 1.2

log = logging.getLogger("siskinroad.entry")


class Daemon:
    """Daemon of an entry host, without its HTTP listeners.

    Parameters
    ----------
    cfg : Settings
        The daemon's settings.
    incarnation : int
        A number that rises with each start of the same daemon: the Unix time of the
        start in milliseconds.
    platform, upstreams, peers : Platform, UpstreamClient, PeerTransport
        Clients of the platform, of upstream hosts and of other daemons.
    rng : random.Random
        Seeded source of jitter.
    """

    def __init__(
        self,
        cfg: Settings,
        incarnation: int,
        platform: Platform,
        upstreams: UpstreamClient,
        peers: PeerTransport,
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
        self.waiting_bytes = ByteLimit(cfg.max_waiting_bytes)
        self.state = load_chart("daemon").initial
        self._build_coordination()
        self._build_request_path()
        self.peers.receiver = self._receive
        self._tasks: list[asyncio.Task[None]] = []
        self._applied = asyncio.Condition()

    def _build_coordination(self) -> None:
        cfg, rng = self.cfg, self.rng
        send = self.peers.send
        stream = data_centre_stream(cfg.data_centre)
        now = asyncio.get_running_loop().time()
        self.members = Membership(cfg.name, self.incarnation, now)
        self.ledger = Ledger()
        self.configuration = Configuration()
        self.ownership = Ownership(
            cfg.name, self.incarnation, self.ledger, self.members
        )
        self.log_reader = LogReader(
            cfg.name, self.platform, self.members, send, self._confirm_by_log, rng
        )
        self.log_reader.follow(
            Stream(
                CELL_STREAM,
                lambda: self.configuration.next_offset,
                self._apply_cell,
                self._skip_cell,
            )
        )
        self.log_reader.follow(
            Stream(
                stream,
                lambda: self.ledger.next_offset,
                self._apply_ledger,
                self.ledger.skip_to,
            )
        )
        self.appender = Appender(
            self.platform, stream, cfg.name, rng, lambda _: self.log_reader.wake()
        )
        self.cell_appender = Appender(
            self.platform, CELL_STREAM, cfg.name, rng, lambda _: self.log_reader.wake()
        )
        self.snapshotter = Snapshotter(self)

    def _build_request_path(self) -> None:
        cfg, rng = self.cfg, self.rng
        send = self.peers.send
        append = self.appender.append
        self.guard = IdempotencyGuard(
            cfg.name, self.incarnation, self.ledger, append, self._wait_ledger_applied
        )
        self.shards = OwnedShards(
            self.place,
            self.ownership,
            self.ledger,
            self.appender,
            self.guard,
            self.upstreams,
            self.metrics,
            rng,
            self.log_reader.wake,
        )
        self.load_table = LoadTable(self.place, self.members)
        self.forwarder = Forwarder(cfg.name, self.incarnation, send)
        self.receiver = Receiver(self.incarnation, send, self._run_forwarded)
        self.request_handler = RequestHandler(
            cfg.name,
            self.place,
            self.loads,
            self.shards.run,
            self.forwarder,
            self.load_table.incarnation,
            rng,
        )
        self.jobs = JobService(
            cfg.name,
            self.incarnation,
            self.place,
            self.shards,
            self.ledger,
            append,
            self._wait_ledger_applied,
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
            self.cell_appender.append,
            self._wait_cell_applied,
        )
        self.periodic = PeriodicMessages(self)

    # Start and stop

    def start(self) -> None:
        """Start the background loops of the daemon."""
        for name, run in (
            ("appender", self.appender.run),
            ("cell appender", self.cell_appender.run),
            ("log reader", self.log_reader.run),
            ("heartbeats", self.periodic.run),
            ("host list", self.periodic.run_host_list),
            ("digests", self.periodic.run_digests),
            ("snapshots", self.snapshotter.run),
            ("ownership", self._run_ownership),
        ):
            loop = run_restarted(run, f"entry: loop {name}", log)
            self._tasks.append(asyncio.get_running_loop().create_task(loop))

    async def _run_ownership(self) -> None:
        while True:
            self.shards.tick()
            await asyncio.sleep(OWNERSHIP_INTERVAL)

    @property
    def is_ready(self) -> bool:
        """Whether callers may send requests to this daemon."""
        return self.state == "ready"

    async def drain(self) -> bool:
        """Release all shards and finish the requests in progress.

        Returns
        -------
        bool
            False if this took longer than the setting ``drain_s``.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.cfg.drain_s
        self.state = load_chart("daemon").next_state(self.state, "stop")
        self.ownership.draining = True
        self.members.draining = True
        self.periodic.send_heartbeats()
        log.info("entry: drain started")
        while loop.time() < deadline:
            holds_shards = any(
                claim.state != "idle" for claim in self.ownership.shard_claims.values()
            )
            has_work = (
                self.request_handler.in_progress
                or self.shards.request_count
                or self.receiver.running
            )
            if not holds_shards and not has_work and not self.shards.owners:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        is_done = loop.time() < deadline
        if is_done:
            await self._wait_releases_stored()
            # Peers that do not know of the drain yet still send work here. It is
            # refused as not run, so that they send it to the next owner.
            await asyncio.sleep(LINGER_TIME)
        self.state = load_chart("daemon").next_state(
            self.state, "idle" if is_done else "timeout"
        )
        log.info(
            "entry: drain finished"
            if is_done
            else "entry: drain not finished within drain_s"
        )
        return is_done

    async def _wait_releases_stored(self) -> None:
        """Wait until the releases are stored, at most ``APPLY_TIMEOUT`` seconds."""
        try:
            async with asyncio.timeout(APPLY_TIMEOUT):
                await self.appender.wait_flushed()
        except TimeoutError:
            log.warning("entry: releases of shards not confirmed by the log in time")

    async def close(self) -> None:
        """Stop at once without releasing shards, as a crash would."""
        self.shards.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.peers.close()

    # Records of the log

    def _apply_cell(self, offset: int, records: list[Record]) -> None:
        if self.configuration.apply(offset, records):
            self.put_in_force()
        self._schedule_notify()

    def _skip_cell(self, first_offset: int) -> None:
        self.configuration.next_offset = first_offset
        self.periodic.request_revision()

    def _apply_ledger(self, offset: int, records: list[Record]) -> None:
        was_complete = self.ledger.is_complete
        self.ledger.apply(offset, records)
        if self.ledger.is_complete and not was_complete:
            self.shards.apply_snapshot()
        if self.ledger.is_complete:
            self.shards.apply_records(records)
        self._schedule_notify()

    def put_in_force(self) -> None:
        """Apply the configuration's cell file to all components."""
        cell = self.configuration.cell
        assert cell is not None
        self.shards.configure(cell)
        self.metrics.revision.set(self.configuration.revision)
        if self.state == "starting":
            self.state = load_chart("daemon").next_state(self.state, "configured")
        log.info("entry: revision %d is in force", self.configuration.revision)

    def _schedule_notify(self) -> None:
        asyncio.get_running_loop().create_task(self._notify_applied())

    async def _notify_applied(self) -> None:
        async with self._applied:
            self._applied.notify_all()

    async def _wait_ledger_applied(self, offset: int) -> None:
        await self._wait_until(lambda: self.ledger.next_offset > offset)

    async def _wait_cell_applied(self, offset: int) -> None:
        await self._wait_until(lambda: self.configuration.next_offset > offset)

    async def _wait_until(self, predicate: Any) -> None:
        async with asyncio.timeout(APPLY_TIMEOUT), self._applied:
            await self._applied.wait_for(predicate)

    def _confirm_by_log(self, stream: str, confirmed_at: float) -> None:
        is_own = stream == data_centre_stream(self.cfg.data_centre)
        if is_own and self.ledger.is_complete:
            self.ownership.confirm_by_log(confirmed_at)

    # Requests

    def cell(self) -> Cell:
        """Return the cell in force.

        Raises
        ------
        Refusal
            ``NO_CONFIGURATION`` if neither the log nor a peer has given one.
        """
        cell = self.configuration.cell
        if cell is None:
            text = "neither the platform nor a peer has given a configuration yet"
            raise Refusal(
                Reason.NO_CONFIGURATION, step="start", retry_after=2.0, message=text
            )
        return cell

    def loads(self) -> list[ShardLoad]:
        """Return the load and owner of every known shard, in all data centres."""
        now = asyncio.get_running_loop().time()
        loads = self.load_table.local_loads(now)
        for load in self.shards.loads():
            loads[load.shard] = load
        return [*loads.values(), *self.load_table.remote_loads.values()]

    async def _run_forwarded(self, msg: Forward) -> UpstreamResponse:
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
                self.periodic.handle_heartbeat(msg, now)
            case LogTail():
                self.log_reader.handle_tail(msg, now)
            case LogRecords():
                self.log_reader.handle_records(msg)
            case LogFetch():
                self.log_reader.handle_fetch(msg)
            case Forward():
                self.receiver.receive(msg)
            case ForwardQuery():
                self.receiver.receive_query(msg)
            case ForwardAck():
                self.forwarder.receive_ack(msg)
            case Reply():
                self.forwarder.receive_reply(msg)
            case JobRequest():
                self.jobs.receive(msg)
            case JobReply():
                self.jobs.receive_reply(msg)
            case Digest():
                self.periodic.handle_digest(msg, now)
            case HostListUpdate():
                self.periodic.handle_host_list(msg)
            case SnapshotWanted():
                self.snapshotter.write_on_request()
            case RevisionWanted():
                self.periodic.handle_revision_request(msg)
            case RevisionOffer():
                self._handle_offer(msg)

    def _handle_offer(self, msg: RevisionOffer) -> None:
        try:
            if self.configuration.apply_if_newer(msg.whole):
                self.put_in_force()
        except ConfigError as exc:
            log.error(
                "entry: revision offered by a peer is not valid, ignored: %s", exc
            )
