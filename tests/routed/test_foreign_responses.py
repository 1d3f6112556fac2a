"""Upstreams that send extra responses: before, within and behind the right one, whoever's they are.

An extra response bears the id of the request only if it copies an earlier one on its connection,
and lacks an id only where something was sent before.
"""

import collections
import contextlib
import dataclasses
import random

import curio
import h11
import hypothesis
import pytest
from hypothesis import strategies as st

from medlarfork import errors
from medlarfork.gateway import retry_policy, upstream_call
from medlarfork.http import http_client
from medlarfork.placement import placement_messages
from tests import curio_world
from tests.routed import raw_server, routed_harness
from tests.routed.routed_harness import NAMES

NOT_RUN_STATUSES = {408, 421, 429, 503}
SEND = "x-send"


def head(status, *headers, length=None):
    lines = [f"HTTP/1.1 {status} x", *(f"{name}: {value}" for name, value in headers if value)]
    lines += [] if length is None else [f"content-length: {length}"]
    return "\r\n".join((*lines, "", "")).encode()


def rejection(attempt_id, status=503, retry_after=""):
    named = (NAMES.attempt_id, attempt_id), (NAMES.not_executed, "1"), ("retry-after", retry_after)
    return head(status, *named, length=0)


@dataclasses.dataclass(frozen=True)
class Extra:
    """A response too many.

    Attributes:
        place: Where it is sent, relative to the right one.
        whose: Whose id it bears: that of this request, of an older one, or none.
        status: Its status.
        is_marked: Whether it states that its request was not run.
        is_framed: Whether it has a length.
    """

    place: str
    whose: str
    status: int
    is_marked: bool
    is_framed: bool

    def encode(self, attempt_id, older_ids):
        """Return its bytes; none if nothing on the connection could have brought it about."""
        is_possible = attempt_id in older_ids if self.whose == "this" else bool(older_ids)
        if not is_possible and self.place != "behind":
            return b""
        if self.whose != "this":
            attempt_id = older_ids[0] if older_ids and self.whose == "older" else ""
        named = (NAMES.attempt_id, attempt_id), (NAMES.not_executed, "1" * self.is_marked)
        body = b"" if self.status in (103, 204, 304) else b"extra"
        length = len(body) if self.is_framed and self.status != 103 else None
        return head(self.status, *named, length=length) + body


@dataclasses.dataclass(frozen=True)
class Bytes:
    """Bytes that are sent before the right response."""

    data: bytes
    place: str = "before"

    def encode(self, attempt_id, older_ids):
        return self.data


@dataclasses.dataclass(frozen=True)
class Reply:
    """What an upstream does with a request.

    Attributes:
        status: Its status; 503 for a rejection.
        has_id: Whether it returns the id of the request.
        extra: An extra response; None for none.
        fault: How the connection fails before the right response; empty if it does not.
    """

    status: int
    has_id: bool = True
    extra: Extra | None = None
    fault: str = ""


class RawUpstream(raw_server.RawServer):
    """Serves connections without a server's sense of order; ``choose`` returns the next reply.

    Attributes:
        runs: Number of runs by the id of each attempt.
        ran: The numbers of the sends that were run.
        accepted: Number of connections.
        extras: Number of extra responses.
    """

    def __init__(self, choose, host="127.0.0.1", port=0, retry_after=""):
        super().__init__(host, port)
        self.runs = collections.Counter()
        self.ran = set()
        self.accepted = self.extras = 0
        self._choose = choose
        self._retry_after = retry_after

    async def _serve(self, sock):
        self.accepted += 1
        older_ids = []
        with contextlib.suppress(OSError):
            async with sock:
                while (request := await _next_request(sock)) is not None:
                    attempt_id = request.get(NAMES.attempt_id, "")
                    await self._answer(sock, request, attempt_id, older_ids)
                    older_ids.append(attempt_id)

    async def _answer(self, sock, request, attempt_id, older_ids):
        reply = self._choose()
        extra = b"" if reply.extra is None else reply.extra.encode(attempt_id, older_ids)
        place = reply.extra.place if extra else ""
        self.extras += bool(extra)
        if reply.fault:
            await sock.sendall(extra)
            await curio.sleep(60 if reply.fault == "silence" else 0)
            raise ConnectionAbortedError
        returned = attempt_id if reply.has_id else ""
        if reply.status == 503:
            parts = [rejection(returned, retry_after=self._retry_after)]
        else:
            self.runs[attempt_id] += 1
            self.ran.add(request.get(SEND))
            body = (request.get(SEND) or attempt_id).encode()
            chunked = (NAMES.attempt_id, returned), ("transfer-encoding", "chunked")
            chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            parts = [head(reply.status, *chunked), chunks]
        parts.insert({"before": 0, "within": 1}.get(place, len(parts)), extra)
        for part in parts:
            if part:
                await sock.sendall(part)


