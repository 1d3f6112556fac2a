"""Settings file of ``medlar-entry``."""

from __future__ import annotations

import dataclasses
import enum


class UnprovenPolicy(enum.StrEnum):
    """Policy of an entry host while its configuration is not proved current.

    SERVE continues with the last configuration: traffic survives the loss of control's quorum, but
    a partitioned host may use an old configuration until the partition heals.
    REFUSE answers new requests with ``not_run`` and the addresses of other hosts: no old
    configuration is used, but the loss of control's quorum stops all new work.
    """

    SERVE = "serve"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class ControlAddress:
    """Link address of a control replica."""

    replica_id: str
    link_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry host.

    Attributes:
        entry_id: Stable identity of the host; also the name of its link key.
        http_host: IP address to listen on for callers and upstreams.
        http_port: TCP port for callers and upstreams; 0 lets the system choose.
        link_address: ``tcp://IP:PORT`` to listen on for other processes of the system.
        data_centre: Data centre of this host.
        controls: The control replicas.
        keys_folder: Folder of link keys (see ``medlarctl keygen``); empty for no authentication.
        announce_key_sha256: Digests of the keys for announcements; empty accepts any upstream.
        operator_key_sha256: Digests of the keys for ``/v1/status`` and ``/v1/explain``.
        unproven: Policy while the configuration is not proved current.
        proof_s: How long an answered heartbeat proves the configuration current, in seconds.
        entries_lifetime_s: How long callers may keep the answer of ``/v1/entries``, in seconds.
        drain_limit_s: Time limit of a graceful stop in seconds; then requests are cancelled.
        request_limit: Maximum number of requests in progress; more are refused.
        log_level: Lowest level that is logged.
        memory_mb: Memory that the process may use, in megabytes; 0 if not stated.
        max_descriptors: File descriptors that it may open; 0 if not stated.
    """

    entry_id: str
    controls: tuple[ControlAddress, ...]
    http_host: str = "127.0.0.1"
    http_port: int = dataclasses.field(default=0, metadata={"min": 0, "max": 65535})
    link_address: str = "tcp://127.0.0.1:0"
    data_centre: str = ""
    keys_folder: str = ""
    announce_key_sha256: tuple[str, ...] = ()
    operator_key_sha256: tuple[str, ...] = ()
    unproven: UnprovenPolicy = UnprovenPolicy.SERVE
    proof_s: float = dataclasses.field(default=5.0, metadata={"min": 1.5, "max": 60.0})
    entries_lifetime_s: float = dataclasses.field(default=10.0, metadata={"min": 0.1, "max": 300.0})
    drain_limit_s: float = dataclasses.field(default=900.0, metadata={"min": 1.0, "max": 86400.0})
    request_limit: int = dataclasses.field(default=4096, metadata={"min": 1, "max": 100_000})
    log_level: str = "INFO"
    memory_mb: float = dataclasses.field(default=0.0, metadata={"min": 0.0, "max": 1e6})
    max_descriptors: int = dataclasses.field(default=0, metadata={"min": 0, "max": 10_000_000})
