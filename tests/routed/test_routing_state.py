"""Commands of the log may come in any order of versions; the highest one is in force."""

import pytest

from medlarfork.coordination import routing_state


@pytest.fixture
def state():
    state = routing_state.RoutingState()
    assert state.apply(routing_state.pack(5, b"five"))
    return state


@pytest.mark.parametrize("version", [3, 5])
def test_a_version_that_is_not_higher_changes_nothing(state, version):
    """Replay two operators whose changes are both in the log, the higher one first."""
    assert not state.apply(routing_state.pack(version, b"other"))
    assert (state.current.version, state.current.body) == (5, b"five")


def test_a_higher_version_is_in_force_and_survives_a_snapshot(state):
    assert state.apply(routing_state.pack(9, b"nine"))
    restored = routing_state.RoutingState()
    restored.restore(state.snapshot())
    assert (restored.current.version, restored.current.body) == (9, b"nine")
    assert not restored.apply(routing_state.pack(8, b"eight"))
