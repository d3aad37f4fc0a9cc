"""The capacity page and the sizes of control messages."""

from bench.capacity import (
    BEGIN_MARK,
    CONTROL_BYTES_BOUND,
    END_MARK,
    PAGE,
    estimate_control_bytes,
    read_measurements,
    render_tables,
)
from bench.slopes import measure_message_sizes


def test_page_holds_the_tables_of_the_recorded_measurements():
    """A new measurement must not leave old figures on the page."""
    text = PAGE.read_text()
    found = text.split(BEGIN_MARK)[1].split(END_MARK)[0].strip()
    assert found == render_tables().strip()


def test_control_messages_stay_within_their_byte_rates():
    """Bounds for data centres of 7 daemons, in control bytes per second.

    5,000 from each daemon and 1,000 between two data centres.
    """
    size = measure_message_sizes()
    heartbeat = size["heartbeat that names the admitted"]
    heartbeats = 2 * 6 * (heartbeat + size["heartbeat, a shard more"])
    assert heartbeats + 6 * 2 * size["tail"] <= 5000
    assert (size["digest"] + 6 * size["digest, a shard more"]) / 10 <= 1000


def test_recorded_sizes_of_messages_are_those_of_the_code():
    """A message that grows must not leave its old size on the page."""
    assert read_measurements("slopes.json")["messages"] == measure_message_sizes()


def test_all_control_bytes_of_the_reader_stay_within_the_bound():
    """The sum of the page's table, for messages as they are encoded now."""
    slopes = {"messages": measure_message_sizes()}
    total = estimate_control_bytes(slopes)[-1]
    assert total["other B/s"] <= total["reader B/s"] <= CONTROL_BYTES_BOUND


def test_cell_change_is_recorded_as_a_delta():
    """A record with the text of the whole cell file would be far larger."""
    size = measure_message_sizes()
    assert size["change record"] * 100 < size["whole cell file"]
