"""Store client that falls back to calls relayed by another daemon.

The store may reject some daemons, or be unreachable from them, while it serves the
others. A call that failed here without effect is retried once through a daemon that
the store has answered recently. While direct calls fail, all calls are relayed at
once: waiting for the direct call's timeout first would leave an owner without replies
half of the time. A call whose outcome is unknown is repeated only if that is harmless:
reads, and appends that carry a fence.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from siskinroad.errors import ProtocolError, SiskinroadError
from siskinroad.work.messages import RelayReply, RelayRequest
from siskinroad.work.peer_calls import PeerCalls
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

log = logging.getLogger("siskinroad.relay")


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

    Attributes
    ----------
    direct_answer_at : float
        Loop time in seconds of the store's last direct reply.
    relayed_answer_at : float
        Loop time in seconds of the store's last relayed reply.
    on_recovered : callable
        Called at the first direct reply after an outage.
    relayed_calls : int
        Number of calls sent through another daemon.
    """

    def __init__(
        self, direct: Store, peer_calls: PeerCalls, relay_peers: Callable[[], list[str]]
    ) -> None:
        self.direct = direct
        self._peer_calls = peer_calls
        self._relay_peers = relay_peers
        self._direct_failed = False
        self._next_probe_at = -1e9
        self._probe_tasks: set[asyncio.Task[None]] = set()
        self._relay_index = 0
        self.direct_answer_at = -1e9
        self.relayed_answer_at = -1e9
        self.on_recovered: Callable[[], None] = lambda: None
        self.relayed_calls = 0

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
        offset = await self._call_store(call, timeout, is_repeatable=fence is not None)
        assert isinstance(offset, int)
        return offset

    async def read(
        self, topic: str, start: int, *, wait: float, timeout: float = 1.0
    ) -> ReadResult:
        """Read records; see the base class."""
        call = ReadCall(topic, start, wait)
        result = await self._call_store(call, timeout, is_repeatable=True)
        assert isinstance(result, ReadResult)
        return result

    async def newest(
        self, topic: str, after: str = "", *, timeout: float = 1.0
    ) -> NewestPage:
        """Return the newest record of each key; see the base class."""
        call = NewestCall(topic, after)
        page = await self._call_store(call, timeout, is_repeatable=True)
        assert isinstance(page, NewestPage)
        return page

    async def close(self) -> None:
        """Close the connections to the store."""
        await self.direct.close()

    async def _call_store(
        self, call: StoreCall, timeout: float, *, is_repeatable: bool
    ) -> StoreAnswer:
        relay_peers = self._relay_peers()
        unknown_outcome: SiskinroadError | None = None
        if not relay_peers or not self._direct_failed:
            try:
                return await self._call_direct(call, timeout)
            except StoreUnavailableError:
                if not relay_peers:
                    raise
            except StoreUnknownError as exc:
                if not relay_peers or not is_repeatable:
                    raise
                unknown_outcome = exc
        elif is_repeatable:
            self._probe_direct(call, timeout)
        return await self._call_through_peer(
            call, timeout, relay_peers, unknown_outcome
        )

    async def _call_direct(self, call: StoreCall, timeout: float) -> StoreAnswer:
        """Make a direct call and record whether the store answered it."""
        try:
            answer = await make_call(self.direct, call, timeout)
        except (OffsetMismatchError, FencedError, TrimmedError):
            self.record_direct_answer()
            raise
        except SiskinroadError:
            self._direct_failed = True
            raise
        self.record_direct_answer()
        return answer

    def record_direct_answer(self) -> None:
        """Record a direct reply of the store; call ``on_recovered`` after an outage."""
        self._direct_failed = False
        now = asyncio.get_running_loop().time()
        previous_answer_at = self.direct_answer_at
        self.direct_answer_at = now
        if previous_answer_at > 0 and now - previous_answer_at > SILENCE_TIMEOUT:
            self.on_recovered()

    def _probe_direct(self, call: StoreCall, timeout: float) -> None:
        """Start a direct call in the background to detect that the store answers again.

        The same call is relayed too, so it must be harmless to repeat; the probe's
        result is discarded.
        """
        loop = asyncio.get_running_loop()
        if loop.time() < self._next_probe_at:
            return
        self._next_probe_at = loop.time() + PROBE_INTERVAL

        async def probe() -> None:
            try:
                await self._call_direct(call, timeout)
            except SiskinroadError as exc:
                log.debug(
                    "relay: direct store call still fails", extra={"error": str(exc)}
                )

        task = loop.create_task(probe())
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)

    async def _call_through_peer(
        self,
        call: StoreCall,
        timeout: float,
        relay_peers: list[str],
        unknown_outcome: SiskinroadError | None,
    ) -> StoreAnswer:
        self._relay_index += 1
        self.relayed_calls += 1
        relay_peer = relay_peers[self._relay_index % len(relay_peers)]
        data = encode_call(call)
        log.info(
            "relay: direct store calls fail; sending the call through a peer",
            extra={"peer": relay_peer, "call": call.__struct_config__.tag},
        )
        try:
            reply = await self._peer_calls.request(
                relay_peer,
                lambda request_id: RelayRequest(request_id, data, timeout),
                RelayReply,
                timeout + RELAY_ALLOWANCE,
            )
        except SiskinroadError as exc:
            raise StoreUnknownError(str(exc), step="relay", peer=relay_peer) from exc
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

    async def serve(self, msg: RelayRequest) -> RelayReply:
        """Carry out another daemon's store call.

        The call is made directly and never relayed further.
        """
        try:
            call = decode_call(msg.call)
            result = await execute_encoded(self.direct, call, msg.timeout)
        except (StoreUnavailableError, ProtocolError):
            return RelayReply(msg.id, "not done", b"")
        except StoreUnknownError:
            return RelayReply(msg.id, "unknown", b"")
        self.record_direct_answer()
        return RelayReply(msg.id, "answered", result)
