"""Malformed input for every decoder: only the expected errors may come out.

An unexpected error in a reply of a host or the advisor would end the owner of a pool,
one in a record of the store the loop that reads it.
"""

import asyncio
import random

import msgspec
import pytest
from siskinroad_platform.advisor import PlatformAdvisor
from siskinroad_platform.callers import _parse_timeout
from siskinroad_platform.hosts import PlatformHosts
from siskinroad_platform.settings import load_settings
from siskinroad_platform.store import PlatformStore, encode_records
from siskinroad_platform.wire import PlatformDecoder, decode_job, decode_report

from siskinroad.errors import (
    ConfigError,
    NotSentError,
    ProtocolError,
    SiskinroadError,
)
from siskinroad.http_client import ClientResponse, HttpPool
from siskinroad.httpd import HttpRequest
from siskinroad.work import messages
from siskinroad.work.records import Accepted, decode_stored, encode_stored
from siskinroad.work.store import Record
from tests.platform.fake_platform import CONFIG, server_entry
from tests.platform.test_hosts import START
from tests.platform.test_wire import JOB
from tests.work.cell import job
from tests.work.test_messages import LATER

SEEDS = range(400)
DEEP = b"[" * 5000
ODD_VALUES = (
    b"null",
    b"-1",
    b"1e400",
    b"1e300",
    b"9" * 400,
    b'""',
    b"[]",
    b"{}",
    b'"\\ud800"',
    b"true",
    b"[[[]]]",
    DEEP,
)
REPORT = {
    "clock_ms": 482113,
    "born": 9,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "0bb8", 41, 120]],
    "finished": [[58, "5c0e7a21d94b36f8.0.1.18", 1, "done", ""]],
}
ADVICE = {"allowed": [["i-1", "ticket"], ["i-2", "other"]], "valid_ms": 2000}
NEWEST = {
    "items": [{"key": "a", "value": "AAAA", "offset": 3}],
    "end_offset": 4,
    "has_more": False,
}
SETTINGS = b"""
node_name = "a"
zone = "z"
region = "r"
ip = "10.0.0.1"
port_range = [7380, 7395]
[listen]
frontend = "10.0.0.1:80"
ready = "10.0.0.1:81"
[platform]
address = "10.0.0.2:80"
[bounds]
grace_s = 6
"""


def mutate(rng, data):
    """Return a malformed copy of valid input."""
    data = bytearray(data)
    for _ in range(rng.randrange(1, 4)):
        at = rng.randrange(len(data) + 1)
        match rng.randrange(6):
            case 0:
                del data[at:]
            case 1:
                data[at : at + 1] = bytes([rng.randrange(256)])
            case 2:
                del data[at : at + rng.randrange(1, 8)]
            case 3:
                data[at:at] = data[: rng.randrange(40)]
            case 4:
                data[at:at] = rng.choice(ODD_VALUES)
            case 5:
                data = bytearray(replace_value(rng, bytes(data)))
    return bytes(data)


def replace_value(rng, data):
    """Replace what stands between two separators by an odd value."""
    places = [i for i, byte in enumerate(data) if byte in b":,["]
    if not places:
        return data
    begin = rng.choice(places) + 1
    end = begin
    while end < len(data) and data[end] not in b",]}":
        end += 1
    return data[:begin] + rng.choice(ODD_VALUES) + data[end:]


class AnyReply:
    """HTTP client that returns one body to every request."""

    def __init__(self, body, status=200):
        self.response = ClientResponse(status, {}, body)

    async def request(self, *args, **kwargs):
        return self.response


def check(decode, data, expected):
    try:
        return decode(data)
    except expected:
        return None


@pytest.mark.parametrize(
    ("decode", "valid", "expected"),
    [
        (decode_job, msgspec.json.encode(JOB), ProtocolError),
        (
            lambda data: decode_report(data, "i-1"),
            msgspec.json.encode(REPORT),
            ProtocolError,
        ),
        (
            lambda data: PlatformDecoder().decode_host("i-1", data),
            msgspec.json.encode(server_entry("10.0.0.1:80")),
            (),
        ),
        (
            lambda data: PlatformDecoder().decode_configuration("config", data),
            msgspec.json.encode(CONFIG),
            ProtocolError,
        ),
        (messages.decode, messages.encode(LATER), ProtocolError),
        (
            decode_stored,
            encode_stored(Accepted("a", "q", "p", 1.0, job())),
            ProtocolError,
        ),
    ],
    ids=["job", "report", "host", "configuration", "message", "record"],
)
def test_decoders_raise_only_what_their_callers_expect(decode, valid, expected):
    assert decode(valid) is not None
    for seed in SEEDS:
        check(decode, mutate(random.Random(seed), valid), expected)


