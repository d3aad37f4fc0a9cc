"""True daemons over loopback: memory, processor, control bytes, changes in force.

``python -m bench.processes [DAEMONS ...]`` writes ``docs/processes.json``;
``python -m bench.processes carried`` measures the carried request.
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
from siskinroad.platform_memory import MemoryLog
from siskinroad.stand_ins import PlatformServer, WorkerServer
from siskinroad.tables import table
from siskinroad.upstreams_memory import MemoryWorker

ROOT = Path(__file__).parent.parent
PER_CENTRE = 7
TICKS = os.sysconf("SC_CLK_TCK")
REST = 20.0


def _cell(centres: list[str]) -> str:
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


class Site:
    """Many daemons as processes."""

    def __init__(self, daemons: int, folder: Path) -> None:
        self.folder = folder
        names = [(f"c{i // PER_CENTRE}", i) for i in range(daemons)]
        self.names = [f"{c}d{i}" for c, i in names]
        self.centre = dict(zip(self.names, (c for c, _ in names), strict=True))
        self.text = _cell(sorted(set(self.centre.values())))
        self.pool = HttpPool()
        self.procs: dict[str, subprocess.Popen] = {}
        self.log = MemoryLog()

    async def open(self) -> None:
        platform = PlatformServer(self.log)
        at = await platform.http.listen("127.0.0.1:0")
        cell = parse_cell(self.text)
        for host in cell.hosts():
            capacity = cell.pools["p"].capacity
            worker = MemoryWorker(
                host.name, capacity, random.Random(1), duration=lambda w, r: 0.0
            )
            address = await WorkerServer(worker, host).http.listen("127.0.0.1:0")
            self.text = self.text.replace(f'"{host.address}"', f'"{address}"')
        ports = free_addresses(3 * len(self.names))
        self.ports = {n: ports[3 * i : 3 * i + 3] for i, n in enumerate(self.names)}
        for name in self.names:
            self._start(name, at)
        await self._until(self._all_up)

    def _start(self, name: str, platform: str) -> None:
        callers, operators, peers = self.ports[name]
        centre = self.centre[name]
        lines = [
            f'name = "{name}"\ndata_centre = "{centre}"\nregion = "{centre}r"',
            f'callers = "{callers}"\noperators = "{operators}"',
            f'peer_address = "{peers}"\nplatform = "{platform}"',
            'log_level = "error"',
        ]
        for other in self.names:
            if other != name:
                place = self.centre[other]
                lines.append(
                    f'[[peers]]\nname = "{other}"\naddress = "{self.ports[other][2]}"\n'
                    f'data_centre = "{place}"\nregion = "{place}r"'
                )
        (self.folder / f"{name}.toml").write_text("\n".join(lines))
        self.procs[name] = subprocess.Popen(
            [sys.executable, "-m", "siskinroad", "entry", f"{name}.toml"],
            cwd=self.folder,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )

    async def ask(self, name: str, method: str, target: str, body: bytes = b"") -> Any:
        return await self.pool.request(
            self.ports[name][1], method, target, body=body, limit=30.0
        )

    async def _all_up(self) -> bool:
        for name in self.names:
            await self.ask(name, "GET", "/healthz")
        return True

    async def _until(self, check: Any) -> None:
        for _ in range(600):
            try:
                if await check():
                    return
            except SiskinroadError:
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("the daemons did not come up")

    async def apply(self, text: str) -> float:
        """Apply a file; return the seconds until every daemon has it."""
        began = time.perf_counter()
        answer = await self.ask(self.names[0], "PUT", "/v1/cell", text.encode())
        revision = json.loads(answer.body)["revision"]

        async def everywhere() -> bool:
            answers = await asyncio.gather(
                *(self.ask(name, "GET", "/v1/status") for name in self.names)
            )
            return all(json.loads(a.body)["revision"] >= revision for a in answers)

        await self._until(everywhere)
        return time.perf_counter() - began

    def spent(self, name: str) -> float:
        fields = Path(f"/proc/{self.procs[name].pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / TICKS

    def resident(self, name: str) -> float:
        text = Path(f"/proc/{self.procs[name].pid}/status").read_text()
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found.group(1)) / 1024 if found else 0.0

    async def sent(self, name: str) -> int:
        text = (await self.ask(name, "GET", "/metrics")).body.decode()
        found = re.findall(r"^siskinroad_peer_sent_bytes\{.*\} (\S+)$", text, re.M)
        return int(sum(map(float, found)))

    def close(self) -> None:
        for proc in self.procs.values():
            proc.kill()
        for proc in self.procs.values():
            proc.wait()


async def at_rest(daemons: int) -> dict[str, Any]:
    """Return what a daemon costs at rest among so many."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(daemons, Path(folder))
        try:
            await site.open()
            await site.apply(site.text)
            await asyncio.sleep(8.0)
            spent = {name: site.spent(name) for name in site.names}
            sent = {name: await site.sent(name) for name in site.names}
            began = time.perf_counter()
            await asyncio.sleep(REST)
            passed = time.perf_counter() - began
            cpu = [(site.spent(n) - spent[n]) / passed for n in site.names]
            out = [(await site.sent(n) - sent[n]) / passed for n in site.names]
            rss = [site.resident(name) for name in site.names]
            change = await site.apply(site.text + "# changed\n")
        finally:
            site.close()
    return {
        "daemons": daemons,
        "data centres": -(-daemons // PER_CENTRE),
        "core median": round(percentile(cpu, 0.5), 4),
        "core max": round(max(cpu), 4),
        "MB median": round(percentile(rss, 0.5), 1),
        "MB max": round(max(rss), 1),
        "B/s median": round(percentile(out, 0.5)),
        "B/s max": round(max(out)),
        "change in force s": round(change, 2),
    }


# The carried request


def _worker_process(pipe: Any) -> None:
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


async def _rate(address: str, target: str, size: int, lanes: int, seconds: float):
    """Keep so many requests in progress; return their times and the rate."""
    pool = HttpPool(lanes)
    body = b"x" * size
    times: list[float] = []
    until = time.perf_counter() + seconds

    async def lane() -> None:
        while time.perf_counter() < until:
            began = time.perf_counter()
            answer = await pool.request(address, "POST", target, body=body)
            assert answer.status == 200, answer
            assert answer.body == body
            times.append(time.perf_counter() - began)

    await asyncio.gather(*(lane() for _ in range(lanes)))
    pool.close()
    return times, len(times) / seconds


async def _paced(address: str, target: str, size: int, rate: float, seconds: float):
    pool = HttpPool(64)
    body = b"x" * size
    times: list[float] = []

    async def one() -> None:
        began = time.perf_counter()
        await pool.request(address, "POST", target, body=body)
        times.append(time.perf_counter() - began)

    tasks = []
    for _ in range(int(rate * seconds)):
        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)
    pool.close()
    return times


