"""Which requests a stopping entry host takes, by how long the answers of their route may last."""

from __future__ import annotations

import dataclasses
import math

from medlarfork import errors

MEMORY_S = 10.0
"""Time for which the longest duration of a route's answers counts, in seconds: an exceptional one
is forgotten, and many short ones meanwhile don't hide that answers are slow."""

MARGIN = 1.25
"""Factor by which the next answer of a route may take longer than the longest known one."""

RETRY_AFTER_S = 0.05
"""Time in ``Retry-After`` when this host is stopping, in seconds: all others can serve."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Duration:
    """Duration of an answer.

    Attributes:
        took_s: How long it took, in seconds.
        at: When it ended, in monotonic seconds.
        expected_tokens: How many output tokens its caller expected; 0 if unknown.
    """

    took_s: float
    at: float
    expected_tokens: int

    def scaled_s(self, expected_tokens: int) -> float:
        """Return how long an answer of so many tokens may take, in seconds.

        Shorter answers count as long as this one: their first event takes as much time.
        """
        if not self.expected_tokens:
            return self.took_s
        return self.took_s * max(1.0, expected_tokens / self.expected_tokens)


class AnswerDurations:
    """Durations of the answers of each route: the longest recent one, and those in progress."""

    def __init__(self) -> None:
        """Start without any."""
        self._longest_by_route: dict[str, _Duration] = {}
        self._starts_by_route: dict[str, dict[int, float]] = {}
        self._begun = 0

    def begin(self, route: str, now: float) -> int:
        """Record that a request of a route is in progress; return its number for ``end``."""
        self._begun += 1
        self._starts_by_route.setdefault(route, {})[self._begun] = now
        return self._begun

    def end(
        self, route: str, number: int, now: float, *, is_answered: bool, expected_tokens: int = 0
    ) -> None:
        """Record the end of a request; only that of a complete answer counts as its duration."""
        starts = self._starts_by_route[route]
        took_s = now - starts.pop(number)
        if not starts:
            del self._starts_by_route[route]
        if not is_answered:
            return
        longest = self._longest_by_route.get(route)
        is_recent = longest is not None and longest.at >= now - MEMORY_S
        if not is_recent or took_s >= longest.took_s:
            self._longest_by_route[route] = _Duration(took_s, now, expected_tokens)

    def keep_routes(self, routes: set[str]) -> None:
        """Forget the answers of all other routes."""
        self._longest_by_route = {
            route: longest for route, longest in self._longest_by_route.items() if route in routes
        }

    def bound_s(self, route: str, allowed_s: float, now: float, expected_tokens: int = 0) -> float:
        """Return how long the next answer of a route may last, in seconds.

        One that is expected to be longer than the longest recent one takes longer in proportion.

        Args:
            route: Name of the route.
            allowed_s: Time after which the request ends in any case, in seconds. It is the only
                bound while no answer of the route has ended here.
            now: Monotonic time, in seconds.
            expected_tokens: How many output tokens the caller expects; 0 if unknown.
        """
        longest = self._longest_by_route.get(route)
        if longest is None:
            return allowed_s
        started_at = min(self._starts_by_route.get(route, {}).values(), default=now)
        longest_s = longest.scaled_s(expected_tokens)
        return min(allowed_s, MARGIN * max(longest_s, now - started_at))


class RunGuard:
    """The runs on upstreams, and whether a stopping host would cut the next one.

    A request may wait for a slot after it was taken, so the time left is checked again.

    Attributes:
        cut_at: When this host cuts what is unfinished, in monotonic seconds; infinite while it is
            not stopping.
    """

    def __init__(self) -> None:
        """Start without any runs."""
        self.cut_at = math.inf
        self._durations = AnswerDurations()

    def begin(self, route: str, now: float) -> int:
        """Record that a run of a route begins; return its number for ``end``."""
        return self._durations.begin(route, now)

    def end(
        self, route: str, number: int, now: float, *, is_answered: bool, expected_tokens: int
    ) -> None:
        """Record the end of a run (see ``AnswerDurations.end``)."""
        self._durations.end(
            route, number, now, is_answered=is_answered, expected_tokens=expected_tokens
        )

    def keep_routes(self, routes: set[str]) -> None:
        """Forget the runs of all other routes."""
        self._durations.keep_routes(routes)

    def can_finish(
        self, route: str, deadline_at: float, now: float, *, expected_tokens: int
    ) -> bool:
        """Return whether a run that begins now most likely ends before the cut.

        Args:
            route: Name of the route.
            deadline_at: The deadline of the request, in monotonic seconds.
            now: Monotonic time, in seconds.
            expected_tokens: How many output tokens the caller expects; 0 if unknown.
        """
        if self.cut_at == math.inf:
            return True
        bound_s = self._durations.bound_s(route, deadline_at - now, now, expected_tokens)
        return now + bound_s <= self.cut_at


def check_is_taking(take_until: float, now: float) -> None:
    """Check that a stopping host still takes requests.

    Args:
        take_until: Until when it takes requests, in monotonic seconds.
        now: Monotonic time, in seconds.

    Raises:
        errors.RequestRefusedError: It takes none any more.
    """
    if now >= take_until:
        raise _draining("This entry host is stopping.")


def check_can_finish(bound_s: float, cut_at: float, now: float) -> None:
    """Check that a stopping host would not cut a request: another host can serve it whole.

    Args:
        bound_s: How long the answer may last, in seconds.
        cut_at: When this host cuts what is unfinished, in monotonic seconds.
        now: Monotonic time, in seconds.

    Raises:
        errors.RequestRefusedError: The answer may last longer than this host has left.
    """
    if now + bound_s > cut_at:
        raise _draining(
            "This entry host is stopping, and the answer may take longer than it has left."
        )


def _draining(text: str) -> errors.RequestRefusedError:
    return errors.RequestRefusedError(
        text,
        remedy="Use another entry host.",
        code=errors.Code.DRAINING,
        status=503,
        headers={"Retry-After": f"{RETRY_AFTER_S:.3f}"},
    )