async def _next_request(sock):
    """Return the headers of the next request; None at the end of the connection."""
    parser = h11.Connection(h11.SERVER)
    while True:
        match parser.next_event():
            case h11.Request(headers=lines):
                headers = {name.decode(): value.decode() for name, value in lines}
            case h11.EndOfMessage():
                return headers
            case h11.NEED_DATA:
                if not (data := await sock.recv(65536)):
                    return None
                parser.receive_data(data)


EXTRAS = st.builds(
    Extra,
    place=st.sampled_from(["before", "within", "behind"]),
    whose=st.sampled_from(["this", "older", "none"]),
    status=st.sampled_from([103, 200, 204, 304, 400, 421, 429, 500, 503]),
    is_marked=st.booleans(),
    is_framed=st.booleans(),
)
REPLIES = st.builds(
    Reply, st.sampled_from([200, 500, 503]), st.sampled_from([True] * 4 + [False]), EXTRAS
)
KINDS = st.sampled_from(["new", "new", "new", "repeated", "retried", "reused", "without id"])
STEPS = st.lists(st.tuples(KINDS, REPLIES), min_size=2, max_size=12)


async def send(client, upstream, attempt_id, number, timeout_s=5.0):
    """Send one attempt; return its failure, or its status and body."""
    named = {NAMES.attempt_id: attempt_id} if attempt_id else {}
    call = upstream_call.Call(
        address=upstream.address,
        method="POST",
        target="/p/x",
        headers=named | {SEND: number},
        body=b"q",
        attempt_id=attempt_id,
        timeout_s=timeout_s,
        unacknowledged_s=0.0,
        skips_copies=True,
    )
    try:
        sent = await upstream_call.send(client, call, NAMES, lambda _: None, lambda: True)
        return sent if isinstance(sent, upstream_call.Failure) else await sent.read()
    except errors.UpstreamError:
        return None


async def play(steps, check):
    """Send one request a step; call ``check`` with each number and result; return the upstream.

    An attempt id is new, that of the last request, that of the one before it, that of the first
    rejected one, or missing.
    """
    replies = iter([reply for _, reply in steps])
    upstream = RawUpstream(lambda: next(replies))
    client = http_client.HttpClient()
    async with contextlib.AsyncExitStack() as stack:
        for part in (upstream, client):
            await part.start()
            stack.push_async_callback(part.close)
        last_id, earlier_id, rejected_ids = "a", "a", []
        for position, (kind, _) in enumerate(steps):
            number, attempt_id = f"s-{position}", f"a-{position}"
            match kind:
                case "without id":
                    attempt_id = ""
                case "repeated":
                    attempt_id = last_id
                case "retried" if rejected_ids:
                    attempt_id = rejected_ids[0]
                case "reused":
                    attempt_id = earlier_id
            last_id, earlier_id = attempt_id, last_id
            result = await send(client, upstream, attempt_id, number)
            if _is_rejection(result):
                rejected_ids.append(attempt_id)
            check(upstream, number, result)
            assert client.connections <= 1
    return upstream


def _is_rejection(result):
    return isinstance(result, upstream_call.Failure) and result.end in retry_policy.NOT_RUN


# Guards against: a late extra rejection was taken for that of the next request, which ran.
@hypothesis.settings(max_examples=150)
@hypothesis.given(steps=STEPS)
def test_only_the_response_to_a_request_says_what_became_of_it(steps):
    def check(upstream, number, result):
        if _is_rejection(result):
            assert number not in upstream.ran
        elif isinstance(result, bytes):
            assert result == number.encode()

    async def main():
        await play(steps, check)

    curio_world.run(main)


