"""Python API for operators, callers and scripts: one function for each operation."""

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
from siskinroad.codec import DECODE_ERRORS
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

# Time limit of a request; `watch` adds the time that it waits for a job's end.
REQUEST_TIMEOUT_S = 30.0
# Largest number of times that `apply` sends a cell file before it raises an error.
MAX_APPLY_ATTEMPTS = 3

Json = Any


def _read_text(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        problem = Problem("file", str(exc), "a readable UTF-8 file")
        raise ConfigError(path, [problem]) from exc


def check(path: str) -> Cell:
    """Parse and validate a cell file.

    Raises
    ------
    ConfigError
        If the file is not valid; lists every problem found.
    """
    return parse_cell(_read_text(path), path)


def read_settings(path: str) -> Settings:
    """Parse and validate a settings file.

    Raises
    ------
    ConfigError
        If the file is not valid; lists every problem found.
    """
    return parse_settings(_read_text(path), path)


def entry(path: str) -> int:
    """Run a daemon until it is told to stop and return its exit code."""
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
    """Apply a cell file.

    The request is idempotent, so it is sent again if it could not be sent or its
    response was lost, up to ``MAX_APPLY_ATTEMPTS`` times in all.

    Returns
    -------
    dict
        ``revision``, ``changed``, ``in_force`` and ``not_yet``.

    Raises
    ------
    ConfigError, ConflictError, NotSentError, OutcomeUnknownError
    """
    text = _read_text(path)
    parse_cell(text, path)
    target = "/v1/cell" + (f"?expect={expect}" if expect is not None else "")
    response: dict[str, Json] = {}
    for attempts_left in reversed(range(MAX_APPLY_ATTEMPTS)):
        try:
            response = _send_operator_request("PUT", at, target, token, text.encode())
            break
        except (OutcomeUnknownError, NotSentError):
            if not attempts_left:
                raise
    return response


def compare(path: str, at: str, *, token: str = "") -> dict[str, Json]:
    """Return the changes that applying a cell file would make.

    Raises
    ------
    ConfigError
    """
    text = _read_text(path)
    parse_cell(text, path)
    return _send_operator_request("POST", at, "/v1/cell", token, text.encode())


def status(at: str, *, token: str = "") -> dict[str, Json]:
    """Return a daemon's status."""
    return _send_operator_request("GET", at, "/v1/status", token)


def queue(at: str, *, token: str = "") -> list[dict[str, Json]]:
    """Return the waiting work at a daemon, one entry per shard and workload."""
    entries: list[dict[str, Json]] = _send_operator_request(
        "GET", at, "/v1/queue", token
    )
    return entries


def report(at: str, *, token: str = "") -> dict[str, Json]:
    """Return used, borrowed, lent and idle capacity by owner."""
    return _send_operator_request("GET", at, "/v1/report", token)


def explain(task: str, at: str, *, token: str = "") -> str:
    """Return a sentence that says why a task waits, or where it runs or ran."""
    target = f"/v1/explain/{quote(task, safe='/')}"
    return str(_send_operator_request("GET", at, target, token)["text"])


def submit(
    workload: str, at: str, *, count: int = 1, key: str = "", payload: bytes = b""
) -> dict[str, Json]:
    """Submit a job and return once it has been stored.

    Raises
    ------
    Refusal
    """
    headers = (("idempotency-key", key),) if key else ()
    target = f"/v1/jobs/{quote(workload)}?count={count}"
    return _send_caller_request("POST", at, target, payload, headers)


def watch(job: str, at: str, *, wait: float = 0.0) -> dict[str, Json]:
    """Return a job's state when it has ended, or after ``wait`` seconds."""
    return _send_caller_request(
        "GET", at, f"/v1/jobs/{quote(job)}?wait={wait:g}", wait=wait
    )


def cancel(job: str, at: str) -> dict[str, Json]:
    """Cancel a job and return its state."""
    return _send_caller_request("DELETE", at, f"/v1/jobs/{quote(job)}")


def _send_request(
    method: str,
    at: str,
    target: str,
    body: bytes,
    headers: tuple[tuple[str, str], ...],
    timeout: float,
) -> tuple[int, Json]:
    async def main() -> tuple[int, Json]:
        pool = HttpPool()
        response = await pool.request(
            at, method, target, body=body, headers=headers, timeout=timeout
        )
        pool.close()
        return response.status, msgspec.json.decode(response.body or b"null")

    try:
        return asyncio.run(main())
    except DECODE_ERRORS as exc:
        raise SiskinroadError(
            "response body is not valid JSON", step=target, peer=at
        ) from exc


def _send_operator_request(
    method: str, at: str, target: str, token: str, body: bytes = b""
) -> Json:
    headers = (("authorization", f"Bearer {token}"),) if token else ()
    status_code, response = _send_request(
        method, at, target, body, headers, REQUEST_TIMEOUT_S
    )
    match status_code:
        case 200:
            return response
        case 409:
            raise ConflictError(response["error"], step=target, peer=at)
        case 422:
            lines = response.get("problems", [])
            problems = [
                Problem(
                    "cell", str(line), "the values listed by `siskinroad reference`"
                )
                for line in lines
            ]
            raise ConfigError(at, problems)
        case 504:
            raise OutcomeUnknownError(response["error"], step=target, peer=at)
    raise SiskinroadError(str(response), step=target, peer=at)


def _send_caller_request(
    method: str,
    at: str,
    target: str,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
    wait: float = 0.0,
) -> dict[str, Json]:
    status_code, response = _send_request(
        method, at, target, body, headers, REQUEST_TIMEOUT_S + wait
    )
    if status_code in (200, 202):
        return dict(response)
    raise Refusal(
        Reason(response["reason"]),
        step=response["step"],
        outcome=Outcome(response["outcome"]),
        retry_after=response["retry_after"],
        message=response["message"],
        peer=at,
    )
