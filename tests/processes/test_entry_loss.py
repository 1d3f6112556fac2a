"""Tests that kill entry hosts while not-repeatable requests are in progress."""

import json
import time

import pytest

from tests.processes import callers

OTHER = {"entry-1": "entry-2", "entry-2": "entry-1"}
RETRY_S = 0.2


def _hold_until_run(address, key):
    """Send a call again for as long as it is refused before it ran; return None if it was cut."""
    while (answer := callers.try_hold(address, key)) and answer.outcome == "not_run":
        time.sleep(RETRY_S)
    return answer


def _stall(deployment, service, stall_s):
    """Let the running calls of a service end no earlier than after this time."""
    body = json.dumps({"freeze_s": stall_s}).encode()
    answer = callers.ask(deployment.standin_address(service), "POST", "/v1/faults", body)
    assert answer.status == 200, answer


# One of the two hosts owns the service's pool, so the loss of the owner and of another is tested.
@pytest.mark.parametrize("lost", OTHER)
def test_a_resent_call_never_runs_again_after_its_entry_host_is_killed(
    make_deployment, threads, new_key, lost
):
    deployment = make_deployment()
    deployment.start_service("desk-1", delay_s=1.0)
    key = new_key()
    first = threads.submit(callers.hold, deployment.address(lost), key)
    deployment.wait_for_execution("desk-1", key)

    deployment.processes.kill(lost)

    with pytest.raises(callers.CUT_ERRORS):
        first.result()
    answers = [callers.hold(deployment.address(OTHER[lost]), key) for _ in range(3)]
    for answer in answers:
        assert answer.outcome == "may_have_run", answer
    assert answers[-1].error["code"] == "uncertain"
    assert callers.hold(deployment.address(OTHER[lost]), new_key()).outcome == "completed"
    assert deployment.executions("desk-1")[key] == 1


@pytest.mark.parametrize("lost", OTHER)
def test_a_call_still_queued_when_its_entry_host_is_killed_runs_at_most_once(
    make_deployment, threads, new_key, lost
):
    deployment = make_deployment()
    deployment.start_service("desk-1", slots=1)
    other, key, occupying = OTHER[lost], new_key(), new_key()
    # The slot stays occupied until the resent call is in progress, however long that takes.
    _stall(deployment, "desk-1", callers.LIMIT_S)
    holding = threads.submit(_hold_until_run, deployment.address(other), occupying)
    deployment.wait_for_execution("desk-1", occupying)
    threads.submit(_hold_until_run, deployment.address(lost), key)
    deployment.wait(lambda: deployment.entry_status(lost)["queued"] == 1, "the queued call")

    deployment.processes.kill(lost)
    resending = threads.submit(callers.hold, deployment.address(other), key)
    deployment.wait(
        lambda: resending.done() or deployment.entry_status(other)["requests"] == 2,
        "the resent call",
    )
    _stall(deployment, "desk-1", 0.0)

    resent, held = resending.result(), holding.result()
    assert held.outcome == "completed", held
    # Calls start in order of arrival, so once this one completes, any resent call has started.
    last = _hold_until_run(deployment.address(other), new_key())
    assert last.outcome == "completed", last
    executions = deployment.executions("desk-1").get(key, 0)
    assert executions <= 1, resent
    assert resent.outcome in ("completed", "may_have_run", "not_run"), resent
    assert (resent.outcome, executions) != ("not_run", 1), resent
    assert (resent.outcome, executions) != ("completed", 0), resent


def test_duplicates_at_two_entry_hosts_at_once_run_once_and_get_one_answer(
    make_deployment, threads, new_key
):
    deployment = make_deployment()
    deployment.start_service("desk-1", delay_s=0.4)
    keys = [new_key() for _ in range(6)]
    asked = [
        (key, threads.submit(callers.hold, address, key))
        for key in keys
        for address in deployment.entry_addresses
    ]

    for key in keys:
        first, second = [call.result() for asked_key, call in asked if asked_key == key]
        assert (first.status, first.outcome) == (200, "completed"), first
        assert (second.status, second.outcome) == (200, "completed"), second
        assert first.body == second.body
        assert [first.replayed, second.replayed].count(True) == 1
        assert first.headers["idempotency-key"] == second.headers["idempotency-key"] == key
    assert deployment.executions("desk-1") == dict.fromkeys(keys, 1)
