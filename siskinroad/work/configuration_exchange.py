"""Exchange of the newest configuration between the daemons of a cell.

Each heartbeat and digest names the version that its sender has in force. A daemon that
hears of a newer one than its own gets it from the sender: its own reads of the store
may hang, be rejected, or find the store silent. Requests and replies may be lost, so it
requests again soon, from all that have a newer version by turns, until it has one or
has not heard from them for as long as they count as alive.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

from siskinroad.errors import SiskinroadError
from siskinroad.work.configuration_reader import ConfigurationReader
from siskinroad.work.members import HEARTBEAT_TIMEOUT
from siskinroad.work.messages import ConfigurationReply, ConfigurationRequest
from siskinroad.work.peer_calls import PeerCalls
from siskinroad.work.store import Record

__all__ = ["ConfigurationExchange"]

# Seconds that the daemon's own read has to bring a version which a peer has in force.
OWN_READ_TIME = 0.1
# Seconds to wait for a peer's reply.
REQUEST_TIMEOUT = 0.5
# Least and most seconds between two requests, and bytes of replies that they may ask
# for in a second.
MIN_REQUEST_INTERVAL = 0.2
MAX_REQUEST_INTERVAL = 0.7
REQUESTED_BYTES_PER_S = 20_000

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
        self._versions: dict[str, _NewerVersion] = {}
        self._is_outdated = asyncio.Event()
        self._requests: set[asyncio.Task[None]] = set()

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
                    self._start_request(peer)
                    await asyncio.sleep(self._find_request_interval())
                self._is_outdated.clear()
        finally:
            for request in self._requests:
                request.cancel()

    def _choose_peer(self) -> str | None:
        """Return the peer to ask next, None if none is known to have a newer version.

        It is the one that was asked longest ago, and of those that were not asked yet
        the one with the newest version.
        """
        version, now = self._reader.version, asyncio.get_running_loop().time()
        self._versions = {
            peer: newer
            for peer, newer in self._versions.items()
            if newer.number > version and now - newer.heard_at < HEARTBEAT_TIMEOUT
        }

        def order(peer: str) -> tuple[float, int]:
            return self._versions[peer].asked_at, -self._versions[peer].number

        return min(self._versions, key=order, default=None)

    def _find_request_interval(self) -> float:
        """Return the seconds until the next request, whether this one is answered.

        With half of all messages lost three of four requests are in vain, so none is
        waited for. A long record is requested less often, as its reply takes longer and
        costs more. It is about as long as the one in force; without one it may be of
        any length.
        """
        size = len(self._reader.record.value)
        if size == 0:
            return MAX_REQUEST_INTERVAL
        interval = size / REQUESTED_BYTES_PER_S
        return min(MAX_REQUEST_INTERVAL, max(MIN_REQUEST_INTERVAL, interval))

    def _start_request(self, peer: str) -> None:
        loop = asyncio.get_running_loop()
        newer = self._versions[peer]
        newer.asked_at = loop.time()
        request = loop.create_task(self._request(peer, newer.number))
        self._requests.add(request)
        request.add_done_callback(self._end_request)

    def _end_request(self, request: asyncio.Task[None]) -> None:
        self._requests.discard(request)
        if not request.cancelled() and (exc := request.exception()) is not None:
            log.error("configuration: request has failed", exc_info=exc)

    async def _request(self, peer: str, version: int) -> None:
        extra = {"peer": peer, "version": version, "own": self._reader.version}
        try:
            reply = await self._peer_calls.request(
                peer, ConfigurationRequest, ConfigurationReply, REQUEST_TIMEOUT
            )
        except SiskinroadError as exc:
            log.warning(
                "configuration: peer with a newer version did not send it",
                extra={**extra, "error": str(exc)},
            )
            return
        log.info("configuration: newer version received from a peer", extra=extra)
        self._reader.apply_record(Record(reply.key, reply.value))

    def serve(self, msg: ConfigurationRequest) -> ConfigurationReply:
        """Return the record of the version in force; an empty one if there is none."""
        record = self._reader.record
        return ConfigurationReply(msg.id, record.key, record.value)
