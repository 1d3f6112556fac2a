"""Test the rules of the entry node one by one, on one or two nodes with a fake control."""

from __future__ import annotations

import dataclasses
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from medlarfork import claim, errors, heartbeat, member, node, rendezvous, request, ticket, upstream
from medlarfork.entry import entry_settings, entry_types
from medlarfork.filters import identify, parse
from tests import entry_world

Outcome = request.Outcome
Result = entry_types.AttemptResult


@pytest.fixture
def world():
    made = entry_world.World()
    made.announce("e1", "u1")
    made.announce("e1", "d1", app="desk")
    made.out.clear()
    return made


def body(answer):
    return json.loads(answer.body)["error"]


def end(world, attempt_id, result, entry_id="e1", **more):
    return world.post(entry_id, entry_types.AttemptEnded(attempt_id, result, **more))


def handled(world, sender, message, entry_id="e1"):
    """Return what a node does about a message from a peer, heartbeats and wake-ups aside."""
    actions = world.node_by_id[entry_id].handle(node.MessageReceived(sender, message), world.now)
    world.out += [(entry_id, item) for item in actions if not isinstance(item, node.Send)]
    return [item for item in actions if not isinstance(item, node.Wake)]


def only(found):
    assert len(found) == 1, found
    return found[0]


def answered(world):
    answer = only(world.take(entry_types.Answer))
    assert only(world.take(entry_types.Record)).outcome == answer.outcome
    return answer.status, json.loads(answer.body)["error"]["code"], str(answer.outcome)


def dispatched(world):
    return only(world.take(entry_types.Dispatch))


@pytest.mark.parametrize(
    ("raw", "status", "code"),
    [
        (entry_world.arrival("r", "GET", "/nowhere"), 404, "not_found"),
        (entry_world.arrival("r", "GET", "/v1/chat/completions"), 405, "bad_request"),
        (entry_world.arrival("r", "POST", "/v1/chat/completions", b"{"), 400, "bad_request"),
        (entry_world.arrival("r", "POST", "/v1/chat/completions", b"{}"), 400, "bad_request"),
        (entry_world.chat("r", model="none"), 404, "model_not_found"),
        (entry_world.chat("r", model=""), 400, "bad_request"),
        (entry_world.chat("r", n=2), 400, "bad_request"),
        (entry_world.chat("r", max_tokens=0), 400, "bad_request"),
        (entry_world.arrival("r", "GET", "/services/none/x"), 404, "not_found"),
        (entry_world.arrival("r", "GET", "/services/desk/a/../b"), 400, "bad_request"),
        (entry_world.arrival("r", "GET", "/services/desk/%2e%2e/b"), 400, "bad_request"),
        (entry_world.hold("r", "k" * 201), 400, "bad_request"),
        (
            entry_world.arrival("r", "GET", "/services/desk/a", b"", {"authorization": "Bearer x"}),
            401,
            "invalid_api_key",
        ),
    ],
)
def test_a_request_that_is_wrong_is_refused_in_the_shape_of_the_openai_api(
    world, raw, status, code
):
    world.post("e1", raw)
    answer = world.take(entry_types.Answer)[0]
    assert (answer.status, body(answer)["code"]) == (status, code)
    assert set(body(answer)) == {"message", "type", "param", "code", "outcome"}
    assert answer.outcome is Outcome.NOT_RUN
    assert world.node_by_id["e1"].status(world.now).requests == 0


def test_a_node_without_a_configuration_refuses(world):
    fresh = entry_world.make_node("e9")
    answer = fresh.handle(entry_world.chat("r"), world.now)[0]
    assert (answer.status, body(answer)["code"]) == (503, "stale_configuration")
    assert fresh.models(entry_world.arrival("q", "GET", "/v1/models").raw).status == 503


def test_bounds_on_requests_and_bytes_are_kept_and_given_back():
    world = entry_world.World(request_limit=1)
    world.announce("e1", "u1")
    world.post("e1", entry_world.chat("r1"))
    world.post("e1", entry_world.chat("r2"))
    assert answered(world) == (503, "overloaded", "not_run")
    end(world, "r1.1", Result.COMPLETE)
    world.post("e1", entry_world.chat("r3"))
    assert not world.take(entry_types.Answer)
    small = entry_world.World(held_bytes_limit=10)
    small.post("e1", entry_world.chat("r1"))
    assert answered(small) == (503, "overloaded", "not_run")


