"""Command line: one class for each subcommand, on top of `porcelain`."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Sequence
from typing import Any

from docopt import docopt

from siskinroad import __version__, porcelain
from siskinroad.errors import (
    ConfigError,
    ConflictError,
    NotSentError,
    Outcome,
    OutcomeUnknownError,
    Refusal,
    SiskinroadError,
)
from siskinroad.tables import format_table

__all__ = ["main"]

USAGE = """siskinroad: a cluster scheduler for mixed workloads.

Usage:
  siskinroad entry SETTINGS
  siskinroad check FILE
  siskinroad diff FILE [--at=ADDRESS] [--token=TOKEN] [--json]
  siskinroad apply FILE [--at=ADDRESS] [--token=TOKEN] [--expect=REVISION] [--json]
  siskinroad status [--at=ADDRESS] [--token=TOKEN] [--json]
  siskinroad queue [--at=ADDRESS] [--token=TOKEN] [--json]
  siskinroad report [--at=ADDRESS] [--token=TOKEN] [--json] [--picture=FILE]
  siskinroad explain TASK [--at=ADDRESS] [--token=TOKEN]
  siskinroad submit WORKLOAD [--to=ADDRESS] [--count=N] [--key=KEY] [--payload=FILE]
  siskinroad watch JOB [--to=ADDRESS] [--wait=SECONDS]
  siskinroad cancel JOB [--to=ADDRESS]
  siskinroad load SERVICE [--to=ADDRESS] [--rate=N] [--seconds=S] [--bytes=N] [--json]
  siskinroad demo [--seconds=S]
  siskinroad keys
  siskinroad token TOKEN
  siskinroad reference
  siskinroad (-h | --help)
  siskinroad --version

Options:
  --at=ADDRESS       Operator address of a daemon [default: 127.0.0.1:8081].
  --to=ADDRESS       Caller address of a daemon [default: 127.0.0.1:8080].
  --token=TOKEN      Operator token; SISKINROAD_TOKEN if not given.
  --expect=REVISION  Apply only if this revision is in force.
  --count=N          Number of tasks in the job [default: 1].
  --key=KEY          Idempotency key; a repeated submit creates no second job.
  --payload=FILE     File whose content is passed to each task.
  --wait=SECONDS     Longest wait for the job to end [default: 0].
  --rate=N           Mean number of requests per second [default: 50].
  --seconds=S        Duration of the load [default: 10].
  --bytes=N          Size of each request body [default: 1024].
  --picture=FILE     Also write the report to this file as SVG.
  --json             Print JSON.

