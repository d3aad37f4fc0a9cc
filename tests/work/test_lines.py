"""Tests of advisor calls over the channels of several daemons, on a paused clock."""

import asyncio
import random

from bench.clock import run_on_paused_clock
from siskinroad.peers import MemoryNetwork
from siskinroad.work.advice import Advised, Advisor
from siskinroad.work.calls import Calls
from siskinroad.work.lines import AdviceLines, LineTimes
from siskinroad.work.messages import AdviceReply, AdviceRequest
from tests.work.cell import CODEC

NAMES = ("a", "b", "c", "d")


class SequentialAdvisor(Advisor):
    """Advisor that serves one call at a time for each calling daemon."""

    def __init__(self):
        self.lock = asyncio.Lock()
        self.calls = 0

    async def advise(self, job, occurrence, step, hosts, timeout):
        self.calls += 1
        async with self.lock:
            await asyncio.sleep(0.6 if job.startswith("long") else 0.02)
        return Advised(dict.fromkeys(hosts, "t"), 2.0)


def make_clients():
    network = MemoryNetwork(random.Random(1))
    clients, tasks = {}, []
    for name in NAMES:
        peers = network.join(name, CODEC)
        calls = Calls(peers, 0)
        others = [n for n in NAMES if n != name]
        client = AdviceLines(
            name, SequentialAdvisor(), calls, lambda others=others: others
        )

        def receive(peer, msg, client=client, calls=calls, peers=peers):
            match msg:
                case AdviceReply():
                    calls.answered(msg.id, msg)
                case AdviceRequest():
                    reply = answer(client, peers, peer, msg)
                    tasks.append(asyncio.ensure_future(reply))

        peers.receiver = receive
        clients[name] = client
    return clients


async def answer(client, peers, peer, msg):
    peers.send(peer, await client.answer(msg))


async def time_request(client, job, duration):
    started_at = asyncio.get_running_loop().time()
    await client.ask((job, 0, 0), ("i-0",), duration)
    return asyncio.get_running_loop().time() - started_at


def test_short_calls_never_wait_behind_long_ones():
    # Calls for gangs take 0.6 s, those for urgent steps 20 ms; on a shared channel an
    # urgent step would wait for a gang's call.
    async def scenario():
        clients = make_clients()
        long = [time_request(clients["a"], f"long{i}", 0.6) for i in range(4)]
        short = [time_request(clients["a"], f"short{i}", 0.02) for i in range(8)]
        times = await asyncio.gather(*long, *short)
        assert max(times[4:]) < 0.15

    run_on_paused_clock(scenario())


def test_two_owners_choose_different_idle_channels():
    # The owners do not know of each other's calls; with the same order of channels
    # both would choose the first.
    async def scenario():
        clients = make_clients()
        requests = [
            time_request(clients[n], f"long{n}{i}", 0.6) for i in range(1) for n in "ab"
        ]
        await asyncio.gather(*requests)
        called_daemons = [n for n in NAMES if clients[n]._advisor.calls]
        assert len(called_daemons) == 2

    run_on_paused_clock(scenario())


def test_reported_backlog_diverts_calls_to_another_channel():
    # Without the backlog from heartbeats, the call would wait 5 s on channel b.
    async def scenario():
        clients = make_clients()
        clients["a"].heard("b", 5.0, asyncio.get_running_loop().time())
        await time_request(clients["a"], "long", 0.6)
        assert clients["c"]._advisor.calls == 1

    run_on_paused_clock(scenario())


def test_a_plan_assigns_no_more_calls_than_the_channels_can_start_soon():
    # After a takeover, advice is requested anew for twenty gangs; calls for all of them
    # would make a later, more urgent step wait.
    times = LineTimes([0.0], [0.0, -1.0, 0.1])
    assert [times.take(0.6) for _ in range(20)].count(True) == 3
    # Short calls for later steps find their channel free.
    assert [times.take(0.02) for _ in range(30)].count(True) == 13


def test_most_channels_make_long_calls_and_a_single_one_makes_all():
    alive = [f"d{i}" for i in range(7)]
    short, long = AdviceLines(
        "d7", SequentialAdvisor(), None, lambda: alive
    )._split_channels()
    assert (len(short), len(long)) == (3, 5) and not set(short) & set(long)
    assert AdviceLines(
        "a", SequentialAdvisor(), None, lambda: []
    )._split_channels() == (
        ["a"],
        ["a"],
    )
