"""Places a request: on which upstream it runs next, unless crashes forbid that it runs."""

from __future__ import annotations

import time
from collections.abc import Collection

import curio

from medlarfork import errors
from medlarfork.gateway import request_types, stream_binding
from medlarfork.placement import (
    local_choice,
    placement_messages,
    reported_load,
    shard_choice,
)
from medlarfork.quarantine import crash_ledger, crash_subject

MAX_TRIAL_WAIT_S = 2.0
"""Maximum wait for the end of a trial of another request with the same suspect, in seconds: most
runs take less."""

MAX_TRIAL_WAIT_SHARE = 0.5
"""The same as a share of the time until the deadline; the rest is needed to run the request."""

TRIAL_POLL_S = 0.1
"""Interval between placement requests during that wait, in seconds."""

Answer = placement_messages.Placed | placement_messages.PlaceRefused


class RequestPlacer:
    """Places one request, once for each attempt.

    Attributes:
        ticket_id: Its current placement ticket; empty if there is none.
        refusal_code: The error code of its last refusal.
        patience_since: Monotonic time of the last event, or of the request's arrival; its caller
            leaves if no event arrives for the route's patience.
    """

    def __init__(
        self,
        admitted: request_types.AdmittedRequest,
        shared: request_types.SharedContext,
        binding: stream_binding.StreamBinding,
        trace: request_types.Trace,
    ) -> None:
        """Create the placer of a request that has not been placed."""
        self.ticket_id = ""
        self.refusal_code = errors.Code.OVERLOADED
        self.patience_since = admitted.started_at
        self._admitted = admitted
        self._shared = shared
        self._binding = binding
        self._trace = trace
        self._trial_until: float | None = None

    async def place(self, excluded: Collection[str]) -> Answer:
        """Place the request, again if its crash verdict changes while it waits for placement.

        Args:
            excluded: Upstreams that failed this request.
        """
        crashes, keys = self._shared.crashes, self._admitted.crash_keys
        while True:
            standing = crashes.standing(keys)
            is_free = standing.verdict is crash_ledger.Verdict.FREE
            self.refusal_code = errors.Code.OVERLOADED if is_free else errors.Code.ENDS_UPSTREAMS
            if standing.verdict is crash_ledger.Verdict.HELD:
                self._trace.held_key = standing.key
                return crash_ledger.refusal("", standing, self._describe(standing.key))
            placed = await self._ask_owner(excluded, trial_key=standing.key)
            if isinstance(placed, placement_messages.PlaceRefused):
                is_trial_taken = placed.cause is placement_messages.RefusalCause.TRIAL
                if is_trial_taken and await self._wait_trial():
                    continue
                return placed
            current = crashes.standing(keys)
            is_same_trial = not is_free and current.key == standing.key
            match current.verdict:
                case crash_ledger.Verdict.FREE:
                    return placed
                case crash_ledger.Verdict.TRIAL if is_same_trial:
                    return placed
            # The verdict has changed meanwhile.
            self.end_ticket(placement_messages.RunEnd.CANCELLED)

    def _describe(self, key: str) -> str:
        admitted = self._admitted
        return crash_subject.describe(key, admitted.service, admitted.metadata.prompt_segments)

    def end_ticket(
        self,
        end: placement_messages.RunEnd,
        sent_at: float = 0.0,
        *,
        gaps: placement_messages.InterEventGaps | None = None,
        load: reported_load.ReportedLoad | None = None,
    ) -> None:
        """Report to the owner that the current attempt, if any, has ended.

        Args:
            end: How it ended.
            sent_at: When it was sent, in monotonic seconds; 0 if it was not.
            gaps: Inter-event gaps of a complete stream.
            load: What the upstream stated in its response.
        """
        if not self.ticket_id:
            return
        self._shared.tracking.end_attempt(self.ticket_id)
        after_ms = (time.monotonic() - sent_at) * 1000.0 if sent_at else 0.0
        self._shared.owner.report_end(self.ticket_id, end, after_ms, gaps, load)
        self.ticket_id = ""

    async def _wait_trial(self) -> bool:
        """Wait while another request with the same suspect is on trial; return False on timeout.

        If the suspect is harmless, the trial completes in its usual time and releases all that
        wait.
        """
        now = time.monotonic()
        if self._trial_until is None:
            left_s = self._admitted.deadline_at - now
            self._trial_until = now + min(MAX_TRIAL_WAIT_S, MAX_TRIAL_WAIT_SHARE * left_s)
        if now >= self._trial_until:
            return False
        await curio.sleep(TRIAL_POLL_S)
        return True

    async def _ask_owner(self, excluded: Collection[str], *, trial_key: str) -> Answer:
        admitted = self._admitted
        version = self._binding.version
        if version is not None and self._shared.session.lacks_version(
            admitted.service, version, excluded
        ):
            self.refusal_code = errors.Code.STREAM_VERSION
            why = f"no upstream of the stream's version {version!r} may run it"
            return placement_messages.PlaceRefused("", local_choice.RETRY_MS, why)
        ticket_id = self._shared.owner.new_ticket_id()
        segments = admitted.metadata.prompt_segments if admitted.route.has_prompt else ()
        affinity_key = trial_key or shard_choice.affinity_key(segments) or ticket_id
        shard, other_shard = self._shared.session.shards(admitted.service, affinity_key, version)
        request = placement_messages.PlaceRequest(
            ticket_id=ticket_id,
            service=admitted.service,
            tier=admitted.tier,
            left_ms=(admitted.deadline_at - time.monotonic()) * 1000.0,
            target_ms=admitted.route.target_ms,
            gap_ms=admitted.route.gap_ms,
            parts=segments,
            output_tokens=admitted.metadata.output_tokens,
            first_left_ms=self._first_left_ms(),
            zone=self._shared.zone,
            excluded=tuple(excluded),
            shard=shard,
            other_shard=None if trial_key else other_shard,
            trial_key=trial_key,
            account=admitted.account,
            retry_key=admitted.key,
            version=version,
        )
        self.ticket_id = request.ticket_id
        self._trace.tickets.append(request.ticket_id)
        answer = await self._shared.owner.place(request)
        if isinstance(answer, placement_messages.PlaceRefused):
            self.ticket_id = ""
        if not self._trace.upstreams:
            self._trace.waited_ms = (time.monotonic() - admitted.started_at) * 1000.0
        return answer

    def _first_left_ms(self) -> float:
        """Return the time until the caller disconnects without an event, in ms; 0 for no limit."""
        patience_ms = self._admitted.route.patience_ms
        if not patience_ms:
            return 0.0
        waited_ms = (time.monotonic() - self.patience_since) * 1000.0
        return max(1.0, patience_ms - waited_ms)
