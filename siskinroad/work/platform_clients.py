"""The platform services that a daemon needs, behind this project's own types."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from siskinroad.work.advice import Advisor
from siskinroad.work.hosts import HostClient
from siskinroad.work.model import Configuration, HostEntry
from siskinroad.work.store import Store

__all__ = ["Decoder", "PlatformClients"]


class Decoder(ABC):
    """A decoder of records that the platform and the operators keep in the store.

    Attributes
    ----------
    hosts_topic, configuration_topic : str
        Topics of the live host list and of the configuration.
    """

    hosts_topic: str
    configuration_topic: str

    @abstractmethod
    def decode_host(self, key: str, value: bytes) -> HostEntry | None:
        """Return a host of the live list; None if the record names no usable host."""

    @abstractmethod
    def decode_configuration(self, key: str, value: bytes) -> Configuration | None:
        """Return the configuration; None if the record holds none.

        Raises
        ------
        ProtocolError
            If the record holds one that cannot be decoded.
        """


@dataclass(slots=True, frozen=True)
class PlatformClients:
    """The clients of the platform's services."""

    store: Store
    host_client: HostClient
    advisor: Advisor
    decoder: Decoder
