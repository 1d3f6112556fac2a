"""Send the attempts of one request: build the call, count it, read what its upstream says."""

from __future__ import annotations

import functools
import time

from medlarfork.coordination import upstream_types
from medlarfork.gateway import request_metadata, request_types, upstream_call
from medlarfork.http import http_client
from medlarfork.placement import placement_messages


class AttemptSender:
    """Hold what all attempts of a request share."""

    def __init__(
        self, admitted: request_types.AdmittedRequest, tools: request_types.SharedContext
    ) -> None:
        """Prepare; nothing is sent yet."""
        self._admitted = admitted
        self._tools = tools
        self._is_counted = False

    async def send(
        self,
        upstream: upstream_types.Announcement,
        *,
        fetch_from: str,
        last_event_id: str,
        left_ms: float,
    ) -> http_client.Response | upstream_call.Failure:
        """Send the request to an upstream; return its answer once the head is in.

        One without a prompt begins to run when it is sent, if it is taken.

        Args:
            upstream: The incarnation that alone may run it.
            fetch_from: Address of an upstream that holds more of the prompt; empty for none.
            last_event_id: The last event that the caller has; empty for none.
            left_ms: Time until the caller gives up, in milliseconds.
        """
        if not self._tools.backpressure.may_send(upstream.upstream_id):
            why = "takes no request from here now"
            return upstream_call.Failure(placement_messages.RunEnd.NOT_SENT, why)
        call = self._call(upstream, fetch_from, last_event_id, left_ms)
        if self._is_counted or self._admitted.route.has_prompt:
            return await self._send(call, upstream.upstream_id)
        send = self._tools.usage.record_sent(self._admitted.account)
        # Given up in the middle, it counts as taken.
        self._is_counted = True
        try:
            sent = await self._send(call, upstream.upstream_id)
            self._is_counted = (
                not isinstance(sent, upstream_call.Failure)
                or sent.end is placement_messages.RunEnd.BROKEN
            )
        finally:
            self._tools.usage.record_outcome(send, has_started=self._is_counted)
        return sent

    def count_started(self) -> None:
        """Count the request once for its client account, however often it runs."""
        if not self._is_counted:
            self._is_counted = True
            self._tools.usage.record_started(self._admitted.account)

    async def _send(
        self, call: upstream_call.Call, upstream_id: str
    ) -> http_client.Response | upstream_call.Failure:
        note_head = functools.partial(self._note_head, upstream_id, time.monotonic())
        may_send = functools.partial(self._tools.backpressure.may_send, upstream_id)
        return await upstream_call.send(
            self._tools.client, call, self._tools.names, note_head, may_send
        )

    def _note_head(self, upstream_id: str, sent_at: float, response: http_client.Response) -> None:
        self._tools.backpressure.record_response(
            upstream_id,
            response.status,
            response.headers,
            sent_at=sent_at,
            attempt_id=self._admitted.facts.attempt_id,
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
            self._tools.names,
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
            attempt_id=admitted.facts.attempt_id,
            timeout_s=max(left_ms, 1.0) / 1000.0,
        )
