"""The command line: one class for each subcommand, each a thin call."""

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
from siskinroad.tables import table

__all__ = ["main"]

USAGE = """siskinroad: a cluster scheduler for unlike workloads.

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
  --at=ADDRESS       A daemon's operators' address [default: 127.0.0.1:8081].
  --to=ADDRESS       A daemon's callers' address [default: 127.0.0.1:8080].
  --token=TOKEN      Operators' token; else SISKINROAD_TOKEN.
  --expect=REVISION  Apply only if this revision is in force.
  --count=N          Tasks of the job [default: 1].
  --key=KEY          Names the job, so that submitting again does no harm.
  --payload=FILE     Passed to each task.
  --wait=SECONDS     Wait so long for the job to end [default: 0].
  --rate=N           Requests a second [default: 50].
  --seconds=S        How long [default: 10].
  --bytes=N          Size of a body [default: 1024].
  --picture=FILE     Write the report as an SVG picture.
  --json             Print JSON.

Exit codes: 0 done; 1 refused or not valid; 2 wrong usage; 3 another revision won;
4 outcome unknown or not reached; 5 not yet in force everywhere; 6 a planned stop
ran out of time; 7 ended by a second signal.
"""

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_NOT_EVERYWHERE = 5

Args = dict[str, Any]


def _print(value: object, as_json: bool, text: str) -> None:
    print(json.dumps(value, indent=2, sort_keys=True) if as_json else text)


def _token(args: Args) -> str:
    return args["--token"] or os.environ.get("SISKINROAD_TOKEN", "")


class Entry:
    """Run a daemon."""

    def run(self, args: Args) -> int:
        """Run until told to stop."""
        return porcelain.entry(args["SETTINGS"])


class Check:
    """Check a cell file."""

    def run(self, args: Args) -> int:
        """Print a summary or every problem."""
        cell = porcelain.check(args["FILE"])
        hosts = sum(1 for _ in cell.hosts())
        counts = f"{len(cell.owners)} owners, {hosts} hosts"
        print(f"{cell.name}: {counts}, {len(cell.workloads)} workloads. Valid.")
        return EXIT_OK


class Diff:
    """Show what a cell file would change."""

    def run(self, args: Args) -> int:
        """Print one line for each change."""
        found = porcelain.compare(args["FILE"], args["--at"], token=_token(args))
        text = "\n".join(found["diff"]) or "no change"
        _print(found, args["--json"], text)
        return EXIT_OK


class Apply:
    """Put a cell file in force."""

    def run(self, args: Args) -> int:
        """Print where it is in force and where not yet."""
        expect = int(args["--expect"]) if args["--expect"] else None
        done = porcelain.apply(
            args["FILE"], args["--at"], expect=expect, token=_token(args)
        )
        text = f"revision {done['revision']} is in force at " + (
            ", ".join(done["in_force"])
        )
        if done["not_yet"]:
            text += "; not yet at " + ", ".join(done["not_yet"])
        _print(done, args["--json"], text)
        return EXIT_NOT_EVERYWHERE if done["not_yet"] else EXIT_OK


class Status:
    """Show a daemon and its data centre."""

    def run(self, args: Args) -> int:
        """Print the daemon's state and its shards."""
        found = porcelain.status(args["--at"], token=_token(args))
        head = (
            f"{found['daemon']} in {found['data_centre']}: {found['state']}, "
            f"revision {found['revision']}, log {found['log']}, "
            f"reader {found['reader']}, peers {', '.join(found['members']) or 'none'}"
        )
        columns = ["shard", "owner", "state", "epoch", "waiting", "running"]
        text = head + "\n" + table(columns, found["shards"])
        _print(found, args["--json"], text)
        return EXIT_OK


class Queue:
    """Show what waits."""

    def run(self, args: Args) -> int:
        """Print one line for each lane."""
        lines = porcelain.queue(args["--at"], token=_token(args))
        columns = ["workload", "owner", "urgency", "waiting", "oldest", "blocked"]
        _print(lines, args["--json"], table(columns, lines))
        return EXIT_OK


