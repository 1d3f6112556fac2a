"""Application of view deltas, the changes of entry hosts between two views."""

from __future__ import annotations

import dataclasses

from medlarfork import heartbeat, member


def apply(base: member.View, delta: heartbeat.ViewDelta) -> member.View | None:
    """Return the base view with the delta applied; None if the delta does not match the base."""
    if delta.base_version != base.version or delta.version <= base.version:
        return None
    member_by_id = dict(base.member_by_id)
    for entry_id in delta.removed:
        member_by_id.pop(entry_id, None)
    for changed in delta.changed:
        member_by_id[changed.entry_id] = changed
    if not delta.load_by_id.keys() <= member_by_id.keys():
        return None
    for entry_id, load in delta.load_by_id.items():
        member_by_id[entry_id] = dataclasses.replace(member_by_id[entry_id], load=load)
    if len(member_by_id) != delta.member_count:
        return None
    return member.View(delta.version, tuple(member_by_id[key] for key in sorted(member_by_id)))
