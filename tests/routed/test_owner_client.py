"""Placement requests of an entry host while owners change."""

import time

import curio
import pytest

from medlarfork.backpressure import send_gate, signal_ledger
from medlarfork.gateway import given_promises, owner_client, request_hold
from medlarfork.placement import placement_messages, reported_load, retry_schedule
from tests import curio_world

SHARD = placement_messages.Shard("engines")
HOME = placement_messages.Shard("engines", 0, 2)
OTHER = placement_messages.Shard("engines", 1, 2)
CLOSED = placement_messages.RefusalCause.CLOSED


class Session:
    """A fake session with owners set by the test."""

    def __init__(self):
        self.owner_id = "r1"
        self.upstream_by_id = {}
        self.has_moved = False
        self.entry_hosts = 2
        self.has_view = True
        self.other_owner_id = "r9"

    def owner(self, shard, now):
        return self.other_owner_id if shard == OTHER else self.owner_id

    def service_shards(self, service, version=None):
        return HOME, OTHER

    def resolve_shard(self, shard):
        return shard

    def find_upstream(self, upstream_id):
        return upstream_id

    def shard_of(self, upstream_id):
        return OTHER if self.has_moved else HOME

    def record_contact(self, replica_id, now):
        pass

    def mark_unreachable(self, replica_id):
        self.owner_id = "r2" if replica_id == "r1" else ""
        return True

    def is_unresponsive(self, replica_id, now):
        return replica_id == "r1"


@pytest.fixture
def session():
    return Session()


@pytest.fixture
def sent():
    return []


@pytest.fixture
def notified():
    """Return the list of replicas that got the known backpressure signals, in order."""
    return []


@pytest.fixture
def client(session, sent, unreachable, notified):
    def send(replica_id, message):
        if replica_id in unreachable:
            return False
        sent.append((replica_id, message))
        return True

    gate = send_gate.SendGate(signal_ledger.SignalLedger())
    return owner_client.OwnerClient(
        "e", session, send, request_hold.HoldQueue(), gate, notified.append
    )


@pytest.fixture
def unreachable():
    return set()


def request_count(sent, replica_id):
    messages = [item for to, item in sent if to == replica_id]
    return sum(isinstance(item, placement_messages.PlaceRequest) for item in messages)


def test_a_queued_request_is_sent_again_after_its_owner_changed_twice(
    session, sent, client, make_place_request
):
    """In a restart, owners changed twice within 0.25 s, and 33 queued callers waited in vain."""

    async def main():
        placing = await curio.spawn(client.place, make_place_request("t", left_ms=5000.0))
        await curio_world.until(lambda: request_count(sent, "r1") == 1)
        await client.handle_reply("r1", placement_messages.Queued("t"))
        for owner_id in ("r2", "r1"):
            session.owner_id = owner_id
            client.notify_owners(0.0)
            await client.wake_queued()
        await curio_world.until(lambda: request_count(sent, "r1") == 2)
        await client.handle_reply("r1", placement_messages.Placed("t", "u-1"))
        assert await placing.join() == placement_messages.Placed("t", "u-1")

    curio_world.run(main)


def test_a_new_owner_gets_the_speeds_of_its_own_upstreams(
    session, sent, client, make_place_request, make_announcement
):
    """Speeds of another shard's upstreams or of usual ones would only fill the message."""
    own, other = (
        next(name for name in (f"u-{n}" for n in range(99)) if shard.has(name))
        for shard in (HOME, OTHER)
    )

    async def main():
        for number, (upstream_id, speed) in enumerate(((own, 1.5), (own, 2.0), (other, 3.0))):
            ticket_id = f"t{number}"
            request = make_place_request(ticket_id, shard=HOME)
            placing = await curio.spawn(client.place, request)
            await curio_world.until(lambda count=number + 1: request_count(sent, "r1") == count)
            placed = placement_messages.Placed(ticket_id, upstream_id, speed=speed)
            await client.handle_reply("r1", placed)
            await placing.join()
        session.owner_id = "r2"
        client.notify_owners(0.0)
        speeds = (placement_messages.UpstreamSpeed(own, 2.0),)
        assert ("r2", placement_messages.OwnerChosen(HOME, True, speeds=speeds)) in sent

    curio_world.run(main)


