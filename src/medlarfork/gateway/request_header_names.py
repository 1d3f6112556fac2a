"""Name the headers in which callers, entry hosts and upstreams of a routed deployment speak.

These are the product's own. A deployment whose callers and upstreams use others passes its table.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHeaderNames:
    """Hold header names in lower case, and the scheme of keys.

    Attributes:
        attempt_id: The caller's id of this attempt; upstreams return it.
        deadline_ms: How long the sender waits, in milliseconds.
        key_scheme: Word before the key in the Authorization header.
        last_event_id: The last event that the caller has; a stream goes on after it.
        token_usage: Prompt tokens and most output tokens, with a comma between.
        prompt_parts: ``ID:TOKENS`` for each part of the prompt, with commas between.
        expected_upstream: The incarnation that alone may run the request.
        account: The client account, as the upstream is told.
        tier: The rank at the upstream, 0 first.
        not_executed: Set by upstreams that did not run the request.
        seal: Set by upstreams on their answers; passed on unchanged.
        fetch_from: Address of an upstream from which the receiver fetches what it lacks.
        rate_limit: Set by upstreams in need: requests a second that they take from all hosts.
        leaving: Set to 1 by upstreams that are about to stop.
        dropped: Further headers that only the system may set; dropped when callers send them.
    """

    attempt_id: str = "medlar-attempt-id"
    deadline_ms: str = "medlar-deadline-ms"
    key_scheme: str = "Bearer"
    last_event_id: str = "last-event-id"
    token_usage: str = "medlar-token-usage"
    prompt_parts: str = "medlar-prompt-parts"
    expected_upstream: str = "medlar-expected-upstream"
    account: str = "medlar-account"
    tier: str = "medlar-tier"
    not_executed: str = "medlar-not-executed"
    seal: str = "medlar-seal"
    fetch_from: str = "medlar-fetch-from"
    rate_limit: str = "medlar-rate-limit"
    leaving: str = "medlar-leaving"
    dropped: frozenset[str] = frozenset()

    @property
    def set_by_system(self) -> frozenset[str]:
        """Return the headers that callers can't set."""
        own = {
            self.expected_upstream,
            self.account,
            self.tier,
            self.fetch_from,
            "authorization",
        }
        return self.dropped | own
