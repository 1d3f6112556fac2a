"""Sends one attempt to one upstream and reads the head of its response."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Callable, Mapping

from medlarfork import errors
from medlarfork.gateway import request_header_names
from medlarfork.http import header_names, http_client
from medlarfork.placement import placement_messages

WRONG_UPSTREAM_STATUS = 421
"""Status with which an upstream that is not the expected incarnation rejects a request."""

REJECTION_STATUSES = frozenset({400, WRONG_UPSTREAM_STATUS, 429, 503})
"""Statuses with which an upstream can state that it has not run a request. Any other response,
marked or not, is that of a run."""

_DENIALS = frozenset({"0", "false", "no"})
"""Values with which the header ``not_executed`` would state the opposite."""

_OUTCOME = header_names.OUTCOME.lower()
"""Header with which the HTTP servers of entry hosts state what became of a request."""

MAX_SKIPPED = 4
"""Late copies of earlier responses that are discarded before the response to a request."""


class ResponseOwner(enum.Enum):
    """Whose response arrived where that of a request was expected."""

    THIS_REQUEST = "this request"
    ANOTHER_REQUEST = "another request"
    UNKNOWN = "an unknown request"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """The HTTP request of one attempt.

    Attributes:
        address: ``IP:PORT`` of the upstream.
        method: HTTP method.
        target: Path, with the query if any.
        headers: Headers for the upstream.
        body: The complete body.
        attempt_id: The id that the response must return.
        timeout_s: Time until the end of the response, in seconds.
        unacknowledged_s: Timeout for unacknowledged data, in seconds.
        skips_copies: Whether to wait for the response behind a late copy of an earlier one, as the
            request can't be sent again.
        max_idle_s: How long a connection that is reused may have been idle, in seconds.
    """

    address: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    attempt_id: str
    timeout_s: float
    unacknowledged_s: float
    skips_copies: bool = False
    max_idle_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that got no response to this request.

    Attributes:
        end: How it ended.
        why: The reason, for the log.
        is_timeout: Whether its upstream was silent, which is no sign of a crash.
    """

    end: placement_messages.RunEnd
    why: str
    is_timeout: bool = False


OnHead = Callable[[http_client.Response], None]
"""Called with the head of a response that belongs to this request."""

MaySend = Callable[[], bool]
"""Returns whether the upstream still accepts the request that was placed on it."""


async def send(
    client: http_client.HttpClient,
    call: Call,
    names: request_header_names.RequestHeaderNames,
    on_head: OnHead,
    may_send: MaySend,
    silence: http_client.SilenceWatch | None = None,
) -> http_client.Response | Failure:
    """Send a request; return the response once its head has arrived, or the failure."""
    try:
        response = await client.request(
            f"http://{call.address}",
            call.method,
            call.target,
            call.headers,
            call.body,
            timeout_s=call.timeout_s,
            unacknowledged_s=call.unacknowledged_s,
            may_send=may_send,
            silence=silence,
            request_id=call.attempt_id,
            max_idle_s=call.max_idle_s,
        )
    except errors.RequestWithdrawnError:
        return Failure(placement_messages.RunEnd.NOT_SENT, "accepts no request from this host now")
    except errors.RequestNotSentError as error:
        return Failure(placement_messages.RunEnd.UNREACHABLE, str(error))
    except errors.RequestSupersededError:
        return Failure(placement_messages.RunEnd.CANCELLED, "another upstream answered first")
    except errors.UpstreamError as error:
        return _broken(error)
    try:
        response, owner = await _own_response(response, call, names)
    except errors.UpstreamError as error:
        # A late copy in front says nothing about why the connection broke.
        return _broken(error)
    if owner is not ResponseOwner.THIS_REQUEST:
        # The response to this request may still come, so the connection can't be used again.
        await response.close()
        why = f"its response belongs to {owner.value}: {describe(response, names)}"
        return Failure(placement_messages.RunEnd.FAILED, why)
    if names.attempt_id not in response.headers:
        # On this connection, the next response without an id could not be told from a copy.
        response.end_reuse()
    for name in (names.own_answer, names.origin, _OUTCOME):
        # Only entry hosts state these; a forwarding host would take them for the relay host's word.
        response.headers.pop(name, None)
    if response.status != WRONG_UPSTREAM_STATUS:
        on_head(response)
    if is_rejection(response.status, response.headers, names):
        why = describe(response, names)
        # The head already proved that nothing ran.
        await response.discard()
        if response.skipped:
            # A copy that was cut off within its body may have taken up the head of this response.
            return Failure(placement_messages.RunEnd.FAILED, why)
        return Failure(placement_messages.RunEnd.REJECTED, why)
    return response


