"""Define the options of a replica and check that they fit together."""

from __future__ import annotations

import dataclasses

from medlarfork import errors


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Hold a replica's timings and bounds; all replicas of a log use the same timings.

    Attributes:
        election_timeout_min_s: The shortest silence after which a voter campaigns.
        election_timeout_max_s: The longest such silence; each wait is drawn in between.
        heartbeat_s: The period of the leader's heartbeats.
        lease_s: How long a replica that heard from a leader grants no vote.
        drift_margin_s: How much earlier than that a leader stops trusting its lease. It
            covers clocks whose rates differ by up to ``drift_margin / lease``.
        batch_entries: The most entries in one message.
        batch_bytes: The most command bytes in one message, unless one command is larger.
        in_flight_appends: Unanswered messages with entries to one follower.
        in_flight_persists: Writes handed to the disk and not yet synced.
        uncommitted_entries: Entries a leader takes beyond what is committed.
        snapshot_every_entries: Applied entries between two snapshots.
        trailing_entries: Entries kept in memory before a snapshot, for followers close behind.
        snapshot_chunk_bytes: The size of a piece of a snapshot on its way to a follower.
        apply_batch_entries: The most entries applied for one event.
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
        """Refuse timings under which a lease would not be safe.

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
