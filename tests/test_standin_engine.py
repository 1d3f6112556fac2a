"""Test the stand-in engine: streams, resumption, cancellation, orders and injected faults."""

import contextlib
import json
import pathlib
from collections.abc import AsyncIterator
from typing import Any

import curio
import msgspec
import pytest

from medlarfork import errors, upstream
from medlarfork.http import http_client, sse
from medlarfork.orders import order_client, order_types
from medlarfork.standin import (
    _standin_cache,
    _standin_faults,
    _standin_flags,
    _standin_lag,
    _standin_text,
    standin_engine,
)
from tests import curio_world

MESSAGES = [{"role": "user", "content": "Appraise this chair. [tokens=12]"}]
ANSWER = _standin_text.answer("standin", MESSAGES, None)


class Caller:
    def __init__(self, client: http_client.HttpClient, address: str) -> None:
        self.client = client
        self.address = address

    async def open(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> http_client.Response:
        data = b"" if body is None else json.dumps(body).encode()
        return await self.client.request(self.address, method, path, headers or {}, data)

    async def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        response = await self.open(method, path, body)
        return response.status, json.loads(await response.read())

    async def chat(
        self, headers: dict[str, str] | None = None, **body: Any
    ) -> http_client.Response:
        request = {"model": "standin", "messages": MESSAGES} | body
        return await self.open("POST", "/v1/chat/completions", request, headers)

    async def stream(
        self, headers: dict[str, str] | None = None, **body: Any
    ) -> tuple[dict[str, str], list[sse.Event]]:
        response = await self.chat(headers, stream=True, **body)
        parser = sse.EventParser()
        events = []
        async for data in response.chunks():
            events.extend(parser.feed(data))
        return response.headers, events


@contextlib.asynccontextmanager
async def running(**options: Any) -> AsyncIterator[tuple[standin_engine.StandinEngine, Caller]]:
    speed = {"first_token_s": 0.0, "token_s": 0.0, "load_model_s": 0.0}
    crashes: list[int] = options.pop("crashes", [])
    switches = _standin_faults.FaultSwitches(crash=lambda: crashes.append(1))
    engine = standin_engine.StandinEngine(
        standin_engine.EngineSettings(**(speed | options)), switches=switches
    )
    await engine.start()
    client = http_client.HttpClient()
    await client.start()
    try:
        yield engine, Caller(client, engine.host.address)
    finally:
        await client.close()
        await engine.close()


def text_of(events: list[sse.Event]) -> str:
    parts = []
    for event in events[:-1]:
        for choice in json.loads(event.data)["choices"]:
            parts.append(choice["delta"]["content"] or "")
    return "".join(parts)


def test_a_stream_numbers_its_tokens_and_ends_with_usage_and_done() -> None:
    async def main() -> None:
        async with running() as (_, caller):
            _, events = await caller.stream(stream_options={"include_usage": True})
        assert text_of(events) == ANSWER.text()
        assert [event.id for event in events[:12]] == [str(count) for count in range(1, 13)]
        assert json.loads(events[12].data)["choices"][0]["finish_reason"] == "stop"
        assert json.loads(events[13].data)["usage"]["completion_tokens"] == 12
        assert events[14] == sse.Event(sse.DONE)

    curio_world.run(main)


def test_an_unstreamed_response_has_the_same_text_and_respects_max_tokens() -> None:
    async def main() -> None:
        async with running() as (_, caller):
            response = await caller.chat(max_tokens=5)
            completion = json.loads(await response.read())
            assert (await caller.call("GET", "/v1/models"))[1]["data"][0]["id"] == "standin"
        choice = completion["choices"][0]
        assert choice["message"]["content"] == ANSWER.text()[: 5 * 7]
        assert choice["finish_reason"] == "length"
        assert completion["usage"]["completion_tokens"] == 5

    curio_world.run(main)


def test_another_engine_resumes_a_response_and_confirms_the_offset() -> None:
    async def main() -> None:
        async with running() as (_, first), running() as (_, second):
            _, events = await first.stream()
            headers, rest = await second.stream({"Medlar-Resume-Offset": "7"})
        assert headers["medlar-resume-offset"] == "7"
        assert rest[0].id == "8"
        assert text_of(events[:7] + rest) == ANSWER.text()

    curio_world.run(main)


def test_an_engine_that_ignores_offsets_confirms_none() -> None:
    async def main() -> None:
        async with running() as (_, caller):
            assert (await caller.call("POST", "/v1/faults", {"ignore_resume": True}))[0] == 200
            headers, events = await caller.stream({"Medlar-Resume-Offset": "7"})
        assert "medlar-resume-offset" not in headers
        assert events[0].id == "1"

    curio_world.run(main)


def test_a_disconnect_frees_the_slot_and_counts_its_tokens_as_cancelled() -> None:
    async def main() -> None:
        async with running(slots=1, token_s=0.002) as (engine, caller):
            endless = [{"role": "user", "content": "[tokens=100000]"}]
            response = await caller.chat(messages=endless, stream=True)
            await curio_world.until(lambda: engine.state.tokens_computed >= 3)
            waiting = await curio.spawn(caller.chat, {}, daemon=True)
            await curio_world.until(lambda: engine.state.waiting == 1)
            await response.close()
            await (await waiting.join()).read()
            state = engine.state
        assert state.tokens_cancelled >= 3
        assert state.tokens_computed == state.tokens_cancelled + ANSWER.count
        assert (state.running, state.waiting) == (0, 0)

    curio_world.run(main)


def test_a_disconnect_in_the_queue_prevents_the_execution() -> None:
    async def main() -> None:
        async with running(slots=1, token_s=0.002) as (engine, caller):
            endless = [{"role": "user", "content": "[tokens=100000]"}]
            response = await caller.chat(messages=endless, stream=True)
            waiting = await curio.spawn(caller.chat, {"Medlar-Request-Id": "r1"}, daemon=True)
            await curio_world.until(lambda: engine.state.waiting == 1)
            await waiting.cancel()
            await curio_world.until(lambda: engine.state.waiting == 0)
            await response.close()
            await curio_world.until(lambda: engine.state.running == 0)
            assert engine.state.executions == {}

    curio_world.run(main)


def test_queued_requests_start_by_priority_then_by_arrival() -> None:
    order: list[str] = []

    async def send(caller: Caller, name: str, priority: str) -> None:
        headers = {"Medlar-Priority": priority, "Medlar-Request-Id": name}
        await (await caller.chat(headers)).read()

    async def main() -> None:
        async with running(slots=1) as (engine, caller):
            await caller.call("POST", "/v1/faults", {"freeze_s": 60})
            tasks = [await curio.spawn(send, caller, "held", "1")]
            await curio_world.until(lambda: engine.state.running == 1)
            for count, (name, priority) in enumerate([("c", "3"), ("a", "1"), ("b", "1")], 1):
                tasks.append(await curio.spawn(send, caller, name, priority))
                await curio_world.until(lambda count=count: engine.state.waiting == count)
            await caller.call("POST", "/v1/faults", {})
            for task in tasks:
                await task.join()
            order.extend(engine.state.executions)

    curio_world.run(main)
    assert order == ["held", "a", "b", "c"]


def load(order_id: str, fence: int, name: str, **changed: Any) -> dict[str, Any]:
    order = {"order_id": order_id, "fence": fence, "action": "load_model", "name": name}
    return order | {"version": "v1", "size_bytes": 10, "bytes_per_second": 1e6} | changed


def role(order_id: str, fence: int, wanted: str) -> dict[str, Any]:
    return {"order_id": order_id, "fence": fence, "action": "change_role", "role": wanted}


@pytest.mark.parametrize("checks_fence", [True, False])
def test_old_fencing_numbers_are_refused_only_by_engines_that_check_them(
    checks_fence: bool,
) -> None:
    async def main() -> None:
        async with running(checks_fence=checks_fence) as (engine, caller):
            new, old = load("7-1", 7, "large"), role("6-1", 6, "decode")
            assert (await caller.call("POST", "/v1/orders", new))[0] == 200
            status, _ = await caller.call("POST", "/v1/orders", old)
            assert status == (409 if checks_fence else 200)
            assert engine.state.role == ("mixed" if checks_fence else "decode")
            assert engine.state.models == ("standin", "large")
            assert engine.state.highest_fence == 7

    curio_world.run(main)


def test_an_order_superseded_while_loading_is_refused() -> None:
    async def main() -> None:
        async with running(checks_fence=True) as (engine, caller):
            await caller.call("POST", "/v1/faults", {"freeze_s": 60})
            old = load("6-1", 6, "old")
            loading = await curio.spawn(caller.call, "POST", "/v1/orders", old)
            await curio_world.until(lambda: engine.state.highest_fence == 6)
            assert engine.state.executing == "6-1"
            new = role("7-1", 7, "decode")
            assert (await caller.call("POST", "/v1/orders", new))[0] == 200
            await caller.call("POST", "/v1/faults", {})
            assert (await loading.join())[0] == 409
            assert engine.state.models == ("standin",)

    curio_world.run(main)


@pytest.mark.parametrize(
    "wrong",
    [
        load("1-1", 1, ""),
        load("1-1", 1, "m", model="m"),
        load("1-1", 1, "m", bytes_per_second=0),
        load("", 1, "m"),
        role("1-1", 1, ""),
        role("1-1", 1, "decode") | {"name": "m"},
        {"fence": 1, "action": "load_model", "model": "m"},
        {"order_id": "1-1", "fence": 1, "action": "unload_model", "name": "m"},
    ],
)
def test_a_malformed_order_changes_nothing(wrong: dict[str, Any]) -> None:
    async def main() -> None:
        async with running(checks_fence=True) as (engine, caller):
            before = engine.state
            assert (await caller.call("POST", "/v1/orders", wrong))[0] == 400
            assert engine.state == before

    curio_world.run(main)


@pytest.mark.parametrize(("checks_fence", "executions"), [(True, 1), (False, 2)])
def test_an_order_of_the_client_is_executed_and_read_back(
    checks_fence: bool, executions: int
) -> None:
    class Held:
        fence = 3

        def may_act(self, now: float) -> bool:
            return True

    async def main() -> None:
        async with running(checks_fence=checks_fence) as (engine, caller):
            client = order_client.OrderClient(caller.client, lease=Held(), clock=lambda: 0.0)
            adapter = order_types.Weights("a", "v2", 10, order_types.WeightsKind.ADAPTER)
            for action in (order_types.LoadWeights(adapter, 1e6), order_types.ChangeRole("decode")):
                order = order_types.OrderEngine(
                    "e1", caller.address, 3, f"3-{action.__class__.__name__}", action, 9.0, 9.0
                )
                for _ in range(2):
                    done = await client.order(order)
                    assert done.result is order_types.OrderResult.DONE
            read = await client.read_state(order_types.ReadEngineState("e1", caller.address, 1))
            assert read.state is not None
            assert read.state.incarnation > 0
            assert order_types.LoadedWeights("a", "v2") in read.state.weights
            assert (read.state.role, read.state.executing) == ("decode", "")
            remembered = ("3-LoadWeights", "3-ChangeRole") if checks_fence else ()
            assert read.state.order_ids == remembered
            assert set(engine.state.order_executions.values()) == {executions}

    curio_world.run(main)


def test_a_stopping_engine_refuses_new_work_and_finishes_running_requests() -> None:
    async def main() -> None:
        async with running(token_s=0.002) as (engine, caller):
            started = await curio.spawn(caller.stream)
            await curio_world.until(lambda: engine.state.running == 1)
            stop = await curio.spawn(engine.stop)
            await curio_world.until(lambda: engine.host.stopping)
            refused = await caller.chat()
            await refused.read()
            assert (refused.status, refused.headers["medlar-outcome"]) == (503, "not_run")
            assert refused.headers["retry-after"] == "1"
            assert text_of((await started.join())[1]) == ANSWER.text()
            await stop.join()
            with pytest.raises(errors.RequestNotSentError):
                await caller.chat()

    curio_world.run(main)


def test_faults_abort_refuse_and_crash() -> None:
    crashes: list[int] = []

    async def main() -> None:
        async with running(crashes=crashes) as (engine, caller):
            await caller.call("POST", "/v1/faults", {"cut_after_tokens": 3})
            with pytest.raises(errors.UpstreamError):
                await caller.stream()
            assert engine.state.tokens_cancelled == 4
            await caller.call("POST", "/v1/faults", {"refuse": True})
            refused = await caller.chat()
            await refused.read()
            assert refused.headers["medlar-outcome"] == "not_run"
            await caller.call("POST", "/v1/faults", {"crash_after_tokens": 12})
            assert crashes == []
            await caller.stream()
            assert crashes == [1]
            assert (await caller.call("POST", "/v1/faults", {"sloow": 2}))[0] == 400

    curio_world.run(main)


def test_a_full_queue_and_bad_requests_are_refused() -> None:
    async def main() -> None:
        async with running(slots=1, queue_limit=0) as (engine, caller):
            assert (await caller.chat(model="unknown")).status == 404
            assert (await caller.call("POST", "/v1/chat/completions", {}))[0] == 400
            assert (await caller.call("GET", "/nowhere"))[0] == 404
            await caller.call("POST", "/v1/faults", {"freeze_s": 60})
            held = await curio.spawn(caller.chat, daemon=True)
            await curio_world.until(lambda: engine.state.running == 1)
            assert (await caller.chat()).status == 503
            await held.cancel()

    curio_world.run(main)


def test_cache_changes_are_reported_late_with_gaps_and_evictions() -> None:
    cache = _standin_cache.PrefixCache(limit=2, lag_s=1.0)
    assert [cache.use(prefix, 0.0) for prefix in "abac"] == [False, False, True, False]
    assert not cache.use("b", 0.5)
    assert cache.take_events(0.9) == ()
    first = cache.take_events(1.0)
    assert [(event.change.value, event.prefix) for event in first] == [
        ("stored", "a"),
        ("stored", "b"),
        ("stored", "c"),
        ("evicted", "b"),
    ]
    cache.use("d", 2.0)
    later = cache.take_events(9.0)
    assert [event.number for event in first + later] == [1, 2, 3, 4, 5, 6, 8]


def test_loads_are_reported_late() -> None:
    lag = _standin_lag.DelayedLoad(1.0)
    assert lag.report(upstream.Load(running=1), 10.0) == upstream.Load()
    assert lag.report(upstream.Load(running=2), 10.5) == upstream.Load()
    assert lag.report(upstream.Load(running=3), 11.2) == upstream.Load(running=1, age_s=11.2 - 10.0)


def test_settings_come_from_flags_over_a_file(tmp_path: pathlib.Path) -> None:
    file = tmp_path / "engine.toml"
    file.write_text('name = "e1"\nslots = 3\nmodels = ["a"]\n')
    line = ["engine", f"--settings={file}", "--slots=4", "--labels=pool=x,size=l", "--checks_fence"]
    parsed = _standin_flags.parse(standin_engine.EngineSettings, line)
    assert (parsed.name, parsed.slots, parsed.models) == ("e1", 4, ("a",))
    assert parsed.labels == {"pool": "x", "size": "l"}
    assert parsed.checks_fence


@pytest.mark.parametrize("flag", ["--slots=0", "--slots=x", "--nosuch=1", "extra", "--labels=a"])
def test_invalid_flags_are_rejected(flag: str) -> None:
    with pytest.raises(errors.SettingsError):
        _standin_flags.parse(standin_engine.EngineSettings, ["engine", flag])


def test_the_announcement_contains_the_settings() -> None:
    async def main() -> None:
        async with running(name="e1", data_centre="salvador", labels={"a": "b"}) as (engine, _):
            text = msgspec.json.encode(engine.describe())
            described = msgspec.json.decode(text, type=upstream.Announcement)
            assert (described.upstream_id, described.data_centre) == ("e1", "salvador")
            assert described.address == engine.host.address

    curio_world.run(main)
