"""Load reports of replicas to the leader, the input of engine scaling."""

from __future__ import annotations

import dataclasses

from medlarfork.placement import placement_messages


@dataclasses.dataclass(frozen=True, slots=True)
class LoadTold:
    """Offered load of a replica, reported to the leader several times per second.

    Attributes:
        boot: Identifies the start of the replica; sums restart at zero with each.
        loads: Sums for each service that has engines.
    """

    boot: int
    loads: tuple[placement_messages.ServiceLoad, ...]


ENGINE_MESSAGES: tuple[type, ...] = (LoadTold,)
"""All message classes of this module, for the codec of the links."""
