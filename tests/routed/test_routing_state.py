"""Commands may be in the log in any order of versions; the highest version is in force."""

import pytest

from medlarfork import codec
from medlarfork.coordination import routing_state
from medlarfork.quarantine import crash_subject


@pytest.fixture
def state():
    state = routing_state.RoutingState()
    assert state.apply(routing_state.pack(5, b"five"))
    return state


@pytest.mark.parametrize("version", [3, 5])
def test_a_version_that_is_not_higher_changes_nothing(state, version):
    """Changes of two operators are both in the log, the higher version first."""
    assert not state.apply(routing_state.pack(version, b"other"))
    assert (state.current.version, state.current.body) == (5, b"five")


def test_held_requests_survive_a_snapshot_until_they_are_released(state):
    held = routing_state.HeldRequest("k-1", ("u-1", "u-2", "u-3"))
    assert state.apply(routing_state.pack_held(held)) == held
    restored = routing_state.RoutingState()
    restored.restore(state.snapshot())
    assert (restored.held_by_key, restored.current.version) == ({"k-1": held}, 5)
    lifted = routing_state.pack_held(routing_state.LiftedRequest("k-1"))
    assert restored.apply(lifted)
    assert not restored.apply(lifted)
    assert restored.held_by_key == {}


def test_a_snapshot_without_held_requests_is_restored(state):
    before = codec.Codec((routing_state.RoutingVersion,)).pack(state.current)
    restored = routing_state.RoutingState()
    restored.restore(before)
    assert restored.current.version == 5


def test_the_number_of_held_requests_is_bounded(state):
    for number in range(routing_state.MAX_HELD + 5):
        held = routing_state.HeldRequest(f"k-{number}", ())
        state.apply(routing_state.pack_held(held))
    assert len(state.held_by_key) == routing_state.MAX_HELD
    assert "k-4" not in state.held_by_key


def test_many_held_requests_evict_no_held_part(state):
    part = crash_subject.part_key("engines", "guilty")
    for key in (part, *(f"k-{number}" for number in range(routing_state.MAX_HELD + 5))):
        state.apply(routing_state.pack_held(routing_state.HeldRequest(key, ())))
    assert len(state.held_by_key) == routing_state.MAX_HELD
    assert part in state.held_by_key


def test_a_higher_version_is_in_force_and_survives_a_snapshot(state):
    assert state.apply(routing_state.pack(9, b"nine"))
    restored = routing_state.RoutingState()
    restored.restore(state.snapshot())
    assert (restored.current.version, restored.current.body) == (9, b"nine")
    assert not restored.apply(routing_state.pack(8, b"eight"))
