"""Builds the HTTP request to an upstream from the caller's request."""

from __future__ import annotations

import dataclasses

import msgspec

from medlarfork import errors
from medlarfork.entry import entry_types
from medlarfork.filters import parse
from medlarfork.http import header_names

_NOT_FORWARDED = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        header_names.KEY.lower(),
        "keep-alive",
        header_names.ATTEMPT_ID.lower(),
        header_names.LABELS.lower(),
        header_names.PRIORITY.lower(),
        header_names.REQUEST_ID.lower(),
        header_names.RESUME_OFFSET.lower(),
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Connection headers, the caller's credentials, and headers that the entry host sets."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """The HTTP request of one attempt."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class _StreamFlag(msgspec.Struct, frozen=True):
    """The stream flag of a chat completion request; other fields are ignored."""

    stream: bool | None = None


def build(raw: entry_types.RawRequest, dispatch: entry_types.Dispatch) -> OutgoingRequest:
    """Return the request of one attempt."""
    headers = {name: value for name, value in raw.headers.items() if name not in _NOT_FORWARDED}
    headers[header_names.REQUEST_ID] = dispatch.request_id
    headers[header_names.ATTEMPT_ID] = dispatch.attempt_id
    headers[header_names.PRIORITY] = str(dispatch.tier)
    if dispatch.key:
        headers[header_names.KEY] = dispatch.key
    if dispatch.resume_offset:
        headers[header_names.RESUME_OFFSET] = str(dispatch.resume_offset)
    body = raw.body
    if dispatch.assemble:
        body = _as_stream(body)
        headers.pop("accept", None)
    return OutgoingRequest(raw.method, _target(raw), headers, body)


def asks_for_stream(raw: entry_types.RawRequest) -> bool:
    """Return whether a caller requested an event stream."""
    if raw.path != parse.CHAT_PATH:
        return False
    try:
        return bool(msgspec.json.decode(raw.body, type=_StreamFlag).stream)
    except msgspec.MsgspecError:
        return False


def _target(raw: entry_types.RawRequest) -> str:
    path = raw.path
    if path.startswith(parse.SERVICES_PATH):
        _, _, rest = path.removeprefix(parse.SERVICES_PATH).partition("/")
        path = f"/{rest}"
    return f"{path}?{raw.query}" if raw.query else path


def _as_stream(body: bytes) -> bytes:
    """Return the same chat completion request with streaming and token counts enabled."""
    try:
        requested = msgspec.json.decode(body, type=dict)
    except msgspec.MsgspecError as error:
        raise errors.UpstreamError(
            "The body is not a JSON object.", remedy="Send a chat completion request."
        ) from error
    requested["stream"] = True
    requested["stream_options"] = {"include_usage": True}
    return msgspec.json.encode(requested)
