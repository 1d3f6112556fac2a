"""Tests of the choice of pools: a small, stable and even subset, extended under overload."""

from __future__ import annotations

import collections
import random

import pytest

from medlarfork import ticket
from medlarfork.entry import _shard_choice

POOLS = tuple(f"lm/{number}" for number in range(10))
HOSTS = 390


def choice_of(entry_id="entry-001"):
    return _shard_choice.ShardChoice(entry_id, random.Random(1))


def used(choice, hosts=HOSTS, now=0.0, pools=POOLS, draws=60):
    return {choice.choose(pools, hosts, now) for _ in range(draws)}


def summary(pool, slots=8, running=0, queued=0):
    return ticket.PoolSummary(pool, min(slots, 1), slots, running, queued, 1.0)


@pytest.mark.parametrize("hosts", [1, 2, 9, 20, 50, 100, 390])
def test_every_pool_gets_entry_hosts_and_none_gets_most_of_them(hosts):
    callers = collections.Counter()
    for number in range(hosts):
        callers.update(used(choice_of(f"entry-{number:03d}"), hosts))
    assert callers.keys() == set(POOLS)
    mean = callers.total() / len(POOLS)
    assert max(callers.values()) < 2 * mean


def test_hosts_of_a_large_deployment_keep_two_pools_as_others_join_and_leave():
    subsets = [used(choice_of(), hosts) for hosts in (200, 389, 390)]
    assert len(subsets[0]) == 2
    assert subsets[0] == subsets[1] == subsets[2]
    assert len(used(choice_of(), 9)) == len(POOLS)


def test_more_hosts_only_shrink_the_set_of_pools():
    sizes = [used(choice_of(), hosts, draws=400) for hosts in (10, 30, 60, 390)]
    assert all(larger >= smaller for larger, smaller in zip(sizes, sizes[1:], strict=False))


def test_a_pool_without_upstreams_is_replaced_and_tried_again_later():
    choice = choice_of()
    first = used(choice)
    gone = sorted(first)[0]
    choice.record_summary(summary(gone, slots=0), 0.0)
    assert gone not in used(choice) and len(used(choice)) == 2
    assert used(choice, now=_shard_choice._SUMMARY_TTL_S) == first
    for pool in POOLS[1:]:
        choice.record_summary(summary(pool, slots=0), 0.0)
    assert used(choice) == {POOLS[0]}
    choice.record_summary(summary(POOLS[0], slots=0), 0.0)
    assert used(choice) == first


def test_overload_adds_a_bounded_number_of_candidate_pools():
    choice = choice_of()
    first = used(choice)
    seen = set()
    for _ in POOLS:
        for pool in used(choice):
            choice.record_summary(summary(pool, running=8, queued=80), 0.0)
            seen.add(pool)
    assert first < seen
    assert len(seen) == 2 + _shard_choice._MAX_EXTRA_POOLS
    assert used(choice) <= seen


def test_a_pool_without_a_recent_summary_is_preferred_to_one_with_a_queue():
    choice = choice_of()
    one, other = sorted(used(choice, draws=400))
    choice.record_summary(summary(one, running=8, queued=2), 0.0)
    assert used(choice, draws=5) == {other}


def test_the_less_loaded_pool_is_chosen_counting_requests_since_its_summary():
    choice = choice_of()
    one, other = sorted(used(choice))
    choice.record_summary(summary(one, running=4), 0.0)
    choice.record_summary(summary(other, running=7), 0.0)
    assert [choice.choose(POOLS, HOSTS, 0.0) for _ in range(3)] == [one] * 3
    assert used(choice) == {one, other}
    choice.retain_only(frozenset())
    assert choice.choose((), HOSTS, 0.0) == ""
