"""Reader of the operators' configuration, which keeps the newest version in force."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable

from siskinroad.errors import ProtocolError
from siskinroad.work.follower import Follower
from siskinroad.work.model import Configuration
from siskinroad.work.platform_clients import Decoder
from siskinroad.work.store import NewestRecord, Record, Store

__all__ = ["ConfigurationReader"]

# Seconds for which a version counts as the newest after a read up to the topic's end.
# The platform counts a version as in force everywhere 2.5 s after it was stored; a read
# is held open for up to a second.
CONFIRMED_LIMIT_S = 2.0

log = logging.getLogger("siskinroad.daemon")


class ConfigurationReader:
    """Reader of the configuration; a version in force is only replaced by a newer one.

    Parameters
    ----------
    on_activated : callable
        Called with each version that comes into force.

    Attributes
    ----------
    configuration : Configuration or None
        The configuration in force; None before the first one was read.
    record : Record
        The record that holds it; empty before the first one was read.
    follower : Follower
        Reader of the topic that holds the configuration.
    """

    def __init__(
        self,
        store: Store,
        decoder: Decoder,
        on_activated: Callable[[Configuration], None],
    ) -> None:
        self.configuration: Configuration | None = None
        self.record = Record("", b"")
        self.follower = Follower(store, decoder.configuration_topic, self._apply)
        self._decoder = decoder
        self._is_newest_undecodable = False
        self._on_activated = on_activated
        self._started_at = asyncio.get_running_loop().time()

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self.configuration.version if self.configuration is not None else 0

    def age_s(self) -> float:
        """Return the seconds since the configuration was the newest for certain.

        Every version that was stored before then is in force. Until the first read it
        is the time since the start.
        """
        known_at = max(self.follower.confirmed_at, self._started_at)
        return asyncio.get_running_loop().time() - known_at

    def confirmed_age_s(self) -> float:
        """Return the seconds since the sending of the newest read up to the end.

        Infinite before the first one, and after a suspension until one was sent since.
        """
        confirmed_at = self.follower.confirmed_at
        if confirmed_at < 0.0:
            return math.inf
        return asyncio.get_running_loop().time() - confirmed_at

    def distrust_earlier_reads(self) -> None:
        """Count no read that was sent before now, and read again at once.

        Called after a suspension, which the loop's clock does not count.
        """
        self.follower.revoke_confirmation()
        self.follower.restart_read()

    def is_confirmed(self) -> bool:
        """Return whether the version in force was the newest recently."""
        if self._is_newest_undecodable or self.follower.confirmed_at < 0:
            return False
        return self.age_s() <= CONFIRMED_LIMIT_S

    @property
    def next_offset(self) -> int:
        """Offset before which no record holds a later version; negative if unknown."""
        return -1 if self._is_newest_undecodable else self.follower.next_offset

    def skip_to(self, offset: int) -> None:
        """Read on from an offset before which no record holds a later version.

        A read that is bringing these records is abandoned: a small link would take
        seconds for them, and they are of no use any more.
        """
        if offset <= self.follower.next_offset:
            return
        self.follower.next_offset = offset
        self.follower.restart_read()

    def _apply(self, items: tuple[NewestRecord, ...], is_snapshot: bool) -> None:
        for item in items:
            self.apply_record(Record(item.key, item.value))

    def apply_record(self, record: Record) -> None:
        """Put the configuration that a record holds into force, if it is newer."""
        try:
            configuration = self._decoder.decode_configuration(record.key, record.value)
        except ProtocolError as exc:
            self._is_newest_undecodable = True
            log.error(
                "daemon: configuration could not be decoded; keeping the present one, "
                "and refusing nothing by it as missing",
                extra={"version": self.version, "error": str(exc)},
            )
            return
        if configuration is None:
            return
        if self.configuration is not None and configuration.version <= self.version:
            return
        self._is_newest_undecodable = False
        former_version, former_age_s = self.version, self.age_s()
        self.configuration = configuration
        self.record = record
        log.info(
            "daemon: configuration applied",
            extra={
                "version": configuration.version,
                "queues": len(configuration.queues),
                "former": former_version,
                "former_age_s": round(former_age_s, 2),
            },
        )
        self._on_activated(configuration)
