"""Embed the pool's scheduler alone; run it with ``python -m examples.scheduler``."""

from __future__ import annotations

import random

from medlarfork import ticket, upstream
from medlarfork.declared import configuration
from medlarfork.pool import pool, pool_events

_POOL = "lm/0"
_CLASSES = (
    configuration.RequestClass("counter", 1, whole_target_s=0.2),
    configuration.RequestClass("chat", 2, whole_target_s=2.0),
    configuration.RequestClass("review", 3, whole_target_s=60.0, preemptible=True),
)


def _ticket(name: str, request_class: configuration.RequestClass) -> ticket.Ticket:
    return ticket.Ticket(
        ticket_id=f"{name}/1",
        entry_id="entry-1",
        pool=_POOL,
        account="shop",
        class_name=request_class.name,
        tier=request_class.tier,
        waited_s=0.0,
        time_left_s=request_class.deadline_s,
        target_left_s=request_class.whole_target_s,
        preemptible=request_class.preemptible,
    )


def main() -> None:
    """Let three tiers share one engine with two slots, and print what the pool decides."""
    counter, chat, review = _CLASSES
    options = pool.PoolOptions(max_queued=2)
    scheduler = pool.Pool(name=_POOL, entry_id="me", random=random.Random(1), options=options)
    service = configuration.Service("lm", configuration.ServiceKind.MODEL, "")
    ready = upstream.UpstreamState.READY
    engine = upstream.Announcement("engine-1", 1, 1, ready, "http://127.0.0.1:1", slots=2)
    finished = ticket.Release("review-1/1", _POOL, ticket.ReleaseCause.FINISHED, 0.1, 9.0, 400)
    events = (
        (0.0, pool_events.PolicyChanged(_CLASSES, (configuration.Account("shop"),), service)),
        (0.0, pool_events.UpstreamUp(engine)),
        (0.1, _ticket("review-1", review)),
        (0.2, _ticket("review-2", review)),
        (0.3, _ticket("review-3", review)),
        (0.4, _ticket("chat-1", chat)),
        (0.5, _ticket("counter-1", counter)),
        (9.1, finished),
    )
    for now, event in events:
        for action in scheduler.handle(event, now):
            print(f"{now:4.1f} s  {type(event).__name__:13} -> {action}")


if __name__ == "__main__":
    main()
