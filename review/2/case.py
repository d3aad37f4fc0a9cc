"""The owner of a service is killed right after it has acknowledged cancels.

160 jobs run, and the clients of a quarter of them cancel these within 900 ms of their
acceptance, all within a tenth of a second. 30 ms after the
first answer to a cancel, the daemon that gives the orders is killed, and nothing else.
Nothing of a job whose cancel was acknowledged may start later than ``cancel_ms`` after
that answer. This is done in turns, until one shows a late start.
"""

import asyncio
import re
import time

from review.common.world import IS_TROUBLE, CannotRunError, route, run_case

PREFIX = "/lohu930/"
ROUNDS = 8
# Jobs that are cancelled in a turn, and jobs that run beside them all the while.
JOBS = 40
OTHER_JOBS = 120
OTHER_MS = 110_000
STEPS = 100
STEP_MS = 120
# Seconds between two cancels: all of them take about as long as one turn of storing.
SPACING_S = 0.002
CANCEL_S = 3.0
SETTLE_S = 2.0
# Seconds from the last acceptance to the first cancel.
RUN_S = 0.5
PROMPT_S = 0.9
WATCH_S = 3.0
# Seconds from the first answer to a cancel until the owner is killed.
KILL_AFTER_S = 0.03


def job_id(turn, number):
    """Return the id of a job."""
    return f"5c0e7a21{turn:04x}{number:04x}"


class Turn:
    """One turn: the jobs, their cancels' answers and the kill."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.accepted_at = {}
        self.acked_at = {}
        self.killed_at = 0.0
        self.owner = find_owner(world)

    async def submit(self, number, daemon, phases):
        """Submit a job; note when it was accepted."""
        job = job_id(self.number, number)
        await self.world.submit(daemon, PREFIX + job, phases, [STEP_MS] * STEPS)
        self.accepted_at[job] = time.monotonic()

    async def cancel(self, number, daemon):
        """Cancel a job; note its answer; kill the owner soon after the first one."""
        job = job_id(self.number, number)
        if time.monotonic() - self.accepted_at[job] > PROMPT_S:
            self.world.record(f"{job} is left out: accepted over {PROMPT_S} s ago")
            return
        answer = await self.world.call(daemon, "DELETE", PREFIX + job)
        if answer is None or answer[0] not in (200, 410):
            return
        self.acked_at[job] = time.monotonic()
        if IS_TROUBLE and not self.killed_at:
            self.killed_at = time.monotonic()
            await asyncio.sleep(KILL_AFTER_S)
            self.owner.process.kill()
            self.world.record(f"daemon {self.owner.name} is killed")
            self.owner.process.wait()

    async def play(self):
        """Submit the jobs, cancel them, and return what was started too late."""
        world = self.world
        step = {"count": 1, "cpu": 1000, "mem_mb": 64, "estimated_ms": STEP_MS}
        phases = [step]
        phases += [{**step, "depends_on": [n]} for n in range(STEPS - 1)]
        owner = self.owner
        others = [daemon for daemon in world.daemons if daemon is not owner]
        await asyncio.gather(
            *(self.submit(n, others[n % 2], phases) for n in range(JOBS))
        )
        await asyncio.sleep(RUN_S)
        calls = []
        for number in range(JOBS):
            calls.append(asyncio.create_task(self.cancel(number, others[number % 2])))
            await asyncio.sleep(SPACING_S)
        await asyncio.gather(*calls)
        await asyncio.sleep(CANCEL_S + WATCH_S)
        late = {}
        for job, at in sorted(self.acked_at.items()):
            starts = [each for each in world.starts(job) if each[0] > at + CANCEL_S]
            if starts:
                late[job] = len(starts)
        world.record(
            f"turn {self.number}: {len(self.acked_at)} cancels were acknowledged; "
            f"starts more than {CANCEL_S} s later: {late}"
        )
        await self.clean_up()
        return late

    async def clean_up(self):
        """Start what was killed, and cancel what is left."""
        world = self.world
        for daemon in world.daemons:
            if daemon.process.poll() is not None:
                daemon.begin()
                await daemon.wait_ready()
        for number in range(JOBS):
            path = PREFIX + job_id(self.number, number)
            await world.call(world.daemons[0], "DELETE", path)
        await asyncio.sleep(SETTLE_S)


def find_owner(world):
    """Return the daemon that owns the service by the newest term in the logs."""
    for daemon in world.daemons:
        log = (world.folder / f"{daemon.name}.log").read_text()
        terms = re.findall(r'"owner: term started".*?"term": (\d+)', log)
        daemon.newest_term = int(terms[-1]) if terms else 0
    best = max(world.daemons, key=lambda each: each.newest_term)
    if not best.newest_term:
        raise CannotRunError("no daemon owns the service")
    return best


async def play(world):
    """Play the case; return what was broken."""
    routes = [route("r-1", PREFIX, "family-desk")]
    executors = [{"service": "family-desk", "cpu": 32_000} for _ in range(8)]
    await world.begin(routes, ["family-desk"], executors, daemons=3)
    phases = [{"count": 1, "cpu": 1000, "mem_mb": 64, "estimated_ms": OTHER_MS}]
    for number in range(OTHER_JOBS):
        path = PREFIX + job_id(0xFFFF, number)
        await world.submit(world.daemons[number % 3], path, phases, [OTHER_MS])
    broken = []
    for number in range(ROUNDS):
        late = await Turn(world, number).play()
        for job, count in late.items():
            broken.append(f"UNASKED: {count} late starts of {job}")
        if broken:
            break
    return broken


if __name__ == "__main__":
    run_case(play, __file__)
