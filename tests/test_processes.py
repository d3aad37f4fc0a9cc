"""Real daemon processes on loopback: kill, suspend and resume, planned stop."""

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
from siskinroad.platform_memory import MemoryPlatformState
from siskinroad.stand_in_servers import HostServer, PlatformServer
from siskinroad.upstreams_memory import MemoryHost

pytestmark = pytest.mark.processes
NAMES = ("a", "b")


class DaemonPair:
    """Two daemons in processes of their own; platform and hosts run in this one."""

    def __init__(self, folder):
        self.folder = folder
        self.text = small_cell(3, 0).replace("timeout_s = 5", "timeout_s = 2")
        self.memory_hosts = {}
        self.procs = {}
        self.pool = HttpPool()

    async def start_all(self):
        self.platform = PlatformServer(MemoryPlatformState())
        platform_address = await self.platform.http.listen("127.0.0.1:0")
        for host in parse_cell(self.text).hosts():
            capacity = parse_cell(self.text).pools["booking"].capacity
            memory_host = MemoryHost(
                host.name, capacity, random.Random(1), duration=lambda w, r: 0.05
            )
            server = HostServer(memory_host, host)
            address = await server.http.listen("127.0.0.1:0")
            self.text = self.text.replace(host.address, address)
            self.memory_hosts[host.name] = memory_host
        ports = free_addresses(6)
        self.addresses = {
            name: ports[3 * i : 3 * i + 3] for i, name in enumerate(NAMES)
        }
        for name in NAMES:
            self._write_settings(name, platform_address)
            self.start_daemon(name)

    def _write_settings(self, name, platform_address):
        callers, operators, peers = self.addresses[name]
        other = next(x for x in NAMES if x != name)
        (self.folder / f"{name}.toml").write_text(
            f'name = "{name}"\ndata_centre = "east-1"\nregion = "east"\n'
            f'callers = "{callers}"\noperators = "{operators}"\n'
            f'peer_address = "{peers}"\nplatform = "{platform_address}"\n'
            f'[[peers]]\nname = "{other}"\naddress = "{self.addresses[other][2]}"\n'
            'data_centre = "east-1"\nregion = "east"\n'
        )

    def start_daemon(self, name):
        command = [sys.executable, "-m", "siskinroad", "entry", f"{name}.toml"]
        root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
        env = {**os.environ, "PYTHONPATH": root}
        self.procs[name] = subprocess.Popen(
            command, cwd=self.folder, env=env, stderr=subprocess.DEVNULL
        )

    async def send_request(self, name, method, target, body=b"", listener=0, **headers):
        """Send a request to a daemon's callers (listener 0) or operators (1)."""
        fields = tuple((k.replace("_", "-"), v) for k, v in headers.items())
        return await self.pool.request(
            self.addresses[name][listener],
            method,
            target,
            body=body,
            headers=fields,
            timeout=8.0,
        )

    async def wait_until(self, condition, tries=100):
        """Wait until a condition holds; fail after ``tries`` checks, 0.1 s apart."""
        for _ in range(tries):
            try:
                if await condition():
                    return
            except SiskinroadError:
                pass
            await asyncio.sleep(0.1)
        raise AssertionError("the condition did not hold within the number of tries")

    async def is_serving(self, name):
        answer = await self.send_request(name, "POST", "/v1/services/quote", b"hello")
        return answer.status == 200 and answer.body == b"hello"

    def close(self):
        for process in self.procs.values():
            process.kill()
            process.wait()


def run_session(folder, scenario):
    """Run a scenario once both daemons serve and admit each other."""

    async def main():
        pair = DaemonPair(folder)
        await pair.start_all()
        try:
            await pair.wait_until(lambda: is_ready(pair, "a"))
            answer = await pair.send_request(
                "a", "PUT", "/v1/cell", pair.text.encode(), 1
            )
            assert answer.status == 200
            await pair.wait_until(lambda: pair.is_serving("a"))
            await pair.wait_until(lambda: pair.is_serving("b"))
            for name, other in (NAMES, NAMES[::-1]):
                await pair.wait_until(
                    lambda n=name, o=other: is_admitted_by(pair, n, o)
                )
            await scenario(pair)
        finally:
            pair.close()

    asyncio.run(main())


async def is_ready(pair, name):
    return (await pair.send_request(name, "GET", "/healthz", listener=1)).status == 200


async def is_admitted_by(pair, name, other):
    answer = await pair.send_request(name, "GET", "/v1/status", listener=1)
    return f'"admitted_by":["{other}"]'.encode() in answer.body


async def has_member(pair, name, other):
    answer = await pair.send_request(name, "GET", "/v1/status", listener=1)
    return f'"members":["{other}"]'.encode() in answer.body


async def find_owner(pair):
    answer = await pair.send_request("a", "GET", "/v1/status", listener=1)
    return "a" if b'"state":"owning"' in answer.body else "b"


