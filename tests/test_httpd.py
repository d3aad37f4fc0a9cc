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
from siskinroad.receive_budget import ReceiveBudget


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


def test_a_request_is_served_beside_pipelined_ones():
    handled = []

    async def note(req):
        handled.append(req.path)
        return HttpResponse(200)

    async def main():
        server = HttpServer(note)
        ip, _, port = (await server.listen("127.0.0.1:0")).partition(":")
        first = await asyncio.open_connection(ip, int(port))
        second = await asyncio.open_connection(ip, int(port))
        first[1].write(b"GET /first HTTP/1.1\r\nhost: t\r\n\r\n" * 50)
        second[1].write(b"GET /second HTTP/1.1\r\nhost: t\r\n\r\n")
        async with asyncio.timeout(30):
            while handled.count("/first") < 50 or "/second" not in handled:
                await asyncio.sleep(0.01)
        await server.close()

    asyncio.run(main())
    assert handled.index("/second") < 10


def test_an_announced_body_over_the_limit_is_refused_before_it_is_read():
    """Also behind ``Expect: 100-continue``, which must not be answered with 100."""
    for extra in (b"", b"expect: 100-continue\r\n"):
        head = b"POST /x HTTP/1.1\r\nhost: t\r\ncontent-length: 101\r\n" + extra
        limits = HttpLimits(body_bytes=100)
        data, counts = run_on_paused_clock(
            exchange([head + b"\r\n"], limits, eof=False)
        )
        assert data.startswith(b"HTTP/1.1 413")
        assert counts == ["body_too_large"]


def run_server(scenario, **settings):
    """Run a scenario with a server that echoes, and return what it counted."""
    counts = []

    async def main():
        server = HttpServer(echo, count_refusal=counts.append, **settings)
        address = await server.listen("127.0.0.1:0")
        ip, _, port = address.partition(":")
        try:
            async with asyncio.timeout(30):
                await scenario(lambda: asyncio.open_connection(ip, int(port)))
        finally:
            await server.close()

    asyncio.run(main())
    return counts


async def ask(connect, body=b"hello"):
    reader, writer = await connect()
    writer.write(post(body))
    data = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return data


async def is_closed(reader):
    try:
        return await reader.read(1) == b""
    except ConnectionError:
        return True


def test_a_new_connection_replaces_the_one_that_is_idle_for_longest():
    async def scenario(connect):
        first, second = await connect(), await connect()
        assert (await ask(connect)).startswith(b"HTTP/1.1 200")
        assert await is_closed(first[0])
        second[1].write(post(b"still served"))
        assert (await second[0].readline()).startswith(b"HTTP/1.1 200")

    counts = run_server(scenario, limits=HttpLimits(connections=2))
    assert counts.count("gave_way") >= 1


def test_a_body_limit_by_path_is_applied_before_the_body_is_read():
    async def scenario(connect):
        assert (await ask(connect, b"y" * 50)).startswith(b"HTTP/1.1 200")
        assert (await ask(connect, b"y" * 51)).startswith(b"HTTP/1.1 413")

    run_server(scenario, body_limit=lambda method, path: 50 if path == "/x" else 0)


def test_pipelined_requests_take_turns_with_those_of_other_connections():
    served = []

    async def note(req):
        served.append(req.path)
        return HttpResponse(200)

    async def serve(data):
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        await serve_connection(reader, FakeWriter(), note)  # type: ignore

    async def main():
        one = post(b"").replace(b"/x", b"/one")
        await asyncio.gather(serve(post(b"") * 100), serve(one))

    run_on_paused_clock(main())
    assert len(served) == 101
    assert served.index("/one") <= 2


def test_a_response_that_is_not_read_holds_no_body_and_no_place():
    async def scenario(connect):
        reader, writer = await connect()
        writer.write(post(b"z" * 20_000_000))
        await writer.drain()
        assert await reader.readexactly(8) == b"HTTP/1.1"
        assert budget.used == 0
        assert (await ask(connect)).startswith(b"HTTP/1.1 200")
        writer.transport.abort()

    budget = ReceiveBudget(30_000_000)
    limits = HttpLimits(connections=1, body_bytes=30_000_000)
    counts = run_server(scenario, limits=limits, budget=budget)
    assert "gave_way" in counts


def test_the_oldest_incomplete_body_gives_way_when_the_budget_is_used_up():
    """It is closed without an answer: an earlier try of the request may have run."""

    async def scenario(connect):
        reader, writer = await connect()
        writer.write(post(b"z" * 60_000)[:-1])
        await writer.drain()
        await asyncio.sleep(0.1)
        assert (await ask(connect, b"y" * 60_000)).startswith(b"HTTP/1.1 200")
        assert await is_closed(reader)
        assert (await ask(connect)).startswith(b"HTTP/1.1 200")

    budget = ReceiveBudget(70_000)
    counts = run_server(scenario, budget=budget)
    assert counts.count("gave_way") == 1
    assert budget.used == 0
