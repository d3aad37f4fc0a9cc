"""The platform's names stay in one folder, and that folder decides nothing."""

import ast
import platform
import re
import sysconfig
from pathlib import Path

ROOT = Path(__file__).parents[2]
WIRE = re.compile(
    r"run-start|run-stop|ack_cursor|fencing_token|log-append|log-read|log-newest"
    r"|[\"']keyed\.|hold_max_ms|deadline_ms|SISKINROAD_BOOT|saves_progress"
    r"|rack_local|anti_affinity|path_prefix|per_worker_ms|Expect-Instance|/hold\b"
)


def modules():
    for path in (ROOT / "siskinroad").rglob("*.py"):
        yield path, path.read_text()


def imports(text):
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def test_the_standard_module_of_that_name_still_imports():
    assert Path(platform.__file__).parent == Path(sysconfig.get_paths()["stdlib"])
    assert not (ROOT / "platform" / "__init__.py").exists()


def test_nothing_outside_the_folder_knows_the_platform_s_names():
    found = [str(path) for path, text in modules() if WIRE.search(text)]
    assert not found


def test_the_product_does_not_import_the_folder():
    for _, text in modules():
        assert not any(name.startswith("siskinroad_platform") for name in imports(text))


def test_the_work_package_has_no_circle_of_imports():
    graph = {}
    for path, text in modules():
        if path.parent.name == "work":
            name = f"siskinroad.work.{path.stem}"
            graph[name] = {m for m in imports(text) if m.startswith("siskinroad.work.")}
    done, walking = set(), []

    def walk(name):
        assert name not in walking, [*walking, name]
        if name in done or name not in graph:
            return
        walking.append(name)
        for other in graph[name]:
            walk(other)
        walking.pop()
        done.add(name)

    for name in graph:
        walk(name)
