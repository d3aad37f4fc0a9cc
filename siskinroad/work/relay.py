"""Store client that falls back to calls relayed by another daemon.

The store may reject some daemons, or be unreachable from them, while it serves the
others. An append that failed here without effect is retried once through a daemon that
the store has answered recently. While direct calls fail, all calls are relayed at
once: waiting for the direct call's timeout first would leave an owner without replies
half of the time. An append whose outcome is unknown is repeated only if it carries a
fence.

A read goes the next way as soon as the ways before have failed or are late, and the
first answer counts. Tried one after the other, each for its whole time limit, the ways
would take longer than a configuration may take to be in force.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import msgspec

from siskinroad.errors import ProtocolError, SiskinroadError
from siskinroad.fair_timeout import FairTimer
from siskinroad.work.messages import RelayReply, RelayRequest
from siskinroad.work.open_calls import OpenCalls
from siskinroad.work.peer_calls import PeerCalls
from siskinroad.work.read_race import ReadRace
from siskinroad.work.relay_codec import (
    AppendCall,
    NewestCall,
    ReadCall,
    StoreAnswer,
    StoreCall,
    decode_answer,
    decode_call,
    encode_call,
    execute_encoded,
    make_call,
)
from siskinroad.work.relayed_reads import RelayedReads
from siskinroad.work.store import (
    Fence,
    FencedError,
    NewestPage,
    OffsetMismatchError,
    ReadResult,
    Record,
    Store,
    StoreUnavailableError,
    StoreUnknownError,
    TrimmedError,
)

__all__ = ["RelayStore"]

# Seconds between two probes of whether the store answers direct calls again.
PROBE_INTERVAL = 1.0
# Seconds without a direct reply that count as an outage. A read that waits up to 1 s
# is always in progress, so a shorter limit would report outages that did not happen.
SILENCE_TIMEOUT = 1.4
# Seconds that the round trip to the relaying daemon may add to a call's timeout.
RELAY_ALLOWANCE = 0.3
# Daemons through which one read goes at most.
MAX_RELAYS = 2
# Seconds for which a daemon that did not answer is relayed through last.
SILENT_PEER_PAUSE = 2.0
# Part of the largest daemon's processor below which a daemon is relayed through after
# the others.
SMALL_SHARE = 0.5

log = logging.getLogger("siskinroad.relay")

# Takes the seconds for which the store may wait for a new record.
ReadWay = Callable[[float], Coroutine[Any, Any, StoreAnswer]]
T = TypeVar("T")


class RelayStore(Store):
    """Store client that calls the store directly or through another daemon.

    Parameters
    ----------
    direct : Store
        Client for direct calls to the store.
    peer_calls : PeerCalls
        Requests to the other daemons.
    relay_peers : callable
        Returns the live daemons that the store has answered recently.
    find_processor : callable, optional
        Returns the processor of one of them in whole cores, 0 if it is unknown.

    Attributes
    ----------
    direct_answer_at : float
        Loop time in seconds of the store's last direct reply, or of bytes of one.
    relayed_answer_at : float
        Loop time in seconds of the store's last relayed reply.
    on_recovered : callable
        Called at the first direct reply after an outage.
    relayed_calls : int
        Number of calls sent through another daemon.
    ended_appends : int
        Number of open appends that were ended at the store's return.
    """

    def __init__(
        self,
        direct: Store,
        peer_calls: PeerCalls,
        relay_peers: Callable[[], list[str]],
        find_processor: Callable[[str], float] = lambda peer: 0.0,
    ) -> None:
        self.direct = direct
        direct.watch_arrivals(self.record_direct_answer)
        self._peer_calls = peer_calls
        self._relay_peers = relay_peers
        self._find_processor = find_processor
        self._direct_failed = False
        self._recovered_at = -1e9
        self._next_probe_at = -1e9
        self._probe_tasks: set[asyncio.Task[None]] = set()
        self._race = ReadRace()
        self._open_appends = OpenCalls()
        self._open_reads = OpenCalls()
        self._relayed_reads = RelayedReads()
        self._relay_index = 0
        self._silent_at: dict[str, float] = {}
        self.direct_answer_at = -1e9
        self.relayed_answer_at = -1e9
        self.on_recovered: Callable[[], None] = lambda: None
        self.relayed_calls = 0
        self.ended_appends = 0

    @property
    def last_answer_at(self) -> float:
        """Loop time in seconds of the store's last reply, direct or relayed."""
        return max(self.direct_answer_at, self.relayed_answer_at)

    async def append(
        self,
        topic: str,
        records: list[Record],
        *,
        at: int | None = None,
        fence: Fence | None = None,
        timeout: float = 1.0,
    ) -> int:
        """Append records; see the base class."""
        fence_fields = (fence.producer, fence.epoch, fence.sequence) if fence else None
        call = AppendCall(topic, records, at, fence_fields)
        async with self._open_appends.track():
            offset = await self._append(call, timeout)
        assert isinstance(offset, int)
        return offset

    async def read(
        self, topic: str, start: int, *, wait: float, timeout: float = 1.0
    ) -> ReadResult:
        """Read records; see the base class."""
        call = ReadCall(topic, start, wait)
        result = await self._run_race(call, timeout, wait)
        assert isinstance(result, ReadResult)
        return result

    async def newest(
        self, topic: str, after: str = "", *, timeout: float = 1.0
    ) -> NewestPage:
        """Return the newest record of each key; see the base class.

        A read that an outage has cut off is repeated at the store's return.
        """
        call = NewestCall(topic, after)
        recovered_at = self._recovered_at
        try:
            async with self._open_reads.track(lambda: self.is_arriving(topic)):
                page = await self._run_race(call, timeout, 0.0)
        except (StoreUnavailableError, StoreUnknownError):
            if self._recovered_at == recovered_at:
                raise
            page = await self._run_race(call, timeout, 0.0)
        assert isinstance(page, NewestPage)
        return page

    def is_arriving(self, topic: str | None = None) -> bool:
        """Return whether the answer to a direct read is arriving."""
        return self.direct.is_arriving(topic)

    async def close(self) -> None:
        """Close the connections to the store."""
        await self.direct.close()

    async def _run_race(
        self, call: ReadCall | NewestCall, timeout: float, wait: float
    ) -> StoreAnswer:
        return await self._race.run(
            self._list_ways(call, timeout),
            wait,
            is_arriving=lambda: self.is_arriving(call.topic),
        )

    async def _append(self, call: AppendCall, timeout: float) -> StoreAnswer:
        if not self._direct_failed or not self._relay_peers():
            return await self._append_directly(call, timeout)
        if call.fence is not None:
            self._probe_direct(call, timeout)
        relay_peer = self._order_relay_peers(self._relay_peers())[0]
        return await self._call_through_peer(call, timeout, relay_peer, None)

    async def _append_directly(self, call: AppendCall, timeout: float) -> StoreAnswer:
        """Append directly, or else through a peer if that is harmless."""
        unknown_outcome: SiskinroadError | None = None
        try:
            return await self._call_direct(call, timeout)
        except StoreUnavailableError:
            # A peer that was there before the call may have ended meanwhile.
            relay_peers = self._relay_peers()
            if not relay_peers:
                raise
        except StoreUnknownError as exc:
            relay_peers = self._relay_peers()
            if not relay_peers or call.fence is None:
                raise
            unknown_outcome = exc
        relay_peer = self._order_relay_peers(relay_peers)[0]
        return await self._call_through_peer(call, timeout, relay_peer, unknown_outcome)

    def _list_ways(self, call: ReadCall | NewestCall, timeout: float) -> list[ReadWay]:
        """Return the ways of a read, in the order in which they are taken.

        The timeout is that of a read which waits as long as the call requests.
        """
        direct = functools.partial(self._read_directly, call, timeout)
        relay_peers = self._relay_peers()
        if not relay_peers:
            return [direct]
        relays = [
            functools.partial(self._read_through_peer, peer, call, timeout)
            for peer in self._order_relay_peers(relay_peers)[:MAX_RELAYS]
        ]
        if not self._direct_failed:
            return [direct, relays[0], direct, *relays[1:]]
        self._probe_direct(call, timeout)
        return [relays[0], direct, *relays[1:]]

    async def _read_directly(
        self, call: ReadCall | NewestCall, timeout: float, wait: float
    ) -> StoreAnswer:
        return await self._call_direct(*_shorten_wait(call, timeout, wait))

    async def _read_through_peer(
        self, relay_peer: str, call: ReadCall | NewestCall, timeout: float, wait: float
    ) -> StoreAnswer:
        shorter_call, shorter_timeout = _shorten_wait(call, timeout, wait)
        return await self._call_through_peer(
            shorter_call, shorter_timeout, relay_peer, None
        )

    def _order_relay_peers(self, relay_peers: list[str]) -> list[str]:
        """Return the daemons in turn, those last that have just been silent.

        Before them come the daemons of little processor, whose links are small too.
        """
        now = asyncio.get_running_loop().time()
        self._relay_index += 1
        first = self._relay_index % len(relay_peers)
        in_turn = relay_peers[first:] + relay_peers[:first]
        processors = {peer: self._find_processor(peer) for peer in relay_peers}
        small_below = SMALL_SHARE * max(processors.values())

        def order(peer: str) -> tuple[bool, bool]:
            silent_at = self._silent_at.get(peer, -1e9)
            return now - silent_at < SILENT_PEER_PAUSE, processors[peer] < small_below

        return sorted(in_turn, key=order)

    async def _call_direct(self, call: StoreCall, timeout: float) -> StoreAnswer:
        """Make a direct call and record whether the store answered it.

        That a call from before the store's return fails says nothing of it now.
        """
        return await self._record_outcome(make_call(self.direct, call, timeout))

    async def _record_outcome(self, call: Coroutine[Any, Any, T]) -> T:
        sent_at = asyncio.get_running_loop().time()
        try:
            answer = await call
        except (OffsetMismatchError, FencedError, TrimmedError):
            self.record_direct_answer()
            raise
        except SiskinroadError:
            if sent_at >= self._recovered_at:
                self._direct_failed = True
            raise
        self.record_direct_answer()
        return answer

    def record_direct_answer(self) -> None:
        """Record a direct reply of the store; call ``on_recovered`` after an outage.

        The bytes of one that is arriving count: on a small link the whole reply may
        take longer than the silence that shows an outage.
        """
        self._direct_failed = False
        now = asyncio.get_running_loop().time()
        previous_answer_at = self.direct_answer_at
        self.direct_answer_at = now
        if previous_answer_at > 0 and now - previous_answer_at > SILENCE_TIMEOUT:
            self._note_recovered(now - previous_answer_at)

    def _note_recovered(self, silent_s: float) -> None:
        self._recovered_at = asyncio.get_running_loop().time()
        # After a suspension, answers of open appends may have arrived unread.
        FairTimer(0.0, lambda: self._end_open_calls(silent_s))
        self.on_recovered()

    def _end_open_calls(self, silent_s: float) -> None:
        self._open_reads.end_old()
        ended = self._open_appends.end_old()
        self.ended_appends += ended
        log.warning(
            "relay: store answers direct calls again; ending the open appends",
            extra={"silent_s": round(silent_s, 2), "appends": ended},
        )

    def _probe_direct(self, call: StoreCall, timeout: float) -> None:
        """Start a direct call in the background to detect that the store answers again.

        An append that is relayed too must be harmless to repeat; the probe's result is
        discarded.
        """
        loop = asyncio.get_running_loop()
        if loop.time() < self._next_probe_at:
            return
        self._next_probe_at = loop.time() + PROBE_INTERVAL

        async def probe() -> None:
            try:
                await self._record_outcome(self._make_probe(call, timeout))
            except SiskinroadError as exc:
                log.debug(
                    "relay: direct store call still fails", extra={"error": str(exc)}
                )

        task = loop.create_task(probe())
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)

    async def _make_probe(self, call: StoreCall, timeout: float) -> None:
        """Make a direct call that shows whether the store answers such calls.

        A whole answer to a read would fill a small link.
        """
        if isinstance(call, AppendCall):
            await make_call(self.direct, call, timeout)
        else:
            await self.direct.probe(call.topic, timeout=timeout)

    async def _call_through_peer(
        self,
        call: StoreCall,
        timeout: float,
        relay_peer: str,
        unknown_outcome: SiskinroadError | None,
    ) -> StoreAnswer:
        self.relayed_calls += 1
        data = encode_call(call)
        log.info(
            "relay: sending a store call through a peer",
            extra={
                "peer": relay_peer,
                "call": call.__struct_config__.tag,
                "why": "direct calls fail" if self._direct_failed else "read is late",
            },
        )
        try:
            reply = await self._peer_calls.request(
                relay_peer,
                lambda request_id: RelayRequest(request_id, data, timeout),
                RelayReply,
                timeout + RELAY_ALLOWANCE,
            )
        except SiskinroadError as exc:
            self._silent_at[relay_peer] = asyncio.get_running_loop().time()
            raise StoreUnknownError(str(exc), step="relay", peer=relay_peer) from exc
        self._silent_at.pop(relay_peer, None)
        if reply.outcome == "not done" and unknown_outcome is None:
            raise StoreUnavailableError(
                "relaying daemon's store call failed without effect",
                step="relay",
                peer=relay_peer,
            )
        if reply.outcome != "answered":
            raise StoreUnknownError(reply.outcome, step="relay", peer=relay_peer)
        self.relayed_answer_at = asyncio.get_running_loop().time()
        try:
            return decode_answer(call, reply.result)
        except ProtocolError as exc:
            raise StoreUnknownError(str(exc), step="relay", peer=relay_peer) from exc

    async def serve(self, msg: RelayRequest, peer: str) -> RelayReply:
        """Carry out another daemon's store call.

        The call is made directly and never relayed further. Reads beyond the limits for
        one peer are not made, and others wait for their turn.
        """
        began_at = asyncio.get_running_loop().time()
        try:
            call = decode_call(msg.call)
            async with self._relayed_reads.admit(peer, call) as is_admitted:
                if not is_admitted:
                    log.info(
                        "relay: read for a peer not made; too many at once",
                        extra={"peer": peer, "call": call.__struct_config__.tag},
                    )
                    return RelayReply(msg.id, "not done", b"")
                waited_s = asyncio.get_running_loop().time() - began_at
                timeout = msg.timeout - waited_s
                if isinstance(call, ReadCall):
                    wait = self._relayed_reads.limit_wait(call.wait)
                    call, timeout = _shorten_wait(call, timeout, wait)
                result = await execute_encoded(self.direct, call, timeout)
        except (StoreUnavailableError, ProtocolError):
            return RelayReply(msg.id, "not done", b"")
        except StoreUnknownError:
            return RelayReply(msg.id, "unknown", b"")
        self.record_direct_answer()
        return RelayReply(msg.id, "answered", result)


def _shorten_wait(
    call: ReadCall | NewestCall, timeout: float, wait: float
) -> tuple[ReadCall | NewestCall, float]:
    """Return a read that waits for at most ``wait`` seconds, and its timeout."""
    if not isinstance(call, ReadCall) or call.wait <= wait:
        return call, timeout
    return msgspec.structs.replace(call, wait=wait), timeout - (call.wait - wait)
