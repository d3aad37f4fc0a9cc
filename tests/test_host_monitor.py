"""What the owner concludes from a host's silence, inventories and late replies."""

import asyncio

from bench.clock import run_on_paused_clock
from siskinroad.errors import OutcomeUnknownError
from siskinroad.upstreams_http import CONTROL_TIMEOUT_S
from siskinroad.upstreams_memory import MemoryUpstreamClient
from tests.owned_shard import JOB, OwnedShard, block_loop, make_job, make_start


class BlockingClient(MemoryUpstreamClient):
    """Client whose loop blocks for ``block_s`` while e0 replies to an inventory."""

    block_s = 0.0

    async def inventory(self, host, epoch, acked, wait, renew):
        if self.block_s and host.name == "e0":
            asyncio.get_running_loop().call_soon(block_loop, self.block_s)
            self.block_s = 0.0
        return await super().inventory(host, epoch, acked, wait, renew)


class CountingClient(MemoryUpstreamClient):
    """Client that counts the inventories that it requests."""

    calls = 0

    async def inventory(self, host, epoch, acked, wait, renew):
        self.calls += 1
        return await super().inventory(host, epoch, acked, wait, renew)


class LogDownShard(OwnedShard):
    """Owned shard that stores no outcome, so that hosts keep to list ended tasks."""

    def record_outcome(self, job, index, outcome):
        return asyncio.get_running_loop().create_future()


class LateStartClient(MemoryUpstreamClient):
    """Client whose first start with ``late_s`` set arrives that much later."""

    late_s = 0.0

    async def start(self, host, epoch, start):
        if not self.late_s:
            await super().start(host, epoch, start)
            return
        late_s, self.late_s = self.late_s, 0.0
        loop = asyncio.get_running_loop()
        memory_host = self.memory_hosts[host.name]
        arrival = loop.time() + late_s
        loop.call_at(arrival, lambda: memory_host.start_task(start, arrival))
        await asyncio.sleep(CONTROL_TIMEOUT_S)
        raise OutcomeUnknownError("no reply", step="worker", peer=host.name)


def test_an_attempt_of_the_same_name_on_another_host_is_not_taken_for_this_one():
    """Two owners in turn number their first attempts alike."""

    async def main():
        shard = OwnedShard()
        silent, other = shard.hosts["e0"], shard.hosts["e1"]
        now = asyncio.get_running_loop().time()
        silent.start_task(make_start(f"{JOB}/0#1~0"), now)
        silent.faults.silent = True
        shard.owner.tasks.restore([make_job()])
        await shard.owner.take_over()
        await asyncio.sleep(25.0)
        assert [attempt for _, attempt in shard.starts("e1")] == [f"{JOB}/0#1~0"]
        silent.faults.silent = False
        await asyncio.sleep(5.0)
        assert silent.events[-1].kind == "end:stopped"
        assert len(shard.starts()) == 2
        assert shard.owner.scheduler.shard.running[f"{JOB}/0"].hosts == {0: "e1"}
        assert other.tasks[f"{JOB}/0#1~0"].state == "running"

    run_on_paused_clock(main())


def test_a_start_in_flight_when_its_host_falls_silent_delays_the_lapse():
    """The lease of a task runs from its start, which may reach the host late."""

    async def main():
        shard = OwnedShard()
        silent, other = shard.hosts["e0"], shard.hosts["e1"]
        other.faults.down = True
        await shard.owner.take_over()
        silent.faults.loses_replies = True
        await asyncio.sleep(10.9)
        shard.client.delay = 1.9
        shard.owner.tasks.accept(make_job())
        await asyncio.sleep(5.0)
        shard.client.delay = 0.0005
        silent.faults.down = True
        other.faults.down = False
        await asyncio.sleep(25.0)
        task = silent.tasks[f"{JOB}/0#1~0"]
        assert len(shard.starts("e1")) == 1
        assert shard.starts("e1")[0][0] >= task.lease_expires_at

    run_on_paused_clock(main())


def test_replies_that_wait_while_the_loop_is_blocked_are_no_silence():
    """The time-out of a call passes before the loop handles the reply to it."""

    async def main():
        shard = OwnedShard(BlockingClient, run_time_s=12.0)
        host = shard.hosts["e0"]
        shard.hosts["e1"].faults.down = True
        await shard.owner.take_over()
        shard.owner.tasks.accept(make_job())
        await asyncio.sleep(1.0)
        host.faults.silent = True
        await asyncio.sleep(15.3)
        shard.hosts["e1"].faults.down = False
        host.faults.silent = False
        shard.client.block_s = 30.0
        await asyncio.sleep(50.0)
        assert [state for _, _, state in shard.outcomes] == ["done"]
        assert len(shard.starts()) == 1

    run_on_paused_clock(main())


