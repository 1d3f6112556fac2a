"""Deterministic answers of the stand-in engine: the same prompt always gives the same text.

Any engine can therefore resume another engine's answer, and a load generator can check that an
answer is complete and belongs to its request.
"""

from __future__ import annotations

import dataclasses
import hashlib
import re
from typing import Any

import msgspec

_TOKEN_DIGITS = 6
"""Number of hexadecimal digits in a token."""

_MIN_TOKENS = 8
"""Minimum length of an answer whose length is derived from the prompt, in tokens."""

_LENGTH_COUNT = 120
"""Number of different lengths of such answers."""

_LENGTH = re.compile(r"\[tokens=(\d{1,6})\]")


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to one prompt.

    Attributes:
        digest: Digest of model and prompt.
        count: Number of tokens.
        finish_reason: ``stop``, or ``length`` if the caller's token limit ended it.
    """

    digest: str
    count: int
    finish_reason: str

    def token(self, index: int) -> str:
        """Return the text of one token; the index starts at 0."""
        return " " + _hash(f"{self.digest}:{index}")[:_TOKEN_DIGITS]

    def text(self) -> str:
        """Return the complete text."""
        return "".join(self.token(index) for index in range(self.count))


def answer(model: str, messages: Any, max_tokens: int | None) -> Answer:
    """Return the answer to a prompt.

    A prompt with ``[tokens=N]`` requests N tokens; otherwise the length depends on the digest.
    """
    prompt = msgspec.json.encode((model, messages), order="deterministic").decode()
    digest = _hash(prompt)
    requested = _LENGTH.search(prompt)
    length = int(requested[1]) if requested else _MIN_TOKENS + int(digest[:4], 16) % _LENGTH_COUNT
    if max_tokens is not None and max_tokens < length:
        return Answer(digest, max_tokens, "length")
    return Answer(digest, length, "stop")


def prompt_tokens(messages: Any) -> int:
    """Return the number of tokens that a prompt counts as."""
    return max(1, len(msgspec.json.encode(messages).split()))


def _hash(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
