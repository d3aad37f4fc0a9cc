"""The tables of ``docs/CAPACITY.md``, worked out from the recorded measurements.

``python -m bench.capacity`` writes them between the marks on the page.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from siskinroad.tables import table

DOCS = Path(__file__).parent.parent / "docs"
PAGE = DOCS / "CAPACITY.md"
BEGIN, END = "<!-- tables -->", "<!-- end of tables -->"

# The size to design for
HOSTS = 4500
RUNNING = 16_000
QUEUED = 100_000
STARTS = 1800
JOBS = 49_000
OWNERS = 58
CENTRES = 10
DAEMONS = 7
CHANGES = 3300
HOST_FAILURES = 53
RESTARTS = 240
SHARDS = 7
DAY = 86_400.0
IMPORTS_MB = 30.3
CORE = 0.011
MEMORY_MB = 32.0
BYTES = 5000.0
INVENTORY_WAIT = 10.0
APPENDS = 250


def read(name: str) -> Any:
    return json.loads((DOCS / name).read_text())


def memory_rows(slopes: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the state of one daemon of a data centre, by kind."""
    per = slopes["memory"]
    counts = {
        "host in the cell file": HOSTS,
        "owner": OWNERS,
        "host owned": HOSTS / CENTRES / DAEMONS,
        "running task": RUNNING / CENTRES / DAEMONS,
        "queued task": QUEUED / CENTRES / DAEMONS,
        "job in the ledger": JOBS / CENTRES / 24 + 1000,
        "key in the ledger": 5000,
    }
    rows = []
    for name, count in counts.items():
        each = per[name]["slope"]
        rows.append(
            {
                "state": name,
                "bytes each": round(each),
                "count": round(count),
                "MB": round(each * count / 1e6, 2),
            }
        )
    rows.append(
        {
            "state": "program and libraries",
            "count": 1,
            "MB": IMPORTS_MB,
            "bytes each": "",
        }
    )
    total = round(sum(row["MB"] for row in rows), 1)
    rows.append({"state": "sum", "bytes each": "", "count": "", "MB": total})
    return rows


def byte_rows(slopes: dict[str, Any]) -> list[dict[str, Any]]:
    """Return bytes a second that one daemon sends for control."""
    size = slopes["messages"]
    peers = DAEMONS - 1
    named = size["heartbeat that names the admitted"]
    beat = (3 * size["heartbeat"] + named) / 4
    beat += size["heartbeat, a shard more"] * SHARDS / DAEMONS
    change = size["change record"] * CHANGES / DAY
    starts = JOBS / CENTRES / DAY * (size["job record"] + size["end record"])
    digest = size["digest"] + (SHARDS - 1) * size["digest, a shard more"]
    passed_on = 9 * peers * digest / 10 / DAEMONS
    inventory = HOSTS / CENTRES / DAEMONS / INVENTORY_WAIT * 220
    rows = [
        ("heartbeats, 2 a second", 2 * peers * beat, 2 * peers * beat),
        (
            "tails and records of the log",
            peers * (2 * size["tail"] + change + starts),
            0.0,
        ),
        ("digests to other data centres, 1 in 10 s", 9 * digest / 10, 0.0),
        ("digests passed on", passed_on, passed_on),
        ("inventories", inventory, inventory),
    ]
    found = [
        {"control": name, "reader B/s": round(reader), "other B/s": round(other)}
        for name, reader, other in rows
    ]
    found.append(
        {
            "control": "sum",
            "reader B/s": sum(row["reader B/s"] for row in found),
            "other B/s": sum(row["other B/s"] for row in found),
        }
    )
    return found


def append_rows() -> list[dict[str, Any]]:
    """Return appends a second to the whole log."""
    restarts = (HOST_FAILURES + RESTARTS) / DAY
    rows = [
        ("job accepted and ended", 2 * JOBS / DAY),
        (
            "ends of tasks at the peak, batched each 5 ms at most",
            CENTRES * DAEMONS * 2.0,
        ),
        ("joins, claims, releases", restarts * (2 + SHARDS)),
        ("changes of configuration", CHANGES / DAY),
        ("snapshots, 1 in 10 minutes, 12 parts", (CENTRES + 1) * 12 / 600),
    ]
    found = [{"records": name, "appends/s": round(rate, 3)} for name, rate in rows]
    total = round(sum(row["appends/s"] for row in found), 1)
    found.append({"records": "sum", "appends/s": total})
    return found


def region_rows(slopes: dict[str, Any]) -> list[dict[str, Any]]:
    """Return bytes that cross regions, by what causes them."""
    size = slopes["messages"]
    pair = slopes["abroad"]["digest bytes a second, pair"]
    return [
        {"cause": "a request served at home", "bytes": 0},
        {"cause": "a task start at home", "bytes": 0},
        {"cause": "a change, for each data centre", "bytes": size["change record"]},
        {
            "cause": "an idle hour, a pair of data centres (measured)",
            "bytes": round(pair * 3600),
        },
        {"cause": "a second at rest, a pair (target 1,000)", "bytes": round(pair)},
    ]


def verdict_rows(
    slopes: dict[str, Any], processes: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return the allowed amounts beside what follows for one daemon."""
    memory = memory_rows(slopes)[-1]["MB"]
    sent = byte_rows(slopes)[-1]
    seven = next(row for row in processes if row["daemons"] == DAEMONS)
    appends = append_rows()[-1]["appends/s"]
    rows = [
        ("memory MB", MEMORY_MB, memory),
        ("memory at rest MB, 7 true daemons", MEMORY_MB, seven["MB max"]),
        ("core at rest, median of 7", CORE, seven["core median"]),
        ("core at rest, the reader of 7", CORE, seven["core max"]),
        ("control B/s, reader", BYTES, sent["reader B/s"]),
        ("control B/s, other", BYTES, sent["other B/s"]),
        ("appends/s, whole log", APPENDS, appends),
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


def tables() -> str:
    """Return every table as it stands on the page."""
    slopes, processes = read("slopes.json"), read("processes.json")
    parts = [
        ("Bounds", verdict_rows(slopes, processes)),
        ("State of one daemon", memory_rows(slopes)),
        ("Control bytes that one daemon sends", byte_rows(slopes)),
        ("Appends, all data centres", append_rows()),
        ("Bytes across regions", region_rows(slopes)),
        ("True daemons at rest", processes),
        ("The carried request", read("carried.json")),
    ]
    lines = []
    for title, rows in parts:
        body = table(list(rows[0]), rows)
        lines.append(f"### {title}\n\n```\n{body}\n```\n")
    return "\n".join(lines)


def main() -> int:
    text = PAGE.read_text()
    head, rest = text.split(BEGIN)
    tail = rest.split(END)[1]
    PAGE.write_text(f"{head}{BEGIN}\n\n{tables()}\n{END}{tail}")
    print(tables())
    return 0


if __name__ == "__main__":
    sys.exit(main())
