"""Settlements of an entry host's claims, resent until control has recorded them."""

from __future__ import annotations

import collections
from typing import Any

from medlarfork import claim
from medlarfork.entry import _outbox

_MAX_SETTLEMENTS = 10_000
"""Maximum number of unrecorded settlements, and of abandoned claims that are remembered."""

_TIMEOUT_S = 2 * 3600.0
"""How long a settlement is resent, in seconds; longer than an outage of control's quorum.

If a settlement is dropped, its claim counts as running for as long as this host lives.
"""


class ClaimSettlements:
    """Resends settlements, and settles claims granted to requests that have already ended."""

    def __init__(self) -> None:
        """Start with nothing to settle."""
        self._outbox = _outbox.Outbox(limit=_MAX_SETTLEMENTS, timeout_s=_TIMEOUT_S)
        self._abandoned: collections.OrderedDict[Any, None] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of settlements that control has not recorded."""
        return len(self._outbox)

    def put(self, message: claim.ClaimFinish | claim.ClaimAbandon, now: float) -> None:
        """Store a settlement that is sent for the first time now."""
        settled = (message.key, message.holder)
        self._outbox.put(settled, "", message, now)
        if not isinstance(message, claim.ClaimAbandon):
            return
        self._abandoned[settled] = None
        if len(self._abandoned) > _MAX_SETTLEMENTS:
            self._abandoned.popitem(last=False)

    def settle_stray(
        self, reply: claim.ClaimReply, now: float
    ) -> claim.ClaimFinish | claim.ClaimAbandon | None:
        """Return the settlement of a claim granted to a request that has ended, if one is needed.

        Such a grant answers a delayed duplicate of the claim request that reached control after it
        had forgotten the abandoned claim. A claim that this host abandoned was never dispatched and
        is abandoned again; any other request may have run, so its claim is finished.
        """
        settled = (reply.key, reply.holder)
        if reply.verdict is not claim.Verdict.GRANTED or settled in self._outbox:
            return None
        message: claim.ClaimFinish | claim.ClaimAbandon
        message = claim.ClaimFinish(reply.key, reply.holder, None)
        if settled in self._abandoned:
            message = claim.ClaimAbandon(reply.key, reply.holder)
        self.put(message, now)
        return message

    def confirm(self, recorded: claim.ClaimRecorded) -> None:
        """Remove a settlement that control has recorded."""
        self._outbox.confirm((recorded.key, recorded.holder))

    def collect_due(self, now: float) -> tuple[_outbox.PendingMessage, ...]:
        """Return the settlements to resend now."""
        return self._outbox.collect_due(now)

    def earliest(self) -> float:
        """Return when the next settlement is due; infinite if there is none."""
        return self._outbox.earliest()
