"""Tests of the control node on a fake replica, whose commits and lease the test controls."""

import dataclasses

import pytest

from medlarfork import claim, errors, heartbeat, member, node, uuid7
from medlarfork.control import (
    _control_metrics,
    _log_clock,
    control,
    control_types,
    replicated_state,
)
from medlarfork.declared import configuration
from medlarfork.operator import operations
from medlarfork.orders import (
    inventory,
    lease_table,
    lease_types,
    order_manager,
    order_types,
    orders,
    weight_load_scheduler,
)
from medlarfork.replica import replica, replica_types
from medlarfork.settings import planner_settings


class _Replica:
    """Commits each proposal at once while it leads, unless the test holds commits back."""

    def __init__(self):
        self.role = replica_types.Role.FOLLOWER
        self.term = 1
        self.leader_id = "c2"
        self.commit_index = 0
        self.lease = True
        self.holding = False
        self.held = []
        self.events = []

    @property
    def status(self):
        voters = replica_types.Voters(("c1", "c2", "c3"))
        index = self.commit_index
        return replica.ReplicaStatus(
            self.role, self.term, self.leader_id, index, index, index, voters, True
        )

    def holds_lease(self, now):
        return self.lease and self.role is replica_types.Role.LEADER

    def handle(self, event, now):
        self.events.append(event)
        match event:
            case replica_types.RoleChanged(role, term, leader_id):
                self.role, self.term, self.leader_id = role, term, leader_id
                return (event,)
            case replica_types.Propose() if self.holding:
                self.held.append(event)
                return ()
            case replica_types.Propose(proposal_id, command):
                self.commit_index += 1
                return (replica_types.Apply(self.commit_index, self.term, command, proposal_id),)
            case replica_types.ChangeVoters(proposal_id):
                voters = self.status.voters
                return (replica_types.VotersChanged(self.commit_index, voters, proposal_id),)
            case node.Synced():
                self.holding = False
                held, self.held = self.held, []
                return tuple(action for event in held for action in self.handle(event, now))
            case replica_types.ProposalRefused() | replica_types.TakeSnapshot():
                return (event,)
        return ()


def _check(candidate):
    return ("name: it is bad",) if candidate.name == "bad" else ()


@pytest.fixture
def log_replica():
    return _Replica()


@pytest.fixture
def state():
    return replicated_state.ReplicatedState(sub_states=(lease_table.LeaseTable(),))


@pytest.fixture
def control_node(log_replica, state):
    built = control.ControlNode(
        replica_id="c1",
        replica=log_replica,
        state=state,
        check=_check,
        http_address_by_replica_id={f"c{i}": f"http://c{i}" for i in (1, 2, 3)},
    )
    built.handle(node.Started(), 0.0)
    built.handle(_role(replica_types.Role.FOLLOWER, 1, "c2"), 0.0)
    built.handle(control_types.WallClock(1_000_000), 0.0)
    built.handle(node.MessageReceived("c2", _log_clock.ClockReading(1_000_000)), 0.0)
    return built


def _role(role, term, leader_id):
    return replica_types.RoleChanged(role, term, leader_id)


@pytest.fixture
def leader(control_node):
    control_node.handle(_role(replica_types.Role.LEADER, 2, "c1"), 0.0)
    return control_node


def _sent(actions, kind):
    return [
        (action.to, action.message)
        for action in actions
        if isinstance(action, node.Send) and isinstance(action.message, kind)
    ]


def _heartbeat(entry_id="e1", number=1, revision=0, incarnation=1, **changes):
    sender = member.Member(
        entry_id, incarnation, member.MemberState.SERVING, "tcp://x", "http://x", load=0.0
    )
    sender = dataclasses.replace(sender, load=changes.pop("load", 0.0))
    beat = heartbeat.Heartbeat(sender, number, revision, changes.pop("view_version", (0, 0)))
    return node.MessageReceived(entry_id, dataclasses.replace(beat, **changes))


def _replies(actions):
    return [message for _, message in _sent(actions, heartbeat.HeartbeatReply)]


def _ask(control_node, request, now=0.0):
    actions = control_node.handle(control_types.OperatorRequested("call", request), now)
    return [a.reply for a in actions if isinstance(a, control_types.OperatorAnswered)]


def _change(number, base, name="x"):
    change_id = uuid7.make(1_000_000 + number, bytes(uuid7.RANDOM_BYTES))
    return operations.ApplyChange(change_id, base, configuration.Configuration(name=name), "ana")


