"""Test ejection of failing and slow upstreams, probing and concurrency limits."""

import dataclasses

import pytest

from medlarfork import ticket
from medlarfork.pool import _upstream_health, pool_options

_SLOTS = 8


@pytest.fixture
def health():
    health = _upstream_health.UpstreamHealth(pool_options.PoolOptions())
    for number in range(6):
        health.add(f"u{number}")
    return health


def _release(cause=ticket.ReleaseCause.FINISHED, whole_s=1.0, tokens=50):
    return ticket.Release("r1/1", "lm/0", cause, 0.1, whole_s, tokens)


def _observe(health, upstream_id, count, now=0.0, **release):
    return [
        health.observe_release(upstream_id, "chat", _release(**release), _SLOTS, now)
        for _ in range(count)
    ]


def _warm_up(health, count=10):
    for number in range(6):
        _observe(health, f"u{number}", count)
    health.update_median(f"u{number}" for number in range(6))


def test_consecutive_failures_eject(health):
    failures = _observe(health, "u0", 5, cause=ticket.ReleaseCause.FAILED)
    assert failures == [False, False, False, False, True]
    assert health.is_ejected("u0")


def test_a_good_answer_resets_the_count_of_failures(health):
    _observe(health, "u0", 4, cause=ticket.ReleaseCause.FAILED)
    _observe(health, "u0", 1)
    _observe(health, "u0", 4, cause=ticket.ReleaseCause.FAILED)
    assert not health.is_ejected("u0")


def test_a_refusal_is_no_failure_but_lowers_the_limit(health):
    _observe(health, "u0", 10, cause=ticket.ReleaseCause.REFUSED)
    assert not health.is_ejected("u0")
    assert health.concurrency_limit("u0", _SLOTS) == 1


def test_an_upstream_slower_than_its_peers_is_ejected(health):
    _warm_up(health)
    assert any(_observe(health, "u0", 8, whole_s=5.0))
    assert health.is_ejected("u0")


def test_no_upstream_is_ejected_if_all_are_equally_slow(health):
    _warm_up(health)
    for _ in range(20):
        for number in range(6):
            _observe(health, f"u{number}", 1, whole_s=5.0)
        health.update_median(f"u{number}" for number in range(6))
    assert not any(health.is_ejected(f"u{number}") for number in range(6))


def test_long_answers_are_compared_by_time_per_token(health):
    _warm_up(health)
    for _ in range(20):
        health.observe_release("u0", "chat", _release(whole_s=20.0, tokens=1000), _SLOTS, 0.0)
    assert not health.is_ejected("u0")


def test_at_most_the_maximum_share_is_ejected(health):
    for number in range(6):
        _observe(health, f"u{number}", 5, cause=ticket.ReleaseCause.FAILED)
    assert sum(health.is_ejected(f"u{number}") for number in range(6)) == 2


def test_probing_allows_one_request_at_a_time_until_enough_succeeded(health):
    _observe(health, "u0", 5, cause=ticket.ReleaseCause.FAILED)
    assert health.end_ejections(4.9) == ()
    assert health.end_ejections(5.0) == ("u0",)
    assert health.is_probing("u0")
    assert health.concurrency_limit("u0", _SLOTS) == 1
    _observe(health, "u0", 3, now=6.0)
    assert not health.is_probing("u0")
    assert health.concurrency_limit("u0", _SLOTS) == _SLOTS


def test_a_failed_probe_ejects_for_longer(health):
    _observe(health, "u0", 5, cause=ticket.ReleaseCause.FAILED)
    health.end_ejections(5.0)
    assert _observe(health, "u0", 1, now=5.0, cause=ticket.ReleaseCause.FAILED) == [True]
    assert health.end_ejections(14.9) == ()
    assert health.end_ejections(15.0) == ("u0",)


def test_the_concurrency_limit_shrinks_when_slow_and_grows_back(health):
    _warm_up(health)
    _observe(health, "u0", 20, whole_s=2.0)
    shrunk = health.concurrency_limit("u0", _SLOTS)
    assert 1 <= shrunk < _SLOTS
    _observe(health, "u0", 200)
    assert health.concurrency_limit("u0", _SLOTS) == _SLOTS


def test_rules_can_be_disabled():
    options = dataclasses.replace(pool_options.PoolOptions(), eject=False, adapt_concurrency=False)
    health = _upstream_health.UpstreamHealth(options)
    health.add("u0")
    _observe(health, "u0", 20, cause=ticket.ReleaseCause.FAILED)
    _observe(health, "u0", 20, cause=ticket.ReleaseCause.REFUSED)
    assert not health.is_ejected("u0")
    assert health.concurrency_limit("u0", _SLOTS) == _SLOTS
