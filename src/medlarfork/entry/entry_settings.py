"""Define the settings file of ``medlar-entry``."""

from __future__ import annotations

import dataclasses
import enum


class UnprovenPolicy(enum.StrEnum):
    """Say what an entry host does while it can't prove that its configuration is current.

    SERVE goes on with the last configuration it has: traffic survives the loss of control's
    quorum, and a host that is cut off alone may act on an old configuration until it is healed.
    REFUSE answers new requests with ``not_run`` and other addresses: no old configuration is
    acted on, and the loss of control's quorum stops all new work.
    """

    SERVE = "serve"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class ControlAddress:
    """Say where one control replica listens for links."""

    replica_id: str
    link_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Hold the settings of one entry host.

    Attributes:
        entry_id: Stable identity; also the name of its link key.
        http_host: IP number to listen on for callers and upstreams.
        http_port: TCP port for callers and upstreams; 0 lets the system choose.
        link_address: ``tcp://IP:PORT`` to listen on for other processes of the system.
        data_centre: Where this host stands.
        controls: The control replicas.
        keys_folder: Folder of link keys (see ``medlarctl keygen``); empty for no authentication.
        announce_key_sha256: Digests of the keys upstreams announce with; empty accepts any.
        operator_key_sha256: Digests of the keys for ``/v1/status`` and ``/v1/explain``.
        unproven: What to do while the configuration can't be proved current.
        proof_s: How long a heartbeat's answer proves the configuration current, in seconds.
        entries_lifetime_s: How long callers may keep the answer of ``/v1/entries``, in seconds.
        drain_limit_s: How long a graceful stop may take before it cuts, in seconds.
        request_limit: Requests in progress at once; more are refused.
        log_level: Lowest level that is logged.
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
