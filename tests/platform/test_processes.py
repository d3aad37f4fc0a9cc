"""Two daemon processes against a fake platform, over real connections."""

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
from tests.platform.fake_platform import FakePlatform

pytestmark = pytest.mark.processes

JOB_ID = "5c0e7a21d94b36f8"
JOB_PATH = f"/pule252/{JOB_ID}"
CALLER_HEADERS = (("host", "ficu95.example"), ("deadline-ms", "3000"))
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


def loopback_ip(number):
    """Return an address that another run of the tests at the same time does not use.

    A daemon serves its metrics on a fixed port.
    """
    pid = os.getpid()
    return f"127.{1 + pid // 256 % 254}.{pid % 256}.{number}"


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class CallerClient:
    """HTTP client of a caller; polls a bounded number of times, without a deadline."""

    def __init__(self):
        self.http = HttpPool()

    async def send(self, address, method, path, body=b""):
        sent_headers = tuple(h for h in CALLER_HEADERS if h[0] != "host")
        return await self.http.request(
            address,
            method,
            path,
            body=body,
            headers=sent_headers,
            host="ficu95.example",
        )

    async def poll(self, address, path, is_expected, attempts=600):
        last = None
        for _ in range(attempts):
            with contextlib.suppress(SiskinroadError):
                last = await self.send(address, "GET", path)
                if is_expected(last):
                    return last
            await asyncio.sleep(0.1)
        raise AssertionError(last)


async def start_daemon(tmp_path, number, platform):
    ip = loopback_ip(number)
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


async def run_scenario(tmp_path):
    platform = FakePlatform()
    address = await platform.listen()
    for name in ("i-1", "i-2"):
        await platform.add_host(name, address)
    caller = CallerClient()
    daemons = [await start_daemon(tmp_path, n, address) for n in (2, 3)]
    try:
        for _, _, ready in daemons:
            await caller.poll(ready, "/readyz", lambda r: r.status == 200)
        front = daemons[0][1]
        body = json.dumps(JOB).encode()
        submitted = await caller.send(front, "POST", JOB_PATH, body)
        assert submitted.status == 200
        other = daemons[1][1]
        await caller.poll(other, JOB_PATH, lambda r: b"complete" in r.body)
        assert len(platform.hosts.starts()) == 5
        unknown = await caller.send(front, "GET", "/none/")
        assert unknown.status == 404
        count = await caller.send(front, "GET", "/pule252/")
        assert json.loads(count.body) == {"pending": 0}
        metrics = await caller.send(f"{loopback_ip(2)}:9464", "GET", "/metrics")
        assert b"siskinroad_caller_answers_total" in metrics.body
        daemons[0][0].send_signal(signal.SIGTERM)
        assert await daemons[0][0].wait() == 0
        await caller.poll(other, JOB_PATH, lambda r: b"complete" in r.body)
    finally:
        for process, _, _ in daemons:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await platform.server.close()
    return [json.loads(line) for line in (tmp_path / "2.log").read_text().splitlines()]


def test_two_daemons_run_a_job_and_one_drains_on_sigterm(tmp_path):
    # Guards the whole path of a job: submitted to one daemon, run once per task, shown
    # by the other one, and still shown after the first has stopped with exit code 0.
    lines = asyncio.run(run_scenario(tmp_path))
    messages = {line["message"] for line in lines}
    assert {"node: started", "node: stopping", "node: stopped"} <= messages
    assert all("daemon" in line and "time" in line for line in lines)


async def signal_before_the_store_answers(tmp_path, number):
    """Send SIGHUP, then SIGTERM, to a daemon that waits for its first store call."""
    was_called = asyncio.Event()

    async def stay_silent(reader, writer):
        await reader.readline()
        was_called.set()
        await reader.read()
        writer.close()

    server = await asyncio.start_server(stay_silent, loopback_ip(200), 0)
    port = server.sockets[0].getsockname()[1]
    process, *_ = await start_daemon(tmp_path, number, f"{loopback_ip(200)}:{port}")
    try:
        await was_called.wait()
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)
        process.send_signal(signal.SIGTERM)
        return await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        server.close()


def test_a_daemon_that_starts_is_not_ended_by_a_change_of_its_settings(tmp_path):
    # Guards against review/10: until a silent store had been waited for, SIGHUP had its
    # default action and ended the process.
    assert asyncio.run(signal_before_the_store_answers(tmp_path, 5)) == 0
