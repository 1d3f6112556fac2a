"""An attempt: sends the request to an upstream and relays its answer to the caller."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from medlarfork import claim, errors, logs, request
from medlarfork.backpressure import upstream_signals
from medlarfork.entry import caller_session, entry_types
from medlarfork.filters import outgoing
from medlarfork.http import answer_budget, event_framer, header_names, http_client

_log = logging.getLogger(__name__)

MAX_BUFFERED_BYTES = 64 << 10
"""Answers up to this size are sent in one piece with their length; longer ones are streamed."""

MAX_STORED_BYTES = 16 << 10
"""Maximum size of an answer stored for duplicates of a not-repeatable request, in bytes."""

_TOO_MANY_REQUESTS = 429


class UpstreamAttempt:
    """Runs an attempt and reports its end exactly once, also when it is cancelled."""

    def __init__(
        self,
        dispatch: entry_types.Dispatch,
        session: caller_session.CallerSession,
        client: http_client.HttpClient,
        post: Callable[[Any], Awaitable[None]],
        has_lost_links: Callable[[], bool] = lambda: False,
        answers: answer_budget.AnswerBudget | None = None,
    ) -> None:
        """Create an attempt.

        Args:
            dispatch: The upstream and the attempt's id.
            session: The caller's request and connection.
            client: Sends the request.
            post: Sends events to the node.
            has_lost_links: Returns whether this host may have lost its links to upstreams.
            answers: Memory for answers that are held until they are complete; None for one of the
                attempt's own.
        """
        self._dispatch = dispatch
        self._session = session
        self._client = client
        self._post = post
        self._has_lost_links = has_lost_links
        self._answers = answers or answer_budget.AnswerBudget()
        self._status = 0
        self._started = False

    async def run(self) -> None:
        """Run the attempt."""
        if self._session.is_cancelled(self._dispatch.attempt_id):
            # It was cancelled before this task first ran, so nothing was sent to the upstream.
            await self._post(self._ended(entry_types.AttemptResult.NOT_SENT, "cancelled"))
            return
        try:
            ended = await self._exchange()
        except errors.CallerDisconnectedError:
            await self._session.enqueue_action(entry_types.CallerGone(self._dispatch.request_id))
            await self._wait_for_cancel()
            return
        except errors.RequestNotSentError as error:
            result = entry_types.AttemptResult.NOT_SENT
            if self._has_lost_links():
                result = entry_types.AttemptResult.CUT_OFF
            ended = self._ended(result, str(error))
        except errors.MedlarError as error:
            ended = self._ended(entry_types.AttemptResult.BROKEN, str(error))
        except Exception as error:
            # A bug in this process must not leave the slot occupied and the caller waiting.
            logs.event(_log, "attempt_failed", severity=logging.ERROR, cause=error)
            ended = self._ended(entry_types.AttemptResult.BROKEN, type(error).__name__)
        except curio.CancelledError:
            await self._post(self._ended(entry_types.AttemptResult.BROKEN, "cancelled"))
            raise
        await self._post(ended)

    async def _wait_for_cancel(self) -> None:
        """Wait until the node has handled ``CallerGone`` and cancels this attempt."""
        try:
            await curio.sleep(self._dispatch.timeout_s)
        finally:
            await self._post(self._ended(entry_types.AttemptResult.BROKEN, "the caller has gone"))

    async def _exchange(self) -> entry_types.AttemptEnded:
        """Send the request, relay the answer and return how the attempt ended."""
        outgoing_request = outgoing.build(self._session.raw, self._dispatch)
        response = await self._client.request(
            self._dispatch.address,
            outgoing_request.method,
            outgoing_request.target,
            outgoing_request.headers,
            outgoing_request.body,
            timeout_s=self._dispatch.timeout_s,
        )
        try:
            _check_owner(response, self._dispatch.attempt_id)
            self._status = response.status
            if _is_refusal(response):
                await response.discard()
                retry_after = response.headers.get(header_names.RETRY_AFTER.lower(), "")
                return self._ended(
                    entry_types.AttemptResult.REFUSED,
                    "refused by the upstream",
                    pause_s=upstream_signals.parse("", "", retry_after).pause_s,
                )
            await self._relay(response)
        finally:
            await response.close()
        return self._ended(entry_types.AttemptResult.COMPLETE, "", answer=self._stored())

    async def _relay(self, response: http_client.Response) -> None:
        """Relay the answer's body to the caller."""
        session = self._session
        attempt_id = self._dispatch.attempt_id
        session.start_response(self._dispatch, response.status, response.headers)
        streams = event_framer.is_event_stream(response.headers)
        at_once = streams and not self._dispatch.assemble
        lease = answer_budget.AnswerLease(self._answers, response.expire)
        session.hold(lease)
        try:
            while chunk := await response.next_chunk():
                if not at_once:
                    session.buffer(attempt_id, chunk)
                    at_once = session.buffered_bytes > MAX_BUFFERED_BYTES
                    chunk = b""
                if at_once and await session.forward(attempt_id, chunk):
                    await self._report_started()
                lease.resize(session.held_bytes)
        except errors.UpstreamError:
            lease.check()
            raise
        session.check_complete()
        lease.complete()

    async def _report_started(self) -> None:
        """Report the first byte sent to the caller; buffered bytes don't count."""
        if not self._started:
            self._started = True
            await self._post(entry_types.AttemptStarted(self._dispatch.attempt_id))

    def _stored(self) -> claim.StoredAnswer | None:
        """Return the answer to store for duplicates; None for a repeatable request."""
        if not self._dispatch.key:
            return None
        body = b"" if self._session.relayed else self._session.full_body()
        kept = not self._session.relayed and len(body) <= MAX_STORED_BYTES
        content_type = self._session.content_type
        return claim.StoredAnswer(self._status, content_type, body if kept else b"", kept)

    def _ended(
        self,
        result: entry_types.AttemptResult,
        error: str,
        *,
        answer: claim.StoredAnswer | None = None,
        pause_s: float = 0.0,
    ) -> entry_types.AttemptEnded:
        session = self._session
        return entry_types.AttemptEnded(
            self._dispatch.attempt_id,
            result,
            status=self._status,
            tokens=session.tokens,
            relayed=session.relayed,
            resumable=session.resumable,
            answer=answer,
            error=error,
            pause_s=pause_s,
        )


def _check_owner(response: http_client.Response, attempt_id: str) -> None:
    """Check that a response is not that of another attempt; upstreams need not return the id.

    A refusal without an id is this attempt's only if nothing was sent on the connection before: it
    could be a late copy of an earlier one.

    Raises:
        errors.UpstreamError: It may be that of another attempt; this attempt may run.
    """
    returned = response.headers.get(header_names.ATTEMPT_ID.lower(), "")
    if returned == attempt_id:
        return
    if returned:
        raise _foreign("The upstream sent the response to another attempt.")
    if _is_refusal(response):
        if response.exchange_number > 1:
            raise _foreign("The upstream's refusal does not tell which attempt it refuses.")
        response.end_reuse()


def _foreign(problem: str) -> errors.UpstreamError:
    remedy = "Check whether the upstream sends responses twice; let it return the attempt's id."
    return errors.UpstreamError(problem, remedy=remedy)


def _is_refusal(response: http_client.Response) -> bool:
    """Return whether the response states that the upstream has not started the request.

    A 503 alone does not state that: it may come from the middle of an execution.
    """
    if response.status == _TOO_MANY_REQUESTS:
        return True
    outcome = response.headers.get(header_names.OUTCOME.lower())
    return outcome == request.Outcome.NOT_RUN.value
