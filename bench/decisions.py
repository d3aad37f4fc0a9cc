"""Benchmark of scheduling decisions against their targets and two baselines.

``python -m bench.decisions [--quick] [--json FILE] [--plot FILE]``
"""

from __future__ import annotations

import json
import math
import random
import sys
import time
from collections.abc import Iterator
from concurrent.futures import Executor, ProcessPoolExecutor
from typing import Any

from bench.baselines import FirstCome, StrictPriority
from bench.driver import (
    Arrival,
    Driver,
    RunResult,
    generate_bursty_arrivals,
    generate_poisson_arrivals,
)
from siskinroad.cell import Cell, parse_cell
from siskinroad.effects import End, StartTask
from siskinroad.load import percentile
from siskinroad.queues import Item
from siskinroad.scheduler import Scheduler
from siskinroad.tables import format_table

SEED = 3
POLICIES = ("siskinroad", "first come", "strict priority")

# Targets. Values without a unit in their names are ratios.
URGENT_WAIT_LIMIT_S = 1.8
MIN_URGENT_FRACTION = 0.999
MAX_URGENT_MEDIAN_S = 0.050
MAX_FLOOD_RATIO = 1.2
MIN_THROUGHPUT_RATIO = 0.95
MIN_PACKING_RATIO = 0.92
MAX_SHARE_ERROR = 0.02
MAX_DECISION_P99_S = 0.005
MIN_DECISIONS_PER_S = 2000
MAX_COST_RATIO = 2.0


def create_policy(name: str, cell: Cell) -> Any:
    match name:
        case "siskinroad":
            return Scheduler(cell, random.Random(SEED), 0.0)
        case "first come":
            return FirstCome(cell)
        case _:
            return StrictPriority(cell)


def _format_host_tables(count: int, rack: int) -> str:
    return "".join(
        f'[[upstreams.hosts]]\nname = "h{i}"\n'
        f'address = "127.0.{i // 200}.{i % 200 + 1}:7000"\n'
        f'rack = "r{i // rack}"\ndata_centre = "d"\n'
        for i in range(count)
    )


def _parse_bench_cell(
    pool: str, hosts: str, owners: dict[str, float], work: str
) -> Cell:
    text = 'name = "bench"\n[[regions]]\nname = "r"\ndata_centres = ["d"]\n'
    for name, weight in owners.items():
        text += f'[[owners]]\nname = "{name}"\nweight = {weight}\n'
    return parse_cell(text + f'[[upstreams]]\nname = "p"\n{pool}\n{hosts}{work}')


def _format_workload_table(
    kind: str, name: str, owner: str, urgency: str, **keys: object
) -> str:
    lines = [f"[[{kind}]]", f'name = "{name}"', f'owner = "{owner}"', 'upstream = "p"']
    lines.append(f'urgency = "{urgency}"')
    lines += [f"{k} = {str(v).lower()}" for k, v in keys.items()]
    return "\n".join(lines) + "\n"


def _get_declared_usage(item: Item) -> tuple[int, int]:
    need = item.workload.demand
    return need.cpu_milli, need.memory_mib


# Urgent requests during a flood of background work

# Number of hosts and TOML keys of the capacity of one, by deployment.
DEPLOYMENTS = {
    "stanova booking": (6, "cpu = 32\nmemory_gib = 128"),
    "al rahma family": (6, "cpu = 64\nmemory_gib = 256"),
}


def create_urgent_cell(deployment: str) -> Cell:
    count, pool = DEPLOYMENTS[deployment]
    demand = "{ cpu = 2, memory_gib = 4 }"
    work = _format_workload_table("services", "quote", "desk", "urgent", demand=demand)
    work += _format_workload_table(
        "services", "roster", "desk", "standard", demand=demand
    )
    paper = {"demand": demand, "checkpoint": True, "run_time_s": 2}
    paper["queue_limit"] = 50_000
    work += _format_workload_table("batch", "paper", "records", "background", **paper)
    work += _format_workload_table("batch", "flood", "records", "background", **paper)
    return _parse_bench_cell(
        pool, _format_host_tables(count, 5), {"desk": 3, "records": 1}, work
    )


