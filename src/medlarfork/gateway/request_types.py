"""Types that the request handler and the request pipeline share."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Callable, Collection, Mapping
from typing import TYPE_CHECKING, Any, Protocol

from medlarfork.coordination import upstream_types
from medlarfork.gateway import (
    origin_tracker,
    owner_client,
    request_header_names,
    request_metadata,
    retry_budget,
    stopping,
)
from medlarfork.http import http_client, http_server, upstream_reachability
from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_ledger, crash_subject
from medlarfork.resumption import stream_origin
from medlarfork.routes import routing

if TYPE_CHECKING:
    from medlarfork.gateway import stream_budget
    from medlarfork.http import answer_budget

    OpenAnswer = Callable[[Callable[[], None]], answer_budget.AnswerLease]
    """Returns the lease of a large answer, given what ends the answer while it arrives."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that was read, routed and authenticated.

    Attributes:
        exchange: The HTTP exchange with the caller.
        metadata: What its headers state.
        route: The route that it matched.
        key: The same for all retries of a request by its account (see ``crash_subject``).
        service: The target service that was chosen by weight.
        account: The client account; empty on public routes.
        tier: Its tier; 0 is the most urgent.
        body: Its complete body.
        started_at: When its head had arrived, in monotonic seconds.
        deadline_at: When its caller or route times out, in monotonic seconds.
        is_relayed: Whether another entry host has forwarded it.
        prior_runs: Attempts that may have run before it was forwarded.
        origin: What began its stream, as the host that forwarded it states; None if unknown.
    """

    exchange: http_server.Exchange
    metadata: request_metadata.RequestMetadata
    route: routing.Route
    key: str
    service: str
    account: str
    tier: int
    body: bytes
    started_at: float
    deadline_at: float
    is_relayed: bool = False
    prior_runs: int = 0
    origin: stream_origin.StreamOrigin | None = None

    @property
    def crash_keys(self) -> tuple[str, ...]:
        """Return the subjects for which upstream crashes count: itself and its shared parts."""
        segments = self.metadata.prompt_segments if self.route.has_prompt else ()
        return crash_subject.keys(self.key, self.service, segments)

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the ids of the prompt parts that other requests may share: all but the last."""
        segments = self.metadata.prompt_segments[:-1] if self.route.has_prompt else ()
        return tuple(segment.part_id for segment in segments)


MAX_LOGGED_PARTS = 8
"""Maximum number of prompt parts in a log line; their ids are the callers' choice."""

MAX_LOGGED_PART_LENGTH = 32
"""Maximum characters of the id of a prompt part in a log line."""


def format_parts(parts: tuple[str, ...]) -> str | None:
    """Return the ids of prompt parts for a log line; None if there are none."""
    return ",".join(part[:MAX_LOGGED_PART_LENGTH] for part in parts[:MAX_LOGGED_PARTS]) or None


CALLER_GONE_STATUS = 499
"""Status in logs and metrics of a request whose caller disconnected before its answer."""


class Result(enum.StrEnum):
    """The final result of a request."""

    ANSWERED = "answered"
    CUT = "cut"
    CALLER_GONE = "caller_gone"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


@dataclasses.dataclass(slots=True)
class Trace:
    """The data of a request's log line.

    Attributes:
        result: Its final result.
        status: The status sent to its caller; 0 for none.
        upstreams: The incarnations that it was sent to, in order.
        versions: The software versions of these, in order.
        relays: The entry hosts that it was forwarded to, in order.
        tickets: The ids of its placement tickets, in order.
        reasons: Why attempts ended without an answer, in order.
        waited_ms: Time until its first placement, in milliseconds.
        first_event_ms: Time to the first event or the complete answer, in milliseconds.
        max_gap_ms: Longest gap between two events that were passed on, in milliseconds.
        framing: What delimited the last response; empty if there was none.
        partial_bytes: Bytes of an incomplete event at the end of the last stream.
        held_key: The subject of crashes for which it was refused; empty if it was not.
        retries: Attempts that were sent on the retry budget.
    """

    result: Result = Result.FAILED
    status: int = 0
    upstreams: list[str] = dataclasses.field(default_factory=list)
    versions: list[str] = dataclasses.field(default_factory=list)
    relays: list[str] = dataclasses.field(default_factory=list)
    tickets: list[str] = dataclasses.field(default_factory=list)
    reasons: list[str] = dataclasses.field(default_factory=list)
    waited_ms: float = 0.0
    first_event_ms: float = 0.0
    max_gap_ms: float = 0.0
    framing: str = ""
    partial_bytes: int = 0
    held_key: str = ""
    retries: int = 0


class Session(Protocol):
    """What is known of upstreams and their shards (see ``entry_session``)."""

    def shards(
        self, service: str, key: str, version: str | None = None
    ) -> tuple[placement_messages.Shard, placement_messages.Shard | None]:
        """Return the shard that serves an affinity key, and the one to ask while that is busy."""
        ...

    def find_upstream(self, upstream_id: str) -> upstream_types.Announcement | None:
        """Return an upstream if it may get requests now, also one that joined after placement."""
        ...

    def is_replaced(self, upstream: upstream_types.Announcement) -> bool:
        """Return whether another incarnation has taken an upstream's address or name."""
        ...

    def lacks_version(self, service: str, version: str, excluded: Collection[str]) -> bool:
        """Return whether no upstream of a version may get a request."""
        ...


