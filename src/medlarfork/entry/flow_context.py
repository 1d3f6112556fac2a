"""Interface of the entry host that a request's flow uses."""

from __future__ import annotations

from typing import Protocol

from medlarfork.entry import entry_options


class FlowContext(Protocol):
    """What a flow reads from its entry host."""

    options: entry_options.EntryNodeOptions

    def choose_pool(self, service: str, now: float) -> str:
        """Return one of the service's pools; an empty string if it has none any more."""
        ...

    def owners(self, pool: str) -> tuple[str, ...]:
        """Return the entry hosts to send tickets to, owner first; none if the pool is gone."""
        ...

    def spend_retry(self, service: str) -> bool:
        """Take one retry from the service's budget; return whether there was one."""
        ...

    def holds_lease(self, now: float) -> bool:
        """Return whether this host's lease is certain to be valid at control."""
        ...
