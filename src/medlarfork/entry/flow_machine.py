"""Take one request from its claim to its final answer."""

from __future__ import annotations

import dataclasses
from typing import Any, Protocol

from medlarfork import claim
from medlarfork.entry import (
    _flow_claim,
    _flow_run,
    _flow_stop,
    _flow_wait,
    entry_flow,
    entry_options,
)


class Surroundings(Protocol):
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


class FlowMachine:
    """Apply events to flows; keeps nothing of its own."""

    def __init__(self, surroundings: Surroundings) -> None:
        """Work within the surroundings."""
        self._around = surroundings
        options = surroundings.options
        self._entry_id = options.entry_id
        self._incarnation = options.incarnation

    def begin(self, flow: entry_flow.Flow, now: float) -> entry_flow.Step:
        """Claim a not-repeatable request first; queue any other."""
        if flow.asked.repeatable:
            return _flow_wait.queue(flow, self._around, self._holder(flow), now)
        flow = dataclasses.replace(flow, claimed=True)
        return _flow_claim.ask(flow, self._around, self._holder(flow), now)

    def handle(self, flow: entry_flow.Flow, event: Any, now: float) -> entry_flow.Step:
        """Apply one event; events that no longer concern the request change nothing."""
        holder = self._holder(flow)
        match flow.state:
            case entry_flow.Claiming() as state:
                return _flow_claim.handle(flow, state, event, self._around, holder, now)
            case entry_flow.Waiting() as state:
                return _flow_wait.handle(flow, state, event, self._around, holder, now)
            case entry_flow.Running() as state:
                return _flow_run.handle(flow, state, event, self._around, holder, now)
            case entry_flow.Stopping() as state:
                return _flow_stop.handle(flow, state, event, self._around, holder, now)

    def _holder(self, flow: entry_flow.Flow) -> claim.Holder:
        return claim.Holder(self._entry_id, self._incarnation, flow.asked.request_id)