# Offered load of each stream, as a fraction of the capacity of all hosts.
URGENT_LOAD = 0.45
STANDARD_LOAD = 0.15
PAPER_LOAD = 0.30
# Mean run times, in seconds.
QUOTE_TIME_S = 0.3
PAPER_TIME_S = 2.0
# Flood size (items) and run length (seconds) of the plotted waits.
PLOTTED_FLOOD = (4000, 300.0)
# Flood: number of items, mean run time and arrival time in seconds.
FLOOD_ITEMS = 20_000
FLOOD_TIME_S = 0.2
FLOOD_START_S = 60.0


def _draw_lognormal_time(rng: random.Random, mean: float, sigma: float = 1.0) -> float:
    """Draw a log-normal time with the given mean, in the unit of the mean."""
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)


def generate_urgent_arrivals(cell: Cell, flood: int, until: float) -> Iterator[Arrival]:
    rng = random.Random(SEED)
    slots = 8 * sum(1 for _ in cell.hosts())
    quote = generate_bursty_arrivals(
        rng, URGENT_LOAD * slots / QUOTE_TIME_S, until, 60.0, 1.5
    )
    roster = generate_poisson_arrivals(rng, STANDARD_LOAD * slots / QUOTE_TIME_S, until)
    paper = generate_poisson_arrivals(rng, PAPER_LOAD * slots / PAPER_TIME_S, until)
    # Each stream is drawn on its own, so that the flood leaves the others unchanged.
    merged = [(at, "quote") for at in quote]
    merged += [(at, "roster") for at in roster]
    merged += [(at, "paper") for at in paper]
    merged += [(FLOOD_START_S, "flood")] * flood
    merged.sort()
    for number, (at, name) in enumerate(merged):
        yield at, Item(f"{name}/{number}", cell.workloads[name], at)


def run_urgent(deployment: str, policy: str, flood: int, until: float) -> RunResult:
    cell = create_urgent_cell(deployment)
    mean_times_s = {
        "quote": QUOTE_TIME_S,
        "roster": QUOTE_TIME_S,
        "paper": PAPER_TIME_S,
        "flood": FLOOD_TIME_S,
    }

    def draw_run_time(item: Item) -> float:
        name = item.workload.name
        sigma = 0.5 if name == "flood" else 1.0
        return _draw_lognormal_time(
            random.Random(f"{SEED}{item.key}"), mean_times_s[name], sigma
        )

    driver = Driver(
        create_policy(policy, cell),
        cell,
        draw_run_time,
        _get_declared_usage,
        warm_up_s=30.0,
    )
    return driver.run(generate_urgent_arrivals(cell, flood, until), until)


def measure_urgent_waits(
    pool: Executor, flood: int, until: float
) -> list[dict[str, Any]]:
    runs = {
        (deployment, policy, items): pool.submit(
            run_urgent, deployment, policy, items, until
        )
        for deployment in DEPLOYMENTS
        for policy in POLICIES
        for items in (0, flood)
    }
    rows = []
    for deployment in DEPLOYMENTS:
        for policy in POLICIES:
            calm_result = runs[(deployment, policy, 0)].result()
            flood_result = runs[(deployment, policy, flood)].result()
            rows.append(
                _summarize_urgent_waits(
                    deployment, policy, calm_result, flood_result, flood
                )
            )
        first = next(
            r
            for r in rows
            if r["policy"] == "first come" and r["deployment"] == deployment
        )
        for row in rows:
            if row["deployment"] == deployment:
                row["throughput"] = round(row["paper done"] / first["paper done"], 3)
    return rows


def _summarize_urgent_waits(
    deployment: str,
    policy: str,
    calm_result: RunResult,
    flood_result: RunResult,
    flood: int,
) -> dict[str, Any]:
    waits = flood_result.waits["quote"]
    late_count = sum(1 for wait in waits if wait > URGENT_WAIT_LIMIT_S)
    calm_p99_s = percentile(calm_result.waits["quote"], 0.99)
    flood_p99_s = percentile(waits, 0.99)
    done = flood_result.finished.get("flood", 0)
    return {
        "deployment": deployment,
        "policy": policy,
        "urgent": len(waits),
        "within 1.8 s": round(1 - late_count / len(waits), 5),
        "median ms": round(percentile(waits, 0.5) * 1000, 1),
        "p99 calm ms": round(calm_p99_s * 1000, 1),
        "p99 flood ms": round(flood_p99_s * 1000, 1),
        "ratio": round(flood_p99_s / calm_p99_s, 2)
        if calm_p99_s
        else (1.0 if not flood_p99_s else math.inf),
        "paper done": done + flood_result.finished.get("paper", 0),
        "flood done": f"{done}/{flood}",
        "flood ended s": round(
            flood_result.last_finish_s.get("flood", 0.0) - FLOOD_START_S, 1
        )
        if done == flood
        else 0.0,
    }