async def _own_response(
    response: http_client.Response, call: Call, names: request_header_names.RequestHeaderNames
) -> tuple[http_client.Response, ResponseOwner]:
    """Return the first response that is no late copy of an earlier one, and its owner.

    The response to this request, which may be running, comes behind such copies.

    Raises:
        errors.UpstreamError: The connection failed before the response came.
    """
    while True:
        returned_id = response.headers.get(names.attempt_id, "")
        is_first_exchange = response.exchange_number == 1
        owner = identify_owner(
            returned_id, call.attempt_id, response.status, is_first_exchange=is_first_exchange
        )
        is_copy = owner is ResponseOwner.ANOTHER_REQUEST and response.is_late_copy(returned_id)
        if not (call.skips_copies and is_copy) or response.skipped >= MAX_SKIPPED:
            return response, owner
        following = await response.skip()
        if following is None:
            return response, owner
        response = following


def _broken(error: errors.UpstreamError) -> Failure:
    is_timeout = error.code is errors.Code.REQUEST_TIMEOUT
    return Failure(placement_messages.RunEnd.BROKEN, str(error), is_timeout)


def describe(response: http_client.Response, names: request_header_names.RequestHeaderNames) -> str:
    """Return what a response states about the run of its request, for the log."""
    run = "not executed" if _is_marked(response.headers, names) else "unmarked"
    named = "id returned" if names.attempt_id in response.headers else "no id"
    skipped = f", {response.skipped} skipped" if response.skipped else ""
    return (
        f"status {response.status} ({run}, {named}, exchange {response.exchange_number}{skipped})"
    )


def is_rejection(
    status: int, headers: Mapping[str, str], names: request_header_names.RequestHeaderNames
) -> bool:
    """Return whether the response to a request proves that its upstream did not run it."""
    if status == WRONG_UPSTREAM_STATUS:
        return True
    return status in REJECTION_STATUSES and _is_marked(headers, names)


def identify_owner(
    returned_id: str, attempt_id: str, status: int, *, is_first_exchange: bool
) -> ResponseOwner:
    """Return whose a response is, before anything else in it is believed.

    A faulty upstream may send a response again, late, where the next one on the connection is
    expected. Upstreams return the id of the request; a response without an id can be told from a
    late one only if nothing was sent on the connection before.

    Args:
        returned_id: The id in the response; empty if it has none.
        attempt_id: The id that was sent with the request; empty for none.
        status: The response's status.
        is_first_exchange: Whether nothing was sent on the connection before this request.
    """
    if returned_id:
        is_own = returned_id == attempt_id
        return ResponseOwner.THIS_REQUEST if is_own else ResponseOwner.ANOTHER_REQUEST
    # An upstream that has read a request returns its id; only errors may come from before that.
    may_lack_id = status >= 400 or not attempt_id
    if is_first_exchange and may_lack_id:
        return ResponseOwner.THIS_REQUEST
    return ResponseOwner.UNKNOWN


def not_resumed(status: int) -> errors.UpstreamError:
    """Return the error for an answer that does not go on with a stream that has begun."""
    return errors.UpstreamError(
        f"The upstream answered {status} instead of resuming a stream.",
        remedy="Check whether the upstream can resume streams.",
    )


def _is_marked(headers: Mapping[str, str], names: request_header_names.RequestHeaderNames) -> bool:
    """Return whether the mark is there; of its values only a denial has a meaning."""
    value = headers.get(names.not_executed)
    if value is None:
        return False
    return _DENIALS.isdisjoint(part.strip().lower() for part in value.split(","))
