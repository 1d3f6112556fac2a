"""Define the parts of the OpenAI API that the stand-in engine speaks."""

from __future__ import annotations

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOptions:
    """Hold the options of a stream."""

    include_usage: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ChatRequest:
    """Ask for a chat completion; fields that are not listed are ignored."""

    model: str
    messages: list[Any]
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def token_limit(self) -> int | None:
        """Return the caller's bound on the answer's tokens."""
        if self.max_completion_tokens is not None:
            return self.max_completion_tokens
        return self.max_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Count tokens."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Hold a whole answer, or the first or next part of it."""

    content: str | None = None
    role: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Hold the one choice of a whole answer."""

    message: Message
    finish_reason: str
    index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """Answer a chat completion as a whole."""

    id: str
    created: int
    model: str
    choices: tuple[Choice, ...]
    usage: Usage
    object: str = "chat.completion"


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkChoice:
    """Hold the one choice of a part of a streamed answer."""

    delta: Message
    finish_reason: str | None = None
    index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Answer a part of a streamed chat completion."""

    id: str
    created: int
    model: str
    choices: tuple[ChunkChoice, ...]
    usage: Usage | None = None
    object: str = "chat.completion.chunk"


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """Describe a model."""

    id: str
    created: int = 0
    object: str = "model"
    owned_by: str = "medlarfork"


@dataclasses.dataclass(frozen=True, slots=True)
class ModelList:
    """List models."""

    data: tuple[Model, ...]
    object: str = "list"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Describe an error."""

    message: str
    type: str
    code: str


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorBody:
    """Answer with an error."""

    error: Problem
