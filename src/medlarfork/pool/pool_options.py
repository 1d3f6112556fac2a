"""Define the options of a pool: which rules are on, and their constants."""

from __future__ import annotations

import dataclasses
import enum


class TicketOrder(enum.StrEnum):
    """Say in which order one account's tickets of a tier start."""

    ARRIVAL = "arrival"
    TARGET = "target"
    LAXITY = "laxity"


@dataclasses.dataclass(frozen=True, slots=True)
class PoolOptions:
    """Tune a pool; docs/design/placement.md compares the ways.

    Attributes:
        max_queued: Tickets queued at once; beyond it the lowest tier's newest is shed.
        order: Order among one account's tickets of a tier.
        charge_time: Whether accounts share slot time rather than starts.
        floors: Whether each tier is sure of its floor share of the slots.
        late_last: Whether tickets that must miss their target start after those that need not.
        withhold: Whether slots are kept free for the arrivals expected at higher tiers.
        withhold_deviations: Standard deviations of demand covered beyond its mean.
        withhold_max_share: Largest share of the slots withheld from any tier.
        preempt: Whether lower tiers are preempted to save a higher tier's target.
        preempt_per_slot_s: Preemptions a second for each slot; up to one a slot at once.
        preempt_per_request: Preemptions that one request suffers at most.
        preempt_cooldown_s: How long after a preemption the same request is left alone.
        shed_hopeless: Whether a ticket is shed as soon as its deadline can't be met.
        affinity: Whether tickets prefer the upstream that holds their prompt prefix.
        affinity_load_bound: Load, relative to the pool's mean, up to which affinity is honoured.
        eject: Whether failing and straggling upstreams are ejected.
        eject_slowness: Slowness relative to the peers' median at which one is ejected.
        eject_failures: Consecutive failures at which one is ejected.
        eject_s: First ejection's length; doubles with each that follows.
        eject_max_share: Largest share of the upstreams ejected at once.
        panic_share: Usable share of the upstreams below which ejections are ignored.
        adapt_concurrency: Whether an upstream's limit follows its observed slowdown.
        slow_start_s: How long a new or returned upstream takes to reach its full limit.
        no_upstream_grace_s: How long tickets wait while the pool has no usable upstream.
        move_stalled: Whether repeatable tickets are asked back from upstreams that are gone.
        settle_s: How long a new owner grants no slot that no reading of the upstream's load since
            then shows free; earlier grants may not be known yet.
        orphan_s: How long a lost entry host's running tickets keep their slots.
        release_grace_s: How long past its deadline a grant may stay unreleased.
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
"""Strict tiers and limits only: every adaptive rule is off."""
