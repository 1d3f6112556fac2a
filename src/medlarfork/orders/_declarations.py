"""Keep what operators declare of engines: one winner for each revision, one answer for each id."""

from __future__ import annotations

import collections
import dataclasses
import hashlib

import msgspec

from medlarfork import errors, labels
from medlarfork.orders import order_types

MAX_DECLARATIONS = 1_000
"""How many declarations are held; further ones are refused."""

MAX_ANSWERS = 1_000
"""How many changes' answers are remembered; the oldest go first."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Keep the answer to a change with the digest of what was asked."""

    change_id: str
    digest: bytes
    reply: order_types.BoardReply


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationsState:
    """Hold everything for a snapshot; answers have their oldest first."""

    revision: int = 0
    declared: tuple[order_types.Declared, ...] = ()
    answers: tuple[_Answer, ...] = ()


class Declarations:
    """Decide changes of declarations; deterministic.

    The revision grows with each accepted change. A change is refused if its target was changed
    after the revision that the operator saw, so it can't take effect twice even if its answer
    is no longer remembered.
    """

    def __init__(self, state: DeclarationsState | None = None) -> None:
        """Start empty, or from a snapshot."""
        state = state or DeclarationsState()
        self._revision = state.revision
        self._declared_by_name = {held.desired.name: held for held in state.declared}
        self._answer_by_id = collections.OrderedDict(
            (answer.change_id, answer) for answer in state.answers
        )

    @property
    def revision(self) -> int:
        """Return the revision of the last accepted change."""
        return self._revision

    @property
    def declared_by_name(self) -> dict[str, order_types.Declared]:
        """Return what is declared, keyed by name."""
        return self._declared_by_name

    def state(self) -> DeclarationsState:
        """Return everything for a snapshot."""
        return DeclarationsState(
            self._revision,
            tuple(self._declared_by_name.values()),
            tuple(self._answer_by_id.values()),
        )

    def declare(self, command: order_types.Declare, now_ms: int) -> order_types.BoardReply:
        """Accept or refuse a change, or repeat the first answer to it."""
        digest = _digest(command)
        known = self._answer_by_id.get(command.change_id)
        if known is not None:
            return (
                known.reply
                if known.digest == digest
                else self._reply(order_types.Verdict.KEY_REUSED)
            )
        reply = self._decide(command, now_ms)
        if command.change_id:
            self._answer_by_id[command.change_id] = _Answer(command.change_id, digest, reply)
            if len(self._answer_by_id) > MAX_ANSWERS:
                self._answer_by_id.popitem(last=False)
        return reply

    def withdraw(self, name: str) -> order_types.BoardReply:
        """Remove a declaration, if there is one."""
        if self._declared_by_name.pop(name, None) is not None:
            self._revision += 1
        return self._reply(order_types.Verdict.ACCEPTED)

    def _decide(self, command: order_types.Declare, now_ms: int) -> order_types.BoardReply:
        desired = command.desired
        try:
            labels.Selector.parse(desired.selector)
        except errors.SelectorSyntaxError:
            return self._reply(order_types.Verdict.INVALID)
        if not _is_sound(desired):
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


def _is_sound(desired: order_types.DesiredState) -> bool:
    sizes = all(weights.name and weights.size_bytes >= 0 for weights in desired.weights)
    return bool(desired.name) and sizes and 0 <= desired.max_unavailable <= 1


def _digest(command: order_types.Declare) -> bytes:
    encoded = msgspec.msgpack.encode((command.base_revision, command.desired))
    return hashlib.blake2b(encoded, digest_size=16).digest()
