"""How the upstreams of a large service are divided into shards with one owner each."""

import collections

import pytest

from medlarfork import rendezvous
from medlarfork.placement import (
    owner,
    placement_messages,
    shard_choice,
)
from medlarfork.routes import routing
from tests.routed import placement_helpers


def test_the_shards_of_a_large_service_share_its_engines_and_its_load(make_announcement):
    """With 45 engines, one owner, and then three, compared too many of them and fell behind."""
    engines = [make_announcement(f"u-{n}") for n in range(45)]
    sizes = shard_choice.sizes("engines", engines)
    assert len(sizes) == 4
    assert max(sizes.values()) <= 15
    assert sum(sizes.values()) == 45
    keys = [f"matter-{n}" for n in range(3000)]
    chosen = collections.Counter(shard_choice.choose(key, sizes, "engines")[0] for key in keys)
    for shard, size in sizes.items():
        assert chosen[shard] / 3000 == pytest.approx(size / 45, abs=0.04)


def test_a_small_service_is_one_shard(make_announcement):
    few = [make_announcement(f"u-{n}") for n in range(6)]
    placement_owner = placement_messages.Shard("engines")
    sizes = shard_choice.sizes("engines", few)
    assert shard_choice.choose("any", sizes, "engines") == (placement_owner, None)
    assert shard_choice.choose("any", shard_choice.sizes("none", few), "none")[0].service == "none"


def test_a_key_always_has_the_same_alternative_shard(make_announcement):
    engines = [make_announcement(f"u-{n}") for n in range(45)]
    sizes = shard_choice.sizes("engines", engines)
    chosen = [shard_choice.choose(f"matter-{n}", sizes, "engines") for n in range(200)]
    assert chosen == [shard_choice.choose(f"matter-{n}", sizes, "engines") for n in range(200)]
    assert all(first != second for first, second in chosen)
    assert {second for _, second in chosen} == set(sizes)


def test_the_shards_of_a_service_have_different_owners():
    """With four shards and nine replicas, a replica that owned two shards fell behind."""
    replicas = tuple(f"r{n}" for n in range(9))
    for n in range(50):
        owners = shard_choice.owners(f"service-{n}", 6, replicas)
        assert len(set(owners)) == 6
        fewer = shard_choice.owners(f"service-{n}", 6, tuple(r for r in replicas if r != "r0"))
        assert "r0" not in fewer
        if "r0" not in owners:
            assert fewer == owners
    many = shard_choice.owners("service", 20, replicas)
    assert max(collections.Counter(many).values()) - min(collections.Counter(many).values()) <= 1
    assert shard_choice.owners("service", 3, ()) == ()


def test_an_engine_that_leaves_moves_few_keys(make_announcement):
    engines = [make_announcement(f"u-{n}") for n in range(45)]
    before = shard_choice.sizes("engines", engines)
    after = shard_choice.sizes("engines", engines[1:])
    keys = [f"matter-{n}" for n in range(3000)]
    moved = sum(
        shard_choice.choose(key, before, "engines")[0]
        != shard_choice.choose(key, after, "engines")[0]
        for key in keys
    )
    assert moved < 3000 / 15


def _index_by_engine(engines):
    count = shard_choice.count(len(engines))
    return {item.upstream_id: rendezvous.jump_hash(item.upstream_id, count) for item in engines}


@pytest.mark.parametrize("after", [44, 50, 78])
def test_a_release_or_a_crash_of_many_engines_moves_few_of_the_others(make_announcement, after):
    """When 59 engines became 44, 50 or 78, all shards were reassigned and prefixes recomputed."""
    engines = [make_announcement(f"u-{n}") for n in range(80)]
    before = _index_by_engine(engines[:59])
    later = _index_by_engine(engines[:after])
    moved = sum(before[name] != later[name] for name in before.keys() & later.keys())
    assert moved <= 0.35 * min(59, after)
    keys = [f"matter-{n}" for n in range(1000)]
    sizes = [shard_choice.sizes("engines", engines[:count]) for count in (59, after)]
    chosen = [[shard_choice.choose(key, size, "engines")[0] for key in keys] for size in sizes]
    elsewhere = sum(one != two for one, two in zip(*chosen, strict=True))
    # Two more shards of seven would move 0.29 of the keys if all had the same size.
    assert elsewhere <= 0.4 * len(keys)
    replicas = tuple(f"r{n}" for n in range(9))
    owners = [shard_choice.owners("engines", len(size), replicas) for size in sizes]
    assert all(one == two for one, two in zip(*owners, strict=False))


