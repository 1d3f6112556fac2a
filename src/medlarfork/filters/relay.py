"""Check and count an answer's bytes on their way to the caller, over all attempts of a request.

Events of a stream are relayed whole: a cut stream never leaves half an event with the caller, so
another attempt can go on after it. An event's id is the number of tokens delivered with it; a
resumed stream must prove in its headers that it goes on where the caller's part ends.
"""

from __future__ import annotations

import dataclasses
import enum
import re
from collections.abc import Mapping
from typing import Any

import msgspec

from medlarfork import errors
from medlarfork.filters import assembled_answer
from medlarfork.http import header_names, sse

_ANSWER_BYTES = 16 << 20
"""Longest answer that is assembled, in bytes."""

_COUNT = re.compile(r"[0-9]{1,9}")


class _ToolCall(msgspec.Struct, frozen=True):
    """Check the shape of a part of a tool call."""

    index: int = 0
    id: str | None = None
    function: dict[str, str | None] | None = None


class _Delta(msgspec.Struct, frozen=True):
    """Check the shape of a choice's next part."""

    content: Any = None
    reasoning_content: Any = None
    tool_calls: list[_ToolCall] | None = None


class _Choice(msgspec.Struct, frozen=True):
    """Check the shape of a choice."""

    delta: _Delta | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct, frozen=True):
    """Check the shape of what counting and assembling read of an event."""

    choices: list[_Choice] | None = None


_CHECKER = msgspec.json.Decoder(_Chunk)
_WHOLE = msgspec.json.Decoder(dict[str, Any])


class Mode(enum.StrEnum):
    """Say how an answer reaches the caller.

    OPAQUE: byte for byte.
    STREAM: event for event.
    ASSEMBLE: in one piece, put together from a stream.
    """

    OPAQUE = "opaque"
    STREAM = "stream"
    ASSEMBLE = "assemble"


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """Say which attempt's bytes are taken, and how.

    Attributes:
        offset: Tokens it had to go on after.
        mode: How its bytes are read.
    """

    attempt_id: str
    offset: int
    mode: Mode


