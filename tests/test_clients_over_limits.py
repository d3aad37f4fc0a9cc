"""A daemon of the cell file's way beside clients that exceed its limits.

Each test starts one daemon process with fewer caller connections, sends a crowd of
connections at it and checks that the process lives, that its memory and its sockets
have stayed under a bound, and that an ordinary request is answered afterwards. The
settings have no limit on the memory of the process, so its bound is fixed here. Times
and shares of served requests are not checked.
"""

import asyncio
import itertools
import os
import random
import subprocess
import sys
from pathlib import Path

import pytest

from bench.world import small_cell
from siskinroad.cell import parse_cell
from siskinroad.platform_memory import MemoryPlatformState
from siskinroad.stand_in_servers import HostServer, PlatformServer
from siskinroad.upstreams_memory import MemoryHost
from tests.crowds import (
    KIB,
    MIB,
    Crowd,
    ask_until,
    head,
    open_sockets,
    own_addresses,
    peak_mb,
)

pytestmark = pytest.mark.processes

# Bound on the memory of the process, which takes about 35 MB at rest.
MEMORY_MB = 256
# Setting of the daemon, and the sockets that it needs besides: listeners, other
# processes and the crowd's connections to listeners with limits of their own.
MAX_CONNECTIONS = 48
OTHER_SOCKETS = 100
PIECE = b"x" * (64 * KIB)
# First bytes of a ZMTP 3.0 connection without authentication, and its READY command.
GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(48)
PROPERTIES = b"\x0bSocket-Type\x00\x00\x00\x06DEALER"
READY = bytes([4, 6 + len(PROPERTIES)]) + b"\x05READY" + PROPERTIES


class OneDaemon:
    """One daemon process; its platform and its hosts run in this process."""

    def __init__(self, folder):
        self.folder = folder
        self.text = small_cell(3, 0)
        self.hosts = []
        self.callers, self.operators, self.peers = own_addresses(3)

    async def start(self):
        """Start the daemon and wait until it serves."""
        self.platform = PlatformServer(MemoryPlatformState())
        platform_address = await self.platform.http.listen("127.0.0.1:0")
        cell = parse_cell(self.text)
        for host in cell.hosts():
            memory_host = MemoryHost(
                host.name,
                cell.pools["booking"].capacity,
                random.Random(1),
                duration=lambda w, r: 0.05,
            )
            server = HostServer(memory_host, host)
            self.hosts.append(server)
            address = await server.http.listen("127.0.0.1:0")
            self.text = self.text.replace(host.address, address)
        (self.folder / "a.toml").write_text(
            'name = "a"\ndata_centre = "east-1"\nregion = "east"\n'
            f'callers = "{self.callers}"\noperators = "{self.operators}"\n'
            f'peer_address = "{self.peers}"\nplatform = "{platform_address}"\n'
            f"max_connections = {MAX_CONNECTIONS}\n"
        )
        with open(self.folder / "a.log", "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "siskinroad", "entry", "a.toml"],
                cwd=self.folder,
                env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[1])},
                stderr=log,
            )
        size = f"content-length: {len(self.text.encode())}"
        cell_request = head("PUT", "/v1/cell", size) + self.text.encode()
        assert await ask_until(self.operators, cell_request) == 200
        assert await self.serves() == 200

    async def serves(self):
        """Return the status of an ordinary request, which is repeated for a while."""
        request = head("POST", "/v1/services/quote", "content-length: 5") + b"hello"
        return await ask_until(self.callers, request)

    def end(self):
        """End the process."""
        self.process.kill()
        self.process.wait()


def run_crowd(folder, act):
    """Run a crowd against a daemon, and check the daemon.

    Parameters
    ----------
    act : callable
        Gets the daemon and the crowd, and adds the connections. It may return a
        coroutine function, which is called while they hold on; its result is a status.
    """

    async def main():
        daemon = OneDaemon(folder)
        await daemon.start()
        try:
            await check_crowd(daemon, act)
        finally:
            daemon.end()

    asyncio.run(main())