Exit codes: 0 success; 1 refused or not valid; 2 usage error; 3 another revision was
applied first; 4 outcome unknown or daemon not reached; 5 not yet in force everywhere;
6 a planned stop timed out; 7 terminated by a second signal.
"""

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_PARTLY_IN_FORCE = 5

Args = dict[str, Any]


def _print_result(value: object, as_json: bool, text: str) -> None:
    print(json.dumps(value, indent=2, sort_keys=True) if as_json else text)


def _get_operator_token(args: Args) -> str:
    return args["--token"] or os.environ.get("SISKINROAD_TOKEN", "")


class Entry:
    """Subcommand that runs a daemon."""

    def run(self, args: Args) -> int:
        """Run a daemon until it is told to stop."""
        return porcelain.entry(args["SETTINGS"])


class Check:
    """Subcommand that validates a cell file."""

    def run(self, args: Args) -> int:
        """Print a summary; an invalid file raises an error with every problem."""
        cell = porcelain.check(args["FILE"])
        hosts = sum(1 for _ in cell.hosts())
        counts = f"{len(cell.owners)} owners, {hosts} hosts"
        print(f"{cell.name}: {counts}, {len(cell.workloads)} workloads. Valid.")
        return EXIT_OK


class Diff:
    """Subcommand that shows the changes that a cell file would make."""

    def run(self, args: Args) -> int:
        """Print one line per change."""
        comparison = porcelain.compare(
            args["FILE"], args["--at"], token=_get_operator_token(args)
        )
        text = "\n".join(comparison["diff"]) or "no change"
        _print_result(comparison, args["--json"], text)
        return EXIT_OK


class Apply:
    """Subcommand that applies a cell file."""

    def run(self, args: Args) -> int:
        """Print the daemons where the revision is in force and where it is not yet."""
        expect = int(args["--expect"]) if args["--expect"] else None
        result = porcelain.apply(
            args["FILE"], args["--at"], expect=expect, token=_get_operator_token(args)
        )
        text = f"revision {result['revision']} is in force at " + (
            ", ".join(result["in_force"])
        )
        if result["not_yet"]:
            text += "; not yet at " + ", ".join(result["not_yet"])
        _print_result(result, args["--json"], text)
        return EXIT_PARTLY_IN_FORCE if result["not_yet"] else EXIT_OK


class Status:
    """Subcommand that shows a daemon and its data centre."""

    def run(self, args: Args) -> int:
        """Print the daemon's state and a table of its data centre's shards."""
        daemon_info = porcelain.status(args["--at"], token=_get_operator_token(args))
        heading = (
            f"{daemon_info['daemon']} in {daemon_info['data_centre']}: "
            f"{daemon_info['state']}, "
            f"revision {daemon_info['revision']}, log {daemon_info['log']}, "
            f"reader {daemon_info['reader']}, "
            f"peers {', '.join(daemon_info['members']) or 'none'}"
        )
        columns = ["shard", "owner", "state", "epoch", "waiting", "running"]
        text = heading + "\n" + format_table(columns, daemon_info["shards"])
        _print_result(daemon_info, args["--json"], text)
        return EXIT_OK


class Queue:
    """Subcommand that shows waiting work."""

    def run(self, args: Args) -> int:
        """Print one line per shard and workload with waiting work."""
        entries = porcelain.queue(args["--at"], token=_get_operator_token(args))
        columns = ["workload", "owner", "urgency", "waiting", "oldest", "blocked"]
        _print_result(entries, args["--json"], format_table(columns, entries))
        return EXIT_OK


class Report:
    """Subcommand that shows used, borrowed, lent and idle capacity by owner."""

    def run(self, args: Args) -> int:
        """Print the report; with --picture, also write it as SVG."""
        from siskinroad.pictures import render_report_svg

        usage_report = porcelain.report(args["--at"], token=_get_operator_token(args))
        columns = ["owner", "used", "borrowed", "lent", "idle"]
        text = format_table(columns, usage_report["lines"])
        text += (
            f"\ncapacity {usage_report['capacity']} (processor, GiB, accelerator hours)"
        )
        _print_result(usage_report, args["--json"], text)
        if args["--picture"]:
            with open(args["--picture"], "w", encoding="utf-8") as file:
                file.write(render_report_svg(usage_report))
        return EXIT_OK


class Explain:
    """Subcommand that says why a task waits, or where it runs or ran."""

    def run(self, args: Args) -> int:
        """Print why the task waits, or where it runs or ran, in one sentence."""
        print(
            porcelain.explain(
                args["TASK"], args["--at"], token=_get_operator_token(args)
            )
        )
        return EXIT_OK


class Submit:
    """Subcommand that submits a job."""

    def run(self, args: Args) -> int:
        """Print the accepted job as JSON."""
        payload = b""
        if args["--payload"]:
            with open(args["--payload"], "rb") as file:
                payload = file.read()
        job = porcelain.submit(
            args["WORKLOAD"],
            args["--to"],
            count=int(args["--count"]),
            key=args["--key"] or "",
            payload=payload,
        )
        _print_result(job, True, "")
        return EXIT_OK


class Watch:
    """Subcommand that shows a job."""

    def run(self, args: Args) -> int:
        """Print the job's state as JSON."""
        job = porcelain.watch(args["JOB"], args["--to"], wait=float(args["--wait"]))
        _print_result(job, True, "")
        return EXIT_OK


