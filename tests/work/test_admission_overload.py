"""Replay of a burst of urgent jobs beside one account that sends seven times its usual.

The jobs go through the real pool state, planner and admission. Only jobs within the
weight of their account are owed, and so counted.
"""

from bench.admission_replay import BATCH, URGENT, AdmissionReplay
from siskinroad.work.admission import LoadRefusal

SEEDS = (1, 2, 3, 4, 5)
# Worth of a late job beside one in time.
LATE_WORTH = 0.2


def count_worth(result, queue):
    in_time = result.count(queue, "in_time")
    return in_time + LATE_WORTH * result.count(queue, "late")


def test_admission_serves_callers_better_in_an_overload():
    before = [AdmissionReplay(n, has_admission=False).run() for n in SEEDS]
    after = [AdmissionReplay(n, has_admission=True).run() for n in SEEDS]
    failed = sum(r.count(URGENT.name, "failed") for r in before)
    unserved = sum(r.count(URGENT.name, "failed", "refused") for r in after)
    assert unserved < failed
    for queue in (URGENT.name, BATCH.name):
        had = sum(count_worth(r, queue) for r in before)
        assert sum(count_worth(r, queue) for r in after) >= 0.9 * had


def test_nothing_is_turned_away_beside_free_room():
    # Judged by the pool itself at each decision, not by the forecast.
    replay = AdmissionReplay(1, has_admission=True)
    decide = replay.admission.decide
    beside_room = []

    def decide_and_check(job, now):
        decision = decide(job, now)
        steps = replay.pool_state.ready.values()
        is_waiting = any(step.waiting_count for step in steps)
        if isinstance(decision, LoadRefusal) and not is_waiting:
            need = job.spec.steps[0].need.times(job.spec.steps[0].count)
            hosts = replay.pool_state.hosts.values()
            free = sum(h.entry.capacity.cpu_milli - h.used.cpu_milli for h in hosts)
            if need.cpu_milli <= free:
                beside_room.append(decision)
        return decision

    replay.admission.decide = decide_and_check
    replay.run()
    assert replay.refusals
    assert beside_room == []


def test_nothing_is_turned_away_by_a_pool_with_room_to_spare(monkeypatch):
    monkeypatch.setattr("bench.admission_replay.HOT_FACTOR", 1.0)
    monkeypatch.setattr("bench.admission_replay.BURST_FACTOR", 1.0)
    monkeypatch.setattr("bench.admission_replay.USUAL_PER_S", 0.7)
    monkeypatch.setattr("bench.admission_replay.BATCH_PER_S", 0.1)
    replay = AdmissionReplay(1, has_admission=True)
    replay.run()
    assert replay.refusals == []
