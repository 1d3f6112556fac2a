"""Each safety rule of the replicated log, in the situation that it protects against."""

import dataclasses
import random

import pytest
from examples import replicated_log

from medlarfork import errors, node
from medlarfork.replica import (
    _replica_messages,
    _replica_records,
    _replica_snapshot,
    replica,
    replica_types,
)
from tests import replica_cluster


@pytest.fixture
def cluster():
    """Return three replicas, of which "a" leads."""
    three = replica_cluster.Cluster(3)
    three.isolated.add("c")
    while three.leader() is None or three.leader().replica_id != "a":
        three = replica_cluster.Cluster(3, seed=three.random.random())
        three.wait_for_leader()
    three.accept("first")
    three.run(1)
    return three


def make_replica(records=(), *, options=replica_cluster.OPTIONS, voters=("a", "b", "c")):
    """Return a started replica "b", with members on disks 1, 2, 3, and its first actions."""
    members = [_replica_records.Member(voter, at + 1) for at, voter in enumerate(voters)]
    first = _replica_records.Entry(
        1,
        0,
        _replica_records.EntryKind.MEMBERSHIP,
        membership=_replica_records.Membership(tuple(members)),
    )
    own = voters.index("b") + 1
    journal = (_replica_records.DiskRecord(own), first, *records)
    packed = tuple(_replica_records.RECORD_CODEC.pack(record) for record in journal)
    made = replica.Replica(
        replica_id="b",
        initial_voters=replica_types.Voters(voters),
        restored=replica_types.Restored(packed, None, fresh=False),
        random=random.Random(1),
        options=options,
    )
    return made, made.handle(node.Started(), 0.0)


def vote_request(term, *, preliminary=False):
    candidate = _replica_records.Member("a", 1)
    request = _replica_messages.VoteRequest(term, candidate, 9, term - 1, preliminary)
    return node.MessageReceived("a", request)


def sent(actions, kind):
    return [
        action.message
        for action in actions
        if isinstance(action, node.Send) and isinstance(action.message, kind)
    ]


def test_a_healed_replica_does_not_depose_the_leader(cluster):
    term = cluster.leader().replica.status.term
    cluster.isolated.add("c")
    cluster.run(20)
    cluster.isolated.clear()
    cluster.run(5)
    assert cluster.leader().replica_id == "a"
    assert cluster.leader().replica.status.term == term


def test_an_isolated_leader_stops_before_another_leads(cluster):
    cluster.isolated.add("a")
    cluster.propose("a", "late")
    cluster.run_until(lambda: cluster.lease_holder() is None)
    cluster.run_until(lambda: cluster.lease_holder() is not None)
    assert not cluster.host_by_id["a"].is_leader
    refusal = cluster.refused_by_id["late"]
    assert refusal.uncertain


def test_no_vote_is_granted_within_the_lease_after_a_heartbeat_or_a_start():
    follower, _ = make_replica()
    assert not sent(follower.handle(vote_request(5, preliminary=True), 0.9), object)
    heartbeat = _replica_messages.AppendRequest(3, 0, 0, (), 0, 0.0)
    follower.handle(node.MessageReceived("c", heartbeat), 1.0)
    assert not sent(follower.handle(vote_request(5), 1.9), object)
    assert follower.status.term == 3
    follower.handle(vote_request(5), 2.01)
    assert follower.status.term == 5


def test_a_vote_waits_for_its_sync_and_is_given_once():
    follower, _ = make_replica()
    actions = follower.handle(vote_request(5), 1.1)
    assert not sent(actions, _replica_messages.VoteReply)
    (write,) = [action for action in actions if isinstance(action, node.Persist)]
    actions = follower.handle(node.Synced(write.token), 1.1)
    assert sent(actions, _replica_messages.VoteReply)[0].granted
    other = _replica_messages.VoteRequest(5, _replica_records.Member("c", 3), 9, 4)
    (reply,) = sent(
        follower.handle(node.MessageReceived("c", other), 1.2), _replica_messages.VoteReply
    )
    assert not reply.granted


def test_a_leader_counts_its_own_entry_only_once_synced(cluster):
    cluster.host_by_id["a"].is_disk_slow = True
    cluster.isolated.add("c")
    cluster.propose("a", "waits")
    cluster.run(2)
    assert "waits" not in cluster.accepted_by_id
    cluster.host_by_id["a"].is_disk_slow = False
    cluster.run(0.5)
    assert "waits" in cluster.accepted_by_id


