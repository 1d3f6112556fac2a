"""Tests of how an entry host's process performs its node's actions, on fake connections."""

from __future__ import annotations

import socket
import time
from typing import Any

import curio
import pytest

from medlarfork import errors, runner
from medlarfork.entry import (
    caller_session,
    entry_program,
    entry_settings,
    entry_types,
    upstream_attempt,
)
from medlarfork.http import _http_stream, answer_budget, header_names, http_client, http_server, sse

DISPATCH = entry_types.Dispatch("r", "r.1", "u", "http://127.0.0.1:1")
CHAT = entry_types.RawRequest("r", "POST", "/v1/chat/completions", "", {}, b'{"stream": true}')
EVENTS = tuple(
    sse.encode('{"choices": [{"delta": {"content": "x"}}]}', number) for number in ("1", "2")
)
RAW = entry_types.RawRequest("r", "GET", "/services/desk/x", "", {}, b"")


class FakeExchange:
    """Fake of a caller's connection."""

    def __init__(self) -> None:
        self.head = http_server.RequestHead("GET", RAW.path, "", {})
        self.started = False
        self.sent = b""
        self.ended: list[Any] = []

    async def read_body(self) -> bytes:
        return b""

    async def begin(self, status: int, headers: Any) -> None:
        self.started = True

    async def send(self, data: bytes) -> None:
        self.sent += data

    async def respond(self, status: int, headers: Any, body: bytes) -> None:
        self.ended.append(status)

    async def abort(self) -> None:
        self.ended.append("cut")


class FakeClient:
    """Counts requests to upstreams, and refuses them like a closed port."""

    calls = 0

    async def request(self, *_: Any, **__: Any) -> Any:
        self.calls += 1
        raise errors.RequestNotSentError("Nobody is there.", remedy="Go away.")


class ScriptedNode:
    """Answers each type of event with scripted actions, and records the events."""

    def __init__(self, script: dict[type, tuple[Any, ...]]) -> None:
        self._script = script
        self.events: list[Any] = []

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        self.events.append(event)
        return self._script.get(type(event), ())


@pytest.fixture
def program() -> entry_program.EntryProgram:
    made = entry_program.EntryProgram(entry_settings.EntrySettings("entry-1", ()))
    made._client = FakeClient()
    return made


def serve(program: entry_program.EntryProgram, script: dict[type, tuple[Any, ...]]) -> Any:
    """Serve a request with a scripted node; return the node's events and the exchange."""
    node, exchange = ScriptedNode(script), FakeExchange()
    program._runner = runner.Runner(node, perform=program._perform)
    curio.run(curio.timeout_after, 10, program._serve_request, exchange, "r")
    return node.events[1:], exchange


def test_an_attempt_cancelled_before_it_was_taken_is_not_sent_and_ends_once(program):
    script = {
        entry_types.RequestArrived: (DISPATCH, entry_types.CancelAttempt("r.1")),
        entry_types.AttemptEnded: (entry_types.FinishRelay("r", complete=False),),
    }
    events, exchange = serve(program, script)
    ended = entry_types.AttemptEnded("r.1", entry_types.AttemptResult.NOT_SENT, error="cancelled")
    assert events == [ended]
    assert (program._client.calls, exchange.ended) == (0, ["cut"])


def test_an_attempt_whose_caller_has_gone_is_not_sent_and_ends_once(program):
    class LeavingNode(ScriptedNode):
        def handle(self, event: Any, now: float) -> tuple[Any, ...]:
            if isinstance(event, entry_types.RequestArrived):
                # The closed connection is detected just before the grant arrives.
                gone = entry_types.CallerGone("r")
                program._session_by_id["r"]._actions.append(gone)
            return super().handle(event, now)

    node = LeavingNode(
        {
            entry_types.RequestArrived: (DISPATCH,),
            entry_types.CallerGone: (entry_types.CancelAttempt("r.1"),),
        }
    )
    exchange = FakeExchange()
    program._runner = runner.Runner(node, perform=program._perform)
    curio.run(curio.timeout_after, 10, program._serve_request, exchange, "r")
    ended = entry_types.AttemptEnded("r.1", entry_types.AttemptResult.NOT_SENT, error="cancelled")
    assert node.events[1:] == [entry_types.CallerGone("r"), ended]
    assert (program._client.calls, exchange.ended) == (0, ["cut"])


