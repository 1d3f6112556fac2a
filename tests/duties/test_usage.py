"""Usage: reports of hosts, the leader's sums, and how windows are fixed and reported."""

import random

import pytest

from medlarfork.duties import (
    duty_state,
    duty_types,
    fleet_clock,
    usage_counter,
    usage_duty,
    usage_ledger,
    usage_messages,
)

WINDOW_S = 5.0
LEDGER = 11
HOSTS = frozenset({"e-1", "e-2"})


@pytest.fixture
def counter():
    return usage_counter.UsageCounter(boot=7, window_s=WINDOW_S)


@pytest.fixture
def ledger():
    return usage_ledger.UsageLedger(LEDGER)


@pytest.fixture
def state():
    return duty_state.DutyState()


@pytest.fixture
def duty(state):
    return usage_duty.UsageDuty(state, random.Random(1))


def _usage_told(windows, open_window, boot=1):
    counted = tuple(usage_messages.WindowCounts(*item) for item in windows.items())
    return usage_messages.UsageTold(boot, 1, open_window, counted)


def _by_window(message):
    return {item.window: item.count_by_account for item in message.windows}


def test_requests_count_in_the_window_in_which_they_started(counter):
    for fleet_time_s in (4.99, 5.0, 9.99, 10.0):
        counter.record_started("a", fleet_time_s)
    message = counter.pending_report("r-1", 10.5)
    assert _by_window(message) == {0: {"a": 1}, 1: {"a": 2}, 2: {"a": 1}}
    assert message.open_window == 2


def test_confirmed_windows_are_not_resent_unless_they_changed(counter):
    counter.record_started("a", 1.0)
    first = counter.pending_report("r-1", 1.1)
    counter.record_started("a", 1.2)
    counter.confirm("r-1", usage_messages.UsageReceipt(7, first.sequence, LEDGER))
    assert _by_window(counter.pending_report("r-1", 1.3)) == {0: {"a": 2}}
    last = counter.pending_report("r-1", 1.4)
    counter.confirm("r-1", usage_messages.UsageReceipt(7, last.sequence, LEDGER))
    assert counter.pending_report("r-1", 1.5).windows == ()


def test_unconfirmed_windows_are_resent(counter):
    counter.record_started("a", 1.0)
    counter.pending_report("r-1", 1.1)
    assert _by_window(counter.pending_report("r-1", 1.2)) == {0: {"a": 1}}


def test_a_new_leader_gets_all_windows_and_late_receipts_of_the_old_one_are_ignored(counter):
    counter.record_started("a", 1.0)
    old = counter.pending_report("r-1", 1.1)
    counter.confirm("r-1", usage_messages.UsageReceipt(7, old.sequence, LEDGER))
    assert _by_window(counter.pending_report("r-2", 1.2)) == {0: {"a": 1}}
    counter.confirm("r-1", usage_messages.UsageReceipt(7, 100, LEDGER))
    assert _by_window(counter.pending_report("r-2", 1.3)) == {0: {"a": 1}}


def test_a_restarted_leader_gets_all_windows_before_any_is_complete(counter, ledger):
    counter.record_started("a", 1.0)
    ledger.take("e-1", counter.pending_report("r-1", 1.1), 1.1)
    counter.confirm("r-1", usage_messages.UsageReceipt(7, 1, LEDGER))
    restarted_ledger = usage_ledger.UsageLedger(LEDGER + 1)
    receipt = restarted_ledger.take("e-1", counter.pending_report("r-1", 6.0), 6.0)
    assert restarted_ledger.complete_windows(frozenset({"e-1"}), 6.0) == ()
    counter.confirm("r-1", receipt)
    restarted_ledger.take("e-1", counter.pending_report("r-1", 6.4), 6.4)
    assert restarted_ledger.complete_windows(frozenset({"e-1"}), 6.4) == (0,)
    assert restarted_ledger.counts(0) == {"a": 1}


@pytest.mark.parametrize(("hosts", "messages_a_second"), [(10, 25), (80, 200), (394, 200)])
def test_the_report_rate_is_limited_in_large_fleets(hosts, messages_a_second):
    assert hosts / usage_counter.report_period_s(hosts) <= messages_a_second + 1e-6


def test_hosts_of_the_largest_fleets_report_before_the_straggler_timeout():
    assert usage_counter.report_period_s(10_000) < usage_ledger.STRAGGLER_TIMEOUT_S


def test_a_window_stays_open_until_it_is_known_whether_its_calls_ran(counter, ledger):
    """A call is sent in one window and answered in the next, after a report of its host.

    If its window were closed by then, the call would be missing in the report (19 of 20).
    """
    send = counter.record_sent("a", 4.99)
    rejected = counter.record_sent("b", 4.98)
    ledger.take("e-1", counter.pending_report("r-1", 5.01), 5.01)
    assert ledger.complete_windows(frozenset({"e-1"}), 5.01) == ()
    counter.record_outcome(send, has_started=True)
    counter.record_outcome(rejected, has_started=False)
    ledger.take("e-1", counter.pending_report("r-1", 5.2), 5.2)
    assert ledger.complete_windows(frozenset({"e-1"}), 5.2) == (0,)
    assert ledger.counts(0) == {"a": 1}