def test_a_new_owner_gets_the_estimates_of_the_previous_one(
    session, sent, client, make_place_request
):
    estimate = placement_messages.EngineEstimate(41.0, 4096.0, 4.6, 25.0)

    async def main():
        placing = await curio.spawn(client.place, make_place_request("t"))
        await curio_world.until(lambda: request_count(sent, "r1") == 1)
        await client.handle_reply("r1", placement_messages.Placed("t", "u-1", "", estimate))
        await placing.join()
        session.owner_id = "r2"
        client.notify_owners(0.0)
        chosen = placement_messages.OwnerChosen(SHARD, is_chosen=True, belief=estimate)
        assert ("r2", chosen) in sent

    curio_world.run(main)


@pytest.mark.parametrize("is_silent", [True, False])
def test_the_next_owner_is_asked_at_once_if_the_first_does_not_reply(
    session, sent, client, unreachable, make_place_request, is_silent
):
    """After an owner was killed, entry hosts placed requests locally for 1 s."""

    async def main():
        if not is_silent:
            unreachable.add("r1")
        placing = await curio.spawn(client.place, make_place_request("t"))
        await curio_world.until(lambda: request_count(sent, "r2") == 1)
        await client.handle_reply("r2", placement_messages.Placed("t", "u-1"))
        assert await placing.join() == placement_messages.Placed("t", "u-1")
        assert client.local_placements == 0

    curio_world.run(main)


def _placement_requests(sent):
    return [
        (to, item.shard, item.begins_within_ms, item.other_shard)
        for to, item in sent
        if isinstance(item, placement_messages.PlaceRequest)
    ]


def test_a_request_to_a_busy_shard_tries_the_other_and_then_queues_at_the_first(
    sent, client, make_place_request
):
    async def main():
        request = make_place_request("t", shard=HOME, other_shard=OTHER)
        placing = await curio.spawn(client.place, request)
        await curio_world.until(lambda: request_count(sent, "r1") == 1)
        await client.handle_reply("r1", placement_messages.Busy("t", 900.0))
        await curio_world.until(lambda: request_count(sent, "r9") == 1)
        await client.handle_reply("r9", placement_messages.Busy("t", 1200.0))
        await curio_world.until(lambda: request_count(sent, "r1") == 2)
        await client.handle_reply("r1", placement_messages.Placed("t", "u-1"))
        assert await placing.join() == placement_messages.Placed("t", "u-1")
        assert _placement_requests(sent) == [
            ("r1", HOME, 0.0, OTHER),
            ("r9", OTHER, 900.0, HOME),
            ("r1", HOME, 0.0, None),
        ]

    curio_world.run(main)


def test_a_request_returns_to_the_first_shard_if_the_second_owner_does_not_reply(
    sent, client, make_place_request
):
    async def main():
        request = make_place_request("t", shard=HOME, other_shard=OTHER)
        placing = await curio.spawn(client.place, request)
        await curio_world.until(lambda: request_count(sent, "r1") == 1)
        await client.handle_reply("r1", placement_messages.Busy("t", 900.0))
        await curio_world.until(lambda: request_count(sent, "r1") == 2)
        cancelled = placement_messages.RunEnd.CANCELLED
        assert ("r9", placement_messages.RunEnded("t", cancelled, 0.0)) in sent
        # A late grant of the second owner is released and ignored.
        await client.handle_reply("r9", placement_messages.Placed("t", "u-9"))
        assert sent[-1] == ("r9", placement_messages.RunEnded("t", cancelled, 0.0))
        await client.handle_reply("r1", placement_messages.Placed("t", "u-1"))
        assert await placing.join() == placement_messages.Placed("t", "u-1")

    curio_world.run(main)


@pytest.mark.parametrize("other_owner_id", ["r9", "r1"])
def test_the_new_owner_of_a_moved_upstream_gets_its_running_requests(
    session, sent, client, make_place_request, other_owner_id
):
    session.other_owner_id = other_owner_id
    upstream_id = next(f"u-{n}" for n in range(99) if OTHER.has(f"u-{n}"))

    async def main():
        placing = await curio.spawn(client.place, make_place_request("t", shard=HOME))
        await curio_world.until(lambda: request_count(sent, "r1") == 1)
        await client.handle_reply("r1", placement_messages.Placed("t", upstream_id))
        await placing.join()
        client.report_moved_runs(0.0)
        assert not [item for _, item in sent if isinstance(item, placement_messages.StillRunning)]
        session.has_moved = True
        client.report_moved_runs(0.0)
        cancelled = placement_messages.RunEnd.CANCELLED
        assert ("r1", placement_messages.RunEnded("t", cancelled, 0.0)) in sent
        (notified,) = [
            (to, item.upstream_id)
            for to, item in sent
            if isinstance(item, placement_messages.StillRunning)
        ]
        assert notified == (other_owner_id, upstream_id)
        client.report_moved_runs(0.1)
        assert sum(isinstance(item, placement_messages.StillRunning) for _, item in sent) == 1
        client.report_end("t", placement_messages.RunEnd.COMPLETE, 1.0)
        assert sent[-1][0] == other_owner_id

    curio_world.run(main)


