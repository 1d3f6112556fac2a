"""Model the configuration of a routed deployment: routes, services and client accounts."""

from __future__ import annotations

import dataclasses
import enum


class RouteKind(enum.StrEnum):
    """Say what may be repeated of a route's requests, and how they are answered."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Send a share of a route's requests to a service; shares are relative to their sum."""

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Declare how requests of one host and path prefix are handled.

    Attributes:
        name: Names the route in logs and metrics.
        host: Value of the Host header, without a port.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout_ms: Longest time to a final answer, in milliseconds.
        target_ms: Time to the answer, or to the first event of a stream, that callers expect.
        gap_ms: Longest pause between events of a stream that callers expect; 0 if not declared.
        patience_ms: Time without an event after which callers leave a stream, also before the first
            one; 0 if they wait until their deadline.
        tier: Rank; 0 comes first.
        targets: Services that requests are split over.
        max_attempts: Upstreams that one request may be sent to.
        is_public: Whether requests need no key.
        has_prompt: Whether requests name the parts of their prompt, which upstreams cache.
        may_resume: Whether a broken stream may go on at another upstream.
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
        """Return whether a request that may have run can be sent once more."""
        return self.kind is RouteKind.SAFE or self.may_resume


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Describe the model engines of a service.

    Attributes:
        slots: Requests that one engine runs at once.
        memory_tokens: Tokens that one engine keeps for running requests and cached parts.
        event_tokens: Tokens in one event of a stream.
        token_bytes: Size of one token in an engine's memory; 0 if not declared.
        link_mbps: Rate of an engine's link to others, in megabits a second; 0 if not declared.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    token_bytes: int = 0
    link_mbps: float = 0.0

    @property
    def fetch_ms_per_token(self) -> float:
        """Return how long one engine fetches a token from another; 0 if they can't."""
        if self.token_bytes <= 0 or self.link_mbps <= 0:
            return 0.0
        return self.token_bytes * 8.0 / (self.link_mbps * 1000.0)


@dataclasses.dataclass(frozen=True, slots=True)
class ZonePrice:
    """Say what a second of an engine costs in a data centre, against the others."""

    zone: str
    price: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Say how many engines of a service may be ordered.

    Attributes:
        least: Fewest engines in each data centre.
        most: Most engines in each data centre, of both kinds together.
        boot_s: Time from an order until a new engine serves, in seconds.
        spot_price: Price of an engine that may be taken back, as a share of one that stays; 0 if
            there are none.
        zones: The data centres in which engines are to be had.
    """

    least: int
    most: int
    boot_s: float
    spot_price: float = 0.0
    zones: tuple[ZonePrice, ...] = ()

    @property
    def has_spot(self) -> bool:
        """Return whether there are cheaper engines that may be taken back."""
        return 0.0 < self.spot_price < 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Declare a group of equal upstreams.

    Attributes:
        name: Names the service.
        health_path: Answers health checks.
        max_connections: Connections that one upstream takes from all its callers.
        engine: What its model engines are like; None for plain services.
        scaling: How many of them may be ordered; None if none may.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 64
    engine: EngineSpec | None = None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """Declare a client account; its tier, if set, goes before that of the route."""

    name: str
    api_keys: tuple[str, ...] = ()
    tier: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Routing:
    """Hold one version of a deployment's configuration; the operator chooses its number."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
