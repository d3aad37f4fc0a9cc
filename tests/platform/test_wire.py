"""Tests of the decoders of the platform's message bodies and records."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from siskinroad_platform.store import decode_records, encode_records
from siskinroad_platform.wire import (
    PlatformDecoder,
    decode_job,
    decode_report,
    task_from_name,
    task_name,
)

from siskinroad.errors import ProtocolError
from siskinroad.work.hosts import EndKind
from siskinroad.work.model import Advice, TaskId
from siskinroad.work.store import Record
from tests.platform.fake_platform import CONFIG, server_entry

JOB = {
    "spec": "text",
    "phases": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "estimated_ms": 900},
        {
            "count": 2,
            "cpu": 2000,
            "gpu": 1,
            "estimated_ms": 7000,
            "depends_on": [0],
            "saves_progress": True,
            "gang": True,
            "rack_local": True,
            "data_rack": "r1-3",
            "anti_affinity": 2,
            "fills": True,
            "long_running": True,
            "max_unavailable": 1,
            "image": "i",
            "target_ms": 250,
        },
    ],
}


def test_job_steps_are_decoded_and_converted_to_seconds():
    spec = decode_job(msgspec.json.encode(JOB))
    first, second = spec.steps
    assert (first.count, first.cpu_milli, first.estimate) == (4, 500, 0.9)
    assert second.after == (0,) and second.gang and second.one_rack
    assert second.filler and second.need.cpu_milli == 0
    assert second.tail_limit == 0.25 and second.max_away == 1
    assert spec.occurrences == 1 and spec.first == 0.0


def test_start_and_interval_of_a_repeating_job_are_in_seconds():
    body = JOB | {"repeat_count": 3, "start_at_ms": 5000, "interval_ms": 250}
    spec = decode_job(msgspec.json.encode(body))
    assert (spec.occurrences, spec.first, spec.interval) == (3, 5.0, 0.25)
    assert spec.due(2) == 5.5


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"spec":"x"}',
        b'{"spec":"x","phases":[]}',
        b'{"spec":"x","phases":[{"count":0}]}',
        b'{"spec":"x","phases":[{"count":1,"depends_on":[0]}]}',
        b'{"spec":"x","phases":[{"count":1,"cpu":-1}]}',
        b'{"spec":"x","phases":[{"count":9999999}]}',
    ],
)
def test_invalid_job_raises_protocol_error(body):
    with pytest.raises(ProtocolError):
        decode_job(body)


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_protocol_error(data):
    # The callers of the decoders handle ProtocolError and no other exception.
    decoder = PlatformDecoder()
    assert decoder.decode_host("i", data) is None
    with pytest.raises(ProtocolError):
        decoder.decode_configuration("config", data or b"{")
    with pytest.raises(ProtocolError):
        decode_job(data)
    with pytest.raises(ProtocolError):
        decode_report(data, "i")


@pytest.mark.parametrize(
    "change",
    [{"state": "resting"}, {"service": 5}, {"address": None}, {"capacity": []}],
)
def test_invalid_host_entry_is_skipped(change):
    value = msgspec.json.encode(server_entry("10.0.0.1:80") | change)
    assert PlatformDecoder().decode_host("i-1", value) is None


def test_host_entry_is_decoded_and_unknown_fields_are_ignored():
    value = msgspec.json.encode(server_entry("10.0.0.1:80", "draining") | {"new": 1})
    host = PlatformDecoder().decode_host("i-1", value)
    assert host.draining and host.rack == "r1-3" and host.capacity.cpu_milli == 16000


def test_configuration_is_decoded():
    configuration = PlatformDecoder().decode_configuration(
        "config", msgspec.json.encode(CONFIG)
    )
    queue = configuration.find_queue("ficu95.example", "/pule252/5c0e7a21d94b36f8")
    assert queue.pool == "wuno96b" and queue.target == 0.4
    assert queue.advice == Advice(0.01, 0.001, 2.0)
    assert configuration.find_queue("ficu95.example", "/other/") is None
    assert (
        configuration.find_queue("other.example", "/pule252/5c0e7a21d94b36f8") is None
    )


def test_host_report_is_decoded():
    name = "5c0e7a21d94b36f8.0.1.17"
    body = {
        "clock_ms": 482113,
        "born": 9,
        "running": [[name, 2, "0bb8", 41, 120]],
        "finished": [[58, name, 1, "lapsed", ""]],
    }
    report = decode_report(msgspec.json.encode(body), "i-1")
    assert report.running[0].task == TaskId("5c0e7a21d94b36f8", 0, 1, 17)
    assert report.running[0].usage == 120
    assert report.ended[0].end_kind is EndKind.LEASE_EXPIRED


@pytest.mark.parametrize(
    "row",
    [
        [5, 2, "", 41],
        [None, 2, "", 41],
        ["5c0e.0.1", 2, "", 41],
        ["5c0e.0.1.2.3", 2, "", 41],
        ["5c0e.0.1.-2", 2, "", 41],
        ["5c0e.0.1.1_7", 2, "", 41],
        ["5c0e.0.1. 7", 2, "", 41],
        ["5c0e.0.1.17", [], "", 41],
        ["5c0e.0.1.17", 2, ""],
    ],
)
def test_row_of_a_report_that_is_not_valid_raises_protocol_error(row):
    body = {"clock_ms": 482113, "running": [row], "finished": []}
    with pytest.raises(ProtocolError):
        decode_report(msgspec.json.encode(body), "i-1")


@pytest.mark.parametrize(("count", "lists_all_ends"), [(499, True), (500, False)])
def test_a_report_with_the_most_ends_that_fit_may_leave_out_others(
    count, lists_all_ends
):
    name = "5c0e7a21d94b36f8.0.1.17"
    body = {
        "clock_ms": 482113,
        "born": 7,
        "running": [],
        "finished": [[n + 1, name, n + 1, "stopped", ""] for n in range(count)],
    }
    report = decode_report(msgspec.json.encode(body), "i-1")
    assert report.lists_all_ends is lists_all_ends


def test_task_name_round_trips():
    task = TaskId("5c0e7a21d94b36f8", 3, 1, 17)
    assert task_from_name(task_name(task)) == task
    with pytest.raises(ProtocolError):
        task_from_name("5c0e.1.2")


@settings(derandomize=True)
@given(st.lists(st.tuples(st.text(min_size=1, max_size=40), st.binary(max_size=50))))
def test_records_round_trip(pairs):
    records = [Record(key, value) for key, value in pairs]
    assert list(decode_records(encode_records(records))) == records


def test_a_record_that_the_end_of_a_page_cuts_off_is_not_taken_for_a_whole_one():
    data = encode_records([Record("a", b"1"), Record("b", b"long value")])
    for size in range(len(data) - 1, 0, -1):
        assert decode_records(data[:size]) in ((Record("a", b"1"),), ())
