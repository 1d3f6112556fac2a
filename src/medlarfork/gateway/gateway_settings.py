"""Settings of an entry host of a routed deployment."""

from __future__ import annotations

import dataclasses

from medlarfork.gateway import retry_budget


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The settings of one entry host.

    Attributes:
        entry_id: Id of this entry host, by which replicas address it.
        zone: Its data centre.
        serve: ``IP:PORT`` on which callers are served.
        health: ``IP:PORT`` for health checks and metrics; empty for none.
        link_host: IP address for links to other processes.
        link_port: Port of this process's link.
        replica_link_port: Port of every replica's link; a replica's id is its IP address.
        seeds: Replicas that are contacted first.
        budget: Retry budget of each service, over all entry hosts.
        grace_s: Grace period from the stop signal until the process must have exited, in seconds.
        log_level: Minimum level that is logged.
        usage_window_s: Length of the windows in which requests are counted for each client account,
            in seconds; 0 if usage is not reported.
        cores: Processor cores that the host may use, also a fraction; 0 if not stated.
        memory_mb: Memory that it may use, in megabytes; 0 if not stated.
        max_descriptors: File descriptors that it may open; 0 if not stated.
        link_mbps: Bandwidth of its link, in megabits per second; 0 if not stated.
        relay: ``IP:PORT`` on which requests of entry hosts that reach no upstream are served; empty
            for none. Callers need no access to it.
    """

    entry_id: str
    zone: str
    serve: str
    link_host: str
    link_port: int
    replica_link_port: int
    seeds: tuple[str, ...]
    health: str = ""
    budget: retry_budget.BudgetRules = retry_budget.BudgetRules()
    grace_s: float = 30.0
    log_level: str = "INFO"
    usage_window_s: float = 0.0
    cores: float = 0.0
    memory_mb: float = 0.0
    max_descriptors: int = 0
    link_mbps: float = 0.0
    relay: str = ""