def _claim(entry_id="e1", key="k", incarnation=1, request_id="r"):
    holder = claim.Holder(entry_id, incarnation, request_id)
    request = claim.ClaimRequest(claim.ClaimKey("acc", key), holder, "b")
    return node.MessageReceived(entry_id, request)


def _verdicts(actions):
    return [message.verdict for _, message in _sent(actions, claim.ClaimReply)]


def test_a_follower_redirects_to_the_leader(control_node):
    for event in (_heartbeat(), _claim()):
        (sent,) = _sent(control_node.handle(event, 0.0), heartbeat.NotLeader)
        assert sent == ("e1", heartbeat.NotLeader("c2", 1))
    (refused,) = _ask(control_node, operations.GetHistory())
    assert (refused.code, refused.leader_address) == (errors.Code.NOT_LEADER, "http://c2")
    (status,) = _ask(control_node, operations.GetStatus())
    assert (status.role, status.leader_id, status.has_lease) == ("follower", "c2", False)


def test_a_leader_without_its_lease_does_not_serve_state(leader, log_replica):
    log_replica.lease = False
    (sent,) = _sent(leader.handle(_heartbeat(), 0.1), heartbeat.NotLeader)
    assert sent[1].leader_id == ""
    assert _verdicts(leader.handle(_claim(), 0.1)) == [claim.Verdict.NO_QUORUM]
    requests = (operations.GetConfiguration(), operations.GetInForce(1), _change(1, 0))
    for request in requests:
        (refused,) = _ask(leader, request, 0.1)
        assert refused.code is errors.Code.NO_QUORUM


def test_a_new_leader_answers_only_after_its_own_term_is_applied(control_node, log_replica):
    log_replica.holding = True
    control_node.handle(_role(replica_types.Role.LEADER, 2, "c1"), 0.0)
    assert _sent(control_node.handle(_heartbeat(), 0.1), heartbeat.NotLeader)
    assert _ask(control_node, operations.GetConfiguration())[0].code is errors.Code.NOT_LEADER
    actions = control_node.handle(node.Synced(0), 0.2)
    assert control_types.LeaderReady(2) in actions
    assert _replies(control_node.handle(_heartbeat(number=2), 0.3))


def test_a_heartbeat_is_answered_with_what_the_sender_lacks(leader):
    accounts = tuple(configuration.Account(f"a{i}") for i in range(50))
    first = configuration.Configuration(accounts=accounts)
    second = dataclasses.replace(first, engine_lease_s=5.0)
    for number, proposed in enumerate((first, second)):
        change = dataclasses.replace(_change(number, number), configuration=proposed)
        assert _ask(leader, change) == [operations.ChangeAccepted(change.change_id, number + 1)]
    (reply,) = _replies(leader.handle(_heartbeat(revision=0), 0.1))
    assert (reply.whole.revision, reply.whole.configuration) == (2, second)
    assert reply.view.member_by_id.keys() == {"e1"}
    version = reply.view.version
    (reply,) = _replies(leader.handle(_heartbeat(number=2, revision=1, view_version=version), 0.2))
    assert (reply.whole, reply.view) == (None, None)
    assert list(reply.delta.changed) == ["setting/engine_lease_s"]
    (reply,) = _replies(leader.handle(_heartbeat(number=3, revision=2, view_version=version), 0.3))
    assert (reply.whole, reply.delta, reply.revision, reply.number) == (None, None, 2, 3)


def test_a_change_is_pushed_to_all_members_at_once(leader):
    for entry_id in ("e1", "e2"):
        leader.handle(_heartbeat(entry_id), 0.0)
    leader.handle(node.TimeDue(), 0.4)
    actions = leader.handle(control_types.OperatorRequested("call", _change(1, 0)), 0.5)
    notices = _sent(actions, heartbeat.RevisionNotice)
    assert [(to, notice.revision) for to, notice in notices] == [("e1", 1), ("e2", 1)]


def test_in_force_lists_confirmed_waiting_and_lost_hosts(leader):
    for entry_id in ("e1", "e2", "e3"):
        leader.handle(_heartbeat(entry_id), 0.0)
    _ask(leader, _change(1, 0), 0.1)
    leader.handle(_heartbeat("e1", 2, revision=1), 2.0)
    leader.handle(_heartbeat("e2", 2, revision=0), 2.0)
    (reply,) = _ask(leader, operations.GetInForce(1), 3.0)
    assert reply == operations.InForceReply(1, ("e1",), ("e2",), ("e3",))


