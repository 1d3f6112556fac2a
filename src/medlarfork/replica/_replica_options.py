"""Define the options of a replica and check that they are consistent."""

from __future__ import annotations

import dataclasses

from medlarfork import errors


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Hold a replica's timings and limits; all replicas of a log use the same timings.

    Attributes:
        election_timeout_min_s: Minimum time without a leader after which a voter campaigns.
        election_timeout_max_s: Maximum of that time; each timeout is drawn uniformly in between.
        heartbeat_s: Period of the leader's heartbeats.
        lease_s: How long a replica grants no vote after it has heard from a leader.
        drift_margin_s: How much earlier than that a leader stops relying on its lease. It
            covers clocks whose rates differ by up to ``drift_margin / lease``.
        batch_entries: Maximum number of entries in one message.
        batch_bytes: Maximum command bytes in one message, unless a single command is larger.
        in_flight_appends: Maximum unanswered messages with entries to one follower.
        in_flight_persists: Maximum writes handed to the disk and not yet synced.
        uncommitted_entries: Maximum entries that a leader accepts beyond the commit index.
        snapshot_every_entries: Applied entries between two snapshots.
        trailing_entries: Entries before a snapshot that are kept in memory, for followers that
            are only slightly behind.
        snapshot_chunk_bytes: Size of a chunk of a snapshot sent to a follower.
        apply_batch_entries: Maximum entries applied per event.
    """

    election_timeout_min_s: float = 1.0
    election_timeout_max_s: float = 2.0
    heartbeat_s: float = 0.25
    lease_s: float = 1.0
    drift_margin_s: float = 0.1
    batch_entries: int = 64
    batch_bytes: int = 256 * 1024
    in_flight_appends: int = 4
    in_flight_persists: int = 4
    uncommitted_entries: int = 4096
    snapshot_every_entries: int = 1000
    trailing_entries: int = 200
    snapshot_chunk_bytes: int = 64 * 1024
    apply_batch_entries: int = 1024

    def __post_init__(self) -> None:
        """Reject timings under which a lease would not be safe.

        Raises:
            errors.SettingsError: The timings contradict each other.
        """
        in_order = (
            0 < self.heartbeat_s < self.lease_s - self.drift_margin_s
            and self.drift_margin_s > 0
            and self.lease_s <= self.election_timeout_min_s < self.election_timeout_max_s
        )
        if not in_order:
            raise errors.SettingsError(
                "The replica's timings contradict each other.",
                remedy="Keep heartbeat < lease - drift margin and "
                "lease <= shortest election timeout < longest election timeout.",
            )
