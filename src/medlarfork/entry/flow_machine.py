"""State machine of a request, from its claim to its final answer."""

from __future__ import annotations

import dataclasses
from typing import Any

from medlarfork import claim
from medlarfork.entry import (
    _flow_claim,
    _flow_run,
    _flow_stop,
    _flow_wait,
    entry_flow,
    flow_context,
)


class FlowMachine:
    """Applies events to flows; holds no state of its own."""

    def __init__(self, context: flow_context.FlowContext) -> None:
        """Create the machine for the flows of one entry host."""
        self._context = context
        options = context.options
        self._entry_id = options.entry_id
        self._incarnation = options.incarnation

    def start(self, flow: entry_flow.Flow, now: float) -> entry_flow.Step:
        """Start a flow: request the claim if it is not repeatable, else queue it."""
        if flow.request.repeatable:
            return _flow_wait.queue(flow, self._context, self._holder(flow), now)
        flow = dataclasses.replace(flow, claimed=True)
        return _flow_claim.request_claim(flow, self._context, self._holder(flow), now)

    def handle(self, flow: entry_flow.Flow, event: Any, now: float) -> entry_flow.Step:
        """Apply an event; an event that no longer applies to the request is ignored."""
        holder = self._holder(flow)
        match flow.state:
            case entry_flow.Claiming() as state:
                return _flow_claim.handle(flow, state, event, self._context, holder, now)
            case entry_flow.Waiting() as state:
                return _flow_wait.handle(flow, state, event, self._context, holder, now)
            case entry_flow.Running() as state:
                return _flow_run.handle(flow, state, event, self._context, holder, now)
            case entry_flow.Stopping() as state:
                return _flow_stop.handle(flow, state, event, self._context, holder, now)

    def _holder(self, flow: entry_flow.Flow) -> claim.Holder:
        return claim.Holder(self._entry_id, self._incarnation, flow.request.request_id)
