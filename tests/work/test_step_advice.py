"""Tests of what a step knows from the advisor, and of when each answer ends."""

from siskinroad.work.step_advice import LONGEST_REJECTION_PAUSE_S, StepAdvice

HOSTS = frozenset(("i-0", "i-1"))


def make_advice():
    """Return advice that allows one of two hosts."""
    advice = StepAdvice()
    advice.record_answer(("i-0", "i-1"), {"i-0": "first"}, 3.0)
    return advice


def test_starts_that_carry_the_same_ticket_count_as_one_rejection():
    # A host gets several starts at a time; counted singly, the rejections of one
    # expired ticket would put off the next request.
    advice = make_advice()
    assert advice.record_rejection("i-0", "first", 1.0).count == 1
    assert advice.record_rejection("i-0", "first", 1.0) is None
    assert advice.find_unanswered(HOSTS, 1.0) == {"i-0"}


def test_a_late_rejection_of_an_older_ticket_does_not_end_the_newest_answer():
    advice = make_advice()
    advice.record_answer(("i-0",), {"i-0": "second"}, 5.0)
    assert advice.record_rejection("i-0", "first", 4.0) is None
    assert advice.tickets["i-0"].value == "second"
    assert not advice.find_unanswered(HOSTS, 4.0)


def test_the_pause_after_rejected_tickets_grows_to_a_limit_and_ends_with_a_start():
    advice = make_advice()
    pauses = []
    for i in range(8):
        now = 10.0 * i
        rejection = advice.record_rejection("i-0", None, now)
        pauses.append(rejection.ask_again_at - now)
        assert advice.find_unanswered(HOSTS, rejection.ask_again_at) == {"i-0"}
        advice.record_answer(("i-0",), {"i-0": f"t-{i}"}, now + 3.0)
    assert pauses == [0.0, 0.5, 1.0, 2.0, 2.0, 2.0, 2.0, 2.0]
    assert max(pauses) == LONGEST_REJECTION_PAUSE_S
    advice.record_acceptance("i-0")
    assert advice.record_rejection("i-0", None, 90.0).ask_again_at == 90.0


def test_a_host_that_is_no_longer_allowed_is_asked_about_once_more():
    advice = make_advice()
    advice.record_answer(("i-0", "i-1"), {}, 5.0)
    assert not advice.tickets
    assert advice.find_unanswered(HOSTS, 4.0) == {"i-0"}
    advice.record_answer(("i-0",), {}, 6.0)
    assert not advice.find_unanswered(HOSTS, 5.0)


def test_nothing_is_known_about_the_next_incarnation_of_a_host():
    advice = make_advice()
    for host in HOSTS:
        advice.forget_host(host)
    assert not advice.tickets
    assert advice.find_unanswered(HOSTS, 1.0) == HOSTS