@pytest.mark.parametrize(
    ("call", "valid"),
    [
        (lambda http: PlatformHosts(http).start(START), b'{"clock_ms":1,"born":9}'),
        (
            lambda http: PlatformHosts(http).renew_lease("i-1", "a", 7, 0, None, 0.0),
            msgspec.json.encode(REPORT),
        ),
        (
            lambda http: PlatformAdvisor("a", http).advise("a", 0, 0, ["i-1"], 1.0),
            msgspec.json.encode(ADVICE),
        ),
        (
            lambda http: PlatformStore("a", http).newest("t"),
            msgspec.json.encode(NEWEST),
        ),
        (
            lambda http: PlatformStore("a", http).read("t", 0, wait=0.0),
            bytes(15) + b"\x02" + bytes(8) + encode_records([Record("k", b"value")]),
        ),
        (
            lambda http: PlatformStore("a", http).append("t", []),
            b'{"offset":3,"end_offset":4}',
        ),
    ],
    ids=["start", "renewal", "advice", "newest", "read", "append"],
)
@pytest.mark.parametrize("status", [200, 409, 410, 412])
def test_replies_raise_only_errors_of_this_project(call, valid, status):
    async def main():
        for seed in SEEDS:
            body = mutate(random.Random(seed), valid)
            try:
                await call(AnyReply(body, status))
            except SiskinroadError:
                pass

    asyncio.run(main())


def test_settings_that_cannot_be_read_are_a_configuration_error(tmp_path):
    path = tmp_path / "local.toml"
    for seed in SEEDS:
        path.write_bytes(mutate(random.Random(seed), SETTINGS))
        check(load_settings, str(path), ConfigError)
    for odd in (b"\xff\xfe", b"a = " + DEEP, b"bounds = {grace_s = " + b"9" * 400):
        path.write_bytes(odd)
        with pytest.raises(ConfigError):
            load_settings(str(path))
    path.write_bytes(SETTINGS.replace(b"grace_s = 6", b"grace_s = " + b"9" * 400))
    with pytest.raises(ConfigError):
        load_settings(str(path))


@pytest.mark.parametrize("text", ["9" * 5000, "9" * 400, "-1", "1e9", "٣", ""])
def test_an_odd_deadline_of_a_caller_is_replaced(text):
    req = HttpRequest("GET", "/", "", {"deadline-ms": text}, b"")
    assert 0.0 < _parse_timeout(req) <= 3600.0


def test_a_checkpoint_that_is_no_text_makes_a_report_undecodable():
    # It would be stored with the job, whose record could not be read again.
    for row in (["a.0.0.0", 1, 7, 41], ["a.0.0.0", 1, None, 41]):
        body = msgspec.json.encode(REPORT | {"running": [row]})
        with pytest.raises(ProtocolError):
            decode_report(body, "i-1")
    body = msgspec.json.encode(REPORT | {"finished": [[1, "a.0.0.0", 1, "done", {}]]})
    with pytest.raises(ProtocolError):
        decode_report(body, "i-1")


def test_a_job_of_too_many_occurrences_is_refused():
    # All that are due are opened at once, in the memory of the owner.
    body = JOB | {"repeat_count": 10**12, "start_at_ms": 0, "interval_ms": 0}
    with pytest.raises(ProtocolError):
        decode_job(msgspec.json.encode(body))


ODD_ADDRESSES = (
    "nonsense",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:x",
    "10.0.0.1:99999",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1:" + "9" * 5000,
    "10.0.0.1:\u0663",
    "10.0.0.999:80",
    "a:b:c",
    ":80",
    "",
    "10.0.0.1:80\r\nx: y",
)


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=range(len(ODD_ADDRESSES)))
def test_an_entry_of_another_writer_with_an_odd_address_names_no_host(address):
    # The first renewal of its lease would end the owner of the pool.
    entry = msgspec.json.encode(server_entry(address))
    assert PlatformDecoder().decode_host("i-1", entry) is None


@pytest.mark.parametrize("address", ["nonsense", "127.0.0.1:99999", "127.0.0.1:-1", ""])
def test_a_request_to_an_odd_address_is_not_sent(address):
    async def main():
        with pytest.raises(NotSentError):
            await HttpPool().request(address, "GET", "/")

    asyncio.run(main())


def test_a_host_of_negative_capacity_is_not_used():
    entry = server_entry("10.0.0.1:80", cpu=-1)
    body = msgspec.json.encode(entry)
    assert PlatformDecoder().decode_host("i-1", body) is None
