"""Parsing and validation of the cell file: owners, hosts and workloads."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from siskinroad.checks import Field, Reader, Table, parse_toml
from siskinroad.errors import ConfigError
from siskinroad.resources import Resources

__all__ = [
    "CELL_TABLE",
    "Cell",
    "Host",
    "Locality",
    "Owner",
    "Pool",
    "Urgency",
    "Workload",
    "diff",
    "digest",
    "moved_hosts",
    "parse_cell",
    "shard_name",
]

MIB_PER_GIB = 1024
# Most shards of an upstream in one data centre.
MAX_SHARDS = 64


class Urgency(IntEnum):
    """Urgency classes of workloads, the most urgent first."""

    URGENT = 0
    STANDARD = 1
    BACKGROUND = 2


class Locality(IntEnum):
    """Limit on how far from its caller a request may run."""

    DATA_CENTRE = 0
    REGION = 1
    ANYWHERE = 2


URGENCY_NAMES = ("urgent", "standard", "background")
LOCALITY_NAMES = ("data_centre", "region", "anywhere")

QUOTA = Table(
    "The most that an owner may hold at one time in a data centre.",
    {
        "cpu": Field("number", 0.0, min=0, max=1e6, doc="Processors; 0: no limit."),
        "memory_gib": Field("number", 0.0, min=0, max=1e7, doc="GiB; 0: no limit."),
        "accelerators": Field("int", 0, min=0, max=100000, doc="0: no limit."),
    },
)

DEMAND = Table(
    "What one task or request takes of a host.",
    {
        "cpu": Field("number", 1.0, min=0.001, max=1024, doc="Processors."),
        "memory_gib": Field("number", 1.0, min=0.001, max=65536, doc="GiB."),
        "accelerators": Field("int", 0, min=0, max=64, doc="Whole accelerators."),
    },
)

OWNER = Table(
    "Who pays for a workload.",
    {
        "name": Field("name", doc="Unique name."),
        "weight": Field("number", 1.0, min=0.001, max=1e6, doc="Share of the cell."),
        "idle_weight": Field(
            "number", 1.0, min=0, max=1e6, doc="Part of the idle cost it carries."
        ),
        "quota": Field("table", {}, table=QUOTA, doc="Limit on what it holds."),
    },
)

REGION = Table(
    "A region and its data centres.",
    {
        "name": Field("name", doc="Unique name."),
        "data_centres": Field("names", min=1, max=100, doc="Unique in the cell."),
    },
)

HOST = Table(
    "One host of an upstream.",
    {
        "name": Field("name", doc="Unique name."),
        "address": Field("address", doc="Where its executor listens."),
        "rack": Field("name", doc="Rack, unique in its data centre."),
        "data_centre": Field("name", doc="A data centre of the cell."),
    },
)

UPSTREAM = Table(
    "Hosts of one kind that serve the same workloads.",
    {
        "name": Field("name", doc="Unique name."),
        "cpu": Field("number", min=0.1, max=1024, doc="Processors of a host."),
        "memory_gib": Field("number", min=0.1, max=65536, doc="GiB of a host."),
        "accelerators": Field("int", 0, min=0, max=64, doc="Accelerators of a host."),
        "slots": Field("int", 8, min=1, max=4096, doc="Concurrent tasks of a host."),
        "connections": Field(
            "int", 64, min=1, max=65536, doc="Open connections to a host."
        ),
        "shards": Field(
            "int", 1, min=1, max=MAX_SHARDS, doc="Parts in each data centre."
        ),
        "fencing": Field("bool", False, doc="Hosts refuse lower epochs."),
        "hosts": Field("tables", table=HOST, min=1, max=10000, doc="The hosts."),
    },
)

_COMMON = {
    "name": Field("name", doc="Unique among all workloads."),
    "owner": Field("name", doc="The owner that pays."),
    "upstream": Field("name", doc="The upstream it runs on."),
    "urgency": Field("choice", "standard", choices=URGENCY_NAMES, doc="Class."),
    "demand": Field("table", {}, table=DEMAND, doc="Of one task or request."),
    "start_within_s": Field(
        "number", 0.0, min=0, max=1e6, doc="Refuse what cannot start in time; 0: wait."
    ),
    "queue_limit": Field(
        "int", 10000, min=1, max=1000000, doc="Most waiting in one data centre."
    ),
    "retries": Field("int", 2, min=0, max=20, doc="Further tries after a failure."),
}

SERVICE = Table(
    "Requests that a caller waits for.",
    {
        **_COMMON,
        "timeout_s": Field("number", 30.0, min=0.05, max=3600, doc="Of one try."),
        "idempotent": Field("bool", False, doc="A second run does no harm."),
        "key_required": Field("bool", False, doc="Each request carries a key."),
        "locality": Field(
            "choice", "anywhere", choices=LOCALITY_NAMES, doc="How far it may go."
        ),
        "byte_cost_s": Field(
            "number", 0.5, min=0, max=3600, doc="Waiting worth a region's crossing."
        ),
        "max_body": Field("int", 1048576, min=0, max=16777216, doc="Bytes."),
    },
)

BATCH = Table(
    "Tasks that run once accepted, each on its own.",
    {
        **_COMMON,
        "run_time_s": Field("number", 60.0, min=0.01, max=1e7, doc="Declared."),
        "checkpoint": Field("bool", False, doc="Can be checkpointed and resumed."),
        "long_running": Field("bool", False, doc="Runs until it is cancelled."),
    },
)

GANG = Table(
    "Tasks of which all run together or none.",
    {
        **_COMMON,
        "size": Field("int", min=1, max=4096, doc="Tasks in the gang."),
        "run_time_s": Field("number", 60.0, min=0.01, max=1e7, doc="Declared."),
        "checkpoint": Field("bool", False, doc="Can be checkpointed and resumed."),
    },
)

CELL_TABLE = Table(
    "A whole cell.",
    {
        "name": Field("name", doc="Name of the cell."),
        "owners": Field("tables", table=OWNER, min=1, max=1000, doc="Owners."),
        "regions": Field("tables", table=REGION, min=1, max=100, doc="Regions."),
        "upstreams": Field("tables", table=UPSTREAM, min=1, max=100, doc="Pools."),
        "services": Field("tables", [], table=SERVICE, min=0, max=1000, doc=""),
        "batch": Field("tables", [], table=BATCH, min=0, max=1000, doc=""),
        "gangs": Field("tables", [], table=GANG, min=0, max=1000, doc=""),
    },
)


@dataclass(slots=True, frozen=True)
class Owner:
    """Owner who pays; a quota dimension of 0 means no limit."""

    name: str
    weight: float
    idle_weight: float
    quota: Resources


@dataclass(slots=True, frozen=True)
class Host:
    """One host of an upstream.

    One daemon at a time owns the host's ``shard``, which is a part of the upstream's
    hosts in a data centre.
    """

    name: str
    address: str
    rack: str
    data_centre: str
    pool: str
    shard: str


@dataclass(slots=True, frozen=True)
class Pool:
    """Upstream: a pool of hosts of the same kind."""

    name: str
    capacity: Resources
    connections: int
    shards: int
    fencing: bool
    hosts: tuple[Host, ...]


@dataclass(slots=True, frozen=True)
class Workload:
    """Service, kind of batch job or kind of gang.

    Times are in seconds. ``size`` is the number of tasks of a gang, otherwise 1.
    ``demand`` is that of one task or request.
    """

    name: str
    kind: str
    owner: str
    pool: str
    urgency: Urgency
    demand: Resources
    start_within: float
    queue_limit: int
    retries: int
    size: int = 1
    run_time: float = 60.0
    timeout: float = 30.0
    idempotent: bool = False
    key_required: bool = False
    checkpoint: bool = False
    long_running: bool = False
    locality: Locality = Locality.ANYWHERE
    byte_cost: float = 0.5
    max_body: int = 1 << 20


@dataclass(slots=True, frozen=True)
class Cell:
    """Validated cell file."""

    name: str
    owners: dict[str, Owner]
    regions: dict[str, str]
    pools: dict[str, Pool]
    workloads: dict[str, Workload]
    text: str = field(repr=False, default="")

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre, or "" if it is not in the cell."""
        return self.regions.get(data_centre, "")

    def shards(self, data_centre: str) -> dict[str, list[Host]]:
        """Return the hosts of a data centre by shard."""
        shards: dict[str, list[Host]] = {}
        for host in self.hosts():
            if host.data_centre == data_centre:
                shards.setdefault(host.shard, []).append(host)
        return shards

    def hosts(self) -> Iterator[Host]:
        """Yield the hosts of all upstreams."""
        for pool in self.pools.values():
            yield from pool.hosts


