"""Operators' declarations: optimistic concurrency by revision, idempotency by change id."""

from __future__ import annotations

import collections
import dataclasses
import hashlib

import msgspec

from medlarfork import errors, labels
from medlarfork.orders import order_types

MAX_DECLARATIONS = 1_000
"""Maximum number of declarations; further ones are refused."""

MAX_ANSWERS = 1_000
"""Maximum number of remembered answers to changes; the oldest are evicted first."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """The answer to a change, with a digest of the change."""

    change_id: str
    digest: bytes
    reply: order_types.BoardReply


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationsState:
    """Complete state for a snapshot; answers are in order of age, oldest first."""

    revision: int = 0
    declared: tuple[order_types.Declared, ...] = ()
    answers: tuple[_Answer, ...] = ()


class Declarations:
    """Replicated table of declarations; deterministic.

    The revision increases with each accepted change. A change is refused if its declaration was
    changed after the base revision, so it can't take effect twice even after its answer was
    evicted.
    """

    def __init__(self, state: DeclarationsState | None = None) -> None:
        """Start empty or from a snapshot."""
        state = state or DeclarationsState()
        self._revision = state.revision
        self._declared_by_name = {declared.desired.name: declared for declared in state.declared}
        self._answer_by_id = collections.OrderedDict(
            (answer.change_id, answer) for answer in state.answers
        )

    @property
    def revision(self) -> int:
        """Return the revision of the last accepted change."""
        return self._revision

    @property
    def declared_by_name(self) -> dict[str, order_types.Declared]:
        """Return the declarations, keyed by name."""
        return self._declared_by_name

    def state(self) -> DeclarationsState:
        """Return the complete state for a snapshot."""
        return DeclarationsState(
            self._revision,
            tuple(self._declared_by_name.values()),
            tuple(self._answer_by_id.values()),
        )

    def declare(self, command: order_types.Declare, now_ms: int) -> order_types.BoardReply:
        """Accept or refuse a change; a repeated change id gets the first answer again."""
        digest = _digest(command)
        known = self._answer_by_id.get(command.change_id)
        if known is not None:
            return (
                known.reply
                if known.digest == digest
                else self._reply(order_types.Verdict.KEY_REUSED)
            )
        reply = self._apply_declare(command, now_ms)
        if command.change_id:
            self._answer_by_id[command.change_id] = _Answer(command.change_id, digest, reply)
            if len(self._answer_by_id) > MAX_ANSWERS:
                self._answer_by_id.popitem(last=False)
        return reply

    def withdraw(self, name: str) -> order_types.BoardReply:
        """Remove a declaration if it exists."""
        if self._declared_by_name.pop(name, None) is not None:
            self._revision += 1
        return self._reply(order_types.Verdict.ACCEPTED)

    def _apply_declare(self, command: order_types.Declare, now_ms: int) -> order_types.BoardReply:
        desired = command.desired
        try:
            labels.Selector.parse(desired.selector)
        except errors.SelectorSyntaxError:
            return self._reply(order_types.Verdict.INVALID)
        if not _is_valid(desired):
            return self._reply(order_types.Verdict.INVALID)
        before = self._declared_by_name.get(desired.name)
        if before is None and len(self._declared_by_name) >= MAX_DECLARATIONS:
            return self._reply(order_types.Verdict.FULL)
        if before is not None and before.revision > command.base_revision:
            return dataclasses.replace(self._reply(order_types.Verdict.CONFLICT), winner=before)
        self._revision += 1
        self._declared_by_name[desired.name] = order_types.Declared(
            desired,
            self._revision,
            command.change_id,
            command.operator,
            command.base_revision,
            now_ms,
        )
        return self._reply(order_types.Verdict.ACCEPTED)

    def _reply(self, verdict: order_types.Verdict) -> order_types.BoardReply:
        return order_types.BoardReply(verdict, self._revision)


def _is_valid(desired: order_types.DesiredState) -> bool:
    sizes = all(weights.name and weights.size_bytes >= 0 for weights in desired.weights)
    return bool(desired.name) and sizes and 0 <= desired.max_unavailable <= 1


def _digest(command: order_types.Declare) -> bytes:
    encoded = msgspec.msgpack.encode((command.base_revision, command.desired))
    return hashlib.blake2b(encoded, digest_size=16).digest()
