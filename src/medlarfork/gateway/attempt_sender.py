"""Sends the attempts of one request, and records usage and backpressure signals."""

from __future__ import annotations

import functools
import time
from collections.abc import Awaitable, Callable
from typing import Any

from medlarfork.coordination import upstream_types
from medlarfork.gateway import request_metadata, request_types, retry_policy, upstream_call
from medlarfork.http import http_client
from medlarfork.placement import placement_messages, reported_load

OnSend = Callable[[], None]
"""Called just before the first byte of a request is sent."""

OnSilence = Callable[[http_client.ReadHead], Awaitable[Any]]
"""Called while an upstream is silent (see ``http_client.SilenceWatch``)."""


class AttemptSender:
    """Sends the attempts of one request and counts it once for its client account.

    Attributes:
        load: The load that the upstream stated in its response to the last attempt; None if it
            stated none, or has not responded.
    """

    def __init__(
        self,
        admitted: request_types.AdmittedRequest,
        shared: request_types.SharedContext,
        *,
        is_counted: bool = False,
    ) -> None:
        """Create the sender; nothing is sent yet.

        Args:
            admitted: The request.
            shared: What all requests share.
            is_counted: Whether the request has been counted for its client account.
        """
        self._admitted = admitted
        self._shared = shared
        self._is_counted = is_counted
        self.load: reported_load.ReportedLoad | None = None

    async def send(
        self,
        upstream: upstream_types.Announcement,
        *,
        fetch_from: str,
        last_event_id: str,
        left_ms: float,
        version: str | None,
        on_send: OnSend,
        on_silence: OnSilence | None = None,
    ) -> http_client.Response | upstream_call.Failure:
        """Send the request to an upstream; return the response once its head has arrived.

        A request without a prompt counts as started when it is sent, unless the upstream rejects
        it.

        Args:
            upstream: The only incarnation that may run the request.
            fetch_from: Address of an upstream that caches more of the prompt; empty for none.
            last_event_id: The last event that the caller has received; empty for none.
            left_ms: Time until the deadline, in milliseconds.
            version: The only version that may run the request; None if any may.
            on_send: Called once connected, just before the request is sent.
            on_silence: Called while the upstream does not acknowledge the request.
        """
        self.load = None
        silence = None
        if on_silence is not None:
            silence = http_client.SilenceWatch(retry_policy.UNACKNOWLEDGED_CHECK_S, on_silence)
        if not self._may_send(upstream.upstream_id, version):
            why = "accepts no request from this host now"
            return upstream_call.Failure(placement_messages.RunEnd.NOT_SENT, why)
        may_send = functools.partial(self._begin_send, upstream.upstream_id, version, on_send)
        call = self._call(upstream, fetch_from, last_event_id, left_ms)
        if self._is_counted or self._admitted.route.has_prompt:
            return await self._send(call, upstream.upstream_id, may_send, silence)
        send = self._shared.usage.record_sent(self._admitted.account)
        # A send that is cancelled counts as started.
        self._is_counted = True
        try:
            sent = await self._send(call, upstream.upstream_id, may_send, silence)
            self._is_counted = (
                not isinstance(sent, upstream_call.Failure) or sent.end not in retry_policy.NOT_RUN
            )
        finally:
            self._shared.usage.record_outcome(send, has_started=self._is_counted)
        return sent

    def reported_end(self, end: placement_messages.RunEnd) -> placement_messages.RunEnd:
        """Return what the owner is told: nothing about an upstream if this host lost its links."""
        if not self._shared.tracking.reachability.is_suspect(self._admitted.service):
            return end
        match end:
            case placement_messages.RunEnd.UNREACHABLE:
                return placement_messages.RunEnd.NOT_SENT
            case placement_messages.RunEnd.BROKEN:
                return placement_messages.RunEnd.CANCELLED
            case _:
                return end

    @property
    def is_counted(self) -> bool:
        """Return whether the request has been counted for its client account."""
        return self._is_counted

    def count_started(self) -> None:
        """Count the request for its client account, once for all its attempts."""
        if not self._is_counted:
            self._is_counted = True
            self._shared.usage.record_started(self._admitted.account)

    def _may_send(self, upstream_id: str, version: str | None) -> bool:
        """Return whether the placed incarnation, and not a later start, may get the request now."""
        known = self._shared.session.find_upstream(upstream_id)
        if known is None or (version is not None and known.version != version):
            return False
        return self._shared.backpressure.may_send(upstream_id)

    def _begin_send(self, upstream_id: str, version: str | None, on_send: OnSend) -> bool:
        """Return whether the upstream may still get the request; then it is sent at once."""
        if not self._may_send(upstream_id, version):
            return False
        on_send()
        return True

    async def _send(
        self,
        call: upstream_call.Call,
        upstream_id: str,
        may_send: upstream_call.MaySend,
        silence: http_client.SilenceWatch | None,
    ) -> http_client.Response | upstream_call.Failure:
        on_head = functools.partial(self._record_head, upstream_id, time.monotonic())
        return await upstream_call.send(
            self._shared.client, call, self._shared.names, on_head, may_send, silence
        )

    def _record_head(
        self, upstream_id: str, sent_at: float, response: http_client.Response
    ) -> None:
        stated = response.headers.get(self._shared.names.load)
        if stated is not None:
            self.load = reported_load.parse(stated)
            if self.load is not None:
                self._shared.owner.record_load(upstream_id, self.load)
        self._shared.backpressure.record_response(
            upstream_id,
            response.status,
            response.headers,
            sent_at=sent_at,
            attempt_id=self._admitted.metadata.attempt_id,
        )

    def _call(
        self,
        upstream: upstream_types.Announcement,
        fetch_from: str,
        last_event_id: str,
        left_ms: float,
    ) -> upstream_call.Call:
        admitted = self._admitted
        head = admitted.exchange.head
        headers = request_metadata.upstream_headers(
            head.headers,
            self._shared.names,
            upstream_id=upstream.own_name,
            left_ms=left_ms,
            account=admitted.account,
            tier=admitted.tier,
            target_ms=admitted.route.target_ms,
            last_event_id=last_event_id,
            fetch_from=fetch_from,
        )
        return upstream_call.Call(
            address=upstream.address,
            method=head.method,
            target=head.target,
            headers=headers,
            body=admitted.body,
            attempt_id=admitted.metadata.attempt_id,
            timeout_s=max(left_ms, 1.0) / 1000.0,
            unacknowledged_s=retry_policy.UNACKNOWLEDGED_S,
            skips_copies=not admitted.route.may_repeat,
            max_idle_s=retry_policy.max_idle_s(admitted.route),
        )
