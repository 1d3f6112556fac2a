"""Upstreams that turn requests away and ask the host for a pause."""

import curio
import pytest

from medlarfork.backpressure import send_gate, signal_ledger, signal_messages
from medlarfork.coordination import backpressure_desk, coordination_messages, upstream_types
from medlarfork.gateway import backpressure_watch, entry_session, holding, owner_client
from medlarfork.placement import placement_messages, service_owner
from tests import curio_world
from tests.routed import placing, routed_world

NAMES = routed_world.NAMES
PAUSE_S = 1.5


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
    session.take("r1", coordination_messages.ViewPush(1, 1, view), 0.0)
    return session


@pytest.fixture
def watch(session, sent):
    def send(replica_id, report):
        sent.append((replica_id, report))
        return True

    return backpressure_watch.BackpressureWatch("e-0", NAMES, session, send)


def answer(watch, upstream_id="u-1", status=503, **headers):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    watch.note_answer(upstream_id, status, named, sent_at=0.0, attempt_id="a-1")


def turn_away(pause_s=PAUSE_S, status=503, after_s=0.0):
    async def answer_busy(exchange):
        await curio.sleep(after_s)
        more = {NAMES.not_executed: "1", "retry-after": str(pause_s)} if pause_s else {}
        more = more or {NAMES.not_executed: "1"}
        await exchange.respond(status, routed_world.echo_headers(exchange, **more), b"")

    return answer_busy


def test_a_pause_is_of_the_host_that_was_turned_away(ledger, make_announcement, make_question):
    service = service_owner.ServiceOwner(send_gate.SendGate(ledger))
    service.use_engine(placing.ENGINE)
    service.use_upstreams({"u-1": make_announcement("u-1", slots=9)})
    ledger.note_pause("u-1", "e-0", 2.0, 0.0)
    (other,) = service.place("e-1", make_question("t1"), 1.0)
    assert isinstance(other.message, placement_messages.Placed)
    (own,) = service.place("e-0", make_question("t2", left_ms=500.0), 1.0)
    assert isinstance(own.message, placement_messages.PlaceRefused)
    assert own.message.retry_after_ms == pytest.approx(1000.0)


def test_a_request_waits_for_a_pause_that_ends_in_time(ledger, make_announcement, make_question):
    service = service_owner.ServiceOwner(send_gate.SendGate(ledger))
    service.use_upstreams({"u-1": make_announcement("u-1")})
    ledger.note_pause("u-1", "e-0", 1.0, 0.0)
    (queued,) = service.place("e-0", make_question("t1", left_ms=3000.0), 0.0)
    assert isinstance(queued.message, placement_messages.Queued)
    assert service.serve_waiting(0.9) == ()
    (placed,) = service.serve_waiting(1.0)
    assert isinstance(placed.message, placement_messages.Placed)


def test_replicas_are_told_of_a_pause_before_the_next_question(watch, sent):
    answer(watch, retry_after="3")
    assert [replica_id for replica_id, _ in sent] == ["r1", "r2"]
    (pause,) = sent[0][1].pauses
    assert (pause.upstream_id, pause.entry_id) == ("u-1", "e-0")
    assert 2.9 < pause.left_s <= 3.0


def test_a_host_that_has_started_again_is_told_its_pauses(watch, sent):
    answer(watch, retry_after="3")
    desk = backpressure_desk.BackpressureDesk()
    desk.take(sent[0][1], 10.0)
    (pause,) = desk.whole("e-0", 11.0).pauses
    assert pause.left_s == pytest.approx(2.0, abs=0.1)
    assert desk.whole("e-1", 11.0).is_empty
    again = backpressure_watch.BackpressureWatch(
        "e-0", NAMES, entry_session.EntrySession(()), lambda *_: True
    )
    again.take(desk.whole("e-0", 11.0))
    assert not again.may_send("u-1")


def test_only_an_answer_that_took_the_request_ends_a_limit(watch):
    """A rejection may come from a part of the upstream that knows nothing of its limit."""
    limit = {NAMES.rate_limit: "2"}
    watch.note_answer("u-1", 200, limit, sent_at=0.0, attempt_id="a-1")
    for status, headers in ((503, {}), (400, {NAMES.not_executed: "1"})):
        watch.note_answer("u-1", status, headers, sent_at=9e9, attempt_id="a-2")
        assert watch.limited == 1
    watch.note_answer("u-1", 500, {}, sent_at=9e9, attempt_id="a-3")
    assert watch.limited == 0


