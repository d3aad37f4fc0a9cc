"""Odd entries that another writer leaves among those of the executors.

Such an entry names no host to use, and the others hold: no daemon may end, and no owner
may stop, because of it.
"""

import asyncio

import pytest
from siskinroad_platform.wire import (
    MAX_AMOUNT,
    PlatformDecoder,
    decode_job,
    decode_report,
)

from siskinroad.errors import ProtocolError
from siskinroad.work.hosts_memory import MemoryHost
from siskinroad.work.store import Record
from tests.work.cell import POOL, PlainDecoder, job, step
from tests.work.cell import entry as cell_entry
from tests.work.test_daemon import JOB_ID, run_scenario

NESTED = b"[" * 100_000 + b"]" * 100_000
NINES = b"9" * 400
HOST_KEY = "odd"


def entry(**fields):
    """Return an entry of the platform's list; values are JSON text."""
    known = {
        "service": b'"%s"' % POOL.encode(),
        "address": b'"10.0.0.1:8500"',
        "zone": b'"z-1"',
        "state": b'"ready"',
        "capacity": b'{"cpu":32000,"mem_mb":64000}',
        "labels": b'["a","r1"]',
    } | fields
    parts = [b'"%s":%s' % (name.encode(), value) for name, value in known.items()]
    return b"{" + b",".join(parts) + b"}"


ODD_ENTRIES = {
    "nested": NESTED,
    "nested in a field": entry(capacity=NESTED),
    "nested in an unknown field": entry(other=NESTED),
    "cpu of 400 digits": entry(capacity=b'{"cpu":%s,"mem_mb":1}' % NINES),
    "cpu of 30 digits": entry(capacity=b'{"cpu":%s,"mem_mb":1}' % NINES[:30]),
    "memory of 400 digits": entry(capacity=b'{"cpu":1,"mem_mb":%s}' % NINES),
    "accelerators of 400 digits": entry(
        capacity=b'{"cpu":1,"mem_mb":1,"gpu":%s}' % NINES
    ),
    "negative capacity": entry(capacity=b'{"cpu":-1,"mem_mb":1}'),
    "stay of 1e308 ms": entry(remaining_ms=b"1e308", state=b'"draining"'),
    "stay of 1e20 ms": entry(remaining_ms=b"1e20"),
    "stay of 400 digits": entry(remaining_ms=NINES),
    "port 0": entry(address=b'"10.0.0.1:0"'),
    "port 65536": entry(address=b'"10.0.0.1:65536"'),
    "port of 13 digits": entry(address=b'"10.0.0.1:0000019999999"'),
    "port of 5,000 digits": entry(address=b'"10.0.0.1:%s"' % (b"9" * 5000)),
    "negative port": entry(address=b'"10.0.0.1:-1"'),
    "not UTF-8": entry(zone=b'"\xff"'),
    "empty": b"",
}


def decode(value):
    return PlatformDecoder().decode_host(HOST_KEY, value)


@pytest.mark.parametrize("value", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_an_odd_entry_names_no_host(value):
    assert decode(value) is None


def test_the_largest_amounts_and_a_stay_that_is_over_are_taken():
    capacity = b'{"cpu":%d,"mem_mb":%d}' % (MAX_AMOUNT, MAX_AMOUNT)
    assert decode(entry(capacity=capacity)).capacity.cpu_milli == MAX_AMOUNT
    assert decode(entry(remaining_ms=b"-1", state=b'"draining"')).min_stay_s == 0.0


class MixedDecoder(PlainDecoder):
    """The cell's decoder, with the platform's for the odd entry."""

    def decode_host(self, key, value):
        if key == HOST_KEY:
            return decode(value)
        return super().decode_host(key, value)


@pytest.mark.parametrize("value", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_an_odd_entry_stops_no_owner(value):
    # Guards against "the machines that read the list ended again and again": a capacity
    # of 400 digits ended each owner in its first planning pass.
    async def scenario(cell):
        cell.decoder = MixedDecoder()
        cell.hosts.add(MemoryHost(cell_entry(HOST_KEY)))
        await cell.start_daemons("a", "b", "c")
        cell.logs.append("keyed.list", [Record(HOST_KEY, value)], None, None)
        await asyncio.sleep(1.0)
        former = cell.owner()
        await cell.submit("a", JOB_ID, job(step(24)))
        await cell.wait_for_state(JOB_ID, "complete")
        assert cell.owner() == former is not None
        await cell.kill(former)
        await cell.wait_for_owner()
        assert cell.owner() is not None

    run_scenario(scenario)


@pytest.mark.parametrize(
    "fields",
    [{"cpu": 10**400}, {"count": 10**30}, {"estimated_ms": 1e308}, {"gpu": -(10**30)}],
)
def test_a_job_with_a_number_too_large_is_refused(fields):
    numbers = ",".join(f'"{name}":{value}' for name, value in fields.items())
    odd_step = b'{"count":1,"cpu":1,"mem_mb":1,%s}' % numbers.encode()
    body = b'{"spec":"x","phases":[%s]}' % odd_step
    with pytest.raises(ProtocolError):
        decode_job(body)


def test_a_checkpoint_that_is_too_long_to_store_counts_as_none():
    rows = b'[["5c0e7a21d94b36f8.0.0.1",1,"%s",41]]'
    body = b'{"clock_ms":1,"running":%s,"finished":[]}'
    report = decode_report(body % (rows % (b"c" * 300_000)), "i-1")
    assert report.running[0].checkpoint == ""
    assert decode_report(body % (rows % b"0bb8"), "i-1").running[0].checkpoint == "0bb8"
