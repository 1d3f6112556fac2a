"""Tests that freeze, kill and wipe control replicas during configuration changes and claims."""

import hashlib
import socket
import subprocess
import time
import urllib.parse

import pytest
from examples import local_deployment, local_processes

from tests.processes import callers

CHANGES = 500
SEVERAL_ELECTIONS_S = 7.0
"""An election starts after at most 2 s without a leader."""
SEVERAL_HEARTBEATS_S = 5.0
"""An entry host sends a heartbeat each second."""


def _renamed(configuration, name):
    return {**configuration, "name": name}


def _change(deployment, new_key, name):
    """Apply another change and return its revision."""
    operator = deployment.operator
    base, configuration = operator.configuration()
    answer = operator.change(new_key(), base, _renamed(configuration, name))
    assert answer.status == 200, answer
    return answer.json["revision"]


def _revisions(deployment):
    """Return the revision of each entry host; None for one that did not answer."""
    revision_by_name = {}
    for name in deployment.entry_names:
        key = local_deployment.OPERATOR_KEY
        answer = callers.try_ask(deployment.address(name), "GET", "/v1/status", key=key)
        revision_by_name[name] = None if answer is None else answer.json["revision"]
    return revision_by_name


def _assert_never_back(seen):
    """Check that no entry host's revision ever decreased."""
    assert seen
    for name in seen[0]:
        revisions = [
            revision_by_name[name]
            for revision_by_name in seen
            if revision_by_name[name] is not None
        ]
        assert revisions == sorted(revisions), (name, revisions)


class RequestWhileFrozen:
    """A request sent to a frozen replica, whose response is read after it is resumed."""

    def __init__(self, deployment, name, path):
        netloc = urllib.parse.urlsplit(deployment.address(name)).netloc
        host, _, port = netloc.partition(":")
        self._socket = socket.create_connection((host, int(port)), timeout=callers.LIMIT_S)
        key = local_deployment.OPERATOR_KEY
        head = f"GET {path} HTTP/1.1\r\nHost: {netloc}\r\nAuthorization: Bearer {key}\r\n"
        self._socket.sendall(f"{head}Connection: close\r\n\r\n".encode())

    def status_and_body(self):
        with self._socket:
            received = b""
            while data := self._socket.recv(65536):
                received += data
        head, _, body = received.partition(b"\r\n\r\n")
        return int(head.split()[1]), body


