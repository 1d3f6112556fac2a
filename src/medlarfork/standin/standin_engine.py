"""Stand-in for a model engine: a small fake with the OpenAI API.

It supports continuous batching, streaming, cancellation, resumption, priorities, a prompt prefix
cache and orders; it reports its load with a delay and its cache with gaps. Its answers are derived
from digests of the prompts (see ``_standin_text``).
"""

from __future__ import annotations

import dataclasses
import functools
import time

import curio
import msgspec

from medlarfork import errors, upstream
from medlarfork.filters import parse
from medlarfork.http import header_names, http_server
from medlarfork.orders import order_protocol, order_types
from medlarfork.settings import program_exit, settings
from medlarfork.standin import (
    _standin_answer,
    _standin_batch,
    _standin_cache,
    _standin_faults,
    _standin_flags,
    _standin_host,
    _standin_lag,
    _standin_openai,
    _standin_orders,
    _standin_text,
)

PROGRAM = "medlar-standin-engine"
"""Name of the program."""

_DEFAULT_PRIORITY = 9
"""Priority of a request without a priority header."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Settings of a stand-in engine.

    Attributes:
        host: IP address to listen on.
        port: TCP port; 0 lets the system choose.
        name: Stable identity of the engine.
        entries: Base addresses of entry hosts to announce to first.
        announce_key: Key that entry hosts require for announcements.
        labels: Labels to announce.
        data_centre: Data centre to announce.
        models: Models loaded at the start.
        role: Role at the start.
        slots: Maximum number of running requests.
        queue_limit: Maximum number of requests waiting for a slot; more are refused.
        first_token_s: Time to the first token of an uncached prompt, in seconds.
        token_s: Time between tokens when a single request runs, in seconds.
        batch_slowdown: Relative growth of that time for each further running request.
        cache_entries: Maximum number of cached prompt prefixes.
        cache_lag_s: Delay with which changes of the cache are reported, in seconds.
        load_lag_s: Delay with which loads are reported, in seconds.
        load_model_s: Minimum time that loading a model takes, in seconds.
        checks_fence: Whether orders with an old fencing number are refused.
        drain_s: Timeout of a graceful stop, in seconds.
    """

    host: str = "127.0.0.1"
    port: int = settings.bounded(0, minimum=0, maximum=65535)
    name: str = "engine"
    entries: tuple[str, ...] = ()
    announce_key: str = ""
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    data_centre: str = ""
    models: tuple[str, ...] = ("standin",)
    role: str = "mixed"
    slots: int = settings.bounded(8, minimum=1, maximum=10_000)
    queue_limit: int = settings.bounded(1000, minimum=0, maximum=100_000)
    first_token_s: float = settings.bounded(0.05, minimum=0.0, maximum=600.0)
    token_s: float = settings.bounded(0.01, minimum=0.0, maximum=600.0)
    batch_slowdown: float = settings.bounded(0.02, minimum=0.0, maximum=10.0)
    cache_entries: int = settings.bounded(64, minimum=1, maximum=100_000)
    cache_lag_s: float = settings.bounded(0.5, minimum=0.0, maximum=600.0)
    load_lag_s: float = settings.bounded(0.5, minimum=0.0, maximum=600.0)
    load_model_s: float = settings.bounded(0.2, minimum=0.0, maximum=3600.0)
    checks_fence: bool = False
    drain_s: float = settings.bounded(600.0, minimum=0.0, maximum=86400.0)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """State of an engine, for control, tests and operators.

    The fields up to ``order_ids`` are those of ``order_types.EngineState``.
    """

    incarnation: int
    weights: tuple[order_types.LoadedWeights, ...]
    role: str
    executing: str
    order_ids: tuple[str, ...]
    models: tuple[str, ...]
    highest_fence: int
    order_executions: dict[str, int]
    running: int
    waiting: int
    tokens_computed: int
    tokens_cancelled: int
    executions: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Chat:
    """Accepted chat request."""

    exchange: http_server.Exchange
    request: _standin_openai.ChatRequest
    job: _standin_batch.Job
    resumes: bool


