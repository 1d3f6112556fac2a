"""Tell control what became of an entry host's claims, until it has recorded it."""

from __future__ import annotations

import collections
from typing import Any

from medlarfork import claim
from medlarfork.entry import _outbox

_MAX_SETTLEMENTS = 10_000
"""Most settlements that are not recorded, and most abandoned claims remembered."""

_TIMEOUT_S = 2 * 3600.0
"""How long a settlement is sent again, in seconds: longer than control loses its quorum for.

A settlement that is given up leaves its claim running for as long as this host lives.
"""


class ClaimSettlements:
    """Resend settlements, and settle claims that are granted when nobody waits for them."""

    def __init__(self) -> None:
        """Start with nothing to settle."""
        self._outbox = _outbox.Outbox(limit=_MAX_SETTLEMENTS, timeout_s=_TIMEOUT_S)
        self._abandoned: collections.OrderedDict[Any, None] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of settlements that are not recorded."""
        return len(self._outbox)

    def put(self, message: claim.ClaimFinish | claim.ClaimAbandon, now: float) -> None:
        """Keep a settlement that is sent for the first time now."""
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
        """Return what to send for a claim granted to a request that has ended, if anything.

        A late copy of the claim request brought it about, after control had forgotten that the
        claim was given back. Only what is known to have been given back was never dispatched; of
        anything else no more may be said than that it may have run.
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
        """Forget a settlement that control has recorded."""
        self._outbox.confirm((recorded.key, recorded.holder))

    def collect_due(self, now: float) -> tuple[_outbox.PendingMessage, ...]:
        """Return the settlements to send again now."""
        return self._outbox.collect_due(now)

    def earliest(self) -> float:
        """Return when the next settlement is due; infinite if there is none."""
        return self._outbox.earliest()
