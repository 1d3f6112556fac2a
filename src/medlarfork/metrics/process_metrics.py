"""Keep the metrics of one process of a routed deployment, and render them for Prometheus.

Counting needs no library. The one that renders is loaded when the metrics are first asked for, or
when much waits for it: a process that was killed serves again that much sooner.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import curio

from medlarfork.http import http_server
from medlarfork.metrics import gauges, tally, timing

if TYPE_CHECKING:
    from medlarfork.metrics import sdk_metrics

PATH = "/metrics"
"""Path of a process's metrics on its health address."""

CONTENT_TYPE = "text/plain; version=0.0.4"
"""Content type of what ``ProcessMetrics.respond`` sends."""

MAX_LABEL_SETS = 4096
"""Label sets that are counted apart; further ones share one, which bounds memory."""

MAX_PENDING_TIMES = 10_000
"""Times of a kind that are kept before the library is loaded without being asked for, which bounds
memory to some megabytes."""


class ProcessMetrics:
    """Make the instruments of one process; nothing is shared with other instances."""

    def __init__(self, scope: str, read_gauges: gauges.ReadGauges) -> None:
        """Start without instruments but one gauge of states.

        Args:
            scope: Names the part of the product that counts.
            read_gauges: Called when the metrics are rendered.
        """
        self._scope = scope
        self._read_gauges = read_gauges
        self._tallies: list[tuple[str, str, tally.Tally]] = []
        self._timings: list[timing.Timing] = []
        self._sdk: sdk_metrics.SdkMetrics | None = None
        self._loading = threading.Lock()

    def tally(self, name: str, description: str, labels: tuple[str, ...]) -> tally.Tally:
        """Return a counter by labels."""
        counts = tally.Tally(labels, most=MAX_LABEL_SETS)
        self._tallies.append((name, description, counts))
        return counts

    def timing(self, name: str, description: str) -> timing.Timing:
        """Return what takes the times of a histogram."""
        times = timing.Timing(
            name, description, most=MAX_PENDING_TIMES, on_full=self._load_in_background
        )
        self._timings.append(times)
        return times

    def close(self) -> None:
        """Stop counting."""
        if self._sdk is not None:
            self._sdk.close()

    async def respond(self, exchange: http_server.Exchange) -> None:
        """Answer a request for the metrics, while other tasks go on."""
        body = await curio.run_in_thread(self._render)
        await exchange.respond(200, {"Content-Type": CONTENT_TYPE}, body)

    def _load_in_background(self) -> None:
        threading.Thread(target=self._load, name="metrics", daemon=True).start()

    def _render(self) -> bytes:
        return self._load().render()

    def _load(self) -> sdk_metrics.SdkMetrics:
        """Load the library once, in the calling thread, and give it what was counted."""
        with self._loading:
            if self._sdk is None:
                from medlarfork.metrics import sdk_metrics

                sdk = sdk_metrics.SdkMetrics(self._scope, self._read_gauges)
                for name, description, counts in self._tallies:
                    sdk.add_tally(name, description, counts)
                for times in self._timings:
                    sdk.add_timing(times)
                self._sdk = sdk
            return self._sdk
