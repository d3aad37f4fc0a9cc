"""Peers over real sockets: messages arrive, unknown keys do not."""

import asyncio

from siskinroad.cluster import free_addresses
from siskinroad.messages import ForwardAck
from siskinroad.peers_zmq import ZmqPeers, new_keys
from siskinroad.settings import Peer, Settings

TRIES = 1000
REFUSED_TRIES = 40


def link(name, address, peers, keys=("", "")):
    cfg = Settings(
        name,
        "d",
        "r",
        peer_address=address,
        peers=peers,
        public_key=keys[0],
        secret_key=keys[1],
    )
    got = []
    peers_ = ZmqPeers(cfg)
    peers_.receiver = lambda peer, msg: got.append((peer, msg.id))
    peers_.open()
    return peers_, got


async def until(got, sender, name, tries=TRIES):
    for number in range(tries):
        sender.send(name, ForwardAck(str(number)))
        await asyncio.sleep(0.05)
        if got:
            return True
    return False


def test_messages_arrive_with_and_without_keys():
    async def main(keyed):
        one, two = free_addresses(2)
        keys = [new_keys() if keyed else ("", "") for _ in range(2)]
        a, got_a = link("a", one, (Peer("b", two, "d", "r", keys[1][0]),), keys[0])
        b, got_b = link("b", two, (Peer("a", one, "d", "r", keys[0][0]),), keys[1])
        assert await until(got_b, a, "b")
        assert await until(got_a, b, "a")
        assert got_b[0][0] == "a"
        a.send("nobody", ForwardAck("x"))
        assert a.unsent == 1
        await a.close()
        await b.close()

    asyncio.run(main(False))
    asyncio.run(main(True))


def test_a_peer_with_an_unknown_key_is_not_heard():
    async def main():
        one, two = free_addresses(2)
        good, own, stranger = new_keys(), new_keys(), new_keys()
        b, got_b = link("b", two, (Peer("a", one, "d", "r", good[0]),), own)
        a, _ = link("a", one, (Peer("b", two, "d", "r", own[0]),), stranger)
        assert not await until(got_b, a, "b", REFUSED_TRIES)
        await a.close()
        await b.close()

    asyncio.run(main())


def test_noise_on_the_socket_is_counted_and_dropped():
    async def main():
        one, two = free_addresses(2)
        a, _ = link("a", one, (Peer("b", two, "d", "r"),))
        b, got_b = link("b", two, ())
        assert await until(got_b, a, "b")
        await a._dealers["b"].send(b"\xff\x00noise")
        got_b.clear()
        assert await until(got_b, a, "b")
        assert b.undecodable == 1
        await a.close()
        await b.close()

    asyncio.run(main())


def test_the_end_of_a_peer_is_told_and_nothing_listens_there_then():
    async def main():
        one, two = free_addresses(2)
        a, _ = link("a", one, (Peer("b", two, "d", "r"),))
        b, got_b = link("b", two, ())
        ended = []
        a.disconnected = ended.append
        assert await until(got_b, a, "b")
        assert await a.probe("b") == "listens"
        await b.close()
        while not ended:
            await asyncio.sleep(0.01)
        assert ended == ["b"]
        assert await a.probe("b") == "refuses"
        assert await a.probe("nobody") == "silent"
        await a.close()

    asyncio.run(main())


def test_a_peer_s_new_life_is_reached_without_the_pause_between_attempts():
    async def main():
        one, two = free_addresses(2)
        peer = Peer("b", two, "d", "r")
        a, _ = link("a", one, (peer,))
        b, got_b = link("b", two, ())
        assert await until(got_b, a, "b")
        await b.close()
        while "b" not in a._broken:
            await asyncio.sleep(0.01)
        old = a._dealers["b"]
        b, got_b = link("b", two, ())
        a.add_peer(peer)
        a.send("b", ForwardAck("x"))
        assert a._dealers["b"] is not old
        assert await until(got_b, a, "b")
        await a.close()
        await b.close()

    asyncio.run(main())
