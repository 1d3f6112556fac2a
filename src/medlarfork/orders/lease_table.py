"""Replicated table of fenced leases: the holder and the fencing token of each.

The table reads no clock. A lease's duration is measured only by its holder and by processes that
wait for it to expire, each on its own monotonic clock.
"""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec

from medlarfork import codec
from medlarfork.orders import lease_types

COMMANDS = codec.Codec((lease_types.TakeLease, lease_types.RenewLease, lease_types.ReleaseLease))
"""Codec for the commands of a lease table."""

REPLIES = codec.Codec((lease_types.LeaseReply,))
"""Codec for the replies of a lease table."""

MAX_LEASES = 1_000
"""Maximum number of leases in the table; takes of further names are refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    """State of one lease; ``attempt`` is that of the take that acquired it."""

    version: lease_types.LeaseVersion = lease_types.LeaseVersion()
    holder: str = ""
    attempt: int = 0
    duration_s: float = 0.0


class LeaseTable:
    """Leases by name, changed by commands in log order; deterministic."""

    name = "leases"

    def __init__(self) -> None:
        """Create an empty table."""
        self._lease_by_name: dict[str, _Lease] = {}

    def apply(self, command: bytes, now_ms: int) -> bytes:
        """Apply a packed command; ``now_ms`` is ignored, so that clock steps have no effect.

        Raises:
            errors.LinkError: The bytes are not a known command.
        """
        return REPLIES.pack(self.apply_command(COMMANDS.unpack(command)))

    def apply_command(self, command: Any) -> lease_types.LeaseReply:
        """Apply a command and return the reply."""
        lease = self._lease_by_name.get(command.name, _Lease())
        changed = self._changed(lease, command)
        if changed is not None:
            self._lease_by_name[command.name] = changed
        after = changed or lease
        return lease_types.LeaseReply(
            changed is not None, after.version, after.holder, after.duration_s
        )

    def fence(self, name: str) -> int:
        """Return the fence of the last holder of a lease; 0 if it was never held."""
        return self._lease_by_name.get(name, _Lease()).version.fence

    def holder(self, name: str) -> str:
        """Return the holder of a lease; empty if it was released or never taken."""
        return self._lease_by_name.get(name, _Lease()).holder

    def encode(self) -> bytes:
        """Return the encoded state for a snapshot."""
        return msgspec.msgpack.encode(self._lease_by_name, order="deterministic")

    def restore(self, state: bytes) -> None:
        """Replace the state by an encoded one; empty bytes stand for the initial state."""
        if not state:
            self._lease_by_name = {}
            return
        self._lease_by_name = msgspec.msgpack.decode(state, type=dict[str, _Lease])

    def _changed(self, lease: _Lease, command: Any) -> _Lease | None:
        match command:
            case lease_types.TakeLease():
                return self._take(lease, command)
            case lease_types.RenewLease():
                return _renew(lease, command)
            case lease_types.ReleaseLease():
                return _release(lease, command)
            case _:
                return None

    def _take(self, lease: _Lease, command: lease_types.TakeLease) -> _Lease | None:
        if lease.holder == command.holder and lease.attempt == command.attempt:
            return lease
        if lease.version != command.seen:
            return None
        if command.name not in self._lease_by_name and len(self._lease_by_name) >= MAX_LEASES:
            return None
        version = lease_types.LeaseVersion(lease.version.fence + 1, 0)
        return _Lease(version, command.holder, command.attempt, command.duration_s)


def _renew(
    lease: _Lease, command: lease_types.RenewLease | lease_types.ReleaseLease
) -> _Lease | None:
    if not lease.holder or lease.version.fence != command.fence:
        return None
    version = dataclasses.replace(lease.version, renewals=lease.version.renewals + 1)
    return dataclasses.replace(lease, version=version)


def _release(lease: _Lease, command: lease_types.ReleaseLease) -> _Lease | None:
    renewed = _renew(lease, command)
    return None if renewed is None else dataclasses.replace(renewed, holder="")
