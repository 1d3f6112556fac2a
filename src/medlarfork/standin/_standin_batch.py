"""Compute answers in a continuously batching stand-in engine."""

from __future__ import annotations

import collections
import dataclasses
import time
from collections.abc import Awaitable, Callable

from medlarfork import errors
from medlarfork.standin import _standin_cache, _standin_faults, _standin_slots, _standin_text

_CACHE_HIT_FACTOR = 0.2
"""Share of the first token's time that is left when the prompt's prefix is cached."""

_MAX_COUNTED_REQUESTS = 100_000
"""Requests whose executions are remembered."""


@dataclasses.dataclass(frozen=True, slots=True)
class BatchOptions:
    """Set an engine's speed.

    Attributes:
        slots: Requests computed at once.
        first_token_s: Time to the first token of an unknown prompt, in seconds.
        token_s: Time between tokens when one request runs, in seconds.
        batch_slowdown: Growth of the time between tokens with each further request, as a share.
    """

    slots: int
    first_token_s: float
    token_s: float
    batch_slowdown: float


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Describe one answer to compute.

    Attributes:
        request_id: The router's id, if any.
        answer: What to answer.
        offset: Tokens that the caller has already.
        priority: Lower numbers go first.
        prefix: Digest of the prompt's beginning.
    """

    request_id: str
    answer: _standin_text.Answer
    offset: int
    priority: int
    prefix: str


class Batch:
    """Compute jobs, a token at a time for each.

    Attributes:
        slots: The engine's slots.
        tokens_computed: Tokens computed since the start.
        tokens_cancelled: Those of them that belonged to answers that never ended.
        executions: How often each request was begun, by its id.
    """

    def __init__(
        self,
        options: BatchOptions,
        cache: _standin_cache.PrefixCache,
        switches: _standin_faults.FaultSwitches,
    ) -> None:
        """Start idle."""
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
        begin: Callable[[], Awaitable[None]],
        deliver: Callable[[int], Awaitable[None]],
        finish: Callable[[], Awaitable[None]],
    ) -> None:
        """Wait for a slot and compute one answer.

        Args:
            begin: Called when the first token is about to be computed.
            deliver: Called with the index of each token, in order.
            finish: Called after the last token.

        Raises:
            errors.UpstreamError: A fault cut the answer.
        """
        async with self.slots.hold(job.priority):
            self._count_execution(job.request_id)
            computed = 0
            try:
                await begin()
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
            raise errors.UpstreamError("The answer was cut.", remedy="Switch the fault off.")

    def _count_execution(self, request_id: str) -> None:
        if not request_id:
            return
        self.executions[request_id] = self.executions.get(request_id, 0) + 1
        if len(self.executions) > _MAX_COUNTED_REQUESTS:
            self.executions.popitem(last=False)
