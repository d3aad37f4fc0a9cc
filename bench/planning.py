"""Processor time of an owner's planning under a seeded load, without I/O.

``python -m bench.planning`` prints the mean time of each entry point for the load of a
large pool, and for loads in which one size is larger. The figures depend on the machine
and on what else it does.
"""

from __future__ import annotations

import logging

from bench.planning_load import LoadSizes, PlanningLoad

SECONDS = 4.0
LOADS = (
    ("126 hosts", LoadSizes()),
    ("10 times the tasks of the backlog", LoadSizes(backlog_tasks=600)),
    ("10 times the jobs of the backlog", LoadSizes(backlog_jobs=200)),
    ("5 times the jobs with advice", LoadSizes(advised_per_s=30.0)),
    ("4 times the hosts", LoadSizes(hosts=504)),
    (
        "4 times the hosts and the jobs",
        LoadSizes(hosts=504, urgent_per_s=60.0, advised_per_s=24.0, backlog_jobs=80),
    ),
)


def format_times(load: PlanningLoad) -> str:
    """Return the mean milliseconds of each entry point in one line."""
    names = ("plan", "report", "check_runs", "expire")
    return ", ".join(
        f"{name} {1000 * load.times[name] / load.calls[name]:.3f}" for name in names
    )


def main() -> None:
    """Measure each load and print its figures."""
    logging.disable(logging.CRITICAL)
    for title, sizes in LOADS:
        load = PlanningLoad(sizes)
        load.run(SECONDS)
        ready = load.pool_state.ready.values()
        steps = sum(1 for step in ready if step.waiting())
        runs = sum(len(host.runs) for host in load.pool_state.hosts.values())
        print(f"{title}: {steps} waiting steps, {runs} runs at the end")
        print(f"    ms a call: {format_times(load)}")


if __name__ == "__main__":
    main()
