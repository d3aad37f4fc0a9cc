"""The promises under every cause of failure, alone, in pairs and in threes."""

import itertools
import logging
import random
from concurrent.futures import ProcessPoolExecutor

import pytest

from bench.faults import FAULTS, run_session
from siskinroad import hostwatch
from siskinroad.configuration import Configuration
from siskinroad.entry import Daemon
from siskinroad.errors import Outcome, Refusal
from siskinroad.forwarding import Forwarder
from siskinroad.keys import KeyGuard
from siskinroad.placement import HostIndex
from siskinroad.shards import ShardSet

ALONE = {"host_leaves", "rolling_replacement"}
TOGETHER = sorted(set(FAULTS) - ALONE)
THREES = 200


def _sessions():
    for name in sorted(FAULTS):
        for seed in range(6):
            yield seed, (name,), seed % 2 == 0
    pairs = itertools.combinations_with_replacement(TOGETHER, 2)
    for seed, pair in enumerate(pairs, 100):
        yield seed, pair, seed % 2 == 0
    rng = random.Random(11)
    for seed in range(1000, 1000 + THREES):
        yield seed, tuple(rng.sample(TOGETHER, 3)), seed % 2 == 0


def _run(session):
    logging.disable(logging.CRITICAL)
    seed, names, fencing = session
    return session, run_session(seed, list(names), fencing)


def test_no_promise_is_broken():
    sessions = list(_sessions())
    assert len(sessions) >= 500
    with ProcessPoolExecutor() as pool:
        broken = [x for x in pool.map(_run, sessions, chunksize=4) if x[1]]
    assert broken == []


def _faults(names, seeds=range(6), fencing=False):
    logging.disable(logging.CRITICAL)
    try:
        for seed in seeds:
            found = run_session(seed, names, fencing)
            if found:
                return " ".join(found)
        return ""
    finally:
        logging.disable(logging.NOTSET)


# Planted faults: the checker must see each of them


def test_the_checker_sees_overfilled_hosts(monkeypatch):
    monkeypatch.setattr(HostIndex, "_change", lambda self, host, need, sign: None)
    assert "overfilled" in _faults(["cancel_wave"])


def test_the_checker_sees_a_task_in_two_places(monkeypatch):
    monkeypatch.setattr(hostwatch, "TASK_LEASE", -1.0)
    assert " ran on " in _faults(["host_mute"], range(12))


def test_the_checker_sees_crossed_answers(monkeypatch):
    hear = Forwarder.hear_reply
    last = {}

    def crossed(self, msg):
        swapped = last.get("msg", msg)
        last["msg"] = msg
        return hear(self, type(msg)(msg.id, swapped.status, swapped.body))

    monkeypatch.setattr(Forwarder, "hear_reply", crossed)
    assert "got the answer" in _faults(["log_slow"])


def test_the_checker_sees_a_false_not_run(monkeypatch):
    lie = property(lambda self: Outcome.NOT_RUN, lambda self, value: None)
    monkeypatch.setattr(Refusal, "outcome", lie, raising=False)
    assert "was not run" in _faults(["host_mute"], range(12))


def test_the_checker_sees_a_second_run(monkeypatch):
    async def careless(self, key, service, body, send):
        return await send()

    monkeypatch.setattr(KeyGuard, "run", careless)
    assert "times" in _faults(["host_mute"], range(12))


def test_the_checker_sees_work_on_a_leaving_host(monkeypatch):
    monkeypatch.setattr(ShardSet, "_apply_list", lambda self, owner: None)
    assert "after leaving" in _faults(["host_leaves"])


def test_the_checker_sees_a_stop_that_cuts_requests(monkeypatch):
    async def abrupt(self):
        return True

    monkeypatch.setattr(Daemon, "drain", abrupt)
    assert "was cut" in _faults(["rolling_replacement"])


def test_the_checker_sees_a_reverted_configuration(monkeypatch):
    apply = Configuration.apply

    def forgetful(self, offset, records):
        changed = apply(self, offset, records)
        if self.revision == 3:
            self.revision = 2
        return changed

    monkeypatch.setattr(Configuration, "apply", forgetful)
    names = ["operators_race", "operators_race"]
    assert "revision" in _faults(names)


@pytest.mark.parametrize("fencing", [False, True])
def test_without_faults_nothing_is_refused(fencing):
    assert _faults([], range(2), fencing) == ""