class Report:
    """Show use, lending and idle cost by owner."""

    def run(self, args: Args) -> int:
        """Print the report, and draw it if asked."""
        from siskinroad.pictures import report_picture

        found = porcelain.report(args["--at"], token=_token(args))
        columns = ["owner", "used", "borrowed", "lent", "idle"]
        text = table(columns, found["lines"])
        text += f"\ncapacity {found['capacity']} (processor, GiB, accelerator hours)"
        _print(found, args["--json"], text)
        if args["--picture"]:
            with open(args["--picture"], "w", encoding="utf-8") as file:
                file.write(report_picture(found))
        return EXIT_OK


class Explain:
    """Say why a task waits, or where it runs."""

    def run(self, args: Args) -> int:
        """Print one sentence."""
        print(porcelain.explain(args["TASK"], args["--at"], token=_token(args)))
        return EXIT_OK


class Submit:
    """Submit a job."""

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
        _print(job, True, "")
        return EXIT_OK


class Watch:
    """Show a job."""

    def run(self, args: Args) -> int:
        """Print its state as JSON."""
        job = porcelain.watch(args["JOB"], args["--to"], wait=float(args["--wait"]))
        _print(job, True, "")
        return EXIT_OK


class Cancel:
    """Cancel a job."""

    def run(self, args: Args) -> int:
        """Print its state as JSON."""
        _print(porcelain.cancel(args["JOB"], args["--to"]), True, "")
        return EXIT_OK


class Load:
    """Send a load to a service and print waiting times."""

    def run(self, args: Args) -> int:
        """Print the figures."""
        from siskinroad.load import run_load

        found = run_load(
            args["--to"],
            args["SERVICE"],
            float(args["--rate"]),
            float(args["--seconds"]),
            int(args["--bytes"]),
        )
        rows = [{"figure": k, "value": v} for k, v in found.items()]
        _print(found, args["--json"], table(["figure", "value"], rows))
        return EXIT_OK


class Demo:
    """Run daemons with stand-ins, both example cells and a bounded load."""

    def run(self, args: Args) -> int:
        """Print a table of waiting time, packing and control cost."""
        from siskinroad.demo import run_demo

        print(run_demo(float(args["--seconds"])))
        return EXIT_OK


class Keys:
    """Make a pair of peer keys."""

    def run(self, args: Args) -> int:
        """Print them as settings."""
        from siskinroad.peers_zmq import new_keys

        public, secret = new_keys()
        print(f'public_key = "{public}"\nsecret_key = "{secret}"')
        return EXIT_OK


class Token:
    """Hash an operators' token."""

    def run(self, args: Args) -> int:
        """Print it as a setting."""
        from siskinroad.settings import hash_token

        print(f'operator_token_sha256 = "{hash_token(args["TOKEN"])}"')
        return EXIT_OK


class Reference:
    """Print the reference of both files."""

    def run(self, args: Args) -> int:
        """Print Markdown."""
        from siskinroad.reference import reference

        print(reference(), end="")
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
    """Run one command and return its exit code."""
    words = list(sys.argv[1:] if argv is None else argv)
    try:
        args = docopt(USAGE, words, version=f"siskinroad {__version__}")
    except SystemExit as exc:
        if exc.code:
            print(exc.code, file=sys.stderr)
        return EXIT_USAGE if exc.code else EXIT_OK
    name = next(name for name in COMMANDS if args[name])
    return _run(COMMANDS[name](), args)


def _run(command: Any, args: Args) -> int:
    try:
        return int(command.run(args))
    except ConflictError as exc:
        return _fail(exc, EXIT_CONFLICT)
    except ConfigError as exc:
        return _fail(exc, EXIT_REFUSED)
    except (OutcomeUnknownError, NotSentError) as exc:
        return _fail(exc, EXIT_UNKNOWN)
    except Refusal as exc:
        text = f"{exc.outcome.value}: {exc}"
        if exc.retry_after:
            text += f"; try again in {exc.retry_after:g} s"
        print(f"siskinroad: {text}", file=sys.stderr)
        return EXIT_UNKNOWN if exc.outcome is Outcome.UNKNOWN else EXIT_REFUSED
    except SiskinroadError as exc:
        return _fail(exc, EXIT_REFUSED)
    except (OSError, ValueError) as exc:
        return _fail(exc, EXIT_USAGE)


def _fail(exc: Exception, code: int) -> int:
    print(f"siskinroad: {exc}", file=sys.stderr)
    return code
