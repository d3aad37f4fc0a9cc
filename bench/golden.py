"""Transcripts of sessions of callers and operators on a paused clock.

``python -m bench.golden`` rewrites the golden files.
"""

from __future__ import annotations

import asyncio
import json
import re
from pathlib import Path

from bench.clock import run_on_paused_clock
from bench.world import World
from siskinroad.callers import CallerApi
from siskinroad.httpd import serve_connection
from siskinroad.operators import OperatorApi

ROOT = Path(__file__).parent.parent
GOLDEN = ROOT / "tests" / "golden"
# Mean run time of a request in seconds, by service.
REQUEST_TIME_S = {
    "quotes": 0.1,
    "slot-check": 0.1,
    "crew-dispatch": 0.1,
    "booking": 0.1,
}


class _BufferWriter:
    """Stream writer that collects the written bytes in ``data``."""

    def __init__(self) -> None:
        self.data = bytearray()

    def write(self, data: bytes) -> None:
        self.data += data

    async def drain(self) -> None:
        return None


class Session:
    """Recorder of HTTP exchanges with the daemons of one example cell."""

    def __init__(self, cell: str, seed: int = 5) -> None:
        text = (ROOT / "examples" / f"{cell}.toml").read_text()
        centres = sorted(re.findall(r'data_centres = \["([^"]+)"\]', text))
        names = [f"{centre}{x}" for centre in centres for x in "ab"]
        self.world = World(text, names, seed)
        self.world.run_time_s = REQUEST_TIME_S
        self.lines: list[str] = []
        self.default_daemon = names[0]

    async def open(self) -> None:
        await self.world.start_all()
        await asyncio.sleep(1.0)

    def add_heading(self, text: str) -> None:
        self.lines.append(f"# {text}")

    async def send(
        self, method: str, target: str, body: bytes = b"", name: str = "", **headers
    ):
        """Send one request over an in-memory connection and record the exchange."""
        daemon = self.world.daemons[name or self.default_daemon]
        is_operator_target = not target.startswith(("/v1/services", "/v1/jobs"))
        handler = (OperatorApi if is_operator_target else CallerApi)(daemon).handle
        fields = {"host": "test", "content-length": str(len(body)), **headers}
        head = f"{method} {target} HTTP/1.1\r\n"
        head += "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in fields.items())
        reader = asyncio.StreamReader()
        reader.feed_data(head.encode() + b"\r\n" + body)
        reader.feed_eof()
        writer = _BufferWriter()
        await serve_connection(reader, writer, handler)  # type: ignore[arg-type]
        return self._record_exchange(method, target, body, headers, bytes(writer.data))

    def _record_exchange(self, method, target, body, headers, answer: bytes):
        body_note = f" ({len(body)} bytes)" if len(body) > 60 else f" {body.decode()}"
        header_notes = "".join(f" [{k}: {v}]" for k, v in headers.items())
        self.lines.append(
            f"> {method} {target}{header_notes}{body_note if body else ''}"
        )
        head, _, content = answer.partition(b"\r\n\r\n")
        status = head.split(b"\r\n")[0].decode()
        retry_after_match = re.search(rb"retry-after: \d+", head)
        if retry_after_match:
            status += f" [{retry_after_match.group().decode()}]"
        self.lines.append(f"< {status}")
        if content:
            self.lines += [f"  {line}" for line in content.decode().splitlines()]
        try:
            return json.loads(content or b"null")
        except ValueError:
            return None


async def _run_session(
    cell: str, request: str, keyed: str, flood: str, gang: str
) -> str:
    """Return the transcript of one session.

    The arguments after ``cell`` name its workloads: an idempotent service, a service
    that requires keys, a batch job and a gang.
    """
    session = Session(cell)
    await session.open()
    session.add_heading("nothing is in force yet")
    await session.send("GET", "/readyz")
    await session.send("POST", f"/v1/services/{request}", b"first")
    session.add_heading("a file that is not valid changes nothing")
    invalid = session.world.text.replace("idle_weight = 1", "idle_wait = 1", 1)
    await session.send("PUT", "/v1/cell", invalid.encode())
    session.add_heading("apply, then apply again, then lose a race")
    await session.send("PUT", "/v1/cell", session.world.text.encode())
    await session.send("PUT", "/v1/cell", session.world.text.encode())
    changed = session.world.text.replace("weight = 3", "weight = 5", 1)
    await session.send("PUT", "/v1/cell?expect=7", changed.encode())
    await session.send("POST", "/v1/cell", changed.encode())
    await asyncio.sleep(8.0)
    await session.send("GET", "/readyz")
    session.add_heading("requests")
    await session.send("POST", f"/v1/services/{request}", b"a wedding in May")
    await session.send("POST", f"/v1/services/{keyed}", b"one")
    await session.send("POST", f"/v1/services/{keyed}", b"one", idempotency_key="k1")
    await session.send("POST", f"/v1/services/{keyed}", b"one", idempotency_key="k1")
    await session.send("POST", f"/v1/services/{keyed}", b"two", idempotency_key="k1")
    await session.send("POST", "/v1/services/none", b"x")
    session.add_heading("a flood, and a request beside it")
    flood_job = await session.send(
        "POST", f"/v1/jobs/{flood}?count=400", b"", idempotency_key="n"
    )
    await session.send("POST", f"/v1/jobs/{flood}?count=400", b"", idempotency_key="n")
    await session.send("POST", f"/v1/services/{request}", b"in the flood")
    await asyncio.sleep(1.0)
    owner = next(
        name
        for name, daemon in sorted(session.world.daemons.items())
        if any(x.scheduler.shard.items for x in daemon.shards.owners.values())
    )
    await session.send("GET", "/v1/queue", name=owner)
    await session.send("GET", f"/v1/explain/{flood_job['job']}/399")
    session.add_heading("a gang, whole or not at all")
    gang_job = await session.send("POST", f"/v1/jobs/{gang}")
    await session.send("GET", f"/v1/jobs/{gang_job['job']}?wait=30")
    session.add_heading("cancel the flood")
    await session.send("DELETE", f"/v1/jobs/{flood_job['job']}")
    await session.send("GET", f"/v1/jobs/{flood_job['job']}?wait=10")
    session.add_heading("what operators see")
    await session.send("GET", "/v1/status")
    await session.send("GET", "/v1/report")
    session.add_heading("a planned stop")
    draining = asyncio.create_task(
        session.world.daemons[session.default_daemon].drain()
    )
    await asyncio.sleep(0.2)
    await session.send("GET", "/readyz")
    await session.send("POST", f"/v1/services/{request}", b"handed over")
    session.add_heading(f"drained: {await draining}")
    return "\n".join(session.lines) + "\n"


# Workloads that the session of each example cell uses, as in _run_session.
SESSIONS = {
    "stanova": ("quotes", "crew-dispatch", "fleet-recount", "festival-render"),
    "alrahma": ("slot-check", "booking", "archive", "identity-match"),
}


def transcript(cell: str) -> str:
    """Return the transcript of the session with one example cell."""
    return run_on_paused_clock(_run_session(cell, *SESSIONS[cell]))


if __name__ == "__main__":
    for cell in SESSIONS:
        (GOLDEN / f"{cell}.txt").write_text(transcript(cell))