@pytest.mark.parametrize("accepts", [True, False])
def test_a_request_refused_by_a_closed_shard_tries_the_other_shards_first(
    sent, client, make_place_request, accepts
):
    closed = placement_messages.PlaceRefused("t", 3000.0, "closed", CLOSED)
    sooner = placement_messages.PlaceRefused("t", 1000.0, "closed", CLOSED)
    last = placement_messages.Placed("t", "u-1") if accepts else sooner

    async def main():
        placing = await curio.spawn(client.place, make_place_request("t", shard=HOME))
        await curio_world.until(lambda: request_count(sent, "r1") == 1)
        await client.handle_reply("r1", closed)
        await curio_world.until(lambda: request_count(sent, "r9") == 1)
        await client.handle_reply("r9", last)
        assert await placing.join() == last
        assert _placement_requests(sent) == [("r1", HOME, 0.0, None), ("r9", OTHER, 0.0, None)]

    curio_world.run(main)


def test_an_ordinary_refusal_is_final(sent, client, make_place_request):
    async def main():
        placing = await curio.spawn(client.place, make_place_request("t", shard=HOME))
        await curio_world.until(lambda: request_count(sent, "r1") == 1)
        refused = placement_messages.PlaceRefused("t", 3000.0, "it would wait too long")
        await client.handle_reply("r1", refused)
        assert await placing.join() == refused
        assert request_count(sent, "r9") == 0

    curio_world.run(main)


def test_an_owner_gets_the_known_signals_before_the_first_request(
    session, sent, client, notified, make_place_request
):
    """A new owner that knew no rate limit placed six requests at once on the limited upstream."""

    async def main():
        placing = await curio.spawn(client.place, make_place_request("t"))
        await curio_world.until(lambda: request_count(sent, "r1") == 1)
        assert notified == ["r1"]
        session.owner_id = "r2"
        client.notify_owners(0.0)
        assert notified == ["r1", "r2"]
        await placing.cancel()

    curio_world.run(main)


def test_a_host_without_a_view_sends_no_placement_request(
    session, sent, client, make_place_request
):
    """Owners chose upstreams that the host did not know yet, so its callers were refused."""
    session.has_view = False

    async def main():
        placing = await curio.spawn(client.place, make_place_request("t", left_ms=5000.0))
        await curio.sleep(0.1)
        assert request_count(sent, "r1") == 0
        session.has_view = True
        await client._hold_queue.notify_change()
        await curio_world.until(lambda: request_count(sent, "r1") == 1)
        await placing.cancel()

    curio_world.run(main)


@pytest.fixture
def alone(session, make_announcement):
    """Return a session without a reachable owner, with one upstream of one slot."""
    session.owner_id = session.other_owner_id = ""
    session.entry_hosts = 1
    session.upstream_by_id = {"u-1": make_announcement("u-1", slots=1)}
    return session


def test_a_request_beyond_the_share_waits_for_the_end_of_a_run(alone, client, make_place_request):
    """Without an owner, a host sent all requests at once to engines that could not hold them."""

    async def main():
        first = await client.place(make_place_request("t1"))
        placing = await curio.spawn(client.place, make_place_request("t2", left_ms=5000.0))
        await curio_world.until(lambda: client.local_waiting == 1)
        await curio.sleep(0.1)
        assert not placing.terminated
        client.report_end("t1", placement_messages.RunEnd.COMPLETE, 50.0)
        second = await placing.join()
        assert [first.upstream_id, second.upstream_id] == ["u-1", "u-1"]
        assert client.local_placements == 2

    curio_world.run(main)


