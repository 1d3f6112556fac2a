"""Test that rankings derived from the previous view equal those computed from scratch."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from medlarfork import member
from medlarfork.pool import ownership
from tests import entry_harness

DECLARED = entry_harness.declared()
POOLS = ("lm/0", "desk/0")


def view_of(names):
    return member.View((1, 1), tuple(entry_harness.member_of(name) for name in sorted(names)))


@given(st.lists(st.sets(st.sampled_from("abcdefgh"), min_size=1), min_size=1, max_size=6))
def test_an_incremental_ranking_equals_one_computed_from_scratch(views):
    incremental = None
    for names in views:
        incremental = ownership.Ownership("a", DECLARED, view_of(names), incremental)
        fresh = ownership.Ownership("a", DECLARED, view_of(names))
        for pool in POOLS:
            assert incremental.owners(pool) == fresh.owners(pool)


def test_the_loss_of_a_host_changes_only_the_rankings_that_included_it():
    names = {f"e{number}" for number in range(20)}
    before = ownership.Ownership("e0", DECLARED, view_of(names))
    lost = before.owners("lm/0")[0]
    after = ownership.Ownership("e0", DECLARED, view_of(names - {lost}), before)
    assert after.owners("lm/0")[:2] == before.owners("lm/0")[1:]
    if lost not in before.owners("desk/0"):
        assert after.owners("desk/0") == before.owners("desk/0")
