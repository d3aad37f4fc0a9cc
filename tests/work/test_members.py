"""Tests of members: liveness by heartbeats, choice of claimant and job writer."""

import msgspec

from siskinroad.work.members import Members
from siskinroad.work.messages import Heartbeat
from siskinroad.work.records import Member


def heartbeat(
    node,
    owned=(),
    incarnation=1,
    store_age=0.1,
    is_leaving=False,
    can_claim=True,
    **fields,
):
    return Heartbeat(
        node, incarnation, tuple(owned), store_age, is_leaving, can_claim, **fields
    )


def make_members(*heartbeats, node="a", now=10.0):
    members = Members(node, 1)
    for received in heartbeats:
        members.record_heartbeat(received, now)
    return members


def find_claimants(pool, *heartbeats, now=10.0):
    """Return the daemons that would claim the pool, each by its own heartbeats."""
    names = [each.node for each in heartbeats]
    found = []
    for each in heartbeats:
        if not each.can_claim:
            continue
        members = make_members(
            *[b for b in heartbeats if b.node != each.node], node=each.node
        )
        if members.should_claim(pool, now, each):
            found.append(each.node)
    assert set(found) <= set(names)
    return found


def test_all_daemons_agree_on_one_claimant():
    assert len(find_claimants("p", heartbeat("a"), heartbeat("b"), heartbeat("c"))) == 1


def test_a_daemon_that_has_just_started_does_not_keep_others_from_claiming():
    # Daemons restart one after another. If the others deferred to one that cannot claim
    # yet, nobody would claim the pool.
    for starting in "abc":
        heartbeats = [heartbeat(n, can_claim=n != starting) for n in "abc"]
        assert len(find_claimants("p", *heartbeats)) == 1


def test_a_daemon_without_pools_claims_before_those_that_own_one():
    heartbeats = [
        heartbeat("a", [("q", 3)]),
        heartbeat("b", [("r", 4)]),
        heartbeat("c"),
    ]
    assert find_claimants("p", *heartbeats) == ["c"]


def test_one_daemon_claims_while_another_is_claiming_a_different_pool():
    # A claim takes seconds while the store is slow. Others must count it as the
    # claimant itself does, or they defer to it and nobody claims the second pool.
    heartbeats = [heartbeat("a", claiming=("p",)), heartbeat("b"), heartbeat("c")]
    for number in range(20):
        (claimant,) = find_claimants(f"q{number}", *heartbeats)
        assert claimant != "a"


def test_a_daemon_that_cannot_reach_the_store_does_not_claim():
    own = heartbeat("a", store_age=9.0)
    assert not make_members(heartbeat("b")).should_claim("p", 10.0, own)
    members = make_members(heartbeat("b", store_age=9.0), heartbeat("c", store_age=9.0))
    assert members.should_claim("p", 10.0, heartbeat("a"))


def test_the_highest_term_owns_a_pool_while_its_heartbeats_arrive():
    members = make_members(heartbeat("b", [("p", 4)]), heartbeat("c", [("p", 9)]))
    assert members.owner("p", 10.5) == "c"
    assert members.owner("p", 11.5) is None


def test_a_later_incarnation_ends_the_ownership_of_an_earlier_one():
    members = make_members(heartbeat("b", [("p", 4)]))
    members.record_heartbeat(heartbeat("b", incarnation=2), 10.1)
    assert members.owner("p", 10.1) is None
    assert members.has_later_incarnation("b", 1)
    members.record_heartbeat(heartbeat("b", [("p", 4)]), 10.2)
    assert members.owner("p", 10.2) is None


def test_a_pool_released_by_a_leaving_owner_is_known():
    members = make_members(heartbeat("b", [("p", 4)]))
    members.record_heartbeat(heartbeat("b", [("p", 4)], is_leaving=True), 10.1)
    assert not members.was_released("p", 10.1)
    members.record_heartbeat(heartbeat("b", is_leaving=True), 10.2)
    assert members.was_released("p", 10.2)
    assert members.live_members(10.2) == []


def test_a_slow_claim_of_another_daemon_is_not_disturbed():
    # The store is slow, so the claim takes two seconds. A second claim, by a daemon of
    # better rank that starts meanwhile, would depose the first claimant.
    members = make_members(msgspec.structs.replace(heartbeat("b"), claiming=("p",)))
    assert members.claimant("p", 10.5) == "b"
    assert members.claimant("q", 10.5) is None
    assert members.claimant("p", 11.5) is None


def test_only_newer_incarnations_of_members_are_added():
    members = Members("a", 1)
    assert members.add_member(Member("b", 2, "x", "d", "r"))
    assert not members.add_member(Member("b", 1, "y", "d", "r"))
    members.remove_unlisted(set())
    assert members.other_members() == []


def test_the_pools_of_an_ended_daemon_may_be_claimed_at_once():
    members = make_members(heartbeat("b", [("p", 4)]), heartbeat("c"))
    members.note_ended("b", 10.1)
    assert members.owner("p", 10.1) is None
    assert members.was_released("p", 10.1)
    assert members.live_members(10.1) == ["c"]
    assert not members.has_later_incarnation("b", 1)


def test_a_heartbeat_after_a_suspected_end_makes_the_daemon_live_again():
    members = make_members(heartbeat("b", [("p", 4)]))
    members.note_ended("b", 10.1)
    members.record_heartbeat(heartbeat("b", [("p", 4)]), 10.2)
    assert members.owner("p", 10.2) == "b"


def test_all_daemons_choose_the_same_job_writer_for_a_pool_without_an_owner():
    # The partition of a slow store processes appends one at a time: several writers
    # would wait for each other.
    heartbeats = [heartbeat(n) for n in "abc"]
    found = set()
    for node in "abc":
        members = make_members(*[b for b in heartbeats if b.node != node], node=node)
        found.add(members.job_writer("p", 10.5, heartbeat(node)))
    assert len(found) == 1


def test_the_daemon_that_is_claiming_a_pool_writes_its_jobs():
    claiming = msgspec.structs.replace(heartbeat("c"), claiming=("p",))
    for node in "ab":
        members = make_members(heartbeat("b"), claiming, node=node)
        assert members.job_writer("p", 10.5, heartbeat(node)) == "c"


def test_a_daemon_that_cannot_reach_the_store_chooses_a_job_writer_that_can():
    own, distant = (heartbeat(node, store_age=9.0) for node in "ac")
    assert make_members(heartbeat("b"), distant).job_writer("p", 10.5, own) == "b"
    assert make_members(distant).job_writer("p", 10.5, own) == "a"


def test_a_leaving_daemon_writes_the_jobs_of_no_pool_while_there_are_others():
    own = heartbeat("a", is_leaving=True)
    for number in range(20):
        pool = f"p{number}"
        assert make_members(heartbeat("b")).job_writer(pool, 10.5, own) == "b"
    assert make_members().job_writer("p", 10.5, own) == "a"


def test_a_leaving_owner_receives_requests_for_as_long_as_it_owns_the_pool():
    # Submissions during a rolling stop must not bypass the owner and go to the store.
    members = make_members(heartbeat("b", [("p", 4)], is_leaving=True), heartbeat("c"))
    assert members.live_members(10.1) == ["c"]
    assert members.is_alive("b", 10.1) and members.owner("p", 10.1) == "b"
    assert not members.is_alive("b", 12.5) and not members.is_alive("x", 10.1)