@pytest.mark.parametrize("policy", list(entry_settings.UnprovenPolicy))
def test_without_control_the_policy_decides_and_claims_are_refused(policy):
    world = entry_world.World(unproven=policy)
    world.announce("e1", "u1")
    world.control.up = False
    world.run(4.0)
    world.announce("e1", "u1")
    world.post("e1", entry_world.chat("r1"))
    assert len(world.take(entry_types.Dispatch)) == 1
    world.run(2.1)
    world.announce("e1", "u1")
    world.take(entry_types.Record)
    world.post("e1", entry_world.chat("r2"))
    if policy is entry_settings.UnprovenPolicy.SERVE:
        assert dispatched(world).request_id == "r2"
        world.post("e1", entry_world.hold("h1"))
        assert answered(world) == (503, "no_quorum", "not_run")
    else:
        assert answered(world) == (503, "stale_configuration", "not_run")


def test_a_refusal_before_execution_tries_another_upstream_within_the_budget():
    world = entry_world.World(retry_share=0.0, retry_burst=1.0)
    for upstream_id in ("u1", "u2"):
        world.announce("e1", upstream_id)
    world.post("e1", entry_world.chat("r1"))
    first = dispatched(world)
    end(world, "r1.1", Result.REFUSED)
    second = dispatched(world)
    assert (second.attempt_id, second.upstream_id != first.upstream_id) == ("r1.2", True)
    end(world, "r1.1", Result.BROKEN)
    assert not world.take(entry_types.Answer)
    end(world, "r1.2", Result.NOT_SENT)
    assert answered(world) == (503, "overloaded", "not_run")


def test_a_request_is_tried_a_bounded_number_of_times_and_avoids_what_failed():
    world = entry_world.World(("e1", "e2"), attempts_limit=3)
    pool = world.node_by_id["e1"].explain(entry_world.chat("x").raw, "shop", world.now).pools[0]
    world.announce(pool.owner, "u1")
    world.keeps_seen = True
    world.post(pool.standby, entry_world.chat("r1"))
    for number in (1, 2, 3):
        world.run(0.1)
        end(world, f"r1.{number}", Result.NOT_SENT, pool.standby)
    assert answered(world) == (503, "overloaded", "not_run")
    messages = [getattr(event, "message", None) for _, _, event, _ in world.seen]
    avoided = [item.avoid for item in messages if isinstance(item, ticket.Ticket)]
    assert avoided == [(), ("u1",), ("u1",)]


def test_a_broken_attempt_is_tried_again_only_while_nothing_was_relayed(world):
    world.post("e1", entry_world.chat("r1"))
    end(world, "r1.1", Result.BROKEN)
    world.take(entry_types.Dispatch)
    world.post("e1", entry_types.AttemptStarted("r1.2"))
    end(world, "r1.2", Result.BROKEN, tokens=3, relayed=True)
    assert only(world.take(entry_types.FinishRelay)).complete is False
    record = only(world.take(entry_types.Record))
    assert (record.outcome, record.attempts) == (Outcome.MAY_HAVE_RUN, 2)
    assert record.wasted == (entry_types.WastedTokens("cut", 3),)


def test_a_refusal_after_bytes_of_an_answer_is_not_believed(world):
    world.post("e1", entry_world.chat("r1"))
    world.post("e1", entry_types.AttemptStarted("r1.1"))
    end(world, "r1.1", Result.REFUSED, relayed=True)
    assert only(world.take(entry_types.Record)).outcome is Outcome.MAY_HAVE_RUN


def test_an_answer_that_was_held_back_is_tried_again(world):
    world.post("e1", entry_world.chat("r1"))
    world.post("e1", entry_types.AttemptStarted("r1.1"))
    world.take(entry_types.Dispatch)
    end(world, "r1.1", Result.BROKEN, tokens=3)
    assert dispatched(world).resume_offset == 0


