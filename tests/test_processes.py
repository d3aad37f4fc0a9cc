"""True daemons as processes on loopback: kill, stop and resume, a planned stop."""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys

import pytest

from bench.world import small_cell
from siskinroad.cell import parse_cell
from siskinroad.cluster import free_addresses
from siskinroad.errors import SiskinroadError
from siskinroad.http_client import HttpPool
from siskinroad.platform_memory import MemoryLog
from siskinroad.stand_ins import PlatformServer, WorkerServer
from siskinroad.upstreams_memory import MemoryWorker

pytestmark = pytest.mark.processes
NAMES = ("a", "b")


class Site:
    """Two daemons as processes; the platform and workers in this one."""

    def __init__(self, folder):
        self.folder = folder
        self.text = small_cell(3, 0).replace("timeout_s = 5", "timeout_s = 2")
        self.workers = {}
        self.procs = {}
        self.pool = HttpPool()

    async def open(self):
        self.platform = PlatformServer(MemoryLog())
        at = await self.platform.http.listen("127.0.0.1:0")
        for host in parse_cell(self.text).hosts():
            capacity = parse_cell(self.text).pools["booking"].capacity
            worker = MemoryWorker(
                host.name, capacity, random.Random(1), duration=lambda w, r: 0.05
            )
            server = WorkerServer(worker, host)
            address = await server.http.listen("127.0.0.1:0")
            self.text = self.text.replace(host.address, address)
            self.workers[host.name] = worker
        ports = free_addresses(6)
        self.addresses = {
            name: ports[3 * i : 3 * i + 3] for i, name in enumerate(NAMES)
        }
        for name in NAMES:
            self._write(name, at)
            self.start(name)

    def _write(self, name, platform):
        callers, operators, peers = self.addresses[name]
        other = next(x for x in NAMES if x != name)
        (self.folder / f"{name}.toml").write_text(
            f'name = "{name}"\ndata_centre = "east-1"\nregion = "east"\n'
            f'callers = "{callers}"\noperators = "{operators}"\n'
            f'peer_address = "{peers}"\nplatform = "{platform}"\n'
            f'[[peers]]\nname = "{other}"\naddress = "{self.addresses[other][2]}"\n'
            'data_centre = "east-1"\nregion = "east"\n'
        )

    def start(self, name):
        command = [sys.executable, "-m", "siskinroad", "entry", f"{name}.toml"]
        root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
        env = {**os.environ, "PYTHONPATH": root}
        self.procs[name] = subprocess.Popen(
            command, cwd=self.folder, env=env, stderr=subprocess.DEVNULL
        )

    async def ask(self, name, method, target, body=b"", which=0, **headers):
        fields = tuple((k.replace("_", "-"), v) for k, v in headers.items())
        return await self.pool.request(
            self.addresses[name][which],
            method,
            target,
            body=body,
            headers=fields,
            limit=8.0,
        )

    async def until(self, check, tries=100):
        """Wait for a state, however slow the machine is; fail if it never comes."""
        for _ in range(tries):
            try:
                if await check():
                    return
            except SiskinroadError:
                pass
            await asyncio.sleep(0.1)
        raise AssertionError("the state never came")

    async def serves(self, name):
        answer = await self.ask(name, "POST", "/v1/services/quote", b"hello")
        return answer.status == 200 and answer.body == b"hello"

    def close(self):
        for proc in self.procs.values():
            proc.kill()
            proc.wait()


def session(folder, scenario):
    async def main():
        site = Site(folder)
        await site.open()
        try:
            await site.until(lambda: ready(site, "a"))
            answer = await site.ask("a", "PUT", "/v1/cell", site.text.encode(), 1)
            assert answer.status == 200
            await site.until(lambda: site.serves("a"))
            await site.until(lambda: site.serves("b"))
            for name, other in (NAMES, NAMES[::-1]):
                await site.until(lambda n=name, o=other: admits(site, n, o))
            await scenario(site)
        finally:
            site.close()

    asyncio.run(main())


async def ready(site, name):
    return (await site.ask(name, "GET", "/healthz", which=1)).status == 200


async def admits(site, name, other):
    answer = await site.ask(name, "GET", "/v1/status", which=1)
    return f'"admitted_by":["{other}"]'.encode() in answer.body


async def hears(site, name, other):
    answer = await site.ask(name, "GET", "/v1/status", which=1)
    return f'"members":["{other}"]'.encode() in answer.body