def count_starts(pair, body):
    return sum(
        event.body == body and event.kind == "start"
        for memory_host in pair.memory_hosts.values()
        for event in memory_host.events
    )


def test_successor_of_a_killed_owner_serves_and_stops_cleanly(tmp_path):
    """The remaining daemon must serve alone and end with exit code 0 on SIGTERM."""

    async def scenario(pair):
        owner = await find_owner(pair)
        other = next(x for x in NAMES if x != owner)
        pair.procs[owner].kill()
        await pair.wait_until(lambda: pair.is_serving(other))
        pair.procs[other].send_signal(signal.SIGTERM)
        await pair.wait_until(lambda: has_exited(pair.procs[other]))
        assert pair.procs[other].returncode == 0

    run_session(tmp_path, scenario)


async def has_exited(process):
    return process.poll() is not None


def test_owner_resumed_after_a_takeover_starts_no_task_twice(tmp_path):
    """An owner that was suspended during a takeover must not act as owner again."""

    async def scenario(pair):
        owner = await find_owner(pair)
        other = next(x for x in NAMES if x != owner)
        pair.procs[owner].send_signal(signal.SIGSTOP)
        await pair.wait_until(lambda: pair.is_serving(other))
        bodies = [f"hearse-{i}".encode() for i in range(10)]
        for body in bodies:
            await pair.send_request(
                other,
                "POST",
                "/v1/services/dispatch",
                body,
                idempotency_key=body.decode(),
            )
        pair.procs[owner].send_signal(signal.SIGCONT)
        await pair.wait_until(lambda: pair.is_serving(owner))
        await pair.wait_until(lambda: has_member(pair, owner, other))
        await pair.wait_until(lambda: has_member(pair, other, owner))
        for body in bodies:
            answer = await pair.send_request(
                owner,
                "POST",
                "/v1/services/dispatch",
                body,
                idempotency_key=body.decode(),
            )
            assert answer.status in (200, 409)
            assert count_starts(pair, body) <= 1

    run_session(tmp_path, scenario)


async def run_command(pair, *arguments):
    """Run one command; return its exit code, standard output and standard error."""
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "siskinroad",
        *arguments,
        cwd=pair.folder,
        env={**os.environ, "PYTHONPATH": root},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    out, err = await process.communicate()
    return process.returncode, out.decode(), err.decode()


def test_commands_against_real_daemons(tmp_path):
    """Subcommands must print what daemons reply and exit with the documented code."""

    async def scenario(pair):
        owner = await find_owner(pair)
        callers, operators, _ = pair.addresses[owner]
        at_flag, to_flag = f"--at={operators}", f"--to={callers}"
        cell = pair.folder / "cell.toml"
        cell.write_text(pair.text.replace("weight = 3", "weight = 4"))
        assert await run_command(pair, "diff", "cell.toml", at_flag) == (
            0,
            "~ owners.desk\n",
            "",
        )
        code, _, err = await run_command(
            pair, "apply", "cell.toml", at_flag, "--expect=9"
        )
        assert (code, "revision 1 is in force" in err) == (3, True)
        code, out, _ = await run_command(
            pair, "apply", "cell.toml", at_flag, "--expect=1"
        )
        assert (code, out) == (0, "revision 2 is in force at a, b\n")
        code, out, _ = await run_command(pair, "apply", "cell.toml", at_flag, "--json")
        assert json.loads(out)["changed"] is False
        code, out, _ = await run_command(
            pair, "submit", "recount", to_flag, "--count=3", "--key=k"
        )
        job = json.loads(out)["job"]
        code, out, _ = await run_command(pair, "watch", job, to_flag, "--wait=20")
        assert (code, json.loads(out)["done"]) == (0, 3)
        code, out, _ = await run_command(pair, "explain", f"{job}/0", at_flag)
        assert out.strip() == f"{job}/0 has ended: done."
        code, out, _ = await run_command(pair, "cancel", job, to_flag)
        assert (code, json.loads(out)["settled"]) == (0, True)
        code, out, _ = await run_command(pair, "status", at_flag)
        assert f"{owner} in east-1: ready, revision 2, log up" in out
        code, out, _ = await run_command(pair, "report", at_flag, "--picture=r.svg")
        assert (code, "capacity" in out) == (0, True)
        assert (pair.folder / "r.svg").read_text().startswith("<svg")
        assert (await run_command(pair, "queue", at_flag, "--json"))[:2] == (0, "[]\n")
        code, _, err = await run_command(pair, "submit", "nothing", to_flag)
        assert (code, "not run: the cell has no workload" in err) == (1, True)
        code, out, _ = await run_command(
            pair, "load", "quote", to_flag, "--rate=20", "--seconds=1"
        )
        assert (code, "median_ms" in out) == (0, True)

    run_session(tmp_path, scenario)
