"""Tests of the settings file that the platform writes for each process."""

import os
import subprocess
import sys

import pytest
from siskinroad_platform.node import limit_connections
from siskinroad_platform.settings import parse_platform_settings

from siskinroad.errors import ConfigError

SETTINGS = """
node_name = "edge-1"
zone = "z1"
region = "r1"
ip = "127.0.0.1"
port_range = [7380, 7395]
advisor = "10.200.1.9:8142"
new_field = 1
[listen]
frontend = "127.0.0.1:8149"
ready = "127.0.0.1:8141"
[limits]
cpu_share = 0.5
cores = 3
[bounds]
grace_s = 6
hold_max_ms = 10000
[platform]
address = "10.200.1.7:8142"
"""


def test_settings_are_in_seconds_and_unknown_fields_are_ignored():
    cfg = parse_platform_settings(SETTINGS, "s")
    assert cfg.node == "edge-1" and cfg.peer_address == "127.0.0.1:7380"
    assert cfg.timing.max_lease_s == 10.0 and cfg.grace == 6.0


def test_limits_on_memory_and_descriptors_may_be_missing():
    cfg = parse_platform_settings(SETTINGS, "s")
    assert (cfg.memory_mb, cfg.max_fds) == (0.0, 0.0)
    text = SETTINGS.replace("cores = 3", "memory_mb = 300\nmax_fds = 4100")
    cfg = parse_platform_settings(text, "s")
    assert (cfg.memory_mb, cfg.max_fds) == (300, 4100)


@pytest.mark.parametrize(
    ("max_fds", "connections"), [(0, 512), (4100, 512), (320, 60), (200, 1), (9, 1)]
)
def test_callers_have_half_of_the_descriptors_that_are_not_for_files(
    max_fds, connections
):
    assert limit_connections(max_fds) == connections


def test_processor_is_the_share_of_a_core_times_its_speed():
    # Of two daemons with equal shares, the one on the faster core can do more.
    assert parse_platform_settings(SETTINGS, "s").processor == 1.5
    without_speed = SETTINGS.replace("cores = 3", "")
    assert parse_platform_settings(without_speed, "s").processor == 0.5
    without_share = SETTINGS.replace("cpu_share = 0.5", "")
    assert parse_platform_settings(without_share, "s").processor == 0.0
    without_table = SETTINGS.replace("[limits]", "[other]")
    assert parse_platform_settings(without_table, "s").processor == 0.0


def test_load_is_shed_only_where_the_file_asks_for_it():
    assert not parse_platform_settings(SETTINGS, "s").sheds_load
    others = 'invariants = ["base", "sched"]\n' + SETTINGS
    assert not parse_platform_settings(others, "s").sheds_load
    asked = 'invariants = ["base", "pressure"]\n' + SETTINGS
    assert parse_platform_settings(asked, "s").sheds_load


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ('node_name = "edge-1"', "", "node_name"),
        ('ip = "127.0.0.1"', "ip = 5", "ip"),
        ("[7380, 7395]", '"7380"', "port_range"),
        ('ready = "127.0.0.1:8141"', 'ready = "here"', "listen.ready"),
        ("grace_s = 6", 'grace_s = "6"', "bounds.grace_s"),
        ("cpu_share = 0.5", 'cpu_share = "0.5"', "limits.cpu_share"),
        ("cpu_share = 0.5", "cpu_share = -0.5", "limits.cpu_share"),
        ("cpu_share = 0.5", 'memory_mb = "300"', "limits.memory_mb"),
        ("cpu_share = 0.5", "max_fds = -1", "limits.max_fds"),
        ("cores = 3", "cores = nan", "limits.cores"),
        ("cores = 3", "cores = inf", "limits.cores"),
        ('address = "10.200.1.7:8142"', "", "platform.address"),
    ],
)
def test_error_names_the_invalid_field(old, new, place):
    with pytest.raises(ConfigError) as caught:
        parse_platform_settings(SETTINGS.replace(old, new), "s")
    assert place in [problem.key for problem in caught.value.problems]


@pytest.mark.processes
def test_invalid_settings_file_ends_the_process_with_one_line_and_code_two(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS.replace('zone = "z1"', "zone = 1"))
    result = subprocess.run(
        [sys.executable, "-m", "siskinroad_platform"],
        env=os.environ | {"SISKINROAD_BOOT": str(path)},
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert result.returncode == 2
    assert result.stderr.count("\n") == 1 and "zone" in result.stderr
