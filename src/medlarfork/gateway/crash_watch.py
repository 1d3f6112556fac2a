"""Find out whether an upstream ended under a request, or only a connection to it."""

from __future__ import annotations

import logging

import curio

from medlarfork import logs
from medlarfork.coordination import upstream_types
from medlarfork.gateway import request_types
from medlarfork.http import http_client

_log = logging.getLogger(__name__)

REACH_S = 0.3
"""How long an upstream whose run broke may take to accept a connection, in seconds: one that has
ended refuses within a round trip, and what is silent longer is cut off."""


class CrashWatch:
    """Look after each run that broke whether its upstream still listens."""

    def __init__(self, client: http_client.HttpClient) -> None:
        """Use the client of the upstreams, which keeps the connections that it opens."""
        self._client = client
        self._broken_by_upstream: dict[str, list[request_types.Admitted]] = {}

    async def run_broken(
        self, admitted: request_types.Admitted, upstream: upstream_types.Announcement
    ) -> None:
        """Note a run without a whole answer; those that break together are looked at once."""
        waiting = self._broken_by_upstream.get(upstream.upstream_id)
        if waiting is not None:
            waiting.append(admitted)
            return
        self._broken_by_upstream[upstream.upstream_id] = [admitted]
        await curio.spawn(self._look, upstream, daemon=True)

    async def _look(self, upstream: upstream_types.Announcement) -> None:
        reach = await self._client.reach(f"http://{upstream.address}", within_s=REACH_S)
        for admitted in self._broken_by_upstream.pop(upstream.upstream_id):
            logs.event(
                _log,
                "run_broken",
                request=admitted.facts.attempt_id or None,
                key=admitted.key,
                account=admitted.account or None,
                upstream=upstream.upstream_id,
                reach=reach.value,
            )
