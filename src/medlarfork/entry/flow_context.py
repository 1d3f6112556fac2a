"""Define what a request's flow has to know of the entry host around it."""

from __future__ import annotations

from typing import Protocol

from medlarfork.entry import entry_options


class FlowContext(Protocol):
    """Tell a request what it has to know of the entry host around it."""

    options: entry_options.EntryNodeOptions

    def choose_pool(self, service: str, now: float) -> str:
        """Return one of the service's pools, or an empty text if it has none any more."""
        ...

    def owners(self, pool: str) -> tuple[str, ...]:
        """Return the entry hosts to ask, best first; none if the pool no longer exists."""
        ...

    def spend_retry(self, service: str) -> bool:
        """Take one retry of the service's budget."""
        ...

    def holds_lease(self, now: float) -> bool:
        """Return whether control can't have given this host up as lost."""
        ...
