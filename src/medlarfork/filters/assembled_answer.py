"""Assembles a complete chat completion from the chunks of a stream."""

from __future__ import annotations

from typing import Any

import msgspec

from medlarfork import errors

_TEXT_FIELDS = ("content", "reasoning_content", "refusal")


class AssembledAnswer:
    """Collects the chunks of one answer with one choice; bounded in size."""

    def __init__(self, *, limit_bytes: int) -> None:
        """Start empty; ``limit_bytes`` bounds the bytes of all chunks together."""
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._head: dict[str, Any] = {}
        self._parts_by_field: dict[str, list[str]] = {}
        self._call_by_index: dict[int, dict[str, Any]] = {}
        self._finish_reason: str | None = None
        self._usage: Any = None

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all chunks so far."""
        return self._held_bytes

    def add(self, chunk: dict[str, Any], size: int) -> None:
        """Add one chunk of ``size`` bytes.

        Raises:
            errors.UpstreamError: The answer is too large to hold.
        """
        self._held_bytes += size
        if self._held_bytes > self._limit_bytes:
            raise errors.UpstreamError(
                f"The answer is larger than {self._limit_bytes} bytes.",
                remedy="Ask for a stream, or for fewer tokens.",
            )
        for name in ("id", "created", "model", "system_fingerprint"):
            if name in chunk:
                self._head.setdefault(name, chunk[name])
        self._usage = chunk.get("usage") or self._usage
        for choice in chunk.get("choices") or ():
            self._add_delta(choice.get("delta") or {})
            self._finish_reason = choice.get("finish_reason") or self._finish_reason

    def encode(self) -> bytes:
        """Return the body of the complete answer."""
        message: dict[str, Any] = {"role": "assistant", "content": None}
        for name, parts in self._parts_by_field.items():
            message[name] = "".join(parts)
        if self._call_by_index:
            message["tool_calls"] = [call for _, call in sorted(self._call_by_index.items())]
        choice = {"index": 0, "message": message, "finish_reason": self._finish_reason}
        body = {**self._head, "object": "chat.completion", "choices": [choice]}
        if self._usage is not None:
            body["usage"] = self._usage
        return msgspec.json.encode(body)

    def _add_delta(self, delta: dict[str, Any]) -> None:
        for name in _TEXT_FIELDS:
            if isinstance(delta.get(name), str):
                self._parts_by_field.setdefault(name, []).append(delta[name])
        for part in delta.get("tool_calls") or ():
            self._add_call(part)

    def _add_call(self, part: dict[str, Any]) -> None:
        call = self._call_by_index.setdefault(
            part.get("index", 0), {"id": "", "type": "function", "function": {}}
        )
        call["id"] = part.get("id") or call["id"]
        for name, text in (part.get("function") or {}).items():
            call["function"][name] = call["function"].get(name, "") + (text or "")
