"""Tests of the translation of the hosts' replies."""

import asyncio

import msgspec
import pytest
from siskinroad_platform.hosts import PlatformHosts

from siskinroad.errors import OutcomeUnknownError
from siskinroad.http_client import ClientResponse
from siskinroad.work.hosts import HostCommand, Rejection, StartCommand
from siskinroad.work.model import TaskId

TASK = TaskId("5c0e7a21d94b36f8", 0, 1, 17)
START = StartCommand("i-1", "10.0.0.1:80", 7, TASK, 1, "text", 486000, "", "")
STOP = HostCommand("i-1", "10.0.0.1:80", 7, TASK, 1)


class FixedReply:
    """HTTP client that returns one response to every request."""

    def __init__(self, status, **fields):
        self.response = ClientResponse(status, {}, msgspec.json.encode(fields))

    async def request(self, *args, **kwargs):
        return self.response


@pytest.mark.parametrize("status", [204, 302, 404, 408, 500, 502, 504])
def test_a_status_that_no_host_sends_does_not_show_that_nothing_was_done(status):
    hosts = PlatformHosts(FixedReply(status))
    for call in (
        hosts.start(START),
        hosts.stop(STOP),
        hosts.throttle(STOP, 50),
        hosts.renew_lease("i-1", "10.0.0.1:80", 7, 0, None, 0.0),
    ):
        with pytest.raises(OutcomeUnknownError):
            asyncio.run(call)


@pytest.mark.parametrize(
    ("status", "rejection"),
    [
        (400, Rejection.INVALID),
        (421, Rejection.OTHER_INCARNATION),
        (429, Rejection.UNAVAILABLE),
        (503, Rejection.UNAVAILABLE),
    ],
)
def test_a_status_by_which_a_host_has_done_nothing_is_a_rejection(status, rejection):
    hosts = PlatformHosts(FixedReply(status))
    assert asyncio.run(hosts.start(START)).rejection is rejection


@pytest.mark.parametrize(
    ("reason", "rejection"),
    [("fence", Rejection.FENCED), ("old", Rejection.STALE_RUN)],
)
def test_the_reason_of_a_conflict_is_kept(reason, rejection):
    hosts = PlatformHosts(FixedReply(409, clock_ms=5, reason=reason))
    reply = asyncio.run(hosts.start(START))
    assert (reply.rejection, reply.clock) == (rejection, 5)
