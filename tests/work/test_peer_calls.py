"""Requests to other daemons from one whose event loop is late."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.errors import OutcomeUnknownError
from siskinroad.work.messages import JobReply, JobRequest
from siskinroad.work.peer_calls import PeerCalls

# Turns of the loop from the arrival of a message to its handler.
TURNS_TO_HANDLER = 4


class Link:
    """Connection whose messages are handled some turns of the loop after they arrive.

    The loop stands still from ``blocked_at`` until ``late_until``, in seconds from the
    request.
    """

    def __init__(self, reply_after, blocked_at=0.0, late_until=0.0):
        self.reply_after = reply_after
        self.blocked_at, self.late_until = blocked_at, late_until

    def send(self, peer, msg):
        loop = asyncio.get_running_loop()
        began = loop.time()
        reply = JobReply(msg.id, "", "active", 0)
        loop.call_later(self.reply_after, self.receive, reply, TURNS_TO_HANDLER)
        if self.late_until:
            resumed_at = began + self.late_until
            loop.call_later(
                self.blocked_at,
                lambda: setattr(loop._clock_selector, "now", resumed_at),
            )

    def receive(self, reply, turns):
        if turns:
            asyncio.get_running_loop().call_soon(self.receive, reply, turns - 1)
        else:
            self.calls.handle_reply(reply.id, reply)


def request(link, should_keep_waiting=lambda: True):
    async def scenario():
        link.calls = PeerCalls(link, 1)
        return await link.calls.request(
            "b",
            lambda n: JobRequest(n, "desk", "show", "j"),
            JobReply,
            0.7,
            should_keep_waiting,
        )

    return run_on_paused_clock(scenario())


def test_a_reply_that_arrived_while_the_loop_was_late_is_kept():
    assert request(Link(0.3, 0.25, 2.0)).state == "active"


def test_a_reply_from_a_peer_that_seems_dead_to_a_late_loop_is_kept():
    # The peer's heartbeats arrived as well, and are read after the check.
    link = Link(0.3, 0.25, 0.65)
    is_alive = iter([True, True, False, False])
    assert request(link, lambda: next(is_alive)).state == "active"


def test_a_reply_after_the_timeout_is_not_waited_for():
    with pytest.raises(OutcomeUnknownError):
        request(Link(0.8))
