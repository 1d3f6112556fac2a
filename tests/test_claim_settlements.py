"""Test that no claim stays running once its request has ended on a live entry host."""

import pytest

from medlarfork import claim, node
from medlarfork.entry import entry_types
from tests import entry_world

_KEY = claim.ClaimKey("shop", "k1")
_HOLDER = claim.Holder("e1", 1, "h1")
_REQUEST = claim.ClaimRequest(_KEY, _HOLDER, "digest")
_REPLICAS = frozenset({"c1", "c2", "c3"})


@pytest.fixture
def world():
    return entry_world.World()


def _post_hold(world, request_id):
    """Post a call of the plain service that must not run twice, and return its dispatches."""
    world.announce("e1", "d1", app="desk")
    world.post("e1", entry_world.hold(request_id, "k1"))
    world.run(0.1)
    return world.take(entry_types.Dispatch)


def _give_up_for(world, seconds):
    """Let a request give up its claim while control is silent for a time."""
    world.cut |= _REPLICAS
    assert not _post_hold(world, "h1")
    world.run(seconds)
    assert [item.status for item in world.take(entry_types.Answer)] == [503]


def _grant_late(world):
    """Let control commit an earlier copy of the claim request."""
    (reply,) = world.control.handle("e1", _REQUEST, world.now)
    assert reply.verdict is claim.Verdict.GRANTED
    return node.MessageReceived("c1", reply)


@pytest.mark.parametrize("silent_s", [3.0, 3600.0])
def test_a_claim_that_committed_unheard_is_given_back_and_the_retry_runs(world, silent_s):
    _give_up_for(world, silent_s)
    _grant_late(world)
    world.cut.clear()
    world.run(6.0)
    assert len(_post_hold(world, "h2")) == 1


def test_a_claim_granted_after_control_forgot_its_abandon_is_given_back(world):
    _give_up_for(world, 3.0)
    world.cut.clear()
    world.run(6.0)
    assert world.node_by_id["e1"].status(world.now).unconfirmed == 0
    world.control.abandoned.clear()
    granted = _grant_late(world)
    world.cut |= _REPLICAS
    world.post("e1", granted)
    world.run(1.0)
    world.cut.clear()
    world.run(6.0)
    assert len(_post_hold(world, "h2")) == 1


def test_a_late_grant_of_a_request_that_ran_never_gives_its_claim_back(world):
    (dispatch,) = _post_hold(world, "h1")
    complete = entry_types.AttemptResult.COMPLETE
    world.post("e1", entry_types.AttemptEnded(dispatch.attempt_id, complete, status=201))
    world.run(1.0)
    # As if control held the claim as running still.
    world.control.claim_by_key[_KEY][2] = False
    world.post(
        "e1", node.MessageReceived("c1", claim.ClaimReply(_KEY, _HOLDER, claim.Verdict.GRANTED))
    )
    world.run(1.0)
    assert not world.control.abandoned
    assert world.control.claim_by_key[_KEY][1:3] == [None, True]
    assert not _post_hold(world, "h2")


def test_a_late_grant_does_not_replace_an_answer_that_waits_to_be_recorded(world):
    (dispatch,) = _post_hold(world, "h1")
    world.cut |= _REPLICAS
    stored = claim.StoredAnswer(201, "text/plain", b"held")
    complete = entry_types.AttemptResult.COMPLETE
    ended = entry_types.AttemptEnded(dispatch.attempt_id, complete, status=201, answer=stored)
    world.post("e1", ended)
    granted = claim.ClaimReply(_KEY, _HOLDER, claim.Verdict.GRANTED)
    world.post("e1", node.MessageReceived("c1", granted))
    world.cut.clear()
    world.run(6.0)
    assert world.control.claim_by_key[_KEY][1] == stored