def test_a_resumable_stream_goes_on_where_it_broke(world):
    world.post("e1", entry_world.chat("r1"))
    world.post("e1", entry_types.AttemptStarted("r1.1"))
    world.take(entry_types.Dispatch)
    end(world, "r1.1", Result.BROKEN, tokens=4, relayed=True, resumable=True)
    assert dispatched(world).resume_offset == 4
    end(world, "r1.2", Result.REFUSED, tokens=0, relayed=True)
    assert dispatched(world).resume_offset == 4


def test_a_deadline_in_the_queue_says_not_run_and_one_while_running_may_have_run(world):
    for request_id in ("r1", "r2", "r3"):
        world.post("e1", entry_world.chat(request_id))
    world.take(entry_types.Dispatch)
    world.announce("e1", "u1", state=upstream.UpstreamState.LEAVING)
    world.run(31.0)
    cancelled = {action.attempt_id for action in world.take(entry_types.CancelAttempt)}
    assert cancelled == {"r1.1", "r2.1"}
    queued = only(world.take(entry_types.Answer))
    assert (queued.request_id, queued.outcome) == ("r3", Outcome.NOT_RUN)
    world.take(entry_types.Record)
    end(world, "r1.1", Result.BROKEN)
    assert answered(world) == (504, "deadline", "may_have_run")
    end(world, "r2.1", Result.COMPLETE)
    assert only(world.take(entry_types.FinishRelay)).complete is True


@pytest.mark.parametrize(
    ("seconds", "whole", "milliseconds"), [(1.2, "2", "1200"), (0.0, "1", "0")]
)
def test_a_shed_request_learns_when_to_try_again(world, seconds, whole, milliseconds):
    for request_id in ("r1", "r2", "r3"):
        world.post("e1", entry_world.chat(request_id))
    shed = ticket.Shed("r3.1", "e1", "lm/0", ticket.ShedReason.OVERLOADED, seconds)
    world.post("e1", node.MessageReceived("e1", shed))
    answer = world.take(entry_types.Answer)[0]
    assert (answer.status, answer.outcome) == (503, Outcome.NOT_RUN)
    headers = answer.headers
    assert (headers["Retry-After"], headers["Retry-After-Ms"]) == (whole, milliseconds)


def test_a_caller_that_leaves_frees_its_slot(world):
    for request_id in ("r1", "r2", "r3", "r4"):
        world.post("e1", entry_world.chat(request_id))
    world.take(entry_types.Dispatch)
    world.post("e1", entry_types.CallerGone("r3"))
    world.post("e1", entry_types.CallerGone("r1"))
    assert only(world.take(entry_types.CancelAttempt)).attempt_id == "r1.1"
    end(world, "r1.1", Result.BROKEN, tokens=2)
    assert dispatched(world).request_id == "r4"
    assert [item.status for item in world.take(entry_types.Record)] == [499, 499]


def test_grants_that_are_not_awaited_are_given_back_and_copies_are_ignored(world):
    grant = ticket.Grant("r9.1", "e1", "lm/0", "u1", "http://u1")
    sent = world.node_by_id["e1"].handle(node.MessageReceived("e2", grant), world.now)
    release = next(item.message for item in sent if isinstance(item, node.Send))
    assert release == ticket.Release("r9.1", "lm/0", ticket.ReleaseCause.UNUSED)
    world.post("e1", entry_world.chat("r1"))
    world.take(entry_types.Dispatch)
    copy = ticket.Grant("r1.1", "e1", "lm/0", "u1", "http://u1")
    assert handled(world, "e1", copy) == []
    pools = {item.pool: item for item in world.node_by_id["e1"].status(world.now).pools}
    assert (pools["lm/0"].running, world.take(entry_types.Dispatch)) == (1, [])
    assert [item.message.cause for item in handled(world, "e2", copy)] == ["unused"]


def test_a_grant_of_an_owner_that_was_passed_over_is_given_back(world):
    world.announce("e1", "u1", state=upstream.UpstreamState.LEAVING)
    world.post("e1", entry_world.chat("r1"))
    for sender, ticket_id in (("e2", "r1.1"), ("e1", "r1.0")):
        late = ticket.Grant(ticket_id, "e1", "lm/0", "u1", "http://u1")
        handled(world, sender, late)
    assert not world.take(entry_types.Dispatch)


