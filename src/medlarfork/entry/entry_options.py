"""Options of the entry host's node."""

from __future__ import annotations

import dataclasses

from medlarfork.entry import entry_settings


@dataclasses.dataclass(frozen=True, slots=True)
class EntryNodeOptions:
    """Options of an entry node; durations in seconds.

    Attributes:
        entry_id: Stable identity of this entry host.
        incarnation: Increases with each start of the process.
        link_address: ``tcp://IP:PORT`` of the link to other processes.
        http_address: ``http://IP:PORT`` for callers and upstreams.
        data_centre: Data centre of this host.
        control_ids: The control replicas.
        proof_s: How long an answered heartbeat proves the configuration current.
        unproven: Policy while the configuration is not proved current.
        entries_lifetime_s: How long callers may keep the answer of ``/v1/entries``.
        drain_notice_s: How long other hosts may take to learn that this one is draining.
        drain_limit_s: Time limit of a graceful stop, after which requests are cancelled.
        settle_s: How long the end of a graceful stop waits for outstanding confirmations.
        request_limit: Maximum number of requests in progress.
        held_bytes_limit: Maximum total size of the bodies of requests in progress, in bytes.
        claim_resend_s: Interval at which an unanswered claim request is resent.
        claim_timeout_s: How long control may be silent before a claim request fails.
        claim_poll_s: Interval of the requests for a claim that another request holds.
        ticket_resend_s: Interval at which an unconfirmed ticket is resent.
        ticket_refresh_s: Interval at which a confirmed ticket that is still queued is resent.
        owner_timeout_s: How long an owner may be silent before the ticket goes to the next one.
        retry_share: Retry budget as a share of the requests of a service.
        retry_burst: Retries allowed at once beyond that share.
        attempts_limit: Maximum dispatches of a request, not counting those after a preemption.
    """

    entry_id: str
    incarnation: int
    link_address: str = ""
    http_address: str = ""
    data_centre: str = ""
    control_ids: tuple[str, ...] = ()
    proof_s: float = 5.0
    unproven: entry_settings.UnprovenPolicy = entry_settings.UnprovenPolicy.SERVE
    entries_lifetime_s: float = 10.0
    drain_notice_s: float = 2.0
    drain_limit_s: float = 900.0
    settle_s: float = 3.0
    request_limit: int = 4096
    held_bytes_limit: int = 256 << 20
    claim_resend_s: float = 0.5
    claim_timeout_s: float = 2.0
    claim_poll_s: float = 0.5
    ticket_resend_s: float = 0.5
    ticket_refresh_s: float = 2.0
    owner_timeout_s: float = 1.0
    retry_share: float = 0.1
    retry_burst: float = 10.0
    attempts_limit: int = 4
