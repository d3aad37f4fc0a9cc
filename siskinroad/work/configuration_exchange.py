"""Exchange of the newest configuration between the daemons of a cell.

Each heartbeat and digest names the version that its sender has in force. A daemon that
hears of a newer one than its own gets it from the sender: its own reads of the store
may hang, be rejected, or find the store silent.

The record comes in parts, since a link may take seconds for a large one. The first part
is short and tells the size. As requests and replies may be lost, it is requested again
soon, from all that have a newer version by turns, until one has sent it or none has
been heard from for as long as they count as alive. The other parts are requested one
after the other from the peer that sent the last one; from the next peer if none arrives
in time. A part that arrives later is taken all the same.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from siskinroad.errors import SiskinroadError
from siskinroad.work.configuration_parts import (
    FIRST_PART_BYTES,
    PART_BYTES,
    PartSource,
    Transfer,
)
from siskinroad.work.configuration_reader import ConfigurationReader
from siskinroad.work.members import HEARTBEAT_TIMEOUT
from siskinroad.work.messages import ConfigurationReply, ConfigurationRequest
from siskinroad.work.peer_calls import PeerCalls
from siskinroad.work.store import Record

__all__ = ["ConfigurationExchange"]

# Seconds that the daemon's own read has to bring a version which a peer has in force,
# and between two looks whether requests are to go on.
OWN_READ_TIME = 0.1
# Seconds for which a reply is taken, whether or not the part was requested again.
REPLY_TIMEOUT = 6.0
# Least and most seconds between two requests for a first part, and bytes of replies
# that they may ask for in a second.
MIN_REQUEST_INTERVAL = 0.2
MAX_REQUEST_INTERVAL = 0.7
REQUESTED_BYTES_PER_S = 20_000
# Least seconds after which a part is requested again, the most that losses make of it,
# and how many times as long as earlier parts a part may take, up to a longest time.
MIN_PART_TIME = 0.5
MAX_PAUSE_AFTER_LOSSES = 1.5
PART_TIME_FACTOR = 4.0
MAX_PART_TIME = 3.0
# Seconds until a version that could not be decoded here is requested again: a peer of a
# later release may have it in force for long.
UNDECODABLE_PAUSE = 5.0
# Seconds between two log lines about requests without a reply.
LOSS_LOG_INTERVAL = 2.0

log = logging.getLogger("siskinroad.configuration")


@dataclass(slots=True)
class _NewerVersion:
    """A newer version that a peer has in force.

    Attributes
    ----------
    heard_at : float
        Loop time at which the peer last named it.
    asked_at : float
        Loop time at which the peer was last asked for it.
    """

    number: int
    heard_at: float
    asked_at: float = -1e9


class _PartTimes:
    """Times that parts take on this daemon's link, and losses in a row."""

    def __init__(self) -> None:
        self._slowest_s = 0.0
        self._losses = 0

    def note_part(self, seconds: float) -> None:
        """Note a part that has arrived; earlier ones count for less and less."""
        self._slowest_s = max(seconds, self._slowest_s / 2)
        self._losses = 0

    def note_loss(self) -> None:
        """Note that no part has arrived in time."""
        self._losses += 1

    def limit_s(self) -> float:
        """Return the seconds after which a part is requested again."""
        expected_s = min(MAX_PART_TIME, PART_TIME_FACTOR * self._slowest_s)
        limit_s = max(MIN_PART_TIME, expected_s)
        most_s = max(MAX_PAUSE_AFTER_LOSSES, limit_s)
        return min(most_s, limit_s * (1 + self._losses))