def test_a_grant_after_the_deadline_is_given_back(world):
    world.announce("e1", "u1", state=upstream.UpstreamState.LEAVING)
    world.post("e1", entry_world.chat("r1"))
    world.now += 30.0
    late = ticket.Grant("r1.1", "e1", "lm/0", "u1", "http://u1")
    handled(world, "e1", late)
    assert answered(world) == (504, "deadline", "not_run")


def test_a_ticket_turned_away_by_its_owner_goes_to_the_next():
    world = entry_world.World(("e1", "e2"))
    pool = world.node_by_id["e1"].explain(entry_world.chat("x").raw, "shop", world.now).pools[0]
    world.cut.add(pool.owner)
    world.announce(pool.standby, "u1")
    world.post(pool.standby, entry_world.chat("r1"))
    shed = ticket.Shed("r1.1", pool.standby, "lm/0", ticket.ShedReason.NOT_OWNER, 1.0)
    world.post(pool.standby, node.MessageReceived(pool.owner, shed))
    assert not world.take(entry_types.Answer)
    world.run(0.15)
    assert dispatched(world).attempt_id == "r1.2"


def test_a_granted_claim_is_dispatched_once_and_its_answer_replayed(world):
    world.post("e1", entry_world.hold("h1", "k1"))
    world.run(0.1)
    assert dispatched(world).key == "k1"
    world.post("e1", entry_world.hold("h2", "k1"))
    world.run(1.0)
    assert not world.take(entry_types.Dispatch)
    stored = claim.StoredAnswer(201, "text/plain", b"held")
    end(world, "h1.1", Result.COMPLETE, status=201, answer=stored)
    world.run(1.0)
    replay = only(world.take(entry_types.Answer))
    assert (replay.request_id, replay.status, replay.body) == ("h2", 201, b"held")
    assert replay.headers == {"Medlar-Replayed": "true", "Idempotency-Key": "k1"}
    headers = {"idempotency-key": "k1"}
    other = entry_world.arrival("h4", "POST", "/services/desk/holds2", b"{}", headers)
    for reused in (entry_world.hold("h3", "k1", b"other"), other):
        world.post("e1", reused)
        world.run(0.1)
        assert only(world.take(entry_types.Answer)).status == 422


def test_a_broken_call_is_never_sent_again(world):
    world.post("e1", entry_world.hold("h1", "k1"))
    world.run(0.1)
    world.take(entry_types.Dispatch)
    end(world, "h1.1", Result.BROKEN)
    assert answered(world) == (502, "upstream_failed", "may_have_run")
    world.run(0.1)
    world.post("e1", entry_world.hold("h2", "k1"))
    world.run(0.1)
    assert answered(world) == (409, "uncertain", "may_have_run")
    assert not world.take(entry_types.Dispatch)


@pytest.mark.parametrize("gone", [True, False])
def test_a_call_that_was_cancelled_after_its_dispatch_may_have_run(world, gone):
    world.post("e1", entry_world.hold("h1", "k1"))
    world.run(0.1)
    if gone:
        world.post("e1", entry_types.CallerGone("h1"))
    world.run(20.0)
    assert only(world.take(entry_types.CancelAttempt)).attempt_id == "h1.1"
    end(world, "h1.1", Result.BROKEN)
    assert only(world.take(entry_types.Record)).outcome is Outcome.MAY_HAVE_RUN
    world.run(0.1)
    assert world.control.claim_by_key[claim.ClaimKey("shop", "k1")][1:3] == [None, True]


def test_a_call_that_the_upstream_refused_queues_again_under_its_claim(world):
    world.post("e1", entry_world.hold("h1", "k1"))
    world.run(0.1)
    world.take(entry_types.Dispatch)
    end(world, "h1.1", Result.REFUSED)
    world.run(0.1)
    assert dispatched(world).attempt_id == "h1.2"
    assert len(world.control.claim_by_key) == 1


