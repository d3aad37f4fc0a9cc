"""Consistency of the state charts: no unreachable state, no missing final state."""

import pytest

from siskinroad.charts import CHART_NAMES, load_chart
from siskinroad.errors import ProtocolError


@pytest.mark.parametrize("name", CHART_NAMES)
def test_every_state_is_reachable(name):
    chart = load_chart(name)
    assert chart.reachable() == set(chart.transitions)


@pytest.mark.parametrize("name", CHART_NAMES)
def test_every_chart_but_claim_and_upstream_has_a_final_state(name):
    chart = load_chart(name)
    assert any(chart.is_final(state) for state in chart.transitions) or name in (
        "claim",
        "upstream",
    )


def test_an_event_not_allowed_in_a_state_raises():
    chart = load_chart("attempt")
    with pytest.raises(ProtocolError, match=r"chart\.attempt"):
        chart.next_state("succeeded", "start")
