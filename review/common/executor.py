"""Stand-in of an executor: it runs tasks as PROTOCOL.md says, and can crash."""

import asyncio
import json
import time

from review.common.http1 import HttpStandIn

__all__ = ["Executor"]

HOLD_MAX_MS = 10_000
KILL_GRACE_S = 0.2
# Seconds until a task that lasts is at work.
STARTUP_S = 0.4
TICK_S = 0.05
# Checkpoint that runs report; empty where a case has no use for it.
CHECKPOINT = ""
# Jobs whose starts and ends are too many to be recorded one by one.
QUIET = set()


class Run:
    """A run of a task; ``work_s`` is None for a task that lasts."""

    def __init__(self, task, attempt, spec, now):
        self.task, self.attempt, self.spec, self.began = task, attempt, spec, now
        self.work_s = spec["steps_ms"][int(task.split(".")[2])]
        if self.work_s is not None:
            self.work_s /= 1000
        self.stop_at = None

    def percent(self, now):
        """Return the progress in percent."""
        work_s = self.work_s or STARTUP_S
        return min(100, int(100 * (now - self.began) / work_s))


class Executor:
    """One executor of a service, which may crash and start again under its id.

    A task's spec is JSON: ``steps_ms`` holds the milliseconds of work of a task of
    each step, null for tasks that last, and ``cpu`` what each task requests.
    """

    def __init__(self, store, record, name, ip, service, kind="a", cpu=16_000):
        self.store, self.record, self.name, self.ip = store, record, name, ip
        self.service, self.kind, self.cpu = service, kind, cpu
        self.http = HttpStandIn(self.handle)
        self.address = ""
        self.starts = []
        self._ticker = None
        self._reset()

    def _reset(self):
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.token = 0
        self.lease_until = 0
        self.runs, self.ends, self.highest = {}, [], {}
        self.end_count = 0
        self.is_up = True
        self.changed = asyncio.Event()

    def clock_ms(self):
        """Return this incarnation's own steady clock."""
        return int((time.monotonic() - self.zero) * 1000) + 1000

    def register(self):
        """Write the entry in the store."""
        capacity = {"cpu": self.cpu, "mem_mb": 65_536, "gpu": 0}
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": capacity,
            "labels": [self.kind, "r1"],
            "born": self.born,
            "seq": 1,
        }
        self.store.put("keyed.servers", self.name, entry)

    async def begin(self):
        """Listen and register."""
        self.address = await self.http.listen(self.ip)
        self._ticker = asyncio.get_running_loop().create_task(self._tick())
        self.register()

    def crash(self):
        """Lose everything and refuse connections."""
        running = [f"{r.task}#{r.attempt}" for r in self.runs.values()]
        self.record(f"executor {self.name} crashes, running {running}")
        self.is_up = False
        self.http.crash()
        self._ticker.cancel()

    async def restart(self, register_after_s=0.0):
        """Start again under the same id and address, knowing nothing of before."""
        self._reset()
        await self.http.listen(self.ip, int(self.address.rpartition(":")[2]))
        self._ticker = asyncio.get_running_loop().create_task(self._tick())
        self.record(f"executor {self.name} starts again, kind {self.kind}")
        await asyncio.sleep(register_after_s)
        self.register()
        self.record(f"executor {self.name} has written its entry")

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            for run in list(self.runs.values()):
                if run.stop_at is not None and now >= run.stop_at:
                    self._end(run, "stopped")
                elif run.work_s is not None and now - run.began >= run.work_s:
                    self._end(run, "done")
            if self.runs and self.clock_ms() >= self.lease_until:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")

    def _end(self, run, how):
        del self.runs[run.task]
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.attempt, how, CHECKPOINT])
        if run.task.partition(".")[0] not in QUIET:
            self.record(f"executor {self.name} ends {run.task}#{run.attempt}: {how}")
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def used_cpu(self):
        """Return the processor that the runs request."""
        return sum(run.spec["cpu"] for run in self.runs.values())

    def _extend(self, deadline_ms):
        latest = self.clock_ms() + HOLD_MAX_MS
        self.lease_until = max(self.lease_until, min(deadline_ms, latest))

    def _answer(self, status, **fields):
        return status, {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    async def handle(self, method, target, headers, body):
        """Answer one call of a daemon."""
        if headers.get("expect-instance") != self.name:
            return self._answer(421)
        data = json.loads(body)
        if data["fencing_token"] < self.token:
            return self._answer(409, reason="fence")
        self.token = data["fencing_token"]
        match target:
            case "/run-start":
                return self._start(data)
            case "/run-stop":
                return self._stop(data)
            case "/pace":
                return self._answer(200)
            case "/hold":
                return await self._hold(data)
        return self._answer(404)

    def _start(self, data):
        task, attempt = data["task"], data["attempt"]
        if data["deadline_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(data["deadline_ms"])
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            return self._answer(200)
        if run is not None or attempt <= self.highest.get(task, 0):
            return self._answer(409, reason="old")
        self.highest[task] = attempt
        run = Run(task, attempt, json.loads(data["spec"]), time.monotonic())
        self.runs[task] = run
        self.starts.append((time.monotonic(), task, attempt))
        if task.partition(".")[0] in QUIET:
            return self._answer(200)
        self.record(
            f"executor {self.name} ({self.service}, kind {self.kind}, {self.cpu} cpu) "
            f"starts {task}#{attempt}, now {self.used_cpu()} cpu in use"
        )
        return self._answer(200)

    def _stop(self, data):
        task, attempt = data["task"], data["attempt"]
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt and run.stop_at is None:
            run.stop_at = time.monotonic() + KILL_GRACE_S / 2
        self.highest[task] = max(attempt, self.highest.get(task, 0))
        return self._answer(200)

    async def _hold(self, data):
        if "deadline_ms" in data:
            self._extend(data["deadline_ms"])
        self.ends = [end for end in self.ends if end[0] > data["ack_cursor"]]
        if not self.ends and data.get("wait_ms"):
            changed = self.changed
            try:
                async with asyncio.timeout(min(2000, data["wait_ms"]) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [r.task, r.attempt, CHECKPOINT, r.percent(now), 0]
            for r in self.runs.values()
        ]
        return self._answer(200, running=running, finished=self.ends[:500])
