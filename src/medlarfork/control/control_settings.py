"""Define the settings file of ``medlar-control``."""

from __future__ import annotations

import dataclasses
import pathlib

from medlarfork import errors
from medlarfork.settings import settings


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaAddress:
    """Say where one control replica is reached.

    Attributes:
        replica_id: Stable identity; also the name of its link key.
        link_address: ``tcp://IP:PORT`` for the system's processes.
        http_address: ``http://IP:PORT`` for operators.
    """

    replica_id: str
    link_address: str
    http_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """Name an operator and the hex SHA-256 digest of the key that authenticates them."""

    name: str
    key_sha256: str


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Hold the settings of one control replica.

    Attributes:
        replica_id: Which of ``replicas`` this is.
        data_folder: Folder for everything that must survive; on a disk of this host.
        replicas: All control replicas, this one included; the same on all of them.
        initial_voters: Who founds the log at the very first start; empty for all replicas.
        operators: Who may use the operators' interface.
        allow_anyone: True to let anyone use it, if ``operators`` is empty; for trials only.
        keys_folder: Folder of link keys (see ``medlarctl keygen``); empty for no authentication.
        claim_retention_s: How long idempotency keys that carry their time are remembered, in
            seconds; older ones are refused.
        claim_undated_retention_s: How long other idempotency keys are remembered, in seconds; a
            request that comes again later runs again.
        claim_limit: Most idempotency keys remembered; the same on all replicas.
        log_level: Lowest level that is logged.
        order_lease_s: How long the lease for ordering engines lasts without renewal, in seconds.
        order_limit_s: Longest time from sending an order until an engine that checks no fences
            can't carry it out any more, in seconds; it has to exceed the longest load.
        order_answer_s: How long an order's answer is waited for, in seconds.
        drain_s: Longest wait for the requests of an engine whose role changes, in seconds.
        weight_bytes_per_second: Rate that the weight store allows to all loads together.
        weight_lanes: Loads that share that rate at once.
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

    @property
    def own_address(self) -> ReplicaAddress:
        """Return where this replica is reached.

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


def check(given: ControlSettings) -> None:
    """Check what no single field shows.

    Raises:
        errors.SettingsError: The settings contradict each other.
    """
    ids = [address.replica_id for address in given.replicas]
    if len(set(ids)) != len(ids):
        raise errors.SettingsError(
            "Two replicas have the same replica_id.", remedy="Give each an id of its own."
        )
    if not set(given.initial_voters) <= set(ids):
        raise errors.SettingsError(
            "initial_voters names a replica that is not in replicas.",
            remedy="List its addresses in replicas.",
        )
    if not given.operators and not given.allow_anyone:
        raise errors.SettingsError(
            "No operator is named, so nobody could change the configuration.",
            remedy="Add an [[operators]] table with name and key_sha256.",
        )
    if given.operators and given.allow_anyone:
        raise errors.SettingsError(
            "allow_anyone is set although operators are named.", remedy="Remove one of the two."
        )
    if given.order_answer_s >= given.order_limit_s:
        raise errors.SettingsError(
            "order_answer_s does not lie below order_limit_s.",
            remedy="Set order_limit_s well above the longest load and the answer's time limit.",
        )
    _ = given.own_address
