import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.world import small_cell
from siskinroad.configuration import Configuration
from siskinroad.deltas import apply_delta, make_delta
from siskinroad.errors import ConfigError, ProtocolError
from siskinroad.records import decode_batch, encode_batch
from siskinroad.snapshots import split_snapshot

TEXTS = st.lists(st.sampled_from(["a\n", "b\n", "c", ""]), max_size=8).map("".join)


@settings(derandomize=True, deadline=None)
@given(TEXTS, TEXTS)
def test_applying_a_delta_yields_the_new_text(old, new):
    assert apply_delta(old, make_delta(old, new)) == new


def _cell_text(number):
    return small_cell() + f"# {number}\n"


def test_only_the_first_of_two_successors_is_applied():
    one, two = Configuration(), Configuration()
    first = one.make_revision(_cell_text(1), "k1")
    second = two.make_revision(_cell_text(2), "k2")
    for config in (one, two):
        assert config.apply(1, [first])
        assert not config.apply(2, [second])
        assert (config.revision, config.key) == (1, "k1")
        assert config.was_applied("k1")
        assert not config.was_applied("k2")


def test_a_revision_record_holds_only_the_changed_lines():
    config = Configuration()
    config.apply(1, [config.make_revision(_cell_text(1), "k1")])
    record = config.make_revision(_cell_text(2), "k2")
    assert len(encode_batch("a", [record])) < 150


def test_an_older_revision_from_a_snapshot_or_peer_is_ignored():
    old, new = Configuration(), Configuration()
    for config in (old, new):
        config.apply(1, [config.make_revision(_cell_text(1), "k1")])
    new.apply(2, [new.make_revision(_cell_text(2), "k2")])
    assert not new.apply_if_newer(old.complete_revision())
    assert not new.apply(3, list(split_snapshot("s", 2, old.encode())))
    assert new.revision == 2
    assert old.apply_if_newer(new.complete_revision())
    assert old.text == _cell_text(2)


def test_an_invalid_revision_in_the_log_is_rejected():
    config = Configuration()
    config.apply(1, [config.make_revision(_cell_text(1), "k1")])
    assert not config.apply(2, [config.make_revision("name = 3", "k2")])
    moved = small_cell().replace('data_centre = "west-1"', 'data_centre = "east-1"')
    assert not config.apply(3, [config.make_revision(moved, "k3")])
    with pytest.raises(ConfigError):
        config.apply_if_newer(
            config.complete_revision().__class__(9, "name = 3", "k", 9)
        )
    assert config.revision == 1


def test_a_newer_format_version_raises():
    data = encode_batch("a", []).replace(b"\xa7version\x01", b"\xa7version\x02")
    with pytest.raises(ProtocolError, match="version 2"):
        decode_batch(data)
