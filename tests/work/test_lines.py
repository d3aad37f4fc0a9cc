"""Advice over the lines of several daemons, on a paused clock."""

import asyncio
import random

from bench.clock import run
from siskinroad.peers import MemoryNetwork
from siskinroad.work.advice import Advised, Advisor
from siskinroad.work.calls import Calls
from siskinroad.work.lines import AdviceLines, LineTimes
from siskinroad.work.messages import AdviceReply, AdviceRequest
from tests.work.cell import CODEC

NAMES = ("a", "b", "c", "d")


class OneAtATime(Advisor):
    """Answers one call after another for each calling daemon."""

    def __init__(self):
        self.lock = asyncio.Lock()
        self.calls = 0

    async def advise(self, job, occurrence, step, hosts, timeout):
        self.calls += 1
        async with self.lock:
            await asyncio.sleep(0.6 if job.startswith("long") else 0.02)
        return Advised(dict.fromkeys(hosts, "t"), 2.0)


def make():
    network = MemoryNetwork(random.Random(1))
    lines, tasks = {}, []
    for name in NAMES:
        peers = network.join(name, CODEC)
        calls = Calls(peers, 0)
        others = [n for n in NAMES if n != name]
        made = AdviceLines(name, OneAtATime(), calls, lambda others=others: others)

        def receive(peer, msg, made=made, calls=calls, peers=peers):
            match msg:
                case AdviceReply():
                    calls.answered(msg.id, msg)
                case AdviceRequest():
                    coro = answer(made, peers, peer, msg)
                    tasks.append(asyncio.ensure_future(coro))

        peers.receiver = receive
        lines[name] = made
    return lines


async def answer(lines, peers, peer, msg):
    peers.send(peer, await lines.answer(msg))


async def timed(lines, job, duration):
    began = asyncio.get_running_loop().time()
    await lines.ask((job, 0, 0), ("i-0",), duration)
    return asyncio.get_running_loop().time() - began


def test_short_questions_never_wait_behind_long_ones():
    # Load: gangs' questions of 0.6 s beside urgent ones of 20 ms.
    async def play():
        lines = make()
        long = [timed(lines["a"], f"long{i}", 0.6) for i in range(4)]
        short = [timed(lines["a"], f"short{i}", 0.02) for i in range(8)]
        times = await asyncio.gather(*long, *short)
        assert max(times[4:]) < 0.15

    run(play())


def test_two_owners_spread_over_the_lines_that_are_idle():
    # Load: two owners that do not know of each other's questions.
    async def play():
        lines = make()
        asks = [timed(lines[n], f"long{n}{i}", 0.6) for i in range(1) for n in "ab"]
        await asyncio.gather(*asks)
        used = [n for n in NAMES if lines[n]._advisor.calls]
        assert len(used) == 2

    run(play())


def test_a_backlog_that_is_heard_of_sends_questions_elsewhere():
    async def play():
        lines = make()
        lines["a"].heard("b", 5.0, asyncio.get_running_loop().time())
        await timed(lines["a"], "long", 0.6)
        assert lines["c"]._advisor.calls == 1

    run(play())


def test_a_plan_deals_no_more_questions_than_the_lines_soon_take():
    # Load: a take-over, after which twenty gangs are asked about anew.
    times = LineTimes([0.0], [0.0, -1.0, 0.1])
    assert [times.take(0.6) for _ in range(20)].count(True) == 3
    # Short questions of later steps find their line free.
    assert [times.take(0.02) for _ in range(30)].count(True) == 13


def test_most_lines_take_long_questions_and_one_alone_takes_all():
    alive = [f"d{i}" for i in range(7)]
    short, long = AdviceLines("d7", OneAtATime(), None, lambda: alive)._split()
    assert (len(short), len(long)) == (3, 5) and not set(short) & set(long)
    assert AdviceLines("a", OneAtATime(), None, lambda: [])._split() == (["a"], ["a"])
