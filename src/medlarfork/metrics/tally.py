"""Counter by label values that costs one dictionary update per event."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry import metrics

OVERFLOW = "other"
"""Label value of the counts beyond the maximum number of label sets."""


class Tally:
    """Values of one counter, converted to the SDK's form only when the metrics are rendered.

    The SDK's own counters clean and hash their attributes on each call, which costs tens of
    microseconds a request.
    """

    def __init__(self, names: tuple[str, ...], *, max_label_sets: int) -> None:
        """Create an empty tally.

        Args:
            names: Names of the labels.
            max_label_sets: Label sets that are counted separately; further ones are counted
                together under the label value ``OVERFLOW``.
        """
        self._names = names
        self._max_label_sets = max_label_sets
        self._value_by_labels: dict[tuple[str, ...], int] = {}
        self._overflow = (OVERFLOW,) * len(names)

    def add(self, amount: int, *labels: str) -> None:
        """Add to the count of a label set, whose values are in the order of the names."""
        present = self._value_by_labels.get(labels)
        if present is None and len(self._value_by_labels) >= self._max_label_sets:
            labels = self._overflow
            present = self._value_by_labels.get(labels)
        self._value_by_labels[labels] = (present or 0) + amount

    def observe(self, _: metrics.CallbackOptions) -> Iterable[metrics.Observation]:
        """Return all counts, as the callback of an observable counter of the SDK."""
        # Imported here, because a process that is never scraped does not load the SDK.
        from opentelemetry import metrics

        # This may run in a rendering thread, so it takes an atomic copy.
        counts = list(self._value_by_labels.items())
        return [
            metrics.Observation(value, dict(zip(self._names, labels, strict=True)))
            for labels, value in counts
        ]
