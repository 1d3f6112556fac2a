"""Desired state, orders, and the commands, events and actions of the order planner."""

from __future__ import annotations

import dataclasses
import enum


class WeightsKind(enum.StrEnum):
    """Kinds of weights: complete models and adapters."""

    MODEL = "model"
    ADAPTER = "adapter"


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """One version of a model or adapter; ``size_bytes`` is what a load transfers."""

    name: str
    version: str
    size_bytes: int
    kind: WeightsKind = WeightsKind.MODEL


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredState:
    """A declaration of the weights and role that the matching engines should have.

    Attributes:
        name: Unique name of the declaration.
        selector: Text of the selector over the labels that engines announce.
        upstream_ids: Explicit list of engine ids; if not empty, the selector is ignored.
        precedence: If several declarations match an engine, the highest precedence applies.
        weights: Models and adapters to load, in these versions; others that are loaded stay.
        role: Role to take; empty to keep the current one.
        max_unavailable: Fraction of the matching engines that may be out of service at once for a
            role change, 0 to 1; at least one engine is always allowed.
    """

    name: str
    selector: str = ""
    upstream_ids: tuple[str, ...] = ()
    precedence: int = 0
    weights: tuple[Weights, ...] = ()
    role: str = ""
    max_unavailable: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class LoadWeights:
    """Load weights, replacing another version of the same name."""

    weights: Weights
    bytes_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRole:
    """Change an engine's role."""

    role: str


OrderAction = LoadWeights | ChangeRole


class OrderResult(enum.StrEnum):
    """Result of an order.

    DONE: the engine executed it.
    REFUSED_FENCE: the engine has seen a higher fence; it was not executed.
    FAILED: the engine refused it; it was not executed.
    UNKNOWN: no answer; it may have been executed, or may still be.
    """

    DONE = "done"
    REFUSED_FENCE = "refused_fence"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order to an engine, identified by ``fence`` and ``number``.

    Exactly one of ``load`` and ``change_role`` is set, because the codec can't decode unions of
    classes.
    """

    fence: int
    number: int
    upstream_id: str
    load: LoadWeights | None = None
    change_role: ChangeRole | None = None

    @classmethod
    def of(cls, fence: int, number: int, upstream_id: str, action: OrderAction) -> Order:
        """Return an order for an action."""
        if isinstance(action, LoadWeights):
            return cls(fence, number, upstream_id, load=action)
        return cls(fence, number, upstream_id, change_role=action)

    @property
    def order_id(self) -> str:
        """Return the id that is sent to engines."""
        return f"{self.fence}-{self.number}"

    @property
    def action(self) -> OrderAction:
        """Return the action that is ordered."""
        action = self.load or self.change_role
        assert action is not None
        return action


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedOrder:
    """A finished order; ``ended_at_ms`` is a log time in Unix milliseconds."""

    order: Order
    result: OrderResult
    ended_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Declared:
    """A declaration with the change that made it; log time in Unix milliseconds."""

    desired: DesiredState
    revision: int
    change_id: str
    operator: str
    base_revision: int
    accepted_at_ms: int


# Commands of the order board.


@dataclasses.dataclass(frozen=True, slots=True)
class Declare:
    """Command: add or replace a declaration.

    Attributes:
        desired: The declaration.
        change_id: Idempotency key that the operator's client creates for each change; a repeated
            command gets the first answer. Empty if the answer need not be remembered.
        base_revision: Board revision that the change is based on; 0 for an empty board.
        operator: Name of the operator.
    """

    desired: DesiredState
    change_id: str = ""
    base_revision: int = 0
    operator: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Command: remove a declaration; engines keep their weights and role."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class BeginHolding:
    """Command: a new holder starts; later commands with a lower fence are refused."""

    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOrder:
    """Command: record an order before it is sent."""

    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class RecordResult:
    """Command: record an order's result; ``fence`` is that of the reporting holder."""

    fence: int
    upstream_id: str
    order_id: str
    result: OrderResult


@dataclasses.dataclass(frozen=True, slots=True)
class SetInService:
    """Command: take an engine out of service before a role change, or return it to service.

    Numbers must increase within one fence, so that a delayed duplicate has no effect.
    """

    fence: int
    number: int
    upstream_id: str
    in_service: bool


BoardCommand = Declare | Withdraw | BeginHolding | RecordOrder | RecordResult | SetInService


class Verdict(enum.StrEnum):
    """Outcome of a command.

    ACCEPTED: it was applied.
    STALE_FENCE: a holder with a higher fence has started.
    CONFLICT: the engine has another order in progress, or the order's number was used before; or
        the declaration was changed after the base revision.
    KEY_REUSED: the change id was used for a different change.
    FULL: a size limit of the board was reached.
    INVALID: the declaration is invalid, or the command is unknown.
    """

    ACCEPTED = "accepted"
    STALE_FENCE = "stale_fence"
    CONFLICT = "conflict"
    KEY_REUSED = "key_reused"
    FULL = "full"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class BoardReply:
    """Reply to a command of the order board.

    Attributes:
        verdict: Outcome of the command.
        revision: For declarations: the board revision after the command.
        winner: For a conflict of declarations: the one that is in force.
    """

    verdict: Verdict
    revision: int = 0
    winner: Declared | None = None


# Messages and events.


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedWeights:
    """A version of a model or adapter that an engine has loaded."""

    name: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports on request.

    Attributes:
        incarnation: Increases with each start of the engine.
        weights: Loaded weights.
        role: Current role.
        executing: Id of the order in execution; empty if none.
        order_ids: Ids of the last orders accepted in this incarnation, if the engine keeps them.
    """

    incarnation: int
    weights: tuple[LoadedWeights, ...] = ()
    role: str = ""
    executing: str = ""
    order_ids: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OrderDone:
    """Event: a sent order was answered or timed out."""

    order_id: str
    result: OrderResult


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStateRead:
    """Event: an engine's state was read; ``state`` is None if there was no valid answer."""

    upstream_id: str
    number: int
    state: EngineState | None


@dataclasses.dataclass(frozen=True, slots=True)
class BoardCommitted:
    """Event: a command was applied to the board, whoever proposed it."""

    command: BoardCommand
    reply: BoardReply


@dataclasses.dataclass(frozen=True, slots=True)
class InventoryChanged:
    """Event: an engine was added, changed or removed."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """Event: an engine that is out of service has no running requests left."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Why an engine's next order is delayed; ``weights`` is set if that order is a load."""

    upstream_id: str
    reason: str
    weights: LoadedWeights | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderEngine:
    """Action: send an order at most once, and not after ``not_after``.

    Attributes:
        not_after: Monotonic time from which it must not be sent, in seconds.
        timeout_s: Timeout for the answer, in seconds.
    """

    upstream_id: str
    address: str
    fence: int
    order_id: str
    action: OrderAction
    not_after: float
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadEngineState:
    """Action: read an engine's state; ``EngineStateRead`` repeats ``number``."""

    upstream_id: str
    address: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Action: append a board command to the replicated log; may be lost, delayed or duplicated."""

    command: BoardCommand


@dataclasses.dataclass(frozen=True, slots=True)
class Deposed:
    """Action: an engine or the board has seen a newer holder; release the lease."""

    fence: int
