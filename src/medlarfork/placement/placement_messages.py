"""Define what entry hosts and the owner of placement say to each other about one request.

Any message may be lost or late. A placement is advice on where to send: whether a request may be
sent, and how often, is decided by the entry host that has it.
"""

from __future__ import annotations

import dataclasses
import enum

from medlarfork import rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSegment:
    """Name one part of a prompt that several requests may share; parts come in order."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """Name a part of a service's upstreams that has an owner of its own.

    A shard stays the same one while their number changes: most of its upstreams stay with it, and
    its owner goes on knowing what they hold.

    Attributes:
        service: Whose upstreams.
        index: Which part, from 0.
        count: Into how many parts the service is divided now; tells no two shards apart.
    """

    service: str
    index: int = 0
    count: int = dataclasses.field(default=1, compare=False)

    def has(self, upstream_id: str) -> bool:
        """Return whether an upstream belongs to this part."""
        return self.count == 1 or rendezvous.jump(upstream_id, self.count) == self.index


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Tell how much work the owners of a service at one replica were asked to place.

    Attributes:
        service: The service.
        read_ms: Reading of all prompts so far, as one engine takes for it, in milliseconds.
        requests: Requests that run or wait now.
    """

    service: str
    read_ms: float
    requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Ask where to send a request.

    Attributes:
        ticket_id: Names the question; never used twice.
        service: Whose upstreams may run it.
        tier: Rank; 0 comes first.
        left_ms: Time until the caller gives up, in milliseconds.
        target_ms: Time to the answer or first event that the caller expects, in milliseconds.
        gap_ms: Longest pause between events that the caller expects; 0 for none.
        parts: The prompt's parts.
        output_tokens: Tokens that the answer may have; 0 for plain requests.
        first_left_ms: Time until the caller leaves if no event has come, in milliseconds; 0 if that
            is its deadline.
        zone: Where the entry host is.
        excluded: Upstreams that are not to be used, since they failed this request.
        shard: The part of the service's upstreams whose owner is asked.
        other_shard: The one that is asked if this one is busy; None if it has to wait here.
        begins_within_ms: When it is foreseen to begin in the shard that was asked before, in
            milliseconds: this one is to take it only if that is sooner here. 0 if none was asked.
        busy_shard: The one that was asked after this one and was busy too; None if none was.
        trial_key: Names a request under which upstreams ended, which runs only with the leave of
            the replica that is asked; empty for all others.
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

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens of the whole prompt."""
        return sum(part.tokens for part in self.parts)

    @property
    def max_wait_ms(self) -> float:
        """Return how long it may wait for its first event, in milliseconds."""
        return min(self.left_ms, self.first_left_ms) if self.first_left_ms else self.left_ms

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that it may fill of its engine's memory; none without a prompt."""
        return self.prompt_tokens + self.output_tokens if self.parts else 0

    @property
    def target_shard(self) -> Shard:
        """Return the part whose owner is asked: the whole service unless a part is named."""
        return self.shard or Shard(self.service)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEstimate:
    """Hold what an owner has learnt of how a service's engines work (see ``read_rate``).

    Attributes:
        tokens_per_ms: Prompt tokens read in a millisecond.
        chunk_tokens: Prompt tokens that one step reads.
        step_ms: Time of a step besides reading.
        fixed_ms: Time to a first event besides reading.
    """

    tokens_per_ms: float
    chunk_tokens: float
    step_ms: float
    fixed_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Answer: send it to this incarnation.

    Attributes:
        ticket_id: The question.
        upstream_id: The incarnation.
        fetch_from: Address of an upstream that holds more of the prompt; empty for none.
        belief: What the owner has learnt of engines; None if it has learnt nothing.
    """

    ticket_id: str
    upstream_id: str
    fetch_from: str = ""
    belief: EngineEstimate | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """Answer: it waits for a slot; another answer follows."""

    ticket_id: str


class RefusalCause(enum.StrEnum):
    """Say what has to change before a refused request may run.

    With ``CLOSED`` no upstream of the shard takes it by their signals, while one of another shard
    may; with ``TRIAL`` another request like it is on trial.
    """

    OVERLOAD = "overload"
    CLOSED = "closed"
    TRIAL = "trial"


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRefused:
    """Answer: it can't be served in time.

    Attributes:
        ticket_id: The question.
        retry_after_ms: When that is likely to change.
        why: The reason, in plain words.
        cause: What it is refused for.
    """

    ticket_id: str
    retry_after_ms: float
    why: str
    cause: RefusalCause = RefusalCause.OVERLOAD


@dataclasses.dataclass(frozen=True, slots=True)
class Busy:
    """Answer: another shard is to be asked; nothing is kept of the question.

    Attributes:
        ticket_id: The question.
        begins_ms: When the request would begin here, as far as that is foreseen, in milliseconds.
    """

    ticket_id: str
    begins_ms: float


Answer = Placed | Queued | PlaceRefused | Busy


@dataclasses.dataclass(frozen=True, slots=True)
class FirstEvent:
    """Report that a stream's first event came, ``after_ms`` after the request was sent."""

    ticket_id: str
    after_ms: float


class RunEnd(enum.StrEnum):
    """Say how a run at an upstream ended.

    A broken one lost its connection before any answer: it may have run, and its upstream may have
    crashed. One that is unreachable, or rejected it, did not run it. One that was not sent was
    withdrawn by its entry host: the upstream asked for nothing more after it was placed.
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
    """Hold the pauses between the events of one stream, in milliseconds.

    Attributes:
        usual_ms: The median.
        longest_ms: The longest.
    """

    usual_ms: float
    longest_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """Report that a placed request has ended, or that it is not asked for any more.

    Attributes:
        ticket_id: The question.
        end: How it ended.
        after_ms: Time since it was sent.
        pauses: Those of a stream that came from its first event to its end.
    """

    ticket_id: str
    end: RunEnd
    after_ms: float
    pauses: InterEventGaps | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StillRunning:
    """Tell a new owner of a request that another one, or the entry host alone, placed.

    Attributes:
        request: What runs.
        upstream_id: Where.
        has_begun: Whether its first event came.
    """

    request: PlaceRequest
    upstream_id: str
    has_begun: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerChosen:
    """Tell a replica whether the sender asks it from now on for the placement on a shard.

    What it held of the sender there is void.

    Attributes:
        shard: Which one.
        is_chosen: Whether the sender asks it.
        belief: What the owner before had learnt of the engines, if the sender was told.
    """

    shard: Shard
    is_chosen: bool
    belief: EngineEstimate | None = None


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
"""Every message class of this module, for the codec of the links."""
