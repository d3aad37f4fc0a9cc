"""Links between daemons over pyzmq, with CURVE keys where they are set."""

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
from siskinroad.peers import CELL_CODEC, Peers, Reach
from siskinroad.settings import Peer

__all__ = ["LinkSettings", "ZmqPeers", "new_keys"]

ZAP_ENDPOINT = "inproc://zeromq.zap.01"
ZAP_VERSION = b"1.0"
PING_MS = 1000
PING_TIMEOUT_MS = 3000
# Milliseconds for one attempt to connect: after a cut has healed, the next attempt
# comes sooner than the kernel sends the opening packet of the last one again.
CONNECT_MS = 500
RECONNECT_MS = 100
RECONNECT_MAX_MS = 400
# Seconds for one attempt to reach a peer whose connection has ended: a way
# between regions and back, and a busy moment.
PROBE_TIME = 0.3
SEND_QUEUE = 2000
MAX_MESSAGE_BYTES = 32 << 20

log = logging.getLogger("siskinroad.peers")


class LinkSettings(Protocol):
    """Own name, address and keys, and the peers known at the start."""

    @property
    def name(self) -> str:
        """Own name."""

    @property
    def peer_address(self) -> str:
        """Address to listen on."""

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Peers known at the start."""

    @property
    def public_key(self) -> str:
        """Own public key, or empty."""

    @property
    def secret_key(self) -> str:
        """Own secret key, or empty."""


def new_keys() -> tuple[str, str]:
    """Return a new public and secret key, in Z85."""
    public, secret = zmq.curve_keypair()
    return public.decode(), secret.decode()


class ZmqPeers(Peers):
    """A ROUTER socket for what arrives, a DEALER socket for each peer.

    The library's own pings find connections that went silent and open new
    ones; a message lost with one is sent again by whoever waits for its answer.

    Parameters
    ----------
    cfg : LinkSettings
        Own address, keys, and the peers known at the start.
    codec : Codec
        The protocol spoken.
    """

    def __init__(self, cfg: LinkSettings, codec: Codec = CELL_CODEC) -> None:
        super().__init__(codec)
        self.cfg = cfg
        self.address = ""
        self.undecodable = 0
        self.unsent = 0
        self._ctx = zmq.asyncio.Context(io_threads=1)
        self._router = self._ctx.socket(zmq.ROUTER)
        self._known = {peer.name: peer for peer in cfg.peers}
        self._dealers: dict[str, zmq.asyncio.Socket] = {}
        self._watches: dict[str, asyncio.Task[None]] = {}
        self._broken: set[str] = set()
        self._allowed = {peer.public_key.encode() for peer in cfg.peers}
        self._tasks: list[asyncio.Task[None]] = []

    def open(self) -> str:
        """Listen; return the address listened on."""
        if self.cfg.secret_key:
            self._open_zap()
            self._router.curve_server = True
            self._set_keys(self._router)
        self._router.setsockopt(zmq.LINGER, 0)
        # A peer that connects again under its name replaces its old connection,
        # which may be lost without either end having been told.
        self._router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._router.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._router.bind(f"tcp://{self.cfg.peer_address}")
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix("tcp://")
        self._tasks.append(asyncio.create_task(self._receive()))
        return self.address

    def _connect(self, peer: Peer) -> zmq.asyncio.Socket:
        """Connect to a peer; the library connects again whenever it is lost.

        This is done at the first message, since most daemons of other data
        centres are never sent any, and an idle connection costs memory and pings.
        """
        sock = self._ctx.socket(zmq.DEALER)
        sock.setsockopt(zmq.LINGER, 0)
        sock.setsockopt(zmq.SNDHWM, SEND_QUEUE)
        sock.setsockopt(zmq.HEARTBEAT_IVL, PING_MS)
        sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS)
        sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        sock.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_MS)
        sock.setsockopt_string(zmq.IDENTITY, self.cfg.name)
        if self.cfg.secret_key:
            self._set_keys(sock)
            sock.curve_serverkey = peer.public_key.encode()
        monitor = sock.get_monitor_socket(zmq.EVENT_CONNECTED | zmq.EVENT_DISCONNECTED)
        sock.connect(f"tcp://{peer.address}")
        self._dealers[peer.name] = sock
        watch = asyncio.create_task(self._watch(peer.name, monitor))
        self._watches[peer.name] = watch
        return sock

    async def _watch(self, name: str, monitor: zmq.asyncio.Socket) -> None:
        """Follow whether the connection to a peer stands."""
        try:
            while True:
                event = parse_monitor_message(await monitor.recv_multipart())
                if event["event"] == zmq.EVENT_CONNECTED:
                    self._broken.discard(name)
                    self._call(self.connected, name)
                elif event["event"] == zmq.EVENT_DISCONNECTED:
                    self._broken.add(name)
                    self._call(self.disconnected, name)
        finally:
            monitor.close()

    @staticmethod
    def _call(callback: Callable[[str], None] | None, name: str) -> None:
        if callback is not None:
            callback(name)

    def add_peer(self, peer: Peer) -> None:
        """Register a peer, its new address or its new incarnation.

        A broken connection is opened again at once: the library's own pause between
        two attempts has grown while the peer was unreachable.
        """
        known = self._known.get(peer.name)
        self._known[peer.name] = peer
        moved = known is not None and known.address != peer.address
        if moved or peer.name in self._broken:
            self._disconnect(peer.name)

    def _disconnect(self, name: str) -> None:
        self._broken.discard(name)
        watch = self._watches.pop(name, None)
        if watch is not None:
            watch.cancel()
        sock = self._dealers.pop(name, None)
        if sock is not None:
            sock.disable_monitor()
            sock.close()

    async def probe(self, name: str) -> Reach:
        """Return what a new connection to a peer meets; see the base class."""
        peer = self._known.get(name)
        if peer is None:
            return Reach.SILENT
        ip, _, port = peer.address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_TIME):
                _, writer = await asyncio.open_connection(ip, int(port))
        except ConnectionRefusedError:
            return Reach.REFUSES
        except (OSError, TimeoutError) as exc:
            log.debug("peers: %s is not reached: %s", name, exc)
            return Reach.SILENT
        writer.close()
        return Reach.LISTENS

    def send(self, name: str, msg: Any) -> None:
        """Send a message; see the base class."""
        sock = self._dealers.get(name)
        if sock is None:
            peer = self._known.get(name)
            if peer is None:
                self.unsent += 1
                return
            sock = self._connect(peer)
        data = self.codec.encode(msg)
        fut = asyncio.ensure_future(sock.send(data, zmq.NOBLOCK))
        if fut.done() and fut.exception() is not None:
            self.unsent += 1
            return
        fut.add_done_callback(self._sent)
        self.traffic.count(msg, len(data))

    def _sent(self, fut: asyncio.Future[Any]) -> None:
        if not fut.cancelled() and fut.exception() is not None:
            self.unsent += 1

    async def close(self) -> None:
        """Close every socket."""
        tasks = [*self._tasks, *self._watches.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for name in list(self._dealers):
            self._disconnect(name)
        self._router.close()
        self._ctx.destroy(linger=0)

    async def _receive(self) -> None:
        while True:
            frames = await self._router.recv_multipart()
            peer = frames[0].decode("latin-1")
            data = frames[-1]
            self.traffic.received += len(data)
            try:
                msg = self.codec.decode(data, peer)
            except ProtocolError as exc:
                self.undecodable += 1
                log.warning("peers: message dropped: %s", exc)
                continue
            self._dispatch(peer, msg)

    def _dispatch(self, peer: str, msg: Any) -> None:
        try:
            self.receiver(peer, msg)
        except Exception:
            log.exception("peers: message from %s failed", peer)

    def _set_keys(self, sock: zmq.asyncio.Socket) -> None:
        sock.curve_publickey = self.cfg.public_key.encode()
        sock.curve_secretkey = self.cfg.secret_key.encode()

    def _open_zap(self) -> None:
        zap = self._ctx.socket(zmq.REP)
        zap.bind(ZAP_ENDPOINT)
        self._tasks.append(asyncio.create_task(self._authenticate(zap)))

    async def _authenticate(self, zap: zmq.asyncio.Socket) -> None:
        """Answer the library's questions which keys may connect (ZMQ RFC 27)."""
        try:
            while True:
                frames = await zap.recv_multipart()
                request, mechanism = frames[1], frames[5]
                key = z85.encode(frames[6]) if len(frames) > 6 else b""
                good = mechanism == b"CURVE" and key in self._allowed
                status = (b"200", b"OK") if good else (b"400", b"unknown key")
                await zap.send_multipart([ZAP_VERSION, request, *status, b"", b""])
        finally:
            zap.close()
