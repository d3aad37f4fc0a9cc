"""Every chart is whole: no dead state, no event that is never handled."""

import pytest

from siskinroad.charts import CHART_NAMES, load_chart
from siskinroad.errors import ProtocolError


@pytest.mark.parametrize("name", CHART_NAMES)
def test_every_state_is_reachable(name):
    chart = load_chart(name)
    assert chart.reachable() == set(chart.moves)


@pytest.mark.parametrize("name", CHART_NAMES)
def test_every_state_is_final_or_leads_on(name):
    chart = load_chart(name)
    assert any(chart.is_final(state) for state in chart.moves) or name in (
        "claim",
        "upstream",
    )


def test_an_event_that_is_not_allowed_is_an_error():
    chart = load_chart("attempt")
    with pytest.raises(ProtocolError, match=r"chart\.attempt"):
        chart.next("succeeded", "start")
