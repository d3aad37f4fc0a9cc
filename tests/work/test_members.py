"""Tests of members: liveness by heartbeats, choice of claimant and job writer."""

import hashlib
import random

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


def make_members(*heartbeats, node="a", now=10.0, sizes=None):
    members = Members(node, 1, pool_sizes=sizes or {})
    for received in heartbeats:
        members.record_heartbeat(received, now)
    return members


def find_claimants(pool, *heartbeats, now=10.0, sizes=None, decide=None):
    """Return the daemons that would claim the pool, each by its own heartbeats.

    ``decide`` replaces the decision of a daemon whose processor is unknown.
    """
    names = [each.node for each in heartbeats]
    found = []
    for each in heartbeats:
        if not each.can_claim:
            continue
        members = make_members(
            *[b for b in heartbeats if b.node != each.node],
            node=each.node,
            sizes=sizes,
        )
        if decide is not None and not each.processor:
            should_claim = decide(pool, each, heartbeats)
        else:
            should_claim = members.should_claim(pool, now, each)
        if should_claim:
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


def test_a_pool_waits_for_a_larger_daemon_that_has_just_started_but_not_for_long():
    starting = heartbeat("b", can_claim=False, processor=2.1)
    members = make_members(starting, heartbeat("c", processor=0.5))
    own = heartbeat("a", processor=1.0)
    assert not members.should_claim("p", 10.0, own, may_wait=True)
    assert members.should_claim("p", 10.0, own)
    larger = heartbeat("a", processor=2.2)
    assert members.should_claim("p", 10.0, larger, may_wait=True)


def test_a_pool_does_not_wait_for_a_starting_daemon_in_a_mixed_set():
    # Daemons of an earlier version do not wait, and would claim beside the one waited
    # for.
    heartbeats = [heartbeat("a", processor=1.0), heartbeat("b")]
    starting = heartbeat("c", can_claim=False, processor=2.1)
    for number in range(20):
        pool = f"p{number}"
        members = make_members(heartbeats[1], starting)
        claims = members.should_claim(pool, 10.0, heartbeats[0], may_wait=True)
        assert claims == (find_claimants(pool, *heartbeats) == ["a"])


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


def test_the_daemon_with_the_most_processor_claims():
    heartbeats = [
        heartbeat("a", processor=0.5),
        heartbeat("b", processor=2.1),
        heartbeat("c", processor=1.4),
    ]
    for number in range(20):
        assert find_claimants(f"p{number}", *heartbeats) == ["b"]
    out_of_reach = [heartbeats[0], heartbeat("b", store_age=9.0, processor=2.1)]
    assert find_claimants("p", *out_of_reach) == ["a"]


def test_daemons_of_equal_processor_share_the_pools():
    heartbeats = [heartbeat(node, processor=1.0) for node in "abc"]
    found = {find_claimants(f"p{i}", *heartbeats)[0] for i in range(20)}
    assert found == set("abc")


def test_an_owner_claims_again_only_if_it_keeps_more_processor_for_each_pool():
    for owner, claimant in ((2.1, "a"), (1.9, "b")):
        heartbeats = [
            heartbeat("a", [("q", 3)], processor=owner),
            heartbeat("b", processor=1.0),
        ]
        assert find_claimants("p", *heartbeats) == [claimant]
        claiming = [heartbeat("a", claiming=("q",), processor=owner), heartbeats[1]]
        assert find_claimants("p", *claiming) == [claimant]


def test_the_owner_of_a_large_pool_claims_no_small_one_beside_smaller_daemons():
    # The second daemon has less processor per pool, but far fewer hosts.
    heartbeats = [
        heartbeat("a", [("large", 3)], processor=2.1),
        heartbeat("b", [("small", 4)], processor=1.0),
    ]
    sizes = {"large": 126, "small": 20, "p": 20}
    assert find_claimants("p", *heartbeats) == ["a"]
    assert find_claimants("p", *heartbeats, sizes=sizes) == ["b"]


def make_random_set(rng, known_share):
    """Return heartbeats of a few daemons that may own pools, and sizes of pools."""
    pools = ["p", "q", "r", "s"]
    owned = {name: rng.choice("abcde") for name in pools[1:] if rng.random() < 0.7}
    heartbeats = [
        heartbeat(
            node,
            [(name, 1) for name, owner in owned.items() if owner == node],
            processor=rng.uniform(0.5, 2.1) if rng.random() < known_share else 0.0,
        )
        for node in "abcde"
    ]
    return heartbeats, {name: rng.randrange(1, 200) for name in pools}


