"""Cost of membership: messages, bytes and processor time of one daemon a second.

    python -m bench.membership [SIZES]

Simulates cells of several sizes, with six data centres and two owners, over the real
choice of recipients, digests and codec, and measures the cost of a message through
ZeroMQ on loopback beside it. Prints a line per size for the mean daemon that owns
nothing.
"""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import dataclass

from siskinroad.cluster import free_addresses
from siskinroad.peers_zmq import ZmqTransport
from siskinroad.settings import Peer, Settings
from siskinroad.work import messages
from siskinroad.work.heartbeat_routes import DIGEST_INTERVAL, HeartbeatRoutes
from siskinroad.work.members import (
    HEARTBEAT_INTERVAL,
    OWNER_HEARTBEAT_INTERVAL,
    Members,
)
from siskinroad.work.messages import Digest, Heartbeat, Hello
from siskinroad.work.records import Member

SIZES = (8, 39, 97, 300, 1000)
DATA_CENTRES = 6
OWNERS = 2
# Simulated seconds before the measurement, and of the measurement.
WARM_UP_S = 3.0
MEASURED_S = 6.0
TICK_S = 0.1
ZMQ_MESSAGES = 20000


@dataclass
class Traffic:
    """What one daemon sent and received, and the processor time that it took."""

    sent: int = 0
    received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    processor_s: float = 0.0


class Node:
    """One daemon of the simulated cell."""

    def __init__(self, number: int) -> None:
        name = f"entry-{number % DATA_CENTRES}-{number}"
        data_centre = f"dc{number % DATA_CENTRES}"
        self.member = Member(name, 1, f"10.0.0.{number}:7380", data_centre, "r")
        self.members = Members(name, 1)
        self.routes = HeartbeatRoutes(self.member, self.members)
        self.owned = ((f"pool-{number}", 1),) if number < OWNERS else ()
        self.traffic = Traffic()
        # Timers of real daemons are not in step.
        self.offset = number

    def make_heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""
        return Heartbeat(
            self.member.node,
            1,
            self.owned,
            0.1,
            False,
            True,
            processor=1.0,
            aggregators=self.routes.aggregators,
        )

    def receive(self, data: bytes, now: float) -> None:
        """Receive one message."""
        began = time.process_time()
        msg = messages.decode(data)
        if isinstance(msg, Heartbeat):
            self.routes.note_heartbeat(msg, now)
            self.members.record_heartbeat(msg, now)
        elif isinstance(msg, Digest):
            self.routes.apply_digest(msg, now)
        self.traffic.processor_s += time.process_time() - began
        self.traffic.received += 1
        self.traffic.bytes_received += len(data)

    def send(self, tick: int, now: float) -> list[tuple[str, bytes]]:
        """Return the messages that are due, each with its recipient."""
        began = time.process_time()
        interval = OWNER_HEARTBEAT_INTERVAL if self.owned else HEARTBEAT_INTERVAL
        due: list[tuple[str, bytes]] = []
        if (tick + self.offset) % round(interval / TICK_S) == 0:
            self.routes.choose_aggregators(now)
            heartbeat = self.make_heartbeat()
            data = messages.encode(heartbeat)
            recipients = self.routes.list_recipients(heartbeat, now)
            due += [(node, data) for node in recipients]
        if (tick + self.offset) % round(DIGEST_INTERVAL / TICK_S) == 0:
            for nodes, digest in self.routes.make_digests(now):
                data = messages.encode(digest)
                due += [(node, data) for node in nodes]
        self.traffic.processor_s += time.process_time() - began
        self.traffic.sent += len(due)
        self.traffic.bytes_sent += sum(len(data) for _, data in due)
        return due


def simulate(size: int) -> list[Node]:
    """Return the daemons of a cell after the measured time."""
    nodes = {node.member.node: node for node in map(Node, range(size))}
    for node in nodes.values():
        for other in nodes.values():
            if other is not node:
                node.members.add_member(other.member)
    warm_up_ticks = round(WARM_UP_S / TICK_S)
    for tick in range(warm_up_ticks + round(MEASURED_S / TICK_S)):
        if tick == warm_up_ticks:
            for node in nodes.values():
                node.traffic = Traffic()
        now = 100.0 + tick * TICK_S
        in_flight = [item for node in nodes.values() for item in node.send(tick, now)]
        for name, data in in_flight:
            nodes[name].receive(data, now)
    return list(nodes.values())


async def measure_zmq_message_s() -> float:
    """Return the processor seconds to send and receive one small ZeroMQ message."""
    addresses = free_addresses(2)
    peers = [Peer(n, a, "d", "r") for n, a in zip("ab", addresses, strict=True)]
    a, b = (
        ZmqTransport(
            Settings(p.name, "d", "r", peer_address=p.address, peers=tuple(peers)),
            messages.CODEC,
        )
        for p in peers
    )
    received = 0

    def count(name: str, msg: object) -> None:
        nonlocal received
        received += 1

    b.receiver = count
    a.open()
    b.open()
    msg = Hello("a", 1, "address", "data centre", "region")
    while not received:
        a.send("b", msg)
        await asyncio.sleep(0.01)
    received = 0
    began = time.process_time()
    for _ in range(ZMQ_MESSAGES):
        a.send("b", msg)
        # One message at a time, as heartbeats arrive.
        await asyncio.sleep(0)
    while received < ZMQ_MESSAGES * 0.99:
        await asyncio.sleep(0.001)
    used = time.process_time() - began
    await a.close()
    await b.close()
    return used / ZMQ_MESSAGES


def main() -> None:
    """Print the cost for each size."""
    sizes = [int(arg) for arg in sys.argv[1:]] or SIZES
    zmq_s = asyncio.run(measure_zmq_message_s())
    print(f"one ZeroMQ message, sent and received: {zmq_s * 1e6:.0f} us")
    print("daemons  sent/s  received/s  kB sent/s  kB received/s  core")
    for size in sizes:
        idle = [node.traffic for node in simulate(size) if not node.owned]
        count = len(idle) * MEASURED_S
        sent = sum(t.sent for t in idle) / count
        received = sum(t.received for t in idle) / count
        sent_kb = sum(t.bytes_sent for t in idle) / count / 1000
        received_kb = sum(t.bytes_received for t in idle) / count / 1000
        core = sum(t.processor_s for t in idle) / count
        core += (sent + received) / 2 * zmq_s
        print(
            f"{size:7}  {sent:6.1f}  {received:10.1f}  {sent_kb:9.2f}"
            f"  {received_kb:13.2f}  {core:.4f}"
        )


if __name__ == "__main__":
    main()
