"""Placement of requests that need the software version that began their stream."""

import pytest

from medlarfork.placement import placement_messages, shard_choice, shard_owner
from tests.routed import placement_helpers, standalone_replay

SLOTS = 2


@pytest.fixture
def upstream_by_id(make_announcement):
    """Return two upstreams of each of two versions."""
    return {
        f"{version}-{number}": make_announcement(
            f"{version}-{number}",
            address=f"10.0.{version[1]}.{number}:80",
            version=version,
            slots=SLOTS,
        )
        for version in ("v1", "v2")
        for number in range(2)
    }


@pytest.fixture
def make_owner(upstream_by_id):
    def make():
        owner = shard_owner.ShardOwner()
        owner.use_engine(placement_helpers.ENGINE)
        owner.use_upstreams(upstream_by_id)
        return owner

    return make


@pytest.fixture
def owner(make_owner):
    return make_owner()


@pytest.fixture
def fill(owner, make_place_request):
    """Return a function that fills all slots of a version."""

    def fill_version(version):
        for number in range(2 * SLOTS):
            request = make_place_request(f"{version}-run-{number}", version=version)
            assert placement_helpers.placed(owner.place("e", request, 0.0)).startswith(version)

    return fill_version


def started(decisions):
    return {
        decision.message.ticket_id: decision.message.upstream_id
        for decision in decisions
        if isinstance(decision.message, placement_messages.Placed)
    }


def refusal(decisions):
    (decision,) = decisions
    assert isinstance(decision.message, placement_messages.PlaceRefused), decision
    return decision.message


def test_a_request_waits_for_its_version_although_others_are_free(owner, fill, make_place_request):
    fill("v1")
    (queued,) = owner.place("e", make_place_request("again", version="v1"), 0.1)
    assert isinstance(queued.message, placement_messages.Queued)
    ended = owner.on_ended(placement_helpers.ended("v1-run-0"), 0.2)
    assert started(ended)["again"].startswith("v1")


def test_a_version_that_no_upstream_of_the_shard_has_is_refused_at_once(owner, make_place_request):
    refused = refusal(owner.place("e", make_place_request(version="v3"), 0.0))
    assert refused.cause is placement_messages.RefusalCause.VERSION


def test_a_queued_request_is_refused_once_its_version_has_gone(
    owner, fill, upstream_by_id, make_place_request
):
    fill("v1")
    owner.place("e", make_place_request("again", version="v1"), 0.1)
    left = {name: item for name, item in upstream_by_id.items() if item.version == "v2"}
    owner.use_upstreams(left)
    refused = refusal(owner.serve_waiting(0.2))
    assert refused.cause is placement_messages.RefusalCause.VERSION


# Guards against: requests that wait for a full version held up those that any upstream may run.
def test_requests_that_wait_for_a_version_do_not_hold_up_those_behind_them(
    owner, fill, make_place_request
):
    fill("v1")
    for number in range(40):
        owner.place("e", make_place_request(f"again-{number}", version="v1"), 0.1)
    fill("v2")
    for number in range(3):
        owner.place("e", make_place_request(f"new-{number}"), 0.2)
    decisions = owner.on_ended(placement_helpers.ended("v2-run-0"), 0.3)
    assert started(decisions)["new-0"].startswith("v2")


# Guards against: new requests took each slot that a queued request needs for its version.
def test_a_new_request_does_not_take_the_slot_that_an_earlier_one_needs(
    owner, fill, make_place_request
):
    fill("v1")
    fill("v2")
    owner.place("e", make_place_request("again", version="v1", account="shop"), 0.1)
    owner.serve_waiting(0.2)
    assert not owner.on_ended(placement_helpers.ended("v1-run-0"), 0.201)
    decisions = owner.place("e", make_place_request("new", account="shop"), 0.202)
    assert started(decisions)["again"].startswith("v1")


def test_a_new_request_starts_at_once_where_only_a_version_is_waited_for(
    owner, fill, make_place_request
):
    fill("v1")
    owner.place("e", make_place_request("again", version="v1", account="shop"), 0.1)
    decisions = owner.place("e", make_place_request("new", account="shop"), 0.101)
    assert started(decisions)["new"].startswith("v2")


def test_a_wait_is_predicted_from_the_upstreams_of_the_version(make_owner, make_place_request):
    """Forecast from all engines, a version that many wait for looked as fast as the service."""

    def queued(version):
        """Return how many long prompts are queued before one is refused as hopeless."""
        owner, count = make_owner(), 0
        for number in range(100):
            request = make_place_request(
                f"{version}-{number}",
                ((f"p-{number}", 20_000),),
                version=version,
                target_ms=1000.0,
                left_ms=5000.0,
            )
            messages = [decision.message for decision in owner.place("e", request, 0.0)]
            if any(isinstance(item, placement_messages.PlaceRefused) for item in messages):
                return count
            count += any(isinstance(item, placement_messages.Queued) for item in messages)
        raise AssertionError("no request was refused")

    # Half of the upstreams have the version.
    assert queued("v1") <= queued(None) / 2 + 1


def test_only_shards_with_the_version_are_chosen(make_announcement):
    upstreams = [
        make_announcement(f"u-{number}", version="v2" if number == 7 else "v1")
        for number in range(40)
    ]
    whole = shard_choice.sizes("engines", upstreams)
    of_version = shard_choice.sizes("engines", upstreams, "v2")
    assert len(whole) > 1
    ((shard, size),) = of_version.items()
    assert size == 1
    assert shard.has("u-7")
    assert shard.count == next(iter(whole)).count


def test_without_an_owner_a_request_starts_only_at_its_version(upstream_by_id, make_place_request):
    queue = standalone_replay.make_queue(list(upstream_by_id.values()))
    waiting = [
        standalone_replay.place(queue, make_place_request(f"t-{n}", version="v1"), 0.0)
        for n in range(2 * SLOTS)
    ]
    assert all(standalone_replay.upstream_of(item).startswith("v1") for item in waiting)
    refused = standalone_replay.place(queue, make_place_request("none", version="v3"), 0.0)
    assert "version 'v3'" in refused.outcome.why
    late = standalone_replay.place(queue, make_place_request("late", version="v1"), 0.1)
    other = standalone_replay.place(queue, make_place_request("other"), 0.1)
    assert late.outcome is None
    assert standalone_replay.upstream_of(other).startswith("v2")