def test_a_host_ahead_of_control_has_confirmed_nothing(leader):
    leader.handle(_heartbeat("e1"), 0.0)
    leader.handle(_heartbeat("e2"), 0.0)
    _ask(leader, _change(1, 0), 0.1)
    leader.handle(_heartbeat("e1", 2, revision=9), 0.2)
    leader.handle(_heartbeat("e2", 2, revision=1), 0.2)
    (reply,) = _ask(leader, operations.GetInForce(1), 0.3)
    assert reply == operations.InForceReply(1, ("e2",), ("e1",), (), ("e1",))
    (members,) = _ask(leader, operations.GetMembers(), 0.3)
    assert members.revision == 1
    read_behind = _control_metrics._VALUE_BY_NAME["medlar_members_behind"][1]
    assert read_behind(leader.status(0.4)) == 1
    leader.handle(node.TimeDue(), 3.5)
    (reply,) = _ask(leader, operations.GetInForce(1), 3.5)
    assert (reply.confirmed, reply.lost) == ((), ("e1",))


def test_a_new_leader_waits_a_full_lease_before_a_member_is_lost(control_node, state):
    known = _heartbeat("e9").message.member
    command = replicated_state.MembersChanged(0, (known,), ())
    state.apply(replicated_state.COMMANDS.pack(command))
    actions = control_node.handle(_role(replica_types.Role.LEADER, 2, "c1"), 10.0)
    assert [to for to, _ in _sent(actions, heartbeat.RevisionNotice)] == ["e9"]
    (reply,) = _replies(control_node.handle(_heartbeat("e1"), 12.9))
    assert reply.view.member_by_id.keys() == {"e1", "e9"}
    (in_force,) = _ask(control_node, operations.GetInForce(0), 12.9)
    assert (in_force.confirmed, in_force.waiting) == (("e1",), ("e9",))
    actions = control_node.handle(node.TimeDue(), 13.01)
    (published,) = [a for a in actions if isinstance(a, control_types.ViewPublished)]
    assert published.left == ("e9",)
    assert state.member_by_id.keys() == {"e1"}


def test_a_lapse_of_the_leaders_lease_loses_no_members(leader, log_replica):
    leader.handle(_heartbeat("e1"), 0.0)
    log_replica.lease = False
    leader.handle(node.TimeDue(), 2.0)
    log_replica.lease = True
    actions = leader.handle(node.TimeDue(), 60.0)
    assert not [a for a in actions if isinstance(a, control_types.ViewPublished)]
    (members,) = _ask(leader, operations.GetMembers(), 62.9)
    assert len(members.members) == 1


def test_a_stale_heartbeat_renews_nothing(leader):
    leader.handle(_heartbeat("e1", 5, incarnation=2), 0.0)
    for beat in (_heartbeat("e1", 9, incarnation=1), _heartbeat("e1", 5, incarnation=2)):
        assert _replies(leader.handle(beat, 1.0)) == []
    leader.handle(_heartbeat("e1", 6, incarnation=2, leaving=True), 1.5)
    assert _replies(leader.handle(_heartbeat("e1", 7, incarnation=2), 1.6)) == []
    assert _replies(leader.handle(_heartbeat("e1", 1, incarnation=3), 1.7))


def test_views_are_published_a_bounded_number_of_times_a_second(leader):
    versions = set()
    for step in range(1000):
        leader.handle(_heartbeat(f"e{step}"), step * 0.001)
        (reply,) = _ask(leader, operations.GetMembers(), step * 0.001)
        versions.add(reply.view_version)
    assert len(versions) < 8


def test_a_claim_is_granted_once_and_its_end_recorded(leader):
    for entry_id in ("e1", "e2"):
        leader.handle(_heartbeat(entry_id), 0.0)
    request = _claim("e1").message
    assert _verdicts(leader.handle(_claim("e1"), 0.1)) == [claim.Verdict.GRANTED]
    assert _verdicts(leader.handle(_claim("e2"), 0.1)) == [claim.Verdict.RUNNING]
    answer = claim.StoredAnswer(200, "text/plain", b"ok")
    finished = claim.ClaimFinish(request.key, request.holder, answer)
    actions = leader.handle(node.MessageReceived("e1", finished), 0.2)
    recorded = claim.ClaimRecorded(request.key, request.holder)
    assert _sent(actions, claim.ClaimRecorded) == [("e1", recorded)]
    assert _verdicts(leader.handle(_claim("e2"), 0.3)) == [claim.Verdict.DONE]


