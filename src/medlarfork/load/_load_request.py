"""Requests of a load run, and the check that a response is complete and the expected one."""

from __future__ import annotations

import dataclasses
import enum
import json
from typing import Any

import msgspec

from medlarfork import uuid7
from medlarfork.filters import parse
from medlarfork.http import header_names, sse
from medlarfork.load import _load_arrivals, _load_experiment
from medlarfork.standin import _standin_text

_WORD = "lorem"


class Verdict(enum.StrEnum):
    """Result of checking a complete response.

    Attributes:
        OWN: It is the expected response.
        CUT: It looks complete, but lacks its end.
        FOREIGN: It belongs to something else.
        DOUBLED: It is correct, but a call that is not repeatable ran more than once.
    """

    OWN = "own"
    CUT = "cut"
    FOREIGN = "foreign"
    DOUBLED = "doubled"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRequest:
    """Request that is ready to be sent, with the expected response.

    Attributes:
        method: HTTP method.
        target: Path at the entry host.
        headers: Headers without hop-by-hop headers.
        body: The complete body.
        stream: Whether the response is an event stream.
        expected: Expected text of a chat response; path of an echoed call.
        key: Idempotency key, if any.
        repeatable: Whether the request may be executed more than once.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    stream: bool
    expected: str
    key: str = ""
    repeatable: bool = True


def build(
    load_class: _load_experiment.LoadClass,
    arrival: _load_arrivals.Arrival,
    *,
    seed: int,
    time_ms: int,
) -> LoadRequest:
    """Return the request of one arrival.

    Args:
        load_class: Class of the request.
        arrival: Arrival to build the request for.
        seed: Seed of the run, which is part of the prompt.
        time_ms: Milliseconds since 1970, for the idempotency key.
    """
    headers = {
        "Authorization": f"Bearer {load_class.account_key}",
        "Content-Type": "application/json",
    }
    if load_class.labels:
        headers[header_names.LABELS] = load_class.labels
    match load_class.kind:
        case _load_experiment.LoadKind.CHAT:
            return _build_chat(load_class, arrival, headers, seed)
        case _load_experiment.LoadKind.CALL:
            return _build_call(load_class, arrival, headers, time_ms)


def check_text(request: LoadRequest, text: str) -> Verdict:
    """Return whether the text of a complete chat response is the expected one."""
    if text == request.expected:
        return Verdict.OWN
    return Verdict.CUT if request.expected.startswith(text) else Verdict.FOREIGN


def check_body(request: LoadRequest, body: bytes) -> tuple[Verdict, int]:
    """Return whether a complete body is the expected one, and its number of tokens."""
    try:
        answer = json.loads(body)
        if request.target == parse.CHAT_PATH:
            text = answer["choices"][0]["message"]["content"]
            return check_text(request, text), answer["usage"]["completion_tokens"]
        return _check_echo(request, answer), 0
    except ValueError:
        return Verdict.CUT, 0
    except (KeyError, IndexError, TypeError):
        return Verdict.FOREIGN, 0


def delta_text(event: sse.Event) -> str:
    """Return the text in one event of a streamed chat response."""
    try:
        choices = json.loads(event.data)["choices"]
        return "".join(choice["delta"]["content"] or "" for choice in choices)
    except (ValueError, KeyError, TypeError):
        return ""


def _check_echo(request: LoadRequest, answer: dict[str, Any]) -> Verdict:
    if answer["method"] != request.method or not request.target.endswith(answer["path"]):
        return Verdict.FOREIGN
    if not answer["path"].endswith(request.expected):
        return Verdict.FOREIGN
    if request.key and answer["key"] and answer["key"] != request.key:
        return Verdict.FOREIGN
    if not request.repeatable and answer["count"] > 1:
        return Verdict.DOUBLED
    return Verdict.OWN


def _build_chat(
    load_class: _load_experiment.LoadClass,
    arrival: _load_arrivals.Arrival,
    headers: dict[str, str],
    seed: int,
) -> LoadRequest:
    system_prompt = f"You answer group {arrival.group} of class {load_class.name}."
    words = " ".join([_WORD] * load_class.prompt_words)
    question = f"{seed}/{load_class.name}/{arrival.number} [tokens={arrival.tokens}] {words}"
    messages = [
        {"role": "system", "content": system_prompt},
        {"role": "user", "content": question},
    ]
    max_tokens = load_class.max_tokens or None
    body = {"model": load_class.model, "messages": messages, "stream": load_class.stream}
    if max_tokens is not None:
        body["max_tokens"] = max_tokens
    answer = _standin_text.answer(load_class.model, messages, max_tokens)
    return LoadRequest(
        "POST",
        parse.CHAT_PATH,
        headers,
        msgspec.json.encode(body),
        load_class.stream,
        answer.text(),
    )


def _build_call(
    load_class: _load_experiment.LoadClass,
    arrival: _load_arrivals.Arrival,
    headers: dict[str, str],
    time_ms: int,
) -> LoadRequest:
    path = load_class.path.replace("{number}", str(arrival.number))
    key = ""
    if load_class.idempotency_keys:
        key = uuid7.make(time_ms, arrival.key_random)
        headers = headers | {header_names.KEY: key}
    return LoadRequest(
        load_class.method,
        f"{parse.SERVICES_PATH}{load_class.service}{path}",
        headers,
        b"",
        stream=False,
        expected=path,
        key=key,
        repeatable=load_class.repeatable,
    )
