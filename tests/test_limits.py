from siskinroad.cell import Urgency
from siskinroad.limits import AdmissionLimit, ByteLimit, ConcurrencyLimit, Headroom


def test_simultaneous_failures_lower_a_limit_once():
    limit = ConcurrencyLimit(8)
    for _ in range(8):
        limit.record_failure(10.0)
    assert limit.max_tasks == 5
    for second in range(11, 30):
        limit.record_failure(float(second))
    assert limit.max_tasks == 1
    for _ in range(200):
        limit.record_success()
    assert limit.max_tasks == 8


def test_the_least_urgent_is_shed_first():
    limit = AdmissionLimit(100)
    assert [limit.admits(80, urgency) for urgency in Urgency] == [True, True, False]
    assert [limit.admits(95, urgency) for urgency in Urgency] == [True, False, False]
    byte_limit = ByteLimit(1000)
    assert byte_limit.reserve(650, Urgency.BACKGROUND)
    assert not byte_limit.reserve(100, Urgency.BACKGROUND)
    assert byte_limit.reserve(100, Urgency.URGENT)
    byte_limit.release(650)
    assert byte_limit.reserve(100, Urgency.BACKGROUND)


def test_headroom_grows_with_arrivals_and_shrinks_with_ends():
    headroom = Headroom()
    assert headroom.reserved_tasks(Urgency.BACKGROUND, 0.0) == 0
    now = 0.0
    for _ in range(2000):
        now += 0.01
        headroom.count_arrival(now)
    standard = headroom.reserved_tasks(Urgency.STANDARD, now)
    background = headroom.reserved_tasks(Urgency.BACKGROUND, now)
    assert 0 < standard < background
    assert headroom.reserved_tasks(Urgency.URGENT, now) == 0
    for _ in range(4000):
        headroom.count_end(now)
    assert headroom.reserved_tasks(Urgency.BACKGROUND, now) < background
    assert headroom.reserved_tasks(Urgency.BACKGROUND, now + 3600.0) <= 1
