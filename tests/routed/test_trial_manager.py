"""Requests under which upstreams crashed run one at a time, and held ones rarely."""

import pytest

from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_ledger, trial_manager

KEY = "a1b2c3-request"
RunEnd = placement_messages.RunEnd


@pytest.fixture
def ledger():
    ledger = crash_ledger.CrashLedger()
    for number in range(2):
        ledger.record_crash(KEY, f"u-{number}", 0.0, 0.0)
    return ledger


@pytest.fixture
def manager(ledger):
    return trial_manager.TrialManager(ledger)


@pytest.fixture
def ask(manager, make_place_request):
    """Return a function that tells whether a ticket may run now."""

    def ask_one(ticket_id, now):
        return manager.request_trial(make_place_request(ticket_id, trial_key=KEY), now) is None

    return ask_one


def test_one_runs_at_a_time(manager, ask):
    assert ask("t-1", 1.0)
    assert ask("t-1", 1.1), "the same ticket asks again after its owner changed"
    assert not ask("t-2", 1.2)
    manager.on_ended("t-1", RunEnd.COMPLETE, 1.3)
    assert ask("t-3", 1.4)


def test_the_next_trial_waits_until_the_last_result_could_be_reported(manager, ask, ledger):
    assert ask("t-1", 1.0)
    manager.on_ended("t-1", RunEnd.BROKEN, 1.2)
    assert not ask("t-2", 1.2 + trial_manager.SETTLE_S / 2)
    ledger.record_crash(KEY, "u-9", 1.2, 1.3)
    assert not ask("t-3", 20.0)
    assert ask("t-4", 1.2 + crash_ledger.TRIAL_DELAYS_S[0] + 0.1)


def test_a_trial_whose_end_was_never_reported_ends_with_its_caller(ask):
    assert ask("t-1", 1.0)
    assert not ask("t-2", 2.0)
    assert ask("t-3", 1.0 + 1.0 + trial_manager.REPORT_GRACE_S + 0.1)


def test_a_refusal_states_a_retry_delay(manager, ledger, make_place_request):
    ledger.record_crash(KEY, "u-9", 0.0, 0.0)
    refused = manager.request_trial(make_place_request("t", trial_key=KEY), 10.0)
    assert refused.retry_after_ms == pytest.approx(20_000.0)
