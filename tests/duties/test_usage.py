"""Counting usage: what hosts tell, what the leader adds up, and what is fixed and sent."""

import random

import pytest

from medlarfork.duties import (
    duty_log,
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
def log():
    return duty_log.DutyLog()


@pytest.fixture
def duty(log):
    return usage_duty.UsageDuty(log, random.Random(1))


def _told(windows, open_window, boot=1):
    counted = tuple(usage_messages.WindowCounts(*item) for item in windows.items())
    return usage_messages.UsageTold(boot, 1, open_window, counted)


def _by_window(told):
    return {item.window: item.count_by_account for item in told.windows}


def test_requests_count_in_the_window_in_which_they_began(counter):
    for true_s in (4.99, 5.0, 9.99, 10.0):
        counter.note_begun("a", true_s)
    told = counter.told("r-1", 10.5)
    assert _by_window(told) == {0: {"a": 1}, 1: {"a": 2}, 2: {"a": 1}}
    assert told.open_window == 2


def test_what_was_confirmed_is_not_told_again_but_what_came_since_is(counter):
    counter.note_begun("a", 1.0)
    first = counter.told("r-1", 1.1)
    counter.note_begun("a", 1.2)
    counter.confirm("r-1", usage_messages.UsageReceipt(7, first.sequence, LEDGER))
    assert _by_window(counter.told("r-1", 1.3)) == {0: {"a": 2}}
    last = counter.told("r-1", 1.4)
    counter.confirm("r-1", usage_messages.UsageReceipt(7, last.sequence, LEDGER))
    assert counter.told("r-1", 1.5).windows == ()


def test_what_was_not_confirmed_is_told_again(counter):
    counter.note_begun("a", 1.0)
    counter.told("r-1", 1.1)
    assert _by_window(counter.told("r-1", 1.2)) == {0: {"a": 1}}


def test_a_new_leader_is_told_everything_and_late_receipts_of_the_old_one_do_not_count(counter):
    counter.note_begun("a", 1.0)
    old = counter.told("r-1", 1.1)
    counter.confirm("r-1", usage_messages.UsageReceipt(7, old.sequence, LEDGER))
    assert _by_window(counter.told("r-2", 1.2)) == {0: {"a": 1}}
    counter.confirm("r-1", usage_messages.UsageReceipt(7, 100, LEDGER))
    assert _by_window(counter.told("r-2", 1.3)) == {0: {"a": 1}}


def test_a_leader_that_has_started_again_is_told_everything_before_any_window_is_complete(
    counter, ledger
):
    counter.note_begun("a", 1.0)
    ledger.take("e-1", counter.told("r-1", 1.1), 1.1)
    counter.confirm("r-1", usage_messages.UsageReceipt(7, 1, LEDGER))
    again = usage_ledger.UsageLedger(LEDGER + 1)
    receipt = again.take("e-1", counter.told("r-1", 6.0), 6.0)
    assert again.complete(frozenset({"e-1"}), 6.0) == ()
    counter.confirm("r-1", receipt)
    again.take("e-1", counter.told("r-1", 6.4), 6.4)
    assert again.complete(frozenset({"e-1"}), 6.4) == (0,)
    assert again.counts(0) == {"a": 1}


@pytest.mark.parametrize(("hosts", "messages_a_second"), [(10, 25), (80, 200), (394, 200)])
def test_a_leader_hears_no_more_often_in_large_fleets(hosts, messages_a_second):
    assert hosts / usage_counter.tell_period_s(hosts) <= messages_a_second + 1e-6


def test_hosts_of_the_largest_fleets_tell_before_a_window_is_closed_without_them():
    assert usage_counter.tell_period_s(10_000) < usage_ledger.STRAGGLER_S


def test_a_window_stays_open_until_it_is_known_whether_its_calls_ran(counter, ledger):
    """A call was sent in one window and answered in the next, which its host had told meanwhile.

    It was counted in the window that was over by then, and missing in the report: 19 of 20.
    """
    send = counter.note_sent("a", 4.99)
    rejected = counter.note_sent("b", 4.98)
    ledger.take("e-1", counter.told("r-1", 5.01), 5.01)
    assert ledger.complete(frozenset({"e-1"}), 5.01) == ()
    counter.note_taken(send, has_begun=True)
    counter.note_taken(rejected, has_begun=False)
    ledger.take("e-1", counter.told("r-1", 5.2), 5.2)
    assert ledger.complete(frozenset({"e-1"}), 5.2) == (0,)
    assert ledger.counts(0) == {"a": 1}


def test_a_window_that_was_told_to_be_over_gets_no_more_though_the_time_goes_back(counter):
    assert counter.told("r-1", 5.001).open_window == 1
    counter.note_begun("a", 4.999)
    assert _by_window(counter.told("r-1", 5.1)) == {1: {"a": 1}}


def test_windows_long_past_are_forgotten(counter):
    counter.note_begun("a", 1.0)
    late_s = (usage_counter.KEPT_WINDOWS + 1) * WINDOW_S
    assert counter.told("r-1", late_s).windows == ()


def test_counts_are_summed_over_hosts_and_their_starts_and_repeats_change_nothing(ledger):
    for _ in range(2):
        ledger.take("e-1", _told({0: {"a": 2}}, 1, boot=1), 0.0)
        ledger.take("e-1", _told({0: {"a": 1, "b": 1}}, 1, boot=2), 0.0)
        ledger.take("e-2", _told({0: {"a": 4}}, 1), 0.0)
    # An older message that comes late.
    ledger.take("e-2", _told({0: {"a": 3}}, 0), 0.0)
    assert ledger.counts(0) == {"a": 7, "b": 1}


def test_a_window_is_complete_once_every_host_is_past_it(ledger):
    ledger.take("e-1", _told({0: {"a": 1}}, 1), 0.0)
    ledger.take("e-2", _told({}, 0), 0.0)
    assert ledger.complete(HOSTS, 1.0) == ()
    ledger.take("e-2", _told({}, 1), 1.0)
    assert ledger.complete(HOSTS, 1.0) == (0,)


def test_a_window_does_not_wait_for_long_for_a_host_that_stands_still(ledger):
    ledger.take("e-1", _told({0: {"a": 1}}, 1), 0.0)
    assert ledger.complete(HOSTS, usage_ledger.STRAGGLER_S - 0.1) == ()
    assert ledger.complete(HOSTS, usage_ledger.STRAGGLER_S) == (0,)


def test_the_first_counts_of_a_window_stay(log):
    assert log.apply(duty_log.FixUsage(3, {"a": 1})) is not None
    assert log.apply(duty_log.FixUsage(3, {"a": 2})) is None
    assert log.usage_by_window[3].count_by_account == {"a": 1}


def test_a_window_that_was_forgotten_is_not_fixed_again(log):
    log.apply(duty_log.FixUsage(3, {"a": 1}))
    log.apply(duty_log.FixUsage(3 + duty_log.KEPT_WINDOWS, {"a": 1}))
    assert 3 not in log.usage_by_window
    assert not log.may_fix(3)


def test_a_snapshot_holds_windows_and_the_fence(log):
    log.apply(duty_log.FixUsage(3, {"a": 1}))
    log.apply(duty_log.UsageReported(3))
    restored = duty_log.DutyLog()
    restored.restore(log.snapshot())
    assert restored.usage_by_window == log.usage_by_window


def test_a_window_is_sent_only_once_its_counts_are_fixed(duty, log, ledger):
    ledger.take("e-1", _told({0: {"a": 1}}, 1), 0.0)
    ledger.take("e-2", _told({}, 1), 0.0)
    (fix,) = duty.to_fix(ledger, HOSTS, 1.0)
    assert duty.next_report(1.0) is None
    # Until the log has taken it, it is asked again only after a while.
    assert duty.to_fix(ledger, HOSTS, 1.1) == ()
    log.apply(fix)
    ledger.take("e-2", _told({0: {"a": 9}}, 1), 1.2)
    assert duty.to_fix(ledger, HOSTS, 5.0) == ()
    assert duty.next_report(1.2) == duty_types.ReportUsage(0, {"a": 1})


def test_reports_that_fail_are_repeated_with_growing_pauses_and_the_oldest_goes_first(duty, log):
    log.apply(duty_log.FixUsage(4, {"a": 1}))
    log.apply(duty_log.FixUsage(5, {"a": 2}))
    now, pauses = 0.0, []
    for _ in range(8):
        report = duty.next_report(now)
        assert report.window == 4
        assert duty.on_end(report, duty_types.CallEnd.UNKNOWN, now) is None
        failed_at = now
        while duty.next_report(now) is None:
            now += 0.05
        pauses.append(now - failed_at)
    assert pauses[0] <= usage_duty.FIRST_BACKOFF_S + 0.1
    assert max(pauses) <= usage_duty.LONGEST_BACKOFF_S + 0.1
    assert pauses[-1] > 4 * pauses[0]
    done = duty.on_end(duty.next_report(now), duty_types.CallEnd.DONE, now)
    log.apply(done)
    assert duty.next_report(now).window == 5


def test_the_fleet_agrees_on_the_time_though_a_third_of_the_clocks_jumps():
    clock = fleet_clock.FleetClock()
    for number in range(9):
        jump_s = 2.0 if number < 3 else 0.0
        clock.note(f"r-{number}", 1000.0 + 0.002 * number + jump_s, 10.0)
    assert clock.true_s(10.5, 998.5) == pytest.approx(1000.5, abs=0.02)


def test_times_told_long_ago_do_not_count():
    clock = fleet_clock.FleetClock()
    clock.note("r-1", 1000.0, 10.0)
    assert clock.true_s(20.0, 2000.0) == pytest.approx(2000.0)
