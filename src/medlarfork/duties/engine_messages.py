"""Define what replicas tell the leader of the load that engines have to carry."""

from __future__ import annotations

import dataclasses

from medlarfork.placement import placement_messages


@dataclasses.dataclass(frozen=True, slots=True)
class LoadTold:
    """Tell the leader what a replica was asked for, several times a second.

    Attributes:
        boot: Names the start of the replica, whose sums begin anew with each.
        loads: The sums of each service with engines.
    """

    boot: int
    loads: tuple[placement_messages.ServiceLoad, ...]


ENGINE_MESSAGES: tuple[type, ...] = (LoadTold,)
"""Every message class of this module, for the codec of the links."""