def make_leader(records, *, term):
    """Return a replica "b" that has just become leader and has committed nothing in its term."""
    made, actions = make_replica(records)
    for _ in range(3):
        for action in actions:
            if isinstance(action, node.Persist):
                made.handle(node.Synced(action.token), 5.0)
        actions = made.handle(node.TimeDue(), 5.0)
        voter = _replica_records.Member("a", 1)
        me = _replica_records.Member("b", 2)
        for preliminary in (True, False):
            reply = _replica_messages.VoteReply(
                term - preliminary, term, me, voter, True, preliminary
            )
            actions += made.handle(node.MessageReceived("a", reply), 5.0)
    assert made.status.role is replica_types.Role.LEADER
    return made


def ack(term, index, *, follower=("a", 1), sent_at=5.0):
    member = _replica_records.Member(*follower)
    return node.MessageReceived(
        follower[0], _replica_messages.AppendReply(term, member, True, index, index, sent_at)
    )


def test_entries_of_earlier_terms_commit_only_with_one_of_the_own_term():
    command = _replica_records.EntryKind.COMMAND
    records = (
        _replica_records.TermRecord(2, None),
        _replica_records.Entry(2, 2, command, b"old"),
    )
    leader = make_leader(records, term=3)
    leader.handle(ack(3, 2), 5.1)
    assert leader.status.commit_index == 0
    leader.handle(ack(3, 3), 5.1)
    assert leader.status.commit_index in (0, 3)


def test_acknowledgements_of_another_term_or_disk_do_not_count():
    leader = make_leader((_replica_records.TermRecord(2, None),), term=3)
    leader.handle(node.Synced(99), 5.1)
    leader.handle(ack(2, 2), 5.1)
    leader.handle(ack(3, 2, follower=("a", 77)), 5.1)
    assert leader.status.commit_index == 0
    leader.handle(ack(3, 2), 5.2)
    assert leader.status.commit_index == 2


def test_a_lost_disk_returns_without_a_vote(cluster):
    cluster.lose_disk("b")
    cluster.isolated.add("a")
    cluster.start("b")
    cluster.run(20)
    assert cluster.leader() is None
    cluster.isolated.clear()
    cluster.run_until(lambda: cluster.is_voting("b"))
    assert cluster.accepted_by_id["first"] in dict(cluster.host_by_id["b"].commands)


def test_a_lost_disk_does_not_let_a_lagging_replica_lead(cluster):
    cluster.isolated.add("c")
    cluster.accept("only on a and b")
    cluster.crash("b")
    cluster.lose_disk("a")
    cluster.start("a")
    cluster.isolated.clear()
    cluster.run(20)
    assert cluster.leader() is None
    cluster.start("b")
    cluster.accept("after")
    cluster.run_until(lambda: cluster.is_voting("a"))
    cluster.run(1)
    assert all(len(host.commands) == 3 for host in cluster.host_by_id.values())


def test_a_second_disk_may_be_lost_right_after_the_first_returned(cluster):
    for replica_id in "bcab":
        cluster.accept(f"before {replica_id}")
        cluster.lose_disk(replica_id)
        cluster.start(replica_id)
        cluster.run_until(lambda lost=replica_id: cluster.is_voting(lost))
    cluster.accept("last")
    assert len(cluster.leader().commands) == 6


def test_a_second_log_is_not_bootstrapped_beside_an_existing_one(cluster):
    cluster.crash("c")
    for replica_id in "ab":
        cluster.lose_disk(replica_id)
        cluster.start(replica_id)
    cluster.run(20)
    cluster.start("c")
    cluster.run(20)
    assert cluster.leader() is None


def test_a_far_behind_replica_gets_the_snapshot_in_chunks_and_resumes(cluster):
    cluster.isolated.add("c")
    for number in range(40):
        cluster.accept(f"p{number}")
    cluster.isolated.clear()
    chunks = []
    host = cluster.host_by_id["c"]
    for _ in range(2000):
        for packet in list(cluster.packets):
            if isinstance(packet.message, _replica_messages.SnapshotChunk):
                chunks.append(packet.message)
                if len(chunks) == 4:
                    cluster.packets.remove(packet)
        cluster.step()
        if len(host.commands) == 41:
            break
    assert len(host.commands) == 41
    assert max(len(chunk.data) for chunk in chunks) <= cluster.options.snapshot_chunk_bytes
    offsets = [chunk.offset for chunk in chunks]
    assert offsets == sorted(offsets)
    assert len(offsets) == len(set(offsets)) + 1


