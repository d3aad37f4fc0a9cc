"""Trials of an owner that is cut off, with real daemons on loopback.

Four daemons as processes and stand-ins of the store and of four executors. The owner of
the pool is cut off from the store, the other daemons and some of the executors; the
others are cut off from the executors that only it reaches. Then all links are restored,
and the runs that the executors have recorded are checked for rule TWICE. In other cases
the store is silent, or daemons and executors are lost; ``lost``, ``restart-lost`` and
``most-lost`` check LOST as well, ``quiet-outage`` that no run lapses.

``python -m bench.cut_owner [--seed N] [--runs N] [--case NAME] [--root PATH]
[--logs FOLDER] [--no-cuts]``; exit 1 if a rule was broken, 2 if a trial could not be
run. Run it by hand, and nothing else beside it.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import signal
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from bench.cut_executor import STORE
from bench.cut_links import Cuts
from bench.cut_world import CutWorld
from bench.run_check import EventKind, collect_runs
from review.common.world import CannotRunError

ROOT = Path(__file__).resolve().parent.parent
# Seconds after which a trial is ended.
TRIAL_LIMIT_S = 58.0
# Seconds for which an owner is cut off.
CUT_S = (9.0, 11.0)
# Seconds that are watched after all links were restored.
WATCH_S = 7.0
OUTAGE_S = 9.0
SHORT_OUTAGE_S = 4.0
# Seconds from the start of a short outage to the loss of the first daemon.
LOSS_AFTER_S = (0.0, 2.5)
# Seconds from the loss of the other daemons to that of the owner.
OWNER_LOSS_AFTER_S = 1.0
# Seconds for which a daemon that restarts is down, and until the next one is.
DOWN_S = 0.5
RESTART_GAP_S = 0.3
# Seconds from the start of the outage to the crash of an executor.
CRASH_AFTER_S = 1.0
# Seconds before an outage, so that no member's statement is too short for its youth.
SETTLE_S = 3.0
SUCCESSOR_LIMIT_S = 6.0
# Seconds for which the tasks of a lost executor are awaited, and that are watched then.
LOST_WATCH_S = 20.0
# Seconds after the last trouble or run within which they have to run again.
RUN_AGAIN_LIMIT_S = 7.0
LATER_WATCH_S = 2.0
SHORT_JOB, LONG_JOB, LATER_JOB = (f"5c0e7a21d94b36f{n}" for n in range(3))
SHORT_MS = (1200, 2000, 3000)
LONG_MS = 60_000
SHORT_TASKS, LONG_TASKS, LATER_TASKS = 3, 8, 3


async def submit_jobs(world: CutWorld) -> None:
    """Submit a long job and a short one, and wait until their tasks run."""
    names = world.others()
    await world.submit_job(world.rng.choice(names), LONG_JOB, LONG_TASKS, LONG_MS)
    await world.wait_running(LONG_JOB, LONG_TASKS)
    work_ms = world.rng.choice(SHORT_MS)
    await world.submit_job(world.rng.choice(names), SHORT_JOB, SHORT_TASKS, work_ms)
    await world.wait_running(SHORT_JOB, 1)
    await asyncio.sleep(world.rng.uniform(0.2, 1.0))


def choose_kept(world: CutWorld, among: set[str], most: int) -> set[str]:
    """Return executors for one side, one of them with room for more.

    At least one that runs tasks is left for the other side.
    """
    count = world.rng.randint(1, most)
    spared = world.rng.choice(sorted(world.busy_executors() & among or among))
    free = sorted(among - {spared}, key=lambda name: world.executors[name].used_cpu())
    return {free[0], *world.rng.sample(free[1:], min(count, len(free)) - 1)}


async def submit_later(world: CutWorld, daemon: str) -> None:
    """Submit a job while the owner is cut off; it need not be accepted."""
    try:
        async with asyncio.timeout(3.0):
            await world.submit_job(daemon, LATER_JOB, LATER_TASKS, LONG_MS)
    except (CannotRunError, TimeoutError):
        world.record(f"{LATER_JOB} was not accepted in time")


async def start_split(world: CutWorld, most: int = 2) -> tuple[str, set[str]]:
    """Cut the owner off with some executors; return its name and these."""
    await submit_jobs(world)
    owner = world.find_holder(world.executors)
    if owner is None:
        raise CannotRunError("the executors obey no single owner")
    kept = choose_kept(world, set(world.executors), most)
    world.split(owner[1], kept, reach_store=world.rng.random() < 0.5)
    return owner[1], kept


async def play_two_sides(world: CutWorld) -> None:
    """Cut the owner off with some executors, and let it come back."""
    cut_s = world.rng.uniform(*CUT_S)
    owner, _ = await start_split(world)
    heal_at = world.now() + cut_s
    await asyncio.sleep(2.0)
    await submit_later(world, world.others(owner)[0])
    await asyncio.sleep(heal_at - world.now())
    world.heal_all()
    await asyncio.sleep(WATCH_S)


async def play_restart(world: CutWorld) -> None:
    """Restart an executor that then only the former owner reaches.

    In half of the trials the store is down in part: the former owner still reads the
    list of executors, and the one that has restarted writes its entry there.
    """
    is_list_read = world.rng.random() < 0.5
    await submit_jobs(world)
    term, owner = world.find_holder(world.executors) or (0, "")
    heal_at = world.now() + world.rng.uniform(*CUT_S)
    world.split(owner, set(), reach_store=True)
    successor = await world.wait_owner(world.executors, SUCCESSOR_LIMIT_S, term)
    await asyncio.sleep(world.rng.uniform(0.0, 1.0))
    name = world.rng.choice(sorted(world.executors))
    executor = world.executors[name]
    executor.crash()
    world.cuts.cut([name], world.others(owner))
    world.cuts.heal([owner], [name])
    if is_list_read:
        world.store.list_readers.add(owner)
    else:
        world.cuts.cut([name], [STORE])
        world.unlist_later([name])
    world.record(f"{name} is reached by {owner} only, list read: {is_list_read}")
    await asyncio.sleep(world.rng.uniform(0.1, 1.0))
    await executor.restart()
    await submit_later(world, successor.name)
    await asyncio.sleep(heal_at - world.now())
    world.heal_all()
    await asyncio.sleep(WATCH_S)


async def play_outage(world: CutWorld) -> None:
    """Cut all daemons off from the store, and crash an executor for good."""
    await submit_jobs(world)
    began = world.now()
    world.cuts.cut(world.others(), [STORE])
    world.record("the store answers nobody")
    await asyncio.sleep(CRASH_AFTER_S)
    name = world.rng.choice(sorted(world.busy_executors()))
    tasks = set(world.executors[name].runs)
    crashed_at = world.now()
    world.executors[name].crash(is_silent=world.rng.random() < 0.5)
    world.unlist_later([name])
    await asyncio.sleep(began + OUTAGE_S - world.now())
    world.heal_all()
    world.unlist(name)
    await asyncio.sleep(2 * WATCH_S)
    _measure_restarts(world, tasks, crashed_at, crashed_at)


def _find_again(
    world: CutWorld, tasks: set[str], crashed_at: float
) -> dict[str, float]:
    """Return the times at which these tasks first ran again after a crash."""
    again: dict[str, float] = {}
    for event in world.events:
        is_again = event.kind == EventKind.START and event.at > crashed_at
        if is_again and event.task in tasks:
            again.setdefault(event.task, event.at)
    return again


def _measure_restarts(
    world: CutWorld, tasks: set[str], crashed_at: float, trouble_at: float
) -> None:
    """Note how many seconds after the last trouble each of these tasks ran again."""
    again = _find_again(world, tasks, crashed_at)
    world.restart_s = sorted(round(at - trouble_at, 2) for at in again.values())
    world.record(
        f"{len(tasks)} tasks were lost; {len(again)} ran again after "
        f"{world.restart_s} s"
    )


async def play_lost(world: CutWorld) -> None:
    """Lose the owner and an executor for good, neither of which answers any more."""
    offset_s = world.rng.uniform(-1.0, 1.0)
    await submit_jobs(world)
    _, owner = world.find_holder(world.executors) or (0, "")
    name = world.rng.choice(sorted({each.name for each, _ in world.running(LONG_JOB)}))
    executor = world.executors[name]
    if offset_s > 0:
        world.lose(owner)
        await asyncio.sleep(offset_s)
    tasks = {task for task in executor.runs if task.startswith(f"{LONG_JOB}.")}
    world.lose_executor(name)
    if offset_s <= 0:
        await asyncio.sleep(-offset_s)
        world.lose(owner)
    await _watch_lost(world, tasks)


async def _watch_lost(world: CutWorld, tasks: set[str]) -> None:
    """Watch tasks after the last trouble; note for how long they did not run."""
    trouble_at = world.now()
    missing = tasks
    while world.now() < trouble_at + (LOST_WATCH_S if missing else WATCH_S):
        await asyncio.sleep(0.1)
        missing = tasks - {run.task for _, run in world.running(LONG_JOB)}
    await asyncio.sleep(LATER_WATCH_S)
    gaps = _find_gaps(world, tasks, trouble_at)
    world.restart_s = sorted(round(gap, 2) for gap in gaps.values() if gap > 0)
    world.record(f"tasks ran again {world.restart_s} s after the last trouble or run")
    for task, gap in sorted(gaps.items()):
        if gap > RUN_AGAIN_LIMIT_S:
            world.late.append(f"LOST: {task} did not run for {gap:.2f} s")


def _find_gaps(world: CutWorld, tasks: set[str], since: float) -> dict[str, float]:
    """Return the longest time for which each task has not run since then."""
    gaps, ends = dict.fromkeys(tasks, 0.0), dict.fromkeys(tasks, since)
    for run in collect_runs(world.events):
        if (task := run.start.task) in tasks:
            gaps[task] = max(gaps[task], run.start.at - ends[task])
            ends[task] = max(ends[task], run.over_at)
    now = world.now()
    return {task: max(gap, now - ends[task]) for task, gap in gaps.items()}


async def _silence_store(world: CutWorld, seconds: float) -> None:
    """Cut all daemons off from the store, and restore that of those that live then."""
    world.cuts.cut(world.others(), [STORE])
    world.record("the store answers nobody")
    await asyncio.sleep(seconds)
    world.cuts.heal(world.others(*world.lost), [STORE])
    world.record("the store answers again")


async def _settle(world: CutWorld) -> str:
    """Submit jobs and wait until an outage may begin; return the owner."""
    await submit_jobs(world)
    await asyncio.sleep(SETTLE_S)
    return (world.find_holder(world.executors) or (0, ""))[1]


def _lose_owner_and_executor(world: CutWorld, owner: str) -> None:
    world.lose(owner)
    names = {each.name for each, _ in world.running(LONG_JOB)}
    world.lose_executor(world.rng.choice(sorted(names)))


async def play_restart_lost(world: CutWorld) -> None:
    """Lose the owner and an executor in a short outage; the other daemons restart."""
    owner = await _settle(world)
    tasks = {run.task for _, run in world.running(LONG_JOB)}

    async def lose_and_restart() -> None:
        await asyncio.sleep(world.rng.uniform(*LOSS_AFTER_S))
        _lose_owner_and_executor(world, owner)
        for number, name in enumerate(world.others(owner)):
            await asyncio.sleep(RESTART_GAP_S if number else 0.0)
            await world.restart(name, DOWN_S)

    await asyncio.gather(_silence_store(world, SHORT_OUTAGE_S), lose_and_restart())
    await _watch_lost(world, tasks)


async def play_most_lost(world: CutWorld) -> None:
    """Lose all daemons but one in a short outage, the owner last, with an executor."""
    owner = await _settle(world)
    tasks = {run.task for _, run in world.running(LONG_JOB)}
    spared = world.rng.choice(world.others(owner))

    async def lose_most() -> None:
        await asyncio.sleep(world.rng.uniform(*LOSS_AFTER_S))
        for name in world.others(owner, spared):
            world.lose(name)
        await asyncio.sleep(OWNER_LOSS_AFTER_S)
        _lose_owner_and_executor(world, owner)

    await asyncio.gather(_silence_store(world, SHORT_OUTAGE_S), lose_most())
    await _watch_lost(world, tasks)


async def play_outage_lost(world: CutWorld, lost: int) -> None:
    """Cut all daemons off from the store, and lose some that own nothing."""
    owner = await _settle(world)
    outage = asyncio.ensure_future(_silence_store(world, OUTAGE_S))
    await asyncio.sleep(CRASH_AFTER_S)
    for name in world.rng.sample(world.others(owner), lost):
        world.lose(name)
    await outage
    await asyncio.sleep(WATCH_S)


async def play_quiet_outage(world: CutWorld) -> None:
    """Cut all daemons off from the store; no run may lapse."""
    await play_outage_lost(world, lost=0)
    world.late += [
        f"LAPSED: {run.start.task}: {run.describe()}"
        for run in collect_runs(world.events)
        if run.how == "lapsed"
    ]


async def play_pause(world: CutWorld) -> None:
    """Stop the owner's process for a while, and cut it off with some executors."""
    is_cut_first = world.rng.random() < 0.5
    pause_s = world.rng.uniform(0.3, 8.0)
    await submit_jobs(world)
    _, owner = world.find_holder(world.executors) or (0, "")
    kept = choose_kept(world, set(world.executors), 2)
    heal_at = world.now() + world.rng.uniform(*CUT_S)
    if is_cut_first:
        world.split(owner, kept, reach_store=True)
        await asyncio.sleep(world.rng.uniform(0.1, 2.0))
    process = world.daemon(owner).process
    process.send_signal(signal.SIGSTOP)
    world.record(f"daemon {owner} is stopped for {pause_s:.2f} s")
    if not is_cut_first:
        await asyncio.sleep(min(pause_s, world.rng.uniform(0.1, 2.0)))
        world.split(owner, kept, reach_store=True)
    await asyncio.sleep(pause_s)
    process.send_signal(signal.SIGCONT)
    world.record(f"daemon {owner} goes on")
    await asyncio.sleep(max(0.0, heal_at - world.now()))
    world.heal_all()
    await asyncio.sleep(WATCH_S)


