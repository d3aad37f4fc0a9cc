"""The program itself, two daemons against the stand-in over the wire."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys

import pytest

from siskinroad.errors import SiskinroadError
from siskinroad.http_client import HttpPool
from tests.platform.standin import StandIn

pytestmark = pytest.mark.processes

ID = "5c0e7a21d94b36f8"
PATH = f"/pule252/{ID}"
HEADERS = (("host", "ficu95.example"), ("deadline-ms", "3000"))
SETTINGS = """
node_name = "{name}"
zone = "z1"
region = "r1"
ip = "{ip}"
port_range = [{peers}, {peers}]
advisor = "{platform}"
[listen]
frontend = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{platform}"
"""
JOB = {
    "spec": "text",
    "phases": [
        {"count": 3, "cpu": 1000, "mem_mb": 256, "estimated_ms": 300},
        {"count": 2, "cpu": 1000, "estimated_ms": 300, "depends_on": [0]},
    ],
}


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Caller:
    """Asks until a bound of tries is reached; no verdict hangs on the time."""

    def __init__(self):
        self.http = HttpPool()

    async def ask(self, address, method, path, body=b""):
        fields = tuple(h for h in HEADERS if h[0] != "host")
        return await self.http.request(
            address, method, path, body=body, headers=fields, host="ficu95.example"
        )

    async def until(self, address, path, good, tries=600):
        last = None
        for _ in range(tries):
            with contextlib.suppress(SiskinroadError):
                last = await self.ask(address, "GET", path)
                if good(last):
                    return last
            await asyncio.sleep(0.1)
        raise AssertionError(last)


async def start(tmp_path, number, platform):
    ip = f"127.0.0.{number}"
    ports = {"peers": free_port(ip), "front": free_port(ip), "ready": free_port(ip)}
    path = tmp_path / f"{number}.toml"
    text = SETTINGS.format(name=f"edge-{number}", ip=ip, platform=platform, **ports)
    path.write_text(text)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "siskinroad_platform",
        env=os.environ | {"SISKINROAD_BOOT": str(path)},
        stdout=open(tmp_path / f"{number}.log", "wb"),  # noqa: SIM115
    )
    return process, f"{ip}:{ports['front']}", f"{ip}:{ports['ready']}"


async def play(tmp_path):
    stand_in = StandIn()
    platform = await stand_in.listen()
    for name in ("i-1", "i-2"):
        await stand_in.add_host(name, platform)
    caller = Caller()
    daemons = [await start(tmp_path, n, platform) for n in (2, 3)]
    try:
        for _, _, ready in daemons:
            await caller.until(ready, "/readyz", lambda a: a.status == 200)
        front = daemons[0][1]
        body = json.dumps(JOB).encode()
        answer = await caller.ask(front, "POST", PATH, body)
        assert answer.status == 200
        other = daemons[1][1]
        await caller.until(other, PATH, lambda a: b"complete" in a.body)
        assert len(stand_in.hosts.starts()) == 5
        unknown = await caller.ask(front, "GET", "/none/")
        assert unknown.status == 404
        count = await caller.ask(front, "GET", "/pule252/")
        assert json.loads(count.body) == {"pending": 0}
        metrics = await caller.ask("127.0.0.2:9464", "GET", "/metrics")
        assert b"siskinroad_caller_answers_total" in metrics.body
        daemons[0][0].send_signal(signal.SIGTERM)
        assert await daemons[0][0].wait() == 0
        await caller.until(other, PATH, lambda a: b"complete" in a.body)
    finally:
        for process, _, _ in daemons:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await stand_in.server.close()
    return [json.loads(line) for line in (tmp_path / "2.log").read_text().splitlines()]


def test_two_daemons_run_a_job_and_one_stops_politely(tmp_path):
    lines = asyncio.run(play(tmp_path))
    messages = {line["message"] for line in lines}
    assert {"node: started", "node: stopping", "node: stopped"} <= messages
    assert all("daemon" in line and "time" in line for line in lines)
