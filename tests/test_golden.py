"""Transcripts of sessions with both example cells equal the golden files."""

import pytest

from bench.golden import GOLDEN, SESSIONS, transcript


@pytest.mark.parametrize("cell", SESSIONS)
def test_transcript_equals_golden_file(cell):
    assert transcript(cell) == (GOLDEN / f"{cell}.txt").read_text()
