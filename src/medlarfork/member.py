"""Entry hosts as members, and the view of them that control publishes."""

from __future__ import annotations

import dataclasses
import enum
import functools


class MemberState(enum.StrEnum):
    """Whether an entry host accepts new callers."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Describe one entry host.

    Attributes:
        entry_id: Stable identity.
        incarnation: Increases with each start of the process.
        state: SERVING, or DRAINING before it stops.
        link_address: ``tcp://IP:PORT`` of its link to other processes.
        http_address: ``http://IP:PORT`` for callers and upstreams.
        data_centre: Data centre in which the host runs.
        load: Share of its capacity in use, 0 to 1, for balancing callers.
        is_cut_off: Whether it reaches no upstream.
    """

    entry_id: str
    incarnation: int
    state: MemberState
    link_address: str
    http_address: str
    data_centre: str = ""
    load: float = 0.0
    is_cut_off: bool = False


@dataclasses.dataclass(frozen=True)
class View:
    """The entry hosts that hold a lease; higher versions replace lower ones.

    ``version`` is ordered first by control's term, then by a counter of that term's leader.
    """

    version: tuple[int, int] = (0, 0)
    members: tuple[Member, ...] = ()

    @functools.cached_property
    def member_by_id(self) -> dict[str, Member]:
        """Return the members, keyed by id."""
        return {member.entry_id: member for member in self.members}
