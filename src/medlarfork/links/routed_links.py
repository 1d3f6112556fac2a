"""List the messages that entry hosts and replicas of a routed deployment exchange over links."""

from __future__ import annotations

from medlarfork.backpressure import signal_messages
from medlarfork.coordination import coordination_messages
from medlarfork.duties import usage_messages
from medlarfork.links import link
from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_messages
from medlarfork.resumption import origin_messages

ENTRY_MESSAGES: tuple[type, ...] = (
    *coordination_messages.COORDINATION_MESSAGES,
    *placement_messages.PLACEMENT_MESSAGES,
    *crash_messages.CRASH_MESSAGES,
    *signal_messages.SIGNAL_MESSAGES,
    *usage_messages.USAGE_MESSAGES,
    *origin_messages.ORIGIN_MESSAGES,
)
"""Every message class that entry hosts exchange with replicas, for the codec of the links. Replicas
add those of the replicated log; importing them would slow down the start of entry hosts."""

LINK_OPTIONS = link.LinkOptions(
    heartbeat_s=0.5,
    idle_timeout_s=1.5,
    reconnect_s=0.1,
    max_reconnect_s=0.5,
    connect_timeout_s=0.5,
    linger_s=0.05,
)
"""Timeouts of the links: a silent connection is closed after 1.5 s, half of the time after which a
replica is considered lost, and connecting is retried twice a second."""
