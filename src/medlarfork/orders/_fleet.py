"""Index of all engines: declaration, service status and loaded weights."""

from __future__ import annotations

import collections
import math
from collections.abc import Mapping

from medlarfork import labels
from medlarfork.orders import inventory, order_types, orders


class Fleet:
    """Matches engines to declarations, limits how many are out of service, counts weights."""

    def __init__(self, board: orders.OrderBoard, upstreams: inventory.Inventory) -> None:
        """Use a board and an inventory that the caller updates.

        After a change of declarations the caller must call ``reload_declarations``.
        """
        self._board = board
        self._upstreams = upstreams
        self._selectors_by_precedence: list[tuple[order_types.DesiredState, labels.Selector]] = []
        self._members_by_declaration: dict[str, set[str]] = {}
        self._declaration_by_engine: dict[str, str] = {}
        self._weights_by_engine: dict[str, tuple[order_types.LoadedWeights, ...]] = {}
        self._copies: collections.Counter[order_types.LoadedWeights] = collections.Counter()
        self._reserved: set[str] = set()
        self.reload_declarations()

    @property
    def copies(self) -> Mapping[order_types.LoadedWeights, int]:
        """Return how many engines hold or are loading each version of weights."""
        return self._copies

    def reload_declarations(self) -> None:
        """Reload the declarations from the board after one was added, replaced or removed."""
        declared = self._board.desired_by_name.values()
        ranked = sorted(declared, key=lambda desired: (-desired.precedence, desired.name))
        self._selectors_by_precedence = [
            (desired, labels.Selector.parse(desired.selector)) for desired in ranked
        ]

    def desired(self, upstream_id: str) -> order_types.DesiredState | None:
        """Return the declaration that applies to an engine, and assign the engine to it."""
        notice = self._upstreams.upstream_by_id.get(upstream_id)
        if notice is None:
            return None
        declaration = self._matching_declaration(notice)
        self._assign(upstream_id, "" if declaration is None else declaration.name)
        return declaration

    def record_weights(
        self, upstream_id: str, weights: tuple[order_types.LoadedWeights, ...]
    ) -> None:
        """Record which weights an engine holds or is about to load."""
        self._copies.subtract(self._weights_by_engine.pop(upstream_id, ()))
        self._copies.update(weights)
        self._copies = +self._copies
        if weights:
            self._weights_by_engine[upstream_id] = weights

    def remove(self, upstream_id: str) -> None:
        """Remove an engine that is gone."""
        self.record_weights(upstream_id, ())
        self._assign(upstream_id, "")
        self._reserved.discard(upstream_id)

    def reserve_out_of_service(self, upstream_id: str, desired: order_types.DesiredState) -> bool:
        """Reserve taking an engine out of service; return False if the limit is reached."""
        out_of_service = self._reserved | self._board.out_of_service
        unavailable = sum(1 for other in out_of_service if self._counts_toward(other, desired))
        members = len(self._members_by_declaration.get(desired.name, ()))
        if unavailable >= max(1, math.floor(desired.max_unavailable * members)):
            return False
        self._reserved.add(upstream_id)
        return True

    def release_reservation(self, upstream_id: str) -> None:
        """Release a reservation after the board has recorded or refused the change."""
        self._reserved.discard(upstream_id)

    def _counts_toward(self, upstream_id: str, desired: order_types.DesiredState) -> bool:
        """Return whether an engine counts toward a declaration's limit.

        An engine that is gone counts until it is returned to service.
        """
        assigned = self._declaration_by_engine.get(upstream_id)
        if assigned is not None:
            return assigned == desired.name
        notice = self._upstreams.upstream_by_id.get(upstream_id)
        declaration = None if notice is None else self._matching_declaration(notice)
        return notice is None or (declaration is not None and declaration.name == desired.name)

    def _matching_declaration(
        self, notice: inventory.UpstreamNotice
    ) -> order_types.DesiredState | None:
        for desired, selector in self._selectors_by_precedence:
            if desired.upstream_ids:
                if notice.upstream_id in desired.upstream_ids:
                    return desired
            elif selector.matches(notice.labels):
                return desired
        return None

    def _assign(self, upstream_id: str, declaration: str) -> None:
        previous = self._declaration_by_engine.pop(upstream_id, "")
        if previous:
            self._members_by_declaration[previous].discard(upstream_id)
            if not self._members_by_declaration[previous]:
                del self._members_by_declaration[previous]
        if declaration:
            self._declaration_by_engine[upstream_id] = declaration
            self._members_by_declaration.setdefault(declaration, set()).add(upstream_id)
