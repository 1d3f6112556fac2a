"""Options of a pool: which scheduling rules are enabled, and their parameters."""

from __future__ import annotations

import dataclasses
import enum


class TicketOrder(enum.StrEnum):
    """Order in which an account's tickets of a tier start.

    ARRIVAL: by arrival.
    TARGET: by target time, or deadline if that is earlier.
    LAXITY: by the latest start that meets the target, or deadline if that is earlier.
    """

    ARRIVAL = "arrival"
    TARGET = "target"
    LAXITY = "laxity"


@dataclasses.dataclass(frozen=True, slots=True)
class PoolOptions:
    """Options of a pool; docs/design/placement.md compares the alternatives.

    Attributes:
        max_queued: Maximum number of queued tickets; beyond it the lowest tier's newest is shed.
        order: Order among an account's tickets of a tier.
        charge_time: Whether fair queueing charges accounts for slot time rather than for starts.
        floors: Whether each tier is guaranteed its floor share of the slots.
        late_last: Whether tickets that can no longer meet their target start after the others.
        withhold: Whether slots are kept free for the arrivals expected at higher tiers.
        withhold_deviations: Standard deviations of demand beyond its mean that are covered.
        withhold_max_share: Maximum share of the slots withheld from any tier.
        preempt: Whether lower tiers are preempted so that a higher tier's ticket meets its target.
        preempt_per_slot_s: Preemptions per second and slot; the burst is one per slot.
        preempt_per_request: Maximum number of preemptions of one request.
        preempt_cooldown_s: Minimum time between preemptions of the same request.
        shed_hopeless: Whether a ticket is shed as soon as its deadline can't be met.
        affinity: Whether tickets prefer an upstream that caches their prompt prefix.
        affinity_load_bound: Load relative to the pool's mean, up to which affinity is used.
        eject: Whether failing and slow upstreams are ejected.
        eject_slowness: Slowness relative to the peers' median above which an upstream is ejected.
        eject_failures: Consecutive failures after which an upstream is ejected.
        eject_s: Length of the first ejection; each further one is twice as long.
        eject_max_share: Maximum share of the upstreams ejected at the same time.
        panic_share: Share of upstreams not ejected, below which ejections are ignored.
        adapt_concurrency: Whether an upstream's limit follows its observed slowdown.
        slow_start_s: How long a new or returned upstream takes to reach its full limit.
        no_upstream_grace_s: How long tickets wait while the pool has no usable upstream.
        move_stalled: Whether repeatable tickets are recalled from lost upstreams.
        settle_s: Settling time of a new owner, in which it grants a slot only if a load report
            since the takeover shows it free; earlier grants may not be known yet.
        orphan_s: How long the running tickets of a lost entry host keep their slots.
        release_grace_s: How long after its deadline an unreleased grant is reclaimed.
    """

    max_queued: int = 20_000
    order: TicketOrder = TicketOrder.TARGET
    charge_time: bool = True
    floors: bool = True
    late_last: bool = True
    withhold: bool = True
    withhold_deviations: float = 1.0
    withhold_max_share: float = 0.5
    preempt: bool = True
    preempt_per_slot_s: float = 1.0
    preempt_per_request: int = 50
    preempt_cooldown_s: float = 0.25
    shed_hopeless: bool = True
    affinity: bool = True
    affinity_load_bound: float = 1.25
    eject: bool = True
    eject_slowness: float = 2.5
    eject_failures: int = 5
    eject_s: float = 5.0
    eject_max_share: float = 0.34
    panic_share: float = 0.5
    adapt_concurrency: bool = True
    slow_start_s: float = 5.0
    no_upstream_grace_s: float = 2.0
    move_stalled: bool = True
    settle_s: float = 1.0
    orphan_s: float = 30.0
    release_grace_s: float = 5.0


NON_ADAPTIVE = PoolOptions(
    charge_time=False,
    floors=False,
    order=TicketOrder.ARRIVAL,
    late_last=False,
    withhold=False,
    preempt=False,
    shed_hopeless=False,
    affinity=False,
    eject=False,
    adapt_concurrency=False,
    slow_start_s=0.0,
    move_stalled=False,
)
"""Only strict tier priority and limits; every adaptive rule is disabled."""
