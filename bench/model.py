"""Exhaustive exploration of the ownership state machine on a small model.

Three daemons and two shards, with time in steps of half a second. Every sequence of
disturbances of a given length is tried. In each step it is checked that the ownership
states of the daemons let at most one of them place work on a shard.
"""

from __future__ import annotations

import itertools
import pickle
from dataclasses import dataclass, field

from siskinroad.ledger import Ledger
from siskinroad.membership import Membership
from siskinroad.messages import Echo, Heartbeat
from siskinroad.ownership import Append, Ownership, ReleaseShard, TakeOverShard
from siskinroad.records import ClaimReleased, Record

NAMES = ("a", "b", "c")
SHARDS = ("p/d/0", "p/d/1")
# Seconds per step.
STEP_S = 0.5
# Steps after each disturbance, and additional steps after the last one.
STEPS_BETWEEN = 2
STEPS_AFTER = 12
# Steps for which a paused daemon does nothing: 3.5 s, longer than a lease of 2 s.
PAUSE_STEPS = 7


@dataclass
class Node:
    """Daemon of the model; it does nothing for the next ``pause_steps_left`` steps."""

    name: str
    started_at: float
    incarnation: int = 1
    up: bool = True
    pause_steps_left: int = 0
    ledger: Ledger = field(default_factory=Ledger)
    members: Membership = field(init=False)
    ownership: Ownership = field(init=False)
    inbox: list[Heartbeat] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.members = Membership(self.name, self.incarnation, self.started_at)
        self.ownership = Ownership(
            self.name, self.incarnation, self.ledger, self.members
        )
        self.ownership.set_shards(dict.fromkeys(SHARDS, False))


@dataclass
class Model:
    """State of the daemons, the network and the log.

    Attributes
    ----------
    now : float
        Time in seconds.
    cut : set of frozenset
        Pairs of daemons without a link in either direction.
    one_way : set of tuple
        Sender and receiver of the links that drop messages in one direction.
    no_log : set of str
        Daemons that cannot reach the log.
    held_appends : list
        Appends that are not in the log yet, because ``is_holding_appends`` was set.
    """

    nodes: dict[str, Node] = field(default_factory=dict)
    log: list[list[Record]] = field(default_factory=list)
    now: float = 100.0
    cut: set[frozenset[str]] = field(default_factory=set)
    one_way: set[tuple[str, str]] = field(default_factory=set)
    no_log: set[str] = field(default_factory=set)
    lost_answers: int = 0
    held_appends: list[list[Record]] = field(default_factory=list)
    is_holding_appends: bool = False

    def step(self) -> None:
        """Advance by one step: read the log, exchange heartbeats, tick each daemon."""
        self.now += STEP_S
        for node in self.nodes.values():
            if node.up and not node.pause_steps_left:
                self._apply_log(node)
                self._send_heartbeats(node)
        for node in self.nodes.values():
            if node.pause_steps_left:
                node.pause_steps_left -= 1
            if not node.up or node.pause_steps_left:
                continue
            for msg in node.inbox:
                node.members.record_heartbeat(msg, self.now)
            node.inbox.clear()
            self._tick(node)

    def _apply_log(self, node: Node) -> None:
        if node.name in self.no_log:
            return
        while node.ledger.next_offset <= len(self.log):
            offset = node.ledger.next_offset
            node.ledger.apply(offset, self.log[offset - 1])
        node.ownership.confirm_by_log(self.now)

    def _send_heartbeats(self, node: Node) -> None:
        for other in self.nodes.values():
            pair = frozenset((node.name, other.name))
            if other is node or pair in self.cut or not other.up:
                continue
            if (node.name, other.name) in self.one_way:
                continue
            member = node.members.members.get(other.name)
            echo = (
                Echo(member.stamp, node.ownership.shards_denied_to(other.name))
                if member
                else None
            )
            other.inbox.append(
                Heartbeat(
                    node.name,
                    node.incarnation,
                    node.members.stamps.make(self.now),
                    echo,
                    1,
                    False,
                    node.ownership.is_admitted(),
                    node.ownership.required_peers(),
                    [],
                )
            )

    def _tick(self, node: Node) -> None:
        for effect in node.ownership.tick(self.now):
            match effect:
                case Append(record=record):
                    self._append(node, record)
                case ReleaseShard():
                    self._append(node, ClaimReleased(effect.shard, effect.epoch))
                case TakeOverShard():
                    node.ownership.finish_takeover(effect.shard, effect.epoch)

    def _append(self, node: Node, record: Record) -> None:
        if node.name in self.no_log:
            return
        if self.is_holding_appends:
            self.held_appends.append([record])
        else:
            self.log.append([record])

    def find_conflict(self) -> str:
        """Describe a shard on which two daemons may place work; empty if none."""
        for shard in SHARDS:
            placing_daemons = [
                node.name
                for node in self.nodes.values()
                if node.up and node.ownership.may_place(shard, self.now)
            ]
            if len(placing_daemons) > 1:
                return f"{shard} at {self.now} s: {placing_daemons} may all place work"
        return ""

    # Disturbances, called by the names in ACTIONS

    def crash(self, name: str) -> None:
        self.nodes[name].up = False

    def restart(self, name: str) -> None:
        node = self.nodes[name]
        self.nodes[name] = Node(name, self.now, node.incarnation + 1)

    def pause(self, name: str) -> None:
        self.nodes[name].pause_steps_left = PAUSE_STEPS

    def isolate(self, name: str) -> None:
        self.cut |= {frozenset((name, other)) for other in NAMES if other != name}

    def deafen(self, name: str) -> None:
        self.one_way |= {(other, name) for other in NAMES if other != name}

    def lose_log(self, name: str) -> None:
        self.no_log.add(name)

    def lose_log_all(self) -> None:
        self.no_log |= set(NAMES)

    def hold_appends(self) -> None:
        self.is_holding_appends = True

    def heal(self) -> None:
        self.cut.clear()
        self.one_way.clear()
        self.no_log.clear()
        self.is_holding_appends = False
        self.log += self.held_appends
        self.held_appends = []


