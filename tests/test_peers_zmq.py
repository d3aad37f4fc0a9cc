"""The ZeroMQ transport over loopback sockets: delivery, keys and lost connections."""

import asyncio

import zmq

from siskinroad.cluster import free_addresses
from siskinroad.messages import ForwardAck
from siskinroad.peers_zmq import ZmqTransport, generate_keys
from siskinroad.settings import Peer, Settings

# Messages sent, 50 ms apart, before a missing delivery counts as a failure.
MAX_SENDS = 1000
# Messages sent, 50 ms apart, before a peer counts as rejected (2 s).
REJECTED_SENDS = 40


def open_transport(name, address, peers, keys=("", ""), bulk_types=()):
    cfg = Settings(
        name,
        "d",
        "r",
        peer_address=address,
        peers=peers,
        public_key=keys[0],
        secret_key=keys[1],
    )
    received = []
    transport = ZmqTransport(cfg, bulk_types=bulk_types)
    transport.receiver = lambda peer, msg: received.append((peer, msg.id))
    transport.open()
    return transport, received


async def send_until_received(received, sender, name, max_sends=MAX_SENDS):
    """Send messages until one is received; return whether one was."""
    for number in range(max_sends):
        sender.send(name, ForwardAck(str(number)))
        await asyncio.sleep(0.05)
        if received:
            return True
    return False


def test_messages_are_delivered_with_and_without_keys():
    """Messages arrive in both directions; one to an unknown peer counts as unsent."""

    async def main(with_keys):
        address_a, address_b = free_addresses(2)
        keys = [generate_keys() if with_keys else ("", "") for _ in range(2)]
        a, received_a = open_transport(
            "a", address_a, (Peer("b", address_b, "d", "r", keys[1][0]),), keys[0]
        )
        b, received_b = open_transport(
            "b", address_b, (Peer("a", address_a, "d", "r", keys[0][0]),), keys[1]
        )
        assert await send_until_received(received_b, a, "b")
        assert await send_until_received(received_a, b, "a")
        assert received_b[0][0] == "a"
        a.send("nobody", ForwardAck("x"))
        assert a.unsent_count == 1
        await a.close()
        await b.close()

    asyncio.run(main(False))
    asyncio.run(main(True))


def test_messages_from_a_peer_with_an_unknown_key_are_rejected():
    """A process that holds no allowed key must not reach a daemon's receiver."""

    async def main():
        address_a, address_b = free_addresses(2)
        known_keys, own_keys, unknown_keys = (
            generate_keys(),
            generate_keys(),
            generate_keys(),
        )
        b, received_b = open_transport(
            "b", address_b, (Peer("a", address_a, "d", "r", known_keys[0]),), own_keys
        )
        a, _ = open_transport(
            "a", address_a, (Peer("b", address_b, "d", "r", own_keys[0]),), unknown_keys
        )
        assert not await send_until_received(received_b, a, "b", REJECTED_SENDS)
        await a.close()
        await b.close()

    asyncio.run(main())


def test_undecodable_messages_are_counted_and_dropped():
    """A message that cannot be decoded must not end the receive loop."""

    async def main():
        address_a, address_b = free_addresses(2)
        a, _ = open_transport("a", address_a, (Peer("b", address_b, "d", "r"),))
        b, received_b = open_transport("b", address_b, ())
        assert await send_until_received(received_b, a, "b")
        a._dealers["b"].send(b"\xff\x00noise")
        received_b.clear()
        assert await send_until_received(received_b, a, "b")
        assert b.undecodable_count == 1
        await a.close()
        await b.close()

    asyncio.run(main())


def test_closing_a_peer_is_reported_and_its_port_refuses_connections():
    """A daemon learns that a peer has ended from its lost connection and a probe."""

    async def main():
        address_a, address_b = free_addresses(2)
        a, _ = open_transport("a", address_a, (Peer("b", address_b, "d", "r"),))
        b, received_b = open_transport("b", address_b, ())
        lost_peers = []
        a.disconnected = lost_peers.append
        assert await send_until_received(received_b, a, "b")
        assert await a.probe("b") == "listens"
        await b.close()
        while not lost_peers:
            await asyncio.sleep(0.01)
        assert lost_peers == ["b"]
        assert await a.probe("b") == "refuses"
        assert await a.probe("nobody") == "silent"
        await a.close()

    asyncio.run(main())