async def owner(site):
    answer = await site.ask("a", "GET", "/v1/status", which=1)
    return "a" if b'"state":"owning"' in answer.body else "b"


def starts(site, body):
    return sum(
        event.body == body and event.kind == "start"
        for worker in site.workers.values()
        for event in worker.events
    )


def test_a_killed_owner_is_replaced_and_its_planned_stop_is_clean(tmp_path):
    async def scenario(site):
        first = await owner(site)
        other = next(x for x in NAMES if x != first)
        site.procs[first].kill()
        await site.until(lambda: site.serves(other))
        site.procs[other].send_signal(signal.SIGTERM)
        await site.until(lambda: _ended(site.procs[other]))
        assert site.procs[other].returncode == 0

    session(tmp_path, scenario)


async def _ended(proc):
    return proc.poll() is not None


def test_a_stopped_owner_that_wakes_runs_nothing_twice(tmp_path):
    async def scenario(site):
        first = await owner(site)
        other = next(x for x in NAMES if x != first)
        site.procs[first].send_signal(signal.SIGSTOP)
        await site.until(lambda: site.serves(other))
        bodies = [f"hearse-{i}".encode() for i in range(10)]
        for body in bodies:
            await site.ask(
                other,
                "POST",
                "/v1/services/dispatch",
                body,
                idempotency_key=body.decode(),
            )
        site.procs[first].send_signal(signal.SIGCONT)
        await site.until(lambda: site.serves(first))
        await site.until(lambda: hears(site, first, other))
        await site.until(lambda: hears(site, other, first))
        for body in bodies:
            answer = await site.ask(
                first,
                "POST",
                "/v1/services/dispatch",
                body,
                idempotency_key=body.decode(),
            )
            assert answer.status in (200, 409)
            assert starts(site, body) <= 1

    session(tmp_path, scenario)


async def cli(site, *words):
    """Run one command; return its exit code, what it printed and its errors."""
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    proc = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "siskinroad",
        *words,
        cwd=site.folder,
        env={**os.environ, "PYTHONPATH": root},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    out, err = await proc.communicate()
    return proc.returncode, out.decode(), err.decode()


def test_the_commands_against_true_daemons(tmp_path):
    async def scenario(site):
        first = await owner(site)
        callers, operators, _ = site.addresses[first]
        at, to = f"--at={operators}", f"--to={callers}"
        cell = site.folder / "cell.toml"
        cell.write_text(site.text.replace("weight = 3", "weight = 4"))
        assert await cli(site, "diff", "cell.toml", at) == (0, "~ owners.desk\n", "")
        code, _, err = await cli(site, "apply", "cell.toml", at, "--expect=9")
        assert (code, "revision 1 is in force" in err) == (3, True)
        code, out, _ = await cli(site, "apply", "cell.toml", at, "--expect=1")
        assert (code, out) == (0, "revision 2 is in force at a, b\n")
        code, out, _ = await cli(site, "apply", "cell.toml", at, "--json")
        assert json.loads(out)["changed"] is False
        code, out, _ = await cli(site, "submit", "recount", to, "--count=3", "--key=k")
        job = json.loads(out)["job"]
        code, out, _ = await cli(site, "watch", job, to, "--wait=20")
        assert (code, json.loads(out)["done"]) == (0, 3)
        code, out, _ = await cli(site, "explain", f"{job}/0", at)
        assert out.strip() == f"{job}/0 has ended: done."
        code, out, _ = await cli(site, "cancel", job, to)
        assert (code, json.loads(out)["settled"]) == (0, True)
        code, out, _ = await cli(site, "status", at)
        assert f"{first} in east-1: ready, revision 2, log up" in out
        code, out, _ = await cli(site, "report", at, "--picture=r.svg")
        assert (code, "capacity" in out) == (0, True)
        assert (site.folder / "r.svg").read_text().startswith("<svg")
        assert (await cli(site, "queue", at, "--json"))[:2] == (0, "[]\n")
        code, _, err = await cli(site, "submit", "nothing", to)
        assert (code, "not run: the cell has no workload" in err) == (1, True)
        code, out, _ = await cli(site, "load", "quote", to, "--rate=20", "--seconds=1")
        assert (code, "median_ms" in out) == (0, True)

    session(tmp_path, scenario)
