"""Define desired state, orders, and the commands, events and actions around them."""

from __future__ import annotations

import dataclasses
import enum


class WeightsKind(enum.StrEnum):
    """Tell whole models from adapters."""

    MODEL = "model"
    ADAPTER = "adapter"


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Name one version of a model or adapter; ``size_bytes`` is what a load draws."""

    name: str
    version: str
    size_bytes: int
    kind: WeightsKind = WeightsKind.MODEL


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredState:
    """Declare what some engines should hold and be.

    Attributes:
        name: Unique name of the declaration.
        selector: Text of the selector over the labels that engines announce.
        upstream_ids: Engines named one by one; if any, the selector is not used.
        precedence: Among declarations that match one engine, the highest precedence wins.
        weights: Models and adapters to have loaded, in these versions; others stay as they are.
        role: Role to take; empty to leave it.
        max_unavailable: Share of the matching engines that may be out of service at once for a
            change of role, 0 to 1; always at least one engine.
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
    """Tell an engine to load weights, replacing another version of the same name."""

    weights: Weights
    bytes_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRole:
    """Tell an engine to take a role."""

    role: str


OrderAction = LoadWeights | ChangeRole


class OrderResult(enum.StrEnum):
    """Say how an order ended.

    DONE: the engine carried it out.
    REFUSED_FENCE: the engine has seen a newer holder; it was not carried out.
    FAILED: the engine refused it; it was not carried out.
    UNKNOWN: no answer; it may have been, or may still be, carried out.
    """

    DONE = "done"
    REFUSED_FENCE = "refused_fence"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Record one order; ``fence`` and ``number`` together are its identity.

    Exactly one of ``load`` and ``change_role`` is set: the codec decodes no unions of classes.
    """

    fence: int
    number: int
    upstream_id: str
    load: LoadWeights | None = None
    change_role: ChangeRole | None = None

    @classmethod
    def of(cls, fence: int, number: int, upstream_id: str, action: OrderAction) -> Order:
        """Return the order of an action."""
        if isinstance(action, LoadWeights):
            return cls(fence, number, upstream_id, load=action)
        return cls(fence, number, upstream_id, change_role=action)

    @property
    def order_id(self) -> str:
        """Return the identity as engines get it."""
        return f"{self.fence}-{self.number}"

    @property
    def action(self) -> OrderAction:
        """Return what the engine is told to do."""
        action = self.load or self.change_role
        assert action is not None
        return action


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedOrder:
    """Keep an order that ended, with the log time of its end in Unix milliseconds."""

    order: Order
    result: OrderResult
    ended_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Declared:
    """Keep a declaration with the change that made it, at a log time in Unix milliseconds."""

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
        change_id: Made by the operator's program, one for each change; its answer is repeated.
            Empty if the answer need not be remembered.
        base_revision: The board's revision that the operator saw; 0 for an empty board.
        operator: Who declares it.
    """

    desired: DesiredState
    change_id: str = ""
    base_revision: int = 0
    operator: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Command: remove a declaration; engines stay as they are."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class BeginHolding:
    """Command: refuse whatever older holders still propose."""

    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOrder:
    """Command: note an order before it is sent."""

    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class RecordResult:
    """Command: note how an order ended; ``fence`` is that of the holder that found out."""

    fence: int
    upstream_id: str
    order_id: str
    result: OrderResult


@dataclasses.dataclass(frozen=True, slots=True)
class SetInService:
    """Command: take an engine out of service before a change of role, or put it back.

    Numbers of one fence must grow, so that a late copy of an older command has no effect.
    """

    fence: int
    number: int
    upstream_id: str
    in_service: bool


BoardCommand = Declare | Withdraw | BeginHolding | RecordOrder | RecordResult | SetInService


class Verdict(enum.StrEnum):
    """Say what became of a command.

    ACCEPTED: it is in force.
    STALE_FENCE: a newer holder has begun.
    CONFLICT: the engine has another order in progress, or the order's number was used before; or
        the declaration was changed after the operator saw it.
    KEY_REUSED: the change id was used for another change.
    FULL: the board holds as much as it may.
    INVALID: the declaration's selector does not parse, or the command is not known.
    """

    ACCEPTED = "accepted"
    STALE_FENCE = "stale_fence"
    CONFLICT = "conflict"
    KEY_REUSED = "key_reused"
    FULL = "full"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class BoardReply:
    """Answer a command of the order board.

    Attributes:
        verdict: What became of it.
        revision: For declarations: the board's revision after the command.
        winner: For a conflict of declarations: the one that is in force instead.
    """

    verdict: Verdict
    revision: int = 0
    winner: Declared | None = None


# Messages and events.


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedWeights:
    """Say which version of a model or adapter an engine holds."""

    name: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """Hold what an engine answers when it is read back.

    Attributes:
        incarnation: Grows with each start of the engine.
        weights: What it holds now.
        role: The role it has now.
        executing: Id of the order it carries out now; empty if none.
        order_ids: The last orders it took in this incarnation, if it remembers them.
    """

    incarnation: int
    weights: tuple[LoadedWeights, ...] = ()
    role: str = ""
    executing: str = ""
    order_ids: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OrderDone:
    """Event: a sent order was answered, or not in time."""

    order_id: str
    result: OrderResult


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStateRead:
    """Event: an engine's state was read; None if it did not answer."""

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
    """Event: an engine appeared, changed or went."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """Event: an engine that is out of service runs no request any more."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Say what an engine waits for before its next order; ``weights`` if that is a load."""

    upstream_id: str
    reason: str
    weights: LoadedWeights | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderEngine:
    """Action: send an order once; never send it again, nor after ``not_after``.

    Attributes:
        not_after: Monotonic time after which it must not be sent any more, in seconds.
        timeout_s: How long to wait for the answer, in seconds.
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
    """Action: read an engine's state; the event repeats ``number``."""

    upstream_id: str
    address: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Action: append a board command to the replicated log; it may be lost, late or repeated."""

    command: BoardCommand


@dataclasses.dataclass(frozen=True, slots=True)
class Deposed:
    """Action: an engine or the board has seen a newer holder; give the lease up."""

    fence: int