def test_a_call_that_never_ran_gives_its_claim_back(world):
    world.announce("e1", "d1", app="desk", state=upstream.UpstreamState.LEAVING)
    world.post("e1", entry_world.hold("h1", "k1"))
    world.run(0.1)
    assert len(world.control.claim_by_key) == 1
    world.post("e1", entry_types.CallerGone("h1"))
    world.run(0.1)
    assert not world.control.claim_by_key


def test_a_claim_granted_after_it_was_given_up_is_never_dispatched(world):
    world.cut |= {"c1", "c2", "c3"}
    world.post("e1", entry_world.hold("h1", "k1"))
    world.run(2.5)
    assert answered(world) == (503, "no_quorum", "not_run")
    key = claim.ClaimKey("shop", "k1")
    holder = claim.Holder("e1", 1, "h1")
    late = claim.ClaimReply(key, holder, claim.Verdict.GRANTED)
    world.post("e1", node.MessageReceived("c1", late))
    world.cut.clear()
    world.run(6.0)
    assert not world.take(entry_types.Dispatch)
    assert (key, holder) in world.control.abandoned
    assert world.node_by_id["e1"].status(world.now).unconfirmed == 0


@pytest.mark.parametrize(("periods", "dispatches"), [(1, True), (4, False)])
def test_a_claimed_call_is_not_dispatched_once_control_may_count_this_host_as_lost(
    world, periods, dispatches
):
    for number in (1, 2, 3):
        world.post("e1", entry_world.hold(f"h{number}"))
    world.run(0.1)
    first, _ = world.take(entry_types.Dispatch)
    world.cut |= {"c1", "c2", "c3"}
    for _ in range(periods):
        world.run(0.9)
        world.announce("e1", "d1", app="desk")
    end(world, first.attempt_id, Result.COMPLETE)
    assert bool(world.take(entry_types.Dispatch)) is dispatches
    refused = [item.status for item in world.take(entry_types.Answer)]
    assert refused == ([] if dispatches else [503])


def test_a_duplicate_of_a_call_that_does_not_end_is_told_that_it_may_have_run(world):
    world.post("e1", entry_world.hold("h1", "k1"))
    world.run(10.0)
    world.post("e1", entry_world.hold("h2", "k1"))
    world.run(1.0)
    world.cut |= {"c1", "c2", "c3"}
    world.run(3.1)
    assert answered(world) == (409, "uncertain", "may_have_run")
    world.cut.clear()
    world.run(3.0)
    world.post("e1", entry_world.hold("h3", "k1"))
    world.take(entry_types.Dispatch)
    world.run(20.1)
    answer = only(world.take(entry_types.Answer))
    assert (answer.request_id, answer.status, answer.outcome) == ("h3", 409, "may_have_run")


def test_an_undated_key_is_refused_where_the_configuration_asks_for_dates(world):
    changed = entry_world.declared(allow_undated_keys=False)
    world.control.revised = heartbeat.RevisionedConfiguration(2, changed)
    world.run(1.1)
    world.post("e1", entry_world.hold("h1", "k1"))
    assert answered(world) == (422, "key_expired", "not_run")
    world.post("e1", entry_world.hold("h2"))
    world.run(0.1)
    assert dispatched(world).key == "h2"


def test_a_preempted_stream_queues_to_resume_and_its_late_bytes_are_ignored(world):
    world.post("e1", entry_world.chat("r1", model="long"))
    world.take(entry_types.Dispatch)
    world.post("e1", entry_types.AttemptStarted("r1.1"))
    world.post("e1", node.MessageReceived("e1", ticket.Preempt("r1.1", "e1", "lm/0")))
    assert only(world.take(entry_types.CancelAttempt)).attempt_id == "r1.1"
    end(world, "r1.1", Result.BROKEN, tokens=6, relayed=True, resumable=True)
    again = dispatched(world)
    assert (again.attempt_id, again.resume_offset) == ("r1.2", 6)
    assert end(world, "r1.1", Result.COMPLETE, tokens=9) == []
    end(world, "r1.2", Result.COMPLETE, tokens=9, relayed=True)
    assert only(world.take(entry_types.Record)).tokens == 9


