"""Tests of messages between daemons of different versions."""

import msgspec

from siskinroad.work.messages import Heartbeat, decode, encode


class EarlierHeartbeat(msgspec.Struct, tag="beat", frozen=True, array_like=True):
    """Heartbeat of a version without the sender's processor."""

    node: str
    incarnation: int
    owned: tuple[tuple[str, int], ...]
    store_age: float
    is_leaving: bool
    can_claim: bool
    backlog: float = 0.0
    claiming: tuple[str, ...] = ()


EARLIER = EarlierHeartbeat("a", 7, (("p", 3),), 0.2, False, True, 0.5, ("q",))
LATER = Heartbeat("a", 7, (("p", 3),), 0.2, False, True, 0.5, ("q",), 0.537 * 2)


def test_heartbeat_round_trips():
    assert decode(encode(LATER)) == LATER


def test_heartbeat_of_earlier_version_is_decoded_with_unknown_processor():
    # Daemons of both versions run side by side during a rolling restart.
    decoded = decode(msgspec.msgpack.encode(EARLIER))
    assert decoded == msgspec.structs.replace(LATER, processor=0.0)


def test_earlier_version_decodes_heartbeat_with_processor():
    decoder = msgspec.msgpack.Decoder(EarlierHeartbeat)
    assert decoder.decode(encode(LATER)) == EARLIER
