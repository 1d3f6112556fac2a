"""Validates and counts an answer's bytes on their way to the caller, over all attempts.

Only complete events of a stream are relayed, so that another attempt can resume a broken stream
after the last one. An event's id is the number of tokens delivered up to and including it; a
resumed stream must prove in its headers that it continues where the caller's part ends.
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
from medlarfork.http import event_framer, header_names, sse

_ANSWER_BYTES = 16 << 20
"""Maximum size of an assembled answer, in bytes."""

_COUNT = re.compile(r"[0-9]{1,9}")


class _ToolCall(msgspec.Struct, frozen=True):
    """Schema of a tool call delta."""

    index: int = 0
    id: str | None = None
    function: dict[str, str | None] | None = None


class _Delta(msgspec.Struct, frozen=True):
    """Schema of a choice's delta."""

    content: Any = None
    reasoning_content: Any = None
    tool_calls: list[_ToolCall] | None = None


class _Choice(msgspec.Struct, frozen=True):
    """Schema of a choice."""

    delta: _Delta | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct, frozen=True):
    """Schema of the event fields that counting and assembling use."""

    choices: list[_Choice] | None = None


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)
_DECODER = msgspec.json.Decoder(dict[str, Any])


class Mode(enum.StrEnum):
    """How an answer reaches the caller.

    OPAQUE: byte for byte; a stream must still end between two events.
    STREAM: event by event.
    ASSEMBLE: in one piece, assembled from a stream.
    """

    OPAQUE = "opaque"
    STREAM = "stream"
    ASSEMBLE = "assemble"


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """The attempt whose bytes are accepted.

    Attributes:
        offset: Number of tokens after which it had to resume.
        mode: How its bytes are processed.
    """

    attempt_id: str
    offset: int
    mode: Mode