class Cancel:
    """Subcommand that cancels a job."""

    def run(self, args: Args) -> int:
        """Print the job's state as JSON."""
        _print_result(porcelain.cancel(args["JOB"], args["--to"]), True, "")
        return EXIT_OK


class Load:
    """Subcommand that sends a load to a service and measures latencies."""

    def run(self, args: Args) -> int:
        """Print request counts and latencies."""
        from siskinroad.load import run_load

        results = run_load(
            args["--to"],
            args["SERVICE"],
            float(args["--rate"]),
            float(args["--seconds"]),
            int(args["--bytes"]),
        )
        rows = [{"figure": name, "value": value} for name, value in results.items()]
        _print_result(results, args["--json"], format_table(["figure", "value"], rows))
        return EXIT_OK


class Demo:
    """Subcommand that runs both example cells on loopback under a limited load."""

    def run(self, args: Args) -> int:
        """Print a table of latency, packing and control traffic."""
        from siskinroad.demo import run_demo

        print(run_demo(float(args["--seconds"])))
        return EXIT_OK


class Keys:
    """Subcommand that generates a key pair for the peer listener."""

    def run(self, args: Args) -> int:
        """Print the keys as lines for a settings file."""
        from siskinroad.peers_zmq import generate_keys

        public, secret = generate_keys()
        print(f'public_key = "{public}"\nsecret_key = "{secret}"')
        return EXIT_OK


class Token:
    """Subcommand that hashes an operator token."""

    def run(self, args: Args) -> int:
        """Print the hash as a line for a settings file."""
        from siskinroad.settings import hash_token

        print(f'operator_token_sha256 = "{hash_token(args["TOKEN"])}"')
        return EXIT_OK


class Reference:
    """Subcommand that prints the reference page of the cell and settings files."""

    def run(self, args: Args) -> int:
        """Print the page as Markdown."""
        from siskinroad.reference import render_reference

        print(render_reference(), end="")
        return EXIT_OK


COMMANDS = {
    "entry": Entry,
    "check": Check,
    "diff": Diff,
    "apply": Apply,
    "status": Status,
    "queue": Queue,
    "report": Report,
    "explain": Explain,
    "submit": Submit,
    "watch": Watch,
    "cancel": Cancel,
    "load": Load,
    "demo": Demo,
    "keys": Keys,
    "token": Token,
    "reference": Reference,
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run one subcommand and return its exit code."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    try:
        args = docopt(USAGE, arguments, version=f"siskinroad {__version__}")
    except SystemExit as exc:
        if exc.code:
            print(exc.code, file=sys.stderr)
        return EXIT_USAGE if exc.code else EXIT_OK
    name = next(name for name in COMMANDS if args[name])
    return _run_command(COMMANDS[name](), args)


def _run_command(command: Any, args: Args) -> int:
    try:
        return int(command.run(args))
    except ConflictError as exc:
        return _print_error(exc, EXIT_CONFLICT)
    except ConfigError as exc:
        return _print_error(exc, EXIT_REFUSED)
    except (OutcomeUnknownError, NotSentError) as exc:
        return _print_error(exc, EXIT_UNKNOWN)
    except Refusal as exc:
        text = f"{exc.outcome.value}: {exc}"
        if exc.retry_after:
            text += f"; try again in {exc.retry_after:g} s"
        print(f"siskinroad: {text}", file=sys.stderr)
        return EXIT_UNKNOWN if exc.outcome is Outcome.UNKNOWN else EXIT_REFUSED
    except SiskinroadError as exc:
        return _print_error(exc, EXIT_REFUSED)
    except (OSError, ValueError) as exc:
        return _print_error(exc, EXIT_USAGE)


def _print_error(exc: Exception, code: int) -> int:
    print(f"siskinroad: {exc}", file=sys.stderr)
    return code
