"""Continuous batching of a stand-in engine."""

from __future__ import annotations

import collections
import dataclasses
import time
from collections.abc import Awaitable, Callable

from medlarfork import errors
from medlarfork.standin import _standin_cache, _standin_faults, _standin_slots, _standin_text

_CACHE_HIT_FACTOR = 0.2
"""Factor of the time to the first token when the prompt prefix is cached."""

_MAX_COUNTED_REQUESTS = 100_000
"""Maximum number of requests whose executions are counted; the oldest are evicted."""


@dataclasses.dataclass(frozen=True, slots=True)
class BatchOptions:
    """Speed of an engine.

    Attributes:
        slots: Maximum number of running requests.
        first_token_s: Time to the first token of an uncached prompt, in seconds.
        token_s: Time between tokens when a single request runs, in seconds.
        batch_slowdown: Relative growth of that time for each further running request.
    """

    slots: int
    first_token_s: float
    token_s: float
    batch_slowdown: float


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Answer to compute for one request.

    Attributes:
        request_id: Request id assigned by the router, if any.
        answer: The answer.
        offset: Number of tokens that the caller already has.
        priority: Priority; a lower number goes first.
        prefix: Digest of the prompt prefix.
    """

    request_id: str
    answer: _standin_text.Answer
    offset: int
    priority: int
    prefix: str


class Batch:
    """Batch of running jobs, which computes one token at a time for each.

    Attributes:
        slots: The engine's slots.
        tokens_computed: Tokens computed since the start.
        tokens_cancelled: Computed tokens of answers that were not finished.
        executions: Number of executions by request id.
    """

    def __init__(
        self,
        options: BatchOptions,
        cache: _standin_cache.PrefixCache,
        switches: _standin_faults.FaultSwitches,
    ) -> None:
        """Start without jobs."""
        self.slots = _standin_slots.Slots(options.slots)
        self.tokens_computed = 0
        self.tokens_cancelled = 0
        self.executions: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._options = options
        self._cache = cache
        self._switches = switches

    async def run(
        self,
        job: Job,
        *,
        start: Callable[[], Awaitable[None]],
        deliver: Callable[[int], Awaitable[None]],
        finish: Callable[[], Awaitable[None]],
    ) -> None:
        """Wait for a slot and compute one answer.

        Args:
            job: The answer to compute.
            start: Called before the first token is computed.
            deliver: Called with the index of each token, in order.
            finish: Called after the last token.

        Raises:
            errors.UpstreamError: A fault aborted the answer.
        """
        async with self.slots.hold(job.priority):
            self._count_execution(job.request_id)
            computed = 0
            try:
                await start()
                await self._switches.work(self._first_token_s(job))
                for index in range(job.offset, job.answer.count):
                    if index > job.offset:
                        await self._switches.work(self._token_s())
                    computed += 1
                    self._count_token(computed)
                    await deliver(index)
                await finish()
            except BaseException:
                self.tokens_cancelled += computed
                raise

    def _first_token_s(self, job: Job) -> float:
        hit = self._cache.use(job.prefix, time.monotonic())
        return self._options.first_token_s * (_CACHE_HIT_FACTOR if hit else 1.0)

    def _token_s(self) -> float:
        others = max(0, self.slots.running - 1)
        return self._options.token_s * (1.0 + self._options.batch_slowdown * others)

    def _count_token(self, computed: int) -> None:
        self.tokens_computed += 1
        self._switches.count_token()
        limit = self._switches.faults.cut_after_tokens
        if limit and computed > limit:
            raise errors.UpstreamError(
                "The answer was aborted by a fault.", remedy="Switch the fault off."
            )

    def _count_execution(self, request_id: str) -> None:
        if not request_id:
            return
        self.executions[request_id] = self.executions.get(request_id, 0) + 1
        if len(self.executions) > _MAX_COUNTED_REQUESTS:
            self.executions.popitem(last=False)
