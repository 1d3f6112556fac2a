"""Count events by label values, at the cost of one dictionary access each."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry import metrics

OVERFLOW = "other"
"""Label value of counts for which there was no room."""


class Tally:
    """Keep one counter's values until the metrics are rendered.

    The SDK's own counters clean and hash their attributes on each call, which costs tens of
    microseconds a request; here that is done only when the values are read.
    """

    def __init__(self, names: tuple[str, ...], *, max_label_sets: int) -> None:
        """Make an empty tally.

        Args:
            names: Names of the labels.
            max_label_sets: Label sets that are counted apart; further ones share one.
        """
        self._names = names
        self._max_label_sets = max_label_sets
        self._value_by_labels: dict[tuple[str, ...], int] = {}
        self._overflow = (OVERFLOW,) * len(names)

    def add(self, amount: int, *labels: str) -> None:
        """Add to the count of the given label values, in the order of the names."""
        present = self._value_by_labels.get(labels)
        if present is None and len(self._value_by_labels) >= self._max_label_sets:
            labels = self._overflow
            present = self._value_by_labels.get(labels)
        self._value_by_labels[labels] = (present or 0) + amount

    def observe(self, _: metrics.CallbackOptions) -> Iterable[metrics.Observation]:
        """Return all counts, as the SDK asks for them."""
        # Loaded by then; a process that counts and is not asked does without it.
        from opentelemetry import metrics

        # Another thread may be rendering: it gets a copy, which is made in one step.
        counts = list(self._value_by_labels.items())
        return [
            metrics.Observation(value, dict(zip(self._names, labels, strict=True)))
            for labels, value in counts
        ]
