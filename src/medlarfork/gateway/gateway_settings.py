"""Define the settings of an entry host of a routed deployment."""

from __future__ import annotations

import dataclasses

from medlarfork.gateway import retry_budget


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Hold the settings of one entry host.

    Attributes:
        entry_id: Names this entry host to the replicas.
        zone: Its data centre.
        serve: ``IP:PORT`` for callers.
        health: ``IP:PORT`` for health checks and metrics; empty for none.
        link_host: IP number for links to other processes.
        link_port: Port of this process's own link.
        replica_link_port: Port of every replica's link; a replica is named by its IP number.
        seeds: Replicas to start from.
        budget: How often requests may be sent once more, over all entry hosts.
        grace_s: Time from the signal to stop until the process must have ended, in seconds.
        log_level: Lowest level that is logged.
        usage_window_s: Windows in which requests are counted for each client account, in seconds;
            0 where nobody is told of them.
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