# Packing of accelerator hosts


def create_packing_cell(hosts: int) -> Cell:
    pool = "cpu = 128\nmemory_gib = 512\naccelerators = 8"
    work = ""
    for size in (1, 2, 4):
        demand = (
            f"{{ cpu = {3 * size}, memory_gib = {12 * size}, accelerators = {size} }}"
        )
        keys = {"demand": demand, "run_time_s": 60, "checkpoint": size == 1}
        work += _format_workload_table(
            "batch", f"single{size}", "layouts", "standard", **keys
        )
    demand = "{ cpu = 3, memory_gib = 12, accelerators = 1 }"
    for size in (4, 8, 16):
        keys = {"demand": demand, "run_time_s": 90, "size": size}
        work += _format_workload_table(
            "gangs", f"gang{size}", "layouts", "standard", **keys
        )
    return _parse_bench_cell(pool, _format_host_tables(hosts, 3), {"layouts": 1}, work)


# Fraction of arrivals by workload.
ARRIVAL_MIX = {
    "single1": 0.45,
    "single2": 0.2,
    "single4": 0.1,
    "gang4": 0.12,
    "gang8": 0.09,
    "gang16": 0.04,
}


def generate_packing_arrivals(cell: Cell, until: float) -> Iterator[Arrival]:
    """Yield an initial backlog, then 1.3 times the work that the hosts can run."""
    rng = random.Random(SEED)
    hosts = sum(1 for _ in cell.hosts())
    mean = sum(
        part * cell.workloads[n].size * cell.workloads[n].demand.accelerators * 60
        for n, part in ARRIVAL_MIX.items()
    )
    rate = hosts * 8 / mean
    backlog = [0.0] * (hosts * 30)
    names, parts = list(ARRIVAL_MIX), list(ARRIVAL_MIX.values())
    times = [*backlog, *generate_poisson_arrivals(rng, rate * 1.3, until)]
    for number, at in enumerate(times):
        name = rng.choices(names, parts)[0]
        yield at, Item(f"{name}/{number}", cell.workloads[name], at)


def run_packing(policy: str, hosts: int, until: float) -> RunResult:
    cell = create_packing_cell(hosts)
    rng = random.Random(SEED)
    usage_factors = {name: 4 ** rng.uniform(-1, 1) for name in ARRIVAL_MIX}
    usage_factors["single1"], usage_factors["gang8"] = 4.0, 0.25
    run_time_factors = {name: 4 ** rng.uniform(-1, 1) for name in ARRIVAL_MIX}

    def draw_run_time(item: Item) -> float:
        own = random.Random(f"{SEED}{item.key}")
        return _draw_lognormal_time(
            own, item.workload.run_time * run_time_factors[item.workload.name], 0.6
        )

    def draw_usage(item: Item) -> tuple[int, int]:
        own = random.Random(f"{SEED}{item.key}u")
        factor = usage_factors[item.workload.name] * own.uniform(0.85, 1.0)
        need = item.workload.demand
        return round(need.cpu_milli * factor), round(need.memory_mib * factor)

    driver = Driver(
        create_policy(policy, cell), cell, draw_run_time, draw_usage, warm_up_s=600.0
    )
    return driver.run(generate_packing_arrivals(cell, until), until)


def measure_packing(
    pool: Executor, until: float, sizes: tuple[int, ...]
) -> list[dict[str, Any]]:
    runs = {
        (hosts, policy): pool.submit(run_packing, policy, hosts, until)
        for hosts in sizes
        for policy in POLICIES
    }
    rows = []
    for hosts in sizes:
        for policy in POLICIES:
            result = runs[(hosts, policy)].result()
            bound = hosts * 8 * (until - 600.0)
            gangs = [w for n in ("gang8", "gang16") for w in result.waits.get(n, [])]
            rows.append(
                {
                    "hosts": hosts,
                    "policy": policy,
                    "packing": round(result.accelerator_seconds / bound, 3),
                    "overfilled": result.overfilled,
                    "large gangs started": len(gangs),
                    "finished": sum(result.finished.values()),
                    "stopped": result.stopped,
                }
            )
    return rows


# Fair shares between owners

# Share weight by owner.
OWNER_WEIGHTS = {"a": 1.0, "b": 2.0, "c": 3.0, "d": 4.0}