@pytest.mark.parametrize(
    ("later", "verdict"),
    [
        ((), claim.Verdict.RUNNING),
        ((_heartbeat("e1", 1, incarnation=2),), claim.Verdict.HOLDER_LOST),
        ((_heartbeat("e1", 2, leaving=True),), claim.Verdict.RUNNING),
    ],
)
def test_a_new_incarnation_means_that_the_holder_is_lost(leader, later, verdict):
    leader.handle(_heartbeat("e1"), 0.0)
    leader.handle(_claim("e1"), 0.1)
    for event in later:
        leader.handle(event, 0.2)
    assert _verdicts(leader.handle(_claim("e2"), 0.3)) == [verdict]


def test_a_holder_without_lease_is_lost_after_a_full_lease(leader, log_replica):
    leader.handle(_heartbeat("e1"), 0.0)
    leader.handle(_claim("e1"), 0.1)
    assert _verdicts(leader.handle(_claim("e2"), 2.9)) == [claim.Verdict.RUNNING]
    assert _verdicts(leader.handle(_claim("e2"), 3.1)) == [claim.Verdict.HOLDER_LOST]


def test_claims_that_wait_share_one_proposal_and_too_many_are_refused(leader, log_replica):
    log_replica.holding = True
    verdicts = []
    for number in range(4200):
        verdicts += _verdicts(leader.handle(_claim(key=f"k{number}"), 0.0))
    assert set(verdicts) == {claim.Verdict.FULL}
    assert len(verdicts) == 4200 - 4096 - 2
    verdicts = _verdicts(leader.handle(node.Synced(0), 0.1))
    assert verdicts == [claim.Verdict.GRANTED] * 4098
    proposals = {e.proposal_id for e in log_replica.events if isinstance(e, replica_types.Propose)}
    assert len(proposals) == 1 + 2 + 4096 // 256


def test_messages_in_the_name_of_another_sender_are_rejected(leader):
    forged = (_heartbeat("e1").message, _claim("e1").message, replica_types.Propose("p", b""))
    for message in forged:
        actions = leader.handle(node.MessageReceived("e2", message), 0.0)
        kind = type(message).__name__
        assert actions[:1] == (control_types.MessageRejected("e2", kind),)
        assert not _sent(actions, object)


def test_a_lost_leadership_leaves_calls_uncertain(leader, log_replica):
    log_replica.holding = True
    assert _ask(leader, _change(1, 0)) == []
    leader.handle(_claim(), 0.0)
    actions = leader.handle(_role(replica_types.Role.FOLLOWER, 3, "c3"), 0.1)
    (answered,) = [a for a in actions if isinstance(a, control_types.OperatorAnswered)]
    assert answered.reply.code is errors.Code.UNCERTAIN
    assert _sent(actions, heartbeat.NotLeader) == [("e1", heartbeat.NotLeader("c3", 3))]
    assert _sent(leader.handle(_heartbeat(), 0.2), heartbeat.NotLeader)


@pytest.mark.parametrize("uncertain", [True, False])
def test_a_refused_proposal_is_answered(leader, log_replica, uncertain):
    log_replica.holding = True
    _ask(leader, _change(1, 0))
    refused = replica_types.ProposalRefused(log_replica.held[-1].proposal_id, "c3", uncertain)
    actions = leader.handle(refused, 0.1)
    (answered,) = [a for a in actions if isinstance(a, control_types.OperatorAnswered)]
    expected = errors.Code.UNCERTAIN if uncertain else errors.Code.NOT_LEADER
    assert answered.reply.code is expected


def test_an_invalid_configuration_is_refused_and_not_proposed(leader, log_replica):
    before = len(log_replica.events)
    (refused,) = _ask(leader, _change(1, 0, name="bad"))
    assert (refused.code, refused.findings) == (
        errors.Code.CONFIGURATION_INVALID,
        ("name: it is bad",),
    )
    assert len(log_replica.events) == before


