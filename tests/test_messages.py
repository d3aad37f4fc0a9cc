from typing import get_args

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskinroad.errors import ProtocolError
from siskinroad.messages import Forward, Heartbeat, Message, decode, encode
from siskinroad.peers import get_metric_kind
from siskinroad.records import decode_batch


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_random_bytes_raise_only_a_protocol_error(data):
    for decoder in (decode, decode_batch):
        try:
            decoder(data)
        except ProtocolError:
            pass


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.data())
def test_a_corrupt_message_decodes_or_raises_a_protocol_error(data):
    msg = Heartbeat("a", 1, 2.0, None, 3, False, True, ["b"], [])
    raw = bytearray(encode(msg))
    for _ in range(data.draw(st.integers(1, 3))):
        raw[data.draw(st.integers(0, len(raw) - 1))] = data.draw(st.integers(0, 255))
    try:
        decode(bytes(raw), "a")
    except ProtocolError as exc:
        assert exc.peer == "a"


def test_a_message_survives_encoding_and_a_truncated_one_raises():
    msg = Forward("a", "id", 1, "s", "quote", 2.5, "k", "/p", b"\x00\xff")
    assert decode(encode(msg)) == msg
    with pytest.raises(ProtocolError):
        decode(encode(msg)[:-1])


def test_messages_are_counted_under_the_labels_that_operators_know():
    """A renamed message class must not rename a label of the metric of sent bytes.

    The label ``kind`` of ``siskinroad_peer_sent_bytes`` is the class's own name unless
    the class keeps an earlier one.
    """
    labels = {get_metric_kind(message_type) for message_type in get_args(Message)}
    assert labels == {
        "Digest",
        "Forward",
        "ForwardAck",
        "ForwardAsk",
        "Heartbeat",
        "JobReply",
        "JobRequest",
        "ListNews",
        "LogFetch",
        "LogRecords",
        "LogTail",
        "Reply",
        "RevisionOffer",
        "RevisionWanted",
        "SnapshotWanted",
    }