async def carried() -> list[dict[str, Any]]:
    """Compare a request through one daemon with a direct one."""
    ours, theirs = multiprocessing.Pipe()
    worker = multiprocessing.Process(target=_worker_process, args=(theirs,))
    worker.start()
    direct = ours.recv()
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        site = Site(1, Path(folder))
        try:
            await site.open()
            text = re.sub(r'address = "[^"]+"', f'address = "{direct}"', site.text)
            await site.apply(text.replace("cpu = 32", "cpu = 64\nslots = 64"))
            await asyncio.sleep(3.0)
            through = site.ports[site.names[0]][0]
            for size in (1024, 65536):
                rows.append(await _compare(direct, through, size))
        finally:
            site.close()
            worker.kill()
    return rows


async def _compare(direct: str, through: str, size: int) -> dict[str, Any]:
    target = "/v1/services/s"
    _, plain = await _rate(direct, "/s", size, 16, 4.0)
    _, rate = await _rate(through, target, size, 16, 4.0)
    base = await _paced(direct, "/s", size, rate / 2, 4.0)
    times = await _paced(through, target, size, rate / 2, 4.0)
    added = percentile(times, 0.5) - percentile(base, 0.5)
    return {
        "bytes": size,
        "direct a second": round(plain),
        "carried a second": round(rate),
        "added median ms": round(added * 1000, 2),
        "added p99 ms": round(
            (percentile(times, 0.99) - percentile(base, 0.99)) * 1000, 2
        ),
    }


def main(words: list[str]) -> int:
    if words == ["carried"]:
        rows = asyncio.run(carried())
        name = "carried.json"
    else:
        sizes = [int(word) for word in words] or [1, 7, 21, 70]
        rows = [asyncio.run(at_rest(size)) for size in sizes]
        name = "processes.json"
    print(table(list(rows[0]), rows))
    (ROOT / "docs" / name).write_text(json.dumps(rows, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
