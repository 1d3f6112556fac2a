"""Track which entry hosts hold a lease, in the memory of the leader, and publish views of them."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable

from medlarfork import heartbeat, member

_LOST_KEPT_S = 600.0
"""How long a lost entry host is named in answers about revisions in force, in seconds."""

_LOST_LIMIT = 1_000
"""Most lost entry hosts, and most incarnations that left, that are remembered."""

_HOLD_OFF_S = 0.1
"""Shortest time between two views, in seconds."""

_HOLD_OFF_PER_MEMBER_S = 0.005
"""What each member adds to the time between views: every view goes to every member."""

_HOLD_OFF_PER_CHANGE_S = 0.04
"""Shortest time to the next view for each member that joined or changed, in seconds.

A member takes about 180 bytes in a delta, so a host that follows gets at most 4.5 KB of them a
second, however many members come and go.
"""

_LOAD_STEP = 0.1
"""Change of a member's load that is worth telling."""

_LOAD_PERIOD_S = 5.0
"""Shortest time between two views with new loads, in seconds."""

_LOADS_PER_VIEW = 50
"""Most new loads in one view; a load takes about 20 bytes in a delta."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLease:
    """Hold one entry host's lease.

    Attributes:
        member: The entry host.
        expires_at: Monotonic time at which it ends unless it is renewed, in seconds.
        number: Number of the last heartbeat.
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
    """Remember an entry host that lost its lease without saying that it leaves."""

    entry_id: str
    revision: int
    lost_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """Hold a view with its difference from the one before.

    Attributes:
        moved_ids: Members whose load is new.
    """

    view: member.View
    joined: tuple[member.Member, ...]
    left: tuple[member.Member, ...]
    moved_ids: tuple[str, ...] = ()


