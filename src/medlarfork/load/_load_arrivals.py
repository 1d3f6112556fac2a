"""Random arrivals of a load run, reproducible by seed."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator

from medlarfork.load import _load_experiment


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """Arrival of one request.

    Attributes:
        number: Number of the request within its class, from 0.
        at_s: Arrival time, in seconds from the start.
        tokens: Length of its response, in tokens.
        group: Prefix group, whose prompts share the same system prompt.
        key_random: Random bytes of its idempotency key.
    """

    number: int
    at_s: float
    tokens: int
    group: int
    key_random: bytes


_KEY_BYTES = 10
"""Size of the random part of an idempotency key."""


def arrivals(
    load_class: _load_experiment.LoadClass, *, seed: int, duration_s: float
) -> Iterator[Arrival]:
    """Yield the arrivals of one class in order, a Poisson process with the rate of ``rate_at``."""
    generator = random.Random(f"{seed}/{load_class.name}")
    max_rate = load_class.rate_per_s * max(1.0, load_class.burst_factor)
    at_s = 0.0
    number = 0
    while max_rate > 0:
        at_s += generator.expovariate(max_rate)
        if at_s >= duration_s:
            return
        # Thinning: candidates arrive at the maximum rate and are kept in proportion to the
        # current rate.
        if generator.random() * max_rate >= rate_at(load_class, at_s):
            continue
        yield Arrival(
            number,
            at_s,
            generator.randint(load_class.tokens_min, load_class.tokens_max),
            generator.randrange(load_class.prompt_groups),
            generator.randbytes(_KEY_BYTES),
        )
        number += 1


def rate_at(load_class: _load_experiment.LoadClass, at_s: float) -> float:
    """Return the arrival rate at a time, per second."""
    period_s = load_class.burst_on_s + load_class.burst_off_s
    if load_class.burst_on_s <= 0 or at_s % period_s < load_class.burst_off_s:
        return load_class.rate_per_s
    return load_class.rate_per_s * load_class.burst_factor
