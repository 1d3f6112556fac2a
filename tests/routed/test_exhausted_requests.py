"""When a request that upstreams have failed is refused at once, and when it waits for others."""

import dataclasses

import pytest

from medlarfork.backpressure import send_gate, signal_ledger
from medlarfork.gateway import retry_policy
from medlarfork.placement import (
    admission_policy,
    local_choice,
    placement_messages,
    shard_owner,
)
from tests.routed import placement_helpers, standalone_replay

REJECTED = placement_messages.RunEnd.REJECTED
LEFT_MS = 3000.0


@pytest.fixture
def ledger():
    return signal_ledger.SignalLedger()


@pytest.fixture
def make_upstreams(make_announcement):
    """Return a factory of announcements of one slot by id: ``u-0``, ``u-1`` and so on."""

    def make(count, **changes):
        return {
            f"u-{n}": make_announcement(
                f"u-{n}", address=f"10.0.0.{n}:80", **({"slots": 1} | changes)
            )
            for n in range(count)
        }

    return make


@pytest.fixture
def make_owner(ledger, make_upstreams):
    def make(count, **changes):
        owner = shard_owner.ShardOwner(send_gate.SendGate(ledger))
        owner.use_upstreams(make_upstreams(count, **changes))
        return owner

    return make


@pytest.fixture
def make_failed(make_place_request):
    """Return a factory of requests that the upstreams with these numbers have failed."""

    def make(*numbers, ticket_id="failed", **changes):
        excluded = tuple(f"u-{number}" for number in numbers)
        values = {"left_ms": LEFT_MS, "excluded": excluded}
        return make_place_request(ticket_id, **(values | changes))

    return make


def answer(decisions):
    (decision,) = decisions
    return decision.message


def refusal(decisions):
    message = answer(decisions)
    assert isinstance(message, placement_messages.PlaceRefused), message
    return message


# Guards against: a request that each upstream had rejected was queued until its caller left.
@pytest.mark.parametrize("count", [1, 3, retry_policy.MAX_REJECTIONS + 2])
def test_a_request_that_every_upstream_failed_is_refused_at_once(count, make_owner, make_failed):
    owner = make_owner(count)
    refused = refusal(owner.place("e", make_failed(*range(count)), 0.0))
    assert refused.cause is placement_messages.RefusalCause.EXCLUDED
    assert refused.retry_after_ms == admission_policy.MIN_RETRY_MS
    assert owner.waiting == 0


def test_one_upstream_that_has_not_failed_the_request_gets_it(make_owner, make_failed):
    count = retry_policy.MAX_REJECTIONS + 2
    owner = make_owner(count)
    assert placement_helpers.placed(owner.place("e", make_failed(*range(1, count)), 0.0)) == "u-0"


def test_a_failed_request_waits_for_a_run_to_end_at_the_upstream_that_is_left(
    make_owner, make_failed, make_place_request
):
    owner = make_owner(2)
    only_there = make_failed(1, ticket_id="runs")
    placement_helpers.placed(owner.place("e", only_there, 0.0))
    assert isinstance(answer(owner.place("e", make_failed(1), 0.1)), placement_messages.Queued)
    assert placement_helpers.placed(owner.on_ended(placement_helpers.ended("runs"), 1.0)) == "u-0"


@pytest.mark.parametrize(("backoff_s", "waits"), [(1.0, True), (LEFT_MS / 1000.0 + 1.0, False)])
def test_a_failed_request_waits_for_a_backoff_only_if_it_ends_in_time(
    backoff_s, waits, ledger, make_owner, make_failed
):
    owner = make_owner(2)
    ledger.record_backoff("u-0", signal_ledger.ALL_HOSTS, backoff_s, 0.0)
    message = answer(owner.place("e", make_failed(1), 0.0))
    assert isinstance(message, placement_messages.Queued) is waits
    if waits:
        assert placement_helpers.placed(owner.serve_waiting(backoff_s + 0.1)) == "u-0"


# Guards against: a request kept waiting after the only upstream that could run it had gone.
def test_a_queued_request_is_refused_once_its_last_upstream_has_gone(
    make_owner, make_upstreams, make_failed, make_place_request
):
    owner = make_owner(2)
    for number in range(2):
        owner.place("e", make_place_request(f"runs-{number}", left_ms=60_000.0), 0.0)
    owner.place("e", make_failed(0), 0.1)
    upstreams = make_upstreams(2)
    del upstreams["u-1"]
    owner.use_upstreams(upstreams)
    refused = refusal(owner.serve_waiting(0.2))
    assert refused.cause is placement_messages.RefusalCause.EXCLUDED
    assert owner.waiting == 0
    assert not owner.on_ended(placement_helpers.ended("runs-0"), 0.3)


