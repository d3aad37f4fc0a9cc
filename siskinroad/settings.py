"""Settings of one daemon: addresses, location, authentication and limits."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Any

from siskinroad.checks import Field, Reader, Table, parse_toml
from siskinroad.errors import ConfigError

__all__ = ["SETTINGS_TABLE", "Peer", "Settings", "hash_token", "parse_settings"]

PEER_TABLE = Table(
    "Another daemon that is known at start.",
    {
        "name": Field("name", doc="Name of the peer."),
        "address": Field("address", doc="Peer listener of the peer."),
        "data_centre": Field("name", doc="Data centre of the peer."),
        "region": Field("name", doc="Region of the peer."),
        "public_key": Field("str", "", min=0, max=40, doc="CURVE public key, in Z85."),
    },
)

SETTINGS_TABLE = Table(
    "Settings of the daemon, read once at start.",
    {
        "name": Field("name", doc="Name of this daemon, unique in the cell."),
        "data_centre": Field("name", doc="Data centre of this daemon."),
        "region": Field("name", doc="Region of this daemon."),
        "callers": Field("address", doc="Listener for callers."),
        "operators": Field("address", doc="Listener for operators and metrics."),
        "peer_address": Field("address", doc="Listener for peers."),
        "platform": Field("address", doc="The platform's HTTP service."),
        "peers": Field("tables", [], table=PEER_TABLE, min=0, max=1000, doc="Peers."),
        "public_key": Field(
            "str", "", min=0, max=40, doc="CURVE public key of this daemon, in Z85."
        ),
        "secret_key": Field(
            "str", "", min=0, max=40, doc="CURVE secret key of this daemon, in Z85."
        ),
        "operator_token_sha256": Field(
            "str", "", min=0, max=64, doc="SHA-256 of the operator token, in hex."
        ),
        "allow_open": Field(
            "bool",
            False,
            doc="Allow listeners beyond loopback without keys or a token.",
        ),
        "max_connections": Field(
            "int",
            512,
            min=1,
            max=65536,
            doc="Largest number of open caller connections.",
        ),
        "max_waiting_bytes": Field(
            "int",
            8388608,
            min=65536,
            max=1 << 32,
            doc="Largest total size of request bodies held for callers, in bytes.",
        ),
        "drain_s": Field(
            "number",
            30.0,
            min=0,
            max=3600,
            doc="Longest duration of a planned stop, in seconds.",
        ),
        "log_level": Field(
            "choice",
            "info",
            choices=("debug", "info", "warning", "error"),
            doc="Lowest severity that is logged.",
        ),
    },
)


@dataclass(slots=True, frozen=True)
class Peer:
    """Name, address and location of another daemon."""

    name: str
    address: str
    data_centre: str
    region: str
    public_key: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """Validated settings; durations in seconds, sizes in bytes."""

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
    """Return the SHA-256 of a token in hex, as the settings hold it."""
    return hashlib.sha256(token.encode()).hexdigest()


def _is_loopback(address: str) -> bool:
    return address.startswith("127.")


def _check_exposed_listeners(values: dict[str, Any], reader: Reader) -> None:
    if values["allow_open"]:
        return
    if not _is_loopback(values["operators"]) and not values["operator_token_sha256"]:
        allowed = "a loopback address, or operator_token_sha256, or allow_open"
        reader.add_problem("operators", values["operators"], allowed)
    if not _is_loopback(values["peer_address"]) and not values["secret_key"]:
        allowed = "a loopback address, or public_key and secret_key, or allow_open"
        reader.add_problem("peer_address", values["peer_address"], allowed)


def _check_keys_and_token_hash(values: dict[str, Any], reader: Reader) -> None:
    keys = ("public_key", "secret_key")
    for key in keys:
        if values[key] and len(values[key]) != 40:
            reader.add_problem(
                key, f"length {len(values[key])}", "40 characters of Z85"
            )
    if bool(values["public_key"]) != bool(values["secret_key"]):
        reader.add_problem(
            "secret_key",
            "only one of two keys",
            "both public_key and secret_key, or neither",
        )
    for i, peer in enumerate(values["peers"]):
        if bool(values["secret_key"]) != bool(peer["public_key"]):
            allowed = "a key for every peer if secret_key is set, otherwise none"
            reader.add_problem(f"peers[{i}].public_key", peer["public_key"], allowed)
    token_hash = values["operator_token_sha256"]
    if token_hash and (
        len(token_hash) != 64 or set(token_hash) - set("0123456789abcdef")
    ):
        allowed = "64 characters of lower-case hex"
        reader.add_problem("operator_token_sha256", "…", allowed)


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Parse and validate a settings file.

    Raises
    ------
    ConfigError
        If the file is not valid; lists every problem found.
    """
    reader = Reader()
    values = reader.validate_table(parse_toml(text, source), SETTINGS_TABLE, "")
    if not reader.problems:
        _check_exposed_listeners(values, reader)
        _check_keys_and_token_hash(values, reader)
    if reader.problems:
        raise ConfigError(source, reader.problems)
    values["peers"] = tuple(Peer(**peer) for peer in values["peers"])
    return Settings(**values)
