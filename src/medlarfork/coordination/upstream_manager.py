"""Upstream announcements and leaves on one replica, and their gossip to the others.

An entry host that is in contact with the control plane receives messages of every replica that can
reach a majority. So a leave is acknowledged once a majority of the replicas has applied it and
forwarded it to entry hosts. A replica that is partitioned off acknowledges none, and the upstream
tries another one.
"""

from __future__ import annotations

import dataclasses
import math
from typing import Any

from medlarfork import node
from medlarfork.coordination import (
    coordination_messages,
    coordinator_types,
    upstream_registry,
    upstream_types,
)

PARTITION_GRACE_S = 10.0
"""Additional silence that is allowed to upstreams while a replica is missing, in seconds: upstreams
continue to announce themselves to it, and partitions between replicas last some seconds. Without it
an owner of placement drops all upstreams that announce themselves on the other side of a partition.
An upstream that is really down costs a few requests, which are retried elsewhere."""

REFRESH_PERIOD_S = 0.5
"""Minimum interval between two messages to another replica that only refresh known upstreams, in
seconds: half of the minimum announcement period, of which three and a half may be missed. The
volume of these messages grows with replicas times upstreams."""

LEAVE_TIMEOUT_S = 0.8
"""How long a leave may wait for a majority, in seconds; upstreams time out after one second."""


@dataclasses.dataclass(slots=True)
class _PendingLeave:
    operation_id: int
    deadline: float
    needed: int
    receipts: set[str]


class UpstreamManager:
    """Applies announcements to the registry and forwards them. Pure: no I/O, no clock."""

    def __init__(self, registry: upstream_registry.UpstreamRegistry) -> None:
        """Use a registry."""
        self._registry = registry
        self._refreshed: dict[str, upstream_types.Announcement] = {}
        self._leave_by_token: dict[int, _PendingLeave] = {}
        self._tokens = 0
        self._refresh_due = -math.inf
        self._change = upstream_types.ViewChange()

    @property
    def has_change(self) -> bool:
        """Return whether anything changed since ``take_change``."""
        return not self._change.is_empty

    @property
    def has_leave(self) -> bool:
        """Return whether an upstream left since ``take_change``."""
        return bool(self._change.left)

    def take_change(self) -> upstream_types.ViewChange:
        """Return the view change since the last call, to be pushed to entry hosts."""
        change, self._change = self._change, upstream_types.ViewChange()
        return change

    def announce(
        self,
        operation_id: int,
        announcement: upstream_types.Announcement,
        peers: tuple[str, ...],
        quorum: int,
        now: float,
    ) -> tuple[Any, ...]:
        """Handle an announcement that an upstream sent to this replica."""
        if self._registry.is_misplaced(announcement):
            return (coordinator_types.OperationDone(operation_id, coordinator_types.Accepted()),)
        if announcement.is_leaving:
            return self.withdraw(operation_id, announcement.upstream_id, peers, quorum, now)
        change = self._registry.announce(announcement, now)
        self._merge_change(change)
        done = coordinator_types.OperationDone(operation_id, coordinator_types.Accepted())
        if change.is_empty:
            self._refreshed[announcement.upstream_id] = announcement
            return (done,)
        gossip = coordination_messages.UpstreamGossip((announcement,), change.left)
        return (*_to_all(peers, gossip), done)

    def withdraw(
        self, operation_id: int, upstream_id: str, peers: tuple[str, ...], quorum: int, now: float
    ) -> tuple[Any, ...]:
        """Handle a leave; the reply waits for a majority."""
        self._merge_change(self._registry.withdraw(upstream_id, now))
        if quorum <= 1:
            return (coordinator_types.OperationDone(operation_id, coordinator_types.Accepted()),)
        self._tokens += 1
        self._leave_by_token[self._tokens] = _PendingLeave(
            operation_id, now + LEAVE_TIMEOUT_S, quorum - 1, set()
        )
        gossip = coordination_messages.UpstreamGossip((), (upstream_id,), self._tokens)
        return _to_all(peers, gossip)

    def mark_leaving(self, upstream_ids: tuple[str, ...], now: float) -> None:
        """Withdraw upstreams that are leaving according to their responses to entry hosts."""
        for upstream_id in upstream_ids:
            self._merge_change(self._registry.withdraw(upstream_id, now))

    def on_gossip(
        self, sender: str, gossip: coordination_messages.UpstreamGossip, now: float
    ) -> tuple[Any, ...]:
        """Apply announcements and leaves that another replica received."""
        for upstream_id in gossip.left:
            self._merge_change(self._registry.withdraw(upstream_id, now))
        for announcement in gossip.heard:
            self._merge_change(self._registry.announce(announcement, now))
        if gossip.token == 0:
            return ()
        return (node.Send(sender, coordination_messages.GossipReceipt(gossip.token)),)

    def on_receipt(
        self, sender: str, receipt: coordination_messages.GossipReceipt
    ) -> tuple[Any, ...]:
        """Acknowledge a leave once a majority has confirmed it."""
        leave = self._leave_by_token.get(receipt.token)
        if leave is None:
            return ()
        leave.receipts.add(sender)
        if len(leave.receipts) < leave.needed:
            return ()
        del self._leave_by_token[receipt.token]
        return (coordinator_types.OperationDone(leave.operation_id, coordinator_types.Accepted()),)

    def full_gossip(self) -> coordination_messages.UpstreamGossip:
        """Return all known upstreams, for a replica that has just started."""
        view = self._registry.full_view()
        return coordination_messages.UpstreamGossip(view.present, view.left, is_whole=True)

    def on_tick(
        self, peers: tuple[str, ...], now: float, *, has_silent_peer: bool = False
    ) -> tuple[Any, ...]:
        """Forward refreshing announcements, drop silent upstreams, and time out leaves.

        Args:
            peers: The other replicas.
            now: The time in seconds.
            has_silent_peer: Whether one of them fell silent recently.
        """
        actions: list[Any] = []
        if self._refreshed and now >= self._refresh_due:
            self._refresh_due = now + REFRESH_PERIOD_S
            heard = tuple(self._refreshed.values())
            self._refreshed = {}
            actions += _to_all(peers, coordination_messages.UpstreamGossip(heard, ()))
        extra_silence_s = PARTITION_GRACE_S if has_silent_peer else 0.0
        self._merge_change(self._registry.mark_silent(now, extra_silence_s=extra_silence_s))
        for token, leave in tuple(self._leave_by_token.items()):
            if leave.deadline <= now:
                del self._leave_by_token[token]
                reply = coordinator_types.Unavailable(
                    "No majority of replicas confirmed the leave."
                )
                actions.append(coordinator_types.OperationDone(leave.operation_id, reply))
        return tuple(actions)

    def _merge_change(self, change: upstream_types.ViewChange) -> None:
        """Merge a change into the pending one; newer entries replace older ones."""
        if change.is_empty:
            return
        changed = {announcement.upstream_id for announcement in change.present}
        withdrawn = {*change.left, *change.silent}
        earlier = self._change
        self._change = upstream_types.ViewChange(
            present=tuple(
                announcement
                for announcement in earlier.present
                if announcement.upstream_id not in changed | withdrawn
            )
            + change.present,
            left=earlier.left + change.left,
            silent=tuple(item for item in earlier.silent if item not in changed) + change.silent,
        )


def _to_all(peers: tuple[str, ...], message: Any) -> tuple[node.Send, ...]:
    return tuple(node.Send(peer, message) for peer in peers)
