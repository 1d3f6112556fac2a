"""Explanation of where a request would be routed, and why."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from medlarfork import request, upstream
from medlarfork.declared import configuration
from medlarfork.entry import pool_directory
from medlarfork.filters import classify
from medlarfork.pool import ownership, pool_view

_Views = Mapping[tuple[str, str], pool_view.UpstreamView]


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Whether an upstream is a candidate for the request, and why.

    Attributes:
        selected: Whether it may get the request now.
        reason: The reason, as a sentence for people.
    """

    upstream_id: str
    address: str
    selected: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PoolExplanation:
    """A pool of the service and its candidates.

    Attributes:
        owner: The entry host that schedules it.
        standby: The entry host that takes over from the owner; empty if there is none.
        known_here: Whether this host receives the pool's announcements; if not, query the owner.
    """

    pool: str
    owner: str
    standby: str
    known_here: bool
    candidates: tuple[Candidate, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Explanation of the routing of a request.

    Attributes:
        request: The request as it was classified.
        request_class: Its class, with targets and deadline.
        classes: For each class, whether its selector matches and why not.
        routes: The same for each route.
        revision: The configuration revision that the explanation is based on.
    """

    request: request.Request
    request_class: configuration.RequestClass
    classes: tuple[classify.SelectorMatch, ...]
    routes: tuple[classify.SelectorMatch, ...]
    pools: tuple[PoolExplanation, ...]
    revision: int


def build(
    declared: configuration.Configuration,
    revision: int,
    account: configuration.Account,
    parsed: classify.ParsedRequest,
    pool_ownership: ownership.Ownership,
    directory: pool_directory.PoolDirectory,
    views: _Views,
    now: float,
) -> Explanation:
    """Explain a request that has been parsed and identified.

    Args:
        views: Upstream views of the pools that run here, by pool and upstream id.

    Raises:
        errors.MedlarError: The request would be refused before it is classified.
    """
    incoming = classify.assign(declared, account, parsed, now=now)
    routed = classify.route_labels(declared, account, parsed)
    return Explanation(
        incoming,
        declared.class_by_name[incoming.class_name],
        classify.explain_class(declared, incoming.labels),
        classify.explain_route(declared, routed),
        tuple(
            _pool(pool, declared, pool_ownership, directory, views, now)
            for pool in pool_ownership.pools(incoming.service)
        ),
        revision,
    )


def _pool(
    pool: str,
    declared: configuration.Configuration,
    pool_ownership: ownership.Ownership,
    directory: pool_directory.PoolDirectory,
    views: _Views,
    now: float,
) -> PoolExplanation:
    owner, *others = pool_ownership.serving_hosts(pool)
    leases = directory.leases if pool_ownership.serves(pool) else ()
    return PoolExplanation(
        pool,
        owner,
        others[0] if others else "",
        pool_ownership.serves(pool),
        tuple(_candidate(lease, pool, declared, views, now) for lease in leases),
    )


def _candidate(
    lease: pool_directory.UpstreamLease,
    pool: str,
    declared: configuration.Configuration,
    views: _Views,
    now: float,
) -> Candidate:
    announcement = lease.announcement
    view = views.get((pool, announcement.upstream_id))
    selected = False
    if lease.pool != pool:
        reason = f"it belongs to the pool {lease.pool}"
    elif announcement.state is upstream.UpstreamState.LEAVING:
        reason = "it is leaving"
    elif announcement.upstream_id in declared.drained_upstreams:
        reason = "operators have drained it"
    elif view is not None and view.drained:
        reason = "an order has taken it out of service"
    elif view is not None and view.ejected and not view.usable:
        left_s = max(0.0, (view.ejected_until or now) - now)
        reason = f"it failed or was slow, and is ejected for another {left_s:.0f} s"
    else:
        selected = True
        reason = f"its labels match the selector of {pool.rpartition('/')[0]}"
        reason += "" if view is None else _restriction(view, now)
    return Candidate(announcement.upstream_id, announcement.address, selected, reason)


def _restriction(view: pool_view.UpstreamView, now: float) -> str:
    """Return what limits a selected upstream; an empty string if nothing does."""
    match view.health(now):
        case pool_view.Health.EJECTED:
            return "; it is ejected, but too few others are left"
        case pool_view.Health.PROBING:
            return "; after an ejection it is tried with one request at a time"
        case pool_view.Health.SLOW_START:
            return f"; it came up lately and gets {view.limit} of {view.slots} requests at once"
        case _:
            return ""
