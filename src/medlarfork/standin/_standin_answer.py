"""Writer of a stand-in engine's responses, streamed or not."""

from __future__ import annotations

import secrets

import msgspec

from medlarfork.http import event_framer, header_names, http_server, sse
from medlarfork.standin import _standin_batch, _standin_host, _standin_openai, _standin_text

_ID_BYTES = 8
_STREAM = {"Content-Type": event_framer.MEDIA_TYPE, "Cache-Control": "no-cache"}


class AnswerWriter:
    """Writer of one response; ``Batch.run`` calls its methods in order."""

    def __init__(
        self,
        exchange: http_server.Exchange,
        request: _standin_openai.ChatRequest,
        job: _standin_batch.Job,
        *,
        resumes: bool,
    ) -> None:
        """Create a writer; ``resumes`` tells whether the response states its offset."""
        self._exchange = exchange
        self._request = request
        self._job = job
        self._resumes = resumes
        self._id = f"chatcmpl-{secrets.token_hex(_ID_BYTES)}"

    async def start(self) -> None:
        """Send the head of a streamed response."""
        if not self._request.stream:
            return
        headers = dict(_STREAM)
        if self._resumes:
            headers[header_names.RESUME_OFFSET] = str(self._job.offset)
        await self._exchange.begin(200, headers)

    async def deliver(self, index: int) -> None:
        """Send one token of a streamed response."""
        if not self._request.stream:
            return
        role = "assistant" if index == 0 else None
        delta = _standin_openai.Message(self._job.answer.token(index), role)
        await self._send(self._chunk(_standin_openai.ChunkChoice(delta)), index + 1)

    async def finish(self) -> None:
        """Send the end of a streamed response, or a complete response that is not streamed."""
        if not self._request.stream:
            await _standin_host.respond(self._exchange, self._completion())
            return
        count = self._job.answer.count
        end = _standin_openai.ChunkChoice(_standin_openai.Message(), self._job.answer.finish_reason)
        await self._send(self._chunk(end), count)
        options = self._request.stream_options
        if options is not None and options.include_usage:
            await self._send(self._chunk(usage=self._usage()), count)
        await self._exchange.send(sse.encode(sse.DONE))
        await self._exchange.finish()

    async def _send(self, chunk: _standin_openai.Chunk, delivered: int) -> None:
        data = msgspec.json.encode(chunk).decode()
        await self._exchange.send(sse.encode(data, str(delivered)))

    def _chunk(
        self,
        *choices: _standin_openai.ChunkChoice,
        usage: _standin_openai.Usage | None = None,
    ) -> _standin_openai.Chunk:
        created = _standin_host.started_at()
        return _standin_openai.Chunk(self._id, created, self._request.model, choices, usage)

    def _completion(self) -> _standin_openai.Completion:
        answer = self._job.answer
        message = _standin_openai.Message(answer.text(), "assistant")
        choice = _standin_openai.Choice(message, answer.finish_reason)
        created = _standin_host.started_at()
        return _standin_openai.Completion(
            self._id, created, self._request.model, (choice,), self._usage()
        )

    def _usage(self) -> _standin_openai.Usage:
        prompt = _standin_text.prompt_tokens(self._request.messages)
        completion = self._job.answer.count
        return _standin_openai.Usage(prompt, completion, prompt + completion)
