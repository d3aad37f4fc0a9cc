"""The ways of imports: no circles, and nothing of the platform's in the product."""

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGES = ("siskinroad", "bench")


def modules():
    """Return the file of each module of the packages by its dotted name."""
    found = {}
    for package in PACKAGES:
        for path in (ROOT / package).rglob("*.py"):
            parts = path.relative_to(ROOT).with_suffix("").parts
            found[".".join(parts).removesuffix(".__init__")] = path
    return found


def imported(path):
    """Return every dotted name that a file imports, also inside functions."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def arrows():
    known = modules()
    return {
        name: sorted((imported(path) & known.keys()) - {name, *PACKAGES})
        for name, path in known.items()
    }


def circle_from(start, ways):
    """Return a way from a module back to itself, or None."""
    waiting, seen = [[start]], set()
    while waiting:
        way = waiting.pop()
        for after in ways.get(way[-1], ()):
            if after == start:
                return [*way, after]
            if after not in seen:
                seen.add(after)
                waiting.append([*way, after])
    return None


def test_no_module_imports_itself_by_way_of_others():
    ways = arrows()
    assert len(ways) > 100
    assert not [found for name in ways if (found := circle_from(name, ways))]


def test_a_circle_would_be_found():
    ways = {"a": ["b"], "b": ["c"], "c": ["a"], "d": ["a"]}
    assert circle_from("a", ways) == ["a", "b", "c", "a"]
    assert circle_from("d", ways) is None


def test_the_product_imports_nothing_of_the_platform_s():
    for name, path in modules().items():
        if name.startswith("siskinroad"):
            assert not {n for n in imported(path) if "siskinroad_platform" in n}, name