def test_a_conflict_names_the_winner_and_what_to_do(leader):
    _ask(leader, _change(1, 0))
    (refused,) = _ask(leader, _change(2, 0))
    assert refused.winner.change_id == _change(1, 0).change_id
    assert "ana" in refused.message
    assert "new id" in refused.remedy


def test_fences_grow_with_each_holder(leader, state):
    fences = []
    for holder in ("a", "a", "b", "b", "a"):
        seen = lease_types.LeaseVersion(fences[-1] if fences else 0)
        take = lease_types.TakeLease("orders", holder, 1, 1.0, seen)
        packed = lease_table.COMMANDS.pack(take)
        (answer,) = _ask(leader, operations.AskSubState("leases", packed))
        fences.append(lease_table.REPLIES.unpack(answer.reply).version.fence)
    assert fences == [1, 1, 2, 2, 3]
    assert state.sub_state("leases").fence("orders") == 3


def test_voters_and_history(leader):
    assert _ask(leader, operations.ChangeVoters(remove="c3")) == [
        operations.VotersChanged("", "c3")
    ]
    for request in (operations.ChangeVoters(), operations.ChangeVoters("c2", "c3")):
        assert _ask(leader, request)[0].code is errors.Code.BAD_REQUEST
    assert _ask(leader, operations.ChangeVoters(add="c7"))[0].code is errors.Code.NOT_FOUND
    assert _ask(leader, operations.AskSubState("no", b""))[0].code is errors.Code.NOT_FOUND
    _ask(leader, _change(1, 0))
    (history,) = _ask(leader, operations.GetHistory())
    assert [record.accepted_at_ms for record in history.changes] == [1_000_000]
    assert _ask(leader, operations.GetConfiguration(9))[0].code is errors.Code.NOT_FOUND


def test_records_reach_the_disk_in_the_order_of_the_log(control_node, log_replica):
    first, second = (node.Persist((b"",), token) for token in (1, 2))
    led = _role(replica_types.Role.LEADER, 2, "c1")
    answer = log_replica.handle
    log_replica.handle = lambda event, now: (*answer(event, now), first if event is led else second)
    actions = control_node.handle(led, 0.0)
    assert [a for a in actions if isinstance(a, node.Persist)] == [first, second]


def test_a_snapshot_is_of_the_state_at_its_index(leader, log_replica, state):
    _ask(leader, _change(1, 0))
    leader.handle(replica_types.TakeSnapshot(2), 0.1)
    assert log_replica.events[-1] == replica_types.SnapshotTaken(2, state.encode())


def test_a_stopping_leader_hands_over_and_ends_its_calls_first(leader, log_replica):
    log_replica.holding = True
    _ask(leader, _change(1, 0))
    actions = leader.handle(control_types.StopRequested(), 1.0)
    assert log_replica.events[-1] == replica_types.TransferLeadership()
    assert control_types.Stopped() not in actions
    leader.handle(node.TimeDue(), 1.5)
    assert log_replica.events.count(replica_types.TransferLeadership()) == 2
    actions = leader.handle(_role(replica_types.Role.FOLLOWER, 3, "c3"), 1.6)
    assert isinstance(actions[-1], control_types.Stopped)
    assert any(isinstance(a, control_types.OperatorAnswered) for a in actions)
    assert control_types.Stopped() not in leader.handle(node.TimeDue(), 20.0)


def test_a_stop_without_a_successor_ends_at_its_timeout(leader):
    leader.handle(control_types.StopRequested(), 1.0)
    assert control_types.Stopped() not in leader.handle(node.TimeDue(), 10.9)
    assert control_types.Stopped() in leader.handle(node.TimeDue(), 11.0)


def test_a_follower_stops_at_once(control_node):
    assert control_types.Stopped() in control_node.handle(control_types.StopRequested(), 1.0)


@pytest.fixture
def ordering(log_replica):
    """Return a leader that orders engines, and its order manager."""
    planner = planner_settings.PlannerSettings(weight_load_scheduler.WeightStoreSettings(1e9))
    engine_orders = order_manager.OrderManager(
        order_manager.OrderManagerOptions("c1-1", planner),
        board=orders.OrderBoard(),
        table=lease_table.LeaseTable(),
    )
    built = control.ControlNode(
        replica_id="c1",
        replica=log_replica,
        state=replicated_state.ReplicatedState(
            sub_states=(engine_orders.table, engine_orders.board)
        ),
        check=_check,
        http_address_by_replica_id={f"c{i}": f"http://c{i}" for i in (1, 2, 3)},
        engine_orders=engine_orders,
    )
    built.handle(node.Started(), 0.0)
    built.handle(control_types.WallClock(1_000_000), 0.0)
    built.handle(node.MessageReceived("c2", _log_clock.ClockReading(1_000_000)), 0.0)
    built.handle(_role(replica_types.Role.LEADER, 2, "c1"), 0.0)
    return built, engine_orders


