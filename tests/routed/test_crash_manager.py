"""Crash cases on coordinators in virtual time: reports, publication, log and trials."""

import collections

import pytest

from medlarfork import node
from medlarfork.coordination import coordination_messages, coordinator_types, routing_state
from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_ledger, crash_messages, crash_subject
from tests.routed import coordinator_cluster

KEY = "a1b2c3-request"
PART = crash_subject.part_key("engines", "guilty")
HOSTS = tuple(f"e-{number}" for number in range(4))
Accepted = coordinator_types.Accepted


@pytest.fixture
def cluster():
    new_cluster = coordinator_cluster.Cluster()
    new_cluster.run(6.0)
    assert isinstance(new_cluster.put("a", 3), Accepted)
    _send_host_statuses(new_cluster)
    new_cluster.run(0.2)
    return new_cluster


def _send_host_statuses(cluster):
    for number, entry_id in enumerate(HOSTS):
        status = coordination_messages.EntryStatus(f"10.0.0.{number}:1", "z", True, 3, 0, 0)
        for replica_id in cluster.host_by_id:
            cluster.post(replica_id, node.MessageReceived(entry_id, status))


def _report_crashes(cluster, replica_ids, numbers, *, key=KEY, survived_ago_s=-1.0):
    ends = tuple(crash_messages.UpstreamCrash(f"u-{number}", 0.0) for number in numbers)
    case = crash_messages.CrashCase(key, ends, survived_ago_s)
    report = crash_messages.CrashReport((case,))
    for replica_id in replica_ids:
        cluster.post(replica_id, node.MessageReceived("e-0", report))


def _restart_all(cluster):
    """Restart all replicas at once, after the log has taken what they know."""
    cluster.run(2.0)
    for replica_id in tuple(cluster.host_by_id):
        cluster.kill(replica_id)
    cluster.run(1.0)
    for replica_id in tuple(cluster.host_by_id):
        cluster.start(replica_id)
    cluster.until_read(12.0)
    cluster.run(0.5)


def _collect_packets(cluster, seconds):
    """Return what is sent within a time, with its sender and recipient."""
    packets = []
    for _ in range(round(seconds / coordinator_cluster.STEP_S)):
        _send_host_statuses(cluster)
        packets += cluster.packets
        cluster.step()
    return packets


def _collect_reports(cluster, seconds):
    """Return the reports that are sent to entry hosts within a time."""
    return [
        (to, message)
        for _, to, message in _collect_packets(cluster, seconds)
        if isinstance(message, crash_messages.CrashReport)
    ]


def _request_trial(cluster, replica_id, make_place_request, ticket_id="t-1"):
    """Return a replica's reply to the request for a trial."""
    question = make_place_request(ticket_id, trial_key=KEY)
    cluster.packets = []
    cluster.post(replica_id, node.MessageReceived("e-1", question))
    answers = [message for _, to, message in cluster.packets if to == "e-1"]
    return next(item for item in answers if isinstance(item, placement_messages.Answer))


def test_a_single_crash_is_not_published(cluster):
    _report_crashes(cluster, "abcde", (1,))
    assert _collect_reports(cluster, 1.0) == []


@pytest.mark.parametrize("phase_s", [0.0, 0.1, 0.3, 0.6, 0.85])
def test_a_second_crash_is_published_to_all_hosts_within_100_ms(cluster, phase_s):
    cluster.run(phase_s)
    _report_crashes(cluster, "abcde", (1, 2))
    packets = _collect_packets(cluster, 0.1)
    reports = _count_pairs(packets, crash_messages.CrashReport)
    assert set(reports) == {(replica, host) for replica in "abcde" for host in HOSTS}
    # Each replica sends each host one report, and repeats it only with its periodic status.
    allowed = _count_pairs(packets, coordination_messages.ReplicaStatus)
    assert all(count <= 1 + allowed[pair] for pair, count in reports.items())


def _count_pairs(packets, kind):
    """Return the number of messages of a kind for each sender and recipient."""
    return collections.Counter((by, to) for by, to, message in packets if isinstance(message, kind))


def test_changes_are_resent_for_a_limited_time(cluster):
    _report_crashes(cluster, "a", (1, 2, 3))
    assert len(_collect_reports(cluster, 2.5)) >= 3 * len(HOSTS)
    _collect_reports(cluster, 2.0)
    assert _collect_reports(cluster, 3.0) == []


