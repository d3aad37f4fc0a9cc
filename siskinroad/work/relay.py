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
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from siskinroad.errors import SiskinroadError
from siskinroad.work.messages import RelayReply, RelayRequest
from siskinroad.work.peer_calls import PeerCalls
from siskinroad.work.store import (
    Fence,
    FencedError,
    NewestPage,
    NewestRecord,
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
T = TypeVar("T")
A = TypeVar("A")


class _Append(msgspec.Struct, tag="append", frozen=True):
    topic: str
    records: list[Record]
    at: int | None
    fence: tuple[str, int, int] | None


class _Read(msgspec.Struct, tag="read", frozen=True):
    topic: str
    start: int
    wait: float


class _Newest(msgspec.Struct, tag="newest", frozen=True):
    topic: str
    after: str


class _Offset(msgspec.Struct, tag="offset", frozen=True):
    offset: int


class _Records(msgspec.Struct, tag="records", frozen=True):
    start: int
    records: tuple[Record, ...]
    end: int


class _Page(msgspec.Struct, tag="page", frozen=True):
    items: tuple[NewestRecord, ...]
    more: bool
    end: int


class _OffsetMismatch(msgspec.Struct, tag="moved", frozen=True):
    end: int


class _Fenced(msgspec.Struct, tag="fenced", frozen=True):
    pass


class _Trimmed(msgspec.Struct, tag="trimmed", frozen=True):
    first: int


_StoreCall = _Append | _Read | _Newest
_StoreResult = _Offset | _Records | _Page | _OffsetMismatch | _Fenced | _Trimmed

_ENCODE = msgspec.msgpack.Encoder().encode
_CALL_DECODER = msgspec.msgpack.Decoder(_StoreCall)
_RESULT_DECODER = msgspec.msgpack.Decoder(_StoreResult)


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
        call = _Append(topic, records, at, fence_fields)
        result = await self._call_store(
            call,
            timeout,
            lambda: self.direct.append(
                topic, records, at=at, fence=fence, timeout=timeout
            ),
            _Offset,
            is_repeatable=fence is not None,
        )
        return result.offset if isinstance(result, _Offset) else result

    async def read(
        self, topic: str, start: int, *, wait: float, timeout: float = 1.0
    ) -> ReadResult:
        """Read records; see the base class."""
        result = await self._call_store(
            _Read(topic, start, wait),
            timeout,
            lambda: self.direct.read(topic, start, wait=wait, timeout=timeout),
            _Records,
            is_repeatable=True,
        )
        if isinstance(result, _Records):
            return ReadResult(result.start, result.records, result.end)
        return result

    async def newest(
        self, topic: str, after: str = "", *, timeout: float = 1.0
    ) -> NewestPage:
        """Return the newest record of each key; see the base class."""
        result = await self._call_store(
            _Newest(topic, after),
            timeout,
            lambda: self.direct.newest(topic, after, timeout=timeout),
            _Page,
            is_repeatable=True,
        )
        if isinstance(result, _Page):
            return NewestPage(result.items, result.more, result.end)
        return result

    async def close(self) -> None:
        """Close the connections to the store."""
        await self.direct.close()

    async def _call_store(
        self,
        call: _StoreCall,
        timeout: float,
        direct: Callable[[], Awaitable[T]],
        result_type: type[A],
        *,
        is_repeatable: bool,
    ) -> T | A:
        relay_peers = self._relay_peers()
        unknown_outcome: SiskinroadError | None = None
        if not relay_peers or not self._direct_failed:
            try:
                return await self._call_direct(direct)
            except StoreUnavailableError:
                if not relay_peers:
                    raise
            except StoreUnknownError as exc:
                if not relay_peers or not is_repeatable:
                    raise
                unknown_outcome = exc
        elif is_repeatable:
            self._probe_direct(direct)
        return await self._call_through_peer(
            call, timeout, result_type, relay_peers, unknown_outcome
        )

    async def _call_direct(self, direct: Callable[[], Awaitable[T]]) -> T:
        """Make a direct call and record whether the store answered it."""
        try:
            result = await direct()
        except (OffsetMismatchError, FencedError, TrimmedError):
            self.record_direct_answer()
            raise
        except SiskinroadError:
            self._direct_failed = True
            raise
        self.record_direct_answer()
        return result

    def record_direct_answer(self) -> None:
        """Record a direct reply of the store; call ``on_recovered`` after an outage."""
        self._direct_failed = False
        now = asyncio.get_running_loop().time()
        previous_answer_at = self.direct_answer_at
        self.direct_answer_at = now
        if previous_answer_at > 0 and now - previous_answer_at > SILENCE_TIMEOUT:
            self.on_recovered()

    def _probe_direct(self, direct: Callable[[], Awaitable[T]]) -> None:
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
                await self._call_direct(direct)
            except SiskinroadError as exc:
                log.debug(
                    "relay: direct store call still fails", extra={"error": str(exc)}
                )

        task = loop.create_task(probe())
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)

    async def _call_through_peer(
        self,
        call: _StoreCall,
        timeout: float,
        result_type: type[A],
        relay_peers: list[str],
        unknown_outcome: SiskinroadError | None,
    ) -> A:
        self._relay_index += 1
        self.relayed_calls += 1
        relay_peer = relay_peers[self._relay_index % len(relay_peers)]
        data = _ENCODE(call)
        log.info(
            "relay: direct store calls fail; sending the call through a peer",
            extra={"peer": relay_peer, "call": type(call).__name__.strip("_").lower()},
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
        result = _RESULT_DECODER.decode(reply.result)
        match result:
            case _OffsetMismatch(end=end):
                raise OffsetMismatchError(end)
            case _Fenced():
                raise FencedError(
                    "append has a lower epoch than the store has seen",
                    step="store.append",
                )
            case _Trimmed(first=first):
                raise TrimmedError(first)
        if not isinstance(result, result_type):
            raise StoreUnknownError(
                "relayed reply does not match the type of the call",
                step="relay",
                peer=relay_peer,
            )
        return result

    async def serve(self, msg: RelayRequest) -> RelayReply:
        """Carry out another daemon's store call.

        The call is made directly and never relayed further.
        """
        try:
            call = _CALL_DECODER.decode(msg.call)
            result = await self._execute(call, msg.timeout)
        except (StoreUnavailableError, msgspec.MsgspecError):
            return RelayReply(msg.id, "not done", b"")
        except StoreUnknownError:
            return RelayReply(msg.id, "unknown", b"")
        self.record_direct_answer()
        return RelayReply(msg.id, "answered", _ENCODE(result))

    async def _execute(self, call: _StoreCall, timeout: float) -> _StoreResult:
        try:
            match call:
                case _Append(topic=topic, records=records, at=at, fence=fence_fields):
                    fence = Fence(*fence_fields) if fence_fields else None
                    offset = await self.direct.append(
                        topic, records, at=at, fence=fence, timeout=timeout
                    )
                    return _Offset(offset)
                case _Read(topic=topic, start=start, wait=wait):
                    result = await self.direct.read(
                        topic, start, wait=wait, timeout=timeout
                    )
                    return _Records(result.start, result.records, result.end)
                case _Newest(topic=topic, after=after):
                    page = await self.direct.newest(topic, after, timeout=timeout)
                    return _Page(page.items, page.more, page.end)
        except OffsetMismatchError as exc:
            return _OffsetMismatch(exc.end)
        except FencedError:
            return _Fenced()
        except TrimmedError as exc:
            return _Trimmed(exc.first)
