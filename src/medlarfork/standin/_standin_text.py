"""Make up the stand-in engine's answers: the same prompt always leads to the same text.

Any engine can therefore continue another's answer, and a load generator can check that an
answer is whole and belongs to its request.
"""

from __future__ import annotations

import dataclasses
import hashlib
import re
from typing import Any

import msgspec

_TOKEN_DIGITS = 6
"""Hexadecimal digits of a token."""

_MIN_TOKENS = 8
"""Tokens of the shortest answer whose length is made up."""

_LENGTH_COUNT = 120
"""How many lengths such an answer may have."""

_LENGTH = re.compile(r"\[tokens=(\d{1,6})\]")


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Describe the answer to one prompt.

    Attributes:
        digest: Digest of model and prompt.
        count: Tokens of the whole answer.
        finish_reason: ``stop``, or ``length`` if the caller's bound ended it.
    """

    digest: str
    count: int
    finish_reason: str

    def token(self, index: int) -> str:
        """Return the text of one token, counted from 0."""
        return " " + _hash(f"{self.digest}:{index}")[:_TOKEN_DIGITS]

    def text(self) -> str:
        """Return the whole answer."""
        return "".join(self.token(index) for index in range(self.count))


def answer(model: str, messages: Any, max_tokens: int | None) -> Answer:
    """Return the answer to a prompt.

    A prompt with ``[tokens=N]`` asks for an answer of N tokens; else the length is made up.
    """
    prompt = msgspec.json.encode((model, messages), order="deterministic").decode()
    digest = _hash(prompt)
    requested = _LENGTH.search(prompt)
    length = int(requested[1]) if requested else _MIN_TOKENS + int(digest[:4], 16) % _LENGTH_COUNT
    if max_tokens is not None and max_tokens < length:
        return Answer(digest, max_tokens, "length")
    return Answer(digest, length, "stop")


def prompt_tokens(messages: Any) -> int:
    """Return how many tokens a prompt counts as."""
    return max(1, len(msgspec.json.encode(messages).split()))


def _hash(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