@pytest.mark.parametrize("arrived", [entry_world.chat("r1"), entry_world.hold("r1", "k")])
def test_what_is_not_preemptible_is_not_preempted(world, arrived):
    world.post("e1", arrived)
    world.run(0.1)
    pool = "lm/0" if arrived.raw.path.startswith("/v1") else "desk/0"
    world.post("e1", node.MessageReceived("e1", ticket.Preempt("r1.1", "e1", pool)))
    assert not world.take(entry_types.CancelAttempt)


def test_a_silent_owner_is_passed_over_and_its_late_grant_not_used():
    world = entry_world.World(("e1", "e2"))
    owner = world.node_by_id["e1"].explain(entry_world.chat("x").raw, "shop", world.now).pools[0]
    other = owner.standby
    world.announce(other, "u1")
    world.run(0.1)
    world.cut.add(owner.owner)
    world.out.clear()
    world.post(other, entry_world.chat("r1"))
    world.run(1.7)
    assert dispatched(world).attempt_id == "r1.2"
    late = ticket.Grant("r1.1", other, "lm/0", "u1", "http://u1")
    world.post(other, node.MessageReceived(owner.owner, late))
    assert not world.take(entry_types.Dispatch)


def test_a_change_of_selector_moves_an_upstream_and_its_traffic(world):
    services = world.control.revised.configuration.services
    moved = dataclasses.replace(services[0], selector="app=other")
    changed = entry_world.declared(services=(moved, services[1]))
    world.control.revised = heartbeat.RevisionedConfiguration(2, changed)
    world.run(1.1)
    world.post("e1", entry_world.chat("r1"))
    assert not world.take(entry_types.Dispatch)
    world.announce("e1", "u2", app="other")
    assert dispatched(world).upstream_id == "u2"
    world.control.revised = heartbeat.RevisionedConfiguration(1, entry_world.declared())
    world.run(2.1)
    assert world.node_by_id["e1"].status(world.now).revision == 2


def test_a_draining_host_leaves_the_answers_then_refuses_then_finishes_then_leaves():
    world = entry_world.World(("e1", "e2"), entries_lifetime_s=1.0, drain_notice_s=1.0)
    world.announce("e1", "u1")
    raw = entry_world.arrival("q", "GET", "/v1/entries").raw
    world.run(0.1)
    world.post("e1", entry_types.DrainAsked())
    world.post("e1", entry_world.chat("r1"))
    world.run(1.5)
    world.announce("e1", "u1")
    world.announce("e2", "u1")
    for entry_id in ("e1", "e2"):
        named = json.loads(world.node_by_id[entry_id].entries(raw, world.now).body)
        assert [item["address"] for item in named["entries"]] == ["http://e2"]
    world.post("e1", entry_world.chat("r2"))
    world.run(0.1)
    assert len(world.take(entry_types.Dispatch)) == 2
    world.run(1.0)
    world.post("e1", entry_world.chat("r3"))
    refused = only(world.take(entry_types.Answer))
    assert (refused.status, body(refused)["code"]) == (503, "draining")
    assert refused.headers["Medlar-Entries"] == "http://e2"
    for request_id in ("r1", "r2"):
        assert not world.take(entry_types.Drained)
        end(world, f"{request_id}.1", Result.COMPLETE)
        world.run(0.2)
    assert len(world.take(entry_types.Drained)) == 1
    assert [item.entry_id for item in world.control.view.members] == ["e2"]
    assert handled(world, "c1", heartbeat.RevisionNotice(9, (9, 9))) == []
    world.run(3.0)
    assert [item.entry_id for item in world.control.view.members] == ["e2"]


def test_a_drain_limit_cuts_what_is_left():
    world = entry_world.World(entries_lifetime_s=1.0, drain_notice_s=0.0, drain_limit_s=3.0)
    world.announce("e1", "u1")
    for request_id in ("r1", "r2", "r3"):
        world.post("e1", entry_world.chat(request_id))
    world.post("e1", entry_types.DrainAsked())
    for _ in range(4):
        world.run(0.9)
        world.announce("e1", "u1")
    assert answered(world) == (503, "draining", "not_run")
    for request_id in ("r1", "r2"):
        end(world, f"{request_id}.1", Result.BROKEN)
    assert {item.outcome for item in world.take(entry_types.Answer)} == {Outcome.MAY_HAVE_RUN}
    assert len(world.take(entry_types.Drained)) == 1


