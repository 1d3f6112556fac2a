"""Configuration model of a routed deployment: routes, services and client accounts."""

from __future__ import annotations

import dataclasses
import enum


class RouteKind(enum.StrEnum):
    """How requests of a route are answered, and whether they may be retried after they have run.

    ``SAFE`` requests may be retried, ``UNSAFE`` ones may not. ``STREAMING`` ones are answered with
    a stream of events and may be retried only if the route allows resuming.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service and its share of a route's requests, as a weight relative to the sum of weights."""

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests for one host and path prefix are handled.

    Attributes:
        name: Name of the route in logs and metrics.
        host: Value of the Host header, without a port.
        path_prefix: Path prefix; starts and ends with a slash.
        kind: Whether requests may be retried, and how they are answered.
        timeout_ms: Maximum time to the final answer, in milliseconds.
        target_ms: Latency target: time to the answer, or to the first event of a stream.
        gap_ms: Target for the inter-event gap of a stream; 0 if not declared.
        patience_ms: Time without an event after which callers abandon a stream, also before the
            first event; 0 if they wait until their deadline.
        tier: Priority tier; 0 is the highest.
        targets: Services that requests are distributed over.
        max_attempts: Maximum number of upstreams that one request is sent to.
        is_public: Whether requests are accepted without an API key.
        has_prompt: Whether requests name their prompt prefix segments, which upstreams cache.
        may_resume: Whether a broken stream may be resumed at another upstream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    targets: tuple[Target, ...]
    target_ms: float = 0.0
    gap_ms: float = 0.0
    patience_ms: float = 0.0
    tier: int = 0
    max_attempts: int = 1
    is_public: bool = False
    has_prompt: bool = False
    may_resume: bool = False

    @property
    def may_repeat(self) -> bool:
        """Return whether a request that may already have run can be retried."""
        return self.kind is RouteKind.SAFE or self.may_resume


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity and link properties of the model engines of a service.

    Attributes:
        slots: Requests that one engine runs concurrently.
        memory_tokens: Tokens that fit into the KV cache of one engine, for running requests and
            cached prompt prefix segments.
        event_tokens: Tokens per event of a stream.
        token_bytes: Size of one token in the KV cache, in bytes; 0 if not declared.
        link_mbps: Bandwidth between engines, in megabits per second; 0 if not declared.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    token_bytes: int = 0
    link_mbps: float = 0.0

    @property
    def fetch_ms_per_token(self) -> float:
        """Return the time to fetch one cached token from another engine; 0 if they can't."""
        if self.token_bytes <= 0 or self.link_mbps <= 0:
            return 0.0
        return self.token_bytes * 8.0 / (self.link_mbps * 1000.0)


@dataclasses.dataclass(frozen=True, slots=True)
class ZonePrice:
    """Relative price of engine time in a data centre, compared with the other data centres."""

    zone: str
    price: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Limits and prices for ordering engines of a service.

    Attributes:
        least: Minimum number of engines in each data centre.
        most: Maximum number of engines in each data centre, on-demand and spot together.
        boot_s: Time from an order until a new engine serves, in seconds.
        spot_price: Price of a spot engine, which the provider may reclaim, as a share of the
            on-demand price; 0 if there are no spot engines.
        zones: The data centres in which engines are available.
    """

    least: int
    most: int
    boot_s: float
    spot_price: float = 0.0
    zones: tuple[ZonePrice, ...] = ()

    @property
    def has_spot(self) -> bool:
        """Return whether spot engines are available at a lower price than on-demand ones."""
        return 0.0 < self.spot_price < 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable upstreams.

    Attributes:
        name: Unique name.
        health_path: Path that answers health checks.
        max_connections: Maximum number of connections one upstream accepts from all its callers.
        engine: Properties of its model engines; None for plain services.
        scaling: Limits for ordering engines; None if none may be ordered.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 64
    engine: EngineSpec | None = None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account; its tier, if set, overrides the tier of the route."""

    name: str
    api_keys: tuple[str, ...] = ()
    tier: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Routing:
    """One version of a deployment's configuration; the operator chooses the version number."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