def test_a_new_incarnation_is_reached_without_the_reconnect_pause():
    """``update_peer`` must replace a lost connection.

    ZeroMQ's pause between connection attempts grows while the peer is down, which
    would delay the first messages to its new incarnation.
    """

    async def main():
        address_a, address_b = free_addresses(2)
        peer = Peer("b", address_b, "d", "r")
        a, _ = open_transport("a", address_a, (peer,))
        b, received_b = open_transport("b", address_b, ())
        assert await send_until_received(received_b, a, "b")
        await b.close()
        while "b" not in a._lost_peers:
            await asyncio.sleep(0.01)
        lost_dealer = a._dealers["b"]
        b, received_b = open_transport("b", address_b, ())
        a.update_peer(peer)
        a.send("b", ForwardAck("x"))
        assert a._dealers["b"] is not lost_dealer
        assert await send_until_received(received_b, a, "b")
        await a.close()
        await b.close()

    asyncio.run(main())


def open_unread_socket():
    """Return a socket that takes few messages until it is read, and its address."""
    context = zmq.Context()
    sock = context.socket(zmq.ROUTER)
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.RCVHWM, 1)
    sock.setsockopt(zmq.RCVBUF, 64 << 10)
    sock.bind("tcp://127.0.0.1:0")
    address = sock.getsockopt_string(zmq.LAST_ENDPOINT).removeprefix("tcp://")
    return sock, address


async def receive(sock):
    """Return the identity of the sender and the length of the next message."""
    while not sock.poll(0):
        await asyncio.sleep(0.005)
    identity, data = sock.recv_multipart()
    return identity.decode(), len(data)


def test_long_replies_to_a_peer_that_does_not_read_are_bounded_and_delay_nothing():
    """A process grew by 300 MB, and its heartbeats waited behind such replies."""

    async def main():
        sock, address = open_unread_socket()
        peer = Peer("b", address, "d", "r")
        a, _ = open_transport("a", free_addresses(1)[0], (peer,), ("", ""), ForwardAck)
        for _ in range(40):
            a.send("b", ForwardAck("x" * (1 << 20)))
            await asyncio.sleep(0.01)
        assert sum(a.traffic.bytes_sent.values()) < 8 << 20
        assert a.unsent_count > 30
        a.send("b", ForwardAck("short"))
        await asyncio.sleep(0.2)
        async with asyncio.timeout(20.0):
            received = [await receive(sock) for _ in range(3)]
        assert [identity for identity, size in received if size < 100] == ["a"]
        await a.close()
        sock.context.destroy(linger=0)

    asyncio.run(main())


def test_a_long_reply_names_its_sender_after_a_restart_of_the_receiver_too():
    """It comes by a connection of its own, which has another identity."""

    async def main():
        address_a, address_b = free_addresses(2)
        peer = Peer("b", address_b, "d", "r")
        a, _ = open_transport("a", address_a, (peer,), ("", ""), ForwardAck)
        for _ in range(2):
            b, received = open_transport("b", address_b, ())
            while not received:
                a.send("b", ForwardAck("x" * (1 << 20)))
                await asyncio.sleep(0.05)
            assert received[0][0] == "a"
            await b.close()
        await a.close()

    asyncio.run(main())


async def open_middlebox(target):
    """Forward connections to ``target``; those in the returned set go silent."""
    host, _, port = target.rpartition(":")
    connections, silent = set(), set()

    async def forward(connection, reader, writer):
        while data := await reader.read(65536):
            if connection not in silent:
                writer.write(data)

    async def accept(reader, writer):
        connections.add(writer)
        out_reader, out_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            forward(writer, reader, out_writer),
            forward(writer, out_reader, writer),
            return_exceptions=True,
        )

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    return server, address, connections, silent


def test_a_connection_that_goes_silent_for_good_is_replaced():
    """Its bytes are lost without an end of the connection; a new one works."""

    async def main():
        address_a, address_b = free_addresses(2)
        server, middlebox, connections, silent = await open_middlebox(address_b)
        a, _ = open_transport("a", address_a, (Peer("b", middlebox, "d", "r", ""),))
        b, received = open_transport("b", address_b, (Peer("a", address_a, "d", "r"),))
        assert await send_until_received(received, a, "b")
        silent.update(connections)
        await asyncio.sleep(0.1)
        received.clear()
        assert await send_until_received(received, a, "b")
        assert len(connections) > len(silent)
        await a.close()
        await b.close()
        server.close()

    asyncio.run(main())
