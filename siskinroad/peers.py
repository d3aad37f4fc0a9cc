"""Links between daemons: the base class and an in-memory network."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from siskinroad import messages
from siskinroad.codec import Codec

__all__ = [
    "CELL_CODEC",
    "MemoryNetwork",
    "MemoryPeers",
    "NetworkFaults",
    "PeerTraffic",
    "Peers",
    "Reach",
]

Receiver = Callable[[str, Any], None]


CELL_CODEC = messages.CODEC


class Reach(StrEnum):
    """What a new connection to a peer meets.

    ``LISTENS``: it is accepted, if perhaps only by the kernel of its host.
    ``REFUSES``: the host is up and nothing listens, so that the process that did
    has ended, unless a cut refuses in its place. ``SILENT``: no answer.
    """

    LISTENS = "listens"
    REFUSES = "refuses"
    SILENT = "silent"


@dataclass(slots=True)
class PeerTraffic:
    """Bytes and messages sent, by kind of message."""

    messages: dict[str, int] = field(default_factory=dict)
    sent: dict[str, int] = field(default_factory=dict)
    received: int = 0

    def count(self, msg: object, size: int) -> None:
        """Count one message sent."""
        kind = type(msg).__name__
        self.messages[kind] = self.messages.get(kind, 0) + 1
        self.sent[kind] = self.sent.get(kind, 0) + size


class Peers(ABC):
    """Sends messages to daemons by name; delivery is not certain.

    Attributes
    ----------
    receiver : callable
        Called with the sender's name and each message that arrives.
    connected, disconnected : callable or None
        Called with the name of a peer to which a connection stands, or has ended.
    """

    def __init__(self, codec: Codec = CELL_CODEC) -> None:
        self.codec = codec
        self.receiver: Receiver = lambda name, msg: None
        self.connected: Callable[[str], None] | None = None
        self.disconnected: Callable[[str], None] | None = None
        self.traffic = PeerTraffic()

    @abstractmethod
    def send(self, name: str, msg: Any) -> None:
        """Send a message if the peer is known; never wait."""

    @abstractmethod
    async def probe(self, name: str) -> Reach:
        """Return what a new connection to a peer meets."""

    @abstractmethod
    async def close(self) -> None:
        """Release all connections."""


@dataclass(slots=True)
class NetworkFaults:
    """Faults of an in-memory network.

    Attributes
    ----------
    cut : set of tuple
        Ordered pairs (from, to) between which nothing passes.
    loss : float
        Probability that a message is lost.
    duplicate : float
        Probability that a message arrives twice.
    jitter : float
        Most seconds by which a message is delayed; messages may overtake.
    """

    cut: set[tuple[str, str]] = field(default_factory=set)
    loss: float = 0.0
    duplicate: float = 0.0
    jitter: float = 0.0


class MemoryNetwork:
    """Delivers messages between daemons of one process on the loop's clock."""

    def __init__(self, rng: random.Random, delay: float = 0.0005) -> None:
        self.rng = rng
        self.delay = delay
        self.faults = NetworkFaults()
        self.nodes: dict[str, MemoryPeers] = {}
        self.paused: dict[str, list[tuple[str, bytes]]] = {}
        # Daemons whose hosts have lost power: no peer is notified of their end.
        self.powered_off: set[str] = set()

    def join(self, name: str, codec: Codec = CELL_CODEC) -> MemoryPeers:
        """Return the link of one daemon, to which the others connect at once."""
        self.nodes[name] = MemoryPeers(self, name, codec)
        for node in self.nodes.values():
            if node.connected is not None and (node.name, name) not in self.faults.cut:
                self._tell(node, node.connected, name)
        return self.nodes[name]

    def _tell(
        self, node: MemoryPeers, callback: Callable[[str], None], name: str
    ) -> None:
        """Call back a daemon about another one, a little later."""
        if node.name != name and not node.closed:
            asyncio.get_running_loop().call_later(self.delay, callback, name)

    def post(self, sender: str, name: str, data: bytes) -> None:
        """Deliver bytes later, unless a fault says otherwise."""
        faults = self.faults
        if (sender, name) in faults.cut or self.rng.random() < faults.loss:
            return
        copies = 2 if self.rng.random() < faults.duplicate else 1
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            delay = self.delay + self.rng.random() * faults.jitter
            loop.call_later(delay, self._deliver, sender, name, data)

    def _deliver(self, sender: str, name: str, data: bytes) -> None:
        if name in self.paused:
            self.paused[name].append((sender, data))
            return
        node = self.nodes.get(name)
        if node is not None and not node.closed:
            node.traffic.received += len(data)
            node.receiver(sender, node.codec.decode(data, sender))

    def ended(self, name: str) -> None:
        """Tell the other daemons that the connections of one have ended."""
        for node in self.nodes.values():
            apart = (name, node.name) in self.faults.cut or name in self.powered_off
            if node.disconnected is not None and not apart:
                self._tell(node, node.disconnected, name)

    def pause(self, name: str) -> None:
        """Hold what arrives for a daemon, as while its process is stopped."""
        self.paused.setdefault(name, [])

    def resume(self, name: str) -> None:
        """Deliver what was held."""
        for sender, data in self.paused.pop(name, []):
            self._deliver(sender, name, data)


class MemoryPeers(Peers):
    """One daemon's link to a ``MemoryNetwork``."""

    def __init__(
        self, network: MemoryNetwork, name: str, codec: Codec = CELL_CODEC
    ) -> None:
        super().__init__(codec)
        self.network = network
        self.name = name
        self.closed = False

    def send(self, name: str, msg: Any) -> None:
        """Send a message; see the base class."""
        if self.closed:
            return
        data = self.codec.encode(msg)
        self.traffic.count(msg, len(data))
        self.network.post(self.name, name, data)

    async def probe(self, name: str) -> Reach:
        """Return whether a peer's link is open; see the base class."""
        await asyncio.sleep(2 * self.network.delay)
        cut = self.network.faults.cut
        node = self.network.nodes.get(name)
        apart = (self.name, name) in cut or (name, self.name) in cut
        if node is None or apart or name in self.network.powered_off:
            return Reach.SILENT
        return Reach.REFUSES if node.closed else Reach.LISTENS

    async def close(self) -> None:
        """Send and receive nothing any more."""
        self.closed = True
        self.network.ended(self.name)
