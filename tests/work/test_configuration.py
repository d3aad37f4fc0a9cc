"""Tests of the lookup of queues in a configuration of thousands."""

from dataclasses import replace

from siskinroad.work.model import Configuration
from tests.work.cell import FAST, POOL


class CountedPath(str):
    """Path that counts how often a part of it is compared or taken."""

    parts = 0

    def __getitem__(self, key):
        self.parts += 1
        return str(self)[key]

    def startswith(self, *args):
        self.parts += 1
        return str(self).startswith(*args)


def make_configuration(*prefixes, virtual_host="h"):
    queues = tuple(
        replace(FAST, name=f"q-{i}", prefix=prefix, virtual_host=virtual_host)
        for i, prefix in enumerate(prefixes)
    )
    return Configuration(1, queues, (POOL,), 1 << 18)


def test_the_longest_matching_prefix_wins():
    configuration = make_configuration("/a/", "/a/b/", "/", "/a/b/c/d/")
    for path, name in (
        ("/a/b/c", "q-1"),
        ("/a/x", "q-0"),
        ("/x", "q-2"),
        ("/a/b/c/d/", "q-3"),
    ):
        assert configuration.find_queue("h", path).name == name
    assert configuration.find_queue("other", "/a/") is None
    assert make_configuration("/a/").find_queue("h", "/") is None


def test_the_first_of_two_equal_routes_wins():
    assert make_configuration("/a/", "/a/").find_queue("h", "/a/1").name == "q-0"


def test_a_lookup_does_not_examine_every_route():
    # The configuration grows by thousands of routes on one virtual host.
    prefixes = [f"/r{i:x}/" for i in range(5000)]
    configuration = make_configuration(*prefixes)
    path = CountedPath("/r1387/0000000000000001")
    assert configuration.find_queue("h", path).prefix == "/r1387/"
    assert path.parts <= len({len(prefix) for prefix in prefixes})
