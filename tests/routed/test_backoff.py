"""Upstreams that reject requests and ask the entry host for a backoff."""

import curio
import pytest

from medlarfork.backpressure import send_gate, signal_ledger, signal_messages
from medlarfork.coordination import backpressure_manager, coordination_messages, upstream_types
from medlarfork.gateway import backpressure_tracker, entry_session, owner_client, request_hold
from medlarfork.placement import placement_messages, shard_owner
from tests import curio_world
from tests.routed import placement_helpers, routed_harness

NAMES = routed_harness.NAMES
BACKOFF_S = 1.5


@pytest.fixture
def ledger():
    return signal_ledger.SignalLedger()


@pytest.fixture
def sent():
    return []


@pytest.fixture
def session(make_announcement):
    session = entry_session.EntrySession(("r1", "r2"))
    view = upstream_types.ViewChange((make_announcement("u-1"),), is_whole=True)
    session.apply_message("r1", coordination_messages.ViewPush(1, 1, view), 0.0)
    return session


@pytest.fixture
def watch(session, sent):
    def send(replica_id, report):
        sent.append((replica_id, report))
        return True

    return backpressure_tracker.BackpressureTracker("e-0", NAMES, session, send)


def answer(watch, upstream_id="u-1", status=503, **headers):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    watch.record_response(upstream_id, status, named, sent_at=0.0, attempt_id="a-1")


def reject(backoff_s=BACKOFF_S, status=503, after_s=0.0):
    async def answer_rejected(exchange):
        await curio.sleep(after_s)
        extra_headers = (
            {NAMES.not_executed: "1", "retry-after": str(backoff_s)} if backoff_s else {}
        )
        extra_headers = extra_headers or {NAMES.not_executed: "1"}
        await exchange.respond(status, routed_harness.echo_headers(exchange, **extra_headers), b"")

    return answer_rejected


def test_a_backoff_applies_only_to_the_host_that_was_rejected(
    ledger, make_announcement, make_place_request
):
    service = shard_owner.ShardOwner(send_gate.SendGate(ledger))
    service.use_engine(placement_helpers.ENGINE)
    service.use_upstreams({"u-1": make_announcement("u-1", slots=9)})
    ledger.record_backoff("u-1", "e-0", 2.0, 0.0)
    (other,) = service.place("e-1", make_place_request("t1"), 1.0)
    assert isinstance(other.message, placement_messages.Placed)
    (own,) = service.place("e-0", make_place_request("t2", left_ms=500.0), 1.0)
    assert isinstance(own.message, placement_messages.PlaceRefused)
    assert own.message.retry_after_ms == pytest.approx(1000.0)


def test_a_request_waits_for_a_backoff_that_ends_in_time(
    ledger, make_announcement, make_place_request
):
    service = shard_owner.ShardOwner(send_gate.SendGate(ledger))
    service.use_upstreams({"u-1": make_announcement("u-1")})
    ledger.record_backoff("u-1", "e-0", 1.0, 0.0)
    (queued,) = service.place("e-0", make_place_request("t1", left_ms=3000.0), 0.0)
    assert isinstance(queued.message, placement_messages.Queued)
    assert service.serve_waiting(0.9) == ()
    (placed,) = service.serve_waiting(1.0)
    assert isinstance(placed.message, placement_messages.Placed)


def test_replicas_are_notified_of_a_backoff_before_the_next_request(watch, sent):
    answer(watch, retry_after="3")
    assert [replica_id for replica_id, _ in sent] == ["r1", "r2"]
    (backoff,) = sent[0][1].pauses
    assert (backoff.upstream_id, backoff.entry_id) == ("u-1", "e-0")
    assert 2.9 < backoff.left_s <= 3.0


def test_a_restarted_host_is_sent_its_backoffs(watch, sent):
    answer(watch, retry_after="3")
    manager = backpressure_manager.BackpressureManager()
    manager.take(sent[0][1], 10.0)
    (backoff,) = manager.whole("e-0", 11.0).pauses
    assert backoff.left_s == pytest.approx(2.0, abs=0.1)
    assert manager.whole("e-1", 11.0).is_empty
    again = backpressure_tracker.BackpressureTracker(
        "e-0", NAMES, entry_session.EntrySession(()), lambda *_: True
    )
    again.apply_report(manager.whole("e-0", 11.0))
    assert not again.may_send("u-1")


def test_only_a_response_that_accepted_the_request_ends_a_limit(watch):
    """A rejection may come from a component of the upstream that does not know its limit."""
    limit = {NAMES.rate_limit: "2"}
    watch.record_response("u-1", 200, limit, sent_at=0.0, attempt_id="a-1")
    for status, headers in ((503, {}), (400, {NAMES.not_executed: "1"})):
        watch.record_response("u-1", status, headers, sent_at=9e9, attempt_id="a-2")
        assert watch.limited == 1
    watch.record_response("u-1", 500, {}, sent_at=9e9, attempt_id="a-3")
    assert watch.limited == 0


@pytest.mark.parametrize(
    ("status", "headers"),
    [(503, {}), (200, {"retry_after": "3"}), (503, {"retry_after": "soon"})],
)
def test_only_a_rejection_with_a_valid_retry_after_causes_a_backoff(watch, sent, status, headers):
    answer(watch, status=status, **headers)
    assert watch.may_send("u-1")
    assert sent == []


