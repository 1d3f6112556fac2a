"""Settings of a coordinator."""

from __future__ import annotations

import dataclasses

from medlarfork.duties import duty_types


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorSettings:
    """Settings of one replica.

    Attributes:
        replica_id: Its IP address, which identifies it to other processes.
        serve: ``IP:PORT`` for operators and upstreams.
        directory: ``IP:PORT`` for callers that look up entry hosts; empty for none.
        health: ``IP:PORT`` for health checks and metrics; empty for none.
        link_port: Port of the links of all replicas.
        seeds: Replicas to contact first.
        may_found: Whether the seeds bootstrap a new log if all their disks are empty; set it only
            for the very first start of a deployment.
        data_folder: Folder of the replicated log.
        announce_period_s: How often upstreams announce themselves, in seconds.
        directory_ttl_s: How long callers cache an answer of the directory, in seconds.
        log_level: Minimum level that is logged.
        duties: Singleton duties: platform calls that exactly one replica makes.
        memory_mb: Memory that the process may use, in megabytes; 0 if not stated.
        max_descriptors: File descriptors that it may open; 0 if not stated.
        tolerated_losses: How many replicas may be lost at the same time, disks included; the log
            keeps at least as many voters as this needs.
    """

    replica_id: str
    serve: str
    link_port: int
    seeds: tuple[str, ...]
    may_found: bool
    data_folder: str
    directory: str = ""
    health: str = ""
    announce_period_s: float = 1.0
    directory_ttl_s: float = 2.0
    log_level: str = "INFO"
    duties: duty_types.DutySettings = dataclasses.field(default_factory=duty_types.DutySettings)
    memory_mb: float = 0.0
    max_descriptors: int = 0
    tolerated_losses: int = 1
