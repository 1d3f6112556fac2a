"""Compute the membership that results from a requested change."""

from __future__ import annotations

from medlarfork.replica import _replica_records, replica_types

UNSEEN_DISK_ID = 0
"""Represents the disk of a replica that was added but has not been heard from yet."""


def changed(
    membership: _replica_records.Membership, event: replica_types.ChangeVoters
) -> _replica_records.Membership | None:
    """Return the membership after the change, or None if the change is invalid."""
    if bool(event.add) == bool(event.remove):
        return None
    if event.add:
        if membership.member(event.add) is not None:
            return None
        return membership.with_learner(_replica_records.Member(event.add, UNSEEN_DISK_ID))
    if membership.member(event.remove) is None:
        return None
    smaller = membership.without(event.remove)
    return smaller if smaller.voters else None
