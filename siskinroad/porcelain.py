"""What operators, callers and scripts call: one plain function for each use."""

from __future__ import annotations

import asyncio
import os
import random
import time
from pathlib import Path
from typing import Any
from urllib.parse import quote

import msgspec

from siskinroad.cell import Cell, parse_cell
from siskinroad.errors import (
    ConfigError,
    ConflictError,
    NotSentError,
    Outcome,
    OutcomeUnknownError,
    Problem,
    Reason,
    Refusal,
    SiskinroadError,
)
from siskinroad.http_client import HttpPool
from siskinroad.settings import Settings, parse_settings

__all__ = [
    "apply",
    "cancel",
    "check",
    "compare",
    "entry",
    "explain",
    "queue",
    "read_settings",
    "report",
    "status",
    "submit",
    "watch",
]

ASK_TIME = 30.0
TRIES = 3

Json = Any


def _read(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        problem = Problem("file", str(exc), "a readable UTF-8 file")
        raise ConfigError(path, [problem]) from exc


def check(path: str) -> Cell:
    """Check a cell file.

    Raises
    ------
    ConfigError
        With every problem found.
    """
    return parse_cell(_read(path), path)


def read_settings(path: str) -> Settings:
    """Check a settings file.

    Raises
    ------
    ConfigError
        With every problem found.
    """
    return parse_settings(_read(path), path)


def entry(path: str) -> int:
    """Run a daemon until it is told to stop; return the exit code."""
    from siskinroad.listeners import Node, run_node
    from siskinroad.logs import setup_logs

    cfg = read_settings(path)
    setup_logs(cfg.log_level, cfg.name)
    rng = random.Random(os.urandom(16))
    incarnation = time.time_ns() // 1_000_000

    async def main() -> int:
        return await run_node(Node(cfg, incarnation, rng))

    return asyncio.run(main())


def apply(
    path: str, at: str, *, expect: int | None = None, token: str = ""
) -> dict[str, Json]:
    """Put a cell file in force.

    Repeating it after a lost answer is harmless, so it is repeated.

    Returns
    -------
    dict
        ``revision``, ``changed``, ``in_force`` and ``not_yet``.

    Raises
    ------
    ConfigError, ConflictError, OutcomeUnknownError
    """
    text = _read(path)
    parse_cell(text, path)
    target = "/v1/cell" + (f"?expect={expect}" if expect is not None else "")
    answer: dict[str, Json] = {}
    for left in reversed(range(TRIES)):
        try:
            answer = _operator("PUT", at, target, token, text.encode())
            break
        except (OutcomeUnknownError, NotSentError):
            if not left:
                raise
    return answer


def compare(path: str, at: str, *, token: str = "") -> dict[str, Json]:
    """Return what a cell file would change.

    Raises
    ------
    ConfigError
    """
    text = _read(path)
    parse_cell(text, path)
    return _operator("POST", at, "/v1/cell", token, text.encode())


def status(at: str, *, token: str = "") -> dict[str, Json]:
    """Return a daemon's status."""
    return _operator("GET", at, "/v1/status", token)


def queue(at: str, *, token: str = "") -> list[dict[str, Json]]:
    """Return the lanes in which work waits at a daemon."""
    lines: list[dict[str, Json]] = _operator("GET", at, "/v1/queue", token)
    return lines


def report(at: str, *, token: str = "") -> dict[str, Json]:
    """Return use, lending and idle cost by owner."""
    return _operator("GET", at, "/v1/report", token)


def explain(task: str, at: str, *, token: str = "") -> str:
    """Return in a sentence why a task waits, or where it runs or ran."""
    target = f"/v1/explain/{quote(task, safe='/')}"
    return str(_operator("GET", at, target, token)["text"])


def submit(
    workload: str, at: str, *, count: int = 1, key: str = "", payload: bytes = b""
) -> dict[str, Json]:
    """Submit a job; it is on record when this returns.

    Raises
    ------
    Refusal
    """
    headers = (("idempotency-key", key),) if key else ()
    target = f"/v1/jobs/{quote(workload)}?count={count}"
    return _caller("POST", at, target, payload, headers)


def watch(job: str, at: str, *, wait: float = 0.0) -> dict[str, Json]:
    """Return a job's state, once it has ended or ``wait`` seconds are over."""
    return _caller("GET", at, f"/v1/jobs/{quote(job)}?wait={wait:g}", wait=wait)


def cancel(job: str, at: str) -> dict[str, Json]:
    """Cancel a job."""
    return _caller("DELETE", at, f"/v1/jobs/{quote(job)}")


def _ask(
    method: str,
    at: str,
    target: str,
    body: bytes,
    headers: tuple[tuple[str, str], ...],
    limit: float,
) -> tuple[int, Json]:
    async def main() -> tuple[int, Json]:
        pool = HttpPool()
        answer = await pool.request(
            at, method, target, body=body, headers=headers, limit=limit
        )
        pool.close()
        return answer.status, msgspec.json.decode(answer.body or b"null")

    try:
        return asyncio.run(main())
    except msgspec.MsgspecError as exc:
        raise SiskinroadError("the answer is not JSON", step=target, peer=at) from exc


def _operator(method: str, at: str, target: str, token: str, body: bytes = b"") -> Json:
    headers = (("authorization", f"Bearer {token}"),) if token else ()
    code, answer = _ask(method, at, target, body, headers, ASK_TIME)
    match code:
        case 200:
            return answer
        case 409:
            raise ConflictError(answer["error"], step=target, peer=at)
        case 422:
            lines = answer.get("problems", [])
            problems = [
                Problem("cell", str(line), "see the reference") for line in lines
            ]
            raise ConfigError(at, problems)
        case 504:
            raise OutcomeUnknownError(answer["error"], step=target, peer=at)
    raise SiskinroadError(str(answer), step=target, peer=at)


def _caller(
    method: str,
    at: str,
    target: str,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
    wait: float = 0.0,
) -> dict[str, Json]:
    code, answer = _ask(method, at, target, body, headers, ASK_TIME + wait)
    if code in (200, 202):
        return dict(answer)
    raise Refusal(
        Reason(answer["reason"]),
        step=answer["step"],
        outcome=Outcome(answer["outcome"]),
        retry_after=answer["retry_after"],
        message=answer["message"],
        peer=at,
    )
