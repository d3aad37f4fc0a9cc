"""Tests of advisor calls over the channels of several daemons, on a paused clock."""

import asyncio
import random

from bench.clock import run_on_paused_clock
from siskinroad.peers import MemoryNetwork
from siskinroad.work.advice import AdviceResult, Advisor
from siskinroad.work.advisor_channels import AdvisorChannels, ChannelTimes
from siskinroad.work.messages import AdviceReply, AdviceRequest
from siskinroad.work.peer_calls import PeerCalls
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
        return AdviceResult(dict.fromkeys(hosts, "t"), 2.0)


def make_clients():
    network = MemoryNetwork(random.Random(1))
    clients, tasks = {}, []
    for name in NAMES:
        peers = network.join(name, CODEC)
        peer_calls = PeerCalls(peers, 0)
        others = [n for n in NAMES if n != name]
        client = AdvisorChannels(
            name, SequentialAdvisor(), peer_calls, lambda others=others: others
        )

        def receive(peer, msg, client=client, peer_calls=peer_calls, peers=peers):
            match msg:
                case AdviceReply():
                    peer_calls.handle_reply(msg.id, msg)
                case AdviceRequest():
                    reply = serve(client, peers, peer, msg)
                    tasks.append(asyncio.ensure_future(reply))

        peers.receiver = receive
        clients[name] = client
    return clients


async def serve(client, peers, peer, msg):
    peers.send(peer, await client.serve(msg))


async def time_request(client, job, duration):
    started_at = asyncio.get_running_loop().time()
    await client.request_advice((job, 0, 0), ("i-0",), duration)
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
        clients["a"].record_backlog("b", 5.0, asyncio.get_running_loop().time())
        await time_request(clients["a"], "long", 0.6)
        assert clients["c"]._advisor.calls == 1

    run_on_paused_clock(scenario())


def test_a_plan_assigns_no_more_calls_than_the_channels_can_start_soon():
    # After a takeover, advice is requested anew for twenty gangs; calls for all of them
    # would make a later, more urgent step wait.
    channels = ChannelTimes([0.0], [0.0, -1.0, 0.1])
    assert [channels.assign(0.6) for _ in range(20)].count(True) == 3
    # Short calls for later steps find their channel free.
    assert [channels.assign(0.02) for _ in range(30)].count(True) == 13


def test_most_channels_make_long_calls_and_a_single_one_makes_all():
    # Short calls take little of a channel's time; gangs need most of the channels.
    alive = [f"d{i}" for i in range(7)]
    short, long = AdvisorChannels(
        "d7", SequentialAdvisor(), None, lambda: alive
    )._split_channels()
    assert (len(short), len(long)) == (3, 5) and not set(short) & set(long)
    assert AdvisorChannels(
        "a", SequentialAdvisor(), None, lambda: []
    )._split_channels() == (
        ["a"],
        ["a"],
    )
