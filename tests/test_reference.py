"""The reference page in docs matches the schemas in the code."""

from bench.golden import ROOT
from siskinroad.reference import render_reference


def test_reference_page_matches_the_code():
    """A change of a schema must not leave the page as it was."""
    assert (ROOT / "docs" / "REFERENCE.md").read_text() == render_reference()
