"""Checks of the deployment file against the project's own declarations."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())


def test_build_installs_every_declared_dependency():
    # A dependency that is missing from the build command ends the daemon at import.
    for dependency in PROJECT["project"]["dependencies"]:
        assert f"'{dependency}'" in DEPLOY["build"]


def test_only_role_serves_callers_on_every_entry_host():
    (role,) = DEPLOY["roles"].values()
    assert role["run"].split()[-1] == "siskinroad_platform"
    assert role["share"] == 1.0 and role["serves"] == ["edge"]
    assert not (ROOT / "deploy" / "wire.toml").exists()