class StandinEngine:
    """Stand-in for a model engine."""

    def __init__(
        self,
        options: EngineSettings,
        *,
        switches: _standin_faults.FaultSwitches | None = None,
    ) -> None:
        """Create the engine; ``switches`` injects its faults."""
        self._options = options
        self._switches = switches or _standin_faults.FaultSwitches()
        self._cache = _standin_cache.PrefixCache(
            limit=options.cache_entries, lag_s=options.cache_lag_s
        )
        self._orders = _standin_orders.EngineOrders(
            models=options.models, role=options.role, checks_fence=options.checks_fence
        )
        self._load = _standin_lag.DelayedLoad(options.load_lag_s)
        speed = _standin_batch.BatchOptions(
            options.slots, options.first_token_s, options.token_s, options.batch_slowdown
        )
        self._batch = _standin_batch.Batch(speed, self._cache, self._switches)
        self.host = _standin_host.StandinHost(
            self._answer, host=options.host, port=options.port, drain_s=options.drain_s
        )

    async def start(self) -> None:
        """Listen and announce."""
        await self.host.start(
            entries=self._options.entries, key=self._options.announce_key, describe=self.describe
        )

    async def stop(self) -> None:
        """Announce the leave, finish requests in progress, and close."""
        await self.host.stop()

    async def close(self) -> None:
        """Close immediately."""
        await self.host.close()

    @property
    def state(self) -> EngineState:
        """Return the engine's state."""
        return EngineState(
            incarnation=self.host.incarnation,
            weights=self._orders.weights,
            role=self._orders.role,
            executing=self._orders.executing,
            order_ids=self._orders.order_ids,
            models=self._orders.models,
            highest_fence=self._orders.highest_fence,
            order_executions=dict(self._orders.executions),
            running=self._batch.slots.running,
            waiting=self._batch.slots.waiting,
            tokens_computed=self._batch.tokens_computed,
            tokens_cancelled=self._batch.tokens_cancelled,
            executions=dict(self._batch.executions),
        )

    def describe(self) -> upstream.Announcement:
        """Return the current announcement."""
        now = time.monotonic()
        load = upstream.Load(self._batch.slots.running, self._batch.slots.waiting, self._cache.used)
        return upstream.Announcement(
            upstream_id=self._options.name,
            incarnation=0,
            sequence=0,
            state=upstream.UpstreamState.READY,
            address=self.host.address,
            labels=self._options.labels,
            data_centre=self._options.data_centre,
            slots=self._options.slots,
            models=self._orders.models,
            role=self._orders.role,
            checks_fence=self._options.checks_fence,
            load=self._load.report(load, now),
            cache_events=self._cache.take_events(now),
        )

    async def _answer(self, exchange: http_server.Exchange) -> None:
        body = await exchange.read_body()
        match exchange.head.method, exchange.head.path:
            case "POST", parse.CHAT_PATH:
                with self.host.working():
                    await self._chat(exchange, body)
            case "GET", "/v1/models":
                models = tuple(_standin_openai.Model(name) for name in self._orders.models)
                await _standin_host.respond(exchange, _standin_openai.ModelList(models))
            case "GET", "/v1/state":
                await _standin_host.respond(exchange, self.state)
            case "POST", "/v1/orders":
                await self._order(exchange, body)
            case "POST", "/v1/faults":
                await _standin_host.respond_faults(exchange, self._switches, body)
            case _:
                await _standin_host.respond_error(
                    exchange, 404, "There is no such path.", errors.Code.NOT_FOUND
                )

    async def _order(self, exchange: http_server.Exchange, body: bytes) -> None:
        try:
            order = order_protocol.decode(body)
            if self._orders.start(order):
                if not isinstance(order, order_protocol.ChangeRole):
                    await self._switches.work(max(self._options.load_model_s, order.draw_s))
                self._orders.finish(order)
        except msgspec.MsgspecError as error:
            await _standin_host.respond_error(exchange, 400, str(error), errors.Code.BAD_REQUEST)
        except errors.UpstreamError as error:
            await _standin_host.respond_error(exchange, 409, str(error), error.code)
        else:
            await _standin_host.respond(exchange, self.state)

    async def _chat(self, exchange: http_server.Exchange, body: bytes) -> None:
        try:
            request = msgspec.json.decode(body, type=_standin_openai.ChatRequest)
        except msgspec.MsgspecError as error:
            await _standin_host.respond_error(exchange, 400, str(error), errors.Code.BAD_REQUEST)
            return
        if request.model not in self._orders.models:
            problem = f"The model {request.model} is not loaded."
            await _standin_host.respond_error(exchange, 404, problem, errors.Code.MODEL_NOT_FOUND)
            return
        if self._refuses_work():
            await _standin_host.refuse(exchange)
            return
        chat = self._accept(exchange, request)
        await _standin_host.run_until_disconnect(exchange, functools.partial(self._compute, chat))

    def _refuses_work(self) -> bool:
        full = self._batch.slots.waiting >= self._options.queue_limit
        busy = self._batch.slots.running >= self._options.slots
        return self.host.stopping or self._switches.faults.refuse or (busy and full)

    def _accept(
        self, exchange: http_server.Exchange, request: _standin_openai.ChatRequest
    ) -> _Chat:
        headers = exchange.head.headers
        answer = _standin_text.answer(request.model, request.messages, request.token_limit)
        requested_offset = headers.get(header_names.RESUME_OFFSET.lower(), "")
        priority = headers.get(header_names.PRIORITY.lower(), "")
        resumes = (
            bool(requested_offset and request.stream) and not self._switches.faults.ignore_resume
        )
        job = _standin_batch.Job(
            request_id=headers.get(header_names.REQUEST_ID.lower(), ""),
            answer=answer,
            offset=min(_standin_host.to_int(requested_offset, 0), answer.count) if resumes else 0,
            priority=_standin_host.to_int(priority, _DEFAULT_PRIORITY),
            prefix=parse.prompt_prefix(request.model, request.messages),
        )
        return _Chat(exchange, request, job, resumes)

    async def _compute(self, chat: _Chat) -> None:
        writer = _standin_answer.AnswerWriter(
            chat.exchange, chat.request, chat.job, resumes=chat.resumes
        )
        try:
            await self._batch.run(
                chat.job, start=writer.start, deliver=writer.deliver, finish=writer.finish
            )
        except errors.UpstreamError:
            await chat.exchange.abort()


def run() -> None:
    """Run the program."""
    with program_exit.exit_on_error():
        arguments = _standin_flags.main_arguments(EngineSettings, PROGRAM)
        options = _standin_flags.parse(EngineSettings, arguments)
        engine = StandinEngine(options)
        curio.run(_standin_host.serve_until_signal, engine.start, engine.host, options.name)
