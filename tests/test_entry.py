"""Tests of the entry node, with one or two nodes and a fake control."""

from __future__ import annotations

import dataclasses
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from medlarfork import claim, errors, heartbeat, member, node, rendezvous, request, ticket, upstream
from medlarfork.entry import entry_settings, entry_types
from medlarfork.filters import identify, parse
from tests import entry_harness

Outcome = request.Outcome
Result = entry_types.AttemptResult


@pytest.fixture
def simulation():
    made = entry_harness.EntrySimulation()
    made.announce("e1", "u1")
    made.announce("e1", "d1", app="desk")
    made.out.clear()
    return made


def body(answer):
    return json.loads(answer.body)["error"]


def end(simulation, attempt_id, result, entry_id="e1", **more):
    return simulation.post(entry_id, entry_types.AttemptEnded(attempt_id, result, **more))


def handled(simulation, sender, message, entry_id="e1"):
    """Return a node's actions for a message of a peer, without wake-ups."""
    actions = simulation.node_by_id[entry_id].handle(
        node.MessageReceived(sender, message), simulation.now
    )
    simulation.out += [(entry_id, item) for item in actions if not isinstance(item, node.Send)]
    return [item for item in actions if not isinstance(item, node.Wake)]


def only(found):
    assert len(found) == 1, found
    return found[0]


def answered(simulation):
    answer = only(simulation.pop_actions(entry_types.Answer))
    assert only(simulation.pop_actions(entry_types.Record)).outcome == answer.outcome
    return answer.status, json.loads(answer.body)["error"]["code"], str(answer.outcome)


def dispatched(simulation):
    return only(simulation.pop_actions(entry_types.Dispatch))


@pytest.mark.parametrize(
    ("raw", "status", "code"),
    [
        (entry_harness.arrival("r", "GET", "/nowhere"), 404, "not_found"),
        (entry_harness.arrival("r", "GET", "/v1/chat/completions"), 405, "bad_request"),
        (entry_harness.arrival("r", "POST", "/v1/chat/completions", b"{"), 400, "bad_request"),
        (entry_harness.arrival("r", "POST", "/v1/chat/completions", b"{}"), 400, "bad_request"),
        (entry_harness.chat("r", model="none"), 404, "model_not_found"),
        (entry_harness.chat("r", model=""), 400, "bad_request"),
        (entry_harness.chat("r", n=2), 400, "bad_request"),
        (entry_harness.chat("r", max_tokens=0), 400, "bad_request"),
        (entry_harness.arrival("r", "GET", "/services/none/x"), 404, "not_found"),
        (entry_harness.arrival("r", "GET", "/services/desk/a/../b"), 400, "bad_request"),
        (entry_harness.arrival("r", "GET", "/services/desk/%2e%2e/b"), 400, "bad_request"),
        (entry_harness.hold("r", "k" * 201), 400, "bad_request"),
        (
            entry_harness.arrival(
                "r", "GET", "/services/desk/a", b"", {"authorization": "Bearer x"}
            ),
            401,
            "invalid_api_key",
        ),
    ],
)
def test_an_invalid_request_is_refused_in_the_openai_error_format(simulation, raw, status, code):
    simulation.post("e1", raw)
    answer = simulation.pop_actions(entry_types.Answer)[0]
    assert (answer.status, body(answer)["code"]) == (status, code)
    assert set(body(answer)) == {"message", "type", "param", "code", "outcome"}
    assert answer.outcome is Outcome.NOT_RUN
    assert simulation.node_by_id["e1"].status(simulation.now).requests == 0


def test_a_node_without_a_configuration_refuses(simulation):
    fresh = entry_harness.make_node("e9")
    answer = fresh.handle(entry_harness.chat("r"), simulation.now)[0]
    assert (answer.status, body(answer)["code"]) == (503, "stale_configuration")
    assert fresh.models(entry_harness.arrival("q", "GET", "/v1/models").raw).status == 503


def test_limits_on_requests_and_bytes_hold_and_are_released():
    simulation = entry_harness.EntrySimulation(request_limit=1)
    simulation.announce("e1", "u1")
    simulation.post("e1", entry_harness.chat("r1"))
    simulation.post("e1", entry_harness.chat("r2"))
    assert answered(simulation) == (503, "overloaded", "not_run")
    end(simulation, "r1.1", Result.COMPLETE)
    simulation.post("e1", entry_harness.chat("r3"))
    assert not simulation.pop_actions(entry_types.Answer)
    small = entry_harness.EntrySimulation(held_bytes_limit=10)
    small.post("e1", entry_harness.chat("r1"))
    assert answered(small) == (503, "overloaded", "not_run")