ACTIONS = [
    *[("crash", name) for name in NAMES],
    *[("restart", name) for name in NAMES[:2]],
    *[("pause", name) for name in NAMES],
    *[("isolate", name) for name in NAMES[:2]],
    ("deafen", NAMES[0]),
    *[("lose_log", name) for name in NAMES[:2]],
    ("lose_log_all",),
    ("hold_appends",),
    ("heal",),
]


def create_steady_state() -> bytes:
    """Return a pickled model in which each shard has one owner."""
    model = Model()
    model.nodes = {name: Node(name, model.now) for name in NAMES}
    for _ in range(16):
        model.step()
    placed = [
        sum(node.ownership.may_place(shard, model.now) for node in model.nodes.values())
        for shard in SHARDS
    ]
    assert placed == [1, 1], placed
    return pickle.dumps(model)


def explore(depth: int, actions: list[tuple[str, ...]] | None = None) -> int:
    """Try every sequence of ``depth`` disturbances; return their number.

    Raises
    ------
    AssertionError
        If a sequence lets two daemons place work on one shard; the message gives both.
    """
    start = create_steady_state()
    sequence_count = 0
    for sequence in itertools.product(actions or ACTIONS, repeat=depth):
        sequence_count += 1
        conflict = run_sequence(start, sequence)
        assert not conflict, f"{sequence}: {conflict}"
    return sequence_count


def run_sequence(start: bytes, sequence: tuple[tuple[str, ...], ...]) -> str:
    """Run one sequence; return the conflict that it leads to, or an empty string."""
    model: Model = pickle.loads(start)
    for name, *args in sequence:
        getattr(model, name)(*args)
        for _ in range(STEPS_BETWEEN):
            conflict = model.find_conflict()
            if conflict:
                return conflict
            model.step()
    for _ in range(STEPS_AFTER):
        conflict = model.find_conflict()
        if conflict:
            return conflict
        model.step()
    return model.find_conflict()


if __name__ == "__main__":
    print(explore(3))