class ConfigurationExchange:
    """Requester of newer versions from the peers that have them in force.

    Parameters
    ----------
    reader : ConfigurationReader
        This daemon's configuration.
    """

    def __init__(self, reader: ConfigurationReader, peer_calls: PeerCalls) -> None:
        self._reader = reader
        self._peer_calls = peer_calls
        self._source = PartSource()
        self._versions: dict[str, _NewerVersion] = {}
        self._is_outdated = asyncio.Event()
        self._has_progressed = asyncio.Event()
        self._requests: set[asyncio.Task[None]] = set()
        self._transfer: Transfer | None = None
        self._part_times = _PartTimes()
        self._losses = 0
        self._losses_logged_at = -1e9
        self._paused_until = -1e9

    def note_version(self, peer: str, version: int) -> None:
        """Note the version that a peer has in force."""
        if version <= self._reader.version:
            self._versions.pop(peer, None)
            return
        now = asyncio.get_running_loop().time()
        newer = self._versions.setdefault(peer, _NewerVersion(version, now))
        newer.number, newer.heard_at = version, now
        self._is_outdated.set()

    async def run(self) -> None:
        """Request newer versions until cancelled."""
        try:
            while True:
                await self._is_outdated.wait()
                await asyncio.sleep(OWN_READ_TIME)
                while (peer := self._choose_peer()) is not None:
                    await self._make_step(peer)
                self._is_outdated.clear()
        finally:
            for request in self._requests:
                request.cancel()

    async def _make_step(self, peer: str) -> None:
        """Request the next part, and wait until it arrives or is late."""
        now = asyncio.get_running_loop().time()
        if now < self._paused_until:
            await asyncio.sleep(OWN_READ_TIME)
            return
        transfer = self._transfer
        self._has_progressed.clear()
        if transfer is None:
            self._start_request(peer, self._versions[peer].number, 0, FIRST_PART_BYTES)
            await self._wait_for_progress(self._find_request_interval())
            return
        start = len(transfer.value)
        self._start_request(peer, transfer.version, start, PART_BYTES)
        if not await self._wait_for_progress(self._part_times.limit_s()):
            self._part_times.note_loss()
            transfer.lost_parts += 1
            transfer.peer = ""

    async def _wait_for_progress(self, timeout: float) -> bool:
        """Return whether a reply has made a difference before the timeout."""
        try:
            async with asyncio.timeout(timeout):
                await self._has_progressed.wait()
        except TimeoutError:
            return False
        return True

    def _choose_peer(self) -> str | None:
        """Return the peer to ask next, None if none is known to have a newer version.

        It is the one that was asked longest ago, and of those that were not asked yet
        the one with the newest version; with a transfer under way, the one that sent
        the last part.
        """
        version, now = self._reader.version, asyncio.get_running_loop().time()
        self._versions = {
            peer: newer
            for peer, newer in self._versions.items()
            if newer.number > version and now - newer.heard_at < HEARTBEAT_TIMEOUT
        }
        peers = self._list_transfer_peers()
        if self._transfer is not None and self._transfer.peer in peers:
            return self._transfer.peer

        def order(peer: str) -> tuple[float, int]:
            return self._versions[peer].asked_at, -self._versions[peer].number

        return min(peers, key=order, default=None)

    def _list_transfer_peers(self) -> list[str]:
        """Return the peers that can go on with the transfer; all if there is none.

        The transfer is given up first if it is no longer of use.
        """
        transfer = self._transfer
        if transfer is None:
            return list(self._versions)
        peers = [
            peer
            for peer, newer in self._versions.items()
            if newer.number >= transfer.version and peer not in transfer.lacking
        ]
        newest = max((v.number for v in self._versions.values()), default=0)
        is_old = transfer.version <= self._reader.version
        is_replaced = newest > transfer.version and not transfer.is_mostly_here
        if not is_old and not is_replaced and (peers or not self._versions):
            return peers
        log.info(
            "configuration: transfer from peers given up",
            extra={
                "version": transfer.version,
                "received": len(transfer.value),
                "size": transfer.size,
                "own": self._reader.version,
                "newest": newest,
            },
        )
        self._transfer = None
        return list(self._versions)

    def _find_request_interval(self) -> float:
        """Return the seconds until the next request for a first part.

        With half of all messages lost three of four requests are in vain, so none is
        waited for. A long record is requested less often, as a peer of an earlier
        version sends all of it. It is about as long as the one in force; without one it
        may be of any length.
        """
        size = len(self._reader.record.value)
        if size == 0:
            return MAX_REQUEST_INTERVAL
        interval = size / REQUESTED_BYTES_PER_S
        return min(MAX_REQUEST_INTERVAL, max(MIN_REQUEST_INTERVAL, interval))

    def _start_request(self, peer: str, version: int, start: int, length: int) -> None:
        loop = asyncio.get_running_loop()
        self._versions[peer].asked_at = loop.time()

        def make_request(request_id: int) -> ConfigurationRequest:
            return ConfigurationRequest(request_id, version, start, length)

        request = loop.create_task(self._request(peer, make_request))
        self._requests.add(request)
        request.add_done_callback(self._end_request)

    def _end_request(self, request: asyncio.Task[None]) -> None:
        self._requests.discard(request)
        if not request.cancelled() and (exc := request.exception()) is not None:
            log.error("configuration: request has failed", exc_info=exc)

    async def _request(
        self, peer: str, make_request: Callable[[int], ConfigurationRequest]
    ) -> None:
        asked_at = asyncio.get_running_loop().time()
        try:
            reply = await self._peer_calls.request(
                peer, make_request, ConfigurationReply, REPLY_TIMEOUT
            )
            self._take_reply(peer, reply, asked_at)
        except SiskinroadError as exc:
            self._log_loss(peer, exc)

    def _log_loss(self, peer: str, exc: SiskinroadError) -> None:
        self._losses += 1
        now = asyncio.get_running_loop().time()
        if now - self._losses_logged_at < LOSS_LOG_INTERVAL:
            return
        log.warning(
            "configuration: peer with a newer version did not send it",
            extra={
                "peer": peer,
                "own": self._reader.version,
                "requests": self._losses,
                "error": str(exc),
            },
        )
        self._losses_logged_at, self._losses = now, 0

    def _take_reply(
        self, peer: str, reply: ConfigurationReply, asked_at: float
    ) -> None:
        """Take a part that is still wanted, or a whole record."""
        if reply.version == 0:
            self._apply(peer, Record(reply.key, reply.value))
            return
        if reply.version <= self._reader.version:
            return
        now = asyncio.get_running_loop().time()
        transfer = self._transfer
        if transfer is None and reply.start == 0 and reply.size:
            transfer = self._begin(peer, reply, now)
        if transfer is None:
            return
        if transfer.add(peer, reply):
            if transfer.parts > 1:
                self._part_times.note_part(now - asked_at)
            self._has_progressed.set()
        elif transfer.is_refused(reply):
            transfer.lacking.add(peer)
            self._has_progressed.set()
        if transfer.is_whole:
            self._end(transfer, now)

    def _begin(self, peer: str, reply: ConfigurationReply, now: float) -> Transfer:
        self._transfer = Transfer(reply.version, reply.key, reply.size, peer, now)
        if reply.size > FIRST_PART_BYTES:
            log.info(
                "configuration: transfer from peers begins",
                extra={
                    "peer": peer,
                    "version": reply.version,
                    "size": reply.size,
                    "own": self._reader.version,
                },
            )
        return self._transfer

    def _end(self, transfer: Transfer, now: float) -> None:
        self._transfer = None
        extra: dict[str, object] = {
            "version": transfer.version,
            "size": transfer.size,
            "seconds": round(now - transfer.began_at, 2),
            "parts": transfer.parts,
            "lost_parts": transfer.lost_parts,
        }
        record = Record(transfer.key, bytes(transfer.value))
        self._apply(transfer.peer, record, extra)
        if self._reader.version < transfer.version:
            self._paused_until = now + UNDECODABLE_PAUSE
        elif transfer.next_offset >= 0:
            self._reader.skip_to(transfer.next_offset)

    def _apply(
        self, peer: str, record: Record, extra: dict[str, object] | None = None
    ) -> None:
        if not record.value:
            return
        log.info(
            "configuration: newer version received from a peer",
            extra={"peer": peer, "own": self._reader.version, **(extra or {})},
        )
        self._reader.apply_record(record)

    def serve(self, msg: ConfigurationRequest) -> ConfigurationReply:
        """Return the wanted part, or the record of the version in force.

        The record is empty if there is none.
        """
        record = self._reader.record
        if msg.length <= 0 or not record.value:
            return ConfigurationReply(msg.id, record.key, record.value)
        return self._source.answer(
            msg, self._reader.version, record, self._reader.next_offset
        )