class OriginTracking(Protocol):
    """Knows which versions began streams (see ``origin_tracker``)."""

    def record(
        self, key: bytes, origin: stream_origin.StreamOrigin, deadline_s: float | None
    ) -> None:
        """Record a stream whose first event has arrived."""
        ...

    async def find(self, key: bytes, service: str) -> origin_tracker.Found:
        """Return the origin of a stream that a caller takes up again."""
        ...

    async def find_only_version(self, service: str) -> origin_tracker.Found:
        """Return the version of a service if only one can have begun a stream."""
        ...


class CrashTracking(Protocol):
    """Decides whether a request may run, and records how its runs end (see ``crash_tracker``)."""

    def standing(self, keys: tuple[str, ...]) -> crash_ledger.Standing:
        """Return whether a request with these subjects may run."""
        ...

    async def handle_broken_run(
        self,
        admitted: AdmittedRequest,
        upstream: upstream_types.Announcement,
        *,
        has_begun: bool = False,
        sent_at: float = math.inf,
    ) -> None:
        """Handle a run without a complete answer."""
        ...

    def record_abandoned_run(
        self,
        keys: tuple[str, ...],
        upstream: upstream_types.Announcement,
        *,
        has_begun: bool = False,
    ) -> None:
        """Record a run whose caller no longer waits."""
        ...

    async def is_suspect(self, keys: tuple[str, ...], upstream_id: str, broken_runs: int) -> bool:
        """Return whether a request must not be retried, because its subjects crashed upstreams."""
        ...

    def record_completed_run(self, keys: tuple[str, ...]) -> None:
        """Record that an upstream answered a request completely."""
        ...


class UsageRecorder(Protocol):
    """Counts started requests for each client account (see ``usage_reporter``)."""

    def record_started(self, account: str) -> None:
        """Count a request that starts to run now."""
        ...

    def record_sent(self, account: str) -> int:
        """Count a sent call; return its id for ``record_outcome``."""
        ...

    def record_outcome(self, send: int, *, has_started: bool) -> None:
        """Record whether a sent call started to run."""
        ...


class NullUsageRecorder:
    """Counts nothing, where usage is not reported."""

    def record_started(self, account: str) -> None:
        """Count nothing."""

    def record_sent(self, account: str) -> int:
        """Return 0, the id of a call that is not counted."""
        return 0

    def record_outcome(self, send: int, *, has_started: bool) -> None:
        """Count nothing."""


class BackpressureTracking(Protocol):
    """Tracks backpressure signals in upstreams' responses (see ``backpressure_tracker``)."""

    def record_response(
        self,
        upstream_id: str,
        status: int,
        headers: Mapping[str, str],
        *,
        sent_at: float,
        attempt_id: str,
    ) -> None:
        """Record the signals in a response's head."""
        ...

    def may_send(self, upstream_id: str) -> bool:
        """Return whether an upstream still accepts a request that was placed on it."""
        ...

    def remaining_backoff_ms(self, service: str) -> float:
        """Return the time until any upstream of a service accepts requests from here, in ms."""
        ...


class Relaying(Protocol):
    """Forwards requests to other entry hosts (see ``relay_client``)."""

    async def choose(self, excluded: Collection[str]) -> str:
        """Return the address of a relay host; empty if there is none."""
        ...

    async def wait_usable(self, excluded: Collection[str], within_s: float) -> bool:
        """Return whether there is a relay host to choose, once replicas have named one."""
        ...

    async def send(
        self,
        address: str,
        admitted: AdmittedRequest,
        names: request_header_names.RequestHeaderNames,
        *,
        left_ms: float,
        last_event_id: str,
        origin: stream_origin.StreamOrigin | None,
        runs: int,
    ) -> Any:
        """Forward a request; return the response, a failure or a refusal."""
        ...


class ReachabilityTracking(Protocol):
    """Observes whether this host reaches upstreams (see ``reachability_prober``)."""

    @property
    def reachability(self) -> upstream_reachability.UpstreamReachability:
        """Return what the connections to upstreams show."""
        ...

    async def wait_verdict(self, service: str, within_s: float) -> bool:
        """Return whether no upstream of a service can be reached, once probes have shown it."""
        ...

    async def begin_attempt(self, attempt: str) -> None:
        """Record that an attempt is about to be sent."""
        ...

    def end_attempt(self, attempt: str) -> None:
        """Record that an attempt has ended."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class SharedContext:
    """What all requests of an entry host share."""

    client: http_client.HttpClient
    names: request_header_names.RequestHeaderNames
    owner: owner_client.OwnerClient
    budgets: dict[str, retry_budget.RetryBudget]
    session: Session
    crashes: CrashTracking
    backpressure: BackpressureTracking
    usage: UsageRecorder
    origins: OriginTracking
    zone: str
    relaying: Relaying
    tracking: ReachabilityTracking
    open_answer: OpenAnswer
    runs: stopping.RunGuard
    budget: stream_budget.StreamBudget[Any] | None = None