def test_a_host_without_owner_keeps_to_its_backoffs(watch, session, make_place_request):
    answer(watch, retry_after="3")
    client = owner_client.OwnerClient(
        "e-0",
        session,
        lambda *_: False,
        request_hold.HoldQueue(),
        watch.gate,
        watch.send_known_signals,
    )

    async def main():
        refused = await client.place(make_place_request("t1"))
        assert isinstance(refused, placement_messages.PlaceRefused)
        assert 2900.0 < refused.retry_after_ms <= 3000.0

    curio_world.run(main)


def test_the_number_of_backoffs_is_bounded(ledger):
    for number in range(signal_ledger.MAX_BACKOFFS + 5):
        ledger.record_backoff("u-1", f"e-{number}", number + 1.0, 0.0)
    kept = len(ledger._backoff_until_by_pair)
    assert kept == signal_ledger.MAX_BACKOFFS
    ledger.tidy(1e9)
    assert ledger.is_empty


def test_reports_in_any_order_keep_the_longest_backoff(ledger):
    for left_s in (1.0, 3.0, 2.0):
        backoff = signal_messages.Backoff("u-1", "e-0", left_s)
        ledger.merge(signal_messages.SignalReport(pauses=(backoff,)), 5.0)
    assert ledger.backoff_until("u-1", "e-0") == 8.0


def test_a_request_that_five_upstreams_reject_is_served_by_the_sixth(tmp_path):
    """It was refused after the third rejection while other upstreams accepted requests."""

    async def main(world):
        await world.put_routing(kind="unsafe")
        for _ in range(5):
            await world.add_upstream(reject())
        await world.add_upstream()
        await world.until_upstreams(6)
        for _ in range(4):
            response = await world.call()
            assert response.status == 200
            await response.read()
        assert max(len(upstream.seen) for upstream in world.upstreams[:5]) == 1

    routed_harness.run(tmp_path, main)


def test_a_caller_that_all_upstreams_reject_gets_the_shortest_retry_delay(tmp_path):
    async def main(world):
        await world.put_routing(timeout_ms=1000)
        for backoff_s in (4.0, 3.0):
            await world.add_upstream(reject(backoff_s))
        await world.until_upstreams(2)
        async with curio.timeout_after(0.8):
            response = await world.call()
        assert response.status == 503
        assert 2.5 < float(response.headers["retry-after"]) <= 3.0

    routed_harness.run(tmp_path, main)


def test_a_late_response_to_another_request_carries_no_signals(tmp_path):
    """It was produced before the request was sent, and would end a limit stated since."""

    async def answer_another(exchange):
        headers = {NAMES.attempt_id: "another", NAMES.leaving: "1"}
        await exchange.respond(200, headers, b"late")

    async def main(world):
        await world.put_routing(kind="unsafe")
        await world.add_upstream(answer_another)
        await world.until_upstreams(1)
        assert (await world.call()).status == 502
        assert world.entry._backpressure.may_send(world.upstreams[0].upstream_id)

    routed_harness.run(tmp_path, main)


def test_a_request_that_waits_for_a_connection_goes_elsewhere_on_a_backoff(tmp_path, monkeypatch):
    """Connecting takes as long as a lost packet, and the request was sent despite the backoff."""

    async def main(world):
        await world.put_routing(kind="unsafe")
        shedding = await world.add_upstream(reject(BACKOFF_S, after_s=0.2))
        await world.until_upstreams(1)
        pool = world.entry._client._pool
        take = pool.take

        async def take_late(address, give_up_at, max_idle_s):
            connection = await take(address, give_up_at, max_idle_s)
            if shedding.seen:
                await curio.sleep(0.4)
            return connection

        monkeypatch.setattr(pool, "take", take_late)
        first = await curio.spawn(world.call)
        await curio_world.until(lambda: len(shedding.seen) == 1)
        second = await curio.spawn(world.call)
        await curio.sleep(0.3)
        await world.add_upstream()
        await world.until_upstreams(2)
        assert [(await (await task.join()).read()) for task in (first, second)] == [b"done"] * 2
        assert len(shedding.seen) == 1

    routed_harness.run(tmp_path, main)


@pytest.mark.parametrize("has_owner", [True, False])
def test_a_request_is_served_by_the_upstream_that_rejected_it_after_the_backoff(
    tmp_path, monkeypatch, has_owner
):
    # On a busy machine a late reply of the owner would make the host place alone.
    monkeypatch.setattr(owner_client, "OWNER_TIMEOUT_S", 5.0 if has_owner else 0.0)
    seen = []

    async def answer_second(exchange):
        seen.append(exchange)
        serve = reject(0.5) if len(seen) == 1 else routed_harness.answer_plainly
        await serve(exchange)

    async def main(world):
        await world.put_routing(kind="unsafe")
        await world.add_upstream(answer_second)
        await world.until_upstreams(1)
        response = await world.call()
        body = await response.read()
        if not has_owner:
            # A host alone does not queue for a backoff; it says when to come back.
            assert response.status == 503, body
            retry_after_s = float(response.headers["retry-after"])
            assert 0.0 < retry_after_s <= 0.5
            await curio.sleep(retry_after_s)
            response = await world.call()
            body = await response.read()
        assert response.status == 200, body

    routed_harness.run(tmp_path, main)
