"""Distribution of advisor calls over the channels of all live daemons.

The advisor serves one call at a time for each calling daemon: each daemon is one
channel. Two workloads shape the distribution:

- Short calls for urgent steps beside long calls for gangs. A third of the daemons, by
  name, make the short calls only, so that with two daemons or more no short call waits
  behind a long one.
- A takeover, after which advice is requested anew for every waiting step. An owner
  requests no more than the channels can start soon, in order of urgency, so that a
  step that arrives later does not wait behind all others.
- Daemons on saturated links, which read a request seconds later. A call that is late is
  made on a second channel too, and the first answer counts.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable, Iterator

from siskinroad.errors import OutcomeUnknownError, SiskinroadError
from siskinroad.work.advice import AdviceResult, Advisor
from siskinroad.work.advisor_channel import MAX_CHANNEL_BACKLOG, AdvisorChannel
from siskinroad.work.messages import AdviceReply, AdviceRequest
from siskinroad.work.peer_calls import PeerCalls

__all__ = ["AdvisorChannels", "ChannelTimes"]

# Expected duration in seconds from which an advisor call counts as long and
# goes to a channel for long calls.
LONG_CALL_THRESHOLD = 0.08
# Timeout of a call, counted from when its channel is free: this multiple of its
# expected duration plus the margin in seconds. Both are generous, since a call that
# timed out still occupies its channel.
TIMEOUT_FACTOR = 3.0
TIMEOUT_MARGIN = 1.5
# Longest wait in seconds for a channel to be free that a timeout allows. The step gets
# no other call until the timeout, so a backlog that is believed wrongly must not
# prolong it without limit.
MAX_CHANNEL_WAIT = 1.0
# A call is late after this multiple of its expected duration plus the margin in
# seconds, from when its channel is free: enough for round trips between regions.
LATE_FACTOR = 1.5
LATE_MARGIN_S = 0.3
# One daemon in this many makes the short calls only. These take little time, so a small
# share of the channels is enough for them.
DAEMONS_PER_SHORT_CHANNEL = 3

log = logging.getLogger("siskinroad.advisor_channels")


class ChannelTimes:
    """Time until each channel is free, updated as one planning pass assigns calls.

    Parameters
    ----------
    short, long : list of float
        Seconds until each channel for short and for long calls is free; not positive
        if it already is.
    """

    __slots__ = ("_long", "_short")

    def __init__(self, short: list[float], long: list[float]) -> None:
        self._short = short
        self._long = long

    def has_free(self, duration: float) -> bool:
        """Return whether ``assign`` would assign a call of ``duration`` seconds."""
        channels = self._long if duration >= LONG_CALL_THRESHOLD else self._short
        return not channels or min(channels) <= MAX_CHANNEL_BACKLOG

    def measure(self, duration: float) -> tuple[int, float]:
        """Return the number of channels for a call, and the seconds until one is free.

        Without any channel for calls of this length, there is no limit.
        """
        channels = self._long if duration >= LONG_CALL_THRESHOLD else self._short
        return max(1, len(channels)), max(0.0, min(channels, default=0.0))

    def assign(self, duration: float) -> bool:
        """Assign a call of ``duration`` seconds to a channel if one is free.

        Return whether the call may be made. A channel with a backlog of at most
        ``MAX_CHANNEL_BACKLOG`` counts as free. Without any channel for calls of this
        length, there is no limit.
        """
        channels = self._long if duration >= LONG_CALL_THRESHOLD else self._short
        if not channels:
            return True
        earliest = min(range(len(channels)), key=channels.__getitem__)
        if channels[earliest] > MAX_CHANNEL_BACKLOG:
            return False
        channels[earliest] = max(0.0, channels[earliest]) + duration
        return True


class AdvisorChannels:
    """Client of the advisor that distributes calls over the daemons' channels.

    Parameters
    ----------
    node : str
        This daemon's name.
    advisor : Advisor
        Client for this daemon's own channel.
    peer_calls : PeerCalls
        Requests to the other daemons, for their channels.
    live_peers : callable
        Returns the names of the other live daemons.
    """

    def __init__(
        self,
        node: str,
        advisor: Advisor,
        peer_calls: PeerCalls,
        live_peers: Callable[[], list[str]],
    ) -> None:
        self._node = node
        self._advisor = advisor
        self._peer_calls = peer_calls
        self._live_peers = live_peers
        self._channels: dict[str, AdvisorChannel] = {}
        # Seeded by name: with a different order per daemon, owners that find several
        # channels free do not all choose the same one.
        self._rng = random.Random(node)
        self._unneeded: set[asyncio.Task[tuple[str, AdviceResult]]] = set()

    def _get_channel(self, name: str) -> AdvisorChannel:
        channel = self._channels.get(name)
        if channel is None:
            channel = self._channels[name] = AdvisorChannel(name)
        return channel

    def backlog(self, now: float) -> float:
        """Return the backlog of this daemon's own channel in seconds."""
        return max(0.0, self._get_channel(self._node).backlog(now))

    def record_backlog(self, channel: str, backlog: float, now: float) -> None:
        """Record a peer's backlog in seconds, which covers the calls of all owners."""
        self._get_channel(channel).record_report(backlog, now)

    async def request_advice(
        self, step: tuple[str, int, int], hosts: tuple[str, ...], duration: float
    ) -> AdviceResult:
        """Request advice through the channel that is expected to be free first.

        Parameters
        ----------
        step : tuple
            Job, occurrence and number of the step.
        hosts : tuple of str
            Hosts that the step may be placed on.
        duration : float
            Expected duration of the call in seconds.

        Raises
        ------
        SiskinroadError
            If there is no reply in time; the request can safely be repeated.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        channel = self._choose_channel(duration, now)
        calls = {self._begin_call(channel, step, hosts, duration)}
        late_after_s = _wait_s(channel, now) + duration * LATE_FACTOR + LATE_MARGIN_S
        done, _ = await asyncio.wait(calls, timeout=late_after_s)
        if not done:
            channel.note_late(loop.time() - now - duration, loop.time())
            second = self._choose_second(duration, loop.time(), channel)
            if second is not None:
                _log_late(step, channel, second, loop.time() - now)
                calls.add(self._begin_call(second, step, hosts, duration))
        line, result = await self._wait_for_first(calls)
        log.info(
            "advisor_channels: advice received",
            extra={
                "request": step[0],
                "line": line,
                "asked": len(hosts),
                "allowed": len(result.tickets),
                "took_s": round(loop.time() - now, 3),
                "expected_s": round(duration, 3),
            },
        )
        return result

    def _begin_call(
        self,
        channel: AdvisorChannel,
        step: tuple[str, int, int],
        hosts: tuple[str, ...],
        duration: float,
    ) -> asyncio.Task[tuple[str, AdviceResult]]:
        """Begin a call on a channel; it returns the channel's name and the answer.

        It counts on the channel at once, so that the next request chooses another one.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        wait = _wait_s(channel, began_at)
        timeout = wait + duration * TIMEOUT_FACTOR + TIMEOUT_MARGIN
        number = channel.begin_call(duration, began_at)

        async def run() -> tuple[str, AdviceResult]:
            with _record_outcome(channel, step[0], began_at):
                result = await self._request_through(
                    channel.name, step, hosts, duration, timeout
                )
            took_s = loop.time() - began_at
            channel.record_delay(took_s - wait - duration, loop.time())
            return channel.name, result

        call = asyncio.create_task(run())
        call.add_done_callback(lambda _: channel.end_call(number, loop.time()))
        return call

    async def _wait_for_first(
        self, calls: set[asyncio.Task[tuple[str, AdviceResult]]]
    ) -> tuple[str, AdviceResult]:
        """Return the first answer; the other call ends by itself.

        Raises
        ------
        SiskinroadError
            If all calls have failed.
        """
        pending = set(calls)
        try:
            while True:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                failed = [call for call in done if call.exception() is not None]
                answered = done.difference(failed)
                if answered:
                    return answered.pop().result()
                if not pending:
                    return failed[0].result()
        except asyncio.CancelledError:
            for call in calls:
                call.cancel()
            raise
        finally:
            for call in pending:
                self._unneeded.add(call)
                call.add_done_callback(self._drop)

    def _drop(self, call: asyncio.Task[tuple[str, AdviceResult]]) -> None:
        """Drop a call that another one has answered; its failure is logged already."""
        self._unneeded.discard(call)
        if not call.cancelled():
            call.exception()

    def channel_times(self, now: float) -> ChannelTimes:
        """Return the time until each channel is free, for one planning pass."""
        short, long = self._split_channels()
        return ChannelTimes(self._list_loads(short, now), self._list_loads(long, now))

    def _list_loads(self, names: list[str], now: float) -> list[float]:
        """Return the seconds until each channel is free.

        One that is later than the others counts as busy for the difference. If all are
        late alike, the advisor is slow, and their calls are no worse than others.
        """
        channels = [self._get_channel(name) for name in names]
        least = min((each.delay_s(now) for each in channels), default=0.0)
        return [_find_load_s(each, now) - least for each in channels]

    def _split_channels(self) -> tuple[list[str], list[str]]:
        """Return the channels for short and for long calls."""
        names = sorted([self._node, *self._live_peers()])
        short = names[::DAEMONS_PER_SHORT_CHANNEL]
        return short, [name for name in names if name not in short] or names

    def _choose_channel(self, duration: float, now: float) -> AdvisorChannel:
        short, long = self._split_channels()
        names = long if duration >= LONG_CALL_THRESHOLD else short
        self._rng.shuffle(names)
        channels = [self._get_channel(name) for name in names]
        return min(channels, key=lambda each: max(0.0, _find_load_s(each, now)))

    def _choose_second(
        self, duration: float, now: float, first: AdvisorChannel
    ) -> AdvisorChannel | None:
        """Return a free channel for a call that is late on another; None if none is."""
        short, long = self._split_channels()
        names = long if duration >= LONG_CALL_THRESHOLD else short
        channels = [self._get_channel(name) for name in names if name != first.name]
        free = [each for each in channels if _find_load_s(each, now) <= 0.0]
        return self._rng.choice(free) if free else None

    async def _request_through(
        self,
        name: str,
        step: tuple[str, int, int],
        hosts: tuple[str, ...],
        duration: float,
        timeout: float,
    ) -> AdviceResult:
        """Call the advisor on a daemon's channel, which may be this one."""
        if name == self._node:
            return await self._advisor.advise(*step, list(hosts), timeout)
        reply = await self._peer_calls.request(
            name,
            lambda request_id: AdviceRequest(
                request_id, *step, hosts, duration, timeout
            ),
            AdviceReply,
            timeout,
        )
        if not reply.valid:
            raise OutcomeUnknownError(
                "peer replied that its advisor call failed", step="lines", peer=name
            )
        return AdviceResult(reply.tickets, reply.valid)

    async def serve(self, msg: AdviceRequest) -> AdviceReply:
        """Call the advisor on this daemon's channel for another daemon."""
        loop = asyncio.get_running_loop()
        channel, began_at = self._get_channel(self._node), loop.time()
        number = channel.begin_call(msg.duration, began_at)
        try:
            with _record_outcome(channel, msg.job, began_at):
                result = await self._advisor.advise(
                    msg.job, msg.occurrence, msg.step, list(msg.hosts), msg.timeout
                )
        except SiskinroadError as exc:
            log.warning(
                "advisor_channels: advisor call for a peer failed; "
                "replying without tickets",
                extra={"request": msg.job, "error": str(exc)},
            )
            return AdviceReply(msg.id, {}, 0.0)
        finally:
            channel.end_call(number, loop.time())
        return AdviceReply(msg.id, result.tickets, result.valid_s)


def _find_load_s(channel: AdvisorChannel, now: float) -> float:
    """Return the seconds until a channel is free, and by which it is late besides."""
    return channel.backlog(now) + channel.delay_s(now)


def _wait_s(channel: AdvisorChannel, now: float) -> float:
    """Return the seconds to wait for a channel to be free, as a timeout allows them."""
    return min(MAX_CHANNEL_WAIT, max(0.0, channel.backlog(now)))


def _log_late(
    step: tuple[str, int, int],
    channel: AdvisorChannel,
    second: AdvisorChannel,
    waited_s: float,
) -> None:
    log.warning(
        "advisor_channels: advisor call is late; calling on another channel too",
        extra={
            "request": step[0],
            "line": channel.name,
            "second": second.name,
            "waited_s": round(waited_s, 3),
            "calls": len(channel.calls),
        },
    )


@contextlib.contextmanager
def _record_outcome(
    channel: AdvisorChannel, job: str, began_at: float
) -> Iterator[None]:
    """Record on its channel whether a call was answered."""
    try:
        yield
    except SiskinroadError as exc:
        now = asyncio.get_running_loop().time()
        channel.record_failure(job, began_at, now, str(exc))
        raise
    channel.record_answer()