def test_all_daemons_agree_whatever_they_own():
    rng = random.Random(5)
    for _ in range(200):
        heartbeats, sizes = make_random_set(rng, 1.0)
        assert len(find_claimants("p", *heartbeats, sizes=sizes)) == 1


def decide_as_earlier_version(pool, own, heartbeats):
    """Return whether a daemon of the version without processors would claim."""

    def order(each):
        data = f"{pool}\0{each.node}".encode()
        return len(each.owned), hashlib.blake2b(data, digest_size=8).digest()

    return min(heartbeats, key=order) is own


def test_daemons_of_two_versions_agree_on_one_claimant():
    # Both run side by side during a rolling restart, and two claims cost a term.
    rng = random.Random(7)
    decide = decide_as_earlier_version
    for _ in range(200):
        heartbeats, sizes = make_random_set(rng, 0.6)
        found = find_claimants("p", *heartbeats, sizes=sizes, decide=decide)
        assert len(found) == 1


def test_daemons_of_two_versions_never_claim_twice_beside_another_claim():
    # Earlier versions do not count a claim in progress, so nobody may claim for a
    # moment.
    rng = random.Random(11)

    def decide(pool, own, heartbeats):
        counted = [msgspec.structs.replace(each, claiming=()) for each in heartbeats]
        index = heartbeats.index(own)
        # The claimant itself counts its claim.
        owned = own.owned + tuple((name, 0) for name in own.claiming)
        counted[index] = msgspec.structs.replace(counted[index], owned=owned)
        return decide_as_earlier_version(pool, counted[index], counted)

    for _ in range(200):
        heartbeats, sizes = make_random_set(rng, 0.6)
        heartbeats[0] = msgspec.structs.replace(heartbeats[0], claiming=("t",))
        found = find_claimants("p", *heartbeats, sizes=sizes, decide=decide)
        assert len(found) <= 1


def test_daemons_do_not_wait_for_an_owner_that_has_fallen_silent():
    # An owner that lost power remains a live daemon for longer than it remains the
    # owner. It would be the best claimant of its own pool, or of an equal number of
    # pools by hash.
    for processors in ((2.1, 1.0, 0.5), (0.0, 0.0, 0.0)):
        silent, b, c = (
            heartbeat(node, [(pool, 3)], processor=processor)
            for node, pool, processor in zip("abc", "pqr", processors, strict=True)
        )
        for number in range(20):
            pool = f"p{number}"
            writers = set()
            claimants = []
            for own, other in ((b, c), (c, b)):
                members = make_members(silent, node=own.node, now=9.0)
                members.record_heartbeat(other, 10.0)
                writers.add(members.job_writer(pool, 10.0, own))
                if members.should_claim(pool, 10.0, own):
                    claimants.append(own.node)
            assert len(claimants) == 1 and len(writers) == 1
            assert "a" not in writers


def test_the_job_writer_is_the_daemon_that_should_claim():
    # The claimant reads the jobs that it stored itself without another trip.
    rng = random.Random(9)
    for _ in range(50):
        heartbeats, sizes = make_random_set(rng, 1.0)
        heartbeats[0] = msgspec.structs.replace(heartbeats[0], can_claim=False)
        (claimant,) = find_claimants("p", *heartbeats, sizes=sizes)
        for own in heartbeats:
            others = [each for each in heartbeats if each is not own]
            members = make_members(*others, node=own.node, sizes=sizes)
            assert members.job_writer("p", 10.5, own) == claimant


def test_daemons_that_cannot_claim_yet_choose_the_largest_as_job_writer():
    heartbeats = [
        heartbeat(node, can_claim=False, processor=processor)
        for node, processor in (("a", 0.5), ("b", 2.1), ("c", 1.4))
    ]
    for own in heartbeats:
        members = make_members(*[b for b in heartbeats if b is not own], node=own.node)
        assert members.job_writer("p", 10.5, own) == "b"


def test_daemons_of_two_versions_choose_the_job_writer_by_rank():
    heartbeats = [heartbeat("a", processor=2.1), heartbeat("b"), heartbeat("c")]
    without = [heartbeat(node) for node in "abc"]
    for number in range(20):
        pool = f"p{number}"
        expected = make_members(*without[1:]).job_writer(pool, 10.5, without[0])
        members = make_members(*heartbeats[1:])
        assert members.job_writer(pool, 10.5, heartbeats[0]) == expected


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