def test_an_added_shard_takes_its_keys_from_all_others_evenly():
    keys = [f"k{n}" for n in range(4000)]
    for count in (1, 2, 5, 11):
        later = {key: rendezvous.jump_hash(key, count + 1) for key in keys}
        moved = [key for key in keys if rendezvous.jump_hash(key, count) != later[key]]
        assert len(moved) == pytest.approx(4000 / (count + 1), rel=0.2)
        assert {later[key] for key in moved} == {count}


def test_an_owner_keeps_its_cache_estimates_when_a_shard_is_added(
    make_announcement, make_place_request
):
    placement_owner = owner.PlacementOwner()
    placement_owner.use_services((routing.Service("engines", "/", 9, placement_helpers.ENGINE),))
    engines = tuple(make_announcement(f"u-{n}", slots=9) for n in range(24))
    placement_owner.use_upstreams(engines, 0.0)
    members = {n for n in range(24) if rendezvous.jump_hash(f"u-{n}", 3) == 0}
    assert members
    for count in (2, 3):
        shard = placement_messages.Shard("engines", 0, count)
        request = make_place_request(
            f"t-{count}", placement_helpers.LONG[:2], shard=shard, left_ms=9000.0
        )
        (sent,) = placement_owner.handle("e", request, float(count))
        assert shard.has(sent.message.upstream_id)
        ended = placement_helpers.ended(f"t-{count}")
        placement_owner.handle("e", ended, count + 0.5)
    placed = [answer.decision_inputs.cost for answer in placement_owner.drain_decisions()]
    first = next(iter(placement_owner._owner_by_shard.values()))
    assert len(placement_owner._owner_by_shard) == 1
    assert len(first.load_by_id) >= len(members)
    # Both prompts are equal: the second is recomputed only if its engine is in another shard now.
    assert placed[0].prefill_tokens == 5500
    assert placed[1].prefill_tokens in (0, 5500)


def test_the_end_of_an_older_request_restores_no_older_shard_count(
    make_announcement, make_place_request
):
    """Streams last for seconds, so reports of their ends name the shard count at their start."""
    placement_owner = owner.PlacementOwner()
    placement_owner.use_upstreams(
        tuple(make_announcement(f"u-{n}", slots=9) for n in range(40)), 0.0
    )
    older, newer = (placement_messages.Shard("engines", 0, count) for count in (2, 4))
    placement_owner.handle(
        "e", make_place_request("old", (("x", 9),), shard=older, left_ms=9000.0), 0.0
    )
    placement_owner.handle(
        "e", make_place_request("new", (("y", 9),), shard=newer, left_ms=9000.0), 0.1
    )

    def present():
        (shard_owner,) = placement_owner._owner_by_shard.values()
        return {name for name, load in shard_owner.load_by_id.items() if load.is_present}

    expected = {f"u-{n}" for n in range(40) if newer.has(f"u-{n}")}
    assert present() == expected
    placement_owner.handle("e", placement_messages.FirstEvent("old", 9.0), 0.2)
    assert present() == expected
    placement_owner.handle("e", placement_helpers.ended("old"), 0.3)
    assert present() == expected


def test_an_owner_places_only_on_the_engines_of_the_shard_that_was_asked(
    make_announcement, make_place_request
):
    placement_owner = owner.PlacementOwner()
    placement_owner.use_upstreams(
        tuple(make_announcement(f"u-{n}", slots=9) for n in range(40)), 0.0
    )
    for index in range(3):
        shard = placement_messages.Shard("engines", index, 3)
        for n in range(30):
            request = make_place_request(f"t{index}-{n}", shard=shard)
            (answer,) = placement_owner.handle("e", request, 0.0)
            assert shard.has(answer.message.upstream_id)


def test_the_owner_of_an_idle_shard_is_removed(make_announcement, make_place_request):
    placement_owner = owner.PlacementOwner()
    placement_owner.use_upstreams((make_announcement(),), 0.0)
    placement_owner.handle("e", make_place_request("t"), 0.0)
    placement_owner.tidy(owner.IDLE_SHARD_S - 1.0)
    assert placement_owner._owner_by_shard
    placement_owner.tidy(owner.IDLE_SHARD_S + 1.0)
    assert not placement_owner._owner_by_shard
    assert not placement_owner._shard_by_ticket


def test_the_tickets_of_a_removed_shard_are_removed(make_announcement, make_place_request):
    placement_owner = owner.PlacementOwner()
    placement_owner.use_upstreams(
        tuple(make_announcement(f"u-{n}", slots=9) for n in range(20)), 0.0
    )
    for index, asked_at in ((0, 0.0), (1, owner.IDLE_SHARD_S)):
        shard = placement_messages.Shard("engines", index, 2)
        request = make_place_request(f"t{index}", shard=shard, left_ms=90_000.0)
        placement_owner.handle("e", request, asked_at)
    placement_owner.tidy(owner.IDLE_SHARD_S + 1.0)
    assert set(placement_owner._shard_by_ticket) == {"t1"}
