"""Test that the stand-in service counts executions correctly, and test its announcements."""

import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import curio
import msgspec
import pytest

from medlarfork import errors, upstream
from medlarfork.http import http_client, http_server
from medlarfork.standin import _standin_faults, announcer, standin_service
from tests import curio_world

DEAD = "http://127.0.0.1:1"


class FakeEntry:
    """Entry host that accepts announcements."""

    def __init__(self) -> None:
        self.received: list[upstream.Announcement] = []
        self.keys: set[str] = set()
        self.status = 200
        self.announce_to: tuple[str, ...] = ()
        self.server = http_server.HttpServer(self._answer, host="127.0.0.1", port=0)

    @property
    def address(self) -> str:
        return self.server.address

    async def _answer(self, exchange: http_server.Exchange) -> None:
        body = await exchange.read_body()
        if self.status == 200:
            self.received.append(msgspec.json.decode(body, type=upstream.Announcement))
            self.keys.add(exchange.head.headers.get("authorization", ""))
        reply = upstream.AnnouncementReply(self.announce_to or (self.address,), 0.02, 3.0)
        await exchange.respond(self.status, {}, msgspec.json.encode(reply))


@contextlib.asynccontextmanager
async def entries(count: int) -> AsyncIterator[list[FakeEntry]]:
    made = [FakeEntry() for _ in range(count)]
    for entry in made:
        await entry.server.start()
    yield made
    for entry in made:
        await entry.server.close(within_s=0)


@contextlib.asynccontextmanager
async def running(
    **options: Any,
) -> AsyncIterator[tuple[standin_service.StandinService, Callable[..., Awaitable[Any]]]]:
    crashes = options.pop("crashes", [])
    switches = _standin_faults.FaultSwitches(crash=lambda: crashes.append(1))
    service = standin_service.StandinService(
        standin_service.ServiceSettings(**options), switches=switches
    )
    await service.start()
    client = http_client.HttpClient()
    await client.start()

    async def call(method: str, path: str, body: Any = None, **headers: str) -> tuple[int, Any]:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        data = b"" if body is None else json.dumps(body).encode()
        response = await client.request(service.host.address, method, path, named, data)
        return response.status, json.loads(await response.read())

    try:
        yield service, call
    finally:
        await client.close()
        await service.close()


def describe() -> upstream.Announcement:
    return upstream.Announcement("u1", 0, 0, upstream.UpstreamState.READY, "http://127.0.0.1:9")


@contextlib.asynccontextmanager
async def announcing(*seeds: str) -> AsyncIterator[announcer.Announcer]:
    made = announcer.Announcer(seeds=seeds, key="secret", describe=describe)
    await made.start()
    yield made
    await made.close()


def test_calls_are_echoed_and_counted_by_key_and_request_id() -> None:
    async def main() -> None:
        async with running() as (_, call):
            for count in (1, 2):
                status, echo = await call("POST", "/holds/7", Idempotency_Key="k")
                assert status == 200
                assert echo == {"path": "/holds/7", "method": "POST", "count": count, "key": "k"}
            await call("GET", "/stock", Medlar_Request_Id="r1")
            _, executions = await call("GET", "/_executions")
        assert executions == {"total": 3, "by_key": {"k": 2}, "by_request_id": {"r1": 1}}

    curio_world.run(main)


def test_a_call_aborted_before_its_reply_is_counted() -> None:
    crashes: list[int] = []

    async def main() -> None:
        async with running(crashes=crashes) as (service, call):
            await call("POST", "/v1/faults", {"cut_before_reply": True})
            with pytest.raises(errors.UpstreamError):
                await call("POST", "/holds", Idempotency_Key="k")
            assert service.executions.by_key == {"k": 1}
            await call("POST", "/v1/faults", {"refuse": True})
            assert (await call("POST", "/holds", Idempotency_Key="k"))[0] == 503
            assert service.executions.total == 1
            await call("POST", "/v1/faults", {"crash_after_calls": 1})
            await call("POST", "/holds", Idempotency_Key="k")
            assert crashes == [1]

    curio_world.run(main)


def test_a_stopping_service_leaves_refuses_and_finishes_running_calls() -> None:
    async def main() -> None:
        async with entries(1) as (entry,), running(entries=(entry.address,)) as (service, call):
            await call("POST", "/v1/faults", {"freeze_s": 60})
            started = await curio.spawn(call, "POST", "/holds")
            await curio_world.until(lambda: service.executions.total == 1)
            stop = await curio.spawn(service.stop)
            await curio_world.until(lambda: service.host.stopping)
            assert (await call("POST", "/holds"))[0] == 503
            await call("POST", "/v1/faults", {})
            assert (await started.join())[0] == 200
            await stop.join()
            assert entry.received[-1].state is upstream.UpstreamState.LEAVING
            assert service.executions.total == 1

    curio_world.run(main)


def test_announcements_have_rising_sequences_and_go_to_the_addresses_of_the_reply() -> None:
    async def main() -> None:
        async with entries(4) as (seed, a, b, c):
            seed.announce_to = a.announce_to = b.announce_to = (a.address, b.address, c.address)
            async with announcing(seed.address):
                await curio_world.until(lambda: len(a.received) >= 3 and len(b.received) >= 3)
            assert len(seed.received) == 1
            assert c.received == []
            assert a.keys == {"Bearer secret"}
            sequences = [item.sequence for item in seed.received + a.received]
            assert sequences == sorted(set(sequences))
            assert len({item.incarnation for item in seed.received + a.received}) == 1

    curio_world.run(main)


def test_a_failing_entry_host_is_replaced_by_a_seed() -> None:
    async def main() -> None:
        async with entries(2) as (first, second):
            first.announce_to = (first.address,)
            async with announcing(DEAD, first.address, second.address) as announced:
                await curio_world.until(lambda: len(first.received) >= 2)
                first.status = 503
                await curio_world.until(lambda: len(second.received) >= 2)
                assert announced.failures >= 1

    curio_world.run(main)


def test_one_failing_entry_host_of_two_does_not_silence_the_other() -> None:
    async def main() -> None:
        async with entries(2) as (seed, other):
            seed.announce_to = other.announce_to = (DEAD, other.address)
            async with announcing(seed.address):
                await curio_world.until(lambda: len(other.received) >= 3)

    curio_world.run(main)


def test_leaving_is_announced_to_all_and_retried_until_one_accepts() -> None:
    async def main() -> None:
        async with entries(2) as (seed, other):
            seed.announce_to = other.announce_to = (other.address,)
            async with announcing(DEAD, seed.address) as announced:
                await curio_world.until(lambda: bool(other.received))
                seed.status = other.status = 503
                failures = announced.failures
                leaving = await curio.spawn(announced.leave)
                await curio_world.until(lambda: announced.failures >= failures + 3)
                other.status = 200
                assert await leaving.join()
            last = other.received[-1]
            assert last.state is upstream.UpstreamState.LEAVING
            assert last.sequence > other.received[-2].sequence
            assert all(item.state is upstream.UpstreamState.READY for item in other.received[:-1])

    curio_world.run(main)
