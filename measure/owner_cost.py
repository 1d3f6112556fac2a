"""Measure what an owner of placement spends on a request, by engines and by requests that wait.

Run as ``python -m measure.owner_cost``. A request is three messages: the question, its first event
and its end. One shard has 16 engines at most; more show what a single owner would spend.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
import time

from medlarfork.coordination import upstream_types
from medlarfork.placement import placement_decision, placement_messages, shard_owner
from medlarfork.routes import routing

_ENGINES = (6, 16, 45, 90)
_WAITING = (0, 100, 1000)
_SLOTS = 16
_REQUESTS = 1500
_REQUESTS_S_AN_ENGINE = 4.0
_RUN_S = 1.0
_FIRST_EVENT_S = 0.05
_MATTERS = 352
_FACTS = routing.EngineSpec(
    _SLOTS, 400_000, event_tokens=7, token_bytes=163_840, link_mbps=260_000.0
)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Due:
    """Hold a message of an entry host that is still to come."""

    at: float
    ticket_id: str
    is_end: bool


class _Load:
    """Drive one owner with a steady load, of which some requests wait for good."""

    def __init__(self, engines: int, waiting: int) -> None:
        """Start with engines, and with requests that none of them may run."""
        self._random = random.Random(1)
        self._owner = shard_owner.ShardOwner()
        self._owner.use_engine(_FACTS)
        upstreams = {f"u-{n}": _announcement(n) for n in range(engines)}
        self._owner.use_upstreams(upstreams)
        self._rate = _REQUESTS_S_AN_ENGINE * engines
        self._due: list[_Due] = []
        for number in range(waiting):
            asked = _question(f"w-{number}", 3, 0, excluded=tuple(upstreams))
            self._owner.place("entry", asked, 0.0)

    def run(self) -> float:
        """Return the processor time that a request takes, in microseconds."""
        now = 0.0
        begun = time.process_time()
        for number in range(_REQUESTS):
            now += self._random.expovariate(self._rate)
            self._tell_due(now)
            matter = self._random.randrange(_MATTERS)
            asked = _question(f"t-{number}", number % 3, matter)
            self._plan(self._owner.place("entry", asked, now), now)
        return (time.process_time() - begun) / _REQUESTS * 1e6

    def _tell_due(self, now: float) -> None:
        while self._due and self._due[0].at <= now:
            due = heapq.heappop(self._due)
            if due.is_end:
                complete = placement_messages.RunEnd.COMPLETE
                ended = placement_messages.RunEnded(due.ticket_id, complete, _RUN_S * 1000.0)
                self._plan(self._owner.on_ended(ended, due.at), due.at)
            else:
                event = placement_messages.FirstEvent(due.ticket_id, _FIRST_EVENT_S * 1000.0)
                self._owner.on_first_event(event, due.at)

    def _plan(self, answers: tuple[placement_decision.Decision, ...], now: float) -> None:
        for answer in answers:
            if isinstance(answer.message, placement_messages.Placed):
                ticket_id = answer.message.ticket_id
                heapq.heappush(self._due, _Due(now + _FIRST_EVENT_S, ticket_id, False))
                heapq.heappush(self._due, _Due(now + _RUN_S, ticket_id, True))


def _announcement(number: int) -> upstream_types.Announcement:
    return upstream_types.Announcement(
        f"u-{number}",
        service="engines",
        address=f"10.0.0.{number}:80",
        zone=f"z{number % 3}",
        slots=_SLOTS,
        sequence=1,
    )


def _question(
    ticket_id: str, tier: int, matter: int, excluded: tuple[str, ...] = ()
) -> placement_messages.PlaceRequest:
    """Return a long, a short or a middling question, by its tier."""
    shared_tokens, own_tokens, target_ms, gap_ms = (
        (80, 600, 300.0, 250.0),
        (230, 1800, 500.0, 400.0),
        (4900, 6600, 2500.0, 1000.0),
        (4900, 6600, 600_000.0, 1000.0),
    )[tier]
    parts = (
        placement_messages.PromptSegment(f"common-{tier}", 300),
        placement_messages.PromptSegment(f"matter-{tier}-{matter}", shared_tokens),
        placement_messages.PromptSegment(ticket_id, own_tokens),
    )
    return placement_messages.PlaceRequest(
        ticket_id,
        "engines",
        tier,
        left_ms=600_000.0,
        target_ms=target_ms,
        gap_ms=gap_ms,
        parts=parts,
        output_tokens=300,
        zone="z1",
        excluded=excluded,
    )


def main() -> None:
    """Measure each number of engines and of waiting requests, and print a table."""
    print(f"{'engines':>8} " + " ".join(f"{n:>6} wait" for n in _WAITING) + "   us a request")
    for engines in _ENGINES:
        times = [_Load(engines, waiting).run() for waiting in _WAITING]
        print(f"{engines:>8} " + " ".join(f"{time_us:>11.0f}" for time_us in times), flush=True)


if __name__ == "__main__":
    main()