async def play_turn(world: CutWorld) -> None:
    """Cut an owner off, then its successor, or kill that one."""
    term, _ = world.find_holder(world.executors) or (0, "")
    owner, kept = await start_split(world, most=1)
    heal_at = world.now() + world.rng.uniform(*CUT_S)
    rest = set(world.executors) - kept
    successor = (await world.wait_owner(rest, SUCCESSOR_LIMIT_S, term)).name
    await submit_later(world, successor)
    await asyncio.sleep(world.rng.uniform(0.0, 2.5))
    if is_killed := world.rng.random() < 0.4:
        world.kill(successor)
    else:
        second = choose_kept(world, rest, 1)
        world.split(successor, second, reach_store=world.rng.random() < 0.5)
    second_heal_at = world.now() + world.rng.uniform(*CUT_S)
    await asyncio.sleep(heal_at - world.now())
    if not is_killed:
        free = [*world.others(owner, successor), STORE, *(rest - second)]
        world.cuts.heal([owner], free)
        world.cuts.heal([*free, owner], kept)
        world.record(f"the links of {owner} are restored, but for those of {successor}")
        await asyncio.sleep(second_heal_at - world.now())
    world.heal_all()
    await asyncio.sleep(WATCH_S)


CASES: dict[str, Callable[[CutWorld], Awaitable[None]]] = {
    "two-sides": play_two_sides,
    "restart": play_restart,
    "outage": play_outage,
    "quiet-outage": play_quiet_outage,
    "outage-lost": partial(play_outage_lost, lost=1),
    "outage-lost-two": partial(play_outage_lost, lost=2),
    "lost": play_lost,
    "restart-lost": play_restart_lost,
    "most-lost": play_most_lost,
    "pause": play_pause,
    "turn": play_turn,
}


