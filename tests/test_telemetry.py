"""Tests of the metrics made from records of requests."""

import dataclasses

import curio
import pytest

from medlarfork import request
from medlarfork.entry import entry_types, telemetry
from medlarfork.metrics import tally

RECORD = entry_types.Record(
    request_id="r1",
    account="shop",
    class_name="counter",
    service="desk",
    outcome=request.Outcome.COMPLETED,
    status=200,
    code="",
    queued_s=0.02,
    first_token_s=0.2,
    whole_s=1.5,
    in_target=True,
    tokens=20,
    attempts=1,
    revision=7,
)


@pytest.fixture
def counted():
    made = telemetry.Telemetry()
    made.observe(
        telemetry.Gauge.QUEUE_LENGTH, lambda: [telemetry.GaugeValue(3, {"service": "desk"})]
    )
    made.observe(telemetry.Gauge.REVISION, lambda: [telemetry.GaugeValue(7)])
    made.start()
    yield made
    made.close()


def lines(made):
    return made.render().decode().splitlines()


def test_a_record_is_counted_by_account_and_class(counted):
    wasted = (entry_types.WastedTokens("cut", 5), entry_types.WastedTokens("late", 2))
    counted.record(RECORD)
    counted.record(dataclasses.replace(RECORD, in_target=False, wasted=wasted))
    shown = lines(counted)
    labels = 'account="shop",class="counter"'
    for expected in (
        f'medlar_requests_total{{{labels},code="none",outcome="completed"}} 2.0',
        f'medlar_attainment_total{{{labels},result="in_target"}} 1.0',
        f'medlar_attainment_total{{{labels},result="missed"}} 1.0',
        f"medlar_tokens_total{{{labels}}} 40.0",
        'medlar_wasted_tokens_total{account="shop",cause="cut",class="counter"} 5.0',
        'medlar_wasted_tokens_total{account="shop",cause="late",class="counter"} 2.0',
        f'medlar_queue_time_seconds_bucket{{{labels},le="0.01"}} 0.0',
        f'medlar_queue_time_seconds_bucket{{{labels},le="0.025"}} 2.0',
        f"medlar_first_token_time_seconds_count{{{labels}}} 2.0",
        f"medlar_whole_time_seconds_sum{{{labels}}} 3.0",
        'medlar_queue_length{service="desk"} 3.0',
        "medlar_configuration_revision 7.0",
    ):
        assert expected in shown


def test_a_refused_request_has_no_first_token_and_no_target(counted):
    refused = dataclasses.replace(
        RECORD,
        outcome=request.Outcome.NOT_RUN,
        code="overloaded",
        first_token_s=None,
        in_target=None,
        tokens=0,
    )
    counted.record(refused)
    shown = "\n".join(lines(counted))
    assert 'code="overloaded",outcome="not_run"} 1.0' in shown
    assert "medlar_first_token" not in shown
    assert "medlar_attainment_total{" not in shown


def test_instances_share_nothing(counted):
    other = telemetry.Telemetry()
    other.start()
    counted.record(RECORD)
    assert "shop" not in other.render().decode()
    other.close()


def test_gauges_are_read_at_each_render():
    values = [1.0]
    made = telemetry.Telemetry()
    made.observe(telemetry.Gauge.UPSTREAMS, lambda: [telemetry.GaugeValue(values[0])])
    made.start()
    assert "medlar_upstreams 1.0" in lines(made)
    values[0] = 2.0
    assert "medlar_upstreams 2.0" in lines(made)
    made.close()


def test_rendering_in_a_thread_gives_the_same_and_lets_other_tasks_run(counted):
    for number in range(100):
        counted.record(dataclasses.replace(RECORD, account=f"a{number}"))

    async def main():
        turns = 0

        async def turn():
            nonlocal turns
            while True:
                turns += 1
                counted.record(dataclasses.replace(RECORD, account=f"b{turns % 50}"))
                await curio.sleep(0)

        task = await curio.spawn(turn)
        aside = await counted.render_in_thread()
        assert turns > 1
        await task.cancel()
        assert await counted.render_in_thread() == counted.render()
        assert b'account="a99"' in aside

    curio.run(main)


def test_label_values_are_escaped(counted):
    counted.record(dataclasses.replace(RECORD, account='a"} 9\nevil 1'))
    assert not [line for line in lines(counted) if line.startswith("evil")]


def test_histograms_are_kept_apart_for_more_pairs_than_the_sdk_allows_by_default(counted):
    for number in range(2500):
        counted.record(dataclasses.replace(RECORD, account=f"a{number}"))
    shown = counted.render().decode()
    assert 'medlar_whole_time_seconds_count{account="a2499",class="counter"} 1.0' in shown
    assert "overflow" not in shown


def test_a_full_tally_counts_the_rest_together():
    counted = tally.Tally(("account",), max_label_sets=2)
    for account in ("a", "b", "c", "d", "a"):
        counted.add(1, account)
    counts = {item.attributes["account"]: item.value for item in counted.observe(None)}
    assert counts == {"a": 2, "b": 1, tally.OVERFLOW: 2}
