"""A small deployment: the stand-ins, and the project's daemons as processes."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from review.common.executor import Executor
from review.common.http1 import request
from review.common.store import Store

__all__ = ["IS_TROUBLE", "CannotRunError", "Daemon", "World", "route", "run_case"]

IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROOT = pathlib.Path(__file__).resolve().parents[2]
# Seconds after which a case that has not ended could not run.
CASE_LIMIT_S = 112
READY_LIMIT_S = 15
SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge", "control"]
ip = "{ip}"
zone = "z1"
region = "r1"
port_range = [{peers}, {peers}]
seeds = []
first_start = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
control_mode = "invoke"
[zones]
z1 = "r1"
[listen]
frontend = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 2500
grace_s = 6
config_apply_ms = 2500
recovery_s = 12
hold_max_ms = 10000
kill_grace_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 2
lease_ms = 3000
[platform]
address = "{platform}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
record_bytes = 262144
call_bytes = 2097152
"""


class CannotRunError(Exception):
    """The case could not be run."""


def free_port(ip):
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def route(name, prefix, service, **fields):
    """Return a route of a configuration; no advisor is called for it."""
    return {
        "name": name,
        "host": "ficu95.example",
        "path_prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 3,
        "slack_factor": 2.2,
        **fields,
    }


class Daemon:
    """One process of the system, with the ``run`` line of deploy/system.toml."""

    def __init__(self, world, number):
        self.world, self.name = world, f"edge-{number}"
        self.ip = world.ip(number)
        ports = {k: free_port(self.ip) for k in ("peers", "front", "ready")}
        self.front = f"{self.ip}:{ports['front']}"
        self.ready = f"{self.ip}:{ports['ready']}"
        self.path = world.folder / f"{self.name}.toml"
        text = SETTINGS.format(
            name=self.name, ip=self.ip, platform=world.store_address, **ports
        )
        self.path.write_text(text)
        self.process = None

    def begin(self):
        """Start the process."""
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["SISKINROAD_BOOT"] = str(self.path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "siskinroad_platform"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.world.record(f"daemon {self.name} is started")

    def send_signal(self, number):
        """Send a signal to the process."""
        self.world.record(f"daemon {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_ended(self, limit_s=10.0):
        """Wait until the process has ended; kill it after ``limit_s``, the grace."""
        until = time.monotonic() + limit_s
        while self.process.poll() is None:
            if time.monotonic() > until:
                self.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.05)
        self.world.record(f"daemon {self.name} has ended")

    async def wait_ready(self):
        """Wait until the daemon reports itself ready."""
        until = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < until:
            answer = await request(self.ready, "GET", "/readyz", timeout=0.5)
            if answer is not None and answer[0] == 200:
                self.world.record(f"daemon {self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} was not ready in time")


class World:
    """The stand-ins and the daemons of one case."""

    def __init__(self, folder):
        self.folder = folder
        self.began = time.monotonic()
        self.lines = []
        self.store = Store()
        self.store_address = ""
        self.executors, self.daemons = {}, []

    def ip(self, number):
        """Return a loopback address that other runs do not use."""
        pid = os.getpid()
        return f"127.{1 + pid // 256 % 254}.{pid % 256}.{number}"

    def record(self, text):
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    async def begin(self, routes, services, executors, daemons):
        """Start the store, the executors and the daemons, and wait until all is up.

        ``executors`` holds the fields of each one after its name.
        """
        self.store_address = await self.store.http.listen(self.ip(1))
        self.configure(1, routes, services)
        for number, fields in enumerate(executors):
            name = f"i-{number}"
            executor = Executor(
                self.store, self.record, name, self.ip(100 + number), **fields
            )
            self.executors[name] = executor
            await executor.begin()
        self.daemons = [Daemon(self, 2 + n) for n in range(daemons)]
        for daemon in self.daemons:
            daemon.begin()
        for daemon in self.daemons:
            await daemon.wait_ready()
        await asyncio.sleep(4)

    def configure(self, version, routes, services):
        """Put a configuration in force; the store acknowledges it at once."""
        config = {
            "version": version,
            "routes": routes,
            "services": [{"name": name} for name in services],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("keyed.op", "config", config)
        self.record(f"operator: version {version} is acknowledged: {routes}")

    async def call(self, daemon, method, path, body=None, timeout=3.0):
        """Send one call of a client; return its status and its body, or None."""
        data = json.dumps(body).encode() if body is not None else b""
        headers = {
            "host": "ficu95.example",
            "content-type": "application/json",
            "deadline-ms": str(int(timeout * 1000)),
        }
        answer = await request(daemon.front, method, path, headers, data, timeout)
        text = "no answer" if answer is None else f"{answer[0]} {answer[1].decode()}"
        self.record(f"client: {method} {path} at {daemon.name}: {text}")
        return answer

    async def submit(self, daemon, path, phases, steps_ms, cpu=1000, **fields):
        """Submit a job; its acceptance is a condition of the case."""
        spec = json.dumps({"steps_ms": steps_ms, "cpu": cpu})
        body = {"spec": spec, "phases": phases, **fields}
        for _ in range(20):
            answer = await self.call(daemon, "POST", path, body)
            if answer is not None and answer[0] == 200:
                return body
            await asyncio.sleep(0.5)
        raise CannotRunError("the job was not accepted")

    def starts(self, job):
        """Return the starts of a job's tasks: time, executor, task and attempt."""
        found = []
        for executor in self.executors.values():
            for at, task, attempt in executor.starts:
                if task.startswith(f"{job}."):
                    found.append((at, executor.name, task, attempt))
        return sorted(found)

    def running(self, job):
        """Return what runs of a job now: executor and run."""
        return [
            (executor, run)
            for executor in self.executors.values()
            if executor.is_up
            for run in executor.runs.values()
            if run.task.startswith(f"{job}.")
        ]

    async def wait_running(self, job, count, limit_s=15.0):
        """Wait until a number of tasks of a job run."""
        until = time.monotonic() + limit_s
        while len(self.running(job)) < count:
            if time.monotonic() > until:
                raise CannotRunError(f"{count} tasks of {job} did not run in time")
            await asyncio.sleep(0.02)

    async def end(self):
        """End every process and stand-in."""
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        for executor in self.executors.values():
            if executor.is_up:
                executor.http.crash()
        self.store.http.crash()


async def _run(play, folder):
    world = World(folder)
    try:
        async with asyncio.timeout(CASE_LIMIT_S):
            broken = await play(world)
        for text in broken:
            world.record(f"BROKEN {text}")
        status = 1 if broken else 0
    except (CannotRunError, TimeoutError) as exc:
        world.record(f"could not run: {exc!r}")
        status = 2
    finally:
        await world.end()
    world.record(f"exit {status}, TROUBLE={int(IS_TROUBLE)}")
    return status, world.lines


def run_case(play, folder):
    """Run a case, write its record and exit with its result.

    Parameters
    ----------
    play : callable
        Coroutine that gets the world and returns what it saw broken.
    folder : str
        File of the case, beside which the record is written.
    """
    with tempfile.TemporaryDirectory() as temporary:
        status, lines = asyncio.run(_run(play, pathlib.Path(temporary)))
        if "KEEP_LOGS" in os.environ:
            target = pathlib.Path(os.environ["KEEP_LOGS"])
            for path in pathlib.Path(temporary).glob("*.log"):
                (target / path.name).write_bytes(path.read_bytes())
    record = pathlib.Path(folder).resolve().parent / "record.txt"
    record.write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-6:]))
    sys.exit(status)
