"""Carry out one attempt: send the request to one upstream and read the head of its answer."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from medlarfork import errors
from medlarfork.gateway import request_header_names
from medlarfork.http import http_client
from medlarfork.placement import placement_messages

WRONG_UPSTREAM_STATUS = 421
"""Status of an upstream that is not the expected incarnation; it has not run the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Hold what is sent.

    Attributes:
        address: ``IP:PORT`` of the upstream.
        method: HTTP method.
        target: Path, with the query if any.
        headers: What the upstream gets.
        body: The whole body.
        attempt_id: The id that the answer has to return.
        timeout_s: Time to the end of the answer, in seconds.
    """

    address: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    attempt_id: str
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Hold an attempt that brought no answer of this request."""

    end: placement_messages.RunEnd
    why: str


NoteHead = Callable[[http_client.Response], None]
"""Takes the head of an answer that the expected upstream gave."""

MaySend = Callable[[], bool]
"""Says whether the upstream still takes the request that was placed on it."""


async def send(
    client: http_client.HttpClient,
    call: Call,
    names: request_header_names.RequestHeaderNames,
    note_head: NoteHead,
    may_send: MaySend,
) -> http_client.Response | Failure:
    """Send a request and return its answer once the head is in, or why there is none."""
    try:
        response = await client.request(
            f"http://{call.address}",
            call.method,
            call.target,
            call.headers,
            call.body,
            timeout_s=call.timeout_s,
            may_send=may_send,
        )
    except errors.RequestWithdrawnError:
        return Failure(placement_messages.RunEnd.NOT_SENT, "takes no request from here now")
    except errors.RequestNotSentError as error:
        return Failure(placement_messages.RunEnd.UNREACHABLE, str(error))
    except errors.UpstreamError as error:
        return Failure(placement_messages.RunEnd.BROKEN, str(error))
    is_own = _is_own(response, call, names)
    if is_own and response.status != WRONG_UPSTREAM_STATUS:
        note_head(response)
    if response.status == WRONG_UPSTREAM_STATUS or names.not_executed in response.headers:
        await _drain(response)
        return Failure(placement_messages.RunEnd.REJECTED, f"status {response.status}")
    if not is_own:
        await response.close()
        why = "its answer belongs to another request"
        return Failure(placement_messages.RunEnd.FAILED, why)
    return response


def _is_own(
    response: http_client.Response, call: Call, names: request_header_names.RequestHeaderNames
) -> bool:
    """Say whether an answer returns the request's id; a late second answer bears another one."""
    returned = response.headers.get(names.attempt_id)
    if returned is None:
        return response.status >= 400
    return returned == call.attempt_id


async def _drain(response: http_client.Response) -> None:
    """Read a refusal to its end, so that its connection can be used again."""
    try:
        await response.read()
    except errors.UpstreamError:
        # The refusal's head said that nothing ran; its connection was cut by the failed read.
        return
