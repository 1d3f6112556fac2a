import dataclasses

import pytest

from medlarfork.placement import placement_cost, start_rules

COST = placement_cost.Cost(
    total=0.0, harm=0.0, wait_ms=0.0, rest_ms=0.0, read_ms=200.0, read_tokens=12_000
)


@pytest.mark.parametrize(
    ("changes", "slack_ms", "starts"),
    [
        ({}, 100.0, True),
        ({"wait_ms": start_rules.BACKLOG_MS + 1}, 100.0, False),
        ({"wait_ms": start_rules.BACKLOG_MS + 1}, -1.0, False),
        ({"wait_ms": 100.0, "rest_ms": start_rules.BACKLOG_MS}, 100.0, False),
        ({"harm": 1.0}, 100.0, False),
        ({"harm": 1.0}, -1.0, True),
        ({"harm": 5.0}, -1.0, False),
        ({"read_ms": 10.0, "wait_ms": start_rules.BACKLOG_MS + 1}, 100.0, True),
        ({"read_ms": 10.0, "harm": 5.0}, 100.0, False),
    ],
)
def test_a_request_starts_where_its_engine_and_the_streams_there_allow(changes, slack_ms, starts):
    cost = dataclasses.replace(COST, **changes)
    assert start_rules.may_start(cost, slack_ms, yields=True) is starts


def test_what_does_not_yield_starts_once_it_can_not_wait_any_more():
    cost = dataclasses.replace(COST, harm=5.0, wait_ms=2000.0)
    assert not start_rules.may_start(cost, 100.0, yields=False)
    assert start_rules.may_start(cost, -1.0, yields=False)


def test_only_long_prompts_are_refused_beforehand(make_question):
    question = make_question(target_ms=1000.0)
    assert start_rules.is_hopeless(question, 2500.0, 200.0)
    assert not start_rules.is_hopeless(question, 700.0, 200.0)
    assert not start_rules.is_hopeless(question, 2500.0, 20.0)
    assert not start_rules.is_hopeless(question, 100.0, 2500.0)
    assert not start_rules.is_hopeless(make_question(), 2500.0, 200.0)


def test_the_largest_prompts_are_refused_at_the_same_wait_as_others(make_question):
    """Replay an overload: of the largest tenth a fifth were served, of all seven tenths."""
    question = make_question(target_ms=1500.0)
    for wait_ms in (0.0, 700.0, 1000.0, 1100.0, 2000.0):
        refused = {start_rules.is_hopeless(question, wait_ms, read_ms) for read_ms in (60.0, 900.0)}
        assert len(refused) == 1


def test_refused_callers_come_back_when_the_queue_has_drained(make_question):
    question = make_question(target_ms=1000.0)
    assert start_rules.retry_after_ms(question, 3000.0) == 2500.0
    assert start_rules.retry_after_ms(question, 1100.0) == 1000.0


def test_waiting_costs_little_before_half_of_the_target_and_one_request_at_it():
    shares = [placement_cost.lateness(after_ms, 1000.0) for after_ms in (0, 500, 1000, 2000)]
    assert shares == pytest.approx([0.0, 0.1, 1.0, 1.1])
