from siskinroad.cell import Urgency
from siskinroad.limits import ByteLimit, ConcurrencyLimit, Door, Headroom


def test_one_event_lowers_a_limit_once():
    limit = ConcurrencyLimit(8)
    for _ in range(8):
        limit.failure(10.0)
    assert limit.whole == 5
    for second in range(11, 30):
        limit.failure(float(second))
    assert limit.whole == 1
    for _ in range(200):
        limit.success()
    assert limit.whole == 8


def test_the_least_urgent_is_shed_first():
    door = Door(100)
    assert [door.admits(80, urgency) for urgency in Urgency] == [True, True, False]
    assert [door.admits(95, urgency) for urgency in Urgency] == [True, False, False]
    held = ByteLimit(1000)
    assert held.take(650, Urgency.BACKGROUND)
    assert not held.take(100, Urgency.BACKGROUND)
    assert held.take(100, Urgency.URGENT)
    held.give_back(650)
    assert held.take(100, Urgency.BACKGROUND)


def test_headroom_follows_arrivals():
    headroom = Headroom()
    assert headroom.keep(Urgency.BACKGROUND, 0.0) == 0
    now = 0.0
    for _ in range(2000):
        now += 0.01
        headroom.arrived(now)
    standard = headroom.keep(Urgency.STANDARD, now)
    background = headroom.keep(Urgency.BACKGROUND, now)
    assert 0 < standard < background
    assert headroom.keep(Urgency.URGENT, now) == 0
    for _ in range(4000):
        headroom.ended(now)
    assert headroom.keep(Urgency.BACKGROUND, now) < background
    assert headroom.keep(Urgency.BACKGROUND, now + 3600.0) <= 1
