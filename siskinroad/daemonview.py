"""What the parts of a daemon share: its state as they see it."""

from __future__ import annotations

from typing import Protocol

from siskinroad.appender import Appender
from siskinroad.configuration import Configuration
from siskinroad.ledger import Ledger
from siskinroad.loads import LoadTable
from siskinroad.logfeed import LogFeed
from siskinroad.membership import Membership
from siskinroad.ownership import Ownership
from siskinroad.peers import Peers
from siskinroad.platform import Platform
from siskinroad.settings import Settings
from siskinroad.shards import ShardSet

__all__ = ["DaemonView"]


class Asker(Protocol):
    """Who asks peers for what this daemon lacks."""

    def want_snapshot(self) -> None:
        """Ask a peer to write a snapshot of the ledger."""


class DaemonView(Protocol):
    """A daemon as its parts see it; ``state`` is one of the ``daemon`` chart."""

    cfg: Settings
    incarnation: int
    state: str
    platform: Platform
    peers: Peers
    members: Membership
    ledger: Ledger
    configuration: Configuration
    ownership: Ownership
    feed: LogFeed
    load_table: LoadTable
    shards: ShardSet
    appender: Appender
    cell_appender: Appender

    @property
    def beats(self) -> Asker:
        """What the daemon tells and asks others on its own."""
