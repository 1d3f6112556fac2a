"""Shares of slots of entry hosts that place without an owner."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from medlarfork.placement import reported_load, standalone_slots
from tests.routed import standalone_replay

ONE = standalone_replay.make_upstreams(1, 8)[0]


@hypothesis.given(
    hosts=strategies.integers(1, 400),
    slots=strategies.integers(1, 500),
    first=strategies.integers(0, 10_000),
    upstream=strategies.integers(0, 10_000),
    name=strategies.sampled_from(["entry-{0}", "10.1.2.{0}", "e{0}.z1.example", "10.1.{2}.{1}"]),
)
@hypothesis.settings(max_examples=300)
def test_the_shares_of_all_hosts_add_up_to_the_slots(hosts, slots, first, upstream, name):
    """Guards against engines that get more requests than they hold, or stay idle."""
    announced = standalone_replay.make_upstreams(upstream + 1, slots)[upstream]
    all_hosts = (
        standalone_slots.StandaloneSlots(name.format(n, n // 3, n % 3))
        for n in range(first, first + hosts)
    )
    total = sum(host.allowance(announced, hosts, 0.0).slots for host in all_hosts)
    assert abs(total - slots) <= 0.1 * slots + 2


@pytest.mark.parametrize(
    ("running", "age_s", "slots"),
    [(0, 0.5, 6), (4, 0.5, 5), (8, 0.5, 4), (0, 1.0, 4)],
)
def test_a_recent_report_of_free_slots_allows_more_than_the_share(running, age_s, slots):
    """Guards against idle slots beside busy hosts, and against reports that are too old."""
    host = standalone_slots.StandaloneSlots("e-0")
    host.record_load(ONE.upstream_id, reported_load.ReportedLoad(running, 0, 8), 0.0)
    assert host.allowance(ONE, 2, age_s).slots == slots


def test_runs_started_since_a_report_count_against_its_free_slots(make_place_request):
    """Guards against a burst that uses the free slots of one report again and again."""
    host = standalone_slots.StandaloneSlots("e-0")
    host.record_load(ONE.upstream_id, reported_load.ReportedLoad(0, 0, 8), 0.0)
    for _ in range(4):
        host.record_start(ONE.upstream_id, make_place_request())
    assert host.allowance(ONE, 2, 0.1).slots == 4


def test_reports_of_upstreams_out_of_view_are_dropped():
    """Guards against a table that grows with every upstream that ever was."""
    host = standalone_slots.StandaloneSlots("e-0")
    for upstream in standalone_replay.make_upstreams(50, 8):
        host.record_load(upstream.upstream_id, reported_load.ReportedLoad(1, 0, 8), 0.0)
    host.retain((ONE,))
    assert host.reports == 1


def test_the_tables_of_run_times_are_bounded(make_place_request, monkeypatch):
    """The ends of the runs of every service that had ever been declared were kept."""
    monkeypatch.setattr(standalone_slots, "MAX_CLASSES", 3)
    times = standalone_slots.RunTimes()
    for number in range(5):
        request = dataclasses.replace(make_place_request(), service=f"s{number}")
        times.record_first_event(request, 10.0)
        times.record_end(request, standalone_replay.COMPLETE, 100.0, 1.0)
    assert {len(table) for table in vars(times).values()} == {3}
    assert times.ends_per_s("s4", 1, 1.0) == 10.0
