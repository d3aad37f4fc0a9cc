"""Exchange of the newest configuration between the daemons of a cell.

Each heartbeat and digest names the version that its sender has in force. A daemon that
hears of a newer one than its own gets it from the sender: its own reads of the store
may hang, be rejected, or find the store silent.
"""

from __future__ import annotations

import asyncio
import logging

from siskinroad.errors import SiskinroadError
from siskinroad.work.configuration_reader import ConfigurationReader
from siskinroad.work.messages import ConfigurationReply, ConfigurationRequest
from siskinroad.work.peer_calls import PeerCalls
from siskinroad.work.store import Record

__all__ = ["ConfigurationExchange"]

# Seconds that the daemon's own read has to bring a version which a peer has in force.
OWN_READ_TIME = 0.1
# Seconds to wait for a peer's reply, and between two requests.
REQUEST_TIMEOUT = 0.5
REQUEST_PAUSE = 0.2

log = logging.getLogger("siskinroad.configuration")


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
        self._versions: dict[str, int] = {}
        self._is_outdated = asyncio.Event()

    def note_version(self, peer: str, version: int) -> None:
        """Note the version that a peer has in force."""
        if version <= self._reader.version:
            self._versions.pop(peer, None)
            return
        self._versions[peer] = version
        self._is_outdated.set()

    async def run(self) -> None:
        """Request newer versions until cancelled."""
        while True:
            await self._is_outdated.wait()
            await asyncio.sleep(OWN_READ_TIME)
            while (peer := self._choose_peer()) is not None:
                await self._request(peer)
                await asyncio.sleep(REQUEST_PAUSE)
            self._is_outdated.clear()

    def _choose_peer(self) -> str | None:
        """Return the peer with the newest version, None if this daemon has it."""
        version = self._reader.version
        self._versions = {p: v for p, v in self._versions.items() if v > version}
        return max(self._versions, key=self._versions.__getitem__, default=None)

    async def _request(self, peer: str) -> None:
        # Until its next heartbeat another peer is asked first.
        version = self._versions.pop(peer)
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
