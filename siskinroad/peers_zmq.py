"""ZeroMQ transport between daemons, with optional CURVE authentication."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Protocol

import zmq
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
# Length from which a reply goes to its peer by a connection of its own. There it delays
# nothing else, and few are queued: what waits for a small link may take megabytes.
BULK_BYTES = 16 << 10
BULK_QUEUE_MESSAGES = 2
BULK_SEND_BUFFER_BYTES = 256 << 10
# Time without a reply to a ping after which such a connection is closed. A ping waits
# for the messages before it.
BULK_PING_TIMEOUT_MS = 10_000
# What follows the sender's name in the identity of such a connection: a second one of
# the same identity would replace the first.
BULK_SUFFIX = "#bulk"
# Messages read from a socket before other callbacks of the event loop get their turn.
MAX_MESSAGES_PER_READ = 64
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

    A readable socket is read until it is empty, and a message is sent at once or not
    at all: a future for each message would cost more than the message.

    ZeroMQ's own pings detect dead connections, and ZeroMQ reconnects. Messages lost
    with a connection are not sent again here: the sender of a request repeats it if
    no reply arrives.

    Parameters
    ----------
    cfg : TransportSettings
        Name, address and keys of this daemon, and the peers known at startup.
    codec : Codec
        Encoder and decoder of the messages.
    bulk_types : tuple of type
        Types of long messages that go by a connection of their own. Only replies:
        daemons of earlier versions do not know the sender of what comes by it.
    """

    def __init__(
        self,
        cfg: TransportSettings,
        codec: Codec = CELL_CODEC,
        bulk_types: tuple[type, ...] = (),
    ) -> None:
        super().__init__(codec)
        self._bulk_types = bulk_types
        self._bulk_dealers: dict[str, zmq.Socket[bytes]] = {}
        self.cfg = cfg
        self.address = ""
        self.undecodable_count = 0
        self.unsent_count = 0
        self._context = zmq.Context(io_threads=1)
        self._router = self._context.socket(zmq.ROUTER)
        self._known_peers = {peer.name: peer for peer in cfg.peers}
        self._dealers: dict[str, zmq.Socket[bytes]] = {}
        self._readers: dict[zmq.Socket[bytes], _SocketReader] = {}
        self._monitors: dict[str, zmq.Socket[bytes]] = {}
        self._lost_peers: set[str] = set()
        self._allowed_keys = {peer.public_key.encode() for peer in cfg.peers}

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
        self._read(self._router, self._receive)
        return self.address

    def _read(
        self, sock: zmq.Socket[bytes], handler: Callable[[list[bytes]], None]
    ) -> None:
        """Pass each message that arrives on a socket to a handler."""
        self._readers[sock] = _SocketReader(sock, handler)

    def _close_socket(self, sock: zmq.Socket[bytes]) -> None:
        reader = self._readers.pop(sock, None)
        if reader is not None:
            reader.close()
        sock.close()

    def _connect(self, peer: Peer) -> zmq.Socket[bytes]:
        """Connect to a peer; ZeroMQ reconnects whenever the connection is lost.

        Called at the first message to the peer: most daemons in other data centres
        are never sent any, and an idle connection costs memory and pings.
        """
        dealer = self._make_dealer(peer, self.cfg.name)
        dealer.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        dealer.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS)
        monitor = dealer.get_monitor_socket(
            zmq.EVENT_CONNECTED | zmq.EVENT_DISCONNECTED
        )
        self._read(monitor, lambda frames: self._note_event(peer.name, frames))
        self._monitors[peer.name] = monitor
        dealer.connect(f"tcp://{peer.address}")
        self._dealers[peer.name] = dealer
        return dealer

    def _connect_bulk(self, peer: Peer) -> zmq.Socket[bytes]:
        """Connect to a peer for long replies."""
        dealer = self._make_dealer(peer, self.cfg.name + BULK_SUFFIX)
        dealer.setsockopt(zmq.SNDHWM, BULK_QUEUE_MESSAGES)
        dealer.setsockopt(zmq.SNDBUF, BULK_SEND_BUFFER_BYTES)
        dealer.setsockopt(zmq.HEARTBEAT_TIMEOUT, BULK_PING_TIMEOUT_MS)
        dealer.connect(f"tcp://{peer.address}")
        self._bulk_dealers[peer.name] = dealer
        return dealer

    def _make_dealer(self, peer: Peer, identity: str) -> zmq.Socket[bytes]:
        dealer = self._context.socket(zmq.DEALER)
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.setsockopt(zmq.HEARTBEAT_IVL, PING_INTERVAL_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_INTERVAL_MAX_MS)
        dealer.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        dealer.setsockopt_string(zmq.IDENTITY, identity)
        if self.cfg.secret_key:
            self._set_keys(dealer)
            dealer.curve_serverkey = peer.public_key.encode()
        return dealer

    def _note_event(self, name: str, frames: list[bytes]) -> None:
        """Notify the callbacks when the connection to a peer is established or lost."""
        event = parse_monitor_message(frames)["event"]
        if event == zmq.EVENT_CONNECTED:
            self._lost_peers.discard(name)
            self._notify(self.connected, name)
        elif event == zmq.EVENT_DISCONNECTED:
            self._lost_peers.add(name)
            self._notify(self.disconnected, name)

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
        bulk_dealer = self._bulk_dealers.pop(name, None)
        if bulk_dealer is not None:
            bulk_dealer.close()
        dealer = self._dealers.pop(name, None)
        if dealer is None:
            return
        dealer.disable_monitor()
        self._close_socket(self._monitors.pop(name))
        self._close_socket(dealer)

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

    def send_encoded(self, name: str, msg: Any, data: bytes) -> None:
        """Send a message; see the base class."""
        is_bulk = len(data) >= BULK_BYTES and isinstance(msg, self._bulk_types)
        dealer = (self._bulk_dealers if is_bulk else self._dealers).get(name)
        if dealer is None:
            peer = self._known_peers.get(name)
            if peer is None:
                self.unsent_count += 1
                return
            dealer = self._connect_bulk(peer) if is_bulk else self._connect(peer)
        try:
            dealer.send(data, zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            self.unsent_count += 1
            log.debug("peers: message to %s not queued: %s", name, exc)
            return
        self.traffic.count(msg, len(data))

    async def close(self) -> None:
        """Close all sockets."""
        for name in [*self._dealers, *self._bulk_dealers]:
            self._disconnect(name)
        for sock in list(self._readers):
            self._close_socket(sock)
        self._router.close()
        self._context.destroy(linger=0)

    def _receive(self, frames: list[bytes]) -> None:
        peer = frames[0].decode("latin-1").removesuffix(BULK_SUFFIX)
        data = frames[-1]
        self.traffic.bytes_received += len(data)
        try:
            msg = self.codec.decode(data, peer)
        except ProtocolError as exc:
            self.undecodable_count += 1
            log.warning("peers: dropped a message that cannot be decoded: %s", exc)
            return
        self._dispatch(peer, msg)

    def _dispatch(self, peer: str, msg: Any) -> None:
        try:
            self.receiver(peer, msg)
        except Exception:
            log.exception(
                "peers: handling a message from %s failed; not repeated", peer
            )

    def _set_keys(self, sock: zmq.Socket[bytes]) -> None:
        sock.curve_publickey = self.cfg.public_key.encode()
        sock.curve_secretkey = self.cfg.secret_key.encode()

    def _start_zap_handler(self) -> None:
        zap = self._context.socket(zmq.REP)
        zap.bind(ZAP_ENDPOINT)
        self._read(zap, lambda frames: self._authenticate(zap, frames))

    def _authenticate(self, zap: zmq.Socket[bytes], frames: list[bytes]) -> None:
        """Reply to ZeroMQ's authentication request (ZMQ RFC 27): allow known keys."""
        request, mechanism = frames[1], frames[5]
        key = z85.encode(frames[6]) if len(frames) > 6 else b""
        is_allowed = mechanism == b"CURVE" and key in self._allowed_keys
        status = (b"200", b"OK") if is_allowed else (b"400", b"unknown key")
        zap.send_multipart([ZAP_VERSION, request, *status, b"", b""])


class _SocketReader:
    """Reader of a ZeroMQ socket in the event loop.

    The socket's descriptor signals only that something has changed, so a socket is
    read until it is empty.
    """

    def __init__(
        self, sock: zmq.Socket[bytes], handler: Callable[[list[bytes]], None]
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._descriptor = int(sock.getsockopt(zmq.FD))
        self._loop.add_reader(self._descriptor, self._read)
        # What arrived before this reader was added is not signalled again.
        self._next_read: asyncio.Handle | None = self._loop.call_soon(self._read)

    def close(self) -> None:
        """Stop reading; call it before the socket is closed."""
        self._loop.remove_reader(self._descriptor)
        if self._next_read is not None:
            self._next_read.cancel()

    def _read(self) -> None:
        if self._next_read is not None:
            self._next_read.cancel()
            self._next_read = None
        for _ in range(MAX_MESSAGES_PER_READ):
            if self._sock.closed:
                return
            try:
                frames = self._sock.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._handle(frames)
        self._next_read = self._loop.call_soon(self._read)

    def _handle(self, frames: list[bytes]) -> None:
        """Handle a message; an error must not leave the ones behind it unread."""
        try:
            self._handler(frames)
        except Exception:
            log.exception("peers: handling a message failed; it is dropped")
