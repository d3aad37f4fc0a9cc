"""Encoding and decoding of protocol messages."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from siskinroad.errors import ProtocolError

__all__ = ["DECODE_ERRORS", "Codec", "msgpack_codec"]

# What msgspec raises for malformed input; the second one for deeply nested input.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)


@dataclass(slots=True, frozen=True)
class Codec:
    """Encoder and decoder of one protocol's messages.

    ``decode`` takes the bytes and the sender's name. It raises ``ProtocolError`` if the
    bytes are not a message.
    """

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes, str], Any]


def msgpack_codec(message_type: Any) -> Codec:
    """Return the MessagePack codec of a union of tagged structs."""
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(message_type)

    def decode(data: bytes, peer: str = "") -> Any:
        try:
            return decoder.decode(data)
        except DECODE_ERRORS as exc:
            raise ProtocolError(str(exc), step="peers.decode", peer=peer) from exc

    return Codec(encoder.encode, decode)
