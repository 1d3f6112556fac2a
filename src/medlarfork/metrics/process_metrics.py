"""Metrics of one process of a routed deployment, with lazy loading of the OpenTelemetry SDK.

Recording needs no library. The SDK, which renders the metrics, is loaded by the first scrape, or
when a buffer of recorded times is full. This shortens the restart of a process that was killed.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import curio

from medlarfork.http import http_server
from medlarfork.metrics import tally, timing

if TYPE_CHECKING:
    from medlarfork.metrics import gauges, sdk_metrics

PATH = "/metrics"
"""Path of the metrics on the health address of a process."""

CONTENT_TYPE = "text/plain; version=0.0.4"
"""Content type of the response of ``ProcessMetrics.respond``."""

MAX_LABEL_SETS = 4096
"""Maximum label sets of a counter; further ones are counted together, which bounds memory."""

MAX_PENDING_TIMES = 10_000
"""Recorded times of one histogram after which the SDK is loaded without a scrape, which bounds
memory to a few megabytes."""


class ProcessMetrics:
    """Instruments of one process; instances share no state."""

    def __init__(self, scope: str, read_gauges: gauges.ReadGauges) -> None:
        """Start with a single instrument, the state gauge.

        Args:
            scope: Instrumentation scope, the component that records the metrics.
            read_gauges: Called when the metrics are rendered.
        """
        self._scope = scope
        self._read_gauges = read_gauges
        self._tallies: list[tuple[str, str, tally.Tally]] = []
        self._gauges: list[tuple[str, str, gauges.ReadGauge]] = []
        self._timings: list[timing.Timing] = []
        self._labelled_gauges: list[tuple[str, str, str, gauges.ReadGauges]] = []
        self._sdk: sdk_metrics.SdkMetrics | None = None
        self._loading = threading.Lock()

    def tally(self, name: str, description: str, labels: tuple[str, ...]) -> tally.Tally:
        """Create and return a counter with labels."""
        counts = tally.Tally(labels, max_label_sets=MAX_LABEL_SETS)
        self._tallies.append((name, description, counts))
        return counts

    def gauge(self, name: str, description: str, read: gauges.ReadGauge) -> None:
        """Create a gauge; ``read`` is called when the metrics are rendered."""
        self._gauges.append((name, description, read))

    def timing(self, name: str, description: str) -> timing.Timing:
        """Create and return a recorder for the times of a histogram."""
        times = timing.Timing(
            name, description, max_pending=MAX_PENDING_TIMES, on_full=self._load_in_background
        )
        self._timings.append(times)
        return times

    def labelled_gauge(
        self, name: str, description: str, label: str, read_values: gauges.ReadGauges
    ) -> None:
        """Create a gauge with one label; ``read_values`` returns its values by label value."""
        self._labelled_gauges.append((name, description, label, read_values))

    def close(self) -> None:
        """Shut down the SDK, if it was loaded."""
        if self._sdk is not None:
            self._sdk.close()

    async def respond(self, exchange: http_server.Exchange) -> None:
        """Respond to a scrape; rendering runs in a thread, so that other tasks continue."""
        body = await curio.run_in_thread(self._render)
        await exchange.respond(200, {"Content-Type": CONTENT_TYPE}, body)

    def _load_in_background(self) -> None:
        threading.Thread(target=self._load, name="metrics", daemon=True).start()

    def _render(self) -> bytes:
        return self._load().render()

    def _load(self) -> sdk_metrics.SdkMetrics:
        """Load the SDK once, in the calling thread, and attach all instruments to it."""
        with self._loading:
            if self._sdk is None:
                from medlarfork.metrics import sdk_metrics

                sdk = sdk_metrics.SdkMetrics(self._scope, self._read_gauges)
                for name, description, counts in self._tallies:
                    sdk.add_tally(name, description, counts)
                for name, description, read in self._gauges:
                    sdk.add_gauge(name, description, read)
                for times in self._timings:
                    sdk.add_timing(times)
                for gauge in self._labelled_gauges:
                    sdk.add_labelled_gauge(*gauge)
                self._sdk = sdk
            return self._sdk
