"""Whole sessions of callers and operators on a paused clock, as text.

``python -m bench.golden`` writes the golden files anew.
"""

from __future__ import annotations

import asyncio
import json
import re
from pathlib import Path

from bench.clock import run
from bench.world import World
from siskinroad.callers import Callers
from siskinroad.httpd import serve_connection
from siskinroad.operators import Operators

ROOT = Path(__file__).parent.parent
GOLDEN = ROOT / "tests" / "golden"
SECONDS = {"quotes": 0.1, "slot-check": 0.1, "crew-dispatch": 0.1, "booking": 0.1}


class _Writer:
    """Keeps what a server writes."""

    def __init__(self) -> None:
        self.data = bytearray()

    def write(self, data: bytes) -> None:
        self.data += data

    async def drain(self) -> None:
        return None


class Session:
    """Talks HTTP to daemons of one example cell and notes what was said."""

    def __init__(self, cell: str, seed: int = 5) -> None:
        text = (ROOT / "examples" / f"{cell}.toml").read_text()
        centres = sorted(re.findall(r'data_centres = \["([^"]+)"\]', text))
        names = [f"{centre}{x}" for centre in centres for x in "ab"]
        self.world = World(text, names, seed)
        self.world.seconds = SECONDS
        self.lines: list[str] = []
        self.first = names[0]

    async def open(self) -> None:
        await self.world.start_all()
        await asyncio.sleep(1.0)

    def say(self, text: str) -> None:
        self.lines.append(f"# {text}")

    async def send(
        self, method: str, target: str, body: bytes = b"", name: str = "", **headers
    ):
        """Send one request over an in-memory connection and note the exchange."""
        daemon = self.world.daemons[name or self.first]
        operator = not target.startswith(("/v1/services", "/v1/jobs"))
        handler = (Operators if operator else Callers)(daemon).handle
        fields = {"host": "test", "content-length": str(len(body)), **headers}
        head = f"{method} {target} HTTP/1.1\r\n"
        head += "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in fields.items())
        reader = asyncio.StreamReader()
        reader.feed_data(head.encode() + b"\r\n" + body)
        reader.feed_eof()
        writer = _Writer()
        await serve_connection(reader, writer, handler)  # type: ignore[arg-type]
        return self._note(method, target, body, headers, bytes(writer.data))

    def _note(self, method, target, body, headers, answer: bytes):
        shown = f" ({len(body)} bytes)" if len(body) > 60 else f" {body.decode()}"
        extra = "".join(f" [{k}: {v}]" for k, v in headers.items())
        self.lines.append(f"> {method} {target}{extra}{shown if body else ''}")
        head, _, content = answer.partition(b"\r\n\r\n")
        status = head.split(b"\r\n")[0].decode()
        retry = re.search(rb"retry-after: \d+", head)
        if retry:
            status += f" [{retry.group().decode()}]"
        self.lines.append(f"< {status}")
        if content:
            self.lines += [f"  {line}" for line in content.decode().splitlines()]
        try:
            return json.loads(content or b"null")
        except ValueError:
            return None


async def _session(cell: str, request: str, keyed: str, flood: str, gang: str) -> str:
    s = Session(cell)
    await s.open()
    s.say("nothing is in force yet")
    await s.send("GET", "/readyz")
    await s.send("POST", f"/v1/services/{request}", b"first")
    s.say("a file that is not valid changes nothing")
    bad = s.world.text.replace("idle_weight = 1", "idle_wait = 1", 1)
    await s.send("PUT", "/v1/cell", bad.encode())
    s.say("apply, then apply again, then lose a race")
    await s.send("PUT", "/v1/cell", s.world.text.encode())
    await s.send("PUT", "/v1/cell", s.world.text.encode())
    changed = s.world.text.replace("weight = 3", "weight = 5", 1)
    await s.send("PUT", "/v1/cell?expect=7", changed.encode())
    await s.send("POST", "/v1/cell", changed.encode())
    await asyncio.sleep(8.0)
    await s.send("GET", "/readyz")
    s.say("requests")
    await s.send("POST", f"/v1/services/{request}", b"a wedding in May")
    await s.send("POST", f"/v1/services/{keyed}", b"one")
    await s.send("POST", f"/v1/services/{keyed}", b"one", idempotency_key="k1")
    await s.send("POST", f"/v1/services/{keyed}", b"one", idempotency_key="k1")
    await s.send("POST", f"/v1/services/{keyed}", b"two", idempotency_key="k1")
    await s.send("POST", "/v1/services/none", b"x")
    s.say("a flood, and a request beside it")
    job = await s.send("POST", f"/v1/jobs/{flood}?count=400", b"", idempotency_key="n")
    await s.send("POST", f"/v1/jobs/{flood}?count=400", b"", idempotency_key="n")
    await s.send("POST", f"/v1/services/{request}", b"in the flood")
    await asyncio.sleep(1.0)
    owner = next(
        name
        for name, daemon in sorted(s.world.daemons.items())
        if any(x.scheduler.shard.items for x in daemon.shards.owners.values())
    )
    await s.send("GET", "/v1/queue", name=owner)
    await s.send("GET", f"/v1/explain/{job['job']}/399")
    s.say("a gang, whole or not at all")
    whole = await s.send("POST", f"/v1/jobs/{gang}")
    await s.send("GET", f"/v1/jobs/{whole['job']}?wait=30")
    s.say("cancel the flood")
    await s.send("DELETE", f"/v1/jobs/{job['job']}")
    await s.send("GET", f"/v1/jobs/{job['job']}?wait=10")
    s.say("what operators see")
    await s.send("GET", "/v1/status")
    await s.send("GET", "/v1/report")
    s.say("a planned stop")
    draining = asyncio.create_task(s.world.daemons[s.first].drain())
    await asyncio.sleep(0.2)
    await s.send("GET", "/readyz")
    await s.send("POST", f"/v1/services/{request}", b"handed over")
    s.say(f"drained: {await draining}")
    return "\n".join(s.lines) + "\n"


SESSIONS = {
    "stanova": ("quotes", "crew-dispatch", "fleet-recount", "festival-render"),
    "alrahma": ("slot-check", "booking", "archive", "identity-match"),
}


def transcript(cell: str) -> str:
    """Return the session with one example cell."""
    return run(_session(cell, *SESSIONS[cell]))


if __name__ == "__main__":
    for cell in SESSIONS:
        (GOLDEN / f"{cell}.txt").write_text(transcript(cell))