@pytest.mark.parametrize("policy", list(entry_settings.UnprovenPolicy))
def test_without_control_the_policy_decides_and_claims_are_refused(policy):
    simulation = entry_harness.EntrySimulation(unproven=policy)
    simulation.announce("e1", "u1")
    simulation.control.up = False
    simulation.run(4.0)
    simulation.announce("e1", "u1")
    simulation.post("e1", entry_harness.chat("r1"))
    assert len(simulation.pop_actions(entry_types.Dispatch)) == 1
    simulation.run(2.1)
    simulation.announce("e1", "u1")
    simulation.pop_actions(entry_types.Record)
    simulation.post("e1", entry_harness.chat("r2"))
    if policy is entry_settings.UnprovenPolicy.SERVE:
        assert dispatched(simulation).request_id == "r2"
        simulation.post("e1", entry_harness.hold("h1"))
        assert answered(simulation) == (503, "no_quorum", "not_run")
    else:
        assert answered(simulation) == (503, "stale_configuration", "not_run")


def test_a_refusal_before_execution_tries_another_upstream_within_the_budget():
    simulation = entry_harness.EntrySimulation(retry_share=0.0, retry_burst=1.0)
    for upstream_id in ("u1", "u2"):
        simulation.announce("e1", upstream_id)
    simulation.post("e1", entry_harness.chat("r1"))
    first = dispatched(simulation)
    end(simulation, "r1.1", Result.REFUSED)
    second = dispatched(simulation)
    assert (second.attempt_id, second.upstream_id != first.upstream_id) == ("r1.2", True)
    end(simulation, "r1.1", Result.BROKEN)
    assert not simulation.pop_actions(entry_types.Answer)
    end(simulation, "r1.2", Result.NOT_SENT)
    assert answered(simulation) == (503, "overloaded", "not_run")


def test_a_request_is_tried_a_bounded_number_of_times_and_avoids_what_failed():
    simulation = entry_harness.EntrySimulation(("e1", "e2"), attempts_limit=3)
    pool = (
        simulation.node_by_id["e1"]
        .explain(entry_harness.chat("x").raw, "shop", simulation.now)
        .pools[0]
    )
    simulation.announce(pool.owner, "u1")
    simulation.records_events = True
    simulation.post(pool.standby, entry_harness.chat("r1"))
    for number in (1, 2, 3):
        simulation.run(0.1)
        end(simulation, f"r1.{number}", Result.NOT_SENT, pool.standby)
    assert answered(simulation) == (503, "overloaded", "not_run")
    messages = [getattr(event, "message", None) for _, _, event, _ in simulation.seen]
    avoided = [item.avoid for item in messages if isinstance(item, ticket.Ticket)]
    assert avoided == [(), ("u1",), ("u1",)]


def test_a_broken_attempt_is_retried_only_while_nothing_was_relayed(simulation):
    simulation.post("e1", entry_harness.chat("r1"))
    end(simulation, "r1.1", Result.BROKEN)
    simulation.pop_actions(entry_types.Dispatch)
    simulation.post("e1", entry_types.AttemptStarted("r1.2"))
    end(simulation, "r1.2", Result.BROKEN, tokens=3, relayed=True)
    assert only(simulation.pop_actions(entry_types.FinishRelay)).complete is False
    record = only(simulation.pop_actions(entry_types.Record))
    assert (record.outcome, record.attempts) == (Outcome.MAY_HAVE_RUN, 2)
    assert record.wasted == (entry_types.WastedTokens("cut", 3),)


def test_a_refusal_after_bytes_of_an_answer_is_not_retried(simulation):
    simulation.post("e1", entry_harness.chat("r1"))
    simulation.post("e1", entry_types.AttemptStarted("r1.1"))
    end(simulation, "r1.1", Result.REFUSED, relayed=True)
    assert only(simulation.pop_actions(entry_types.Record)).outcome is Outcome.MAY_HAVE_RUN


def test_a_broken_answer_that_was_only_buffered_is_retried(simulation):
    simulation.post("e1", entry_harness.chat("r1"))
    simulation.post("e1", entry_types.AttemptStarted("r1.1"))
    simulation.pop_actions(entry_types.Dispatch)
    end(simulation, "r1.1", Result.BROKEN, tokens=3)
    assert dispatched(simulation).resume_offset == 0


def test_a_resumable_stream_resumes_where_it_broke(simulation):
    simulation.post("e1", entry_harness.chat("r1"))
    simulation.post("e1", entry_types.AttemptStarted("r1.1"))
    simulation.pop_actions(entry_types.Dispatch)
    end(simulation, "r1.1", Result.BROKEN, tokens=4, relayed=True, resumable=True)
    assert dispatched(simulation).resume_offset == 4
    end(simulation, "r1.2", Result.REFUSED, tokens=0, relayed=True)
    assert dispatched(simulation).resume_offset == 4


