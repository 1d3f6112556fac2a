"""Grants match those of a naive scheduler and never exceed the rate limit."""

import hypothesis
import pytest
from hypothesis import strategies as st

from medlarfork.orders import weight_load_scheduler

SETTINGS = weight_load_scheduler.WeightStoreSettings(bytes_per_second=40.0, lanes=4, small_bytes=20)
LANE_RATE = 10.0


class NaiveScheduler:
    """Reference scheduler that scans the list of all loads for each decision."""

    def __init__(self):
        self.loads = []
        self.virtual_time = 0.0

    def request(self, load_id, engine_id, size):
        own = [load["finish"] for load in self.loads if load["engine"] == engine_id]
        start = max([self.virtual_time, *own])
        finish = start + size
        entry = {"id": load_id, "engine": engine_id, "size": size, "start": start}
        self.loads.append(entry | {"finish": finish, "granted": None, "ended": False, "lane": None})

    def grant(self, now):
        started = []
        for lane in range(SETTINGS.lanes):
            held = [load for load in self.loads if load["lane"] == lane]
            if any(
                not load["ended"] or now < load["granted"] + load["size"] / LANE_RATE
                for load in held
            ):
                continue
            waiting = [load for load in self.loads if load["granted"] is None]
            if lane == 0:
                waiting = [load for load in waiting if load["size"] <= SETTINGS.small_bytes]
            if waiting:
                chosen = min(waiting, key=lambda load: load["start"])
                chosen["granted"], chosen["lane"] = now, lane
                self.virtual_time = max(self.virtual_time, chosen["start"])
                started.append(chosen["id"])
        return started

    def bytes_in_second(self, second):
        """Return the maximum number of bytes that the granted loads transfer in one second."""
        total = 0.0
        for load in self.loads:
            if load["granted"] is not None:
                end = load["granted"] + load["size"] / LANE_RATE
                overlap = min(end, second + 1) - max(load["granted"], second)
                total += max(0.0, overlap) * LANE_RATE
        return total


OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("request"), st.integers(0, 5), st.sampled_from([1, 10, 20, 90, 300])),
        st.tuples(st.just("end"), st.integers(0, 50), st.just(0)),
        st.tuples(st.just("wait"), st.integers(0, 8), st.just(0)),
    ),
    max_size=60,
)


@hypothesis.given(OPERATIONS)
@hypothesis.settings(max_examples=150)
def test_grants_match_a_naive_scheduler_and_never_exceed_the_rate(operations):
    store, naive = weight_load_scheduler.WeightLoadScheduler(SETTINGS), NaiveScheduler()
    now, running = 0.0, []
    for number, (kind, value, size) in enumerate(operations):
        if kind == "request":
            store.request(str(number), f"engine-{value}", size)
            naive.request(str(number), f"engine-{value}", size)
        elif kind == "end" and running:
            ended = running.pop(value % len(running))
            store.release(ended)
            next(load for load in naive.loads if load["id"] == ended)["ended"] = True
        elif kind == "wait":
            now += value
        granted = [grant.load_id for grant in store.grant(now)]
        assert granted == naive.grant(now)
        running += granted
    for second in range(int(now) + 40):
        assert naive.bytes_in_second(second) <= SETTINGS.bytes_per_second + 1e-6


def test_a_load_that_ends_early_keeps_its_lane_until_its_transfer_time_is_over():
    store = weight_load_scheduler.WeightLoadScheduler(
        weight_load_scheduler.WeightStoreSettings(20.0, lanes=2, small_bytes=0)
    )
    store.request("a", "one", 100)
    assert [grant.load_id for grant in store.grant(0.0)] == ["a"]
    store.release("a")
    store.request("b", "two", 100)
    assert store.grant(9.9) == ()
    assert store.next_grant_at(9.9) == 10.0
    assert [grant.load_id for grant in store.grant(10.0)] == ["b"]


def test_a_small_load_does_not_wait_for_large_ones():
    store = weight_load_scheduler.WeightLoadScheduler(SETTINGS)
    for number in range(10):
        store.request(f"large-{number}", f"engine-{number}", 10_000)
    assert len(store.grant(0.0)) == 3
    store.request("small", "engine-99", 5)
    assert [grant.load_id for grant in store.grant(0.0)] == ["small"]


def test_an_engine_with_many_loads_takes_turns_with_one_that_has_few():
    store = weight_load_scheduler.WeightLoadScheduler(
        weight_load_scheduler.WeightStoreSettings(20.0, lanes=2, small_bytes=0)
    )
    for number in range(10):
        store.request(f"many-{number}", "many", 100)
    store.request("few", "few", 100)
    order, now = [], 0.0
    for _ in range(3):
        order += [grant.load_id for grant in store.grant(now)]
        store.release(order[-1])
        now += 10.0
    assert "few" in order[:2]


def test_a_cancelled_load_does_not_count_against_its_engine():
    store = weight_load_scheduler.WeightLoadScheduler(
        weight_load_scheduler.WeightStoreSettings(20.0, lanes=2, small_bytes=0)
    )
    store.request("withdrawn", "one", 1_000)
    store.release("withdrawn")
    store.request("a", "one", 100)
    store.request("b", "two", 100)
    assert [grant.load_id for grant in store.grant(0.0)] == ["a"]


def test_the_queue_is_bounded():
    settings = weight_load_scheduler.WeightStoreSettings(20.0, max_waiting=1)
    store = weight_load_scheduler.WeightLoadScheduler(settings)
    assert store.request("a", "one", 1)
    assert not store.request("b", "two", 1)


def test_a_load_of_an_earlier_planner_holds_a_lane():
    store = weight_load_scheduler.WeightLoadScheduler(
        weight_load_scheduler.WeightStoreSettings(20.0, lanes=2, small_bytes=0)
    )
    store.occupy("old", 100, 0.0)
    store.request("new", "one", 100)
    assert store.grant(5.0) == ()
    store.release("old")
    assert store.next_grant_at(5.0) == pytest.approx(10.0)
    assert len(store.grant(10.0)) == 1
