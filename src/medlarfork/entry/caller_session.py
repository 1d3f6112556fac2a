"""Hold one caller's connection while its request is decided, and write what it is to get."""

from __future__ import annotations

import collections
from collections.abc import Mapping
from typing import Any

import curio

from medlarfork import errors, request
from medlarfork.entry import entry_types
from medlarfork.filters import outgoing, relay
from medlarfork.http import header_names, http_server, sse

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
"""Upstream headers that concern its own connection, or that the entry host sets."""


class CallerSession:
    """Own one exchange with a caller; the node's actions for it arrive through ``enqueue_action``.

    Attributes:
        raw: The request as it was read.
        exchange: The caller's side.
        attempt: The task of the attempt that runs, if any.
        watcher: The task that notices the caller's leaving, once one was worth starting.
        opened_at: Monotonic time of the request, in seconds.
    """

    def __init__(
        self, raw: entry_types.RawRequest, exchange: http_server.Exchange, opened_at: float
    ) -> None:
        """Begin with nothing written."""
        self.raw = raw
        self.exchange = exchange
        self.opened_at = opened_at
        self.attempt: curio.Task | None = None
        self.watcher: curio.Task | None = None
        self._relay: relay.Relay | None = None
        self._status = 0
        self._headers: dict[str, str] = {}
        self._held: list[bytes] = []
        self._attempt_id = ""
        self._cancelled_id = ""
        self._told: collections.deque[Any] = collections.deque()
        self._something_told = curio.Event()

    async def enqueue_action(self, action: Any) -> None:
        """Leave an action of the node for the task that serves the caller."""
        self._told.append(action)
        await self._something_told.set()

    async def next_action(self) -> Any:
        """Wait for an action of the node."""
        while not self._told:
            self._something_told.clear()
            await self._something_told.wait()
        return self._told.popleft()

    def take_dispatch(self) -> entry_types.Dispatch | None:
        """Return the next attempt that is asked for already, if any; drop what else was told."""
        while self._told:
            action = self._told.popleft()
            if isinstance(action, entry_types.Dispatch):
                return action
        return None

    def run_attempt(self, attempt_id: str, task: curio.Task) -> None:
        """Note the task that runs an attempt from now on."""
        self._attempt_id = attempt_id
        self.attempt = task

    async def cancel_attempt(self, attempt_id: str) -> None:
        """Cancel an attempt, also one whose ``Dispatch`` has not been taken yet."""
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
        """Return whether any byte of an answer has gone to the caller."""
        return self.exchange.started

    @property
    def held_bytes(self) -> int:
        """Return the size of a whole answer that waits for its end, in bytes."""
        return sum(len(part) for part in self._held)

    def start_response(
        self, dispatch: entry_types.Dispatch, status: int, headers: Mapping[str, str]
    ) -> None:
        """Take bytes of this attempt from now on.

        Raises:
            errors.UpstreamError: The upstream's answer can't be joined to what there is already.
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
        self._held.clear()

    def hold(self, attempt_id: str, data: bytes) -> None:
        """Keep bytes of an answer that is to go out in one piece."""
        passed = self._feed(attempt_id, data)
        if passed:
            self._held.append(passed)

    async def forward(self, attempt_id: str, data: bytes) -> bool:
        """Write bytes to the caller at once, after those held; return whether any were written.

        Raises:
            errors.CallerGoneError: The caller can't be reached any more.
            errors.UpstreamError: The bytes don't go on where they should.
        """
        passed = self._feed(attempt_id, data)
        if self._held:
            passed = b"".join(self._held) + passed
            self._held.clear()
        if not passed:
            return False
        if not self.exchange.started:
            self._held.append(passed)  # It is counted already, so a cancellation must not lose it.
            await self.exchange.begin(self._status, self._answer_headers())
            self._held.clear()
        await self.exchange.send(passed)
        return True

    def check_end(self) -> None:
        """Check that the answer reached its own end, not only that of its connection.

        Raises:
            errors.UpstreamError: It did not.
        """
        if self._relay is None or not self._relay.complete:
            raise errors.UpstreamError(
                "The upstream's stream stopped before its end.",
                remedy="Check the upstream's log.",
            )

    async def finish(self, *, complete: bool) -> None:
        """End the relayed answer; cut it if it is not whole."""
        if not complete:
            await self.exchange.abort()
        elif self.exchange.started:
            await self.exchange.finish()
        else:
            await self.exchange.respond(self._status, self._answer_headers(), self.whole())

    async def answer(self, action: entry_types.Answer) -> None:
        """Write an answer of the entry host's own."""
        headers = {
            "Content-Type": action.content_type,
            header_names.REQUEST_ID: action.request_id,
            header_names.OUTCOME: action.outcome.value,
            **action.headers,
        }
        await self.exchange.respond(action.status, headers, action.body)

    def whole(self) -> bytes:
        """Return the answer that is to go out in one piece."""
        if self._relay is not None and self._relay.assembles:
            return self._relay.assembled_body()
        return b"".join(self._held)

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
        # A stream's outcome is not known when its head is written: its proper end says it.
        if not self.exchange.started and not self._streams():
            headers[header_names.OUTCOME] = request.Outcome.COMPLETED.value
        return headers

    def _streams(self) -> bool:
        return self.content_type.startswith(sse.MEDIA_TYPE) and not (
            self._relay is not None and self._relay.assembles
        )


def _returned_headers(headers: Mapping[str, str], dispatch: entry_types.Dispatch) -> dict[str, str]:
    returned = {name: value for name, value in headers.items() if name not in _NOT_RETURNED}
    returned[header_names.REQUEST_ID] = dispatch.request_id
    if dispatch.key:
        returned[header_names.KEY] = dispatch.key
    return returned
