"""A daemon process of the users' platform beside clients that exceed its limits.

Each test starts one daemon with lowered ``memory_mb`` and ``max_fds``, sends a crowd of
connections at it and checks that the process lives, that its memory and its sockets
have stayed within these settings, and that ordinary requests are answered afterwards.
Times and shares of served requests are not checked.
"""

import asyncio
import itertools
import json
import os
import subprocess
import sys

import pytest

from review.common.world import SETTINGS, Daemon, World, route
from tests.crowds import KIB, MIB, Crowd, ask, ask_until, head, open_sockets, peak_mb

pytestmark = pytest.mark.processes

PATH = "/pule252/"
# Settings of the daemon under test. At rest it takes about 30 MB and 20 sockets.
MEMORY_MB = 72
MAX_FDS = 320
# Descriptors of ``max_fds`` that are reserved for files (DEPLOY.md).
FILE_FDS = 200
# Size of a body in the configuration of the stand-ins, and the largest spec.
MAX_BODY = 262144
MAX_SPEC = 4000
NOT_RUN = (400, 413, 429, 503)


class SmallDaemon(Daemon):
    """A daemon of this checkout with lowered limits."""

    def __init__(self, world, max_fds):
        super().__init__(world, 2)
        text = self.path.read_text()
        for old, new in (
            ("memory_mb = 300", f"memory_mb = {MEMORY_MB}"),
            ("max_fds = 4100", f"max_fds = {max_fds}"),
        ):
            assert old in SETTINGS
            text = text.replace(old, new)
        self.path.write_text(text)

    def begin(self):
        with open(self.world.folder / "daemon.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "siskinroad_platform"],
                env=os.environ | {"SISKINROAD_BOOT": str(self.path)},
                stdout=log,
                stderr=log,
            )


class Case:
    """One daemon with its stand-ins, and a crowd."""

    def __init__(self, world, daemon):
        self.world, self.daemon = world, daemon
        self.crowd = Crowd(daemon.process.pid)
        self.numbers = itertools.count(1)

    def path(self):
        """Return the path of a new job."""
        return f"{PATH}{next(self.numbers):016x}"

    def post(self, body):
        """Return a whole request that submits a job."""
        return head("POST", self.path(), f"content-length: {len(body)}") + body

    def hold(self, connections, announced, sent, address=""):
        """Add connections that announce a body, send some of it and hold on."""
        piece = b"x" * (64 * KIB)
        for _ in range(connections):
            first = head("POST", self.path(), f"content-length: {announced}")
            pieces = (piece[: sent - i] for i in range(0, sent, len(piece)))
            self.crowd.add(
                address or self.daemon.front, itertools.chain([first], pieces)
            )


def small_job():
    return json.dumps({"spec": "s", "phases": [{"count": 1, "cpu": 1}]}).encode()


def large_job():
    """Return a job within all limits of the pages, of about 100 kB."""
    phases = [
        {"count": 25, "cpu": 1, "estimated_ms": 100, "depends_on": list(range(i))}
        for i in range(200)
    ]
    return json.dumps({"spec": "s" * MAX_SPEC, "phases": phases}).encode()


def run_crowd(folder, act, max_fds=MAX_FDS):
    """Run a crowd against a daemon, and check the daemon.

    Parameters
    ----------
    act : callable
        Gets the case and adds the connections of its crowd. It may return a coroutine
        function, which is called while the crowd holds on and has to return true.
    """

    async def main():
        world = World(folder)
        try:
            world.store_address = await world.store.http.listen(world.ip(1))
            world.configure(1, [route("pule", PATH, "pool")], ["pool"])
            daemon = SmallDaemon(world, max_fds)
            world.daemons = [daemon]
            daemon.begin()
            await daemon.wait_ready()
            case = Case(world, daemon)
            assert await ask_until(daemon.front, case.post(small_job())) == 200
            await check_crowd(case, act, max_fds)
        finally:
            await world.end()

    asyncio.run(main())


