"""Whole sessions with both example cells, stable to the byte."""

import pytest

from bench.golden import GOLDEN, SESSIONS, transcript


@pytest.mark.parametrize("cell", SESSIONS)
def test_session(cell):
    assert transcript(cell) == (GOLDEN / f"{cell}.txt").read_text()