def test_a_deadline_in_the_queue_says_not_run_and_one_while_running_may_have_run(simulation):
    for request_id in ("r1", "r2", "r3"):
        simulation.post("e1", entry_harness.chat(request_id))
    simulation.pop_actions(entry_types.Dispatch)
    simulation.announce("e1", "u1", state=upstream.UpstreamState.LEAVING)
    simulation.run(31.0)
    cancelled = {action.attempt_id for action in simulation.pop_actions(entry_types.CancelAttempt)}
    assert cancelled == {"r1.1", "r2.1"}
    queued = only(simulation.pop_actions(entry_types.Answer))
    assert (queued.request_id, queued.outcome) == ("r3", Outcome.NOT_RUN)
    simulation.pop_actions(entry_types.Record)
    end(simulation, "r1.1", Result.BROKEN)
    assert answered(simulation) == (504, "deadline", "may_have_run")
    end(simulation, "r2.1", Result.COMPLETE)
    assert only(simulation.pop_actions(entry_types.FinishRelay)).complete is True


@pytest.mark.parametrize(
    ("seconds", "whole", "milliseconds"), [(1.2, "2", "1200"), (0.0, "1", "0")]
)
def test_a_shed_request_gets_a_retry_after_header(simulation, seconds, whole, milliseconds):
    for request_id in ("r1", "r2", "r3"):
        simulation.post("e1", entry_harness.chat(request_id))
    shed = ticket.Shed("r3.1", "e1", "lm/0", ticket.ShedReason.OVERLOADED, seconds)
    simulation.post("e1", node.MessageReceived("e1", shed))
    answer = simulation.pop_actions(entry_types.Answer)[0]
    assert (answer.status, answer.outcome) == (503, Outcome.NOT_RUN)
    headers = answer.headers
    assert (headers["Retry-After"], headers["Retry-After-Ms"]) == (whole, milliseconds)


def test_a_caller_that_leaves_frees_its_slot(simulation):
    for request_id in ("r1", "r2", "r3", "r4"):
        simulation.post("e1", entry_harness.chat(request_id))
    simulation.pop_actions(entry_types.Dispatch)
    simulation.post("e1", entry_types.CallerGone("r3"))
    simulation.post("e1", entry_types.CallerGone("r1"))
    assert only(simulation.pop_actions(entry_types.CancelAttempt)).attempt_id == "r1.1"
    end(simulation, "r1.1", Result.BROKEN, tokens=2)
    assert dispatched(simulation).request_id == "r4"
    assert [item.status for item in simulation.pop_actions(entry_types.Record)] == [499, 499]


def test_unexpected_grants_are_released_and_duplicates_are_ignored(simulation):
    grant = ticket.Grant("r9.1", "e1", "lm/0", "u1", "http://u1")
    sent = simulation.node_by_id["e1"].handle(node.MessageReceived("e2", grant), simulation.now)
    release = next(item.message for item in sent if isinstance(item, node.Send))
    assert release == ticket.Release("r9.1", "lm/0", ticket.ReleaseCause.UNUSED)
    simulation.post("e1", entry_harness.chat("r1"))
    simulation.pop_actions(entry_types.Dispatch)
    copy = ticket.Grant("r1.1", "e1", "lm/0", "u1", "http://u1")
    assert handled(simulation, "e1", copy) == []
    pools = {item.pool: item for item in simulation.node_by_id["e1"].status(simulation.now).pools}
    assert (pools["lm/0"].running, simulation.pop_actions(entry_types.Dispatch)) == (1, [])
    assert [item.message.cause for item in handled(simulation, "e2", copy)] == ["unused"]


def test_a_grant_of_a_skipped_owner_is_released(simulation):
    simulation.announce("e1", "u1", state=upstream.UpstreamState.LEAVING)
    simulation.post("e1", entry_harness.chat("r1"))
    for sender, ticket_id in (("e2", "r1.1"), ("e1", "r1.0")):
        late = ticket.Grant(ticket_id, "e1", "lm/0", "u1", "http://u1")
        handled(simulation, sender, late)
    assert not simulation.pop_actions(entry_types.Dispatch)


def test_a_grant_after_the_deadline_is_released(simulation):
    simulation.announce("e1", "u1", state=upstream.UpstreamState.LEAVING)
    simulation.post("e1", entry_harness.chat("r1"))
    simulation.now += 30.0
    late = ticket.Grant("r1.1", "e1", "lm/0", "u1", "http://u1")
    handled(simulation, "e1", late)
    assert answered(simulation) == (504, "deadline", "not_run")


