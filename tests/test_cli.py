"""Subcommands that need no running daemon, and their exit codes."""

import pytest

from bench.golden import ROOT
from bench.world import small_cell
from siskinroad.cli import main
from siskinroad.cluster import free_addresses
from siskinroad.settings import hash_token


def test_check_prints_a_summary_or_every_problem(tmp_path, capsys):
    assert main(["check", str(ROOT / "examples" / "alrahma.toml")]) == 0
    assert "alrahma: 2 owners, 25 hosts, 7 workloads" in capsys.readouterr().out
    bad = tmp_path / "cell.toml"
    bad.write_text(small_cell().replace("cpu = 32", 'cpu = "many"\nspeed = 3'))
    assert main(["check", str(bad)]) == 1
    err = capsys.readouterr().err
    assert "upstreams[0].cpu: got 'many', allowed: a number from 0.1 to 1024" in err
    assert "upstreams[0].speed: got 'unknown key'" in err
    assert main(["check", str(tmp_path / "none.toml")]) == 1


@pytest.mark.parametrize("words", [["fly"], [], ["apply"], ["check", "a", "b"]])
def test_usage_error_exits_with_code_2(words, capsys):
    assert main(words) == 2
    assert "Usage:" in capsys.readouterr().err


def test_unreachable_daemon_exits_with_code_4(tmp_path, capsys):
    """Scripts tell a daemon that was not reached from a refusal by the exit code."""
    unused_address = free_addresses(1)[0]
    assert main(["status", f"--at={unused_address}"]) == 4
    cell = tmp_path / "cell.toml"
    cell.write_text(small_cell())
    assert main(["apply", str(cell), f"--at={unused_address}"]) == 4
    assert unused_address in capsys.readouterr().err


def test_invalid_settings_report_every_problem(tmp_path, capsys):
    """Validation must not stop at the first problem of a file."""
    file = tmp_path / "entry.toml"
    file.write_text('name = "a b"\ncallers = "here"\nextra = 1\n')
    assert main(["entry", str(file)]) == 1
    err = capsys.readouterr().err
    assert "name: got 'a b'" in err
    assert "callers: got 'here', allowed: an IPv4 address" in err
    assert "extra: got 'unknown key'" in err
    assert "platform: got 'nothing'" in err


def test_keys_token_reference_and_version(capsys):
    assert main(["token", "word"]) == 0
    assert hash_token("word") in capsys.readouterr().out
    assert main(["keys"]) == 0
    assert capsys.readouterr().out.count('"') == 4
    assert main(["reference"]) == 0
    assert capsys.readouterr().out.startswith("# Reference of the files")
    assert main(["--version"]) == 0
