"""Model the configuration that operators declare: accounts, classes, services and selectors."""

from __future__ import annotations

import dataclasses
import enum
import functools

from medlarfork import labels

DEFAULT_LEASE_S = 3.0
"""How long an engine or service that falls silent still receives work, in seconds."""

LOWEST_TIER = 8
"""The tier of the lowest priority."""


class ServiceKind(enum.StrEnum):
    """Tell model engines, spoken to with the OpenAI API, from plain HTTP services."""

    MODEL = "model"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLimits:
    """Bound what one client account may use of each service; None means no bound."""

    concurrent: int | None = None
    requests_per_second: float | None = None
    tokens_per_minute: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """Declare a client account.

    Attributes:
        name: Unique name.
        key_sha256: Hex SHA-256 digests of the API keys accepted for the account.
        labels: Labels that every request of the account carries.
        weight: Share among accounts of the same tier when capacity is short.
        limits: Bounds on use.
    """

    name: str
    key_sha256: tuple[str, ...] = ()
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    weight: float = 1.0
    limits: AccountLimits = AccountLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """Declare a class of requests that share a latency target and a priority tier.

    Attributes:
        name: Unique name.
        tier: Priority; 1 is the highest.
        selector: Text of the selector over request labels (see ``request.Request.labels``).
        precedence: Among classes that match one request, the highest precedence wins.
        first_token_target_s: Target to the first byte of the answer's body, if any, in seconds.
        whole_target_s: Target for the whole answer, if any, in seconds.
        deadline_s: Time after which the answer is of no use, in seconds.
        floor_share: Share of freed capacity the tier is sure of while it has work queued.
        repeatable: False if no request of the class may run twice.
        preemptible: True if a stream of the class may be paused for a higher tier and resumed.
    """

    name: str
    tier: int
    selector: str = ""
    precedence: int = 0
    first_token_target_s: float | None = None
    whole_target_s: float | None = None
    deadline_s: float = 600.0
    floor_share: float = 0.05
    repeatable: bool = True
    preemptible: bool = False


DEFAULT_CLASS = RequestClass(name="default", tier=LOWEST_TIER, precedence=-1_000_000)
"""The class of requests that no declared class matches."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Declare a service and which upstreams answer it.

    Attributes:
        name: Unique name; plain services are reached under ``/services/NAME/``.
        kind: Model engines or plain HTTP.
        selector: Text of the selector over the labels that upstreams announce.
        models: Model names callers may ask for (model services only).
        slots: Concurrent requests per upstream, where the upstream announces none.
        shards: Into how many independently owned pools the upstreams are divided.
    """

    name: str
    kind: ServiceKind
    selector: str
    models: tuple[str, ...] = ()
    slots: int = 8
    shards: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Send requests whose labels match a selector to a service; highest precedence wins.

    Without a matching route a model request goes to the service that lists its model, and a
    plain request to the service named in its path.
    """

    name: str
    selector: str
    service: str
    precedence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Describe calls of a plain service: the labels they carry and whether they may repeat.

    Attributes:
        service: The service's name.
        method: HTTP method, or ``*``.
        path: Path below ``/services/NAME``; ``*`` matches any run of characters.
        repeatable: False if such a call may run at most once.
        labels: Labels added to the request.
    """

    service: str
    method: str
    path: str
    repeatable: bool
    labels: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class LabelKey:
    """Declare a label key that callers or upstreams may use, and its values (empty: any)."""

    key: str
    values: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Hold one whole declared configuration; immutable once accepted.

    Attributes:
        engine_lease_s: How long a silent upstream still receives work, in seconds.
        allow_undated_keys: Whether idempotency keys that carry no time are accepted. Nothing
            shows the age of such a key: sent again after its retention, its request runs again.
        drained_upstreams: Ids of upstreams that get no new work.
        drained_entries: Ids of entry hosts that are not named to callers any more.
    """

    name: str = ""
    accounts: tuple[Account, ...] = ()
    classes: tuple[RequestClass, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    calls: tuple[Call, ...] = ()
    label_keys: tuple[LabelKey, ...] = ()
    engine_lease_s: float = DEFAULT_LEASE_S
    allow_undated_keys: bool = True
    drained_upstreams: tuple[str, ...] = ()
    drained_entries: tuple[str, ...] = ()

    @functools.cached_property
    def account_by_name(self) -> dict[str, Account]:
        """Return the accounts, keyed by name."""
        return {account.name: account for account in self.accounts}

    @functools.cached_property
    def account_by_key_sha256(self) -> dict[str, Account]:
        """Return the accounts, keyed by the digest of each API key."""
        return {digest: account for account in self.accounts for digest in account.key_sha256}

    @functools.cached_property
    def class_by_name(self) -> dict[str, RequestClass]:
        """Return the request classes and the default one, keyed by name."""
        declared = {request_class.name: request_class for request_class in self.classes}
        return {DEFAULT_CLASS.name: DEFAULT_CLASS, **declared}

    @functools.cached_property
    def service_by_name(self) -> dict[str, Service]:
        """Return the services, keyed by name."""
        return {service.name: service for service in self.services}

    @functools.cached_property
    def service_by_model(self) -> dict[str, Service]:
        """Return the model services, keyed by each model name they list; the first one wins."""
        by_model: dict[str, Service] = {}
        for service in self.services:
            for model in service.models:
                by_model.setdefault(model, service)
        return by_model

    @functools.cached_property
    def class_selectors(self) -> tuple[labels.Selector, ...]:
        """Return the parsed selectors of ``classes``, in the same order."""
        return tuple(labels.Selector.parse(item.selector) for item in self.classes)

    @functools.cached_property
    def service_selectors(self) -> tuple[labels.Selector, ...]:
        """Return the parsed selectors of ``services``, in the same order."""
        return tuple(labels.Selector.parse(item.selector) for item in self.services)

    @functools.cached_property
    def route_selectors(self) -> tuple[labels.Selector, ...]:
        """Return the parsed selectors of ``routes``, in the same order."""
        return tuple(labels.Selector.parse(item.selector) for item in self.routes)

    @functools.cached_property
    def ranked_classes(self) -> tuple[tuple[RequestClass, labels.Selector], ...]:
        """Return the classes with their selectors, highest precedence first."""
        pairs = zip(self.classes, self.class_selectors, strict=True)
        return tuple(sorted(pairs, key=lambda pair: -pair[0].precedence))

    @functools.cached_property
    def ranked_routes(self) -> tuple[tuple[Route, labels.Selector], ...]:
        """Return the routes with their selectors, highest precedence first."""
        pairs = zip(self.routes, self.route_selectors, strict=True)
        return tuple(sorted(pairs, key=lambda pair: -pair[0].precedence))

    @functools.cached_property
    def calls_by_service(self) -> dict[str, tuple[Call, ...]]:
        """Return the calls of each service in declared order, keyed by the service's name."""
        by_service: dict[str, list[Call]] = {}
        for call in self.calls:
            by_service.setdefault(call.service, []).append(call)
        return {service: tuple(calls) for service, calls in by_service.items()}

    @functools.cached_property
    def values_by_label_key(self) -> dict[str, tuple[str, ...]]:
        """Return the values of the declared label keys (empty: any), keyed by label key."""
        return {label_key.key: label_key.values for label_key in self.label_keys}
