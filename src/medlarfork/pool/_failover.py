"""Failover of running tickets from lost upstreams to others."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from medlarfork import ticket, upstream
from medlarfork.pool import _pool_ticket, _upstream_set, pool_options

_RESEND_S = 3.0
"""How long a holder is given to release a ticket before the recall is resent, in seconds."""
_RETURN_GRACE_S = 1.0
"""How long after the end of its lease an upstream may still come back, in seconds."""
_MAX_LOST = 2
"""Lost upstreams kept for one request, the most recent ones."""
_MAX_REQUESTS = 8192
"""Recalled requests kept; the oldest are evicted first."""


class Failover:
    """Recall tickets from lost upstreams, and keep which upstreams a recalled request must avoid.

    Only repeatable tickets are recalled; a slot stays taken until its holder releases it.
    """

    def __init__(self, options: pool_options.PoolOptions) -> None:
        """Start without recalled requests."""
        self._options = options
        self._lost_by_request: collections.OrderedDict[str, tuple[str, ...]]
        self._lost_by_request = collections.OrderedDict()

    def avoided_upstreams(self, item: ticket.Ticket) -> tuple[str, ...]:
        """Return the ticket's own ``avoid`` and the upstreams its request was recalled from."""
        lost = self._lost_by_request.get(_pool_ticket.request_key(item.ticket_id), ())
        return (*item.avoid, *lost) if lost else item.avoid

    def record_end(self, item: ticket.Ticket, cause: ticket.ReleaseCause) -> None:
        """Drop a request, unless its ticket was preempted and is about to be resumed."""
        if self._lost_by_request and cause != ticket.ReleaseCause.PREEMPTED:
            self._lost_by_request.pop(_pool_ticket.request_key(item.ticket_id), None)

    def is_lost(self, known: _upstream_set.Upstream, now: float) -> bool:
        """Return whether an upstream's lease ended a while ago, and not because it is leaving.

        After this process itself was suspended, all leases end at once; the grace period lets the
        upstreams announce themselves again.
        """
        leaving = known.announcement.state == upstream.UpstreamState.LEAVING
        return not known.up and not leaving and now - known.gone_at >= _RETURN_GRACE_S

    def recall(
        self, running: Iterable[_pool_ticket.RunningTicket], now: float
    ) -> list[ticket.Preempt]:
        """Return recalls for the tickets that may be recalled and were not recalled just before."""
        recalls = []
        for held in running:
            if self._may_recall(held, now):
                self._record_recall(held, now)
                item = held.ticket
                recalls.append(
                    ticket.Preempt(item.ticket_id, item.entry_id, item.pool, stalled=True)
                )
        return recalls

    def _may_recall(self, held: _pool_ticket.RunningTicket, now: float) -> bool:
        if not self._options.move_stalled or not held.ticket.repeatable or held.orphaned:
            return False
        return held.recall_requested_at is None or now - held.recall_requested_at >= _RESEND_S

    def _record_recall(self, held: _pool_ticket.RunningTicket, now: float) -> None:
        if held.recall_requested_at is None:
            key = _pool_ticket.request_key(held.ticket.ticket_id)
            lost = self._lost_by_request.pop(key, ())
            self._lost_by_request[key] = (*lost, held.upstream_id)[-_MAX_LOST:]
            if len(self._lost_by_request) > _MAX_REQUESTS:
                self._lost_by_request.popitem(last=False)
        held.recall_requested_at = now
