"""Message transport between daemons: the base class and an in-memory network."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from siskinroad import messages
from siskinroad.codec import Codec

__all__ = [
    "CELL_CODEC",
    "MemoryNetwork",
    "MemoryTransport",
    "NetworkFaults",
    "PeerTraffic",
    "PeerTransport",
    "Reachability",
    "get_metric_kind",
]

Receiver = Callable[[str, Any], None]


CELL_CODEC = messages.CODEC


class Reachability(StrEnum):
    """Result of an attempt to open a new connection to a peer.

    ``LISTENS``: the connection was accepted, possibly only by the kernel of the
    peer's host. ``REFUSES``: the connection was refused. The host is up and its
    daemon has ended, unless a network device refuses connections during a partition.
    ``SILENT``: there was no reply.
    """

    LISTENS = "listens"
    REFUSES = "refuses"
    SILENT = "silent"


def get_metric_kind(message_type: type) -> str:
    """Return the metric label of a message type.

    It is the attribute ``METRIC_KIND`` where a class keeps the label of an earlier
    name, and the name of the class elsewhere.
    """
    return getattr(message_type, "METRIC_KIND", message_type.__name__)


@dataclass(slots=True)
class PeerTraffic:
    """Counters of the messages and bytes sent and the bytes received.

    Attributes
    ----------
    messages_sent : dict
        Messages sent, by message type.
    bytes_sent : dict
        Bytes sent, by message type.
    bytes_received : int
        Bytes received.
    """

    messages_sent: dict[str, int] = field(default_factory=dict)
    bytes_sent: dict[str, int] = field(default_factory=dict)
    bytes_received: int = 0

    def count(self, msg: object, size: int) -> None:
        """Count one sent message of ``size`` bytes."""
        kind = get_metric_kind(type(msg))
        self.messages_sent[kind] = self.messages_sent.get(kind, 0) + 1
        self.bytes_sent[kind] = self.bytes_sent.get(kind, 0) + size


class PeerTransport(ABC):
    """Base class of transports that send messages to daemons by name.

    Delivery is not guaranteed.

    Attributes
    ----------
    receiver : callable
        Called with the sender's name and the message for each message received.
    connected, disconnected : callable or None
        Called with the peer's name when a connection to it is established or lost.
    """

    def __init__(self, codec: Codec = CELL_CODEC) -> None:
        self.codec = codec
        self.receiver: Receiver = lambda name, msg: None
        self.connected: Callable[[str], None] | None = None
        self.disconnected: Callable[[str], None] | None = None
        self.traffic = PeerTraffic()

    def send(self, name: str, msg: Any) -> None:
        """Send a message without blocking; drop it if the peer is unknown."""
        self.send_encoded(name, msg, self.codec.encode(msg))

    def send_to_all(self, names: Iterable[str], msg: Any) -> None:
        """Send one message to several peers; it is encoded once."""
        data = self.codec.encode(msg)
        for name in names:
            self.send_encoded(name, msg, data)

    @abstractmethod
    def send_encoded(self, name: str, msg: Any, data: bytes) -> None:
        """Send a message that is encoded as ``data``."""

    @abstractmethod
    async def probe(self, name: str) -> Reachability:
        """Try to open a new connection to a peer and return the result."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


@dataclass(slots=True)
class NetworkFaults:
    """Faults injected into an in-memory network.

    Attributes
    ----------
    cut : set of tuple
        Ordered pairs (sender, receiver) between which no message is delivered.
    loss : float
        Probability that a message is lost.
    duplicate : float
        Probability that a message is delivered twice.
    jitter : float
        Maximum additional delay of a message, in seconds; messages may be reordered.
    """

    cut: set[tuple[str, str]] = field(default_factory=set)
    loss: float = 0.0
    duplicate: float = 0.0
    jitter: float = 0.0


class MemoryNetwork:
    """Network between the daemons of one process, timed by the event loop's clock.

    Parameters
    ----------
    delay : float
        One-way delay of a message, in seconds.
    """

    def __init__(self, rng: random.Random, delay: float = 0.0005) -> None:
        self.rng = rng
        self.delay = delay
        self.faults = NetworkFaults()
        self.nodes: dict[str, MemoryTransport] = {}
        self.paused: dict[str, list[tuple[str, bytes]]] = {}
        # Daemons on hosts without power: their peers are not notified of lost
        # connections.
        self.powered_off: set[str] = set()

    def join(self, name: str, codec: Codec = CELL_CODEC) -> MemoryTransport:
        """Add a daemon, notify the others and return its transport."""
        self.nodes[name] = MemoryTransport(self, name, codec)
        for node in self.nodes.values():
            if node.connected is not None and (node.name, name) not in self.faults.cut:
                self._schedule_callback(node, node.connected, name)
        return self.nodes[name]

    def _schedule_callback(
        self, node: MemoryTransport, callback: Callable[[str], None], name: str
    ) -> None:
        """Schedule a node's callback about another daemon after the network delay."""
        if node.name != name and not node.closed:
            asyncio.get_running_loop().call_later(self.delay, callback, name)

    def schedule_delivery(self, sender: str, name: str, data: bytes) -> None:
        """Schedule the delivery of a message, subject to the injected faults."""
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
            node.traffic.bytes_received += len(data)
            node.receiver(sender, node.codec.decode(data, sender))

    def notify_disconnected(self, name: str) -> None:
        """Notify the other daemons that they lost the connection to this one."""
        for node in self.nodes.values():
            is_cut_off = (
                name,
                node.name,
            ) in self.faults.cut or name in self.powered_off
            if node.disconnected is not None and not is_cut_off:
                self._schedule_callback(node, node.disconnected, name)

    def pause(self, name: str) -> None:
        """Buffer messages to a daemon, as the kernel does for a stopped process."""
        self.paused.setdefault(name, [])

    def resume(self, name: str) -> None:
        """Deliver the messages buffered since ``pause``."""
        for sender, data in self.paused.pop(name, []):
            self._deliver(sender, name, data)


class MemoryTransport(PeerTransport):
    """One daemon's transport on a ``MemoryNetwork``."""

    def __init__(
        self, network: MemoryNetwork, name: str, codec: Codec = CELL_CODEC
    ) -> None:
        super().__init__(codec)
        self.network = network
        self.name = name
        self.closed = False

    def send_encoded(self, name: str, msg: Any, data: bytes) -> None:
        """Send a message; see the base class."""
        if self.closed:
            return
        self.traffic.count(msg, len(data))
        self.network.schedule_delivery(self.name, name, data)

    async def probe(self, name: str) -> Reachability:
        """Return the reachability of a peer; see the base class."""
        await asyncio.sleep(2 * self.network.delay)
        cut = self.network.faults.cut
        node = self.network.nodes.get(name)
        is_cut_off = (self.name, name) in cut or (name, self.name) in cut
        if node is None or is_cut_off or name in self.network.powered_off:
            return Reachability.SILENT
        return Reachability.REFUSES if node.closed else Reachability.LISTENS

    async def close(self) -> None:
        """Stop sending and receiving, and notify the peers."""
        self.closed = True
        self.network.notify_disconnected(self.name)
