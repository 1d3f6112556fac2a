"""What an owner of placement counts as running, through lost hosts, upstreams and owners."""

from medlarfork.placement import (
    owner,
    placement_messages,
    upstream_load,
)
from tests.routed import placing


def test_a_lost_entry_host_frees_its_slots(make_owner, make_question):
    owner = make_owner(count=1, slots=1)
    owner.place("lost", make_question("a"), 0.0)
    owner.place("e", make_question("b"), 0.0)
    (answer,) = owner.forget_entry("lost", 1.0)
    assert answer.message.ticket_id == "b"


def test_a_run_whose_end_was_never_reported_is_taken_off(make_owner, make_question):
    owner = make_owner(count=1, slots=1)
    placing.placed(owner.place("e", make_question("lost", left_ms=1000.0), 0.0))
    assert owner.end_overdue(1.0 + upstream_load.LEAK_S) == ()
    assert owner.end_overdue(1.1 + upstream_load.LEAK_S) == ("lost",)
    placing.placed(owner.place("e", make_question("next"), 4.0))


def test_an_upstream_that_was_not_heard_of_for_a_while_still_runs_what_it_ran(
    make_owner, make_announcement, make_question
):
    """Replay a cut: engines came back as empty, got twice their slots and stopped requests."""
    owner = make_owner(count=1, slots=2)
    for n in range(2):
        placing.placed(owner.place("e", make_question(f"t{n}"), 0.0))
    owner.use_upstreams({})
    (answer,) = owner.place("e", make_question("absent"), 1.0)
    assert isinstance(answer.message, placement_messages.Queued)
    owner.on_ended(placing.ended("absent"), 1.5)
    owner.use_upstreams({"u-0": make_announcement("u-0")})
    (answer,) = owner.place("e", make_question("back"), 2.0)
    assert isinstance(answer.message, placement_messages.Queued)


def test_an_upstream_that_is_gone_for_good_is_forgotten(make_owner, make_question):
    owner = make_owner(count=1, slots=2)
    placing.placed(owner.place("e", make_question("runs"), 0.0))
    owner.use_upstreams({})
    owner.end_overdue(0.5)
    owner.end_overdue(0.6 + upstream_load.KEEP_ABSENT_S)
    assert owner.load_by_id == {}
    assert owner.on_ended(placing.ended("runs"), 60.0) == ()


def test_nothing_is_kept_of_a_ticket_whose_end_was_never_reported(make_announcement, make_question):
    whole = owner.Owner()
    whole.use_upstreams((make_announcement(slots=9),), 0.0)
    for n in range(5):
        whole.handle("e", make_question(f"t{n}", left_ms=1000.0), 0.0)
    assert whole.tidy(1.1 + upstream_load.LEAK_S) == 5
    assert not whole._shard_by_ticket


def test_a_new_owner_counts_runs_that_an_earlier_one_placed(make_owner, make_question):
    owner = make_owner(count=1, slots=1)
    running = placement_messages.StillRunning(make_question("a"), "u-0", True)
    owner.on_still_running("e", running, 0.0)
    (answer,) = owner.place("e", make_question("b"), 0.0)
    assert isinstance(answer.message, placement_messages.Queued)


def test_a_new_owner_counts_reading_that_has_not_ended(make_owner, make_question):
    service = make_owner(slots=64)
    running = placement_messages.StillRunning(make_question("a", placing.LONG), "u-0", False)
    service.on_still_running("e", running, 0.0)
    assert service.load_by_id["u-0"].backlog_ms(0.0) > 100.0


def test_an_entry_host_that_asks_another_owner_is_forgotten(make_announcement, make_question):
    whole = owner.Owner()
    whole.use_upstreams((make_announcement(slots=1),), 0.0)
    whole.handle("e1", make_question("a"), 0.0)
    whole.handle("e2", make_question("b"), 0.0)
    (answer,) = whole.handle(
        "e1",
        placement_messages.OwnerChosen(placement_messages.Shard("engines"), is_chosen=False),
        0.5,
    )
    assert answer.message == placement_messages.Placed("b", "u-1")


def test_a_request_that_is_asked_for_again_gets_its_answer_again(make_owner, make_question):
    service = make_owner(count=3, slots=1)
    first = placing.placed(service.place("e", make_question("a"), 0.0))
    assert placing.placed(service.place("e", make_question("a"), 0.1)) == first
    assert sum(len(load.run_by_ticket) for load in service.load_by_id.values()) == 1
