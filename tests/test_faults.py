"""Invariants under injected faults: each fault alone, all pairs, and random triples.

Further tests plant faults in the software and check that the invariants detect them.
"""

import itertools
import logging
import random
from concurrent.futures import ProcessPoolExecutor

import pytest

from bench.faults import FAULTS, run_session
from siskinroad import host_monitor
from siskinroad.configuration import Configuration
from siskinroad.entry import Daemon
from siskinroad.errors import Outcome, Refusal
from siskinroad.forwarding import Forwarder
from siskinroad.idempotency import IdempotencyGuard
from siskinroad.placement import HostIndex
from siskinroad.shards import OwnedShards

# Faults that do nothing if other faults are injected.
SOLO_FAULTS = {"host_leaves", "rolling_replacement"}
COMBINABLE_FAULTS = sorted(set(FAULTS) - SOLO_FAULTS)
TRIPLE_COUNT = 200


def _list_sessions():
    for name in sorted(FAULTS):
        for seed in range(6):
            yield seed, (name,), seed % 2 == 0
    pairs = itertools.combinations_with_replacement(COMBINABLE_FAULTS, 2)
    for seed, pair in enumerate(pairs, 100):
        yield seed, pair, seed % 2 == 0
    rng = random.Random(11)
    for seed in range(1000, 1000 + TRIPLE_COUNT):
        yield seed, tuple(rng.sample(COMBINABLE_FAULTS, 3)), seed % 2 == 0


def _run_listed_session(session):
    logging.disable(logging.CRITICAL)
    seed, names, fencing = session
    return session, run_session(seed, list(names), fencing)


def test_no_invariant_is_violated():
    sessions = list(_list_sessions())
    assert len(sessions) >= 500
    with ProcessPoolExecutor() as pool:
        violated = [
            x for x in pool.map(_run_listed_session, sessions, chunksize=4) if x[1]
        ]
    assert violated == []


def _find_violations(names, seeds=range(6), fencing=False):
    """Return the violations of the first seed that has any, else an empty string."""
    logging.disable(logging.CRITICAL)
    try:
        for seed in seeds:
            violations = run_session(seed, names, fencing)
            if violations:
                return " ".join(violations)
        return ""
    finally:
        logging.disable(logging.NOTSET)


# Faults planted in the software: the invariant checks must detect each of them


def test_checks_detect_a_host_over_capacity(monkeypatch):
    """Placement does not account for the tasks already on a host."""
    monkeypatch.setattr(HostIndex, "_adjust", lambda self, host, need, sign: None)
    assert "overfilled" in _find_violations(["cancel_wave"])


def test_checks_detect_a_task_on_two_hosts(monkeypatch):
    """Task leases expire at once, so that tasks start again while they still run."""
    monkeypatch.setattr(host_monitor, "TASK_LEASE_S", -1.0)
    assert " ran on " in _find_violations(["host_mute"], range(12))


def test_checks_detect_swapped_answers(monkeypatch):
    """A daemon answers each forwarded request with the reply to the one before."""
    original_receive = Forwarder.receive_reply
    previous = {}

    def swap_replies(self, msg):
        swapped = previous.get("msg", msg)
        previous["msg"] = msg
        return original_receive(self, type(msg)(msg.id, swapped.status, swapped.body))

    monkeypatch.setattr(Forwarder, "receive_reply", swap_replies)
    assert "got the answer" in _find_violations(["log_slow"])


def test_checks_detect_a_request_refused_as_not_run_that_ran(monkeypatch):
    """Each refusal claims that the request was not run."""
    always_not_run = property(lambda self: Outcome.NOT_RUN, lambda self, value: None)
    monkeypatch.setattr(Refusal, "outcome", always_not_run, raising=False)
    assert "was refused as not run" in _find_violations(["host_mute"], range(12))


def test_checks_detect_a_second_run_of_a_keyed_request(monkeypatch):
    """The idempotency guard runs each repetition of a request."""

    async def run_without_key(self, key, service, body, send):
        return await send()

    monkeypatch.setattr(IdempotencyGuard, "run", run_without_key)
    assert "times" in _find_violations(["host_mute"], range(12))


def test_checks_detect_work_on_a_leaving_host(monkeypatch):
    """Owners ignore changes of the host list."""
    monkeypatch.setattr(OwnedShards, "_apply_host_list", lambda self, owner: None)
    assert "after it was listed as leaving" in _find_violations(["host_leaves"])


def test_checks_detect_a_shutdown_that_drops_requests(monkeypatch):
    """A daemon stops without draining its requests."""

    async def drain_at_once(self):
        return True

    monkeypatch.setattr(Daemon, "drain", drain_at_once)
    assert "failed although all must be answered" in _find_violations(
        ["rolling_replacement"]
    )


def test_checks_detect_a_reverted_configuration(monkeypatch):
    """A daemon that reads revision 3 goes back to revision 2."""
    apply = Configuration.apply

    def apply_and_revert(self, offset, records):
        changed = apply(self, offset, records)
        if self.revision == 3:
            self.revision = 2
        return changed

    monkeypatch.setattr(Configuration, "apply", apply_and_revert)
    names = ["operators_race", "operators_race"]
    assert "revision" in _find_violations(names)


@pytest.mark.parametrize("fencing", [False, True])
def test_without_faults_no_invariant_is_violated(fencing):
    assert _find_violations([], range(2), fencing) == ""
