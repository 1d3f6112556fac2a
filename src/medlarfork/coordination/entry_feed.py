"""Distribution of routing versions and upstream view changes to entry hosts.

Each entry host confirms in its status what it holds, so lost messages are resent. Only the newest
version of the routing is sent, and only after the previous one was confirmed or is presumed lost: a
burst of changes costs a slow link no more than it can carry.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

from medlarfork import node
from medlarfork.coordination import (
    coordination_messages,
    routing_state,
    status_period,
    upstream_types,
)

FOLLOWER_DELAY_S = 0.5
"""Delay of a follower before it pushes what an entry host lacks, in seconds: normally the leader
has pushed it by then, and every push takes a share of the entry host's link."""


EMPTY_DELAY_S = 0.1
"""Delay of a follower for an entry host without any routing, in seconds: it serves nobody until
then, and may not know the leader yet."""


@dataclasses.dataclass(slots=True)
class _SentState:
    """What was sent to one entry host, and since when its routing has been outdated."""

    routing_version: int = 0
    routing_sent_at: float = -1e9
    outdated_since: float = -1.0
    view_sent_at: float = -1e9


class EntryFeed:
    """Decides what is sent to each entry host. Pure: no I/O, no clock.

    A change is confirmed by a later status. A status that was sent before the change arrived must
    not count as a loss: each would cause every replica to send the full view, 13 KB with 64
    upstreams.

    Attributes:
        period_s: Interval at which entry hosts send their status, in seconds.
    """

    def __init__(self, *, boot: int) -> None:
        """Start with ``boot``, which is unique to this start of the replica."""
        self.period_s = status_period.MIN_PERIOD_S
        self._boot = boot
        self._sequence = 0
        self._confirmable_sequence = 0
        self._pushed: collections.deque[tuple[float, int]] = collections.deque()
        self._sent_by_id: dict[str, _SentState] = {}

    @property
    def _confirm_s(self) -> float:
        return status_period.CONFIRM_PERIODS * self.period_s

    @property
    def _resend_s(self) -> float:
        return status_period.RESEND_PERIODS * self.period_s

    def push_view(
        self, change: upstream_types.ViewChange, entry_ids: Iterable[str], now: float
    ) -> tuple[node.Send, ...]:
        """Send a view change to all entry hosts."""
        if change.is_empty:
            return ()
        self._sequence += 1
        self._pushed.append((now, self._sequence))
        push = coordination_messages.ViewPush(self._boot, self._sequence, change)
        return tuple(node.Send(entry_id, push) for entry_id in entry_ids)

    def repair_view(
        self,
        entry_id: str,
        status: coordination_messages.EntryStatus,
        full_view: Callable[[], upstream_types.ViewChange],
        now: float,
    ) -> tuple[node.Send, ...]:
        """Send the full view to an entry host that missed a change.

        ``full_view`` is only called then: hundreds of hosts send their status, and most miss
        nothing.
        """
        sent = self._sent_by_id.setdefault(entry_id, _SentState())
        while self._pushed and self._pushed[0][0] <= now - self._confirm_s:
            _, self._confirmable_sequence = self._pushed.popleft()
        is_current = (
            status.view_boot == self._boot and status.view_sequence >= self._confirmable_sequence
        )
        if is_current or now < sent.view_sent_at + self._resend_s:
            return ()
        sent.view_sent_at = now
        push = coordination_messages.ViewPush(self._boot, self._sequence, full_view())
        return (node.Send(entry_id, push),)

    def push_routing(
        self,
        status_by_id: dict[str, coordination_messages.EntryStatus],
        current: routing_state.RoutingVersion,
        *,
        leads: bool,
        now: float,
    ) -> tuple[Any, ...]:
        """Send the newest routing to the entry hosts that are due for it."""
        sends: list[node.Send] = []
        for entry_id, status in status_by_id.items():
            if self._is_due(entry_id, status, current.version, leads=leads, now=now):
                push = coordination_messages.RoutingPush(current.version, current.packed_body)
                sends.append(node.Send(entry_id, push))
        return tuple(sends)

    def remove_missing(self, entry_ids: Iterable[str]) -> None:
        """Remove the state of entry hosts that are not present any more."""
        present = set(entry_ids)
        for entry_id in tuple(self._sent_by_id):
            if entry_id not in present:
                del self._sent_by_id[entry_id]

    def _is_due(
        self,
        entry_id: str,
        status: coordination_messages.EntryStatus,
        version: int,
        *,
        leads: bool,
        now: float,
    ) -> bool:
        sent = self._sent_by_id.setdefault(entry_id, _SentState())
        if status.routing_version >= version:
            sent.outdated_since = -1.0
            return False
        if sent.outdated_since < 0:
            sent.outdated_since = now
        delay_s = FOLLOWER_DELAY_S if status.routing_version else EMPTY_DELAY_S
        if not leads and now < sent.outdated_since + delay_s:
            return False
        is_in_flight = sent.routing_version > status.routing_version
        if is_in_flight and now < sent.routing_sent_at + self._resend_s:
            return False
        sent.routing_version = version
        sent.routing_sent_at = now
        return True
