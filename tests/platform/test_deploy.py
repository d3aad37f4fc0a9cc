import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())


def test_the_build_installs_what_the_project_declares():
    for dependency in PROJECT["project"]["dependencies"]:
        assert f"'{dependency}'" in DEPLOY["build"]


def test_the_role_serves_callers_on_every_entry_host_and_has_no_shape():
    (role,) = DEPLOY["roles"].values()
    assert role["run"].split()[-1] == "siskinroad_platform"
    assert role["share"] == 1.0 and role["serves"] == ["edge"]
    assert not (ROOT / "deploy" / "wire.toml").exists()
