"""Exclusive ownership: at most one daemon places work on a shard under any fault."""

import pytest

from bench import model
from siskinroad import ownership
from siskinroad.ownership import Ownership, rendezvous

# The most severe of ``model.ACTIONS``, few enough to explore sequences of four.
SEVERE_ACTIONS = [
    ("crash", "a"),
    ("restart", "a"),
    ("pause", "b"),
    ("isolate", "a"),
    ("lose_log", "b"),
    ("lose_log_all",),
    ("hold_appends",),
    ("heal",),
]


def test_all_sequences_of_three_disturbances_keep_ownership_exclusive():
    assert model.explore(3) == len(model.ACTIONS) ** 3


def test_sequences_of_four_severe_disturbances_keep_ownership_exclusive():
    assert model.explore(4, SEVERE_ACTIONS) == len(SEVERE_ACTIONS) ** 4


def _remove_takeover_delay(monkeypatch):
    monkeypatch.setattr(ownership, "_TAKEOVER_DELAY", 0.0)


def _ignore_admitted_peers(monkeypatch):
    monkeypatch.setattr(Ownership, "_peers_confirmed_at", lambda self, shard: 1e9)


def _ignore_replaced_claims(monkeypatch):
    monkeypatch.setattr(
        Ownership, "_have_replaced_holders_stopped", lambda self, shard: True
    )


@pytest.mark.parametrize(
    "inject_fault",
    [_remove_takeover_delay, _ignore_admitted_peers, _ignore_replaced_claims],
)
def test_the_exploration_finds_injected_faults(monkeypatch, inject_fault):
    inject_fault(monkeypatch)
    with pytest.raises(AssertionError, match=r"p/d/"):
        model.explore(2)


def test_a_dead_owner_is_replaced_within_five_seconds():
    state = model.pickle.loads(model.create_steady_state())
    shard = model.SHARDS[0]
    owner = next(
        n for n in state.nodes.values() if n.ownership.may_place(shard, state.now)
    )
    crashed_at = state.now
    state.crash(owner.name)
    while not any(
        n.up and n.ownership.may_place(shard, state.now) for n in state.nodes.values()
    ):
        state.step()
    assert state.now - crashed_at <= 5.0


def test_an_owner_keeps_placing_work_while_the_log_is_unavailable():
    state = model.pickle.loads(model.create_steady_state())
    state.lose_log_all()
    for _ in range(120):
        state.step()
        assert all(
            any(n.ownership.may_place(shard, state.now) for n in state.nodes.values())
            for shard in model.SHARDS
        )


def test_an_isolated_owner_without_the_log_stops_placing_work():
    state = model.pickle.loads(model.create_steady_state())
    owner = next(
        n
        for n in state.nodes.values()
        if n.ownership.may_place(model.SHARDS[0], state.now)
    )
    state.isolate(owner.name)
    state.lose_log(owner.name)
    for _ in range(6):
        state.step()
    assert not owner.ownership.may_place(model.SHARDS[0], state.now)


def test_removing_a_name_moves_only_its_own_shards():
    shards = [f"s{i}" for i in range(200)]
    before = {shard: rendezvous(shard, ["a", "b", "c"]) for shard in shards}
    after = {shard: rendezvous(shard, ["a", "b"]) for shard in shards}
    assert all(after[s] == before[s] for s in shards if before[s] != "c")