def test_requests_that_wait_at_the_host_go_to_an_owner_that_is_back(
    alone, sent, client, make_place_request
):
    """Guards against requests that wait for a share while an owner could place them."""

    async def main():
        await client.place(make_place_request("t1"))
        request = make_place_request("t2", left_ms=5000.0, first_left_ms=4000.0)
        placing = await curio.spawn(client.place, request)
        await curio_world.until(lambda: client.local_waiting == 1)
        await curio.sleep(0.05)
        alone.owner_id = "r2"
        client.notify_owners(0.0)
        await client.wake_queued()
        await curio_world.until(lambda: request_count(sent, "r2") == 1)
        asked = next(item for _, item in sent if isinstance(item, placement_messages.PlaceRequest))
        # The owner gets the time that is left now.
        assert asked.left_ms <= 4950.0 and asked.first_left_ms <= 3950.0
        # If that owner does not reply either, the caller's times are still those of its arrival.
        alone.owner_id = ""
        await curio_world.until(lambda: client.local_waiting == 1)
        waiting = client._ticket_by_id["t2"].waiting
        await client.wake_queued()
        assert waiting.first_by_at - waiting.arrived_at == pytest.approx(4.0, abs=0.02)
        alone.owner_id = "r2"
        await client.wake_queued()
        await curio_world.until(lambda: request_count(sent, "r2") == 2)
        await client.handle_reply("r2", placement_messages.Placed("t2", "u-9"))
        assert await placing.join() == placement_messages.Placed("t2", "u-9")
        assert client.local_waiting == 0

    curio_world.run(main)


def test_an_owner_that_did_not_reply_is_asked_again_after_its_next_reply(
    alone, sent, client, make_place_request
):
    """Guards against a slow owner that gets the same requests again with each status."""
    alone.owner_id = "r3"

    async def main():
        local = await client.place(make_place_request("t1"))
        assert local.upstream_id == "u-1"
        placing = await curio.spawn(client.place, make_place_request("t2", left_ms=5000.0))
        await curio_world.until(lambda: client.local_waiting == 1)
        await client.wake_queued()
        assert (client.local_waiting, request_count(sent, "r3")) == (1, 2)
        probing = await curio.spawn(client.place, make_place_request("t3"))
        await curio_world.until(lambda: request_count(sent, "r3") == 3)
        await client.handle_reply("r3", placement_messages.Placed("t3", "u-1"))
        await probing.join()
        await curio_world.until(lambda: request_count(sent, "r3") == 4)
        await client.handle_reply("r3", placement_messages.Placed("t2", "u-1"))
        assert (await placing.join()).ticket_id == "t2"

    curio_world.run(main)


def test_a_caller_that_leaves_while_it_waits_frees_its_place(alone, client, make_place_request):
    """Guards against a queue that fills up with requests of callers that have left."""

    async def main():
        await client.place(make_place_request("t1"))
        placing = await curio.spawn(client.place, make_place_request("t2", left_ms=5000.0))
        await curio_world.until(lambda: client.local_waiting == 1)
        await placing.cancel()
        assert client.local_waiting == 0
        client.report_end("t1", placement_messages.RunEnd.COMPLETE, 50.0)
        assert (await client.place(make_place_request("t3"))).upstream_id == "u-1"

    curio_world.run(main)


def test_requests_are_held_when_their_last_upstream_disappears(
    alone, client, make_place_request, make_announcement
):
    """Guards against requests that wait for a slot of an upstream that is gone."""

    async def main():
        await client.place(make_place_request("t1"))
        placing = await curio.spawn(client.place, make_place_request("t2", left_ms=5000.0))
        await curio_world.until(lambda: client.local_waiting == 1)
        alone.upstream_by_id = {}
        client.use_view(0.0)
        await curio_world.until(lambda: client._hold_queue.held == 1)
        alone.upstream_by_id = {"u-2": make_announcement("u-2", slots=1)}
        await client._hold_queue.notify_change()
        assert (await placing.join()).upstream_id == "u-2"

    curio_world.run(main)


def test_the_load_table_has_only_upstreams_in_view(session, client, make_announcement):
    """Guards against a table that grows with every upstream that ever was."""
    announcement = make_announcement("u-1")
    session.find_upstream = {"u-1": announcement}.get
    for upstream_id in ("u-1", "u-2"):
        client.record_load(upstream_id, reported_load.ReportedLoad(1, 0, 2))
    assert client._local.slots.reports == 1


def test_a_new_owner_gets_the_promises_of_its_service_until_they_expire(
    session, sent, client, make_place_request
):
    """After the loss of an owner, all callers that it had promised a retry were treated as new."""

    async def main():
        for ticket_id, service in (("t", "engines"), ("u", "other")):
            request = make_place_request(ticket_id, service=service, tier=1, retry_key=ticket_id)
            placing = await curio.spawn(client.place, request)
            await curio_world.until(lambda sent_id=ticket_id: _is_asked(sent, sent_id))
            refused = placement_messages.PlaceRefused(ticket_id, 300.0, "full", is_promise=True)
            await client.handle_reply("r1", refused)
            await placing.join()
        for owner_id, after_s in (("r2", 0.0), ("r3", 2.4)):
            session.owner_id = owner_id
            client.notify_owners(time.monotonic() + after_s)
        (at_once,), later = [
            item.promises
            for to, item in sent
            if to in ("r2", "r3")
            and isinstance(item, placement_messages.OwnerChosen)
            and item.shard == SHARD
            and item.is_chosen
        ]
        assert (at_once.retry_key, at_once.tier) == ("t", 1)
        assert at_once.due_in_ms == pytest.approx(300.0, abs=200.0)
        assert later == ()

    curio_world.run(main)


