"""The daemon: wires its components together and dispatches messages from peers."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable, Coroutine
from typing import Any

from siskinroad.errors import SiskinroadError
from siskinroad.peers import PeerTransport
from siskinroad.work.account_exchange import AccountExchange, refuse_loan
from siskinroad.work.account_peers import AccountPeers, PoolOwnerAddress
from siskinroad.work.admission import LoadRefusal
from siskinroad.work.advisor_channels import AdvisorChannels
from siskinroad.work.append_check import AppendCheck
from siskinroad.work.claim_manager import ClaimManager
from siskinroad.work.claim_notices import ClaimNotices
from siskinroad.work.claim_statements import ClaimStatements
from siskinroad.work.closing_reader import ClosingReader
from siskinroad.work.configuration_exchange import ConfigurationExchange
from siskinroad.work.configuration_reader import ConfigurationReader
from siskinroad.work.follower import Follower
from siskinroad.work.heard_owners import HeardOwners
from siskinroad.work.host_list import HostList
from siskinroad.work.job_service import JobService
from siskinroad.work.job_writer import JobRefusedError, JobWriter
from siskinroad.work.key_check import KeyCheck, KeyLimits
from siskinroad.work.loop_delay import LoopDelay
from siskinroad.work.membership import Membership
from siskinroad.work.messages import (
    HAS_STOPPED,
    AdviceReply,
    AdviceRequest,
    ClaimAnswer,
    ClaimNoted,
    ClaimNotice,
    ClaimQuery,
    ConfigurationReply,
    ConfigurationRequest,
    Digest,
    Heartbeat,
    Hello,
    JobReply,
    JobRequest,
    LoanReply,
    LoanRequest,
    OwnerAnswer,
    OwnerQuery,
    RelayReply,
    RelayRequest,
    SubmitReply,
    SubmitRequest,
)
from siskinroad.work.model import Configuration, Timing
from siskinroad.work.newcomer_check import NewcomerCheck
from siskinroad.work.owner_check import OwnerCheck
from siskinroad.work.peer_calls import PeerCalls
from siskinroad.work.platform_clients import PlatformClients
from siskinroad.work.queue_assigner import QueueAssigner
from siskinroad.work.queue_recorder import QueueRecorder
from siskinroad.work.queue_registry import QueueRegistry
from siskinroad.work.records import (
    MEMBERS_TOPIC,
    Accepted,
    Member,
    decode_stored,
    record_of,
)
from siskinroad.work.relay import RelayStore
from siskinroad.work.stop_requests import StopRequests
from siskinroad.work.store import NewestRecord, Record
from siskinroad.work.store_probe import StoreProbe
from siskinroad.work.term import OwnerDependencies
from siskinroad.work.vacant_pools import VacantPools
from siskinroad.work.workmetrics import WorkMetrics

__all__ = ["WorkDaemon"]

# Seconds before a background loop that has failed is started again.
LOOP_RESTART_PAUSE = 0.5
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
# Seconds between two reads of the list by an owner, beside the one that is held open.
# Once the store is down, it relies on the members' statements until the list is too
# old, which must not be before the leases of a host that crashes then expire.
OWNER_MEMBERS_READ_INTERVAL = 1.0

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
        Called with each new member, to give its address to the connection layer.
    wall : callable
        Returns Unix time in seconds.
    processor : float
        Speed of this daemon's processor, in whole cores of the usual speed; 0 if it
        is unknown.
    key_limits : KeyLimits, optional
        Limits on the use of callers' keys; by default none that needs a recent
        configuration.
    sheds_load : bool
        Whether jobs may be turned away for load.
    was_listed : bool
        Whether the store listed an earlier incarnation of this daemon at its start.
    """

    def __init__(
        self,
        member: Member,
        platform_clients: PlatformClients,
        peers: PeerTransport,
        register_address: Callable[[Member], None],
        timing: Timing,
        wall: Callable[[], float],
        processor: float = 0.0,
        key_limits: KeyLimits | None = None,
        sheds_load: bool = False,
        was_listed: bool = False,
    ) -> None:
        self.member = member
        self.processor = processor
        self.platform_clients = platform_clients
        self.peers = peers
        self.wall = wall
        self.metrics = WorkMetrics()
        self.loop_delay = LoopDelay(self.metrics.loop_delay.observe)
        self.membership = Membership(
            member, peers, register_address, self._make_heartbeat, self.loop_delay
        )
        self.members = self.membership.members
        self.host_list = HostList(platform_clients.decoder)
        self.hosts = self.host_list.entries
        self._tasks: list[asyncio.Task[None]] = []
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._listed_at = math.inf
        now = asyncio.get_running_loop().time
        self.peer_calls = PeerCalls(peers, member.incarnation << 20)
        self.store = RelayStore(
            platform_clients.store,
            self.peer_calls,
            lambda: self.members.members_reaching_store(now()),
            lambda node: self.members.last_heartbeats[node].heartbeat.processor,
        )
        self.store.on_recovered = self._on_store_recovered
        self.store_probe = StoreProbe(
            platform_clients.store,
            MEMBERS_TOPIC,
            lambda: self.store.direct_answer_at,
            self.store.record_direct_answer,
        )
        self.advisor_channels = AdvisorChannels(
            member.node,
            platform_clients.advisor,
            self.peer_calls,
            lambda: self.members.live_members(now()),
        )
        self.stop_requests = StopRequests(
            member.node,
            self.peer_calls,
            lambda pool, term: self.claim_manager.has_stopped(pool, term),
        )
        self.claim_notices = ClaimNotices(self.peer_calls)
        self.claim_statements = ClaimStatements(
            self.members,
            self.peer_calls,
            self._find_unclaimed_s,
            self._find_members_read_at,
            self.metrics,
            self.claim_notices.has_acknowledged,
        )
        self.newcomer_check = NewcomerCheck(
            self.members, peers, self.claim_statements.is_known_by, was_listed
        )
        self.dependencies = OwnerDependencies(
            member.node,
            member.incarnation,
            self.store,
            platform_clients.host_client,
            self.advisor_channels,
            timing,
            self.metrics,
            wall,
            self.members.has_later_incarnation,
            self.loop_delay,
            sheds_load=sheds_load,
            ask_stopped=self.stop_requests.ask,
            confirm_unclaimed=self.claim_statements.confirm,
            ask_witnesses=self.claim_statements.ask_witnesses,
            send_notices=self.claim_notices.send,
            members=self.members,
            find_list_read_at=lambda: self.hosts_follower.confirmed_at,
            account_peers=AccountPeers(
                self.peer_calls, self._find_pool_owner, self._find_own_account_exchange
            ),
        )
        self.queue_registry = QueueRegistry()
        self.heard_owners = HeardOwners()
        self.owner_check = OwnerCheck(
            member.node,
            self.members,
            self.heard_owners,
            self.peer_calls,
            peers,
            lambda pool: self.claim_manager.find_acting_term(pool),
        )
        self.claim_manager = ClaimManager(
            member,
            self.members,
            peers,
            self.store,
            self.dependencies,
            self.hosts,
            self.queue_registry,
            self.newcomer_check,
            self._make_heartbeat,
            self.membership.send_heartbeats,
            self.heard_owners,
            self.owner_check,
            VacantPools(self.members, self.membership.send_to_all),
        )
        self.owner_check.on_news = self.claim_manager.check_requested.set
        self.owners = self.claim_manager.owners
        self.queue_recorder = QueueRecorder(
            self.queue_registry, self.store, self.owners
        )
        self.job_writer = JobWriter(
            member.node,
            self.store,
            self.peer_calls,
            self._find_job_writer,
            lambda node: self.members.is_alive(node, now()),
            lambda: self.store.last_answer_at,
            self.metrics,
        )
        self.job_writer.admit = self._admit
        self.job_writer.note_stored = self._note_stored
        self.closing_reader = ClosingReader(self.store)
        append_check = AppendCheck(self.owners, self.closing_reader)
        self.job_writer.find_closing = append_check.find_closing
        decoder = platform_clients.decoder
        self.configuration_reader = ConfigurationReader(
            self.store, decoder, self._configure
        )
        self.configuration_follower = self.configuration_reader.follower
        self.configuration_exchange = ConfigurationExchange(
            self.configuration_reader, self.peer_calls
        )
        self.membership.routes.find_configuration_version = lambda: (
            self.configuration_reader.version
        )
        self.metrics.ended_appends.set_function(lambda: self.store.ended_appends)
        self.metrics.configuration_version.set_function(
            lambda: self.configuration_reader.version
        )
        self.metrics.configuration_age.set_function(self.configuration_reader.age_s)
        self.key_check = KeyCheck(
            self.configuration_reader,
            key_limits or KeyLimits(),
            lambda outcome: self.metrics.key_checks.labels(outcome.value).inc(),
        )
        self.members_follower = Follower(
            self.store,
            MEMBERS_TOPIC,
            self._apply_members,
            wait=MEMBERS_READ_WAIT,
        )
        self.queue_assigner = QueueAssigner(
            self.queue_registry, self.store, self.members_follower
        )
        self.job_service = JobService(
            member,
            self.configuration_reader,
            self.key_check,
            self.job_writer,
            self.peer_calls,
            self.owners,
            self.queue_registry,
            self.queue_assigner,
            self._find_owner,
            self.host_list.list_capacities,
            self.metrics,
            wall,
            lambda: self.store.last_answer_at,
        )
        peers.receiver = self._receive
        peers.disconnected = self._on_disconnected
        self.membership.on_suspended = self._on_suspended
        self.claim_statements.on_suspended = self._on_suspended
        self.membership.on_heartbeat = self._on_heartbeat
        self.membership.on_ended = self.claim_manager.check_requested.set
        self.membership.on_heard = self._on_heard
        self.membership.on_listed = self._on_listed
        self.newcomer_check.on_news = self.claim_manager.check_requested.set
        self.hosts_follower = Follower(
            self.store,
            decoder.hosts_topic,
            self._apply_host_list,
            read_pause=HOST_LIST_READ_INTERVAL,
        )

    def _configure(self, configuration: Configuration) -> None:
        now = asyncio.get_running_loop().time()
        self.dependencies.account_limits.apply(configuration, now)
        self.queue_registry.configure(configuration, now)
        self.queue_recorder.check_requested.set()
        self.claim_manager.configure(configuration)

    @property
    def is_ready(self) -> bool:
        """Whether this daemon should receive requests from callers."""
        return (
            self.configuration_reader.configuration is not None
            and not self.claim_manager.is_leaving
        )

    def start(self) -> None:
        """Start the daemon's background loops."""
        for run in (
            self._run_registration,
            self.configuration_follower.run,
            self.configuration_exchange.run,
            self.members_follower.run,
            self._run_members_reads,
            self.hosts_follower.run,
            self.store_probe.run,
            self._run_heartbeats,
            self.membership.run_digests,
            self.claim_manager.run,
            self.newcomer_check.run,
            self.queue_recorder.run,
        ):
            task = asyncio.get_running_loop().create_task(_run_until_done(run))
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
        self.claim_manager.is_leaving = True
        self.membership.send_heartbeats()
        try:
            async with asyncio.timeout(store_wait):
                while self.claim_manager.pools and not await self._is_store_reachable():
                    await asyncio.sleep(DRAIN_POLL_INTERVAL)
        except TimeoutError:
            log.warning(
                "daemon: store did not answer within the drain's store wait; "
                "releasing the pools and stopping"
            )
        await self.claim_manager.release_all()

    async def _is_store_reachable(self) -> bool:
        try:
            await self.store.read(
                MEMBERS_TOPIC, self.members_follower.next_offset, wait=0.0
            )
        except SiskinroadError as exc:
            log.info(
                "daemon: store does not answer; keeping the pools while draining",
                extra={"error": str(exc)},
            )
            return False
        return True

    async def close(self) -> None:
        """Stop every loop immediately, without releasing the pools."""
        self.job_writer.close()
        await self.queue_assigner.close()
        await self.closing_reader.close()
        await self.claim_manager.close()
        tasks = [*self._tasks, *self._background_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.peers.close()
        await self.store.close()

    # Members and heartbeats

    def _apply_members(
        self, items: tuple[NewestRecord, ...], is_snapshot: bool
    ) -> None:
        self.membership.apply_members(items, is_snapshot)
        self.queue_recorder.apply_records(items, is_snapshot)

    def _on_listed(self, offset: int) -> None:
        if math.isinf(self._listed_at):
            self._listed_at = asyncio.get_running_loop().time()
        self.newcomer_check.note_listed(offset)

    def _find_members_read_at(self) -> float:
        """Return when the list of members was last read, if it had this one before.

        A daemon that was listed before this one does not wait for this one to know it.
        """
        read_at = self.members_follower.confirmed_at
        return read_at if read_at >= self._listed_at else -math.inf

    def _find_unclaimed_s(self, pool: str) -> float:
        """Return for how long this daemon was listed and has not claimed a pool."""
        listed_s = asyncio.get_running_loop().time() - self._listed_at
        return max(0.0, min(listed_s, self.claim_manager.unclaimed_s(pool)))

    def _on_heard(self, node: str, incarnation: int) -> None:
        self.newcomer_check.note_heard(node, incarnation)

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

    async def _run_members_reads(self) -> None:
        """Read the list of members often while this daemon owns a pool."""
        while True:
            await asyncio.sleep(OWNER_MEMBERS_READ_INTERVAL)
            if self.owners:
                await self._read_members()

    async def _read_members(self) -> float:
        """Read the list of members; return the loop time since which it is known."""
        if self.members_follower.confirmed_at >= 0:
            with contextlib.suppress(SiskinroadError):
                await self.members_follower.read_now()
        return self.members_follower.confirmed_at

    async def _run_heartbeats(self) -> None:
        await self.membership.run_heartbeats(lambda: bool(self.claim_manager.pools))

    def _make_heartbeat(self) -> Heartbeat:
        now = asyncio.get_running_loop().time()
        owned = tuple((pool, owner.term.number) for pool, owner in self.owners.items())
        age = round(now - self.store.direct_answer_at, 1)
        return Heartbeat(
            self.member.node,
            self.member.incarnation,
            owned,
            age,
            self.claim_manager.is_leaving,
            self.claim_manager.can_claim,
            round(self.advisor_channels.backlog(now), 2),
            self.claim_manager.claiming,
            self.processor,
            self.membership.routes.aggregators,
            self.configuration_reader.version,
            self._list_lapsed(now),
            answers_owner_queries=True,
        )

    def _list_lapsed(self, now: float) -> tuple[str, ...]:
        return tuple(p for p, owner in self.owners.items() if owner.has_lapsed(now))

    def _on_store_recovered(self) -> None:
        log.warning("daemon: store answers again; restarting pending reads")
        self.claim_manager.note_store_recovered()
        followers = [
            self.configuration_follower,
            self.hosts_follower,
            self.members_follower,
        ]
        followers += [owner.follower for owner in self.owners.values()]
        for follower in followers:
            follower.restart_read()

    # Hosts

    def _apply_host_list(
        self, items: tuple[NewestRecord, ...], is_snapshot: bool
    ) -> None:
        self.host_list.apply(items, is_snapshot)
        self.members.pool_sizes = self.host_list.count_by_pool()
        for owner in self.owners.values():
            owner.apply_host_list(self.hosts)

    def _find_owner(self, pool: str) -> str | None:
        """Return the daemon that owns a pool, which may be this one."""
        if pool in self.owners:
            return self.member.node
        return self.members.owner(pool, asyncio.get_running_loop().time())

    def _find_pool_owner(self, pool: str) -> PoolOwnerAddress | None:
        """Return the other daemon that owns a pool, with the term that it announces."""
        node = self.members.owner(pool, asyncio.get_running_loop().time())
        if node is None:
            return None
        owned = dict(self.members.last_heartbeats[node].heartbeat.owned)
        return PoolOwnerAddress(node, owned[pool])

    def _find_own_account_exchange(self, pool: str) -> AccountExchange | None:
        owner = self.owners.get(pool)
        return owner.account_exchange if owner is not None else None

    async def _serve_loan(self, msg: LoanRequest) -> LoanReply:
        exchange = self._find_own_account_exchange(msg.lender)
        if exchange is None:
            return refuse_loan(msg)
        return await exchange.serve(msg)

    def _find_job_writer(self, pool: str) -> str:
        """Return the pool's job writer, which may be this daemon."""
        owner = self._find_owner(pool)
        if owner is not None:
            return owner
        if pool in self.claim_manager.pools:
            return self.member.node
        now = asyncio.get_running_loop().time()
        return self.members.job_writer(pool, now, self._make_heartbeat())

    def _note_stored(self, pool: str, records: list[Record], offset: int) -> None:
        owner = self.owners.get(pool)
        if owner is not None:
            owner.follower.apply_appended(records, offset)

    def _admit(self, pool: str, record: Record) -> Record:
        """Return a submitted record as the pool's owner here lets it be stored.

        Raises
        ------
        JobRefusedError
            The owner turns the job away for load.
        """
        owner = self.owners.get(pool)
        if owner is None or owner.admission_gate is None:
            return record
        try:
            accepted = decode_stored(record.value)
        except SiskinroadError as exc:
            log.error(
                "daemon: submitted record cannot be decoded; not turned away for load",
                extra={"request": record.key, "pool": pool, "error": str(exc)},
            )
            return record
        if not isinstance(accepted, Accepted):
            return record
        match owner.admit(accepted):
            case LoadRefusal(reason=reason, retry_after_s=retry_after_s):
                raise JobRefusedError(reason.value, retry_after_s)
            case Accepted() as admitted:
                if admitted is accepted:
                    return record
                return Record(record.key, record_of(admitted).value)

    # Messages

    def _receive(self, peer: str, msg: Any) -> None:
        now = asyncio.get_running_loop().time()
        self.owner_check.note_received(peer, now)
        match msg:
            case Heartbeat():
                self.advisor_channels.record_backlog(msg.node, msg.backlog, now)
                self.heard_owners.note_heartbeat(msg, now)
                self.membership.apply_heartbeat(msg, now)
                self.configuration_exchange.note_version(
                    msg.node, msg.configuration_version
                )
            case Digest():
                self.configuration_exchange.note_version(
                    msg.node, msg.configuration_version
                )
                self.membership.apply_digest(msg, now)
            case Hello():
                self.membership.apply_hello(msg)
            case ConfigurationRequest():
                self.peers.send(peer, self.configuration_exchange.serve(msg))
            case (
                JobReply()
                | AdviceReply()
                | RelayReply()
                | SubmitReply()
                | ConfigurationReply()
                | LoanReply()
                | ClaimAnswer()
                | ClaimNoted()
                | OwnerAnswer()
            ):
                self.peer_calls.handle_reply(msg.id, msg)
            case ClaimQuery():
                self.peers.send(peer, self.claim_statements.answer(msg))
            case ClaimNotice():
                self.peers.send(peer, self.claim_notices.acknowledge(msg))
                self._recheck_claims(msg.pool, msg.term)
            case OwnerQuery():
                self.peers.send(peer, self.owner_check.answer(msg))
            case SubmitRequest():
                self._reply_when_done(peer, self.job_writer.accept(msg))
            case JobRequest(verb=verb) if verb == HAS_STOPPED:
                self.peers.send(peer, self.stop_requests.answer(msg))
            case JobRequest():
                self._reply_when_done(peer, self.job_service.handle_request(msg))
            case AdviceRequest():
                self._reply_when_done(peer, self.advisor_channels.serve(msg))
            case LoanRequest():
                self._reply_when_done(peer, self._serve_loan(msg))
            case RelayRequest():
                self._reply_when_done(peer, self.store.serve(msg, peer))

    def _on_suspended(self) -> None:
        log.warning("daemon: process was suspended; owners must confirm their claims")
        self.members_follower.revoke_confirmation()
        for owner in self.owners.values():
            owner.revoke_confirmation()

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Check claims: make an owner recheck its own if a peer has a later term.

        What another daemon has begun to claim may make this one the next best for the
        other pools.
        """
        if heartbeat.is_leaving or heartbeat.claiming:
            self.claim_manager.check_requested.set()
        for pool, term in heartbeat.owned:
            self._recheck_claims(pool, term)

    def _recheck_claims(self, pool: str, term: int) -> None:
        """Make an owner recheck its claim if another one has a later term."""
        owner = self.owners.get(pool)
        if owner is not None and term > owner.term.number:
            owner.recheck_claims()

    def _on_disconnected(self, peer: str) -> None:
        """Check whether a peer whose connection has closed is still running.

        Without this check, urgent work of a killed owner waits until its
        heartbeats time out.
        """
        if peer in self.members.last_heartbeats:
            self._run_in_background(self.membership.check_peer(peer))

    def _run_in_background(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(_run_and_log_error(coro))
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _reply_when_done(self, peer: str, coro: Coroutine[Any, Any, Any]) -> None:
        async def send() -> None:
            self.peers.send(peer, await coro)

        self._run_in_background(send())


async def _run_until_done(run: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a background loop, and start it again after an unexpected error.

    Without the loop, the daemon would go on without its live list or its heartbeats.
    """
    while True:
        try:
            await run()
        except Exception:
            log.exception(
                "daemon: background loop failed; starting it again",
                extra={"loop": run.__qualname__, "pause_s": LOOP_RESTART_PAUSE},
            )
            await asyncio.sleep(LOOP_RESTART_PAUSE)
            continue
        return


async def _run_and_log_error(coro: Coroutine[Any, Any, None]) -> None:
    """Run a background task; log and reraise an exception that ends it."""
    try:
        await coro
    except asyncio.CancelledError:
        raise
    except Exception:
        log.exception("daemon: background task failed; it is not restarted")
        raise