def test_a_ticket_refused_by_a_former_owner_goes_to_the_next():
    simulation = entry_harness.EntrySimulation(("e1", "e2"))
    pool = (
        simulation.node_by_id["e1"]
        .explain(entry_harness.chat("x").raw, "shop", simulation.now)
        .pools[0]
    )
    simulation.cut.add(pool.owner)
    simulation.announce(pool.standby, "u1")
    simulation.post(pool.standby, entry_harness.chat("r1"))
    shed = ticket.Shed("r1.1", pool.standby, "lm/0", ticket.ShedReason.NOT_OWNER, 1.0)
    simulation.post(pool.standby, node.MessageReceived(pool.owner, shed))
    assert not simulation.pop_actions(entry_types.Answer)
    simulation.run(0.15)
    assert dispatched(simulation).attempt_id == "r1.2"


def test_a_granted_claim_is_dispatched_once_and_its_answer_replayed(simulation):
    simulation.post("e1", entry_harness.hold("h1", "k1"))
    simulation.run(0.1)
    assert dispatched(simulation).key == "k1"
    simulation.post("e1", entry_harness.hold("h2", "k1"))
    simulation.run(1.0)
    assert not simulation.pop_actions(entry_types.Dispatch)
    stored = claim.StoredAnswer(201, "text/plain", b"held")
    end(simulation, "h1.1", Result.COMPLETE, status=201, answer=stored)
    simulation.run(1.0)
    replay = only(simulation.pop_actions(entry_types.Answer))
    assert (replay.request_id, replay.status, replay.body) == ("h2", 201, b"held")
    assert replay.headers == {"Medlar-Replayed": "true", "Idempotency-Key": "k1"}
    headers = {"idempotency-key": "k1"}
    other = entry_harness.arrival("h4", "POST", "/services/desk/holds2", b"{}", headers)
    for reused in (entry_harness.hold("h3", "k1", b"other"), other):
        simulation.post("e1", reused)
        simulation.run(0.1)
        assert only(simulation.pop_actions(entry_types.Answer)).status == 422


def test_a_broken_not_repeatable_call_is_never_resent(simulation):
    simulation.post("e1", entry_harness.hold("h1", "k1"))
    simulation.run(0.1)
    simulation.pop_actions(entry_types.Dispatch)
    end(simulation, "h1.1", Result.BROKEN)
    assert answered(simulation) == (502, "upstream_failed", "may_have_run")
    simulation.run(0.1)
    simulation.post("e1", entry_harness.hold("h2", "k1"))
    simulation.run(0.1)
    assert answered(simulation) == (409, "uncertain", "may_have_run")
    assert not simulation.pop_actions(entry_types.Dispatch)


@pytest.mark.parametrize("gone", [True, False])
def test_a_call_that_was_cancelled_after_its_dispatch_may_have_run(simulation, gone):
    simulation.post("e1", entry_harness.hold("h1", "k1"))
    simulation.run(0.1)
    if gone:
        simulation.post("e1", entry_types.CallerGone("h1"))
    simulation.run(20.0)
    assert only(simulation.pop_actions(entry_types.CancelAttempt)).attempt_id == "h1.1"
    end(simulation, "h1.1", Result.BROKEN)
    assert only(simulation.pop_actions(entry_types.Record)).outcome is Outcome.MAY_HAVE_RUN
    simulation.run(0.1)
    assert simulation.control.claim_by_key[claim.ClaimKey("shop", "k1")][1:3] == [None, True]


def test_a_call_that_the_upstream_refused_queues_again_under_its_claim(simulation):
    simulation.post("e1", entry_harness.hold("h1", "k1"))
    simulation.run(0.1)
    simulation.pop_actions(entry_types.Dispatch)
    end(simulation, "h1.1", Result.REFUSED)
    simulation.run(0.1)
    assert dispatched(simulation).attempt_id == "h1.2"
    assert len(simulation.control.claim_by_key) == 1


def test_a_call_that_never_ran_abandons_its_claim(simulation):
    simulation.announce("e1", "d1", app="desk", state=upstream.UpstreamState.LEAVING)
    simulation.post("e1", entry_harness.hold("h1", "k1"))
    simulation.run(0.1)
    assert len(simulation.control.claim_by_key) == 1
    simulation.post("e1", entry_types.CallerGone("h1"))
    simulation.run(0.1)
    assert not simulation.control.claim_by_key


def test_a_claim_granted_after_it_was_given_up_is_never_dispatched(simulation):
    simulation.cut |= {"c1", "c2", "c3"}
    simulation.post("e1", entry_harness.hold("h1", "k1"))
    simulation.run(2.5)
    assert answered(simulation) == (503, "no_quorum", "not_run")
    key = claim.ClaimKey("shop", "k1")
    holder = claim.Holder("e1", 1, "h1")
    late = claim.ClaimReply(key, holder, claim.Verdict.GRANTED)
    simulation.post("e1", node.MessageReceived("c1", late))
    simulation.cut.clear()
    simulation.run(6.0)
    assert not simulation.pop_actions(entry_types.Dispatch)
    assert (key, holder) in simulation.control.abandoned
    assert simulation.node_by_id["e1"].status(simulation.now).unconfirmed == 0


