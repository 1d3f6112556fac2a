"""Messages between entry hosts and the placement owner about one request.

Any message may be lost or delayed. A placement is advice on where to send a request; the entry host
that holds the request decides whether it is sent, and how often.
"""

from __future__ import annotations

import dataclasses
import enum

from medlarfork import rendezvous
from medlarfork.placement import reported_load


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSegment:
    """A prompt prefix segment that several requests may share; segments are in prompt order."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """A part of a service's upstreams that has its own owner.

    A shard keeps its identity while the number of shards changes: most of its upstreams stay in it,
    and its owner still knows their caches.

    Attributes:
        service: The service of the upstreams.
        index: Number of the shard, from 0.
        count: Number of shards that the service is divided into now; ignored in comparisons.
    """

    service: str
    index: int = 0
    count: int = dataclasses.field(default=1, compare=False)

    def has(self, upstream_id: str) -> bool:
        """Return whether an upstream belongs to this shard."""
        return self.count == 1 or rendezvous.jump_hash(upstream_id, self.count) == self.index


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The load of a service that was offered to the placement owners at one replica.

    Attributes:
        service: The service.
        read_ms: Prefill time of all prompts so far on one engine, in milliseconds.
        requests: Requests that run or are queued now.
    """

    service: str
    read_ms: float
    requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Ask where to send a request.

    Attributes:
        ticket_id: Identifies this placement request; never reused.
        service: The service whose upstreams may run it.
        tier: Priority; 0 is the highest.
        left_ms: Time until the caller gives up, in milliseconds.
        target_ms: Expected time to the response or first event, in milliseconds.
        gap_ms: Longest inter-event gap that the caller expects, in milliseconds; 0 for none.
        parts: The prompt's prefix segments.
        output_tokens: Maximum length of the answer in tokens; 0 for plain requests.
        first_left_ms: Time until the caller leaves if no event has arrived, in milliseconds; 0 if
            that is its deadline.
        zone: Data centre of the entry host.
        excluded: Upstreams that are not to be used because they failed this request.
        shard: The shard whose owner is asked.
        other_shard: The shard to ask if this one is busy; None if the request has to wait here.
        begins_within_ms: The predicted start at the shard that was asked before, in milliseconds:
            this shard accepts the request only if it starts sooner here. 0 if none was asked
            before.
        busy_shard: The shard that was asked after this one and was busy too; None if none was.
        trial_key: Key of a crash-inducing request, which runs only as a trial that the replica
            grants; empty for all others.
        account: The client account; empty if the route is public.
        retry_key: Equal for all attempts of one request by its caller; empty if unknown.
        version: The only software version that may run it, because it began the stream; None if any
            may.
    """

    ticket_id: str
    service: str
    tier: int
    left_ms: float
    target_ms: float = 0.0
    gap_ms: float = 0.0
    parts: tuple[PromptSegment, ...] = ()
    output_tokens: int = 0
    first_left_ms: float = 0.0
    zone: str = ""
    excluded: tuple[str, ...] = ()
    shard: Shard | None = None
    other_shard: Shard | None = None
    begins_within_ms: float = 0.0
    busy_shard: Shard | None = None
    trial_key: str = ""
    account: str = ""
    retry_key: str = ""
    version: str | None = None

    def may_run_at(self, upstream_id: str, version: str | None) -> bool:
        """Return whether an upstream with this software version may run it."""
        return upstream_id not in self.excluded and self.version in (None, version)

    def without_exclusions(self) -> PlaceRequest:
        """Return the request as its caller sends it again: no upstream has failed it yet."""
        return dataclasses.replace(self, excluded=())

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the prompt in tokens."""
        return sum(part.tokens for part in self.parts)

    @property
    def max_wait_ms(self) -> float:
        """Return the longest time that it may wait for its first event, in milliseconds."""
        return min(self.left_ms, self.first_left_ms) if self.first_left_ms else self.left_ms

    @property
    def memory_tokens(self) -> int:
        """Return the KV cache tokens that it may fill; none without a prompt."""
        return self.prompt_tokens + self.output_tokens if self.parts else 0

    @property
    def target_shard(self) -> Shard:
        """Return the shard whose owner is asked: the entire service unless a shard is named."""
        return self.shard or Shard(self.service)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEstimate:
    """An owner's estimate of how a service's engines work (see ``read_rate``).

    Attributes:
        tokens_per_ms: Prompt tokens prefilled per millisecond.
        chunk_tokens: Prompt tokens that one step prefills.
        step_ms: Duration of a step without prefill, in milliseconds.
        fixed_ms: Time to first event without prefill, in milliseconds.
    """

    tokens_per_ms: float
    chunk_tokens: float
    step_ms: float
    fixed_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Answer: send the request to this incarnation.

    Attributes:
        ticket_id: The placement request.
        upstream_id: The incarnation.
        fetch_from: Address of an upstream that holds a longer prefix; empty for none.
        belief: The owner's estimate of the engines; None if it has none yet.
        speed: The owner's estimate of the upstream's relative time: 2 takes twice as long as usual.
    """

    ticket_id: str
    upstream_id: str
    fetch_from: str = ""
    belief: EngineEstimate | None = None
    speed: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """Answer: the request is queued; another answer follows."""

    ticket_id: str


class RefusalCause(enum.StrEnum):
    """What has to change before a refused request may run.

    With ``CLOSED``, no upstream of the shard accepts it because of backpressure signals, but one of
    another shard may; with ``VERSION``, none has the version that began the stream, but one of
    another shard may; with ``EXCLUDED``, all that may run it have failed it, but one of another
    shard may run it; with ``TRIAL``, another copy of the request is on trial.
    """

    OVERLOAD = "overload"
    CLOSED = "closed"
    EXCLUDED = "excluded"
    TRIAL = "trial"
    VERSION = "version"


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRefused:
    """Answer: the request can't be served in time.

    Attributes:
        ticket_id: The placement request.
        retry_after_ms: When that is likely to change, in milliseconds.
        why: The reason, as a phrase for people.
        cause: The kind of refusal.
        is_promise: Whether the retry time is scheduled: the request then goes before newcomers.
    """

    ticket_id: str
    retry_after_ms: float
    why: str
    cause: RefusalCause = RefusalCause.OVERLOAD
    is_promise: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Busy:
    """Answer: ask another shard; the owner keeps no state of the request.

    Attributes:
        ticket_id: The placement request.
        begins_ms: Predicted start of the request here, in milliseconds.
    """

    ticket_id: str
    begins_ms: float


Answer = Placed | Queued | PlaceRefused | Busy


@dataclasses.dataclass(frozen=True, slots=True)
class FirstEvent:
    """Report that a stream's first event arrived.

    Attributes:
        ticket_id: The placement request.
        after_ms: Time since it was sent, in milliseconds.
        load: What the upstream stated in the head of its response; None if it stated no load.
    """

    ticket_id: str
    after_ms: float
    load: reported_load.ReportedLoad | None = None


class RunEnd(enum.StrEnum):
    """How a run on an upstream ended.

    A broken run lost its connection before any response: it may have run, and its upstream may have
    crashed. An unreachable or rejected one did not run. One that was not sent was withdrawn by its
    entry host because the upstream sent a backpressure signal after the placement.
    """

    COMPLETE = "complete"
    FAILED = "failed"
    BROKEN = "broken"
    REJECTED = "rejected"
    UNREACHABLE = "unreachable"
    NOT_SENT = "not_sent"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class InterEventGaps:
    """The gaps between the events of one stream, in milliseconds.

    Attributes:
        usual_ms: The median.
        longest_ms: The longest.
    """

    usual_ms: float
    longest_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """Report that a placed request has ended, or that a queued one is withdrawn.

    Attributes:
        ticket_id: The placement request.
        end: How it ended.
        after_ms: Time since it was sent, in milliseconds.
        pauses: Inter-event gaps of a stream that was followed from its first event to its end.
        load: What the upstream stated in the head of its response; None if it stated no load.
    """

    ticket_id: str
    end: RunEnd
    after_ms: float
    pauses: InterEventGaps | None = None
    load: reported_load.ReportedLoad | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StillRunning:
    """Report to a new owner a running request that another owner, or the entry host alone, placed.

    Attributes:
        request: The request.
        upstream_id: Where it runs.
        has_begun: Whether its first event has arrived.
    """

    request: PlaceRequest
    upstream_id: str
    has_begun: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSpeed:
    """An owner's estimate of one upstream's relative time, where 1 is usual."""

    upstream_id: str
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPromise:
    """A scheduled retry of a refused request.

    Attributes:
        retry_key: Identifies the request (see ``PlaceRequest``).
        tier: Its priority.
        due_in_ms: Time until its retry is due, in milliseconds; negative if it is overdue.
    """

    retry_key: str
    tier: int
    due_in_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerChosen:
    """Report to a replica whether the sender asks it from now on for placement on a shard.

    All state that the replica holds for the sender on this shard becomes void.

    Attributes:
        shard: The shard.
        is_chosen: Whether the sender asks this replica.
        belief: The previous owner's estimate of the engines, if the sender has it.
        speeds: Relative times of the shard's upstreams that earlier owners told the sender.
        promises: Retry times that callers got through the sender and that are still due.
    """

    shard: Shard
    is_chosen: bool
    belief: EngineEstimate | None = None
    speeds: tuple[UpstreamSpeed, ...] = ()
    promises: tuple[RetryPromise, ...] = ()


PLACEMENT_MESSAGES: tuple[type, ...] = (
    PlaceRequest,
    Placed,
    Queued,
    PlaceRefused,
    Busy,
    FirstEvent,
    RunEnded,
    StillRunning,
    OwnerChosen,
)
"""The message classes of this module, to be registered with the codec of the links."""