def test_entries_put_the_near_data_centre_first_and_leave_out_who_can_not_vouch_for_itself():
    world = entry_world.World(("e1", "e2", "e3"))
    near = entry_types.RawRequest("q", "GET", "/v1/entries", "dc=north", {}, b"")
    view = tuple(
        dataclasses.replace(item, data_centre="north" if item.entry_id == "e3" else "south")
        for item in world.control.view.members
    )
    world.control.refresh = lambda now: None
    world.control.view = member.View((9, 0), view)
    world.run(1.1)
    node_ = world.node_by_id["e1"]
    firsts = {json.loads(node_.entries(near, world.now).body)["entries"][0]["address"]}
    assert firsts == {"http://e3"}
    spread = [json.loads(node_.entries(near, world.now).body)["entries"][1] for _ in range(30)]
    assert {item["address"] for item in spread} == {"http://e1", "http://e2"}
    world.cut |= {"c1", "c2", "c3"}
    world.run(6.0)
    body = json.loads(node_.entries(near, world.now).body)
    assert [item["address"] for item in body["entries"]] == ["http://e3", "http://e2"]
    assert body["lifetime_s"] == 10.0


def test_models_explain_and_status_tell_what_there_is(world):
    entry = world.node_by_id["e1"]
    listed = json.loads(entry.models(entry_world.arrival("q", "GET", "/v1/models").raw).body)
    assert [item["id"] for item in listed["data"]] == ["small", "long"]
    explained = entry.explain(entry_world.chat("x", model="long").raw, "shop", world.now)
    assert (explained.request.class_name, explained.request.service) == ("review", "lm")
    assert [(item.upstream_id, item.selected) for item in explained.pools[0].candidates] == [
        ("u1", True),
        ("d1", False),
    ]
    assert entry.status(world.now).revision == 1


@given(
    method=st.sampled_from(("GET", "POST")),
    path=st.sampled_from(("/v1/chat/completions", "/services/desk/a%2Fb", "/services/desk", "/x")),
    body=st.sampled_from(
        (b"", b"[]", b'{"model": "small"}', b'{"model": "small", "messages": []}', b"\xff")
    ),
    scheme=st.sampled_from(("Bearer ", "bearer ", "Basic ", "")),
    key=st.sampled_from((entry_world.KEY, "other", "")),
)
def test_parse_and_identify_agree_with_a_naive_version(method, path, body, scheme, key):
    raw = entry_types.RawRequest("r", method, path, "", {"authorization": scheme + key}, body)

    def naive():
        if path.startswith("/services/"):
            found = ("desk", path.removeprefix("/services/desk") or "/")
        elif path != "/v1/chat/completions":
            return 404
        elif method != "POST":
            return 405
        else:
            try:
                found = json.loads(body)["model"]
                json.loads(body)["messages"]
            except (ValueError, KeyError, TypeError):
                return 400
        return found if scheme.lower() == "bearer " and key == entry_world.KEY else 401

    try:
        parsed = parse.parse(raw)
        identify.identify(entry_world.declared(), raw.headers)
        got = parsed.model or (parsed.service, parsed.path)
    except errors.RequestRefusedError as error:
        got = error.status
    assert got == naive()


def test_a_claim_granted_to_an_earlier_incarnation_is_not_used(world):
    world.cut |= {"c1", "c2", "c3"}
    world.post("e1", entry_world.hold("h1", "k1"))
    holder = claim.Holder("e1", 0, "h1")
    reply = claim.ClaimReply(claim.ClaimKey("shop", "k1"), holder, claim.Verdict.GRANTED)
    assert handled(world, "c1", reply) == []
    other = dataclasses.replace(reply, holder=claim.Holder("e1", 1, "h1"))
    assert handled(world, "e2", other) == []
    assert not world.take(entry_types.Dispatch)


