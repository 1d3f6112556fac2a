"""Tests that SIGTERM stops each role without interrupting requests in progress."""

import time

import pytest

from tests.processes import callers

LEAVING_S = 3.0
"""Time after its SIGTERM within which an engine may still get new requests."""

LIFETIME_S = 1.0
"""Lifetime of the answer of /v1/entries in these deployments."""

LONG = "a long story [tokens=350]"
SHORT = "a short one [tokens=2]"
OTHER = {"entry-1": "entry-2", "entry-2": "entry-1"}


def _reads_to_end(stream):
    stream.read_all()
    return stream.done and stream.ended


def test_a_stopping_engine_finishes_its_streams_and_gets_no_new_requests(make_deployment, threads):
    deployment = make_deployment()
    for name in ("engine-1", "engine-2"):
        deployment.start_engine(name, token_s=0.02)
    streams = [
        callers.ChatStream(address, LONG).read_tokens(3)
        for address in deployment.entry_addresses * 3
    ]
    assert deployment.engine_state("engine-1")["running"]
    reading = [threads.submit(_reads_to_end, stream) for stream in streams]

    asked = []
    stopped_at = time.monotonic()
    deployment.processes.terminate("engine-1")
    while deployment.processes.running("engine-1"):
        for address in deployment.entry_addresses:
            asked.append((time.monotonic(), callers.chat(address, SHORT)))

    assert deployment.processes.wait("engine-1") == 0
    assert all(item.result() for item in reading)
    assert len({stream.text for stream in streams}) == 1
    assert {stream.tokens for stream in streams} == {350}
    assert {answer.outcome for _, answer in asked} == {"completed"}
    late = [answer for asked_at, answer in asked if asked_at > stopped_at + LEAVING_S]
    assert late
    # The engine refuses new requests, so an answer of the first attempt came from another one.
    assert {deployment.attempts(answer.request_id) for answer in late} == {1}


def test_a_stopping_service_finishes_its_calls(make_deployment, threads, new_key):
    deployment = make_deployment()
    deployment.start_service("desk-1", delay_s=2.0)
    key = new_key()
    calls = [
        threads.submit(callers.hold, deployment.address("entry-1"), key),
        threads.submit(callers.search, deployment.address("entry-2")),
    ]
    deployment.wait(lambda: deployment.total("desk-1") == 2, "both executions")

    stopped = deployment.processes.stop(["desk-1"])

    assert stopped == {"desk-1": 0}
    for call in calls:
        assert (call.result().status, call.result().outcome) == (200, "completed")
    refused = callers.hold(deployment.address("entry-1"), new_key())
    assert (refused.status, refused.outcome) == (503, "not_run")
    assert callers.hold(deployment.address("entry-2"), key).replayed


def _is_named(deployment, name):
    """Return whether any entry host that answers still lists this one for callers."""
    for address in deployment.entry_addresses:
        answer = callers.try_ask(address, "GET", "/v1/entries")
        if answer is not None:
            addresses = [entry["address"] for entry in answer.json["entries"]]
            if deployment.address(name) in addresses:
                return True
    return False


# One of the two hosts owns the pools, so stopping the owner and stopping another is tested.
@pytest.mark.parametrize("stopping", OTHER)
def test_a_stopping_entry_host_is_unlisted_first_and_cancels_nothing(
    make_deployment, threads, new_key, stopping
):
    deployment = make_deployment(entry_settings=f"entries_lifetime_s = {LIFETIME_S}\n")
    deployment.start_engine("engine-1", token_s=0.02)
    deployment.start_service("desk-1", delay_s=0.2)
    address, other = deployment.address(stopping), deployment.address(OTHER[stopping])
    streams = [callers.ChatStream(address, LONG).read_tokens(3) for _ in range(3)]
    reading = [threads.submit(_reads_to_end, stream) for stream in streams]
    assert _is_named(deployment, stopping)

    with callers.Watch(lambda: callers.hold(other, new_key())) as elsewhere:
        deployment.processes.terminate(stopping)
        named_at = time.monotonic()
        while True:
            asked_at = time.monotonic()
            if _is_named(deployment, stopping):
                named_at = asked_at
            answer = callers.hold(address, new_key())
            if answer.status != 200:
                break
        refused_at = time.monotonic()
        assert deployment.processes.wait(stopping) == 0

    assert (answer.status, answer.outcome) == (503, "not_run")
    assert answer.error["code"] == "draining"
    assert answer.headers["medlar-entries"] == other
    assert refused_at - named_at >= LIFETIME_S
    assert all(item.result() for item in reading)
    assert {stream.tokens for stream in streams} == {350}
    assert {held.outcome for held in elsewhere.seen} == {"completed"}
    assert set(deployment.executions("desk-1").values()) == {1}
    deployment.wait_for_members([OTHER[stopping]])
    assert callers.chat(other, SHORT).outcome == "completed"


def test_a_stopping_control_leader_transfers_leadership_without_refusing_a_claim(
    make_deployment, threads, new_key
):
    deployment = make_deployment()
    deployment.start_service("desk-1", delay_s=0.05)
    leader = deployment.wait_for_leader()
    # This entry host has no connection to the other replicas, so only the leader can reach it.
    deployment.processes.kill("entry-2")
    deployment.ask_first("entry-2", leader)
    deployment.restart("entry-2")
    deployment.wait_for_members(deployment.entry_names)
    operator = deployment.operator
    base, configuration = operator.configuration()
    change_id = new_key()

    with callers.Watch(lambda: callers.hold(deployment.address("entry-1"), new_key())) as watch:
        deployment.wait(lambda: len(watch.seen) >= 3, "some calls before the stop")
        renamed = {**configuration, "name": "while stopping"}
        # A host whose leader has just replied takes longest to switch to another replica by itself.
        deployment.wait(
            lambda: deployment.entry_status("entry-2")["proof_age_s"] < 0.1, "a fresh heartbeat"
        )
        changing = threads.submit(operator.change, change_id, base, renamed)

        stopped = deployment.processes.stop([leader])

        # This entry host has sent nothing to control since.
        idle = callers.hold(deployment.address("entry-2"), new_key())
        assert stopped == {leader: 0}
        assert deployment.wait_for_leader() != leader
        seen = len(watch.seen)
        deployment.wait(lambda: len(watch.seen) >= seen + 5, "some calls after the stop")
    answers = [idle, *watch.seen]
    assert {(answer.status, answer.outcome) for answer in answers} == {(200, "completed")}
    executions = deployment.executions("desk-1")
    assert len(executions) == len(answers)
    assert set(executions.values()) == {1}
    assert (changing.result().status, changing.result().json["revision"]) == (200, base + 1)
    assert operator.history()[base + 1] == change_id
    deployment.wait_for_revision(base + 1)
