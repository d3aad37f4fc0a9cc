"""The daemon: wires its components together and dispatches messages from peers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from siskinroad.errors import SiskinroadError
from siskinroad.peers import PeerTransport, Reachability
from siskinroad.resources import Resources
from siskinroad.suspend_detector import SuspendDetector
from siskinroad.work.calls import Calls
from siskinroad.work.claims import Claims
from siskinroad.work.desk import Desk
from siskinroad.work.follow import Follower
from siskinroad.work.intake import Intake
from siskinroad.work.lines import AdviceLines
from siskinroad.work.members import BEAT_TIME, OWNER_BEAT_TIME, Members
from siskinroad.work.messages import (
    AdviceReply,
    AdviceRequest,
    Beat,
    Hello,
    JobAnswer,
    JobQuestion,
    RelayReply,
    RelayRequest,
    SubmitReply,
    SubmitRequest,
)
from siskinroad.work.model import HostEntry, Setup, Timing
from siskinroad.work.outside import Outside
from siskinroad.work.records import (
    MEMBERS_TOPIC,
    Member,
    record_of,
    unpack,
)
from siskinroad.work.relay import RelayStore
from siskinroad.work.store import Newest
from siskinroad.work.term import OwnerParts
from siskinroad.work.watch import StoreWatch
from siskinroad.work.workmetrics import WorkMetrics

__all__ = ["WorkDaemon"]

# Seconds between two attempts to store this daemon's member record.
REGISTRATION_RETRY_INTERVAL = 0.3
# Seconds between two checks, while draining, whether a silent store answers again.
DRAIN_POLL_INTERVAL = 0.1
# Seconds between two reads of the live host list: the platform requires that a
# departing host is noticed within a few seconds.
HOST_LIST_READ_INTERVAL = 0.5
# Seconds for which the store may hold a read open for a new member record; new
# members are rare.
MEMBERS_READ_WAIT = 5.0

log = logging.getLogger("siskinroad.daemon")


class WorkDaemon:
    """A daemon without its HTTP listeners.

    Parameters
    ----------
    member : Member
        This daemon's name, its incarnation and its address for peers.
    peers : PeerTransport
        Connections to the other daemons.
    register_address : callable
        Gives the connection layer the address of a member.
    wall : callable
        Returns Unix time in seconds.
    """

    def __init__(
        self,
        member: Member,
        outside: Outside,
        peers: PeerTransport,
        register_address: Callable[[Member], None],
        timing: Timing,
        wall: Callable[[], float],
    ) -> None:
        self.member = member
        self.outside = outside
        self.peers = peers
        self.wall = wall
        self.metrics = WorkMetrics()
        self.members = Members(member.node, member.incarnation)
        self.hosts: dict[str, HostEntry] = {}
        self._register_address = register_address
        self._tasks: list[asyncio.Task[None]] = []
        self._suspend_detector = SuspendDetector()
        self._background_tasks: set[asyncio.Task[None]] = set()
        now = asyncio.get_running_loop().time
        self.calls = Calls(peers, member.incarnation << 20)
        self.store = RelayStore(
            outside.store, self.calls, lambda: self.members.reaches_store(now())
        )
        self.store.returned = self._on_store_recovered
        self.watch = StoreWatch(
            outside.store,
            MEMBERS_TOPIC,
            lambda: self.store.answered_at,
            self.store.answered,
        )
        self.lines = AdviceLines(
            member.node, outside.advisor, self.calls, lambda: self.members.alive(now())
        )
        self.parts = OwnerParts(
            member.node,
            member.incarnation,
            self.store,
            outside.link,
            self.lines,
            timing,
            self.metrics,
            wall,
            self.members.is_later_life,
        )
        self.claims = Claims(
            member,
            self.members,
            peers,
            self.store,
            self.parts,
            self.hosts,
            self._send_heartbeats,
        )
        self.owners = self.claims.owners
        self.intake = Intake(
            member.node,
            self.store,
            self.calls,
            self._job_writer_of,
            lambda node: self.members.answers(node, now()),
            lambda: self.store.heard_at,
            self.metrics,
        )
        self.desk = Desk(
            member.node,
            self.intake,
            self.calls,
            self.owners,
            self._owner_of,
            self._capacities,
            self.metrics,
            wall,
            lambda: self.store.heard_at,
        )
        peers.receiver = self._receive
        peers.connected = self._connected
        peers.disconnected = self._disconnected
        decoder = outside.decoder
        self.setup_follower = Follower(
            self.store, decoder.setup_topic, self._apply_setups
        )
        self.list = Follower(
            self.store,
            decoder.hosts_topic,
            self._apply_host_list,
            spacing=HOST_LIST_READ_INTERVAL,
        )
        self.members_follower = Follower(
            self.store, MEMBERS_TOPIC, self._apply_members, wait=MEMBERS_READ_WAIT
        )

    @property
    def ready(self) -> bool:
        """Whether this daemon should receive requests from callers."""
        return self.desk.setup is not None and not self.claims.leaving

    def start(self) -> None:
        """Start the daemon's background loops."""
        for coro in (
            self._run_registration(),
            self.setup_follower.run(),
            self.members_follower.run(),
            self.list.run(),
            self.watch.run(),
            self._run_heartbeats(),
            self.claims.run(),
        ):
            task = asyncio.get_running_loop().create_task(_log_unexpected_error(coro))
            self._tasks.append(task)

    async def drain(self, store_wait: float = 0.0) -> None:
        """Release every pool; accepted work continues under other owners.

        Parameters
        ----------
        store_wait : float
            Seconds for which the pools are kept while the store does not answer:
            no other daemon could claim them, and the leases of their hosts would
            expire.
        """
        self.claims.leaving = True
        self._send_heartbeats()
        try:
            async with asyncio.timeout(store_wait):
                while self.claims.pools and not await self._is_store_reachable():
                    await asyncio.sleep(DRAIN_POLL_INTERVAL)
        except TimeoutError:
            log.warning(
                "daemon: store did not answer in time; releasing the pools and stopping"
            )
        await self.claims.give_up_all()

    async def _is_store_reachable(self) -> bool:
        try:
            await self.store.read(MEMBERS_TOPIC, self.members_follower.next, wait=0.0)
        except SiskinroadError as exc:
            log.info(
                "daemon: store does not answer; keeping the pools while draining",
                extra={"error": str(exc)},
            )
            return False
        return True

    async def close(self) -> None:
        """Stop every loop immediately, without releasing the pools."""
        self.intake.close()
        await self.claims.close()
        tasks = [*self._tasks, *self._background_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.peers.close()
        await self.store.close()

    # Members and heartbeats

    async def _run_registration(self) -> None:
        """Append this daemon's member record, retrying until it is stored."""
        while True:
            try:
                await self.store.append(MEMBERS_TOPIC, [record_of(self.member)])
            except SiskinroadError as exc:
                log.warning(
                    "daemon: member record not stored; retrying",
                    extra={"error": str(exc)},
                )
                await asyncio.sleep(REGISTRATION_RETRY_INTERVAL)
                continue
            return

    def _apply_members(self, items: tuple[Newest, ...], is_snapshot: bool) -> None:
        if is_snapshot:
            self.members.forget_all_but({item.key for item in items})
        for item in items:
            if item.value:
                self._apply_member_record(item)

    def _apply_member_record(self, item: Newest) -> None:
        try:
            member = unpack(item.value)
        except SiskinroadError as exc:
            log.error(
                "daemon: member record cannot be decoded; ignoring it",
                extra={"error": str(exc)},
            )
            return
        if isinstance(member, Member):
            self._register_member(member)

    def _register_member(self, member: Member) -> None:
        """Register a member found in the store or introduced by its own message."""
        if member.node == self.member.node or not self.members.learn(member):
            return
        self._register_address(member)
        log.info(
            "daemon: new member or incarnation",
            extra={"peer": member.node, "incarnation": member.incarnation},
        )
        self.peers.send(member.node, self._make_heartbeat())

    def _connected(self, peer: str) -> None:
        own = self.member
        self.peers.send(
            peer,
            Hello(own.node, own.incarnation, own.address, own.data_centre, own.region),
        )

    async def _run_heartbeats(self) -> None:
        while True:
            if self._suspend_detector.take_suspended_s():
                log.warning(
                    "daemon: process was suspended; owners must confirm their claims"
                )
                for owner in self.owners.values():
                    owner.revoke_right()
            self._send_heartbeats()
            await asyncio.sleep(OWNER_BEAT_TIME if self.claims.pools else BEAT_TIME)

    def _make_heartbeat(self) -> Beat:
        now = asyncio.get_running_loop().time()
        owned = tuple((pool, owner.term.number) for pool, owner in self.owners.items())
        age = round(now - self.store.answered_at, 1)
        return Beat(
            self.member.node,
            self.member.incarnation,
            owned,
            age,
            self.claims.leaving,
            self.claims.able,
            round(self.lines.backlog(now), 2),
            self.claims.claiming,
        )

    def _send_heartbeats(self) -> None:
        heartbeat = self._make_heartbeat()
        for node in self.members.others():
            self.peers.send(node, heartbeat)

    def _on_store_recovered(self) -> None:
        log.warning("daemon: store answers again; restarting pending reads")
        self.claims.store_returned()
        followers = [self.setup_follower, self.list, self.members_follower]
        followers += [owner.follower for owner in self.owners.values()]
        for follower in followers:
            follower.nudge()

    # Configuration and hosts

    def _apply_setups(self, items: tuple[Newest, ...], is_snapshot: bool) -> None:
        for item in items:
            setup = self.outside.decoder.setup(item.key, item.value)
            if setup is not None:
                self._activate_setup(setup)

    def _activate_setup(self, setup: Setup) -> None:
        known = self.desk.setup
        if known is not None and setup.version <= known.version:
            return
        self.desk.setup = self.claims.setup = setup
        log.info(
            "daemon: configuration applied",
            extra={"version": setup.version, "queues": len(setup.queues)},
        )
        for owner in self.owners.values():
            owner.configure(setup)

    def _apply_host_list(self, items: tuple[Newest, ...], is_snapshot: bool) -> None:
        if is_snapshot:
            self.hosts.clear()
        for item in items:
            entry = self.outside.decoder.host(item.key, item.value)
            if entry is None:
                self.hosts.pop(item.key, None)
            else:
                self.hosts[item.key] = entry
        for owner in self.owners.values():
            owner.hosts_listed(self.hosts)

    def _owner_of(self, pool: str) -> str | None:
        """Return the daemon that owns a pool, which may be this one."""
        if pool in self.owners:
            return self.member.node
        return self.members.owner(pool, asyncio.get_running_loop().time())

    def _job_writer_of(self, pool: str) -> str:
        """Return the pool's job writer, which may be this daemon."""
        owner = self._owner_of(pool)
        if owner is not None:
            return owner
        if pool in self.claims.pools:
            return self.member.node
        now = asyncio.get_running_loop().time()
        # A draining daemon never selects itself: the others no longer select it either.
        age = float("inf") if self.claims.leaving else now - self.store.answered_at
        return self.members.gatherer(pool, now, age)

    def _capacities(self, pool: str) -> list[Resources]:
        return [e.capacity for e in self.hosts.values() if e.pool == pool]

    # Messages

    def _receive(self, peer: str, msg: Any) -> None:
        now = asyncio.get_running_loop().time()
        match msg:
            case Beat():
                self.members.hear(msg, now)
                self.lines.heard(msg.node, msg.backlog, now)
                if msg.leaving:
                    self.claims.wanted.set()
                self._check_for_later_terms(msg)
            case Hello():
                self._register_member(
                    Member(
                        msg.node,
                        msg.incarnation,
                        msg.address,
                        msg.data_centre,
                        msg.region,
                    )
                )
            case JobAnswer() | AdviceReply() | RelayReply() | SubmitReply():
                self.calls.answered(msg.id, msg)
            case SubmitRequest():
                self._reply_when_done(peer, self.intake.accept(msg))
            case JobQuestion():
                self._reply_when_done(peer, self.desk.answer(msg))
            case AdviceRequest():
                self._reply_when_done(peer, self.lines.answer(msg))
            case RelayRequest():
                self._reply_when_done(peer, self.store.serve(msg))

    def _check_for_later_terms(self, heartbeat: Beat) -> None:
        """Make an owner recheck its claim if a peer reports a later term."""
        for pool, term in heartbeat.owned:
            owner = self.owners.get(pool)
            if owner is not None and term > owner.term.number:
                owner.doubt()

    def _disconnected(self, peer: str) -> None:
        """Check whether a peer whose connection has closed is still running.

        Without this check, urgent work of a killed owner waits until its
        heartbeats time out.
        """
        if peer in self.members.heard:
            self._run_in_background(self._check_peer(peer))

    async def _check_peer(self, peer: str) -> None:
        heard = self.members.heard.get(peer)
        reach = await self.peers.probe(peer)
        if reach is not Reachability.REFUSES or self.members.heard.get(peer) != heard:
            return
        now = asyncio.get_running_loop().time()
        owned = heard.beat.owned if heard is not None else ()
        log.warning(
            "daemon: peer refuses connections; its process has ended",
            extra={
                "peer": peer,
                "silent_s": round(now - heard.at, 2) if heard else None,
                "pools": [pool for pool, _ in owned],
            },
        )
        self.members.ended(peer, now)
        self.claims.wanted.set()

    def _run_in_background(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(_log_unexpected_error(coro))
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _reply_when_done(self, peer: str, coro: Coroutine[Any, Any, Any]) -> None:
        async def send() -> None:
            self.peers.send(peer, await coro)

        self._run_in_background(send())


async def _log_unexpected_error(coro: Coroutine[Any, Any, None]) -> None:
    """Log the exception that ends a background task, then raise it again."""
    try:
        await coro
    except asyncio.CancelledError:
        raise
    except Exception:
        log.exception("daemon: background task failed")
        raise