def test_a_leader_frozen_during_apply_never_brings_the_old_revision_back(
    make_deployment, tmp_path, threads
):
    deployment = make_deployment()
    old_leader = deployment.wait_for_leader()
    changed = tmp_path / "changed.toml"
    changed.write_text((tmp_path / "configuration.toml").read_text().replace("failures", "newer"))
    with callers.Watch(lambda: _revisions(deployment)) as watch:
        applying = subprocess.Popen(
            [
                local_processes.installed("medlarctl"),
                *deployment.ctl_arguments("apply", str(changed), "--wait"),
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        # The command prints the id of its change just before it sends it.
        assert applying.stderr.readline().startswith("change_id=")
        deployment.processes.freeze(old_leader)
        output, errors = applying.communicate(timeout=60)
        assert applying.returncode == 0, errors
        assert "accepted as revision 2" in output
        requests = [
            RequestWhileFrozen(deployment, old_leader, path)
            for path in ["/v1/configuration", "/v1/history", "/v1/status"] * 5
        ]

        deployment.processes.thaw(old_leader)

        for request in requests:
            _assert_not_old(*request.status_and_body())
        deployment.wait(
            lambda: deployment.control_status(old_leader)["revision"] == 2, "the old leader's log"
        )
        assert deployment.operator.configuration()[0] == 2
    _assert_never_back(watch.seen)
    assert watch.seen[-1] == {"entry-1": 2, "entry-2": 2}


def _assert_not_old(status, body):
    """Check a response of a replica that led at revision 1 while the others went to 2."""
    text = body.decode()
    if status != 200:
        assert status in (421, 503), text
        return
    # A replica's own status may show an old revision, but not as the leader.
    assert '"has_lease":false' in text or '"revision":2' in text, text


def test_claims_and_changes_go_on_after_the_leader_is_killed(make_deployment, new_key):
    deployment = make_deployment()
    deployment.start_service("desk-1")
    old_leader = deployment.wait_for_leader()
    before = new_key()
    assert callers.hold(deployment.address("entry-1"), before).outcome == "completed"

    deployment.processes.kill(old_leader)

    key = new_key()
    refusals = []

    def _held():
        answer = callers.hold(deployment.address("entry-1"), key)
        if answer.status == 503:
            assert answer.outcome == "not_run"
            refusals.append(answer)
            return None
        return answer

    answer = deployment.wait(_held, "a claim from the new leader")
    assert (answer.status, answer.outcome) == (200, "completed")
    again = callers.hold(deployment.address("entry-2"), before)
    assert (again.status, again.replayed) == (200, True)
    assert deployment.executions("desk-1") == {before: 1, key: 1}
    assert deployment.wait_for_leader() != old_leader
    assert _change(deployment, new_key, "after") == 2
    deployment.wait_for_revision(2)


def _wait_for_full_voter(deployment, name):
    """Wait until the leader counts a replica as a voter and its log is complete."""

    def _is_full():
        leader = deployment.leader()
        if not leader:
            return False
        leading, own = deployment.control_status(leader), deployment.control_status(name)
        return (
            name in leading["voters"]
            and name not in leading["learners"]
            and own["commit_index"] >= leading["commit_index"]
            and own["revision"] == leading["revision"]
        )

    deployment.wait(_is_full, f"{name} as a voter")


def test_a_wiped_replica_and_the_permanent_loss_of_another_lose_no_changes(
    make_deployment, new_key
):
    deployment = make_deployment(entries=1)
    leader = deployment.wait_for_leader()
    wiped, lost = (name for name in deployment.control_names if name != leader)
    deployment.processes.stop([wiped])
    for number in range(5):
        _change(deployment, new_key, f"while-{number}")
    before = deployment.operator.history()
    deployment.wipe(wiped)

    deployment.restart(wiped)
    _wait_for_full_voter(deployment, wiped)
    deployment.processes.kill(lost)

    assert deployment.operator.history() == before
    revision, configuration = deployment.operator.configuration()
    assert (revision, configuration["name"]) == (6, "while-4")
    assert _change(deployment, new_key, "later") == 7
    deployment.wait_for_revision(7)


def test_the_last_full_replica_may_be_lost_after_a_wiped_one_is_back(make_deployment, new_key):
    deployment = make_deployment(entries=1)
    leader = deployment.wait_for_leader()
    wiped, other = (name for name in deployment.control_names if name != leader)
    deployment.processes.kill(wiped)
    deployment.wipe(wiped)
    for number in range(3):
        _change(deployment, new_key, f"while-{number}")
    before = deployment.operator.history()
    deployment.restart(wiped)
    _wait_for_full_voter(deployment, wiped)

    deployment.processes.kill(leader)

    assert deployment.wait_for_leader() in (wiped, other)
    assert deployment.operator.history() == before
    assert _change(deployment, new_key, "later") == 5


@pytest.mark.parametrize("wipes_leader", [True, False])
def test_a_wiped_replica_and_one_that_missed_a_change_elect_no_leader(
    make_deployment, new_key, wipes_leader
):
    deployment = make_deployment(entries=1)
    leader = deployment.wait_for_leader()
    follower, behind = (name for name in deployment.control_names if name != leader)
    wiped, holder = (leader, follower) if wipes_leader else (follower, leader)
    # If it were only frozen, it would receive the change from its socket when it resumes.
    deployment.processes.kill(behind)
    assert _change(deployment, new_key, "accepted") == 2
    change_id = deployment.operator.history()[2]

    deployment.processes.kill(wiped)
    deployment.wipe(wiped)
    deployment.processes.freeze(holder)
    deployment.restart(wiped)
    deployment.restart(behind)

    end = time.monotonic() + SEVERAL_ELECTIONS_S
    while time.monotonic() < end:
        for name in (wiped, behind):
            _assert_does_not_lead_without_it(deployment, name)
    deployment.processes.thaw(holder)
    _wait_for_full_voter(deployment, wiped)
    assert deployment.operator.history()[2] == change_id
    assert _change(deployment, new_key, "later") == 3
    deployment.wait_for_revision(3)


def _assert_does_not_lead_without_it(deployment, name):
    answer = callers.try_ask(
        deployment.address(name),
        "GET",
        "/v1/configuration",
        key=local_deployment.OPERATOR_KEY,
    )
    if answer is not None and answer.status == 200:
        assert answer.json["current_revision"] >= 2, f"{name} leads without the change"


def _leave_behind(deployment, new_key):
    """Isolate the leader during several changes, and return it, still frozen.

    The newest revision has no account with the callers' key; every older one has. The first entry
    host is killed, and will contact the old leader first.
    """
    behind = deployment.wait_for_leader()
    deployment.ask_first("entry-1", behind)
    deployment.processes.freeze(behind)
    for name in deployment.control_names:
        if name != behind:
            # No message that reveals the others may be queued in the frozen replica's socket.
            deployment.processes.kill(name)
            deployment.cut_link(name, behind)
            deployment.restart(name)
    for number in range(3):
        _change(deployment, new_key, f"while-{number}")
    base, configuration = deployment.operator.configuration()
    other_key = {"key_sha256": [hashlib.sha256(b"other-key").hexdigest()]}
    changed = {**configuration, "accounts": [{**configuration["accounts"][0], **other_key}]}
    answer = deployment.operator.change(new_key(), base, changed)
    assert (answer.status, answer.json["revision"]) == (200, 5), answer
    deployment.wait_for_revision(5)
    deployment.processes.kill("entry-1")
    return behind


def _serves_only_the_newest(deployment, name, statuses):
    """Send a request with the old key and record its status; return whether it was refused."""
    answer = callers.try_ask(deployment.address(name), "GET", "/services/desk/search/x")
    if answer is not None:
        statuses.append(answer.status)
    return answer is not None and answer.status == 401


def test_an_entry_host_restarted_next_to_a_stale_replica_serves_only_the_newest_revision(
    make_deployment, new_key
):
    deployment = make_deployment()
    deployment.start_service("desk-1")
    behind = _leave_behind(deployment, new_key)

    deployment.processes.thaw(behind)
    deployment.processes.restart("entry-1")

    statuses = []
    deployment.wait(
        lambda: _serves_only_the_newest(deployment, "entry-1", statuses),
        "the newest revision at entry-1",
    )
    assert deployment.entry_status("entry-1")["revision"] == 5
    assert set(statuses) <= {401, 503}, statuses
    assert deployment.total("desk-1") == 0


def test_a_stale_leader_that_reaches_only_a_restarted_entry_host_sends_it_no_configuration(
    make_deployment, new_key
):
    deployment = make_deployment()
    deployment.start_service("desk-1")
    behind = _leave_behind(deployment, new_key)
    others = [name for name in deployment.control_names if name != behind]
    for name in others:
        deployment.processes.freeze(name)

    deployment.processes.thaw(behind)
    deployment.restart("entry-1")

    statuses = []
    end = time.monotonic() + SEVERAL_HEARTBEATS_S
    while time.monotonic() < end:
        assert not _serves_only_the_newest(deployment, "entry-1", statuses)
        assert deployment.entry_status("entry-1")["revision"] == 0
        assert deployment.operator.ask(behind, "GET", "/v1/configuration").status in (421, 503)
    assert set(statuses) == {503}
    for name in others:
        deployment.processes.thaw(name)
    deployment.wait(
        lambda: _serves_only_the_newest(deployment, "entry-1", statuses),
        "the newest revision at entry-1",
    )
    assert deployment.entry_status("entry-1")["revision"] == 5
    assert set(statuses) == {401, 503}
    assert deployment.total("desk-1") == 0


def test_killed_replicas_recover_hundreds_of_changes(make_deployment, new_key):
    deployment = make_deployment(entries=1)
    leader = deployment.wait_for_leader()
    base, configuration = deployment.operator.configuration()
    accepted = {}
    for number in range(CHANGES):
        change_id = new_key()
        answer = deployment.operator.ask(
            leader,
            "POST",
            "/v1/changes",
            callers.change_body(change_id, base, _renamed(configuration, f"n-{number}")),
        )
        assert answer.status == 200, answer
        base = answer.json["revision"]
        accepted[base] = change_id
    assert base == CHANGES + 1

    for name in deployment.control_names:
        deployment.processes.kill(name)
    for name in deployment.control_names:
        deployment.processes.restart(name)

    deployment.wait(deployment.leader, "a leader after the restart", limit_s=20.0)
    history = deployment.operator.history()
    assert {revision: history[revision] for revision in accepted} == accepted
    revision, found = deployment.operator.configuration()
    assert (revision, found["name"]) == (CHANGES + 1, f"n-{CHANGES - 1}")
    for resent in (2, CHANGES // 2, CHANGES + 1):
        name = f"n-{resent - 2}"
        again = deployment.operator.change(
            accepted[resent], resent - 1, _renamed(configuration, name)
        )
        assert (again.status, again.json["revision"]) == (200, resent)
    assert _change(deployment, new_key, "later") == CHANGES + 2
    deployment.wait_for_revision(CHANGES + 2)


def test_without_a_quorum_only_repeatable_traffic_runs(make_deployment, tmp_path, new_key):
    deployment = make_deployment()
    deployment.start_service("desk-1")
    deployment.start_engine("engine-1")
    leader = deployment.wait_for_leader()
    undisturbed = callers.text_of(callers.chat(deployment.address("entry-1"), "hello"))
    survivor = next(name for name in deployment.control_names if name != leader)
    for name in deployment.control_names:
        if name != survivor:
            deployment.processes.kill(name)

    def _unproven():
        return not any(deployment.entry_status(name)["proven"] for name in deployment.entry_names)

    keys = []
    seen_unproven = 0
    for _ in range(200):
        for address in deployment.entry_addresses:
            assert callers.search(address).outcome == "completed"
        keys.append(new_key())
        # Far below the deadline of the call's class.
        refused = callers.hold(deployment.address("entry-2"), keys[-1], limit_s=10.0)
        assert (refused.status, refused.outcome) == (503, "not_run"), refused
        assert "retry-after" in refused.headers
        seen_unproven += _unproven()
        if seen_unproven == 2:
            break
    assert seen_unproven == 2
    for address in deployment.entry_addresses:
        stream = callers.ChatStream(address, "hello").read_all()
        assert (stream.text, stream.done, stream.ended) == (undisturbed, True, True)
    assert deployment.executions("desk-1") == {}
    refused = deployment.ctl("apply", str(tmp_path / "configuration.toml"), "--patience_s=2")
    assert refused.status == 3, refused
