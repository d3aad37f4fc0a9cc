"""Benchmark of real daemon processes that communicate over loopback.

It measures the memory, processor time and control bytes of idle daemons, the time
until a changed cell file is in force, and the cost of proxying a request to a host.

``python -m bench.processes [DAEMONS ...]`` writes ``docs/processes.json``;
``python -m bench.processes carried`` compares proxied with direct requests and
writes ``docs/carried.json``.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import random
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from siskinroad.cell import parse_cell
from siskinroad.cluster import free_addresses
from siskinroad.errors import SiskinroadError
from siskinroad.http_client import HttpPool
from siskinroad.httpd import HttpServer
from siskinroad.load import percentile
from siskinroad.platform_memory import MemoryPlatformState
from siskinroad.stand_in_servers import HostServer, PlatformServer
from siskinroad.tables import format_table
from siskinroad.upstreams_memory import MemoryHost

ROOT = Path(__file__).parent.parent
DAEMONS_PER_CENTRE = 7
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

# Seconds over which idle daemons are measured
IDLE_TIME_S = 20.0


def _make_cell_text(centres: list[str]) -> str:
    text = 'name = "many"\n[[owners]]\nname = "o"\n'
    for centre in centres:
        text += f'[[regions]]\nname = "{centre}r"\ndata_centres = ["{centre}"]\n'
    text += '[[upstreams]]\nname = "p"\ncpu = 32\nmemory_gib = 128\nhosts = [\n'
    for i, centre in enumerate(centres):
        text += (
            f'{{ name = "h{i}", address = "127.0.0.1:{6000 + i}", '
            f'rack = "r", data_centre = "{centre}" }},\n'
        )
    text += ']\n[[services]]\nname = "s"\nowner = "o"\nupstream = "p"\n'
    return text + 'urgency = "urgent"\nidempotent = true\nlocality = "data_centre"\n'


class DaemonGroup:
    """Daemons in processes of their own, with the hosts and platform in this one.

    Parameters
    ----------
    daemons : int
        Number of daemons; each data centre has ``DAEMONS_PER_CENTRE`` of them.
    folder : Path
        Folder for their settings files.
    """

    def __init__(self, daemons: int, folder: Path) -> None:
        self.folder = folder
        names = [(f"c{i // DAEMONS_PER_CENTRE}", i) for i in range(daemons)]
        self.names = [f"{c}d{i}" for c, i in names]
        self.centre = dict(zip(self.names, (c for c, _ in names), strict=True))
        self.text = _make_cell_text(sorted(set(self.centre.values())))
        self.pool = HttpPool()
        self.procs: dict[str, subprocess.Popen] = {}
        self.log = MemoryPlatformState()

    async def start_all(self) -> None:
        platform = PlatformServer(self.log)
        platform_address = await platform.http.listen("127.0.0.1:0")
        cell = parse_cell(self.text)
        for host in cell.hosts():
            capacity = cell.pools["p"].capacity
            memory_host = MemoryHost(
                host.name, capacity, random.Random(1), duration=lambda w, r: 0.0
            )
            address = await HostServer(memory_host, host).http.listen("127.0.0.1:0")
            self.text = self.text.replace(f'"{host.address}"', f'"{address}"')
        ports = free_addresses(3 * len(self.names))
        self.ports = {n: ports[3 * i : 3 * i + 3] for i, n in enumerate(self.names)}
        for name in self.names:
            self._start_daemon(name, platform_address)
        await self._wait_until(self._are_all_healthy)

    def _start_daemon(self, name: str, platform_address: str) -> None:
        callers, operators, peers = self.ports[name]
        centre = self.centre[name]
        lines = [
            f'name = "{name}"\ndata_centre = "{centre}"\nregion = "{centre}r"',
            f'callers = "{callers}"\noperators = "{operators}"',
            f'peer_address = "{peers}"\nplatform = "{platform_address}"',
            'log_level = "error"',
        ]
        for other in self.names:
            if other != name:
                other_centre = self.centre[other]
                lines.append(
                    f'[[peers]]\nname = "{other}"\naddress = "{self.ports[other][2]}"\n'
                    f'data_centre = "{other_centre}"\nregion = "{other_centre}r"'
                )
        (self.folder / f"{name}.toml").write_text("\n".join(lines))
        self.procs[name] = subprocess.Popen(
            [sys.executable, "-m", "siskinroad", "entry", f"{name}.toml"],
            cwd=self.folder,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )

    async def send_request(
        self, name: str, method: str, target: str, body: bytes = b""
    ) -> Any:
        return await self.pool.request(
            self.ports[name][1], method, target, body=body, timeout=30.0
        )

    async def _are_all_healthy(self) -> bool:
        for name in self.names:
            await self.send_request(name, "GET", "/healthz")
        return True

    async def _wait_until(self, condition: Any) -> None:
        for _ in range(600):
            try:
                if await condition():
                    return
            except SiskinroadError:
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("the daemons did not reach the expected state in 600 tries")

    async def apply_cell(self, text: str) -> float:
        """Apply a cell file; return the seconds until all daemons have it in force."""
        began = time.perf_counter()
        answer = await self.send_request(
            self.names[0], "PUT", "/v1/cell", text.encode()
        )
        revision = json.loads(answer.body)["revision"]

        async def is_in_force_everywhere() -> bool:
            answers = await asyncio.gather(
                *(self.send_request(name, "GET", "/v1/status") for name in self.names)
            )
            return all(json.loads(a.body)["revision"] >= revision for a in answers)

        await self._wait_until(is_in_force_everywhere)
        return time.perf_counter() - began

    def cpu_time_s(self, name: str) -> float:
        """Return the processor time that a daemon has used, in seconds."""
        fields = Path(f"/proc/{self.procs[name].pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S

    def read_resident_mb(self, name: str) -> float:
        """Return the resident memory of a daemon, in MB."""
        text = Path(f"/proc/{self.procs[name].pid}/status").read_text()
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found.group(1)) / 1024 if found else 0.0

    async def sent_bytes(self, name: str) -> int:
        """Return the bytes that a daemon has sent to its peers."""
        text = (await self.send_request(name, "GET", "/metrics")).body.decode()
        found = re.findall(r"^siskinroad_peer_sent_bytes\{.*\} (\S+)$", text, re.M)
        return int(sum(map(float, found)))

    def close(self) -> None:
        for proc in self.procs.values():
            proc.kill()
        for proc in self.procs.values():
            proc.wait()


async def measure_idle_daemons(daemons: int) -> dict[str, Any]:
    """Measure the costs of idle daemons in a group of ``daemons``."""
    with tempfile.TemporaryDirectory() as folder:
        group = DaemonGroup(daemons, Path(folder))
        try:
            await group.start_all()
            await group.apply_cell(group.text)
            await asyncio.sleep(8.0)
            cpu_time_s = {name: group.cpu_time_s(name) for name in group.names}
            sent_bytes = {name: await group.sent_bytes(name) for name in group.names}
            began = time.perf_counter()
            await asyncio.sleep(IDLE_TIME_S)
            elapsed_s = time.perf_counter() - began
            core_shares = [
                (group.cpu_time_s(n) - cpu_time_s[n]) / elapsed_s for n in group.names
            ]
            sent_rates = [
                (await group.sent_bytes(n) - sent_bytes[n]) / elapsed_s
                for n in group.names
            ]
            resident_mb = [group.read_resident_mb(name) for name in group.names]
            change_s = await group.apply_cell(group.text + "# changed\n")
        finally:
            group.close()
    return {
        "daemons": daemons,
        "data centres": -(-daemons // DAEMONS_PER_CENTRE),
        "core median": round(percentile(core_shares, 0.5), 4),
        "core max": round(max(core_shares), 4),
        "MB median": round(percentile(resident_mb, 0.5), 1),
        "MB max": round(max(resident_mb), 1),
        "B/s median": round(percentile(sent_rates, 0.5)),
        "B/s max": round(max(sent_rates)),
        "change in force s": round(change_s, 2),
    }


# Requests that a daemon proxies to a host, compared with direct ones


def _run_echo_host(pipe: Any) -> None:
    async def main() -> None:
        async def echo(req: Any) -> Any:
            from siskinroad.httpd import HttpResponse

            if req.path == "/inventory":
                await asyncio.sleep(json.loads(req.body)["wait"])
                return HttpResponse(200, b'{"tasks":[]}')
            return HttpResponse(200, req.body)

        pipe.send(await HttpServer(echo).listen("127.0.0.1:0"))
        await asyncio.sleep(600)

    asyncio.run(main())


async def _measure_rate(
    address: str, target: str, size: int, concurrency: int, seconds: float
):
    """Keep ``concurrency`` requests open; return times in s and requests a second."""
    pool = HttpPool(concurrency)
    body = b"x" * size
    times: list[float] = []
    end_time = time.perf_counter() + seconds

    async def send_repeatedly() -> None:
        while time.perf_counter() < end_time:
            began = time.perf_counter()
            answer = await pool.request(address, "POST", target, body=body)
            assert answer.status == 200, answer
            assert answer.body == body
            times.append(time.perf_counter() - began)

    await asyncio.gather(*(send_repeatedly() for _ in range(concurrency)))
    pool.close()
    return times, len(times) / seconds


async def _measure_latencies(
    address: str, target: str, size: int, rate: float, seconds: float
):
    """Send ``rate`` requests a second; return their times in s."""
    pool = HttpPool(64)
    body = b"x" * size
    times: list[float] = []

    async def send_one() -> None:
        began = time.perf_counter()
        await pool.request(address, "POST", target, body=body)
        times.append(time.perf_counter() - began)

    tasks = []
    for _ in range(int(rate * seconds)):
        tasks.append(asyncio.create_task(send_one()))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)
    pool.close()
    return times


async def measure_proxied() -> list[dict[str, Any]]:
    """Compare requests through one daemon with direct ones, by body size."""
    parent_end, child_end = multiprocessing.Pipe()
    host_process = multiprocessing.Process(target=_run_echo_host, args=(child_end,))
    host_process.start()
    direct_address = parent_end.recv()
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        group = DaemonGroup(1, Path(folder))
        try:
            await group.start_all()
            text = re.sub(
                r'address = "[^"]+"', f'address = "{direct_address}"', group.text
            )
            await group.apply_cell(text.replace("cpu = 32", "cpu = 64\nslots = 64"))
            await asyncio.sleep(3.0)
            daemon_address = group.ports[group.names[0]][0]
            for size in (1024, 65536):
                rows.append(
                    await _compare_with_direct(direct_address, daemon_address, size)
                )
        finally:
            group.close()
            host_process.kill()
    return rows


async def _compare_with_direct(
    direct_address: str, daemon_address: str, size: int
) -> dict[str, Any]:
    target = "/v1/services/s"
    _, direct_rate = await _measure_rate(direct_address, "/s", size, 16, 4.0)
    _, rate = await _measure_rate(daemon_address, target, size, 16, 4.0)
    direct_times = await _measure_latencies(direct_address, "/s", size, rate / 2, 4.0)
    times = await _measure_latencies(daemon_address, target, size, rate / 2, 4.0)
    added_median_s = percentile(times, 0.5) - percentile(direct_times, 0.5)
    return {
        "bytes": size,
        "direct a second": round(direct_rate),
        "carried a second": round(rate),
        "added median ms": round(added_median_s * 1000, 2),
        "added p99 ms": round(
            (percentile(times, 0.99) - percentile(direct_times, 0.99)) * 1000, 2
        ),
    }


def main(arguments: list[str]) -> int:
    if arguments == ["carried"]:
        rows = asyncio.run(measure_proxied())
        name = "carried.json"
    else:
        sizes = [int(argument) for argument in arguments] or [1, 7, 21, 70]
        rows = [asyncio.run(measure_idle_daemons(size)) for size in sizes]
        name = "processes.json"
    print(format_table(list(rows[0]), rows))
    (ROOT / "docs" / name).write_text(json.dumps(rows, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
