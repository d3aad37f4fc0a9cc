"""Checks of the boundary between ``siskinroad`` and the folder ``platform``.

``siskinroad`` neither contains the names of the users' platform nor imports that
folder; ``siskinroad.work`` has no import cycle.
"""

import ast
import platform
import re
import sysconfig
from pathlib import Path

ROOT = Path(__file__).parents[2]
PLATFORM_NAMES = re.compile(
    r"run-start|run-stop|ack_cursor|fencing_token|log-append|log-read|log-newest"
    r"|[\"']keyed\.|hold_max_ms|deadline_ms|SISKINROAD_BOOT|saves_progress"
    r"|rack_local|anti_affinity|path_prefix|per_worker_ms|Expect-Instance|/hold\b"
)


def iter_modules():
    for path in (ROOT / "siskinroad").rglob("*.py"):
        yield path, path.read_text()


def iter_imports(text):
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def test_folder_does_not_shadow_the_standard_module_platform():
    # The folder is named like the standard module; a package marker would shadow it.
    assert Path(platform.__file__).parent == Path(sysconfig.get_paths()["stdlib"])
    assert not (ROOT / "platform" / "__init__.py").exists()


def test_siskinroad_does_not_contain_names_of_the_platform():
    found = [str(path) for path, text in iter_modules() if PLATFORM_NAMES.search(text)]
    assert not found


def test_siskinroad_does_not_import_siskinroad_platform():
    for _, text in iter_modules():
        assert not any(
            name.startswith("siskinroad_platform") for name in iter_imports(text)
        )


def test_work_package_has_no_import_cycle():
    graph = {}
    for path, text in iter_modules():
        if path.parent.name == "work":
            name = f"siskinroad.work.{path.stem}"
            graph[name] = {
                m for m in iter_imports(text) if m.startswith("siskinroad.work.")
            }
    visited, open_path = set(), []

    def visit(name):
        assert name not in open_path, [*open_path, name]
        if name in visited or name not in graph:
            return
        open_path.append(name)
        for other in graph[name]:
            visit(other)
        open_path.pop()
        visited.add(name)

    for name in graph:
        visit(name)
