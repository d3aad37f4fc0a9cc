"""The HTTP client: not-sent errors, unknown outcomes, stale connections."""

import asyncio

import pytest

from bench.clock import run_on_paused_clock
from siskinroad.cluster import free_addresses
from siskinroad.errors import NotSentError, OutcomeUnknownError
from siskinroad.http_client import HttpPool


async def serve(respond):
    """Serve the raw replies that ``respond`` returns for each request.

    None sends no reply; after one that ends in ``!``, the connection is closed, and
    ``!`` alone is not sent.
    """

    async def accept(reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            reply = respond(head)
            if reply is None:
                await asyncio.sleep(1e6)
            writer.write(b"" if reply == b"!" else reply)
            if reply.endswith(b"!"):
                writer.close()
                return

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def test_a_connection_is_reused_and_a_refused_one_raises_not_sent():
    """A refused connection proves that the request did not run."""

    async def main():
        address = await serve(lambda head: OK)
        pool = HttpPool()
        for _ in range(3):
            response = await pool.request(address, "GET", "/")
            assert response.body == b"ok"
        assert pool.opened == 1
        with pytest.raises(NotSentError):
            await pool.request(free_addresses(1)[0], "GET", "/")

    run_on_paused_clock(main())


def test_a_truncated_response_leaves_the_outcome_unknown():
    """A body cut off by a lost connection must not be returned as complete."""

    async def main():
        truncated = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut!"
        address = await serve(lambda head: truncated)
        with pytest.raises(OutcomeUnknownError):
            await HttpPool().request(address, "GET", "/")

    run_on_paused_clock(main())


def test_a_connection_closed_before_the_response_leaves_the_outcome_unknown():
    """The error must say so in words: the parser's own text named its states."""

    async def main():
        address = await serve(lambda head: b"!")
        text = "connection closed by the peer before a response"
        with pytest.raises(OutcomeUnknownError, match=text):
            await HttpPool().request(address, "GET", "/")

    run_on_paused_clock(main())


def test_an_idle_connection_that_the_peer_has_closed_is_not_used():
    """A close that the late loop has not read yet must not cost a request."""

    async def main():
        writers = []

        async def accept(reader, writer):
            writers.append(writer)
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(OK)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = HttpPool()
        await pool.request(address, "GET", "/")
        # The segment is in the client's socket; its loop has had no turn to read it.
        writers[0].write_eof()
        assert (await pool.request(address, "GET", "/")).body == b"ok"
        assert pool.opened == 2

    run_on_paused_clock(main())


def test_a_timeout_retires_the_older_connections_to_the_peer():
    """A middlebox that lost one connection may have lost all that were open then."""

    async def main():
        silent = {"now": False}
        address = await serve(lambda head: None if silent["now"] else OK)
        pool = HttpPool()
        await asyncio.gather(*(pool.request(address, "GET", "/") for _ in range(3)))
        assert pool.opened == 3
        silent["now"] = True
        with pytest.raises(OutcomeUnknownError):
            await pool.request(address, "GET", "/", timeout=2.0)
        silent["now"] = False
        assert (await pool.request(address, "GET", "/")).status == 200
        assert (pool.opened, pool.timeouts) == (4, 1)

    run_on_paused_clock(main())


def block_loop(seconds):
    """Let the paused clock pass, as a callback that takes long does."""
    asyncio.get_running_loop()._clock_selector.now += seconds


async def request_while_loop_is_late(respond):
    """Send a request with a timeout of 2 s to a peer that calls ``respond``."""

    async def accept(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        respond(writer)
        await asyncio.sleep(1e6)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    pool = HttpPool()
    response = await pool.request(address, "GET", "/", timeout=2.0)
    assert response.body == b"ok"
    assert pool.timeouts == 0


def test_a_response_received_while_the_loop_was_blocked_is_taken():
    """The loop finds the response and the timer of the timeout due at once."""

    def respond(writer):
        writer.write(OK)
        block_loop(5.0)

    run_on_paused_clock(request_while_loop_is_late(respond))


def test_a_response_that_the_late_loop_has_not_polled_is_taken():
    """It arrives while the callback before the timer runs, after the last poll."""

    def respond(writer):
        asyncio.get_running_loop().call_later(1.0, writer.write, OK)
        block_loop(5.0)

    run_on_paused_clock(request_while_loop_is_late(respond))


def test_a_timeout_that_is_not_late_fires_at_its_time():
    """A silent peer is given up at the timeout, by the loop's clock."""

    async def main():
        loop = asyncio.get_running_loop()
        address = await serve(lambda head: None)
        started_at = loop.time()
        with pytest.raises(OutcomeUnknownError, match="no answer"):
            await HttpPool().request(address, "GET", "/", timeout=2.0)
        assert loop.time() - started_at == pytest.approx(2.0)

    run_on_paused_clock(main())


def test_bytes_that_no_request_asked_for_are_not_taken_as_a_response():
    """A second response to one request would be taken as that to the next one."""

    async def main():
        replies = [OK + OK.replace(b"ok", b"no"), OK]
        address = await serve(lambda head: replies.pop(0))
        pool = HttpPool()
        for _ in range(2):
            assert (await pool.request(address, "GET", "/")).body == b"ok"
        assert pool.opened == 2

    run_on_paused_clock(main())


def test_a_request_that_is_not_valid_is_not_sent():
    """No byte of it leaves, so the error must not leave the outcome open."""

    async def main():
        address = await serve(lambda head: OK)
        with pytest.raises(NotSentError):
            await HttpPool().request(address, "GET", "/", headers=(("a b", ""),))

    run_on_paused_clock(main())


def test_a_cancelled_request_closes_its_connection():
    """Its response would otherwise be taken as that to the next request."""

    async def main():
        address = await serve(lambda head: None if b"/silent" in head else OK)
        pool = HttpPool()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                await pool.request(address, "GET", "/silent")
        assert (await pool.request(address, "GET", "/")).body == b"ok"
        assert pool.opened == 2

    run_on_paused_clock(main())


def test_a_large_request_and_response_arrive_whole():
    """Bodies beyond the buffers of the sockets are sent and received in parts."""

    async def main():
        async def accept(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            body = await reader.readexactly(5_000_000)
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
            writer.write(head + body)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        body = bytes(range(250)) * 20_000
        response = await HttpPool().request(address, "POST", "/", body=body)
        assert response.body == body
        assert response.headers == {"content-length": "5000000"}

    run_on_paused_clock(main())


def test_a_response_without_a_length_ends_with_its_connection():
    """The close is its end; the connection is not used again."""

    async def main():
        address = await serve(lambda head: b"HTTP/1.1 200 OK\r\n\r\nall!")
        pool = HttpPool()
        for opened in (1, 2):
            assert (await pool.request(address, "GET", "/")).body == b"all!"
            assert pool.opened == opened

    run_on_paused_clock(main())


def test_connections_to_a_peer_are_limited():
    """A request beyond the limit must fail as not sent, so it may be sent again."""

    async def main():
        address = await serve(lambda head: None)
        pool = HttpPool(max_connections_per_peer=1)
        first = asyncio.create_task(pool.request(address, "GET", "/", timeout=3.0))
        await asyncio.sleep(1)
        with pytest.raises(NotSentError, match="too many"):
            await pool.request(address, "GET", "/")
        with pytest.raises(OutcomeUnknownError):
            await first

    run_on_paused_clock(main())


def test_connections_are_not_reused_after_a_request_that_its_caller_gave_up():
    """A caller's own time limit ends a request on a path that has lost its state."""

    async def main():
        silent = {"now": False}
        address = await serve(lambda head: None if silent["now"] else OK)
        pool = HttpPool()
        requests = [pool.request(address, "GET", "/") for _ in range(2)]
        await asyncio.gather(*requests)
        assert pool.opened == 2
        silent["now"] = True
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await pool.request(address, "GET", "/")
        silent["now"] = False
        await pool.request(address, "GET", "/")
        assert pool.opened == 3

    run_on_paused_clock(main())
