"""Interface of a daemon to its components."""

from __future__ import annotations

from typing import Protocol

from siskinroad.appender import Appender
from siskinroad.configuration import Configuration
from siskinroad.ledger import Ledger
from siskinroad.load_reports import LoadTable
from siskinroad.log_reader import LogReader
from siskinroad.membership import Membership
from siskinroad.ownership import Ownership
from siskinroad.peers import PeerTransport
from siskinroad.platform import Platform
from siskinroad.settings import Settings
from siskinroad.shards import OwnedShards

__all__ = ["DaemonContext"]


class SnapshotRequester(Protocol):
    """Sender of snapshot requests to peers."""

    def request_snapshot(self) -> None:
        """Request a snapshot of the ledger from the data centre's other daemons."""


class DaemonContext(Protocol):
    """Daemon as its components use it; ``state`` is a state of the ``daemon`` chart."""

    cfg: Settings
    incarnation: int
    state: str
    platform: Platform
    peers: PeerTransport
    members: Membership
    ledger: Ledger
    configuration: Configuration
    ownership: Ownership
    log_reader: LogReader
    load_table: LoadTable
    shards: OwnedShards
    appender: Appender
    cell_appender: Appender

    @property
    def periodic(self) -> SnapshotRequester:
        """Periodic messages of the daemon to its peers."""