def create_share_cell() -> Cell:
    pool = "cpu = 128\nmemory_gib = 512\naccelerators = 8"
    work = ""
    for owner in OWNER_WEIGHTS:
        demand = "{ cpu = 3, memory_gib = 12, accelerators = 1 }"
        keys = {"demand": demand, "run_time_s": 20, "queue_limit": 100000}
        work += _format_workload_table(
            "batch", f"work-{owner}", owner, "standard", **keys
        )
    return _parse_bench_cell(pool, _format_host_tables(12, 3), OWNER_WEIGHTS, work)


def measure_share_errors(until: float) -> list[dict[str, Any]]:
    rows = []
    for policy in POLICIES:
        cell = create_share_cell()
        rng = random.Random(SEED)
        items = [
            (0.0, Item(f"work-{o}/{i}", cell.workloads[f"work-{o}"], 0.0))
            for i in range(int(until / 20 * 96))
            for o in OWNER_WEIGHTS
        ]
        rng.shuffle(items)

        def draw_run_time(item: Item) -> float:
            return _draw_lognormal_time(random.Random(f"{SEED}{item.key}"), 20.0)

        driver = Driver(
            create_policy(policy, cell), cell, draw_run_time, _get_declared_usage
        )
        result = driver.run(iter(items), until, sample_interval_s=1.0)
        rows.append(
            {"policy": policy, "worst error": _compute_share_error(result, 600.0)}
        )
    return rows


def _compute_share_error(result: RunResult, window: float) -> float:
    """Return the largest deviation of an owner's mean share from its fair share.

    The mean is taken over windows of ``window`` seconds, one starting each minute.
    """
    total = sum(OWNER_WEIGHTS.values())
    count = int(window)
    worst = 0.0
    for owner, weight in OWNER_WEIGHTS.items():
        fractions = [line.get(owner, 0.0) / 96 for _, line in result.shares]
        for start in range(0, len(fractions) - count + 1, 60):
            mean = sum(fractions[start : start + count]) / count
            worst = max(worst, abs(mean - weight / total))
    return round(worst, 4)


# Time per decision


def measure_decision_times(scales: tuple[int, ...] = (1, 10)) -> list[dict[str, Any]]:
    return [_measure_decision_time(scale) for scale in scales]


def _measure_decision_time(scale: int) -> dict[str, Any]:
    hosts, running, waiting = 450 * scale, 1600 * scale, 10_000 * scale
    owners = {f"o{i}": 1.0 + i % 4 for i in range(58)}
    demand = "{ cpu = 7, memory_gib = 28 }"
    work = "".join(
        _format_workload_table(
            "batch",
            f"w{i}",
            f"o{i % 58}",
            ("urgent", "standard", "background")[i % 3],
            demand=demand,
            queue_limit=1000000,
        )
        for i in range(116)
    )
    cell = _parse_bench_cell(
        "cpu = 32\nmemory_gib = 128", _format_host_tables(hosts, 5), owners, work
    )
    policy = Scheduler(cell, random.Random(SEED), 0.0)
    policy.shard.admission_limit.limit = 1_000_000
    for host in cell.hosts():
        policy.add_host(host, 0.0)
        policy.host_event(host.name, "inventory", 0.0)
    rng = random.Random(SEED)
    workload_list = list(cell.workloads.values())
    for workload in workload_list:
        for _ in range(8):
            need = workload.demand
            policy.shard.estimates.observe(
                workload, 60.0, need.cpu_milli, need.memory_mib
            )
    running_keys: list[str] = []
    for i in range(running + waiting):
        item = Item(f"i{i}", rng.choice(workload_list), 0.0)
        for effect in policy.submit(item, 0.0):
            if isinstance(effect, StartTask):
                running_keys.append(effect.item.key)
    times = _time_decisions(policy, running_keys, workload_list, rng)
    return {
        "hosts": hosts,
        "running": len(running_keys),
        "waiting": len(policy.shard.waiting),
        "p50 us": round(percentile(times, 0.5) * 1e6),
        "p99 us": round(percentile(times, 0.99) * 1e6),
        "a second": round(len(times) / sum(times)),
    }


