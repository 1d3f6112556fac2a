"""Cache of configuration deltas for entry hosts."""

from __future__ import annotations

import msgspec

from medlarfork import heartbeat
from medlarfork.control import replicated_state
from medlarfork.declared import configuration_delta


class DeltaCache:
    """Computes each delta to the current revision once; most entry hosts need the same one."""

    def __init__(self, state: replicated_state.ReplicatedState) -> None:
        """Read configurations from the replicated state."""
        self._state = state
        self._revision = -1
        self._full_size = 0
        self._delta_by_base: dict[int, heartbeat.ConfigurationDelta | None] = {}

    def since(self, base_revision: int) -> heartbeat.ConfigurationDelta | None:
        """Return the delta from a revision to the current one; None to send all of it."""
        current = self._state.current
        if current.revision != self._revision:
            self._revision = current.revision
            self._full_size = len(msgspec.json.encode(current.configuration))
            self._delta_by_base.clear()
        if not 0 < base_revision < current.revision:
            return None
        if base_revision not in self._delta_by_base:
            base = self._state.configuration_at(base_revision)
            if base is None:
                return None
            self._delta_by_base[base_revision] = self._smaller_delta(base, current)
        return self._delta_by_base[base_revision]

    def _smaller_delta(
        self,
        base: heartbeat.RevisionedConfiguration,
        current: heartbeat.RevisionedConfiguration,
    ) -> heartbeat.ConfigurationDelta | None:
        delta = configuration_delta.make(base, current)
        if delta is None:
            return None
        size = sum(len(key) + len(item) for key, item in delta.changed.items())
        size += sum(len(key) for key in delta.removed)
        return delta if size < self._full_size else None