@dataclass(slots=True)
class Result:
    """What one trial gave."""

    seed: int
    findings: list[str] = field(default_factory=list)
    not_run: str = ""
    ready_s: float = 0.0
    restart_s: list[float] = field(default_factory=list)
    owners: list[str] = field(default_factory=list)
    lapsed: int = 0
    again: int = 0
    took_s: float = 0.0

    def describe(self, case: str) -> str:
        """Return one line."""
        state = f"BROKEN {len(self.findings)}" if self.findings else "held"
        text = f"{case} seed {self.seed}: {self.not_run or state}"
        text += f"; ready after {self.ready_s:.1f} s, took {self.took_s:.0f} s"
        text += f"; owners {', '.join(self.owners)}"
        text += f"; {self.lapsed} runs lapsed, {self.again} were started again"
        return text + (f"; ran again after {self.restart_s}" if self.restart_s else "")


async def play(args: argparse.Namespace, seed: int, folder: Path) -> Result:
    """Play one trial; keep its record, events and logs in a folder."""
    rng = random.Random(f"{args.case}-{seed}")
    world = CutWorld(folder, args.root.resolve(), rng, Cuts(args.no_cuts))
    result = Result(seed)
    world.record(f"load average {os.getloadavg()[0]:.1f}")
    try:
        async with asyncio.timeout(TRIAL_LIMIT_S):
            await world.begin_all()
            await CASES[args.case](world)
    except (CannotRunError, TimeoutError) as exc:
        result.not_run = f"not run to its end ({exc!r})"
        world.record(result.not_run)
    finally:
        await world.end()
    result.findings = world.list_findings() + world.late
    result.ready_s, result.restart_s = world.ready_s, world.restart_s
    result.owners = world.list_owners()
    result.took_s = world.now()
    runs = collect_runs(world.events)
    result.lapsed = sum(run.how == "lapsed" for run in runs)
    result.again = len(runs) - len({run.start.task for run in runs})
    lines = world.lines + result.findings
    (folder / "record.txt").write_text("\n".join(lines) + "\n")
    return result


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(prog="python -m bench.cut_owner")
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    parser.add_argument("--runs", type=int, default=1, help="seeds that are played")
    parser.add_argument("--case", choices=list(CASES), default="two-sides")
    parser.add_argument("--root", type=Path, default=ROOT, help="product under test")
    parser.add_argument("--logs", type=Path, help="folder in which logs are kept")
    parser.add_argument(
        "--no-cuts", action="store_true", help="cut no link, as a comparison"
    )
    return parser.parse_args()


def run_trials(args: argparse.Namespace, logs: Path) -> list[Result]:
    """Play a number of trials one after another."""
    results = []
    for seed in range(args.seed, args.seed + args.runs):
        folder = logs / f"{args.case}-{seed}-{time.strftime('%H%M%S')}"
        folder.mkdir(parents=True)
        result = asyncio.run(play(args, seed, folder))
        print("\n".join([result.describe(args.case), *result.findings]), flush=True)
        results.append(result)
    return results


def main() -> int:
    """Play the trials and print what they gave."""
    args = parse_arguments()
    logs = args.logs or Path(tempfile.mkdtemp(prefix="cut-owner-"))
    results = run_trials(args, logs.resolve())
    broken = [each.seed for each in results if each.findings]
    not_run = [each.seed for each in results if each.not_run]
    times = [time_s for each in results for time_s in each.restart_s]
    print(f"{args.case}: {len(results)} runs, broken {broken}, not run {not_run}")
    print(f"logs: {logs}")
    if times:
        print(f"ran again after {statistics.median(times)} s, at most {max(times)} s")
    return 1 if broken else 2 if not_run else 0


if __name__ == "__main__":
    sys.exit(main())