def _time_decisions(
    policy: Scheduler,
    running_keys: list[str],
    workload_list: list[Any],
    rng: random.Random,
) -> list[float]:
    """Time 4000 submissions and ends of items, in alternation; return seconds."""
    times = []
    now = 1.0
    for i in range(4000):
        now += 0.0005
        item = Item(f"n{i}", rng.choice(workload_list), now)
        key = running_keys.pop(rng.randrange(len(running_keys)))
        began = time.perf_counter()
        effects = policy.submit(item, now)
        middle = time.perf_counter()
        effects += policy.record_attempt_end(key, 0, End.DONE, now)
        times += [middle - began, time.perf_counter() - middle]
        running_keys += [e.item.key for e in effects if isinstance(e, StartTask)]
    return times


# Report


def compare_with_targets(
    found: dict[str, list[dict[str, Any]]],
) -> list[dict[str, Any]]:
    """Return each target with the measured value and whether it is met."""
    rows: list[dict[str, Any]] = []

    def add(name: str, value: float, good: bool) -> None:
        rows.append({"target": name, "measured": value, "met": "yes" if good else "NO"})

    for row in found["urgent"]:
        if row["policy"] != "siskinroad":
            continue
        where = row["deployment"]
        fraction, median = row["within 1.8 s"], row["median ms"]
        add(
            f"{where}: urgent within 1.8 s >= 0.999",
            fraction,
            fraction >= MIN_URGENT_FRACTION,
        )
        add(f"{where}: median <= 50 ms", median, median <= MAX_URGENT_MEDIAN_S * 1000)
        ratio, rate = row["ratio"], row["throughput"]
        add(f"{where}: flood/calm p99 <= 1.2", ratio, ratio <= MAX_FLOOD_RATIO)
        add(f"{where}: paper throughput >= 0.95", rate, rate >= MIN_THROUGHPUT_RATIO)
    for row in found["packing"]:
        if row["policy"] == "siskinroad":
            packed = row["packing"]
            add(
                f"{row['hosts']} hosts: packing >= 0.92",
                packed,
                packed >= MIN_PACKING_RATIO,
            )
            over = row["overfilled"]
            add(f"{row['hosts']} hosts: overfilled = 0", over, over == 0)
    error = found["shares"][0]["worst error"]
    add("share error <= 0.02", error, error <= MAX_SHARE_ERROR)
    if "decisions" in found:
        _add_decision_targets(found["decisions"], add)
    return rows


def _add_decision_targets(rows: list[dict[str, Any]], add: Any) -> None:
    small = rows[0]
    add("decision p99 <= 5 ms", small["p99 us"] / 1000, small["p99 us"] <= 5000)
    rate = small["a second"]
    add("decisions a second >= 2000", rate, rate >= MIN_DECISIONS_PER_S)
    if len(rows) > 1:
        ratio = round(small["a second"] / rows[-1]["a second"], 2)
        add("cost at 10 times the size <= 2", ratio, ratio <= MAX_COST_RATIO)


def measure_plotted_waits(policy: str) -> list[float]:
    """Return the waits of urgent requests during a small flood, in seconds."""
    return run_urgent("stanova booking", policy, *PLOTTED_FLOOD).waits["quote"]


def measure(quick: bool = False) -> dict[str, list[dict[str, Any]]]:
    """Run all benchmarks; ``quick`` has a smaller flood, shorter runs, no timing."""
    flood, until = (4000, 400.0) if quick else (FLOOD_ITEMS, 1500.0)
    span, sizes = (2400.0, (7,)) if quick else (7200.0, (7, 78))
    found = {} if quick else {"decisions": measure_decision_times()}
    with ProcessPoolExecutor() as pool:
        found["urgent"] = measure_urgent_waits(pool, flood, until)
        found["packing"] = measure_packing(pool, span, sizes)
    found["shares"] = measure_share_errors(1200.0 if quick else 2400.0)
    found["targets"] = compare_with_targets(found)
    return found


def main(args: list[str]) -> int:
    found = measure("--quick" in args)
    for name, rows in found.items():
        print(f"\n{name}\n{format_table(list(rows[0]), rows)}")
    if "--json" in args:
        with open(args[args.index("--json") + 1], "w", encoding="utf-8") as file:
            json.dump(found, file, indent=1)
            file.write("\n")
    if "--plot" in args:
        # Imported here because only plotting needs matplotlib.
        from bench.plots import plot_waits

        waits = {policy: measure_plotted_waits(policy) for policy in POLICIES}
        plot_waits(args[args.index("--plot") + 1], waits)
    return 0 if all(row["met"] == "yes" for row in found["targets"]) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
