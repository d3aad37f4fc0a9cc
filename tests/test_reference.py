"""The reference page in docs matches the schemas in the code."""

from bench.golden import ROOT
from siskinroad.reference import reference


def test_reference_page_matches_the_code():
    assert (ROOT / "docs" / "REFERENCE.md").read_text() == reference()