def test_cancelling_an_earlier_attempt_does_not_affect_the_next_one(program):
    second = entry_types.Dispatch("r", "r.2", "u", "http://127.0.0.1:1")
    script = {
        entry_types.RequestArrived: (entry_types.CancelAttempt("r.1"), second),
        entry_types.AttemptEnded: (entry_types.FinishRelay("r", complete=False),),
    }
    events, _ = serve(program, script)
    assert [event.attempt_id for event in events] == ["r.2"]
    assert program._client.calls == 1


def test_a_second_opaque_answer_is_never_appended_to_the_first():
    async def _run() -> None:
        exchange = FakeExchange()
        held = caller_session.CallerSession(RAW, exchange, 0.0)
        held.start_response(DISPATCH, 200, {"content-type": "text/plain"})
        held.buffer("r.1", b"x" * upstream_attempt.MAX_BUFFERED_BYTES)
        assert await held.forward("r.1", b"first")
        second = entry_types.Dispatch("r", "r.2", "u", "http://127.0.0.1:1")
        with pytest.raises(errors.UpstreamError):
            held.start_response(second, 200, {"content-type": "text/plain"})
        assert not await held.forward("r.2", b"second")
        assert exchange.sent.endswith(b"first")

    curio.run(_run)


def test_buffered_bytes_survive_a_cancelled_head_write():
    class StalledExchange(FakeExchange):
        async def begin(self, status: int, headers: Any) -> None:
            self.started = True
            raise curio.TaskCancelled

    async def _run() -> None:
        exchange = StalledExchange()
        held = caller_session.CallerSession(CHAT, exchange, 0.0)
        headers = {"content-type": "text/event-stream"}
        first, second = EVENTS
        held.start_response(DISPATCH, 200, headers)
        with pytest.raises(curio.TaskCancelled):
            await held.forward("r.1", first)
        again = entry_types.Dispatch("r", "r.2", "u", "http://127.0.0.1:1", resume_offset=1)
        held.start_response(again, 200, {**headers, "medlar-resume-offset": "1"})
        assert await held.forward("r.2", second)
        assert (held.tokens, exchange.sent) == (2, first + second)

    curio.run(_run)


def test_failed_connections_to_all_recent_upstreams_are_reported_until_one_is_accepted():
    async def main() -> None:
        program = entry_program.EntryProgram(entry_settings.EntrySettings("entry-1", ()))
        node = ScriptedNode({})
        program._runner = runner.Runner(node, perform=program._perform)
        listening = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        addresses = [f"127.0.0.1:{item.getsockname()[1]}" for item in listening]
        await program._client.start()
        for item, address in zip(listening, addresses, strict=True):
            item.close()
            program._recent_upstreams.record(address, time.monotonic())
        program._use_recent_upstreams()
        for address in addresses:
            with pytest.raises(errors.RequestNotSentError):
                await program._client.request(f"http://{address}", "GET", "/", {}, b"")
        await program._report_reachability()
        port = int(addresses[0].rpartition(":")[2])
        with socket.create_server(("127.0.0.1", port)):
            await program._client.reach(f"http://{addresses[0]}", within_s=1.0)
        await program._report_reachability()
        await program._report_reachability()
        await program._client.close()
        assert node.events == [
            entry_types.ReachabilityChanged(is_cut_off=True),
            entry_types.ReachabilityChanged(is_cut_off=False),
        ]

    curio.run(curio.timeout_after, 10, main)