def test_a_new_host_gets_the_cases_at_once(cluster):
    _report_crashes(cluster, "abcde", (1, 2, 3))
    cluster.run(8.0)
    cluster.packets = []
    status = coordination_messages.EntryStatus("10.0.0.9:1", "z", True, 3, 0, 0)
    cluster.post("b", node.MessageReceived("e-9", status))
    received = [message for _, to, message in cluster.packets if to == "e-9"]
    (report,) = [item for item in received if isinstance(item, crash_messages.CrashReport)]
    assert len(report.cases[0].ends) == 3


# Guards against: a host that starts and is told of the latest cases only, and runs what is held.
def test_a_new_host_gets_every_held_subject_though_many_others_are_newer(cluster):
    ends = tuple(crash_messages.UpstreamCrash(f"u-{number}", 0.0) for number in range(3))
    keys = [f"ffffff-{number}" for number in range(900)]
    cases = [crash_messages.CrashCase(key, ends) for key in keys]
    cases += [crash_messages.CrashCase(f"eeeeee-{number}", ends[:2]) for number in range(900)]
    cluster.post("a", node.MessageReceived("e-0", crash_messages.CrashReport(tuple(cases))))
    cluster.run(1.0)
    cluster.packets = []
    status = coordination_messages.EntryStatus("10.0.0.9:1", "z", True, 3, 0, 0)
    cluster.post("a", node.MessageReceived("e-9", status))
    reports = [message for _, to, message in cluster.packets if to == "e-9"]
    reports = [item for item in reports if isinstance(item, crash_messages.CrashReport)]
    assert {case.key for report in reports for case in report.cases} >= set(keys)
    assert max(len(report.cases) for report in reports) <= 200


# Guards against: a full log in which each new case evicts one that is proposed again, without end.
@pytest.mark.timeout(600)  # Seconds of work on a free processor; it has no wait that could hang.
def test_more_held_requests_than_the_log_keeps_cause_no_endless_proposals(cluster):
    ends = tuple(crash_messages.UpstreamCrash(f"u-{number}", 0.0) for number in range(3))
    count = routing_state.MAX_HELD + 200
    cases = tuple(crash_messages.CrashCase(f"ffffff-{number}", ends) for number in range(count))
    for replica_id in "abcde":
        report = crash_messages.CrashReport(cases)
        cluster.post(replica_id, node.MessageReceived("e-0", report))
    managers = [host.node._crashes for host in cluster.host_by_id.values()]
    cluster.run(30.0)
    proposed = [manager._proposals for manager in managers]
    assert sum(proposed) >= count
    cluster.run(5.0)
    assert [manager._proposals for manager in managers] == proposed


def test_a_held_request_is_refused_by_every_replica(cluster, make_place_request):
    _report_crashes(cluster, "abcde", (1, 2, 3))
    for replica_id in "abcde":
        answer = _request_trial(cluster, replica_id, make_place_request)
        assert isinstance(answer, placement_messages.PlaceRefused)


def test_a_restart_of_all_replicas_forgets_no_held_request(cluster, make_place_request):
    """Without it each restart of all replicas would crash three more upstreams."""
    _report_crashes(cluster, "abcde", (1, 2, 3))
    _restart_all(cluster)
    for replica_id in "abcde":
        answer = _request_trial(cluster, replica_id, make_place_request)
        assert isinstance(answer, placement_messages.PlaceRefused)
        assert answer.retry_after_ms > 0
    assert {to for to, _ in _collect_reports(cluster, 1.0)} == set(HOSTS)


def test_a_restart_of_all_replicas_forgets_no_part_on_trial_and_which_runs_had_begun(cluster):
    """With its crashes forgotten it would crash as many upstreams again."""
    ends = [crash_messages.UpstreamCrash(f"u-{number}", 0.0, number == 0) for number in range(4)]
    case = crash_messages.CrashCase(PART, tuple(ends))
    report = crash_messages.CrashReport((case,))
    for replica_id in "abcde":
        cluster.post(replica_id, node.MessageReceived("e-0", report))
    _restart_all(cluster)
    for replica_id in "abcde":
        ledger = cluster.host_by_id[replica_id].node._crashes.ledger
        assert ledger.begun_ends(PART) == ("u-0",)
        assert ledger.standing(PART, 0.0).verdict is crash_ledger.Verdict.TRIAL


