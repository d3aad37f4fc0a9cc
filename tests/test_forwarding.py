"""Tests that a forwarded request runs at most once, whatever is lost or restarted."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.errors import Outcome, Reason, Refusal
from siskinroad.forwarding import MAX_CACHED_BYTES, Forwarder, Receiver
from siskinroad.messages import Forward, ForwardQuery, Reply
from siskinroad.upstreams import UpstreamResponse


class ForwardPair:
    """A forwarder and a receiver; messages that match ``is_lost`` are dropped."""

    def __init__(self, is_lost=lambda msg: False, run_seconds=0.5):
        self.is_lost = is_lost
        self.runs = 0
        self.run_seconds = run_seconds
        self.forwarder = Forwarder("a", 1, self.to_receiver)
        self.receiver = Receiver(7, self.to_sender, self.run_request)

    async def run_request(self, msg):
        self.runs += 1
        await asyncio.sleep(self.run_seconds)
        return UpstreamResponse(200, msg.body)

    def to_receiver(self, name, msg):
        if self.is_lost(msg):
            return
        if isinstance(msg, ForwardQuery):
            self.receiver.receive_query(msg)
        else:
            self.receiver.receive(msg)

    def to_sender(self, name, msg):
        if self.is_lost(msg):
            return
        if isinstance(msg, Reply):
            self.forwarder.receive_reply(msg)
        else:
            self.forwarder.receive_ack(msg)

    def forward_request(self, incarnation=7, body=b"x", timeout_s=10.0):
        request_id = self.forwarder.new_id()
        msg = Forward(
            "a", request_id, incarnation, "s", "quote", timeout_s, "", "/", body
        )
        return self.forwarder.forward("b", msg)


def lose_first(kind, count):
    remaining = [count]

    def is_lost(msg):
        if type(msg).__name__ == kind and remaining[0]:
            remaining[0] -= 1
            return True
        return False

    return is_lost


@pytest.mark.parametrize("kind", ["Forward", "ForwardAck", "Reply", "ForwardQuery"])
def test_request_runs_once_when_messages_are_lost(kind):
    # Guards against a lost answer or a second run after resends.
    async def main():
        pair = ForwardPair(lose_first(kind, 2), run_seconds=2.0)
        answer = await pair.forward_request(body=b"whole")
        return answer.body, pair.runs

    assert run_on_paused_clock(main()) == (b"whole", 1)


def test_silent_peer_leaves_the_outcome_unknown():
    # Guards against a refusal as not run: the request may have reached the peer.
    async def main():
        pair = ForwardPair(lambda msg: True)
        with pytest.raises(Refusal) as info:
            await pair.forward_request()
        assert info.value.reason == Reason.PEER_LOST
        assert info.value.outcome == Outcome.UNKNOWN

    run_on_paused_clock(main())


def test_restarted_peer_does_not_run_a_request_for_its_earlier_incarnation():
    # Guards against a second run: the earlier incarnation may have run the request.
    async def main():
        pair = ForwardPair()
        with pytest.raises(Refusal) as info:
            await pair.forward_request(incarnation=6)
        assert (info.value.outcome, pair.runs) == (Outcome.UNKNOWN, 0)

    run_on_paused_clock(main())


def test_cached_replies_stay_within_max_cached_bytes():
    # Guards against unbounded memory for replies that are cached for repeated polls.
    async def main():
        pair = ForwardPair(run_seconds=0.0)
        for _ in range(40):
            await pair.forward_request(body=b"x" * 65536)
        cached = pair.receiver._cached_replies.values()
        assert sum(len(reply.body) for reply in cached) <= MAX_CACHED_BYTES
        assert pair.runs == 40

    run_on_paused_clock(main())
