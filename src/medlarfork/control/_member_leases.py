"""Leases of entry hosts, in the leader's memory, and the published views of them."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable

from medlarfork import heartbeat, member

_LOST_RETENTION_S = 600.0
"""How long a lost entry host is listed in replies about revisions in force, in seconds."""

_MAX_REMEMBERED = 1_000
"""Maximum remembered lost entry hosts, and maximum remembered departed incarnations."""

_VIEW_INTERVAL_S = 0.1
"""Minimum interval between two views, in seconds."""

_VIEW_INTERVAL_PER_MEMBER_S = 0.005
"""Additional interval per member, in seconds: every view is sent to every member."""

_VIEW_INTERVAL_PER_CHANGE_S = 0.04
"""Minimum interval per member that joined or changed in the previous view, in seconds.

A member takes about 180 bytes in a delta, so a host that keeps up receives at most 4.5 KB a second,
however many members join and leave.
"""

_MIN_LOAD_CHANGE = 0.1
"""Minimum change of a member's load that is published."""

_LOAD_INTERVAL_S = 5.0
"""Minimum interval between two views with new loads, in seconds."""

_MAX_LOADS_PER_VIEW = 50
"""Maximum new loads in one view; a load takes about 20 bytes in a delta."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLease:
    """Lease of one entry host.

    Attributes:
        member: The entry host.
        expires_at: Monotonic time of expiry unless it is renewed, in seconds.
        number: Number of the last heartbeat; -1 before the first one.
        revision: The revision that the entry host confirmed; -1 before its first heartbeat.
    """

    member: member.Member
    expires_at: float
    number: int = -1
    revision: int = -1

    @property
    def heard(self) -> bool:
        """Return whether the entry host has sent this leader a heartbeat."""
        return self.number >= 0


@dataclasses.dataclass(frozen=True, slots=True)
class LostLease:
    """An entry host whose lease expired without a graceful leave."""

    entry_id: str
    revision: int
    lost_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """A view with its difference from the previous one.

    Attributes:
        load_changed_ids: Members whose load changed.
    """

    view: member.View
    joined: tuple[member.Member, ...]
    left: tuple[member.Member, ...]
    load_changed_ids: tuple[str, ...] = ()


class MemberLeases:
    """Leases of entry hosts during one term of one leader."""

    def __init__(self, term: int, known: Iterable[member.Member], now: float) -> None:
        """Start a term; members known from the log get a full lease to send a heartbeat in."""
        self._term = term
        self._leading_since = now
        expires_at = now + heartbeat.MEMBER_LEASE_S
        # All leases have the same duration, so moving a renewed one to the end keeps them sorted.
        self._lease_by_id = collections.OrderedDict(
            (item.entry_id, MemberLease(item, expires_at)) for item in known
        )
        self._departed_by_id: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._lost_by_id: collections.OrderedDict[str, LostLease] = collections.OrderedDict()
        self._view = member.View((term, 0), tuple(self._members()))
        self._membership_changed = False
        self._load_changed = False
        self._published_at = -math.inf
        self._published_changes = 0
        self._loads_published_at = -math.inf

    @property
    def view(self) -> member.View:
        """Return the last published view."""
        return self._view

    @property
    def leases(self) -> tuple[MemberLease, ...]:
        """Return the leases in the order of their expiry."""
        return tuple(self._lease_by_id.values())

    @property
    def lost(self) -> tuple[LostLease, ...]:
        """Return the entry hosts that recently lost their lease."""
        return tuple(self._lost_by_id.values())

    def renew(self, beat: heartbeat.Heartbeat, now: float) -> bool:
        """Renew the sender's lease; return False if the heartbeat is out of date."""
        sender = beat.member
        lease = self._lease_by_id.get(sender.entry_id)
        if self._is_stale(beat, lease):
            return False
        if beat.leaving:
            self._remove_departed(sender)
            return True
        self._lost_by_id.pop(sender.entry_id, None)
        self._lease_by_id[sender.entry_id] = MemberLease(
            sender, now + heartbeat.MEMBER_LEASE_S, beat.number, beat.revision
        )
        self._lease_by_id.move_to_end(sender.entry_id)
        if differs(lease and lease.member, sender):
            self._membership_changed = True
        published = self._view.member_by_id.get(sender.entry_id)
        if published is not None and abs(published.load - sender.load) >= _MIN_LOAD_CHANGE:
            self._load_changed = True
        return True

    def expire(self, now: float) -> None:
        """Expire the leases that were not renewed in time."""
        while self._lease_by_id:
            entry_id, lease = next(iter(self._lease_by_id.items()))
            if lease.expires_at > now:
                break
            del self._lease_by_id[entry_id]
            self._membership_changed = True
            self._lost_by_id[entry_id] = LostLease(entry_id, lease.revision, now)
        while self._lost_by_id:
            entry_id, lost = next(iter(self._lost_by_id.items()))
            if len(self._lost_by_id) <= _MAX_REMEMBERED and lost.lost_at + _LOST_RETENTION_S > now:
                break
            del self._lost_by_id[entry_id]

    def extend(self, now: float) -> None:
        """Give every member a full lease, since heartbeats may have been missed by this leader."""
        self._leading_since = now
        for entry_id, lease in self._lease_by_id.items():
            expires_at = now + heartbeat.MEMBER_LEASE_S
            self._lease_by_id[entry_id] = dataclasses.replace(lease, expires_at=expires_at)

    def is_lost(self, entry_id: str, incarnation: int, now: float) -> bool:
        """Return whether an incarnation of an entry host is known to be gone."""
        lease = self._lease_by_id.get(entry_id)
        if lease is not None:
            return lease.member.incarnation > incarnation
        # Before that, a member that is not in the log may not have had time for a heartbeat.
        return now >= self._leading_since + heartbeat.MEMBER_LEASE_S

    def publish(self, now: float) -> Publication | None:
        """Return a new view if one is due."""
        if now < self._publish_due():
            return None
        load_changed_ids = self._take_due_loads(now)
        if not self._membership_changed and not load_changed_ids:
            return None
        before = self._view
        members = tuple(self._published_form(item, load_changed_ids) for item in self._members())
        self._view = member.View((self._term, before.version[1] + 1), members)
        self._membership_changed = False
        self._published_at = now
        published = _publication(before, self._view, load_changed_ids)
        self._published_changes = len(published.joined)
        return published

    def next_due(self) -> float:
        """Return when ``expire`` or ``publish`` is due next; infinity if never."""
        publish_due = self._publish_due()
        if not self._lease_by_id:
            return publish_due
        return min(publish_due, next(iter(self._lease_by_id.values())).expires_at)

    def _publish_due(self) -> float:
        interval_s = max(
            _VIEW_INTERVAL_S + len(self._lease_by_id) * _VIEW_INTERVAL_PER_MEMBER_S,
            self._published_changes * _VIEW_INTERVAL_PER_CHANGE_S,
        )
        free_at = self._published_at + interval_s
        if self._membership_changed:
            return free_at
        if self._load_changed:
            return max(free_at, self._loads_published_at + _LOAD_INTERVAL_S)
        return math.inf

    def _take_due_loads(self, now: float) -> tuple[str, ...]:
        """Return the members whose load is to be published now; none within the interval."""
        if not self._load_changed or now < self._loads_published_at + _LOAD_INTERVAL_S:
            return ()
        load_change_by_id = {
            item.entry_id: abs(item.load - self._lease_by_id[item.entry_id].member.load)
            for item in self._view.members
            if item.entry_id in self._lease_by_id
        }
        due = [
            entry_id for entry_id, change in load_change_by_id.items() if change >= _MIN_LOAD_CHANGE
        ]
        due.sort(key=load_change_by_id.__getitem__, reverse=True)
        # Members that don't fit are picked up again with their next heartbeat.
        self._load_changed = False
        if due:
            self._loads_published_at = now
        return tuple(due[:_MAX_LOADS_PER_VIEW])

    def _published_form(
        self, current: member.Member, load_changed_ids: tuple[str, ...]
    ) -> member.Member:
        """Return a member as the next view shows it; with a new load only if that is due."""
        before = self._view.member_by_id.get(current.entry_id)
        if before is None or differs(before, current) or current.entry_id in load_changed_ids:
            return current
        return before

    def _is_stale(self, beat: heartbeat.Heartbeat, lease: MemberLease | None) -> bool:
        incarnation = beat.member.incarnation
        if incarnation <= self._departed_by_id.get(beat.member.entry_id, -1):
            return True
        if lease is None or incarnation > lease.member.incarnation:
            return False
        return incarnation < lease.member.incarnation or beat.number <= lease.number

    def _remove_departed(self, sender: member.Member) -> None:
        self._departed_by_id[sender.entry_id] = sender.incarnation
        self._departed_by_id.move_to_end(sender.entry_id)
        if len(self._departed_by_id) > _MAX_REMEMBERED:
            self._departed_by_id.popitem(last=False)
        if self._lease_by_id.pop(sender.entry_id, None) is not None:
            self._membership_changed = True

    def _members(self) -> list[member.Member]:
        leases = self._lease_by_id.values()
        return sorted((lease.member for lease in leases), key=lambda item: item.entry_id)


def differs(old: member.Member | None, new: member.Member) -> bool:
    """Return whether a member is new or changed in anything but its load."""
    if old is None:
        return True
    return old != new and dataclasses.replace(old, load=new.load) != new


def _publication(
    before: member.View, after: member.View, load_changed_ids: tuple[str, ...]
) -> Publication:
    joined = tuple(
        item for item in after.members if differs(before.member_by_id.get(item.entry_id), item)
    )
    left = tuple(item for item in before.members if item.entry_id not in after.member_by_id)
    return Publication(after, joined, left, load_changed_ids)
