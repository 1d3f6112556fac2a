"""Names of the headers between callers, entry hosts and upstreams of a routed deployment.

The defaults are the product's own. A deployment with other headers passes its own instance.
"""

from __future__ import annotations

import dataclasses

REJECTED = "rejected"
"""Value of ``own_answer`` that keeps other relay hosts from asking the same upstreams again."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHeaderNames:
    """Header names in lower case, and the authorization scheme.

    Attributes:
        attempt_id: The caller's id of this attempt; upstreams return it.
        deadline_ms: How long the sender waits, in milliseconds.
        key_scheme: Scheme before the API key in the Authorization header.
        last_event_id: The last event that the caller has received; a stream resumes after it.
        resumes: The caller's attempt that brought the first event of a stream to go on with.
        token_usage: Prompt tokens and maximum output tokens, separated by a comma.
        length_hint: The caller's estimate of the number of output tokens.
        prompt_parts: ``ID:TOKENS`` of each prompt prefix segment, separated by commas.
        expected_upstream: The only incarnation that may run the request.
        account: The client account, for the upstream.
        tier: The rank at the upstream; 0 is the most urgent.
        not_executed: Set by upstreams that did not run the request (see ``upstream_call``).
        seal: Set by upstreams on their responses; passed on unchanged.
        fetch_from: Address of an upstream from which the receiver fetches missing cache entries.
        rate_limit: Set by overloaded upstreams: requests per second accepted from all hosts.
        leaving: Set to 1 by upstreams that are about to stop.
        max_rejections: Set by upstreams that crash if they reject more than so many requests in a
            second for want of room.
        load: Set by upstreams: requests running, requests waiting, slots, and optionally the time
            that work takes there now, in percent of the usual; separated by commas.
        relayed: Set by an entry host that forwards a request to another one: how many attempts may
            have run.
        origin: Exchanged by entry hosts about a forwarded stream: who began it (see
            ``stream_origin``).
        own_answer: Set by an entry host on its own answers to forwarded requests: ``REJECTED`` if
            an upstream has rejected the request, otherwise 1.
        dropped: Further headers that only the system may set; removed from callers' requests.
    """

    attempt_id: str = "medlar-attempt-id"
    deadline_ms: str = "medlar-deadline-ms"
    key_scheme: str = "Bearer"
    last_event_id: str = "last-event-id"
    resumes: str = "medlar-resumes"
    token_usage: str = "medlar-token-usage"
    length_hint: str = "medlar-length-hint"
    prompt_parts: str = "medlar-prompt-parts"
    expected_upstream: str = "medlar-expected-upstream"
    account: str = "medlar-account"
    tier: str = "medlar-tier"
    not_executed: str = "medlar-not-executed"
    seal: str = "medlar-seal"
    fetch_from: str = "medlar-fetch-from"
    rate_limit: str = "medlar-rate-limit"
    leaving: str = "medlar-leaving"
    max_rejections: str = "medlar-max-rejections"
    load: str = "medlar-load"
    relayed: str = "medlar-relayed"
    origin: str = "medlar-origin"
    own_answer: str = "medlar-own-answer"
    dropped: frozenset[str] = frozenset()

    @property
    def set_by_system(self) -> frozenset[str]:
        """Return the headers that are removed from callers' requests."""
        own = {
            self.expected_upstream,
            self.account,
            self.tier,
            self.fetch_from,
            self.relayed,
            self.origin,
            "authorization",
        }
        return self.dropped | own
