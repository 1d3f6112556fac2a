"""List the messages that entry hosts and control replicas exchange over links."""

from __future__ import annotations

from medlarfork import claim, codec, heartbeat, ticket
from medlarfork.control import _log_clock
from medlarfork.entry import entry_types
from medlarfork.orders import inventory
from medlarfork.replica import _replica_messages

ENTRY_MESSAGES: tuple[type, ...] = (
    entry_types.UpstreamSeen,
    ticket.Grant,
    ticket.PoolSummary,
    ticket.Preempt,
    ticket.Queued,
    ticket.Release,
    ticket.Released,
    ticket.Running,
    ticket.Shed,
    ticket.Ticket,
    ticket.Withdraw,
)
"""Messages between entry hosts."""

CONTROL_MESSAGES: tuple[type, ...] = (
    claim.ClaimAbandon,
    claim.ClaimFinish,
    claim.ClaimRecorded,
    claim.ClaimReply,
    claim.ClaimRequest,
    heartbeat.Heartbeat,
    heartbeat.HeartbeatReply,
    heartbeat.NotLeader,
    heartbeat.RevisionNotice,
    inventory.InventoryReport,
    inventory.ResendInventory,
)
"""Messages between entry hosts and control replicas."""


def make_codec() -> codec.Codec:
    """Return a codec for every message that may arrive on a link."""
    return codec.Codec(
        (
            *ENTRY_MESSAGES,
            *CONTROL_MESSAGES,
            *_replica_messages.REPLICA_MESSAGES,
            _log_clock.ClockReading,
        )
    )
