"""Messages of the OpenAI API, as far as the stand-in engine supports them."""

from __future__ import annotations

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOptions:
    """Options of a streamed response."""

    include_usage: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ChatRequest:
    """Request for a chat completion; unlisted fields are ignored."""

    model: str
    messages: list[Any]
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def token_limit(self) -> int | None:
        """Return the maximum number of tokens that the caller accepts, if any."""
        if self.max_completion_tokens is not None:
            return self.max_completion_tokens
        return self.max_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Complete message, or a delta of it."""

    content: str | None = None
    role: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The only choice of a completion."""

    message: Message
    finish_reason: str
    index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """Response to a chat completion that is not streamed."""

    id: str
    created: int
    model: str
    choices: tuple[Choice, ...]
    usage: Usage
    object: str = "chat.completion"


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkChoice:
    """The only choice of a chunk."""

    delta: Message
    finish_reason: str | None = None
    index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Chunk of a streamed chat completion."""

    id: str
    created: int
    model: str
    choices: tuple[ChunkChoice, ...]
    usage: Usage | None = None
    object: str = "chat.completion.chunk"


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """Model in the list of models."""

    id: str
    created: int = 0
    object: str = "model"
    owned_by: str = "medlarfork"


@dataclasses.dataclass(frozen=True, slots=True)
class ModelList:
    """List of models."""

    data: tuple[Model, ...]
    object: str = "list"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Error details."""

    message: str
    type: str
    code: str


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorBody:
    """Body of an error response."""

    error: Problem