async def check_crowd(case, act, max_fds):
    crowd, daemon = case.crowd, case.daemon
    during = act(case)
    try:
        await crowd.wait_quiet()
        met = await during() if during is not None else True
    finally:
        await crowd.end()
    # What the crowd has left with the daemon is handled before these.
    after = [
        await ask_until(daemon.front, case.post(body))
        for body in (small_job(), large_job())
    ]
    pid = daemon.process.pid
    alive = daemon.process.poll() is None
    peak = peak_mb(pid) if alive else 0.0
    sockets = max(crowd.most_sockets, open_sockets(pid)) if alive else 0
    print(f"MEASURED alive {alive}, {peak:.0f} MB of {MEMORY_MB}, ", end="")
    print(f"{sockets} sockets of {max_fds - FILE_FDS}, meanwhile {met}, after {after}")
    assert alive
    assert peak <= MEMORY_MB
    assert sockets <= max_fds - FILE_FDS
    assert met
    assert after == [200, 200]


def test_a_calm_daemon_serves_ordinary_requests_within_its_limits(tmp_path):
    # Guards the bounds themselves: without a crowd they hold.
    run_crowd(tmp_path, lambda case: None)


def test_bodies_of_a_mebibyte_that_never_end_stay_within_the_memory(tmp_path):
    # 100 bodies are announced and sent but for the last byte.
    run_crowd(tmp_path, lambda case: case.hold(100, MIB, MIB - 1))


def test_bodies_announced_far_over_the_limit_stay_within_the_memory(tmp_path):
    # 100 bodies of 64 MiB are announced, of which each sends a little under 1 MiB.
    run_crowd(tmp_path, lambda case: case.hold(100, 64 * MIB, 1023 * KIB))


def test_chunked_bodies_without_an_end_stay_within_the_memory(tmp_path):
    def act(case):
        piece = b"10000\r\n" + b"x" * (64 * KIB) + b"\r\n"
        for _ in range(100):
            first = head("POST", case.path(), "transfer-encoding: chunked")
            case.crowd.add(case.daemon.front, [first, *[piece] * 256])

    run_crowd(tmp_path, act)


def test_chunked_bodies_that_stop_short_of_a_mebibyte_stay_within_the_memory(tmp_path):
    def act(case):
        piece = b"10000\r\n" + b"x" * (64 * KIB) + b"\r\n"
        for _ in range(100):
            first = head("POST", case.path(), "transfer-encoding: chunked")
            case.crowd.add(case.daemon.front, [first, *[piece] * 15])

    run_crowd(tmp_path, act)


def test_bodies_of_a_gibibyte_that_are_poured_stay_within_the_memory(tmp_path):
    def act(case):
        for _ in range(100):
            first = head("POST", case.path(), f"content-length: {1 << 30}")
            pieces = itertools.repeat(b"x" * (64 * KIB), 256)
            case.crowd.add(case.daemon.front, itertools.chain([first], pieces))

    run_crowd(tmp_path, act)


def test_bodies_at_the_readiness_listener_stay_within_the_memory(tmp_path):
    run_crowd(
        tmp_path, lambda case: case.hold(8, 16 * MIB, 15 * MIB, case.daemon.ready)
    )


def test_bodies_at_the_metrics_listener_stay_within_the_memory(tmp_path):
    run_crowd(
        tmp_path,
        lambda case: case.hold(6, 16 * MIB, 15 * MIB, f"{case.daemon.ip}:9464"),
    )


def add_jobs(case, body, connections, each=1):
    """Add connections that each submit jobs and read the first answer."""
    for _ in range(connections):
        jobs = [case.post(body) for _ in range(each)]
        case.crowd.add(case.daemon.front, jobs, reads=True)


def test_jobs_of_16000_steps_stay_within_the_memory(tmp_path):
    step = {"count": 1, "cpu": 1, "mem_mb": 1, "estimated_ms": 1}
    body = json.dumps({"spec": "s", "phases": [step] * 16000}).encode()
    run_crowd(tmp_path, lambda case: add_jobs(case, body, 100))


def test_jobs_of_80000_small_steps_stay_within_the_memory(tmp_path):
    steps = b",".join([b'{"count":1}'] * 80000)
    body = b'{"spec":"s","phases":[' + steps + b"]}"
    run_crowd(tmp_path, lambda case: add_jobs(case, body, 100))


