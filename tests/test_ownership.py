"""At most one daemon may place work on a shard, whatever happens."""

import pytest

from bench import model
from siskinroad import ownership
from siskinroad.ownership import Ownership, rendezvous

FEW = [
    ("crash", "a"),
    ("restart", "a"),
    ("pause", "b"),
    ("isolate", "a"),
    ("lose_log", "b"),
    ("lose_log_all",),
    ("hold_appends",),
    ("heal",),
]


def test_three_daemons_and_two_shards_exhaustively():
    assert model.explore(3) == len(model.ACTIONS) ** 3


def test_longer_sequences_of_the_gravest_disturbances():
    assert model.explore(4, FEW) == len(FEW) ** 4


def _without_waiting(monkeypatch):
    monkeypatch.setattr(ownership, "_WAIT", 0.0)


def _without_admission(monkeypatch):
    monkeypatch.setattr(Ownership, "_peers_confirmed", lambda self, shard: 1e9)


def _without_chain(monkeypatch):
    monkeypatch.setattr(Ownership, "_replaced_over", lambda self, shard: True)


@pytest.mark.parametrize(
    "plant", [_without_waiting, _without_admission, _without_chain]
)
def test_the_exploration_finds_planted_faults(monkeypatch, plant):
    plant(monkeypatch)
    with pytest.raises(AssertionError, match=r"p/d/"):
        model.explore(2)


def test_a_dead_owner_is_replaced_within_five_seconds():
    state = model.pickle.loads(model.steady())
    shard = model.SHARDS[0]
    owner = next(n for n in state.nodes.values() if n.own.may_place(shard, state.now))
    began = state.now
    state.crash(owner.name)
    while not any(
        n.up and n.own.may_place(shard, state.now) for n in state.nodes.values()
    ):
        state.step()
    assert state.now - began <= 5.0


def test_an_owner_keeps_placing_while_the_log_is_down():
    state = model.pickle.loads(model.steady())
    state.lose_log_all()
    for _ in range(120):
        state.step()
        assert all(
            any(n.own.may_place(shard, state.now) for n in state.nodes.values())
            for shard in model.SHARDS
        )


def test_an_owner_alone_without_the_log_stops():
    state = model.pickle.loads(model.steady())
    owner = next(
        n for n in state.nodes.values() if n.own.may_place(model.SHARDS[0], state.now)
    )
    state.isolate(owner.name)
    state.lose_log(owner.name)
    for _ in range(6):
        state.step()
    assert not owner.own.may_place(model.SHARDS[0], state.now)


def test_rendezvous_moves_only_what_belonged_to_a_lost_name():
    shards = [f"s{i}" for i in range(200)]
    before = {shard: rendezvous(shard, ["a", "b", "c"]) for shard in shards}
    after = {shard: rendezvous(shard, ["a", "b"]) for shard in shards}
    assert all(after[s] == before[s] for s in shards if before[s] != "c")
