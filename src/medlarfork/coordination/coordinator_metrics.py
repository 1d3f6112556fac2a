"""Metrics of a coordinator's operations and placement decisions."""

from __future__ import annotations

from medlarfork.metrics import gauges, process_metrics


class CoordinatorMetrics:
    """Metrics of one replica.

    Attributes:
        process: Process metrics that own the instruments and serve metrics requests.
    """

    def __init__(self, read_gauges: gauges.ReadGauges) -> None:
        """Create the instruments; ``read_gauges`` is called whenever they are rendered."""
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

    def count_operation(self, operation: str, status: int, took_s: float) -> None:
        """Count an operation that was answered."""
        self._operations.add(1, operation, str(status))
        self._operation_time.record(took_s, {"operation": operation})

    def count_event(self, event: str) -> None:
        """Count an event that is logged."""
        self._events.add(1, event)

    def count_promise(self, result: str) -> None:
        """Count a scheduled retry that was given, kept or missed."""
        self._promises.add(1, result)

    def time_placement(self, waited_s: float) -> None:
        """Record how long a request waited before it was placed."""
        self._wait.record(waited_s)
