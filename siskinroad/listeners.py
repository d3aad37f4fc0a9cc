"""Listeners of a daemon, and the process from start to planned stop."""

from __future__ import annotations

import asyncio
import logging
import random
import signal

from siskinroad.callers import CallerApi
from siskinroad.entry import Daemon
from siskinroad.httpd import HttpLimits, HttpServer
from siskinroad.operators import MAX_CELL_BODY, OperatorApi
from siskinroad.peers_zmq import ZmqTransport
from siskinroad.platform_http import HttpPlatform
from siskinroad.receive_budget import ReceiveBudget
from siskinroad.refusal_log import RefusalLog
from siskinroad.settings import Settings
from siskinroad.upstreams_http import HttpUpstreamClient

__all__ = ["EXIT_DRAINED", "EXIT_KILLED", "EXIT_TIMEOUT", "Node", "run_node"]

# Exit codes: the drain finished, it ran out of time, or a second signal ended it.
EXIT_DRAINED = 0
EXIT_TIMEOUT = 6
EXIT_KILLED = 7
# Most bytes in the body of one request of a caller; a smaller value refuses bodies that
# a cell file may allow.
MAX_CALLER_BODY = 16 << 20
# Most bytes of the bodies that are received and held at once, by all listeners; a
# smaller value closes connections that send several of the largest bodies at once.
RECEIVE_BUDGET = 64 << 20
# Seconds for which the callers' listener stays open after the drain has begun, so that
# load balancers see ``/readyz`` fail first. A smaller value breaks new connections.
READINESS_DELAY = 1.0

log = logging.getLogger("siskinroad.node")


class Node:
    """Daemon with its listeners for callers, operators and peers.

    Attributes
    ----------
    callers, operators, peers : str
        The addresses that are listened on; empty before ``open``.
    """

    def __init__(self, cfg: Settings, incarnation: int, rng: random.Random) -> None:
        self.cfg = cfg
        self.transport = ZmqTransport(cfg)
        self.daemon = Daemon(
            cfg,
            incarnation,
            HttpPlatform(cfg.platform),
            HttpUpstreamClient(),
            self.transport,
            rng,
        )
        budget = ReceiveBudget(RECEIVE_BUDGET)
        refusals = RefusalLog(self.daemon.metrics.http_refusals, budget)
        callers = CallerApi(self.daemon)
        operators = OperatorApi(self.daemon)
        self.caller_http = HttpServer(
            callers.handle,
            HttpLimits(connections=cfg.max_connections, body_bytes=MAX_CALLER_BODY),
            refusals.count,
            budget,
            callers.limit_body,
        )
        self.operator_http = HttpServer(
            operators.handle,
            HttpLimits(connections=64, body_bytes=MAX_CELL_BODY),
            refusals.count,
            budget,
            operators.limit_body,
        )
        self.callers = ""
        self.operators = ""
        self.peers = ""

    async def open(self) -> None:
        """Open every listener and start the daemon."""
        self.peers = self.transport.open()
        self.operators = await self.operator_http.listen(self.cfg.operators)
        self.callers = await self.caller_http.listen(self.cfg.callers)
        self.daemon.start()
        log.info(
            "node: listening for callers on %s, operators on %s, peers on %s",
            self.callers,
            self.operators,
            self.peers,
        )

    async def drain(self) -> bool:
        """Stop as planned; return False if the drain ran out of time."""
        drain_task = asyncio.create_task(self.daemon.drain())
        await asyncio.sleep(READINESS_DELAY)
        await self.caller_http.drain()
        is_drained = await drain_task
        await self.operator_http.close()
        return is_drained

    async def close(self) -> None:
        """Close the listeners, the daemon and its clients at once."""
        await self.caller_http.close()
        await self.operator_http.close()
        await self.daemon.close()
        await self.daemon.platform.close()
        await self.daemon.upstreams.close()


async def run_node(node: Node) -> int:
    """Run a node until a signal ends it; return the exit code.

    The first SIGTERM or SIGINT begins a planned stop. A second one ends the
    process at once, as a crash would.
    """
    loop = asyncio.get_running_loop()
    first_signal = asyncio.Event()
    second_signal = asyncio.Event()

    def on_signal() -> None:
        (second_signal if first_signal.is_set() else first_signal).set()

    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, on_signal)
    await node.open()
    await first_signal.wait()
    drain = asyncio.create_task(node.drain())
    kill_task = asyncio.create_task(second_signal.wait())
    await asyncio.wait({drain, kill_task}, return_when=asyncio.FIRST_COMPLETED)
    code = EXIT_KILLED
    if drain.done():
        code = EXIT_DRAINED if drain.result() else EXIT_TIMEOUT
    for task in (drain, kill_task):
        task.cancel()
    await node.close()
    return code
