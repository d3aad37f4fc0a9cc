"""ZeroMQ transport between daemons, with optional CURVE authentication."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Protocol

import zmq
import zmq.asyncio
from zmq.utils import z85
from zmq.utils.monitor import parse_monitor_message

from siskinroad.codec import Codec
from siskinroad.errors import ProtocolError
from siskinroad.peers import CELL_CODEC, PeerTransport, Reachability
from siskinroad.settings import Peer

__all__ = ["TransportSettings", "ZmqTransport", "generate_keys"]

ZAP_ENDPOINT = "inproc://zeromq.zap.01"
ZAP_VERSION = b"1.0"
# Interval of ZeroMQ's own pings, and the time without a reply to one after which it
# closes the connection.
PING_INTERVAL_MS = 1000
PING_TIMEOUT_MS = 3000
# Time limit of one connection attempt. With a longer one, reconnecting after a network
# partition would wait for the kernel to retransmit the SYN of the previous attempt.
CONNECT_TIMEOUT_MS = 500
# First and longest pause between two connection attempts.
RECONNECT_INTERVAL_MS = 100
RECONNECT_INTERVAL_MAX_MS = 400
# Time limit of a probe of a peer whose connection was lost. It allows for a round trip
# between regions and a short delay on a busy host.
PROBE_TIMEOUT_S = 0.3
# Bounds the messages queued for each peer; further ones are dropped and counted.
SEND_QUEUE_MESSAGES = 2000
# Bounds the size of a received message; ZeroMQ disconnects a peer that exceeds it.
MAX_MESSAGE_BYTES = 32 << 20

log = logging.getLogger("siskinroad.peers")


class TransportSettings(Protocol):
    """Settings of a daemon's transport: its name, address and keys, and its peers."""

    @property
    def name(self) -> str:
        """Name of this daemon."""

    @property
    def peer_address(self) -> str:
        """Address to listen on, as ``ip:port``."""

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Peers known at startup."""

    @property
    def public_key(self) -> str:
        """Public key of this daemon, or an empty string."""

    @property
    def secret_key(self) -> str:
        """Secret key of this daemon, or an empty string."""


def generate_keys() -> tuple[str, str]:
    """Generate a public and a secret CURVE key, in Z85 encoding."""
    public, secret = zmq.curve_keypair()
    return public.decode(), secret.decode()


class ZmqTransport(PeerTransport):
    """Transport that receives on a ROUTER socket and sends on a DEALER per peer.

    ZeroMQ's own pings detect dead connections, and ZeroMQ reconnects. Messages lost
    with a connection are not sent again here: the sender of a request repeats it if
    no reply arrives.

    Parameters
    ----------
    cfg : TransportSettings
        Name, address and keys of this daemon, and the peers known at startup.
    codec : Codec
        Encoder and decoder of the messages.
    """

    def __init__(self, cfg: TransportSettings, codec: Codec = CELL_CODEC) -> None:
        super().__init__(codec)
        self.cfg = cfg
        self.address = ""
        self.undecodable_count = 0
        self.unsent_count = 0
        self._context = zmq.asyncio.Context(io_threads=1)
        self._router = self._context.socket(zmq.ROUTER)
        self._known_peers = {peer.name: peer for peer in cfg.peers}
        self._dealers: dict[str, zmq.asyncio.Socket] = {}
        self._monitor_tasks: dict[str, asyncio.Task[None]] = {}
        self._lost_peers: set[str] = set()
        self._allowed_keys = {peer.public_key.encode() for peer in cfg.peers}
        self._tasks: list[asyncio.Task[None]] = []

    def open(self) -> str:
        """Start to listen and return the address, as ``ip:port``."""
        if self.cfg.secret_key:
            self._start_zap_handler()
            self._router.curve_server = True
            self._set_keys(self._router)
        self._router.setsockopt(zmq.LINGER, 0)
        # A peer that reconnects under the same name replaces its old connection, which
        # may be dead without either end having noticed.
        self._router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._router.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._router.bind(f"tcp://{self.cfg.peer_address}")
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix("tcp://")
        self._tasks.append(asyncio.create_task(self._receive()))
        return self.address

    def _connect(self, peer: Peer) -> zmq.asyncio.Socket:
        """Connect to a peer; ZeroMQ reconnects whenever the connection is lost.

        Called at the first message to the peer: most daemons in other data centres
        are never sent any, and an idle connection costs memory and pings.
        """
        dealer = self._context.socket(zmq.DEALER)
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        dealer.setsockopt(zmq.HEARTBEAT_IVL, PING_INTERVAL_MS)
        dealer.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_INTERVAL_MAX_MS)
        dealer.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        dealer.setsockopt_string(zmq.IDENTITY, self.cfg.name)
        if self.cfg.secret_key:
            self._set_keys(dealer)
            dealer.curve_serverkey = peer.public_key.encode()
        monitor = dealer.get_monitor_socket(
            zmq.EVENT_CONNECTED | zmq.EVENT_DISCONNECTED
        )
        dealer.connect(f"tcp://{peer.address}")
        self._dealers[peer.name] = dealer
        monitor_task = asyncio.create_task(self._monitor_connection(peer.name, monitor))
        self._monitor_tasks[peer.name] = monitor_task
        return dealer

    async def _monitor_connection(self, name: str, monitor: zmq.asyncio.Socket) -> None:
        """Notify the callbacks when the connection to a peer is established or lost."""
        try:
            while True:
                event = parse_monitor_message(await monitor.recv_multipart())
                if event["event"] == zmq.EVENT_CONNECTED:
                    self._lost_peers.discard(name)
                    self._notify(self.connected, name)
                elif event["event"] == zmq.EVENT_DISCONNECTED:
                    self._lost_peers.add(name)
                    self._notify(self.disconnected, name)
        finally:
            monitor.close()

    @staticmethod
    def _notify(callback: Callable[[str], None] | None, name: str) -> None:
        if callback is not None:
            callback(name)

    def update_peer(self, peer: Peer) -> None:
        """Add a peer, or update it after a change of address or incarnation.

        A lost connection is replaced by a new one at the next message: ZeroMQ's pause
        between connection attempts has grown while the peer was unreachable.
        """
        known = self._known_peers.get(peer.name)
        self._known_peers[peer.name] = peer
        has_moved = known is not None and known.address != peer.address
        if has_moved or peer.name in self._lost_peers:
            self._disconnect(peer.name)

    def _disconnect(self, name: str) -> None:
        self._lost_peers.discard(name)
        monitor_task = self._monitor_tasks.pop(name, None)
        if monitor_task is not None:
            monitor_task.cancel()
        dealer = self._dealers.pop(name, None)
        if dealer is not None:
            dealer.disable_monitor()
            dealer.close()

    async def probe(self, name: str) -> Reachability:
        """Try to open a TCP connection to a peer; see the base class."""
        peer = self._known_peers.get(name)
        if peer is None:
            return Reachability.SILENT
        ip, _, port = peer.address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(ip, int(port))
        except ConnectionRefusedError:
            return Reachability.REFUSES
        except (OSError, TimeoutError) as exc:
            log.debug(
                "peers: probe of %s failed or timed out; it counts as silent: %s",
                name,
                exc,
            )
            return Reachability.SILENT
        writer.close()
        return Reachability.LISTENS

    def send(self, name: str, msg: Any) -> None:
        """Send a message; see the base class."""
        dealer = self._dealers.get(name)
        if dealer is None:
            peer = self._known_peers.get(name)
            if peer is None:
                self.unsent_count += 1
                return
            dealer = self._connect(peer)
        data = self.codec.encode(msg)
        future = asyncio.ensure_future(dealer.send(data, zmq.NOBLOCK))
        if future.done() and future.exception() is not None:
            self.unsent_count += 1
            return
        future.add_done_callback(self._count_if_unsent)
        self.traffic.count(msg, len(data))

    def _count_if_unsent(self, future: asyncio.Future[Any]) -> None:
        if not future.cancelled() and future.exception() is not None:
            self.unsent_count += 1

    async def close(self) -> None:
        """Cancel the tasks and close all sockets."""
        tasks = [*self._tasks, *self._monitor_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for name in list(self._dealers):
            self._disconnect(name)
        self._router.close()
        self._context.destroy(linger=0)

    async def _receive(self) -> None:
        while True:
            frames = await self._router.recv_multipart()
            peer = frames[0].decode("latin-1")
            data = frames[-1]
            self.traffic.bytes_received += len(data)
            try:
                msg = self.codec.decode(data, peer)
            except ProtocolError as exc:
                self.undecodable_count += 1
                log.warning("peers: dropped a message that cannot be decoded: %s", exc)
                continue
            self._dispatch(peer, msg)

    def _dispatch(self, peer: str, msg: Any) -> None:
        try:
            self.receiver(peer, msg)
        except Exception:
            log.exception(
                "peers: handling a message from %s failed; not repeated", peer
            )

    def _set_keys(self, sock: zmq.asyncio.Socket) -> None:
        sock.curve_publickey = self.cfg.public_key.encode()
        sock.curve_secretkey = self.cfg.secret_key.encode()

    def _start_zap_handler(self) -> None:
        zap = self._context.socket(zmq.REP)
        zap.bind(ZAP_ENDPOINT)
        self._tasks.append(asyncio.create_task(self._authenticate(zap)))

    async def _authenticate(self, zap: zmq.asyncio.Socket) -> None:
        """Reply to ZeroMQ's authentication requests (ZMQ RFC 27): allow known keys."""
        try:
            while True:
                frames = await zap.recv_multipart()
                request, mechanism = frames[1], frames[5]
                key = z85.encode(frames[6]) if len(frames) > 6 else b""
                is_allowed = mechanism == b"CURVE" and key in self._allowed_keys
                status = (b"200", b"OK") if is_allowed else (b"400", b"unknown key")
                await zap.send_multipart([ZAP_VERSION, request, *status, b"", b""])
        finally:
            zap.close()