# Guards against: the late copy of another attempt's refusal, whose request ran, was believed.
@pytest.mark.parametrize(
    ("returned", "result"),
    [
        ("r.1", entry_types.AttemptResult.REFUSED),
        ("", entry_types.AttemptResult.REFUSED),
        ("r.0", entry_types.AttemptResult.BROKEN),
    ],
)
def test_a_refusal_of_another_attempt_proves_nothing(returned, result):
    async def refuse(exchange: http_server.Exchange) -> None:
        await exchange.respond(429, {header_names.ATTEMPT_ID: returned} if returned else {}, b"")

    async def _run() -> None:
        server = http_server.HttpServer(refuse, host="127.0.0.1", port=0)
        client = http_client.HttpClient()
        await server.start()
        await client.start()
        session = caller_session.CallerSession(RAW, FakeExchange(), 0.0)
        dispatch = entry_types.Dispatch("r", "r.1", "u", server.address)
        events: list[Any] = []

        async def post(event: Any) -> None:
            events.append(event)

        await upstream_attempt.UpstreamAttempt(dispatch, session, client, post).run()
        assert [event.result for event in events] == [result]
        # A connection on which a refusal without an id came could bring a copy of it.
        assert client.connections == (returned == "r.1")
        await client.close()
        await server.close(within_s=0.0)

    curio.run(curio.timeout_after, 10, _run)


# Guards against: a late copy of a refusal without an id was believed of an attempt that ran.
def test_a_refusal_without_an_id_on_a_used_connection_proves_nothing():
    served = []

    async def refuse_later(exchange: http_server.Exchange) -> None:
        served.append(exchange)
        await exchange.respond(200 if len(served) == 1 else 429, {}, b"{}")

    async def _run() -> None:
        server = http_server.HttpServer(refuse_later, host="127.0.0.1", port=0)
        client = http_client.HttpClient()
        await server.start()
        await client.start()
        events: list[Any] = []

        async def post(event: Any) -> None:
            events.append(event)

        for attempt in ("r.1", "r.2"):
            session = caller_session.CallerSession(RAW, FakeExchange(), 0.0)
            dispatch = entry_types.Dispatch("r", attempt, "u", server.address)
            await upstream_attempt.UpstreamAttempt(dispatch, session, client, post).run()
        results = [event.result for event in events]
        assert results[-1] is entry_types.AttemptResult.BROKEN
        assert client.connections == 0
        await client.close()
        await server.close(within_s=0.0)

    curio.run(curio.timeout_after, 10, _run)


# Guards against: engines whose answers never end, which a host kept until it had no memory.
@pytest.mark.parametrize("assemble", [True, False])
def test_answers_that_never_end_share_a_bounded_memory(assemble):
    chunk = sse.encode('{"choices": [{"delta": {"content": "%s"}}]}' % ("x" * 3000)) * 20
    part = chunk if assemble else b"data: " + b"x" * 60_000
    budget = answer_budget.AnswerBudget(memory_mb=20.0)
    running: list[caller_session.CallerSession] = []
    events: list[Any] = []
    largest = 0

    async def flood(exchange: http_server.Exchange) -> None:
        nonlocal largest
        headers = {header_names.ATTEMPT_ID: "r.1", "content-type": "text/event-stream"}
        await exchange.begin(200, headers)
        while True:
            await exchange.send(part)
            largest = max(largest, sum(session.held_bytes for session in running))
            await curio.sleep(0.001)

    async def post(event: Any) -> None:
        events.append(event)

    async def attempt(client: http_client.HttpClient, address: str) -> None:
        dispatch = entry_types.Dispatch("r", "r.1", "u", address, assemble=assemble)
        session = caller_session.CallerSession(RAW if assemble else CHAT, FakeExchange(), 0.0)
        running.append(session)
        await upstream_attempt.UpstreamAttempt(
            dispatch, session, client, post, answers=budget
        ).run()
        running.remove(session)
        session.release()

    async def _run() -> None:
        server = http_server.HttpServer(flood, host="127.0.0.1", port=0)
        client = http_client.HttpClient()
        await server.start()
        await client.start()
        async with curio.TaskGroup() as group:
            for _ in range(40):
                await group.spawn(attempt, client, server.address)
        await client.close()
        await server.close(within_s=0.0)

    curio.run(curio.timeout_after, 20, _run)
    assert [event.result for event in events] == [entry_types.AttemptResult.BROKEN] * 40
    # Each may have read once more before an answer that was ended is dropped.
    beyond = 40 * (answer_budget.FREE_BYTES + _http_stream.READ_SIZE)
    assert largest <= budget.limit_bytes + beyond
    assert budget.held_bytes == 0
