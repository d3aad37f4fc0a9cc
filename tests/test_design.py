"""Names of modules, classes and functions on the design page."""

import importlib
import re
from pathlib import Path

PAGE = Path(__file__).parent.parent / "docs" / "DESIGN.md"
NAME = re.compile(r"`((?:siskinroad|platform)(?:\.\w+)+)`")


def resolve_name(name):
    """Return the object of a dotted name: a module, or an attribute below one."""
    # ``platform`` is a module of the standard library, so the folder ``platform/`` is
    # imported under another name.
    parts = re.sub(r"^platform\.", "siskinroad_platform.", name).split(".")
    for length in range(len(parts), 0, -1):
        try:
            resolved = importlib.import_module(".".join(parts[:length]))
        except ModuleNotFoundError:
            continue
        for part in parts[length:]:
            resolved = getattr(resolved, part)
        return resolved
    raise ModuleNotFoundError(name)


def test_design_page_names_only_code_that_exists():
    """A name renamed or removed in the code must not remain on the page."""
    names = NAME.findall(PAGE.read_text())
    assert len(names) > 20
    for name in names:
        assert resolve_name(name) is not None
