"""Settings of one daemon: its addresses, its data centre and its limits."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Any

from siskinroad.checks import Field, Reader, Table, parse_toml
from siskinroad.errors import ConfigError

__all__ = ["SETTINGS_TABLE", "Peer", "Settings", "hash_token", "parse_settings"]

PEER = Table(
    "Another daemon, as far as known at the start.",
    {
        "name": Field("name", doc="Its name."),
        "address": Field("address", doc="Its peer listener."),
        "data_centre": Field("name", doc="Its data centre."),
        "region": Field("name", doc="Its region."),
        "public_key": Field("str", "", low=0, high=40, doc="CURVE key, Z85."),
    },
)

SETTINGS_TABLE = Table(
    "Settings of the daemon, read once at its start.",
    {
        "name": Field("name", doc="Name of this daemon, unique in the cell."),
        "data_centre": Field("name", doc="Where it stands."),
        "region": Field("name", doc="Where it stands."),
        "callers": Field("address", doc="Listener for callers."),
        "operators": Field("address", doc="Listener for operators and metrics."),
        "peer_address": Field("address", doc="Listener for peers."),
        "platform": Field("address", doc="The platform's HTTP service."),
        "peers": Field("tables", [], table=PEER, low=0, high=1000, doc="Peers."),
        "public_key": Field("str", "", low=0, high=40, doc="Own CURVE key, Z85."),
        "secret_key": Field("str", "", low=0, high=40, doc="Own CURVE key, Z85."),
        "operator_token_sha256": Field(
            "str", "", low=0, high=64, doc="SHA-256 of the operators' token, in hex."
        ),
        "allow_open": Field(
            "bool", False, doc="Listen beyond loopback without keys or tokens."
        ),
        "max_connections": Field(
            "int", 512, low=1, high=65536, doc="Of callers at one time."
        ),
        "max_waiting_bytes": Field(
            "int", 8388608, low=65536, high=1 << 32, doc="Bodies held for callers."
        ),
        "drain_s": Field(
            "number", 30.0, low=0, high=3600, doc="Longest wait of a planned stop."
        ),
        "log_level": Field(
            "choice",
            "info",
            choices=("debug", "info", "warning", "error"),
            doc="Least severe record that is logged.",
        ),
    },
)


@dataclass(slots=True, frozen=True)
class Peer:
    """A peer's name, address and place."""

    name: str
    address: str
    data_centre: str
    region: str
    public_key: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """Checked settings; times in seconds, sizes in bytes."""

    name: str
    data_centre: str
    region: str
    callers: str = "127.0.0.1:0"
    operators: str = "127.0.0.1:0"
    peer_address: str = "127.0.0.1:0"
    platform: str = "127.0.0.1:0"
    peers: tuple[Peer, ...] = ()
    public_key: str = ""
    secret_key: str = ""
    operator_token_sha256: str = ""
    allow_open: bool = False
    max_connections: int = 512
    max_waiting_bytes: int = 8 << 20
    drain_s: float = 30.0
    log_level: str = "info"


def hash_token(token: str) -> str:
    """Return the form in which a token is kept."""
    return hashlib.sha256(token.encode()).hexdigest()


def _is_loopback(address: str) -> bool:
    return address.startswith("127.")


def _check_open(values: dict[str, Any], reader: Reader) -> None:
    if values["allow_open"]:
        return
    if not _is_loopback(values["operators"]) and not values["operator_token_sha256"]:
        allowed = "a loopback address, or operator_token_sha256, or allow_open"
        reader.fault("operators", values["operators"], allowed)
    if not _is_loopback(values["peer_address"]) and not values["secret_key"]:
        allowed = "a loopback address, or keys, or allow_open"
        reader.fault("peer_address", values["peer_address"], allowed)


def _check_keys(values: dict[str, Any], reader: Reader) -> None:
    keys = ("public_key", "secret_key")
    for key in keys:
        if values[key] and len(values[key]) != 40:
            reader.fault(key, f"length {len(values[key])}", "40 characters of Z85")
    if bool(values["public_key"]) != bool(values["secret_key"]):
        reader.fault("secret_key", "one key alone", "both keys or none")
    for i, peer in enumerate(values["peers"]):
        if bool(values["secret_key"]) != bool(peer["public_key"]):
            allowed = "a key for each peer, or no keys at all"
            reader.fault(f"peers[{i}].public_key", peer["public_key"], allowed)
    token = values["operator_token_sha256"]
    if token and (len(token) != 64 or set(token) - set("0123456789abcdef")):
        allowed = "64 characters of lower-case hex"
        reader.fault("operator_token_sha256", "…", allowed)


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Check a whole settings file.

    Raises
    ------
    ConfigError
        With every problem found.
    """
    reader = Reader()
    values = reader.table(parse_toml(text, source), SETTINGS_TABLE, "")
    if not reader.problems:
        _check_open(values, reader)
        _check_keys(values, reader)
    if reader.problems:
        raise ConfigError(source, reader.problems)
    values["peers"] = tuple(Peer(**peer) for peer in values["peers"])
    return Settings(**values)
