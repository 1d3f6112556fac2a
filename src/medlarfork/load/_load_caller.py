"""Caller of a load run: sends a request, follows the retry rules and returns the result."""

from __future__ import annotations

import dataclasses
import itertools
import time

import curio

from medlarfork import errors
from medlarfork import request as requests
from medlarfork.http import header_names, http_client, sse
from medlarfork.load import _load_directory, _load_experiment, _load_request

_DEFAULT_RETRY_AFTER_S = 0.05
"""Delay before a retry if the response has no Retry-After header, in seconds."""

_RETRYABLE_STATUSES = frozenset({0, 429, 503})


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Result of one attempt of a request.

    Attributes:
        outcome: Outcome of the attempt, as far as the caller knows.
        status: HTTP status; 0 if there was none.
        first_byte_at: Monotonic time of the first byte of the response body, if any.
        tokens: Tokens received.
        verdict: For a complete response: whether it is correct.
        retry_after_s: Delay before a retry, in seconds.
    """

    outcome: requests.Outcome
    status: int = 0
    first_byte_at: float | None = None
    tokens: int = 0
    verdict: _load_request.Verdict | None = None
    retry_after_s: float = _DEFAULT_RETRY_AFTER_S


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of a request over all its attempts.

    Attributes:
        last: The last attempt.
        retries: Attempts beyond the first.
        first_byte_s: Time from its arrival to the first byte of the response, in seconds.
        whole_s: Time from its arrival to its end, in seconds.
        wasted_tokens: Tokens received in incomplete responses.
    """

    last: Attempt
    retries: int
    first_byte_s: float | None
    whole_s: float
    wasted_tokens: int


class LoadCaller:
    """Sends requests and retries those that did not run, a limited number of times."""

    def __init__(
        self,
        client: http_client.HttpClient,
        directory: _load_directory.LoadDirectory,
        experiment: _load_experiment.Experiment,
    ) -> None:
        """Create a caller with its HTTP client, its directory and the experiment's settings."""
        self._client = client
        self._directory = directory
        self._experiment = experiment

    async def send(
        self, request: _load_request.LoadRequest, *, due_at: float, timeout_s: float
    ) -> Result:
        """Send a request, with retries until it ran, timed out or has no retries left.

        Args:
            request: The request to send.
            due_at: Monotonic arrival time; the timeout and the measured times start here.
            timeout_s: Time after which the caller gives up, in seconds.
        """
        deadline_at = due_at + timeout_s
        tried: frozenset[str] = frozenset()
        wasted = 0
        for retries in itertools.count():
            address = await self._directory.pick(exclude=tried)
            last = await self._attempt(address, request, deadline_at)
            if last.outcome is not requests.Outcome.COMPLETED:
                wasted += last.tokens
            wait_s = min(last.retry_after_s, self._experiment.retry_wait_limit_s)
            out_of_time = time.monotonic() + wait_s >= deadline_at
            if out_of_time or retries == self._experiment.retries or not _may_retry(last):
                break
            tried = tried | {address}
            await curio.sleep(wait_s)
        first_byte_s = None if last.first_byte_at is None else last.first_byte_at - due_at
        return Result(last, retries, first_byte_s, time.monotonic() - due_at, wasted)

    async def _attempt(
        self, address: str, request: _load_request.LoadRequest, deadline_at: float
    ) -> Attempt:
        left_s = max(deadline_at - time.monotonic(), 0.001)
        try:
            response = await self._client.request(
                address,
                request.method,
                request.target,
                request.headers,
                request.body,
                timeout_s=left_s,
            )
        except errors.UpstreamError as error:
            return Attempt(_outcome_of(error))
        if response.status == 200 and request.stream:
            return await _read_stream(response, request)
        return await _read_body(response, request)


def _may_retry(attempt: Attempt) -> bool:
    return attempt.outcome is requests.Outcome.NOT_RUN and attempt.status in _RETRYABLE_STATUSES


def _outcome_of(error: errors.UpstreamError) -> requests.Outcome:
    return requests.Outcome.MAY_HAVE_RUN if error.request_sent else requests.Outcome.NOT_RUN


async def _read_stream(
    response: http_client.Response, request: _load_request.LoadRequest
) -> Attempt:
    """Read a streamed response; it is complete after ``[DONE]`` and the end of its body."""
    parser = sse.EventParser()
    parts: list[str] = []
    first_at: float | None = None
    done = False
    try:
        async for data in response.chunks():
            first_at = first_at or time.monotonic()
            for event in parser.feed(data):
                done = done or event.data == sse.DONE
                parts.append(_load_request.delta_text(event))
    except errors.UpstreamError:
        done = False
    finally:
        await response.close()
    tokens = sum(1 for part in parts if part)
    if not done:
        return Attempt(requests.Outcome.MAY_HAVE_RUN, response.status, first_at, tokens)
    verdict = _load_request.check_text(request, "".join(parts))
    return Attempt(requests.Outcome.COMPLETED, response.status, first_at, tokens, verdict)


async def _read_body(response: http_client.Response, request: _load_request.LoadRequest) -> Attempt:
    try:
        body = await response.read()
    except errors.UpstreamError:
        return Attempt(requests.Outcome.MAY_HAVE_RUN, response.status)
    if response.status != 200:
        outcome = _response_outcome(response)
        return Attempt(outcome, response.status, retry_after_s=_retry_after_s(response))
    first_at = time.monotonic()
    verdict, tokens = _load_request.check_body(request, body)
    return Attempt(requests.Outcome.COMPLETED, response.status, first_at, tokens, verdict)


def _response_outcome(response: http_client.Response) -> requests.Outcome:
    value = response.headers.get(header_names.OUTCOME.lower(), "")
    if value == requests.Outcome.NOT_RUN:
        return requests.Outcome.NOT_RUN
    # An error without an outcome header may have occurred after the request took effect.
    return requests.Outcome.MAY_HAVE_RUN


def _retry_after_s(response: http_client.Response) -> float:
    for name, unit_s in ((header_names.RETRY_AFTER_MS, 0.001), (header_names.RETRY_AFTER, 1.0)):
        value = response.headers.get(name.lower(), "")
        if value.isascii() and value.isdigit():
            return int(value) * unit_s
    return _DEFAULT_RETRY_AFTER_S
