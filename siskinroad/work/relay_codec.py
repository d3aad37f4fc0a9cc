"""Store calls as values, with the encoding in which one daemon makes them for another.

A relayed call is answered with an encoded result, or with one of the errors that are
answers of the store: a mismatch of the end, a fenced append, trimmed records.
"""

from __future__ import annotations

import msgspec

from siskinroad.codec import DECODE_ERRORS
from siskinroad.errors import ProtocolError
from siskinroad.work.store import (
    Fence,
    FencedError,
    NewestPage,
    NewestRecord,
    OffsetMismatchError,
    ReadResult,
    Record,
    Store,
    TrimmedError,
)

__all__ = [
    "AppendCall",
    "NewestCall",
    "ReadCall",
    "StoreAnswer",
    "StoreCall",
    "decode_answer",
    "decode_call",
    "encode_call",
    "execute_encoded",
    "make_call",
]


class AppendCall(msgspec.Struct, tag="append", frozen=True):
    """Append of records; ``fence`` is the producer, its epoch and sequence number."""

    topic: str
    records: list[Record]
    at: int | None
    fence: tuple[str, int, int] | None


class ReadCall(msgspec.Struct, tag="read", frozen=True):
    """Read of a topic, which may wait for ``wait`` seconds for a new record."""

    topic: str
    start: int
    wait: float


class NewestCall(msgspec.Struct, tag="newest", frozen=True):
    """Read of one page of the newest record of each key."""

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


StoreCall = AppendCall | ReadCall | NewestCall
StoreAnswer = int | ReadResult | NewestPage
_Result = _Offset | _Records | _Page | _OffsetMismatch | _Fenced | _Trimmed

_ENCODER = msgspec.msgpack.Encoder()
_CALL_DECODER = msgspec.msgpack.Decoder(StoreCall)
_RESULT_DECODER = msgspec.msgpack.Decoder(_Result)


def encode_call(call: StoreCall) -> bytes:
    """Encode a call."""
    return _ENCODER.encode(call)


def decode_call(data: bytes) -> StoreCall:
    """Decode a call.

    Raises
    ------
    ProtocolError
        If the bytes do not encode a call.
    """
    try:
        return _CALL_DECODER.decode(data)
    except DECODE_ERRORS as exc:
        raise ProtocolError(str(exc), step="relay.call") from exc


async def make_call(store: Store, call: StoreCall, timeout: float) -> StoreAnswer:
    """Make a call to a store; see its methods for the errors."""
    match call:
        case AppendCall(topic=topic, records=records, at=at, fence=fields):
            fence = Fence(*fields) if fields else None
            return await store.append(
                topic, records, at=at, fence=fence, timeout=timeout
            )
        case ReadCall(topic=topic, start=start, wait=wait):
            return await store.read(topic, start, wait=wait, timeout=timeout)
        case NewestCall(topic=topic, after=after):
            return await store.newest(topic, after, timeout=timeout)


async def execute_encoded(store: Store, call: StoreCall, timeout: float) -> bytes:
    """Make a call to a store; return its encoded result, or error that is an answer."""
    return _ENCODER.encode(await _execute(store, call, timeout))


async def _execute(store: Store, call: StoreCall, timeout: float) -> _Result:
    try:
        answer = await make_call(store, call, timeout)
    except OffsetMismatchError as exc:
        return _OffsetMismatch(exc.end)
    except FencedError:
        return _Fenced()
    except TrimmedError as exc:
        return _Trimmed(exc.first)
    match answer:
        case ReadResult():
            return _Records(answer.start, answer.records, answer.end)
        case NewestPage():
            return _Page(answer.items, answer.more, answer.end)
        case offset:
            return _Offset(offset)


def decode_answer(call: StoreCall, data: bytes) -> StoreAnswer:
    """Decode the answer to a relayed call, or raise the error that it stands for.

    Raises
    ------
    OffsetMismatchError, FencedError, TrimmedError
        As from the store.
    ProtocolError
        If the bytes do not encode a result of this call.
    """
    try:
        result = _RESULT_DECODER.decode(data)
    except DECODE_ERRORS as exc:
        raise ProtocolError(str(exc), step="relay.result") from exc
    match call, result:
        case _, _OffsetMismatch(end=end):
            raise OffsetMismatchError(end)
        case _, _Fenced():
            raise FencedError(
                "append has a lower epoch than the store has seen", step="store.append"
            )
        case _, _Trimmed(first=first):
            raise TrimmedError(first)
        case AppendCall(), _Offset(offset=offset):
            return offset
        case ReadCall(), _Records(start=start, records=records, end=end):
            return ReadResult(start, records, end)
        case NewestCall(), _Page(items=items, more=more, end=end):
            return NewestPage(items, more, end)
    raise ProtocolError(
        "relayed result does not match the type of the call", step="relay.result"
    )