@pytest.mark.parametrize(("periods", "dispatches"), [(1, True), (4, False)])
def test_a_claimed_call_is_not_dispatched_once_control_may_count_this_host_as_lost(
    simulation, periods, dispatches
):
    for number in (1, 2, 3):
        simulation.post("e1", entry_harness.hold(f"h{number}"))
    simulation.run(0.1)
    first, _ = simulation.pop_actions(entry_types.Dispatch)
    simulation.cut |= {"c1", "c2", "c3"}
    for _ in range(periods):
        simulation.run(0.9)
        simulation.announce("e1", "d1", app="desk")
    end(simulation, first.attempt_id, Result.COMPLETE)
    assert bool(simulation.pop_actions(entry_types.Dispatch)) is dispatches
    refused = [item.status for item in simulation.pop_actions(entry_types.Answer)]
    assert refused == ([] if dispatches else [503])


def test_a_duplicate_of_a_call_that_does_not_end_gets_may_have_run(simulation):
    simulation.post("e1", entry_harness.hold("h1", "k1"))
    simulation.run(10.0)
    simulation.post("e1", entry_harness.hold("h2", "k1"))
    simulation.run(1.0)
    simulation.cut |= {"c1", "c2", "c3"}
    simulation.run(3.1)
    assert answered(simulation) == (409, "uncertain", "may_have_run")
    simulation.cut.clear()
    simulation.run(3.0)
    simulation.post("e1", entry_harness.hold("h3", "k1"))
    simulation.pop_actions(entry_types.Dispatch)
    simulation.run(20.1)
    answer = only(simulation.pop_actions(entry_types.Answer))
    assert (answer.request_id, answer.status, answer.outcome) == ("h3", 409, "may_have_run")


def test_an_undated_key_is_refused_where_the_configuration_asks_for_dates(simulation):
    changed = entry_harness.declared(allow_undated_keys=False)
    simulation.control.revised = heartbeat.RevisionedConfiguration(2, changed)
    simulation.run(1.1)
    simulation.post("e1", entry_harness.hold("h1", "k1"))
    assert answered(simulation) == (422, "key_expired", "not_run")
    simulation.post("e1", entry_harness.hold("h2"))
    simulation.run(0.1)
    assert dispatched(simulation).key == "h2"


def test_a_preempted_stream_queues_to_resume_and_its_late_bytes_are_ignored(simulation):
    simulation.post("e1", entry_harness.chat("r1", model="long"))
    simulation.pop_actions(entry_types.Dispatch)
    simulation.post("e1", entry_types.AttemptStarted("r1.1"))
    simulation.post("e1", node.MessageReceived("e1", ticket.Preempt("r1.1", "e1", "lm/0")))
    assert only(simulation.pop_actions(entry_types.CancelAttempt)).attempt_id == "r1.1"
    end(simulation, "r1.1", Result.BROKEN, tokens=6, relayed=True, resumable=True)
    again = dispatched(simulation)
    assert (again.attempt_id, again.resume_offset) == ("r1.2", 6)
    assert end(simulation, "r1.1", Result.COMPLETE, tokens=9) == []
    end(simulation, "r1.2", Result.COMPLETE, tokens=9, relayed=True)
    assert only(simulation.pop_actions(entry_types.Record)).tokens == 9


@pytest.mark.parametrize("arrived", [entry_harness.chat("r1"), entry_harness.hold("r1", "k")])
def test_a_request_that_is_not_preemptible_is_not_preempted(simulation, arrived):
    simulation.post("e1", arrived)
    simulation.run(0.1)
    pool = "lm/0" if arrived.raw.path.startswith("/v1") else "desk/0"
    simulation.post("e1", node.MessageReceived("e1", ticket.Preempt("r1.1", "e1", pool)))
    assert not simulation.pop_actions(entry_types.CancelAttempt)


def test_a_silent_owner_is_skipped_and_its_late_grant_not_used():
    simulation = entry_harness.EntrySimulation(("e1", "e2"))
    owner = (
        simulation.node_by_id["e1"]
        .explain(entry_harness.chat("x").raw, "shop", simulation.now)
        .pools[0]
    )
    other = owner.standby
    simulation.announce(other, "u1")
    simulation.run(0.1)
    simulation.cut.add(owner.owner)
    simulation.out.clear()
    simulation.post(other, entry_harness.chat("r1"))
    simulation.run(1.7)
    assert dispatched(simulation).attempt_id == "r1.2"
    late = ticket.Grant("r1.1", other, "lm/0", "u1", "http://u1")
    simulation.post(other, node.MessageReceived(owner.owner, late))
    assert not simulation.pop_actions(entry_types.Dispatch)