def test_a_window_reported_as_complete_gets_no_more_requests_when_time_steps_back(counter):
    assert counter.pending_report("r-1", 5.001).open_window == 1
    counter.record_started("a", 4.999)
    assert _by_window(counter.pending_report("r-1", 5.1)) == {1: {"a": 1}}


def test_old_windows_are_evicted(counter):
    counter.record_started("a", 1.0)
    late_s = (usage_counter.RETAINED_WINDOWS + 1) * WINDOW_S
    assert counter.pending_report("r-1", late_s).windows == ()


def test_counts_are_summed_over_hosts_and_starts_and_duplicates_have_no_effect(ledger):
    for _ in range(2):
        ledger.take("e-1", _usage_told({0: {"a": 2}}, 1, boot=1), 0.0)
        ledger.take("e-1", _usage_told({0: {"a": 1, "b": 1}}, 1, boot=2), 0.0)
        ledger.take("e-2", _usage_told({0: {"a": 4}}, 1), 0.0)
    # A delayed older message.
    ledger.take("e-2", _usage_told({0: {"a": 3}}, 0), 0.0)
    assert ledger.counts(0) == {"a": 7, "b": 1}


def test_a_window_is_complete_once_every_host_is_past_it(ledger):
    ledger.take("e-1", _usage_told({0: {"a": 1}}, 1), 0.0)
    ledger.take("e-2", _usage_told({}, 0), 0.0)
    assert ledger.complete_windows(HOSTS, 1.0) == ()
    ledger.take("e-2", _usage_told({}, 1), 1.0)
    assert ledger.complete_windows(HOSTS, 1.0) == (0,)


def test_a_window_waits_for_a_suspended_host_only_until_the_straggler_timeout(ledger):
    ledger.take("e-1", _usage_told({0: {"a": 1}}, 1), 0.0)
    assert ledger.complete_windows(HOSTS, usage_ledger.STRAGGLER_TIMEOUT_S - 0.1) == ()
    assert ledger.complete_windows(HOSTS, usage_ledger.STRAGGLER_TIMEOUT_S) == (0,)


def test_the_first_counts_of_a_window_stay(state):
    assert state.apply(duty_state.FixUsage(3, {"a": 1})) is not None
    assert state.apply(duty_state.FixUsage(3, {"a": 2})) is None
    assert state.usage_by_window[3].count_by_account == {"a": 1}


def test_an_evicted_window_is_not_fixed_again(state):
    state.apply(duty_state.FixUsage(3, {"a": 1}))
    state.apply(duty_state.FixUsage(3 + duty_state.RETAINED_WINDOWS, {"a": 1}))
    assert 3 not in state.usage_by_window
    assert not state.may_fix(3)


def test_a_snapshot_holds_windows_and_the_fence(state):
    state.apply(duty_state.FixUsage(3, {"a": 1}))
    state.apply(duty_state.UsageReported(3))
    restored = duty_state.DutyState()
    restored.restore(state.snapshot())
    assert restored.usage_by_window == state.usage_by_window


def test_a_window_is_sent_only_once_its_counts_are_fixed(duty, state, ledger):
    ledger.take("e-1", _usage_told({0: {"a": 1}}, 1), 0.0)
    ledger.take("e-2", _usage_told({}, 1), 0.0)
    (fix,) = duty.windows_to_fix(ledger, HOSTS, 1.0)
    assert duty.next_report(1.0) is None
    # Until the log has applied it, it is proposed again only after ``FIX_RETRY_S``.
    assert duty.windows_to_fix(ledger, HOSTS, 1.1) == ()
    state.apply(fix)
    ledger.take("e-2", _usage_told({0: {"a": 9}}, 1), 1.2)
    assert duty.windows_to_fix(ledger, HOSTS, 5.0) == ()
    assert duty.next_report(1.2) == duty_types.ReportUsage(0, {"a": 1})


def test_failed_reports_are_retried_with_backoff_oldest_first(duty, state):
    state.apply(duty_state.FixUsage(4, {"a": 1}))
    state.apply(duty_state.FixUsage(5, {"a": 2}))
    now, pauses = 0.0, []
    for _ in range(8):
        report = duty.next_report(now)
        assert report.window == 4
        assert duty.on_call_end(report, duty_types.CallEnd.UNKNOWN, now) is None
        failed_at = now
        while duty.next_report(now) is None:
            now += 0.05
        pauses.append(now - failed_at)
    assert pauses[0] <= usage_duty.MIN_BACKOFF_S + 0.1
    assert max(pauses) <= usage_duty.MAX_BACKOFF_S + 0.1
    assert pauses[-1] > 4 * pauses[0]
    done = duty.on_call_end(duty.next_report(now), duty_types.CallEnd.DONE, now)
    state.apply(done)
    assert duty.next_report(now).window == 5


def test_the_fleet_time_tolerates_a_third_of_the_clocks_jumping():
    clock = fleet_clock.FleetClock()
    for number in range(9):
        jump_s = 2.0 if number < 3 else 0.0
        clock.add_sample(f"r-{number}", 1000.0 + 0.002 * number + jump_s, 10.0)
    assert clock.fleet_time_s(10.5, 998.5) == pytest.approx(1000.5, abs=0.02)


def test_old_time_samples_are_ignored():
    clock = fleet_clock.FleetClock()
    clock.add_sample("r-1", 1000.0, 10.0)
    assert clock.fleet_time_s(20.0, 2000.0) == pytest.approx(2000.0)
