"""What an owner knows of later claims on its pool."""

from siskinroad.work.claim_knowledge import ClaimKnowledge


def test_nothing_is_awaited_where_nobody_else_can_claim():
    claims = ClaimKnowledge()
    assert claims.was_sole_owner(1e9)
    assert not claims.is_awaited
    assert claims.age_s(5.0) is None


def test_a_conclusion_waits_until_it_is_known_for_its_time():
    claims = ClaimKnowledge()
    claims.unclaimed_at = 3.0
    assert claims.was_sole_owner(3.0)
    assert not claims.was_sole_owner(4.0)
    claims.note_unclaimed(3.9)
    assert claims.is_awaited
    claims.note_unclaimed(4.0)
    assert not claims.is_awaited
    assert claims.was_sole_owner(4.0)
    assert claims.age_s(4.5) == 0.5


def test_what_was_known_before_a_suspension_shows_nothing():
    claims = ClaimKnowledge()
    claims.unclaimed_at = 3.0
    claims.revoke()
    assert not claims.was_sole_owner(2.0)
    assert claims.age_s(4.0) is None
    claims.note_unclaimed(5.0)
    assert claims.was_sole_owner(2.0)