class Relay:
    """Converts the current attempt's upstream bytes into bytes for the caller.

    Attributes:
        tokens: Output tokens of the answer so far; 0 for an opaque one.
        resumable: Whether the ids of all events so far prove the offset.
        relayed: Whether any byte of a stream has been passed on to the caller.
        complete: Whether the current attempt's answer has reached its own end.
        discarded_bytes: Bytes of other attempts that were dropped.
    """

    def __init__(self, *, stream: bool, assemble: bool = False) -> None:
        """Create the relay of one request.

        Args:
            stream: Whether the caller requested an event stream.
            assemble: Whether the caller gets a complete answer assembled from a stream.
        """
        self._requested_mode = Mode.ASSEMBLE if assemble else Mode.STREAM if stream else Mode.OPAQUE
        self._attempt = _Attempt("", 0, Mode.OPAQUE)
        self._splitter = sse.EventParser()
        self._framer: event_framer.EventFramer | None = None
        self._assembled = assembled_answer.AssembledAnswer(limit_bytes=_ANSWER_BYTES)
        self._ended = False
        self.tokens = 0
        self.resumable = self._requested_mode is not Mode.OPAQUE
        self.relayed = False
        self.discarded_bytes = 0

    @property
    def assembles(self) -> bool:
        """Return whether the current attempt's answer is assembled from a stream."""
        return self._attempt.mode is Mode.ASSEMBLE

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held until the answer, or one of its events, is complete."""
        framed = 0 if self._framer is None else self._framer.pending_bytes
        return self._assembled.held_bytes + self._splitter.pending_bytes + framed

    @property
    def complete(self) -> bool:
        """Return whether the current attempt's answer has reached its own end."""
        if self._attempt.mode is Mode.OPAQUE:
            is_cut = self._framer is not None and self._framer.is_inside_event
            return bool(self._attempt.attempt_id) and not is_cut
        return self._ended and not self._splitter.pending

    def start_attempt(
        self,
        attempt_id: str,
        *,
        resume_offset: int,
        status: int,
        headers: Mapping[str, str],
        relayed: bool = False,
    ) -> None:
        """Accept the bytes of this attempt from now on; its response head has been read.

        Args:
            headers: The upstream's response headers by lower-case name.
            relayed: Whether any byte of the answer has been written to the caller. An opaque
                answer may have been held back instead; only the connection knows.

        Raises:
            errors.UpstreamError: The upstream does not prove that it resumes at the offset.
        """
        streams = event_framer.is_event_stream(headers)
        mode = self._requested_mode if streams and status == 200 else Mode.OPAQUE
        self._attempt = _Attempt(attempt_id, resume_offset, mode)
        self._splitter = sse.EventParser()
        self._framer = event_framer.EventFramer() if event_framer.can_be_framed(headers) else None
        self._ended = False
        if resume_offset or relayed or self.relayed:
            self._check_resumption(headers)
            return
        self.tokens = 0
        self.resumable = mode is not Mode.OPAQUE
        self._assembled = assembled_answer.AssembledAnswer(limit_bytes=_ANSWER_BYTES)

    def feed(self, attempt_id: str, data: bytes) -> bytes:
        """Return the bytes for the caller that result from these bytes of an attempt's body.

        Raises:
            errors.UpstreamError: The stream is malformed or does not resume at the offset.
        """
        if attempt_id != self._attempt.attempt_id:
            self.discarded_bytes += len(data)
            return b""
        if self._attempt.mode is Mode.OPAQUE:
            if self._framer is not None:
                self._framer.feed(data)
            return data
        events = self._splitter.feed(data)
        before = (self.tokens, self.resumable)
        try:
            relayed_bytes = b"".join([self._relay_event(event) for event in events])
        except errors.UpstreamError:
            if self._attempt.mode is Mode.STREAM:
                # The events before the malformed one are not passed on either.
                self.tokens, self.resumable = before
            raise
        self.relayed = self.relayed or bool(relayed_bytes)
        return relayed_bytes

    def assembled_body(self) -> bytes:
        """Return the assembled answer; only once ``complete``."""
        return self._assembled.encode()

    def _check_resumption(self, headers: Mapping[str, str]) -> None:
        """Raise unless the answer provably continues what was relayed before."""
        offset = self._attempt.offset
        proven_offset = headers.get(header_names.RESUME_OFFSET.lower(), "0" if offset == 0 else "")
        joins = self.resumable and offset == self.tokens and proven_offset == str(offset)
        if self._attempt.mode is Mode.OPAQUE or not joins:
            self._attempt = _Attempt("", 0, Mode.OPAQUE)
            raise errors.UpstreamError(
                f"The upstream does not prove that its answer resumes after {offset} tokens.",
                remedy="Let engines of preemptible classes reply with "
                f"{header_names.RESUME_OFFSET}.",
            )

    def _relay_event(self, event: sse.Event) -> bytes:
        if self._ended:
            raise _broken("continues after its end")
        if event.data == sse.DONE:
            self._ended = True
            return sse.encode(event.data) if self._attempt.mode is Mode.STREAM else b""
        chunk = _decode_chunk(event)
        if self._attempt.mode is Mode.ASSEMBLE:
            complete_chunk = _decode_complete(event)
            self._count(event, chunk)
            self._assembled.add(complete_chunk, len(event.data))
            return b""
        self._count(event, chunk)
        return event.plain or sse.encode(event.data, event.id)

    def _count(self, event: sse.Event, chunk: _Chunk) -> None:
        """Count the event's tokens: by its id, as long as ids prove the offset."""
        step = 1 if _has_content(chunk) else 0
        delivered = int(event.id) if _COUNT.fullmatch(event.id) else -1
        new_tokens = delivered - self.tokens
        if self.resumable and (new_tokens >= 1 if step else new_tokens == 0):
            self.tokens = delivered
            return
        if self._attempt.offset:
            raise _broken("does not continue at the resume offset")
        self.resumable = False
        self.tokens += step


def _decode_chunk(event: sse.Event) -> _Chunk:
    """Decode only the fields that counting needs; others are skipped."""
    try:
        return _CHUNK_DECODER.decode(event.data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise _not_a_chunk() from error


def _decode_complete(event: sse.Event) -> dict[str, Any]:
    try:
        return _DECODER.decode(event.data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise _not_a_chunk() from error


def _has_content(chunk: _Chunk) -> bool:
    for choice in chunk.choices or ():
        delta = choice.delta
        if delta and (delta.content or delta.reasoning_content or delta.tool_calls):
            return True
    return False


def _not_a_chunk() -> errors.UpstreamError:
    return _broken("has an event that is not a chat completion chunk")


def _broken(problem: str) -> errors.UpstreamError:
    return errors.UpstreamError(
        f"The upstream's stream {problem}.", remedy="Check the upstream's stream."
    )
