"""All that a daemon needs from the platform, as the product's own types."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from siskinroad.work.advice import Advisor
from siskinroad.work.hosts import HostLink
from siskinroad.work.model import HostEntry, Setup
from siskinroad.work.store import Store

__all__ = ["Decoder", "Outside"]


class Decoder(ABC):
    """Reads what the platform and the operators keep in the store.

    Attributes
    ----------
    hosts_topic, setup_topic : str
        Where the live list and the configuration are.
    """

    hosts_topic: str
    setup_topic: str

    @abstractmethod
    def host(self, key: str, value: bytes) -> HostEntry | None:
        """Return an entry of the live list; None if it names no host to use."""

    @abstractmethod
    def setup(self, key: str, value: bytes) -> Setup | None:
        """Return a configuration; None if the record is not one."""


@dataclass(slots=True, frozen=True)
class Outside:
    """The platform's services."""

    store: Store
    link: HostLink
    advisor: Advisor
    decoder: Decoder