def test_compaction_bounds_journal_and_memory(cluster):
    for number in range(100):
        cluster.accept(f"p{number}")
    cluster.run(1)
    bound = cluster.options.snapshot_every_entries + cluster.options.trailing_entries + 4
    for host in cluster.host_by_id.values():
        assert len(host.disk.records) <= bound + 8
        assert host.state.log.last_index - host.state.log.base_index <= bound


def test_leadership_is_transferred_at_once_and_without_a_lease(cluster):
    before = cluster.time
    cluster.post("a", replica_types.TransferLeadership())
    assert not cluster.host_by_id["a"].replica.holds_lease(cluster.now(cluster.host_by_id["a"]))
    cluster.propose("a", "meanwhile")
    assert not cluster.refused_by_id["meanwhile"].uncertain
    cluster.run_until(
        lambda: cluster.leader() is not None and not cluster.host_by_id["a"].is_leader
    )
    assert cluster.time - before < cluster.options.election_timeout_min_s


def test_a_transfer_whose_target_stays_silent_ends_leadership(cluster):
    cluster.post("a", replica_types.TransferLeadership())
    cluster.packets.clear()
    for _ in range(60):
        kept = [
            p for p in cluster.packets if not isinstance(p.message, _replica_messages.TimeoutNow)
        ]
        cluster.packets = kept
        cluster.step()
    leader = cluster.leader()
    assert leader is None or leader.replica.status.term > 1


def test_voters_change_one_at_a_time_with_a_learner_first(cluster):
    cluster.start("d")
    cluster.post("a", replica_types.ChangeVoters("add d", add="d"))
    cluster.post("a", replica_types.ChangeVoters("too early", remove="b"))
    cluster.run_until(lambda: cluster.is_voting("d"))
    assert "add d" in cluster.accepted_by_id
    assert "too early" in cluster.refused_by_id
    cluster.post("a", replica_types.ChangeVoters("remove a", remove="a"))
    cluster.run_until(lambda: cluster.lease_holder() not in (None, cluster.host_by_id["a"]))
    cluster.accept("after")
    assert cluster.leader().replica.status.voters == replica_types.Voters(("b", "c", "d"))


def test_proposals_beyond_the_bound_are_refused_as_certainly_not_appended():
    options = replica.ReplicaOptions(uncommitted_entries=3)
    alone, _ = make_replica(options=options, voters=("b",))
    for token in range(1, 4):
        alone.handle(node.TimeDue(), 9.0)
        alone.handle(node.Synced(token), 9.0)
    assert alone.holds_lease(9.0)
    actions = [
        action
        for number in range(5)
        for action in alone.handle(replica_types.Propose(f"p{number}", b""), 9.0)
    ]
    refused = [action for action in actions if isinstance(action, replica_types.ProposalRefused)]
    assert [action.proposal_id for action in refused] == ["p3", "p4"]
    assert not any(action.uncertain for action in refused)


def test_one_event_applies_a_bounded_number_of_entries():
    options = replica.ReplicaOptions(apply_batch_entries=10)
    command = _replica_records.EntryKind.COMMAND
    records = [_replica_records.Entry(index, 0, command) for index in range(2, 27)]
    alone, _ = make_replica(records, options=options, voters=("b",))
    alone.handle(node.TimeDue(), 9.0)
    counts = []
    for event in (node.Synced(1), node.Synced(2), node.TimeDue(), node.TimeDue()):
        actions = alone.handle(event, 9.0)
        counts.append(sum(isinstance(action, replica_types.Apply) for action in actions))
        assert (node.Wake(9.0) in actions) == (0 < sum(counts) < 25)
    assert max(counts) <= 10
    assert sum(counts) == 25


def test_an_own_vote_counts_only_once_synced():
    alone, _ = make_replica(voters=("b",))
    alone.handle(node.TimeDue(), 9.0)
    assert alone.status.role is replica_types.Role.CANDIDATE
    alone.handle(node.Synced(1), 9.0)
    assert alone.status.role is replica_types.Role.LEADER


