"""Ask for running tickets back from upstreams that are gone."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from medlarfork import ticket, upstream
from medlarfork.pool import _pool_ticket, _upstream_set, pool_options

_ASK_AGAIN_S = 3.0
"""How long a holder is given to let go of a ticket before it is asked again, in seconds."""
_GONE_S = 1.0
"""How long after the end of its lease an upstream may still come back, in seconds."""
_MAX_LEFT = 2
"""Upstreams remembered for one request; the latest stay."""
_MAX_REQUESTS = 8192
"""Moved requests remembered; the oldest go first."""


class Failover:
    """Judge which upstreams are lost and remember which of them a moved request came from.

    Only repeatable tickets are asked for; the slot stays taken until its holder releases it.
    """

    def __init__(self, options: pool_options.PoolOptions) -> None:
        """Create a memory of no moves."""
        self._options = options
        self._left_by_request: collections.OrderedDict[str, tuple[str, ...]]
        self._left_by_request = collections.OrderedDict()

    def avoid(self, item: ticket.Ticket) -> tuple[str, ...]:
        """Return the upstreams that the ticket's request was taken away from, and its own."""
        left = self._left_by_request.get(_pool_ticket.request_key(item.ticket_id), ())
        return (*item.avoid, *left) if left else item.avoid

    def ended(self, item: ticket.Ticket, cause: ticket.ReleaseCause) -> None:
        """Forget a request that does not come back."""
        if self._left_by_request and cause != ticket.ReleaseCause.PREEMPTED:
            self._left_by_request.pop(_pool_ticket.request_key(item.ticket_id), None)

    def is_lost(self, known: _upstream_set.Upstream, now: float) -> bool:
        """Return whether an upstream's lease ended a while ago, and not because it leaves.

        After a pause of this very process all leases end at once; the pause that follows lets
        the upstreams announce themselves again.
        """
        leaving = known.announcement.state == upstream.UpstreamState.LEAVING
        return not known.up and not leaving and now - known.gone_at >= _GONE_S

    def ask(
        self, running: Iterable[_pool_ticket.RunningTicket], now: float
    ) -> list[ticket.Preempt]:
        """Ask for tickets back whose holders have not been asked a moment ago."""
        asked = []
        for held in running:
            if self._is_askable(held, now):
                self._note(held, now)
                item = held.ticket
                asked.append(ticket.Preempt(item.ticket_id, item.entry_id, item.pool, stalled=True))
        return asked

    def _is_askable(self, held: _pool_ticket.RunningTicket, now: float) -> bool:
        if not self._options.move_stalled or not held.ticket.repeatable or held.orphaned:
            return False
        return held.stalled_at is None or now - held.stalled_at >= _ASK_AGAIN_S

    def _note(self, held: _pool_ticket.RunningTicket, now: float) -> None:
        if held.stalled_at is None:
            key = _pool_ticket.request_key(held.ticket.ticket_id)
            left = self._left_by_request.pop(key, ())
            self._left_by_request[key] = (*left, held.upstream_id)[-_MAX_LEFT:]
            if len(self._left_by_request) > _MAX_REQUESTS:
                self._left_by_request.popitem(last=False)
        held.stalled_at = now
