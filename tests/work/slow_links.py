"""Links of limited rate between the daemons of a test cell, and to their store.

Each daemon has one link, which carries what it sends and, separately, what it receives.
The connections that use a link take turns, a window of bytes each; the bytes of one
connection arrive in order. So a short message is late by what others of its connection
have before it, and by one window for each other busy connection.
"""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field

from siskinroad.peers import MemoryNetwork
from siskinroad.work.arriving_reads import ArrivingReads
from siskinroad.work.store import ReadResult, Record, StoreUnknownError
from siskinroad.work.store_memory import MemoryStore

# Bytes that a connection sends before the next one has its turn.
WINDOW_BYTES = 16_384
# Rates of links in bytes a second: 200, 10 and 2 Mbit/s.
LARGE_LINK = 25_000_000
SMALL_LINK = 1_250_000
SMALLEST_LINK = 250_000
# Bytes that a message, and each record of an answer, takes beside its content.
MESSAGE_BYTES = 64


@dataclass(slots=True, eq=False)
class Transfer:
    """Bytes of one message that a link has still to carry.

    Attributes
    ----------
    arrived : asyncio.Future
        Done once all bytes were carried.
    """

    left: int
    arrived: asyncio.Future = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def abort(self):
        """Carry no more of the bytes, as when a connection is closed."""
        self.left = 0


class Link:
    """One direction of a daemon's link.

    Attributes
    ----------
    carried_bytes : int
        All bytes that were carried, whether or not anyone waited for them.
    """

    def __init__(self, rate):
        self.rate = rate
        self.carried_bytes = 0
        self._is_busy = False
        # Transfers of each busy connection; the first connection has the next turn.
        self._connections = {}

    def carry(self, connection, size):
        """Queue the bytes of a message after those of the same connection."""
        transfer = Transfer(size + MESSAGE_BYTES)
        self._connections.setdefault(connection, deque()).append(transfer)
        if not self._is_busy:
            self._serve_next()
        return transfer

    @property
    def queued_bytes(self):
        """Bytes that wait for their turn, or are being carried."""
        queues = self._connections.values()
        return sum(transfer.left for queue in queues for transfer in queue)

    def _serve_next(self):
        self._is_busy = bool(self._connections)
        if not self._is_busy:
            return
        connection = next(iter(self._connections))
        size = min(WINDOW_BYTES, self._connections[connection][0].left)
        loop = asyncio.get_running_loop()
        loop.call_later(size / self.rate, self._end_window, connection, size)

    def _end_window(self, connection, size):
        transfers = self._connections.pop(connection)
        transfer = transfers[0]
        self.carried_bytes += size
        transfer.left = max(0, transfer.left - size)
        if transfer.left == 0:
            transfers.popleft()
            if not transfer.arrived.done():
                transfer.arrived.set_result(None)
        if transfers:
            # It is the last one in turn from now on.
            self._connections[connection] = transfers
        self._serve_next()


class SlowLinks:
    """The links of a cell's daemons.

    Parameters
    ----------
    rates : dict of str to float
        Bytes a second of the daemons' links; ``default_rate`` for all others.
    """

    def __init__(self, rates, default_rate=LARGE_LINK):
        self.rates = rates
        self.default_rate = default_rate
        self._links = {}

    def sending(self, name):
        return self._find(name, "sending")

    def receiving(self, name):
        return self._find(name, "receiving")

    def _find(self, name, direction):
        rate = self.rates.get(name, self.default_rate)
        return self._links.setdefault((name, direction), Link(rate))


class LinkedNetwork(MemoryNetwork):
    """Network whose messages pass the link of the sender, then that of the receiver."""

    def __init__(self, links, rng, delay=0.0005):
        super().__init__(rng, delay)
        self.links = links

    def schedule_delivery(self, sender, name, data):
        transfer = self.links.sending(sender).carry(("peer", name), len(data))
        send = super().schedule_delivery
        transfer.arrived.add_done_callback(lambda _: send(sender, name, data))

    def _deliver(self, sender, name, data):
        transfer = self.links.receiving(name).carry(("peer", sender), len(data))
        deliver = super()._deliver
        transfer.arrived.add_done_callback(lambda _: deliver(sender, name, data))


class LinkedStore(MemoryStore):
    """A daemon's store, whose answers arrive over its link, each on a connection.

    Reads bring pages. An append that has not been answered within its time limit fails,
    and so does a read whose answer stands still, or is not whole after 15 s; its
    connection is closed.
    """

    def __init__(self, links, logs, client):
        super().__init__(logs, client)
        self.links = links
        self.reads = ArrivingReads()

    def is_arriving(self, topic=None):
        return self.reads.is_arriving(topic)

    def watch_arrivals(self, on_received):
        self.reads.on_received = on_received

    async def probe(self, topic, *, timeout=1.0):
        await super().read(topic, self.logs.topic(topic).end, wait=0.0, timeout=timeout)
        await self._receive(topic, [Record("k", bytes(1024))], timeout)

    async def append(self, topic, records, *, at=None, fence=None, timeout=1.0):
        size = sum(count_bytes(record) for record in records)
        await self._carry(self.links.sending(self.client), size, timeout)
        return await super().append(topic, records, at=at, fence=fence, timeout=timeout)

    async def read(self, topic, start, *, wait, timeout=1.0):
        result = await super().read(topic, start, wait=wait, timeout=timeout)
        records = take_page(result.records)
        await self._receive(topic, records, timeout - wait)
        return ReadResult(start, records, result.end)

    async def newest(self, topic, after="", *, timeout=1.0):
        page = await super().newest(topic, after, timeout=timeout)
        await self._receive(topic, page.items, timeout)
        return page

    async def _receive(self, topic, records, timeout):
        """Receive an answer, which is given up once it stands still."""
        loop = asyncio.get_running_loop()
        size = sum(count_bytes(record) for record in records)
        sent_at = loop.time()
        deadline = sent_at + timeout
        transfer = self.links.receiving(self.client).carry(object(), size)
        left = transfer.left
        try:
            with self.reads.track(topic, timeout) as arrival:
                while not transfer.arrived.done():
                    await asyncio.wait({transfer.arrived}, timeout=0.02)
                    if transfer.left < left:
                        left = transfer.left
                        arrival.note_received(loop.time())
                    if loop.time() > max(deadline, arrival.find_deadline(sent_at)):
                        raise StoreUnknownError("no answer in time", step="store")
        finally:
            transfer.abort()

    async def _carry(self, link, size, timeout):
        transfer = link.carry(object(), size)
        try:
            async with asyncio.timeout(timeout):
                await asyncio.shield(transfer.arrived)
        except TimeoutError:
            raise StoreUnknownError("no answer in time", step="store") from None
        finally:
            transfer.abort()


def take_page(records):
    """Return the first records that a page holds, one at least."""
    page, size = [], 0
    for record in records:
        size += count_bytes(record)
        if page and size > 131_072:
            break
        page.append(record)
    return tuple(page)


def count_bytes(record):
    """Return the bytes that a record takes in an answer."""
    return len(record.key) + len(record.value) + MESSAGE_BYTES


def use_slow_links(cell, rates, seed=1, default_rate=LARGE_LINK):
    """Give the daemons of a cell links, before any of them starts."""
    links = SlowLinks(rates, default_rate)
    cell.network = LinkedNetwork(links, random.Random(seed))
    cell.open_store = lambda logs, name: LinkedStore(links, logs, name)
    return links