def test_jobs_of_21000_small_steps_stay_within_the_memory(tmp_path):
    # Their bodies are within the limit.
    steps = b",".join([b'{"count":1}'] * 21_000)
    body = b'{"spec":"s","phases":[' + steps + b"]}"
    assert len(body) < MAX_BODY
    run_crowd(tmp_path, lambda case: add_jobs(case, body, 100))


def test_jobs_with_a_long_spec_are_refused_and_stay_within_the_memory(tmp_path):
    # 190 kB are within the limit on bodies, and far over that on a spec.
    phases = [{"count": 1, "cpu": 1}]
    body = json.dumps({"spec": "s" * 190_000, "phases": phases}).encode()

    def act(case):
        add_jobs(case, body, 100, each=4)

        async def during():
            statuses = {int(x.split()[1]) for x in case.crowd.answers if x}
            return statuses <= set(NOT_RUN)

        return during

    run_crowd(tmp_path, act)


@pytest.mark.parametrize("name", ["required_label", "data_rack", "image"])
def test_jobs_whose_names_take_180_kilobytes_stay_within_the_memory(tmp_path, name):
    # The names are within the limit on bodies, and differ from job to job.
    numbers = itertools.count()

    def job():
        text = f"{next(numbers):08d}" * 22_500
        phases = [{"count": 1, "cpu": 1, name: text}]
        return json.dumps({"spec": "s", "phases": phases}).encode()

    def act(case):
        for _ in range(100):
            pieces = (case.post(job()) for _ in range(4))
            case.crowd.add(case.daemon.front, pieces, reads=True)

        async def during():
            statuses = {int(x.split()[1]) for x in case.crowd.answers if x}
            return statuses <= set(NOT_RUN)

        return during

    run_crowd(tmp_path, act)


def test_jobs_with_80000_dependencies_stay_within_the_memory(tmp_path):
    phases = [{"count": 1, "cpu": 1}]
    phases += [{"count": 1, "cpu": 1, "depends_on": [0] * 800} for _ in range(100)]
    body = json.dumps({"spec": "s", "phases": phases}).encode()
    assert len(body) < MAX_BODY
    run_crowd(tmp_path, lambda case: add_jobs(case, body, 100))


def ask_during(case):
    """Return a check that an ordinary request is answered while the crowd holds."""

    async def during():
        return await ask_until(case.daemon.front, case.post(small_job())) == 200

    return during


def test_silent_connections_lock_no_caller_out(tmp_path):
    def act(case):
        for _ in range(560):
            case.crowd.add(case.daemon.front, [])
        return ask_during(case)

    run_crowd(tmp_path, act)


def test_unfinished_headers_stay_within_the_descriptors(tmp_path):
    def act(case):
        for _ in range(200):
            first = head("POST", case.path())[:-2]
            case.crowd.add(case.daemon.front, [first + b"x: " + b"y" * (15 * KIB)])
        return ask_during(case)

    run_crowd(tmp_path, act)


def test_requests_whose_answers_are_not_read_stay_within_the_memory(tmp_path):
    def act(case):
        for _ in range(300):
            request = head("GET", case.path())
            case.crowd.add(case.daemon.front, [request * 100] * 200)

    run_crowd(tmp_path, act, max_fds=700)


def test_bodies_at_the_limit_that_never_end_lock_no_caller_out(tmp_path):
    def act(case):
        case.hold(300, MAX_BODY, MAX_BODY - 1)
        return ask_during(case)

    run_crowd(tmp_path, act, max_fds=700)


def test_an_announced_body_over_the_limit_is_refused_before_it_is_sent(tmp_path):
    # A client that waits for ``100 Continue`` must be told to keep its body.
    def act(case):
        async def during():
            answers = []
            for fields in ((), ("expect: 100-continue",)):
                size = f"content-length: {MAX_BODY + 1}"
                request = head("POST", case.path(), size, *fields)
                answers.append(await ask(case.daemon.front, request))
            return answers == [413, 413]

        return during

    run_crowd(tmp_path, act)
