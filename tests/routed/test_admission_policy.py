import dataclasses

import pytest

from medlarfork.placement import admission_policy, placement_cost

COST = placement_cost.Cost(
    total=0.0, harm=0.0, backlog_ms=0.0, cooldown_ms=0.0, prefill_ms=200.0, prefill_tokens=12_000
)


@pytest.mark.parametrize(
    ("changes", "slack_ms", "starts"),
    [
        ({}, 100.0, True),
        ({"backlog_ms": admission_policy.MAX_BACKLOG_MS + 1}, 100.0, False),
        ({"backlog_ms": admission_policy.MAX_BACKLOG_MS + 1}, -1.0, False),
        ({"backlog_ms": 100.0, "cooldown_ms": admission_policy.MAX_BACKLOG_MS}, 100.0, False),
        ({"harm": 1.0}, 100.0, False),
        ({"harm": 1.0}, -1.0, True),
        ({"harm": 5.0}, -1.0, False),
        ({"prefill_ms": 10.0, "backlog_ms": admission_policy.MAX_BACKLOG_MS + 1}, 100.0, True),
        ({"prefill_ms": 10.0, "harm": 5.0}, 100.0, False),
    ],
)
def test_a_request_starts_where_its_engine_and_the_streams_there_allow(changes, slack_ms, starts):
    cost = dataclasses.replace(COST, **changes)
    assert admission_policy.may_start(cost, slack_ms, is_deferrable=True) is starts


def test_a_request_that_is_not_deferrable_starts_once_it_can_not_wait_longer():
    cost = dataclasses.replace(COST, harm=5.0, backlog_ms=2000.0)
    assert not admission_policy.may_start(cost, 100.0, is_deferrable=False)
    assert admission_policy.may_start(cost, -1.0, is_deferrable=False)


def test_only_long_prompts_are_refused_on_arrival(make_place_request):
    request = make_place_request(target_ms=1000.0)
    assert admission_policy.is_hopeless(request, 2500.0, 200.0)
    assert not admission_policy.is_hopeless(request, 700.0, 200.0)
    assert not admission_policy.is_hopeless(request, 2500.0, 20.0)
    assert not admission_policy.is_hopeless(request, 100.0, 2500.0)
    assert not admission_policy.is_hopeless(make_place_request(), 2500.0, 200.0)


def test_the_largest_prompts_are_refused_at_the_same_wait_as_others(make_place_request):
    """In an overload, a fifth of the largest tenth was served, and seven tenths of all."""
    request = make_place_request(target_ms=1500.0)
    for predicted_wait_ms in (0.0, 700.0, 1000.0, 1100.0, 2000.0):
        refused = {
            admission_policy.is_hopeless(request, predicted_wait_ms, prefill_ms)
            for prefill_ms in (60.0, 900.0)
        }
        assert len(refused) == 1


def test_refused_callers_retry_when_the_queue_has_drained(make_place_request):
    request = make_place_request(target_ms=1000.0)
    assert admission_policy.retry_after_ms(request, 3000.0) == 2500.0
    assert admission_policy.retry_after_ms(request, 1100.0) == 1000.0


def test_waiting_costs_little_before_half_of_the_target_and_one_request_at_it():
    shares = [placement_cost.lateness_cost(after_ms, 1000.0) for after_ms in (0, 500, 1000, 2000)]
    assert shares == pytest.approx([0.0, 0.1, 1.0, 1.1])