def _reported(sender="e1"):
    notice = inventory.UpstreamNotice("u1", 1, "http://u1", checks_fence=True)
    return node.MessageReceived(sender, inventory.InventoryReport("e1", (notice,)))


def test_a_leader_holds_the_lease_and_reads_reported_engines(ordering):
    leader, engine_orders = ordering
    assert engine_orders.lease.may_act(0.1)
    assert not engine_orders.lease.may_act(60.0)
    actions = (*leader.handle(_reported(), 0.1), *leader.handle(node.TimeDue(), 0.2))
    assert [a.upstream_id for a in actions if isinstance(a, order_types.ReadEngineState)] == ["u1"]
    leader.handle(_role(replica_types.Role.FOLLOWER, 3, "c2"), 0.3)
    assert not engine_orders.lease.may_act(0.3)


def test_control_returns_which_upstreams_are_reported(ordering):
    leader, _ = ordering
    request = operations.GetUpstreams(("u1", "u2"))
    assert _ask(leader, request, 0.1) == [operations.KnownUpstreams(())]
    leader.handle(_reported(), 0.1)
    assert _ask(leader, request, 0.2) == [operations.KnownUpstreams(("u1",))]


def test_a_report_in_anothers_name_is_rejected(ordering):
    leader, _ = ordering
    (rejected,) = leader.handle(_reported("e2"), 0.1)
    assert rejected == control_types.MessageRejected("e2", "InventoryReport")


def test_a_heartbeat_with_another_digest_triggers_a_resend(ordering):
    leader, _ = ordering
    leader.handle(_reported(), 0.1)
    digest = inventory.notices_digest(_reported().message.notices)
    resends = _sent(
        leader.handle(_heartbeat(inventory_digest=digest), 0.2), inventory.ResendInventory
    )
    assert resends == []
    resends = _sent(leader.handle(_heartbeat(number=2), 0.3), inventory.ResendInventory)
    assert resends == [("e1", inventory.ResendInventory("e1"))]


def test_a_host_that_left_is_removed_with_its_engines(ordering):
    leader, _ = ordering
    digest = inventory.notices_digest(_reported().message.notices)
    leader.handle(_heartbeat(inventory_digest=digest), 0.1)
    leader.handle(_reported(), 0.1)
    leader.handle(_heartbeat(number=2, leaving=True, inventory_digest=digest), 0.3)
    for now in (1.0, 20.0):
        leader.handle(node.TimeDue(), now)
    returned = leader.handle(_heartbeat(number=3, incarnation=2, inventory_digest=digest), 20.1)
    assert _sent(returned, inventory.ResendInventory)


def test_entry_hosts_are_notified_at_once_of_upstreams_out_of_service(ordering):
    leader, engine_orders = ordering
    leader.handle(_heartbeat(), 0.1)
    out = order_types.SetInService(engine_orders.board.fence, 9, "u1", False)
    request = operations.AskSubState("orders", orders.COMMANDS.pack(out))
    actions = leader.handle(control_types.OperatorRequested("call", request), 0.2)
    ((_, notice),) = _sent(actions, heartbeat.RevisionNotice)
    assert notice.out_of_service_version == 1
    (reply,) = _replies(leader.handle(_heartbeat(number=2), 0.3))
    assert reply.out_of_service == heartbeat.OutOfService(1, ("u1",))
    (reply,) = _replies(leader.handle(_heartbeat(number=3, out_of_service_version=1), 0.4))
    assert reply.out_of_service is None


def test_a_graceful_stop_releases_the_lease(ordering):
    leader, engine_orders = ordering
    leader.handle(control_types.StopRequested(), 0.2)
    take = lease_types.TakeLease("orders", "other", 1, 1.0, lease_types.LeaseVersion(1, 1))
    assert engine_orders.table.apply_command(take).accepted


def test_a_deployment_without_orders_refuses_to_list_them(leader):
    (refused,) = _ask(leader, operations.GetOrders())
    assert refused.code is errors.Code.NOT_FOUND
