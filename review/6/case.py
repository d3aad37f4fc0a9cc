"""A queue is sent to a new service, and back again by the next version at once."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from world import (  # noqa: E402
    PREFIX,
    SERVICE,
    World,
    has_trouble,
    make_job,
    make_route,
    run_case,
)

NEW_SERVICE = "records-desk"
# Executors of each service.
EXECUTORS = 4
# Seconds between the two versions: those of the site's storm, or a calm pause.
STORM_GAP_S = 0.33
CALM_GAP_S = 8.0
# Seconds from the first version until each job is sent.
SEND_AT_S = (0.03, 0.06, 0.1, 0.14, 0.18, 0.22)
TASK_MS = 500
# A job that was accepted is known from `visible_ms` after its acknowledgement on.
VISIBLE_S = 3.0
# Seconds in which a job that has not started has every chance to.
WATCH_S = 10.0


async def submit(world: World, number: int) -> tuple[str, int]:
    """Hand a job in to one of the daemons; return its id and the status."""
    job = f"{0xA000 + number:016x}"
    await asyncio.sleep(SEND_AT_S[number])
    daemon = world.daemons[number % len(world.daemons)]
    body = make_job({"ms": TASK_MS})
    status, _ = await world.send(daemon, "POST", PREFIX + job, body)
    return job, status


async def play(world: World) -> str:
    """Play the case; return how the rule was broken."""
    await world.start(daemons=3, executors=0)
    for i in range(EXECUTORS):
        await world.add_executor(f"i-a{i}", SERVICE)
        await world.add_executor(f"i-b{i}", NEW_SERVICE)
    await asyncio.sleep(3.0)

    world.configure(8, [make_route(service=NEW_SERVICE)], (SERVICE, NEW_SERVICE))
    submits = [
        asyncio.create_task(submit(world, number)) for number in range(len(SEND_AT_S))
    ]
    await asyncio.sleep(STORM_GAP_S if has_trouble() else CALM_GAP_S)
    world.configure(9, [make_route()])
    answers = await asyncio.gather(*submits)
    accepted = [job for job, status in answers if status == 200]
    if not accepted:
        return ""
    await asyncio.sleep(max(VISIBLE_S, WATCH_S))
    unknown = []
    for job in accepted:
        replies = [
            await world.send(daemon, "GET", PREFIX + job) for daemon in world.daemons
        ]
        if any(status == 410 for status, _ in replies):
            unknown.append(job)
    lost = [job for job in unknown if not world.list_events(job, "start")]
    if unknown:
        return (
            f"{len(unknown)} of {len(accepted)} accepted jobs are answered with 410, "
            f"{len(lost)} of them have never started"
        )
    return ""


if __name__ == "__main__":
    sys.exit(run_case(play, HERE / "record.txt"))