def test_a_vote_of_an_unknown_disk_does_not_count():
    candidate, _ = make_replica()
    candidate.handle(node.TimeDue(), 9.0)
    me = _replica_records.Member("b", 2)
    for disk_id, role in ((77, "pre_candidate"), (1, "candidate")):
        voter = _replica_records.Member("a", disk_id)
        reply = _replica_messages.VoteReply(0, 1, me, voter, True, True)
        candidate.handle(node.MessageReceived("a", reply), 9.0)
        assert candidate.status.role == role


def test_a_lease_starts_when_the_answered_message_was_sent():
    leader = make_leader((), term=1)
    leader.handle(ack(1, 1), 5.1)
    assert not leader.holds_lease(5.1)
    leader.handle(node.Synced(99), 5.8)
    leader.handle(ack(1, 2), 5.8)
    assert leader.holds_lease(5.85)
    assert not leader.holds_lease(5.95)


def test_a_late_reply_of_a_lost_disk_does_not_replace_its_successor():
    leader = make_leader((), term=1)
    leader.handle(node.Synced(99), 5.8)
    leader.handle(ack(1, 2, sent_at=5.5), 5.8)
    leader.handle(ack(1, 0, follower=("a", 77), sent_at=5.2), 5.8)
    assert leader.status.voters == replica_types.Voters(("a", "b", "c"))
    leader.handle(ack(1, 0, follower=("a", 77), sent_at=5.6), 5.8)
    assert leader.status.voters == replica_types.Voters(("b", "c"), ("a",))


def test_the_messages_in_flight_to_one_follower_are_bounded():
    leader = make_leader((), term=1)
    leader.handle(ack(1, 2), 5.1)
    requests = []
    for number in range(30):
        actions = leader.handle(replica_types.Propose(f"p{number}", b""), 5.1)
        requests += [
            action.message
            for action in actions
            if isinstance(action, node.Send) and action.to == "a" and action.message.entries
        ]
    assert len(requests) == replica_cluster.OPTIONS.in_flight_appends


def test_a_follower_commits_only_what_it_compared_with_the_leader():
    command = _replica_records.EntryKind.COMMAND
    stale = [_replica_records.Entry(index, 1, command) for index in (2, 3)]
    follower, _ = make_replica((*stale, _replica_records.TermRecord(3, None)))
    heartbeat = _replica_messages.AppendRequest(3, 1, 0, (), 3, 0.0)
    follower.handle(node.MessageReceived("c", heartbeat), 1.0)
    assert follower.status.commit_index == 1


def test_entries_verified_with_one_leader_are_not_verified_with_the_next():
    command = _replica_records.EntryKind.COMMAND
    follower, _ = make_replica()
    new = tuple(_replica_records.Entry(index, 3, command) for index in (2, 3))
    request = _replica_messages.AppendRequest(3, 1, 0, new, 0, 0.0)
    follower.handle(node.MessageReceived("c", request), 1.0)
    heartbeat = _replica_messages.AppendRequest(4, 1, 0, (), 3, 0.0)
    follower.handle(node.MessageReceived("a", heartbeat), 1.0)
    assert follower.status.commit_index == 1


def test_an_entry_that_replaced_a_synced_one_is_not_confirmed_before_its_own_sync():
    command = _replica_records.EntryKind.COMMAND
    stale = [_replica_records.Entry(index, 1, command) for index in (2, 3)]
    follower, _ = make_replica((*stale, _replica_records.TermRecord(3, None)))
    new = (_replica_records.Entry(2, 3, command),)
    request = _replica_messages.AppendRequest(3, 1, 0, new, 0, 0.0)
    actions = follower.handle(node.MessageReceived("c", request), 1.0)
    assert not sent(actions, _replica_messages.AppendReply)
    heartbeat = _replica_messages.AppendRequest(3, 2, 3, (), 0, 0.0)
    actions = follower.handle(node.MessageReceived("c", heartbeat), 1.0)
    assert [reply.match_index for reply in sent(actions, object)] == [1]