# Guards against: a copy of the response to the first use of an id answered the second one.
@pytest.mark.parametrize("status", [200, 503])
def test_an_id_that_is_used_again_is_not_answered_by_a_copy(status):
    results = []

    async def main():
        extra = Extra("before", "this", status, is_marked=status != 200, is_framed=True)
        steps = [("new", Reply(status)), ("new", Reply(200)), ("reused", Reply(200, extra=extra))]
        upstream = await play(steps, lambda *seen: results.append(seen[2]))
        assert upstream.accepted == 2

    curio_world.run(main)
    assert results[1:] == [b"s-1", b"s-2"]


@pytest.mark.parametrize(("kind", "opened"), [("new", 1), ("retried", 2)])
@pytest.mark.parametrize("status", [200, 500, 503])
def test_connections_to_sound_upstreams_are_kept(kind, opened, status):
    def check(upstream, number, result):
        assert _is_rejection(result) or result == number.encode()

    async def main():
        steps = [("new", Reply(503)), (kind, Reply(200))]
        steps += [("new", Reply(200)), ("new", Reply(status))] * 20
        upstream = await play(steps, check)
        assert upstream.accepted == opened

    curio_world.run(main)


class FaultyUpstream(RawUpstream):
    """Rejects some requests, and sends some rejections again where the next one is expected."""

    def __init__(self, whose, **options):
        super().__init__(self._next_reply, **options)
        self._extra = Extra("before", whose, 503, is_marked=True, is_framed=True)
        self._random = random.Random(1)

    def _next_reply(self):
        extra = self._extra if self._random.random() < 0.4 else None
        return Reply(503 if self._random.random() < 0.2 else 200, extra=extra)


# Guards against: the same in an entry host, also for a request that its upstream gets again.
@pytest.mark.parametrize(
    ("upstreams", "whose", "retry_after"), [(3, "older", ""), (1, "this", "0.02")]
)
def test_extra_rejections_make_no_request_run_twice(tmp_path, upstreams, whose, retry_after):
    statuses = {}

    async def call(deployment, attempt_id):
        response = await deployment.call(**{NAMES.attempt_id: attempt_id})
        statuses[attempt_id] = response.status
        assert await response.read() == attempt_id.encode() or response.status != 200

    async def main(deployment):
        raws = []
        for number in range(1, upstreams + 1):
            host = f"{deployment.network}.{100 + number}"
            options = {"host": host, "port": routed_harness.UPSTREAM_PORT}
            raws.append(FaultyUpstream(whose, retry_after=retry_after, **options))
            upstream = routed_harness.Upstream(deployment, number, None, {})
            upstream._server = raws[-1]
            deployment.upstreams.append(upstream)
            await upstream.start()
        await deployment.put_routing(kind="unsafe")
        await deployment.until_upstreams(upstreams)
        for turn in range(20):
            async with curio.TaskGroup() as group:
                for caller in range(upstreams):
                    await group.spawn(call, deployment, f"{turn}-{caller}")
        runs = sum((raw.runs for raw in raws), collections.Counter())
        refused = {name for name, status in statuses.items() if status in NOT_RUN_STATUSES}
        assert max(runs.values()) == 1
        assert not refused & runs.keys()
        assert whose == "this" or sum(raw.extras for raw in raws) > 10
        assert list(statuses.values()).count(200) > 10

    routed_harness.run(tmp_path, main)


# Guards against: a request that ran got 502, as a late copy came before its own response.
@pytest.mark.parametrize("status", [200, 429, 503])
def test_the_response_behind_a_late_copy_is_used(status):
    results = []

    def check(upstream, number, result):
        results.append(result)

    async def main():
        extra = Extra("before", "older", status, is_marked=status != 200, is_framed=True)
        replies = [Reply(200), Reply(200, extra=extra), Reply(503, extra=extra), Reply(200)]
        await play([("new", reply) for reply in replies], check)

    curio_world.run(main)
    assert results[:2] + results[3:] == [b"s-0", b"s-1", b"s-3"]
    # The copy ends the use of its connection, so this rejection is the first one on its own.
    assert _is_rejection(results[2])


# Guards against: text in the body of a run was read as its rejection, behind a cut copy.
def test_a_rejection_behind_a_copy_proves_nothing():
    results = []

    async def main():
        extra = Extra("before", "older", 503, is_marked=True, is_framed=True)
        replies = [Reply(200), Reply(503, extra=extra)]
        await play([("new", reply) for reply in replies], lambda *seen: results.append(seen[2]))

    curio_world.run(main)
    assert not _is_rejection(results[1])