def _is_asked(sent, ticket_id):
    return any(getattr(item, "ticket_id", "") == ticket_id for _, item in sent)


def test_remembered_promises_are_bounded(make_place_request):
    """An entry host that is refused everything would otherwise fill its memory."""
    given = given_promises.GivenPromises()
    refused = placement_messages.PlaceRefused("t", 300.0, "full", is_promise=True)
    for n in range(given_promises.MAX_GIVEN + 10):
        given.record(make_place_request("t", retry_key=f"k{n}"), refused, 0.0)
    assert len(given.of_service("engines", 0.0)) == given_promises.MAX_GIVEN
    assert given_promises.RETENTION_S == retry_schedule.RETENTION_S
    assert given.of_service("engines", 2.4) == ()


def make_failed(make_place_request):
    shard = {"shard": HOME, "other_shard": OTHER}
    return make_place_request("t", left_ms=5000.0, excluded=("u-1",), **shard)


def refused_as_excluded(retry_ms):
    cause = placement_messages.RefusalCause.EXCLUDED
    return placement_messages.PlaceRefused("t", retry_ms, "failed everywhere", cause)


def test_a_request_that_one_shard_can_not_run_any_more_goes_to_another(
    sent, client, make_place_request
):
    async def main():
        placing = await curio.spawn(client.place, make_failed(make_place_request))
        await curio_world.until(lambda: request_count(sent, "r1") == 1)
        await client.handle_reply("r1", refused_as_excluded(700.0))
        await curio_world.until(lambda: request_count(sent, "r9") == 1)
        await client.handle_reply("r9", refused_as_excluded(400.0))
        assert (await placing.join()).retry_after_ms == 400.0

    curio_world.run(main)


# Guards against: a request was refused by an owner that had just restarted and knew few upstreams.
def test_a_request_is_placed_at_an_upstream_that_its_owners_do_not_know_yet(
    session, sent, client, make_place_request, make_announcement
):
    for upstream_id in ("u-1", "u-2"):
        session.upstream_by_id[upstream_id] = make_announcement(upstream_id)

    async def main():
        placing = await curio.spawn(client.place, make_failed(make_place_request))
        for replica_id in ("r1", "r9"):
            await curio_world.until(lambda owner_id=replica_id: request_count(sent, owner_id) == 1)
            await client.handle_reply(replica_id, refused_as_excluded(400.0))
        assert (await placing.join()).upstream_id == "u-2"

    curio_world.run(main)


# Guards against: a trial that was refused since its replica, which went on, was silent for 0.15 s.
@pytest.mark.parametrize("is_lost", [False, True])
def test_a_trial_waits_for_a_replica_that_is_silent_for_a_moment(
    session, sent, client, make_place_request, is_lost
):
    """It is asked again under the same ticket, and another one is asked once it counts as lost."""
    session.is_unresponsive = lambda replica_id, now: (
        is_lost and replica_id == "r1" and request_count(sent, "r1") > 2
    )

    async def main():
        request = make_place_request("t", trial_key="k", left_ms=5000.0)
        placing = await curio.spawn(client.place, request)
        await curio_world.until(lambda: request_count(sent, "r2" if is_lost else "r1") > 0)
        await curio.sleep(0.4)
        placed = placement_messages.Placed("t", "u-1")
        await client.handle_reply("r2" if is_lost else "r1", placed)
        assert await placing.join() == placed
        assert not any(isinstance(item, placement_messages.RunEnded) for _, item in sent)

    curio_world.run(main)


def test_a_trial_is_refused_once_its_replica_has_not_replied_for_long(
    session, sent, client, make_place_request
):
    session.is_unresponsive = lambda replica_id, now: False

    async def main():
        began_at = time.monotonic()
        refused = await client.place(make_place_request("t", trial_key="k", left_ms=8000.0))
        assert isinstance(refused, placement_messages.PlaceRefused)
        assert 0.5 < time.monotonic() - began_at < 4.0
        assert isinstance(sent[-1][1], placement_messages.RunEnded)

    curio_world.run(main)