def test_a_change_of_selector_moves_an_upstream_and_its_traffic(simulation):
    services = simulation.control.revised.configuration.services
    moved = dataclasses.replace(services[0], selector="app=other")
    changed = entry_harness.declared(services=(moved, services[1]))
    simulation.control.revised = heartbeat.RevisionedConfiguration(2, changed)
    simulation.run(1.1)
    simulation.post("e1", entry_harness.chat("r1"))
    assert not simulation.pop_actions(entry_types.Dispatch)
    simulation.announce("e1", "u2", app="other")
    assert dispatched(simulation).upstream_id == "u2"
    simulation.control.revised = heartbeat.RevisionedConfiguration(1, entry_harness.declared())
    simulation.run(2.1)
    assert simulation.node_by_id["e1"].status(simulation.now).revision == 2


def test_a_draining_host_is_unlisted_then_refuses_then_finishes_then_stops():
    simulation = entry_harness.EntrySimulation(
        ("e1", "e2"), entries_lifetime_s=1.0, drain_notice_s=1.0
    )
    simulation.announce("e1", "u1")
    raw = entry_harness.arrival("q", "GET", "/v1/entries").raw
    simulation.run(0.1)
    simulation.post("e1", entry_types.DrainRequested())
    simulation.post("e1", entry_harness.chat("r1"))
    simulation.run(1.5)
    simulation.announce("e1", "u1")
    simulation.announce("e2", "u1")
    for entry_id in ("e1", "e2"):
        named = json.loads(simulation.node_by_id[entry_id].entries(raw, simulation.now).body)
        assert [item["address"] for item in named["entries"]] == ["http://e2"]
    simulation.post("e1", entry_harness.chat("r2"))
    simulation.run(0.1)
    assert len(simulation.pop_actions(entry_types.Dispatch)) == 2
    simulation.run(1.0)
    simulation.post("e1", entry_harness.chat("r3"))
    refused = only(simulation.pop_actions(entry_types.Answer))
    assert (refused.status, body(refused)["code"]) == (503, "draining")
    assert refused.headers["Medlar-Entries"] == "http://e2"
    for request_id in ("r1", "r2"):
        assert not simulation.pop_actions(entry_types.Drained)
        end(simulation, f"{request_id}.1", Result.COMPLETE)
        simulation.run(0.2)
    assert len(simulation.pop_actions(entry_types.Drained)) == 1
    assert [item.entry_id for item in simulation.control.view.members] == ["e2"]
    assert handled(simulation, "c1", heartbeat.RevisionNotice(9, (9, 9))) == []
    simulation.run(3.0)
    assert [item.entry_id for item in simulation.control.view.members] == ["e2"]


def test_the_drain_limit_cancels_remaining_requests():
    simulation = entry_harness.EntrySimulation(
        entries_lifetime_s=1.0, drain_notice_s=0.0, drain_limit_s=3.0
    )
    simulation.announce("e1", "u1")
    for request_id in ("r1", "r2", "r3"):
        simulation.post("e1", entry_harness.chat(request_id))
    simulation.post("e1", entry_types.DrainRequested())
    for _ in range(4):
        simulation.run(0.9)
        simulation.announce("e1", "u1")
    assert answered(simulation) == (503, "draining", "not_run")
    for request_id in ("r1", "r2"):
        end(simulation, f"{request_id}.1", Result.BROKEN)
    assert {item.outcome for item in simulation.pop_actions(entry_types.Answer)} == {
        Outcome.MAY_HAVE_RUN
    }
    assert len(simulation.pop_actions(entry_types.Drained)) == 1


def test_entries_list_the_callers_data_centre_first_and_omit_unproven_hosts():
    simulation = entry_harness.EntrySimulation(("e1", "e2", "e3"))
    near = entry_types.RawRequest("q", "GET", "/v1/entries", "dc=north", {}, b"")
    view = tuple(
        dataclasses.replace(item, data_centre="north" if item.entry_id == "e3" else "south")
        for item in simulation.control.view.members
    )
    simulation.control.refresh = lambda now: None
    simulation.control.view = member.View((9, 0), view)
    simulation.run(1.1)
    node_ = simulation.node_by_id["e1"]
    firsts = {json.loads(node_.entries(near, simulation.now).body)["entries"][0]["address"]}
    assert firsts == {"http://e3"}
    spread = [json.loads(node_.entries(near, simulation.now).body)["entries"][1] for _ in range(30)]
    assert {item["address"] for item in spread} == {"http://e1", "http://e2"}
    simulation.cut |= {"c1", "c2", "c3"}
    simulation.run(6.0)
    body = json.loads(node_.entries(near, simulation.now).body)
    assert [item["address"] for item in body["entries"]] == ["http://e3", "http://e2"]
    assert body["lifetime_s"] == 10.0


