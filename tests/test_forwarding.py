"""A forwarded request runs once, whatever is lost, repeated or restarted."""

import asyncio

import pytest

from bench.clock import run
from siskinroad.errors import Outcome, Reason, Refusal
from siskinroad.forwarding import KEPT_BYTES, Forwarder, Receiver
from siskinroad.messages import Forward, ForwardAsk, Reply
from siskinroad.upstreams import Answer


class Pair:
    """A sender and a receiver; ``lose`` says which messages are lost."""

    def __init__(self, lose=lambda msg: False, seconds=0.5):
        self.lose = lose
        self.runs = 0
        self.seconds = seconds
        self.forwarder = Forwarder("a", 1, self.to_receiver)
        self.receiver = Receiver(7, self.to_sender, self.work)

    async def work(self, msg):
        self.runs += 1
        await asyncio.sleep(self.seconds)
        return Answer(200, msg.body)

    def to_receiver(self, name, msg):
        if self.lose(msg):
            return
        if isinstance(msg, ForwardAsk):
            self.receiver.hear_ask(msg)
        else:
            self.receiver.hear(msg)

    def to_sender(self, name, msg):
        if self.lose(msg):
            return
        if isinstance(msg, Reply):
            self.forwarder.hear_reply(msg)
        else:
            self.forwarder.hear_ack(msg)

    def ask(self, incarnation=7, body=b"x", left=10.0):
        key = self.forwarder.new_id()
        msg = Forward("a", key, incarnation, "s", "quote", left, "", "/", body)
        return self.forwarder.forward("b", msg)


def losing(kind, count):
    left = [count]

    def lose(msg):
        if type(msg).__name__ == kind and left[0]:
            left[0] -= 1
            return True
        return False

    return lose


@pytest.mark.parametrize("kind", ["Forward", "ForwardAck", "Reply", "ForwardAsk"])
def test_a_lost_message_loses_nothing(kind):
    async def main():
        pair = Pair(losing(kind, 2), seconds=2.0)
        answer = await pair.ask(body=b"whole")
        return answer.body, pair.runs

    assert run(main()) == (b"whole", 1)


def test_a_silent_peer_leaves_the_outcome_unknown():
    async def main():
        pair = Pair(lambda msg: True)
        with pytest.raises(Refusal) as info:
            await pair.ask()
        assert info.value.reason == Reason.PEER_LOST
        assert info.value.outcome == Outcome.UNKNOWN

    run(main())


def test_a_restarted_peer_does_not_run_what_its_predecessor_may_have():
    async def main():
        pair = Pair()
        with pytest.raises(Refusal) as info:
            await pair.ask(incarnation=6)
        assert (info.value.outcome, pair.runs) == (Outcome.UNKNOWN, 0)

    run(main())


def test_kept_answers_stay_within_their_bytes():
    async def main():
        pair = Pair(seconds=0.0)
        for _ in range(40):
            await pair.ask(body=b"x" * 65536)
        kept = pair.receiver._replies.values()
        assert sum(len(reply.body) for reply in kept) <= KEPT_BYTES
        assert pair.runs == 40

    run(main())
