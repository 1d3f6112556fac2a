"""Define the options of the entry host's node."""

from __future__ import annotations

import dataclasses

from medlarfork.entry import entry_settings


@dataclasses.dataclass(frozen=True, slots=True)
class EntryNodeOptions:
    """Hold what an entry node is told at its start; durations in seconds.

    Attributes:
        entry_id: Stable identity of this entry host.
        incarnation: Grows with each start of the process.
        link_address: ``tcp://IP:PORT`` of the link to other processes.
        http_address: ``http://IP:PORT`` for callers and upstreams.
        data_centre: Where this host stands.
        control_ids: The control replicas.
        proof_s: How long an answered heartbeat proves the configuration current.
        unproven: What to do while it is not proved current.
        entries_lifetime_s: How long callers may keep the answer of ``/v1/entries``.
        drain_notice_s: How long other hosts may take to learn that this one is draining.
        drain_limit_s: How long a graceful stop may take before it cuts.
        settle_s: How long the end of a graceful stop waits for outstanding confirmations.
        request_limit: Requests in progress at once.
        held_bytes_limit: Bytes of request bodies held at once.
        claim_resend_s: Pause before an unanswered claim request is sent again.
        claim_timeout_s: How long control may be silent before a claim is given up.
        claim_poll_s: Pause before asking again for a claim that another request holds.
        ticket_resend_s: Pause before an unconfirmed ticket is sent again.
        ticket_refresh_s: Pause before a confirmed ticket that still waits is sent again.
        owner_timeout_s: How long an owner may be silent before the next one is asked.
        retry_share: Retries allowed for each request, as a share of all requests of a service.
        retry_burst: Retries allowed at once beyond that share.
        attempts_limit: Dispatches of one request at most, those after a preemption aside.
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
