"""Settings file of ``medlar-control``."""

from __future__ import annotations

import dataclasses
import pathlib

from medlarfork import errors
from medlarfork.settings import settings


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaAddress:
    """Addresses of one control replica.

    Attributes:
        replica_id: Stable identity; also the name of its link key.
        link_address: ``tcp://IP:PORT`` for links to other processes of the system.
        http_address: ``http://IP:PORT`` for operators.
    """

    replica_id: str
    link_address: str
    http_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """An operator, with the hex SHA-256 digest of the key that authenticates them."""

    name: str
    key_sha256: str


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of one control replica.

    Attributes:
        replica_id: This replica's id in ``replicas``.
        data_folder: Folder of all persistent data; on a disk of this host.
        replicas: All control replicas, this one included; the same on all of them.
        initial_voters: Replicas that bootstrap the log at the very first start; empty for all.
        operators: Operators that may use the operators' API.
        allow_anyone: True to let anyone use that API if ``operators`` is empty; for trials only.
        keys_folder: Folder of link keys (see ``medlarctl keygen``); empty for no authentication.
        claim_retention_s: How long idempotency keys that carry a time are remembered, in seconds;
            older ones are refused.
        claim_undated_retention_s: How long other idempotency keys are remembered, in seconds; a
            request that is repeated later runs again.
        claim_limit: Maximum remembered idempotency keys; the same on all replicas.
        log_level: Minimum level that is logged.
        order_lease_s: Duration of the lease for ordering engines, in seconds.
        order_limit_s: Maximum time after which an order can no longer be executed by an engine that
            checks no fences, in seconds; it has to exceed the longest load.
        order_answer_s: Timeout of an order's answer, in seconds.
        drain_s: Maximum wait for the requests of an engine whose role changes, in seconds.
        weight_bytes_per_second: Total rate of all loads from the weight store.
        weight_lanes: Maximum concurrent loads, which share that rate.
        memory_mb: Memory that the process may use, in megabytes; 0 if not stated.
        max_descriptors: File descriptors that it may open; 0 if not stated.
    """

    replica_id: str
    data_folder: pathlib.Path
    replicas: tuple[ReplicaAddress, ...]
    initial_voters: tuple[str, ...] = ()
    operators: tuple[Operator, ...] = ()
    allow_anyone: bool = False
    keys_folder: str = ""
    claim_retention_s: int = settings.bounded(3600, minimum=60, maximum=7 * 24 * 3600)
    claim_undated_retention_s: int = settings.bounded(24 * 3600, minimum=60, maximum=7 * 24 * 3600)
    claim_limit: int = settings.bounded(1_000_000, minimum=1, maximum=10_000_000)
    log_level: str = "INFO"
    order_lease_s: float = settings.bounded(6.0, minimum=0.5, maximum=600.0)
    order_limit_s: float = settings.bounded(600.0, minimum=0.5, maximum=86400.0)
    order_answer_s: float = settings.bounded(540.0, minimum=0.1, maximum=86400.0)
    drain_s: float = settings.bounded(120.0, minimum=0.0, maximum=86400.0)
    weight_bytes_per_second: float = settings.bounded(1e9, minimum=1.0, maximum=1e15)
    weight_lanes: int = settings.bounded(4, minimum=2, maximum=1_000)
    memory_mb: float = settings.bounded(0.0, minimum=0.0, maximum=1e6)
    max_descriptors: int = settings.bounded(0, minimum=0, maximum=10_000_000)

    @property
    def own_address(self) -> ReplicaAddress:
        """Return the addresses of this replica.

        Raises:
            errors.SettingsError: It is not among ``replicas``.
        """
        for address in self.replicas:
            if address.replica_id == self.replica_id:
                return address
        raise errors.SettingsError(
            f"Replica {self.replica_id!r} is not in replicas.",
            remedy="List all control replicas with their addresses, this one included.",
        )


def check(candidate: ControlSettings) -> None:
    """Check constraints between several settings.

    Raises:
        errors.SettingsError: The settings contradict each other.
    """
    ids = [address.replica_id for address in candidate.replicas]
    if len(set(ids)) != len(ids):
        raise errors.SettingsError(
            "Two replicas have the same replica_id.", remedy="Give each an id of its own."
        )
    if not set(candidate.initial_voters) <= set(ids):
        raise errors.SettingsError(
            "initial_voters names a replica that is not in replicas.",
            remedy="List its addresses in replicas.",
        )
    if not candidate.operators and not candidate.allow_anyone:
        raise errors.SettingsError(
            "No operator is named, so nobody could change the configuration.",
            remedy="Add an [[operators]] table with name and key_sha256.",
        )
    if candidate.operators and candidate.allow_anyone:
        raise errors.SettingsError(
            "allow_anyone is set although operators are named.", remedy="Remove one of the two."
        )
    if candidate.order_answer_s >= candidate.order_limit_s:
        raise errors.SettingsError(
            "order_answer_s is not less than order_limit_s.",
            remedy="Set order_limit_s well above the longest load and above order_answer_s.",
        )
    _ = candidate.own_address
