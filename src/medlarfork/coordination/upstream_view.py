"""View of the upstreams on an entry host, merged from the views of the control replicas.

An upstream may take requests while at least one replica lists it and none has seen it leave. So a
replica that restarted and knows few upstreams, or one that is partitioned off, hides none, and an
acknowledged leave that reached any connected replica takes effect. Of two incarnations with one
address or name the later one counts, and of each incarnation its latest announcement.
"""

from __future__ import annotations

from medlarfork.coordination import upstream_types

MAX_LEFT = 10_000
"""Maximum remembered incarnations that left; a day's changes in the largest deployment."""


class UpstreamView:
    """Last known view of each replica. Pure: no I/O, no clock."""

    def __init__(self) -> None:
        """Start empty."""
        self._present_by_replica: dict[str, dict[str, upstream_types.Announcement]] = {}
        self._left: dict[str, None] = {}
        self._by_id: dict[str, upstream_types.Announcement] = {}

    @property
    def by_id(self) -> dict[str, upstream_types.Announcement]:
        """Return the upstreams that may take requests; a new dictionary after each change."""
        return self._by_id

    def apply(self, replica_id: str, change: upstream_types.ViewChange) -> tuple[str, ...]:
        """Apply a replica's change and return the incarnations that may no longer be used.

        A change that another replica already reported has no effect and is cheap: at a start each
        of nine replicas reports the same upstreams.
        """
        present = self._present_by_replica.setdefault(replica_id, {})
        changes_view = (
            (change.is_whole and bool(present))
            or any(self._by_id.get(item.upstream_id) != item for item in change.present)
            or any(item in self._by_id for item in (*change.left, *change.silent))
        )
        if change.is_whole:
            present.clear()
        for announcement in change.present:
            present[announcement.upstream_id] = announcement
        for upstream_id in (*change.left, *change.silent):
            present.pop(upstream_id, None)
        for upstream_id in change.left:
            self._left[upstream_id] = None
        while len(self._left) > MAX_LEFT:
            del self._left[next(iter(self._left))]
        return self._rebuild() if changes_view else ()

    def remove_replica(self, replica_id: str) -> tuple[str, ...]:
        """Remove the view of a lost replica, unless it is the only one."""
        if len(self._present_by_replica) > 1:
            self._present_by_replica.pop(replica_id, None)
        return self._rebuild()

    def _rebuild(self) -> tuple[str, ...]:
        previous = self._by_id
        self._by_id = _without_outdated(self._latest_present())
        return tuple(upstream_id for upstream_id in previous if upstream_id not in self._by_id)

    def _latest_present(self) -> dict[str, upstream_types.Announcement]:
        """Return the latest announcement of each incarnation that is listed and has not left."""
        latest_by_id: dict[str, upstream_types.Announcement] = {}
        for present in self._present_by_replica.values():
            for upstream_id, announcement in present.items():
                latest = latest_by_id.get(upstream_id)
                if latest is None or latest.sequence <= announcement.sequence:
                    latest_by_id[upstream_id] = announcement.with_version_of(latest)
                else:
                    latest_by_id[upstream_id] = latest.with_version_of(announcement)
        for upstream_id in self._left.keys() & latest_by_id.keys():
            del latest_by_id[upstream_id]
        return latest_by_id


def _without_outdated(
    present_by_id: dict[str, upstream_types.Announcement],
) -> dict[str, upstream_types.Announcement]:
    """Remove incarnations that a later one replaced: a replica may not have heard of it."""
    latest_by_identity: dict[tuple[str, str], upstream_types.Announcement] = {}
    for item in present_by_id.values():
        for identity in (("address", item.address), ("name", item.own_name)):
            latest = latest_by_identity.get(identity)
            if latest is None or latest.is_outdated_by(item):
                latest_by_identity[identity] = item
    return {
        upstream_id: item
        for upstream_id, item in present_by_id.items()
        if not item.is_outdated_by(latest_by_identity["address", item.address])
        and not item.is_outdated_by(latest_by_identity["name", item.own_name])
    }