def test_a_release_is_sent_again_until_the_owner_confirms_it():
    world = entry_world.World(("e1", "e2"))
    pool = world.node_by_id["e1"].explain(entry_world.chat("x").raw, "shop", world.now).pools[0]
    world.announce(pool.owner, "u1")
    world.post(pool.standby, entry_world.chat("r1"))
    world.run(0.1)
    world.cut.add(pool.owner)
    end(world, "r1.1", Result.COMPLETE, pool.standby)
    world.run(0.1)
    world.cut.clear()
    world.run(1.0)
    pools = world.node_by_id[pool.owner].status(world.now).pools
    assert [item.running for item in pools if item.pool == "lm/0"] == [0]
    assert world.node_by_id[pool.standby].status(world.now).unconfirmed == 0


def test_a_release_to_a_host_that_never_answers_is_given_up(world):
    grant = ticket.Grant("r9.1", "e1", "lm/0", "u1", "http://u1")
    world.post("e1", node.MessageReceived("e2", grant))
    world.run(10.0)
    assert world.node_by_id["e1"].status(world.now).unconfirmed == 1
    world.run(15.0)
    assert world.node_by_id["e1"].status(world.now).unconfirmed == 0


def test_a_new_owner_takes_over_what_runs_and_what_waits(world):
    for request_id in ("r1", "r2", "r3"):
        world.post("e1", entry_world.chat(request_id))
    world.jitter = (1.0, 1.0)
    newcomers = [f"e{number}" for number in range(2, 20)]
    first = next(item for item in newcomers if rendezvous.rank("lm/0", ("e1", item))[0] == item)
    world.node_by_id[first] = entry_world.make_node(first)
    world.post(first, node.Started())
    world.run(1.2)
    held = {item.pool: item for item in world.node_by_id[first].status(world.now).pools}
    assert (held["lm/0"].running, held["lm/0"].queued) == (2, 1)
    left = world.node_by_id["e1"].status(world.now).pools
    assert "lm/0" not in {item.pool for item in left}
    world.take(entry_types.Dispatch)
    end(world, "r1.1", Result.COMPLETE)
    world.run(0.1)
    assert dispatched(world).attempt_id == "r3.2"


def test_a_host_that_is_left_out_of_the_view_keeps_its_own_slots(world):
    for request_id in ("r1", "r2"):
        world.post("e1", entry_world.chat(request_id, model="long"))
    world.take(entry_types.Dispatch)
    world.control.refresh = lambda now: None
    world.control.view = member.View((9, 9))
    for _ in range(20):
        world.run(2.0)
        world.announce("e1", "u1")
    world.post("e1", entry_world.chat("r3"))
    assert not world.take(entry_types.Dispatch)


def test_messages_about_tickets_of_others_are_ignored(world):
    foreign = ticket.Ticket("x.1", "e2", "lm/0", "shop", "chat", 1, 0.0, 9.0)
    assert handled(world, "e3", foreign) == []
    assert handled(world, "e3", ticket.Running(foreign, "u1", 0.0)) == []
    elsewhere = dataclasses.replace(foreign, pool="none/0")
    shed = only(handled(world, "e2", elsewhere)).message
    assert shed.reason is ticket.ShedReason.NOT_OWNER


def test_a_repeatable_request_at_a_stalled_engine_starts_again_though_it_is_not_preemptible(world):
    world.post("e1", entry_world.chat("r1"))
    world.take(entry_types.Dispatch)
    asked = ticket.Preempt("r1.1", "e1", "lm/0", stalled=True)
    world.post("e1", node.MessageReceived("e1", asked))
    assert only(world.take(entry_types.CancelAttempt)).attempt_id == "r1.1"
    end(world, "r1.1", Result.BROKEN)
    assert dispatched(world).attempt_id == "r1.2"


def test_what_must_not_run_twice_is_not_moved_from_a_stalled_upstream(world):
    world.post("e1", entry_world.hold("r1", "k"))
    world.run(0.1)
    world.take(entry_types.Dispatch)
    asked = ticket.Preempt("r1.1", "e1", "desk/0", stalled=True)
    world.post("e1", node.MessageReceived("e1", asked))
    assert not world.take(entry_types.CancelAttempt)
