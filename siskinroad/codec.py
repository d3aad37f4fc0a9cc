"""Messages of one protocol as bytes and back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from siskinroad.errors import ProtocolError

__all__ = ["Codec", "msgpack_codec"]


@dataclass(slots=True, frozen=True)
class Codec:
    """How the messages of one protocol become bytes and back.

    ``decode`` takes the bytes and the sender, and raises ``ProtocolError``.
    """

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes, str], Any]


def msgpack_codec(kinds: Any) -> Codec:
    """Return the codec of a union of tagged structs."""
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(kinds)

    def decode(data: bytes, peer: str = "") -> Any:
        try:
            return decoder.decode(data)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise ProtocolError(str(exc), step="peers.decode", peer=peer) from exc

    return Codec(encoder.encode, decode)
