"""Headers, reason phrases and error bodies of HTTP messages, for client and server."""

from __future__ import annotations

import functools
import http
from collections.abc import Iterable, Mapping

import msgspec

from medlarfork import errors
from medlarfork.http import header_names

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to a single connection and are never forwarded."""

NOT_RUN = "not_run"
"""Outcome of a request that is refused before a handler gets it (see ``request.Outcome``)."""

MAY_HAVE_RUN = "may_have_run"
"""Outcome of a request whose handler failed: it may have taken effect."""

RawHeaders = list[tuple[bytes, bytes]]
"""Header lines in the form that h11 expects."""


def decode_headers(raw: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return header values by lower-case name; values of repeated headers are joined."""
    value_by_name: dict[str, str] = {}
    repeated_by_name: dict[str, list[str]] = {}
    for raw_name, raw_value in raw:
        name = raw_name.decode("latin-1")
        value = raw_value.decode("latin-1")
        if name in value_by_name:
            repeated_by_name.setdefault(name, [value_by_name[name]]).append(value)
        else:
            value_by_name[name] = value
    for name, values in repeated_by_name.items():
        value_by_name[name] = ("; " if name == "cookie" else ", ").join(values)
    return value_by_name


def encode_headers(headers: Mapping[str, str]) -> RawHeaders:
    """Return header lines without hop-by-hop headers."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    ]


@functools.lru_cache(maxsize=256)
def reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase; empty for a status without one."""
    try:
        return http.HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b""


def error_body(error: errors.MedlarError, status: int) -> bytes:
    """Return an error body in the format of the OpenAI API."""
    kind = "server_error" if status >= 500 else "invalid_request_error"
    detail = {"message": str(error), "type": kind, "code": error.code.value, "param": None}
    return msgspec.json.encode({"error": detail})


def error_headers(outcome: str) -> dict[str, str]:
    """Return the headers of an error response."""
    return {"Content-Type": "application/json", header_names.OUTCOME: outcome}
