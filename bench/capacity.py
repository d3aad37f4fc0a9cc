"""Tables of ``docs/CAPACITY.md``, computed from the recorded measurements.

``python -m bench.capacity`` replaces the text between the two marks on the page.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from siskinroad.tables import format_table

DOCS = Path(__file__).parent.parent / "docs"
PAGE = DOCS / "CAPACITY.md"
BEGIN_MARK, END_MARK = "<!-- tables -->", "<!-- end of tables -->"

# The design size: counts over all data centres unless a name says otherwise
HOSTS = 4500
RUNNING_TASKS = 16_000
QUEUED_TASKS = 100_000
STARTS = 1800  # task starts; no table uses it
JOBS_PER_DAY = 49_000
OWNERS = 58
DATA_CENTRES = 10
DAEMONS_PER_CENTRE = 7
CHANGES_PER_DAY = 3300
HOST_FAILURES_PER_DAY = 53
RESTARTS_PER_DAY = 240
SHARDS_PER_CENTRE = 7
DAY_S = 86_400.0

# Resident memory of a daemon that has imported its modules and holds no state, in MB
PROGRAM_MB = 30.3

# Seconds for which a host holds an inventory request open: each host gets one request
# in this time
INVENTORY_WAIT_S = 10.0

# Bounds for one daemon: share of a processor core at rest, resident memory in MB,
# control bytes sent a second
CORE_BOUND = 0.011
MEMORY_BOUND_MB = 32.0
CONTROL_BYTES_BOUND = 5000.0

# Appends a second that all data centres together may make to the log
APPENDS_BOUND = 250


def read_measurements(name: str) -> Any:
    """Return the content of a JSON file of ``docs/``."""
    return json.loads((DOCS / name).read_text())


def estimate_memory(slopes: dict[str, Any]) -> list[dict[str, Any]]:
    """Estimate the memory of one daemon at the design size, by kind of state."""
    memory_fits = slopes["memory"]
    counts = {
        "host in the cell file": HOSTS,
        "owner": OWNERS,
        "host owned": HOSTS / DATA_CENTRES / DAEMONS_PER_CENTRE,
        "running task": RUNNING_TASKS / DATA_CENTRES / DAEMONS_PER_CENTRE,
        "queued task": QUEUED_TASKS / DATA_CENTRES / DAEMONS_PER_CENTRE,
        "job in the ledger": JOBS_PER_DAY / DATA_CENTRES / 24 + 1000,
        "key in the ledger": 5000,
    }
    rows = []
    for name, count in counts.items():
        bytes_each = memory_fits[name]["slope"]
        rows.append(
            {
                "state": name,
                "bytes each": round(bytes_each),
                "count": round(count),
                "MB": round(bytes_each * count / 1e6, 2),
            }
        )
    rows.append(
        {
            "state": "program and libraries",
            "count": 1,
            "MB": PROGRAM_MB,
            "bytes each": "",
        }
    )
    total = round(sum(row["MB"] for row in rows), 1)
    rows.append({"state": "sum", "bytes each": "", "count": "", "MB": total})
    return rows


def estimate_control_bytes(slopes: dict[str, Any]) -> list[dict[str, Any]]:
    """Estimate the control bytes a second that one daemon sends, by message.

    The reader is the daemon of a data centre that reads the log for its peers; the
    others send no records and no digests of their own.
    """
    message_sizes = slopes["messages"]
    peers = DAEMONS_PER_CENTRE - 1
    heartbeat_with_members = message_sizes["heartbeat that names the admitted"]
    mean_heartbeat = (3 * message_sizes["heartbeat"] + heartbeat_with_members) / 4
    mean_heartbeat += (
        message_sizes["heartbeat, a shard more"]
        * SHARDS_PER_CENTRE
        / DAEMONS_PER_CENTRE
    )
    change_rate = message_sizes["change record"] * CHANGES_PER_DAY / DAY_S
    job_rate = (
        JOBS_PER_DAY
        / DATA_CENTRES
        / DAY_S
        * (message_sizes["job record"] + message_sizes["end record"])
    )
    digest_bytes = (
        message_sizes["digest"]
        + (SHARDS_PER_CENTRE - 1) * message_sizes["digest, a shard more"]
    )
    # To each of the 9 other data centres one digest in 10 s
    relay_rate = 9 * peers * digest_bytes / 10 / DAEMONS_PER_CENTRE
    inventory_rate = HOSTS / DATA_CENTRES / DAEMONS_PER_CENTRE / INVENTORY_WAIT_S * 220
    rows = [
        (
            "heartbeats, 2 a second",
            2 * peers * mean_heartbeat,
            2 * peers * mean_heartbeat,
        ),
        (
            "tails and records of the log",
            peers * (2 * message_sizes["tail"] + change_rate + job_rate),
            0.0,
        ),
        ("digests to other data centres, 1 in 10 s", 9 * digest_bytes / 10, 0.0),
        ("digests passed on", relay_rate, relay_rate),
        ("inventories", inventory_rate, inventory_rate),
    ]
    table_rows = [
        {"control": name, "reader B/s": round(reader), "other B/s": round(other)}
        for name, reader, other in rows
    ]
    table_rows.append(
        {
            "control": "sum",
            "reader B/s": sum(row["reader B/s"] for row in table_rows),
            "other B/s": sum(row["other B/s"] for row in table_rows),
        }
    )
    return table_rows


def estimate_appends() -> list[dict[str, Any]]:
    """Estimate the appends a second to the log, by record."""
    restart_rate = (HOST_FAILURES_PER_DAY + RESTARTS_PER_DAY) / DAY_S
    rows = [
        ("job accepted and ended", 2 * JOBS_PER_DAY / DAY_S),
        (
            "ends of tasks at the peak, batched each 5 ms at most",
            DATA_CENTRES * DAEMONS_PER_CENTRE * 2.0,
        ),
        ("joins, claims, releases", restart_rate * (2 + SHARDS_PER_CENTRE)),
        ("changes of configuration", CHANGES_PER_DAY / DAY_S),
        ("snapshots, 1 in 10 minutes, 12 parts", (DATA_CENTRES + 1) * 12 / 600),
    ]
    table_rows = [{"records": name, "appends/s": round(rate, 3)} for name, rate in rows]
    total = round(sum(row["appends/s"] for row in table_rows), 1)
    table_rows.append({"records": "sum", "appends/s": total})
    return table_rows


def estimate_region_bytes(slopes: dict[str, Any]) -> list[dict[str, Any]]:
    """Estimate the bytes that cross regions, by cause."""
    message_sizes = slopes["messages"]
    pair_rate = slopes["abroad"]["digest bytes a second, pair"]
    return [
        {"cause": "a request served at home", "bytes": 0},
        {"cause": "a task start at home", "bytes": 0},
        {
            "cause": "a change, for each data centre",
            "bytes": message_sizes["change record"],
        },
        {
            "cause": "an idle hour, a pair of data centres (measured)",
            "bytes": round(pair_rate * 3600),
        },
        {"cause": "a second at rest, a pair (target 1,000)", "bytes": round(pair_rate)},
    ]


def compare_with_bounds(
    slopes: dict[str, Any], processes: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Compare each bound with the estimate or measurement that it limits."""
    memory = estimate_memory(slopes)[-1]["MB"]
    control_sums = estimate_control_bytes(slopes)[-1]
    process_row = next(row for row in processes if row["daemons"] == DAEMONS_PER_CENTRE)
    appends = estimate_appends()[-1]["appends/s"]
    rows = [
        ("memory MB", MEMORY_BOUND_MB, memory),
        ("memory at rest MB, 7 true daemons", MEMORY_BOUND_MB, process_row["MB max"]),
        ("core at rest, median of 7", CORE_BOUND, process_row["core median"]),
        ("core at rest, the reader of 7", CORE_BOUND, process_row["core max"]),
        ("control B/s, reader", CONTROL_BYTES_BOUND, control_sums["reader B/s"]),
        ("control B/s, other", CONTROL_BYTES_BOUND, control_sums["other B/s"]),
        ("appends/s, whole log", APPENDS_BOUND, appends),
    ]
    return [
        {
            "bound": name,
            "allowed": allowed,
            "found": found,
            "met": "yes" if found <= allowed else "NO",
        }
        for name, allowed, found in rows
    ]


def render_tables() -> str:
    """Render all tables of the page as Markdown."""
    slopes, processes = (
        read_measurements("slopes.json"),
        read_measurements("processes.json"),
    )
    parts = [
        ("Bounds", compare_with_bounds(slopes, processes)),
        ("State of one daemon", estimate_memory(slopes)),
        ("Control bytes that one daemon sends", estimate_control_bytes(slopes)),
        ("Appends, all data centres", estimate_appends()),
        ("Bytes across regions", estimate_region_bytes(slopes)),
        ("True daemons at rest", processes),
        ("The carried request", read_measurements("carried.json")),
    ]
    lines = []
    for title, rows in parts:
        body = format_table(list(rows[0]), rows)
        lines.append(f"### {title}\n\n```\n{body}\n```\n")
    return "\n".join(lines)


def main() -> int:
    """Write the tables to the page and print them."""
    text = PAGE.read_text()
    head, rest = text.split(BEGIN_MARK)
    tail = rest.split(END_MARK)[1]
    PAGE.write_text(f"{head}{BEGIN_MARK}\n\n{render_tables()}\n{END_MARK}{tail}")
    print(render_tables())
    return 0


if __name__ == "__main__":
    sys.exit(main())