class Relay:
    """Turn upstream bytes of the current attempt into bytes for the caller.

    Attributes:
        tokens: Output tokens of the answer so far; 0 for an opaque one.
        resumable: Whether the ids of all events so far prove the offset.
        relayed: Whether any byte of a stream has been handed on to the caller.
        complete: Whether the current attempt's answer has reached its own end.
        discarded_bytes: Bytes of other attempts that were dropped.
    """

    def __init__(self, *, stream: bool, assemble: bool = False) -> None:
        """Prepare for one request.

        Args:
            stream: Whether the caller asked for a stream of events.
            assemble: Whether it is to get a whole answer made from a stream.
        """
        self._asked = Mode.ASSEMBLE if assemble else Mode.STREAM if stream else Mode.OPAQUE
        self._attempt = _Attempt("", 0, Mode.OPAQUE)
        self._splitter = sse.Splitter()
        self._assembled = assembled_answer.AssembledAnswer(limit_bytes=_ANSWER_BYTES)
        self._ended = False
        self.tokens = 0
        self.resumable = self._asked is not Mode.OPAQUE
        self.relayed = False
        self.discarded_bytes = 0

    @property
    def assembles(self) -> bool:
        """Return whether the current attempt's answer is put together from a stream."""
        return self._attempt.mode is Mode.ASSEMBLE

    @property
    def complete(self) -> bool:
        """Return whether the current attempt's answer has reached its own end."""
        if self._attempt.mode is Mode.OPAQUE:
            return bool(self._attempt.attempt_id)
        return self._ended and not self._splitter.pending

    def begin(
        self,
        attempt_id: str,
        *,
        resume_offset: int,
        status: int,
        headers: Mapping[str, str],
        relayed: bool = False,
    ) -> None:
        """Take bytes of this attempt from now on; its answer's head has been read.

        Args:
            headers: The upstream's response headers by lower-case name.
            relayed: Whether any byte of the answer has been written to the caller. An opaque
                answer may have been held back instead; only the connection knows.

        Raises:
            errors.UpstreamError: The upstream does not prove that it goes on where asked.
        """
        streams = headers.get("content-type", "").partition(";")[0].strip() == sse.MEDIA_TYPE
        mode = self._asked if streams and status == 200 else Mode.OPAQUE
        self._attempt = _Attempt(attempt_id, resume_offset, mode)
        self._splitter = sse.Splitter()
        self._ended = False
        if resume_offset or relayed or self.relayed:
            self._check_resumption(headers)
            return
        self.tokens = 0
        self.resumable = mode is not Mode.OPAQUE
        self._assembled = assembled_answer.AssembledAnswer(limit_bytes=_ANSWER_BYTES)

    def feed(self, attempt_id: str, data: bytes) -> bytes:
        """Return what to hand on to the caller for these bytes of an attempt's body.

        Raises:
            errors.UpstreamError: The stream is malformed or does not go on where it should.
        """
        if attempt_id != self._attempt.attempt_id:
            self.discarded_bytes += len(data)
            return b""
        if self._attempt.mode is Mode.OPAQUE:
            return data
        events = self._splitter.feed(data)
        before = (self.tokens, self.resumable)
        try:
            passed = b"".join([self._take(event) for event in events])
        except errors.UpstreamError:
            if self._attempt.mode is Mode.STREAM:
                # The events before the broken one are not handed on either.
                self.tokens, self.resumable = before
            raise
        self.relayed = self.relayed or bool(passed)
        return passed

    def whole(self) -> bytes:
        """Return the assembled answer; only once ``complete``."""
        return self._assembled.encode()

    def _check_resumption(self, headers: Mapping[str, str]) -> None:
        """Refuse an answer that can't be joined to what there is already."""
        offset = self._attempt.offset
        proved = headers.get(header_names.RESUME_OFFSET.lower(), "0" if offset == 0 else "")
        joins = self.resumable and offset == self.tokens and proved == str(offset)
        if self._attempt.mode is Mode.OPAQUE or not joins:
            self._attempt = _Attempt("", 0, Mode.OPAQUE)
            raise errors.UpstreamError(
                f"The upstream does not prove that its answer goes on after {offset} tokens.",
                remedy="Let engines of preemptible classes reply with "
                f"{header_names.RESUME_OFFSET}.",
            )

    def _take(self, event: sse.Event) -> bytes:
        if self._ended:
            raise _broken("goes on after its end")
        if event.data == sse.DONE:
            self._ended = True
            return sse.encode(event.data) if self._attempt.mode is Mode.STREAM else b""
        chunk = _check(event)
        if self._attempt.mode is Mode.ASSEMBLE:
            whole = _decode(event)
            self._count(event, chunk)
            self._assembled.add(whole, len(event.data))
            return b""
        self._count(event, chunk)
        return event.plain or sse.encode(event.data, event.id)

    def _count(self, event: sse.Event, chunk: _Chunk) -> None:
        """Count the event's tokens, by its id while ids prove the offset."""
        step = 1 if _has_content(chunk) else 0
        delivered = int(event.id) if _COUNT.fullmatch(event.id) else -1
        grown = delivered - self.tokens
        if self.resumable and (grown >= 1 if step else grown == 0):
            self.tokens = delivered
            return
        if self._attempt.offset:
            raise _broken("does not go on where it was resumed")
        self.resumable = False
        self.tokens += step


def _check(event: sse.Event) -> _Chunk:
    """Read only what counting needs; what nobody reads is skipped, not built."""
    try:
        return _CHECKER.decode(event.data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise _not_a_part() from error


def _decode(event: sse.Event) -> dict[str, Any]:
    try:
        return _WHOLE.decode(event.data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise _not_a_part() from error


def _has_content(chunk: _Chunk) -> bool:
    for choice in chunk.choices or ():
        delta = choice.delta
        if delta and (delta.content or delta.reasoning_content or delta.tool_calls):
            return True
    return False


def _not_a_part() -> errors.UpstreamError:
    return _broken("has an event that is not part of a chat completion")


def _broken(problem: str) -> errors.UpstreamError:
    return errors.UpstreamError(
        f"The upstream's stream {problem}.", remedy="Check what the upstream streams."
    )
