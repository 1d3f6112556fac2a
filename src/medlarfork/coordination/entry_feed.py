"""Feed entry hosts with the routing and with changes of the view of the upstreams.

Each entry host tells with its status what it holds, so whatever is lost is sent again. Of the
routing, only the newest version is sent, and the next one only after the last was taken or seems
lost: a storm of changes then costs a slow link no more than it can carry.
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
"""How much later a replica that does not lead pushes what an entry host lacks: normally the
leader has done it by then, and every push takes a share of the entry host's link."""


EMPTY_DELAY_S = 0.1
"""The same for an entry host that has no routing at all, in seconds: it serves nobody until then,
and it may not know the leader yet."""


@dataclasses.dataclass(slots=True)
class _Fed:
    """Remember what was sent to one entry host, and since when it lacks something."""

    routing_version: int = 0
    routing_sent_at: float = -1e9
    lacks_since: float = -1.0
    whole_sent_at: float = -1e9


class EntryFeed:
    """Decide what is sent to which entry host; pure.

    Changes are confirmed with the entry hosts' status. Without waiting for that, each status that
    crossed a change brought the whole view, 13 KB with 64 upstreams, from each replica.

    Attributes:
        period_s: How often entry hosts tell their status, in seconds.
    """

    def __init__(self, *, boot: int) -> None:
        """Start with a number that tells this start of the replica from every other."""
        self.period_s = status_period.MIN_PERIOD_S
        self._boot = boot
        self._sequence = 0
        self._confirmable_sequence = 0
        self._pushed: collections.deque[tuple[float, int]] = collections.deque()
        self._fed_by_id: dict[str, _Fed] = {}

    @property
    def _confirm_s(self) -> float:
        return status_period.CONFIRM_PERIODS * self.period_s

    @property
    def _resend_s(self) -> float:
        return status_period.RESEND_PERIODS * self.period_s

    def push_view(
        self, change: upstream_types.ViewChange, entry_ids: Iterable[str], now: float
    ) -> tuple[node.Send, ...]:
        """Send a change of the view to all entry hosts at once."""
        if change.is_empty:
            return ()
        self._sequence += 1
        self._pushed.append((now, self._sequence))
        push = coordination_messages.ViewPush(self._boot, self._sequence, change)
        return tuple(node.Send(entry_id, push) for entry_id in entry_ids)

    def complete_view(
        self,
        entry_id: str,
        status: coordination_messages.EntryStatus,
        whole: Callable[[], upstream_types.ViewChange],
        now: float,
    ) -> tuple[node.Send, ...]:
        """Send the whole view to an entry host that missed a change of it.

        ``whole`` is called only then: hundreds of hosts tell their status, and most miss nothing.
        """
        fed = self._fed_by_id.setdefault(entry_id, _Fed())
        while self._pushed and self._pushed[0][0] <= now - self._confirm_s:
            _, self._confirmable_sequence = self._pushed.popleft()
        is_current = (
            status.view_boot == self._boot and status.view_sequence >= self._confirmable_sequence
        )
        if is_current or now < fed.whole_sent_at + self._resend_s:
            return ()
        fed.whole_sent_at = now
        push = coordination_messages.ViewPush(self._boot, self._sequence, whole())
        return (node.Send(entry_id, push),)

    def push_routing(
        self,
        status_by_id: dict[str, coordination_messages.EntryStatus],
        current: routing_state.RoutingVersion,
        *,
        leads: bool,
        now: float,
    ) -> tuple[Any, ...]:
        """Send the newest routing to the entry hosts that lack it and are ready for it."""
        sends: list[node.Send] = []
        for entry_id, status in status_by_id.items():
            if self._is_due(entry_id, status, current.version, leads=leads, now=now):
                push = coordination_messages.RoutingPush(current.version, current.packed_body)
                sends.append(node.Send(entry_id, push))
        return tuple(sends)

    def forget_missing(self, entry_ids: Iterable[str]) -> None:
        """Drop what is remembered of entry hosts that are not there any more."""
        kept = set(entry_ids)
        for entry_id in tuple(self._fed_by_id):
            if entry_id not in kept:
                del self._fed_by_id[entry_id]

    def _is_due(
        self,
        entry_id: str,
        status: coordination_messages.EntryStatus,
        version: int,
        *,
        leads: bool,
        now: float,
    ) -> bool:
        fed = self._fed_by_id.setdefault(entry_id, _Fed())
        if status.routing_version >= version:
            fed.lacks_since = -1.0
            return False
        if fed.lacks_since < 0:
            fed.lacks_since = now
        delay_s = FOLLOWER_DELAY_S if status.routing_version else EMPTY_DELAY_S
        if not leads and now < fed.lacks_since + delay_s:
            return False
        is_open = fed.routing_version > status.routing_version
        if is_open and now < fed.routing_sent_at + self._resend_s:
            return False
        fed.routing_version = version
        fed.routing_sent_at = now
        return True
