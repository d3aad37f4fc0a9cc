"""Imports between modules: no cycles, and no platform adapter in the product."""

import ast
import gc
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = ("siskinroad", "bench")


@pytest.fixture(autouse=True)
def collect_garbage():
    """Finalize what other tests have left.

    In CPython 3.11 a finalizer that fails while ``ast.parse`` runs can end that call
    with a SystemError: its traceback is formatted by the same parser.
    """
    gc.collect()


def find_modules():
    """Return the file of each module of the packages by its dotted name."""
    found = {}
    for package in PACKAGES:
        for path in (ROOT / package).rglob("*.py"):
            parts = path.relative_to(ROOT).with_suffix("").parts
            found[".".join(parts).removesuffix(".__init__")] = path
    return found


def find_imported_names(path):
    """Return every dotted name that a file imports, at its top or in a function."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def build_import_graph():
    """Return the modules of the packages that each module imports."""
    known = find_modules()
    return {
        name: sorted((find_imported_names(path) & known.keys()) - {name, *PACKAGES})
        for name, path in known.items()
    }


def find_cycle(start, graph):
    """Return a chain of imports from a module back to itself, or None."""
    pending, seen = [[start]], set()
    while pending:
        route = pending.pop()
        for successor in graph.get(route[-1], ()):
            if successor == start:
                return [*route, successor]
            if successor not in seen:
                seen.add(successor)
                pending.append([*route, successor])
    return None


def test_no_imports_form_a_cycle():
    """A module of a cycle may be imported before the names that it needs exist."""
    graph = build_import_graph()
    assert len(graph) > 100
    assert not [found for name in graph if (found := find_cycle(name, graph))]


def test_find_cycle_reports_only_cycles_through_the_start():
    graph = {"a": ["b"], "b": ["c"], "c": ["a"], "d": ["a"]}
    assert find_cycle("a", graph) == ["a", "b", "c", "a"]
    assert find_cycle("d", graph) is None


def test_the_product_does_not_import_the_platform_adapter():
    """``siskinroad`` must run without the names and formats of one platform."""
    for name, path in find_modules().items():
        if name.startswith("siskinroad"):
            assert not {
                n for n in find_imported_names(path) if "siskinroad_platform" in n
            }, name