def test_a_failed_request_waits_while_its_service_has_no_upstream(
    make_owner, make_upstreams, make_failed
):
    owner = make_owner(0)
    assert isinstance(answer(owner.place("e", make_failed(0), 0.0)), placement_messages.Queued)
    owner.use_upstreams(make_upstreams(2))
    assert placement_helpers.placed(owner.serve_waiting(0.5)) == "u-1"


@pytest.mark.parametrize("failed", [(0,), (0, 1)])
def test_upstreams_of_other_versions_do_not_count(failed, make_owner, make_upstreams, make_failed):
    owner = make_owner(2)
    versions = zip(make_upstreams(2).items(), ("v1", "v2"), strict=True)
    owner.use_upstreams(
        {name: dataclasses.replace(item, version=version) for (name, item), version in versions}
    )
    refused = refusal(owner.place("e", make_failed(*failed, version="v1"), 0.0))
    assert refused.cause is placement_messages.RefusalCause.EXCLUDED
    refused = refusal(owner.place("e", make_failed(*failed, version="v3"), 0.0))
    assert refused.cause is placement_messages.RefusalCause.VERSION


def test_the_retry_time_of_a_failed_prompt_is_when_the_queue_has_drained(
    make_shard_owner, make_place_request
):
    owner = make_shard_owner(count=1, slots=1)
    prompt = (("p", 12_000),)
    changes = {"target_ms": 5000.0, "left_ms": 60_000.0}
    placement_helpers.placed(owner.place("e", make_place_request("runs", prompt, **changes), 0.0))
    for number in range(6):
        parts = ((f"q{number}", 12_000),)
        owner.place("e", make_place_request(f"t{number}", parts, **changes), 0.0)
    failed = make_place_request("failed", (("r", 12_000),), excluded=("u-0",), **changes)
    refused = refusal(owner.place("e", failed, 0.1))
    prefill_ms = 12_000 / owner.estimator.tokens_per_ms
    assert refused.retry_after_ms > 6 * prefill_ms


def test_a_failed_request_of_an_account_gets_a_place_in_the_schedule_of_retries(
    make_owner, make_failed, make_place_request
):
    owner = make_owner(1)
    for number in range(30):
        named = make_place_request(f"t{number}", left_ms=60_000.0, account="shop")
        owner.place("e", named, 0.0)
    for number in range(20):
        owner.on_ended(placement_helpers.ended(f"t{number}"), 0.4 * (number + 1))
    failed = make_failed(0, account="shop", retry_key="k", left_ms=30_000.0)
    refused = refusal(owner.place("e", failed, 8.0))
    assert refused.is_promise
    assert refused.retry_after_ms == pytest.approx(400.0, rel=0.2)
    again = make_place_request("again", account="shop", retry_key="k", left_ms=29_000.0)
    owner.place("e", again, 8.0 + refused.retry_after_ms / 1000.0)
    (started,) = owner.on_ended(placement_helpers.ended("t20"), 8.5)
    assert started.message.ticket_id == "again"


def test_another_shard_may_take_a_request_that_all_upstreams_of_one_failed(make_owner, make_failed):
    """A scheduled retry would keep a place for a request that another shard serves."""
    owner = make_owner(1)
    shard = placement_messages.Shard("engines", 0, 2)
    failed = make_failed(0, account="shop", retry_key="k", shard=shard)
    refused = refusal(owner.place("e", failed, 0.0))
    assert refused.cause is placement_messages.RefusalCause.EXCLUDED
    assert not refused.is_promise


@pytest.fixture
def queue():
    return standalone_replay.make_queue(list(standalone_replay.make_upstreams(2, 1)))


def place(queue, request, now):
    return standalone_replay.place(queue, request, now)


def test_without_an_owner_and_without_measured_runs_the_retry_time_is_the_usual(
    queue, make_place_request
):
    failed = make_place_request("failed", excluded=("u-0@1", "u-1@1"))
    assert place(queue, failed, 0.0).outcome.retry_after_ms == local_choice.RETRY_MS


def test_without_an_owner_a_failed_request_waits_for_the_upstream_that_is_left(
    queue, make_place_request
):
    run = place(queue, make_place_request("runs", excluded=("u-1@1",)), 0.0)
    failed = place(queue, make_place_request("failed", excluded=("u-1@1",)), 0.1)
    assert failed.outcome is None
    queue.record_end("u-0@1", run.request, standalone_replay.COMPLETE, 100.0, 0.2)
    assert standalone_replay.upstream_of(failed) == "u-0@1"