def test_a_case_reported_to_one_replica_reaches_the_log_of_all(cluster, make_place_request):
    leader = cluster.host_by_id["a"].node._leader_id
    _report_crashes(cluster, (leader,), (1, 2, 3))
    cluster.run(1.0)
    for replica_id in "abcde":
        answer = _request_trial(cluster, replica_id, make_place_request)
        assert isinstance(answer, placement_messages.PlaceRefused)


def test_a_request_that_completed_is_released_in_the_log_too(cluster, make_place_request):
    _report_crashes(cluster, "abcde", (1, 2, 3))
    cluster.run(2.0)
    _report_crashes(cluster, "abcde", (), survived_ago_s=0.5)
    cluster.run(2.0)
    for replica_id in "abcde":
        assert cluster.host_by_id[replica_id].node._state.held_by_key == {}
        assert cluster.host_by_id[replica_id].node._crashes.ledger.ends(KEY) == ()


def test_an_operator_sees_a_held_request_and_lifts_it(cluster):
    _report_crashes(cluster, "abcde", (1, 2, 3))
    cluster.run(1.0)
    listed = cluster.ask("b", coordinator_types.ListCrashCases())
    assert [case.key for case in listed.cases] == [KEY]
    assert isinstance(cluster.ask("b", coordinator_types.LiftCrashCase(KEY)), Accepted)
    reports = _collect_reports(cluster, 1.0)
    cleared = [to for to, report in reports for case in report.cases if case.survived_ago_s >= 0]
    assert set(cleared) >= set(HOSTS)
    for host in cluster.host_by_id.values():
        assert host.node._crashes.ledger.ends(KEY) == ()


def _restart_all_at_once(cluster):
    """Restart all replicas; none has heard yet what the log has committed."""
    _report_crashes(cluster, "abcde", (1, 2, 3))
    cluster.run(2.0)
    for replica_id in "abcde":
        cluster.kill(replica_id)
    for replica_id in "abcde":
        cluster.start(replica_id)


# Guards against: an empty list of held requests at a follower that has just restarted.
@pytest.mark.parametrize("replica_id", "abcde")
def test_a_restarted_replica_lists_and_lifts_all_that_was_committed(cluster, replica_id):
    _restart_all_at_once(cluster)
    listed = cluster.ask(replica_id, coordinator_types.ListCrashCases(), within_s=4.0)
    assert [case.key for case in listed.cases] == [KEY]
    _restart_all_at_once(cluster)
    lift = coordinator_types.LiftCrashCase(KEY)
    assert isinstance(cluster.ask(replica_id, lift, within_s=4.0), Accepted)
    cluster.run(2.0)
    for host in cluster.host_by_id.values():
        assert host.node._crashes.ledger.ends(KEY) == ()


def test_a_replica_that_reaches_no_leader_does_not_list_crash_cases(cluster):
    leader_id = cluster.host_by_id["a"].node._leader_id
    cluster.cut = {"a", "b", "c", "d", "e"}
    for replica_id in {"a", "b", leader_id}:
        cluster.run(2.0)
        listed = cluster.ask(replica_id, coordinator_types.ListCrashCases(), within_s=4.0)
        assert isinstance(listed, coordinator_types.Unavailable)
    cluster.cut = set()
    cluster.run(3.0)
    listed = cluster.ask("b", coordinator_types.ListCrashCases())
    assert isinstance(listed, coordinator_types.CrashCasesFound)


def test_a_trial_without_an_upstream_does_not_block_the_next_one(cluster, make_place_request):
    _report_crashes(cluster, "abcde", (1, 2))
    first = _request_trial(cluster, "a", make_place_request)
    assert isinstance(first, placement_messages.Queued)
    again = _request_trial(cluster, "a", make_place_request, "t-2")
    assert isinstance(again, placement_messages.PlaceRefused)
    cluster.run(3.0)
    assert isinstance(
        _request_trial(cluster, "a", make_place_request, "t-3"), placement_messages.Queued
    )


def test_many_cases_are_published_in_several_reports(cluster):
    ends = tuple(crash_messages.UpstreamCrash(f"u-{number}", 0.0) for number in range(3))
    cases = tuple(crash_messages.CrashCase(f"ffffff-{number}", ends) for number in range(900))
    cluster.post("a", node.MessageReceived("e-0", crash_messages.CrashReport(cases)))
    reports = [report for to, report in _collect_reports(cluster, 1.0) if to == "e-1"]
    assert max(len(report.cases) for report in reports) <= 200
    assert len({case.key for report in reports for case in report.cases}) == 900
    assert len(cluster.host_by_id["a"].node._crashes.ledger) <= crash_ledger.MAX_CASES
