"""Stand-in of an executor that is told by calls (`invoke`), as PROTOCOL.md says.

What a task does is in its job's ``spec``, as JSON: ``ms`` is how long it works, ``how``
how it ends, ``lasts`` that it runs until it is stopped, ``last_s`` that it then ends by
itself after so many seconds.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from httpserver import Reply, Request, Server, json_reply

MAX_LISTED_ENDS = 500
# Seconds until a task that lasts is at work, and that a stop takes.
STARTUP_S = 0.2
STOP_S = 0.05

# Receives the time, the executor's id, the event and its fields.
Observer = Callable[[float, str, str, dict[str, Any]], None]


@dataclass(slots=True)
class Run:
    """A run of a task."""

    task: str
    attempt: int
    spec: dict[str, Any]
    began_at: float
    stop_at: float = 0.0

    def percent(self, now: float) -> int:
        """Return the progress in percent."""
        age_s = now - self.began_at
        if self.spec.get("lasts"):
            return 100 if age_s >= STARTUP_S else 0
        return min(99, int(100_000 * age_s / self.spec["ms"]))


class Executor:
    """One executor; ``restart`` begins a new incarnation.

    Attributes
    ----------
    silent : bool
        Whether calls get no answer and are not carried out.
    choose_late_s : callable
        Returns after how many seconds an order without an answer is carried out; None
        for one that is answered.
    """

    def __init__(self, name: str, observe: Observer, hold_max_ms: int = 6000) -> None:
        self.name = name
        self.silent = False
        self.choose_late_s: Callable[[], float | None] = lambda: None
        self.address = ""
        self._observe = observe
        self._hold_max_ms = hold_max_ms
        self._server = Server(self._handle)
        self._ticker: asyncio.Task[None] | None = None
        self._begin()

    def _begin(self) -> None:
        self.born = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self.token = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.ends: list[tuple[int, str, int, str, str]] = []
        self._end_count = 0
        self._over: dict[str, int] = {}
        self._lease_until = 0
        self._changed = asyncio.Event()

    def entry(self, service: str, capacity: dict[str, int]) -> dict[str, Any]:
        """Return the executor's entry in the list."""
        return {
            "service": service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": capacity,
            "labels": ["a", f"r-{self.name}"],
            "clock_ms": self.clock(),
            "born": self.born,
            "seq": 1,
        }

    async def listen(self) -> str:
        """Listen on a free port; return the address."""
        self.address = await self._server.listen()
        self._ticker = asyncio.create_task(self._tick())
        return self.address

    def close(self) -> None:
        """Close the listener."""
        if self._ticker is not None:
            self._ticker.cancel()
        self._server.close()

    async def restart(self, down_s: float) -> None:
        """Crash, refuse connections for some seconds, and start with no memory."""
        for run in self.runs.values():
            self._note("lost", run)
        self._server.close()
        self._begin()
        await asyncio.sleep(down_s)
        self._begin()
        self._server = Server(self._handle)
        ip, _, port = self.address.rpartition(":")
        await self._server.listen(ip, int(port))

    def clock(self) -> int:
        """Return the executor's steady clock in milliseconds."""
        return int((time.monotonic() - self._started_at) * 1000)

    def _note(self, event: str, run: Run, **fields: Any) -> None:
        fields |= {"task": run.task, "attempt": run.attempt}
        self._observe(time.monotonic(), self.name, event, fields)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            self._advance()

    def _advance(self) -> None:
        now = time.monotonic()
        is_expired = bool(self._lease_until) and self.clock() >= self._lease_until
        for run in list(self.runs.values()):
            how = self._find_end(run, now)
            if not how and is_expired:
                how = "lapsed"
            if how:
                self._end(run, how)

    @staticmethod
    def _find_end(run: Run, now: float) -> str:
        age_s = now - run.began_at
        if run.stop_at and now >= run.stop_at:
            return "stopped"
        if run.spec.get("lasts"):
            ends = age_s >= run.spec.get("last_s", 1e9)
        else:
            ends = age_s >= run.spec["ms"] / 1000
        return str(run.spec.get("how", "done")) if ends else ""

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task, run.attempt]
        self._over[run.task] = max(run.attempt, self._over.get(run.task, 0))
        self._end_count += 1
        self.ends.append((self._end_count, run.task, run.attempt, how, ""))
        self._note("end", run, how=how, number=self._end_count)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req: Request) -> Reply | None:
        if self.silent:
            await asyncio.sleep(60.0)
            return None
        if req.headers.get("expect-instance", self.name) != self.name:
            return self._reply(421)
        body = req.json()
        late_s = None if req.path == "/hold" else self.choose_late_s()
        if late_s is not None:
            asyncio.get_running_loop().call_later(
                late_s, self._carry_out_late, req.path, body, self.born
            )
            await asyncio.sleep(60.0)
            return None
        if req.path == "/hold":
            return await self._hold(body)
        return self._carry_out(req.path, body)

    def _carry_out_late(self, path: str, body: dict[str, Any], born: int) -> None:
        if born == self.born:
            self._carry_out(path, body)

    def _carry_out(self, path: str, body: dict[str, Any]) -> Reply:
        self._advance()
        if self._is_fenced(body):
            return self._reply(409, reason="fence")
        match path:
            case "/run-start":
                return self._start(body)
            case "/run-stop":
                return self._stop(body)
            case "/pace":
                return self._reply(200)
        return self._reply(400)

    def _is_fenced(self, body: dict[str, Any]) -> bool:
        token = body.get("fencing_token", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def _reply(self, status: int, **fields: Any) -> Reply:
        return json_reply(status, clock_ms=self.clock(), born=self.born, **fields)

    def _grant(self, deadline_ms: int) -> None:
        until = min(deadline_ms, self.clock() + self._hold_max_ms)
        self._lease_until = max(self._lease_until, until)

    def _start(self, body: dict[str, Any]) -> Reply:
        task, attempt = body["task"], body["attempt"]
        if body["deadline_ms"] <= self.clock():
            return self._reply(409, reason="late")
        self._grant(body["deadline_ms"])
        if (task, attempt) in self.runs:
            return self._reply(200)
        if attempt <= self._over.get(task, 0):
            return self._reply(409, reason="old")
        run = Run(task, attempt, json.loads(body["spec"]), time.monotonic())
        self.runs[task, attempt] = run
        self._note("start", run, token=self.token)
        return self._reply(200)

    def _stop(self, body: dict[str, Any]) -> Reply:
        task, attempt = body["task"], body["attempt"]
        self._over[task] = max(attempt, self._over.get(task, 0))
        for run in self.runs.values():
            if run.task == task and run.attempt <= attempt and not run.stop_at:
                run.stop_at = time.monotonic() + STOP_S
                self._note("stop", run)
        return self._reply(200)

    async def _hold(self, body: dict[str, Any]) -> Reply | None:
        born = self.born
        self._advance()
        if self._is_fenced(body):
            return self._reply(409, reason="fence")
        if "deadline_ms" in body:
            self._grant(body["deadline_ms"])
        cursor = body.get("ack_cursor", 0)
        for number, task, attempt, how, _ in self.ends:
            if number <= cursor:
                fields = {"task": task, "attempt": attempt, "how": how}
                self._observe(time.monotonic(), self.name, "noted", fields)
        self.ends = [end for end in self.ends if end[0] > cursor]
        deadline = time.monotonic() + min(2000, body.get("wait_ms", 0)) / 1000
        while not self.ends and time.monotonic() < deadline:
            changed = self._changed
            try:
                async with asyncio.timeout(deadline - time.monotonic()):
                    await changed.wait()
            except TimeoutError:
                break
        if self.silent or born != self.born:
            return None
        now = time.monotonic()
        running = [
            [r.task, r.attempt, "", r.percent(now), 0] for r in self.runs.values()
        ]
        finished = [list(end) for end in self.ends[:MAX_LISTED_ENDS]]
        return self._reply(200, running=running, finished=finished)
