"""Know all engines at once: their declarations, who is out of service, who holds what."""

from __future__ import annotations

import collections
import math
from collections.abc import Mapping

from medlarfork import labels
from medlarfork.orders import inventory, order_types, orders


class Fleet:
    """Match engines to declarations, bound those out of service, count copies of weights."""

    def __init__(self, board: orders.OrderBoard, upstreams: inventory.Inventory) -> None:
        """Read a board and an inventory that others change; ``rebuild`` follows declarations."""
        self._board = board
        self._upstreams = upstreams
        self._ranked: list[tuple[order_types.DesiredState, labels.Selector]] = []
        self._members_by_declaration: dict[str, set[str]] = {}
        self._declaration_by_engine: dict[str, str] = {}
        self._weights_by_engine: dict[str, tuple[order_types.LoadedWeights, ...]] = {}
        self._copies: collections.Counter[order_types.LoadedWeights] = collections.Counter()
        self._being_taken_out: set[str] = set()
        self.rebuild()

    @property
    def copies(self) -> Mapping[order_types.LoadedWeights, int]:
        """Return how many engines hold or load each version of weights."""
        return self._copies

    def rebuild(self) -> None:
        """Take over the board's declarations after one was added, replaced or removed."""
        declared = self._board.desired_by_name.values()
        ranked = sorted(declared, key=lambda desired: (-desired.precedence, desired.name))
        self._ranked = [(desired, labels.Selector.parse(desired.selector)) for desired in ranked]

    def desired(self, upstream_id: str) -> order_types.DesiredState | None:
        """Return the declaration that applies to an engine, and count the engine under it."""
        notice = self._upstreams.upstream_by_id.get(upstream_id)
        if notice is None:
            return None
        found = self._find(notice)
        self._assign(upstream_id, "" if found is None else found.name)
        return found

    def record_weights(self, upstream_id: str, held: tuple[order_types.LoadedWeights, ...]) -> None:
        """Count what an engine holds or is about to load."""
        self._copies.subtract(self._weights_by_engine.pop(upstream_id, ()))
        self._copies.update(held)
        self._copies = +self._copies
        if held:
            self._weights_by_engine[upstream_id] = held

    def forget(self, upstream_id: str) -> None:
        """Stop counting an engine that is gone."""
        self.record_weights(upstream_id, ())
        self._assign(upstream_id, "")
        self._being_taken_out.discard(upstream_id)

    def reserve_out_of_service(self, upstream_id: str, desired: order_types.DesiredState) -> bool:
        """Note that an engine is being taken out; return False if too many others are out."""
        out = self._being_taken_out | self._board.out_of_service
        unavailable = sum(1 for other in out if self._may_be_under(other, desired))
        members = len(self._members_by_declaration.get(desired.name, ()))
        if unavailable >= max(1, math.floor(desired.max_unavailable * members)):
            return False
        self._being_taken_out.add(upstream_id)
        return True

    def release_reservation(self, upstream_id: str) -> None:
        """Note that the board answered: whether it is out is on the board now."""
        self._being_taken_out.discard(upstream_id)

    def _may_be_under(self, upstream_id: str, desired: order_types.DesiredState) -> bool:
        """Return whether an engine counts; one that is gone does until it is put back."""
        assigned = self._declaration_by_engine.get(upstream_id)
        if assigned is not None:
            return assigned == desired.name
        notice = self._upstreams.upstream_by_id.get(upstream_id)
        found = None if notice is None else self._find(notice)
        return notice is None or (found is not None and found.name == desired.name)

    def _find(self, notice: inventory.UpstreamNotice) -> order_types.DesiredState | None:
        for desired, selector in self._ranked:
            if desired.upstream_ids:
                if notice.upstream_id in desired.upstream_ids:
                    return desired
            elif selector.matches(notice.labels):
                return desired
        return None

    def _assign(self, upstream_id: str, declaration: str) -> None:
        before = self._declaration_by_engine.pop(upstream_id, "")
        if before:
            self._members_by_declaration[before].discard(upstream_id)
            if not self._members_by_declaration[before]:
                del self._members_by_declaration[before]
        if declaration:
            self._declaration_by_engine[upstream_id] = declaration
            self._members_by_declaration.setdefault(declaration, set()).add(upstream_id)
