"""The retries of one request that its service's budget allows, from the decision to the send."""

from __future__ import annotations

import time
from collections.abc import Mapping

from medlarfork.gateway import request_types, retry_budget


class RequestRetries:
    """Holds a permit for the next retry of a request; ``close`` returns one that was not used."""

    def __init__(
        self,
        budgets: Mapping[str, retry_budget.RetryBudget],
        service: str,
        trace: request_types.Trace,
        refusal: str,
    ) -> None:
        """Start without a permit.

        Args:
            budgets: The budgets of all services.
            service: The service of the request; without a budget it allows no retry.
            trace: Data of the request's log line.
            refusal: What it says if the budget allows no retry.
        """
        self._budgets = budgets
        self._service = service
        self._trace = trace
        self._refusal = refusal
        self._permit: retry_budget.RetryPermit | None = None

    def allow_next(self) -> bool:
        """Return whether the budget allows the next retry; it counts until it is sent."""
        if self._permit is not None and self._permit.is_open:
            return True
        now = time.monotonic()
        budget = self._budgets.get(self._service)
        self._permit = None if budget is None else budget.reserve(now)
        if self._permit is None:
            state = "unknown service" if budget is None else budget.state(now)
            self._trace.reasons.append(f"{self._refusal} ({state})")
        return self._permit is not None

    def has_room(self) -> bool:
        """Return whether the budget would allow a retry now."""
        budget = self._budgets.get(self._service)
        return budget is not None and budget.has_room(time.monotonic())

    def record_send(self) -> None:
        """Record that an attempt is sent now; the first one of a request needs no permit."""
        if self._permit is not None and self._permit.is_open:
            self._permit.use()
            self._trace.retries += 1

    def close(self) -> None:
        """Return a permit that was not used."""
        if self._permit is not None:
            self._permit.release()