async def check_crowd(daemon, act):
    pid = daemon.process.pid
    crowd = Crowd(pid)
    during = act(daemon, crowd)
    try:
        await crowd.wait_quiet()
        met = await during() if during is not None else 200
    finally:
        await crowd.end()
    after = await daemon.serves()
    alive = daemon.process.poll() is None
    peak = peak_mb(pid) if alive else 0.0
    sockets = max(crowd.most_sockets, open_sockets(pid)) if alive else 0
    print(f"MEASURED alive {alive}, {peak:.0f} MB of {MEMORY_MB}, ", end="")
    print(f"{sockets} sockets of {MAX_CONNECTIONS + OTHER_SOCKETS}, ", end="")
    print(f"meanwhile {met}, after {after}")
    assert alive
    assert peak <= MEMORY_MB
    assert sockets <= MAX_CONNECTIONS + OTHER_SOCKETS
    assert (met, after) == (200, 200)


def hold(crowd, address, path, connections, announced, sent):
    """Add connections that announce a body, send some of it and hold on."""
    for _ in range(connections):
        first = head("PUT", path, f"content-length: {announced}")
        pieces = (PIECE[: sent - i] for i in range(0, sent, len(PIECE)))
        crowd.add(address, itertools.chain([first], pieces))


def test_a_calm_daemon_serves_ordinary_requests_within_the_bounds(tmp_path):
    # Guards the bounds themselves: without a crowd they hold.
    run_crowd(tmp_path, lambda daemon, crowd: None)


def test_bodies_of_16_mebibytes_that_never_end_stay_within_the_memory(tmp_path):
    # The workload takes bodies of 1 MiB; 24 are announced that are larger.
    def act(daemon, crowd):
        path = "/v1/services/quote"
        hold(crowd, daemon.callers, path, 24, 16 * MIB, 16 * MIB - 1)

    run_crowd(tmp_path, act)


def test_bodies_announced_far_over_the_limit_stay_within_the_memory(tmp_path):
    def act(daemon, crowd):
        path = "/v1/services/quote"
        hold(crowd, daemon.callers, path, 24, 1 << 30, 15 * MIB)

    run_crowd(tmp_path, act)


def test_bodies_for_no_workload_stay_within_the_memory(tmp_path):
    def act(daemon, crowd):
        hold(crowd, daemon.callers, "/none", 24, 16 * MIB, 15 * MIB)

    run_crowd(tmp_path, act)


def test_chunked_bodies_that_never_end_stay_within_the_memory(tmp_path):
    def act(daemon, crowd):
        piece = b"10000\r\n" + PIECE + b"\r\n"
        for _ in range(24):
            first = head("POST", "/v1/services/quote", "transfer-encoding: chunked")
            crowd.add(daemon.callers, [first, *[piece] * 250])

    run_crowd(tmp_path, act)


def test_bodies_at_the_operators_listener_stay_within_the_memory(tmp_path):
    def act(daemon, crowd):
        hold(crowd, daemon.operators, "/v1/cell", 60, 8 * MIB, 8 * MIB - 1)

    run_crowd(tmp_path, act)


def test_silent_connections_lock_no_caller_out(tmp_path):
    def act(daemon, crowd):
        for _ in range(2 * MAX_CONNECTIONS):
            crowd.add(daemon.callers, [])
        return daemon.serves

    run_crowd(tmp_path, act)


def test_messages_at_the_peers_socket_that_never_end_stay_within_the_memory(tmp_path):
    # 14 connections each announce a message of 32 MiB and send all but a byte.
    def act(daemon, crowd):
        size = 32 * MIB
        first = GREETING + READY + b"\x02" + size.to_bytes(8, "big")
        for _ in range(14):
            pieces = (PIECE[: size - 1 - i] for i in range(0, size - 1, len(PIECE)))
            crowd.add(daemon.peers, itertools.chain([first], pieces))

    run_crowd(tmp_path, act)


def test_messages_far_over_the_limit_at_the_peers_socket_stay_within_the_memory(
    tmp_path,
):
    def act(daemon, crowd):
        first = GREETING + READY + b"\x02" + (1 << 30).to_bytes(8, "big")
        for _ in range(14):
            crowd.add(
                daemon.peers, itertools.chain([first], itertools.repeat(PIECE, 512))
            )

    run_crowd(tmp_path, act)


def test_garbage_at_the_peers_socket_stays_within_the_memory(tmp_path):
    def act(daemon, crowd):
        for _ in range(14):
            crowd.add(daemon.peers, itertools.repeat(PIECE, 512))

    run_crowd(tmp_path, act)
