"""Metrics of a coordinator's operations and placement decisions."""

from __future__ import annotations

from collections.abc import Callable

from medlarfork.metrics import gauges, process_metrics


class CoordinatorMetrics:
    """Metrics of one replica.

    Attributes:
        process: Process metrics that own the instruments and serve metrics requests.
    """

    def __init__(
        self,
        read_gauges: gauges.ReadGauges,
        read_placement: Callable[[], dict[str, dict[str, float]]] = dict,
    ) -> None:
        """Create the instruments.

        Args:
            read_gauges: Returns the state by name; called whenever metrics are rendered.
            read_placement: Returns values by upstream, by metric; called likewise.
        """
        self.process = process_metrics.ProcessMetrics("medlarfork.coordination", read_gauges)
        self._operations = self.process.tally(
            "medlar_operations", "Operations answered.", ("operation", "status")
        )
        self._operation_time = self.process.timing(
            "medlar_operation_time", "Operation read to its reply."
        )
        self._events = self.process.tally(
            "medlar_coordinator_events", "Decisions and changes of belief.", ("event",)
        )
        self._wait = self.process.timing(
            "medlar_placement_wait", "Question to placement, at the owner."
        )
        self._promises = self.process.tally(
            "medlar_retry_promises", "Scheduled retries given, kept and missed.", ("result",)
        )
        self._account_refused = self.process.tally(
            "medlar_account_refused", "Requests refused by a placement owner.", ("account",)
        )

        for name, description in (
            ("medlar_upstream_speed", "Relative time of an upstream; 1 is usual."),
            ("medlar_unknown_runs", "Runs at an upstream that its placement owner does not know."),
        ):
            self.process.labelled_gauge(
                name, description, "upstream", lambda name=name: read_placement().get(name, {})
            )

    def count_operation(self, operation: str, status: int, took_s: float) -> None:
        """Count an operation that was answered."""
        self._operations.add(1, operation, str(status))
        self._operation_time.record(took_s, {"operation": operation})

    def count_event(self, event: str) -> None:
        """Count an event that is logged."""
        self._events.add(1, event)

    def count_account_refused(self, account: str) -> None:
        """Count a refused request of a client account."""
        self._account_refused.add(1, account)

    def count_promise(self, result: str) -> None:
        """Count a scheduled retry that was given, kept or missed."""
        self._promises.add(1, result)

    def time_placement(self, waited_s: float) -> None:
        """Record how long a request waited before it was placed."""
        self._wait.record(waited_s)