def test_a_snapshot_keeps_the_entries_that_follow_it():
    command = _replica_records.EntryKind.COMMAND
    records = [_replica_records.Entry(index, 1, command) for index in range(2, 7)]
    follower, _ = make_replica(records)
    membership = _replica_records.Membership((_replica_records.Member("b", 2),))
    snapshot = _replica_records.SnapshotRecord(4, 1, membership, b"state")
    data = _replica_records.RECORD_CODEC.pack(snapshot)
    chunk = _replica_snapshot.SnapshotTransfer(4, data, chunk_bytes=9999).chunk(1, 0.0)
    actions = follower.handle(node.MessageReceived("c", chunk), 1.0)
    assert replica_types.RestoreSnapshot(4, b"state") in actions
    assert follower.status.last_index == 6
    assert not [reply for reply in sent(actions, object) if getattr(reply, "match_index", 0)]


def test_chunks_of_two_snapshots_are_not_mixed_and_a_damaged_one_is_dropped():
    first, second = (
        _replica_snapshot.SnapshotTransfer(9, data, chunk_bytes=2) for data in (b"aaaa", b"bb")
    )
    receiver = _replica_snapshot.SnapshotReceiver()
    assert receiver.accept(first.chunk(1, 0.0)) == 2
    chunk = second.chunk(1, 0.0)
    assert receiver.accept(chunk) == 2
    assert receiver.pop_complete(chunk) == b"bb"
    receiver.accept(dataclasses.replace(chunk, data=b"xx"))
    assert receiver.pop_complete(chunk) is None


def test_an_empty_disk_accepts_one_founder_and_grants_no_votes():
    fresh = replica.Replica(
        replica_id="b",
        initial_voters=replica_types.Voters(("a", "b", "c")),
        restored=replica_types.Restored(),
        random=random.Random(1),
    )
    fresh.handle(node.Started(), 0.0)
    assert not sent(fresh.handle(vote_request(1), 5.0), object)

    def ask(founder_disk_id):
        request = _replica_messages.FoundRequest(founder_disk_id)
        return fresh.handle(node.MessageReceived("a", request), 5.0)

    actions = ask(11)
    assert not sent(actions, object)
    (write,) = [action for action in actions if isinstance(action, node.Persist)]
    assert sent(fresh.handle(node.Synced(write.token), 5.0), _replica_messages.FoundReply)
    assert not sent(ask(12), object)
    assert sent(ask(11), _replica_messages.FoundReply)


def test_a_clock_that_goes_backwards_ends_leadership(cluster):
    cluster.host_by_id["a"].offset -= 50
    cluster.post("a", node.TimeDue())
    assert not cluster.host_by_id["a"].is_leader


def test_an_idle_log_only_sends_heartbeats(cluster):
    cluster.run(2)
    cluster.actions.clear()
    cluster.run(10)
    messages = [action for _, action in cluster.actions if isinstance(action, node.Send)]
    per_second = 2 * 2 / cluster.options.heartbeat_s
    assert len(messages) <= 10 * per_second
    assert not any(isinstance(action, node.Persist) for _, action in cluster.actions)


def test_timings_that_break_the_lease_are_refused():
    with pytest.raises(errors.SettingsError):
        replica.ReplicaOptions(lease_s=1.5)


def test_the_example_replicas_agree():
    assert set(map(tuple, replicated_log.main().values())) == {replicated_log.WORDS}


@pytest.mark.parametrize("count", [3, 5])
def test_after_a_restart_of_all_a_leader_is_elected_well_before_a_lease_expires(count):
    for seed in range(20):
        cluster = replica_cluster.Cluster(count, seed=seed)
        cluster.wait_for_leader()
        cluster.accept("first")
        for replica_id in cluster.ids:
            cluster.crash(replica_id)
        for replica_id in cluster.ids:
            cluster.start(replica_id)
            cluster.run(0.02)
        cluster.run_until(lambda made=cluster: made.lease_holder() is not None, seconds=0.3)
        assert cluster.command_by_index
        cluster.accept("second")


def test_no_early_election_while_one_voter_is_silent(cluster):
    cluster.isolated.add("a")
    holder = cluster.lease_holder()
    assert holder is not None and holder.replica_id == "a"
    for replica_id in ("b", "c"):
        cluster.crash(replica_id)
        cluster.start(replica_id)
    cluster.run(0.9)
    assert not any(cluster.host_by_id[name].is_leader for name in ("b", "c"))
    cluster.run_until(lambda: any(cluster.host_by_id[name].is_leader for name in ("b", "c")))


