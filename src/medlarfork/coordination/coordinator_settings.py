"""Define the settings of a coordinator."""

from __future__ import annotations

import dataclasses

from medlarfork.duties import duty_types


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorSettings:
    """Hold the settings of one replica.

    Attributes:
        replica_id: Its IP number, by which other processes know and reach it.
        serve: ``IP:PORT`` for operators and upstreams.
        directory: ``IP:PORT`` for callers that ask for entry hosts; empty for none.
        health: ``IP:PORT`` for health checks and metrics; empty for none.
        link_port: Port of every replica's link.
        seeds: Replicas to start from.
        may_found: Whether the seeds found a log if all their disks are empty: only at the very
            first start of a deployment.
        data_folder: Where the log is kept.
        announce_period_s: How often upstreams announce themselves, in seconds.
        directory_ttl_s: How long callers keep an answer of the directory, in seconds.
        log_level: Lowest level that is logged.
        duties: Calls to a platform that one replica has to make.
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