def test_models_explain_and_status_describe_the_host(simulation):
    entry = simulation.node_by_id["e1"]
    listed = json.loads(entry.models(entry_harness.arrival("q", "GET", "/v1/models").raw).body)
    assert [item["id"] for item in listed["data"]] == ["small", "long"]
    explained = entry.explain(entry_harness.chat("x", model="long").raw, "shop", simulation.now)
    assert (explained.request.class_name, explained.request.service) == ("review", "lm")
    assert [(item.upstream_id, item.selected) for item in explained.pools[0].candidates] == [
        ("u1", True),
        ("d1", False),
    ]
    assert entry.status(simulation.now).revision == 1


@given(
    method=st.sampled_from(("GET", "POST")),
    path=st.sampled_from(("/v1/chat/completions", "/services/desk/a%2Fb", "/services/desk", "/x")),
    body=st.sampled_from(
        (b"", b"[]", b'{"model": "small"}', b'{"model": "small", "messages": []}', b"\xff")
    ),
    scheme=st.sampled_from(("Bearer ", "bearer ", "Basic ", "")),
    key=st.sampled_from((entry_harness.KEY, "other", "")),
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
        return found if scheme.lower() == "bearer " and key == entry_harness.KEY else 401

    try:
        parsed = parse.parse(raw)
        identify.identify(entry_harness.declared(), raw.headers)
        got = parsed.model or (parsed.service, parsed.path)
    except errors.RequestRefusedError as error:
        got = error.status
    assert got == naive()


def test_a_claim_granted_to_an_earlier_incarnation_is_not_used(simulation):
    simulation.cut |= {"c1", "c2", "c3"}
    simulation.post("e1", entry_harness.hold("h1", "k1"))
    holder = claim.Holder("e1", 0, "h1")
    reply = claim.ClaimReply(claim.ClaimKey("shop", "k1"), holder, claim.Verdict.GRANTED)
    assert handled(simulation, "c1", reply) == []
    other = dataclasses.replace(reply, holder=claim.Holder("e1", 1, "h1"))
    assert handled(simulation, "e2", other) == []
    assert not simulation.pop_actions(entry_types.Dispatch)


def test_a_release_is_resent_until_the_owner_confirms_it():
    simulation = entry_harness.EntrySimulation(("e1", "e2"))
    pool = (
        simulation.node_by_id["e1"]
        .explain(entry_harness.chat("x").raw, "shop", simulation.now)
        .pools[0]
    )
    simulation.announce(pool.owner, "u1")
    simulation.post(pool.standby, entry_harness.chat("r1"))
    simulation.run(0.1)
    simulation.cut.add(pool.owner)
    end(simulation, "r1.1", Result.COMPLETE, pool.standby)
    simulation.run(0.1)
    simulation.cut.clear()
    simulation.run(1.0)
    pools = simulation.node_by_id[pool.owner].status(simulation.now).pools
    assert [item.running for item in pools if item.pool == "lm/0"] == [0]
    assert simulation.node_by_id[pool.standby].status(simulation.now).unconfirmed == 0


def test_a_release_to_a_host_that_never_answers_is_given_up(simulation):
    grant = ticket.Grant("r9.1", "e1", "lm/0", "u1", "http://u1")
    simulation.post("e1", node.MessageReceived("e2", grant))
    simulation.run(10.0)
    assert simulation.node_by_id["e1"].status(simulation.now).unconfirmed == 1
    simulation.run(15.0)
    assert simulation.node_by_id["e1"].status(simulation.now).unconfirmed == 0


def test_a_new_owner_takes_over_running_and_queued_requests(simulation):
    for request_id in ("r1", "r2", "r3"):
        simulation.post("e1", entry_harness.chat(request_id))
    simulation.jitter = (1.0, 1.0)
    newcomers = [f"e{number}" for number in range(2, 20)]
    first = next(item for item in newcomers if rendezvous.rank("lm/0", ("e1", item))[0] == item)
    simulation.node_by_id[first] = entry_harness.make_node(first)
    simulation.post(first, node.Started())
    simulation.run(1.2)
    held = {item.pool: item for item in simulation.node_by_id[first].status(simulation.now).pools}
    assert (held["lm/0"].running, held["lm/0"].queued) == (2, 1)
    left = simulation.node_by_id["e1"].status(simulation.now).pools
    assert "lm/0" not in {item.pool for item in left}
    simulation.pop_actions(entry_types.Dispatch)
    end(simulation, "r1.1", Result.COMPLETE)
    simulation.run(0.1)
    assert dispatched(simulation).attempt_id == "r3.2"


def test_a_host_missing_from_the_view_keeps_its_own_slots(simulation):
    for request_id in ("r1", "r2"):
        simulation.post("e1", entry_harness.chat(request_id, model="long"))
    simulation.pop_actions(entry_types.Dispatch)
    simulation.control.refresh = lambda now: None
    simulation.control.view = member.View((9, 9))
    for _ in range(20):
        simulation.run(2.0)
        simulation.announce("e1", "u1")
    simulation.post("e1", entry_harness.chat("r3"))
    assert not simulation.pop_actions(entry_types.Dispatch)


def test_messages_about_tickets_of_others_are_ignored(simulation):
    foreign = ticket.Ticket("x.1", "e2", "lm/0", "shop", "chat", 1, 0.0, 9.0)
    assert handled(simulation, "e3", foreign) == []
    assert handled(simulation, "e3", ticket.Running(foreign, "u1", 0.0)) == []
    elsewhere = dataclasses.replace(foreign, pool="none/0")
    shed = only(handled(simulation, "e2", elsewhere)).message
    assert shed.reason is ticket.ShedReason.NOT_OWNER


def test_a_repeatable_request_at_a_stalled_engine_restarts_even_if_not_preemptible(
    simulation,
):
    simulation.post("e1", entry_harness.chat("r1"))
    simulation.pop_actions(entry_types.Dispatch)
    asked = ticket.Preempt("r1.1", "e1", "lm/0", stalled=True)
    simulation.post("e1", node.MessageReceived("e1", asked))
    assert only(simulation.pop_actions(entry_types.CancelAttempt)).attempt_id == "r1.1"
    end(simulation, "r1.1", Result.BROKEN)
    assert dispatched(simulation).attempt_id == "r1.2"


def test_a_not_repeatable_request_is_not_moved_from_a_stalled_upstream(simulation):
    simulation.post("e1", entry_harness.hold("r1", "k"))
    simulation.run(0.1)
    simulation.pop_actions(entry_types.Dispatch)
    asked = ticket.Preempt("r1.1", "e1", "desk/0", stalled=True)
    simulation.post("e1", node.MessageReceived("e1", asked))
    assert not simulation.pop_actions(entry_types.CancelAttempt)


@pytest.fixture
def two_versions(simulation):
    """Return the simulation with a busy second upstream of the first one's version, and others."""
    simulation.announce("e1", "u1", version="v1")
    for name, version in (("u2", "v2"), ("u3", "v2"), ("u4", "v1")):
        simulation.announce("e1", name, version=version)
    simulation.out.clear()
    return simulation


# Guards against: a stream was resumed at an upstream of another version, broken or preempted.
@pytest.mark.parametrize("is_preempted", [False, True])
def test_a_stream_resumes_only_at_the_version_that_began_it(two_versions, is_preempted):
    version_by_id = {"u1": "v1", "u2": "v2", "u3": "v2", "u4": "v1"}
    for number in range(6):
        two_versions.post("e1", entry_harness.chat(f"r{number}", model="long"))
        first = dispatched(two_versions)
        attempt = first.attempt_id
        two_versions.post("e1", entry_types.AttemptStarted(attempt))
        if is_preempted:
            two_versions.post(
                "e1", node.MessageReceived("e1", ticket.Preempt(attempt, "e1", "lm/0"))
            )
        end(two_versions, attempt, Result.BROKEN, tokens=4, relayed=True, resumable=True)
        again = dispatched(two_versions)
        assert again.resume_offset == 4
        assert version_by_id[again.upstream_id] == version_by_id[first.upstream_id]
        end(two_versions, again.attempt_id, Result.COMPLETE, tokens=9, relayed=True)


# Guards against: an owner of an earlier build, which knows no versions, resumed a stream anywhere.
@pytest.mark.parametrize("granted", [None, "v2"])
def test_a_grant_of_another_or_an_unknown_version_does_not_resume_a_stream(simulation, granted):
    simulation.announce("e1", "u1", version="v1")
    simulation.post("e1", entry_harness.chat("r1"))
    simulation.post("e1", entry_types.AttemptStarted("r1.1"))
    simulation.pop_actions(entry_types.Dispatch)
    simulation.announce("e1", "u1", version="v1", state=upstream.UpstreamState.LEAVING)
    end(simulation, "r1.1", Result.BROKEN, tokens=4, relayed=True, resumable=True)
    granting = ticket.Grant("r1.2", "e1", "lm/0", "u9", "http://u9", version=granted)
    handled(simulation, "e1", granting)
    assert not simulation.pop_actions(entry_types.Dispatch)
    assert not only(simulation.pop_actions(entry_types.FinishRelay)).complete
