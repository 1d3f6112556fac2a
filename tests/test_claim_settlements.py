"""Tests that a claim never stays running once its request has ended on a live entry host."""

import pytest

from medlarfork import claim, node
from medlarfork.entry import entry_types
from tests import entry_harness

_KEY = claim.ClaimKey("shop", "k1")
_HOLDER = claim.Holder("e1", 1, "h1")
_REQUEST = claim.ClaimRequest(_KEY, _HOLDER, "digest")
_REPLICAS = frozenset({"c1", "c2", "c3"})


@pytest.fixture
def simulation():
    return entry_harness.EntrySimulation()


def _post_hold(simulation, request_id):
    """Post a not-repeatable call to the plain service, and return its dispatches."""
    simulation.announce("e1", "d1", app="desk")
    simulation.post("e1", entry_harness.hold(request_id, "k1"))
    simulation.run(0.1)
    return simulation.pop_actions(entry_types.Dispatch)


def _give_up_for(simulation, seconds):
    """Let a request fail for want of a claim while control is unreachable for ``seconds``."""
    simulation.cut |= _REPLICAS
    assert not _post_hold(simulation, "h1")
    simulation.run(seconds)
    assert [item.status for item in simulation.pop_actions(entry_types.Answer)] == [503]


def _grant_late(simulation):
    """Let control grant a delayed duplicate of the claim request; return the reply's event."""
    (reply,) = simulation.control.handle("e1", _REQUEST, simulation.now)
    assert reply.verdict is claim.Verdict.GRANTED
    return node.MessageReceived("c1", reply)


@pytest.mark.parametrize("silent_s", [3.0, 3600.0])
def test_a_claim_whose_grant_was_lost_is_abandoned_and_the_retry_runs(simulation, silent_s):
    _give_up_for(simulation, silent_s)
    _grant_late(simulation)
    simulation.cut.clear()
    simulation.run(6.0)
    assert len(_post_hold(simulation, "h2")) == 1


def test_a_claim_granted_after_control_evicted_its_abandon_is_abandoned_again(simulation):
    _give_up_for(simulation, 3.0)
    simulation.cut.clear()
    simulation.run(6.0)
    assert simulation.node_by_id["e1"].status(simulation.now).unconfirmed == 0
    simulation.control.abandoned.clear()
    granted = _grant_late(simulation)
    simulation.cut |= _REPLICAS
    simulation.post("e1", granted)
    simulation.run(1.0)
    simulation.cut.clear()
    simulation.run(6.0)
    assert len(_post_hold(simulation, "h2")) == 1


def test_a_late_grant_of_a_request_that_ran_never_abandons_its_claim(simulation):
    (dispatch,) = _post_hold(simulation, "h1")
    complete = entry_types.AttemptResult.COMPLETE
    simulation.post("e1", entry_types.AttemptEnded(dispatch.attempt_id, complete, status=201))
    simulation.run(1.0)
    # Simulates a control that still has the claim as running.
    simulation.control.claim_by_key[_KEY][2] = False
    simulation.post(
        "e1", node.MessageReceived("c1", claim.ClaimReply(_KEY, _HOLDER, claim.Verdict.GRANTED))
    )
    simulation.run(1.0)
    assert not simulation.control.abandoned
    assert simulation.control.claim_by_key[_KEY][1:3] == [None, True]
    assert not _post_hold(simulation, "h2")


def test_a_late_grant_does_not_replace_an_unrecorded_answer(simulation):
    (dispatch,) = _post_hold(simulation, "h1")
    simulation.cut |= _REPLICAS
    stored = claim.StoredAnswer(201, "text/plain", b"held")
    complete = entry_types.AttemptResult.COMPLETE
    ended = entry_types.AttemptEnded(dispatch.attempt_id, complete, status=201, answer=stored)
    simulation.post("e1", ended)
    granted = claim.ClaimReply(_KEY, _HOLDER, claim.Verdict.GRANTED)
    simulation.post("e1", node.MessageReceived("c1", granted))
    simulation.cut.clear()
    simulation.run(6.0)
    assert simulation.control.claim_by_key[_KEY][1] == stored