def digest(text: str) -> str:
    """Return the digest that identifies a cell file's content."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def parse_cell(text: str, source: str = "cell") -> Cell:
    """Parse and validate a cell file.

    Parameters
    ----------
    text : str
        The file's content in TOML.
    source : str
        Name of the file in error messages.

    Raises
    ------
    ConfigError
        If the file is not valid; lists every problem found.
    """
    reader = Reader()
    data = reader.validate_table(parse_toml(text, source), CELL_TABLE, "")
    if reader.problems:
        raise ConfigError(source, reader.problems)
    _check_names(data, reader)
    _check_references(data, reader)
    if reader.problems:
        raise ConfigError(source, reader.problems)
    return _build_cell(data, text)


def _check_unique(reader: Reader, paths: Iterator[tuple[str, str]]) -> None:
    seen: dict[str, str] = {}
    for path, name in paths:
        if name in seen:
            reader.add_problem(path, name, f"a value not used by {seen[name]}")
        seen.setdefault(name, path)


def _entry_names(data: dict[str, Any], *keys: str) -> Iterator[tuple[str, str]]:
    for key in keys:
        for i, entry in enumerate(data[key]):
            yield f"{key}[{i}].name", entry["name"]


def _host_fields(data: dict[str, Any], key: str) -> Iterator[tuple[str, str]]:
    for i, pool in enumerate(data["upstreams"]):
        for j, host in enumerate(pool["hosts"]):
            yield f"upstreams[{i}].hosts[{j}].{key}", host[key]


def _data_centres(data: dict[str, Any]) -> Iterator[tuple[str, str]]:
    for i, region in enumerate(data["regions"]):
        for name in region["data_centres"]:
            yield f"regions[{i}].data_centres", name


def _check_names(data: dict[str, Any], reader: Reader) -> None:
    for key in ("owners", "regions", "upstreams"):
        _check_unique(reader, _entry_names(data, key))
    _check_unique(reader, _entry_names(data, "services", "batch", "gangs"))
    _check_unique(reader, _host_fields(data, "name"))
    _check_unique(reader, _host_fields(data, "address"))
    _check_unique(reader, _data_centres(data))


def _check_references(data: dict[str, Any], reader: Reader) -> None:
    owners = {entry["name"] for entry in data["owners"]}
    pools = {entry["name"] for entry in data["upstreams"]}
    data_centres = {name for _, name in _data_centres(data)}
    for path, name in _host_fields(data, "data_centre"):
        if name not in data_centres:
            reader.add_problem(path, name, "a data centre listed under regions")
    for key in ("services", "batch", "gangs"):
        for i, entry in enumerate(data[key]):
            if entry["owner"] not in owners:
                reader.add_problem(
                    f"{key}[{i}].owner",
                    entry["owner"],
                    "the name of an owner under owners",
                )
            if entry["upstream"] not in pools:
                allowed = "the name of an upstream under upstreams"
                reader.add_problem(f"{key}[{i}].upstream", entry["upstream"], allowed)


def _build_resources(data: dict[str, Any], slots: int) -> Resources:
    return Resources(
        round(data["cpu"] * 1000),
        round(data["memory_gib"] * MIB_PER_GIB),
        data["accelerators"],
        slots,
    )


def _build_cell(data: dict[str, Any], text: str) -> Cell:
    workloads = {}
    for kind, key in (("service", "services"), ("batch", "batch"), ("gang", "gangs")):
        for entry in data[key]:
            workloads[entry["name"]] = _build_workload(kind, entry)
    return Cell(
        data["name"],
        {entry["name"]: _build_owner(entry) for entry in data["owners"]},
        {name: r["name"] for r in data["regions"] for name in r["data_centres"]},
        {entry["name"]: _build_pool(entry) for entry in data["upstreams"]},
        workloads,
        text,
    )


def _build_owner(entry: dict[str, Any]) -> Owner:
    quota = _build_resources(entry["quota"], 0)
    return Owner(entry["name"], entry["weight"], entry["idle_weight"], quota)


def _build_pool(entry: dict[str, Any]) -> Pool:
    name = entry["name"]
    hosts = tuple(
        Host(
            h["name"],
            h["address"],
            h["rack"],
            h["data_centre"],
            name,
            shard_name(name, h["data_centre"], h["rack"], entry["shards"]),
        )
        for h in entry["hosts"]
    )
    return Pool(
        name,
        _build_resources(entry, entry["slots"]),
        entry["connections"],
        entry["shards"],
        entry["fencing"],
        hosts,
    )


def _build_workload(kind: str, entry: dict[str, Any]) -> Workload:
    return Workload(
        name=entry["name"],
        kind=kind,
        owner=entry["owner"],
        pool=entry["upstream"],
        urgency=Urgency(URGENCY_NAMES.index(entry["urgency"])),
        demand=_build_resources(entry["demand"], 1),
        start_within=entry["start_within_s"],
        queue_limit=entry["queue_limit"],
        retries=entry["retries"],
        size=entry.get("size", 1),
        run_time=entry.get("run_time_s", entry.get("timeout_s", 60.0)),
        timeout=entry.get("timeout_s", 30.0),
        idempotent=entry.get("idempotent", True),
        key_required=entry.get("key_required", False),
        checkpoint=entry.get("checkpoint", False),
        long_running=entry.get("long_running", False),
        locality=Locality(LOCALITY_NAMES.index(entry.get("locality", "anywhere"))),
        byte_cost=entry.get("byte_cost_s", 0.5),
        max_body=entry.get("max_body", 1 << 20),
    )


def shard_name(pool: str, data_centre: str, rack: str, shards: int) -> str:
    """Return the shard to which a rack belongs.

    The shard depends only on the parameters, so adding or removing hosts moves no
    other host to another shard.
    """
    rack_hash = hashlib.blake2b(rack.encode(), digest_size=8).digest()
    return f"{pool}/{data_centre}/{int.from_bytes(rack_hash) % shards}"


def moved_hosts(current: Cell, proposed: Cell) -> list[str]:
    """Return the hosts that would change their shard, which is not allowed.

    While some daemons still use the current revision, two daemons would own such a
    host.
    To move a host, remove it in one revision and add it under another name and address
    in a later one.
    """
    shards = {host.name: host.shard for host in current.hosts()}
    addresses = {host.address: host.shard for host in current.hosts()}
    return [
        host.name
        for host in proposed.hosts()
        if shards.get(host.name, host.shard) != host.shard
        or addresses.get(host.address, host.shard) != host.shard
    ]


def _flatten(cell: Cell) -> dict[str, object]:
    flat: dict[str, object] = {"name": cell.name}
    flat.update({f"owners.{k}": v for k, v in cell.owners.items()})
    flat.update({f"data_centres.{k}": v for k, v in cell.regions.items()})
    flat.update({f"workloads.{k}": v for k, v in cell.workloads.items()})
    flat.update({f"hosts.{h.name}": h for h in cell.hosts()})
    for name, pool in cell.pools.items():
        pool_settings = (pool.capacity, pool.connections, pool.shards, pool.fencing)
        flat[f"upstreams.{name}"] = pool_settings
    return flat


def diff(current: Cell | None, proposed: Cell) -> list[str]:
    """Return one line for each entry removed (-), added (+) or changed (~)."""
    current_values = _flatten(current) if current else {}
    proposed_values = _flatten(proposed)
    lines = [
        f"- {key}" for key in sorted(current_values.keys() - proposed_values.keys())
    ]
    lines += [
        f"+ {key}" for key in sorted(proposed_values.keys() - current_values.keys())
    ]
    common = sorted(current_values.keys() & proposed_values.keys())
    lines += [
        f"~ {key}" for key in common if current_values[key] != proposed_values[key]
    ]
    return lines
