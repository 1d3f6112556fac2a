"""Model of the declared configuration: accounts, request classes, services, routes, calls."""

from __future__ import annotations

import dataclasses
import enum
import functools

from medlarfork import labels

DEFAULT_LEASE_S = 3.0
"""Default time for which an upstream that stops announcing itself still gets work, in seconds."""

LOWEST_TIER = 8
"""Number of the tier with the lowest priority."""


class ServiceKind(enum.StrEnum):
    """Kind of a service: model engines with the OpenAI API, or plain HTTP."""

    MODEL = "model"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLimits:
    """Limits on the use of each service by one client account; None means unlimited."""

    concurrent: int | None = None
    requests_per_second: float | None = None
    tokens_per_minute: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: Unique name.
        key_sha256: Hex SHA-256 digests of the API keys accepted for the account.
        labels: Labels that every request of the account carries.
        weight: Share among accounts of the same tier when capacity is short.
        limits: Limits on use.
    """

    name: str
    key_sha256: tuple[str, ...] = ()
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    weight: float = 1.0
    limits: AccountLimits = AccountLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests that share latency targets and a priority tier.

    Attributes:
        name: Unique name.
        tier: Priority; 1 is the highest.
        selector: Text of the selector over request labels (see ``request.Request.labels``).
        precedence: If several classes match a request, the highest precedence wins.
        first_token_target_s: Target for the time to the first byte of the answer's body, in
            seconds; None for no target.
        whole_target_s: Target for the time to the complete answer, in seconds; None for no target.
        deadline_s: Time after which the answer is of no use, in seconds.
        floor_share: Guaranteed share of freed capacity for the tier while it has requests queued.
        repeatable: False if a request of the class may run at most once.
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
"""Class of the requests that no declared class matches."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and the selector of its upstreams.

    Attributes:
        name: Unique name; plain services are reached under ``/services/NAME/``.
        kind: Model engines or plain HTTP.
        selector: Text of the selector over the labels that upstreams announce.
        models: Model names that callers may request (model services only).
        slots: Concurrent requests per upstream, for upstreams that announce no number.
        shards: Number of independently owned pools that the upstreams are divided into.
    """

    name: str
    kind: ServiceKind
    selector: str
    models: tuple[str, ...] = ()
    slots: int = 8
    shards: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A rule that sends requests with matching labels to a service; highest precedence wins.

    Without a matching route a model request goes to the service that lists its model, and a
    plain request to the service named in its path.
    """

    name: str
    selector: str
    service: str
    precedence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Properties of calls to a plain service: their labels and whether they may be retried.

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
    """A label key that callers or upstreams may use, and its allowed values (empty: any)."""

    key: str
    values: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One complete declared configuration; immutable.

    Attributes:
        engine_lease_s: Time for which an upstream that stops announcing itself still gets work, in
            seconds.
        allow_undated_keys: Whether idempotency keys that contain no timestamp are accepted. The age
            of such a key is unknown: if it is resent after its retention, the request runs again.
        drained_upstreams: Ids of upstreams that get no new work.
        drained_entries: Ids of entry hosts that are no longer listed to callers.
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
        """Return the request classes, including the default class, keyed by name."""
        declared = {request_class.name: request_class for request_class in self.classes}
        return {DEFAULT_CLASS.name: DEFAULT_CLASS, **declared}

    @functools.cached_property
    def service_by_name(self) -> dict[str, Service]:
        """Return the services, keyed by name."""
        return {service.name: service for service in self.services}

    @functools.cached_property
    def service_by_model(self) -> dict[str, Service]:
        """Return the model services, keyed by model name; the first that lists a model wins."""
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
