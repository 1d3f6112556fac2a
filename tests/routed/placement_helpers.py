"""Helpers of the placement tests: a declared engine, a prompt, shortcuts for answers and runs."""

from medlarfork.placement import placement_messages, upstream_load
from medlarfork.routes import routing

ENGINE = routing.EngineSpec(64, 100_000, event_tokens=5)
LONG = (("common", 500), ("matter", 5000), ("own", 6000))


def placed(answers):
    (answer,) = answers
    assert isinstance(answer.message, placement_messages.Placed), answer
    return answer.message.upstream_id


def ended(ticket_id, end=placement_messages.RunEnd.COMPLETE):
    return placement_messages.RunEnded(ticket_id, end, 1.0)


def run(request, prefill_tokens, prefill_ms):
    return upstream_load.Run("e", request, prefill_tokens, prefill_ms, is_rate_sample=False)
