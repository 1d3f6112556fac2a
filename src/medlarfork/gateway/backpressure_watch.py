"""Watch what upstreams say of themselves in their answers: limits, pauses, and that they leave."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from medlarfork import logs
from medlarfork.backpressure import upstream_signals
from medlarfork.gateway import request_names

_log = logging.getLogger(__name__)

TURNED_AWAY = (429, 503)
"""Statuses with which an upstream turns a request away; their ``Retry-After`` asks for a pause."""

MOST_UPSTREAMS = 10_000
"""Upstreams whose latest signals are remembered, for the log."""


class BackpressureWatch:
    """Keep what each upstream last said to this entry host."""

    def __init__(self, names: request_names.RequestNames) -> None:
        """Read headers by these names."""
        self._names = names
        self._signals_by_upstream: dict[str, upstream_signals.UpstreamSignals] = {}

    def note_answer(
        self, upstream_id: str, status: int, headers: Mapping[str, str], *, attempt_id: str
    ) -> None:
        """Take the head of an answer; what it changes is logged."""
        is_turned_away = status in TURNED_AWAY
        told = upstream_signals.parse(
            headers.get(self._names.rate_limit, ""),
            headers.get(self._names.leaving, ""),
            headers.get("retry-after", "") if is_turned_away else "",
        )
        before = self._signals_by_upstream.get(upstream_id, upstream_signals.UpstreamSignals())
        if told == before and not told.pause_s:
            return
        self._remember(upstream_id, told)
        logs.event(
            _log,
            "upstream_signals",
            upstream=upstream_id,
            request=attempt_id or None,
            status=status,
            rate_limit=told.rate_limit,
            limit_before=before.rate_limit,
            leaving=told.is_leaving or None,
            pause_s=told.pause_s or None,
        )

    def _remember(self, upstream_id: str, told: upstream_signals.UpstreamSignals) -> None:
        self._signals_by_upstream[upstream_id] = told
        if len(self._signals_by_upstream) > MOST_UPSTREAMS:
            del self._signals_by_upstream[next(iter(self._signals_by_upstream))]
