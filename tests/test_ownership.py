"""Test that rankings carried over from view to view equal those made from nothing."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from medlarfork import member
from medlarfork.pool import ownership
from tests import entry_world

DECLARED = entry_world.declared()
POOLS = ("lm/0", "desk/0")


def view_of(names):
    return member.View((1, 1), tuple(entry_world.member_of(name) for name in sorted(names)))


@given(st.lists(st.sets(st.sampled_from("abcdefgh"), min_size=1), min_size=1, max_size=6))
def test_a_ranking_carried_over_equals_one_made_from_nothing(views):
    carried = None
    for names in views:
        carried = ownership.Ownership("a", DECLARED, view_of(names), carried)
        fresh = ownership.Ownership("a", DECLARED, view_of(names))
        for pool in POOLS:
            assert carried.owners(pool) == fresh.owners(pool)


def test_the_loss_of_a_host_moves_only_what_it_served():
    names = {f"e{number}" for number in range(20)}
    before = ownership.Ownership("e0", DECLARED, view_of(names))
    lost = before.owners("lm/0")[0]
    after = ownership.Ownership("e0", DECLARED, view_of(names - {lost}), before)
    assert after.owners("lm/0")[:2] == before.owners("lm/0")[1:]
    if lost not in before.owners("desk/0"):
        assert after.owners("desk/0") == before.owners("desk/0")
