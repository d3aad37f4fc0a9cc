import string

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.golden import ROOT
from bench.world import small_cell
from siskinroad.cell import Cell, diff, moved_hosts, parse_cell
from siskinroad.errors import ConfigError
from siskinroad.settings import parse_settings

EXAMPLES = sorted(ROOT.glob("examples/*a.toml"))


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_examples_are_valid(path):
    cell = parse_cell(path.read_text())
    assert sum(1 for _ in cell.hosts()) == 25
    assert {len(x) for x in (cell.regions,)} == {3}


def test_every_problem_is_reported_with_its_place():
    text = small_cell().replace('urgency = "urgent"', 'urgency = "soon"', 1)
    text = text.replace("weight = 3", "weight = -1").replace("cpu = 32", "cpus = 32")
    with pytest.raises(ConfigError) as info:
        parse_cell(text, "cell.toml")
    keys = [problem.key for problem in info.value.problems]
    assert "owners[0].weight" in keys
    assert "upstreams[0].cpus" in keys
    assert "upstreams[0].cpu" in keys
    assert "services[0].urgency" in keys
    assert "cell.toml: 4 problem(s)" in str(info.value)


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ('owner = "records"', 'owner = "nobody"', "batch[0].owner"),
        ('name = "e1"', 'name = "e0"', "upstreams[0].hosts[1].name"),
        ('"127.0.0.1:7001"', '"127.0.0.1:7000"', "upstreams[0].hosts[1].address"),
        ('data_centre = "west-1"', 'data_centre = "moon"', "hosts[3].data_centre"),
        ('name = "quote"', 'name = "render"', "gangs[0].name"),
    ],
)
def test_unknown_references_and_duplicate_names_are_reported(old, new, place):
    with pytest.raises(ConfigError, match=place.replace("[", r"\[")):
        parse_cell(small_cell().replace(old, new))


def test_moved_hosts_lists_hosts_that_change_their_shard():
    old = parse_cell(small_cell())
    new = parse_cell(
        small_cell().replace('data_centre = "west-1"', 'data_centre = "east-1"')
    )
    assert moved_hosts(old, new) == ["w0", "w1"]
    assert moved_hosts(old, parse_cell(small_cell(3, 3))) == []


def test_diff_lists_changed_and_added_entries():
    old = parse_cell(small_cell())
    new = parse_cell(small_cell().replace("weight = 3", "weight = 4"))
    assert diff(old, new) == ["~ owners.desk"]
    assert "+ hosts.w2" in diff(old, parse_cell(small_cell(3, 3)))


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.data())
def test_a_randomly_edited_cell_file_is_valid_or_rejected(data):
    text = small_cell()
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(0, len(text)))
        removed_count = data.draw(st.integers(0, 12))
        inserted = data.draw(st.text(string.printable, max_size=6))
        text = text[:position] + inserted + text[position + removed_count :]
    try:
        assert isinstance(parse_cell(text), Cell)
    except ConfigError as exc:
        assert exc.problems


def test_settings_reject_listeners_open_to_the_network():
    good = (ROOT / "examples" / "entry.toml").read_text()
    assert parse_settings(good).name == "trnava-1a"
    with pytest.raises(ConfigError, match="operators"):
        parse_settings(good.replace("127.0.0.1:8081", "10.0.0.1:8081"))
    with pytest.raises(ConfigError, match="peer_address"):
        parse_settings(good.replace("127.0.0.1:8082", "10.0.0.1:8082"))
    assert parse_settings(
        "allow_open = true\n" + good.replace("127.0.0.1:8081", "10.0.0.1:8081")
    )
