"""Keep the routing in the replicated log: the highest version that was ever accepted wins.

The operator chooses the numbers. A version that is not higher than the one held changes nothing,
so that a repeated or late change, or other content under the same number, never takes effect.

The log also keeps which requests are held since upstreams ended under them: after a restart of all
processes each would else cost three upstreams once more. What singleton duties rest on is in it too
(see ``duties.duty_log``).
"""

from __future__ import annotations

import dataclasses
import zlib
from typing import Any

from medlarfork import codec
from medlarfork.duties import duty_state

_COMPRESSION_LEVEL = 1
"""The fastest level: it holds up the leader for each change."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingVersion:
    """Hold a version as it travels in the log, in snapshots and to entry hosts.

    Attributes:
        version: The operator's number; 0 stands for none.
        packed_body: The operator's body, compressed with zlib.
    """

    version: int = 0
    packed_body: bytes = b""

    @property
    def body(self) -> bytes:
        """Return the body as the operator sent it."""
        return zlib.decompress(self.packed_body)


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRequest:
    """Hold a request that is not to run, and the upstreams that ended under it."""

    key: str
    upstream_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LiftedRequest:
    """Name a request that is not held any more."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSnapshot:
    """Hold the whole state."""

    current: RoutingVersion
    held: tuple[HeldRequest, ...] = ()
    duties: duty_state.DutySnapshot = dataclasses.field(default_factory=duty_state.DutySnapshot)


MAX_HELD = 1000
"""Held requests that the log keeps, some 200 KB; the first ones give way."""

_CODEC = codec.Codec(
    (RoutingVersion, HeldRequest, LiftedRequest, RoutingSnapshot, *duty_state.COMMANDS)
)


def pack(version: int, body: bytes) -> bytes:
    """Return the log command that puts a version in force."""
    packed = zlib.compress(body, _COMPRESSION_LEVEL)
    return _CODEC.pack(RoutingVersion(version, packed))


def pack_held(change: HeldRequest | LiftedRequest) -> bytes:
    """Return the log command that holds a request or lets it go."""
    return _CODEC.pack(change)


def pack_duty(command: Any) -> bytes:
    """Return the log command of a duty (see ``duty_state.COMMANDS``)."""
    return _CODEC.pack(command)


class RoutingState:
    """Apply the log's commands.

    Attributes:
        current: The version in force.
        held_by_key: The requests that are held.
        duties: What singleton duties rest on.
    """

    def __init__(self) -> None:
        """Start without a version."""
        self.current = RoutingVersion()
        self.held_by_key: dict[str, HeldRequest] = {}
        self.duties = duty_state.DutyState()

    def apply(self, command: bytes) -> Any:
        """Apply a committed command and return it, or what came of it, if it changed anything."""
        offered = _CODEC.unpack(command)
        match offered:
            case RoutingVersion(version):
                if version <= self.current.version:
                    return None
                self.current = offered
            case HeldRequest(key):
                self.held_by_key[key] = offered
                if len(self.held_by_key) > MAX_HELD:
                    del self.held_by_key[next(iter(self.held_by_key))]
            case LiftedRequest(key):
                if self.held_by_key.pop(key, None) is None:
                    return None
            case _:
                return self.duties.apply(offered)
        return offered

    def snapshot(self) -> bytes:
        """Return the state for a snapshot."""
        held = tuple(self.held_by_key.values())
        return _CODEC.pack(RoutingSnapshot(self.current, held, self.duties.snapshot()))

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by that of a snapshot, also of one from before requests were held."""
        match _CODEC.unpack(snapshot):
            case RoutingSnapshot(current, held, duties):
                self.current = current
                self.held_by_key = {item.key: item for item in held}
                self.duties.restore(duties)
            case RoutingVersion() as current:
                self.current = current
                self.held_by_key = {}
                self.duties.restore(duty_state.DutySnapshot())
