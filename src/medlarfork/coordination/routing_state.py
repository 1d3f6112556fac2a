"""Replicated state of a coordinator: routing, crash cases and singleton duties.

Operators assign version numbers, and the highest version ever accepted wins. A version that is not
higher than the current one changes nothing, so a duplicate or late change, or other content under
the same number, never takes effect.

Requests that are held since they crashed upstreams, and prompt parts that are held or on trial, are
in the log: after a restart of all processes each would otherwise crash as many more. For the duties
see ``duties.duty_log``.
"""

from __future__ import annotations

import dataclasses
import zlib
from typing import Any

from medlarfork import codec
from medlarfork.duties import duty_state
from medlarfork.quarantine import crash_subject

_COMPRESSION_LEVEL = 1
"""The fastest level: compression delays the leader at each change."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingVersion:
    """A version of the routing in the log, in snapshots and on the way to entry hosts.

    Attributes:
        version: Version number assigned by the operator; 0 for none.
        packed_body: The body that the operator sent, compressed with zlib.
    """

    version: int = 0
    packed_body: bytes = b""

    @property
    def body(self) -> bytes:
        """Return the body as the operator sent it."""
        return zlib.decompress(self.packed_body)


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRequest:
    """A request or a prompt part that must not run freely.

    Attributes:
        key: Its key (see ``crash_subject``).
        upstream_ids: The upstreams that it crashed.
        begun_ids: Those of them that crashed after an event of each run.
    """

    key: str
    upstream_ids: tuple[str, ...]
    begun_ids: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LiftedRequest:
    """A request or a prompt part that may run freely again."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSnapshot:
    """Snapshot of the complete state."""

    current: RoutingVersion
    held: tuple[HeldRequest, ...] = ()
    duties: duty_state.DutySnapshot = dataclasses.field(default_factory=duty_state.DutySnapshot)


MAX_HELD = 1000
"""Maximum held requests and prompt parts in the log, about 200 KB; the oldest of the more frequent
kind are evicted."""

_CODEC = codec.Codec(
    (RoutingVersion, HeldRequest, LiftedRequest, RoutingSnapshot, *duty_state.COMMANDS)
)


def pack(version: int, body: bytes) -> bytes:
    """Return the log command that puts a version in force."""
    packed = zlib.compress(body, _COMPRESSION_LEVEL)
    return _CODEC.pack(RoutingVersion(version, packed))


def pack_held(change: HeldRequest | LiftedRequest) -> bytes:
    """Return the log command that holds or releases a request."""
    return _CODEC.pack(change)


def pack_duty(command: Any) -> bytes:
    """Return the log command of a duty (see ``duty_state.COMMANDS``)."""
    return _CODEC.pack(command)


class RoutingState:
    """State to which the log's commands are applied.

    Attributes:
        current: The version in force.
        held_by_key: The requests and prompt parts that must not run freely.
        duties: State of the singleton duties.
    """

    def __init__(self) -> None:
        """Start without a version."""
        self.current = RoutingVersion()
        self.held_by_key: dict[str, HeldRequest] = {}
        self.duties = duty_state.DutyState()

    def apply(self, command: bytes) -> Any:
        """Apply a committed command; return it, or its result, or None if it changed nothing."""
        decoded = _CODEC.unpack(command)
        match decoded:
            case RoutingVersion(version):
                if version <= self.current.version:
                    return None
                self.current = decoded
            case HeldRequest(key):
                self.held_by_key[key] = decoded
                if len(self.held_by_key) > MAX_HELD:
                    del self.held_by_key[_oldest_held(tuple(self.held_by_key))]
            case LiftedRequest(key):
                if self.held_by_key.pop(key, None) is None:
                    return None
            case _:
                return self.duties.apply(decoded)
        return decoded

    def snapshot(self) -> bytes:
        """Return the state for a snapshot."""
        held = tuple(self.held_by_key.values())
        return _CODEC.pack(RoutingSnapshot(self.current, held, self.duties.snapshot()))

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot, which may be of a version without held requests."""
        match _CODEC.unpack(snapshot):
            case RoutingSnapshot(current, held, duties):
                self.current = current
                self.held_by_key = {item.key: item for item in held}
                self.duties.restore(duties)
            case RoutingVersion() as current:
                self.current = current
                self.held_by_key = {}
                self.duties.restore(duty_state.DutySnapshot())


def _oldest_held(keys: tuple[str, ...]) -> str:
    """Return the oldest key of the kind of subject that has more of them."""
    parts = [key for key in keys if crash_subject.is_part(key)]
    requests = [key for key in keys if not crash_subject.is_part(key)]
    return max(requests, parts, key=len)[0]
