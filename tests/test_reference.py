from bench.golden import ROOT
from siskinroad.reference import reference


def test_the_page_is_what_the_code_says():
    assert (ROOT / "docs" / "REFERENCE.md").read_text() == reference()
