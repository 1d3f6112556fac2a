"""Define what the handler of requests and the run of one request share."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Mapping
from typing import Protocol

from medlarfork.coordination import upstream_types
from medlarfork.gateway import owner_client, request_header_names, request_metadata, retry_budget
from medlarfork.http import http_client, http_server
from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_ledger
from medlarfork.routes import routing


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Hold a request that was read, routed and identified.

    Attributes:
        exchange: The caller's connection.
        facts: What its headers say.
        route: How it is handled.
        key: What its repeats share (see ``request_key``).
        service: The service that was drawn for it.
        account: The client account; empty on public routes.
        tier: Its rank.
        body: Its whole body.
        started_at: When its head was in, in monotonic seconds.
        deadline_at: When its caller or route gives up, in monotonic seconds.
    """

    exchange: http_server.Exchange
    facts: request_metadata.RequestMetadata
    route: routing.Route
    key: str
    service: str
    account: str
    tier: int
    body: bytes
    started_at: float
    deadline_at: float


CALLER_GONE_STATUS = 499
"""Status in logs and metrics for a request whose caller went before its answer."""


class Result(enum.StrEnum):
    """Say what became of a request."""

    ANSWERED = "answered"
    CUT = "cut"
    CALLER_GONE = "caller_gone"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


@dataclasses.dataclass(slots=True)
class Trace:
    """Collect what the log line of a request tells.

    Attributes:
        result: What became of it.
        status: The status that its caller got; 0 for none.
        upstreams: The incarnations it was sent to, in order.
        tickets: The questions to the owner of placement, in order.
        reasons: Why attempts ended without an answer, in order.
        waited_ms: Time until it was placed the first time, in milliseconds.
        first_event_ms: Time to the first event or the whole answer, in milliseconds.
        longest_pause_ms: Longest time between two events that were passed on, in milliseconds.
    """

    result: Result = Result.FAILED
    status: int = 0
    upstreams: list[str] = dataclasses.field(default_factory=list)
    tickets: list[str] = dataclasses.field(default_factory=list)
    reasons: list[str] = dataclasses.field(default_factory=list)
    waited_ms: float = 0.0
    first_event_ms: float = 0.0
    longest_pause_ms: float = 0.0


ChooseShards = Callable[
    [str, str], tuple[placement_messages.Shard, placement_messages.Shard | None]
]
"""Returns the shard that is to serve what a key names, and the one to ask while that is busy."""


class CrashTracking(Protocol):
    """Say whether a request may run, and take how its runs end (see ``crash_watch``)."""

    def standing(self, key: str) -> crash_ledger.Standing:
        """Return whether a request may run."""
        ...

    async def handle_broken_run(
        self, admitted: AdmittedRequest, upstream: upstream_types.Announcement
    ) -> None:
        """Note a run without a whole answer."""
        ...

    def record_abandoned_run(self, key: str, upstream: upstream_types.Announcement) -> None:
        """Note a run that nobody waits for any more."""
        ...

    async def is_suspect(self, key: str, upstream_id: str, own_breaks: int) -> bool:
        """Say whether a request is not to be sent on, since upstreams ended under it."""
        ...

    def record_completed_run(self, key: str) -> None:
        """Note that an upstream answered a request whole."""
        ...


class UsageRecorder(Protocol):
    """Count requests that began to run (see ``usage_teller``)."""

    def record_started(self, account: str) -> None:
        """Count a request that began to run now."""
        ...

    def record_sent(self, account: str) -> int:
        """Note a call that is sent now; return what ``record_outcome`` is to be told."""
        ...

    def record_outcome(self, send: int, *, has_started: bool) -> None:
        """Say whether a call that was sent began to run."""
        ...


class NullUsageRecorder:
    """Count nothing, where nobody is told of usage."""

    def record_started(self, account: str) -> None:
        """Count nothing."""

    def record_sent(self, account: str) -> int:
        """Return that there is nothing to be told."""
        return 0

    def record_outcome(self, send: int, *, has_started: bool) -> None:
        """Count nothing."""


class BackpressureTracking(Protocol):
    """Take what upstreams say of themselves in answers (see ``backpressure_watch``)."""

    def record_response(
        self,
        upstream_id: str,
        status: int,
        headers: Mapping[str, str],
        *,
        sent_at: float,
        attempt_id: str,
    ) -> None:
        """Take the head of an answer."""
        ...

    def may_send(self, upstream_id: str) -> bool:
        """Return whether an upstream still takes a request that was placed on it."""
        ...

    def remaining_backoff_ms(self, service: str) -> float:
        """Return how long all upstreams of a service want no request from here."""
        ...


FindUpstream = Callable[[str], upstream_types.Announcement | None]
"""Returns an upstream that may take requests now; it may have come while a request waited."""


@dataclasses.dataclass(frozen=True, slots=True)
class SharedContext:
    """Hold what all requests of an entry host share."""

    client: http_client.HttpClient
    names: request_header_names.RequestHeaderNames
    owner: owner_client.OwnerClient
    budgets: dict[str, retry_budget.RetryBudget]
    find_upstream: FindUpstream
    crashes: CrashTracking
    backpressure: BackpressureTracking
    usage: UsageRecorder
    shards: ChooseShards
    zone: str
    entry_hosts: int