@pytest.mark.parametrize(
    ("status", "headers"),
    [(503, {}), (200, {"retry_after": "3"}), (503, {"retry_after": "soon"})],
)
def test_only_an_answer_that_turns_away_and_says_for_how_long_asks_for_a_pause(
    watch, sent, status, headers
):
    answer(watch, status=status, **headers)
    assert watch.may_send("u-1")
    assert sent == []


def test_a_host_that_places_alone_keeps_to_its_pauses(watch, session, make_question):
    answer(watch, retry_after="3")
    client = owner_client.OwnerClient(
        "e-0", session, lambda *_: False, holding.Holding(), watch.gate, watch.tell_replica
    )

    async def main():
        refused = await client.place(make_question("t1"))
        assert isinstance(refused, placement_messages.PlaceRefused)
        assert 2900.0 < refused.retry_after_ms <= 3000.0

    curio_world.run(main)


def test_the_number_of_pauses_is_bounded(ledger):
    for number in range(signal_ledger.MOST_PAUSES + 5):
        ledger.note_pause("u-1", f"e-{number}", number + 1.0, 0.0)
    kept = len(ledger._pause_until_by_pair)
    assert kept == signal_ledger.MOST_PAUSES
    ledger.tidy(1e9)
    assert ledger.is_empty


def test_reports_in_any_order_keep_the_longest_pause(ledger):
    for left_s in (1.0, 3.0, 2.0):
        pause = signal_messages.Pause("u-1", "e-0", left_s)
        ledger.merge(signal_messages.SignalReport(pauses=(pause,)), 5.0)
    assert ledger.paused_until("u-1", "e-0") == 8.0


def test_a_request_that_five_upstreams_turn_away_is_served_by_the_sixth(tmp_path):
    """It was refused after the third, though others were left that take it."""

    async def main(world):
        await world.put_routing(kind="unsafe")
        for _ in range(5):
            await world.add_upstream(turn_away())
        await world.add_upstream()
        await world.until_upstreams(6)
        for _ in range(4):
            response = await world.call()
            assert response.status == 200
            await response.read()
        assert max(len(upstream.seen) for upstream in world.upstreams[:5]) == 1

    routed_world.run(tmp_path, main)


def test_a_caller_that_no_upstream_takes_is_told_at_once_when_the_first_one_does(tmp_path):
    async def main(world):
        await world.put_routing(timeout_ms=1000)
        for pause_s in (4.0, 3.0):
            await world.add_upstream(turn_away(pause_s))
        await world.until_upstreams(2)
        async with curio.timeout_after(0.8):
            response = await world.call()
        assert response.status == 503
        assert 2.5 < float(response.headers["retry-after"]) <= 3.0

    routed_world.run(tmp_path, main)


def test_the_late_answer_to_another_request_says_nothing_of_its_upstream_now(tmp_path):
    """It was made before the request was sent, and would end a limit that was named since."""

    async def answer_another(exchange):
        headers = {NAMES.attempt_id: "another", NAMES.leaving: "1"}
        await exchange.respond(200, headers, b"late")

    async def main(world):
        await world.put_routing(kind="unsafe")
        await world.add_upstream(answer_another)
        await world.until_upstreams(1)
        assert (await world.call()).status == 502
        assert world.entry._backpressure.may_send(world.upstreams[0].upstream_id)

    routed_world.run(tmp_path, main)


def test_what_waits_for_a_connection_when_its_upstream_asks_for_a_pause_goes_elsewhere(
    tmp_path, monkeypatch
):
    """Connecting takes as long as a lost packet, and the request was sent after it all the same."""

    async def main(world):
        await world.put_routing(kind="unsafe")
        shedding = await world.add_upstream(turn_away(PAUSE_S, after_s=0.2))
        await world.until_upstreams(1)
        pool = world.entry._client._pool
        take = pool.take

        async def take_late(address, give_up_at):
            connection = await take(address, give_up_at)
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

    routed_world.run(tmp_path, main)


def test_a_request_is_served_by_the_upstream_that_turned_it_away_once_its_pause_is_over(tmp_path):
    seen = []

    async def answer_second(exchange):
        seen.append(exchange)
        serve = turn_away(0.5) if len(seen) == 1 else routed_world.answer_plainly
        await serve(exchange)

    async def main(world):
        await world.put_routing(kind="unsafe")
        await world.add_upstream(answer_second)
        await world.until_upstreams(1)
        response = await world.call()
        assert response.status == 200

    routed_world.run(tmp_path, main)
