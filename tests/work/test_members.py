import msgspec

from siskinroad.work.members import Members
from siskinroad.work.messages import Beat
from siskinroad.work.records import Member


def beat(node, owned=(), incarnation=1, age=0.1, leaving=False, able=True):
    return Beat(node, incarnation, tuple(owned), age, leaving, able)


def make(*beats, node="a", now=10.0):
    members = Members(node, 1)
    for each in beats:
        members.hear(each, now)
    return members


def claimants(pool, *beats, now=10.0, age=0.1):
    """Return the daemons of which each would claim the pool by itself."""
    names = [each.node for each in beats]
    found = []
    for each in beats:
        if not each.able:
            continue
        members = make(*[b for b in beats if b.node != each.node], node=each.node)
        if members.should_claim(pool, now, len(each.owned), age):
            found.append(each.node)
    assert set(found) <= set(names)
    return found


def test_all_daemons_agree_on_one_claimant():
    assert len(claimants("p", beat("a"), beat("b"), beat("c"))) == 1


def test_a_daemon_that_has_just_started_holds_nobody_up():
    # Load: daemons that restart one after another, each with the best rank.
    for young in "abc":
        beats = [beat(n, able=n != young) for n in "abc"]
        assert len(claimants("p", *beats)) == 1


def test_who_owns_a_pool_already_comes_last():
    beats = [beat("a", [("q", 3)]), beat("b", [("r", 4)]), beat("c")]
    assert claimants("p", *beats) == ["c"]


def test_a_daemon_without_the_store_does_not_claim():
    assert not make(beat("b")).should_claim("p", 10.0, 0, 9.0)
    members = make(beat("b", age=9.0), beat("c", age=9.0))
    assert members.should_claim("p", 10.0, 0, 0.1)


def test_the_owner_of_the_highest_term_is_the_owner_while_it_beats():
    members = make(beat("b", [("p", 4)]), beat("c", [("p", 9)]))
    assert members.owner("p", 10.5) == "c"
    assert members.owner("p", 11.5) is None


def test_a_later_life_ends_the_owning_of_an_earlier_one():
    members = make(beat("b", [("p", 4)]))
    members.hear(beat("b", incarnation=2), 10.1)
    assert members.owner("p", 10.1) is None
    assert members.is_later_life("b", 1)
    members.hear(beat("b", [("p", 4)]), 10.2)
    assert members.owner("p", 10.2) is None


def test_a_pool_that_a_leaving_owner_gave_up_is_known():
    members = make(beat("b", [("p", 4)]))
    members.hear(beat("b", [("p", 4)], leaving=True), 10.1)
    assert not members.has_given_up("p", 10.1)
    members.hear(beat("b", leaving=True), 10.2)
    assert members.has_given_up("p", 10.2)
    assert members.alive(10.2) == []


def test_a_claim_that_takes_long_is_left_alone():
    # Load: a slow store, a claim of two seconds, and a better rank that comes up.
    members = make(msgspec.structs.replace(beat("b"), claiming=("p",)))
    assert members.claimant("p", 10.5) == "b"
    assert members.claimant("q", 10.5) is None
    assert members.claimant("p", 11.5) is None


def test_only_news_of_members_is_taken_in():
    members = Members("a", 1)
    assert members.learn(Member("b", 2, "x", "d", "r"))
    assert not members.learn(Member("b", 1, "y", "d", "r"))
    members.forget_all_but(set())
    assert members.others() == []


def test_the_pools_of_a_daemon_that_has_ended_are_claimed_at_once():
    members = make(beat("b", [("p", 4)]), beat("c"))
    members.ended("b", 10.1)
    assert members.owner("p", 10.1) is None
    assert members.has_given_up("p", 10.1)
    assert members.alive(10.1) == ["c"]
    assert not members.is_later_life("b", 1)


def test_a_daemon_that_beats_after_its_end_was_suspected_lives():
    members = make(beat("b", [("p", 4)]))
    members.ended("b", 10.1)
    members.hear(beat("b", [("p", 4)]), 10.2)
    assert members.owner("p", 10.2) == "b"


def test_all_daemons_hand_the_jobs_of_a_pool_without_an_owner_to_the_same_one():
    # Load: a slow store whose partition takes one append after another.
    beats = [beat(n) for n in "abc"]
    found = set()
    for node in "abc":
        members = make(*[b for b in beats if b.node != node], node=node)
        found.add(members.gatherer("p", 10.5, 0.1))
    assert len(found) == 1


def test_who_is_about_to_own_a_pool_gathers_its_jobs():
    claiming = msgspec.structs.replace(beat("c"), claiming=("p",))
    for node in "ab":
        members = make(beat("b"), claiming, node=node)
        assert members.gatherer("p", 10.5, 0.1) == "c"


def test_a_daemon_without_the_store_hands_jobs_to_one_that_reaches_it():
    members = make(beat("b"), beat("c", age=9.0))
    assert members.gatherer("p", 10.5, 9.0) == "b"
    assert make(beat("c", age=9.0)).gatherer("p", 10.5, 9.0) == "a"


def test_a_leaving_owner_is_asked_for_as_long_as_it_owns():
    # Load: submissions during a rolling stop, which went past the owner to the store.
    members = make(beat("b", [("p", 4)], leaving=True), beat("c"))
    assert members.alive(10.1) == ["c"]
    assert members.answers("b", 10.1) and members.owner("p", 10.1) == "b"
    assert not members.answers("b", 12.5) and not members.answers("x", 10.1)
