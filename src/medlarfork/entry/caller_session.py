"""Session of a caller's request: its connection, and the answer written to it."""

from __future__ import annotations

import collections
from collections.abc import Mapping
from typing import Any

import curio

from medlarfork import errors, request
from medlarfork.entry import entry_types
from medlarfork.filters import outgoing, relay
from medlarfork.http import answer_budget, event_framer, header_names, http_server

_NOT_RETURNED = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        header_names.OUTCOME.lower(),
        header_names.REQUEST_ID.lower(),
        header_names.RESUME_OFFSET.lower(),
        "transfer-encoding",
        "upgrade",
    }
)
"""Upstream headers that concern its connection, or that the entry host sets itself."""


class CallerSession:
    """Owns an HTTP exchange with a caller; the node's actions arrive by ``enqueue_action``.

    Attributes:
        raw: The request as received.
        exchange: The HTTP exchange with the caller.
        attempt: The task of the running attempt, if any.
        watcher: The task that detects a closed connection; only long requests have one.
        opened_at: Monotonic time of the request, in seconds.
    """

    def __init__(
        self, raw: entry_types.RawRequest, exchange: http_server.Exchange, opened_at: float
    ) -> None:
        """Start with nothing written."""
        self.raw = raw
        self.exchange = exchange
        self.opened_at = opened_at
        self.attempt: curio.Task | None = None
        self.watcher: curio.Task | None = None
        self._relay: relay.Relay | None = None
        self._status = 0
        self._headers: dict[str, str] = {}
        self._buffer: list[bytes] = []
        self._lease: answer_budget.AnswerLease | None = None
        self._attempt_id = ""
        self._cancelled_id = ""
        self._actions: collections.deque[Any] = collections.deque()
        self._action_available = curio.Event()

    async def enqueue_action(self, action: Any) -> None:
        """Queue an action of the node for the task that serves the caller."""
        self._actions.append(action)
        await self._action_available.set()

    async def next_action(self) -> Any:
        """Wait for the next action of the node."""
        while not self._actions:
            self._action_available.clear()
            await self._action_available.wait()
        return self._actions.popleft()

    def pop_dispatch(self) -> entry_types.Dispatch | None:
        """Return the next queued ``Dispatch``, if any, and drop other actions before it."""
        while self._actions:
            action = self._actions.popleft()
            if isinstance(action, entry_types.Dispatch):
                return action
        return None

    def set_attempt(self, attempt_id: str, task: curio.Task) -> None:
        """Set the running attempt and its task."""
        self._attempt_id = attempt_id
        self.attempt = task

    async def cancel_attempt(self, attempt_id: str) -> None:
        """Cancel an attempt, even if its ``Dispatch`` has not been processed yet."""
        self._cancelled_id = attempt_id
        if self.attempt is not None and self._attempt_id == attempt_id:
            await self.attempt.cancel(blocking=False)

    def is_cancelled(self, attempt_id: str) -> bool:
        """Return whether the attempt has been cancelled."""
        return self._cancelled_id == attempt_id

    @property
    def tokens(self) -> int:
        """Return the output tokens of the answer so far."""
        return self._relay.tokens if self._relay is not None else 0

    @property
    def resumable(self) -> bool:
        """Return whether the answer so far proves its offset."""
        return self._relay is not None and self._relay.resumable

    @property
    def relayed(self) -> bool:
        """Return whether any byte of an answer has been sent to the caller."""
        return self.exchange.started

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the buffered part of the answer, in bytes."""
        return sum(len(part) for part in self._buffer)

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held until the answer, or one of its events, is complete."""
        return self.buffered_bytes + (0 if self._relay is None else self._relay.held_bytes)

    def hold(self, lease: answer_budget.AnswerLease) -> None:
        """Own the lease of the answer that arrives; that of an earlier attempt is given back."""
        self.release()
        self._lease = lease

    def release(self) -> None:
        """Give back what the answer takes of the process's memory."""
        if self._lease is not None:
            self._lease.close()
            self._lease = None

    def start_response(
        self, dispatch: entry_types.Dispatch, status: int, headers: Mapping[str, str]
    ) -> None:
        """Accept bytes of this attempt from now on; those of other attempts are dropped.

        Raises:
            errors.UpstreamError: The upstream's answer can't be appended to the earlier part.
        """
        if self._relay is None:
            stream = outgoing.asks_for_stream(self.raw)
            self._relay = relay.Relay(stream=stream, assemble=dispatch.assemble)
        self._relay.start_attempt(
            dispatch.attempt_id,
            resume_offset=dispatch.resume_offset,
            status=status,
            headers=headers,
            relayed=self.relayed,
        )
        if self.relayed:
            return
        self._status = status
        self._headers = _returned_headers(headers, dispatch)
        self._buffer.clear()

    def buffer(self, attempt_id: str, data: bytes) -> None:
        """Buffer bytes of an answer that is to be sent in one piece."""
        relayable = self._feed(attempt_id, data)
        if relayable:
            self._buffer.append(relayable)

    async def forward(self, attempt_id: str, data: bytes) -> bool:
        """Send the buffer and these bytes to the caller; return whether any bytes were sent.

        Raises:
            errors.CallerDisconnectedError: The caller can't be reached any more.
            errors.UpstreamError: The bytes don't continue the answer at the right offset.
        """
        relayable = self._feed(attempt_id, data)
        if self._buffer:
            relayable = b"".join(self._buffer) + relayable
            self._buffer.clear()
        if not relayable:
            return False
        if not self.exchange.started:
            # The relay has counted these bytes, so a cancellation of ``begin`` must not lose them.
            self._buffer.append(relayable)
            await self.exchange.begin(self._status, self._answer_headers())
            self._buffer.clear()
        await self.exchange.send(relayable)
        return True

    def check_complete(self) -> None:
        """Check that the answer is complete, and that it was not only its connection that ended.

        Raises:
            errors.UpstreamError: The answer is not complete.
        """
        if self._relay is None or not self._relay.complete:
            raise errors.UpstreamError(
                "The upstream's stream stopped before its end.",
                remedy="Check the upstream's log.",
            )

    async def finish(self, *, complete: bool) -> None:
        """End the relayed answer; abort the connection if the answer is not complete."""
        if not complete:
            await self.exchange.abort()
        elif self.exchange.started:
            await self.exchange.finish()
        else:
            await self.exchange.respond(self._status, self._answer_headers(), self.full_body())

    async def answer(self, action: entry_types.Answer) -> None:
        """Send an answer of the entry host itself."""
        headers = {
            "Content-Type": action.content_type,
            header_names.REQUEST_ID: action.request_id,
            header_names.OUTCOME: action.outcome.value,
            **action.headers,
        }
        await self.exchange.respond(action.status, headers, action.body)

    def full_body(self) -> bytes:
        """Return the body of an answer that is sent in one piece."""
        if self._relay is not None and self._relay.assembles:
            return self._relay.assembled_body()
        return b"".join(self._buffer)

    @property
    def content_type(self) -> str:
        """Return the content type of the answer."""
        return self._headers.get("content-type", "application/octet-stream")

    def _feed(self, attempt_id: str, data: bytes) -> bytes:
        return self._relay.feed(attempt_id, data) if self._relay is not None else b""

    def _answer_headers(self) -> dict[str, str]:
        headers = dict(self._headers)
        if self._relay is not None and self._relay.assembles:
            headers["content-type"] = "application/json"
        # A stream's outcome is not known when its head is sent; the stream's regular end shows it.
        if not self.exchange.started and not self._streams():
            headers[header_names.OUTCOME] = request.Outcome.COMPLETED.value
        return headers

    def _streams(self) -> bool:
        return event_framer.is_event_stream(self._headers) and not (
            self._relay is not None and self._relay.assembles
        )


def _returned_headers(headers: Mapping[str, str], dispatch: entry_types.Dispatch) -> dict[str, str]:
    returned = {name: value for name, value in headers.items() if name not in _NOT_RETURNED}
    returned[header_names.REQUEST_ID] = dispatch.request_id
    if dispatch.key:
        returned[header_names.KEY] = dispatch.key
    return returned