# Guards against: an upstream that only sends copies holds a request and its connection.
def test_only_a_few_copies_are_skipped():
    async def main():
        copies = rejection("a-0") * (upstream_call.MAX_SKIPPED + 1)
        replies = iter([Reply(503), Reply(200, extra=Bytes(copies))])
        upstream = RawUpstream(lambda: next(replies))
        client = http_client.HttpClient()
        async with contextlib.AsyncExitStack() as stack:
            for part in (upstream, client):
                await part.start()
                stack.push_async_callback(part.close)
            assert _is_rejection(await send(client, upstream, "a-0", "s-0"))
            failure = await send(client, upstream, "a-1", "s-1")
            assert "belongs to another request" in failure.why
            assert not _is_rejection(failure)
            assert client.connections == 0

    curio_world.run(main)


def _cut_copies():
    """Return rejections of the request ``a-0`` that were cut off anywhere, in any header order."""
    named, marked = f"{NAMES.attempt_id}: a-0\r\n", f"{NAMES.not_executed}: 1\r\n"
    for status in ("503 x", "421 Misdirected Request"):
        for headers in (named + marked, marked + named, marked):
            whole = f"HTTP/1.1 {status}\r\n{headers}content-length: 0\r\n\r\n".encode()
            yield from (whole[:end] for end in range(1, len(whole)))


# Guards against: the rest of a copy that was cut off became the head of the response of a run.
def test_a_copy_that_was_cut_off_proves_nothing():
    async def play_cut(client, cut):
        replies = iter([Reply(200), Reply(200, extra=Bytes(cut))])
        upstream = RawUpstream(lambda: next(replies))
        await upstream.start()
        assert await send(client, upstream, "a-0", "s-0") == b"s-0"
        result = await send(client, upstream, "a-1", "s-1", timeout_s=0.2)
        assert not _is_rejection(result), cut
        assert not isinstance(result, bytes) or result == b"s-1", cut
        await upstream.close()

    async def main():
        client = http_client.HttpClient()
        await client.start()
        tasks = [await curio.spawn(play_cut, client, cut) for cut in sorted(set(_cut_copies()))]
        for task in tasks:
            await task.join()
        await client.close()

    curio_world.run(main)


# Guards against: a failure of an upstream reached its caller with the status of a cut copy.
def test_a_success_that_was_cut_off_does_not_replace_a_failure():
    async def main():
        replies = iter([Reply(200), Reply(500, extra=Bytes(b"HTTP/1.1 200 O"))])
        upstream = RawUpstream(lambda: next(replies))
        client = http_client.HttpClient()
        await upstream.start()
        await client.start()
        await send(client, upstream, "a-0", "s-0")
        assert isinstance(await send(client, upstream, "a-1", "s-1"), upstream_call.Failure)
        await client.close()
        await upstream.close()

    curio_world.run(main)


LONG_COPY = Bytes(head(200, (NAMES.attempt_id, "a-0"), length=20_000) + bytes(20_000))


# Guards against: an upstream that crashed or stood still behind a late copy was not looked at.
@pytest.mark.parametrize(
    ("extra", "fault", "end", "is_timeout"),
    [
        (Bytes(rejection("a-0")), "break", "BROKEN", False),
        (Bytes(rejection("a-0")), "silence", "BROKEN", True),
        (Bytes(rejection("a-0")[:-2]), "break", "BROKEN", False),
        (LONG_COPY, "silence", "FAILED", False),
    ],
)
def test_a_connection_that_breaks_behind_a_copy_has_broken(extra, fault, end, is_timeout):
    async def main():
        replies = iter([Reply(503), Reply(200, extra=extra, fault=fault)])
        upstream = RawUpstream(lambda: next(replies))
        client = http_client.HttpClient()
        async with contextlib.AsyncExitStack() as stack:
            for part in (upstream, client):
                await part.start()
                stack.push_async_callback(part.close)
            assert _is_rejection(await send(client, upstream, "a-0", "s-0"))
            failure = await send(client, upstream, "a-1", "s-1", timeout_s=0.5)
            assert failure.end is placement_messages.RunEnd[end]
            assert failure.is_timeout == is_timeout
            assert client.connections == 0

    curio_world.run(main)
