"""Tests of the HTTP server: pipelining, invalid input, slow clients and draining."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.clock import run_on_paused_clock
from siskinroad.httpd import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    serve_connection,
)


class FakeWriter:
    """Stream writer that records what is written."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        self.data += data

    async def drain(self):
        return None


async def echo(req: HttpRequest) -> HttpResponse:
    return HttpResponse(200, req.body, "text/plain")


async def exchange(chunks, limits=None, eof=True, pause=0.0):
    """Send chunks to a connection; return its output and the counted refusals."""
    reader, writer, counts = asyncio.StreamReader(), FakeWriter(), []
    serving = asyncio.create_task(
        serve_connection(reader, writer, echo, limits, counts.append)  # type: ignore
    )
    for chunk in chunks:
        reader.feed_data(chunk)
        await asyncio.sleep(pause)
    if eof:
        reader.feed_eof()
    async with asyncio.timeout(1000):
        await serving
    return writer.data, counts


def post(body, extra=b""):
    head = b"POST /x HTTP/1.1\r\nhost: t\r\ncontent-length: %d\r\n" % len(body)
    return head + extra + b"\r\n" + body


def test_pipelined_requests_are_answered_in_order():
    data, _ = run_on_paused_clock(
        exchange([post(b"one") + post(b"two") + post(b"three")])
    )
    bodies = [part.partition(b"\r\n\r\n")[2][:5] for part in data.split(b"HTTP/1.1 ")]
    assert [body.rstrip(b"HT") for body in bodies[1:]] == [b"one", b"two", b"three"]


def test_a_request_sent_byte_by_byte_is_served():
    data, counts = run_on_paused_clock(exchange([bytes([b]) for b in post(b"slow")]))
    assert data.endswith(b"slow")
    assert counts == []


@pytest.mark.parametrize(
    ("chunks", "limits", "status", "reason"),
    [
        ([b"\x16\x03\x01\x02\x00\x01"], {}, b"400", "garbage"),
        ([b"GET / HTTP/1.1\r\nhost: t\r\nx: " + b"y" * 20000], {}, b"431", "headers"),
        ([post(b"z" * 200)], {"body_bytes": 100}, b"413", "body_too_large"),
        ([post(b"whole")[:-2]], {}, b"400", "garbage"),
        ([b"GET / HTTP/1.1\r\nno colon\r\n\r\n"], {}, b"400", "garbage"),
    ],
)
def test_invalid_input_is_refused_as_not_run_and_counted(
    chunks, limits, status, reason
):
    data, counts = run_on_paused_clock(exchange(chunks, HttpLimits(**limits)))
    assert data.startswith(b"HTTP/1.1 " + status)
    assert b'"outcome":"not run"' in data
    assert counts[0].startswith(reason)


def test_slow_senders_and_idle_connections_are_closed():
    """Clients that never finish a request would use up the connections."""
    partial = post(b"never whole")[:-3]
    data, counts = run_on_paused_clock(exchange([partial], eof=False))
    assert data.startswith(b"HTTP/1.1 408")
    assert counts == ["slow_body"]
    data, counts = run_on_paused_clock(exchange([b"POST /x HT"], eof=False))
    assert counts == ["slow_headers"]
    assert run_on_paused_clock(exchange([], eof=False)) == (b"", [])


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.binary(max_size=60), max_size=5), st.integers(0, 60))
def test_any_bytes_lead_to_a_response_or_a_close(noise, cut):
    """No input may raise another error or leave the connection open."""
    good = post(b"body")
    data, _ = run_on_paused_clock(exchange([good[:cut], *noise, good[cut:]]))
    assert data == b"" or data.startswith(b"HTTP/1.1 ")


def test_a_drain_finishes_the_request_in_progress():
    async def main():
        async def respond_slowly(req):
            await asyncio.sleep(5)
            return HttpResponse(200, b"done")

        server = HttpServer(respond_slowly)
        address = await server.listen("127.0.0.1:0")
        ip, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(post(b""))
        await asyncio.sleep(1)
        await server.drain()
        data = await reader.read()
        writer.close()
        return data

    data = run_on_paused_clock(main())
    assert data.endswith(b"done")
    assert b"connection: close" in data