def _question(term):
    return node.MessageReceived("a", _replica_messages.LeadQuestion(term))


def test_only_a_replica_that_can_never_lead_a_term_sends_a_denial():
    term = _replica_records.TermRecord(3, None)
    follower, _ = make_replica([term])
    assert sent(follower.handle(_question(3), 0.1), _replica_messages.LeadDenial)
    assert not sent(follower.handle(_question(2), 0.1), _replica_messages.LeadDenial)
    candidate, _ = make_replica([term])
    handover = _replica_messages.TimeoutNow(3)
    candidate.handle(node.MessageReceived("c", handover), 0.1)
    candidate.handle(node.Synced(100), 0.1)
    assert candidate.status.role is replica_types.Role.CANDIDATE
    assert not sent(candidate.handle(_question(4), 0.1), _replica_messages.LeadDenial)
    led, _ = make_replica([term])
    heartbeat = _replica_messages.AppendRequest(3, 0, 0, (), 0, 0.0)
    led.handle(node.MessageReceived("c", heartbeat), 0.1)
    assert not sent(led.handle(_question(4), 0.1), object)
    assert led.status.term == 3


def test_a_leader_that_was_restarted_leads_again_before_its_silence_is_noticed(cluster):
    term = cluster.leader().replica.status.term
    cluster.crash("a")
    cluster.start("a")
    cluster.run_until(lambda: cluster.lease_holder() is not None, seconds=0.4)
    assert cluster.lease_holder().replica_id == "a"
    assert cluster.leader().replica.status.term == term + 1


def test_a_later_term_is_synced_before_its_denial_is_sent():
    follower, _ = make_replica([_replica_records.TermRecord(3, None)])
    actions = follower.handle(_question(5), 0.1)
    assert not sent(actions, _replica_messages.LeadDenial)
    (write,) = (action for action in actions if isinstance(action, node.Persist))
    (denial,) = sent(follower.handle(node.Synced(write.token), 0.1), _replica_messages.LeadDenial)
    assert (denial.term, denial.voter.replica_id) == (5, "b")


def test_a_replica_with_a_shorter_log_leaves_the_first_campaign_to_the_others():
    behind, actions = make_replica([_replica_records.TermRecord(3, None)])
    assert sent(actions, _replica_messages.LeadQuestion)
    for name, disk, last_index in (("a", 1, 9), ("c", 3, 1)):
        voter = _replica_records.Member(name, disk)
        denial = _replica_messages.LeadDenial(3, voter, last_index, 0)
        actions = behind.handle(node.MessageReceived(name, denial), 0.1)
    assert not sent(actions, _replica_messages.VoteRequest)
    assert not sent(behind.handle(node.TimeDue(), 0.5), _replica_messages.VoteRequest)


def test_a_live_voter_is_not_removed_while_another_has_lost_its_disk(cluster):
    cluster.lose_disk("b")
    cluster.isolated.add("b")
    cluster.start("b")
    cluster.run(2)
    assert cluster.wait_for_leader().replica_id == "a"
    cluster.post("a", replica_types.ChangeVoters("go", remove="c"))
    assert "go" in cluster.refused_by_id
    cluster.post("a", replica_types.ChangeVoters("lost", remove="b"))
    cluster.run(2)
    assert cluster.membership[1].to_voters().voters == ("a", "c")


def test_a_campaign_superseded_by_a_later_term_schedules_no_wake():
    """A stale campaign due time in the past would request wake-ups in an endless loop."""
    replica_b, _ = make_replica([_replica_records.TermRecord(3, None)])
    for name, disk in (("a", 1), ("c", 3)):
        denial = _replica_messages.LeadDenial(3, _replica_records.Member(name, disk), 1, 0)
        replica_b.handle(node.MessageReceived(name, denial), 0.1)
    candidate = _replica_records.Member("a", 1)
    request = _replica_messages.VoteRequest(4, candidate, 1, 0, unled=True)
    replica_b.handle(node.MessageReceived("a", request), 0.11)
    actions = replica_b.handle(node.TimeDue(), 0.14)
    assert all(action.at > 0.14 for action in actions if isinstance(action, node.Wake))