def test_a_start_without_a_reply_that_reaches_its_host_late_runs_nowhere_else():
    """An inventory between the time-out and the arrival does not list the task."""

    async def main():
        shard = OwnedShard(LateStartClient)
        shard.hosts["e0"].duration = lambda workload, rng: 1.0
        shard.hosts["e1"].duration = lambda workload, rng: 1.0
        await shard.owner.take_over()
        shard.client.late_s = 4.0
        shard.owner.tasks.accept(make_job(80))
        await asyncio.sleep(40.0)
        tasks = [attempt.partition("#")[0] for _, attempt in shard.starts()]
        assert len(tasks) == len(set(tasks)) == 80
        assert len(shard.outcomes) == 80

    run_on_paused_clock(main())


def test_requests_of_an_earlier_owner_keep_their_capacity_while_new_ones_start():
    """An inventory may be older than the requests that this owner has sent since."""

    async def main():
        shard = LogDownShard(east=1, cpu=4)
        owner, memory_host = shard.owner, shard.hosts["e0"]
        earlier = MemoryUpstreamClient(shard.hosts)
        shard.run_time_s = 4.0
        host = owner.monitors["e0"].host
        calls = [
            asyncio.create_task(
                earlier.request(host, f"r{n}#1", 1, "/quote", b"", 20.0)
            )
            for n in range(3)
        ]
        await asyncio.sleep(0.1)
        shard.run_time_s = 0.25
        memory_host.start_task(make_start(f"{JOB}/0#1~0"), owner.now())
        owner.tasks.restore([make_job()])
        await owner.take_over()
        await asyncio.sleep(1.0)
        shard.client.delay = 0.1
        quote = owner.scheduler.shard.cell.workloads["quote"]
        for n in range(20):
            owner.requests.submit(f"q{n}", quote, "/quote", b"", owner.now() + 60.0)
        await asyncio.gather(*calls)
        await asyncio.sleep(30.0)
        assert _peak_cpu(memory_host) <= 4000
        assert len(shard.starts()) == 3 + 1 + 20

    run_on_paused_clock(main())


def _peak_cpu(memory_host):
    used = peak = 0
    for event in memory_host.events:
        sign = 1 if event.kind == "start" else -1
        used += sign * event.used.cpu_milli
        peak = max(peak, used)
    return peak


def test_an_owner_that_a_host_rejects_during_its_takeover_places_nothing():
    """The host has seen the epoch of a later owner, whose claim is not read yet."""

    async def main():
        shard = OwnedShard()
        shard.hosts["e0"].epoch = 2
        await shard.owner.take_over()
        assert shard.owner.is_stale
        shard.owner.suspend(requests=True)
        quote = shard.owner.scheduler.shard.cell.workloads["quote"]
        shard.owner.requests.submit("q", quote, "/quote", b"", shard.owner.now() + 60.0)
        shard.owner.tasks.accept(make_job())
        await asyncio.sleep(5.0)
        assert shard.starts() == []

    run_on_paused_clock(main())


def test_a_rejected_owner_does_not_ask_the_host_in_a_tight_loop():
    async def main():
        shard = OwnedShard(CountingClient)
        await shard.owner.take_over()
        shard.hosts["e0"].epoch = 2
        shard.client.calls = 0
        await asyncio.sleep(30.0)
        assert shard.client.calls <= 60

    run_on_paused_clock(main())


def test_a_takeover_during_which_the_loop_is_blocked_waits_for_silent_hosts():
    """The time for which silent hosts are waited for may pass with replies unread."""

    async def main():
        shard = OwnedShard(BlockingClient, run_time_s=10.0)
        host = shard.hosts["e0"]
        now = asyncio.get_running_loop().time()
        host.start_task(make_start(f"{JOB}/0#1~0"), now)
        host.faults.silent = True
        shard.owner.tasks.restore([make_job()])
        await shard.owner.take_over()
        await asyncio.sleep(5.3)
        host.faults.silent = False
        shard.client.block_s = 30.0
        await asyncio.sleep(50.0)
        assert shard.outcomes == [(JOB, 0, "done")]
        assert len(shard.starts()) == 1

    run_on_paused_clock(main())
