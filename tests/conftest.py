"""Tests listed in KNOWN-RED.txt are expected to fail; one that passes fails the run."""

import re
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    listed = set(re.findall(r"\btests/\S+::\w+", KNOWN_RED.read_text()))
    for item in items:
        if item.nodeid.partition("[")[0] in listed:
            item.add_marker(pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt"))
