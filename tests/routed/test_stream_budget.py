"""Tests of the budget for bytes that are held for slow readers, without a network."""

import types

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from medlarfork import errors
from medlarfork.gateway import entry_load, request_types, stream_budget, stream_relay
from medlarfork.http import answer_budget
from tests import curio_world

READ_BYTES = 64 * 1024


# Guards against: limits that leave a small host no memory for its requests, or no room at all.
@pytest.mark.parametrize(
    ("memory_mb", "host_bytes"), [(160.0, 16_000_000), (440.0, 72_000_000), (1.0, 1 << 20)]
)
def test_limits_follow_from_memory(memory_mb, host_bytes):
    budget = stream_budget.StreamBudget(memory_mb)
    assert (budget.host_bytes, budget.stream_bytes) == (host_bytes, host_bytes // 16)
    budget.hold("a", 10 * entry_load.REQUEST_BYTES)
    assert budget.held_requests == 10


# Guards against: a stream that is read beyond its limit, or is not resumed once there is room.
def test_a_stream_pauses_at_its_limit_and_resumes_below_it():
    budget = stream_budget.StreamBudget(160.0)
    assert budget.may_read("a")
    budget.hold("a", budget.stream_bytes)
    assert not budget.may_read("a")
    assert budget.may_read("b")
    assert budget.release("b", 0) == []
    assert budget.release("a", 1) == ["a"]
    assert budget.may_read("a")


# Guards against: a small stream that is paused instead of the one that holds the most, a pause that
# lasts after another stream has left, and bytes that stay counted for streams that have ended.
def test_the_largest_stream_pauses_first_when_the_host_is_nearly_full():
    budget = stream_budget.StreamBudget(160.0)
    budget.hold("whole", budget.host_bytes - 500_000)
    budget.hold("large", 400_000)
    budget.hold("small", 20_000)
    assert not budget.may_read("large")
    assert budget.may_read("small")
    budget.hold("small", 60_000)
    assert not budget.may_read("small")
    assert sorted(budget.release_all("whole")) == ["large", "small"]
    for stream in ("large", "small"):
        budget.release_all(stream)
    assert budget.held_bytes == 0


# Guards against: a host limit that many streams exceed together, and streams that wait forever.
@given(
    st.lists(
        st.tuples(st.integers(0, 40), st.integers(1, READ_BYTES), st.integers(0, 2 * READ_BYTES)),
        max_size=300,
    )
)
def test_the_host_limit_holds_and_paused_streams_resume(steps):
    budget = stream_budget.StreamBudget(1.0)
    paused = set()
    for stream, received, read in steps:
        if stream not in paused and budget.may_read(stream):
            first = budget.held_for(stream) == 0
            before = budget.held_bytes
            budget.hold(stream, received)
            # Beyond the limit there is at most the read that a stream without held bytes makes.
            assert first or before < budget.host_bytes
        else:
            paused.add(stream)
        paused -= set(budget.release(stream, read))
    for stream in range(41):
        paused -= set(budget.release_all(stream))
        paused.discard(stream)
    assert (paused, budget.held_bytes) == (set(), 0)


class _Exchange:
    """A fake exchange whose caller reads everything at once."""

    def __init__(self):
        self.written = b""

    def encode(self, data):
        return data

    def send_now(self, encoded):
        self.written += encoded
        return len(encoded)


# Guards against: an event to a caller that reads, delayed by a switch to another task.
@pytest.mark.parametrize("held_by_others", [0, 1 << 30])
def test_events_to_a_caller_that_reads_are_written_without_a_task_switch(held_by_others):
    budget, exchange = stream_budget.StreamBudget(160.0), _Exchange()
    budget.hold("other", held_by_others)
    buffer = stream_relay.CallerBuffer(exchange, budget, "a")

    async def pass_on():
        for number in range(3):
            await buffer.send(b"%d" % number)
            await buffer.wait_room()

    with pytest.raises(StopIteration):  # The first step runs to the end; no trap is called.
        pass_on().send(None)
    assert exchange.written == b"012"
    assert budget.held_bytes == held_by_others


class _StalledExchange:
    """A fake exchange whose caller has stopped reading: each write fails after a while."""

    started = True

    def encode(self, data):
        return data

    def send_now(self, encoded):
        return 0

    async def send_encoded(self, encoded):
        await curio.sleep(0)
        raise errors.CallerDisconnectedError("The caller stopped reading.", remedy="None.")


class _Response:
    """A fake response with some chunks, whose upstream then breaks or sends nothing more."""

    def __init__(self, *chunks, breaks):
        self._chunks = list(chunks)
        self._breaks = breaks

    async def next_chunk(self):
        if self._chunks:
            return self._chunks.pop(0)
        if self._breaks:
            raise errors.UpstreamError("The upstream broke.", remedy="None.")
        await curio.sleep(curio_world.TIMEOUT_S)
        return b""

    async def close(self):
        raise AssertionError("no response is read when writing fails")


def _open_answer(end):
    return answer_budget.AnswerLease(answer_budget.AnswerBudget(), end)


# Guards against: an upstream that works for a caller to which writing failed between two attempts.
def test_a_resumed_stream_ends_at_once_if_writing_has_failed_before():
    async def main():
        budget = stream_budget.StreamBudget(160.0)
        metadata = types.SimpleNamespace(last_event_id="", attempt_id="a")
        admitted = types.SimpleNamespace(
            exchange=_StalledExchange(), metadata=metadata, started_at=0.0
        )
        relay = stream_relay.StreamRelay(admitted, request_types.Trace(), budget, _open_answer)
        pass_on = {"stall_timeout_s": lambda: None, "on_start": lambda: None}
        with pytest.raises(errors.UpstreamError):
            await relay.relay(_Response(b"data: x\n\n", breaks=True), **pass_on)
        await curio.sleep(0.01)
        with pytest.raises(errors.CallerDisconnectedError):
            async with curio.timeout_after(1.0):
                await relay.relay(_Response(breaks=False), **pass_on)
        await relay.close()
        assert budget.held_bytes == 0

    curio_world.run(main)