class MemberLeases:
    """Renew and expire the leases of entry hosts for one term of one leader."""

    def __init__(self, term: int, known: Iterable[member.Member], now: float) -> None:
        """Begin a term; members known from the log get a full lease to be heard in."""
        self._term = term
        self._led_since = now
        expires_at = now + heartbeat.MEMBER_LEASE_S
        # All leases are equally long, so moving a renewed one to the end keeps them in order.
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
        """Return the leases, those that end first before the others."""
        return tuple(self._lease_by_id.values())

    @property
    def lost(self) -> tuple[LostLease, ...]:
        """Return the entry hosts that lost their lease lately."""
        return tuple(self._lost_by_id.values())

    def renew(self, beat: heartbeat.Heartbeat, now: float) -> bool:
        """Renew the sender's lease; return False if the heartbeat is out of date."""
        sender = beat.member
        lease = self._lease_by_id.get(sender.entry_id)
        if self._is_stale(beat, lease):
            return False
        if beat.leaving:
            self._leave(sender)
            return True
        self._lost_by_id.pop(sender.entry_id, None)
        self._lease_by_id[sender.entry_id] = MemberLease(
            sender, now + heartbeat.MEMBER_LEASE_S, beat.number, beat.revision
        )
        self._lease_by_id.move_to_end(sender.entry_id)
        if differs(lease and lease.member, sender):
            self._membership_changed = True
        published = self._view.member_by_id.get(sender.entry_id)
        if published is not None and abs(published.load - sender.load) >= _LOAD_STEP:
            self._load_changed = True
        return True

    def expire(self, now: float) -> None:
        """End the leases that were not renewed in time."""
        while self._lease_by_id:
            entry_id, lease = next(iter(self._lease_by_id.items()))
            if lease.expires_at > now:
                break
            del self._lease_by_id[entry_id]
            self._membership_changed = True
            self._lost_by_id[entry_id] = LostLease(entry_id, lease.revision, now)
        while self._lost_by_id:
            entry_id, lost = next(iter(self._lost_by_id.items()))
            if len(self._lost_by_id) <= _LOST_LIMIT and lost.lost_at + _LOST_KEPT_S > now:
                break
            del self._lost_by_id[entry_id]

    def extend(self, now: float) -> None:
        """Give every member a full lease: heartbeats may have been missed on this side."""
        self._led_since = now
        for entry_id, lease in self._lease_by_id.items():
            expires_at = now + heartbeat.MEMBER_LEASE_S
            self._lease_by_id[entry_id] = dataclasses.replace(lease, expires_at=expires_at)

    def is_lost(self, entry_id: str, incarnation: int, now: float) -> bool:
        """Return whether an incarnation of an entry host is known to be gone."""
        lease = self._lease_by_id.get(entry_id)
        if lease is not None:
            return lease.member.incarnation > incarnation
        # A member that was never noted in the log has had no time to be heard before that.
        return now >= self._led_since + heartbeat.MEMBER_LEASE_S

    def publish(self, now: float) -> Publication | None:
        """Return a new view if one is due."""
        if now < self._publish_at():
            return None
        moved_ids = self._take_moved(now)
        if not self._membership_changed and not moved_ids:
            return None
        before = self._view
        members = tuple(self._shown(item, moved_ids) for item in self._members())
        self._view = member.View((self._term, before.version[1] + 1), members)
        self._membership_changed = False
        self._published_at = now
        published = _publication(before, self._view, moved_ids)
        self._published_changes = len(published.joined)
        return published

    def next_time(self) -> float:
        """Return when ``expire`` or ``publish`` has something to do; infinity if never."""
        publish_at = self._publish_at()
        if not self._lease_by_id:
            return publish_at
        return min(publish_at, next(iter(self._lease_by_id.values())).expires_at)

    def _publish_at(self) -> float:
        hold_off_s = max(
            _HOLD_OFF_S + len(self._lease_by_id) * _HOLD_OFF_PER_MEMBER_S,
            self._published_changes * _HOLD_OFF_PER_CHANGE_S,
        )
        free_at = self._published_at + hold_off_s
        if self._membership_changed:
            return free_at
        if self._load_changed:
            return max(free_at, self._loads_published_at + _LOAD_PERIOD_S)
        return math.inf

    def _take_moved(self, now: float) -> tuple[str, ...]:
        """Return the members whose load is told now: none until the period is over."""
        if not self._load_changed or now < self._loads_published_at + _LOAD_PERIOD_S:
            return ()
        move_by_id = {
            item.entry_id: abs(item.load - self._lease_by_id[item.entry_id].member.load)
            for item in self._view.members
            if item.entry_id in self._lease_by_id
        }
        worth = [entry_id for entry_id, move in move_by_id.items() if move >= _LOAD_STEP]
        worth.sort(key=move_by_id.__getitem__, reverse=True)
        # Those that are left out for now are noted again with their next heartbeat.
        self._load_changed = False
        if worth:
            self._loads_published_at = now
        return tuple(worth[:_LOADS_PER_VIEW])

    def _shown(self, current: member.Member, moved_ids: tuple[str, ...]) -> member.Member:
        """Return how the next view describes a member; its load only if that is told now."""
        before = self._view.member_by_id.get(current.entry_id)
        if before is None or differs(before, current) or current.entry_id in moved_ids:
            return current
        return before

    def _is_stale(self, beat: heartbeat.Heartbeat, lease: MemberLease | None) -> bool:
        incarnation = beat.member.incarnation
        if incarnation <= self._departed_by_id.get(beat.member.entry_id, -1):
            return True
        if lease is None or incarnation > lease.member.incarnation:
            return False
        return incarnation < lease.member.incarnation or beat.number <= lease.number

    def _leave(self, sender: member.Member) -> None:
        self._departed_by_id[sender.entry_id] = sender.incarnation
        self._departed_by_id.move_to_end(sender.entry_id)
        if len(self._departed_by_id) > _LOST_LIMIT:
            self._departed_by_id.popitem(last=False)
        if self._lease_by_id.pop(sender.entry_id, None) is not None:
            self._membership_changed = True

    def _members(self) -> list[member.Member]:
        leases = self._lease_by_id.values()
        return sorted((lease.member for lease in leases), key=lambda item: item.entry_id)


def differs(old: member.Member | None, new: member.Member) -> bool:
    """Return whether a member is new or changed in more than its load."""
    if old is None:
        return True
    return old != new and dataclasses.replace(old, load=new.load) != new


def _publication(
    before: member.View, after: member.View, moved_ids: tuple[str, ...]
) -> Publication:
    joined = tuple(
        item for item in after.members if differs(before.member_by_id.get(item.entry_id), item)
    )
    left = tuple(item for item in before.members if item.entry_id not in after.member_by_id)
    return Publication(after, joined, left, moved_ids)
