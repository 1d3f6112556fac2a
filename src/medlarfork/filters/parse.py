"""Parses a caller's HTTP request: a chat completion, or a call of a plain service."""

from __future__ import annotations

import hashlib
import urllib.parse
from typing import Any

import msgspec

from medlarfork import errors
from medlarfork.entry import entry_types
from medlarfork.filters import classify
from medlarfork.http import header_names

CHAT_PATH = "/v1/chat/completions"
"""Path of chat completions, as in the OpenAI API."""

SERVICES_PATH = "/services/"
"""Path prefix of plain services; their name follows."""

_PREFIX_CHARACTERS = 1024
"""Number of characters of the first message that form the prompt prefix."""

_KEY_CHARACTERS = 200
"""Maximum length of an idempotency key."""


class _ChatBody(msgspec.Struct, frozen=True):
    """The fields of a chat completion request that decisions need; others pass through."""

    model: str
    messages: list[Any]
    stream: bool | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None


def parse(raw: entry_types.RawRequest) -> classify.ParsedRequest:
    """Return the parsed request.

    Raises:
        errors.MedlarError: The request is malformed or its path is unknown.
    """
    if raw.path == CHAT_PATH:
        return _parse_chat(raw)
    if raw.path.startswith(SERVICES_PATH):
        return _parse_call(raw)
    raise errors.RequestRefusedError(
        f"There is nothing at {raw.path[:80]!r}.",
        remedy=f"Use {CHAT_PATH} for models or {SERVICES_PATH}NAME/... for plain services.",
        code=errors.Code.NOT_FOUND,
        status=404,
    )


def prompt_prefix(model: str, messages: list[Any]) -> str:
    """Return a digest that is equal for prompts with the same model and prefix."""
    if not messages:
        return ""
    first = msgspec.json.encode(messages[0]).decode()[:_PREFIX_CHARACTERS]
    return hashlib.blake2b(f"{model}\0{first}".encode(), digest_size=8).hexdigest()


def _parse_chat(raw: entry_types.RawRequest) -> classify.ParsedRequest:
    if raw.method != "POST":
        raise errors.RequestRefusedError(
            f"{raw.method} is not allowed at {CHAT_PATH}.",
            remedy="Use POST.",
            code=errors.Code.BAD_REQUEST,
            status=405,
            headers={"Allow": "POST"},
        )
    body = _decode_chat(raw.body)
    return classify.ParsedRequest(
        raw.request_id,
        raw.method,
        model=body.model,
        stream=bool(body.stream),
        max_tokens=_max_tokens(body),
        prefix=prompt_prefix(body.model, body.messages),
        caller_labels=classify.parse_labels(raw.headers.get(header_names.LABELS.lower(), "")),
        key=_key(raw),
        body_sha256=hashlib.sha256(raw.body).hexdigest(),
    )


def _decode_chat(data: bytes) -> _ChatBody:
    try:
        body = msgspec.json.decode(data, type=_ChatBody)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise _bad_request(
            f"The body is not a chat completion request: {error}.",
            "Send a JSON object with model and messages.",
        ) from error
    if not body.model:
        raise _bad_request("The model is empty.", "Name one of the models of GET /v1/models.")
    if body.n not in (None, 1):
        raise _bad_request("Several choices are not supported.", "Leave out n or send n=1.")
    return body


def _max_tokens(body: _ChatBody) -> int | None:
    bound = body.max_completion_tokens
    if bound is None:
        bound = body.max_tokens
    if bound is not None and bound < 1:
        raise _bad_request("The token limit is below 1.", "Send a max_tokens of at least 1.")
    return bound


def _parse_call(raw: entry_types.RawRequest) -> classify.ParsedRequest:
    name, _, rest = raw.path.removeprefix(SERVICES_PATH).partition("/")
    path = f"/{rest}"
    # An upstream may decode or normalise the path, and then run another call than the matched one.
    if any(part in (".", "..") for part in urllib.parse.unquote(path).split("/")):
        raise _bad_request("The path has dot segments.", "Send the path in its normal form.")
    return classify.ParsedRequest(
        raw.request_id,
        raw.method,
        path=path,
        service=urllib.parse.unquote(name),
        caller_labels=classify.parse_labels(raw.headers.get(header_names.LABELS.lower(), "")),
        key=_key(raw),
        body_sha256=_call_digest(raw),
    )


def _call_digest(raw: entry_types.RawRequest) -> str:
    """Return a digest of the call with its target: a key must not be reused for another target."""
    target = f"{raw.method} {raw.path}?{raw.query}\0".encode("utf-8", "surrogateescape")
    return hashlib.sha256(target + raw.body).hexdigest()


def _key(raw: entry_types.RawRequest) -> str:
    key = raw.headers.get(header_names.KEY.lower(), "").strip()
    if len(key) > _KEY_CHARACTERS or not (key.isascii() and key.isprintable()):
        raise _bad_request(
            "The Idempotency-Key is invalid.",
            f"Send at most {_KEY_CHARACTERS} printable ASCII characters, such as a UUIDv7.",
        )
    return key


def _bad_request(problem: str, remedy: str) -> errors.RequestRefusedError:
    return errors.RequestRefusedError(
        problem, remedy=remedy, code=errors.Code.BAD_REQUEST, status=400
    )
