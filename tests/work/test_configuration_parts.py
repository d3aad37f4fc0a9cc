"""Parts of configurations that daemons send to each other."""

import random
import zlib

import msgspec
import pytest

from siskinroad.errors import ProtocolError
from siskinroad.work import messages
from siskinroad.work.configuration_parts import PART_BYTES, PartSource, Transfer
from siskinroad.work.messages import ConfigurationReply, ConfigurationRequest
from siskinroad.work.store import Record

RECORD = Record("config", random.Random(1).randbytes(1000) * 200)


def ask(source, start, length=PART_BYTES, wanted=7, version=7, record=RECORD):
    msg = ConfigurationRequest(1, wanted, start, length)
    return source.answer(msg, version, record, 20)


def transfer_of(reply):
    return Transfer(reply.version, reply.key, reply.size, "a", 0.0)


def test_parts_of_two_peers_make_up_the_record():
    first, second = ask(PartSource(), 0, 4096), ask(PartSource(), 4096)
    transfer = transfer_of(first)
    assert transfer.add("a", first) and transfer.add("b", second)
    third = ask(PartSource(), len(transfer.value))
    assert transfer.add("c", third) and transfer.is_whole
    assert bytes(transfer.value) == RECORD.value
    assert second.is_compressed and len(second.value) < PART_BYTES / 10
    assert (transfer.parts, transfer.next_offset) == (3, 20)


def test_what_does_not_compress_is_sent_as_it_is():
    record = Record("config", random.Random(1).randbytes(PART_BYTES))
    reply = ask(PartSource(), 0, record=record)
    assert (reply.value, reply.is_compressed) == (record.value, False)


def test_a_part_is_compressed_once_for_all_who_ask():
    source = PartSource()
    assert ask(source, 0).value is ask(source, 0).value


def test_the_version_before_is_kept_for_those_who_have_part_of_it():
    source = PartSource()
    ask(source, 0)
    newer = Record("config", bytes(300_000))
    reply = ask(source, 4096, version=8, record=newer)
    assert (reply.version, reply.size) == (7, len(RECORD.value))
    # Records after it may hold a later version.
    assert reply.next_offset == -1
    ask(source, 0, version=9, record=newer)
    reply = ask(source, 4096, version=9, record=newer)
    assert (reply.version, reply.value) == (9, b"")


def test_the_first_part_is_always_of_the_version_in_force():
    source = PartSource()
    ask(source, 0)
    newer = Record("config", bytes(300_000))
    assert ask(source, 0, version=8, record=newer).version == 8


def test_a_part_may_be_no_longer_than_is_usual():
    reply = ask(PartSource(), 0, length=10**9)
    assert len(zlib.decompress(reply.value)) == PART_BYTES


@pytest.mark.parametrize(
    "value",
    [b"no zlib", zlib.compress(RECORD.value)[:-4], zlib.compress(bytes(10 << 20))],
    ids=["malformed", "cut off", "too long"],
)
def test_a_part_that_cannot_be_decompressed_is_not_added(value):
    transfer = transfer_of(ask(PartSource(), 0))
    reply = ConfigurationReply(1, "config", value, 7, transfer.size, 0, True)
    with pytest.raises(ProtocolError):
        transfer.add("a", reply)
    assert transfer.value == b""


def test_a_part_beyond_the_end_is_not_added():
    transfer = Transfer(7, "config", 10, "a", 0.0)
    with pytest.raises(ProtocolError):
        transfer.add("a", ConfigurationReply(1, "config", bytes(11), 7, 10, 0))


def test_parts_of_another_version_or_place_are_not_added():
    transfer = transfer_of(ask(PartSource(), 0))
    assert not transfer.add("a", ask(PartSource(), 4096))
    assert not transfer.add("a", ask(PartSource(), 0, version=8))
    assert transfer.value == b""


def test_messages_of_earlier_daemons_are_understood():
    request = messages.decode(msgspec.msgpack.encode(["config?", 4]), "a")
    assert request == ConfigurationRequest(4)
    reply = messages.decode(msgspec.msgpack.encode(["config!", 4, "k", b"v"]), "a")
    assert reply == ConfigurationReply(4, "k", b"v")
