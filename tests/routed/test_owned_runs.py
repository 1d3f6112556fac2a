"""Which runs a placement owner counts after losing entry hosts, upstreams or an earlier owner."""

from medlarfork.placement import (
    owner,
    placement_messages,
    upstream_load,
)
from tests.routed import placement_helpers


def test_a_lost_entry_host_frees_its_slots(make_shard_owner, make_place_request):
    owner = make_shard_owner(count=1, slots=1)
    owner.place("lost", make_place_request("a"), 0.0)
    owner.place("e", make_place_request("b"), 0.0)
    (answer,) = owner.release_entry("lost", 1.0)
    assert answer.message.ticket_id == "b"


def test_a_run_whose_end_was_never_reported_is_removed(make_shard_owner, make_place_request):
    owner = make_shard_owner(count=1, slots=1)
    placement_helpers.placed(owner.place("e", make_place_request("lost", left_ms=1000.0), 0.0))
    assert owner.end_overdue(1.0 + upstream_load.LOST_RUN_GRACE_S) == ()
    assert owner.end_overdue(1.1 + upstream_load.LOST_RUN_GRACE_S) == ("lost",)
    placement_helpers.placed(owner.place("e", make_place_request("next"), 4.0))


def test_an_upstream_that_was_absent_for_a_while_keeps_its_runs(
    make_shard_owner, make_announcement, make_place_request
):
    """After a partition, engines seemed empty, got twice their slots and preempted requests."""
    owner = make_shard_owner(count=1, slots=2)
    for n in range(2):
        placement_helpers.placed(owner.place("e", make_place_request(f"t{n}"), 0.0))
    owner.use_upstreams({})
    (answer,) = owner.place("e", make_place_request("absent"), 1.0)
    assert isinstance(answer.message, placement_messages.Queued)
    owner.on_ended(placement_helpers.ended("absent"), 1.5)
    owner.use_upstreams({"u-0": make_announcement("u-0")})
    (answer,) = owner.place("e", make_place_request("back"), 2.0)
    assert isinstance(answer.message, placement_messages.Queued)


def test_an_upstream_that_stays_absent_is_evicted(make_shard_owner, make_place_request):
    owner = make_shard_owner(count=1, slots=2)
    placement_helpers.placed(owner.place("e", make_place_request("runs"), 0.0))
    owner.use_upstreams({})
    owner.end_overdue(0.5)
    owner.end_overdue(0.6 + upstream_load.ABSENT_RETENTION_S)
    assert owner.load_by_id == {}
    assert owner.on_ended(placement_helpers.ended("runs"), 60.0) == ()


def test_nothing_is_kept_of_a_ticket_whose_end_was_never_reported(
    make_announcement, make_place_request
):
    placement_owner = owner.PlacementOwner()
    placement_owner.use_upstreams((make_announcement(slots=9),), 0.0)
    for n in range(5):
        placement_owner.handle("e", make_place_request(f"t{n}", left_ms=1000.0), 0.0)
    assert placement_owner.tidy(1.1 + upstream_load.LOST_RUN_GRACE_S) == 5
    assert not placement_owner._shard_by_ticket


def test_a_new_owner_counts_runs_that_an_earlier_one_placed(make_shard_owner, make_place_request):
    owner = make_shard_owner(count=1, slots=1)
    running = placement_messages.StillRunning(make_place_request("a"), "u-0", True)
    owner.on_still_running("e", running, 0.0)
    (answer,) = owner.place("e", make_place_request("b"), 0.0)
    assert isinstance(answer.message, placement_messages.Queued)


def test_a_new_owner_counts_unfinished_prefill(make_shard_owner, make_place_request):
    service = make_shard_owner(slots=64)
    running = placement_messages.StillRunning(
        make_place_request("a", placement_helpers.LONG), "u-0", False
    )
    service.on_still_running("e", running, 0.0)
    assert service.load_by_id["u-0"].backlog_ms(0.0) > 100.0


def test_runs_of_a_host_that_asks_another_owner_are_released(make_announcement, make_place_request):
    placement_owner = owner.PlacementOwner()
    placement_owner.use_upstreams((make_announcement(slots=1),), 0.0)
    placement_owner.handle("e1", make_place_request("a"), 0.0)
    placement_owner.handle("e2", make_place_request("b"), 0.0)
    (answer,) = placement_owner.handle(
        "e1",
        placement_messages.OwnerChosen(placement_messages.Shard("engines"), is_chosen=False),
        0.5,
    )
    assert answer.message == placement_messages.Placed("b", "u-1")


def test_a_repeated_placement_request_gets_the_same_answer(make_shard_owner, make_place_request):
    service = make_shard_owner(count=3, slots=1)
    first = placement_helpers.placed(service.place("e", make_place_request("a"), 0.0))
    assert placement_helpers.placed(service.place("e", make_place_request("a"), 0.1)) == first
    assert sum(len(load.run_by_ticket) for load in service.load_by_id.values()) == 1
